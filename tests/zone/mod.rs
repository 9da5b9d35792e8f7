//! Simulated zone: control cores connected by an in-memory network.
//!
//! Closures and plain fields, which each test sets, decide what is lost, delayed or
//! stale.

#![allow(dead_code, reason = "each test uses only some items")]

use std::collections::BTreeMap;

use jacinthhinge::control::message::{Heartbeat, HostInfo, HostList, ListedHost};
use jacinthhinge::control::{
    Action, BuiltConfig, ConfigBuilder, Control, Event, FetchRequest, FetchResponse, ReadPacing,
    Settings, Value, ValueChange, ValueUpdate, Values,
};
use jacinthhinge::control::{DEFAULT_SUMMED_FROM, LeaseTiming};
use jacinthhinge::prelude::*;
use jacinthhinge::report::PeerReports;
use jacinthhinge::wire::{PeerKey, encode_fetch_response, encode_heartbeat};

/// Interval between the ticks of a host.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// One-way latency of the network when nothing is delayed.
pub const LATENCY: Duration = Duration::from_micros(500);
/// Interval at which a waiting watch checks for new values.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which [`Zone::run_until_condition`] checks its condition.
const RUN_STEP: Duration = Duration::from_millis(20);
/// Number of pending messages and timers beyond which hosts answer each other without end: ten
/// times those of the largest zone in the tests.
const MAX_PENDING_TASKS: usize = 300_000;
/// Bytes of the IPv4 and UDP headers of a datagram.
const HEADER_BYTES: u64 = 28;

/// Returns the delay of each copy of a message that arrives; empty if it is lost. The
/// arguments are the time, the sender and the receiver.
pub type LinkModel = Box<dyn FnMut(Duration, usize, usize) -> Vec<Duration>>;

/// Called before and after a host handles an event, and when it is killed.
pub type Observer = Box<dyn FnMut(Duration, &Node)>;

/// A simulated host.
pub struct Node {
    pub index: usize,
    pub control: Control,
    pub snapshot: Arc<Snapshot>,
    pub reports: Arc<PeerReports>,
    pub started_at: Duration,
    pub incarnation: Incarnation,
    pub reaches_platform: bool,
    /// True if the platform leaves its reads unanswered.
    pub is_ignored: bool,
    pub exited: bool,
    pub paused_until: Duration,
    /// Number of the watch whose result it waits for; it has abandoned the earlier ones.
    watch_count: u64,
    pending_events: Vec<Event>,
}

impl Node {
    /// Returns the sorted names of the hosts in its published snapshot.
    pub fn hosts(&self) -> Vec<String> {
        let hosts = self.snapshot.hosts.iter();
        let mut names: Vec<String> = hosts.map(|host| host.name.to_string()).collect();
        names.sort();
        names
    }

    /// Returns true if the lease in its published snapshot is still held.
    pub fn is_leased(&self, now: Duration) -> bool {
        self.snapshot
            .lease
            .is_held(now.saturating_sub(self.started_at))
    }
}

/// The simulated platform: its values, its host list and the times of the reads.
#[derive(Default)]
pub struct Platform {
    pub up: bool,
    pub update: ValueUpdate,
    pub host_list: HostList,
    pub read_times: Vec<Duration>,
}

/// Messages in flight, pending timers, and a count of the traffic.
pub struct Network {
    pub link_model: LinkModel,
    /// Number of the next fetches that get no response.
    pub unanswered_fetches: u32,
    /// Senders and receivers of all fetches.
    pub fetches: Vec<(usize, usize)>,
    pub count_traffic: bool,
    pub sent_messages: u64,
    pub sent_bytes: u64,
    /// Part of `sent_bytes` that reports of hosts took.
    pub report_bytes: u64,
    /// Part of `sent_bytes` that sums of zones took.
    pub sum_bytes: u64,
    /// Bytes that each host has sent and received.
    pub host_bytes: BTreeMap<usize, (u64, u64)>,
    peer_key: PeerKey,
    tasks: BTreeMap<(Duration, u64), Task>,
    task_count: u64,
}

