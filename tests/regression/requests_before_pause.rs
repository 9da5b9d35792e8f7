//! Guards against requests that wait although their service is free: a host was paused while
//! requests were in progress, and routers moved their flows. Copies of the requests, which the
//! host read together after the pause, looked like retransmissions, so that the requests went on
//! counting as in progress. New ones waited for 1.4 s and were dropped.

use jacinthhinge::prelude::*;
use jacinthhinge::segment::RelayAction;

use super::relaying::{
    LaneHarness, TICK_INTERVAL, establish_evenly, local_endpoints, ms, opening_segment,
};

#[test]
fn requests_from_before_a_pause_do_not_use_up_the_limit() {
    let mut harness = LaneHarness::new(&local_endpoints(2));
    harness.advance(TICK_INTERVAL);
    let flows = establish_evenly(&mut harness, 2, 9);
    harness.advance(ms(500));
    for (port, number) in &flows {
        harness.send_request(*port, *number);
    }
    let service = Id::of("adserve");
    assert_eq!(harness.tables.endpoints.own_requests(service), 18);
    harness.now += ms(2_900);
    for (port, number) in &flows {
        // The copies of the callers waited in the socket.
        for _ in 0..3 {
            harness.send_request(*port, *number);
        }
    }
    assert_eq!(harness.tables.endpoints.own_requests(service), 0);
    let actions = harness.receive(opening_segment(90, 0));
    assert!(
        matches!(actions[..], [RelayAction::Forward { .. }]),
        "{actions:?}"
    );
}
