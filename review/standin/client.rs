//! Clients: users with long flows, and users that open a flow for each request.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::time::{Duration, Instant};

use crate::endpoint::signature;
use crate::hosts::{LANE_PORT, Router};
use crate::packet::{ACK, FIN, Flow, Packet, RST, SYN};
use crate::record::Record;
use crate::stream::Stream;

/// Times at which the copies of an opening are sent; at the last one the attempt ends.
const OPENING: [u64; 4] = [0, 200, 600, 1400];
const RETRIES: u32 = 2;

/// What a user asks for, again and again.
#[derive(Clone)]
pub struct Habit {
    pub name: &'static str,
    pub vip: SocketAddrV4,
    /// Work of a request, shortest and longest.
    pub work_ms: (u64, u64),
    /// Pause after an answer, shortest and longest.
    pub pause_ms: (u64, u64),
    pub deadline: Duration,
    /// Whether the requests may be tried again after any failure.
    pub safe: bool,
    /// Whether a flow is used for many requests.
    pub keeps_flow: bool,
    /// Period in which all users with this habit ask at the same moment, if they do.
    pub period: Option<Duration>,
}

enum State {
    Opening { since: Instant, copies: usize },
    Open(Stream),
}

struct ClientFlow {
    flow: Flow,
    state: State,
    seq: u32,
    echo: u32,
    opened: Instant,
}

struct Ask {
    id: String,
    first_sent: Instant,
    attempts: u32,
    work: u64,
    written: bool,
}

pub struct User {
    habit: Habit,
    node: usize,
    name: String,
    port: Option<u16>,
    ask: Option<Ask>,
    next_ask: Instant,
    asked: u64,
}

/// A reset that a host sent on a flow.
pub struct HostReset {
    pub flow: Flow,
    pub host: Ipv4Addr,
    pub opened: Option<Instant>,
    pub at: Instant,
    /// Request that was waiting for its answer.
    pub asked: Option<String>,
}

#[derive(Default)]
pub struct Tally {
    pub answered: u64,
    pub failed: u64,
    pub retried: u64,
}

pub struct Node {
    ip: Ipv4Addr,
    zone: &'static str,
    socket: UdpSocket,
    flows: HashMap<u16, ClientFlow>,
    next_port: u16,
}

pub struct Clients {
    nodes: Vec<Node>,
    users: Vec<User>,
    router: Router,
    random: u64,
    pub resets: Vec<HostReset>,
    pub tally: HashMap<&'static str, Tally>,
}

impl Clients {
    pub fn new(router: Router, seed: u64) -> Self {
        Self {
            nodes: Vec::new(),
            users: Vec::new(),
            router,
            random: seed.wrapping_mul(2).wrapping_add(1),
            resets: Vec::new(),
            tally: HashMap::new(),
        }
    }

    pub fn add_node(&mut self, ip: Ipv4Addr, zone: &'static str) -> std::io::Result<usize> {
        let socket = UdpSocket::bind((ip, LANE_PORT))?;
        socket.set_nonblocking(true)?;
        let flows = HashMap::new();
        self.nodes.push(Node {
            ip,
            zone,
            socket,
            flows,
            next_port: 40_000,
        });
        Ok(self.nodes.len() - 1)
    }

    pub fn add_users(&mut self, node: usize, count: usize, habit: &Habit, from: Instant) {
        for _ in 0..count {
            let name = format!("{}{}", habit.name, self.users.len());
            let pause = habit.period.unwrap_or_else(|| self.between(habit.pause_ms));
            self.users.push(User {
                habit: habit.clone(),
                node,
                name,
                port: None,
                ask: None,
                next_ask: from + pause,
                asked: 0,
            });
        }
    }

    fn draw(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random
    }

    fn between(&mut self, (least, most): (u64, u64)) -> Duration {
        let span = most.saturating_sub(least) + 1;
        Duration::from_millis(least + self.draw() % span)
    }

    pub fn run(&mut self, now: Instant, record: &mut Record) {
        for node in 0..self.nodes.len() {
            let mut buffer = [0; 2048];
            while let Ok((size, from)) = self.nodes[node].socket.recv_from(&mut buffer) {
                let std::net::SocketAddr::V4(from) = from else {
                    continue;
                };
                if let Some(packet) = Packet::decode(&buffer[..size]) {
                    self.receive(node, &packet, from, now, record);
                }
            }
        }
        for index in 0..self.users.len() {
            self.run_user(index, now, record);
        }
        for node in 0..self.nodes.len() {
            self.send_due(node, now);
        }
    }

