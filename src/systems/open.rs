//! Opens flows.
//!
//! The home chooses an endpoint and asks it to accept the flow. Shortly after the set of
//! hosts in the zone has changed, a flow that looks new may already be open through its
//! previous home, so the endpoints are first asked whether they hold it.

use std::time::Duration;

use super::{flow, recover, stateless};
use crate::id::FlowKey;
use crate::packet::{Body, Load, Packet, Reason};
use crate::tables::{Arrival, Flow, FlowState, Outbox, Stage, Tables};
use crate::ticket::{Side, Target};

/// Time after a change of hosts during which a flow may already be open through its
/// previous home.
const HOME_CHANGE_WINDOW: Duration = Duration::from_secs(5);

/// Largest number of endpoints tried for one flow.
const MAX_ATTEMPTS: usize = 4;

pub(super) fn run(tables: &mut Tables, now: Duration, out: &mut Outbox) {
    for arrival in tables.stage_queues.take(Stage::Open) {
        handle_open(tables, &arrival, now, out);
    }
}

fn handle_open(tables: &mut Tables, arrival: &Arrival, now: Duration, out: &mut Outbox) {
    let packet = &arrival.packet;
    let key = packet.key();
    if tables.flows.names_other_service(packet) {
        tables.counters.disallowed_packets += 1;
        return;
    }
    match tables.flows.get_mut(&key) {
        Some(flow) if flow.state == FlowState::Open => {
            flow.last_heard = now;
            confirm_open(tables, &key, out);
        }
        Some(flow) => {
            flow.last_heard = now;
            flow.open_requested = true;
        }
        None => open_new(tables, packet, now, out),
    }
}

fn open_new(tables: &mut Tables, packet: &Packet, now: Duration, out: &mut Outbox) {
    let hosts_changed = now < tables.snapshot.hosts_changed + HOME_CHANGE_WINDOW;
    let state = if hosts_changed {
        FlowState::Recovering
    } else {
        FlowState::Opening
    };
    let mut flow = Flow::new(packet, state, now);
    flow.open_requested = true;
    let key = flow.key;
    tables.flows.insert(flow);
    if hosts_changed {
        recover::probe_endpoints(tables, &key, now, out);
    } else {
        assign_endpoint(tables, &key, now, out);
    }
}

/// Asks an endpoint with capacity to accept the flow, or resets the flow if there is
/// none.
pub(super) fn assign_endpoint(tables: &mut Tables, key: &FlowKey, now: Duration, out: &mut Outbox) {
    let Some(flow) = tables.flows.get(key) else {
        return;
    };
    let chosen = if flow.refused_by.len() < MAX_ATTEMPTS {
        let (service, refused) = (flow.service, flow.refused_by.clone());
        let policies = std::sync::Arc::clone(&tables.policies);
        (policies.place_flow)(tables, service, &refused, now)
    } else {
        None
    };
    let Some(row) = chosen.and_then(|id| tables.endpoints.get_mut(id)) else {
        recover::reset_flow(tables, key, Reason::Overload, out);
        return;
    };
    row.unreported_flows += 1;
    row.unanswered_since.get_or_insert(now);
    let target = row.ticket_target();
    if let Some(flow) = tables.flows.get_mut(key) {
        flow.state = FlowState::Opening;
        flow.state_since = now;
        flow.target = Some(target);
    }
    send_open(tables, key, now, out);
}

/// Sends or resends the open packet of a flow to its endpoint.
pub(super) fn send_open(tables: &mut Tables, key: &FlowKey, now: Duration, out: &mut Outbox) {
    let Some(flow) = tables.flows.get_mut(key) else {
        return;
    };
    flow.last_sent = now;
    let target = flow.target;
    let packet = packet_of(flow);
    send_to_endpoint(tables, &packet, target, Body::Open, out);
}

/// Records that `target` holds the flow, confirms the open to the caller and forwards
/// the packets held for it.
pub(super) fn mark_open(
    tables: &mut Tables,
    key: &FlowKey,
    target: Target,
    now: Duration,
    out: &mut Outbox,
) {
    let Some(flow) = tables.flows.get_mut(key) else {
        return;
    };
    let was_open = flow.state == FlowState::Open;
    flow.state = FlowState::Open;
    flow.state_since = now;
    flow.target = Some(target);
    flow.unanswered_endpoints.clear();
    let open_requested = std::mem::take(&mut flow.open_requested);
    let held_packets = std::mem::take(&mut flow.held_packets);
    if !was_open && let Some(row) = tables.endpoints.get_mut(target.endpoint) {
        row.flow_count += 1;
    }
    if open_requested {
        confirm_open(tables, key, out);
    }
    for packet in held_packets {
        flow::handle_open_flow(tables, &packet, now, out);
    }
}

/// Tells the caller that its flow is open and sends it a ticket.
fn confirm_open(tables: &Tables, key: &FlowKey, out: &mut Outbox) {
    let Some(flow) = tables.flows.get(key) else {
        return;
    };
    let packet = packet_of(flow);
    let Some(target) = flow.target else {
        return;
    };
    let row = tables.endpoints.get(target.endpoint);
    let load = Load {
        incarnation: target.incarnation,
        ..row.map(|row| row.load).unwrap_or_default()
    };
    let ticket = tables.seal_ticket(Side::Caller, &packet, tables.home, flow.target);
    out.send(packet.caller, packet.reply(ticket, Body::Opened { load }));
}

/// Assigns another endpoint to a flow that its endpoint refused.
pub(super) fn handle_refusal(
    tables: &mut Tables,
    key: &FlowKey,
    target: Target,
    out: &mut Outbox,
    now: Duration,
) {
    tables.counters.refused_flows += 1;
    let Some(flow) = tables.flows.get_mut(key) else {
        return;
    };
    let assigned = flow.target.map(|target| target.endpoint);
    if flow.state != FlowState::Opening || assigned != Some(target.endpoint) {
        return;
    }
    flow.refused_by.push(target.endpoint);
    assign_endpoint(tables, key, now, out);
}

/// Sends `body` to the endpoint `target` with a ticket that names this home.
///
/// Nothing is sent if the endpoint's address now belongs to another service. Without a
/// target, the caller's flow is reset.
pub(super) fn send_to_endpoint(
    tables: &mut Tables,
    packet: &Packet,
    target: Option<Target>,
    body: Body,
    out: &mut Outbox,
) {
    let Some(target) = target else {
        stateless::reset_flow(tables, packet, Reason::FlowLost, out);
        return;
    };
    if stateless::is_other_service(tables, packet, &target) {
        tables.counters.reassigned_endpoints += 1;
        return;
    }
    let ticket = tables.seal_ticket(Side::Endpoint, packet, tables.home, Some(target));
    out.send(target.addr, packet.reply(ticket, body));
}

/// Builds a packet with the addressing of a flow.
pub(super) fn packet_of(flow: &Flow) -> Packet {
    Packet {
        service: flow.service,
        caller: flow.key.caller,
        flow: flow.key.flow,
        hops: 0,
        ticket: bytes::Bytes::new(),
        body: Body::Open,
    }
}
