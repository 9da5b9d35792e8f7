//! Evacuation orders on their way from the store to the snapshots of all hosts.

mod zone;

use std::sync::{Arc as StdArc, Mutex};

use jacinthhinge::platform::{ZoneRegions, service_builder};
use jacinthhinge::prelude::*;

use zone::{LATENCY, Node, Zone, peer_addr};

const SECOND: Duration = Duration::from_secs(1);

/// Time in which an order must be in force on all connected hosts.
const APPLY_LIMIT: Duration = Duration::from_secs(5);

/// Time in which it must be in force after the store was unstable.
const UNSTABLE_LIMIT: Duration = Duration::from_secs(20);

const ORDER: &str = "op/evacuate/place-1";

/// Returns a zone of hosts over three availability zones that use the platform's values.
fn started(count: usize) -> Zone {
    let mut zone = Zone::new();
    zone.read_pacing = jacinthhinge::control::ReadPacing::frequent();
    zone.config_builder = service_builder(ZoneRegions::new("place-0", "is-sudvestur"));
    zone.az_count = 3;
    zone.seeds = (0..count).map(peer_addr).collect();
    (0..count).for_each(|index| zone.start(index));
    zone.platform.up = true;
    let desired = r#"{"Version":1,"Limits":{"IdleTimeoutMs":15000},
        "Routes":[{"Name":"r","Host":"198.18.0.1","Prefix":"/443/","Type":"safe",
                   "TargetLatencyMs":250,"Priority":2,"Service":"adserve"}],
        "Services":[{"Name":"adserve","MaxConns":2000}]}"#;
    zone.set_value("op/config", Some(desired));
    zone.run_for(10 * SECOND);
    zone
}

fn is_evacuated(node: &Node) -> bool {
    node.snapshot.evacuated_zones.contains("place-1")
}

/// Asserts that the order is in force, or has ended, on all hosts within `limit`.
fn assert_in_force(zone: &mut Zone, stands: bool, limit: Duration) {
    let elapsed = zone.run_until_condition(limit, |zone| {
        zone.all_nodes(|node| is_evacuated(node) == stands)
    });
    assert!(elapsed.is_some(), "not {stands} on all hosts in {limit:?}");
}

/// Guards against an order that takes longer than 5 s, and against one that is not lifted.
#[test]
fn order_and_return_reach_all_hosts_in_sequence() {
    let mut zone = started(9);
    for _ in 0..3 {
        zone.set_value(ORDER, Some("{}"));
        assert_in_force(&mut zone, true, APPLY_LIMIT);
        zone.set_value(ORDER, None);
        assert_in_force(&mut zone, false, APPLY_LIMIT);
    }
}

/// Guards against a second order that replaces the first, and against an order that is lost with
/// its unreadable body.
#[test]
fn several_orders_stand_at_once_whatever_their_bodies() {
    let mut zone = started(6);
    zone.set_value("op/evacuate/place-0", Some("{"));
    zone.set_value(
        "op/evacuate/nowhere",
        Some("\"3 bytes that are not UTF-8\""),
    );
    zone.set_value(ORDER, Some(""));
    zone.run_for(APPLY_LIMIT);
    let has_all = |node: &Node| {
        let zones = node.snapshot.evacuated_zones.iter();
        zones
            .map(|zone| &**zone)
            .eq(["nowhere", "place-0", "place-1"])
    };
    assert!(zone.all_nodes(has_all));
    assert!(zone.all_nodes(|node| node.snapshot.routes.len() == 1));
}

/// Guards against an order that is lost because the store was away when it was given, and against
/// one that ends because the store is away.
#[test]
fn order_during_an_outage_of_the_store() {
    let mut zone = started(6);
    zone.platform.up = false;
    zone.run_for(4 * SECOND);
    zone.set_value(ORDER, Some("{}"));
    zone.run_for(10 * SECOND);
    assert!(zone.all_nodes(|node| !is_evacuated(node)));
    zone.platform.up = true;
    assert_in_force(&mut zone, true, UNSTABLE_LIMIT);
    zone.platform.up = false;
    zone.run_for(60 * SECOND);
    assert!(zone.all_nodes(is_evacuated));
}

