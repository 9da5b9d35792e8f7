//! Simulated endpoints that accept flows, execute requests in slots and publish an entry
//! in the store.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use jacinthhinge::segment::is_seq_after;
use rand::RngExt;
use rand::rngs::SmallRng;
use serde_json::json;
use tokio::net::UdpSocket;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::ledger::{Checker, FaultTarget};
use crate::packet::{ACK, FIN, Flow, Packet, RST, SYN};
use crate::store::Store;

/// Number of requests that may wait for a slot; the limit on open flows, above which
/// requests are refused, follows from it.
const QUEUE_CAPACITY: usize = 8;

/// Pauses after each copy of an answer that is not acknowledged.
const RETRANSMIT_PAUSES: [Duration; 4] = [
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(800),
    Duration::from_millis(1_600),
];

/// Time that most requests take, at a normal and at a slow endpoint.
const SERVICE_TIME: Duration = Duration::from_millis(20);
const SLOW_SERVICE_TIME: Duration = Duration::from_millis(200);

/// One request in this many takes this much longer, so that its caller retransmits it
/// once or twice.
const LONG_REQUEST_RATIO: u32 = 16;
const LONG_EXTRA_TIME: Duration = Duration::from_millis(380);

/// First byte of an answer: the request was executed, or it was not.
pub const STATUS_DONE: u8 = 1;
pub const STATUS_NOT_RUN: u8 = 2;

/// Fixed properties of an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointSpec {
    pub number: u64,
    pub service: &'static str,
    /// Identifies the service in the data of requests.
    pub service_tag: u8,
    pub zone: &'static str,
    pub addr: SocketAddrV4,
    pub slots: usize,
    /// UDP port of callers' nodes, to which answers are sent.
    pub caller_port: u16,
}

/// Changing state of an endpoint.
#[derive(Default)]
struct EndpointState {
    flows: HashMap<Flow, HeldFlow>,
    draining: bool,
    is_muted: bool,
    is_expired: bool,
    service_time: Duration,
    started_ms: u64,
    restarts: u64,
}

/// A flow that an endpoint has accepted.
struct HeldFlow {
    recv_next: u32,
    send_next: u32,
    peer_ack: u32,
    cookie: u32,
    is_open: bool,
    unacked_count: u32,
}

/// An endpoint with its socket, its slots and its flows.
pub struct Endpoint {
    pub spec: EndpointSpec,
    state: Mutex<EndpointState>,
    socket: UdpSocket,
    slots: Semaphore,
    store: Store,
    checker: Checker,
    rng: Mutex<SmallRng>,
}

/// An endpoint and its tasks, which are aborted when it is dropped.
pub struct RunningEndpoint {
    pub endpoint: Arc<Endpoint>,
    _tasks: JoinSet<()>,
}

impl RunningEndpoint {
    pub async fn start(
        spec: EndpointSpec,
        store: Store,
        checker: Checker,
        rng: SmallRng,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(SocketAddr::V4(spec.addr)).await?;
        let endpoint = Arc::new(Endpoint {
            slots: Semaphore::new(spec.slots),
            state: Mutex::new(EndpointState {
                service_time: SERVICE_TIME,
                started_ms: 1_700_000_000_000,
                ..EndpointState::default()
            }),
            spec,
            socket,
            store,
            checker,
            rng: Mutex::new(rng),
        });
        endpoint.publish();
        let mut tasks = JoinSet::new();
        tasks.spawn(Arc::clone(&endpoint).receive());
        Ok(Self {
            endpoint,
            _tasks: tasks,
        })
    }
}

