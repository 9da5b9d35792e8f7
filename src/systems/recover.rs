//! Recovers the endpoint of a flow that this home has no row for.
//!
//! A new or restarted home asks the service's endpoints which of them holds the flow.
//! Endpoints know their flows as part of the transport, so flows are neither replicated
//! to a second host nor announced in control traffic.

use std::time::Duration;

use super::{open, placement};
use crate::id::{FlowKey, Id};
use crate::packet::{Body, Reason};
use crate::tables::{EndpointRow, Flow, FlowState, Outbox, Tables};
use crate::ticket::Target;

/// Time after which an endpoint that has not answered is probed again.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which endpoints that have not answered are assumed not to hold the flow.
const RECOVERY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The same for a flow that its caller asks to open, which is probably new.
const NEW_FLOW_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which another endpoint is tried for a flow that was not accepted.
const OPEN_TIMEOUT: Duration = Duration::from_millis(600);

pub(super) fn run(tables: &mut Tables, now: Duration, out: &mut Outbox) {
    for key in tables.flows.unopened_keys() {
        advance(tables, &key, now, out);
    }
}

/// Asks the endpoints of the flow's service whether they hold it. Unresponsive ones are
/// left out for a flow that its caller asks to open.
pub(super) fn probe_endpoints(tables: &mut Tables, key: &FlowKey, now: Duration, out: &mut Outbox) {
    let Some((service, open_requested)) = tables
        .flows
        .get(key)
        .map(|flow| (flow.service, flow.open_requested))
    else {
        return;
    };
    let endpoints: Vec<Id> = tables
        .endpoints
        .of_service(service)
        .filter(|row| !open_requested || !placement::is_unresponsive(row, now))
        .map(|row| row.spec.id)
        .collect();
    if let Some(flow) = tables.flows.get_mut(key) {
        flow.unanswered_endpoints = endpoints;
    }
    send_probes(tables, key, now, out);
    if tables
        .flows
        .get(key)
        .is_some_and(|flow| flow.unanswered_endpoints.is_empty())
    {
        give_up(tables, key, now, out);
    }
}

/// Handles an endpoint's answer to whether it holds the flow.
pub(super) fn on_answer(
    tables: &mut Tables,
    key: &FlowKey,
    target: Target,
    known: bool,
    now: Duration,
    out: &mut Outbox,
) {
    let Some(flow) = tables.flows.get_mut(key) else {
        return;
    };
    if flow.state != FlowState::Recovering {
        return;
    }
    if known {
        tables.counters.recovered_flows += 1;
        open::mark_open(tables, key, target, now, out);
        return;
    }
    flow.unanswered_endpoints
        .retain(|id| *id != target.endpoint);
    if flow.unanswered_endpoints.is_empty() {
        give_up(tables, key, now, out);
    }
}

/// Removes a flow and sends its caller a reset.
pub(super) fn reset_flow(tables: &mut Tables, key: &FlowKey, reason: Reason, out: &mut Outbox) {
    let Some(flow) = tables.flows.remove(key) else {
        return;
    };
    tables.counters.flow_resets += 1;
    release_endpoint(tables, &flow);
    out.reply(&open::packet_of(&flow), Body::Reset { reason });
}

/// Subtracts an open flow from its endpoint's flow count.
pub(super) fn release_endpoint(tables: &mut Tables, flow: &Flow) {
    if flow.state != FlowState::Open {
        return;
    }
    let row = flow
        .target
        .and_then(|target| tables.endpoints.get_mut(target.endpoint));
    if let Some(row) = row {
        row.flow_count = row.flow_count.saturating_sub(1);
    }
}

/// Resends the unanswered packets for a flow that is not open, or gives up after the
/// timeout.
fn advance(tables: &mut Tables, key: &FlowKey, now: Duration, out: &mut Outbox) {
    let Some(flow) = tables.flows.get(key) else {
        return;
    };
    let age = now.saturating_sub(flow.state_since.max(tables.last_resume));
    let due = now >= flow.last_sent + PROBE_INTERVAL;
    let limit = if flow.open_requested {
        NEW_FLOW_TIMEOUT
    } else {
        RECOVERY_TIMEOUT
    };
    match flow.state {
        FlowState::Recovering if age >= limit => give_up(tables, key, now, out),
        FlowState::Recovering if due => send_probes(tables, key, now, out),
        FlowState::Opening if age >= OPEN_TIMEOUT => try_next_endpoint(tables, key, now, out),
        FlowState::Opening if due && is_evacuated(tables, flow) => {
            if let Some(target) = flow.target {
                open::handle_refusal(tables, key, target, out, now);
            }
        }
        FlowState::Opening if due => open::send_open(tables, key, now, out),
        _ => {}
    }
}

/// Returns true if the endpoint to which a flow is being opened gets no new flows any more,
/// because its zone is evacuated.
fn is_evacuated(tables: &Tables, flow: &Flow) -> bool {
    let row = flow
        .target
        .and_then(|target| tables.endpoints.get(target.endpoint));
    row.is_some_and(|row| row.evacuated)
}

fn send_probes(tables: &mut Tables, key: &FlowKey, now: Duration, out: &mut Outbox) {
    let Some(flow) = tables.flows.get_mut(key) else {
        return;
    };
    flow.last_sent = now;
    let packet = open::packet_of(flow);
    for id in flow.unanswered_endpoints.clone() {
        let target = tables.endpoints.get(id).map(EndpointRow::ticket_target);
        if target.is_some() {
            open::send_to_endpoint(tables, &packet, target, Body::Probe, out);
        }
    }
}

/// Handles a flow that no endpoint holds: opens it anew if the caller asked for that,
/// and resets it otherwise.
fn give_up(tables: &mut Tables, key: &FlowKey, now: Duration, out: &mut Outbox) {
    let Some(flow) = tables.flows.get(key) else {
        return;
    };
    if flow.open_requested {
        open::assign_endpoint(tables, key, now, out);
    } else {
        reset_flow(tables, key, Reason::FlowLost, out);
    }
}

/// Tries another endpoint for a flow whose endpoint did not answer the open packet.
fn try_next_endpoint(tables: &mut Tables, key: &FlowKey, now: Duration, out: &mut Outbox) {
    let Some(target) = tables.flows.get(key).and_then(|flow| flow.target) else {
        return;
    };
    placement::record_failure(tables, target.endpoint, now);
    open::handle_refusal(tables, key, target, out, now);
}
