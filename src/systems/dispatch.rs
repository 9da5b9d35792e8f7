//! Gives queued requests to endpoints with a free slot.

use std::time::Duration;

use super::{open, place, probe, verdict};
use crate::id::Id;
use crate::packet::{Body, Class, Reason, Verdict};
use crate::snapshot::Service;
use crate::tables::{EndpointRow, Outbox, Request, RequestState, Tables};

/// Parts of a request sent before the endpoint has acknowledged any.
const WINDOW: usize = 64;

pub(super) fn run(tables: &mut Tables, now: Duration, out: &mut Outbox) {
    for service in tables.requests.waiting() {
        greet_unknown(tables, service, now, out);
        for class in ranked(tables, service) {
            drain(tables, service, class, now, out);
        }
    }
}

/// Classes of a service, the most important first.
fn ranked(tables: &Tables, service: Id) -> [Class; Class::ALL.len()] {
    let mut classes = Class::ALL;
    if let Some(service) = tables.snapshot.services.get(&service) {
        classes.sort_by_key(|class| std::cmp::Reverse(rank(service, *class)));
    }
    classes
}

fn rank(service: &Service, class: Class) -> u32 {
    service.classes[class.index()].rank
}

/// An endpoint that has not spoken is asked for its incarnation first.
fn greet_unknown(tables: &mut Tables, service: Id, now: Duration, out: &mut Outbox) {
    let unknown: Vec<Id> = tables
        .endpoints
        .of(service)
        .filter(|row| row.load.incarnation == 0)
        .map(|row| row.spec.id)
        .collect();
    for id in unknown {
        probe::greet(tables, id, now, out);
    }
}

fn drain(tables: &mut Tables, service: Id, class: Class, now: Duration, out: &mut Outbox) {
    loop {
        let Some(slot) = tables.requests.queued(service, class).next() else {
            return;
        };
        let Some(endpoint) = place::pick_slot(tables, service, class, now) else {
            return;
        };
        tables.requests.unqueue(slot);
        if may_run(tables, slot, now) {
            send(tables, slot, endpoint, now, out);
        } else {
            verdict::end(tables, slot, Verdict::Unknown, Reason::NoLease, out);
        }
    }
}

/// Once-only work of a caller without a ticket needs the lease at this very moment.
fn may_run(tables: &Tables, slot: usize, now: Duration) -> bool {
    let row = tables.requests.row(slot);
    let free = row.ticketed || !row.class.is_once();
    free || (tables.snapshot.lease.is_held(now) && tables.is_home(&row.id.flow))
}

/// Dispatches a request to an endpoint.
fn send(tables: &mut Tables, slot: usize, endpoint: Id, now: Duration, out: &mut Outbox) {
    let Some(target) = tables.endpoints.get(endpoint).map(EndpointRow::target) else {
        return;
    };
    tables.requests.number(slot);
    let row = tables.requests.row_mut(slot);
    row.state = RequestState::Sent;
    row.target = Some(target);
    row.started = now;
    row.holding = true;
    row.acked = vec![false; row.parts.total()];
    let class = row.class;
    tables.endpoints.acquire(endpoint, class);
    transmit(tables, slot, now, out);
}

/// Sends the first parts that the endpoint has not acknowledged, or part zero as a
/// question when it holds all of them.
pub(super) fn transmit(tables: &mut Tables, slot: usize, now: Duration, out: &mut Outbox) {
    tables.counters.dispatched += 1;
    let row = tables.requests.row_mut(slot);
    row.sent = now;
    let packet = verdict::packet_of(row);
    let target = row.target;
    for body in work(row, now) {
        open::send_endpoint(tables, &packet, target, body, out);
    }
}

/// Notes that the endpoint holds a part, and sends more when it holds a window's worth.
pub(super) fn acknowledge(
    tables: &mut Tables,
    slot: usize,
    index: usize,
    now: Duration,
    out: &mut Outbox,
) {
    let row = tables.requests.row_mut(slot);
    let Some(acked) = row.acked.get_mut(index) else {
        return;
    };
    if std::mem::replace(acked, true) || row.state != RequestState::Sent {
        return;
    }
    let held = row.acked.iter().filter(|acked| **acked).count();
    if held < row.acked.len() && held.is_multiple_of(WINDOW) {
        transmit(tables, slot, now, out);
    }
}

fn work(row: &Request, now: Duration) -> Vec<Body> {
    let all = row.acked.iter().all(|acked| *acked);
    let expect = row.target.map_or(0, |target| target.incarnation);
    row.parts
        .iter()
        .zip(&row.acked)
        .enumerate()
        .filter(|(index, (_, acked))| !**acked || (all && *index == 0))
        .take(WINDOW)
        .map(|(_, (part, _))| Body::Work {
            request: row.id.number,
            dispatch: row.dispatch(),
            expect,
            class: row.class,
            budget: row.deadline.saturating_sub(now),
            part,
        })
        .collect()
}
