//! A host that has just read all values knows nothing of what was removed before. A host that is
//! behind and fetches the changes from it keeps a server or a key that was withdrawn.

use jacinthhinge::prelude::*;

use crate::zone::{LATENCY, Node, Zone};

const SECOND: Duration = Duration::from_secs(1);

/// Time in which a host that can reach another one has what that one has.
const SYNC_LIMIT: Duration = Duration::from_secs(6);

fn has_value(node: &Node) -> bool {
    let value = node.control.tables().values.values.get("withdrawn");
    value.is_some_and(|value| value.json.is_some())
}

/// Cuts a host off from the platform and from all others.
fn isolate(zone: &mut Zone, host: usize) {
    zone.nodes.get_mut(&host).expect("host").reaches_platform = false;
    zone.network.link_model = Box::new(move |_, from, to| {
        if from == host || to == host {
            vec![]
        } else {
            vec![LATENCY]
        }
    });
}

/// Lets a host that is cut off exchange messages with one other host only.
fn connect(zone: &mut Zone, host: usize, other: usize) {
    zone.network.link_model = Box::new(move |_, from, to| {
        let is_cut = (from == host) != (to == host) && from != other && to != other;
        if is_cut { vec![] } else { vec![LATENCY] }
    });
}

fn zone_with_withdrawn_value(host_count: usize) -> Zone {
    let mut zone = Zone::with_frequent_reads(host_count);
    zone.set_value("withdrawn", Some("1"));
    zone.run_for(5 * SECOND);
    assert!(zone.all_nodes(has_value));
    zone
}

#[test]
fn value_removed_before_a_restart_is_removed_from_a_host_that_was_cut_off() {
    let mut zone = zone_with_withdrawn_value(4);
    isolate(&mut zone, 3);
    zone.set_value("withdrawn", None);
    zone.set_value("fleet", Some("2"));
    zone.run_for(5 * SECOND);
    zone.kill(0);
    zone.start(0);
    zone.run_for(5 * SECOND);
    connect(&mut zone, 3, 0);
    let is_synced = |zone: &Zone| zone.nodes[&3].snapshot.revision == 4.into();
    let elapsed = zone.run_until_condition(SYNC_LIMIT, is_synced);
    assert!(elapsed.is_some(), "the newer revision is fetched");
    let elapsed = zone.run_until_condition(SYNC_LIMIT, |zone| zone.all_nodes(|n| !has_value(n)));
    assert!(elapsed.is_some(), "the removed value is still in use");
}

#[test]
fn value_removed_during_a_gap_in_the_history_is_removed_from_a_host_that_was_cut_off() {
    let mut zone = zone_with_withdrawn_value(4);
    // Hosts 0 to 2 miss the last change that host 3 sees, and read everything later.
    zone.set_value("late", Some("1"));
    zone.run_for(5 * SECOND);
    isolate(&mut zone, 3);
    zone.set_value("withdrawn", None);
    zone.run_for(3 * SECOND);
    // All others restart, so that none has seen the removal.
    for host in 0..3 {
        zone.kill(host);
        zone.start(host);
    }
    zone.run_for(5 * SECOND);
    connect(&mut zone, 3, 1);
    let elapsed = zone.run_until_condition(SYNC_LIMIT, |zone| zone.all_nodes(|n| !has_value(n)));
    assert!(elapsed.is_some(), "the removed value is still in use");
}

#[test]
fn restarted_host_learns_from_the_newest_of_the_others_while_the_platform_is_away() {
    for delay_ms in (0..1_000).step_by(100) {
        let mut zone = zone_with_withdrawn_value(6);
        // Host 5 misses the removal and everything after it.
        isolate(&mut zone, 5);
        zone.set_value("withdrawn", None);
        zone.run_for(5 * SECOND);
        zone.platform.up = false;
        zone.run_for(Duration::from_millis(3_000 + delay_ms));
        assert_eq!(zone.nodes[&0].snapshot.revision, 3.into());
        zone.kill(0);
        zone.start(0);
        connect(&mut zone, 5, 0);
        for _ in 0..50 {
            zone.run_for(SECOND / 10);
            assert!(!has_value(&zone.nodes[&0]), "{delay_ms} ms, {:?}", zone.now);
        }
        assert_eq!(zone.nodes[&0].snapshot.revision, 3.into());
    }
}

#[test]
fn omission_by_a_host_that_read_right_after_an_outage_removes_nothing_at_once() {
    let mut zone = zone_with_withdrawn_value(4);
    zone.platform.up = false;
    isolate(&mut zone, 3);
    zone.run_for(2 * SECOND);
    for host in 0..3 {
        zone.kill(host);
    }
    // The value expired during the outage and is registered again a second after it.
    zone.set_value("withdrawn", None);
    zone.set_value("fleet", Some("2"));
    zone.platform.up = true;
    zone.start(0);
    zone.run_for(SECOND / 2);
    connect(&mut zone, 3, 0);
    for step in 0..60 {
        if step == 5 {
            zone.set_value("withdrawn", Some("2"));
        }
        zone.run_for(SECOND / 10);
        assert!(has_value(&zone.nodes[&3]), "{step}");
    }
}
