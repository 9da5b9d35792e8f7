//! Simulated callers: long-lived flows with many requests that are safe to repeat, and
//! flows with a single request that is not.

use std::collections::{HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use crate::endpoint::STATUS_DONE;
use crate::history::{FlowEvent, FlowHistory};
use crate::hosts::Router;
use crate::ledger::{Checker, RequestCopy};
use crate::packet::{ACK, FIN, Flow, Packet, RST, SYN};

/// Times at which the opening segment is sent; at the last one the caller gives up.
const OPEN_SCHEDULE: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(200),
    Duration::from_millis(600),
    Duration::from_millis(1_400),
];

/// First and longest pause before a request is retransmitted.
const RETRANSMIT_PAUSE: Duration = Duration::from_millis(200);
const MAX_RETRANSMIT_PAUSE: Duration = Duration::from_millis(1_600);

/// Time within which a request must be answered, over all its attempts.
const REQUEST_DEADLINE: Duration = Duration::from_secs(4);

/// Latency above which an answer counts as late.
const TARGET_LATENCY: Duration = Duration::from_millis(400);

/// Minimum time from the end of a flow to the next one from its port. Hosts remember flows for 20 s.
const PORT_PAUSE: Duration = Duration::from_secs(1);

/// Number of closed flows whose ports a machine may use again.
const MAX_CLOSED_FLOWS: usize = 100;

/// Maximum number of attempts of one request.
const MAX_ATTEMPTS: u32 = 3;

/// A virtual address with the service behind it; `run_once` marks a route whose requests
/// are not safe to repeat.
#[derive(Clone, Copy, Debug)]
pub struct Vip {
    pub addr: SocketAddrV4,
    pub service_tag: u8,
    pub run_once: bool,
}

/// Channels to the open flows, by the callers' ports; each packet comes with the validity
/// of its checksum and the address of the host that sent it.
type FlowInboxes = Arc<Mutex<HashMap<u16, mpsc::UnboundedSender<(Packet, bool, Ipv4Addr)>>>>;

/// Flows that their caller has closed, whose ports it uses again, and when it closed them.
type ClosedFlows = Arc<Mutex<VecDeque<(Instant, Flow)>>>;

/// A machine that several callers share, with its address.
#[derive(Clone)]
pub struct CallerNode {
    ip: Ipv4Addr,
    socket: Arc<UdpSocket>,
    inboxes: FlowInboxes,
    next_port: Arc<AtomicU16>,
    closed_flows: ClosedFlows,
    router: Router,
    checker: Checker,
}

/// Result of one attempt of a request.
enum AttemptResult {
    Answered,
    NotRun,
    /// No endpoint accepted the flow, so that the request cannot have run.
    OpenFailed,
    /// The flow was reset, or the deadline passed; whether the request ran is unknown.
    FlowLost,
}

impl CallerNode {
    pub async fn start(
        addr: SocketAddrV4,
        router: Router,
        checker: Checker,
    ) -> std::io::Result<Self> {
        let node = Self {
            ip: *addr.ip(),
            socket: Arc::new(UdpSocket::bind(SocketAddr::V4(addr)).await?),
            inboxes: FlowInboxes::default(),
            next_port: Arc::new(AtomicU16::new(2_000)),
            closed_flows: ClosedFlows::default(),
            router,
            checker,
        };
        tokio::spawn(node.clone().receive());
        Ok(node)
    }

    async fn receive(self) {
        let mut buffer = vec![0; 2_000];
        loop {
            let Ok((size, SocketAddr::V4(from))) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            let Some((packet, is_intact)) = Packet::decode(&buffer[..size], true) else {
                self.checker
                    .lock()
                    .report_violation("altered", "invalid packet");
                continue;
            };
            let inboxes = self.inboxes.lock().unwrap_or_else(PoisonError::into_inner);
            if let Some(flow) = inboxes.get(&packet.flow.caller.port()) {
                // An error means that the flow has ended meanwhile.
                let _ = flow.send((packet, is_intact, *from.ip()));
            }
        }
    }

    fn register_flow(&self, port: u16, flow: mpsc::UnboundedSender<(Packet, bool, Ipv4Addr)>) {
        let mut inboxes = self.inboxes.lock().unwrap_or_else(PoisonError::into_inner);
        inboxes.insert(port, flow);
    }

