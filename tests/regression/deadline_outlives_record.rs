//! Guards against repeated execution: a caller whose deadline was longer than that of the
//! service went on sending its request after the record had expired, and its order ran again.

use super::common::ms;
use super::world_with_home;
use jacinthhinge::prelude::*;

#[test]
fn a_request_does_not_run_again_after_its_record_expires() {
    let (mut world, flow) = world_with_home(1, 0);
    world.callers[0].ignores_outcomes = true;
    world.endpoints[0].work_time = ms(4_000);
    world.filter = Box::new(|_, _, packet| !matches!(packet.body, Body::Answer { .. }));
    world.send_request(0, flow, 7, Class::Order, ms(30_000), 1);
    world.run_for(ms(31_000));
    assert_eq!(world.execution_count(0, 7), 1);
}
