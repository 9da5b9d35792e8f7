//! Guards against lost flows after a restart: a host that started with a configuration did
//! not add its endpoints to its tables, so it could not ask them for the flows of callers
//! without tickets, and reported these flows as lost.

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
