//! Evacuated zones on a traffic lane: no new flow reaches them, open flows stay.

mod relaying;

use std::collections::HashMap;

use jacinthhinge::packet::{Body, Class, Load, Packet};
use jacinthhinge::prelude::*;
use jacinthhinge::segment::{RelayAction, SegmentKind};
use jacinthhinge::systems;
use jacinthhinge::tables::{Arrival, Outbox, cookie_of};

use relaying::{
    LaneHarness, endpoint, endpoints_in, evacuate, is_forwarded_to, ms, opening_segment, snapshot,
    two_zones, with_evacuated,
};

/// Service of the only route.
fn service() -> Id {
    Id::of("adserve")
}

fn zone_of(harness: &LaneHarness, number: u64) -> Name {
    let mut rows = harness.tables.endpoints.iter();
    let row = rows.find(|row| row.spec.relay_number == number);
    row.expect("an endpoint").spec.zone.clone()
}

/// Opens flows on these ports and returns how many went to each zone.
fn count_by_zone(harness: &mut LaneHarness, ports: std::ops::Range<u16>) -> HashMap<String, usize> {
    let mut counts = HashMap::new();
    for port in ports {
        let number = harness.establish_flow(port);
        *counts
            .entry(zone_of(harness, number).to_string())
            .or_default() += 1;
        harness.advance(ms(20));
    }
    counts
}

/// Guards against an order that does not reach the lane because nothing else has changed, and
/// against open flows that are cut off by it.
#[test]
fn order_keeps_new_flows_away_and_open_flows_in_place() {
    let (mut harness, flows) = two_zones();
    evacuate(&mut harness, &["a"]);
    for port in 200..260 {
        assert!(harness.open_flow(port) > 2, "port {port}");
    }
    for (port, number) in flows {
        assert!(is_forwarded_to(&harness.send_request(port, number), number));
    }
    let row = harness.tables.endpoints.iter().next().expect("a row");
    assert_eq!(row.flow_count, 4);
}

/// Guards against flows that stay away after the end of an order, and against orders that take
/// effect only once.
#[test]
fn flows_come_back_when_the_order_ends() {
    let mut harness = LaneHarness::new(&endpoints_in(&["a", "b"], 1));
    for round in 0..3 {
        evacuate(&mut harness, &["a"]);
        assert_eq!(harness.open_flow(100 + round), 2);
        evacuate(&mut harness, &[]);
        assert_eq!(harness.open_flow(200 + round), 1);
    }
}

/// Guards against the second choice, which allows endpoints that were tried before.
#[test]
fn copies_of_an_opening_keep_to_the_order() {
    let mut harness = LaneHarness::new(&endpoints_in(&["a", "b"], 1));
    let first = harness.open_flow(1);
    assert_eq!(first, 1);
    evacuate(&mut harness, &["a"]);
    for copies in 1..=2 {
        harness.advance(ms(200));
        let actions = harness.receive(opening_segment(1, copies));
        assert!(
            matches!(
                actions[..],
                [RelayAction::Forward {
                    endpoint_number: 2,
                    ..
                }]
            ),
            "{actions:?}"
        );
    }
}

/// Guards against trials of an endpoint that does not answer while its zone is evacuated.
#[test]
fn trials_keep_to_the_order() {
    let mut harness = LaneHarness::new(&endpoints_in(&["a", "b"], 2));
    let id = Id::of("i-01");
    let since = harness.now;
    let row = harness.tables.endpoints.get_mut(id).expect("a row");
    row.unanswered_since = Some(since);
    harness.advance(ms(1_100));
    assert_eq!(harness.open_flow(1), 1, "a trial");
    evacuate(&mut harness, &["a"]);
    for port in 2..40 {
        harness.advance(ms(200));
        let row = harness.tables.endpoints.get_mut(id).expect("a row");
        row.unanswered_since = Some(since);
        assert!(harness.open_flow(port) > 2);
    }
}

