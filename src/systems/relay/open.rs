//! Assigns new flows to endpoints.
//!
//! A caller that gets no answer retransmits its opening segment, and each copy goes to
//! another endpoint. The caller acknowledges only one answer, so the flow opens once
//! even if several endpoints received its opening.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use smallvec::SmallVec;

use super::super::placement::is_unresponsive;
use super::eligibility::{is_excluded, refusal_cause};
use super::placement::has_local_endpoint;
use super::{
    add_load, count_flow, evidence, forward, reset_flow, shared_health, silent_zone, uncount_flow,
    warmup,
};
use crate::id::Id;
use crate::segment::{Route, Segment};
use crate::tables::{CookieEndpoint, EndpointRow, Outbox, Tables, TrackedFlow, TrackedState};

/// Minimum time between two trial openings to an endpoint that does not answer. If it
/// still does not, the caller's first retransmission, 200 ms later, goes elsewhere.
const LOCAL_TRIAL_PERIOD: Duration = Duration::from_secs(1);

/// Minimum time between trial openings to an endpoint of another zone. These are used
/// only when the own zone lacks capacity.
const REMOTE_TRIAL_PERIOD: Duration = Duration::from_secs(3);

/// Maximum number of endpoints skipped because their cookie identifies another one.
const MAX_COOKIE_COLLISIONS: usize = 4;

/// Processes an opening segment: assigns the flow to an endpoint or forwards a late copy.
pub(super) fn run(tables: &mut Tables, segment: &Segment, now: Duration, out: &mut Outbox) {
    let Some(route) = tables.snapshot.routes.get(&segment.addrs.vip).cloned() else {
        tables.counters.unrouted_opens += 1;
        reset_flow(segment, "no_route", out);
        return;
    };
    if segment.ack > 0 {
        tables.recent_counts.note_retransmission(now);
    }
    let flow = tables.tracked_flows.get(&segment.addrs);
    let same_opening = flow.filter(|flow| flow.is_opened_by(segment, now)).cloned();
    match same_opening {
        Some(flow) if flow.state != TrackedState::Opening => {
            resend(tables, segment, &flow, now, out);
        }
        Some(flow) => place_flow(tables, segment, &route, Some(flow), now, out),
        None => {
            super::remove_flow(tables, segment);
            place_flow(tables, segment, &route, None, now, out);
        }
    }
}

/// Forwards a late copy of the opening to the endpoint at which the flow is open, unless the
/// endpoint is cold and at its limit; the flow does not need the copy.
fn resend(
    tables: &mut Tables,
    segment: &Segment,
    flow: &TrackedFlow,
    now: Duration,
    out: &mut Outbox,
) {
    if !warmup::may_open(tables, flow.endpoint, now) {
        return;
    }
    let cookie = tables.cookies.assignable_cookie(flow.endpoint);
    if let Some(endpoint) = cookie.and_then(|cookie| tables.cookies.find(cookie)) {
        forward(segment, endpoint, cookie, out);
        tables.warmups.note_opening(flow.endpoint, now);
    }
}

/// Assigns a flow to an endpoint and forwards its opening segment.
///
/// `earlier` is the flow as an earlier copy of its opening was sent to another endpoint.
fn place_flow(
    tables: &mut Tables,
    segment: &Segment,
    route: &Route,
    earlier: Option<TrackedFlow>,
    now: Duration,
    out: &mut Outbox,
) {
    let mut flow = TrackedFlow::new(segment, Id(0), now);
    if let Some(earlier) = earlier {
        flow.tried_endpoints.clone_from(&earlier.tried_endpoints);
        flow.tried_endpoints.push(earlier.endpoint);
        flow.first_seen = earlier.first_seen;
        tables.counters.moved_opens += 1;
        if let Some(row) = tables.endpoints.get_mut(earlier.endpoint) {
            row.last_suspected = now;
        }
        uncount_flow(tables, &earlier);
        evidence::note_open(tables, &earlier, now);
    }
    let Some((endpoint, cookie)) = choose_endpoint(tables, route, &flow.tried_endpoints, now)
    else {
        tables.counters.refused_opens += 1;
        tables.tracked_flows.remove(&segment.addrs);
        reset_flow(segment, refusal_cause(tables, route, now), out);
        return;
    };
    tables.counters.forwarded_opens += 1;
    log_placement(tables, segment, route, &endpoint, now);
    count_placement(tables, &endpoint, !flow.tried_endpoints.is_empty(), now);
    flow.endpoint = endpoint.id;
    tables.warmups.note_opening(endpoint.id, now);
    count_flow(tables, endpoint.id);
    add_load(tables, &mut flow, now);
    if let Some(row) = tables.endpoints.get_mut(endpoint.id) {
        row.unanswered_since.get_or_insert(now);
    }
    tables.tracked_flows.schedule_check(flow.addrs, now);
    tables.tracked_flows.insert(flow);
    forward(segment, &endpoint, Some(cookie), out);
}

/// Counts a new flow, and by its reason if it goes to another zone.
fn count_placement(tables: &mut Tables, endpoint: &CookieEndpoint, is_copy: bool, now: Duration) {
    let Some(row) = tables.endpoints.get(endpoint.id) else {
        return;
    };
    let service = row.service;
    if !is_copy {
        tables.demand.note_placement(service, now);
    }
    if row.spec.local {
        return;
    }
    let is_trial = row.down.is_some() || is_unresponsive(row, now);
    if is_copy || is_trial {
        tables.counters.remote_retries += 1;
    } else if has_local_endpoint(tables, service, now) {
        tables.counters.remote_spill += 1;
    } else {
        tables.counters.remote_no_local += 1;
    }
}

