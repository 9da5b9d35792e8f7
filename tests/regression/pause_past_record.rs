//! A host that paused for longer than a record lives took packets that had waited
//! in its socket for fresh ones, and an order ran again. So did one that paused
//! between reading packets and dealing with them, and one that only forwarded.

use super::common::{lane, ms};
use super::world_with_home;
use jacinthhinge::prelude::*;

fn pause(host: usize, gulp: usize) {
    let (mut world, flow) = world_with_home(0);
    let ask = |packet: &Packet| matches!(packet.body, Body::Ask { .. });
    world.ask(0, flow, 7, Class::Order, ms(2_000), 1);
    world.filter = Box::new(|_, _, packet| !matches!(packet.body, Body::Answer { .. }));
    world.run(ms(100));
    assert_eq!(world.ran(0, 7), 1);
    world.pause(host, ms(40_000), gulp);
    let to = lane(host);
    world.filter = Box::new(move |_, at, packet| !ask(packet) || at == to || at == lane(0));
    world.run(ms(45_000));
    assert_eq!(world.ran(0, 7), 1);
}

#[test]
fn a_paused_home_takes_nothing_stale() {
    pause(0, 0);
    pause(0, 1);
    pause(0, 3);
}

#[test]
fn a_paused_host_forwards_nothing_stale() {
    pause(1, 0);
    pause(1, 1);
}