    /// Returns the port of the next flow to `vip`: one whose flow both ends have closed, if there is
    /// one.
    fn choose_port(&self, vip: SocketAddrV4) -> u16 {
        let observed = self.checker.lock();
        let closed = self.closed_flows.lock();
        let mut closed = closed.unwrap_or_else(PoisonError::into_inner);
        let found = closed.iter().position(|(closed_at, flow)| {
            flow.front == vip
                && closed_at.elapsed() >= PORT_PAUSE
                && !observed.flow_owners.contains_key(flow)
        });
        if let Some((_, flow)) = found.and_then(|at| closed.remove(at)) {
            return flow.caller.port();
        }
        2_000 + self.next_port.fetch_add(1, Ordering::Relaxed) % 60_000
    }

    /// Opens a flow to `vip` and closes it again; returns false if no endpoint accepted it.
    pub async fn can_open(&self, vip: SocketAddrV4, rng: &mut SmallRng) -> bool {
        let Some(mut flow) = OpenFlow::open(self, vip, rng).await else {
            return false;
        };
        flow.close().await;
        true
    }

    /// Makes one request after the other until `end`, which may change meanwhile.
    pub async fn run_caller(self, vip: Vip, seed: u64, end: watch::Receiver<Instant>) {
        let mut rng = SmallRng::seed_from_u64(seed);
        sleep(Duration::from_millis(rng.random_range(0..500))).await;
        let mut open_flow = None;
        while Instant::now() < *end.borrow() {
            self.run_request(&vip, &mut open_flow, &mut rng).await;
            if vip.run_once {
                open_flow = None;
            }
            sleep(Duration::from_millis(rng.random_range(50..350))).await;
        }
    }

    /// Makes a request with up to [`MAX_ATTEMPTS`] attempts and records the outcome.
    async fn run_request(&self, vip: &Vip, open_flow: &mut Option<OpenFlow>, rng: &mut SmallRng) {
        let start = Instant::now();
        self.checker.lock().total_requests += 1;
        for _ in 0..MAX_ATTEMPTS {
            let id: u64 = rng.random();
            let result = self
                .attempt(vip, open_flow, id, start + REQUEST_DEADLINE, rng)
                .await;
            match result {
                AttemptResult::Answered => {
                    let mut observed = self.checker.lock();
                    observed.served_requests += 1;
                    observed.late_answers += u64::from(start.elapsed() > TARGET_LATENCY);
                    return;
                }
                AttemptResult::NotRun | AttemptResult::OpenFailed => {
                    self.checker.lock().record_not_run(id);
                    *open_flow = None;
                }
                AttemptResult::FlowLost => {
                    *open_flow = None;
                    if vip.run_once {
                        break;
                    }
                }
            }
            if Instant::now() >= start + REQUEST_DEADLINE {
                break;
            }
        }
        self.checker.lock().failed_requests += 1;
    }

    async fn attempt(
        &self,
        vip: &Vip,
        open_flow: &mut Option<OpenFlow>,
        id: u64,
        deadline: Instant,
        rng: &mut SmallRng,
    ) -> AttemptResult {
        if open_flow.is_none() {
            *open_flow = OpenFlow::open(self, vip.addr, rng).await;
        }
        let Some(flow) = open_flow.as_mut() else {
            return AttemptResult::OpenFailed;
        };
        let mut data = vec![0; 100];
        data[..8].copy_from_slice(&id.to_be_bytes());
        data[8] = vip.service_tag;
        data[9] = u8::from(vip.run_once);
        let result = flow.send_request(data, id, deadline).await;
        if vip.run_once || !matches!(result, AttemptResult::Answered) {
            flow.close().await;
        }
        result
    }
}

/// A flow as its caller sees it, from the opening segment on.
struct OpenFlow {
    node: CallerNode,
    flow: Flow,
    inbox: mpsc::UnboundedReceiver<(Packet, bool, Ipv4Addr)>,
    seq: u32,
    ack: u32,
    cookie: u32,
    history: FlowHistory,
}

