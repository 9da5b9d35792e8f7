//! Endpoints that hold flows, run requests in slots and keep an entry in the store.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;
use serde_json::json;
use tokio::net::UdpSocket;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::checker::{Checker, FaultTarget};
use crate::packet::{ACK, FIN, Flow, Packet, RST, SYN};
use crate::store::Store;

/// Requests that wait for a slot; more are refused.
const QUEUE: usize = 8;

/// Pauses before each further copy of an answer.
const REPEATS: [Duration; 4] = [
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(800),
    Duration::from_millis(1_600),
];

/// Time that most requests take, and the same at a slow endpoint.
const WORK: Duration = Duration::from_millis(20);
const SLOW_WORK: Duration = Duration::from_millis(200);

/// One request in so many takes so much longer, and is repeated once or twice.
const LONG_ONE_IN: u32 = 16;
const LONG: Duration = Duration::from_millis(380);

/// First byte of an answer.
pub const DONE: u8 = 1;
pub const NOT_RUN: u8 = 2;

/// What an endpoint is made of.
#[derive(Clone, Debug)]
pub struct Spec {
    pub number: u64,
    pub service: &'static str,
    /// Names the service in requests.
    pub tag: u8,
    pub zone: &'static str,
    pub addr: SocketAddrV4,
    pub slots: usize,
    /// Port at which callers are reached.
    pub back: u16,
}

#[derive(Default)]
struct Inner {
    flows: HashMap<Flow, Held>,
    draining: bool,
    mute: bool,
    work: Duration,
    born: u64,
    starts: u64,
}

struct Held {
    next: u32,
    sent: u32,
    acked: u32,
    cookie: u32,
    open: bool,
    unacked: u32,
}

pub struct Endpoint {
    pub spec: Spec,
    inner: Mutex<Inner>,
    socket: UdpSocket,
    slots: Semaphore,
    store: Store,
    checker: Checker,
    rng: Mutex<SmallRng>,
}

/// An endpoint with its tasks; they end when it is dropped.
pub struct Running {
    pub endpoint: Arc<Endpoint>,
    _tasks: JoinSet<()>,
}

