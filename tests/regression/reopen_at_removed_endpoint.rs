//! Guards against unreadable answers: the answer to a repeated open had no incarnation if the
//! endpoint had been removed from the configuration, and could not be decoded.

use super::common::ms;
use super::world_with_flows;
use jacinthhinge::prelude::*;

#[test]
fn a_repeated_open_is_answered_with_the_incarnation_of_a_removed_endpoint() {
    let mut world = world_with_flows(11);
    world.faults.encode_packets = true;
    for endpoint in &mut world.endpoints[..2] {
        endpoint.removed = true;
    }
    world.configure();
    world.converge();
    for flow in 1..=20 {
        world.send_on_flow(0, flow, Body::Open);
    }
    world.run_for(ms(3_000));
    assert_eq!(world.reset_count(), 0);
    let flows: usize = world
        .endpoints
        .iter()
        .map(|endpoint| endpoint.flows.len())
        .sum();
    assert_eq!(flows, 20);
}
