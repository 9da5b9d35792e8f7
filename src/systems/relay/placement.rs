//! Chooses the endpoint of a relayed flow, and limits the requests in progress of a service.
//!
//! The segments of a relayed flow are forwarded without reading their payload, and its endpoint
//! sends no load reports. This lane's own observations take their place. A plan of
//! [`zone_spill`](super::zone_spill) says which flows leave the zone.

use std::time::Duration;

use rand::RngExt;

use super::super::placement::{Exclusion, Usage, pick_allowed};
use super::super::policies::Tuning;
use super::warmup;
use crate::id::{Id, Name};
use crate::segment::Route;
use crate::tables::{EndpointRow, ServiceLimit, Tables};

/// Number of slots that an idle open flow counts for: a long-lived flow sends about one
/// request a second, which takes some tens of milliseconds.
const IDLE_FLOW_LOAD: f64 = 0.05;

/// Largest factor by which slow answers raise the score of an endpoint. Answers faster
/// than the mean do not lower the score: the endpoint's answer time may be out of date,
/// because it has had no requests since the others filled up.
const MAX_SLOWNESS: f64 = 3.0;

/// Factor that raises the score of endpoints in other zones for relayed flows, since this
/// lane does not see the load from other callers there. When no local endpoint can answer
/// within the limit, a flow still goes to a local one unless those are busier than the
/// endpoints in other zones by this factor.
const REMOTE_PENALTY: f64 = 1.5;

/// Requests in progress for each slot that this host may use in another zone: one that runs and one
/// that is on its way.
const REMOTE_DEPTH: f64 = 2.0;

/// Added to the tier of an ejected endpoint: above all tiers of other endpoints, so that it is used
/// only if no other one can take the flow.
const EJECTED_TIER: u8 = 3;

/// Endpoints that are preferred for a relayed flow.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Preference {
    /// Those of the own zone that answer soon, because no plan is known yet.
    Unplanned,
    /// Those of the own zone.
    OwnZone,
    /// Those of another zone.
    Zone(Name),
}

/// Returns the endpoint for a relayed flow: the least busy one by this lane's own
/// observations, in the local zone except for the share of the flows that is planned to leave
/// it. Without a plan, it is in the local zone while a request there is expected to be answered
/// within [`Tuning::latency_share`] of the target latency.
pub(in super::super) fn place_relayed(
    tables: &mut Tables,
    tuning: &Tuning,
    service: Id,
    route: &Route,
    tried: &[Id],
    now: Duration,
) -> Option<Id> {
    let preference = choose_zone(tables, service, tried, now);
    let rules = RelayRules::new(tables, tuning, service, route, now);
    pick_allowed(
        tables,
        &rules.tuning,
        service,
        now,
        |row| rules.is_allowed(row),
        |row| preference.includes(row),
        |row| rules.usage(row, &preference, tried),
    )
}

/// What the choice of an endpoint for a relayed flow depends on, besides the endpoints and the
/// preferred zone.
pub(super) struct RelayRules<'a> {
    /// Parameters of the choice.
    pub(super) tuning: Tuning,
    route: &'a Route,
    /// Mean answer time of the service in seconds.
    mean_time: f64,
    /// Time in seconds within which a request should be answered.
    limit: f64,
    /// Endpoints that warm up and may get no opening, in order of their ids.
    barred: Vec<Id>,
    now: Duration,
}

impl<'a> RelayRules<'a> {
    pub(super) fn new(
        tables: &Tables,
        tuning: &Tuning,
        service: Id,
        route: &'a Route,
        now: Duration,
    ) -> Self {
        Self {
            tuning: Tuning {
                sample_size: tuning.relay_sample,
                ..*tuning
            },
            route,
            mean_time: mean_answer_time(tables, service),
            limit: tuning.latency_share * route.target_latency.as_secs_f64(),
            barred: warmup::barred_endpoints(tables, service, now),
            now,
        }
    }