impl Endpoint {
    fn lock_state(&self) -> MutexGuard<'_, EndpointState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn store_key(&self) -> String {
        format!("servers/i-{:010x}", self.spec.number)
    }

    /// Writes the endpoint's entry to the store.
    pub fn publish(&self) {
        let state = self.lock_state();
        let state_name = if state.draining { "draining" } else { "ready" };
        let (started_ms, restarts) = (state.started_ms, state.restarts);
        drop(state);
        self.store.set(
            &self.store_key(),
            &json!({
                "Service": self.spec.service, "Address": self.spec.addr, "Zone": self.spec.zone,
                "Version": "1", "Concurrency": self.spec.slots, "State": state_name,
                "WarmupLeftMs": 0, "SeqNo": restarts, "born": started_ms,
            }),
        );
    }

    pub fn remove_entry(&self) {
        self.store.remove(&self.store_key());
    }

    pub fn drain(&self) {
        self.lock_state().draining = true;
        self.publish();
    }

    /// Drops all flows and restarts under the same id, as after a crash.
    pub fn restart(&self) {
        let mut state = self.lock_state();
        for flow in state.flows.keys() {
            self.checker.lock().flow_owners.remove(flow);
        }
        state.flows.clear();
        state.started_ms += 60_000;
        state.restarts += 1;
        drop(state);
        self.publish();
    }

    pub fn set_muted(&self, is_muted: bool) {
        self.change_faults(|state| state.is_muted = is_muted);
    }

    pub fn set_slow(&self, slow: bool) {
        self.change_faults(|state| {
            state.service_time = if slow {
                SLOW_SERVICE_TIME
            } else {
                SERVICE_TIME
            };
        });
    }

    /// Records that the endpoint's entry has disappeared from the store or come back.
    pub fn set_expired(&self, is_expired: bool) {
        self.change_faults(|state| state.is_expired = is_expired);
    }

    /// Begins or ends a fault. Faults overlap, and the endpoint is under one until all have ended.
    fn change_faults(&self, change: impl FnOnce(&mut EndpointState)) {
        let mut state = self.lock_state();
        change(&mut state);
        let is_slow = state.service_time > SERVICE_TIME;
        let is_faulty = state.is_muted || state.is_expired || is_slow;
        drop(state);
        let target = FaultTarget::Endpoint(self.spec.number);
        if is_faulty {
            self.checker.begin_fault(target);
        } else {
            self.checker.end_fault(target);
        }
    }

    async fn receive(self: Arc<Self>) {
        let mut buffer = vec![0; 2_000];
        let mut running = JoinSet::new();
        loop {
            while running.try_join_next().is_some() {}
            let Ok((size, from)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            let SocketAddr::V4(from) = from else { continue };
            if self.lock_state().is_muted || size < 8 {
                continue;
            }
            let (number, bytes) = buffer[..size].split_at(8);
            let number = u64::from_be_bytes(number.try_into().unwrap_or_default());
            let Some((packet, is_intact)) = Packet::decode(bytes, false) else {
                self.checker
                    .lock()
                    .report_violation("altered", "invalid packet");
                continue;
            };
            if !is_intact {
                let details = format!("invalid checksum on {:?} through {from}", packet.flow);
                self.checker.lock().report_violation("altered", &details);
                continue;
            }
            self.checker
                .lock()
                .record_packet(&packet.flow, self.spec.number, *from.ip());
            if number != 0 && number != self.spec.number {
                continue;
            }
            if let Some(request) = self.handle_packet(packet, *from.ip()).await {
                running.spawn(Arc::clone(&self).execute(request));
            }
        }
    }

    /// Handles a packet and returns it if it carries a new request.
    async fn handle_packet(&self, packet: Packet, host: Ipv4Addr) -> Option<Packet> {
        let flow = packet.flow;
        if packet.has_flag(RST) {
            self.remove_flow(&flow);
            return None;
        }
        if packet.has_flag(SYN) {
            let start = self.rng.lock().ok()?.random();
            let (seq, ack) = self.accept_open(&packet, start, host);
            self.send(&flow, SYN | ACK, seq, ack, Vec::new()).await;
            return None;
        }
        let ack_state = {
            let mut state = self.lock_state();
            let held = state.flows.get_mut(&flow);
            // Several endpoints may have received copies of the opening segment. The flow
            // opens at the one whose sequence number the caller acknowledges.
            let is_addressed =
                |held: &&mut HeldFlow| held.is_open || packet.ack == held.send_next.wrapping_add(1);
            held.filter(is_addressed).map(|held| {
                if is_seq_after(packet.ack, held.peer_ack) {
                    held.peer_ack = packet.ack;
                }
                if !held.is_open {
                    held.is_open = true;
                    held.send_next = held.send_next.wrapping_add(1);
                    self.checker
                        .lock()
                        .flow_owners
                        .insert(flow, self.spec.number);
                }
                let is_new = packet.seq == held.recv_next && !packet.data.is_empty();
                if is_new {
                    let length = u32::try_from(packet.data.len()).unwrap_or(0);
                    held.recv_next = held.recv_next.wrapping_add(length);
                }
                held.unacked_count += u32::from(!packet.data.is_empty());
                let ack_due = held.unacked_count >= 2 || packet.has_flag(FIN);
                if ack_due {
                    held.unacked_count = 0;
                }
                (is_new, ack_due, held.send_next, held.recv_next)
            })
        };
        let Some((is_new, ack_due, seq, ack)) = ack_state else {
            self.send(&flow, RST, packet.ack, packet.seq, Vec::new())
                .await;
            return None;
        };
        if ack_due {
            self.send(&flow, ACK, seq, ack, Vec::new()).await;
        }
        if packet.has_flag(FIN) {
            self.remove_flow(&flow);
        }
        if is_new && packet.data[8] != self.spec.service_tag {
            let details = format!(
                "request on {flow:?} reached endpoint {:x} of another service through {host}",
                self.spec.number
            );
            self.checker.lock().report_violation("route", &details);
        }
        is_new.then_some(packet)
    }

    /// Draws the time that a request takes. A few take long, so that callers retransmit
    /// them.
    fn draw_service_time(&self) -> Duration {
        let base_time = self.lock_state().service_time;
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        if rng.random_ratio(1, LONG_REQUEST_RATIO) {
            base_time + LONG_EXTRA_TIME
        } else {
            base_time
        }
    }

    /// Accepts an opening segment and returns the sequence and acknowledgement numbers of
    /// the reply.
    fn accept_open(&self, packet: &Packet, start: u32, host: Ipv4Addr) -> (u32, u32) {
        let mut state = self.lock_state();
        if !state.flows.contains_key(&packet.flow) {
            let (number, zone) = (self.spec.number, self.spec.zone);
            self.checker
                .lock()
                .record_new_flow(&packet.flow, number, zone, host);
        }
        // A copy of the opening of an earlier flow from the same port.
        let next = packet.seq.wrapping_add(1);
        state
            .flows
            .retain(|flow, held| *flow != packet.flow || held.is_open || held.recv_next == next);
        let held = state.flows.entry(packet.flow).or_insert(HeldFlow {
            recv_next: packet.seq.wrapping_add(1),
            send_next: start,
            peer_ack: start,
            cookie: packet.cookie,
            is_open: false,
            unacked_count: 0,
        });
        held.cookie = packet.cookie;
        (held.send_next, held.recv_next)
    }

    fn remove_flow(&self, flow: &Flow) {
        if self.lock_state().flows.remove(flow).is_some() {
            let mut observed = self.checker.lock();
            if observed.flow_owners.get(flow) == Some(&self.spec.number) {
                observed.flow_owners.remove(flow);
            }
        }
    }

    async fn execute(self: Arc<Self>, request: Packet) {
        let id = u64::from_be_bytes(request.data[..8].try_into().unwrap_or_default());
        let run_once = request.data[9] == 1;
        let capacity = self.spec.slots + QUEUE_CAPACITY;
        let open_flows = self
            .lock_state()
            .flows
            .values()
            .filter(|held| held.is_open)
            .count();
        let mut answer = vec![STATUS_DONE; 600];
        if self.slots.available_permits() == 0 && open_flows > capacity * 8 {
            answer[0] = STATUS_NOT_RUN;
        } else {
            let Ok(_slot) = self.slots.acquire().await else {
                return;
            };
            if !self.lock_state().flows.contains_key(&request.flow) {
                return;
            }
            self.checker
                .lock()
                .record_execution(id, run_once, self.spec.number);
            let service_time = self.draw_service_time();
            sleep(service_time).await;
        }
        answer[1..9].copy_from_slice(&id.to_be_bytes());
        let length = u32::try_from(answer.len()).unwrap_or(0);
        let seq_range = {
            let mut state = self.lock_state();
            state.flows.get_mut(&request.flow).map(|held| {
                let seq = held.send_next;
                held.send_next = held.send_next.wrapping_add(length);
                (seq, held.send_next)
            })
        };
        let Some((seq, end)) = seq_range else { return };
        for pause in RETRANSMIT_PAUSES {
            let recv_next = match self.lock_state().flows.get(&request.flow) {
                Some(held) if is_seq_after(end, held.peer_ack) => held.recv_next,
                _ => return,
            };
            self.send(&request.flow, ACK, seq, recv_next, answer.clone())
                .await;
            sleep(pause).await;
        }
    }

    /// Returns the cookie of a flow, zero for an unknown flow, or `None` while the endpoint
    /// is muted.
    fn flow_cookie(&self, flow: &Flow) -> Option<u32> {
        let state = self.lock_state();
        let cookie = state.flows.get(flow).map_or(0, |held| held.cookie);
        (!state.is_muted).then_some(cookie)
    }

    async fn send(&self, flow: &Flow, flags: u8, seq: u32, ack: u32, data: Vec<u8>) {
        let Some(cookie) = self.flow_cookie(flow) else {
            return;
        };
        let packet = Packet {
            flow: *flow,
            to_caller: true,
            seq,
            ack,
            cookie,
            flags,
            data,
        };
        let to = SocketAddrV4::new(*flow.caller.ip(), self.spec.caller_port);
        // A datagram that the kernel does not accept is lost, as on a network.
        let _ = self
            .socket
            .send_to(&packet.encode(), SocketAddr::V4(to))
            .await;
    }
}
