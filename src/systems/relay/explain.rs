//! Explains where an opening of a route would go now, and why, without sending it.
//!
//! The functions that decide are run on shared tables, so nothing can change. No random number is
//! drawn: where the lane would draw one, the explanation covers each outcome. These are the
//! service by its weight, the zone by the share of flows that leaves, and the position at which
//! the comparison of endpoints begins, which decides among equal ones.
//!
//! One rare case is simplified: an endpoint whose cookie identifies another one counts as tried from
//! the start.

use std::collections::{BTreeSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use smallvec::SmallVec;

use super::super::placement::{
    Candidate, Exclusion, HealthFault, best_of, health_faults, possible_starts, rate,
};
use super::super::policies::Tuning;
use super::eligibility::refusal_cause;
use super::overload_queue::{self, Admission};
use super::placement::{Preference, RelayRules, has_local_endpoint, preference_at};
use super::zone_spill;
use super::{admission, open, rank_limits};
use crate::id::{Id, Name};
use crate::segment::{FlowAddrs, RequestKind, Route, Segment, SegmentKind};
use crate::tables::{EndpointRow, HeldRequest, HeldRequests, Tables, TrackedFlow, TrackedState};

/// Version of the fields of an explanation, raised with each incompatible change.
pub const FORMAT: u32 = 1;

/// What to explain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Query {
    /// Front address, or name of a route or a service.
    pub front: Name,
    /// Address of the caller; port zero stands for any flow of that caller. If it has an open flow
    /// with this port, a new one that replaces it is explained.
    pub caller: Option<SocketAddr>,
}

/// Where an opening of a route would go.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RouteExplanation {
    /// Name of the route.
    pub route: Name,
    /// Its front address.
    pub front: SocketAddr,
    /// Its priority, 0 is highest.
    pub priority: u32,
    /// Response time that it aims for.
    #[serde(rename = "target_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub target_latency: Duration,
    /// Time after which its callers give up.
    #[serde(rename = "deadline_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub deadline: Duration,
    /// Whether its requests are idempotent.
    pub kind: RequestKind,
    /// Whether the opening would start.
    pub admission: AdmissionExplanation,
    /// Flow of the caller that this lane already knows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub flow: Option<KnownFlow>,
    /// Services that the opening may go to.
    pub services: Vec<ServiceExplanation>,
}

/// What would happen to an opening.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It goes to an endpoint at once.
    Starts,
    /// It waits for capacity.
    Waits,
    /// It is refused.
    Refused,
}

/// Whether an opening would start, and the load behind the decision.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AdmissionExplanation {
    /// What would happen to it.
    pub outcome: Outcome,
    /// Share of the openings that is refused, from 0 to 1: a part of them if only some of the
    /// route's services have an endpoint that can be chosen.
    pub refused_share: f64,
    /// Cause of a refusal, as in the log.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<Name>,
    /// Service whose capacity it needs.
    pub service: Name,
    /// Requests of this lane in progress there.
    pub in_progress: u32,
    /// Requests that may be in progress, if known yet.
    pub limit: Option<f64>,
    /// Requests of the service that wait.
    pub waiting: usize,
    /// Requests that go before it, with retries of refused ones, if it does not start.
    pub ahead: Option<usize>,
    /// Time in milliseconds for which it would wait, if an answer time is known.
    pub wait_ms: Option<f64>,
}

/// A flow of the caller that the lane already knows.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KnownFlow {
    /// `opening`, `open`, `closing` or `waiting`.
    pub state: Name,
    /// Its endpoint.
    pub endpoint: Option<Name>,
    /// Endpoints to which the opening went before.
    pub tried: Vec<Name>,
}

/// Where an opening would go if it goes to a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceExplanation {
    /// Name of the service.
    pub service: Name,
    /// Share of the route's openings that goes to it, from 0 to 1.
    pub share: f64,
    /// Endpoint that gets the opening as a trial, because it did not answer.
    pub trial: Option<Name>,
    /// Share of the flows that leaves the zone.
    pub leaving: LeavingExplanation,
    /// Endpoints that the opening may get, by zone, and all candidates.
    #[serde(flatten)]
    pub choice: ServiceChoice,
}

