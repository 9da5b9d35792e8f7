//! Explanations of where an opening would go, compared with where the next one goes.

mod relaying;

use std::collections::{BTreeSet, HashMap};

use jacinthhinge::front::inspect::{self, Inspection, LaneExplanation};
use jacinthhinge::prelude::*;
use jacinthhinge::segment::{FlowAddrs, RelayAction, Route, Segment};
use jacinthhinge::snapshot::WarmupLimit;
use jacinthhinge::systems::explain::{
    self, LeavingReason, Outcome, Query, Reason, RouteExplanation,
};
use jacinthhinge::systems::{Policies, Tuning};
use jacinthhinge::tables::{DownState, EndpointRow, ServiceLimit, SpillPlan, Suspicion};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use relaying::{
    LaneHarness, addr, caller_addr, endpoint, endpoints_in, evacuate, local_endpoints, ms,
    opening_segment, snapshot, vip,
};
use serde_json::{Value, json};
use smallvec::smallvec;

/// Front address of a second route.
fn other_vip() -> SocketAddr {
    addr("198.18.0.2:443")
}

fn service() -> Id {
    Id::of("adserve")
}

/// Returns a lane with these endpoints and a stable view of two hosts, in the zones `a` and `b`.
fn lane(endpoints: &[Endpoint]) -> LaneHarness {
    lane_with(endpoints, |_| {})
}

/// Returns such a lane with a changed snapshot.
fn lane_with(endpoints: &[Endpoint], change: impl FnOnce(&mut Snapshot)) -> LaneHarness {
    let mut harness = LaneHarness::new(&[]);
    harness.advance(ms(4_000));
    let mut snapshot = Snapshot::clone(&snapshot(endpoints));
    let host = |name: &str, zone: &str, lane: &str| Host {
        id: Id::of(name),
        name: name.into(),
        incarnation: 1,
        availability_zone: zone.into(),
        lanes: smallvec![addr(lane)],
        leaving: false,
    };
    snapshot.hosts = Arc::from([
        host("sv-a-1", "a", "10.0.0.1:7000"),
        host("sv-b-1", "b", "10.0.0.2:7000"),
    ]);
    change(&mut snapshot);
    harness.publish(&Arc::new(snapshot));
    harness
}

/// Adds a route of this rank at [`other_vip`].
fn add_route(snapshot: &mut Snapshot, rank: u32) {
    let mut routes: HashMap<SocketAddr, Route> = (*snapshot.routes).clone();
    let other = Route {
        name: "orders".into(),
        shed_rank: rank,
        ..routes[&vip()].clone()
    };
    routes.insert(other_vip(), other);
    snapshot.routes = Arc::new(routes);
}

fn query(front: &str) -> Query {
    Query {
        front: front.into(),
        caller: None,
    }
}

/// Explains the only route for a caller without flows.
fn explain(harness: &LaneHarness) -> RouteExplanation {
    explain_for(harness, None)
}

fn explain_for(harness: &LaneHarness, caller: Option<SocketAddr>) -> RouteExplanation {
    let query = Query {
        caller,
        ..query("198.18.0.1:443")
    };
    let mut found = explain::explain(&harness.tables, &query, harness.now);
    assert_eq!(found.len(), 1);
    found.remove(0)
}

fn row(harness: &mut LaneHarness, number: u8) -> &mut EndpointRow {
    let id = Id::of(&format!("i-{number:02x}"));
    harness.tables.endpoints.get_mut(id).expect("a row")
}

fn down(confirmed: bool) -> DownState {
    DownState {
        since: ms(9_000),
        whole_zone: false,
        confirmed,
        from_reports: false,
    }
}

fn suspicion(observer: &str) -> Suspicion {
    Suspicion {
        since: ms(9_000),
        until: ms(90_000),
        observers: smallvec![observer.into()],
        other_hosts: 1,
        evidence: 1,
        silent_since: ms(9_000),
    }
}

/// Returns the endpoints that the next opening may get, without those that no draw leads to.
fn named(explanation: &RouteExplanation) -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for service in &explanation.services {
        if let Some(trial) = &service.trial {
            names.insert(trial.to_string());
            continue;
        }
        let choices = service.choice.choices.iter();
        names.extend(choices.flat_map(|choice| choice.chosen.iter().map(ToString::to_string)));
    }
    names
}

/// What became of an opening.
#[derive(Debug, Eq, PartialEq)]
enum Real {
    Placed(String),
    Held,
    Refused,
}

fn open(harness: &mut LaneHarness, segment: Segment) -> Real {
    match harness.receive(segment)[..] {
        [] => Real::Held,
        [
            RelayAction::Forward {
                endpoint_number, ..
            },
        ] => Real::Placed(format!("i-{endpoint_number:02x}")),
        [RelayAction::Reset { .. }] => Real::Refused,
        ref actions => panic!("{actions:?}"),
    }
}

