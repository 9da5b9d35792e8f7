//! Guards against resets of healthy flows: two endpoints of one release exited together while
//! the lane received nothing else from their zone for a quarter of a second, as few of its
//! flows go there. The lane took the whole zone to be down and reset flows of endpoints that
//! were still up.

use jacinthhinge::segment::RelayAction;

use super::relaying::{LaneHarness, data_segment, endpoint, is_reset, ms};

#[test]
fn endpoints_that_exit_together_do_not_mark_their_zone_as_down() {
    let endpoints: Vec<_> = (1..=6)
        .map(|number| endpoint(number, if number == 1 { "a" } else { "b" }))
        .collect();
    let mut harness = LaneHarness::new(&endpoints);
    for port in 1..=24_u16 {
        let number = u64::from(port % 6) + 1;
        harness.receive(data_segment(port, number, 0, 0, 400));
        harness.receive(data_segment(port, number, 0, 0, 500));
    }
    let has_exited = |port: &u16| [2, 3].contains(&(port % 6 + 1));
    for port in (1..=24_u16).filter(has_exited) {
        harness.send_request(port, u64::from(port % 6) + 1);
    }
    harness.advance(ms(205));
    harness.receive(data_segment(6, 1, 1, 0, 600));
    for port in (1..=24_u16).filter(has_exited) {
        harness.send_request(port, u64::from(port % 6) + 1);
    }
    harness.advance(ms(100));
    // An endpoint that is still up runs a long request, which is retransmitted once.
    let long_request = 3;
    harness.send_request(long_request, 4);
    let mut sent: Vec<RelayAction> = harness.advance(ms(205));
    sent.extend(harness.send_request(long_request, 4));
    sent.extend(harness.advance(ms(100)));
    assert!(!sent.iter().any(|relay| is_reset(relay, long_request)));
}