    /// Returns true if the route may use an endpoint.
    pub(super) fn is_allowed(&self, row: &EndpointRow) -> bool {
        self.route.allows_region(&row.spec.region)
    }

    /// Returns the reasons for which an endpoint that accepts work cannot be chosen.
    pub(super) fn exclusions(
        &self,
        row: &EndpointRow,
        tried: &[Id],
    ) -> impl Iterator<Item = Exclusion> + use<> {
        let is_barred = self.barred.binary_search(&row.spec.id).is_ok();
        let is_tried = tried.contains(&row.spec.id);
        let is_full = row.flow_count >= row.spec.max_conns;
        let reasons = [
            is_barred.then_some(Exclusion::Cold),
            is_tried.then_some(Exclusion::AlreadyTried),
            is_full.then_some(Exclusion::AtFlowLimit),
        ];
        reasons.into_iter().flatten()
    }

    /// Returns the load of an endpoint, or why it cannot be chosen.
    pub(super) fn usage(
        &self,
        row: &EndpointRow,
        preference: &Preference,
        tried: &[Id],
    ) -> Result<Usage, Exclusion> {
        if let Some(exclusion) = self.exclusions(row, tried).next() {
            return Err(exclusion);
        }
        let slots = f64::from(row.spec.slots.max(1));
        let idle_load = f64::from(row.flow_count.saturating_sub(row.own_requests)) * IDLE_FLOW_LOAD;
        let used_share =
            (f64::from(row.own_requests) + row.recent_busy_slots(self.now) + idle_load) / slots;
        let unit_share = 1.0 / slots;
        let (mean_time, limit) = (self.mean_time, self.limit);
        let answer_time = match row.answer_time {
            0.0 => mean_time,
            time => time,
        };
        let wait = (used_share + unit_share).max(1.0) * answer_time;
        let slowness = (answer_time / mean_time.max(f64::MIN_POSITIVE)).clamp(1.0, MAX_SLOWNESS);
        let zone_penalty = if row.spec.local { 1.0 } else { REMOTE_PENALTY };
        let zone_tier = match preference {
            Preference::Unplanned => u8::from(!row.spec.local || wait > limit),
            Preference::OwnZone if row.spec.local => u8::from(wait > limit),
            Preference::Zone(zone) if row.spec.zone == *zone => u8::from(wait > limit),
            Preference::Zone(_) if row.spec.local => 1,
            Preference::OwnZone | Preference::Zone(_) => 2,
        };
        let ejected_tier = match row.ejected_until {
            Some(_) => EJECTED_TIER,
            None => 0,
        };
        Ok(Usage {
            tier: zone_tier + ejected_tier,
            used_share: used_share * slowness * zone_penalty,
            unit_share: unit_share * slowness * zone_penalty,
        })
    }
}

impl Preference {
    /// Returns true if it is for an endpoint.
    pub(super) fn includes(&self, row: &EndpointRow) -> bool {
        match self {
            _ if row.ejected_until.is_some() => false,
            Self::Zone(zone) => row.spec.zone == *zone,
            Self::Unplanned | Self::OwnZone => row.spec.local,
        }
    }
}

/// Returns the zone whose endpoints are preferred for a relayed flow.
fn choose_zone(tables: &mut Tables, service: Id, tried: &[Id], now: Duration) -> Preference {
    let draw = tables.rng.random_range(0.0..1.0);
    preference_at(tables, service, tried, draw, now)
}

/// Returns the preference for a random number from 0 to 1. A copy of an opening prefers the own
/// zone: the plan has already decided about its first transmission.
pub(super) fn preference_at(
    tables: &Tables,
    service: Id,
    tried: &[Id],
    draw: f64,
    now: Duration,
) -> Preference {
    let Some(plan) = tables.zone_spill.plan(service) else {
        return Preference::Unplanned;
    };
    if !has_local_endpoint(tables, service, now) {
        let zone = plan.choose(draw, true).cloned();
        return zone.map_or(Preference::Unplanned, Preference::Zone);
    }
    let zone = plan.choose(draw, false).filter(|_| tried.is_empty());
    zone.cloned().map_or(Preference::OwnZone, Preference::Zone)
}

