//! Guards against repeated execution: a host that paused for longer than a request record is
//! kept took packets that had waited in its socket for fresh ones, and an order ran again. The
//! same happened if it paused between reading and handling packets, or only forwarded them.

use super::common::{lane_addr, ms};
use super::world_with_home;
use jacinthhinge::prelude::*;

/// Pauses a host after an order has run, and checks that the order does not run again.
fn check_single_execution(seed: u64, host: usize, read_ahead: usize) {
    let (mut world, flow) = world_with_home(seed, 0);
    let caller = world.callers[0].addr;
    let is_answer = |packet: &Packet| matches!(packet.body, Body::Answer { .. });
    let is_request = |packet: &Packet| matches!(packet.body, Body::Ask { .. });
    world.filter = Box::new(move |_, to, packet| to != caller || !is_answer(packet));
    world.send_request(0, flow, 7, Class::Order, ms(2_000), 1);
    world.run_for(ms(400));
    assert_eq!(world.execution_count(0, 7), 1);
    world.pause(host, ms(40_000), read_ahead);
    let (paused, home) = (lane_addr(host), lane_addr(0));
    world.filter = Box::new(move |_, to, packet| {
        let is_delivered = to == paused || to == home;
        (!is_request(packet) || is_delivered) && (to != caller || !is_answer(packet))
    });
    world.run_for(ms(45_000));
    assert_eq!(world.execution_count(0, 7), 1);
}

#[test]
fn a_paused_home_accepts_no_stale_requests() {
    for seed in 0..10 {
        check_single_execution(seed, 0, 0);
        check_single_execution(seed, 0, 1);
        check_single_execution(seed, 0, 3);
    }
}

#[test]
fn a_paused_host_forwards_no_stale_requests() {
    for seed in 0..10 {
        check_single_execution(seed, 1, 0);
        check_single_execution(seed, 1, 1);
    }
}
