//! Guards against resets of new flows: shortly after a change of hosts, a host asks the
//! endpoints for a new flow before it opens it. A late copy of an answer "not known" arrived
//! after the flow had opened, and reset it.

use super::common::{World, addr, ms};
use jacinthhinge::prelude::*;
use jacinthhinge::systems;
use jacinthhinge::tables::{Arrival, Outbox};

#[test]
fn a_late_probe_answer_does_not_reset_an_open_flow() {
    let mut world = World::new(3, 1);
    world.add_service("adserve", 1, 3);
    world.converge();
    world.add_caller(false);
    world.open_flow(0, 1, "adserve", true);
    world.run_for(ms(300));
    assert_eq!(world.hosts[0].tables.flows.len(), 1);

    let caller = world.callers[0].addr;
    let now = world.now + ms(10);
    let lane = &mut world.hosts[0].tables;
    let flow = FlowKey { caller, flow: 1 };
    let target = lane.flows.get(&flow).and_then(|flow| flow.target);
    let load = Load {
        incarnation: target.map_or(1, |target| target.incarnation),
        ..Load::default()
    };
    let packet = Packet {
        service: Id::of("adserve"),
        caller,
        flow: 1,
        hops: 0,
        ticket: Bytes::new(),
        body: Body::Probed { known: false, load },
    };
    let ticket = lane.seal_ticket(Side::Endpoint, &packet, lane.home, target);
    let packet = Packet { ticket, ..packet };
    lane.inbox.push(Arrival::new(addr("10.9.9.9:1"), packet));
    systems::run(lane, now, &mut Outbox::default());
    assert_eq!(lane.flows.len(), 1);
}
