//! Limits of requests in progress by rank, without a network.
//!
//! Guards against priority inversion: requests of low rank that are in progress and block those of
//! high rank. Unless a test says otherwise, one host has four endpoints of 2 slots and 40 ms a
//! request: 200 requests a second. The harness fails a test when an open flow is reset.

mod relaying;

use std::collections::{BTreeSet, HashMap};

use jacinthhinge::prelude::*;
use jacinthhinge::segment::{RequestKind, Route, Segment, SegmentKind};
use jacinthhinge::systems;
use jacinthhinge::tables::{Outbox, RankLoad, ServiceLimit};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use relaying::load::{Demand, LoadTest, Outcome, Totals, route};
use relaying::{
    LaneHarness, data_segment, endpoint, local_endpoints, ms, opening_segment, segment,
};

const SERVICE_TIME: Duration = Duration::from_millis(40);
const CAPACITY: f64 = 200.0;

/// Step of the checks, the step of the harness.
const STEP: Duration = Duration::from_millis(5);

fn adserve() -> Id {
    Id::of("adserve")
}

fn ranked(rank: u32) -> Route {
    route(rank, RequestKind::Idempotent)
}

fn demand(route: usize, rate: f64) -> Demand {
    Demand {
        lane: 0,
        route,
        caller: 0,
        rate,
    }
}

/// Returns a host with routes of these ranks, after two quiet seconds.
fn warm_host(ranks: &[u32]) -> LoadTest {
    let routes: Vec<Route> = ranks.iter().map(|rank| ranked(*rank)).collect();
    let mut load = LoadTest::new(&["a"], &[("a", 4, SERVICE_TIME)], &routes);
    load.run(ms(2_000), &[demand(0, CAPACITY * 0.5)]);
    load
}

fn limit_of(lane: &LaneHarness) -> ServiceLimit {
    let limit = lane.tables.held_requests.limit(adserve());
    limit.expect("a limit after the first timer tick")
}

fn running(lane: &LaneHarness) -> u32 {
    lane.tables.endpoints.own_requests(adserve())
}

/// Returns the requests that arrivals of these ranks are expected to keep in progress.
fn expected(lane: &LaneHarness, rank: u32) -> f64 {
    let rows = lane.tables.held_requests.rank_demand().expected(adserve());
    rows.filter(|row| row.0 == rank).map(|row| row.1).sum()
}

/// Runs a load and checks in each step that the host started no request beyond its limit and
/// `extra` requests for each of its slots; returns the longest wait of a request of the first rank.
fn run_bounded(load: &mut LoadTest, time: Duration, demands: &[Demand], extra: f64) -> Duration {
    let end = load.now() + time;
    let mut longest = Duration::ZERO;
    while load.now() < end {
        let (before, old) = (running(&load.lanes[0]), limit_of(&load.lanes[0]));
        load.run(STEP, demands);
        let (after, new) = (running(&load.lanes[0]), limit_of(&load.lanes[0]));
        let bound = |limit: ServiceLimit| limit.requests.ceil() + limit.slots.floor() * extra;
        let bound = bound(old).max(bound(new));
        // The limit itself may fall below the requests in progress.
        assert!(
            f64::from(after) <= f64::from(before).max(bound),
            "{before} to {after} requests in progress, of {new:?}"
        );
        let waiting = load.lanes[0].tables.held_requests.iter();
        let waiting = waiting.filter(|row| row.rank == 0);
        let waited = waiting.map(|row| load.now().saturating_sub(row.arrived));
        longest = waited.fold(longest, Duration::max);
    }
    longest
}

/// Returns the totals of each route.
fn by_route(load: &LoadTest, since: Duration) -> Vec<Totals> {
    (0..load.routes.len())
        .map(|route| load.totals(since, |request| request.route == route))
        .collect()
}

/// Returns the requests answered from `since` on, as a part of the capacity.
fn served_share(load: &LoadTest, since: Duration) -> f64 {
    let answered = load.requests.iter().filter(|request| {
        matches!(request.outcome, Outcome::Answered(time) if request.started + time > since)
    });
    let seconds = load.now().saturating_sub(since).as_secs_f64();
    // Far below 2^52.
    #[allow(clippy::cast_precision_loss)]
    let answered = answered.count() as f64;
    answered / (CAPACITY * seconds)
}

