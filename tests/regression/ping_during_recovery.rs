//! Guards against pings sent to endpoints: a ping that a host held while it recovered the flow
//! was forwarded to the endpoint, although endpoints do not accept pings.

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
            "a ping was sent to an endpoint"
        );
        true
    });
    world.kill(2);
    world.converge();
    world.run_for(ms(4_000));
    assert_eq!(world.reset_count(), 0);
}
