//! Admission control: rejects requests that cannot run before their deadline.
//!
//! A rejected request is reported as not run. The expected wait of a request is the
//! service time of the requests queued before it, divided by the slots that this lane
//! uses, and at least the time that the first queued request of its class has waited.
//! Classes of lower rank wait behind the others, so they are rejected first.

use std::sync::Arc;
use std::time::Duration;

use super::outcome;
use super::policies::Tuning;
use crate::packet::{Class, Reason};
use crate::snapshot::Service;
use crate::tables::{Outbox, Tables};

/// Time that a request must have left when it is dispatched, as a multiple of its
/// expected service time.
const SERVICE_MARGIN: u32 = 2;

/// Queues a new request, or rejects it if its expected wait is too long.
pub(super) fn run(tables: &mut Tables, slot: usize, now: Duration, out: &mut Outbox) {
    let policies = Arc::clone(&tables.policies);
    if (policies.admit)(tables, slot, now) {
        earn_retries(tables, slot);
        tables.requests.enqueue(slot);
    } else {
        outcome::end_unsent(tables, slot, Reason::Overload, out);
    }
}

/// Adds to the retry budget of the request's service.
fn earn_retries(tables: &mut Tables, slot: usize) {
    let id = tables.requests.row(slot).service;
    if let Some(service) = tables.snapshot.services.get(&id) {
        tables.retry_budgets.earn(id, service.retry_share);
    }
}

/// Returns true if the expected wait fits into the allowed share of the slack.
pub(super) fn admit(tables: &Tables, tuning: &Tuning, slot: usize, now: Duration) -> bool {
    let row = tables.requests.row(slot);
    let Some(service) = tables.snapshot.services.get(&row.service) else {
        return true;
    };
    let queue_wait = work_ahead(tables, service, row.class) / usable_slots(tables, service);
    let wait = queue_wait.max(longest_wait(tables, service, row.class, now).as_secs_f64());
    let slack = slack(service, row.class, row.deadline, now);
    wait <= slack.as_secs_f64() * tuning.slack_share
}

/// Returns true if a request that is dispatched now can finish before its deadline.
pub(super) fn can_finish(tables: &Tables, slot: usize, now: Duration) -> bool {
    let row = tables.requests.row(slot);
    let Some(service) = tables.snapshot.services.get(&row.service) else {
        return true;
    };
    let service_time = service.classes[row.class.index()].service_time;
    now + service_time * SERVICE_MARGIN <= row.deadline
}

/// Returns the time that a request can wait and still finish by its deadline.
fn slack(service: &Service, class: Class, deadline: Duration, now: Duration) -> Duration {
    let service_time = service.classes[class.index()].service_time;
    deadline.saturating_sub(now).saturating_sub(service_time)
}

/// Returns how long the first queued request of a class has waited.
fn longest_wait(tables: &Tables, service: &Service, class: Class, now: Duration) -> Duration {
    let first = tables.requests.queued_slots(service.id, class).next();
    first.map_or(Duration::ZERO, |slot| {
        now.saturating_sub(tables.requests.row(slot).accepted_at)
    })
}

/// Returns the total service time in seconds of the requests queued before a new one.
fn work_ahead(tables: &Tables, service: &Service, class: Class) -> f64 {
    let rank = service.classes[class.index()].rank;
    Class::ALL
        .iter()
        .map(|other| (other, &service.classes[other.index()]))
        .filter(|(_, policy)| policy.rank >= rank)
        .map(|(other, policy)| {
            let count = tables.requests.queue_len(service.id, *other);
            f64::from(u32::try_from(count).unwrap_or(u32::MAX)) * policy.service_time.as_secs_f64()
        })
        .sum()
}

/// Returns the number of slots that this lane uses, at least its fair share of the total.
fn usable_slots(tables: &Tables, service: &Service) -> f64 {
    let running: u32 = tables.endpoints.own_requests(service.id);
    let total = tables.endpoints.total_slots(service.id);
    let hosts = u32::try_from(tables.snapshot.hosts.len().max(1)).unwrap_or(u32::MAX);
    f64::from(running)
        .max(f64::from(total) / f64::from(hosts))
        .max(1.0)
}