/// Load: requests of 400 ms and low priority take all slots of the only endpoint, then requests of
/// high priority come, as many as there are slots. Guards against priority inversion: they do not
/// wait for an answer to one of low priority. Before the limits by rank they waited up to 145 ms.
#[test]
fn long_requests_of_low_rank_do_not_block_high_rank() {
    let service_time = ms(400);
    let mut routes = [ranked(0), ranked(3)];
    for route in &mut routes {
        (route.target_latency, route.timeout) = (ms(2_000), ms(6_000));
    }
    let mut load = LoadTest::new(&["a"], &[("a", 1, service_time)], &routes);
    load.run(ms(4_000), &[demand(1, 4.0)]);
    load.run(ms(4_000), &[demand(1, 20.0)]);
    let lane = &load.lanes[0];
    assert!(
        f64::from(running(lane)) >= limit_of(lane).requests,
        "not saturated"
    );
    assert!(lane.tables.held_requests.len() > 2);
    let since = load.now();
    let mut longest = Duration::ZERO;
    for at in 0..1_200 {
        // Two requests at once every 1.2 s, which is a third of the capacity.
        let high = if at % 240 < 2 { 200.0 } else { 0.0 };
        let demands = [demand(0, high), demand(1, 20.0)];
        longest = longest.max(run_bounded(&mut load, STEP, &demands, 1.0));
    }
    let totals = by_route(&load, since);
    assert!(totals[0].sent >= 8, "{totals:?}");
    assert!(longest <= 2 * STEP, "{longest:?} {totals:?}");
    assert_eq!(totals[0].answered, totals[0].sent, "{totals:?}");
    assert_eq!(totals[0].in_target, totals[0].sent, "{totals:?}");
    assert!(totals[1].answered > 0, "{totals:?}");
}

/// Load: three times the capacity, up to half of it at the highest priority, with other parts every
/// half second, over many seeds. Guards against a shortage that reaches the first rank, a rank that
/// gets nothing, capacity that stays unused, and overfull queues of endpoints.
#[test]
fn shortage_is_borne_by_low_ranks_within_the_bound() {
    for seed in 0..24 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut load = warm_host(&[0, 1, 3]);
        let since = load.now() + ms(500);
        let mut longest = Duration::ZERO;
        for _ in 0..16 {
            let first = CAPACITY * rng.random_range(0.2..0.5);
            let second = CAPACITY * rng.random_range(0.5..1.0);
            let third = CAPACITY * 3.0 - first - second;
            let demands = [demand(0, first), demand(1, second), demand(2, third)];
            longest = longest.max(run_bounded(&mut load, ms(500), &demands, 1.0));
        }
        let totals = by_route(&load, since);
        let served = served_share(&load, since);
        let text = format!("seed {seed}, served {served}: {totals:?}");
        assert!(longest <= SERVICE_TIME, "{longest:?} {text}");
        assert!(totals[0].target_share() >= 0.97, "{text}");
        assert!(totals.iter().all(|totals| totals.answered > 0), "{text}");
        assert!(served >= 0.95, "{text}");
        assert!(totals.iter().all(|totals| totals.overruns == 0), "{text}");
    }
}

/// Load: the two higher ranks alone need three times the capacity. Guards against a rank that
/// starves: each has at least one answer in any two seconds.
#[test]
fn no_rank_starves() {
    let mut load = warm_host(&[0, 1, 3]);
    let demands = [
        demand(0, CAPACITY * 2.0),
        demand(1, CAPACITY),
        demand(2, CAPACITY),
    ];
    run_bounded(&mut load, ms(1_500), &demands, 1.0);
    for _ in 0..4 {
        let since = load.now();
        run_bounded(&mut load, ms(2_000), &demands, 1.0);
        let totals = by_route(&load, since);
        assert!(
            totals.iter().all(|totals| totals.answered > 0),
            "{totals:?}"
        );
        assert!(totals[0].answered > totals[2].answered * 4, "{totals:?}");
    }
}

/// Load: three times the capacity with one rank, the same for every rank. Guards against a change
/// for deployments with a single rank: no request starts beyond the limit, and nothing depends on
/// the rank's number.
#[test]
fn single_rank_keeps_the_plain_limit() {
    let outcomes: Vec<Vec<Outcome>> = [0, 7]
        .into_iter()
        .map(|rank| {
            let mut load = warm_host(&[rank]);
            run_bounded(&mut load, ms(4_000), &[demand(0, CAPACITY * 3.0)], 0.0);
            let served = served_share(&load, ms(12_500));
            assert!(served >= 0.95, "{served}");
            load.requests.iter().map(|row| row.outcome).collect()
        })
        .collect();
    assert!(outcomes[0] == outcomes[1], "the outcomes differ by rank");
}