/// Why flows leave the zone, or do not.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LeavingReason {
    /// No answer time is known yet to plan with. A flow leaves if the endpoints of the own zone
    /// would take too long.
    NotPlanned,
    /// The own zone has no usable endpoint.
    NoLocalEndpoint,
    /// The own zone lacks capacity.
    NoCapacity,
    /// The own zone has capacity again, and the share falls step by step.
    CapacityReturned,
    /// The own zone lacks capacity, and no other zone would answer sooner.
    NoGain,
    /// The own zone has capacity.
    NotNeeded,
}

/// Share of a service's new flows that leaves the zone.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LeavingExplanation {
    /// The share, from 0 to 1.
    pub share: f64,
    /// Why it is what it is.
    pub reason: LeavingReason,
    /// Expected time in the own zone in milliseconds, if known.
    pub here_ms: Option<f64>,
    /// Expected time in the best of the other zones, in milliseconds.
    pub there_ms: Option<f64>,
}

/// The choice among the endpoints of a service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ServiceChoice {
    /// Endpoints that may be chosen, by preferred zone.
    pub choices: Vec<ZoneChoice>,
    /// All endpoints of the service.
    pub candidates: Vec<CandidateExplanation>,
}

/// Endpoints that may be chosen if a zone is preferred.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ZoneChoice {
    /// The preferred zone; absent for the own zone.
    pub zone: Option<Name>,
    /// Share of the flows for which it is preferred, from 0 to 1.
    pub share: f64,
    /// Endpoints that may be chosen; several if their scores are equal, or if more endpoints are
    /// usable than are compared.
    pub chosen: Vec<Name>,
    /// True if the endpoints that are compared may include none that can be chosen. A second
    /// comparison then decides, and the opening is refused if that fails too.
    pub may_miss: bool,
}

/// An endpoint that was considered.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CandidateExplanation {
    /// Its name.
    pub endpoint: Name,
    /// Its zone.
    pub zone: Name,
    /// Its tier in each of the choices, lower ones go first; empty if it cannot be chosen.
    pub tiers: SmallVec<[u8; 4]>,
    /// Its score, lower ones go first.
    pub score: Option<f64>,
    /// Requests of this lane in progress there.
    pub in_progress: u32,
    /// Flows of this lane there.
    pub flows: u32,
    /// Its mean time to answer a request in milliseconds, if known.
    pub answer_ms: Option<f64>,
    /// What speaks against it.
    pub reasons: Vec<Reason>,
    /// True if one of the choices may take it.
    pub chosen: bool,
}

/// What speaks against an endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "cause", rename_all = "snake_case")]
pub enum Reason {
    /// It drains.
    Draining,
    /// Its zone is evacuated.
    Evacuated,
    /// Another endpoint that started later has its address.
    Replaced,
    /// Its address moved to it from another service a short time ago.
    Blocked,
    /// The route does not allow its region.
    RegionNotAllowed,
    /// It is down; `confirmed` if its open flows are reset, `whole_zone` if its zone is down.
    Down {
        /// True if the evidence suffices to reset open flows.
        confirmed: bool,
        /// True if the endpoints of its zone stopped answering together.
        whole_zone: bool,
    },
    /// Hosts have evidence that it does not answer.
    Suspected {
        /// Names of some of these hosts.
        observers: Vec<Name>,
        /// Number of other hosts among them.
        other_hosts: u32,
    },
    /// It does not answer this lane.
    Unresponsive,
    /// It is reported unhealthy.
    ReportedUnhealthy,
    /// It is ejected because a part of its requests was not answered.
    Ejected,
    /// It warms up, and this lane may send it no opening now.
    Cold,
    /// It has its maximum number of flows.
    AtFlowLimit,
    /// An earlier copy of the opening went to it.
    AlreadyTried,
    /// The cookie of its flows identifies another endpoint.
    CookieInUse,
    /// It has no free capacity.
    Full,
}

