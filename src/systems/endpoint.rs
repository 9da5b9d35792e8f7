//! Handles endpoints' packets about flows and requests whose home is this lane.

use std::time::Duration;

use super::{dispatch, open, outcome, placement, recover, retry};
use crate::packet::{Body, Load, Packet, Part, Reason};
use crate::tables::{Arrival, Flow, FlowState, Outbox, RequestState, Stage, Tables};
use crate::ticket::Target;

pub(super) fn run(tables: &mut Tables, now: Duration, out: &mut Outbox) {
    for arrival in tables.stage_queues.take(Stage::EndpointPacket) {
        handle_packet(tables, &arrival, now, out);
    }
}

fn handle_packet(tables: &mut Tables, arrival: &Arrival, now: Duration, out: &mut Outbox) {
    let packet = &arrival.packet;
    let Some(mut target) = arrival.ticket.and_then(|ticket| ticket.target) else {
        tables.counters.disallowed_packets += 1;
        return;
    };
    if tables.flows.names_other_service(packet) {
        tables.counters.disallowed_packets += 1;
        return;
    }
    if let Some(load) = load_of(&packet.body) {
        tables.endpoints.apply_report(target.endpoint, load, now);
        target.incarnation = load.incarnation;
    }
    match &packet.body {
        Body::Opened { .. } => handle_opened(tables, packet, target, now, out),
        Body::OpenRefused { .. } => open::handle_refusal(tables, &packet.key(), target, out, now),
        Body::Probed { known, .. } => handle_probed(tables, packet, target, *known, now, out),
        Body::Close => handle_closed(tables, packet, target, None, out),
        Body::Reset {
            reason: Reason::Reassigned,
        } => handle_reassigned(tables, packet, target, now, out),
        Body::Reset { reason } => handle_closed(tables, packet, target, Some(*reason), out),
        Body::PartAck { request, index } => handle_part_ack(tables, *request, *index, now, out),
        Body::Refused {
            dispatch, reason, ..
        } => handle_refused(tables, target, *dispatch, *reason, now, out),
        Body::Answer { dispatch, part, .. } => handle_answer(tables, packet, *dispatch, part, out),
        _ => tables.counters.disallowed_packets += 1,
    }
    placement::record_packet(tables, target.endpoint, &packet.body, now);
}

fn load_of(body: &Body) -> Option<Load> {
    match body {
        Body::Opened { load }
        | Body::OpenRefused { load }
        | Body::Probed { load, .. }
        | Body::Refused { load, .. }
        | Body::Answer { load, .. } => Some(*load),
        _ => None,
    }
}

fn handle_opened(
    tables: &mut Tables,
    packet: &Packet,
    target: Target,
    now: Duration,
    out: &mut Outbox,
) {
    let key = packet.key();
    match tables.flows.get(&key) {
        None => {
            let mut flow = Flow::new(packet, FlowState::Opening, now);
            flow.open_requested = true;
            tables.flows.insert(flow);
        }
        Some(flow) if is_elsewhere(flow, &target) => {
            open::send_to_endpoint(tables, packet, Some(target), Body::Close, out);
            return;
        }
        Some(flow) if flow.state == FlowState::Open => return,
        Some(_) => {}
    }
    tables.counters.opened_flows += 1;
    open::mark_open(tables, &key, target, now, out);
}

/// Returns true if the flow is assigned to another endpoint.
fn is_elsewhere(flow: &Flow, target: &Target) -> bool {
    flow.state != FlowState::Recovering
        && flow
            .target
            .is_some_and(|assigned| assigned.endpoint != target.endpoint)
}

fn handle_probed(
    tables: &mut Tables,
    packet: &Packet,
    target: Target,
    known: bool,
    now: Duration,
    out: &mut Outbox,
) {
    let key = packet.key();
    let Some(flow) = tables.flows.get_mut(&key) else {
        return;
    };
    match flow.state {
        FlowState::Recovering => recover::on_answer(tables, &key, target, known, now, out),
        FlowState::Opening => {}
        FlowState::Open if is_elsewhere(flow, &target) || flow.unanswered_probe.is_none() => {}
        FlowState::Open if known => flow.unanswered_probe = None,
        FlowState::Open => recover::reset_flow(tables, &key, Reason::FlowLost, out),
    }
}