/// Opens a flow and checks that what becomes of it was explained.
fn check_next(harness: &mut LaneHarness, segment: Segment) -> Real {
    let rng = harness.tables.rng.clone();
    let before = format!("{:?}", harness.tables);
    let explanation = explain_for(harness, Some(segment.addrs.caller));
    assert_eq!(harness.tables.rng, rng, "a random number was drawn");
    assert_eq!(format!("{:?}", harness.tables), before, "a table changed");
    let real = open(harness, segment);
    let names = named(&explanation);
    let is_explained = match (&real, explanation.admission.outcome) {
        (Real::Placed(name), Outcome::Starts) => names.contains(name),
        (Real::Refused, Outcome::Starts) => {
            let services = explanation.services.iter();
            let mut choices = services.flat_map(|service| &service.choice.choices);
            explanation.admission.refused_share > 0.0 || choices.any(|choice| choice.may_miss)
        }
        (Real::Held, Outcome::Waits) | (Real::Refused, Outcome::Refused) => true,
        _ => false,
    };
    assert!(is_explained, "{real:?} instead of {explanation:#?}");
    real
}

/// State of an endpoint in the property tests.
#[derive(Clone, Debug)]
struct EndpointCase {
    zone: &'static str,
    region: &'static str,
    slots: u32,
    max_conns: u32,
    requests: u32,
    idle_flows: u32,
    /// In milliseconds, zero if unknown.
    answer_time: u32,
    /// Selects a condition, most of them none.
    condition: u8,
    is_cold: bool,
    service: bool,
}

fn endpoint_case() -> impl Strategy<Value = EndpointCase> {
    let placing = (
        prop::sample::select(vec!["a", "a", "b", "c"]),
        prop::sample::select(vec!["north", "north", "south"]),
        1..4_u32,
        prop::sample::select(vec![2_u32, 5, 2_000]),
    );
    let load = (
        0..6_u32,
        0..6_u32,
        prop::sample::select(vec![0_u32, 20, 20, 400]),
    );
    let state = (0..14_u8, prop::bool::weighted(0.2), any::<bool>());
    (placing, load, state).prop_map(|(placing, load, state)| EndpointCase {
        zone: placing.0,
        region: placing.1,
        slots: placing.2,
        max_conns: placing.3,
        requests: load.0,
        idle_flows: load.1,
        answer_time: load.2,
        condition: state.0,
        is_cold: state.1,
        service: state.2,
    })
}

/// State of a lane in the property tests.
#[derive(Clone, Debug)]
struct LaneCase {
    endpoints: Vec<EndpointCase>,
    evacuated: Option<&'static str>,
    allows_south: bool,
    is_urgent: bool,
    /// Weight of a second service; none at zero.
    second_weight: u32,
    spill_share: Option<f64>,
    limit: Option<(f64, f64)>,
    /// Number of endpoints that are compared.
    sample: usize,
}

fn lane_case() -> impl Strategy<Value = LaneCase> {
    let limit = (1.0..40.0_f64, prop::sample::select(vec![0.0, 0.02, 0.5]));
    let zones = prop::sample::select(vec!["a", "b", "c"]);
    (
        prop::collection::vec(endpoint_case(), 0..12),
        prop::option::weighted(0.3, zones),
        prop::bool::weighted(0.7),
        any::<bool>(),
        0..3_u32,
        prop::option::of(prop::sample::select(vec![0.0, 0.3, 0.9])),
        prop::option::weighted(0.4, limit),
        prop::sample::select(vec![1, 3, 256]),
    )
        .prop_map(|case| LaneCase {
            endpoints: case.0,
            evacuated: case.1,
            allows_south: case.2,
            is_urgent: case.3,
            second_weight: case.4,
            spill_share: case.5,
            limit: case.6,
            sample: case.7,
        })
}

