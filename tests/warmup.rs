//! Tests of the limit on new flows to endpoints that warm up.
#![allow(missing_docs)]

#[path = "relaying/mod.rs"]
mod relaying;

use std::collections::BTreeMap;

use jacinthhinge::control::majority::Majority;
use jacinthhinge::prelude::*;
use jacinthhinge::segment::{RelayAction, SegmentKind};
use jacinthhinge::snapshot::{Host, WarmupLimit};
use jacinthhinge::tables::Tables;
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use relaying::{LaneHarness, data_segment, endpoint, is_reset, ms, opening_segment, snapshot};

/// Requests a second that an endpoint bears while it warms up.
const RATE: f64 = 10.0;

/// Time for which endpoints warm up.
const WARMUP_TIME: Duration = Duration::from_secs(20);

/// Name of the host of [`host_lane`].
const HOST: &str = "sv-a-1";

fn cold_endpoint(number: u8, zone: &str) -> Endpoint {
    Endpoint {
        warmup_left: WARMUP_TIME,
        ..endpoint(number, zone)
    }
}

fn host(name: &str, lanes: u16) -> Host {
    Host {
        id: Id::of(name),
        name: name.into(),
        incarnation: 1,
        availability_zone: "sv-a".into(),
        lanes: (0..lanes).map(lane_addr).collect(),
        leaving: false,
    }
}

fn lane_addr(lane: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7_000 + lane))
}

/// Returns a snapshot of a stable view in which endpoints have a limit of [`RATE`].
fn limited(endpoints: &[Endpoint], hosts: &[Host]) -> Snapshot {
    let mut service = Service::new("adserve");
    service.endpoints = endpoints.to_vec();
    service.warmup_limit = Some(WarmupLimit::exact(RATE));
    let mut limited = Snapshot::clone(&snapshot(endpoints)).with_services([service]);
    limited.hosts = hosts.into();
    limited
}

/// Returns a lane of the host `name` that runs since 4 s.
fn host_lane(name: &str, lane: u16, snapshot: Snapshot) -> LaneHarness {
    let home = Home {
        host: Id::of(name),
        incarnation: 1,
        addr: lane_addr(lane),
    };
    let empty = Arc::new(Snapshot::empty(TicketKeys::new("one", "two")));
    let mut harness = LaneHarness {
        tables: Tables::new(home, empty, 1),
        now: Duration::from_secs(10),
        sent_actions: Vec::new(),
    };
    harness.advance(ms(4_000));
    harness.publish(&Arc::new(snapshot));
    harness
}

/// Sends an opening; returns the number of its endpoint, or `None` if it is refused.
fn try_open(harness: &mut LaneHarness, port: u16) -> Option<u64> {
    let actions = harness.receive(opening_segment(port, 0));
    if let [
        RelayAction::Forward {
            endpoint_number, ..
        },
    ] = actions[..]
    {
        return Some(endpoint_number);
    }
    let is_refused = matches!(&actions[..], [action] if is_reset(action, port));
    assert!(is_refused, "{actions:?}");
    None
}

/// Opens a flow and closes it after its endpoint has answered.
fn use_flow(harness: &mut LaneHarness, port: u16) -> Option<u64> {
    let number = try_open(harness, port)?;
    harness.receive(data_segment(port, number, 2, 0, 500));
    let mut fin = data_segment(port, number, 2, 0, 600);
    fin.kind = SegmentKind::Fin;
    harness.receive(fin);
    Some(number)
}

/// Uses 100 flows in one second; returns how many each endpoint got.
fn use_flows(harness: &mut LaneHarness, first_port: u16) -> BTreeMap<u64, u32> {
    let mut counts = BTreeMap::new();
    for port in first_port..first_port + 100 {
        if let Some(number) = use_flow(harness, port) {
            *counts.entry(number).or_default() += 1;
        }
        harness.advance(ms(10));
    }
    counts
}

