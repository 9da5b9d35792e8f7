//! The store leaves the reads of all readers unanswered, and the hosts that rely on them
//! learn it only when a read has lasted as long as a watch may: a change is in force late.

use jacinthhinge::prelude::*;

use crate::zone::{self, Zone};

/// Time after its acknowledgement within which a change is in force.
const APPLY_LIMIT: Duration = Duration::from_secs(3);

#[test]
fn ignored_readers_do_not_delay_a_change() {
    const HOSTS: usize = 12;
    for delay_ms in (0..2_000).step_by(100) {
        let mut zone = Zone::with_frequent_reads(HOSTS);
        zone.run_for(Duration::from_millis(delay_ms));
        let mut ids: Vec<usize> = (0..HOSTS).collect();
        ids.sort_by_key(|index| zone::host_id(*index));
        let readers = (0..3).map(|place| {
            let in_place = |index: &&usize| **index % 3 == place;
            *ids.iter().find(in_place).expect("a host")
        });
        for index in readers {
            zone.nodes.get_mut(&index).expect("a host").is_ignored = true;
        }
        zone.set_value("fleet", Some("2"));
        let is_applied = |zone: &Zone| zone.all_nodes(|node| node.snapshot.revision == 2.into());
        let elapsed = zone.run_until_condition(2 * APPLY_LIMIT, is_applied);
        assert!(
            elapsed.is_some_and(|elapsed| elapsed < APPLY_LIMIT),
            "{delay_ms} ms: {elapsed:?}"
        );
    }
}
