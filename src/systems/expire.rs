//! Ends requests at their deadline and removes old request records.

use std::time::Duration;

use super::outcome;
use crate::packet::{ExecutionStatus, Reason};
use crate::tables::{Outbox, RequestState, Tables};

/// Time after the deadline for which a request's record is kept to answer
/// retransmissions.
pub const RECORD_LIFETIME: Duration = Duration::from_secs(10);

pub(super) fn run(tables: &mut Tables, now: Duration, out: &mut Outbox) {
    for slot in tables.requests.take_due(now) {
        expire_request(tables, slot, now, out);
    }
    tables.requests.expire_ended(now);
}

fn expire_request(tables: &mut Tables, slot: usize, now: Duration, out: &mut Outbox) {
    let row = tables.requests.row(slot);
    let record_end = row.deadline + RECORD_LIFETIME;
    match row.state {
        RequestState::Incomplete | RequestState::Queued => {
            outcome::end_unsent(tables, slot, Reason::Late, out);
        }
        RequestState::Sent => {
            outcome::cancel_dispatch(tables, slot, out);
            outcome::end(tables, slot, ExecutionStatus::Unknown, Reason::Late, out);
        }
        _ if now >= record_end => return tables.requests.remove(slot, now),
        _ => {}
    }
    tables.requests.schedule(slot, record_end);
}