/// Guards against a returning zone that is flooded, or that is left without load.
#[test]
fn zone_of_cold_endpoints_gets_load_in_steps() {
    let endpoints: Vec<_> = (1..=4)
        .map(|number| cold_endpoint(number, "a"))
        .chain((5..=8).map(|number| endpoint(number, "b")))
        .collect();
    let mut harness = host_lane(HOST, 0, limited(&endpoints, &[host(HOST, 1)]));
    let counts = use_flows(&mut harness, 1_000);
    let sum = |counts: &BTreeMap<u64, u32>, cold: bool| -> u32 {
        let matching = counts.iter().filter(|(number, _)| (**number <= 4) == cold);
        matching.map(|(_, count)| count).sum()
    };
    for number in 1..=4 {
        assert_eq!(counts[&number], 5, "half of the rate: {counts:?}");
    }
    assert_eq!(sum(&counts, false), 80, "the rest goes elsewhere");
    harness.advance(WARMUP_TIME);
    let counts = use_flows(&mut harness, 2_000);
    assert!(sum(&counts, true) > 80, "the own zone is warm: {counts:?}");
}

/// Guards against a limit where none is configured.
#[test]
fn endpoints_without_a_limit_get_any_number_of_flows() {
    let endpoints = [cold_endpoint(1, "a")];
    let mut unlimited = limited(&endpoints, &[]);
    unlimited = unlimited.with_services([Service {
        endpoints: endpoints.to_vec(),
        ..Service::new("adserve")
    }]);
    let mut harness = host_lane(HOST, 0, unlimited);
    assert_eq!(use_flows(&mut harness, 1_000)[&1], 100);
    let mut zero = limited(&endpoints, &[]);
    zero = zero.with_services([Service {
        endpoints: endpoints.to_vec(),
        warmup_limit: Some(WarmupLimit::exact(0.0)),
        ..Service::new("adserve")
    }]);
    let mut harness = host_lane(HOST, 0, zero);
    assert_eq!(use_flows(&mut harness, 1_000)[&1], 100);
}

/// Guards against callers that wait for nothing, also while requests of open flows use up the
/// limit of the service.
#[test]
fn opening_is_refused_at_once_if_all_endpoints_are_cold_and_at_their_limit() {
    let endpoints = [cold_endpoint(1, "a")];
    let mut harness = host_lane(HOST, 0, limited(&endpoints, &[host(HOST, 1)]));
    for port in 1..=5 {
        assert_eq!(try_open(&mut harness, port), Some(1));
    }
    harness.advance(ms(50));
    assert_eq!(try_open(&mut harness, 6), None);
    assert_eq!(harness.tables.counters.held_requests, 0);
    harness.advance(ms(1_450));
    assert_eq!(
        try_open(&mut harness, 7),
        Some(1),
        "the second is over, and the callers have given up"
    );
}

/// Guards against a host that sends to a cold endpoint without being its only holder.
#[test]
fn host_that_is_not_the_settled_holder_sends_nothing() {
    let endpoints = [cold_endpoint(1, "a")];
    let others = ["sv-b-1", "sv-b-2", "sv-b-3"].map(|name| host(name, 1));
    let hosts: Vec<_> = others.into_iter().chain([host(HOST, 1)]).collect();
    let sends = |name: &str, change: &dyn Fn(&mut Snapshot)| {
        let mut snapshot = limited(&endpoints, &hosts);
        change(&mut snapshot);
        use_flow(&mut host_lane(name, 0, snapshot), 1).is_some()
    };
    let names = hosts.iter().map(|host| &*host.name);
    let holders: Vec<&str> = names.filter(|name| sends(name, &|_| {})).collect();
    let [holder] = holders[..] else {
        panic!("not one holder: {holders:?}");
    };
    assert!(!sends(holder, &|view| view.has_majority = false));
    assert!(!sends(holder, &|view| view.leaving = true));
    assert!(!sends(holder, &|view| view.hosts_changed = Duration::from_secs(12)));
    let leave = |view: &mut Snapshot| {
        let mut hosts = view.hosts.to_vec();
        let mut leaving = hosts.iter_mut().filter(|host| *host.name == *holder);
        leaving.next().expect("the holder").leaving = true;
        view.hosts = hosts.into();
    };
    assert!(!sends(holder, &leave));
    let names = hosts.iter().map(|host| &*host.name);
    assert_eq!(names.filter(|name| sends(name, &leave)).count(), 1);
}