impl OpenFlow {
    async fn open(node: &CallerNode, vip: SocketAddrV4, rng: &mut SmallRng) -> Option<Self> {
        let port = node.choose_port(vip);
        let (sender, inbox) = mpsc::unbounded_channel();
        node.register_flow(port, sender);
        let caller = SocketAddrV4::new(node.ip, port);
        let mut open = Self {
            node: node.clone(),
            flow: Flow { caller, front: vip },
            inbox,
            seq: rng.random(),
            ack: 0,
            cookie: 0,
            history: FlowHistory::default(),
        };
        let start = Instant::now();
        for (sent_copies, window) in OPEN_SCHEDULE.windows(2).enumerate() {
            sleep_until(start + window[0]).await;
            let sent_copies = u32::try_from(sent_copies).unwrap_or(0);
            open.send(SYN, open.seq, sent_copies, Vec::new()).await;
            let Ok(answer) = timeout_at(start + window[1], open.inbox.recv()).await else {
                continue;
            };
            let (packet, is_intact, _) = answer?;
            open.history.add(FlowEvent::received(&packet));
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

    async fn send_request(&mut self, data: Vec<u8>, id: u64, deadline: Instant) -> AttemptResult {
        let request_len = u32::try_from(data.len()).unwrap_or(0);
        let mut pause = RETRANSMIT_PAUSE;
        let mut copies = Vec::new();
        let mut is_acked = false;
        self.history.add(FlowEvent::Request(id));
        loop {
            if !is_acked {
                let host = self.send(ACK, self.seq, self.ack, data.clone()).await;
                copies.push(RequestCopy::sent_to(host));
            }
            let due = (Instant::now() + pause).min(deadline);
            while let Ok(answer) = timeout_at(due, self.inbox.recv()).await {
                let Some((packet, is_intact, from)) = answer else {
                    return AttemptResult::FlowLost;
                };
                self.history.add(FlowEvent::received(&packet));
                if packet.has_flag(RST) {
                    if !is_intact {
                        let mut observed = self.node.checker.lock();
                        observed.record_reset(&self.flow, from, &self.history);
                    }
                    return AttemptResult::FlowLost;
                }
                // An endpoint that received another copy of the opening segment may answer
                // it late, with its own cookie.
                if packet.cookie != 0 && !packet.has_flag(SYN) {
                    self.cookie = packet.cookie;
                }
                // Acknowledged data is not sent again, also if its answer takes longer.
                is_acked |= packet.ack == self.seq.wrapping_add(request_len);
                if packet.data.is_empty() {
                    continue;
                }
                let answered = packet.data.get(1..9) == Some(&id.to_be_bytes()[..]);
                if !answered {
                    // A copy of the previous answer, whose acknowledgement was lost.
                    self.send(
                        ACK,
                        self.seq.wrapping_add(request_len),
                        self.ack,
                        Vec::new(),
                    )
                    .await;
                    continue;
                }
                self.seq = self.seq.wrapping_add(request_len);
                let data_len = u32::try_from(packet.data.len()).unwrap_or(0);
                self.ack = packet.seq.wrapping_add(data_len);
                self.send(ACK, self.seq, self.ack, Vec::new()).await;
                return if packet.data[0] == STATUS_DONE {
                    AttemptResult::Answered
                } else {
                    AttemptResult::NotRun
                };
            }
            if Instant::now() >= deadline {
                let mut observed = self.node.checker.lock();
                observed.record_stall(&self.flow, &copies, &self.history);
                return AttemptResult::FlowLost;
            }
            pause = (pause * 2).min(MAX_RETRANSMIT_PAUSE);
        }
    }

    async fn close(&mut self) {
        self.send(FIN | ACK, self.seq, self.ack, Vec::new()).await;
        let mut closed = self
            .node
            .closed_flows
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if closed.len() == MAX_CLOSED_FLOWS {
            closed.pop_front();
        }
        closed.push_back((Instant::now(), self.flow));
    }

    /// Sends a packet and returns the host that it was sent to.
    async fn send(&mut self, flags: u8, seq: u32, ack: u32, data: Vec<u8>) -> Ipv4Addr {
        let packet = Packet {
            flow: self.flow,
            to_caller: false,
            seq,
            ack,
            cookie: if flags == SYN { 0 } else { self.cookie },
            flags,
            data,
        };
        let to = self.node.router.pick_host(&self.flow);
        self.history.add(FlowEvent::sent(&packet, to));
        // A datagram that the kernel does not accept is lost, as on a network.
        let _ = self.node.socket.send_to(&packet.encode(), to).await;
        *to.ip()
    }
}

impl Drop for OpenFlow {
    fn drop(&mut self) {
        let mut inboxes = self
            .node
            .inboxes
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        inboxes.remove(&self.flow.caller.port());
    }
}
