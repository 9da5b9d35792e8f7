//! One file for each fault that was found.

#[path = "../common/mod.rs"]
mod common;
#[path = "../relaying/mod.rs"]
mod relaying;
#[path = "../zone/mod.rs"]
mod zone;

mod boot_without_endpoints;
mod boot_without_keys;
mod cancel_after_restart;
mod foreign_flow;
mod held_ping;
mod leaving_home;
mod lost_probe;
mod mixed_answers;
mod old_stalls;
mod pause_after_clock;
mod pause_past_record;
mod quiet_zone;
mod reassigned_probe;
mod removed_endpoint;
mod repeated_probe;
mod replayed_beat;
mod short_record;
mod stale_home;
mod unlisted_home;
mod zone_of_one_release;

use common::{World, ms};
use jacinthhinge::prelude::*;

/// Two hosts before one endpoint, a caller with a ticket of the home `host`, and
/// the number of its flow.
fn world_with_home(seed: u64, host: usize) -> (World, u64) {
    let mut world = World::new(seed, 2);
    world.service("bestel", 1, 1);
    world.agree();
    world.caller(true);
    let caller = world.callers[0].addr;
    let home = world.hosts[host].tables.home;
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

/// Four hosts before three endpoints, and twenty open flows of a caller that cannot
/// echo tickets.
fn world_with_flows(seed: u64) -> World {
    let mut world = World::new(seed, 4);
    world.service("adserve", 3, 3);
    world.agree();
    world.caller(false);
    for flow in 1..=20 {
        world.open(0, flow, "adserve", true);
    }
    world.run(ms(7_000));
    world
}