/// Guards against callers that are refused while a cold endpoint could take their flows.
#[test]
fn cold_endpoint_gets_all_that_is_allowed_before_a_caller_is_refused() {
    let full = Endpoint {
        max_conns: 1,
        ..endpoint(2, "a")
    };
    let endpoints = [cold_endpoint(1, "a"), full];
    let mut harness = host_lane(HOST, 0, limited(&endpoints, &[host(HOST, 1)]));
    harness.advance(ms(50));
    let opened: Vec<_> = (1..=10).map(|port| try_open(&mut harness, port)).collect();
    let count = |wanted| opened.iter().filter(|number| **number == wanted).count();
    assert_eq!((count(Some(1)), count(Some(2)), count(None)), (5, 1, 4));
}

/// Guards against two hosts that do not see each other and both send all that is allowed.
#[test]
fn two_hosts_that_do_not_see_each_other_stay_within_the_limit_together() {
    let endpoints = [cold_endpoint(1, "a"), endpoint(2, "b")];
    let counts = ["sv-a-1", "sv-a-2"].map(|name| {
        let snapshot = limited(&endpoints, &[host(name, 1)]);
        use_flows(&mut host_lane(name, 0, snapshot), 1_000)[&1]
    });
    assert_eq!(counts, [5, 5]);
}

/// Guards against copies of openings, late copies and trials beyond the limit.
#[test]
fn copies_and_trials_count() {
    let endpoints = [cold_endpoint(1, "a"), endpoint(2, "b")];
    let hosts = [host(HOST, 1)];
    let mut harness = host_lane(HOST, 0, limited(&endpoints, &hosts));
    let mut sent = 0;
    let mut count = |actions: &[RelayAction]| {
        let to_cold = |action: &&RelayAction| {
            matches!(
                action,
                RelayAction::Forward {
                    endpoint_number: 1,
                    cookie: Some(_),
                    ..
                }
            )
        };
        sent += actions.iter().filter(to_cold).count();
    };
    for port in 1..=20 {
        for copies in 0..3 {
            count(&harness.receive(opening_segment(port, copies)));
        }
    }
    harness.receive(data_segment(1, 1, 2, 0, 500));
    for _ in 0..20 {
        count(&harness.receive(opening_segment(1, 2)));
    }
    // The cold endpoint does not answer, and trials are due.
    harness.advance(ms(200));
    for port in 30..40 {
        count(&harness.receive(opening_segment(port, 0)));
    }
    assert_eq!(sent, 5);
}

/// Guards against lanes of one host that together send more than its part.
#[test]
fn lanes_of_a_host_divide_its_part() {
    let endpoints = [cold_endpoint(1, "a")];
    let counts: Vec<u32> = (0..3)
        .map(|lane| {
            let snapshot = limited(&endpoints, &[host(HOST, 3)]);
            let mut harness = host_lane(HOST, lane, snapshot);
            use_flows(&mut harness, 1_000).values().sum()
        })
        .collect();
    assert_eq!(counts, [2, 2, 1]);
}

/// Guards against an endpoint that stays cold because its entry is written again, or that
/// counts as warm too early.
#[test]
fn warmup_time_is_counted_down_from_the_first_report() {
    let hosts = [host(HOST, 1)];
    let left = |seconds: u64| Endpoint {
        warmup_left: Duration::from_secs(seconds),
        ..endpoint(1, "a")
    };
    let id = left(0).id;
    let mut harness = host_lane(HOST, 0, limited(&[left(10)], &hosts));
    let mut publish_after = |seconds: u64, endpoint: Endpoint| {
        harness.advance(Duration::from_secs(seconds));
        harness.publish(&Arc::new(limited(&[endpoint], &hosts)));
        let mut cold_for = 0;
        while harness
            .tables
            .warmups
            .is_cold(id, harness.now + Duration::from_secs(cold_for))
        {
            cold_for += 1;
        }
        cold_for
    };
    assert_eq!(publish_after(4, left(10)), 6, "the same value again");
    assert_eq!(publish_after(1, left(2)), 2, "a smaller value");
    assert_eq!(publish_after(1, left(1)), 1, "a smaller value that is late");
    assert_eq!(publish_after(0, left(8)), 8, "a larger value");
    let restarted = Endpoint {
        started_ms: 99,
        ..left(8)
    };
    assert_eq!(publish_after(5, restarted), 8, "a new incarnation");
}

