//! Clients: machines with one socket each, and flows that are used by one thread each.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicU16, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::endpoint::request_id;
use crate::hosts::{Router, hash};
use crate::packet::{ACK, FIN, Flow, Packet, RST, SYN, is_after};
use crate::record::Record;

/// Times at which an opening is sent, and at which its client gives up.
const OPEN_TIMES: [u64; 4] = [0, 200, 600, 1_400];

const FIRST_PAUSE: Duration = Duration::from_millis(200);
const MAX_PAUSE: Duration = Duration::from_millis(1_600);

/// Distance from the client's last `ack` within which the `seq` of a reset counts.
const RESET_WINDOW: u32 = 76_800;

/// A reset that the system sent on an open flow.
#[derive(Clone, Debug)]
pub struct SystemReset {
    pub flow: Flow,
    pub at: Duration,
    pub idle: Duration,
    pub age: Duration,
    /// Address of the sender.
    pub from: SocketAddrV4,
}

#[derive(Clone, Debug)]
pub enum End {
    Answered,
    NotRun,
    SystemReset(SystemReset),
    EndpointReset,
    Closed,
    Silent,
}

type Inbox = Receiver<(Packet, SocketAddrV4)>;

pub struct Machine {
    pub ip: Ipv4Addr,
    pub zone: &'static str,
    socket: UdpSocket,
    inboxes: Mutex<HashMap<u16, Sender<(Packet, SocketAddrV4)>>>,
    next_port: AtomicU16,
    next_id: AtomicU64,
    router: Router,
    record: Arc<Record>,
}

impl Machine {
    pub fn start(
        ip: Ipv4Addr,
        zone: &'static str,
        port: u16,
        router: &Router,
        record: &Arc<Record>,
    ) -> std::io::Result<Arc<Self>> {
        let machine = Arc::new(Self {
            ip,
            zone,
            socket: UdpSocket::bind((ip, port))?,
            inboxes: Mutex::default(),
            next_port: AtomicU16::new(2_000),
            next_id: AtomicU64::new(u64::from(u32::from(ip)) << 32),
            router: router.clone(),
            record: Arc::clone(record),
        });
        let receiver = Arc::clone(&machine);
        thread::spawn(move || receiver.receive());
        Ok(machine)
    }

    fn receive(&self) {
        let mut buffer = [0; 2_000];
        loop {
            let Ok((size, std::net::SocketAddr::V4(from))) = self.socket.recv_from(&mut buffer)
            else {
                continue;
            };
            let Some(packet) = Packet::decode(&buffer[..size]) else {
                self.record.say("MIXED: a packet that can't be read");
                continue;
            };
            let inboxes = self.inboxes.lock().unwrap_or_else(|err| err.into_inner());
            if let Some(inbox) = inboxes.get(&packet.dst.port()) {
                let _ = inbox.send((packet, from));
            }
        }
    }

    /// Opens a flow to a route; `None` if it doesn't open.
    pub fn open(self: &Arc<Self>, route: SocketAddrV4) -> Option<Connection> {
        let port = self.next_port.fetch_add(1, Ordering::Relaxed);
        let (sender, inbox) = channel();
        self.inboxes
            .lock()
            .unwrap_or_else(|err| err.into_inner())
            .insert(port, sender);
        let flow = Flow {
            client: SocketAddrV4::new(self.ip, port),
            route,
        };
        let start = hash(&format!("{flow:?}{:?}", self.record.now())) as u32;
        let now = Instant::now();
        let mut open = Connection {
            machine: Arc::clone(self),
            flow,
            inbox,
            seq: start,
            ack: 0,
            echo: 0,
            unacked: 0,
            opened: now,
            used: now,
            peer_closed: false,
            is_reset: false,
        };
        for copy in 0..3 {
            let at = |index: usize| now + Duration::from_millis(OPEN_TIMES[index]);
            thread::sleep(at(copy).saturating_duration_since(Instant::now()));
            let node = open.send(SYN, start, copy as u32, Vec::new());
            self.record.line(&format!(
                "client {} SYN copy {copy} to {route} through {node}",
                flow.client
            ));
            while let Ok((packet, from)) = open
                .inbox
                .recv_timeout(at(copy + 1).saturating_duration_since(Instant::now()))
            {
                if packet.has(RST) {
                    self.record.line(&format!(
                        "client {} not opened: reset from {from}",
                        flow.client
                    ));
                    return None;
                }
                if packet.has(SYN) && packet.is_intact() && packet.ack == start.wrapping_add(1) {
                    open.seq = start.wrapping_add(1);
                    open.ack = packet.seq.wrapping_add(1);
                    open.echo = packet.echo;
                    open.send(ACK, open.seq, open.ack, Vec::new());
                    return Some(open);
                }
            }
        }
        self.record
            .line(&format!("client {} not opened: silence", flow.client));
        None
    }
}

/// An open flow.
pub struct Connection {
    machine: Arc<Machine>,
    pub flow: Flow,
    inbox: Inbox,
    seq: u32,
    ack: u32,
    echo: u32,
    /// Data packets received since the last acknowledgement.
    unacked: u32,
    opened: Instant,
    used: Instant,
    peer_closed: bool,
    is_reset: bool,
}

