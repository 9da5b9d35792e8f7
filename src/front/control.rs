//! Sockets and timers of the control thread.
//!
//! One task owns [`Control`]. Heartbeats go over UDP, fetches over TCP on the same
//! port number, reads of the platform over HTTP. The task sleeps until one of them
//! or the tick has something for it.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use futures_util::future::{BoxFuture, ready};
use futures_util::{FutureExt, SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval, timeout};
use tokio_util::codec::{Decoder, Encoder, Framed, LengthDelimitedCodec};
use tokio_util::udp::UdpFramed;

use super::host_list;
use crate::clock::Clock;
use crate::control::failure_detector::TICK_INTERVAL;
use crate::control::{
    Action, Control, Event, FetchRequest, FetchResponse, Heartbeat, HostList, Outbox, Settings,
    ValueUpdate,
};
use crate::error::{Error, Result};
use crate::platform::store::Store;
use crate::snapshot::Snapshot;
use crate::wire::{self, MAX_FETCH_BYTES, PeerKey};

/// Time that a fetch may take at either end.
const FETCH_LIMIT: Duration = Duration::from_secs(3);

/// Most bytes of a fetch itself.
const ASK_BYTES: usize = 256;

/// Most connections that are served at once.
const CONNECTION_LIMIT: usize = 64;

/// Dumps of the control tables that may be asked for at once.
const DUMP_BACKLOG: usize = 4;

/// What the control thread is told at its start.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Settings of the decision code.
    pub control: Settings,
    /// Key of messages between hosts.
    pub peer_key: PeerKey,
    /// Where values and hosts are read.
    pub source: PlatformSource,
}

/// Reads of the platform.
#[derive(Clone)]
pub struct PlatformSource {
    /// Waits for values above a revision.
    pub watch_values:
        Arc<dyn Fn(u64, Duration) -> BoxFuture<'static, Result<ValueUpdate>> + Send + Sync>,
    /// Reads the host list.
    pub read_hosts: Arc<dyn Fn() -> BoxFuture<'static, Result<HostList>> + Send + Sync>,
}

impl PlatformSource {
    /// A platform that never answers.
    #[must_use]
    pub fn unavailable() -> Self {
        Self {
            watch_values: Arc::new(|_, _| ready(Err(no_platform())).boxed()),
            read_hosts: Arc::new(|| ready(Err(no_platform())).boxed()),
        }
    }

    /// Values of a store, and the host list of the project's own interface in it.
    #[must_use]
    pub fn from_store(store: &Store) -> Self {
        let (values, lists) = (store.clone(), store.clone());
        Self {
            watch_values: Arc::new(move |after, wait| {
                let store = values.clone();
                async move { store.watch(after, wait).await }.boxed()
            }),
            read_hosts: Arc::new(move || {
                let store = lists.clone();
                async move { read_hosts(&store).await }.boxed()
            }),
        }
    }
}

async fn read_hosts(store: &Store) -> Result<HostList> {
    let item = store.read_value(host_list::KEY).await?;
    let item = item.ok_or_else(|| Error::platform("there is no host list"))?;
    host_list::parse(item.revision, item.json.as_deref().unwrap_or_default())
}

impl std::fmt::Debug for PlatformSource {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("PlatformSource(..)")
    }
}

/// What ties the control thread to the rest of the process.
pub struct ControlChannels {
    /// Swaps in a new snapshot.
    pub publish_snapshot: Arc<dyn Fn(Arc<Snapshot>) + Send + Sync>,
    /// Flows and requests in flight on the traffic lanes.
    pub count_in_flight: Arc<dyn Fn() -> usize + Send + Sync>,
    /// True once the operator asks this host to leave.
    pub leave: watch::Receiver<bool>,
    /// Requests for a dump of the control tables.
    pub dump_requests: mpsc::Receiver<oneshot::Sender<serde_json::Value>>,
    /// Control addresses of hosts to start from.
    pub seeds: watch::Receiver<Vec<SocketAddr>>,
}