#[test]
fn minority_that_is_cut_off_has_no_majority_for_a_minute() {
    let mut majority = Majority::default();
    let start = Duration::from_secs(100);
    assert!(majority.update(5, start));
    assert!(majority.update(3, start + ms(100)));
    assert!(!majority.update(2, start + ms(200)));
    assert!(!majority.update(2, start + Duration::from_secs(59)));
    assert!(majority.update(2, start + Duration::from_secs(61)));
}

/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(25);

/// How fast the live hosts change, and how late hosts see it.
#[derive(Clone, Copy)]
struct Churn {
    /// Longest time in milliseconds after which a host sees a change.
    view_delay: u64,
    /// Shortest and longest time in milliseconds between two changes.
    pauses: (u64, u64),
}

/// Hosts agree as fast as they are designed to, while changes follow each other at any time.
const FAST_CHANGES: Churn = Churn {
    view_delay: 2_400,
    pauses: (100, 9_000),
};

/// Hosts disagree for longer than a view must be stable, so two of them act as the holder.
const LONG_DISAGREEMENTS: Churn = Churn {
    view_delay: 9_000,
    pauses: (10_500, 14_000),
};

/// A host of the simulation, with its view of the others.
struct SimHost {
    info: Host,
    lanes: Vec<LaneHarness>,
    majority: Majority,
    /// Changes of the view that the host will see, by time.
    pending_views: BTreeMap<Duration, Vec<Host>>,
    hosts_changed: Duration,
    view: Vec<Host>,
    is_cut_off: bool,
    /// Hosts that ran when it started and that it has not seen yet.
    unmet: Vec<Id>,
}

/// Several hosts that come, go and are cut off, in front of one cold and one warm endpoint.
struct Sim {
    rng: SmallRng,
    churn: Churn,
    now: Duration,
    hosts: Vec<SimHost>,
    next_host: u32,
    next_port: u16,
    openings: Vec<Duration>,
}

impl Sim {
    fn new(seed: u64, churn: Churn) -> Self {
        let mut sim = Self {
            rng: SmallRng::seed_from_u64(seed),
            churn,
            now: Duration::from_secs(100),
            hosts: Vec::new(),
            next_host: 1,
            next_port: 1,
            openings: Vec::new(),
        };
        for _ in 0..sim.rng.random_range(3..6) {
            sim.start_host();
        }
        let all: Vec<Host> = sim.hosts.iter().map(|host| host.info.clone()).collect();
        for host in &mut sim.hosts {
            host.view.clone_from(&all);
            host.pending_views.clear();
            host.unmet.clear();
        }
        sim
    }

    fn start_host(&mut self) {
        let name = format!("sv-a-{}", self.next_host);
        let lanes = self.rng.random_range(1..3);
        self.next_host += 1;
        let info = host(&name, lanes);
        let unmet = self.hosts.iter().map(|host| host.info.id).collect();
        let lanes = (0..lanes).map(|lane| self.start_lane(&info, lane));
        let lanes = lanes.collect();
        self.hosts.push(SimHost {
            view: vec![info.clone()],
            info,
            lanes,
            majority: Majority::default(),
            pending_views: BTreeMap::new(),
            hosts_changed: self.now,
            is_cut_off: false,
            unmet,
        });
        self.announce();
    }

    fn start_lane(&self, info: &Host, lane: u16) -> LaneHarness {
        let home = Home {
            host: info.id,
            incarnation: 1,
            addr: lane_addr(lane),
        };
        let empty = Arc::new(Snapshot::empty(TicketKeys::new("one", "two")));
        LaneHarness {
            tables: Tables::new(home, empty, u64::from(lane)),
            now: self.now,
            sent_actions: Vec::new(),
        }
    }

    /// Lets each host see the present live hosts after a random delay.
    fn announce(&mut self) {
        let live: Vec<Host> = self
            .hosts
            .iter()
            .filter(|host| !host.is_cut_off)
            .map(|host| host.info.clone())
            .collect();
        for host in &mut self.hosts {
            let delay = ms(self.rng.random_range(0..=self.churn.view_delay));
            let view = if host.is_cut_off {
                vec![host.info.clone()]
            } else {
                live.clone()
            };
            // A host sees changes in their order.
            let last = host.pending_views.keys().next_back().copied();
            let at = (self.now + delay).max(last.unwrap_or_default());
            host.pending_views.insert(at, view);
        }
    }

