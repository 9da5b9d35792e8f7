//! Forwards the segments of established flows.

use std::time::Duration;

use super::liveness::{self, Liveness};
use super::route_state::{self, RouteState};
use super::{
    count_flow, forward, outliers, remove_flow, reset_down_flow, reset_flow, uncount_flow,
};
use crate::id::Id;
use crate::segment::{Segment, SegmentKind};
use crate::tables::{CookieEndpoint, Outbox, Tables, TrackedFlow, TrackedState, cookie_of};

/// Forwards a segment of an established flow, or resets the flow when its route or endpoint
/// was removed or its endpoint is down.
pub(super) fn run(tables: &mut Tables, segment: &Segment, now: Duration, out: &mut Outbox) {
    match route_state::of_segment(tables, segment) {
        RouteState::InForce => {}
        RouteState::Unknown => note_unknown_route(tables, segment),
        RouteState::Removed => return end_flow(tables, segment, "route_removed", out),
        RouteState::Missing => return end_flow(tables, segment, "route_missing", out),
    }
    let Some(endpoint) = find_endpoint(tables, segment) else {
        tables.counters.unknown_cookies += 1;
        log::warn!(
            caller:% = segment.addrs.caller, front:% = segment.addrs.vip, cookie = segment.cookie,
            revision = tables.snapshot.revision.number;
            "cookie_unknown"
        );
        return;
    };
    if segment.kind == SegmentKind::Reset {
        if let Some(mut flow) = tables.tracked_flows.of_segment(segment).cloned() {
            outliers::note_close(tables, &mut flow, segment.ack, now);
        }
        remove_flow(tables, segment);
        forward(segment, &endpoint, None, out);
        return;
    }
    if endpoint.removed_at.is_some() && segment.len > 0 {
        tables.counters.gone_resets += 1;
        remove_flow(tables, segment);
        reset_flow(segment, "endpoint_gone", out);
        return;
    }
    let mut flow = tracked_flow(tables, segment, &endpoint, now);
    match liveness::update_flow(tables, &mut flow, segment, now) {
        Liveness::Down => {
            tables.tracked_flows.remove(&segment.addrs);
            uncount_flow(tables, &flow);
            flow.acked_seq = segment.ack;
            reset_down_flow(tables, &flow, now, out);
        }
        Liveness::Alive => {
            tables.tracked_flows.insert(flow);
            forward(segment, &endpoint, None, out);
        }
    }
}

/// Removes a flow whose route operators have removed, and resets it.
fn end_flow(tables: &mut Tables, segment: &Segment, cause: &str, out: &mut Outbox) {
    tables.counters.route_resets += 1;
    remove_flow(tables, segment);
    if segment.kind != SegmentKind::Reset {
        reset_flow(segment, cause, out);
    }
}

/// Counts a segment whose route this host does not know, and logs the first one of its flow.
fn note_unknown_route(tables: &mut Tables, segment: &Segment) {
    tables.counters.unknown_routes += 1;
    if tables.tracked_flows.of_segment(segment).is_none() {
        log::info!(
            caller:% = segment.addrs.caller, front:% = segment.addrs.vip, cookie = segment.cookie,
            revision = tables.snapshot.revision.number;
            "route_unknown"
        );
    }
}

/// Returns the endpoint of a segment: the one that its cookie identifies.
///
/// The exception is a cookie that the caller has from a late answer to a copy of its opening. The
/// flow is open at the endpoint whose cookie this lane saw first.
fn find_endpoint(tables: &mut Tables, segment: &Segment) -> Option<CookieEndpoint> {
    let flow = tables.tracked_flows.of_segment(segment);
    let opened = flow.filter(|flow| flow.state != TrackedState::Opening);
    if let Some(flow) = opened {
        let own_cookie = cookie_of(flow.endpoint);
        let mut copies = flow.tried_endpoints.iter().map(|id| cookie_of(*id));
        if segment.cookie != own_cookie && copies.any(|cookie| cookie == segment.cookie) {
            tables.counters.cookie_moves += 1;
            return tables.cookies.find(own_cookie).cloned();
        }
    }
    tables.cookies.find(segment.cookie).cloned()
}

/// Returns the tracked flow of a segment, assigned to `endpoint`.
fn tracked_flow(
    tables: &mut Tables,
    segment: &Segment,
    endpoint: &CookieEndpoint,
    now: Duration,
) -> TrackedFlow {
    match tables.tracked_flows.of_segment(segment).cloned() {
        Some(flow) if flow.endpoint == endpoint.id => flow,
        Some(flow) if flow.state == TrackedState::Opening => {
            move_opening(tables, flow, endpoint.id)
        }
        _ => {
            remove_flow(tables, segment);
            count_flow(tables, endpoint.id);
            TrackedFlow::new(segment, endpoint.id, now)
        }
    }
}

/// Assigns a flow that was opening to the endpoint whose answer its caller has acknowledged.
fn move_opening(tables: &mut Tables, mut flow: TrackedFlow, endpoint: Id) -> TrackedFlow {
    uncount_flow(tables, &flow);
    flow.counts_load = false;
    flow.watched = None;
    flow.assumed_request = None;
    flow.tried_endpoints.push(flow.endpoint);
    flow.endpoint = endpoint;
    count_flow(tables, endpoint);
    flow
}
