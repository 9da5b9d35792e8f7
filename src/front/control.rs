//! Sockets and timers of the control thread.
//!
//! One task owns [`Control`]. Heartbeats use UDP, fetches use TCP on the same port
//! number, and the platform is read over HTTP. The task sleeps until a socket, a
//! channel or the tick timer is ready.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::BytesMut;
use futures_util::future::{BoxFuture, ready};
use futures_util::{FutureExt, SinkExt, StreamExt};
use smallvec::SmallVec;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{MissedTickBehavior, interval, timeout};
use tokio_util::codec::{Decoder, Encoder, Framed, LengthDelimitedCodec};
use tokio_util::udp::UdpFramed;

use super::host_list;
use crate::clock::Clock;
use crate::control::failure_detector::TICK_INTERVAL;
use crate::control::{
    Action, Control, Event, FetchRequest, FetchResponse, Heartbeat, HostList, LiveSettings, Outbox,
    Settings, ValueUpdate,
};
use crate::error::{Error, Result};
use crate::platform::store::Store;
use crate::report::{LaneReport, PeerReports};
use crate::revision::Revision;
use crate::snapshot::Snapshot;
use crate::wire::{self, MAX_FETCH_BYTES, PeerKey};

/// Maximum time of a whole fetch, on the client and on the server.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum size of a fetch request, in bytes.
const MAX_REQUEST_BYTES: usize = 256;

/// Maximum number of fetch connections served at once.
const MAX_CONNECTIONS: usize = 64;

/// Capacity of the channel for dump requests.
const DUMP_QUEUE_SIZE: usize = 4;

/// Settings with which the control thread starts.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Settings of [`Control`].
    pub control: Settings,
    /// Key that authenticates messages between hosts.
    pub peer_key: PeerKey,
    /// Source of configuration values and of the host list.
    pub source: PlatformSource,
}

/// Read operations on the platform.
#[derive(Clone)]
pub struct PlatformSource {
    /// Waits for values newer than a revision. Takes the maximum wait, and the time in which
    /// the response must begin after it.
    pub watch_values: Arc<
        dyn Fn(Revision, Duration, Duration) -> BoxFuture<'static, Result<ValueUpdate>>
            + Send
            + Sync,
    >,
    /// Reads the host list.
    pub read_hosts: Arc<dyn Fn() -> BoxFuture<'static, Result<HostList>> + Send + Sync>,
    /// Sets the address of the store for all reads that begin later.
    pub set_store: Arc<dyn Fn(SocketAddr) + Send + Sync>,
}

impl PlatformSource {
    /// Returns a source whose reads always fail.
    #[must_use]
    pub fn unavailable() -> Self {
        Self {
            watch_values: Arc::new(|_, _, _| ready(Err(missing_platform())).boxed()),
            read_hosts: Arc::new(|| ready(Err(missing_platform())).boxed()),
            set_store: Arc::new(|_| {}),
        }
    }

    /// Returns a source that reads the values and the host list from `store`.
    #[must_use]
    pub fn from_store(store: &Store) -> Self {
        let store = Arc::new(ArcSwap::from_pointee(store.clone()));
        let (value_store, list_store) = (Arc::clone(&store), Arc::clone(&store));
        Self {
            watch_values: Arc::new(move |known_revision, max_wait, response_time| {
                let store = value_store.load_full();
                async move { store.watch(known_revision, max_wait, response_time).await }.boxed()
            }),
            read_hosts: Arc::new(move || {
                let store = list_store.load_full();
                async move { read_hosts(&store).await }.boxed()
            }),
            set_store: Arc::new(move |addr| store.store(Arc::new(store.load().at(addr)))),
        }
    }
}

async fn read_hosts(store: &Store) -> Result<HostList> {
    let read = store.read_value(host_list::KEY).await?;
    let (value, revision) = read.ok_or_else(|| Error::platform("the store has no host list"))?;
    let list = host_list::parse(value.revision, value.json.as_deref().unwrap_or_default())?;
    Ok(HostList {
        platform_revision: revision,
        ..list
    })
}

