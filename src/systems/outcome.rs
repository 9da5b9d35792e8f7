//! Ends requests and reports to callers whether they ran.
//!
//! A request is reported as not run only if that is certain: it was never sent, or every
//! endpoint that received it refused it before starting. Otherwise its status is unknown.

use bytes::Bytes;

use super::open;
use crate::packet::{Body, ExecutionStatus, Load, Packet, Part, Reason};
use crate::tables::{Outbox, Request, RequestState, Tables};

/// Ends a request that no endpoint is processing.
pub(super) fn end_unsent(tables: &mut Tables, slot: usize, reason: Reason, out: &mut Outbox) {
    let status = if tables.requests.row(slot).maybe_executed {
        ExecutionStatus::Unknown
    } else {
        ExecutionStatus::NotRun
    };
    end(tables, slot, status, reason, out);
}

/// Ends a request and sends its status to the caller.
pub(super) fn end(
    tables: &mut Tables,
    slot: usize,
    status: ExecutionStatus,
    reason: Reason,
    out: &mut Outbox,
) {
    release_endpoint(tables, slot);
    tables.requests.unqueue(slot);
    match status {
        ExecutionStatus::NotRun => tables.counters.not_run += 1,
        ExecutionStatus::Unknown => tables.counters.unknown_outcomes += 1,
    }
    let row = tables.requests.row_mut(slot);
    row.state = RequestState::Ended(status, reason);
    row.request_parts.clear();
    send_status(row, status, reason, out);
}

/// Tells the caller that a request that has no record here may have run.
pub(super) fn report_unknown(
    tables: &mut Tables,
    packet: &Packet,
    request: u64,
    reason: Reason,
    out: &mut Outbox,
) {
    tables.counters.unknown_outcomes += 1;
    let status = ExecutionStatus::Unknown;
    out.reply(
        packet,
        Body::Ended {
            request,
            status,
            reason,
        },
    );
}

/// Sends the status of a request to its caller.
pub(super) fn send_status(
    row: &Request,
    status: ExecutionStatus,
    reason: Reason,
    out: &mut Outbox,
) {
    out.reply(
        &packet_of(row),
        Body::Ended {
            request: row.id.number,
            status,
            reason,
        },
    );
}

/// Forwards a part of the answer to the caller.
pub(super) fn forward_answer(row: &Request, dispatch: u64, part: &Part, out: &mut Outbox) {
    out.reply(
        &packet_of(row),
        Body::Answer {
            request: row.id.number,
            dispatch,
            load: Load {
                incarnation: 1,
                ..Load::default()
            },
            part: part.clone(),
        },
    );
}

/// Asks the endpoint not to start the request.
pub(super) fn cancel_dispatch(tables: &mut Tables, slot: usize, out: &mut Outbox) {
    let row = tables.requests.row(slot);
    let packet = packet_of(row);
    let body = Body::Cancel {
        request: row.id.number,
        dispatch: row.last_dispatch(),
    };
    let target = row.target;
    if target.is_some() {
        open::send_to_endpoint(tables, &packet, target, body, out);
    }
}

/// Subtracts a request from its endpoint's requests in progress.
pub(super) fn release_endpoint(tables: &mut Tables, slot: usize) {
    let row = tables.requests.row_mut(slot);
    if !std::mem::take(&mut row.holds_slot) {
        return;
    }
    let acked = row.acked_parts.iter().any(|acked| *acked);
    if let Some(target) = row.target {
        tables.endpoints.release(target.endpoint, acked);
    }
}

/// Builds a packet with the addressing of a request.
pub(super) fn packet_of(row: &Request) -> Packet {
    Packet {
        service: row.service,
        caller: row.id.flow.caller,
        flow: row.id.flow.flow,
        hops: 0,
        ticket: Bytes::new(),
        body: Body::Greet,
    }
}
