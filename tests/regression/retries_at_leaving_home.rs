//! Guards against false `Unknown` outcomes: retransmissions of a running order bypassed the
//! leaving home that had accepted it and reached the next home, which reported the outcome as
//! unknown.

use super::common::ms;
use super::world_with_flows;
use jacinthhinge::prelude::*;

#[test]
fn a_leaving_home_keeps_its_requests() {
    let mut world = world_with_flows(6);
    world.grant_leases(world.now + ms(60_000));
    world
        .endpoints
        .iter_mut()
        .for_each(|endpoint| endpoint.slots = 9);
    world
        .endpoints
        .iter_mut()
        .for_each(|endpoint| endpoint.work_time = ms(900));
    for flow in 1..=6 {
        world.send_request(0, flow, flow, Class::Order, ms(2_500), 1);
    }
    world.run_for(ms(300));
    world.hosts[0].leaving = true;
    world.converge();
    world.run_for(ms(3_000));
    let outcomes: Vec<_> = world.callers[0]
        .requests
        .values()
        .map(|request| &request.outcomes)
        .collect();
    assert!(
        outcomes.iter().all(|outcomes| outcomes.is_empty()),
        "{outcomes:?}"
    );
}