impl std::fmt::Debug for PlatformSource {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("PlatformSource(..)")
    }
}

/// Channels and callbacks between the control thread and the rest of the process.
pub struct ControlChannels {
    /// Publishes a new snapshot to the lanes.
    pub publish_snapshot: Arc<dyn Fn(Arc<Snapshot>) + Send + Sync>,
    /// Publishes new reports of other hosts to the lanes.
    pub publish_reports: Arc<dyn Fn(Arc<PeerReports>) + Send + Sync>,
    /// Returns the number of unfinished requests and unopened flows of all lanes.
    pub count_in_flight: Arc<dyn Fn() -> usize + Send + Sync>,
    /// Becomes true when this host shall drain and leave.
    pub leave: watch::Receiver<bool>,
    /// Returns the newest reports of all lanes.
    pub lane_reports: Arc<dyn Fn() -> Vec<Arc<LaneReport>> + Send + Sync>,
    /// Requests for a dump of the control tables.
    pub dump_requests: mpsc::Receiver<oneshot::Sender<serde_json::Value>>,
    /// Settings that can change while the host runs.
    pub settings: watch::Receiver<LiveSettings>,
}

impl ControlChannels {
    /// Creates the channel for dump requests.
    #[must_use]
    pub fn dump_channel() -> (
        mpsc::Sender<oneshot::Sender<serde_json::Value>>,
        mpsc::Receiver<oneshot::Sender<serde_json::Value>>,
    ) {
        mpsc::channel(DUMP_QUEUE_SIZE)
    }
}

impl std::fmt::Debug for ControlChannels {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ControlChannels(..)")
    }
}

type PendingFetch = (FetchRequest, oneshot::Sender<FetchResponse>);
type HeartbeatSocket = UdpFramed<HeartbeatCodec, Arc<UdpSocket>>;

struct HeartbeatCodec(PeerKey);

struct EventLoop {
    control: Control,
    clock: Clock,
    settings: ControlSettings,
    channels: ControlChannels,
    heartbeat_socket: HeartbeatSocket,
    pending_reads: JoinSet<Event>,
    /// The watch in flight, which the next one replaces.
    pending_watch: Option<AbortHandle>,
    connections: JoinSet<()>,
}

/// Runs the control thread until this host has left.
///
/// # Errors
///
/// Returns an error when its sockets cannot be opened.
pub async fn run(settings: ControlSettings, clock: Clock, channels: ControlChannels) -> Result<()> {
    let addr = settings.control.info.peer_addr;
    let socket = UdpSocket::bind(addr).await;
    let socket = Arc::new(socket.map_err(|err| Error::io("open the control socket", err))?);
    let listener = TcpListener::bind(addr).await;
    let listener = listener.map_err(|err| Error::io("open the control listener", err))?;
    let inbox = UdpFramed::new(
        Arc::clone(&socket),
        HeartbeatCodec(settings.peer_key.clone()),
    );
    let event_loop = EventLoop {
        control: Control::new(settings.control.clone(), clock.now()),
        clock,
        heartbeat_socket: UdpFramed::new(socket, HeartbeatCodec(settings.peer_key.clone())),
        settings,
        channels,
        pending_reads: JoinSet::new(),
        pending_watch: None,
        connections: JoinSet::new(),
    };
    event_loop.run(inbox, listener).await;
    Ok(())
}