/// Builds the lane of a case; `seed` is that of its random numbers.
fn build(case: &LaneCase, seed: u64) -> LaneHarness {
    let specs: Vec<Endpoint> = (1..)
        .zip(&case.endpoints)
        .map(|(number, case)| Endpoint {
            region: case.region.into(),
            slots: case.slots,
            max_conns: case.max_conns,
            draining: case.condition == 1,
            warmup_left: if case.is_cold { ms(20_000) } else { ms(0) },
            ..endpoint(number, case.zone)
        })
        .collect();
    let mut harness = lane_with(&specs, |snapshot| {
        let parts = [("adserve", true), ("bestel", false)].map(|(name, in_first)| {
            let mut service = Service::new(name);
            let cases = specs.iter().zip(&case.endpoints);
            let is_second = |case: &EndpointCase| case.service;
            let own = cases.filter(|row| case.second_weight == 0 || is_second(row.1) != in_first);
            service.endpoints = own.map(|row| row.0.clone()).collect();
            if case.second_weight == 0 && !in_first {
                service.endpoints.clear();
            }
            service.warmup_limit = Some(WarmupLimit::exact(2.0));
            service
        });
        let kept = snapshot.clone().with_services(parts);
        *snapshot = kept;
        if case.is_urgent {
            add_route(snapshot, 5);
        }
        let mut routes = (*snapshot.routes).clone();
        let route = routes.get_mut(&vip()).expect("the route");
        route.targets = smallvec![(service(), 2), (Id::of("bestel"), case.second_weight)];
        if !case.allows_south {
            route.allowed_regions = smallvec!["north".into()];
        }
        snapshot.routes = Arc::new(routes);
        snapshot.evacuated_zones = Arc::new(case.evacuated.iter().map(|it| (*it).into()).collect());
    });
    harness.tables.rng = SmallRng::seed_from_u64(seed);
    harness.tables.policies = Arc::new(Policies::with_tuning(Tuning {
        relay_sample: case.sample,
        ..Tuning::DEFAULT
    }));
    for (number, case) in (1..).zip(&case.endpoints) {
        let now = harness.now;
        let id = Id::of(&format!("i-{number:02x}"));
        for _ in 0..case.requests {
            harness
                .tables
                .endpoints
                .acquire(id, ms(u64::from(case.answer_time)), now);
        }
        let row = row(&mut harness, number);
        row.flow_count = case.requests + case.idle_flows;
        row.answer_time = f64::from(case.answer_time) / 1_000.0;
        match case.condition {
            2 => row.down = Some(down(true)),
            3 => row.down = Some(down(false)),
            4 => row.suspicion = Some(suspicion("sv-a-2")),
            5 => row.unanswered_since = Some(now.saturating_sub(ms(400))),
            6 => row.replaced = true,
            7 => row.blocked_until = now + ms(1_000),
            8 => row.spec.healthy = false,
            9 => (row.down, row.last_trial) = (Some(down(true)), now),
            _ => {}
        }
    }
    let services = [service(), Id::of("bestel")];
    if let Some(share) = case.spill_share {
        for service in services {
            let plan = SpillPlan {
                share,
                zones: smallvec![("b".into(), 2.0), ("c".into(), 1.0)],
                logged_tenths: 0,
            };
            harness.tables.zone_spill.set_plan(service, plan);
        }
    }
    if let Some((requests, answer_time)) = case.limit {
        let limit = ServiceLimit {
            requests,
            answer_time,
            ..ServiceLimit::default()
        };
        let limits = services.map(|service| (service, limit));
        harness.tables.held_requests.set_limits(limits, harness.now);
    }
    harness
}

/// Returns true for a reason that bars an endpoint however unhealthy the others are.
fn is_barring(reason: &Reason) -> bool {
    !matches!(
        reason,
        Reason::Down { .. }
            | Reason::Suspected { .. }
            | Reason::Unresponsive
            | Reason::ReportedUnhealthy
    )
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 192, ..ProptestConfig::default() })]

    /// Guards against an explanation that does not name the endpoint of the next opening, or of the
    /// copies after it, and against one that changes a table or draws a random number.
    #[test]
    fn next_opening_is_explained(case in lane_case(), seed in 0..1_000_u64) {
        for seed in seed..seed + 4 {
            let mut harness = build(&case, seed);
            for port in 1..4 {
                let real = check_next(&mut harness, opening_segment(port, 0));
                for copies in 1..=2 {
                    if matches!(real, Real::Placed(_)) {
                        harness.now += ms(1);
                        check_next(&mut harness, opening_segment(port, copies));
                    }
                }
            }
        }
    }

    /// Guards against an endpoint that cannot be chosen without a reason, or that has one against
    /// it and is rated all the same.
    #[test]
    fn each_endpoint_that_cannot_be_chosen_has_a_reason(case in lane_case()) {
        let harness = build(&case, 1);
        for service in explain(&harness).services {
            for candidate in service.choice.candidates {
                let is_barred = candidate.reasons.iter().any(is_barring);
                prop_assert_eq!(candidate.tiers.is_empty(), is_barred, "{:?}", candidate);
                prop_assert!(!(candidate.chosen && is_barred), "{:?}", candidate);
            }
        }
    }
}

/// Guards against a set of equal endpoints that is larger than what openings get, or smaller.
#[test]
fn set_of_equal_endpoints_is_what_openings_get() {
    let mut endpoints = endpoints_in(&["a", "b"], 4);
    endpoints[3].slots = 1;
    let mut seen = BTreeSet::new();
    let mut explained = BTreeSet::new();
    for seed in 0..64 {
        let mut harness = lane(&endpoints);
        harness.tables.rng = SmallRng::seed_from_u64(seed);
        explained = named(&explain(&harness));
        let Real::Placed(name) = check_next(&mut harness, opening_segment(1, 0)) else {
            panic!("not placed");
        };
        seen.insert(name);
    }
    assert_eq!(seen, explained);
    let expected = ["i-01", "i-02", "i-03"].map(str::to_owned);
    assert_eq!(seen, BTreeSet::from(expected));
}

