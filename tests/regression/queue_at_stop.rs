//! Requests that a host has taken and that wait for their service are lost when the host stops.

use jacinthhinge::segment::RelayAction;
use jacinthhinge::systems;
use jacinthhinge::tables::Outbox;

use crate::relaying::{LaneHarness, endpoint, ms, opening_segment, snapshot};

/// Returns a lane with one endpoint in which many openings wait, and their number.
fn lane_with_queue() -> (LaneHarness, usize) {
    let mut only = endpoint(1, "a");
    only.slots = 1;
    let mut harness = LaneHarness::new(&[only]);
    harness.advance(ms(100));
    for port in 0..50 {
        harness.receive(opening_segment(port, 0));
    }
    let waiting = harness.tables.held_requests.len();
    assert!(waiting > 10, "{waiting} wait");
    (harness, waiting)
}

#[test]
fn waiting_requests_are_passed_on_when_the_lane_stops() {
    let (mut harness, waiting) = lane_with_queue();
    let mut out = Outbox::default();
    systems::finish(&mut harness.tables, harness.now, &mut out);
    let forwarded = out.relay_actions.iter();
    let forwarded = forwarded.filter(|action| matches!(action, RelayAction::Forward { .. }));
    assert_eq!(forwarded.count(), waiting);
    assert!(harness.tables.held_requests.is_empty());
}

#[test]
fn waiting_requests_are_refused_when_no_endpoint_is_left() {
    let (mut harness, waiting) = lane_with_queue();
    harness.publish(&snapshot(&[]));
    let mut out = Outbox::default();
    systems::finish(&mut harness.tables, harness.now, &mut out);
    let refused = out.relay_actions.iter();
    let refused = refused.filter(|action| matches!(action, RelayAction::Reset { .. }));
    assert_eq!(refused.count(), waiting);
}

#[test]
fn host_with_waiting_requests_has_work_in_flight() {
    let (harness, waiting) = lane_with_queue();
    let later = harness.now + ms(1_300);
    assert!(harness.tables.in_flight(later) >= waiting);
}
