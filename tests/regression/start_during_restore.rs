//! A host that starts while the store serves an incomplete copy knows only the values in the copy.
//! The other hosts still use the missing ones, whose removal they hold back. Found by the soak,
//! seed 6034: the host dropped the segments of open flows, as it did not know their endpoints.

use jacinthhinge::prelude::*;

use crate::zone::{Node, Zone};

const SECOND: Duration = Duration::from_secs(1);

/// Host that starts while the store is being restored.
const LATE_HOST: usize = 4;

/// Time for a host that has started to meet the others and to fetch from one of them.
const JOIN_TIME: Duration = Duration::from_millis(1_500);

/// Time that a value may take to be written again, and that a change may take to be in force.
const REMOVAL_LIMIT: Duration = Duration::from_secs(5);

fn has_value(node: &Node) -> bool {
    let value = node.control.tables().values.values.get("lost");
    value.is_some_and(|value| value.json.is_some())
}

fn zone_with_late_host(start_delay: Duration) -> Zone {
    let mut zone = Zone::with_frequent_reads(5);
    let copy = zone.platform.update.clone();
    zone.set_value("lost", Some("1"));
    zone.run_for(3 * SECOND);
    assert!(zone.all_nodes(has_value));
    zone.kill(LATE_HOST);
    zone.platform.up = false;
    zone.run_for(SECOND);
    zone.restore_platform(copy);
    zone.start(LATE_HOST);
    zone.run_for(start_delay);
    zone.platform.up = true;
    zone
}

#[test]
fn host_that_starts_during_a_restore_gets_the_values_that_others_hold() {
    for delay_ms in (0..600).step_by(50) {
        let mut zone = zone_with_late_host(Duration::from_millis(delay_ms));
        zone.run_for(JOIN_TIME);
        assert!(zone.all_nodes(has_value), "{delay_ms} ms");
        zone.set_value("lost", Some("1"));
        zone.run_for(2 * REMOVAL_LIMIT);
        assert!(zone.all_nodes(has_value), "{delay_ms} ms, written again");
    }
}

#[test]
fn host_that_starts_during_a_restore_keeps_them_while_the_store_is_away_again() {
    for delay_ms in (0..600).step_by(50) {
        let mut zone = zone_with_late_host(Duration::from_millis(delay_ms));
        zone.run_for(SECOND);
        zone.platform.up = false;
        zone.run_for(SECOND);
        for _ in 0..60 {
            zone.run_for(Duration::from_millis(100));
            assert!(zone.all_nodes(has_value), "{delay_ms} ms, {:?}", zone.now);
        }
    }
}

/// Guards against a host that asks one which has just started too and lacks the same values.
#[test]
fn hosts_that_start_together_ask_an_older_one() {
    for delay_ms in (0..600).step_by(50) {
        let mut zone = zone_with_late_host(Duration::from_millis(delay_ms));
        for host in [2, 3] {
            zone.kill(host);
            zone.start(host);
        }
        zone.run_for(JOIN_TIME);
        assert!(zone.all_nodes(has_value), "{delay_ms} ms");
    }
}

/// Guards against a value that comes back with a host which starts after its removal.
#[test]
fn removed_value_does_not_come_back_with_a_host_that_starts() {
    let mut zone = Zone::with_frequent_reads(5);
    zone.set_value("lost", Some("1"));
    zone.run_for(3 * SECOND);
    zone.set_value("lost", None);
    zone.run_for(3 * SECOND);
    zone.kill(LATE_HOST);
    zone.start(LATE_HOST);
    for _ in 0..60 {
        zone.run_for(Duration::from_millis(100));
        assert!(zone.all_nodes(|node| !has_value(node)), "{:?}", zone.now);
    }
}

#[test]
fn value_that_is_not_written_again_is_removed_from_that_host_too() {
    for delay_ms in (0..600).step_by(50) {
        let mut zone = zone_with_late_host(Duration::from_millis(delay_ms));
        let is_removed = |zone: &Zone| zone.all_nodes(|node| !has_value(node));
        zone.run_for(SECOND);
        let elapsed = zone.run_until_condition(2 * REMOVAL_LIMIT, is_removed);
        assert!(
            elapsed.is_some_and(|elapsed| elapsed > SECOND && elapsed < REMOVAL_LIMIT),
            "{delay_ms} ms, {elapsed:?}"
        );
    }
}