/// Explains the routes with a front address, a name, or a service of this name; nothing if there
/// is none.
#[must_use]
pub fn explain(tables: &Tables, query: &Query, now: Duration) -> Vec<RouteExplanation> {
    let addr: Option<SocketAddr> = query.front.parse().ok();
    let is_named = |vip: &SocketAddr, route: &Route| {
        let mut services = route.targets.iter();
        Some(*vip) == addr
            || route.name == query.front
            || services.any(|(id, _)| service_name(tables, *id) == query.front)
    };
    explain_where(tables, is_named, query.caller, now)
}

/// Explains all routes.
#[must_use]
pub fn explain_all(tables: &Tables, now: Duration) -> Vec<RouteExplanation> {
    explain_where(tables, |_, _| true, None, now)
}

fn explain_where(
    tables: &Tables,
    is_wanted: impl Fn(&SocketAddr, &Route) -> bool,
    caller: Option<SocketAddr>,
    now: Duration,
) -> Vec<RouteExplanation> {
    let routes = tables.snapshot.routes.iter();
    let mut wanted: Vec<_> = routes
        .filter(|(vip, route)| is_wanted(vip, route))
        .collect();
    wanted.sort_unstable_by_key(|(vip, _)| **vip);
    let wanted = wanted.into_iter();
    wanted
        .map(|(vip, route)| explain_route(tables, *vip, route, caller, now))
        .collect()
}

fn explain_route(
    tables: &Tables,
    vip: SocketAddr,
    route: &Route,
    caller: Option<SocketAddr>,
    now: Duration,
) -> RouteExplanation {
    let any_caller = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
    let addrs = FlowAddrs {
        caller: caller.unwrap_or(any_caller),
        vip,
    };
    let known = tables.tracked_flows.get(&addrs);
    let usable = open::usable_services(tables, route);
    let total: f64 = usable.iter().map(|(_, weight)| f64::from(*weight)).sum();
    let services: Vec<ServiceExplanation> = usable
        .iter()
        .map(|(id, weight)| {
            let share = f64::from(*weight) / total;
            explain_service(tables, *id, route, share, known, now)
        })
        .collect();
    let mut admission = explain_admission(tables, route, &addrs, caller.is_some(), now);
    let is_placed = services.iter().any(|service| service.placed_share() > 0.0);
    if admission.outcome == Outcome::Starts {
        let refused = services
            .iter()
            .map(|it| it.share * (1.0 - it.placed_share()));
        admission.refused_share = if is_placed { refused.sum() } else { 1.0 };
        if admission.refused_share > 0.0 {
            admission.cause = Some(refusal_cause(tables, route, now).into());
        }
        if !is_placed {
            admission.outcome = Outcome::Refused;
        }
    }
    RouteExplanation {
        route: route.name.clone(),
        front: vip,
        priority: route.shed_rank,
        target_latency: route.target_latency,
        deadline: route.timeout,
        kind: route.kind,
        admission,
        flow: known_flow(tables, &addrs),
        services,
    }
}

fn known_flow(tables: &Tables, addrs: &FlowAddrs) -> Option<KnownFlow> {
    if tables.held_requests.get(addrs).is_some() {
        return Some(KnownFlow {
            state: "waiting".into(),
            endpoint: None,
            tried: Vec::new(),
        });
    }
    let flow = tables.tracked_flows.get(addrs)?;
    let state = match flow.state {
        TrackedState::Opening => "opening",
        TrackedState::Open => "open",
        TrackedState::Closing => "closing",
    };
    let tried = flow.tried_endpoints.iter();
    Some(KnownFlow {
        state: state.into(),
        endpoint: Some(super::endpoint_name(tables, flow.endpoint)),
        tried: tried.map(|id| super::endpoint_name(tables, *id)).collect(),
    })
}

