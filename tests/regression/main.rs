//! One file for each fault that was found.

#[path = "../common/mod.rs"]
mod common;
#[path = "../zone/mod.rs"]
mod zone;

mod cancel_after_restart;
mod mixed_answers;
mod pause_past_record;
mod replayed_beat;
mod short_record;

use common::{World, ms};
use jacinthhinge::prelude::*;

/// Two hosts before one endpoint, a caller with a ticket of the home `host`, and
/// the number of its flow.
fn world_with_home(host: usize) -> (World, u64) {
    let mut world = World::new(1, 2);
    world.service("bestel", 1, 1);
    world.agree();
    world.caller(true);
    let caller = world.callers[0].addr;
    let home = world.hosts[host].tables.me;
    let is_homed = |flow: &u64| {
        let key = FlowKey {
            caller,
            flow: *flow,
        };
        world.hosts[0].tables.snapshot.home(&key) == Some(home)
    };
    let flow = (1..100).find(is_homed).expect("a flow for each host");
    world.open(0, flow, "bestel", false);
    world.run(ms(300));
    (world, flow)
}
