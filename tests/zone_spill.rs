//! Flows that leave their zone under a shortage of capacity, without a network.
//!
//! Unless a test says otherwise, three zones have two hosts and eight endpoints of 2 slots and
//! 40 ms a request each: 400 requests a second. Reports reach the other hosts every 100 ms.

mod relaying;

use jacinthhinge::prelude::*;
use jacinthhinge::segment::RequestKind;
use jacinthhinge::systems::zone_spill::{MAX_FALL, MAX_RISE, SpillInput, ZoneState, decide};
use relaying::load::{Demand, LoadTest, Totals, route};
use relaying::ms;

const ZONES: [&str; 6] = ["a", "a", "b", "b", "c", "c"];
const SERVICE_TIME: Duration = Duration::from_millis(40);
const ZONE_CAPACITY: f64 = 400.0;

/// Returns three zones, of which `a` needs `service_time` for a request.
fn three_zones(service_time: Duration) -> LoadTest {
    let servers = [
        ("a", 8, service_time),
        ("b", 8, SERVICE_TIME),
        ("c", 8, SERVICE_TIME),
    ];
    LoadTest::new(&ZONES, &servers, &[route(0, RequestKind::Idempotent)])
}

/// Returns the demand of all hosts; a zone sends its share of [`ZONE_CAPACITY`].
fn demands(a: f64, b: f64, c: f64) -> Vec<Demand> {
    let shares = [a, a, b, b, c, c];
    let demand = |(lane, share): (usize, f64)| Demand {
        lane,
        route: 0,
        caller: 0,
        rate: share * ZONE_CAPACITY / 2.0,
    };
    shares.into_iter().enumerate().map(demand).collect()
}

fn totals_of(load: &LoadTest, since: Duration, zone: &str) -> Totals {
    load.totals(since, |request| load.zones[request.lane] == zone)
}

/// Returns the present share of a host's flows that leaves its zone.
fn share_of(load: &LoadTest, lane: usize) -> f64 {
    let plan = load.lanes[lane].tables.zone_spill.plan(Id::of("adserve"));
    plan.map_or(0.0, |plan| plan.share)
}

/// Load: half of the capacity in each zone. Guards against crossings without need.
#[test]
fn no_flow_leaves_a_zone_with_free_capacity() {
    let mut load = three_zones(SERVICE_TIME);
    load.run(ms(6_000), &demands(0.5, 0.5, 0.5));
    let totals = load.totals(Duration::ZERO, |_| true);
    assert_eq!(totals.remote, 0, "{totals:?}");
    assert_eq!(totals.in_target, totals.sent, "{totals:?}");
    assert!(
        load.lanes
            .iter()
            .all(|lane| lane.tables.report.services.is_empty())
    );
}

/// Load: zone `a` gets 1.5 times its capacity, the others a tenth. Guards against requests that go
/// unserved while other zones are idle, and against a share that outlasts its cause.
#[test]
fn hot_zone_uses_the_capacity_of_the_others_and_returns() {
    let mut load = three_zones(SERVICE_TIME);
    load.run(ms(2_000), &demands(0.4, 0.1, 0.1));
    let since = load.now();
    load.run(ms(8_000), &demands(1.5, 0.1, 0.1));
    let hot = totals_of(&load, since, "a");
    assert!(hot.answered_share() >= 0.99, "{hot:?}");
    assert!(hot.remote_share() > 0.2, "{hot:?}");
    // The limit of a hot host must not overrun the queues of the endpoints in its own zone.
    assert_eq!(hot.overruns, 0, "{hot:?}");
    load.run(ms(4_000), &demands(0.4, 0.1, 0.1));
    assert!(share_of(&load, 0) < 0.01, "{}", share_of(&load, 0));
    assert!(load.lanes[0].tables.counters.remote_spill > 0);
}

