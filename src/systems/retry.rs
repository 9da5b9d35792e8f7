//! Retries dispatches that were lost or refused, within the deadline and the retry
//! budget.
//!
//! Unacknowledged datagrams are resent under the same dispatch number, which an endpoint
//! accepts once. A new dispatch is made only if the previous one certainly did not run,
//! or if the request may be executed more than once.

use std::sync::Arc;
use std::time::Duration;

use super::{dispatch, outcome, placement};
use crate::packet::{ExecutionStatus, Reason};
use crate::tables::{Outbox, RETRY_BURST, Tables};

/// Time after which unacknowledged datagrams are resent.
const RESEND_INTERVAL: Duration = Duration::from_millis(100);

/// Time without any packet from the endpoint after which a request that may be executed
/// more than once is retried.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);

/// Share of the largest retry budget that is reserved for requests of the highest rank.
const RESERVED_SHARE: f64 = 0.5;

/// Largest number of dispatches of one request.
const MAX_DISPATCHES: usize = 4;

pub(super) fn run(tables: &mut Tables, now: Duration, out: &mut Outbox) {
    for slot in tables.requests.sent_slots() {
        let row = tables.requests.row(slot);
        if is_unanswered(tables, slot, now) {
            give_up(tables, slot, now, out);
        } else if now >= row.last_sent + RESEND_INTERVAL {
            tables.counters.resent_datagrams += 1;
            dispatch::transmit(tables, slot, now, out);
        }
    }
}

/// Handles the refusal of a request's last dispatch.
pub(super) fn handle_refusal(
    tables: &mut Tables,
    slot: usize,
    reason: Reason,
    now: Duration,
    out: &mut Outbox,
) {
    outcome::release_endpoint(tables, slot);
    let row = tables.requests.row_mut(slot);
    let class = row.class;
    let target = row.target;
    if reason == Reason::EndpointLost {
        row.maybe_executed = true;
    }
    if let Some(target) = target {
        placement::record_refusal(tables, target.endpoint, now);
    }
    let may_have_run = reason == Reason::EndpointLost && class.is_at_most_once();
    if may_have_run {
        outcome::end(tables, slot, ExecutionStatus::Unknown, reason, out);
    } else if reason == Reason::Cancelled || !requeue(tables, slot, now) {
        outcome::end_unsent(tables, slot, reason, out);
    }
}

/// Queues a request again if the retry policy allows it, and returns whether it did.
fn requeue(tables: &mut Tables, slot: usize, now: Duration) -> bool {
    let policies = Arc::clone(&tables.policies);
    if !(policies.retry)(tables, slot, now) {
        return false;
    }
    tables.counters.retries += 1;
    tables.requests.enqueue(slot);
    true
}

/// Returns true if the deadline, the number of dispatches and the service's retry budget
/// allow another dispatch, and takes it from the budget.
pub(super) fn may_retry(tables: &mut Tables, slot: usize, now: Duration) -> bool {
    let row = tables.requests.row(slot);
    if row.dispatches.len() >= MAX_DISPATCHES || now >= row.deadline {
        return false;
    }
    let reserved = if is_top_rank(tables, slot) {
        0.0
    } else {
        RETRY_BURST * RESERVED_SHARE
    };
    let service = tables.requests.row(slot).service;
    let has_budget = tables.retry_budgets.spend(service, reserved);
    tables.counters.denied_retries += u64::from(!has_budget);
    has_budget
}

/// Returns true if no class of the service ranks above the request's class.
fn is_top_rank(tables: &Tables, slot: usize) -> bool {
    let row = tables.requests.row(slot);
    tables
        .snapshot
        .services
        .get(&row.service)
        .is_some_and(|service| {
            let rank = service.classes[row.class.index()].rank;
            service.classes.iter().all(|other| other.rank <= rank)
        })
}

/// Returns true if a request that may be executed more than once has not been
/// acknowledged and nothing was heard from its endpoint for [`ANSWER_TIMEOUT`].
fn is_unanswered(tables: &Tables, slot: usize, now: Duration) -> bool {
    let row = tables.requests.row(slot);
    let heard = row
        .target
        .and_then(|target| tables.endpoints.get(target.endpoint))
        .map_or(Duration::ZERO, |endpoint| endpoint.last_heard);
    let acked = row.acked_parts.iter().any(|acked| *acked);
    !row.class.is_at_most_once() && !acked && now >= row.dispatched_at.max(heard) + ANSWER_TIMEOUT
}

/// Retries a request whose endpoint does not answer, or ends it with an unknown status.
fn give_up(tables: &mut Tables, slot: usize, now: Duration, out: &mut Outbox) {
    outcome::release_endpoint(tables, slot);
    let row = tables.requests.row_mut(slot);
    row.maybe_executed = true;
    if let Some(target) = row.target {
        placement::record_failure(tables, target.endpoint, now);
    }
    if !requeue(tables, slot, now) {
        outcome::end(
            tables,
            slot,
            ExecutionStatus::Unknown,
            Reason::EndpointLost,
            out,
        );
    }
}