fn explain_admission(
    tables: &Tables,
    route: &Route,
    addrs: &FlowAddrs,
    has_caller: bool,
    now: Duration,
) -> AdmissionExplanation {
    let service = route.targets.first().map_or(Id(0), |(id, _)| *id);
    let segment = Segment {
        addrs: *addrs,
        kind: SegmentKind::Open,
        seq: 0,
        ack: 0,
        cookie: 0,
        len: 0,
        bytes: Bytes::new(),
    };
    let mut held = tables.held_requests.clone();
    let mut request = overload_queue::arriving(service, route, segment, now);
    let waiting = tables.held_requests.get(addrs).cloned();
    let known = tables.tracked_flows.get(addrs);
    let is_copy = known.is_some_and(|flow| flow.state == TrackedState::Opening);
    let admission = if let Some(waiting) = waiting {
        request = waiting;
        Admission::Wait
    } else if is_copy || route.targets.is_empty() {
        // A copy of an opening that was passed on before does not wait.
        Admission::Start
    } else {
        if has_caller {
            request.bucket = held.note_caller(addrs, now);
        }
        overload_queue::decide(tables, &held, &request, now)
    };
    let estimate = match admission {
        Admission::Start => None,
        Admission::Wait => expected_wait(tables, &held, &request, now),
        Admission::Refuse(shortage) => Some(shortage),
    };
    // Far below 2^52.
    #[allow(clippy::cast_precision_loss)]
    let wait = estimate.map(|wait| wait.ahead as f64 * wait.seconds_each);
    let is_refused = matches!(admission, Admission::Refuse(_));
    let rows = tables.held_requests.iter();
    AdmissionExplanation {
        outcome: match admission {
            Admission::Start => Outcome::Starts,
            Admission::Wait => Outcome::Waits,
            Admission::Refuse(_) => Outcome::Refused,
        },
        refused_share: f64::from(u8::from(is_refused)),
        cause: is_refused.then(|| "no_capacity".into()),
        service: service_name(tables, service),
        in_progress: tables.endpoints.own_requests(service),
        limit: tables.held_requests.limit(service).map(|it| it.requests),
        waiting: rows.filter(|row| row.service == service).count(),
        ahead: estimate.map(|wait| wait.ahead),
        wait_ms: wait.map(|seconds| seconds * 1_000.0),
    }
}

/// Returns how long a waiting request is expected to wait. The estimate is that of a refusal: a
/// request without any time left is always too late, and its position does not depend on it.
fn expected_wait(
    tables: &Tables,
    held: &HeldRequests,
    request: &HeldRequest,
    now: Duration,
) -> Option<admission::Shortage> {
    let request = HeldRequest {
        timeout: Duration::ZERO,
        ..request.clone()
    };
    let share = rank_limits::share(tables, request.service, request.rank);
    admission::arrival_shortage(held, &request, share, now)
}

fn explain_service(
    tables: &Tables,
    service: Id,
    route: &Route,
    share: f64,
    known: Option<&TrackedFlow>,
    now: Duration,
) -> ServiceExplanation {
    let earlier = known.filter(|flow| flow.state == TrackedState::Opening);
    let tried = earlier.map_or_else(Vec::new, |flow| {
        let before = flow.tried_endpoints.iter().copied();
        before.chain([flow.endpoint]).collect()
    });
    let may_try = tried.is_empty() && open::is_least_urgent(tables, route, service);
    let trial = open::due_trial(tables, route, service, now).filter(|_| may_try);
    let explain_choice = &tables.policies.explain_relayed;
    let mut choice = explain_choice(tables, service, route, known, &tried, now);
    // Tried endpoints are used again if the others cannot be chosen.
    if !tried.is_empty() && choice.choices.iter().any(|choice| choice.may_miss) {
        let again = explain_choice(tables, service, route, known, &[], now);
        choice = choice.or_again(again);
    }
    ServiceExplanation {
        service: service_name(tables, service),
        share,
        trial: trial.map(|row| row.spec.name.clone()),
        leaving: explain_leaving(tables, service, now),
        choice,
    }
}

