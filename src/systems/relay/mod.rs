//! Relay of flows whose payload this host does not read.
//!
//! An opening segment is assigned to an endpoint and gets the endpoint's cookie. Later
//! segments are routed by their cookie, even if this lane has no state of the flow. The
//! retransmissions and acknowledgements of callers show which endpoints answer.

mod admission;
mod busy_slots;
pub mod capacity_share;
mod eligibility;
mod established;
mod evidence;
pub mod explain;
mod failure_detector;
mod findings;
mod liveness;
mod open;
mod outliers;
mod overload_queue;
pub(super) mod placement;
mod rank_limits;
mod report;
mod route_state;
mod shared_health;
mod silent_zone;
mod timeouts;
pub(super) mod warmup;
mod zone_evidence;
pub mod zone_spill;

use std::time::Duration;

use crate::clock::millis;
use crate::id::{Id, Name};
use crate::segment::{RelayAction, RequestKind, Segment};
use crate::tables::{CookieEndpoint, Outbox, Tables, TrackedFlow, TrackedState, observe};

/// Processes the segments received in this tick.
pub(super) fn run(tables: &mut Tables, now: Duration, out: &mut Outbox) {
    timeouts::forget_before_pause(tables, now);
    for segment in std::mem::take(&mut tables.segments) {
        tables.counters.received_segments += 1;
        tables.tracked_flows.note_segment(now);
        if tables.snapshot.routes.is_empty() {
            // A host that has just started has no routes or endpoints yet. The segment
            // is dropped, and the caller retransmits it.
            continue;
        }
        for ready in overload_queue::admit(tables, segment, now, out) {
            process_segment(tables, &ready, now, out);
        }
    }
    while let Some(segment) = overload_queue::release_next(tables, now) {
        process_segment(tables, &segment, now, out);
    }
    overload_queue::refuse_due(tables, now, out);
}

/// Forwards or refuses the segments that still wait for their service when the lane stops.
pub(super) fn finish(tables: &mut Tables, now: Duration, out: &mut Outbox) {
    for segment in overload_queue::take_all(tables) {
        process_segment(tables, &segment, now, out);
    }
}

fn process_segment(tables: &mut Tables, segment: &Segment, now: Duration, out: &mut Outbox) {
    if segment.is_opening() {
        open::run(tables, segment, now, out);
    } else {
        established::run(tables, segment, now, out);
    }
}

/// Runs the parts that are driven by time alone.
pub(super) fn run_timers(tables: &mut Tables, now: Duration, out: &mut Outbox) {
    timeouts::forget_before_pause(tables, now);
    failure_detector::run(tables, now, out);
    timeouts::run(tables, now);
    shared_health::run(tables, now, out);
    silent_zone::run(tables, now, out);
    capacity_share::run(tables, now);
    outliers::run(tables, now);
    report::run(tables, now);
    overload_queue::run_timers(tables, now);
    zone_spill::run(tables, now);
    for flow in tables.tracked_flows.expire(now) {
        uncount_flow(tables, &flow);
    }
}

/// Applies the endpoints of a new snapshot.
pub(super) fn sync(tables: &mut Tables, now: Duration) {
    outliers::sync(tables);
    for endpoint in tables.endpoints.mark_replaced() {
        tables.counters.replaced_endpoints += 1;
        log::warn!(endpoint:% = endpoint.name, addr:% = endpoint.addr; "endpoint_replaced");
    }
    for name in tables.cookies.sync(&tables.endpoints, now) {
        log::info!(endpoint:% = name; "endpoint_gone");
    }
}

/// Forwards a segment to an endpoint.
fn forward(segment: &Segment, endpoint: &CookieEndpoint, cookie: Option<u32>, out: &mut Outbox) {
    out.relay_actions.push(RelayAction::Forward {
        to: endpoint.addr,
        endpoint_number: endpoint.number,
        cookie,
        bytes: segment.bytes.clone(),
    });
}