/// Guards against an order that is dropped, or that harms others, because no endpoint is in its
/// zone.
#[test]
fn order_for_an_unknown_zone_has_no_effect_until_the_zone_appears() {
    let mut harness = LaneHarness::new(&endpoints_in(&["a", "b"], 1));
    evacuate(&mut harness, &["c"]);
    assert_eq!(harness.open_flow(1), 1);
    let grown = snapshot(&[endpoint(1, "c"), endpoint(2, "b")]);
    harness.publish(&with_evacuated(&grown, &["c"]));
    for port in 2..20 {
        assert_eq!(harness.open_flow(port), 2);
    }
}

/// Guards against a second order that replaces the first.
#[test]
fn several_zones_are_evacuated_at_once() {
    let mut harness = LaneHarness::new(&endpoints_in(&["a", "b", "c"], 2));
    evacuate(&mut harness, &["a", "b"]);
    for port in 1..30 {
        assert!(harness.open_flow(port) > 4);
    }
    evacuate(&mut harness, &["b"]);
    assert!(harness.open_flow(40) < 3);
}

/// Guards against evacuated endpoints that are used because the others are draining, down or
/// without an answer.
#[test]
fn order_holds_while_half_of_the_other_endpoints_are_draining_or_down() {
    let mut endpoints = endpoints_in(&["a", "b", "c"], 4);
    for index in [4, 5] {
        endpoints[index].draining = true;
    }
    let mut harness = LaneHarness::new(&endpoints);
    evacuate(&mut harness, &["a"]);
    let now = harness.now;
    for name in ["i-09", "i-0a"] {
        let row = harness.tables.endpoints.get_mut(Id::of(name));
        let row = row.expect("a row");
        row.unanswered_since = Some(now);
        row.last_trial = now + Duration::from_mins(1);
    }
    harness.now += ms(200);
    for port in 1..60 {
        let number = harness.open_flow(port);
        assert!([7, 8, 11, 12].contains(&number), "endpoint {number}");
        let row = harness.tables.endpoints.iter_mut();
        for row in row.filter(|row| row.spec.relay_number == number) {
            row.unanswered_since = None;
        }
    }
}

/// Guards against a host of the evacuated zone that sends its flows to one zone alone, and
/// against one that prefers the endpoints listed next to the evacuated ones.
#[test]
fn load_of_an_evacuated_zone_spreads_over_all_others() {
    let mut harness = LaneHarness::new(&endpoints_in(&["a", "b", "c", "d"], 4));
    evacuate(&mut harness, &["a"]);
    let counts = count_by_zone(&mut harness, 1..241);
    assert!(!counts.contains_key("a"), "{counts:?}");
    for zone in ["b", "c", "d"] {
        assert!((60..=100).contains(&counts[zone]), "{counts:?}");
    }
}

/// Guards against a spread in equal parts over zones of unequal capacity.
#[test]
fn load_of_an_evacuated_zone_follows_the_free_capacity() {
    let mut endpoints = endpoints_in(&["a", "b", "c"], 4);
    endpoints.truncate(10);
    let mut harness = LaneHarness::new(&endpoints);
    evacuate(&mut harness, &["a"]);
    let counts = count_by_zone(&mut harness, 1..241);
    assert!(counts["b"] > 3 * counts["c"] / 2, "{counts:?}");
    assert!(counts["c"] > 50, "{counts:?}");
}

/// Guards against the first endpoint after the evacuated ones, which gets their share of the
/// flows while all are idle.
#[test]
fn idle_endpoints_share_the_flows_of_an_evacuated_zone() {
    let mut harness = LaneHarness::new(&endpoints_in(&["a", "b", "c"], 4));
    evacuate(&mut harness, &["a"]);
    let mut counts = HashMap::<u64, u32>::new();
    for port in 1..400 {
        let number = harness.open_flow(port);
        *counts.entry(number).or_default() += 1;
        let reset = relaying::segment(
            port,
            SegmentKind::Reset,
            2,
            0,
            cookie_of(Id::of(&format!("i-{number:02x}"))),
            0,
        );
        harness.receive(reset);
        for row in harness.tables.endpoints.iter_mut() {
            row.unanswered_since = None;
        }
        harness.advance(Duration::from_secs(3));
    }
    let most = counts.values().max().copied().unwrap_or_default();
    assert_eq!(counts.len(), 8, "{counts:?}");
    assert!(most < 85, "{counts:?}");
}

