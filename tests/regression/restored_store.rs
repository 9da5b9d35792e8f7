//! The store comes back from a copy some seconds old and gives out revisions again; hosts
//! take its answers for stale ones, or skip what it has written in its new life.

use jacinthhinge::prelude::*;

use crate::zone::Zone;

const SECOND: Duration = Duration::from_secs(1);

/// Time after its acknowledgement within which a change is in force.
const APPLY_LIMIT: Duration = Duration::from_secs(3);

fn has_value(zone: &Zone, key: &str, json: &str) -> bool {
    zone.all_nodes(|node| {
        let value = node.control.tables().values.values.get(key);
        value.is_some_and(|value| value.json.as_deref() == Some(json))
    })
}

#[test]
fn restored_store_delays_no_change() {
    for lost_changes in 1..6 {
        let mut zone = Zone::with_frequent_reads(5);
        let copy = zone.platform.update.clone();
        for change in 0..lost_changes {
            zone.set_value("fleet", Some(&format!("{change}0")));
            zone.run_for(SECOND);
        }
        zone.platform.up = false;
        zone.run_for(2 * SECOND);
        zone.restore_platform(copy);
        zone.platform.up = true;
        zone.run_for(4 * SECOND);
        for change in 0..lost_changes + 2 {
            let json = format!("{change}5");
            zone.set_value("service/adserve", Some(&json));
            let is_applied = |zone: &Zone| has_value(zone, "service/adserve", &json);
            let elapsed = zone.run_until_condition(2 * APPLY_LIMIT, is_applied);
            assert!(
                elapsed.is_some_and(|elapsed| elapsed < APPLY_LIMIT),
                "{lost_changes} lost, change {change}: {elapsed:?}"
            );
            zone.run_for(SECOND);
        }
    }
}

/// Returns hosts that know the value `lost`, which is missing after the restore of the store.
fn zone_with_lost_value() -> Zone {
    let mut zone = Zone::with_frequent_reads(5);
    let copy = zone.platform.update.clone();
    zone.set_value("lost", Some("1"));
    zone.run_for(2 * SECOND);
    assert!(has_value(&zone, "lost", "1"));
    zone.platform.up = false;
    zone.run_for(SECOND);
    zone.restore_platform(copy);
    zone.platform.up = true;
    zone
}

#[test]
fn value_that_is_written_again_after_a_restore_is_kept() {
    let mut zone = zone_with_lost_value();
    let end = zone.now + 10 * SECOND;
    let rewritten_at = zone.now + 2 * SECOND;
    while zone.now < end {
        if zone.now == rewritten_at {
            zone.set_value("lost", Some("1"));
        }
        zone.run_for(Duration::from_millis(100));
        assert!(has_value(&zone, "lost", "1"), "{:?}", zone.now);
    }
}

#[test]
fn host_without_the_store_learns_of_a_restore_from_others() {
    let mut zone = Zone::with_frequent_reads(5);
    let copy = zone.platform.update.clone();
    zone.set_value("fleet", Some("2"));
    zone.run_for(2 * SECOND);
    for index in [1, 4] {
        zone.nodes.get_mut(&index).expect("a host").reaches_platform = false;
    }
    zone.restore_platform(copy);
    zone.run_for(2 * SECOND);
    zone.set_value("service/adserve", Some("3"));
    let is_applied = |zone: &Zone| has_value(zone, "service/adserve", "3");
    let elapsed = zone.run_until_condition(APPLY_LIMIT, is_applied);
    assert!(elapsed.is_some());
    assert!(zone.all_nodes(|node| node.snapshot.revision == Revision::new(1, 2)));
    assert!(zone.all_nodes(|node| node.control.tables().counters.restores == 1));
}
