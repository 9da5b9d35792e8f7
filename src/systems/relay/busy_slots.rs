//! Estimates how many slots of a service this lane keeps busy.
//!
//! A caller does not acknowledge an answer of one packet at once, so its request counts as in
//! progress for up to three mean answer times. That is safe for a limit, but it makes an idle zone
//! look busy to others. The rate of requests and the time for which one takes a slot tell more.

use std::time::Duration;

use crate::id::Id;
use crate::tables::Tables;

/// Smallest part of its answer time for which a request takes a slot, in case opening a flow was
/// slow for another reason.
const MIN_SLOT_SHARE: f64 = 0.5;

/// Returns the time in seconds for which a request takes a slot.
///
/// It does not take one while it is on its way, which opening a flow measures.
pub(super) fn slot_time(answer_time: f64, open_time: f64) -> f64 {
    (answer_time - open_time).max(answer_time * MIN_SLOT_SHARE)
}

/// Returns the number of a service's slots that this lane keeps busy: never more than its
/// requests in progress.
pub(super) fn busy_slots(tables: &Tables, service: Id, now: Duration) -> f64 {
    let requests = f64::from(tables.endpoints.own_requests(service));
    let mut rows = tables.endpoints.of_service(service);
    let Some(zone) = rows.find(|row| row.spec.local).map(|row| &row.spec.zone) else {
        return requests;
    };
    let spill = &tables.zone_spill;
    let Some(answer_time) = spill.answer_time(service, zone, now) else {
        return requests;
    };
    let open_time = spill.open_time(zone, now).unwrap_or_default();
    let busy = tables.demand.get(service).rate(now) * slot_time(answer_time, open_time);
    busy.min(requests)
}
