//! Guards against resets of healthy flows: a lane with few flows to a zone received nothing
//! from it for a third of a second, since one endpoint was unresponsive and two ran long
//! requests, each retransmitted once. The lane took the zone to be unreachable and reset flows
//! of the healthy endpoints.

use super::relaying::{LaneHarness, data_segment, endpoint, is_reset, ms};

#[test]
fn long_requests_do_not_mark_a_quiet_zone_as_down() {
    let endpoints: Vec<_> = (1..=6)
        .map(|number| endpoint(number, if number <= 3 { "a" } else { "b" }))
        .collect();
    let mut harness = LaneHarness::new(&endpoints);
    let quiet_flows = [(11, 4), (12, 5), (13, 6)];
    for (port, number) in quiet_flows {
        // Thirteen answers in the preceding second, as in the recorded trace.
        for answer in 0..5 {
            harness.receive(data_segment(port, number, 0, 0, 400 + answer * 20));
        }
        harness.receive(data_segment(port, number, 0, 0, 500));
    }
    // Endpoints of the own zone answer all the time.
    let answer_from_own_zone = |harness: &mut LaneHarness, acked: u32| {
        for port in 1..=9_u16 {
            harness.receive(data_segment(port, u64::from(port % 3) + 1, 0, 0, acked));
        }
    };
    answer_from_own_zone(&mut harness, 400);
    for (port, number) in quiet_flows {
        harness.send_request(port, number);
    }
    answer_from_own_zone(&mut harness, 500);
    harness.advance(ms(205));
    answer_from_own_zone(&mut harness, 600);
    let mut sent = Vec::new();
    for (port, number) in quiet_flows {
        sent.extend(harness.send_request(port, number));
    }
    sent.extend(harness.advance(ms(100)));
    for (port, _) in quiet_flows {
        assert!(!sent.iter().any(|relay| is_reset(relay, port)), "{port}");
    }
}
