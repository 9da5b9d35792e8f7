//! Dispatches queued requests to endpoints with a free slot.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use super::{open, outcome, placement, probe};
use crate::id::Id;
use crate::packet::{Body, Class, ExecutionStatus, Reason};
use crate::tables::{EndpointRow, Outbox, Request, RequestState, Tables};

/// Number of request parts sent before waiting for acknowledgements.
const PART_WINDOW: usize = 64;

pub(super) fn run(tables: &mut Tables, now: Duration, out: &mut Outbox) {
    for service in tables.requests.queued_services() {
        probe_unknown(tables, service, now, out);
        dispatch_queued(tables, service, now, out);
        if tables.requests.has_queued(service) {
            placement::refresh_loads(tables, service, now, out);
        }
    }
}

/// Returns the queued request with the earliest deadline in the class of highest rank,
/// ignoring the classes in `blocked`.
pub(super) fn next_request(tables: &Tables, service: Id, blocked: &[Class]) -> Option<usize> {
    let policy = tables.snapshot.services.get(&service);
    let rank = |class: &Class| policy.map_or(0, |policy| policy.classes[class.index()].rank);
    Class::ALL
        .iter()
        .filter(|class| !blocked.contains(class))
        .filter_map(|class| {
            Some((
                rank(class),
                tables.requests.queued_slots(service, *class).next()?,
            ))
        })
        .max_by_key(|(rank, slot)| (*rank, Reverse(tables.requests.row(*slot).deadline)))
        .map(|(_, slot)| slot)
}

/// Probes endpoints whose incarnation is unknown, since a dispatch must name it.
fn probe_unknown(tables: &mut Tables, service: Id, now: Duration, out: &mut Outbox) {
    let unknown: Vec<Id> = tables
        .endpoints
        .of_service(service)
        .filter(|row| row.load.incarnation == 0)
        .map(|row| row.spec.id)
        .collect();
    for id in unknown {
        probe::request_load(tables, id, now, out);
    }
}

/// Dispatches the queued requests of a service until no class finds a free slot.
fn dispatch_queued(tables: &mut Tables, service: Id, now: Duration, out: &mut Outbox) {
    let policies = Arc::clone(&tables.policies);
    let mut blocked: SmallVec<[Class; Class::ALL.len()]> = SmallVec::new();
    while let Some(slot) = (policies.next_request)(tables, service, &blocked) {
        if !(policies.can_finish)(tables, slot, now) {
            outcome::end_unsent(tables, slot, Reason::Late, out);
            continue;
        }
        let class = tables.requests.row(slot).class;
        let Some(endpoint) = (policies.place_request)(tables, service, class, now) else {
            if !class.is_long_running() {
                tables.endpoints.note_slot_shortage(service, now);
            }
            blocked.push(class);
            continue;
        };
        tables.requests.unqueue(slot);
        if may_dispatch(tables, slot, now) {
            dispatch_request(tables, slot, endpoint, now, out);
        } else {
            outcome::end(tables, slot, ExecutionStatus::Unknown, Reason::NoLease, out);
        }
    }
}

/// Returns true if the request may be dispatched now. At-most-once requests of callers
/// without a ticket need a lease that is still valid.
fn may_dispatch(tables: &Tables, slot: usize, now: Duration) -> bool {
    let row = tables.requests.row(slot);
    let needs_no_lease = row.has_ticket || !row.class.is_at_most_once();
    let snapshot = &tables.snapshot;
    needs_no_lease || snapshot.may_dispatch(&row.id.flow, &tables.home, now)
}

/// Dispatches a request to an endpoint.
fn dispatch_request(
    tables: &mut Tables,
    slot: usize,
    endpoint: Id,
    now: Duration,
    out: &mut Outbox,
) {
    let Some(target) = tables
        .endpoints
        .get(endpoint)
        .map(EndpointRow::ticket_target)
    else {
        return;
    };
    tables.requests.add_dispatch(slot);
    let row = tables.requests.row_mut(slot);
    row.state = RequestState::Sent;
    row.target = Some(target);
    row.dispatched_at = now;
    row.holds_slot = true;
    row.acked_parts = vec![false; row.request_parts.total()];
    let (service, class) = (row.service, row.class);
    let service_time = tables
        .snapshot
        .services
        .get(&service)
        .map_or(Duration::ZERO, |service| {
            service.classes[class.index()].service_time
        });
    tables.endpoints.acquire(endpoint, service_time, now);
    if let Some(row) = tables.endpoints.get_mut(endpoint) {
        row.unanswered_since.get_or_insert(now);
    }
    transmit(tables, slot, now, out);
}

/// Sends the first parts that the endpoint has not acknowledged. If it has acknowledged
/// all of them, part zero is sent again to ask for the result.
pub(super) fn transmit(tables: &mut Tables, slot: usize, now: Duration, out: &mut Outbox) {
    tables.counters.dispatches += 1;
    let row = tables.requests.row_mut(slot);
    row.last_sent = now;
    let packet = outcome::packet_of(row);
    let target = row.target;
    for body in next_parts(row, now) {
        open::send_to_endpoint(tables, &packet, target, body, out);
    }
}

/// Records the acknowledgement of a part, and sends the next parts once a whole window
/// has been acknowledged.
pub(super) fn acknowledge(
    tables: &mut Tables,
    slot: usize,
    index: usize,
    now: Duration,
    out: &mut Outbox,
) {
    let row = tables.requests.row_mut(slot);
    let is_first = row.holds_slot && !row.acked_parts.iter().any(|acked| *acked);
    let Some(acked) = row.acked_parts.get_mut(index) else {
        return;
    };
    if is_first
        && let Some(target) = row.target
        && let Some(endpoint) = tables.endpoints.get_mut(target.endpoint)
    {
        endpoint.acked_requests += 1;
    }
    if std::mem::replace(acked, true) || row.state != RequestState::Sent {
        return;
    }
    let acked_count = row.acked_parts.iter().filter(|acked| **acked).count();
    if acked_count < row.acked_parts.len() && acked_count.is_multiple_of(PART_WINDOW) {
        transmit(tables, slot, now, out);
    }
}

/// Returns the next packets to send to the request's endpoint.
fn next_parts(row: &Request, now: Duration) -> Vec<Body> {
    let all_acked = row.acked_parts.iter().all(|acked| *acked);
    let expected_incarnation = row.target.map_or(0, |target| target.incarnation);
    row.request_parts
        .iter()
        .zip(&row.acked_parts)
        .enumerate()
        .filter(|(index, (_, acked))| !**acked || (all_acked && *index == 0))
        .take(PART_WINDOW)
        .map(|(_, (part, _))| Body::Work {
            request: row.id.number,
            dispatch: row.last_dispatch(),
            expected_incarnation,
            class: row.class,
            time_left: row.deadline.saturating_sub(now),
            part,
        })
        .collect()
}