impl EventLoop {
    async fn run(mut self, mut inbox: HeartbeatSocket, listener: TcpListener) {
        let (requests, mut pending_fetches) = mpsc::channel::<PendingFetch>(MAX_CONNECTIONS);
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let initial_settings = self.settings_event();
        self.handle(initial_settings).await;
        loop {
            let event = tokio::select! {
                Some(Ok((heartbeat, _))) = inbox.next() => heartbeat_event(heartbeat),
                Some(Ok(event)) = self.pending_reads.join_next() => event,
                Some((request, reply)) = pending_fetches.recv() => {
                    let _ = reply.send(self.control.answer_fetch(&request));
                    continue;
                }
                Ok((stream, _)) = listener.accept(),
                    if self.connections.len() < MAX_CONNECTIONS =>
                {
                    self.serve(stream, requests.clone());
                    continue;
                }
                Some(_) = self.connections.join_next() => continue,
                Some(reply) = self.channels.dump_requests.recv() => {
                    let _ = reply.send(self.dump());
                    continue;
                }
                Ok(()) = self.channels.leave.changed() => Event::Leave,
                Ok(()) = self.channels.settings.changed() => self.settings_event(),
                _ = ticks.tick() => Event::Tick,
            };
            if self.handle(event).await {
                return;
            }
        }
    }

    /// Handles an event, a tick after what the lanes have published. Returns true once this host
    /// has left.
    async fn handle(&mut self, event: Event) -> bool {
        let mut events: SmallVec<[Event; 3]> = SmallVec::new();
        if matches!(event, Event::Tick) {
            events.extend(self.is_drained().then_some(Event::Drained));
            events.push(Event::LaneReports((self.channels.lane_reports)()));
        }
        events.push(event);
        let mut left = false;
        for event in events {
            let now = self.clock.now();
            let outbox = self.control.handle(now, event);
            left |= self.run_actions(outbox).await;
        }
        left
    }

    /// Directs reads to the store in the current settings and returns these settings.
    fn settings_event(&mut self) -> Event {
        let settings = self.channels.settings.borrow_and_update().clone();
        (self.settings.source.set_store)(settings.store_addr);
        Event::Settings(settings)
    }

    fn is_drained(&self) -> bool {
        *self.channels.leave.borrow() && (self.channels.count_in_flight)() == 0
    }

    async fn run_actions(&mut self, outbox: Outbox) -> bool {
        let mut left = false;
        for action in outbox {
            match action {
                Action::Send { to, heartbeat } => self.send(to, *heartbeat).await,
                Action::Fetch {
                    number,
                    to,
                    request,
                    response_time,
                } => self.fetch(number, to, request, response_time),
                Action::Watch {
                    known_revision,
                    max_wait,
                    response_time,
                } => self.watch(known_revision, max_wait, response_time),
                Action::ReadHosts => self.read_hosts(),
                Action::Publish(snapshot) => (self.channels.publish_snapshot)(snapshot),
                Action::PublishReports(reports) => (self.channels.publish_reports)(reports),
                Action::Exit => left = true,
            }
        }
        left
    }

    async fn send(&mut self, to: SocketAddr, heartbeat: Heartbeat) {
        if let Err(err) = self.heartbeat_socket.send((heartbeat, to)).await {
            log::debug!(to:%, cause:% = err; "heartbeat_unsent");
        }
    }

    fn fetch(
        &mut self,
        number: u64,
        to: SocketAddr,
        request: FetchRequest,
        response_time: Duration,
    ) {
        let key = self.settings.peer_key.clone();
        self.pending_reads.spawn(async move {
            let result = fetch(to, request, response_time, &key).await;
            Event::Fetched { number, result }
        });
    }

    fn watch(&mut self, known_revision: Revision, max_wait: Duration, response_time: Duration) {
        let source = &self.settings.source;
        let response = (source.watch_values)(known_revision, max_wait, response_time);
        let watch = self
            .pending_reads
            .spawn(async move { Event::Values(response.await) });
        if let Some(replaced) = self.pending_watch.replace(watch) {
            replaced.abort();
        }
    }

    fn read_hosts(&mut self) {
        let response = (self.settings.source.read_hosts)();
        self.pending_reads
            .spawn(async move { Event::Hosts(response.await) });
    }