/// Guards against a set of endpoints that misses some, or has too many, when a service has more
/// endpoints than are compared.
#[test]
fn set_is_what_openings_get_if_not_all_endpoints_are_compared() {
    for sample in 1..=7 {
        let mut seen = BTreeSet::new();
        let mut explained = BTreeSet::new();
        for seed in 0..192 {
            let mut harness = lane(&endpoints_in(&["a", "b"], 8));
            harness.tables.policies = Arc::new(Policies::with_tuning(Tuning {
                relay_sample: sample,
                ..Tuning::DEFAULT
            }));
            for number in 1..=16 {
                row(&mut harness, number).flow_count = u32::from(number * 7 % 5);
            }
            row(&mut harness, 4).down = Some(down(true));
            row(&mut harness, 4).last_trial = harness.now;
            harness.tables.rng = SmallRng::seed_from_u64(seed);
            explained = named(&explain(&harness));
            let Real::Placed(name) = check_next(&mut harness, opening_segment(1, 0)) else {
                panic!("not placed");
            };
            seen.insert(name);
        }
        assert_eq!(seen, explained, "{sample} compared");
    }
}

/// Guards against a zone that gets flows without being explained, and against wrong shares.
#[test]
fn share_that_leaves_the_zone_is_explained() {
    let mut harness = lane(&endpoints_in(&["a", "b", "c"], 1));
    let plan = SpillPlan {
        share: 0.4,
        zones: smallvec![("b".into(), 3.0), ("c".into(), 1.0)],
        logged_tenths: 4,
    };
    harness.tables.zone_spill.set_plan(service(), plan);
    let explanation = explain(&harness);
    let leaving = &explanation.services[0].leaving;
    assert!((leaving.share - 0.4).abs() < 1e-9);
    assert_eq!(leaving.reason, LeavingReason::CapacityReturned);
    let choices = explanation.services[0].choice.choices.iter();
    let shares = choices.map(|choice| {
        let zone = choice.zone.as_deref().unwrap_or("own");
        format!("{zone} {:.2} {}", choice.share, choice.chosen.join(","))
    });
    let shares: Vec<String> = shares.collect();
    assert_eq!(shares, ["b 0.30 i-02", "c 0.10 i-03", "own 0.60 i-01"]);
}

/// Returns the reasons against endpoint 1.
fn reasons(harness: &LaneHarness) -> Vec<Reason> {
    let explanation = explain(harness);
    let candidates = &explanation.services[0].choice.candidates;
    let first = candidates.iter().find(|row| &*row.endpoint == "i-01");
    first.expect("a row").reasons.clone()
}

/// Returns the reasons against endpoint 1 of three after a change of its row.
fn reasons_after(change: impl FnOnce(&mut EndpointRow)) -> Vec<Reason> {
    let mut harness = lane(&local_endpoints(3));
    change(row(&mut harness, 1));
    row(&mut harness, 1).last_trial = harness.now;
    let reasons = reasons(&harness);
    let is_named = named(&explain(&harness)).contains("i-01");
    assert_eq!(is_named, reasons.is_empty());
    reasons
}

/// Guards against a healthy endpoint with a reason against it.
#[test]
fn usable_endpoint_has_no_reason_against_it() {
    assert_eq!(reasons_after(|_| {}), []);
}

#[test]
fn draining_endpoint_is_explained() {
    let mut endpoints = local_endpoints(3);
    endpoints[0].draining = true;
    assert_eq!(reasons(&lane(&endpoints)), [Reason::Draining]);
}

#[test]
fn evacuated_endpoint_is_explained() {
    let mut harness = lane(&endpoints_in(&["a", "b"], 1));
    evacuate(&mut harness, &["a"]);
    assert_eq!(reasons(&harness), [Reason::Evacuated]);
    let explanation = explain(&harness);
    assert_eq!(named(&explanation), BTreeSet::from(["i-02".to_owned()]));
}

#[test]
fn replaced_and_blocked_endpoints_are_explained() {
    assert_eq!(reasons_after(|row| row.replaced = true), [Reason::Replaced]);
    assert_eq!(
        reasons_after(|row| row.blocked_until = ms(60_000)),
        [Reason::Blocked]
    );
}