/// Load: a high rank that takes most of the capacity ends, while a low one asks for twice the
/// capacity. Guards against capacity that stays reserved for callers that are gone.
#[test]
fn reserve_of_a_rank_that_ends_is_free_after_a_second() {
    let mut load = warm_host(&[0, 3]);
    let low = demand(1, CAPACITY * 2.0);
    load.run(ms(3_000), &[demand(0, CAPACITY * 0.7), low]);
    assert!(expected(&load.lanes[0], 0) > 1.0);
    load.run(ms(1_050), &[low]);
    assert!(expected(&load.lanes[0], 0) == 0.0);
    let since = load.now();
    load.run(ms(3_000), &[low]);
    let served = served_share(&load, since);
    assert!(served >= 0.95, "{served}");
}

/// Load: ten times the capacity at low priority for two seconds, whose refused callers retry at
/// once, beside a high rank at a third of the capacity. Guards against a retry storm that reaches
/// the high rank or outlasts its cause.
#[test]
fn retry_storm_of_low_rank_does_not_reach_high_rank() {
    let mut load = warm_host(&[0, 3]);
    let since = load.now();
    let high = demand(0, CAPACITY * 0.33);
    run_bounded(
        &mut load,
        ms(2_000),
        &[high, demand(1, CAPACITY * 10.0)],
        1.0,
    );
    run_bounded(
        &mut load,
        ms(2_000),
        &[high, demand(1, CAPACITY * 0.3)],
        1.0,
    );
    let after = load.now();
    load.run(ms(2_000), &[high, demand(1, CAPACITY * 0.3)]);
    let totals = by_route(&load, since);
    assert!(totals[0].target_share() >= 0.97, "{totals:?}");
    let calm = load.totals(after, |_| true);
    assert!(calm.target_share() > 0.98, "{calm:?}");
}

/// Returns a snapshot with a route for each of these ranks, at consecutive ports.
fn ranked_snapshot(endpoints: &[Endpoint], ranks: &[u32]) -> Arc<Snapshot> {
    let mut snapshot = (*relaying::snapshot(endpoints)).clone();
    let routes: HashMap<SocketAddr, Route> = (0..)
        .zip(ranks)
        .map(|(at, rank)| (vip_of(at), ranked(*rank)))
        .collect();
    snapshot.routes = Arc::new(routes);
    Arc::new(snapshot)
}

fn vip_of(route: u16) -> SocketAddr {
    SocketAddr::from(([198, 18, 0, 1], 443 + route))
}

fn on_route(mut segment: Segment, route: u16) -> Segment {
    segment.addrs.vip = vip_of(route);
    segment
}

/// Returns a lane with one endpoint of 3 slots and routes of rank 0 and rank 3, and its limit.
fn ranked_lane() -> (LaneHarness, u16) {
    let endpoints = local_endpoints(1);
    let mut lane = LaneHarness::new(&endpoints);
    lane.publish(&ranked_snapshot(&endpoints, &[0, 3]));
    lane.advance(ms(50));
    // A small whole number.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let limit = limit_of(&lane).requests.ceil() as u16;
    (lane, limit)
}

/// Load: openings of both ranks that no endpoint answers, before any answer is measured. Guards
/// against a refusal or a reserve that rests on an unknown answer time.
#[test]
fn nothing_is_reserved_or_refused_without_an_answer_time() {
    let (mut lane, limit) = ranked_lane();
    for port in 1..=2 {
        lane.receive(on_route(opening_segment(port, 0), 0));
    }
    lane.advance(ms(50));
    assert!(expected(&lane, 0) == 0.0);
    for port in 3..=limit + 5 {
        lane.receive(on_route(opening_segment(port, 0), 1));
    }
    assert_eq!(running(&lane), u32::from(limit));
    assert_eq!(lane.tables.held_requests.len(), 5);
    lane.advance(ms(150));
    assert_eq!(lane.tables.counters.refused_capacity, 0);
}

/// Load: one opening and its copies, unanswered. Guards against openings in progress that take
/// capacity without being counted, or that are counted twice or for ever.
#[test]
fn openings_in_progress_count_in_their_rank() {
    let endpoints = local_endpoints(3);
    let mut lane = LaneHarness::new(&endpoints);
    lane.publish(&ranked_snapshot(&endpoints, &[0, 3]));
    let counts = |lane: &LaneHarness| {
        let load = lane.tables.endpoints.rank_load(adserve());
        load.expect("the service").iter().collect::<Vec<_>>()
    };
    lane.receive(on_route(opening_segment(1, 0), 1));
    assert_eq!(counts(&lane), [(3, 1)]);
    lane.now += ms(200);
    lane.receive(on_route(opening_segment(1, 1), 1));
    assert_eq!(counts(&lane), [(3, 1)]);
    // A new configuration changes the rank of the route, not that of what is in progress.
    lane.publish(&ranked_snapshot(&endpoints, &[0, 5]));
    assert_eq!(counts(&lane), [(3, 1)]);
    lane.receive(on_route(opening_segment(2, 0), 1));
    assert_eq!(counts(&lane), [(3, 1), (5, 1)]);
    lane.advance(ms(1_500));
    assert_eq!(counts(&lane), []);
    assert_eq!(running(&lane), 0);
}

