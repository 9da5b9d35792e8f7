//! A ping that was held while its flow was recovered went on to the endpoint, which
//! knows no such packet.

use super::common::ms;
use super::world_with_flows;
use jacinthhinge::prelude::*;

#[test]
fn a_ping_held_during_recovery_is_answered_by_the_host() {
    let mut world = world_with_flows(5);
    for flow in world.callers[0].flows.values_mut() {
        flow.send_interval = None;
    }
    world.filter = Box::new(|_, to, packet| {
        let is_endpoint = to.to_string().starts_with("10.1.");
        assert!(
            !is_endpoint || packet.body != Body::Ping,
            "a ping for an endpoint"
        );
        true
    });
    world.kill(2);
    world.converge();
    world.run_for(ms(4_000));
    assert_eq!(world.reset_count(), 0);
}
