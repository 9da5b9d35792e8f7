//! A value that was removed while the store was away, or that is missing after its restore,
//! stays in force on the hosts that do not read the store: the readers hold the removal back
//! and apply it later, at a revision that the others already have.

use jacinthhinge::prelude::*;

use crate::zone::{Node, Zone};

const SECOND: Duration = Duration::from_secs(1);

/// Time that a value may take to be written again, and that a change may take to be in force.
const REMOVAL_LIMIT: Duration = Duration::from_secs(5);

fn has_value(node: &Node) -> bool {
    let value = node.control.tables().values.values.get("gone");
    value.is_some_and(|value| value.json.is_some())
}

fn assert_removed_in_time(zone: &mut Zone) {
    let is_removed = |zone: &Zone| zone.all_nodes(|node| !has_value(node));
    let elapsed = zone.run_until_condition(2 * REMOVAL_LIMIT, is_removed);
    assert!(
        elapsed.is_some_and(|elapsed| elapsed > 2 * SECOND && elapsed < REMOVAL_LIMIT),
        "{elapsed:?}"
    );
}

#[test]
fn removal_that_was_held_back_reaches_all_hosts_after_an_outage() {
    for delay_ms in (0..1_500).step_by(100) {
        let mut zone = Zone::with_frequent_reads(6);
        zone.set_value("gone", Some("1"));
        zone.run_for(Duration::from_millis(3_000 + delay_ms));
        assert!(zone.all_nodes(has_value));
        zone.platform.up = false;
        zone.run_for(2 * SECOND);
        zone.set_value("gone", None);
        zone.platform.up = true;
        assert_removed_in_time(&mut zone);
    }
}

#[test]
fn value_that_is_missing_after_a_restore_is_removed_from_all_hosts() {
    let mut zone = Zone::with_frequent_reads(6);
    let copy = zone.platform.update.clone();
    zone.set_value("gone", Some("1"));
    zone.run_for(3 * SECOND);
    assert!(zone.all_nodes(has_value));
    zone.platform.up = false;
    zone.run_for(SECOND);
    zone.restore_platform(copy);
    zone.platform.up = true;
    assert_removed_in_time(&mut zone);
}

#[test]
fn removal_waits_while_the_store_is_away_again() {
    for delay_ms in (0..1_000).step_by(100) {
        let mut zone = Zone::with_frequent_reads(6);
        zone.set_value("gone", Some("1"));
        zone.run_for(Duration::from_millis(3_000 + delay_ms));
        zone.platform.up = false;
        zone.run_for(SECOND);
        zone.set_value("gone", None);
        zone.platform.up = true;
        zone.run_for(2 * SECOND);
        zone.platform.up = false;
        for _ in 0..60 {
            zone.run_for(Duration::from_millis(100));
            assert!(zone.all_nodes(has_value), "{delay_ms} ms, {:?}", zone.now);
        }
        zone.set_value("gone", Some("1"));
        zone.platform.up = true;
        zone.run_for(5 * SECOND);
        assert!(zone.all_nodes(has_value), "{delay_ms} ms");
    }
}
