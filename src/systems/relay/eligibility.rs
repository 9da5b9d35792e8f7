//! Decides which endpoints the flows of a route may reach at all.
//!
//! Evacuations and the allowed regions of a route hold without exception: a copy of an opening
//! and a trial keep to them too, and an opening that no endpoint may take is refused at once,
//! even if its service is at its limit.

use std::time::Duration;

use crate::segment::{Route, Segment};
use crate::tables::{EndpointRow, Tables};

/// Returns true if new flows of a route are barred from an endpoint by an evacuation or by the
/// allowed regions.
pub(super) fn is_excluded(row: &EndpointRow, route: &Route) -> bool {
    row.evacuated || !route.allows_region(&row.spec.region)
}

/// Returns true if evacuations or the allowed regions leave no endpoint for a route.
pub(super) fn is_barred(tables: &Tables, route: &Route, now: Duration) -> bool {
    let mut any_excluded = false;
    for row in endpoints(tables, route) {
        let excluded = is_excluded(row, route);
        if !excluded && row.accepts_work(now) {
            return false;
        }
        any_excluded |= excluded;
    }
    any_excluded
}

/// Returns the cause for which an opening of a route is refused.
pub(super) fn refusal_cause(tables: &Tables, route: &Route, now: Duration) -> &'static str {
    let would_accept = |row: &EndpointRow| {
        row.evacuated && row.is_usable(now) && route.allows_region(&row.spec.region)
    };
    if is_barred(tables, route, now) && endpoints(tables, route).any(would_accept) {
        "evacuated"
    } else {
        "no_endpoint"
    }
}

/// Returns true if a segment does not wait for the capacity of its service: no endpoint is left
/// for its opening, or its open flow stays at an evacuated endpoint, whose requests do not count.
pub(super) fn is_exempt_from_limit(tables: &Tables, segment: &Segment, now: Duration) -> bool {
    if segment.is_opening() {
        let route = tables.snapshot.routes.get(&segment.addrs.vip);
        return route.is_some_and(|route| is_barred(tables, route, now));
    }
    let endpoint = tables.cookies.find(segment.cookie);
    let row = endpoint.and_then(|endpoint| tables.endpoints.get(endpoint.id));
    row.is_some_and(|row| row.evacuated)
}

/// Iterates over the endpoints of all services that a route uses.
fn endpoints<'a>(tables: &'a Tables, route: &'a Route) -> impl Iterator<Item = &'a EndpointRow> {
    let used = route.targets.iter().filter(|(_, weight)| *weight > 0);
    used.flat_map(|(service, _)| tables.endpoints.of_service(*service))
}
