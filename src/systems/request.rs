//! Accepts requests from callers and handles cancellations.
//!
//! Only the home of a request dispatches it, and retransmissions are answered from the
//! home's record. A ticket names the home. For a caller without a ticket, the home must
//! hold the lease before it accepts an at-most-once request.

use std::time::Duration;

use super::{admit, outcome};
use crate::control::lease::MAX_ONCE_DEADLINE;
use crate::packet::{Body, Class, Packet, Part, Reason};
use crate::tables::{
    Arrival, ENDED_RETENTION, Outbox, Request, RequestId, RequestState, Stage, Tables,
};

/// Deadline of requests for a service that is not configured.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(2);

pub(super) fn run(tables: &mut Tables, now: Duration, out: &mut Outbox) {
    for arrival in tables.stage_queues.take(Stage::Request) {
        match arrival.packet.body {
            Body::Ask { .. } => handle_ask(tables, &arrival, now, out),
            Body::Cancel { request, .. } => handle_cancel(tables, &arrival.packet, request, out),
            _ => {}
        }
    }
}

fn handle_ask(tables: &mut Tables, arrival: &Arrival, now: Duration, out: &mut Outbox) {
    let packet = &arrival.packet;
    let Body::Ask {
        request,
        class,
        time_left,
        ref part,
    } = packet.body
    else {
        return;
    };
    let id = RequestId {
        flow: packet.key(),
        number: request,
    };
    let slot = match tables.requests.find(&id) {
        Some(slot) if tables.requests.row(slot).service != packet.service => {
            tables.counters.disallowed_packets += 1;
            return;
        }
        Some(slot) => slot,
        None if tables.requests.has_ended(&id) => {
            outcome::report_unknown(tables, packet, request, Reason::Late, out);
            return;
        }
        None => match accept(tables, arrival, request, class, time_left, now, out) {
            Some(slot) => slot,
            None => return,
        },
    };
    if tables.requests.row(slot).is_finished() {
        tables.counters.replayed_answers += 1;
        resend_result(tables, slot, out);
        return;
    }
    add_part(tables, slot, packet, part, now, out);
}

/// Creates the record of a new request. Returns `None` if the request is not accepted.
fn accept(
    tables: &mut Tables,
    arrival: &Arrival,
    number: u64,
    class: Class,
    time_left: Duration,
    now: Duration,
    out: &mut Outbox,
) -> Option<usize> {
    let packet = &arrival.packet;
    let time_left = time_left.saturating_sub(tables.max_wait);
    if time_left.is_zero() {
        return None;
    }
    let has_ticket = arrival
        .ticket
        .is_some_and(|ticket| ticket.home == tables.home);
    if class.is_at_most_once()
        && let Some(reason) = refusal_reason(tables, packet, has_ticket, time_left, now)
    {
        outcome::report_unknown(tables, packet, number, reason, out);
        return None;
    }
    let limit = tables
        .snapshot
        .services
        .get(&packet.service)
        .map_or(DEFAULT_DEADLINE, |service| {
            service.classes[class.index()].deadline
        });
    let deadline = now + time_left.min(limit);
    let mut request = Request::new(packet, number, class, now, deadline);
    request.has_ticket = has_ticket;
    tables.counters.accepted_requests += 1;
    Some(tables.requests.insert(request))
}

/// Returns why this lane may not accept a new at-most-once request, or `None` if it may.
fn refusal_reason(
    tables: &Tables,
    packet: &Packet,
    has_ticket: bool,
    time_left: Duration,
    now: Duration,
) -> Option<Reason> {
    let limit = if has_ticket {
        ENDED_RETENTION
    } else {
        MAX_ONCE_DEADLINE
    };
    let within_limit = time_left <= limit;
    if within_limit && (has_ticket || may_dispatch(tables, packet, now)) {
        return None;
    }
    Some(Reason::NoLease)
}

/// Returns true if this lane may dispatch at-most-once requests of a caller without a
/// ticket.
fn may_dispatch(tables: &Tables, packet: &Packet, now: Duration) -> bool {
    let snapshot = &tables.snapshot;
    snapshot.may_dispatch(&packet.key(), &tables.home, now)
}

/// Stores and acknowledges a part of a request. A request that is complete goes on to
/// admission.
fn add_part(
    tables: &mut Tables,
    slot: usize,
    packet: &Packet,
    part: &Part,
    now: Duration,
    out: &mut Outbox,
) {
    let row = tables.requests.row_mut(slot);
    let is_new = row.request_parts.insert(part);
    let is_complete = row.request_parts.is_complete();
    if part.total > 1 {
        out.reply(
            packet,
            Body::PartAck {
                request: row.id.number,
                index: part.index,
            },
        );
    }
    if is_new && is_complete && row.state == RequestState::Incomplete {
        admit::run(tables, slot, now, out);
    }
}

/// Sends the recorded status or answer again.
fn resend_result(tables: &Tables, slot: usize, out: &mut Outbox) {
    let row = tables.requests.row(slot);
    match row.state {
        RequestState::Ended(status, reason) => outcome::send_status(row, status, reason, out),
        _ => {
            for part in row.answer_parts.iter() {
                outcome::forward_answer(row, row.answered_dispatch, &part, out);
            }
        }
    }
}

fn handle_cancel(tables: &mut Tables, packet: &Packet, number: u64, out: &mut Outbox) {
    let id = RequestId {
        flow: packet.key(),
        number,
    };
    let Some(slot) = tables.requests.find(&id) else {
        return;
    };
    match tables.requests.row(slot).state {
        RequestState::Incomplete | RequestState::Queued => {
            outcome::end_unsent(tables, slot, Reason::Cancelled, out);
        }
        RequestState::Sent => outcome::cancel_dispatch(tables, slot, out),
        _ => {}
    }
}