/// Logs the endpoint of a new flow and the state on which the choice was based.
fn log_placement(
    tables: &Tables,
    segment: &Segment,
    route: &Route,
    endpoint: &CookieEndpoint,
    now: Duration,
) {
    let Some(row) = tables.endpoints.get(endpoint.id) else {
        return;
    };
    let unresponsive = is_avoided(row, now);
    log::info!(
        caller:% = segment.addrs.caller, front:% = segment.addrs.vip, route:% = route.name,
        endpoint:% = row.spec.name, zone:% = row.spec.zone, copies = segment.ack,
        running = row.own_requests, flows = row.flow_count, trial = unresponsive,
        cold = tables.warmups.is_cold(endpoint.id, now),
        revision = tables.snapshot.revision.number;
        "placed"
    );
}

/// Chooses the endpoint of a new flow; returns it with its cookie.
fn choose_endpoint(
    tables: &mut Tables,
    route: &Route,
    tried: &[Id],
    now: Duration,
) -> Option<(CookieEndpoint, u32)> {
    let service = choose_service(tables, route)?;
    if tried.is_empty()
        && is_least_urgent(tables, route, service)
        && let Some(id) = choose_trial(tables, route, service, now)
    {
        return claim_cookie(tables, id);
    }
    let policies = Arc::clone(&tables.policies);
    let mut skipped: SmallVec<[Id; 4]> = tried.into();
    for _ in 0..MAX_COOKIE_COLLISIONS {
        let id = (policies.place_relayed)(tables, service, route, &skipped, now)
            .or_else(|| (policies.place_relayed)(tables, service, route, &[], now))?;
        match claim_cookie(tables, id) {
            Some(found) => return Some(found),
            None => skipped.push(id),
        }
    }
    None
}

/// Returns an endpoint with its cookie; `None` when the cookie identifies another one.
fn claim_cookie(tables: &Tables, id: Id) -> Option<(CookieEndpoint, u32)> {
    let cookie = tables.cookies.assignable_cookie(id)?;
    let endpoint = tables.cookies.find(cookie)?.clone();
    Some((endpoint, cookie))
}

/// Returns the route's services that have endpoints for it, with their weights.
pub(super) fn usable_services(tables: &Tables, route: &Route) -> SmallVec<[(Id, u32); 2]> {
    let has_endpoints = |service| {
        let mut rows = tables.endpoints.of_service(service);
        rows.any(|row| !is_excluded(row, route))
    };
    let targets = route.targets.iter().copied();
    targets
        .filter(|(id, weight)| *weight > 0 && has_endpoints(*id))
        .collect()
}

/// Chooses one of the route's services that have endpoints for it, at random by weight.
fn choose_service(tables: &mut Tables, route: &Route) -> Option<Id> {
    let usable = usable_services(tables, route);
    let total: u64 = usable.iter().map(|(_, weight)| u64::from(*weight)).sum();
    if total == 0 {
        return None;
    }
    let mut left = tables.rng.random_range(0..total);
    for (id, weight) in usable {
        match left.checked_sub(u64::from(weight)) {
            Some(rest) => left = rest,
            None => return Some(id),
        }
    }
    None
}

/// Returns true when no other route to the service has lower priority. Only flows of such
/// routes are used as trials, since they wait 200 ms if the endpoint still does not answer.
pub(super) fn is_least_urgent(tables: &Tables, route: &Route, service: Id) -> bool {
    let serves = |other: &&Route| other.targets.iter().any(|(id, _)| *id == service);
    let others = tables.snapshot.routes.values().filter(serves);
    others.map(|other| other.shed_rank).max() <= Some(route.shed_rank)
}

/// Returns true if an endpoint gets new flows only as trials.
fn is_avoided(row: &EndpointRow, now: Duration) -> bool {
    row.down.is_some() || row.suspicion.is_some() || is_unresponsive(row, now)
}

/// Returns an endpoint that does not answer and is due for another trial, and records the trial.
///
/// The endpoints of a partitioned zone share one trial interval.
fn choose_trial(tables: &mut Tables, route: &Route, service: Id, now: Duration) -> Option<Id> {
    let row = due_trial(tables, route, service, now)?;
    let (id, zone) = (row.spec.id, row.spec.zone.clone());
    let whole_zone = row.down.is_some_and(|down| down.whole_zone)
        && silent_zone::is_tried_by_one(tables, row).is_none();
    for row in tables.endpoints.iter_mut() {
        if row.spec.id == id || (whole_zone && row.spec.zone == zone) {
            row.last_trial = now;
        }
    }
    Some(id)
}

/// Returns an endpoint that does not answer and is due for another trial.
///
/// Endpoints of other zones are tried less often. If other hosts suspect the endpoint too, or
/// several report its zone as silent, one host of the zone tries it for all.
pub(super) fn due_trial<'a>(
    tables: &'a Tables,
    route: &Route,
    service: Id,
    now: Duration,
) -> Option<&'a EndpointRow> {
    tables.endpoints.of_service(service).find(|row| {
        let period = if row.spec.local {
            LOCAL_TRIAL_PERIOD
        } else {
            REMOTE_TRIAL_PERIOD
        };
        let is_due = now >= row.last_trial + period;
        let may_use = row.accepts_work(now)
            && row.ejected_until.is_none()
            && !is_excluded(row, route)
            && warmup::may_open(tables, row.spec.id, now)
            && shared_health::may_try(tables, row);
        is_avoided(row, now) && is_due && may_use
    })
}
