//! Guards against resets of healthy flows: a host used two or three endpoints of a zone. One of
//! them drained or crashed while the others ran requests of 400 to 500 ms, which their callers
//! retransmitted once. The host took the zone to be partitioned and reset the flows of the
//! endpoints that were alive.

use jacinthhinge::segment::RelayAction;

use super::relaying::{LaneHarness, data_segment, endpoint, is_reset, ms, snapshot};

/// Caller port and endpoint of a flow to the own zone, whose endpoint answers all the time.
const OWN_FLOW: (u16, u64) = (1, 1);

/// Returns a lane with two endpoints of the own zone, `remote` endpoints of another one, numbered
/// from 3, and the remote flows, two for each endpoint. All endpoints have answered a lot.
fn lane_with_remote_endpoints(remote: u8) -> (LaneHarness, Vec<(u16, u64)>) {
    let endpoints: Vec<_> = (1..=2 + remote)
        .map(|number| endpoint(number, if number <= 2 { "a" } else { "b" }))
        .collect();
    let mut harness = LaneHarness::new(&endpoints);
    let flows: Vec<(u16, u64)> = (0..u16::from(remote) * 2)
        .map(|at| (100 + at, u64::from(at / 2) + 3))
        .collect();
    for (port, number) in flows.iter().chain(&[OWN_FLOW]) {
        for answer in 0..10 {
            harness.receive(data_segment(*port, *number, 0, 0, 400 + answer * 10));
        }
        harness.receive(data_segment(*port, *number, 0, 0, 500));
    }
    (harness, flows)
}

/// Advances the clock while the own zone goes on answering.
fn advance_with_answers(
    harness: &mut LaneHarness,
    millis: u64,
    acked: &mut u32,
) -> Vec<RelayAction> {
    let mut sent = Vec::new();
    for _ in 0..millis / 50 {
        *acked += 10;
        harness.receive(data_segment(OWN_FLOW.0, OWN_FLOW.1, 0, 0, *acked));
        sent.extend(harness.advance(ms(50)));
    }
    sent
}

fn send_requests(harness: &mut LaneHarness, flows: &[(u16, u64)]) -> Vec<RelayAction> {
    let requests = flows.iter();
    requests
        .flat_map(|(port, number)| harness.send_request(*port, *number))
        .collect()
}

fn assert_no_reset(sent: &[RelayAction], flows: &[(u16, u64)]) {
    for (port, _) in flows {
        assert!(!sent.iter().any(|action| is_reset(action, *port)), "{port}");
    }
}

#[test]
fn long_requests_beside_a_draining_endpoint_are_not_reset() {
    let (mut harness, flows) = lane_with_remote_endpoints(3);
    let mut acked = 600;
    let mut draining: Vec<_> = harness
        .tables
        .endpoints
        .iter()
        .map(|row| row.spec.clone())
        .collect();
    draining[4].draining = true;
    harness.publish(&snapshot(&draining));
    let (busy, _idle): (Vec<_>, Vec<_>) = flows.into_iter().partition(|flow| flow.1 != 5);
    let mut sent = send_requests(&mut harness, &busy);
    sent.extend(advance_with_answers(&mut harness, 200, &mut acked));
    sent.extend(send_requests(&mut harness, &busy));
    sent.extend(advance_with_answers(&mut harness, 250, &mut acked));
    // The answers arrive after 450 ms.
    for (port, number) in &busy {
        harness.acknowledge_answer(*port, *number);
    }
    sent.extend(advance_with_answers(&mut harness, 500, &mut acked));
    assert_no_reset(&sent, &busy);
    assert!(
        harness
            .tables
            .endpoints
            .iter()
            .all(|row| row.down.is_none())
    );
}

#[test]
fn long_request_beside_a_crashed_endpoint_is_not_reset() {
    let (mut harness, flows) = lane_with_remote_endpoints(2);
    let mut acked = 600;
    let (crashed, alive): (Vec<_>, Vec<_>) = flows.into_iter().partition(|flow| flow.1 == 3);
    let long_request = &alive[..1];
    let mut sent = send_requests(&mut harness, &crashed);
    sent.extend(advance_with_answers(&mut harness, 100, &mut acked));
    sent.extend(send_requests(&mut harness, long_request));
    sent.extend(advance_with_answers(&mut harness, 100, &mut acked));
    sent.extend(send_requests(&mut harness, &crashed));
    sent.extend(advance_with_answers(&mut harness, 100, &mut acked));
    sent.extend(send_requests(&mut harness, long_request));
    sent.extend(advance_with_answers(&mut harness, 300, &mut acked));
    // The second retransmission, 600 ms after the request, shows that the endpoint is down.
    sent.extend(send_requests(&mut harness, &crashed));
    sent.extend(advance_with_answers(&mut harness, 100, &mut acked));
    assert_no_reset(&sent, long_request);
    for (port, _) in &crashed {
        assert!(sent.iter().any(|action| is_reset(action, *port)), "{port}");
    }
    harness.acknowledge_answer(long_request[0].0, long_request[0].1);
    let up = |number| {
        let mut rows = harness.tables.endpoints.iter();
        rows.any(|row| row.spec.relay_number == number && row.down.is_none())
    };
    assert!(up(4), "an answer shows that the endpoint is up");
    assert!(!up(3), "the other endpoint stays down on its own evidence");
}
