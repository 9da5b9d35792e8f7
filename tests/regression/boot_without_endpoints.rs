//! A host that started with a configuration in hand had no endpoints to ask, and
//! told callers without ticket that their flows were lost.

use super::common::ms;
use super::world_with_flows;

#[test]
fn a_host_that_boots_with_a_configuration_knows_its_endpoints() {
    let mut world = world_with_flows(2);
    for host in 0..4 {
        world.restart(host);
    }
    world.converge();
    world.run_for(ms(3_000));
    assert_eq!(world.reset_count(), 0);
}