/// Load: two fifths of the capacity, while the endpoints of zone `a` are five times slower. Guards
/// against a zone that keeps its flows although others would answer sooner.
#[test]
fn slow_zone_sends_its_flows_away() {
    let mut load = three_zones(SERVICE_TIME * 5);
    load.run(ms(3_000), &demands(0.1, 0.4, 0.4));
    let since = load.now();
    load.run(ms(8_000), &demands(0.4, 0.4, 0.4));
    let slow = totals_of(&load, since, "a");
    assert!(slow.answered_share() >= 0.96, "{slow:?}");
    for zone in ["b", "c"] {
        let other = totals_of(&load, since, zone);
        assert!(other.answered_share() >= 0.99, "{zone}: {other:?}");
    }
}

/// Load: zone `a` gets ten times its usual load of 0.11 while its endpoints are five times slower.
/// Guards against losing a hot zone whose endpoints slow down as well.
#[test]
fn hot_and_slow_zone_is_served_by_the_others() {
    let mut load = three_zones(SERVICE_TIME * 5);
    load.run(ms(3_000), &demands(0.11, 0.11, 0.11));
    let since = load.now();
    load.run(ms(10_000), &demands(1.1, 0.11, 0.11));
    let hot = totals_of(&load, since, "a");

    assert!(hot.answered_share() >= 0.96, "{hot:?}");
}

/// Load: 1.6 times the capacity in each zone. Guards against zones that send each other flows
/// when none has capacity.
#[test]
fn flows_stay_when_all_zones_are_short() {
    let mut load = three_zones(SERVICE_TIME);
    load.run(ms(2_000), &demands(0.4, 0.4, 0.4));
    load.run(ms(2_000), &demands(1.6, 1.6, 1.6));
    let since = load.now();
    load.run(ms(6_000), &demands(1.6, 1.6, 1.6));
    let totals = load.totals(since, |_| true);
    assert!(totals.remote_share() < 0.05, "{totals:?}");
    assert!(totals.answered_share() > 0.55, "{totals:?}");
}

/// Load: zone `a` gets 1.6 times its capacity. Guards against a share that swings.
#[test]
fn share_settles_without_oscillation() {
    let mut load = three_zones(SERVICE_TIME);
    load.run(ms(2_000), &demands(0.4, 0.2, 0.2));
    load.run(ms(6_000), &demands(1.6, 0.2, 0.2));
    let mut shares = Vec::new();
    for _ in 0..60 {
        load.run(ms(100), &demands(1.6, 0.2, 0.2));
        shares.push(share_of(&load, 0));
    }
    let min = shares.iter().copied().fold(1.0, f64::min);
    let max = shares.iter().copied().fold(0.0, f64::max);
    assert!(max - min < 0.35 && min > 0.05, "{shares:?}");
}

/// Load: zone `a` gets twice its capacity while the hosts of zone `b` are cut off. Guards against
/// flows into a partition: zone `b` gets no new ones when its reports are too old.
#[test]
fn cut_off_zone_gets_no_flows() {
    let mut load = three_zones(SERVICE_TIME);
    load.run(ms(2_000), &demands(0.4, 0.1, 0.1));
    load.run(ms(3_000), &demands(2.0, 0.1, 0.1));
    load.cut_off = vec![2, 3];
    load.run(ms(4_500), &demands(2.0, 0.1, 0.1));
    let since = load.now();
    load.run(ms(3_000), &demands(2.0, 0.1, 0.1));
    let to_zone = |zone: &str| {
        let matches = |request: &relaying::load::Request| {
            let server = request
                .server
                .map(|number| usize::try_from(number).expect("small") - 1);
            request.lane < 2 && server.is_some_and(|at| load.servers[at].zone == zone)
        };
        load.totals(since, matches).answered
    };
    assert_eq!(to_zone("b"), 0);
    assert!(to_zone("c") > 0);
}

/// Load: zone `a` gets 1.3 times its capacity, and zone `b` is partitioned while it takes flows of
/// zone `a`. Guards against a spill that goes on into the partition.
#[test]
fn partition_ends_the_spill_into_it() {
    let mut load = three_zones(SERVICE_TIME);
    load.run(ms(2_000), &demands(0.4, 0.1, 0.1));
    load.run(ms(4_000), &demands(1.3, 0.1, 0.1));
    load.cut_off = vec![2, 3];
    load.silent = vec!["b"];
    let since = load.now() + ms(1_500);
    load.run(ms(8_000), &demands(1.3, 0.1, 0.1));
    let totals = totals_of(&load, since, "a");
    assert!(totals.answered_share() > 0.97, "{totals:?}");
    assert!(totals.remote > 0, "{totals:?}");
}