impl Running {
    pub async fn start(
        spec: Spec,
        store: Store,
        checker: Checker,
        rng: SmallRng,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(SocketAddr::V4(spec.addr)).await?;
        let endpoint = Arc::new(Endpoint {
            slots: Semaphore::new(spec.slots),
            inner: Mutex::new(Inner {
                work: WORK,
                born: 1_700_000_000_000,
                ..Inner::default()
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
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn key(&self) -> String {
        format!("servers/i-{:010x}", self.spec.number)
    }

    /// Writes its entry.
    pub fn publish(&self) {
        let inner = self.inner();
        let state = if inner.draining { "draining" } else { "ready" };
        let (born, starts) = (inner.born, inner.starts);
        drop(inner);
        self.store.set(
            &self.key(),
            &json!({
                "Service": self.spec.service, "Address": self.spec.addr, "Zone": self.spec.zone,
                "Version": "1", "Concurrency": self.spec.slots, "State": state,
                "WarmupLeftMs": 0, "SeqNo": starts, "born": born,
            }),
        );
    }

    pub fn remove_entry(&self) {
        self.store.remove(&self.key());
    }

    pub fn drain(&self) {
        self.inner().draining = true;
        self.publish();
    }

    /// Loses all flows and starts again under its id, as one that crashes.
    pub fn restart(&self) {
        let mut inner = self.inner();
        for flow in inner.flows.keys() {
            self.checker.lock().flow_owners.remove(flow);
        }
        inner.flows.clear();
        inner.born += 60_000;
        inner.starts += 1;
        drop(inner);
        self.publish();
    }

    pub fn set_mute(&self, mute: bool) {
        self.mark(mute);
        self.inner().mute = mute;
    }

    pub fn set_slow(&self, slow: bool) {
        self.mark(slow);
        self.inner().work = if slow { SLOW_WORK } else { WORK };
    }

    /// Notes that a fault begins or ends here.
    pub fn mark(&self, begins: bool) {
        let target = FaultTarget::Endpoint(self.spec.number);
        if begins {
            self.checker.begin_fault(target);
        } else {
            self.checker.end_fault(target);
        }
    }

    async fn receive(self: Arc<Self>) {
        let mut buffer = vec![0; 2_000];
        let mut work = JoinSet::new();
        loop {
            while work.try_join_next().is_some() {}
            let Ok((size, from)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            let SocketAddr::V4(from) = from else { continue };
            if self.inner().mute || size < 8 {
                continue;
            }
            let (number, bytes) = buffer[..size].split_at(8);
            let number = u64::from_be_bytes(number.try_into().unwrap_or_default());
            let Some((packet, is_intact)) = Packet::decode(bytes, false) else {
                self.checker.lock().report_violation("altered", "no packet");
                continue;
            };
            if !is_intact {
                let details = format!("{:?} through {from}", packet.flow);
                self.checker.lock().report_violation("altered", &details);
                continue;
            }
            self.checker
                .lock()
                .record_packet(&packet.flow, self.spec.number, *from.ip());
            if number != 0 && number != self.spec.number {
                continue;
            }
            if let Some(request) = self.take(packet, *from.ip()).await {
                work.spawn(Arc::clone(&self).run(request));
            }
        }
    }

    /// Takes a packet; returns it when it asks for work.
    async fn take(&self, packet: Packet, host: Ipv4Addr) -> Option<Packet> {
        let flow = packet.flow;
        if packet.has_flag(RST) {
            self.forget(&flow);
            return None;
        }
        if packet.has_flag(SYN) {
            let start = self.rng.lock().ok()?.random();
            let (seq, ack) = self.accept(&packet, start);
            self.send(&flow, SYN | ACK, seq, ack, Vec::new()).await;
            return None;
        }
        let known = {
            let mut inner = self.inner();
            let held = inner.flows.get_mut(&flow);
            // A flow opens at the endpoint whose number its caller acknowledges.
            let meant = |held: &&mut Held| held.open || packet.ack == held.sent.wrapping_add(1);
            held.filter(meant).map(|held| {
                held.acked = packet.ack;
                if !held.open {
                    held.open = true;
                    held.sent = held.sent.wrapping_add(1);
                    self.checker
                        .lock()
                        .flow_owners
                        .insert(flow, self.spec.number);
                }
                let fresh = packet.seq == held.next && !packet.data.is_empty();
                if fresh {
                    let length = u32::try_from(packet.data.len()).unwrap_or(0);
                    held.next = held.next.wrapping_add(length);
                }
                held.unacked += u32::from(!packet.data.is_empty());
                let owes = held.unacked >= 2 || packet.has_flag(FIN);
                if owes {
                    held.unacked = 0;
                }
                (fresh, owes, held.sent, held.next)
            })
        };
        let Some((fresh, owes, seq, ack)) = known else {
            self.send(&flow, RST, packet.ack, packet.seq, Vec::new())
                .await;
            return None;
        };
        if owes {
            self.send(&flow, ACK, seq, ack, Vec::new()).await;
        }
        if packet.has_flag(FIN) {
            self.forget(&flow);
        }
        if fresh && packet.data[8] != self.spec.tag {
            let details = format!("{flow:?} at {:x} through {host}", self.spec.number);
            self.checker.lock().report_violation("route", &details);
        }
        fresh.then_some(packet)
    }

    /// Time that a request takes; a few take long, so that callers repeat them.
    fn work(&self) -> Duration {
        let usual = self.inner().work;
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        if rng.random_ratio(1, LONG_ONE_IN) {
            usual + LONG
        } else {
            usual
        }
    }

    /// Takes an opening; returns the numbers of its answer.
    fn accept(&self, packet: &Packet, start: u32) -> (u32, u32) {
        let mut inner = self.inner();
        let held = inner.flows.entry(packet.flow).or_insert(Held {
            next: packet.seq.wrapping_add(1),
            sent: start,
            acked: start,
            cookie: packet.cookie,
            open: false,
            unacked: 0,
        });
        held.cookie = packet.cookie;
        (held.sent, held.next)
    }

    fn forget(&self, flow: &Flow) {
        if self.inner().flows.remove(flow).is_some() {
            let mut observed = self.checker.lock();
            if observed.flow_owners.get(flow) == Some(&self.spec.number) {
                observed.flow_owners.remove(flow);
            }
        }
    }

    async fn run(self: Arc<Self>, request: Packet) {
        let id = u64::from_be_bytes(request.data[..8].try_into().unwrap_or_default());
        let once = request.data[9] == 1;
        let waiting = self.spec.slots + QUEUE;
        let busy = self.inner().flows.values().filter(|held| held.open).count();
        let mut answer = vec![DONE; 600];
        if self.slots.available_permits() == 0 && busy > waiting * 8 {
            answer[0] = NOT_RUN;
        } else {
            let Ok(_slot) = self.slots.acquire().await else {
                return;
            };
            if !self.inner().flows.contains_key(&request.flow) {
                return;
            }
            self.checker
                .lock()
                .record_execution(id, once, self.spec.number);
            let work = self.work();
            sleep(work).await;
        }
        answer[1..9].copy_from_slice(&id.to_be_bytes());
        let length = u32::try_from(answer.len()).unwrap_or(0);
        let place = {
            let mut inner = self.inner();
            inner.flows.get_mut(&request.flow).map(|held| {
                let seq = held.sent;
                held.sent = held.sent.wrapping_add(length);
                (seq, held.sent)
            })
        };
        let Some((seq, end)) = place else { return };
        for pause in REPEATS {
            let next = match self.inner().flows.get(&request.flow) {
                Some(held) if held.acked != end => held.next,
                _ => return,
            };
            self.send(&request.flow, ACK, seq, next, answer.clone())
                .await;
            sleep(pause).await;
        }
    }

    /// Cookie of a flow, zero for one that is not held; `None` while nothing is sent.
    fn cookie(&self, flow: &Flow) -> Option<u32> {
        let inner = self.inner();
        let cookie = inner.flows.get(flow).map_or(0, |held| held.cookie);
        (!inner.mute).then_some(cookie)
    }

    async fn send(&self, flow: &Flow, flags: u8, seq: u32, ack: u32, data: Vec<u8>) {
        let Some(cookie) = self.cookie(flow) else {
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
        let to = SocketAddrV4::new(*flow.caller.ip(), self.spec.back);
        // A datagram that is not taken is lost, as on a network.
        let _ = self
            .socket
            .send_to(&packet.encode(), SocketAddr::V4(to))
            .await;
    }
}
