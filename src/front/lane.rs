//! Traffic threads.
//!
//! A lane is a thread with one UDP socket and one set of tables. It blocks until a
//! packet, a command or a timer comes, reads a batch, runs the systems over it and
//! sends what they put into the outbox. It shares nothing with other threads but
//! the [`SharedState`].

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
use tokio::time::{Interval, MissedTickBehavior, interval};

use crate::clock::Clock;
use crate::error::{Error, Result};
use crate::id::Name;
use crate::packet::{Body, MAX_PACKET_BYTES};
use crate::segment::RelayAction;
use crate::snapshot::Snapshot;
use crate::systems::{self, BATCH_SIZE, TICK_INTERVAL};
use crate::tables::{Arrival, Counters, LatencyHistograms, Outbox, Tables};
use crate::ticket::Home;
use crate::wire;

/// What the control thread and the lanes show each other.
#[derive(Debug)]
pub struct SharedState {
    /// Snapshot in force.
    pub snapshot: ArcSwap<Snapshot>,
}

/// What a lane shows of itself.
#[derive(Debug, Default)]
pub struct LaneStats {
    /// Requests and openings in progress.
    pub in_flight: AtomicUsize,
    /// Open flows.
    pub flows: AtomicUsize,
    /// Tracked flows that are passed on unread.
    pub tracked_flows: AtomicUsize,
    /// Endpoints that are taken to be down.
    pub down_endpoints: AtomicUsize,
    /// Counters since the start, renewed every second.
    pub counters: ArcSwap<Counters>,
}

/// Decodes a datagram and puts it into the inbox that it belongs to.
pub type Decode = Box<dyn Fn(Bytes, SocketAddr, &mut Tables) -> Result<()> + Send + Sync>;

/// Encodes a segment or a reset; `None` for one that cannot be sent.
pub type Encode = Box<dyn Fn(&RelayAction) -> Option<(SocketAddr, Bytes)> + Send + Sync>;

/// How the datagrams of a lane are read and written.
pub struct Codec {
    /// Reads a datagram.
    pub decode: Decode,
    /// Writes a datagram.
    pub encode: Encode,
    /// Most bytes of a datagram.
    pub max_bytes: usize,
}

impl Codec {
    /// The project's own packets.
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
    /// The lane as tickets name it.
    pub home: Home,
    /// What it shows of itself.
    pub stats: Arc<LaneStats>,
    /// Its histograms.
    pub histograms: LatencyHistograms,
    commands: mpsc::Sender<Command>,
    thread: Mutex<Option<JoinHandle<()>>>,
}

enum Command {
    Dump(Option<Name>, oneshot::Sender<Option<Value>>),
    Stop,
}

/// Time from reading the clock to sending after which a request is not forwarded.
const MAX_SEND_DELAY: Duration = Duration::from_millis(250);

/// Time between two renewals of a lane's stats.
const STATS_INTERVAL: Duration = Duration::from_secs(1);

/// Commands that may wait for a lane.
const COMMAND_QUEUE_SIZE: usize = 16;

impl Lane {
    /// Starts a lane on its own thread.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound or the thread cannot be started.
    pub fn start(
        home: Home,
        shared: Arc<SharedState>,
        clock: Clock,
        seed: u64,
        codec: Arc<Codec>,
    ) -> Result<Self> {
        let socket =
            std::net::UdpSocket::bind(home.addr).map_err(|e| Error::io("bind a lane", e))?;
        socket
            .set_nonblocking(true)
            .map_err(|e| Error::io("set up a lane", e))?;
        let stats = Arc::new(LaneStats::default());
        let (commands, command_queue) = mpsc::channel(COMMAND_QUEUE_SIZE);
        let tables = Tables::new(home, shared.snapshot.load_full(), seed);
        let thread_stats = Arc::clone(&stats);
        let histograms = tables.histograms.clone();
        let thread = std::thread::Builder::new()
            .name(format!("lane-{}", home.addr.port()))
            .spawn(move || {
                run(
                    tables,
                    &shared,
                    &clock,
                    &thread_stats,
                    &codec,
                    socket,
                    command_queue,
                )
            })
            .map_err(|e| Error::io("start a lane", e))?;
        Ok(Self {
            home,
            stats,
            histograms,
            commands,
            thread: Mutex::new(Some(thread)),
        })
    }

    /// One table of the lane, or all of them; `None` for an unknown name.
    pub async fn dump(&self, name: Option<Name>) -> Option<Value> {
        let (reply, response) = oneshot::channel();
        self.commands.send(Command::Dump(name, reply)).await.ok()?;
        response.await.ok()?
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
                command = commands.recv() => match command {
                    None | Some(Command::Stop) => return,
                    Some(Command::Dump(name, reply)) => {
                        // No tick: the socket may not have been polled since a pause, and
                        // a read would then take it for dry.
                        let _ = reply.send(self.tables.dump(name.as_deref()));
                        continue;
                    }
                },
            };
            self.run_tick(timers_due);
        }
    }

    /// One tick: reads a batch, runs the systems, sends the outbox.
    ///
    /// The clock is read after the batch, so that a pause between the two counts as
    /// time that the packets have waited.
    fn run_tick(&mut self, timers_due: bool) {
        self.read_batch();
        let now = self.clock.now();
        self.update_snapshot(now);
        systems::run(&mut self.tables, now, &mut self.outbox);
        if timers_due {
            systems::run_timers(&mut self.tables, now, &mut self.outbox);
            self.update_stats(now);
        }
        self.send_outbox(now);
    }

    fn update_snapshot(&mut self, now: Duration) {
        let snapshot = self.shared.snapshot.load();
        if !Arc::ptr_eq(&snapshot, &self.tables.snapshot) {
            let snapshot = Arc::clone(&snapshot);
            systems::apply_snapshot(&mut self.tables, snapshot, now, &mut self.outbox);
        }
    }

    fn read_batch(&mut self) {
        while self.tables.pending_input() < BATCH_SIZE {
            let (size, from) = match self.socket.try_recv_from(&mut self.buffer) {
                Ok(received) => received,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                // An unreachable peer is reported here; its packets are lost like others.
                Err(_) => continue,
            };
            self.decode(size, from);
        }
    }

    fn decode(&mut self, size: usize, from: SocketAddr) {
        let bytes = Bytes::copy_from_slice(&self.buffer[..size]);
        if (self.codec.decode)(bytes, from, &mut self.tables).is_err() {
            self.tables.counters.malformed_datagrams += 1;
        }
    }

    /// Sends the outbox, but no request for another lane that a pause has made old.
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
        let in_flight = self.tables.in_flight(now);
        self.stats.in_flight.store(in_flight, Ordering::Relaxed);
        if now < self.last_stats + STATS_INTERVAL {
            return;
        }
        self.last_stats = now;
        let flows = self.tables.flows.len();
        self.stats.flows.store(flows, Ordering::Relaxed);
        let tracks = self.tables.tracked_flows.len();
        self.stats.tracked_flows.store(tracks, Ordering::Relaxed);
        let down = self
            .tables
            .endpoints
            .iter()
            .filter(|row| row.down.is_some());
        self.stats
            .down_endpoints
            .store(down.count(), Ordering::Relaxed);
        self.stats.counters.store(Arc::new(self.tables.counters));
    }
}

fn tick_timer() -> Interval {
    let mut timer = interval(TICK_INTERVAL);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    timer
}