/// Load: zone `a` gets twice its capacity and zone `b` is evacuated. Guards against flows that are
/// sent into an evacuated zone.
#[test]
fn evacuated_zone_gets_no_flows_of_other_zones() {
    let mut load = three_zones(SERVICE_TIME);
    load.evacuated.insert("b".into());
    load.run(ms(2_000), &demands(0.4, 0.0, 0.1));
    load.run(ms(6_000), &demands(2.0, 0.0, 0.1));
    let plan = load.lanes[0].tables.zone_spill.plan(Id::of("adserve"));
    let zones: Vec<&str> = plan
        .expect("a plan")
        .zones
        .iter()
        .map(|row| &*row.0)
        .collect();
    assert_eq!(zones, ["c"]);
}

/// Load: two fifths of the capacity, and zone `a` has no endpoint. Guards against load that goes to
/// one of the other zones alone.
#[test]
fn zone_without_endpoints_spreads_its_flows() {
    let servers = [("b", 8, SERVICE_TIME), ("c", 8, SERVICE_TIME)];
    let mut load = LoadTest::new(&ZONES, &servers, &[route(0, RequestKind::Idempotent)]);
    load.run(ms(4_000), &demands(0.4, 0.2, 0.2));
    let totals = totals_of(&load, Duration::ZERO, "a");
    assert_eq!(totals.answered, totals.sent, "{totals:?}");
    let is_in_b = |request: &relaying::load::Request| {
        request.lane < 2 && request.server.is_some_and(|number| number <= 8)
    };
    let in_b = load.totals(Duration::ZERO, is_in_b).answered;
    let part = f64::from(in_b) / f64::from(totals.answered);
    assert!((0.3..0.7).contains(&part), "{part}");
    assert_eq!(load.lanes[0].tables.counters.remote_spill, 0);
    assert!(load.lanes[0].tables.counters.remote_no_local > 0);
}

/// Returns a short zone and one other with free capacity.
fn short_input() -> SpillInput {
    SpillInput {
        own: ZoneState {
            slots: 16.0,
            running: 40.0,
            is_short: true,
            answer_time: Some(0.2),
            open_time: Some(0.01),
        },
        others: vec![(
            "b".into(),
            ZoneState {
                slots: 16.0,
                running: 2.0,
                is_short: false,
                answer_time: Some(0.07),
                open_time: Some(0.02),
            },
        )],
        queue_time: 0.1,
        target: 0.25,
        placed: 100.0,
        spilling_hosts: 2.0,
        crossing_cost: 0.02,
    }
}

/// Guards against steps that make all hosts of a zone move together, and against more flows than
/// this host's part of half of the free capacity.
#[test]
fn share_moves_in_small_steps_up_to_the_free_capacity() {
    let input = short_input();
    let mut share = 0.0;
    for _ in 0..30 {
        let next = decide(&input, share).share;
        assert!(next <= share + MAX_RISE + 1e-9, "{share} to {next}");
        share = next;
    }
    // 14 free slots, half of them for 2 hosts, take 3.5 / 0.05 s of 100 requests a second, each of
    // which is on its way for 0.02 s of the 0.07 s.
    assert!((share - 0.7).abs() < 0.01, "{share}");
    let full = SpillInput {
        others: vec![(
            "b".into(),
            ZoneState {
                is_short: true,
                ..input.others[0].1.clone()
            },
        )],
        ..input
    };
    let next = decide(&full, share).share;
    assert!((share - next - MAX_FALL).abs() < 1e-9, "{share} to {next}");
}

/// Guards against crossings that save less than the operator's cost.
#[test]
fn crossing_has_to_save_its_cost() {
    let cheap = SpillInput {
        crossing_cost: 0.05,
        ..short_input()
    };
    assert!(decide(&cheap, 0.0).share > 0.0);
    let costly = SpillInput {
        crossing_cost: 0.3,
        ..short_input()
    };
    assert!(decide(&costly, 0.0).share <= 0.0);
}
