//! Callers and endpoints around one or more lanes with manual clocks.
//!
//! Callers open a flow for each request, send copies of an opening after 200 ms and 600 ms, give
//! up an attempt after 1.4 s or on a reset, and make up to two more attempts at once. Endpoints
//! answer an opening at once, run as many requests as they have slots, queue eight and refuse
//! the rest.

use std::collections::{BTreeSet, HashMap, VecDeque};

use jacinthhinge::control::message::Timestamp;
use jacinthhinge::prelude::*;
use jacinthhinge::report::HostReport;
use jacinthhinge::segment::{FlowAddrs, RelayAction, RequestKind, Route, Segment, SegmentKind};
use jacinthhinge::systems;
use jacinthhinge::tables::{Outbox, cookie_of};
use smallvec::smallvec;

use super::{LaneHarness, endpoint, ms};

/// Step of the clocks.
const STEP: Duration = Duration::from_millis(5);

/// Interval between two timer ticks, in steps.
const TIMER_STEPS: u32 = 10;

/// Requests that an endpoint queues.
const ENDPOINT_QUEUE: usize = 8;

/// Attempts of a caller.
const MAX_ATTEMPTS: u32 = 3;

/// Time for a segment to reach an endpoint of another zone and for the answer to come back.
const REMOTE_DELAY: Duration = Duration::from_millis(15);

/// Rate of requests that callers send to a lane.
#[derive(Clone, Copy)]
pub struct Demand {
    pub lane: usize,
    pub route: usize,
    /// Last byte of the callers' address; zero stands for many callers.
    pub caller: u8,
    /// Requests a second.
    pub rate: f64,
}

/// An endpoint.
pub struct Server {
    pub zone: &'static str,
    pub service_time: Duration,
    slots: usize,
    running: Vec<(Duration, usize)>,
    queue: VecDeque<usize>,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    Pending,
    Answered(Duration),
    Refused,
    Abandoned,
}

pub struct Request {
    pub lane: usize,
    pub route: usize,
    pub caller: u8,
    pub started: Duration,
    pub outcome: Outcome,
    pub attempts: u32,
    /// Number of the endpoint that answered its opening.
    pub server: Option<u64>,
    addrs: FlowAddrs,
    attempt_started: Duration,
    copies: u32,
    /// Time at which the request is sent on the open flow.
    ask_at: Option<Duration>,
    asked_at: Option<Duration>,
    repeats: u32,
    overruns: u32,
}

/// Totals over the requests of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    pub sent: u32,
    pub answered: u32,
    pub in_target: u32,
    pub refused: u32,
    pub abandoned: u32,
    pub remote: u32,
    /// Attempts that the endpoints refused because their queue was full.
    pub overruns: u32,
}

impl Totals {
    pub fn answered_share(&self) -> f64 {
        f64::from(self.answered) / f64::from(self.sent.max(1))
    }

    pub fn target_share(&self) -> f64 {
        f64::from(self.in_target) / f64::from(self.sent.max(1))
    }

    pub fn remote_share(&self) -> f64 {
        f64::from(self.remote) / f64::from(self.answered.max(1))
    }
}

pub struct LoadTest {
    pub lanes: Vec<LaneHarness>,
    pub zones: Vec<&'static str>,
    pub servers: Vec<Server>,
    pub requests: Vec<Request>,
    pub routes: Vec<Route>,
    /// Zones that operators have evacuated.
    pub evacuated: BTreeSet<Name>,
    /// Zones whose endpoints hosts of other zones cannot reach. Only flows at these endpoints may
    /// be reset while they are open.
    pub silent: Vec<&'static str>,
    /// Numbers of the endpoints that answer nobody.
    pub mute: BTreeSet<u64>,
    /// Lanes whose segments reach no endpoint.
    pub deaf: Vec<usize>,
    /// Openings that were lost on the way to a mute endpoint, or by a deaf lane.
    pub lost_openings: Vec<(Duration, u64)>,
    /// Repeats of the requests whose flows were reset while they were open.
    pub open_resets: Vec<u32>,
    /// Lanes whose reports reach no other lane, and that get none.
    pub cut_off: Vec<usize>,
    /// True if callers leave the flow as soon as it is open, without a request.
    pub callers_leave: bool,
    active: Vec<usize>,
    due: HashMap<usize, f64>,
    steps: u32,
    next_port: u16,
}