/// Load: requests of low rank on flows that are open already, while a request of high rank waits.
/// Guards against requests on open flows that pass the order.
#[test]
fn requests_on_open_flows_keep_the_order() {
    let (mut lane, limit) = ranked_lane();
    for port in [101, 102] {
        lane.receive(on_route(opening_segment(port, 0), 1));
        lane.now += ms(2);
        lane.receive(on_route(data_segment(port, 1, 0, 0, 500), 1));
    }
    lane.advance(ms(400));
    assert_eq!(running(&lane), 0, "idle flows do not count");
    // Openings of low rank take the limit, and those of high rank the requests beyond it.
    for port in 1..=limit {
        lane.receive(on_route(opening_segment(port, 0), 1));
    }
    let request = |port| on_route(data_segment(port, 1, 1, 100, 500), 1);
    assert_eq!(lane.receive(request(101)), [], "held at the limit");
    for port in 201..=203 {
        assert_eq!(lane.receive(on_route(opening_segment(port, 0), 0)).len(), 1);
    }
    assert_eq!(lane.receive(on_route(opening_segment(204, 0), 0)), []);
    assert_eq!(running(&lane), u32::from(limit + 3));
    // In one tick a request ends and one on an open flow arrives: that of high rank goes first, and
    // the others wait until the requests of all ranks are below the limit.
    let cookie = request(101).cookie;
    let end = |port| on_route(segment(port, SegmentKind::Reset, 2, 0, cookie, 0), 1);
    lane.tables.segments.extend([end(1), request(102)]);
    tick(&mut lane);
    assert_eq!(waiting_ports(&lane), [101, 102]);
    lane.tables.segments.extend([end(2), end(3), end(4)]);
    tick(&mut lane);
    assert_eq!(waiting_ports(&lane), [101, 102], "at the limit");
    lane.tables.segments.push(end(5));
    tick(&mut lane);
    assert_eq!(waiting_ports(&lane).len(), 1);
}

/// Runs one tick.
fn tick(lane: &mut LaneHarness) {
    let mut out = Outbox::default();
    systems::run(&mut lane.tables, lane.now, &mut out);
}

/// Returns the ports of the callers whose requests wait.
fn waiting_ports(lane: &LaneHarness) -> Vec<u16> {
    let rows = lane.tables.held_requests.iter();
    rows.map(|row| row.segment.addrs.caller.port()).collect()
}

/// What happens to a lane in the property test.
#[derive(Clone, Copy, Debug)]
enum Event {
    Open {
        port: u16,
        copies: u32,
    },
    Answer {
        port: u16,
    },
    Request {
        port: u16,
        seq: u32,
    },
    End {
        port: u16,
        is_reset: bool,
    },
    Wait {
        millis: u64,
    },
    Configure {
        endpoints: u8,
        restarted: bool,
        shift: u32,
        evacuated: bool,
    },
}

fn events() -> impl Strategy<Value = Event> {
    let port = || 1..24_u16;
    prop_oneof![
        4 => (port(), 0..3_u32).prop_map(|(port, copies)| Event::Open { port, copies }),
        4 => port().prop_map(|port| Event::Answer { port }),
        4 => (port(), 1..4_u32).prop_map(|(port, seq)| Event::Request { port, seq }),
        2 => (port(), any::<bool>()).prop_map(|(port, is_reset)| Event::End { port, is_reset }),
        2 => (1..700_u64).prop_map(|millis| Event::Wait { millis }),
        1 => (1..5_u8, any::<bool>(), 0..3_u32, any::<bool>()).prop_map(
            |(endpoints, restarted, shift, evacuated)| Event::Configure {
                endpoints,
                restarted,
                shift,
                evacuated,
            }
        ),
    ]
}

/// A lane in the property test, with the cookies that its flows got.
struct RandomLane {
    lane: LaneHarness,
    started: u64,
    /// True once an endpoint was removed or restarted, whose requests are no longer counted.
    lost_any: bool,
    endpoints: u8,
}

