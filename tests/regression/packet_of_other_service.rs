//! Guards against misrouted packets: a packet with the number of an open flow but another
//! service was sent to the endpoint of that flow after the endpoint had been removed from the
//! configuration.

use super::common::ms;
use super::world_with_flows;
use jacinthhinge::prelude::*;

#[test]
fn packets_of_another_service_do_not_reach_the_endpoint_of_a_flow() {
    let mut world = world_with_flows(4);
    world.add_service("kleurmatch", 1, 1);
    for endpoint in &mut world.endpoints[..3] {
        endpoint.removed = true;
    }
    world.configure();
    world.converge();
    let misrouted = world.misrouted_packets;
    let flow = world.callers[0].flows.get_mut(&5).expect("a flow");
    flow.service = Id::of("kleurmatch");
    world.run_for(ms(2_000));
    assert_eq!(
        (world.misrouted_packets, world.reset_count()),
        (misrouted, 0)
    );
}
