//! Guards against resets of flows of live endpoints: under a shortage of capacity, endpoints with
//! full queues answered so late that flows were retransmitted twice, and hosts declared them down.

use jacinthhinge::prelude::*;
use jacinthhinge::report::{HostReport, LaneReport, ServiceReport};
use jacinthhinge::segment::RelayAction;

use super::relaying::{LaneHarness, data_segment, is_reset, local_endpoints, ms};

/// Retransmits two requests at endpoint 1 twice while endpoint 2 answers; returns the actions.
fn retransmit_twice(harness: &mut LaneHarness) -> Vec<RelayAction> {
    for port in [1, 2, 3] {
        let number = if port == 3 { 2 } else { 1 };
        harness.receive(data_segment(port, number, 0, 0, 400));
        harness.receive(data_segment(port, number, 0, 0, 500));
    }
    let mut actions = Vec::new();
    for (wait, answer) in [(205, 600), (405, 700), (100, 800)] {
        for port in [1, 2] {
            actions.extend(harness.send_request(port, 1));
        }
        actions.extend(harness.advance(ms(wait)));
        harness.receive(data_segment(3, 2, 1, 0, answer));
        actions.extend(harness.advance(ms(50)));
    }
    actions
}

/// Lets a request wait for capacity at this lane and at another host.
fn begin_shortage(harness: &mut LaneHarness) {
    let (service, now) = (Id::of("adserve"), harness.now);
    let row = ServiceReport {
        service,
        waiting: 1,
        ..ServiceReport::default()
    };
    harness.publish_reports(vec![HostReport {
        host: Id::of("sv-a-2"),
        incarnation: 1,
        zone: "a".into(),
        sent_at: jacinthhinge::control::message::Timestamp(1),
        taken_at: now,
        report: Arc::new(LaneReport {
            services: vec![row],
            ..LaneReport::default()
        }),
    }]);
    harness.tables.demand.note_wait(service, now);
}

#[test]
fn endpoint_with_a_full_queue_is_not_declared_down() {
    let mut harness = LaneHarness::new(&local_endpoints(2));
    begin_shortage(&mut harness);
    let actions = retransmit_twice(&mut harness);
    assert!(!actions.iter().any(|action| is_reset(action, 1)));
    assert_eq!(harness.tables.counters.failed_endpoints, 0);
}

#[test]
fn silent_endpoint_is_declared_down_without_a_shortage() {
    let mut harness = LaneHarness::new(&local_endpoints(2));
    let actions = retransmit_twice(&mut harness);
    assert!(actions.iter().any(|action| is_reset(action, 1)));
    assert_eq!(harness.tables.counters.failed_endpoints, 1);
}
