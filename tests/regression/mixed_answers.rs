//! Work that may be repeated ran at two endpoints, and its caller got one part of
//! each answer.

use super::common::ms;
use super::world_with_home;
use jacinthhinge::prelude::*;

#[test]
fn parts_of_two_answers_are_not_mixed() {
    let (mut world, flow) = world_with_home(0);
    world.service("kleurmatch", 0, 1);
    world.ask(0, flow, 7, Class::Lookup, ms(2_900), 1);
    let first =
        |packet: &Packet| matches!(&packet.body, Body::Answer { part, .. } if part.index == 0);
    world.filter = Box::new(move |_, _, packet| !first(packet));
    world.run(ms(60));
    let life = world.micros();
    world.ends[0].restart(life);
    let second =
        |packet: &Packet| matches!(&packet.body, Body::Answer { part, .. } if part.index == 1);
    world.filter = Box::new(move |_, _, packet| !second(packet));
    world.run(ms(900));
    world.filter = Box::new(|_, _, _| true);
    world.run(ms(1_500));
    let parts = world.asked(0, 7).answer.clone().expect("an answer");
    assert_eq!(parts[0], parts[1]);
}