enum Task {
    Tick(usize, Incarnation),
    Event(usize, Incarnation, Event),
    Heartbeat(usize, Box<Heartbeat>),
    Fetch(usize, Incarnation, FetchCall),
    Watch(usize, Incarnation, WatchCall),
    WatchError(usize, Incarnation, WatchCall, Error),
}

/// A fetch that the host with the index `to` has not answered yet.
#[derive(Clone, Copy)]
struct FetchCall {
    number: u64,
    to: usize,
    request: FetchRequest,
    response_time: Duration,
}

/// A watch that the platform has not answered yet.
#[derive(Clone, Copy)]
struct WatchCall {
    number: u64,
    known_revision: Revision,
    time_left: Duration,
    response_time: Duration,
}

impl Network {
    fn schedule(&mut self, at: Duration, task: Task) {
        let pending = self.tasks.len();
        assert!(
            pending < MAX_PENDING_TASKS,
            "{pending} tasks are pending at {at:?}"
        );
        self.task_count += 1;
        self.tasks.insert((at, self.task_count), task);
    }

    fn send(&mut self, now: Duration, from: usize, to: usize, heartbeat: &Heartbeat) {
        if self.count_traffic {
            self.count_heartbeat(from, to, heartbeat);
        }
        for delay in (self.link_model)(now, from, to) {
            self.schedule(
                now + delay,
                Task::Heartbeat(to, Box::new(heartbeat.clone())),
            );
        }
    }

    fn count_heartbeat(&mut self, from: usize, to: usize, heartbeat: &Heartbeat) {
        let size = |heartbeat: &Heartbeat| encode_heartbeat(heartbeat, &self.peer_key).len() as u64;
        let bytes = HEADER_BYTES + size(heartbeat);
        if heartbeat.report.is_some() || heartbeat.zone_report.is_some() {
            let mut plain = heartbeat.clone();
            plain.report = None;
            let without_report = HEADER_BYTES + size(&plain);
            plain.zone_report = None;
            self.report_bytes += bytes - without_report;
            self.sum_bytes += without_report - HEADER_BYTES - size(&plain);
        }
        self.sent_messages += 1;
        self.sent_bytes += bytes;
        self.host_bytes.entry(from).or_default().0 += bytes;
        self.host_bytes.entry(to).or_default().1 += bytes;
    }

    /// Sets all counts of the traffic to zero.
    pub fn reset_counts(&mut self) {
        self.sent_messages = 0;
        self.sent_bytes = 0;
        self.report_bytes = 0;
        self.sum_bytes = 0;
        self.host_bytes.clear();
    }

    fn is_delivered(&mut self, now: Duration, from: usize, to: usize) -> bool {
        !(self.link_model)(now, from, to).is_empty()
    }
}

/// A simulated zone.
pub struct Zone {
    pub now: Duration,
    pub nodes: BTreeMap<usize, Node>,
    pub platform: Platform,
    pub network: Network,
    pub observer: Observer,
    pub config_builder: ConfigBuilder,
    pub lease_timing: LeaseTiming,
    pub seeds: Vec<SocketAddr>,
    pub read_pacing: ReadPacing,
    pub summed_from: usize,
    /// Number of availability zones that the hosts are assigned to in turn.
    pub az_count: usize,
    start_count: u64,
}

impl Zone {
    /// Returns a zone without hosts. No message is lost and the platform is down.
    pub fn new() -> Self {
        Self {
            now: Duration::ZERO,
            nodes: BTreeMap::new(),
            platform: Platform::default(),
            network: Network {
                link_model: Box::new(|_, _, _| vec![LATENCY]),
                unanswered_fetches: 0,
                fetches: Vec::new(),
                count_traffic: false,
                sent_messages: 0,
                sent_bytes: 0,
                report_bytes: 0,
                sum_bytes: 0,
                host_bytes: BTreeMap::new(),
                peer_key: PeerKey::new("secret"),
                tasks: BTreeMap::new(),
                task_count: 0,
            },
            observer: Box::new(|_, _| {}),
            config_builder: ConfigBuilder::new(build_config),
            lease_timing: LeaseTiming::default(),
            seeds: Vec::new(),
            read_pacing: ReadPacing::default(),
            summed_from: DEFAULT_SUMMED_FROM,
            az_count: 1,
            start_count: 0,
        }
    }