impl RandomLane {
    fn new() -> Self {
        let mut random = Self {
            lane: LaneHarness::new(&local_endpoints(4)),
            started: 1,
            lost_any: false,
            endpoints: 4,
        };
        random.configure(4, false, 0, false);
        random
    }

    /// Sends a segment of a flow, to the endpoint that the lane knows or to any other.
    fn send(&mut self, port: u16, kind: SegmentKind, seq: u32, len: u16, ack: u32) {
        let route = port % 3;
        let mut sent = on_route(segment(port, kind, seq, ack, 0, len), route);
        let flow = self.lane.tables.tracked_flows.get(&sent.addrs);
        let known = flow.and_then(|flow| self.lane.tables.cookies.assignable_cookie(flow.endpoint));
        let other = data_segment(port, u64::from(port % 4) + 1, 0, 0, 0).cookie;
        sent.cookie = known.unwrap_or(other);
        self.lane.receive(sent);
    }

    fn configure(&mut self, count: u8, restarted: bool, shift: u32, evacuated: bool) {
        self.lost_any |= restarted || count < self.endpoints;
        self.started += u64::from(restarted);
        self.endpoints = count;
        let endpoints: Vec<Endpoint> = (1..=count)
            .map(|number| Endpoint {
                started_ms: self.started,
                draining: shift == 2 && number == 1,
                ..endpoint(number, if number % 2 == 0 { "a" } else { "b" })
            })
            .collect();
        let mut snapshot = (*ranked_snapshot(&endpoints, &[shift, 1, 4])).clone();
        let zones: &[&str] = if evacuated { &["b"] } else { &[] };
        let zones: BTreeSet<Name> = zones.iter().map(|zone| Name::from(*zone)).collect();
        snapshot.evacuated_zones = Arc::new(zones);
        self.lane.publish(&Arc::new(snapshot));
    }

    fn play(&mut self, event: Event) {
        match event {
            Event::Open { port, copies } => {
                self.lane
                    .receive(on_route(opening_segment(port, copies), port % 3));
            }
            Event::Answer { port } => self.send(port, SegmentKind::Data, 1, 0, 500),
            Event::Request { port, seq } => {
                self.send(port, SegmentKind::Data, seq * 100, 100, 500 + seq);
            }
            Event::End { port, is_reset } => {
                let kind = if is_reset {
                    SegmentKind::Reset
                } else {
                    SegmentKind::Fin
                };
                self.send(port, kind, 400, 0, 500);
            }
            Event::Wait { millis } => {
                self.lane.advance(ms(millis));
            }
            Event::Configure {
                endpoints,
                restarted,
                shift,
                evacuated,
            } => {
                self.configure(endpoints, restarted, shift, evacuated);
            }
        }
    }

    /// Checks that the counts by rank add up to the counts without ranks, and that they are the
    /// flows that count as load.
    fn check(&self) -> std::result::Result<(), TestCaseError> {
        let tables = &self.lane.tables;
        let mut of_service = 0;
        for row in tables.endpoints.iter() {
            prop_assert_eq!(row.rank_load.total(), row.own_requests);
            of_service += if row.evacuated { 0 } else { row.own_requests };
            let mut flows: HashMap<u32, u32> = HashMap::new();
            let loaded = tables.tracked_flows.iter();
            for flow in loaded.filter(|flow| flow.endpoint == row.spec.id && flow.counts_load) {
                *flows.entry(flow.load_rank).or_default() += 1;
            }
            let counted: HashMap<u32, u32> = row.rank_load.iter().collect();
            prop_assert!(
                self.lost_any || counted == flows,
                "{:?} {:?}",
                counted,
                flows
            );
        }
        prop_assert_eq!(tables.endpoints.own_requests(adserve()), of_service);
        let load = tables.endpoints.rank_load(adserve());
        prop_assert_eq!(load.map_or(0, RankLoad::total), of_service);
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Load: openings, copies, requests, answers, resets, time-outs, flows of other hosts, changed
    /// ranks, and endpoints that are removed, restarted, drained or evacuated. Guards against
    /// counts by rank that drift from the requests in progress, which would block a rank for ever.
    #[test]
    fn counts_by_rank_add_up(sequence in prop::collection::vec(events(), 1..120)) {
        let mut random = RandomLane::new();
        for event in sequence {
            random.play(event);
            random.check()?;
        }
        random.lane.advance(ms(30_000));
        random.check()?;
        let load = random.lane.tables.endpoints.rank_load(adserve());
        prop_assert!(load.is_none_or(RankLoad::is_empty), "{:?}", load);
    }
}
