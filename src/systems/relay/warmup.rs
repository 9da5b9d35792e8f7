//! Limits the openings that this lane sends to endpoints that warm up.
//!
//! Hosts share no state for the limit, so each cold endpoint has one host, its holder, that may
//! send to it. All others send it nothing. A host acts as holder only while its view of the live
//! hosts is likely to be the one that the others have.

use std::time::Duration;

use crate::id::Id;
use crate::tables::{EndpointRow, Tables};

/// Time for which the view of the live hosts must not have changed: longer than the 2.4 s that
/// hosts need to agree about a failed one.
const STABLE_VIEW_TIME: Duration = Duration::from_secs(3);

/// Returns true if this lane may send an opening to an endpoint now. There is no limit for
/// endpoints that are warm or whose service has none.
pub(in super::super) fn may_open(tables: &Tables, id: Id, now: Duration) -> bool {
    !tables.warmups.is_cold(id, now)
        || (may_hold(tables, now) && tables.warmups.has_allowance(id, now))
}

/// Returns the endpoints of a service that may get no opening from this lane now, in order of
/// their ids.
pub(in super::super) fn barred_endpoints(tables: &Tables, service: Id, now: Duration) -> Vec<Id> {
    if tables.warmups.is_empty() {
        return Vec::new();
    }
    let rows = tables.endpoints.of_service(service);
    let mut barred: Vec<Id> = rows
        .map(|row| row.spec.id)
        .filter(|id| !may_open(tables, *id, now))
        .collect();
    barred.sort_unstable();
    barred
}

/// Returns true if all endpoints of a service that accept work are cold and none of them may
/// get an opening from this lane now.
pub(super) fn is_service_barred(tables: &Tables, service: Id, now: Duration) -> bool {
    let mut usable = tables
        .endpoints
        .of_service(service)
        .filter(|row| row.accepts_work(now))
        .peekable();
    !tables.warmups.is_empty()
        && usable.peek().is_some()
        && usable.all(|row| !may_open(tables, row.spec.id, now))
}

/// Returns how many requests of this lane a cold endpoint adds to the limit of its service:
/// the openings of one second that this lane may send as its holder, as far as its slots allow
/// for. `None` for an endpoint that is warm or has no limit.
pub(in super::super) fn cold_capacity(
    tables: &Tables,
    row: &EndpointRow,
    requests_per_slot: f64,
    now: Duration,
) -> Option<f64> {
    let id = row.spec.id;
    tables.warmups.is_cold(id, now).then(|| {
        let allowed = if may_hold(tables, now) {
            tables.warmups.limit(id)
        } else {
            0.0
        };
        allowed.min(f64::from(row.spec.slots) * requests_per_slot)
    })
}

/// Returns true if this host may act as the holder of an endpoint.
fn may_hold(tables: &Tables, now: Duration) -> bool {
    let snapshot = &tables.snapshot;
    // What a host knows of the others grows old while its process is paused.
    let stable_since = snapshot.hosts_changed.max(tables.last_resume);
    snapshot.has_majority && !snapshot.leaving && now >= stable_since + STABLE_VIEW_TIME
}