#[test]
fn endpoint_of_another_region_is_explained() {
    let mut endpoints = local_endpoints(2);
    endpoints[1].region = "north".into();
    let harness = lane_with(&endpoints, |snapshot| {
        let mut routes = (*snapshot.routes).clone();
        let route = routes.get_mut(&vip()).expect("the route");
        route.allowed_regions = smallvec!["north".into()];
        snapshot.routes = Arc::new(routes);
    });
    assert_eq!(reasons(&harness), [Reason::RegionNotAllowed]);
}

#[test]
fn unhealthy_endpoints_are_explained() {
    for confirmed in [true, false] {
        let expected = Reason::Down {
            confirmed,
            whole_zone: false,
        };
        let change = |row: &mut EndpointRow| row.down = Some(down(confirmed));
        assert_eq!(reasons_after(change), [expected]);
    }
    let expected = Reason::Suspected {
        observers: vec!["sv-a-2".into()],
        other_hosts: 1,
    };
    let change = |row: &mut EndpointRow| row.suspicion = Some(suspicion("sv-a-2"));
    assert_eq!(reasons_after(change), [expected]);
    let change = |row: &mut EndpointRow| row.unanswered_since = Some(ms(13_000));
    assert_eq!(reasons_after(change), [Reason::Unresponsive]);
    let change = |row: &mut EndpointRow| row.spec.healthy = false;
    assert_eq!(reasons_after(change), [Reason::ReportedUnhealthy]);
}

#[test]
fn cold_endpoint_without_allowance_is_explained() {
    let mut endpoints = endpoints_in(&["b", "a"], 1);
    endpoints[0].warmup_left = ms(20_000);
    let harness = lane_with(&endpoints, |snapshot| {
        let mut service = Service::new("adserve");
        service.endpoints.clone_from(&endpoints);
        service.warmup_limit = Some(WarmupLimit::exact(10.0));
        *snapshot = snapshot.clone().with_services([service]);
    });
    // The host of zone b is its holder.
    assert_eq!(reasons(&harness), [Reason::Cold]);
}

#[test]
fn endpoint_with_its_maximum_of_flows_is_explained() {
    let reasons = reasons_after(|row| row.flow_count = row.spec.max_conns);
    assert_eq!(reasons, [Reason::AtFlowLimit]);
}

/// Guards against an explanation that ignores where earlier copies of the opening went.
#[test]
fn tried_endpoints_of_the_caller_are_explained() {
    let mut harness = lane(&local_endpoints(3));
    let Real::Placed(first) = open(&mut harness, opening_segment(7, 0)) else {
        panic!("not placed");
    };
    harness.now += ms(200);
    let explanation = explain_for(&harness, Some(caller_addr(7)));
    let candidates = &explanation.services[0].choice.candidates;
    let tried = candidates.iter().find(|row| *row.endpoint == *first);
    let tried = tried.expect("a row");
    assert!(tried.reasons.contains(&Reason::AlreadyTried));
    assert!(!tried.chosen);
    assert_eq!(
        explanation.flow.as_ref().map(|flow| &*flow.state),
        Some("opening")
    );
    assert!(!named(&explanation).contains(&first));
    check_next(&mut harness, opening_segment(7, 1));
    // Another caller has tried nothing.
    let other = explain_for(&harness, Some(caller_addr(8)));
    assert_eq!(other.flow, None);
}

/// Guards against an open flow that counts as load for the opening that replaces it.
#[test]
fn opening_that_replaces_an_open_flow_is_explained() {
    let mut harness = lane(&local_endpoints(2));
    set_limit(&mut harness, 100.0, 0.0);
    let first = harness.establish_flow(1);
    harness.establish_flow(2);
    let explanation = explain_for(&harness, Some(caller_addr(1)));
    let state = explanation.flow.as_ref().map(|flow| &*flow.state);
    assert_eq!(state, Some("open"));
    let expected = format!("i-{first:02x}");
    assert_eq!(named(&explanation), BTreeSet::from([expected.clone()]));
    let mut again = opening_segment(1, 0);
    again.seq = 77;
    assert_eq!(check_next(&mut harness, again), Real::Placed(expected));
}

/// Guards against a trial that the explanation leaves out: the opening gets an endpoint that is
/// down although others are usable.
#[test]
fn trial_is_explained() {
    let mut harness = lane(&local_endpoints(3));
    row(&mut harness, 2).down = Some(down(true));
    let explanation = explain(&harness);
    assert_eq!(explanation.services[0].trial.as_deref(), Some("i-02"));
    let real = check_next(&mut harness, opening_segment(1, 0));
    assert_eq!(real, Real::Placed("i-02".to_owned()));
    assert_eq!(explain(&harness).services[0].trial, None);
    assert_ne!(check_next(&mut harness, opening_segment(2, 0)), real);
}

fn set_limit(harness: &mut LaneHarness, requests: f64, answer_time: f64) {
    let limit = ServiceLimit {
        requests,
        answer_time,
        ..ServiceLimit::default()
    };
    let limits = [(service(), limit)];
    harness.tables.held_requests.set_limits(limits, harness.now);
}