    /// Returns a zone of hosts that have each other as seeds.
    pub fn with_hosts(count: usize) -> Self {
        let mut zone = Self::new();
        zone.seeds = (0..count).map(peer_addr).collect();
        (0..count).for_each(|index| zone.start(index));
        zone
    }

    /// Returns a zone over three availability zones, in which three hosts read the platform,
    /// which is up, and all have read a first value from it.
    pub fn with_frequent_reads(count: usize) -> Self {
        let mut zone = Self::new();
        zone.read_pacing = ReadPacing::frequent();
        zone.az_count = 3;
        zone.seeds = (0..count).map(peer_addr).collect();
        (0..count).for_each(|index| zone.start(index));
        zone.platform.up = true;
        zone.set_value("fleet", Some("1"));
        zone.run_for(Duration::from_secs(10));
        zone
    }

    /// Starts a host with a new incarnation.
    pub fn start(&mut self, index: usize) {
        self.start_count += 1;
        let incarnation = 1_000_000_000 * self.start_count;
        let settings = Settings {
            info: HostInfo {
                availability_zone: format!("place-{}", index % self.az_count).into(),
                ..host_info(index)
            },
            incarnation,
            seeds: self.seeds.clone(),
            keys: TicketKeys::new("current", "other"),
            lease_timing: self.lease_timing,
            drain_limit: Duration::from_secs(5),
            config_builder: self.config_builder.clone(),
            read_pacing: self.read_pacing,
            summed_from: self.summed_from,
            rng_seed: self.start_count,
        };
        let node = Node {
            index,
            control: Control::new(settings, Duration::ZERO),
            snapshot: Arc::new(Snapshot::empty(TicketKeys::new("current", "other"))),
            reports: Arc::default(),
            started_at: self.now,
            incarnation,
            reaches_platform: true,
            is_ignored: false,
            exited: false,
            paused_until: Duration::ZERO,
            watch_count: 0,
            pending_events: Vec::new(),
        };
        self.nodes.insert(index, node);
        let phase = Duration::from_millis(self.start_count * 7 % 100);
        self.network
            .schedule(self.now + phase, Task::Tick(index, incarnation));
    }

    /// Stops a host abruptly.
    pub fn kill(&mut self, index: usize) {
        if let Some(node) = self.nodes.remove(&index) {
            (self.observer)(self.now, &node);
        }
    }

    /// Pauses a host. Events that arrive meanwhile are handled when it resumes.
    pub fn pause(&mut self, index: usize, time: Duration) {
        if let Some(node) = self.nodes.get_mut(&index) {
            node.paused_until = self.now + time;
        }
    }

