//! Order and early refusal of requests under a shortage of capacity, without a network.
//!
//! Unless a test says otherwise, one host has four endpoints of 2 slots and 40 ms a request:
//! 200 requests a second. The harness fails a test when an open flow is reset.

mod relaying;

use jacinthhinge::prelude::*;
use jacinthhinge::segment::RequestKind;
use jacinthhinge::systems;
use jacinthhinge::tables::Outbox;
use relaying::load::{Demand, LoadTest, Outcome, route};
use relaying::{LaneHarness, is_reset, local_endpoints, ms, opening_segment};

const SERVICE_TIME: Duration = Duration::from_millis(40);
const CAPACITY: f64 = 200.0;

fn demand(route: usize, rate: f64) -> Demand {
    Demand {
        lane: 0,
        route,
        caller: 0,
        rate,
    }
}

/// Returns a host with routes of these ranks, after two quiet seconds.
fn warm_host(routes: &[jacinthhinge::segment::Route]) -> LoadTest {
    let mut load = LoadTest::new(&["a"], &[("a", 4, SERVICE_TIME)], routes);
    load.run(ms(2_000), &[demand(0, CAPACITY * 0.5)]);
    load
}

/// Load: half of the capacity. Guards against refusing or delaying requests without a shortage.
#[test]
fn quiet_load_is_neither_held_nor_refused() {
    let mut load = LoadTest::new(
        &["a"],
        &[("a", 4, SERVICE_TIME)],
        &[route(0, RequestKind::Idempotent)],
    );
    load.run(ms(5_000), &[demand(0, CAPACITY * 0.5)]);
    let totals = load.totals(Duration::ZERO, |_| true);
    assert_eq!(totals.in_target, totals.sent, "{totals:?}");
    assert_eq!(load.lanes[0].tables.counters.refused_capacity, 0);
}

/// Load: half of the capacity, then twice the capacity for a second, then half of it. Guards
/// against a quiet host that adds bytes to heartbeats, and against a short one that reports
/// nothing.
#[test]
fn only_a_host_that_lacks_capacity_reports_its_demand() {
    let mut load = warm_host(&[route(0, RequestKind::Idempotent)]);
    assert!(load.lanes[0].tables.report.services.is_empty());
    load.run(ms(1_000), &[demand(0, CAPACITY * 2.0)]);
    let report = load.lanes[0].tables.report.services.clone();
    assert!(
        matches!(report[..], [row] if row.waiting > 0 && row.demand > CAPACITY),
        "{report:?}"
    );
    load.run(ms(4_000), &[demand(0, CAPACITY * 0.5)]);
    assert!(load.lanes[0].tables.report.services.is_empty());
}

/// Load: three times the capacity, a fifth of it at the highest priority. Guards against
/// a shortage that reaches the most important route, and against capacity lost to refusals.
#[test]
fn shortage_is_borne_by_the_route_of_lowest_priority() {
    let ranks = [
        route(0, RequestKind::Idempotent),
        route(3, RequestKind::Idempotent),
    ];
    let mut load = warm_host(&ranks);
    let since = load.now() + ms(500);
    load.run(
        ms(6_000),
        &[demand(0, CAPACITY * 0.6), demand(1, CAPACITY * 2.4)],
    );
    let high = load.totals(since, |request| request.route == 0);
    let low = load.totals(since, |request| request.route == 1);
    assert!(high.answered_share() >= 0.97, "{high:?} {low:?}");
    let seconds = load.now().saturating_sub(since).as_secs_f64();
    let served = f64::from(high.answered + low.answered) / (CAPACITY * seconds);
    assert!(served >= 0.9, "{served} of the capacity: {high:?} {low:?}");
    let counters = load.lanes[0].tables.counters;
    assert!(counters.refused_capacity > 100, "{counters:?}");
    assert_eq!(counters.abandoned_requests, 0);
}

/// Load: the highest priority alone needs twice the capacity. Guards against a route of low
/// priority that gets nothing, and against one that gets more than its eighth.
#[test]
fn low_priority_gets_a_part_while_high_priority_takes_everything() {
    let ranks = [
        route(0, RequestKind::Idempotent),
        route(3, RequestKind::Idempotent),
    ];
    let mut load = warm_host(&ranks);
    let since = load.now() + ms(1_000);
    load.run(
        ms(6_000),
        &[demand(0, CAPACITY * 2.0), demand(1, CAPACITY * 0.5)],
    );
    let high = load.totals(since, |request| request.route == 0);
    let low = load.totals(since, |request| request.route == 1);
    assert!(low.answered > 0, "{high:?} {low:?}");
    assert!(low.answered < high.answered / 4, "{high:?} {low:?}");
}

/// Load: one and a half times the capacity, half of it from one caller. Guards against a caller
/// that crowds out the others.
#[test]
fn heavy_caller_does_not_crowd_out_the_others() {
    let mut load = warm_host(&[route(0, RequestKind::Idempotent)]);
    let since = load.now() + ms(500);
    let heavy = Demand {
        caller: 7,
        ..demand(0, CAPACITY * 0.75)
    };
    load.run(ms(6_000), &[heavy, demand(0, CAPACITY * 0.75)]);
    let of_heavy = load.totals(since, |request| request.caller == 7);
    let others = load.totals(since, |request| request.caller != 7);
    assert!(others.answered_share() > 0.95, "{others:?} {of_heavy:?}");
    assert!(of_heavy.answered > 0, "{others:?} {of_heavy:?}");
}

