//! Traffic threads.
//!
//! A lane is a thread with one UDP socket and one set of tables. It blocks until a
//! packet, a command or the timer is ready, reads a batch, runs the systems over it and
//! sends the contents of the outbox. Lanes and the control thread share only the
//! [`SharedState`]; a lane publishes its own [`LaneStats`].

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use serde_json::Value;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Interval, MissedTickBehavior, interval, sleep};

use super::inspect;
use crate::clock::Clock;
use crate::error::{Error, Result};
use crate::id::Name;
use crate::packet::{Body, MAX_PACKET_BYTES};
use crate::report::{LaneReport, PeerReports};
use crate::segment::RelayAction;
use crate::snapshot::Snapshot;
use crate::systems::explain::{self, Query, RouteExplanation};
use crate::systems::{self, BATCH_SIZE, Policies, TICK_INTERVAL};
use crate::tables::{Arrival, Counters, LatencyHistograms, Outbox, RankLoad, Tables};
use crate::ticket::Home;
use crate::wire;

/// State that the control thread shares with the lanes.
#[derive(Debug)]
pub struct SharedState {
    /// Policies of all lanes.
    pub policies: Arc<Policies>,
    /// Current snapshot, replaced by the control thread.
    pub snapshot: ArcSwap<Snapshot>,
    /// Current reports of other hosts, replaced by the control thread.
    pub reports: ArcSwap<PeerReports>,
}

/// Requests of a rank, over all services.
#[derive(Clone, Copy, Debug, Default)]
pub struct RankStats {
    /// The rank; zero is the highest.
    pub rank: u32,
    /// Requests in progress.
    pub running: f64,
    /// Requests that wait for capacity.
    pub waiting: f64,
    /// Requests that its arrivals are expected to keep in progress.
    pub expected: f64,
}

/// Counts that a lane publishes for other threads.
#[derive(Debug, Default)]
pub struct LaneStats {
    /// Number of requests that wait for capacity.
    pub waiting: AtomicUsize,
    /// Requests that arrive in a second, and those that may be in progress, over all services.
    pub load: ArcSwap<(f64, f64)>,
    /// Requests of relayed flows by the rank of their route, in ascending order.
    pub ranks: ArcSwap<Vec<RankStats>>,
    /// Number of unfinished requests and unopened flows.
    pub in_flight: AtomicUsize,
    /// Number of open flows.
    pub flows: AtomicUsize,
    /// Number of tracked flows whose segments are forwarded without reading the payload.
    pub tracked_flows: AtomicUsize,
    /// Number of endpoints that the lane considers down.
    pub down_endpoints: AtomicUsize,
    /// Number of endpoints that the lane has ejected.
    pub ejected_endpoints: AtomicUsize,
    /// Counters since the start, updated every second.
    pub counters: ArcSwap<Counters>,
    /// What the lane observes of endpoints and load.
    pub report: ArcSwap<LaneReport>,
}

/// Decodes a datagram and adds it to the matching inbox of the tables.
pub type Decode = Box<dyn Fn(Bytes, SocketAddr, &mut Tables) -> Result<()> + Send + Sync>;

/// Encodes a segment or a reset. Returns `None` for one that cannot be sent.
pub type Encode = Box<dyn Fn(&RelayAction) -> Option<(SocketAddr, Bytes)> + Send + Sync>;

/// Datagram format of a lane.
pub struct Codec {
    /// Decodes a received datagram.
    pub decode: Decode,
    /// Encodes a segment or a reset.
    pub encode: Encode,
    /// Maximum size of a datagram, in bytes.
    pub max_bytes: usize,
}

impl Codec {
    /// Returns the codec for this project's own packets.
    #[must_use]
    pub fn for_packets() -> Self {
        Self {
            decode: Box::new(|bytes, from, tables| {
                let packet = wire::decode_packet(bytes)?;
                tables.inbox.push(Arrival::new(from, packet));
                Ok(())
            }),
            encode: Box::new(|_| None),
            max_bytes: MAX_PACKET_BYTES,
        }
    }
}

impl std::fmt::Debug for Codec {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Codec({})", self.max_bytes)
    }
}

