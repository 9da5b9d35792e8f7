//! Queue for requests to services that are at their concurrency limit.
//!
//! After an outage callers reconnect together and send more requests than endpoints can
//! queue. Endpoints refuse the excess and callers retry at once, so refusals increase
//! the load. Each host therefore limits its share of a service's requests in progress
//! to a small multiple of the service's slots. Requests above the limit wait in this
//! queue. [`admission`] decides which goes next and which openings are refused.

use std::sync::Arc;
use std::time::Duration;

use smallvec::{SmallVec, smallvec};

use super::admission::{self, Shortage};
use super::eligibility::is_exempt_from_limit;
use super::rank_limits::{self, Room};
use super::warmup;
use crate::clock::millis;
use crate::id::Id;
use crate::segment::{FlowAddrs, RelayAction, Route, Segment, SegmentKind, is_seq_after};
use crate::tables::{HeldRequest, HeldRequests, Outbox, Refusal, Tables};

/// Minimum time between two checks for refusals, much less than a tenth of the shortest target
/// latency (25 ms), within which a refusal is sent after it is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Segments to process now, in order.
pub(super) type ReadySegments = SmallVec<[Segment; 2]>;

/// What happens to a request when it arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Admission {
    /// It starts at once.
    Start,
    /// It waits for capacity.
    Wait,
    /// It is refused, since it cannot be answered in time.
    Refuse(Shortage),
}

/// Takes a received segment. Returns the segments to process now: none if this one waits or
/// was refused, and an earlier one of its flow first if that still waits.
pub(super) fn admit(
    tables: &mut Tables,
    segment: Segment,
    now: Duration,
    out: &mut Outbox,
) -> ReadySegments {
    if let Some(waiting) = tables.held_requests.get(&segment.addrs) {
        if segment.kind == SegmentKind::Data && segment.len == 0 {
            return smallvec![segment];
        }
        if is_retransmission(&waiting.segment, &segment) {
            let mut waiting = waiting.clone();
            waiting.segment = segment;
            tables.held_requests.put(waiting);
            return smallvec![];
        }
        // The caller has sent something new, so its queued segment is processed first,
        // unless the flow is reset or opened again.
        let earlier = tables.held_requests.remove(&segment.addrs);
        let is_over = segment.kind == SegmentKind::Reset || segment.is_opening();
        let earlier = earlier.filter(|_| !is_over).map(|waiting| waiting.segment);
        return earlier.into_iter().chain([segment]).collect();
    }
    let Some((service, route)) = requested_service(tables, &segment, now) else {
        return smallvec![segment];
    };
    let waiting = arriving(service, route, segment, now);
    let bucket = tables
        .held_requests
        .note_caller(&waiting.segment.addrs, now);
    let waiting = HeldRequest { bucket, ..waiting };
    tables.demand.note_arrival(service, now);
    tables
        .held_requests
        .note_arrival(service, waiting.rank, now);
    let admission = decide(tables, &tables.held_requests, &waiting, now);
    if admission == Admission::Start {
        return smallvec![waiting.segment];
    }
    tables.demand.note_wait(service, now);
    if let Admission::Refuse(shortage) = admission {
        refuse(tables, &waiting, shortage, now, out);
    } else {
        hold(tables, waiting);
    }
    smallvec![]
}

/// Returns a request that arrives, before its caller is counted.
pub(super) fn arriving(service: Id, route: &Route, segment: Segment, now: Duration) -> HeldRequest {
    HeldRequest {
        service,
        rank: route.shed_rank,
        kind: route.kind,
        target_latency: route.target_latency,
        timeout: route.timeout,
        bucket: usize::MAX,
        arrived: now.saturating_sub(admission::age_of(&segment)),
        segment,
    }
}

/// Decides about a request that arrives; `held` are the waiting requests after its caller was
/// counted.
pub(super) fn decide(
    tables: &Tables,
    held: &HeldRequests,
    request: &HeldRequest,
    now: Duration,
) -> Admission {
    let (service, segment) = (request.service, &request.segment);
    // Without an endpoint that it may reach, an opening is refused when it is processed.
    let is_barred = segment.is_opening() && warmup::is_service_barred(tables, service, now);
    // A request of a higher rank that still waits goes first, at the end of this tick.
    let may_start = rank_limits::room(tables, service, request.rank) == Room::Free
        && !held.has_higher(service, request.rank);
    if may_start || is_exempt_from_limit(tables, segment, now) || is_barred {
        return Admission::Start;
    }
    if !segment.is_opening() {
        return Admission::Wait;
    }
    let share = rank_limits::share(tables, service, request.rank);
    let shortage = admission::arrival_shortage(held, request, share, now);
    shortage.map_or(Admission::Wait, Admission::Refuse)
}

/// Removes the next waiting segment that is to be processed now: one whose service is below its
/// limit, or one of an open flow whose time is nearly over.
pub(super) fn release_next(tables: &mut Tables, now: Duration) -> Option<Segment> {
    let held = &tables.held_requests;
    let rooms = rank_limits::rooms(tables);
    let room_of = |waiting: &HeldRequest| {
        if is_exempt_from_limit(tables, &waiting.segment, now) {
            return Room::Free;
        }
        rooms.of(waiting.service, waiting.rank)
    };
    let overdue = admission::next_overdue(held, now);
    let is_overdue = overdue.is_some();
    let addrs = overdue.or_else(|| admission::next_release(held, room_of, now))?;
    let waiting = tables.held_requests.remove(&addrs)?;
    tables
        .held_requests
        .note_release(waiting.service, waiting.rank, is_overdue, now);
    log::info!(
        caller:% = addrs.caller, front:% = addrs.vip, rank = waiting.rank,
        waited_ms = millis(now.saturating_sub(waiting.arrived));
        "released"
    );
    Some(waiting.segment)
}