impl ControlChannels {
    /// Channel for dump requests.
    #[must_use]
    pub fn dump_channel() -> (
        mpsc::Sender<oneshot::Sender<serde_json::Value>>,
        mpsc::Receiver<oneshot::Sender<serde_json::Value>>,
    ) {
        mpsc::channel(DUMP_BACKLOG)
    }
}

impl std::fmt::Debug for ControlChannels {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ControlChannels(..)")
    }
}

type Question = (FetchRequest, oneshot::Sender<FetchResponse>);
type BeatSocket = UdpFramed<BeatCodec, Arc<UdpSocket>>;

struct BeatCodec(PeerKey);

struct Loop {
    control: Control,
    clock: Clock,
    settings: ControlSettings,
    channels: ControlChannels,
    beats: BeatSocket,
    tasks: JoinSet<Event>,
    served: JoinSet<()>,
}

/// Runs the control thread until this host has left.
///
/// # Errors
///
/// Fails when its sockets cannot be opened.
pub async fn run(settings: ControlSettings, clock: Clock, channels: ControlChannels) -> Result<()> {
    let addr = settings.control.info.peer_addr;
    let udp = UdpSocket::bind(addr).await;
    let udp = Arc::new(udp.map_err(|err| Error::io("open the control socket", err))?);
    let listener = TcpListener::bind(addr).await;
    let listener = listener.map_err(|err| Error::io("open the control listener", err))?;
    let inbox = UdpFramed::new(Arc::clone(&udp), BeatCodec(settings.peer_key.clone()));
    let state = Loop {
        control: Control::new(settings.control.clone(), clock.now()),
        clock,
        beats: UdpFramed::new(udp, BeatCodec(settings.peer_key.clone())),
        settings,
        channels,
        tasks: JoinSet::new(),
        served: JoinSet::new(),
    };
    state.run(inbox, listener).await;
    Ok(())
}

impl Loop {
    async fn run(mut self, mut inbox: BeatSocket, listener: TcpListener) {
        let (ask, mut questions) = mpsc::channel::<Question>(CONNECTION_LIMIT);
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let event = tokio::select! {
                Some(Ok((beat, _))) = inbox.next() => beat_event(beat),
                Some(Ok(event)) = self.tasks.join_next() => event,
                Some((ask, reply)) = questions.recv() => {
                    let _ = reply.send(self.control.answer_fetch(&ask));
                    continue;
                }
                Ok((stream, _)) = listener.accept(), if self.served.len() < CONNECTION_LIMIT => {
                    self.serve(stream, ask.clone());
                    continue;
                }
                Some(_) = self.served.join_next() => continue,
                Some(reply) = self.channels.dump_requests.recv() => {
                    let _ = reply.send(self.dump());
                    continue;
                }
                Ok(()) = self.channels.leave.changed() => Event::Leave,
                Ok(()) = self.channels.seeds.changed() => {
                    Event::Seeds(self.channels.seeds.borrow_and_update().clone())
                }
                _ = ticks.tick() => Event::Tick,
            };
            if self.handle(event).await {
                return;
            }
        }
    }

    /// Handles an event; true once this host has left.
    async fn handle(&mut self, event: Event) -> bool {
        let ticked = matches!(event, Event::Tick);
        if ticked && self.is_drained() {
            let now = self.clock.now();
            self.control.handle(now, Event::Drained);
        }
        let now = self.clock.now();
        let outbox = self.control.handle(now, event);
        self.carry_out(outbox).await
    }

    fn is_drained(&self) -> bool {
        *self.channels.leave.borrow() && (self.channels.count_in_flight)() == 0
    }

    async fn carry_out(&mut self, outbox: Outbox) -> bool {
        let mut left = false;
        for action in outbox {
            match action {
                Action::Send {
                    to,
                    heartbeat: beat,
                } => self.send(to, *beat).await,
                Action::Fetch { to, request: ask } => self.fetch(to, ask),
                Action::Watch {
                    known_revision: after,
                    max_wait: wait,
                } => self.watch(after, wait),
                Action::ReadHosts => self.read_hosts(),
                Action::Publish(snapshot) => (self.channels.publish_snapshot)(snapshot),
                Action::Exit => left = true,
            }
        }
        left
    }

    async fn send(&mut self, to: SocketAddr, beat: Heartbeat) {
        if let Err(err) = self.beats.send((beat, to)).await {
            log::debug!(to:%, cause:% = err; "heartbeat_unsent");
        }
    }

    fn fetch(&mut self, to: SocketAddr, ask: FetchRequest) {
        let key = self.settings.peer_key.clone();
        self.tasks
            .spawn(async move { Event::Fetched(fetch(to, ask, &key).await) });
    }

    fn watch(&mut self, after: u64, wait: Duration) {
        let answer = (self.settings.source.watch_values)(after, wait);
        self.tasks.spawn(async move { Event::Values(answer.await) });
    }

    fn read_hosts(&mut self) {
        let answer = (self.settings.source.read_hosts)();
        self.tasks.spawn(async move { Event::Hosts(answer.await) });
    }

    fn serve(&mut self, stream: TcpStream, ask: mpsc::Sender<Question>) {
        let key = self.settings.peer_key.clone();
        self.served.spawn(async move {
            if let Ok(Err(err)) = timeout(FETCH_LIMIT, serve(stream, &ask, &key)).await {
                log::debug!(cause:% = err; "fetch_unserved");
            }
        });
    }

    fn dump(&self) -> serde_json::Value {
        serde_json::to_value(self.control.tables()).unwrap_or_default()
    }
}