impl Connection {
    /// Sends a request and waits for its answer.
    pub fn request(&mut self, deadline: Duration) -> End {
        let id = self.machine.next_id.fetch_add(1, Ordering::Relaxed);
        let data = format!(
            "GET /feed HTTP/1.1\r\nHost: {}\r\nX-Request-Id: {id:x}\r\n\r\n",
            self.flow.route
        )
        .into_bytes();
        let end = self.seq.wrapping_add(data.len() as u32);
        let (start, idle) = (Instant::now(), self.used.elapsed());
        let mut pause = FIRST_PAUSE;
        let mut through = Vec::new();
        let mut is_acked = false;
        let mut answer = Vec::new();
        loop {
            if !is_acked {
                through.push(self.send(ACK, self.seq, self.ack, data.clone()));
            }
            let due = (Instant::now() + pause).min(start + deadline);
            while let Ok((packet, from)) = self
                .inbox
                .recv_timeout(due.saturating_duration_since(Instant::now()))
            {
                if packet.has(RST) {
                    if let Some(end) = self.reset(&packet, from, idle) {
                        return end;
                    }
                    continue;
                }
                is_acked |= packet.ack == end;
                if self.take(&packet) {
                    answer.extend(&packet.data);
                }
                if !is_whole(&answer) {
                    continue;
                }
                if request_id(&answer) != Some(id) {
                    self.machine.record.say(&format!(
                        "MIXED: client {} got the answer of another request",
                        self.flow.client
                    ));
                }
                self.seq = end;
                self.used = Instant::now();
                let text = String::from_utf8_lossy(&answer).into_owned();
                let line = text.lines().next().unwrap_or_default();
                self.machine
                    .record
                    .line(&format!("client {} {id:x}: {line}", self.flow.client));
                return if line.contains(" 200 ") {
                    End::Answered
                } else {
                    End::NotRun
                };
            }
            if Instant::now() >= start + deadline {
                self.machine.record.line(&format!(
                    "client {} {id:x}: no answer, through {}",
                    self.flow.client,
                    through.join(" ")
                ));
                return End::Silent;
            }
            pause = (pause * 2).min(MAX_PAUSE);
        }
    }

    /// Leaves the flow idle, and acknowledges what still comes.
    pub fn idle(&mut self, time: Duration) -> Option<End> {
        let until = Instant::now() + time;
        while let Ok((packet, from)) = self
            .inbox
            .recv_timeout(until.saturating_duration_since(Instant::now()))
        {
            if packet.has(RST) {
                let idle = self.used.elapsed();
                if let Some(end) = self.reset(&packet, from, idle) {
                    return Some(end);
                }
            } else {
                self.take(&packet);
                if self.peer_closed {
                    self.close();
                    return Some(End::Closed);
                }
            }
        }
        thread::sleep(until.saturating_duration_since(Instant::now()));
        None
    }

    /// Closes the flow, unless it was reset.
    pub fn close(&mut self) {
        if self.is_reset {
            return;
        }
        self.send(FIN | ACK, self.seq, self.ack, Vec::new());
    }

    /// Takes a packet of the endpoint; returns true if it brings new data.
    fn take(&mut self, packet: &Packet) -> bool {
        if !packet.is_intact() {
            self.machine.record.say(&format!(
                "MIXED: client {} got a packet that its sender didn't write so",
                self.flow.client
            ));
            return false;
        }
        if packet.has(SYN) {
            return false;
        }
        self.echo = packet.echo;
        let is_new = !packet.data.is_empty() && packet.seq == self.ack;
        if is_new {
            self.ack = self.ack.wrapping_add(packet.data.len() as u32);
        }
        if packet.has(FIN) && !is_after(self.ack, packet.seq.wrapping_add(packet.data.len() as u32))
        {
            self.ack = self.ack.wrapping_add(1);
            self.peer_closed = true;
        }
        self.unacked += u32::from(!packet.data.is_empty());
        if self.unacked >= 2 {
            self.unacked = 0;
            self.send(ACK, self.seq, self.ack, Vec::new());
        }
        is_new
    }

    /// Returns the end of the flow by a reset, unless the reset doesn't count.
    fn reset(&mut self, packet: &Packet, from: SocketAddrV4, idle: Duration) -> Option<End> {
        let record = &self.machine.record;
        if packet.is_intact() {
            self.is_reset = true;
            record.line(&format!(
                "client {} reset by its endpoint",
                self.flow.client
            ));
            return Some(End::EndpointReset);
        }
        let distance = packet
            .seq
            .wrapping_sub(self.ack)
            .min(self.ack.wrapping_sub(packet.seq));
        if packet.sum != 0 || !packet.data.is_empty() || distance > RESET_WINDOW {
            record.line(&format!(
                "client {} ignores a reset from {from}",
                self.flow.client
            ));
            return None;
        }
        self.is_reset = true;
        record.line(&format!(
            "client {} reset by the system, {from}",
            self.flow.client
        ));
        Some(End::SystemReset(SystemReset {
            flow: self.flow,
            at: record.now(),
            idle,
            age: self.opened.elapsed(),
            from,
        }))
    }

    fn send(&mut self, flags: u8, seq: u32, ack: u32, data: Vec<u8>) -> String {
        if !data.is_empty() || flags & FIN != 0 {
            self.unacked = 0;
        }
        let echo = if flags & SYN != 0 { 0 } else { self.echo };
        let packet = Packet {
            src: self.flow.client,
            dst: self.flow.route,
            seq,
            ack,
            echo,
            sum: 0,
            flags,
            data,
        };
        let (name, to) = self.machine.router.pick(&self.flow, self.machine.zone);
        let _ = self.machine.socket.send_to(&packet.encode(), to);
        name
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut inboxes = self
            .machine
            .inboxes
            .lock()
            .unwrap_or_else(|err| err.into_inner());
        inboxes.remove(&self.flow.client.port());
    }
}

/// True if an answer has come with its whole body.
fn is_whole(answer: &[u8]) -> bool {
    let text = String::from_utf8_lossy(answer);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head
        .split_once("Content-Length: ")
        .and_then(|(_, rest)| rest.lines().next()?.parse().ok());
    length.is_some_and(|length: usize| body.len() >= length)
}