    fn receive(
        &mut self,
        node: usize,
        packet: &Packet,
        from: SocketAddrV4,
        now: Instant,
        record: &mut Record,
    ) {
        let port = packet.to.port();
        let Some(held) = self.nodes[node].flows.get_mut(&port) else {
            return;
        };
        if held.flow.vip != packet.from {
            return;
        }
        if packet.has(RST) {
            self.receive_reset(node, port, packet, from, now, record);
            return;
        }
        if packet.sum != packet.true_sum() {
            record.broken(
                "MIXED",
                &format!("{} got a packet that nobody wrote", held.flow.client),
            );
            return;
        }
        let answer = match &mut held.state {
            State::Opening { .. } => {
                if !packet.has(SYN) || packet.ack != held.seq.wrapping_add(1) {
                    return;
                }
                held.echo = packet.echo;
                held.opened = now;
                held.seq = held.seq.wrapping_add(1);
                let ack = packet.seq.wrapping_add(1);
                held.state = State::Open(Stream::new(held.seq, ack));
                Some((ACK, held.seq, ack))
            }
            // Another endpoint's late answer to a copy of the opening.
            State::Open(_) if packet.has(SYN) => return,
            State::Open(stream) => {
                held.echo = packet.echo;
                let due = stream.receive(packet.seq, packet.ack, &packet.data);
                due.then_some((ACK, stream.send_next, stream.recv_next))
            }
        };
        if let Some((flags, seq, ack)) = answer {
            self.send(node, port, flags, seq, ack, Vec::new());
        }
        let is_closing = packet.has(FIN);
        self.take_answer(node, port, now, record);
        if is_closing {
            self.close(node, port);
        }
    }

    fn receive_reset(
        &mut self,
        node: usize,
        port: u16,
        packet: &Packet,
        from: SocketAddrV4,
        now: Instant,
        record: &mut Record,
    ) {
        let held = &self.nodes[node].flows[&port];
        let opened = matches!(held.state, State::Open(_)).then_some(held.opened);
        let by_host = packet.sum == 0;
        let user = self
            .users
            .iter()
            .position(|user| user.node == node && user.port == Some(port));
        let asked = user.and_then(|user| self.users[user].ask.as_ref());
        let asked = asked.filter(|ask| ask.written).map(|ask| ask.id.clone());
        record.line(&format!(
            "reset on {} by {} {} (open: {}, waiting: {})",
            held.flow.client,
            if by_host { "host" } else { "endpoint" },
            from.ip(),
            opened.is_some(),
            asked.as_deref().unwrap_or("nothing")
        ));
        if by_host {
            let (flow, host) = (held.flow, *from.ip());
            self.resets.push(HostReset {
                flow,
                host,
                opened,
                at: now,
                asked,
            });
        }
        self.nodes[node].flows.remove(&port);
        if let Some(user) = user {
            self.users[user].port = None;
            self.fail_attempt(user, opened.is_some(), now, record);
        }
    }

    /// The flow of a user is gone. Another attempt uses a new flow.
    fn fail_attempt(&mut self, user: usize, opened: bool, now: Instant, record: &mut Record) {
        let user = &mut self.users[user];
        let Some(ask) = &mut user.ask else { return };
        let was_sent = opened && ask.written;
        ask.written = false;
        ask.attempts += 1;
        let may_retry = (user.habit.safe || !was_sent)
            && ask.attempts <= RETRIES
            && now < ask.first_sent + user.habit.deadline;
        let tally = self.tally.entry(user.habit.name).or_default();
        if may_retry {
            tally.retried += 1;
            ask.id = format!("{}-{}-{}", user.name, user.asked, ask.attempts);
        } else {
            tally.failed += 1;
            record.line(&format!("failed {}", ask.id));
            user.ask = None;
            user.next_ask = now + Duration::from_millis(user.habit.pause_ms.1);
        }
    }

    fn run_user(&mut self, index: usize, now: Instant, record: &mut Record) {
        if self.users[index].ask.is_none() {
            if now < self.users[index].next_ask {
                return;
            }
            let work = self.between(self.users[index].habit.work_ms).as_millis() as u64;
            let user = &mut self.users[index];
            user.asked += 1;
            let id = format!("{}-{}-0", user.name, user.asked);
            user.ask = Some(Ask {
                id,
                first_sent: now,
                attempts: 0,
                work,
                written: false,
            });
        }
        let node = self.users[index].node;
        let Some(port) = self.users[index].port else {
            let (vip, node) = (self.users[index].habit.vip, node);
            self.users[index].port = Some(self.open(node, vip, now));
            return;
        };
        let user = &mut self.users[index];
        let Some(ask) = &mut user.ask else { return };
        let Some(held) = self.nodes[node].flows.get_mut(&port) else {
            user.port = None;
            return;
        };
        if now >= ask.first_sent + user.habit.deadline {
            ask.attempts = RETRIES;
            record.line(&format!("deadline {}", ask.id));
            user.port = None;
            self.close(node, port);
            self.fail_attempt(index, true, now, record);
            return;
        }
        match &mut held.state {
            State::Opening { since, .. } => {
                if now >= *since + Duration::from_millis(OPENING[3]) {
                    record.line(&format!("unopened {}", held.flow.client));
                    self.nodes[node].flows.remove(&port);
                    user.port = None;
                    self.fail_attempt(index, false, now, record);
                }
            }
            State::Open(stream) if !ask.written => {
                ask.written = true;
                let (id, work, vip) = (&ask.id, ask.work, held.flow.vip);
                let text = format!(
                    "GET /{}?work={work} HTTP/1.1\r\nHost: {vip}\r\nX-Request-Id: {id}\r\n\r\n",
                    user.habit.name
                );
                stream.write(text.as_bytes());
                record.line(&format!("sent {id} on {}", held.flow.client));
            }
            State::Open(_) => {}
        }
    }

