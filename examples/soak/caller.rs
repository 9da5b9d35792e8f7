//! Callers: long flows with many requests that may be repeated, and flows of one
//! request that may not.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use crate::checker::Checker;
use crate::endpoint::STATUS_DONE;
use crate::hosts::Router;
use crate::packet::{ACK, FIN, Flow, Packet, RST, SYN};

/// Times at which an opening is sent, and given up.
const OPENINGS: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(200),
    Duration::from_millis(600),
    Duration::from_millis(1_400),
];

/// First and longest pause before data is sent again.
const REPEAT: Duration = Duration::from_millis(200);
const REPEAT_LIMIT: Duration = Duration::from_millis(1_600);

/// Time that a request has.
const DEADLINE: Duration = Duration::from_secs(4);

/// Time within which an answer is in time.
const AIM: Duration = Duration::from_millis(400);

/// Tries of one request.
const TRIES: u32 = 3;

/// What a caller calls.
#[derive(Clone, Copy, Debug)]
pub struct Front {
    pub addr: SocketAddrV4,
    pub service_tag: u8,
    pub once: bool,
}

type Inbox = Arc<Mutex<HashMap<u16, mpsc::UnboundedSender<(Packet, bool, Ipv4Addr)>>>>;

/// A machine of callers with its address.
#[derive(Clone)]
pub struct Machine {
    ip: Ipv4Addr,
    socket: Arc<UdpSocket>,
    inbox: Inbox,
    ports: Arc<AtomicU16>,
    router: Router,
    checker: Checker,
}

/// How a try ended.
enum End {
    Done,
    NotRun,
    NeverOpened,
    Cut,
}

impl Machine {
    pub async fn start(
        addr: SocketAddrV4,
        router: Router,
        checker: Checker,
    ) -> std::io::Result<Self> {
        let machine = Self {
            ip: *addr.ip(),
            socket: Arc::new(UdpSocket::bind(SocketAddr::V4(addr)).await?),
            inbox: Inbox::default(),
            ports: Arc::new(AtomicU16::new(2_000)),
            router,
            checker,
        };
        tokio::spawn(machine.clone().receive());
        Ok(machine)
    }

    async fn receive(self) {
        let mut buffer = vec![0; 2_000];
        loop {
            let Ok((size, SocketAddr::V4(from))) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            let Some((packet, is_intact)) = Packet::decode(&buffer[..size], true) else {
                self.checker.lock().report_violation("altered", "no packet");
                continue;
            };
            let inbox = self.inbox.lock().unwrap_or_else(PoisonError::into_inner);
            if let Some(flow) = inbox.get(&packet.flow.caller.port()) {
                // A flow that has ended takes nothing more.
                let _ = flow.send((packet, is_intact, *from.ip()));
            }
        }
    }

    fn register(&self, port: u16, flow: mpsc::UnboundedSender<(Packet, bool, Ipv4Addr)>) {
        let mut inbox = self.inbox.lock().unwrap_or_else(PoisonError::into_inner);
        inbox.insert(port, flow);
    }

    /// Makes requests until the end.
    pub async fn call(self, front: Front, seed: u64, until: Instant) {
        let mut rng = SmallRng::seed_from_u64(seed);
        sleep(Duration::from_millis(rng.random_range(0..500))).await;
        let mut open = None;
        while Instant::now() < until {
            self.request(&front, &mut open, &mut rng).await;
            if front.once {
                open = None;
            }
            sleep(Duration::from_millis(rng.random_range(50..350))).await;
        }
    }

    /// One request with its tries.
    async fn request(&self, front: &Front, open: &mut Option<Open>, rng: &mut SmallRng) {
        let start = Instant::now();
        self.checker.lock().total_requests += 1;
        for _ in 0..TRIES {
            let id: u64 = rng.random();
            let end = self.attempt(front, open, id, start + DEADLINE, rng).await;
            match end {
                End::Done => {
                    let mut observed = self.checker.lock();
                    observed.served_requests += 1;
                    observed.late_answers += u64::from(start.elapsed() > AIM);
                    return;
                }
                End::NotRun | End::NeverOpened => {
                    self.checker.lock().record_not_run(id);
                    *open = None;
                }
                End::Cut => {
                    *open = None;
                    if front.once {
                        break;
                    }
                }
            }
            if Instant::now() >= start + DEADLINE {
                break;
            }
        }
        self.checker.lock().failed_requests += 1;
    }