/// Returns true if a service has an endpoint in the zone of this host that may get new flows.
pub(super) fn has_local_endpoint(tables: &Tables, service: Id, now: Duration) -> bool {
    let evacuated = &tables.snapshot.evacuated_zones;
    let mut rows = tables.endpoints.of_service(service);
    rows.any(|row| {
        let is_usable = row.accepts_work(now) && row.down.is_none();
        row.spec.local && is_usable && !evacuated.contains(&row.spec.zone)
    })
}

/// Returns how many requests of relayed flows this lane may have in progress at a
/// service, and how many slots they are meant for.
///
/// This is what the endpoints can process within [`Tuning::latency_share`] of the target
/// latency, or [`Tuning::relay_depth`] requests per slot if that is more, divided among the
/// hosts evenly or by demand. Each lane of a host gets the host's whole share. Cold endpoints with
/// a limit on new flows count only at their holder.
pub(in super::super) fn relay_limit(
    tables: &Tables,
    tuning: &Tuning,
    service: Id,
    now: Duration,
) -> ServiceLimit {
    let leads_here = |route: &&Route| route.targets.iter().any(|(id, _)| *id == service);
    let routes = tables.snapshot.routes.values().filter(leads_here);
    let target_latency = routes
        .map(|route| route.target_latency)
        .min()
        .unwrap_or_default();
    let answer_time = mean_answer_time(tables, service);
    let requests_per_slot = if answer_time > 0.0 {
        tuning.latency_share * target_latency.as_secs_f64() / answer_time
    } else {
        0.0
    };
    let requests_per_slot = requests_per_slot.max(tuning.relay_depth);
    let (mut slots, mut local_slots, mut cold_requests) = (0.0, 0.0, 0.0);
    let rows = tables.endpoints.of_service(service);
    for row in rows.filter(|row| row.accepts_work(now) && row.down.is_none()) {
        if let Some(requests) = warmup::cold_capacity(tables, row, requests_per_slot, now) {
            cold_requests += requests;
            continue;
        }
        slots += f64::from(row.spec.slots);
        if row.spec.local {
            local_slots += f64::from(row.spec.slots);
        }
    }
    // Hosts that share the load, including some that are expected but not known yet.
    let hosts = tables.snapshot.expected_hosts;
    let demand = tables.demand.get(service);
    let even_share = slots * requests_per_slot / f64::from(hosts);
    // What exceeds an even share is for the part of the own zone and for the flows that may leave
    // it. More would only overrun the endpoints of the own zone.
    let (_, zone_hosts) = tables.snapshot.zone_of(tables.home.host);
    let zone_share = local_slots * requests_per_slot * demand.zone_factor / f64::from(zone_hosts);
    let plan = tables.zone_spill.plan(service);
    let remote_slots: f64 = plan.map_or(0.0, |plan| plan.zones.iter().map(|row| row.1).sum());
    let remote = remote_slots * REMOTE_DEPTH;
    let reachable = even_share.max(zone_share + remote);
    let limit = (even_share * demand.share_factor).min(reachable);
    // At least one request, or the lanes of a large group of hosts would send none.
    ServiceLimit {
        requests: (limit + cold_requests).max(1.0),
        slots: limit / requests_per_slot,
        answer_time,
    }
}

/// Returns the mean answer time of a service's endpoints in seconds, or zero if none is
/// known.
pub(super) fn mean_answer_time(tables: &Tables, service: Id) -> f64 {
    let rows = tables.endpoints.of_service(service);
    let known = rows
        .map(|row| row.answer_time)
        .filter(|answer| *answer > 0.0);
    let (count, sum) = known.fold((0_u32, 0.0), |(count, sum), time| (count + 1, sum + time));
    sum / f64::from(count.max(1))
}
