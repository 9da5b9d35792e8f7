//! Guards against mixed answers: an idempotent request ran at two endpoints, and the
//! caller got one part of each answer.

use super::common::{World, ms};
use super::world_with_home;
use jacinthhinge::prelude::*;

/// Drops one part of every answer.
fn drop_answer_parts(world: &mut World, index: u32) {
    let is_dropped = move |packet: &Packet| match &packet.body {
        Body::Answer { part, .. } => part.index == index,
        _ => false,
    };
    world.filter = Box::new(move |_, _, packet| !is_dropped(packet));
}

#[test]
fn parts_of_two_answers_are_not_mixed() {
    let (mut world, flow) = world_with_home(1, 0);
    drop_answer_parts(&mut world, 0);
    world.send_request(0, flow, 7, Class::Lookup, ms(2_900), 1);
    while world.request(0, 7).answer_parts.is_empty() {
        world.run_for(ms(10));
    }
    let incarnation = world.now_micros();
    world.endpoints[0].restart(incarnation);
    drop_answer_parts(&mut world, 1);
    world.run_for(ms(900));
    world.filter = Box::new(|_, _, _| true);
    world.run_for(ms(1_500));
    let parts = world.request(0, 7).answer.clone().expect("an answer");
    assert_eq!(parts[0], parts[1]);
}