    fn change_membership(&mut self) {
        let at = self.rng.random_range(0..self.hosts.len());
        match self.rng.random_range(0..3) {
            0 if self.hosts.len() < 7 => return self.start_host(),
            1 if self.hosts.len() > 2 => drop(self.hosts.swap_remove(at)),
            _ => self.hosts[at].is_cut_off ^= true,
        }
        self.announce();
    }

    /// Publishes the views that hosts see now, and moves all clocks.
    fn step(&mut self) {
        self.now += STEP;
        let endpoints = [
            Endpoint {
                warmup_left: Duration::from_mins(2),
                ..endpoint(1, "a")
            },
            endpoint(2, "b"),
        ];
        for host in &mut self.hosts {
            let later = host.pending_views.split_off(&(self.now + ms(1)));
            let seen = std::mem::replace(&mut host.pending_views, later);
            if let Some(view) = seen.into_values().next_back()
                && view != host.view
            {
                host.view = view;
                host.hosts_changed = self.now;
            }
            let mut snapshot = limited(&endpoints, &host.view);
            host.unmet
                .retain(|id| !host.view.iter().any(|seen| seen.id == *id));
            // As in `control::majority`, whose seeds are the unmet hosts here.
            snapshot.has_majority = host.majority.update(host.view.len(), self.now)
                && host.view.len() > host.unmet.len();
            snapshot.hosts_changed = host.hosts_changed;
            let snapshot = Arc::new(snapshot);
            for lane in &mut host.lanes {
                let is_changed = lane.tables.snapshot.hosts != snapshot.hosts
                    || lane.tables.snapshot.has_majority != snapshot.has_majority
                    || lane.tables.snapshot.services.is_empty();
                if is_changed {
                    lane.publish(&snapshot);
                }
                lane.advance(STEP);
            }
        }
    }

    /// Uses one flow through each lane, with copies of some openings.
    fn send(&mut self) {
        for host in &mut self.hosts {
            for lane in &mut host.lanes {
                self.next_port = self.next_port.checked_add(1).unwrap_or(1);
                let port = self.next_port;
                let copies = u32::from(self.rng.random_ratio(1, 4));
                for copy in 0..=copies {
                    for action in lane.receive(opening_segment(port, copy)) {
                        let RelayAction::Forward {
                            endpoint_number, ..
                        } = action
                        else {
                            continue;
                        };
                        if endpoint_number == 1 {
                            self.openings.push(self.now);
                        }
                        if copy == copies {
                            lane.receive(data_segment(port, endpoint_number, 2, 0, 500));
                            let mut fin = data_segment(port, endpoint_number, 2, 0, 600);
                            fin.kind = SegmentKind::Fin;
                            lane.receive(fin);
                        }
                    }
                }
            }
        }
    }

    /// Returns the largest number of openings in any span of one second.
    fn max_openings(&self) -> usize {
        let in_span = |start: &Duration| {
            let span = *start..=*start + Duration::from_secs(1);
            self.openings.iter().filter(|at| span.contains(at)).count()
        };
        self.openings.iter().map(in_span).max().unwrap_or_default()
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    /// Guards against hosts that disagree about who is live and together send a cold endpoint
    /// more than it bears.
    #[test]
    fn cold_endpoint_gets_no_more_than_its_limit(seed in any::<u64>()) {
        let churn = if seed % 2 == 0 { FAST_CHANGES } else { LONG_DISAGREEMENTS };
        let mut sim = Sim::new(seed, churn);
        let mut next_change = sim.now + Duration::from_secs(11);
        for _ in 0..(60_000 / STEP.as_millis()) {
            sim.step();
            sim.send();
            if sim.now >= next_change {
                sim.change_membership();
                let (shortest, longest) = churn.pauses;
                next_change = sim.now + ms(sim.rng.random_range(shortest..longest));
            }
        }
        prop_assert!(sim.max_openings() <= 10, "{}", sim.max_openings());
        prop_assert!(sim.openings.len() > 10, "a holder sends: {}", sim.openings.len());
    }
}