/// Guards against the project's own packets: their flows and requests are placed by load
/// reports, in code of their own.
#[test]
fn own_packets_keep_to_the_order() {
    let mut endpoints = endpoints_in(&["a", "b"], 2);
    for endpoint in &mut endpoints {
        endpoint.relay_number = 0;
    }
    let mut harness = LaneHarness::new(&endpoints);
    let now = harness.now;
    for row in harness.tables.endpoints.iter_mut() {
        row.load = Load {
            incarnation: 1,
            ..Load::default()
        };
        row.last_heard = now;
    }
    let policies = Arc::clone(&harness.tables.policies);
    let place = |harness: &mut LaneHarness| {
        let tables = &mut harness.tables;
        let flow = (policies.place_flow)(tables, service(), &[], now);
        let request = (policies.place_request)(tables, service(), Class::Lookup, now);
        (flow, request)
    };
    let is_in = |zone: &[Id], id: Option<Id>| id.is_some_and(|id| zone.contains(&id));
    let (zone_a, zone_b) = (
        [Id::of("i-01"), Id::of("i-02")],
        [Id::of("i-03"), Id::of("i-04")],
    );
    let (flow, request) = place(&mut harness);
    assert!(is_in(&zone_a, flow) && is_in(&zone_a, request));
    evacuate(&mut harness, &["a"]);
    for _ in 0..30 {
        let (flow, request) = place(&mut harness);
        assert!(is_in(&zone_b, flow) && is_in(&zone_b, request));
    }
    evacuate(&mut harness, &["a", "b"]);
    assert_eq!(place(&mut harness), (None, None));
}

/// Returns where the open packets among these actions of a lane went.
fn opened_at(out: &Outbox) -> Vec<SocketAddr> {
    let opens = out.datagrams.iter();
    let opens = opens.filter(|datagram| datagram.packet.body == Body::Open);
    opens.map(|datagram| datagram.to).collect()
}

/// Guards against an open packet that is sent again, until its time is over, to an endpoint that
/// has been evacuated meanwhile.
#[test]
fn open_packet_is_not_resent_into_an_evacuated_zone() {
    let mut endpoints = endpoints_in(&["a", "b"], 1);
    for endpoint in &mut endpoints {
        endpoint.relay_number = 0;
    }
    let addrs = [endpoints[0].addr, endpoints[1].addr];
    let mut harness = LaneHarness::new(&endpoints);
    let mut alone = (*harness.tables.snapshot).clone();
    alone.hosts = Arc::from([Host {
        id: Id::of("sv-a-1"),
        name: "sv-a-1".into(),
        incarnation: 1,
        availability_zone: "a".into(),
        lanes: std::iter::once(harness.tables.home.addr).collect(),
        leaving: false,
    }]);
    harness.publish(&Arc::new(alone));
    for row in harness.tables.endpoints.iter_mut() {
        row.load.incarnation = 1;
    }
    let packet = Packet {
        service: service(),
        caller: relaying::caller_addr(1),
        flow: 1,
        hops: 0,
        ticket: Bytes::new(),
        body: Body::Open,
    };
    let mut out = Outbox::default();
    harness
        .tables
        .inbox
        .push(Arrival::new(packet.caller, packet));
    systems::run(&mut harness.tables, harness.now, &mut out);
    assert_eq!(opened_at(&out), [addrs[0]]);
    evacuate(&mut harness, &["a"]);
    let mut out = Outbox::default();
    for _ in 0..10 {
        harness.now += ms(50);
        systems::run_timers(&mut harness.tables, harness.now, &mut out);
    }
    let sent = opened_at(&out);
    assert!(!sent.is_empty() && !sent.contains(&addrs[0]), "{sent:?}");
}
