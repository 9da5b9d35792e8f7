//! Guards against resets of healthy flows: two lost probes in a row reset a flow.

use super::common::ms;
use super::world_with_flows;
use jacinthhinge::prelude::*;

#[test]
fn a_flow_is_not_reset_after_two_lost_probes() {
    for offset in [0, 500, 1_000, 1_500] {
        let mut world = world_with_flows(7);
        for flow in world.callers[0].flows.values_mut() {
            flow.send_interval = None;
        }
        world.run_for(ms(2_000 + offset));
        world.filter = Box::new(|_, _, packet| packet.body != Body::Probe || packet.flow > 3);
        world.run_for(ms(2_700));
        world.filter = Box::new(|_, _, _| true);
        world.run_for(ms(5_000));
        assert_eq!(world.reset_count(), 0, "offset={offset}");
    }
}