/// Fetches from the host at `to`.
///
/// # Errors
///
/// Fails when it does not answer in time, or answers nonsense.
pub async fn fetch(to: SocketAddr, ask: FetchRequest, key: &PeerKey) -> Result<FetchResponse> {
    let answer = timeout(FETCH_LIMIT, exchange(to, ask, key)).await;
    let bytes = answer
        .map_err(|_| Error::peer(to, "no answer in time"))?
        .map_err(|err| Error::peer(to, err.to_string()))?;
    wire::decode_fetch_response(&bytes, key)
}

async fn exchange(to: SocketAddr, ask: FetchRequest, key: &PeerKey) -> io::Result<BytesMut> {
    let stream = TcpStream::connect(to).await?;
    let mut frames = framed(stream);
    frames.send(wire::encode_fetch_request(&ask, key)).await?;
    let frame = frames.next().await;
    frame.unwrap_or_else(|| Err(io::ErrorKind::UnexpectedEof.into()))
}

async fn serve(stream: TcpStream, ask: &mpsc::Sender<Question>, key: &PeerKey) -> Result<()> {
    let refused = |err| Error::io("answer a fetch", err);
    let mut frames = framed(stream);
    frames.codec_mut().set_max_frame_length(ASK_BYTES);
    let Some(frame) = frames.next().await else {
        return Ok(());
    };
    let fetch = wire::decode_fetch_request(&frame.map_err(refused)?, key)?;
    let (reply, answer) = oneshot::channel();
    let ended = || Error::malformed("fetch while the host ends");
    ask.send((fetch, reply)).await.map_err(|_| ended())?;
    let fetched = answer.await.map_err(|_| ended())?;
    let bytes = wire::encode_fetch_response(&fetched, key);
    frames.codec_mut().set_max_frame_length(MAX_FETCH_BYTES);
    frames.send(bytes).await.map_err(refused)
}

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FETCH_BYTES)
        .new_framed(stream)
}

fn beat_event(beat: Result<Heartbeat>) -> Event {
    match beat {
        Ok(beat) => Event::Heartbeat(Box::new(beat)),
        Err(_) => Event::Rejected,
    }
}

#[cold]
fn no_platform() -> Error {
    Error::platform("no address in the settings")
}

impl Decoder for BeatCodec {
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

impl Encoder<Heartbeat> for BeatCodec {
    type Error = io::Error;

    fn encode(&mut self, beat: Heartbeat, dst: &mut BytesMut) -> io::Result<()> {
        dst.extend_from_slice(&wire::encode_heartbeat(&beat, &self.0));
        Ok(())
    }
}
