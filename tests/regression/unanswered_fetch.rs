//! The connection of a fetch to another host never opens, and the host that does not read the
//! platform waits for it for so long that a change is in force late.

use jacinthhinge::prelude::*;

use crate::zone::Zone;

/// Time after its acknowledgement within which a change is in force.
const APPLY_LIMIT: Duration = Duration::from_secs(3);

#[test]
fn unanswered_fetch_does_not_delay_a_change() {
    for delay_ms in (0..1_000).step_by(50) {
        let mut zone = Zone::with_frequent_reads(4);
        zone.run_for(Duration::from_millis(delay_ms));
        // Only the fourth host has to fetch: the others read the platform.
        zone.network.unanswered_fetches = 1;
        zone.set_value("fleet", Some("2"));
        let is_applied = |zone: &Zone| zone.all_nodes(|node| node.snapshot.revision == 2.into());
        let elapsed = zone.run_until_condition(2 * APPLY_LIMIT, is_applied);
        assert_eq!(zone.network.unanswered_fetches, 0);
        assert!(
            elapsed.is_some_and(|elapsed| elapsed < APPLY_LIMIT),
            "{delay_ms} ms: {elapsed:?}"
        );
    }
}