    async fn attempt(
        &self,
        front: &Front,
        open: &mut Option<Open>,
        id: u64,
        deadline: Instant,
        rng: &mut SmallRng,
    ) -> End {
        if open.is_none() {
            *open = Open::open(self, front.addr, rng).await;
        }
        let Some(flow) = open.as_mut() else {
            return End::NeverOpened;
        };
        let mut data = vec![0; 100];
        data[..8].copy_from_slice(&id.to_be_bytes());
        data[8] = front.service_tag;
        data[9] = u8::from(front.once);
        let end = flow.ask(data, id, deadline).await;
        if front.once || !matches!(end, End::Done) {
            flow.close().await;
        }
        end
    }
}

/// A flow that its endpoint has accepted.
struct Open {
    machine: Machine,
    flow: Flow,
    inbox: mpsc::UnboundedReceiver<(Packet, bool, Ipv4Addr)>,
    seq: u32,
    ack: u32,
    cookie: u32,
}

impl Open {
    async fn open(machine: &Machine, front: SocketAddrV4, rng: &mut SmallRng) -> Option<Self> {
        let port = 2_000 + machine.ports.fetch_add(1, Ordering::Relaxed) % 60_000;
        let (sender, inbox) = mpsc::unbounded_channel();
        machine.register(port, sender);
        let caller = SocketAddrV4::new(machine.ip, port);
        let mut open = Self {
            machine: machine.clone(),
            flow: Flow { caller, front },
            inbox,
            seq: rng.random(),
            ack: 0,
            cookie: 0,
        };
        let start = Instant::now();
        for (copies, times) in OPENINGS.windows(2).enumerate() {
            sleep_until(start + times[0]).await;
            let copies = u32::try_from(copies).unwrap_or(0);
            open.send(SYN, open.seq, copies, Vec::new()).await;
            let Ok(answer) = timeout_at(start + times[1], open.inbox.recv()).await else {
                continue;
            };
            let (packet, is_intact, _) = answer?;
            if !is_intact || packet.has_flag(RST) {
                return None;
            }
            open.seq = open.seq.wrapping_add(1);
            open.ack = packet.seq.wrapping_add(1);
            open.cookie = packet.cookie;
            open.send(ACK, open.seq, open.ack, Vec::new()).await;
            return Some(open);
        }
        None
    }

    async fn ask(&mut self, data: Vec<u8>, id: u64, deadline: Instant) -> End {
        let length = u32::try_from(data.len()).unwrap_or(0);
        let mut pause = REPEAT;
        loop {
            self.send(ACK, self.seq, self.ack, data.clone()).await;
            let due = (Instant::now() + pause).min(deadline);
            while let Ok(answer) = timeout_at(due, self.inbox.recv()).await {
                let Some((packet, is_intact, from)) = answer else {
                    return End::Cut;
                };
                if packet.has_flag(RST) {
                    if !is_intact {
                        self.machine.checker.lock().record_reset(&self.flow, from);
                    }
                    return End::Cut;
                }
                // An endpoint that was asked by another copy of the opening answers late.
                if packet.cookie != 0 && !packet.has_flag(SYN) {
                    self.cookie = packet.cookie;
                }
                if packet.data.is_empty() {
                    continue;
                }
                let answered = packet.data.get(1..9) == Some(&id.to_be_bytes()[..]);
                if !answered {
                    // A copy of the answer before, whose acknowledgement was lost.
                    self.send(ACK, self.seq.wrapping_add(length), self.ack, Vec::new())
                        .await;
                    continue;
                }
                self.seq = self.seq.wrapping_add(length);
                let taken = u32::try_from(packet.data.len()).unwrap_or(0);
                self.ack = packet.seq.wrapping_add(taken);
                self.send(ACK, self.seq, self.ack, Vec::new()).await;
                return if packet.data[0] == STATUS_DONE {
                    End::Done
                } else {
                    End::NotRun
                };
            }
            if Instant::now() >= deadline {
                if let SocketAddr::V4(host) = self.machine.router.pick_host(&self.flow) {
                    self.machine
                        .checker
                        .lock()
                        .record_stall(&self.flow, *host.ip());
                }
                return End::Cut;
            }
            pause = (pause * 2).min(REPEAT_LIMIT);
        }
    }

    async fn close(&self) {
        self.send(FIN | ACK, self.seq, self.ack, Vec::new()).await;
    }

    async fn send(&self, flags: u8, seq: u32, ack: u32, data: Vec<u8>) {
        let packet = Packet {
            flow: self.flow,
            to_caller: false,
            seq,
            ack,
            cookie: if flags == SYN { 0 } else { self.cookie },
            flags,
            data,
        };
        let to = self.machine.router.pick_host(&self.flow);
        // A datagram that is not taken is lost, as on a network.
        let _ = self.machine.socket.send_to(&packet.encode(), to).await;
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        let mut inboxes = self
            .machine
            .inbox
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        inboxes.remove(&self.flow.caller.port());
    }
}