    fn open(&mut self, node: usize, vip: SocketAddrV4, now: Instant) -> u16 {
        let seq = self.draw() as u32;
        let node = &mut self.nodes[node];
        let port = node.next_port;
        node.next_port += 1;
        let flow = Flow {
            client: SocketAddrV4::new(node.ip, port),
            vip,
        };
        let state = State::Opening {
            since: now,
            copies: 0,
        };
        node.flows.insert(
            port,
            ClientFlow {
                flow,
                state,
                seq,
                echo: 0,
                opened: now,
            },
        );
        port
    }

    fn close(&mut self, node: usize, port: u16) {
        if let Some(ClientFlow {
            state: State::Open(stream),
            ..
        }) = self.nodes[node].flows.get(&port)
        {
            let (seq, ack) = (stream.send_next, stream.recv_next);
            self.send(node, port, ACK | FIN, seq, ack, Vec::new());
        }
        self.nodes[node].flows.remove(&port);
        for user in &mut self.users {
            if user.node == node && user.port == Some(port) {
                user.port = None;
            }
        }
    }

    fn take_answer(&mut self, node: usize, port: u16, now: Instant, record: &mut Record) {
        let index = self
            .users
            .iter()
            .position(|user| user.node == node && user.port == Some(port));
        let Some(index) = index else { return };
        let Some(held) = self.nodes[node].flows.get_mut(&port) else {
            return;
        };
        let State::Open(stream) = &mut held.state else {
            return;
        };
        let Some((status, id, body, sign)) = parse_answer(&mut stream.received) else {
            return;
        };
        let pause = self.between(self.users[index].habit.pause_ms);
        let user = &mut self.users[index];
        let Some(ask) = user.ask.take().filter(|ask| ask.written && ask.id == id) else {
            record.broken("MIXED", &format!("{} got the answer to {id}", user.name));
            return;
        };
        let tally = self.tally.entry(user.habit.name).or_default();
        if status == 200 {
            if sign != signature(&id, &body) {
                record.broken("MIXED", &format!("{id} was answered with another body"));
            }
            tally.answered += 1;
            let took = now.saturating_duration_since(ask.first_sent).as_millis();
            record.line(&format!("answered {id} after {took} ms"));
        } else {
            tally.failed += 1;
            record.line(&format!("refused {id}"));
        }
        user.next_ask = match user.habit.period {
            None => now + pause,
            Some(period) => user.next_ask + period,
        };
        if !user.habit.keeps_flow {
            self.close(node, port);
        }
    }

    fn send_due(&mut self, node: usize, now: Instant) {
        let mut out = Vec::new();
        for (port, held) in &mut self.nodes[node].flows {
            match &mut held.state {
                State::Opening { since, copies } => {
                    if *copies < 3 && now >= *since + Duration::from_millis(OPENING[*copies]) {
                        out.push((*port, SYN, held.seq, *copies as u32, Vec::new()));
                        *copies += 1;
                    }
                }
                State::Open(stream) => {
                    // A client gives up at its deadline and not after a number of copies.
                    let segments = stream.due(now, u32::MAX).unwrap_or_default();
                    let ack = stream.recv_next;
                    out.extend(
                        segments
                            .into_iter()
                            .map(|(seq, data)| (*port, ACK, seq, ack, data)),
                    );
                }
            }
        }
        for (port, flags, seq, ack, data) in out {
            self.send(node, port, flags, seq, ack, data);
        }
    }

    fn send(&self, node: usize, port: u16, flags: u8, seq: u32, ack: u32, data: Vec<u8>) {
        let node = &self.nodes[node];
        let Some(held) = node.flows.get(&port) else {
            return;
        };
        let (from, to) = (held.flow.client, held.flow.vip);
        let echo = if flags == SYN { 0 } else { held.echo };
        let packet = Packet {
            seq,
            ack,
            echo,
            flags,
            from,
            to,
            data,
            sum: 0,
        };
        if let Some(host) = self.router.pick(&held.flow, node.zone) {
            let _ = node.socket.send_to(&packet.encode(), host);
        }
    }
}

/// Takes a complete answer: its status, request id, body and signature.
fn parse_answer(received: &mut Vec<u8>) -> Option<(u32, String, String, u64)> {
    let end = received.windows(4).position(|part| part == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&received[..end]).into_owned();
    let value = |name: &str| {
        let line = head.lines().find_map(|line| line.strip_prefix(name));
        line.unwrap_or_default().trim().to_owned()
    };
    let size: usize = value("Content-Length:").parse().ok()?;
    if received.len() < end + size {
        return None;
    }
    let body = String::from_utf8_lossy(&received[end..end + size]).into_owned();
    received.drain(..end + size);
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let sign = u64::from_str_radix(&value("X-Response-Signature:"), 16).ok()?;
    Some((status, value("X-Request-Id:"), body, sign))
}
