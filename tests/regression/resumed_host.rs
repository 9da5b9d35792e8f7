//! A host that was paused or suspended takes its own silence for that of the endpoints: callers'
//! retransmissions waited in its socket, and it resets flows of endpoints that answer.

use jacinthhinge::prelude::*;

use crate::relaying::{LaneHarness, data_segment, establish_evenly, is_reset, local_endpoints, ms};

/// Length of the pause: some retransmissions, but shorter than the time after which an endpoint's
/// flows are forgotten.
const PAUSE: Duration = Duration::from_secs(3);

/// Returns a lane with four endpoints, and its flows, each of which waits for an answer.
fn lane_with_requests() -> (LaneHarness, Vec<(u16, u64)>) {
    let mut harness = LaneHarness::new(&local_endpoints(4));
    let flows = establish_evenly(&mut harness, 4, 6);
    harness.advance(ms(500));
    for (port, number) in &flows {
        harness.send_request(*port, *number);
    }
    (harness, flows)
}

/// Plays the second after the pause: the flows of endpoint 1 retransmit what waited, while those
/// of the others make progress. Returns true if a flow is reset.
fn is_any_flow_reset(harness: &mut LaneHarness, flows: &[(u16, u64)]) -> bool {
    let mut actions = Vec::new();
    for round in 0..5 {
        for (port, number) in flows {
            let ack = if *number == 1 { 500 } else { 600 + round * 100 };
            actions.extend(harness.receive(data_segment(*port, *number, 1, 100, ack)));
        }
        actions.extend(harness.advance(ms(200)));
    }
    flows
        .iter()
        .any(|(port, _)| actions.iter().any(|action| is_reset(action, *port)))
}

#[test]
fn paused_host_resets_no_flow_by_what_waited_for_it() {
    let (mut harness, flows) = lane_with_requests();
    harness.now += PAUSE;
    assert!(!is_any_flow_reset(&mut harness, &flows));
}

#[test]
fn running_host_resets_the_flows_of_an_unresponsive_endpoint() {
    let (mut harness, flows) = lane_with_requests();
    harness.advance(ms(200));
    assert!(is_any_flow_reset(&mut harness, &flows));
}

#[test]
fn endpoint_that_was_down_before_a_pause_gets_time_to_answer() {
    let (mut harness, flows) = lane_with_requests();
    harness.advance(ms(200));
    assert!(is_any_flow_reset(&mut harness, &flows));
    harness.now += PAUSE;
    let late = 200;
    harness.receive(data_segment(late, 1, 0, 0, 500));
    harness.receive(data_segment(late, 1, 1, 100, 500));
    harness.advance(ms(200));
    let actions = harness.receive(data_segment(late, 1, 1, 100, 500));
    assert!(!actions.iter().any(|action| is_reset(action, late)));
}

/// The clock of a host counts the time in which the host is suspended; otherwise its lease would
/// still seem valid when it wakes.
#[test]
fn clock_counts_from_zero_and_follows_the_time_since_boot() {
    let since_boot = || {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        Duration::new(
            time.tv_sec.unsigned_abs(),
            u32::try_from(time.tv_nsec).expect("nanoseconds"),
        )
    };
    let before = since_boot();
    let clock = Clock::monotonic();
    let started = since_boot();
    std::thread::sleep(ms(20));
    let earliest = since_boot().saturating_sub(started);
    let now = clock.now();
    let latest = since_boot().saturating_sub(before);
    assert!(now >= ms(20) && earliest <= now && now <= latest, "{now:?}");
}