    fn serve(&mut self, stream: TcpStream, requests: mpsc::Sender<PendingFetch>) {
        let key = self.settings.peer_key.clone();
        self.connections.spawn(async move {
            if let Ok(Err(err)) = timeout(FETCH_TIMEOUT, serve(stream, &requests, &key)).await {
                log::debug!(cause:% = err; "fetch_unserved");
            }
        });
    }

    fn dump(&self) -> serde_json::Value {
        serde_json::to_value(self.control.tables()).unwrap_or_default()
    }
}

/// Sends a fetch request to the host at `to` and returns the response, which must begin
/// within `response_time`.
///
/// # Errors
///
/// Returns an error when the host does not respond in time or the response is invalid.
pub async fn fetch(
    to: SocketAddr,
    request: FetchRequest,
    response_time: Duration,
    key: &PeerKey,
) -> Result<FetchResponse> {
    let timed_out = |_| Error::peer(to, "no response within the time limit");
    let failed = |err: io::Error| Error::peer(to, err.to_string());
    let exchange = async {
        let sent = timeout(response_time, send_request(to, request, key)).await;
        let mut frames = sent.map_err(timed_out)?.map_err(failed)?;
        let frame = frames.next().await;
        frame
            .unwrap_or_else(|| Err(io::ErrorKind::UnexpectedEof.into()))
            .map_err(failed)
    };
    let bytes = timeout(FETCH_TIMEOUT, exchange)
        .await
        .map_err(timed_out)??;
    wire::decode_fetch_response(&bytes, key)
}

/// Sends a fetch request and waits until the response begins.
async fn send_request(
    to: SocketAddr,
    request: FetchRequest,
    key: &PeerKey,
) -> io::Result<Framed<TcpStream, LengthDelimitedCodec>> {
    let stream = TcpStream::connect(to).await?;
    let mut frames = length_delimited(stream);
    frames
        .send(wire::encode_fetch_request(&request, key))
        .await?;
    frames.get_ref().readable().await?;
    Ok(frames)
}

async fn serve(
    stream: TcpStream,
    requests: &mpsc::Sender<PendingFetch>,
    key: &PeerKey,
) -> Result<()> {
    let io_error = |err| Error::io("answer a fetch", err);
    let mut frames = length_delimited(stream);
    frames.codec_mut().set_max_frame_length(MAX_REQUEST_BYTES);
    let Some(frame) = frames.next().await else {
        return Ok(());
    };
    let request = wire::decode_fetch_request(&frame.map_err(io_error)?, key)?;
    let (reply, response) = oneshot::channel();
    let stopped = || Error::malformed("fetch while the host is stopping");
    requests
        .send((request, reply))
        .await
        .map_err(|_| stopped())?;
    let response = response.await.map_err(|_| stopped())?;
    let bytes = wire::encode_fetch_response(&response, key);
    frames.codec_mut().set_max_frame_length(MAX_FETCH_BYTES);
    frames.send(bytes).await.map_err(io_error)
}

fn length_delimited(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FETCH_BYTES)
        .new_framed(stream)
}

fn heartbeat_event(heartbeat: Result<Heartbeat>) -> Event {
    match heartbeat {
        Ok(heartbeat) => Event::Heartbeat(Box::new(heartbeat)),
        Err(_) => Event::Rejected,
    }
}

#[cold]
fn missing_platform() -> Error {
    Error::platform("the settings contain no platform address")
}

impl Decoder for HeartbeatCodec {
    type Item = Result<Heartbeat>;
    type Error = io::Error;

    fn decode(&mut self, src: &mut BytesMut) -> io::Result<Option<Self::Item>> {
        if src.is_empty() {
            return Ok(None);
        }
        let datagram = src.split();
        Ok(Some(wire::decode_heartbeat(&datagram, &self.0)))
    }
}

impl Encoder<Heartbeat> for HeartbeatCodec {
    type Error = io::Error;

    fn encode(&mut self, heartbeat: Heartbeat, dst: &mut BytesMut) -> io::Result<()> {
        dst.extend_from_slice(&wire::encode_heartbeat(&heartbeat, &self.0));
        Ok(())
    }
}
