//! Endpoints: they hold flows, work on requests in slots and report to the store.

use std::collections::{HashMap, VecDeque};
use std::net::{SocketAddrV4, UdpSocket};
use std::time::{Duration, Instant, SystemTime};

use crate::hosts::LANE_PORT;
use crate::packet::{ACK, FIN, Flow, Packet, RST, SYN};
use crate::record::Record;
use crate::store::Store;
use crate::stream::Stream;

pub const REPORT_PERIOD: Duration = Duration::from_millis(1200);

/// Number of requests that wait for a slot; more are refused.
const QUEUE: usize = 12;

/// Number of retransmissions after which an endpoint gives up a flow.
const MAX_REPEATS: u32 = 8;

struct Held {
    open: bool,
    own_seq: u32,
    stream: Stream,
    echo: u32,
    host: SocketAddrV4,
    close_next: bool,
}

struct Job {
    flow: Flow,
    id: String,
    work: Duration,
}

pub struct Endpoint {
    pub id: String,
    pub number: u64,
    pub service: &'static str,
    pub zone: &'static str,
    pub addr: SocketAddrV4,
    pub slots: usize,
    pub draining: bool,
    /// Time of the crash, if the process is dead.
    pub crashed: Option<Instant>,
    started_ms: u128,
    reports: u64,
    next_report: Instant,
    socket: UdpSocket,
    flows: HashMap<Flow, Held>,
    queue: VecDeque<Job>,
    running: Vec<(Instant, Job)>,
    next_seq: u32,
}