/// Returns a route with a target latency of 250 ms and a time-out of 1 s.
pub fn route(rank: u32, kind: RequestKind) -> Route {
    Route {
        name: format!("route-{rank}").into(),
        targets: smallvec![(Id::of("adserve"), 1)],
        kind,
        target_latency: ms(250),
        timeout: ms(1_000),
        shed_rank: rank,
        allowed_regions: smallvec![],
    }
}

/// Returns the virtual address of a route.
fn vip_of(route: usize) -> SocketAddr {
    SocketAddr::from(([198, 18, 0, 1], 443 + u16::try_from(route).expect("few")))
}

impl LoadTest {
    /// Creates lanes in `zones` and `count` endpoints of 2 slots in each of `servers`, which run
    /// a request for the given time.
    pub fn new(
        zones: &[&'static str],
        servers: &[(&'static str, usize, Duration)],
        routes: &[Route],
    ) -> Self {
        let servers = servers.iter().flat_map(|(zone, count, service_time)| {
            (0..*count).map(|_| Server {
                zone,
                service_time: *service_time,
                slots: 2,
                running: Vec::new(),
                queue: VecDeque::new(),
            })
        });
        let mut load = Self {
            lanes: zones.iter().map(|_| LaneHarness::new(&[])).collect(),
            zones: zones.to_vec(),
            servers: servers.collect(),
            requests: Vec::new(),
            routes: routes.to_vec(),
            evacuated: BTreeSet::new(),
            silent: Vec::new(),
            mute: BTreeSet::new(),
            deaf: Vec::new(),
            lost_openings: Vec::new(),
            open_resets: Vec::new(),
            cut_off: Vec::new(),
            callers_leave: false,
            active: Vec::new(),
            due: HashMap::new(),
            steps: 0,
            next_port: 1,
        };
        for (at, lane) in load.lanes.iter_mut().enumerate() {
            lane.tables.home.host = Id::of(&format!("host-{at}"));
            lane.tables.rng = rand::SeedableRng::seed_from_u64(at as u64);
        }
        load.publish();
        load
    }

    /// Publishes the endpoints, the hosts and their reports to all lanes.
    pub fn publish(&mut self) {
        let names: Vec<Name> = (0..self.lanes.len())
            .map(|at| format!("host-{at}").into())
            .collect();
        let hosts: Arc<[Host]> = names
            .iter()
            .zip(&self.zones)
            .map(|(name, zone)| Host {
                id: Id::of(name),
                name: name.clone(),
                incarnation: 1,
                availability_zone: (*zone).into(),
                lanes: smallvec![],
                leaving: false,
            })
            .collect();
        let reports: Vec<HostReport> = hosts
            .iter()
            .zip(&self.lanes)
            .map(|(host, lane)| HostReport {
                host: host.id,
                incarnation: 1,
                zone: host.availability_zone.clone(),
                sent_at: Timestamp(u64::from(self.steps)),
                // The ages in rows refer to the time at which the report was made.
                taken_at: if lane.tables.report.endpoints.is_empty() {
                    lane.now
                } else {
                    lane.tables.report.taken_at
                },
                report: Arc::clone(&lane.tables.report),
            })
            .collect();
        for at in 0..self.lanes.len() {
            let endpoints: Vec<Endpoint> = (1..)
                .zip(&self.servers)
                .map(|(number, server)| Endpoint {
                    slots: u32::try_from(server.slots).expect("few"),
                    local: server.zone == self.zones[at],
                    ..endpoint(number, server.zone)
                })
                .collect();
            let mut snapshot = (*super::snapshot(&endpoints)).clone();
            snapshot.routes = Arc::new(
                (0..self.routes.len())
                    .map(|route| (vip_of(route), self.routes[route].clone()))
                    .collect(),
            );
            snapshot.hosts = Arc::clone(&hosts);
            snapshot.evacuated_zones = Arc::new(self.evacuated.clone());
            snapshot.expected_hosts = u32::try_from(hosts.len()).expect("few");
            let is_heard = |other: usize| {
                other != at && !self.cut_off.contains(&other) && !self.cut_off.contains(&at)
            };
            let heard = (0..reports.len())
                .filter(|other| is_heard(*other))
                .map(|other| reports[other].clone())
                .collect();
            self.lanes[at].publish(&Arc::new(snapshot));
            self.lanes[at].publish_reports(heard);
        }
    }

    /// Runs the callers, lanes and endpoints for some time.
    pub fn run(&mut self, time: Duration, demands: &[Demand]) {
        let end = self.now() + time;
        while self.now() < end {
            for lane in &mut self.lanes {
                lane.now += STEP;
            }
            self.steps += 1;
            self.finish_work();
            self.start_requests(demands);
            self.act_callers();
            self.tick_lanes();
        }
    }

    pub fn now(&self) -> Duration {
        self.lanes[0].now
    }

    /// Returns the totals of the requests that started at `since` or later and match.
    pub fn totals(&self, since: Duration, matches: impl Fn(&Request) -> bool) -> Totals {
        let mut totals = Totals::default();
        let settled = |request: &&Request| {
            request.started >= since && request.outcome != Outcome::Pending && matches(request)
        };
        for request in self.requests.iter().filter(settled) {
            totals.sent += 1;
            totals.overruns += request.overruns;
            match request.outcome {
                Outcome::Answered(time) => {
                    totals.answered += 1;
                    let target = self.routes[request.route].target_latency;
                    totals.in_target += u32::from(time <= target);
                    let server = request.server.expect("an endpoint answered");
                    let zone = self.server(server).zone;
                    totals.remote += u32::from(zone != self.zones[request.lane]);
                }
                Outcome::Refused => totals.refused += 1,
                Outcome::Abandoned => totals.abandoned += 1,
                Outcome::Pending => {}
            }
        }
        totals
    }

    fn server(&self, number: u64) -> &Server {
        &self.servers[usize::try_from(number).expect("small") - 1]
    }

    /// Returns true if the endpoint of a request is out of reach for its host.
    fn is_cut(&self, id: usize) -> bool {
        let request = &self.requests[id];
        request.server.is_some_and(|number| {
            let zone = self.server(number).zone;
            let is_remote = zone != self.zones[request.lane];
            self.is_lost(request.lane, number) || (is_remote && self.silent.contains(&zone))
        })
    }

    /// Returns true if nothing passes between a lane and an endpoint.
    fn is_lost(&self, lane: usize, number: u64) -> bool {
        self.mute.contains(&number) || self.deaf.contains(&lane)
    }

    /// Returns the numbers of the endpoints in a zone.
    pub fn numbers_in(&self, zone: &str) -> Vec<u64> {
        let servers = (1..).zip(&self.servers);
        let servers = servers.filter(|(_, server)| server.zone == zone);
        servers.map(|(number, _)| number).collect()
    }

    fn start_requests(&mut self, demands: &[Demand]) {
        for (at, demand) in demands.iter().enumerate() {
            let due = self.due.entry(at).or_default();
            *due += demand.rate * STEP.as_secs_f64();
            while self.due[&at] >= 1.0 {
                *self.due.get_mut(&at).expect("an entry") -= 1.0;
                self.start_request(demand);
            }
        }
    }

    fn start_request(&mut self, demand: &Demand) {
        let now = self.now();
        let caller = match demand.caller {
            0 => u8::try_from(self.requests.len() % 200).expect("small") + 50,
            caller => caller,
        };
        let id = self.requests.len();
        self.requests.push(Request {
            lane: demand.lane,
            route: demand.route,
            caller,
            started: now,
            outcome: Outcome::Pending,
            attempts: 0,
            server: None,
            addrs: FlowAddrs {
                caller: SocketAddr::from(([100, 64, 0, caller], 1)),
                vip: vip_of(demand.route),
            },
            attempt_started: now,
            copies: 0,
            ask_at: None,
            asked_at: None,
            repeats: 0,
            overruns: 0,
        });
        self.active.push(id);
        self.start_attempt(id);
    }

    fn start_attempt(&mut self, id: usize) {
        let now = self.now();
        self.next_port = self.next_port.checked_add(1).unwrap_or(1);
        let port = self.next_port;
        let request = &mut self.requests[id];
        request.attempts += 1;
        request.addrs.caller.set_port(port);
        request.attempt_started = now;
        request.copies = 0;
        request.server = None;
        request.ask_at = None;
        request.asked_at = None;
        request.repeats = 0;
        self.send(id, SegmentKind::Open, 1, 0, 0);
    }

    /// Ends an attempt without an answer; `may_retry` is false after the deadline.
    fn fail_attempt(&mut self, id: usize, outcome: Outcome) {
        let request = &mut self.requests[id];
        let timeout = self.routes[request.route].timeout;
        let now = self.lanes[0].now;
        if request.attempts < MAX_ATTEMPTS && now < request.started + timeout {
            self.start_attempt(id);
        } else {
            request.outcome = outcome;
        }
    }

    fn act_callers(&mut self) {
        let now = self.now();
        for id in self.active.clone() {
            let request = &self.requests[id];
            let waited = now.saturating_sub(request.attempt_started);
            let timeout = self.routes[request.route].timeout;
            if request.outcome != Outcome::Pending {
                continue;
            }
            if now >= request.started + timeout {
                self.send(id, SegmentKind::Reset, 1, 0, 0);
                self.requests[id].outcome = Outcome::Abandoned;
            } else if let Some(asked_at) = request.asked_at {
                // The endpoint acknowledges the first repeat if it gets it.
                let (max_repeats, wait) = if self.is_cut(id) {
                    (2, ms(200 << (2 * request.repeats)))
                } else {
                    (1, ms(200))
                };
                if request.repeats < max_repeats && now >= asked_at + wait {
                    self.requests[id].repeats += 1;
                    self.send(id, SegmentKind::Data, 1, 100, 500);
                }
            } else if request.ask_at.is_some_and(|at| now >= at) {
                self.requests[id].asked_at = Some(now);
                if self.callers_leave {
                    self.send(id, SegmentKind::Reset, 1, 0, 500);
                    self.requests[id].outcome = Outcome::Abandoned;
                } else {
                    self.send(id, SegmentKind::Data, 1, 100, 500);
                }
            } else if request.ask_at.is_none() {
                let due = [ms(200), ms(600), ms(1_400)];
                let copies = usize::try_from(request.copies).expect("few");
                if waited >= due[copies] && copies == 2 {
                    self.fail_attempt(id, Outcome::Abandoned);
                } else if waited >= due[copies] {
                    self.requests[id].copies += 1;
                    self.send(id, SegmentKind::Open, 1, 0, self.requests[id].copies);
                }
            }
        }
        let requests = &self.requests;
        self.active
            .retain(|id| requests[*id].outcome == Outcome::Pending);
    }

    fn send(&mut self, id: usize, kind: SegmentKind, seq: u32, len: u16, ack: u32) {
        let request = &self.requests[id];
        let server = request.server.unwrap_or_default();
        let cookie = match kind {
            SegmentKind::Open => 0,
            _ => cookie_of(Id::of(&format!("i-{server:02x}"))),
        };
        let mut bytes = vec![u8::from(len > 0), u8::from(kind == SegmentKind::Open)];
        bytes.extend(u64::try_from(id).expect("small").to_be_bytes());
        let segment = Segment {
            addrs: request.addrs,
            kind,
            seq,
            ack,
            cookie,
            len,
            bytes: bytes.into(),
        };
        let lane = request.lane;
        let actions = self.lanes[lane].receive(segment);
        self.apply(lane, actions);
    }

    fn apply(&mut self, lane: usize, actions: Vec<RelayAction>) {
        for action in actions {
            match action {
                RelayAction::Forward {
                    endpoint_number,
                    bytes,
                    ..
                } => {
                    let id = u64::from_be_bytes(bytes[2..].try_into().expect("an id"));
                    let id = usize::try_from(id).expect("small");
                    self.reach_server(id, endpoint_number, bytes[1] == 1, bytes[0] == 1);
                }
                RelayAction::Reset { addrs, .. } => {
                    let requests = &self.requests;
                    let found = self.active.iter().copied().find(|id| {
                        requests[*id].addrs == addrs && requests[*id].outcome == Outcome::Pending
                    });
                    if let Some(id) = found {
                        assert!(
                            self.requests[id].asked_at.is_none() || self.is_cut(id),
                            "an open flow was reset by lane {lane}"
                        );
                        if self.requests[id].asked_at.is_some() {
                            self.open_resets.push(self.requests[id].repeats);
                        }
                        self.fail_attempt(id, Outcome::Refused);
                    }
                }
            }
        }
    }

    fn reach_server(&mut self, id: usize, number: u64, is_opening: bool, has_data: bool) {
        let now = self.now();
        let server = usize::try_from(number).expect("small") - 1;
        if self.is_lost(self.requests[id].lane, number) {
            if is_opening {
                self.lost_openings.push((now, number));
            }
            return;
        }
        let is_remote = self.servers[server].zone != self.zones[self.requests[id].lane];
        if is_remote && self.silent.contains(&self.servers[server].zone) {
            return;
        }
        let delay = if is_remote { REMOTE_DELAY } else { STEP };
        let request = &mut self.requests[id];
        if is_opening && request.server.is_none() {
            request.server = Some(number);
            request.ask_at = Some(now + delay);
        } else if has_data {
            let server = &mut self.servers[server];
            let is_known =
                server.queue.contains(&id) || server.running.iter().any(|(_, other)| *other == id);
            if is_known {
                return;
            }
            if server.running.len() < server.slots {
                server.running.push((now + delay + server.service_time, id));
            } else if server.queue.len() < ENDPOINT_QUEUE {
                server.queue.push_back(id);
            } else {
                self.requests[id].overruns += 1;
                self.fail_attempt(id, Outcome::Refused);
            }
        }
    }

    fn finish_work(&mut self) {
        let now = self.now();
        for at in 0..self.servers.len() {
            let server = &mut self.servers[at];
            let is_done = |row: &(Duration, usize)| row.0 <= now;
            let done: Vec<usize> = server
                .running
                .extract_if(.., |row| is_done(row))
                .map(|row| row.1)
                .collect();
            while server.running.len() < server.slots
                && let Some(id) = server.queue.pop_front()
            {
                server.running.push((now + server.service_time, id));
            }
            for id in done {
                let number = u64::try_from(at).expect("small") + 1;
                if self.is_lost(self.requests[id].lane, number) {
                    continue;
                }
                let request = &mut self.requests[id];
                if request.outcome == Outcome::Pending && request.server == Some(number) {
                    request.outcome = Outcome::Answered(now.saturating_sub(request.started));
                    self.send(id, SegmentKind::Data, 101, 0, 1_500);
                    self.send(id, SegmentKind::Fin, 101, 0, 1_500);
                }
            }
        }
    }

    fn tick_lanes(&mut self) {
        let timers_due = self.steps.is_multiple_of(TIMER_STEPS);
        for at in 0..self.lanes.len() {
            let lane = &mut self.lanes[at];
            let mut out = Outbox::default();
            systems::run(&mut lane.tables, lane.now, &mut out);
            if timers_due {
                systems::run_timers(&mut lane.tables, lane.now, &mut out);
            }
            self.apply(at, out.relay_actions);
        }
        if self.lanes.len() > 1 && self.steps.is_multiple_of(2 * TIMER_STEPS) {
            self.publish();
        }
    }
}
