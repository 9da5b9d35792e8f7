//! Queue for requests to services that are at their concurrency limit.
//!
//! After an outage callers reconnect together and send more requests than endpoints can
//! queue. Endpoints refuse the excess and callers retry at once, so refusals increase
//! the load. Each host therefore limits its share of a service's requests in progress
//! to a small multiple of the service's slots. Requests above the limit wait in this
//! queue. The newest is released first, because its caller has the most time left.

use std::sync::Arc;
use std::time::Duration;

use super::eligibility::is_exempt_from_limit;
use super::{process_segment, warmup};
use crate::clock::millis;
use crate::id::Id;
use crate::segment::{Segment, SegmentKind, is_seq_after};
use crate::tables::{HeldRequest, Outbox, Tables};

/// Maximum time that a request waits in the queue. Callers abandon an opening after
/// 1.4 s, and retransmit data at least once in that time.
const MAX_QUEUE_TIME: Duration = Duration::from_millis(1_400);

/// Queues a segment whose service is at its limit.
///
/// Returns false when the segment is to be processed now.
pub(super) fn queue_if_full(
    tables: &mut Tables,
    segment: &Segment,
    now: Duration,
    out: &mut Outbox,
) -> bool {
    if let Some(waiting) = tables.held_requests.get(&segment.addrs) {
        let service = waiting.service;
        if segment.kind == SegmentKind::Data && segment.len == 0 {
            return false;
        }
        if is_retransmission(&waiting.segment, segment) {
            enqueue(tables, segment, service, now);
            return true;
        }
        // The caller has sent something new, so its queued segment is processed first,
        // unless the flow is reset or opened again.
        if let Some((_, earlier)) = tables.held_requests.remove(&segment.addrs)
            && segment.kind != SegmentKind::Reset
            && !segment.is_opening()
        {
            process_segment(tables, &earlier.segment, now, out);
        }
        return false;
    }
    let Some(service) = requested_service(tables, segment) else {
        return false;
    };
    if !is_at_limit(tables, service) || is_exempt_from_limit(tables, segment, now) {
        return false;
    }
    if segment.is_opening() && warmup::is_service_barred(tables, service, now) {
        // Waiting does not help soon, so the opening is refused at once.
        return false;
    }
    tables.counters.held_requests += 1;
    log::info!(
        caller:% = segment.addrs.caller, front:% = segment.addrs.vip,
        running = tables.endpoints.own_requests(service), room = tables.held_requests.capacity(service),
        waiting = tables.held_requests.len();
        "held"
    );
    enqueue(tables, segment, service, now);
    true
}

/// Processes queued segments whose service is below its limit, the newest first.
pub(super) fn release_queued(tables: &mut Tables, now: Duration, out: &mut Outbox) {
    while let Some(next) = next_startable(tables, now) {
        let Some((since, waiting)) = tables.held_requests.remove(&next.segment.addrs) else {
            return;
        };
        log::info!(
            caller:% = waiting.segment.addrs.caller, front:% = waiting.segment.addrs.vip,
            waited_ms = millis(now.saturating_sub(since));
            "released"
        );
        process_segment(tables, &waiting.segment, now, out);
    }
}

/// Processes all queued segments, whatever the limits of their services, the oldest first.
pub(super) fn release_all(tables: &mut Tables, now: Duration, out: &mut Outbox) {
    for waiting in tables.held_requests.take_all() {
        process_segment(tables, &waiting.segment, now, out);
    }
}

/// Updates the limit of each service, and drops segments that their callers have abandoned.
pub(super) fn run_timers(tables: &mut Tables, now: Duration) {
    let policies = Arc::clone(&tables.policies);
    let services: Vec<Id> = tables.snapshot.services.keys().copied().collect();
    let limits: Vec<_> = services
        .into_iter()
        .map(|service| (service, (policies.relay_limit)(tables, service, now)))
        .collect();
    tables.held_requests.set_capacities(limits.into_iter());
    let expired = tables
        .held_requests
        .expire(now.saturating_sub(MAX_QUEUE_TIME));
    for waiting in expired {
        tables.counters.abandoned_requests += 1;
        log::info!(
            caller:% = waiting.segment.addrs.caller, front:% = waiting.segment.addrs.vip,
            cause = "given_up_by_caller";
            "dropped"
        );
    }
}

/// Adds a segment to the queue; a copy of a queued segment replaces it and keeps its place.
fn enqueue(tables: &mut Tables, segment: &Segment, service: Id, now: Duration) {
    let segment = segment.clone();
    tables
        .held_requests
        .put(HeldRequest { segment, service }, now);
}

/// Returns the newest queued segment that need not wait: its service is below its limit, or the
/// limit has ceased to apply to it.
fn next_startable(tables: &Tables, now: Duration) -> Option<HeldRequest> {
    let mut newest = tables.held_requests.newest_first();
    newest
        .find(|waiting| {
            !is_at_limit(tables, waiting.service)
                || is_exempt_from_limit(tables, &waiting.segment, now)
        })
        .cloned()
}

/// Returns true when a service has as many requests in progress as this lane may start.
fn is_at_limit(tables: &Tables, service: Id) -> bool {
    let limit = tables.held_requests.capacity(service);
    limit.is_some_and(|limit| f64::from(tables.endpoints.own_requests(service)) >= limit)
}

fn is_retransmission(queued: &Segment, segment: &Segment) -> bool {
    queued.kind == segment.kind && queued.seq == segment.seq && queued.len == segment.len
}

/// Returns the service to which a segment brings a new flow or request; `None` when it
/// belongs to an earlier one.
fn requested_service(tables: &Tables, segment: &Segment) -> Option<Id> {
    let flow = tables.tracked_flows.get(&segment.addrs);
    if segment.is_opening() {
        let is_known = flow.is_some_and(|flow| flow.initial_seq == Some(segment.seq));
        let targets = &tables.snapshot.routes.get(&segment.addrs.vip)?.targets;
        let service = targets.iter().map(|(id, _)| *id).next()?;
        return (!is_known).then_some(service);
    }
    let is_new = flow.is_none_or(|flow| {
        flow.unanswered_since.is_none()
            && !flow.counts_load
            && is_seq_after(segment.end_seq(), flow.next_seq)
    });
    let endpoint = tables.cookies.find(segment.cookie)?;
    let row = tables.endpoints.get(endpoint.id)?;
    let starts_request = segment.kind == SegmentKind::Data && segment.len > 0 && is_new;
    (starts_request && row.down.is_none()).then_some(row.service)
}