/// Handles a report that the address of an endpoint now serves another service. A flow
/// that is still being recovered or opened continues with other endpoints.
fn handle_reassigned(
    tables: &mut Tables,
    packet: &Packet,
    target: Target,
    now: Duration,
    out: &mut Outbox,
) {
    let key = packet.key();
    match tables.flows.get(&key).map(|flow| flow.state) {
        Some(FlowState::Recovering) => recover::on_answer(tables, &key, target, false, now, out),
        Some(FlowState::Opening) => open::handle_refusal(tables, &key, target, out, now),
        None if tables.requests.has_sent(&key, target.endpoint) => {}
        _ => handle_closed(tables, packet, target, Some(Reason::Reassigned), out),
    }
}

/// Removes a flow that its endpoint ended, and tells the caller.
fn handle_closed(
    tables: &mut Tables,
    packet: &Packet,
    target: Target,
    reason: Option<Reason>,
    out: &mut Outbox,
) {
    let key = packet.key();
    if tables
        .flows
        .get(&key)
        .is_some_and(|flow| is_elsewhere(flow, &target))
    {
        return;
    }
    if let Some(flow) = tables.flows.remove(&packet.key()) {
        recover::release_endpoint(tables, &flow);
    }
    let body = match reason {
        None if packet.hops > 0 => return,
        None => Body::Close,
        Some(reason) => {
            tables.counters.flow_resets += 1;
            Body::Reset { reason }
        }
    };
    out.reply(packet, body);
}

fn handle_part_ack(
    tables: &mut Tables,
    dispatch: u64,
    index: u32,
    now: Duration,
    out: &mut Outbox,
) {
    let Some(slot) = tables.requests.by_dispatch(dispatch) else {
        return;
    };
    if tables.requests.row(slot).last_dispatch() != dispatch {
        return;
    }
    if let Ok(index) = usize::try_from(index) {
        dispatch::acknowledge(tables, slot, index, now, out);
    }
}

/// Handles the refusal of a dispatch. It proves that the request did not run only if it
/// comes from the incarnation that the dispatch was sent to.
fn handle_refused(
    tables: &mut Tables,
    sender: Target,
    dispatch: u64,
    reason: Reason,
    now: Duration,
    out: &mut Outbox,
) {
    let Some(slot) = tables.requests.by_dispatch(dispatch) else {
        tables.counters.orphan_answers += 1;
        return;
    };
    let row = tables.requests.row(slot);
    if row.state != RequestState::Sent || row.last_dispatch() != dispatch {
        return;
    }
    let expected = row.target.map_or(0, |target| target.incarnation);
    let reason = if sender.incarnation == expected {
        reason
    } else {
        Reason::EndpointLost
    };
    tables.counters.refused_dispatches += 1;
    retry::handle_refusal(tables, slot, reason, now, out);
}

fn handle_answer(
    tables: &mut Tables,
    packet: &Packet,
    dispatch: u64,
    part: &Part,
    out: &mut Outbox,
) {
    let Some(slot) = tables.requests.by_dispatch(dispatch) else {
        tables.counters.orphan_answers += 1;
        return;
    };
    if tables.requests.row(slot).last_dispatch() == dispatch {
        outcome::release_endpoint(tables, slot);
    }
    let row = tables.requests.row_mut(slot);
    if row.state == RequestState::Answered || !row.insert_answer_part(dispatch, part) {
        return;
    }
    if packet.hops == 0 {
        outcome::forward_answer(row, dispatch, part, out);
    }
    if row.answered_dispatch == dispatch && row.answer_parts.is_complete() {
        row.state = RequestState::Answered;
        row.request_parts.clear();
        tables.counters.answered_requests += 1;
        tables.requests.unqueue(slot);
    }
}