/// Guards against new flows in the zone because the order is missing right after an outage, when
/// its writer may only not have written it again.
#[test]
fn removal_of_an_order_is_held_back_after_an_outage() {
    let mut zone = started(6);
    zone.set_value(ORDER, Some("{}"));
    assert_in_force(&mut zone, true, APPLY_LIMIT);
    zone.platform.up = false;
    zone.run_for(4 * SECOND);
    zone.set_value(ORDER, None);
    zone.platform.up = true;
    zone.run_for(2 * SECOND);
    assert!(zone.all_nodes(is_evacuated));
    assert_in_force(&mut zone, false, UNSTABLE_LIMIT);
}

/// Guards against a host that starts while an order stands and sends flows to the zone before it
/// knows the order, with the store up and with the store down.
#[test]
fn host_that_starts_has_the_order_with_its_first_routes() {
    for is_store_up in [true, false] {
        let mut zone = started(6);
        zone.set_value(ORDER, Some("{}"));
        assert_in_force(&mut zone, true, APPLY_LIMIT);
        zone.kill(4);
        zone.run_for(5 * SECOND);
        zone.platform.up = is_store_up;
        let early = StdArc::new(Mutex::new(0));
        let counter = StdArc::clone(&early);
        zone.observer = Box::new(move |_, node| {
            let has_routes = node.index == 4 && !node.snapshot.routes.is_empty();
            *counter.lock().expect("a counter") += u32::from(has_routes && !is_evacuated(node));
        });
        zone.start(4);
        zone.run_for(10 * SECOND);
        assert!(is_evacuated(&zone.nodes[&4]), "store up: {is_store_up}");
        assert_eq!(*early.lock().expect("a counter"), 0);
    }
}

/// Guards against hosts that miss an order because the store refuses them alone.
#[test]
fn host_that_is_cut_off_from_the_store_gets_the_order_from_others() {
    let mut zone = started(6);
    for index in [0, 1] {
        zone.nodes.get_mut(&index).expect("a host").reaches_platform = false;
    }
    zone.run_for(5 * SECOND);
    zone.set_value(ORDER, Some("{}"));
    assert_in_force(&mut zone, true, APPLY_LIMIT);
    zone.set_value(ORDER, None);
    assert_in_force(&mut zone, false, UNSTABLE_LIMIT);
}

/// Guards against a host that forgets an order while it is cut off from the store and from all
/// other hosts, and against one that keeps it after its return.
#[test]
fn host_that_is_cut_off_from_everything_keeps_what_it_has() {
    let mut zone = started(6);
    zone.set_value(ORDER, Some("{}"));
    assert_in_force(&mut zone, true, APPLY_LIMIT);
    zone.nodes.get_mut(&0).expect("a host").reaches_platform = false;
    zone.network.link_model = Box::new(|_, from, to| match (from, to) {
        (0, _) | (_, 0) => vec![],
        _ => vec![LATENCY],
    });
    zone.run_for(SECOND);
    zone.set_value(ORDER, None);
    zone.run_for(60 * SECOND);
    assert!(is_evacuated(&zone.nodes[&0]));
    assert!(!is_evacuated(&zone.nodes[&1]));
    zone.nodes.get_mut(&0).expect("a host").reaches_platform = true;
    zone.network.link_model = Box::new(|_, _, _| vec![LATENCY]);
    assert_in_force(&mut zone, false, UNSTABLE_LIMIT);
}

/// Guards against a wrong age in metrics and log lines, by which operators find orders that were
/// forgotten.
#[test]
fn age_of_the_oldest_order_is_known() {
    let mut zone = started(3);
    let age = |zone: &Zone| zone.nodes[&0].control.tables().evacuations.oldest_age;
    assert_eq!(age(&zone), Duration::ZERO);
    zone.set_value(ORDER, Some("{}"));
    assert_in_force(&mut zone, true, APPLY_LIMIT);
    zone.run_for(60 * SECOND);
    zone.set_value("op/evacuate/place-2", Some("{}"));
    zone.run_for(30 * SECOND);
    assert!(
        (85 * SECOND..=95 * SECOND).contains(&age(&zone)),
        "{:?}",
        age(&zone)
    );
    let orders = &zone.nodes[&0].control.tables().evacuations.orders;
    assert_eq!(orders.len(), 2);
    zone.set_value(ORDER, None);
    zone.run_for(APPLY_LIMIT);
    assert!(
        (30 * SECOND..=40 * SECOND).contains(&age(&zone)),
        "{:?}",
        age(&zone)
    );
}