impl Endpoint {
    pub fn start(
        number: u64,
        service: &'static str,
        zone: &'static str,
        addr: SocketAddrV4,
        slots: usize,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(addr)?;
        socket.set_nonblocking(true)?;
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        Ok(Self {
            id: format!("i-{number:08x}"),
            number,
            service,
            zone,
            addr,
            slots,
            draining: false,
            crashed: None,
            started_ms: since_epoch.unwrap_or_default().as_millis(),
            reports: 0,
            next_report: Instant::now(),
            socket,
            flows: HashMap::new(),
            queue: VecDeque::new(),
            running: Vec::new(),
            next_seq: number as u32,
        })
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Writes the entry now; the store's answer is the revision.
    pub fn report(&mut self, store: &Store) -> u64 {
        self.reports += 1;
        let state = if self.draining { "draining" } else { "ready" };
        store.put(
            &self.key(),
            Some(&format!(
                "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\
                 \"Concurrency\":{},\"State\":\"{state}\",\"WarmupLeftMs\":0,\"SeqNo\":{},\"born\":{}}}",
                self.service, self.addr, self.zone, self.slots, self.reports, self.started_ms
            )),
        )
    }

    /// The process dies: its flows and its work are gone, and nothing is sent any more.
    pub fn crash(&mut self, now: Instant) {
        self.crashed = Some(now);
        self.flows.clear();
        self.queue.clear();
        self.running.clear();
    }

    pub fn holds_open(&self, flow: &Flow) -> bool {
        self.flows.get(flow).is_some_and(|held| held.open)
    }

    pub fn run(&mut self, now: Instant, store: &Store, record: &mut Record) {
        let mut buffer = [0; 2048];
        while let Ok((size, from)) = self.socket.recv_from(&mut buffer) {
            if self.crashed.is_some() {
                continue;
            }
            let std::net::SocketAddr::V4(from) = from else {
                continue;
            };
            self.receive(&buffer[..size], from, record);
        }
        if self.crashed.is_some() {
            return;
        }
        if now >= self.next_report {
            self.next_report = now + REPORT_PERIOD;
            self.report(store);
        }
        self.work(now, record);
        self.send_due(now);
    }

    fn receive(&mut self, bytes: &[u8], from: SocketAddrV4, record: &mut Record) {
        if bytes.len() < 8 {
            return;
        }
        let number = u64::from_be_bytes(bytes[..8].try_into().unwrap());
        if number != 0 && number != self.number {
            return;
        }
        let Some(packet) = Packet::decode(&bytes[8..]) else {
            record.broken("UNASKED", &format!("{} got a malformed packet", self.id));
            return;
        };
        if packet.sum != packet.true_sum() || packet.has(SYN) && packet.has(ACK) {
            record.broken(
                "UNASKED",
                &format!("{} got a packet that no client wrote", self.id),
            );
            return;
        }
        let flow = Flow {
            client: packet.from,
            vip: packet.to,
        };
        if packet.has(RST) {
            self.flows.remove(&flow);
            return;
        }
        if packet.has(SYN) {
            self.accept(flow, &packet, from, record);
            return;
        }
        let Some(held) = self.flows.get_mut(&flow) else {
            self.reset(&flow, &packet, record);
            return;
        };
        if !held.open {
            if packet.ack != held.own_seq.wrapping_add(1) {
                // The client acknowledges another endpoint's answer to the opening.
                self.flows.remove(&flow);
                self.reset(&flow, &packet, record);
                return;
            }
            held.open = true;
            record.line(&format!(
                "open {} at {} through {}",
                flow.client,
                self.id,
                from.ip()
            ));
        }
        held.echo = packet.echo;
        held.host = from;
        let is_due = held.stream.receive(packet.seq, packet.ack, &packet.data);
        let requests = take_requests(&mut held.stream.received);
        if packet.has(FIN) {
            let seq = held.stream.send_next;
            let ack = held.stream.recv_next.wrapping_add(1);
            self.send(&flow, ACK | FIN, seq, ack, Vec::new());
            self.flows.remove(&flow);
            return;
        }
        if is_due {
            let (seq, ack) = (held.stream.send_next, held.stream.recv_next);
            self.send(&flow, ACK, seq, ack, Vec::new());
        }
        for (id, work) in requests {
            if self.queue.len() >= QUEUE {
                self.respond(&flow, &id, "503 Service Unavailable", 0);
            } else {
                self.queue.push_back(Job { flow, id, work });
            }
        }
    }

    fn accept(&mut self, flow: Flow, packet: &Packet, from: SocketAddrV4, record: &mut Record) {
        if !self.flows.contains_key(&flow) {
            self.next_seq = self
                .next_seq
                .wrapping_mul(1_664_525)
                .wrapping_add(1_013_904_223);
            let own_seq = self.next_seq;
            let stream = Stream::new(own_seq.wrapping_add(1), packet.seq.wrapping_add(1));
            let held = Held {
                open: false,
                own_seq,
                stream,
                echo: packet.echo,
                host: from,
                close_next: false,
            };
            self.flows.insert(flow, held);
            record.opening(&flow, &self.id, from);
        }
        let (seq, ack) = (self.flows[&flow].own_seq, packet.seq.wrapping_add(1));
        self.send(&flow, SYN | ACK, seq, ack, Vec::new());
    }

    /// Answers a packet of a flow that this endpoint does not hold.
    fn reset(&mut self, flow: &Flow, packet: &Packet, record: &mut Record) {
        record.line(&format!(
            "{} does not hold {} and resets it",
            self.id, flow.client
        ));
        self.send_with(flow, RST, packet.ack, packet.seq, packet.echo, Vec::new());
    }

    fn work(&mut self, now: Instant, record: &mut Record) {
        let mut index = 0;
        while index < self.running.len() {
            if now >= self.running[index].0 {
                let (_, job) = self.running.swap_remove(index);
                record.line(&format!("ran {} at {}", job.id, self.id));
                self.respond(&job.flow, &job.id, "200 OK", 2000);
            } else {
                index += 1;
            }
        }
        while self.running.len() < self.slots {
            let Some(job) = self.queue.pop_front() else {
                break;
            };
            record.line(&format!(
                "works {} {} ms at {}",
                job.id,
                job.work.as_millis(),
                self.id
            ));
            self.running.push((now + job.work, job));
        }
    }

    fn respond(&mut self, flow: &Flow, id: &str, status: &str, size: usize) {
        let draining = self.draining;
        let body: String = id.chars().cycle().take(size).collect();
        let text = format!(
            "HTTP/1.1 {status}\r\nContent-Length: {size}\r\nX-Request-Id: {id}\r\n\
             X-Instance-Id: {}\r\nX-Response-Signature: {:016x}\r\n\r\n{body}",
            self.id,
            signature(id, &body)
        );
        if let Some(held) = self.flows.get_mut(flow) {
            held.stream.write(text.as_bytes());
            held.close_next |= draining;
        }
    }

    fn send_due(&mut self, now: Instant) {
        let mut out = Vec::new();
        let mut ended = Vec::new();
        for (flow, held) in &mut self.flows {
            if !held.open {
                continue;
            }
            let Some(segments) = held.stream.due(now, MAX_REPEATS) else {
                ended.push(*flow);
                continue;
            };
            let ack = held.stream.recv_next;
            out.extend(
                segments
                    .into_iter()
                    .map(|(seq, data)| (*flow, ACK, seq, ack, data)),
            );
            if held.close_next && held.stream.is_sent() {
                out.push((*flow, ACK | FIN, held.stream.send_next, ack, Vec::new()));
                ended.push(*flow);
            }
        }
        for (flow, flags, seq, ack, data) in out {
            self.send(&flow, flags, seq, ack, data);
        }
        for flow in ended {
            self.flows.remove(&flow);
        }
    }

    fn send(&self, flow: &Flow, flags: u8, seq: u32, ack: u32, data: Vec<u8>) {
        let echo = self.flows.get(flow).map_or(0, |held| held.echo);
        self.send_with(flow, flags, seq, ack, echo, data);
    }

    fn send_with(&self, flow: &Flow, flags: u8, seq: u32, ack: u32, echo: u32, data: Vec<u8>) {
        let (from, to) = (flow.vip, flow.client);
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
        let addr = SocketAddrV4::new(*flow.client.ip(), LANE_PORT);
        let _ = self.socket.send_to(&packet.encode(), addr);
    }
}

/// Signature of an answer, by which a client knows the endpoint's whole body.
pub fn signature(id: &str, body: &str) -> u64 {
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
    id.bytes()
        .chain(body.bytes())
        .fold(0x5bd1_e995_aaaa_5555, mix)
}

/// Takes the complete requests from what was received: their ids and their work.
fn take_requests(received: &mut Vec<u8>) -> Vec<(String, Duration)> {
    let mut found = Vec::new();
    while let Some(end) = received.windows(4).position(|part| part == b"\r\n\r\n") {
        let head: Vec<u8> = received.drain(..end + 4).collect();
        let text = String::from_utf8_lossy(&head).into_owned();
        let value = |name: &str| {
            let line = text.lines().find_map(|line| line.strip_prefix(name));
            line.unwrap_or_default().trim().to_owned()
        };
        let work = text
            .split("work=")
            .nth(1)
            .and_then(|rest| rest.split(' ').next());
        let work = work.and_then(|text| text.parse().ok()).unwrap_or(0);
        found.push((value("X-Request-Id:"), Duration::from_millis(work)));
    }
    found
}
