//! The own interface waits 20 to 30 s for a change in one read: if the store is silent for a
//! while, a zone with few hosts has none whose read ends soon after its return.

use jacinthhinge::prelude::*;

use crate::zone::Zone;

/// Time after its acknowledgement within which a change is in force.
const APPLY_LIMIT: Duration = Duration::from_secs(6);

#[test]
fn silent_store_delays_no_change_in_a_zone_of_two_hosts() {
    for delay_s in 0..60 {
        let mut zone = Zone::with_hosts(2);
        zone.platform.up = true;
        zone.set_host_list(0..2);
        zone.set_value("fleet", Some("1"));
        zone.run_for(Duration::from_secs(40 + delay_s));
        for node in zone.nodes.values_mut() {
            node.is_ignored = true;
        }
        zone.run_for(Duration::from_secs(8));
        for node in zone.nodes.values_mut() {
            node.is_ignored = false;
        }
        zone.set_value("fleet", Some("2"));
        let is_applied = |zone: &Zone| zone.all_nodes(|node| node.snapshot.revision == 2.into());
        let elapsed = zone.run_until_condition(10 * APPLY_LIMIT, is_applied);
        assert!(
            elapsed.is_some_and(|elapsed| elapsed < APPLY_LIMIT),
            "{delay_s} s: {elapsed:?}"
        );
    }
}