/// Load: twice the capacity, half of it at-most-once. Guards against at-most-once requests that
/// fare worse than repeatable ones of the same priority.
#[test]
fn at_most_once_requests_go_before_repeatable_ones() {
    let kinds = [
        route(1, RequestKind::Once),
        route(1, RequestKind::Idempotent),
    ];
    let mut load = warm_host(&kinds);
    let since = load.now() + ms(500);
    load.run(
        ms(5_000),
        &[demand(0, CAPACITY * 0.7), demand(1, CAPACITY * 1.3)],
    );
    let once = load.totals(since, |request| request.route == 0);
    let repeatable = load.totals(since, |request| request.route == 1);
    assert!(
        once.answered_share() > repeatable.answered_share() + 0.2,
        "{once:?} {repeatable:?}"
    );
}

/// Load: ten times the capacity for a second, then six tenths. Guards against a retry storm that
/// keeps the overload going.
#[test]
fn flash_crowd_and_its_retries_end_with_the_crowd() {
    let mut load = warm_host(&[route(0, RequestKind::Idempotent)]);
    load.run(ms(1_000), &[demand(0, CAPACITY * 10.0)]);
    load.run(ms(2_000), &[demand(0, CAPACITY * 0.6)]);
    let since = load.now();
    load.run(ms(3_000), &[demand(0, CAPACITY * 0.6)]);
    let after = load.totals(since, |_| true);
    assert!(after.target_share() > 0.98, "{after:?}");
}

/// Load: four times the capacity. Guards against callers that wait for their time-out instead
/// of being told; a refusal is due at the latest an answer time before the time-out.
#[test]
fn refused_callers_are_told_before_they_give_up() {
    let mut load = warm_host(&[route(0, RequestKind::Idempotent)]);
    let since = load.now() + ms(500);
    load.run(ms(5_000), &[demand(0, CAPACITY * 4.0)]);
    let totals = load.totals(since, |_| true);
    assert!(totals.refused > 0, "{totals:?}");
    let unanswered = totals.sent - totals.answered;
    assert!(totals.abandoned < unanswered / 20, "{totals:?}");
    assert_eq!(load.lanes[0].tables.counters.abandoned_requests, 0);
}

/// Load: three times the capacity from callers that leave as soon as their flow is open. Guards
/// against capacity that stays counted for callers that are gone.
#[test]
fn capacity_returns_after_a_mass_abandonment() {
    let mut load = warm_host(&[route(0, RequestKind::Idempotent)]);
    load.callers_leave = true;
    load.run(ms(2_000), &[demand(0, CAPACITY * 3.0)]);
    load.callers_leave = false;
    load.run(ms(500), &[demand(0, CAPACITY * 0.5)]);
    let since = load.now();
    load.run(ms(2_000), &[demand(0, CAPACITY * 0.5)]);
    let after = load.totals(since, |_| true);
    assert_eq!(after.in_target, after.sent, "{after:?}");
    assert!(load.lanes[0].tables.held_requests.is_empty());
}

/// Load: a queue full of low priority when a request of high priority arrives. Guards against
/// priority inversion: the request waits for one release, not for the queue.
#[test]
fn request_of_high_priority_goes_before_the_queue() {
    let ranks = [
        route(0, RequestKind::Idempotent),
        route(3, RequestKind::Idempotent),
    ];
    let mut load = warm_host(&ranks);
    load.run(ms(1_500), &[demand(1, CAPACITY * 4.0)]);
    assert!(load.lanes[0].tables.held_requests.len() > 10);
    let first = load.requests.len();
    load.run(ms(5), &[demand(0, CAPACITY), demand(1, CAPACITY * 4.0)]);
    load.run(ms(600), &[demand(1, CAPACITY * 4.0)]);
    let mut arrived = load.requests[first..].iter();
    let high = arrived.find(|request| request.route == 0);
    let high = high.expect("a request of high priority");
    assert!(
        matches!(high.outcome, Outcome::Answered(time) if time < ms(300)),
        "{:?}",
        high.outcome
    );
}

/// Load: all capacity taken, and one opening that waits. Guards against a refusal later than a
/// tenth of the target latency (25 ms) after it is due: with answers of 100 ms and a time-out of
/// 1 s, after 900 ms.
#[test]
fn refusal_is_sent_soon_after_it_is_due() {
    let mut harness = LaneHarness::new(&local_endpoints(2));
    let number = harness.establish_flow(99);
    harness.advance(ms(400));
    harness.send_request(99, number);
    harness.now += ms(100);
    harness.acknowledge_answer(99, number);
    harness.advance(ms(100));
    for port in 1..=18 {
        harness.receive(opening_segment(port, 0));
    }
    assert_eq!(harness.receive(opening_segment(30, 0)), []);
    let start = harness.now;
    let refused_at = (0..300).find_map(|_| {
        harness.now += ms(5);
        let mut out = Outbox::default();
        systems::run(&mut harness.tables, harness.now, &mut out);
        let mut actions = out.relay_actions.iter();
        let is_refused = actions.any(|action| is_reset(action, 30));
        is_refused.then(|| harness.now.saturating_sub(start))
    });
    let refused_at = refused_at.expect("a refusal");
    assert!((ms(895)..=ms(925)).contains(&refused_at), "{refused_at:?}");
    assert_eq!(harness.tables.counters.refused_capacity, 1);
}
