//! Guards against flows closed by a former home: a host that had been home of flows for a
//! while closed them at their endpoints when its own rows became idle, although they were
//! active at another home.

use super::common::ms;
use super::world_with_flows;

#[test]
fn a_former_home_closes_no_flow() {
    let mut world = world_with_flows(10);
    for host in [0, 1, 3] {
        world.set_live_hosts(host, &[0, 1, 3]);
    }
    world.hosts[2].in_rotation = false;
    world.run_for(ms(8_000));
    world.converge();
    world.run_for(ms(330_000));
    assert_eq!(world.reset_count(), 0);
}