/// Returns the name of an endpoint, or its id when it is no longer listed.
fn endpoint_name(tables: &Tables, id: Id) -> Name {
    let row = tables.endpoints.get(id);
    row.map_or_else(|| format!("{id:?}").into(), |row| row.spec.name.clone())
}

/// Sends a reset to the caller of a segment and logs the cause.
fn reset_flow(segment: &Segment, cause: &str, out: &mut Outbox) {
    log::info!(
        caller:% = segment.addrs.caller, front:% = segment.addrs.vip, cause,
        copies = if segment.is_opening() { segment.ack } else { 0 };
        "reset"
    );
    out.relay_actions.push(RelayAction::Reset {
        addrs: segment.addrs,
        seq: if segment.is_opening() { 0 } else { segment.ack },
    });
}

/// Sends a reset to the caller of a flow whose endpoint is down.
fn reset_down_flow(tables: &mut Tables, flow: &TrackedFlow, now: Duration, out: &mut Outbox) {
    tables.counters.down_resets += 1;
    let row = tables.endpoints.get(flow.endpoint);
    let reported = row
        .and_then(|row| row.down)
        .is_some_and(|down| down.from_reports);
    tables.counters.reported_resets += u64::from(reported);
    let name = endpoint_name(tables, flow.endpoint);
    let waited = flow
        .unanswered_since
        .map(|sent_at| now.saturating_sub(sent_at));
    if let Some(waited) = waited {
        observe(&tables.histograms.reset_time, waited);
    }
    log::info!(
        caller:% = flow.addrs.caller, front:% = flow.addrs.vip, endpoint:% = name,
        cause = "endpoint_down", repeats = flow.retransmissions, reports = reported,
        waited_ms = millis(waited.unwrap_or_default());
        "reset"
    );
    out.relay_actions.push(RelayAction::Reset {
        addrs: flow.addrs,
        seq: flow.acked_seq,
    });
}

/// Returns true when the requests of a flow are idempotent. A flow with other requests
/// is left waiting: its answer may still arrive, and its caller would not retry.
fn is_idempotent(tables: &Tables, flow: &TrackedFlow) -> bool {
    let route = tables.snapshot.routes.get(&flow.addrs.vip);
    route.is_some_and(|route| route.kind == RequestKind::Idempotent)
}

/// Adds a flow to the flow count of its endpoint.
fn count_flow(tables: &mut Tables, id: Id) {
    if let Some(row) = tables.endpoints.get_mut(id) {
        row.flow_count += 1;
    }
}

/// Counts a flow's request as load on its endpoint, with the present rank of its route.
fn add_load(tables: &mut Tables, flow: &mut TrackedFlow, now: Duration) {
    if !flow.counts_load {
        let route = tables.snapshot.routes.get(&flow.addrs.vip);
        flow.counts_load = true;
        flow.load_rank = route.map_or(0, |route| route.shed_rank);
        let (endpoint, rank) = (flow.endpoint, flow.load_rank);
        tables.endpoints.acquire_ranked(endpoint, rank, now);
    }
}

/// Stops counting a flow's request as load.
fn remove_load(tables: &mut Tables, flow: &mut TrackedFlow) {
    if flow.counts_load {
        flow.counts_load = false;
        tables
            .endpoints
            .release_ranked(flow.endpoint, flow.load_rank);
    }
}

/// Removes a flow from the flow count and load of its endpoint. A closing flow was
/// already removed.
fn uncount_flow(tables: &mut Tables, flow: &TrackedFlow) {
    if flow.state == TrackedState::Closing {
        return;
    }
    let mut flow = flow.clone();
    remove_load(tables, &mut flow);
    if let Some(row) = tables.endpoints.get_mut(flow.endpoint) {
        row.flow_count = row.flow_count.saturating_sub(1);
    }
}

/// Removes the flow of a segment from this lane's table.
fn remove_flow(tables: &mut Tables, segment: &Segment) {
    if let Some(flow) = tables.tracked_flows.remove(&segment.addrs) {
        uncount_flow(tables, &flow);
    }
}
