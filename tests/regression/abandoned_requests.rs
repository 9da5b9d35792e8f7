//! Guards against requests that keep a service at its limit although nobody waits for them: a
//! caller retransmitted its request once and ended without a packet. The request counted as in
//! progress for 20 s, and requests of other callers waited at the host in that time.

use jacinthhinge::prelude::*;
use jacinthhinge::segment::RelayAction;

use super::relaying::{
    LaneHarness, TICK_INTERVAL, establish_evenly, local_endpoints, ms, opening_segment,
};

/// Number of requests in progress at which a lane with two endpoints of three slots queues more.
const REQUEST_LIMIT: u32 = 18;

fn requests_in_progress(harness: &LaneHarness) -> u32 {
    harness.tables.endpoints.own_requests(Id::of("adserve"))
}

#[test]
fn requests_of_departed_callers_free_the_limit_of_their_service() {
    let mut harness = LaneHarness::new(&local_endpoints(2));
    harness.advance(TICK_INTERVAL);
    let flows = establish_evenly(&mut harness, 2, REQUEST_LIMIT / 2);
    harness.advance(ms(500));
    for (port, number) in &flows {
        harness.send_request(*port, *number);
    }
    harness.advance(ms(200));
    for (port, number) in &flows {
        harness.send_request(*port, *number);
    }
    // The endpoints may still answer, so new flows wait.
    harness.advance(ms(1_000));
    assert_eq!(requests_in_progress(&harness), REQUEST_LIMIT);
    assert_eq!(harness.receive(opening_segment(90, 0)), []);
    // The longest interval between two retransmissions, 1.6 s, has passed.
    harness.advance(ms(1_000));
    let unanswered = harness.tables.tracked_flows.iter();
    let ports = 1..=u16::try_from(REQUEST_LIMIT).expect("few");
    let unanswered = unanswered.filter(|flow| ports.contains(&flow.addrs.caller.port()));
    assert_eq!(
        unanswered
            .filter(|flow| flow.unanswered_since.is_some())
            .count(),
        0
    );
    let actions = harness.receive(opening_segment(91, 0));
    assert!(
        matches!(actions[..], [RelayAction::Forward { .. }]),
        "{actions:?}"
    );
}

#[test]
fn request_that_is_still_retransmitted_stays_in_progress() {
    let mut harness = LaneHarness::new(&local_endpoints(2));
    harness.advance(TICK_INTERVAL);
    let port = 1;
    let number = harness.establish_flow(port);
    harness.advance(ms(500));
    for interval in [200, 400, 800, 1_600, 1_600, 1_600] {
        harness.send_request(port, number);
        harness.advance(ms(interval));
    }
    assert_eq!(requests_in_progress(&harness), 1);
    harness.send_request(port, number);
    harness.acknowledge_answer(port, number);
    assert_eq!(requests_in_progress(&harness), 0);
}
