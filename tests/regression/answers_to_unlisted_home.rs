//! Guards against failed recovery: hosts dropped the answers of endpoints to a home whose
//! incarnation they did not know yet, so that the home recovered no flow.

use super::common::ms;
use super::world_with_flows;

#[test]
fn answers_reach_a_home_that_others_do_not_list() {
    let mut world = world_with_flows(9);
    world.restart(1);
    world.hosts[1].in_rotation = false;
    world.set_live_hosts(1, &[0, 1, 2, 3]);
    world.run_for(ms(4_000));
    assert_eq!(world.reset_count(), 0);
    assert!(world.hosts[1].tables.counters.recovered_flows > 0);
}