impl ServiceExplanation {
    /// Returns the share of its openings that an endpoint gets, from 0 to 1.
    #[must_use]
    pub fn placed_share(&self) -> f64 {
        let choices = self.choice.choices.iter();
        let empty = choices.filter(|choice| choice.chosen.is_empty());
        match self.trial {
            Some(_) => 1.0,
            None if self.choice.is_empty() => 0.0,
            None => 1.0 - empty.map(|choice| choice.share).sum::<f64>(),
        }
    }
}

impl ServiceChoice {
    /// Adds the endpoints that a second comparison without excluded ones may choose.
    fn or_again(mut self, again: Self) -> Self {
        if self.is_empty() {
            return again;
        }
        for (candidate, other) in self.candidates.iter_mut().zip(&again.candidates) {
            candidate.chosen |= other.chosen;
        }
        let candidates = self.candidates.iter().filter(|candidate| candidate.chosen);
        let chosen: Vec<Name> = candidates.map(|it| it.endpoint.clone()).collect();
        for choice in self.choices.iter_mut().filter(|choice| choice.may_miss) {
            choice.chosen.clone_from(&chosen);
        }
        self
    }

    /// Returns true if no endpoint can be chosen.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.choices.iter().all(|choice| choice.chosen.is_empty())
    }
}

fn explain_leaving(tables: &Tables, service: Id, now: Duration) -> LeavingExplanation {
    let Some(plan) = tables.zone_spill.plan(service) else {
        return LeavingExplanation {
            share: 0.0,
            reason: LeavingReason::NotPlanned,
            here_ms: None,
            there_ms: None,
        };
    };
    let decision = zone_spill::decide(&zone_spill::input_of(tables, service, now), plan.share);
    let is_local = has_local_endpoint(tables, service, now);
    let reason = match (decision.is_short, plan.share > 0.0) {
        _ if !is_local => LeavingReason::NoLocalEndpoint,
        (true, true) => LeavingReason::NoCapacity,
        (false, true) => LeavingReason::CapacityReturned,
        (true, false) => LeavingReason::NoGain,
        (false, false) => LeavingReason::NotNeeded,
    };
    LeavingExplanation {
        share: if is_local { plan.share } else { 1.0 },
        reason,
        here_ms: (decision.time_here > 0.0).then_some(decision.time_here * 1_000.0),
        there_ms: decision.time_there.map(|time| time * 1_000.0),
    }
}

