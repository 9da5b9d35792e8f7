//! Forwards the segments of established flows.

use std::time::Duration;

use super::liveness::{self, Liveness};
use super::{
    count_flow, forward, outliers, remove_flow, reset_down_flow, reset_flow, uncount_flow,
};
use crate::segment::{Segment, SegmentKind};
use crate::tables::{CookieEndpoint, Outbox, Tables, TrackedFlow, TrackedState};

/// Forwards a segment of an established flow, or resets the flow when its route or endpoint
/// no longer exists or its endpoint is down.
pub(super) fn run(tables: &mut Tables, segment: &Segment, now: Duration, out: &mut Outbox) {
    if !tables.snapshot.routes.contains_key(&segment.addrs.vip) {
        tables.counters.route_resets += 1;
        remove_flow(tables, segment);
        if segment.kind != SegmentKind::Reset {
            reset_flow(segment, "route_removed", out);
        }
        return;
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
        if let Some(mut flow) = tables.tracked_flows.get(&segment.addrs).cloned() {
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

/// Returns the endpoint of a segment: the one at which this lane saw the flow open, or
/// else the one that the cookie identifies.
fn find_endpoint(tables: &mut Tables, segment: &Segment) -> Option<CookieEndpoint> {
    let by_cookie = tables.cookies.find(segment.cookie).cloned();
    let Some(flow) = tables.tracked_flows.get(&segment.addrs) else {
        return by_cookie;
    };
    let opened = flow.state != TrackedState::Opening;
    let differs = by_cookie.as_ref().is_none_or(|row| row.id != flow.endpoint);
    if opened && differs {
        tables.counters.cookie_moves += 1;
        let cookie = crate::tables::cookie_of(flow.endpoint);
        return tables.cookies.find(cookie).cloned().or(by_cookie);
    }
    by_cookie
}

/// Returns the tracked flow of a segment, assigned to `endpoint`.
fn tracked_flow(
    tables: &mut Tables,
    segment: &Segment,
    endpoint: &CookieEndpoint,
    now: Duration,
) -> TrackedFlow {
    let Some(mut flow) = tables.tracked_flows.get(&segment.addrs).cloned() else {
        count_flow(tables, endpoint.id);
        return TrackedFlow::new(segment, endpoint.id, now);
    };
    if flow.endpoint != endpoint.id {
        uncount_flow(tables, &flow);
        flow.counts_load = false;
        flow.watched = None;
        flow.assumed_request = None;
        flow.endpoint = endpoint.id;
        count_flow(tables, endpoint.id);
    }
    flow
}
