//! Guards against resets during recovery: a flow was reset because one of the endpoints that
//! were asked for it had moved to another service.

use super::common::ms;
use super::world_with_flows;

#[test]
fn one_reassigned_endpoint_does_not_end_a_recovery() {
    let mut world = world_with_flows(8);
    let affected = world.endpoints[0].flows.len();
    world.endpoints[0].service = "kleurmatch".into();
    world.kill(1);
    world.restart(1);
    world.converge();
    world.run_for(ms(4_000));
    assert!(world.reset_count() <= affected);
    let kept = world.endpoints[1].flows.len() + world.endpoints[2].flows.len();
    assert_eq!(kept, 20 - affected);
    assert_eq!(world.reset_count(), affected);
}