/// Explains what [`place_relayed`](super::placement::place_relayed) would choose, without the load of
/// the flow that the opening replaces.
pub(in super::super) fn explain_choice(
    tables: &Tables,
    tuning: &Tuning,
    service: Id,
    route: &Route,
    known: Option<&TrackedFlow>,
    tried: &[Id],
    now: Duration,
) -> ServiceChoice {
    let rules = RelayRules::new(tables, tuning, service, route, now);
    let uncounted = known.and_then(|flow| uncounted_row(tables, flow));
    let uncounted = uncounted.as_ref();
    let listed = tables.endpoints.of_service(service);
    let rows: Vec<&EndpointRow> = listed
        .map(|row| {
            let changed = uncounted.filter(|changed| changed.spec.id == row.spec.id);
            changed.unwrap_or(row)
        })
        .collect();
    let has_cookie = |row: &EndpointRow| tables.cookies.assignable_cookie(row.spec.id).is_some();
    let colliding = rows.iter().filter(|row| !has_cookie(row));
    let skipped: Vec<Id> = tried
        .iter()
        .copied()
        .chain(colliding.map(|row| row.spec.id))
        .collect();
    let explain_row = |row: &&EndpointRow| CandidateExplanation {
        endpoint: row.spec.name.clone(),
        zone: row.spec.zone.clone(),
        tiers: SmallVec::new(),
        score: None,
        in_progress: row.own_requests,
        flows: row.flow_count,
        answer_ms: (row.answer_time > 0.0).then_some(row.answer_time * 1_000.0),
        reasons: reasons(row, &rules, tried, has_cookie(row), now),
        chosen: false,
    };
    let mut candidates: Vec<CandidateExplanation> = rows.iter().map(explain_row).collect();
    let mut choices = Vec::new();
    for (preference, share) in preferences(tables, service, tried, now) {
        let is_eligible = |row: &EndpointRow| row.accepts_work(now) && rules.is_allowed(row);
        let rated: Vec<Option<Candidate>> = rows
            .iter()
            .map(|row| {
                let usage = |row: &EndpointRow| rules.usage(row, &preference, &skipped);
                is_eligible(row).then(|| rate(row, &rules.tuning, now, usage))
            })
            .collect();
        let is_first = |row: &EndpointRow| is_eligible(row) && preference.includes(row);
        let starts = possible_starts(tables, service, is_first);
        let (best, may_miss) = possible_best(&rated, &starts, rules.tuning.sample_size);
        let mut chosen = Vec::new();
        for ((row, candidate), rated) in rows.iter().zip(&mut candidates).zip(&rated) {
            if let Some(Ok(rating)) = rated.map(|rated| rated.rating) {
                candidate.tiers.push(rating.tier);
                candidate.score = Some(rating.score);
            }
            if best.contains(&row.spec.id) {
                candidate.chosen = true;
                chosen.push(row.spec.name.clone());
            }
        }
        let zone = match preference {
            Preference::Zone(zone) => Some(zone),
            Preference::Unplanned | Preference::OwnZone => None,
        };
        choices.push(ZoneChoice {
            zone,
            share,
            chosen,
            may_miss,
        });
    }
    ServiceChoice {
        choices,
        candidates,
    }
}

/// Returns the endpoints that are the best of a sample which begins at one of the positions `starts`,
/// in order, and whether a sample has none.
///
/// The samples overlap, so the endpoints of one are kept in a queue from which those are removed
/// that a later one beats. With thousands of endpoints, comparing each sample as a whole takes
/// longer than a tick.
fn possible_best(
    rated: &[Option<Candidate>],
    starts: &[usize],
    sample: usize,
) -> (BTreeSet<Id>, bool) {
    let positions = rated.iter().enumerate();
    let eligible: Vec<(usize, Candidate)> = positions
        .filter_map(|(position, candidate)| Some((position, (*candidate)?)))
        .collect();
    let mut found = BTreeSet::new();
    if eligible.is_empty() {
        return (found, true);
    }
    let at = |index: usize| eligible[index % eligible.len()].1;
    let beats = |index: usize, other: usize| {
        best_of([at(other), at(index)].into_iter()) == Some(at(index).id)
    };
    let mut queue: VecDeque<usize> = VecDeque::new();
    // The sample from `left` to `entered`, and the number of healthy endpoints in it.
    let (mut left, mut entered, mut healthy) = (0, 0, 0_usize);
    let mut misses = false;
    for start in starts {
        let first = eligible.partition_point(|(position, _)| position < start);
        while entered < first + sample.min(eligible.len()) {
            healthy += usize::from(at(entered).is_healthy);
            if at(entered).rating.is_ok() {
                while queue.back().is_some_and(|last| beats(entered, *last)) {
                    queue.pop_back();
                }
                queue.push_back(entered);
            }
            entered += 1;
        }
        while left < first {
            healthy -= usize::from(at(left).is_healthy);
            left += 1;
        }
        while queue.front().is_some_and(|index| *index < first) {
            queue.pop_front();
        }
        let best = queue.front().map(|index| at(*index));
        // A healthy endpoint that cannot be chosen keeps the unhealthy ones from being used.
        match best.filter(|best| best.is_healthy || healthy == 0) {
            Some(best) => {
                found.insert(best.id);
            }
            None => misses = true,
        }
    }
    (found, misses)
}