/// Guards against an opening that waits or is refused while the explanation says that it starts.
#[test]
fn held_and_refused_openings_are_explained() {
    let mut harness = lane(&local_endpoints(3));
    set_limit(&mut harness, 1.0, 0.04);
    assert_eq!(explain(&harness).admission.outcome, Outcome::Starts);
    check_next(&mut harness, opening_segment(1, 0));
    let admission = explain(&harness).admission;
    assert_eq!(admission.outcome, Outcome::Waits);
    assert_eq!((admission.in_progress, admission.limit), (1, Some(1.0)));
    assert_eq!(check_next(&mut harness, opening_segment(2, 0)), Real::Held);
    let waiting = explain_for(&harness, Some(caller_addr(2)));
    assert_eq!(waiting.admission.outcome, Outcome::Waits);
    assert_eq!(waiting.flow.map(|flow| flow.state), Some("waiting".into()));
    set_limit(&mut harness, 1.0, 2.0);
    let admission = explain(&harness).admission;
    assert_eq!(admission.outcome, Outcome::Refused);
    assert_eq!(admission.cause.as_deref(), Some("no_capacity"));
    let refused = check_next(&mut harness, opening_segment(3, 0));
    assert_eq!(refused, Real::Refused);
}

/// Guards against an expected wait that leaves out the requests that go before the opening.
#[test]
fn expected_wait_counts_requests_of_higher_rank() {
    let mut harness = lane_with(&local_endpoints(3), |snapshot| add_route(snapshot, 0));
    set_limit(&mut harness, 2.0, 0.1);
    for port in 1..=2 {
        check_next(&mut harness, opening_segment(port, 0));
    }
    for port in 11..=13 {
        let mut segment = opening_segment(port, 0);
        segment.addrs = FlowAddrs {
            vip: other_vip(),
            ..segment.addrs
        };
        assert_eq!(open(&mut harness, segment), Real::Held);
    }
    let admission = explain(&harness).admission;
    assert_eq!((admission.waiting, admission.ahead), (3, Some(3)));
    // 3 requests, of which 2 run at once for 100 ms.
    assert!((admission.wait_ms.expect("a time") - 150.0).abs() < 1e-6);
}

/// Guards against a refusal that is explained as a start, or with another cause than the log has.
#[test]
fn opening_without_an_endpoint_is_explained_as_refused() {
    let mut harness = lane(&local_endpoints(2));
    evacuate(&mut harness, &["a"]);
    let admission = explain(&harness).admission;
    assert_eq!(admission.outcome, Outcome::Refused);
    assert_eq!(admission.cause.as_deref(), Some("evacuated"));
    let refused = check_next(&mut harness, opening_segment(1, 0));
    assert_eq!(refused, Real::Refused);
    let admission = explain(&lane(&[])).admission;
    assert_eq!(admission.cause.as_deref(), Some("no_endpoint"));
}

/// Guards against a service without an endpoint to take the opening that is left out, since the
/// other one has some.
#[test]
fn service_without_an_endpoint_is_explained_as_a_refused_share() {
    let endpoints = local_endpoints(2);
    let harness = lane_with(&endpoints, |snapshot| {
        let services = [("adserve", 0), ("bestel", 1)].map(|(name, at)| {
            let mut service = Service::new(name);
            service.endpoints = vec![endpoints[at].clone()];
            service
        });
        *snapshot = snapshot.clone().with_services(services);
        let mut routes = (*snapshot.routes).clone();
        let route = routes.get_mut(&vip()).expect("the route");
        route.targets = smallvec![(service(), 3), (Id::of("bestel"), 1)];
        snapshot.routes = Arc::new(routes);
    });
    let mut harness = harness;
    row(&mut harness, 2).flow_count = 2_000;
    let admission = explain(&harness).admission;
    assert_eq!(admission.outcome, Outcome::Starts);
    assert!((admission.refused_share - 0.25).abs() < 1e-9);
    assert_eq!(admission.cause.as_deref(), Some("no_endpoint"));
}

#[test]
fn routes_are_found_by_address_name_and_service() {
    let harness = lane_with(&local_endpoints(2), |snapshot| add_route(snapshot, 0));
    let find = |front: &str| {
        let found = explain::explain(&harness.tables, &query(front), harness.now);
        let names = found.into_iter().map(|route| route.route.to_string());
        names.collect::<Vec<_>>().join(" ")
    };
    assert_eq!(find("198.18.0.1:443"), "streams");
    assert_eq!(find("198.18.0.2:443"), "orders");
    assert_eq!(find("orders"), "orders");
    assert_eq!(find("adserve"), "streams orders");
    assert_eq!(find("198.18.0.3:443"), "");
    assert_eq!(find("nothing"), "");
}

