//! Decides whether the route of an open flow still holds.
//!
//! A route that is missing from the configuration may have been removed, or added by a change that
//! this host has not read yet. A flow ends only if it is known to be the former: this host saw
//! the removal, or the route is missing from a configuration that is later than a segment of the
//! flow, whose route was in force when it opened.

use crate::segment::Segment;
use crate::tables::Tables;

/// What this host knows of the route of an open flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RouteState {
    /// The route is in force.
    InForce,
    /// This host saw the route in force and removed.
    Removed,
    /// Operators removed the route before this host read the configuration.
    Missing,
    /// The route may be newer than the configuration of this host.
    Unknown,
}

/// Returns the state of the route of a segment that does not open a flow.
pub(super) fn of_segment(tables: &Tables, segment: &Segment) -> RouteState {
    let (snapshot, vip) = (&tables.snapshot, &segment.addrs.vip);
    if snapshot.routes.contains_key(vip) {
        return RouteState::InForce;
    }
    if snapshot.removed_routes.contains_key(vip) {
        return RouteState::Removed;
    }
    let flow = tables.tracked_flows.of_segment(segment);
    if flow.is_some_and(|flow| flow.first_seen < snapshot.current_at) {
        RouteState::Missing
    } else {
        RouteState::Unknown
    }
}