/// A running lane.
#[derive(Debug)]
pub struct Lane {
    /// Identity of the lane, as tickets contain it.
    pub home: Home,
    /// Counts that the lane publishes.
    pub stats: Arc<LaneStats>,
    /// Latency histograms of the lane.
    pub histograms: LatencyHistograms,
    commands: mpsc::Sender<Command>,
    thread: Mutex<Option<JoinHandle<()>>>,
}

enum Command {
    Dump(Option<Name>, oneshot::Sender<Option<Value>>),
    Explain(Query, oneshot::Sender<Vec<RouteExplanation>>),
    Stop,
}

/// Maximum time between reading the clock and sending. A request for another lane is
/// dropped after it, since it may have gone stale during a pause of the process.
const MAX_SEND_DELAY: Duration = Duration::from_millis(250);

/// Interval between updates of the flow and endpoint counts and the counters in
/// [`LaneStats`].
const STATS_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time between two ticks while requests wait for capacity: callers learn of a refusal
/// within a tenth of their target latency, which is at least 250 ms.
const HELD_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of batches that a stopping lane reads: more than fit into a socket's buffer.
const MAX_LAST_BATCHES: usize = 256;

/// Capacity of a lane's command channel.
const COMMAND_QUEUE_SIZE: usize = 16;

impl Lane {
    /// Starts a lane on its own thread.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound or the thread cannot be started.
    pub fn start(
        home: Home,
        shared: Arc<SharedState>,
        clock: Clock,
        seed: u64,
        codec: Arc<Codec>,
    ) -> Result<Self> {
        let socket = std::net::UdpSocket::bind(home.addr)
            .map_err(|e| Error::io("bind the socket of a lane", e))?;
        socket
            .set_nonblocking(true)
            .map_err(|e| Error::io("set the socket of a lane to non-blocking", e))?;
        let stats = Arc::new(LaneStats::default());
        let (commands, queue) = mpsc::channel(COMMAND_QUEUE_SIZE);
        let mut tables = Tables::new(home, shared.snapshot.load_full(), seed);
        tables.policies = Arc::clone(&shared.policies);
        let lane_stats = Arc::clone(&stats);
        let histograms = tables.histograms.clone();
        let thread = std::thread::Builder::new()
            .name(format!("lane-{}", home.addr.port()))
            .spawn(move || run(tables, &shared, &clock, &lane_stats, &codec, socket, queue))
            .map_err(|e| Error::io("start the thread of a lane", e))?;
        Ok(Self {
            home,
            stats,
            histograms,
            commands,
            thread: Mutex::new(Some(thread)),
        })
    }

    /// Returns one table of the lane, or all of them, as JSON; `None` for an unknown name.
    pub async fn dump(&self, name: Option<Name>) -> Option<Value> {
        let (reply, response) = oneshot::channel();
        self.commands.send(Command::Dump(name, reply)).await.ok()?;
        response.await.ok()?
    }

    /// Returns where an opening would go; `None` once the lane has stopped.
    pub async fn explain(&self, query: Query) -> Option<Vec<RouteExplanation>> {
        let (reply, response) = oneshot::channel();
        self.commands
            .send(Command::Explain(query, reply))
            .await
            .ok()?;
        response.await.ok()
    }

    /// Stops the lane and waits for its thread.
    pub async fn stop(&self) {
        let _ = self.commands.send(Command::Stop).await;
        let thread = self.thread.lock().ok().and_then(|mut thread| thread.take());
        if let Some(thread) = thread {
            let _ = thread.join();
        }
    }
}

struct LaneLoop<'a> {
    tables: Tables,
    outbox: Outbox,
    shared: &'a SharedState,
    clock: &'a Clock,
    stats: &'a LaneStats,
    codec: &'a Codec,
    socket: UdpSocket,
    buffer: Box<[u8]>,
    /// Number of datagrams read in this tick.
    batch_size: usize,
    last_stats: Duration,
}