    /// Delivers an event to a host, which handles it unless it is paused.
    pub fn deliver(&mut self, index: usize, event: Event) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&index) else {
            return;
        };
        node.pending_events.push(event);
        if now < node.paused_until {
            return;
        }
        for event in std::mem::take(&mut node.pending_events) {
            (self.observer)(now, node);
            let outbox = node
                .control
                .handle(now.saturating_sub(node.started_at), event);
            for action in outbox {
                perform_action(&mut self.network, &mut self.platform, now, node, action);
            }
            (self.observer)(now, node);
        }
    }

    /// Replaces the platform's host list.
    pub fn set_host_list(&mut self, indices: impl IntoIterator<Item = usize>) {
        self.platform.host_list.revision.number += 1;
        self.platform.host_list.hosts = indices.into_iter().map(listed_host).collect();
    }

    /// Sets a configuration value on the platform, or deletes it.
    pub fn set_value(&mut self, key: &str, json: Option<&str>) {
        let update = &mut self.platform.update;
        update.revision.number += 1;
        update.values.retain(|change| &*change.key != key);
        update.values.push(ValueChange {
            key: key.into(),
            value: Value {
                revision: update.revision,
                json: json.map(Name::from),
                ..Value::default()
            },
        });
    }

    /// Replaces the platform's values by an earlier copy of them, in a new era.
    pub fn restore_platform(&mut self, mut copy: ValueUpdate) {
        let era = self.platform.update.revision.era + 1;
        copy.revision.era = era;
        for change in &mut copy.values {
            change.value.revision.era = era;
        }
        self.platform.update = copy;
    }

    /// Runs until the clock shows `time`.
    pub fn run_until(&mut self, time: Duration) {
        while let Some(entry) = self.network.tasks.first_entry() {
            if entry.key().0 > time {
                break;
            }
            let ((at, _), task) = entry.remove_entry();
            self.now = at;
            self.run_task(task);
        }
        self.now = time;
    }

    /// Runs for a duration.
    pub fn run_for(&mut self, time: Duration) {
        self.run_until(self.now + time);
    }

    /// Runs until a condition holds and returns the time it took, or `None` after `limit`.
    pub fn run_until_condition(
        &mut self,
        limit: Duration,
        condition: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while !condition(self) {
            if self.now >= start + limit {
                return None;
            }
            self.run_for(RUN_STEP);
        }
        Some(self.now.saturating_sub(start))
    }

    /// Returns true if a condition holds on every running host.
    pub fn all_nodes(&self, condition: impl Fn(&Node) -> bool) -> bool {
        self.nodes
            .values()
            .filter(|node| !node.exited)
            .all(condition)
    }

    fn run_task(&mut self, task: Task) {
        match task {
            Task::Tick(index, run) if self.is_up(index, run) => {
                let paused = self.nodes[&index].paused_until;
                self.deliver(index, Event::Tick);
                let next = paused.max(self.now + TICK_INTERVAL);
                self.network.schedule(next, Task::Tick(index, run));
            }
            Task::Event(index, run, event) if self.is_up(index, run) => self.deliver(index, event),
            Task::Heartbeat(index, heartbeat) => self.deliver(index, Event::Heartbeat(heartbeat)),
            Task::Fetch(index, run, call) => {
                let result = self.answer_fetch(index, call.to, &call.request);
                let delay = if result.is_ok() {
                    LATENCY
                } else {
                    call.response_time
                };
                let number = call.number;
                let event = Event::Fetched { number, result };
                self.network
                    .schedule(self.now + delay, Task::Event(index, run, event));
            }
            Task::Watch(index, run, call) if self.is_current(index, run, &call) => {
                self.answer_watch(index, run, &call);
            }
            Task::WatchError(index, run, call, error) if self.is_current(index, run, &call) => {
                self.deliver(index, Event::Values(Err(error)));
            }
            _ => {}
        }
    }

    fn is_up(&self, index: usize, run: Incarnation) -> bool {
        let node = self.nodes.get(&index);
        node.is_some_and(|node| node.incarnation == run && !node.exited)
    }

    fn is_current(&self, index: usize, run: Incarnation, call: &WatchCall) -> bool {
        self.is_up(index, run) && self.nodes[&index].watch_count == call.number
    }

    fn answer_fetch(
        &mut self,
        from: usize,
        to: usize,
        request: &FetchRequest,
    ) -> Result<FetchResponse> {
        let is_answered = self.network.unanswered_fetches == 0;
        self.network.unanswered_fetches = self.network.unanswered_fetches.saturating_sub(1);
        let is_reachable = is_answered
            && self.network.is_delivered(self.now, from, to)
            && self.network.is_delivered(self.now, to, from);
        let node = self.nodes.get(&to);
        let node =
            node.filter(|node| is_reachable && self.now >= node.paused_until && !node.exited);
        let node = node.ok_or_else(|| Error::peer(peer_addr(to), "no answer in time"))?;
        let response = node.control.answer_fetch(request);
        if self.network.count_traffic {
            self.network.sent_bytes +=
                encode_fetch_response(&response, &self.network.peer_key).len() as u64;
        }
        Ok(response)
    }

    fn answer_watch(&mut self, index: usize, run: Incarnation, call: &WatchCall) {
        if self.nodes[&index].is_ignored {
            let error = Error::platform("no answer");
            let time_limit = self.now + call.time_left + call.response_time;
            self.network
                .schedule(time_limit, Task::WatchError(index, run, *call, error));
            return;
        }
        let is_reachable = self.platform.up && self.nodes[&index].reaches_platform;
        let known_revision = call.known_revision;
        let update = &self.platform.update;
        if is_reachable && update.revision == known_revision && call.time_left > POLL_INTERVAL {
            let call = WatchCall {
                time_left: call.time_left.saturating_sub(POLL_INTERVAL),
                ..*call
            };
            let wait = Task::Watch(index, run, call);
            self.network.schedule(self.now + POLL_INTERVAL, wait);
            return;
        }
        let mut update = update.clone();
        update.is_full = known_revision.is_none() || update.revision.era != known_revision.era;
        let is_full = update.is_full;
        update.values.retain(|change| {
            if is_full {
                change.value.json.is_some()
            } else {
                change.value.revision > known_revision
            }
        });
        let answer = is_reachable.then_some(update);
        let answer = answer.ok_or_else(|| Error::platform("down"));
        self.deliver(index, Event::Values(answer));
    }
}

