//! Chooses the endpoint of a flow or a request.

use std::time::Duration;

use crate::id::Id;
use crate::packet::Class;
use crate::tables::{EndpointRow, Tables};

/// Endpoint for a new flow: the least full of those with room.
pub(super) fn pick_conn(tables: &Tables, service: Id, refused: &[Id], now: Duration) -> Option<Id> {
    tables
        .endpoints
        .of(service)
        .filter(|row| row.is_open(now) && !refused.contains(&row.spec.id))
        .filter(|row| conns(row) < row.spec.conns)
        .min_by(|a, b| conn_share(a).total_cmp(&conn_share(b)))
        .map(|row| row.spec.id)
}

/// Endpoint for a request: the least busy of those with a free slot.
pub(super) fn pick_slot(tables: &Tables, service: Id, class: Class, now: Duration) -> Option<Id> {
    let reserve = tables.snapshot.services.get(&service)?.reserve;
    tables
        .endpoints
        .of(service)
        .filter(|row| row.is_open(now) && row.load.incarnation != 0)
        .filter(|row| has_slot(row, class, reserve))
        .min_by(|a, b| slot_share(a).total_cmp(&slot_share(b)))
        .map(|row| row.spec.id)
}

fn has_slot(row: &EndpointRow, class: Class, reserve: u32) -> bool {
    let long_limit = row.spec.slots.saturating_sub(reserve).max(1);
    let fits = !class.is_long() || row.long < long_limit;
    fits && row.running < row.spec.slots
}

fn conns(row: &EndpointRow) -> u32 {
    row.flows.max(row.load.conns + row.fresh)
}

fn conn_share(row: &EndpointRow) -> f64 {
    f64::from(conns(row)) / (f64::from(row.spec.conns) * row.spec.weight)
}

fn slot_share(row: &EndpointRow) -> f64 {
    let busy = row.running.max(row.load.busy);
    f64::from(busy) / (f64::from(row.spec.slots) * row.spec.weight)
}

/// Counts a failure to answer against an endpoint.
pub(super) fn blame(tables: &mut Tables, id: Id, now: Duration) {
    if let Some(row) = tables.endpoints.get_mut(id) {
        row.failures += 1;
        row.refused = Some(now);
    }
}