fn run(
    tables: Tables,
    shared: &SharedState,
    clock: &Clock,
    stats: &LaneStats,
    codec: &Codec,
    socket: std::net::UdpSocket,
    commands: mpsc::Receiver<Command>,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let Ok(runtime) = runtime else {
        log::error!(lane:% = tables.home.addr, cause = "runtime"; "lane_failed");
        return;
    };
    runtime.block_on(async {
        let Ok(socket) = UdpSocket::from_std(socket) else {
            log::error!(lane:% = tables.home.addr, cause = "socket"; "lane_failed");
            return;
        };
        let lane_loop = LaneLoop {
            tables,
            outbox: Outbox::default(),
            shared,
            clock,
            stats,
            codec,
            socket,
            buffer: vec![0; codec.max_bytes + 1].into(),
            batch_size: 0,
            last_stats: Duration::ZERO,
        };
        lane_loop.run(commands).await;
    });
}

impl LaneLoop<'_> {
    async fn run(mut self, mut commands: mpsc::Receiver<Command>) {
        let mut timer = tick_timer();
        loop {
            let timers_due = tokio::select! {
                _ = self.socket.readable() => false,
                _ = timer.tick() => true,
                () = sleep(HELD_INTERVAL), if !self.tables.held_requests.is_empty() => false,
                command = commands.recv() => match command {
                    None | Some(Command::Stop) => {
                        self.finish();
                        return;
                    }
                    Some(Command::Dump(name, reply)) => {
                        // A command does not run a tick: the socket may not have been
                        // polled since a pause, and a read would wrongly find it empty.
                        let _ = reply.send(self.dump(name.as_deref()));
                        continue;
                    }
                    Some(Command::Explain(query, reply)) => {
                        // Whoever asked may have given up.
                        if !reply.is_closed() {
                            let now = self.clock.now();
                            let _ = reply.send(explain::explain(&self.tables, &query, now));
                        }
                        continue;
                    }
                },
            };
            self.run_tick(timers_due);
        }
    }

    /// Returns one table, or all of them, as JSON; `None` for an unknown name.
    fn dump(&self, name: Option<&str>) -> Option<Value> {
        let explain = || {
            let routes = explain::explain_all(&self.tables, self.clock.now());
            inspect::dump_table(&routes)
        };
        if name == Some(inspect::DUMP_TABLE) {
            return Some(explain());
        }
        let mut dump = self.tables.dump(name)?;
        if name.is_none() {
            dump[inspect::DUMP_TABLE] = explain();
        }
        Some(dump)
    }

    /// Runs one tick: reads a batch, runs the systems and sends the outbox.
    ///
    /// The clock is read after the batch, so that a pause of the process between the two
    /// counts as waiting time of the packets.
    fn run_tick(&mut self, timers_due: bool) {
        self.read_batch();
        let now = self.clock.now();
        self.update_snapshot(now);
        self.update_reports();
        systems::run(&mut self.tables, now, &mut self.outbox);
        if timers_due {
            systems::run_timers(&mut self.tables, now, &mut self.outbox);
            self.update_stats(now);
        }
        self.send_outbox(now);
    }

    /// Reads the socket until it is empty, and passes on all that was read.
    fn finish(&mut self) {
        for _ in 0..MAX_LAST_BATCHES {
            self.run_tick(false);
            if self.batch_size == 0 {
                break;
            }
        }
        let now = self.clock.now();
        systems::finish(&mut self.tables, now, &mut self.outbox);
        self.send_outbox(now);
    }

    fn update_snapshot(&mut self, now: Duration) {
        let snapshot = self.shared.snapshot.load();
        if !Arc::ptr_eq(&snapshot, &self.tables.snapshot) {
            let snapshot = Arc::clone(&snapshot);
            systems::apply_snapshot(&mut self.tables, snapshot, now, &mut self.outbox);
        }
    }

    fn update_reports(&mut self) {
        let reports = self.shared.reports.load();
        if !Arc::ptr_eq(&reports, &self.tables.peer_reports) {
            systems::apply_reports(&mut self.tables, Arc::clone(&reports));
        }
    }

    fn read_batch(&mut self) {
        self.batch_size = 0;
        while self.tables.pending_input() < BATCH_SIZE {
            let (size, from) = match self.socket.try_recv_from(&mut self.buffer) {
                Ok(received) => received,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                // Reports an unreachable peer; packets to it count as lost.
                Err(_) => continue,
            };
            self.decode(size, from);
        }
    }

    fn decode(&mut self, size: usize, from: SocketAddr) {
        self.batch_size += 1;
        let bytes = Bytes::copy_from_slice(&self.buffer[..size]);
        if (self.codec.decode)(bytes, from, &mut self.tables).is_err() {
            self.tables.counters.malformed_datagrams += 1;
        }
    }

    /// Sends the outbox, except requests for other lanes that a pause has made stale.
    fn send_outbox(&mut self, now: Duration) {
        let is_late = self.clock.now() >= now + MAX_SEND_DELAY;
        for datagram in self.outbox.datagrams.drain(..) {
            if is_late && matches!(datagram.packet.body, Body::Ask { .. }) {
                self.tables.counters.unsent_datagrams += 1;
                continue;
            }
            let bytes = wire::encode_packet(&datagram.packet);
            if self.socket.try_send_to(&bytes, datagram.to).is_err() {
                self.tables.counters.unsent_datagrams += 1;
            }
        }
        for action in self.outbox.relay_actions.drain(..) {
            let sent = (self.codec.encode)(&action)
                .is_some_and(|(to, bytes)| self.socket.try_send_to(&bytes, to).is_ok());
            self.tables.counters.unsent_datagrams += u64::from(!sent);
        }
    }

    fn update_stats(&mut self, now: Duration) {
        let report = &self.tables.report;
        if !Arc::ptr_eq(&self.stats.report.load(), report) {
            self.stats.report.store(Arc::clone(report));
        }
        let in_flight = self.tables.in_flight(now);
        self.stats.in_flight.store(in_flight, Ordering::Relaxed);
        if now < self.last_stats + STATS_INTERVAL {
            return;
        }
        self.last_stats = now;
        let flows = self.tables.flows.len();
        self.stats.flows.store(flows, Ordering::Relaxed);
        let tracked_flows = self.tables.tracked_flows.len();
        self.stats
            .tracked_flows
            .store(tracked_flows, Ordering::Relaxed);
        let down_endpoints = self
            .tables
            .endpoints
            .iter()
            .filter(|row| row.down.is_some());
        self.stats
            .down_endpoints
            .store(down_endpoints.count(), Ordering::Relaxed);
        let ejected_endpoints = self.tables.outcomes.ejected().count();
        self.stats
            .ejected_endpoints
            .store(ejected_endpoints, Ordering::Relaxed);
        let waiting = self.tables.held_requests.len();
        self.stats.waiting.store(waiting, Ordering::Relaxed);
        let services = self.tables.snapshot.services.keys();
        let load = services.fold((0.0, 0.0), |(demand, capacity), service| {
            let limit = self.tables.held_requests.limit(*service);
            (
                demand + self.tables.demand.get(*service).rate(now),
                capacity + limit.unwrap_or_default().requests,
            )
        });
        self.stats.load.store(Arc::new(load));
        self.stats.ranks.store(Arc::new(rank_stats(&self.tables)));
        self.stats.counters.store(Arc::new(self.tables.counters));
    }
}

/// Returns the requests of each rank that has any.
fn rank_stats(tables: &Tables) -> Vec<RankStats> {
    let mut ranks: BTreeMap<u32, RankStats> = BTreeMap::new();
    let held = &tables.held_requests;
    for service in tables.snapshot.services.keys() {
        let load = tables.endpoints.rank_load(*service);
        for (rank, count) in load.into_iter().flat_map(RankLoad::iter) {
            ranks.entry(rank).or_default().running += f64::from(count);
        }
        for (rank, count) in held.rank_demand().expected(*service) {
            ranks.entry(rank).or_default().expected += count;
        }
    }
    for row in held.iter() {
        ranks.entry(row.rank).or_default().waiting += 1.0;
    }
    let rows = ranks.into_iter();
    rows.map(|(rank, stats)| RankStats { rank, ..stats })
        .collect()
}

fn tick_timer() -> Interval {
    let mut timer = interval(TICK_INTERVAL);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    timer
}
