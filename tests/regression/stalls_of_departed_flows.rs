//! Guards against resets by outdated stalls: flows to another zone passed through a host while
//! their own host was stopped, retransmitted data and moved back. Their stalls still counted
//! eight seconds later, when the zone had missed enough answers at this host, and flows that
//! had been answered long before were reset.

use super::relaying::{data_segment, is_reset, ms, two_zones};

#[test]
fn retransmissions_of_departed_flows_do_not_count_later() {
    let (mut harness, flows) = two_zones();
    let (own, foreign): (Vec<_>, Vec<_>) = flows.into_iter().partition(|flow| flow.1 <= 2);
    let send_data = |harness: &mut super::relaying::LaneHarness, round: u32| {
        for (port, number) in &own {
            for at in 0..4 {
                harness.receive(data_segment(*port, *number, 1, 0, 600 + round * 20 + at));
            }
        }
    };
    harness.advance(ms(150));
    for (port, number) in &foreign {
        harness.send_request(*port, *number);
    }
    harness.advance(ms(160));
    let mut sent = Vec::new();
    for (port, number) in &foreign {
        sent.extend(harness.send_request(*port, *number));
    }
    // The own zone sends nothing for three seconds, so the lane judges no zone; the foreign
    // flows pass through another host from now on.
    sent.extend(harness.advance(ms(3_000)));
    for round in 0..20 {
        send_data(&mut harness, round);
        sent.extend(harness.advance(ms(100)));
    }
    for (port, _) in &foreign {
        assert!(!sent.iter().any(|relay| is_reset(relay, *port)), "{port}");
    }
}
