//! Detects dead flows and requests the load of endpoints.
//!
//! When the caller of a flow is active, the endpoint is probed for the flow. If the
//! probes get no answer while the endpoint answers others, or if the endpoint answers
//! nobody, the flow is reset on both ends, so that the caller reopens it within seconds.

use std::net::SocketAddr;
use std::time::Duration;

use super::{open, recover};
use crate::id::{FlowKey, Id};
use crate::packet::{Body, Packet, Reason};
use crate::tables::{FlowState, Outbox, Tables};

/// Shortest time between two probes of a flow whose endpoint answers.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which an unanswered probe is sent again.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Time without an answer to probes after which a flow is reset if its endpoint answers
/// others.
const FLOW_TIMEOUT: Duration = Duration::from_secs(3);

/// Time without an answer after which a flow is reset if its endpoint answers nobody.
const ENDPOINT_TIMEOUT: Duration = Duration::from_secs(5);

/// Shortest time between two load requests to an endpoint.
const LOAD_INTERVAL: Duration = Duration::from_millis(100);

pub(super) fn run(tables: &mut Tables, now: Duration, out: &mut Outbox) {
    for key in tables.flows.probed_keys() {
        check_flow(tables, &key, now, out);
    }
}

/// Probes a flow whose caller is active, unless a probe is unanswered or was sent within
/// [`PROBE_INTERVAL`].
pub(super) fn probe_flow(tables: &mut Tables, key: &FlowKey, now: Duration, out: &mut Outbox) {
    let Some(flow) = tables.flows.get_mut(key) else {
        return;
    };
    if flow.state != FlowState::Open
        || flow.unanswered_probe.is_some()
        || now < flow.last_sent + PROBE_INTERVAL
    {
        return;
    }
    flow.unanswered_probe = Some(now);
    tables.flows.mark_probed(key);
    send_probe(tables, key, now, out);
}

/// Sends a probe for a flow to its endpoint.
fn send_probe(tables: &mut Tables, key: &FlowKey, now: Duration, out: &mut Outbox) {
    let Some(flow) = tables.flows.get_mut(key) else {
        return;
    };
    flow.last_sent = now;
    let target = flow.target;
    let packet = open::packet_of(flow);
    open::send_to_endpoint(tables, &packet, target, Body::Probe, out);
}

/// Asks an endpoint for its load and incarnation.
pub(super) fn request_load(tables: &mut Tables, id: Id, now: Duration, out: &mut Outbox) {
    let Some(row) = tables.endpoints.get_mut(id) else {
        return;
    };
    if row.last_probe != Duration::ZERO && now < row.last_probe + LOAD_INTERVAL {
        return;
    }
    row.last_probe = now;
    let target = row.ticket_target();
    let packet = probe_packet(row.service, tables.home.addr);
    open::send_to_endpoint(tables, &packet, Some(target), Body::Probe, out);
}

/// Builds a packet that belongs to no flow, to probe an endpoint itself.
fn probe_packet(service: Id, caller: SocketAddr) -> Packet {
    Packet {
        service,
        caller,
        flow: 0,
        hops: 0,
        ticket: bytes::Bytes::new(),
        body: Body::Probe,
    }
}

/// Resends the unanswered probe of a flow, or resets the flow after the timeout.
fn check_flow(tables: &mut Tables, key: &FlowKey, now: Duration, out: &mut Outbox) {
    let Some(flow) = tables.flows.get(key) else {
        return;
    };
    let (Some(probed_at), Some(target)) = (flow.unanswered_probe, flow.target) else {
        return;
    };
    let last_sent = flow.last_sent;
    let probed_at = probed_at.max(tables.last_resume);
    let unanswered = now.saturating_sub(probed_at);
    if unanswered < FLOW_TIMEOUT {
        if now >= last_sent + RETRY_INTERVAL {
            send_probe(tables, key, now, out);
        }
        return;
    }
    let answers_others = tables
        .endpoints
        .get(target.endpoint)
        .is_some_and(|row| row.last_heard > probed_at);
    let reason = match answers_others {
        true => Reason::Silent,
        false if unanswered >= ENDPOINT_TIMEOUT => Reason::EndpointLost,
        false => return,
    };
    tables.counters.silent_resets += 1;
    let packet = open::packet_of(flow);
    open::send_to_endpoint(tables, &packet, Some(target), Body::Close, out);
    recover::reset_flow(tables, key, reason, out);
}