/// Returns a lane in which most things that an explanation shows occur.
fn eventful_lane() -> LaneHarness {
    let mut harness = lane(&endpoints_in(&["a", "b"], 4));
    row(&mut harness, 1).flow_count = 2_000;
    row(&mut harness, 2).suspicion = Some(suspicion("sv-a-2"));
    row(&mut harness, 2).last_trial = harness.now;
    row(&mut harness, 5).down = Some(down(false));
    row(&mut harness, 5).last_trial = harness.now;
    for number in 3..=8 {
        row(&mut harness, number).answer_time = 0.01 * f64::from(number);
    }
    let busy = Id::of("i-07");
    harness.tables.endpoints.acquire(busy, ms(0), harness.now);
    let plan = SpillPlan {
        share: 0.3,
        zones: smallvec![("b".into(), 2.0)],
        logged_tenths: 3,
    };
    harness.tables.zone_spill.set_plan(service(), plan);
    set_limit(&mut harness, 12.0, 0.05);
    harness
}

fn inspection(routes: Vec<RouteExplanation>) -> Inspection {
    Inspection {
        format: explain::FORMAT,
        release: "0.1.0".into(),
        lanes: vec![LaneExplanation { lane: 1, routes }],
    }
}

#[test]
fn explanation_is_printed_as_a_table() {
    let text = inspect::render(&inspection(vec![explain(&eventful_lane())]));
    insta::assert_snapshot!(text, @r#"
    route streams at 198.18.0.1:443: priority 2, target 250 ms, deadline 1000 ms, idempotent
      starts at once; requests in progress at adserve: 1, limit 12.0, waiting: 0
      service adserve, 100% of the openings; 30% leave the zone: the own zone has capacity again, the share falls; 20 ms there
        zone b first, 30%: i-06
        own zone first, 70%: i-03 or i-04
           endpoint  zone  tier  score  running  flows  answer  against
           i-01      a                  0        2000           at its maximum of flows
           i-02      a     1/0   0.333  0        0              suspected by sv-a-2
        *  i-03      a     1/0   0.333  0        0      30 ms
        *  i-04      a     1/0   0.333  0        0      40 ms
           i-05      b     0/2   0.500  0        0      50 ms   down, not confirmed
        *  i-06      b     0/2   0.545  0        0      60 ms
           i-07      b     0/2   1.273  1        0      70 ms
           i-08      b     0/2   0.727  0        0      80 ms
    "#);
}

#[test]
fn waiting_and_refused_openings_are_printed() {
    let mut harness = lane(&local_endpoints(1));
    set_limit(&mut harness, 1.0, 0.04);
    open(&mut harness, opening_segment(1, 0));
    open(&mut harness, opening_segment(2, 0));
    let waiting = explain_for(&harness, Some(caller_addr(2)));
    set_limit(&mut harness, 1.0, 2.0);
    let refused = explain(&harness);
    let text = inspect::render(&inspection(vec![waiting, refused]));
    insta::assert_snapshot!(text, @r#"
    route streams at 198.18.0.1:443: priority 2, target 250 ms, deadline 1000 ms, idempotent
      the caller has a flow that is waiting
      waits for the next free place; requests in progress at adserve: 1, limit 1.0, waiting: 1
      service adserve, 100% of the openings; 0% leave the zone: the own zone lacks capacity, no other zone would answer sooner; 40 ms here
        own zone first, 100%: i-01
           endpoint  zone  tier  score  running  flows  answer  against
        *  i-01      a     0     0.667  1        1

    route streams at 198.18.0.1:443: priority 2, target 250 ms, deadline 1000 ms, idempotent
      is refused, cause no_capacity; requests in progress at adserve: 1, limit 1.0, waiting: 1
      service adserve, 100% of the openings; 0% leave the zone: the own zone lacks capacity, no other zone would answer sooner; 2000 ms here
        own zone first, 100%: i-01
           endpoint  zone  tier  score  running  flows  answer  against
        *  i-01      a     0     0.667  1        1
    "#);
}

#[test]
fn explanation_is_printed_as_json() {
    let mut harness = lane(&endpoints_in(&["a"], 2));
    row(&mut harness, 1).suspicion = Some(suspicion("sv-a-2"));
    row(&mut harness, 1).last_trial = harness.now;
    let explained = inspection(vec![explain(&harness)]);
    let text = format!("{:#}", json!(explained));
    let read: Inspection = serde_json::from_str(&text).expect("an explanation");
    assert_eq!(read, explained);
    insta::assert_snapshot!(text, @r#"
    {
      "format": 1,
      "lanes": [
        {
          "lane": 1,
          "routes": [
            {
              "admission": {
                "ahead": null,
                "in_progress": 0,
                "limit": 1.0,
                "outcome": "starts",
                "refused_share": 0.0,
                "service": "adserve",
                "wait_ms": null,
                "waiting": 0
              },
              "deadline_ms": 1000,
              "front": "198.18.0.1:443",
              "kind": "Idempotent",
              "priority": 2,
              "route": "streams",
              "services": [
                {
                  "candidates": [
                    {
                      "answer_ms": null,
                      "chosen": false,
                      "endpoint": "i-01",
                      "flows": 0,
                      "in_progress": 0,
                      "reasons": [
                        {
                          "cause": "suspected",
                          "observers": [
                            "sv-a-2"
                          ],
                          "other_hosts": 1
                        }
                      ],
                      "score": 0.3333333333333333,
                      "tiers": [
                        0
                      ],
                      "zone": "a"
                    },
                    {
                      "answer_ms": null,
                      "chosen": true,
                      "endpoint": "i-02",
                      "flows": 0,
                      "in_progress": 0,
                      "reasons": [],
                      "score": 0.3333333333333333,
                      "tiers": [
                        0
                      ],
                      "zone": "a"
                    }
                  ],
                  "choices": [
                    {
                      "chosen": [
                        "i-02"
                      ],
                      "may_miss": false,
                      "share": 1.0,
                      "zone": null
                    }
                  ],
                  "leaving": {
                    "here_ms": null,
                    "reason": "not_needed",
                    "share": 0.0,
                    "there_ms": null
                  },
                  "service": "adserve",
                  "share": 1.0,
                  "trial": null
                }
              ],
              "target_ms": 250
            }
          ]
        }
      ],
      "release": "0.1.0"
    }
    "#);
}

/// Returns a dump of two lanes with explanations of these routes.
fn dump(routes: &[RouteExplanation]) -> Value {
    let lane = json!({"flows": [], "where": inspect::dump_table(routes)});
    json!({"control": {}, "lanes": [lane, lane]})
}

/// Guards against a dump that gives another explanation than the lane gave.
#[test]
fn saved_dump_is_explained() {
    let harness = lane_with(&local_endpoints(2), |snapshot| add_route(snapshot, 0));
    let routes = explain::explain_all(&harness.tables, harness.now);
    assert_eq!(routes.len(), 2);
    for text in [dump(&routes), dump(&routes)["lanes"].clone()] {
        let is_list = text.is_array();
        let tables = |lanes: &Value| json!([lanes[0]["where"], lanes[1]["where"]]);
        let text = if is_list { tables(&text) } else { text };
        let read = inspect::parse_dump("d", text.to_string().as_bytes(), "streams");
        let read = read.expect("a dump");
        assert_eq!(read.lanes.len(), 2);
        assert_eq!(read.lanes[1].routes, [explain(&harness)]);
    }
}

/// Guards against a wrong dump that is explained all the same, or refused without a remedy.
#[test]
fn wrong_dumps_are_refused() {
    let harness = lane(&local_endpoints(2));
    let whole = dump(&[explain(&harness)]);
    let text = whole.to_string();
    let changed = |pointer: &str, value: Value| {
        let mut changed = whole.clone();
        *changed.pointer_mut(pointer).expect("a part") = value;
        changed.to_string()
    };
    let cases = [
        (text[..text.len() / 2].to_owned(), "streams"),
        ("not a dump".to_owned(), "streams"),
        (json!({"control": {}}).to_string(), "streams"),
        (changed("/lanes", json!([])), "streams"),
        (changed("/lanes/1", json!({"flows": []})), "streams"),
        (changed("/lanes/1/where/format", json!(7)), "streams"),
        (
            changed("/lanes/0/where/routes/0/kind", json!("Odd")),
            "streams",
        ),
        (text, "unknown"),
    ];
    let errors = cases.map(|(text, front)| {
        let read = inspect::parse_dump("saved.json", text.as_bytes(), front);
        read.expect_err("an error").to_string()
    });
    insta::assert_snapshot!(errors.join("\n"), @r#"
    saved.json: the dump is truncated at line 1; save the output of `jacinthhinge dump ADDR` again
    saved.json: the file is not a dump: expected ident at line 1 column 2; save the output of `jacinthhinge dump ADDR` again
    saved.json: the part `lanes` is missing; save the output of `jacinthhinge dump ADDR` again
    saved.json: the part `lanes` has no lane; save the output of `jacinthhinge dump ADDR` again
    saved.json: the part `where` of lane 2 is missing; save the output of `jacinthhinge dump ADDR` again
    saved.json: it is of release 0.1.0, format 7, and this program cannot read it; use the program of that release
    saved.json: it is of release 0.1.0, format 1, and this program cannot read it; use the program of that release
    FRONT: no route or service has the name or front address `unknown`; the routes are streams; pass the front address of a route, or the name of a route or service
    "#);
}