/// Removes all waiting segments, the oldest first.
pub(super) fn take_all(tables: &mut Tables) -> Vec<Segment> {
    let waiting = tables.held_requests.take_all().into_iter();
    waiting.map(|waiting| waiting.segment).collect()
}

/// Refuses the waiting openings that cannot be answered in time.
pub(super) fn refuse_due(tables: &mut Tables, now: Duration, out: &mut Outbox) {
    let held = &mut tables.held_requests;
    if held.is_empty() || now < held.last_check + CHECK_INTERVAL {
        return;
    }
    held.last_check = now;
    held.forget_refusals(now);
    let share_of = |service, rank| rank_limits::share(tables, service, rank);
    for (addrs, shortage) in admission::due_refusals(&tables.held_requests, share_of, now) {
        if let Some(waiting) = tables.held_requests.remove(&addrs) {
            refuse(tables, &waiting, shortage, now, out);
        }
    }
}

/// Updates the limit of each service, and drops requests that their callers have abandoned.
pub(super) fn run_timers(tables: &mut Tables, now: Duration) {
    let policies = Arc::clone(&tables.policies);
    let services: Vec<Id> = tables.snapshot.services.keys().copied().collect();
    let limit_of = |service| (policies.relay_limit)(tables, service, now);
    let limits: Vec<_> = services.iter().map(|id| (*id, limit_of(*id))).collect();
    tables.held_requests.set_limits(limits, now);
    tables.held_requests.forget_refusals(now);
    let rows = tables.held_requests.iter();
    let abandoned: Vec<FlowAddrs> = rows
        .filter(|waiting| now >= admission::give_up_time(waiting))
        .map(|waiting| waiting.segment.addrs)
        .collect();
    for addrs in abandoned {
        tables.held_requests.remove(&addrs);
        tables.counters.abandoned_requests += 1;
        log::info!(
            caller:% = addrs.caller, front:% = addrs.vip, cause = "given_up_by_caller";
            "dropped"
        );
    }
}

/// Adds a request to the queue.
fn hold(tables: &mut Tables, waiting: HeldRequest) {
    tables.counters.held_requests += 1;
    let addrs = waiting.segment.addrs;
    let limit = tables.held_requests.limit(waiting.service);
    let used = rank_limits::usage(tables, waiting.service, waiting.rank);
    log::info!(
        caller:% = addrs.caller, front:% = addrs.vip, rank = waiting.rank,
        running = tables.endpoints.own_requests(waiting.service), of_rank = used.own,
        room = limit.map(|limit| limit.requests), taken = used.taken, waiting = tables.held_requests.len();
        "held"
    );
    tables.held_requests.put(waiting);
}

/// Refuses an opening: nothing of its flow has run.
fn refuse(
    tables: &mut Tables,
    waiting: &HeldRequest,
    shortage: Shortage,
    now: Duration,
    out: &mut Outbox,
) {
    tables.counters.refused_capacity += 1;
    let (service, addrs) = (waiting.service, waiting.segment.addrs);
    tables.held_requests.note_refusal(Refusal {
        at: now,
        service,
        rank: waiting.rank,
        bucket: waiting.bucket,
    });
    let mut remote = tables.endpoints.of_service(service);
    let elsewhere = remote.any(|row| {
        let is_usable = row.accepts_work(now) && row.down.is_none();
        !row.spec.local && is_usable && row.own_requests < row.spec.slots
    });
    log::info!(
        caller:% = addrs.caller, front:% = addrs.vip, cause = "no_capacity",
        ahead = shortage.ahead, each_us = Duration::from_secs_f64(shortage.seconds_each).as_micros(),
        waited_ms = millis(now.saturating_sub(waiting.arrived)),
        target_ms = millis(waiting.target_latency), rank = waiting.rank, elsewhere;
        "refused"
    );
    out.relay_actions.push(RelayAction::Reset { addrs, seq: 0 });
}

fn is_retransmission(queued: &Segment, segment: &Segment) -> bool {
    queued.kind == segment.kind && queued.seq == segment.seq && queued.len == segment.len
}

/// Returns the service to which a segment brings a new flow or request, and its route; `None`
/// when it belongs to an earlier one.
fn requested_service<'a>(
    tables: &'a Tables,
    segment: &Segment,
    now: Duration,
) -> Option<(Id, &'a Route)> {
    let route = tables.snapshot.routes.get(&segment.addrs.vip);
    if segment.is_opening() {
        let flow = tables.tracked_flows.get(&segment.addrs);
        let is_known = flow.is_some_and(|flow| flow.is_opened_by(segment, now));
        let service = route?.targets.iter().map(|(id, _)| *id).next()?;
        return (!is_known).then_some((service, route?));
    }
    let flow = tables.tracked_flows.of_segment(segment);
    let is_new = flow.is_none_or(|flow| {
        flow.unanswered_since.is_none()
            && !flow.counts_load
            && is_seq_after(segment.end_seq(), flow.next_seq)
    });
    let endpoint = tables.cookies.find(segment.cookie)?;
    let row = tables.endpoints.get(endpoint.id)?;
    let starts_request = segment.kind == SegmentKind::Data && segment.len > 0 && is_new;
    (starts_request && row.down.is_none()).then_some((row.service, route?))
}