fn perform_action(
    network: &mut Network,
    platform: &mut Platform,
    now: Duration,
    node: &mut Node,
    action: Action,
) {
    let (index, run) = (node.index, node.incarnation);
    match action {
        Action::Send { to, heartbeat } => network.send(now, index, host_index(to), &heartbeat),
        Action::Fetch {
            number,
            to,
            request,
            response_time,
        } => {
            network.fetches.push((index, host_index(to)));
            let call = FetchCall {
                number,
                to: host_index(to),
                request,
                response_time,
            };
            network.schedule(now + LATENCY, Task::Fetch(index, run, call));
        }
        Action::Watch {
            known_revision,
            max_wait,
            response_time,
        } => {
            platform.read_times.push(now);
            node.watch_count += 1;
            let call = WatchCall {
                number: node.watch_count,
                known_revision,
                time_left: max_wait,
                response_time,
            };
            network.schedule(now + LATENCY, Task::Watch(index, run, call));
        }
        Action::ReadHosts => {
            platform.read_times.push(now);
            let answer = (platform.up && node.reaches_platform).then(|| HostList {
                platform_revision: platform.update.revision,
                ..platform.host_list.clone()
            });
            let answer = answer.ok_or_else(|| Error::platform("down"));
            network.schedule(now + LATENCY, Task::Event(index, run, Event::Hosts(answer)));
        }
        Action::Publish(snapshot) => node.snapshot = snapshot,
        Action::PublishReports(reports) => node.reports = reports,
        Action::Exit => node.exited = true,
    }
}

/// Returns the control address of a host.
pub fn peer_addr(index: usize) -> SocketAddr {
    let port = 10_000 + u16::try_from(index).expect("few hosts");
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Returns the name of a host.
pub fn host_name(index: usize) -> String {
    format!("sv-a-{index:03}")
}

/// Returns the names of hosts.
pub fn host_names(indices: impl IntoIterator<Item = usize>) -> Vec<String> {
    indices.into_iter().map(host_name).collect()
}

/// Returns the id of a host.
pub fn host_id(index: usize) -> Id {
    Id::of(&host_name(index))
}

/// Returns the addresses and zone that a host announces.
pub fn host_info(index: usize) -> HostInfo {
    let addr = peer_addr(index);
    let lanes = (1..=4).map(|lane| SocketAddr::new(addr.ip(), addr.port() + lane * 1_000));
    HostInfo {
        name: host_name(index).into(),
        zone: "sv-a".into(),
        availability_zone: "sv-a".into(),
        peer_addr: addr,
        lanes: lanes.collect(),
    }
}

fn listed_host(index: usize) -> (Name, ListedHost) {
    let host = ListedHost {
        name: host_name(index).into(),
        peer_addr: peer_addr(index),
        leaving: false,
    };
    ("sv-a".into(), host)
}

fn host_index(addr: SocketAddr) -> usize {
    usize::from(addr.port() - 10_000)
}

/// Builds an empty configuration, and refuses the value `"bad"`.
fn build_config(values: &Values) -> Result<BuiltConfig> {
    let bad = values
        .iter()
        .find(|(_, value)| value.json.as_deref() == Some("\"bad\""));
    match bad {
        Some((key, _)) => Err(Error::config(&**key, "bad value", "write a good one")),
        None => Ok(BuiltConfig::default()),
    }
}
