//! Handles callers' packets on flows whose home is this lane.

use std::time::Duration;

use super::{open, probe, recover, stateless};
use crate::packet::{Body, Packet, Reason};
use crate::tables::{Arrival, Flow, FlowState, Outbox, Stage, Tables};
use crate::ticket::{Side, Target};

pub(super) fn run(tables: &mut Tables, now: Duration, out: &mut Outbox) {
    for arrival in tables.stage_queues.take(Stage::Flow) {
        handle_packet(tables, &arrival, now, out);
    }
}

fn handle_packet(tables: &mut Tables, arrival: &Arrival, now: Duration, out: &mut Outbox) {
    let packet = &arrival.packet;
    let key = packet.key();
    let target = arrival.ticket.and_then(|ticket| ticket.target);
    if tables.flows.names_other_service(packet) {
        tables.counters.disallowed_packets += 1;
        return;
    }
    if arrival.ticket.is_some() && target.is_none() {
        renew_ticket(tables, packet, out);
        return;
    }
    if tables.flows.get(&key).is_none() {
        create_flow(tables, packet, target, now, out);
    }
    let Some(flow) = tables.flows.get_mut(&key) else {
        return;
    };
    flow.last_heard = now;
    if flow.state != FlowState::Open {
        flow.hold_packet(packet.clone());
        return;
    }
    handle_open_flow(tables, packet, now, out);
}

/// Adds a flow that this home has no row for. Its endpoint is taken from the ticket, or
/// found by probing the service's endpoints.
fn create_flow(
    tables: &mut Tables,
    packet: &Packet,
    target: Option<Target>,
    now: Duration,
    out: &mut Outbox,
) {
    let flow = Flow::new(packet, FlowState::Recovering, now);
    let key = flow.key;
    tables.flows.insert(flow);
    match target {
        Some(target) => open::mark_open(tables, &key, target, now, out),
        None => recover::probe_endpoints(tables, &key, now, out),
    }
}

/// Handles a caller's packet on an open flow: answers a ping, closes the flow, or
/// forwards the packet to the endpoint.
pub(super) fn handle_open_flow(
    tables: &mut Tables,
    packet: &Packet,
    now: Duration,
    out: &mut Outbox,
) {
    let key = packet.key();
    let Some(target) = tables.flows.get(&key).and_then(|flow| flow.target) else {
        return;
    };
    if stateless::is_reassigned(tables, packet, &target, now) {
        recover::reset_flow(tables, &key, Reason::Reassigned, out);
        return;
    }
    match packet.body {
        Body::Ping => {
            let ticket = tables.seal_ticket(Side::Caller, packet, tables.home, Some(target));
            out.send(packet.caller, packet.reply(ticket, Body::Pong));
        }
        Body::Close => close_flow(tables, packet, target, out),
        _ => open::send_to_endpoint(tables, packet, Some(target), packet.body.clone(), out),
    }
    probe::probe_flow(tables, &key, now, out);
}

fn close_flow(tables: &mut Tables, packet: &Packet, target: Target, out: &mut Outbox) {
    open::send_to_endpoint(tables, packet, Some(target), Body::Close, out);
    if let Some(flow) = tables.flows.remove(&packet.key()) {
        recover::release_endpoint(tables, &flow);
    }
}

/// Answers a ping whose ticket is for requests only with a new ticket that names the
/// current home.
fn renew_ticket(tables: &mut Tables, packet: &Packet, out: &mut Outbox) {
    if packet.body != Body::Ping {
        return;
    }
    let ticket = tables.seal_ticket(Side::Caller, packet, tables.home, None);
    out.send(packet.caller, packet.reply(ticket, Body::Pong));
}