/// Returns the endpoint of a flow as it is without the flow, which is removed before its next
/// opening is placed. A closing flow was removed before.
fn uncounted_row(tables: &Tables, flow: &TrackedFlow) -> Option<EndpointRow> {
    if flow.state == TrackedState::Closing {
        return None;
    }
    let mut row = tables.endpoints.get(flow.endpoint)?.clone();
    row.flow_count = row.flow_count.saturating_sub(1);
    let requests = u32::from(flow.counts_load);
    row.own_requests = row.own_requests.saturating_sub(requests);
    Some(row)
}

/// Returns the preferences that a draw may lead to, with the shares of the draws.
fn preferences(
    tables: &Tables,
    service: Id,
    tried: &[Id],
    now: Duration,
) -> Vec<(Preference, f64)> {
    let mut bounds = vec![0.0];
    if let Some(plan) = tables.zone_spill.plan(service) {
        let is_local = has_local_endpoint(tables, service, now);
        let share = if is_local { plan.share } else { 1.0 };
        let total: f64 = plan.zones.iter().map(|(_, weight)| weight).sum();
        let mut sum = 0.0;
        for (_, weight) in &plan.zones {
            sum += weight;
            bounds.push(share * sum / total.max(f64::MIN_POSITIVE));
        }
    }
    bounds.push(1.0);
    let mut preferences: Vec<(Preference, f64)> = Vec::new();
    for pair in bounds.windows(2) {
        let width = pair[1] - pair[0];
        if width <= 0.0 {
            continue;
        }
        let middle = pair[0] + width / 2.0;
        let preference = preference_at(tables, service, tried, middle, now);
        match preferences.iter_mut().find(|known| known.0 == preference) {
            Some(known) => known.1 += width,
            None => preferences.push((preference, width)),
        }
    }
    preferences
}

/// Returns what speaks against an endpoint.
fn reasons(
    row: &EndpointRow,
    rules: &RelayRules,
    tried: &[Id],
    has_cookie: bool,
    now: Duration,
) -> Vec<Reason> {
    let is_blocked = now < row.blocked_until;
    let barred = [
        row.draining_since.map(|_| Reason::Draining),
        row.evacuated.then_some(Reason::Evacuated),
        row.replaced.then_some(Reason::Replaced),
        is_blocked.then_some(Reason::Blocked),
        row.ejected_until.map(|_| Reason::Ejected),
        (!rules.is_allowed(row)).then_some(Reason::RegionNotAllowed),
        (!has_cookie).then_some(Reason::CookieInUse),
    ];
    let faults = health_faults(row, &rules.tuning, now);
    let faults = faults.filter_map(|fault| health_reason(row, fault));
    let excluded = rules
        .exclusions(row, tried)
        .map(|exclusion| match exclusion {
            Exclusion::Cold => Reason::Cold,
            Exclusion::AtFlowLimit => Reason::AtFlowLimit,
            Exclusion::AlreadyTried => Reason::AlreadyTried,
            Exclusion::Full => Reason::Full,
        });
    let barred = barred.into_iter().flatten();
    barred.chain(faults).chain(excluded).collect()
}

/// Returns the details of a fault.
fn health_reason(row: &EndpointRow, fault: HealthFault) -> Option<Reason> {
    Some(match fault {
        HealthFault::Down => {
            let down = row.down?;
            Reason::Down {
                confirmed: down.confirmed,
                whole_zone: down.whole_zone,
            }
        }
        HealthFault::Suspected => {
            let suspicion = row.suspicion.as_ref()?;
            Reason::Suspected {
                observers: suspicion.observers.to_vec(),
                other_hosts: suspicion.other_hosts,
            }
        }
        HealthFault::Unresponsive => Reason::Unresponsive,
        HealthFault::ReportedUnhealthy => Reason::ReportedUnhealthy,
    })
}

/// Returns the name of a service, or its id if it is not known.
fn service_name(tables: &Tables, id: Id) -> Name {
    let service = tables.snapshot.services.get(&id);
    service.map_or_else(|| format!("{id:?}").into(), |service| service.name.clone())
}
