//! Evacuated zones and the limits of services: what is left of a service's capacity, which
//! requests wait for it, and which openings are refused at once.

mod relaying;

use jacinthhinge::prelude::*;

use relaying::{
    LaneHarness, data_segment, endpoints_in, evacuate, is_forwarded_to, is_reset, ms,
    opening_segment, two_zones,
};

/// Service of the only route.
fn service() -> Id {
    Id::of("adserve")
}

/// Guards against callers that wait for an answer which no endpoint may give: the service is at
/// its limit, so that openings wait in the queue.
#[test]
fn evacuation_of_all_zones_refuses_at_once() {
    let (mut harness, flows) = two_zones();
    for (port, number) in &flows {
        harness.send_request(*port, *number);
    }
    harness.advance(ms(50));
    let mut port = 300;
    while harness.tables.held_requests.is_empty() {
        assert!(port < 400, "no opening waits");
        harness.receive(opening_segment(port, 0));
        port += 1;
    }
    harness.advance(ms(50));
    evacuate(&mut harness, &["a", "b"]);
    let actions = harness.advance(ms(50));
    assert!(
        is_reset(&actions[0], port - 1),
        "the opening that waited: {actions:?}"
    );
    let actions = harness.receive(opening_segment(500, 0));
    assert!(is_reset(&actions[0], 500), "{actions:?}");
    assert_eq!(harness.tables.counters.refused_opens, 2);
    for (port, number) in flows {
        let actions = harness.receive(data_segment(port, number, 101, 100, 1_500));
        assert!(is_forwarded_to(&actions, number), "an open flow waits");
    }
}

/// Guards against a limit that counts slots which no new flow may use.
#[test]
fn evacuated_endpoints_are_no_capacity() {
    let mut harness = LaneHarness::new(&endpoints_in(&["a", "b"], 2));
    harness.advance(ms(50));
    let limit = |harness: &LaneHarness| {
        harness
            .tables
            .held_requests
            .limit(service())
            .map(|limit| limit.requests)
    };
    let before = limit(&harness).expect("a limit");
    evacuate(&mut harness, &["a"]);
    harness.advance(ms(50));
    let after = limit(&harness).expect("a limit");
    assert!((after - before / 2.0).abs() < 0.01, "{before} to {after}");
    assert_eq!(harness.tables.endpoints.total_slots(service()), 6);
    evacuate(&mut harness, &["a", "b"]);
    harness.advance(ms(50));
    assert_eq!(limit(&harness), Some(1.0));
    assert_eq!(harness.tables.endpoints.total_slots(service()), 0);
    evacuate(&mut harness, &[]);
    assert_eq!(harness.tables.endpoints.total_slots(service()), 12);
}

/// Guards against requests on open flows of the evacuated zone that use up the limit of the
/// remaining zones, also across the start and the end of the order.
#[test]
fn requests_on_open_flows_do_not_use_up_the_remaining_capacity() {
    let (mut harness, flows) = two_zones();
    for (port, number) in &flows {
        harness.send_request(*port, *number);
    }
    let running = harness.tables.endpoints.own_requests(service());
    assert_eq!(running, 16);
    evacuate(&mut harness, &["a"]);
    assert_eq!(harness.tables.endpoints.own_requests(service()), 8);
    for (port, number) in &flows {
        harness.now += ms(5);
        harness.acknowledge_answer(*port, *number);
    }
    assert_eq!(harness.tables.endpoints.own_requests(service()), 0);
    evacuate(&mut harness, &[]);
    assert_eq!(harness.tables.endpoints.own_requests(service()), 0);
}

/// Fills a service up to its limit with requests on flows of endpoint `number`.
fn fill_up(harness: &mut LaneHarness, number: u64) {
    harness.advance(ms(50));
    for port in 1_000..1_100 {
        let actions = harness.receive(data_segment(port, number, 1, 100, 500));
        if actions.is_empty() {
            return;
        }
        assert!(is_forwarded_to(&actions, number));
    }
    panic!("no request waits");
}

/// Guards against requests on open flows of the evacuated zone that wait although their endpoint
/// is free, because the endpoints of the other zones are busy.
#[test]
fn requests_on_open_flows_do_not_wait_for_other_zones() {
    let (mut harness, flows) = two_zones();
    evacuate(&mut harness, &["a"]);
    fill_up(&mut harness, 3);
    for (port, number) in flows.iter().filter(|flow| flow.1 < 3) {
        let actions = harness.send_request(*port, *number);
        assert!(is_forwarded_to(&actions, *number), "{actions:?}");
    }
}

/// Guards against openings that wait in the queue of a busy service although their refusal is
/// certain: the remaining endpoints drain.
#[test]
fn opening_is_refused_at_once_while_the_rest_drains() {
    let mut endpoints = endpoints_in(&["a", "b"], 2);
    for endpoint in &mut endpoints[2..] {
        endpoint.draining = true;
    }
    let mut harness = LaneHarness::new(&endpoints);
    fill_up(&mut harness, 3);
    assert_eq!(harness.receive(opening_segment(1, 0)), [], "it waits");
    evacuate(&mut harness, &["a"]);
    let actions = harness.advance(ms(50));
    assert!(is_reset(&actions[0], 1), "{actions:?}");
    let actions = harness.receive(opening_segment(2, 0));
    assert!(is_reset(&actions[0], 2), "{actions:?}");
}
