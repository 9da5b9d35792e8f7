//! Chooses the endpoint of a flow or a request.
//!
//! A lane is a traffic thread with its own tables, and a host runs one or several. A lane's
//! own observations take precedence over reports: an endpoint that does not answer is
//! avoided even if it is reported healthy, and one that answers is used even if it is
//! reported unhealthy. The load reports of an endpoint account for the requests of other
//! lanes.
//!
//! Flows and requests whose packets this host reads are placed with the help of load
//! reports, which most packets of an endpoint carry. [`relay::placement`](super::relay::placement)
//! places relayed flows, whose endpoints send none.

use std::time::Duration;

use rand::RngExt;
use smallvec::SmallVec;

use super::policies::Tuning;
use super::probe;
use crate::id::Id;
use crate::packet::{Body, Class};
use crate::tables::{EndpointRow, Outbox, Tables};

/// Share of its normal load that a new or restarted endpoint starts with.
const INITIAL_SHARE: f64 = 0.1;

/// Smallest share that an endpoint keeps, however many requests it refuses.
const MIN_SHARE: f64 = 0.05;

/// Time without an answer after which an endpoint that is reported unhealthy is avoided.
const UNHEALTHY_DELAY: Duration = Duration::from_secs(1);

/// Age above which a load report is too old to place long requests. While requests are
/// queued, a new report is requested at that age. The age is counted from the last packet
/// of the endpoint, although a few kinds of packets carry no load report.
const MAX_REPORT_AGE: Duration = Duration::from_millis(20);

/// Time for which an endpoint gets no requests after it refused one.
const REFUSAL_PAUSE: Duration = Duration::from_millis(10);

/// Share of load reports that left out acknowledged requests above which an endpoint
/// gets no long requests.
const MAX_UNDERREPORT_RATE: f64 = 0.2;

/// Amount by which each answer widens the window of an endpoint.
const WINDOW_STEP: f64 = 0.05;

/// Largest window, as a multiple of the endpoint's slots.
const MAX_WINDOW: f64 = 2.0;

/// Largest number of endpoints asked for their load at once.
const MAX_LOAD_REQUESTS: usize = 16;

/// Longest pause of an endpoint that keeps refusing, as a multiple of [`REFUSAL_PAUSE`].
const MAX_PAUSE_FACTOR: u32 = 8;

/// Share of its normal load that an endpoint gets while it reports that it is warming up.
const WARMUP_SHARE: f64 = 0.5;

/// An endpoint that is compared with others.
#[derive(Clone, Copy)]
pub(super) struct Candidate {
    pub(super) id: Id,
    /// False for one that is used only if all those that it is compared with are unhealthy.
    pub(super) is_healthy: bool,
    /// Why it cannot be chosen, or its score.
    pub(super) rating: Result<Rating, Exclusion>,
}

/// How well an endpoint suits. Lower tiers go before higher ones, then lower scores before
/// higher ones.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
pub(super) struct Rating {
    /// As in [`Usage::tier`].
    pub(super) tier: u8,
    pub(super) score: f64,
}

/// Why an endpoint that accepts work cannot be chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Exclusion {
    /// It has no free capacity.
    Full,
    /// It has its maximum number of flows.
    AtFlowLimit,
    /// It warms up, and this lane may send it no opening now.
    Cold,
    /// An earlier copy of the opening went to it.
    AlreadyTried,
}

/// Load of an endpoint with free capacity.
pub(super) struct Usage {
    /// Zero for a preferred endpoint. One of a higher tier is chosen only when none of a lower
    /// tier has free capacity: it is in another zone, or it is loaded beyond a limit.
    pub(super) tier: u8,
    /// Share of its capacity in use.
    pub(super) used_share: f64,
    /// Share of its capacity that one more flow or request takes.
    pub(super) unit_share: f64,
}

/// Returns the endpoint for a new flow: the least loaded one with free capacity.
pub(super) fn place_flow(
    tables: &mut Tables,
    tuning: &Tuning,
    service: Id,
    refused: &[Id],
    now: Duration,
) -> Option<Id> {
    let lanes = lane_count(tables);
    pick_best(tables, tuning, service, now, |row| {
        let conns = estimated_flows(row, lanes);
        if conns >= row.spec.max_conns || refused.contains(&row.spec.id) {
            return None;
        }
        let limit = f64::from(row.spec.max_conns);
        let used_share = f64::from(conns) / limit;
        let unit_share = 1.0 / limit;
        let is_full = used_share + unit_share > tuning.preferred_share;
        Some(Usage {
            tier: u8::from(!row.spec.local || is_full),
            used_share,
            unit_share,
        })
    })
}

/// Returns the endpoint for a request: the least busy one that can accept it.
pub(super) fn place_request(
    tables: &mut Tables,
    tuning: &Tuning,
    service: Id,
    class: Class,
    now: Duration,
) -> Option<Id> {
    let lanes = lane_count(tables);
    let reserved_slots = tables.snapshot.services.get(&service)?.reserved_slots;
    let last_slot_shortage = tables.endpoints.last_slot_shortage(service);
    // Long requests leave the next free slots to short ones after a short request found none.
    if class.is_long_running()
        && last_slot_shortage.is_some_and(|time| now < time + tuning.yield_time)
    {
        return None;
    }
    pick_best(tables, tuning, service, now, |row| {
        let busy = if class.is_long_running() {
            long_request_load(row, reserved_slots, now)?
        } else {
            short_request_load(row, tuning, lanes, now)?
        };
        let recent_busy_slots =
            row.recent_busy_slots(now) * f64::from(lanes) * tuning.recent_weight;
        let slots = f64::from(row.spec.slots);
        Some(Usage {
            tier: u8::from(!row.spec.local),
            used_share: (f64::from(busy) + recent_busy_slots) / slots,
            unit_share: 1.0 / slots,
        })
    })
}

/// Returns the number of requests on an endpoint, or `None` if it cannot accept a long
/// request.
///
/// Slots that are reserved for short requests stay free. Each lane relies on load reports
/// to count the requests of the others, so the report must be recent.
fn long_request_load(row: &EndpointRow, reserved_slots: u32, now: Duration) -> Option<u32> {
    let limit = row.spec.slots.saturating_sub(reserved_slots).max(1);
    let busy = (row.own_requests.saturating_add(row.other_requests)).max(row.load.active_requests);
    let is_recent = now < row.last_heard + MAX_REPORT_AGE;
    (is_ready(row, now) && is_recent && !is_underreporting(row) && busy < limit).then_some(busy)
}

/// Returns the number of requests on an endpoint, or `None` if it cannot accept a short
/// request.
///
/// Up to [`Tuning::overcommit`] requests are sent beyond its slots, as far as the window
/// allows. An old load report is ignored. If the reports leave out requests, the other
/// lanes are assumed to have as many as this one.
fn short_request_load(
    row: &EndpointRow,
    tuning: &Tuning,
    lanes: u32,
    now: Duration,
) -> Option<u32> {
    let is_old = now >= row.last_heard + tuning.report_ttl;
    let others = match is_underreporting(row) {
        true => row.own_requests.saturating_mul(lanes - 1),
        false if is_old => 0,
        false => row.other_requests,
    };
    let busy = row.own_requests.saturating_add(others);
    let fits_window = f64::from(row.own_requests + 1) <= row.window;
    let has_slot = busy < row.spec.slots.saturating_add(tuning.overcommit);
    (is_ready(row, now) && fits_window && has_slot).then_some(busy)
}

/// Returns true if the endpoint's incarnation is known and it is not paused after a
/// refusal.
fn is_ready(row: &EndpointRow, now: Duration) -> bool {
    row.load.incarnation != 0 && now >= row.paused_until
}

/// Returns true if the endpoint's load reports often leave out requests that it has
/// acknowledged.
fn is_underreporting(row: &EndpointRow) -> bool {
    row.underreport_rate > MAX_UNDERREPORT_RATE
}

/// Returns the number of flows on an endpoint.
///
/// This is the reported number, unless it is less than half of what this lane's own flows
/// suggest if all lanes have equally many. Flows that this lane has assigned since the last
/// report are added to both: the report does not include them, and `flow_count` includes
/// them only once the endpoint has confirmed them.
fn estimated_flows(row: &EndpointRow, lanes: u32) -> u32 {
    let reported = row.load.conns.saturating_add(row.unreported_flows);
    let extrapolated = (row.flow_count + row.unreported_flows).saturating_mul(lanes);
    if reported < extrapolated / 2 {
        extrapolated
    } else {
        reported
    }
}

/// Returns the number of lanes of all hosts in the zone, at least one.
fn lane_count(tables: &Tables) -> u32 {
    let lanes: usize = tables
        .snapshot
        .hosts
        .iter()
        .map(|host| host.lanes.len())
        .sum();
    u32::try_from(lanes.max(1)).unwrap_or(u32::MAX)
}

/// Returns the endpoint with the lowest score. `usage_of` returns `None` for an endpoint
/// without free capacity.
///
/// Only a sample that begins at a random position is compared, so that the cost does not
/// grow with the service and equal endpoints take turns. Unhealthy endpoints are used
/// only if the whole sample is unhealthy, so that a service always has an endpoint.
fn pick_best(
    tables: &mut Tables,
    tuning: &Tuning,
    service: Id,
    now: Duration,
    usage_of: impl Fn(&EndpointRow) -> Option<Usage>,
) -> Option<Id> {
    let usage_of = |row: &EndpointRow| usage_of(row).ok_or(Exclusion::Full);
    pick_allowed(tables, tuning, service, now, |_| true, |_| true, usage_of)
}

/// Returns what [`pick_best`] does, but only of the endpoints that `is_allowed` accepts. Equal
/// ones take turns among those that `is_preferred` accepts.
pub(super) fn pick_allowed(
    tables: &mut Tables,
    tuning: &Tuning,
    service: Id,
    now: Duration,
    is_allowed: impl Fn(&EndpointRow) -> bool,
    is_preferred: impl Fn(&EndpointRow) -> bool,
    usage_of: impl Fn(&EndpointRow) -> Result<Usage, Exclusion>,
) -> Option<Id> {
    let is_first =
        |row: &EndpointRow| row.accepts_work(now) && is_allowed(row) && is_preferred(row);
    let start = random_start(tables, service, is_first);
    let rows = tables.endpoints.of_service_from(service, start);
    let sample = rows
        .filter(|row| row.accepts_work(now) && is_allowed(row))
        .take(tuning.sample_size);
    best_of(sample.map(|row| rate(row, tuning, now, &usage_of)))
}

/// Rates an endpoint that accepts work.
pub(super) fn rate(
    row: &EndpointRow,
    tuning: &Tuning,
    now: Duration,
    usage_of: impl Fn(&EndpointRow) -> Result<Usage, Exclusion>,
) -> Candidate {
    Candidate {
        id: row.spec.id,
        is_healthy: !is_unhealthy(row, tuning, now),
        rating: usage_of(row).map(|usage| Rating {
            tier: usage.tier,
            score: score(row, &usage, tuning, now),
        }),
    }
}

/// Returns the best of some endpoints, the first of equal ones. Unhealthy ones are used only if
/// all are unhealthy.
pub(super) fn best_of(candidates: impl Iterator<Item = Candidate>) -> Option<Id> {
    let mut any_healthy = false;
    let mut best: Option<(Rating, Id)> = None;
    for candidate in candidates {
        if candidate.is_healthy && !any_healthy {
            any_healthy = true;
            best = None;
        }
        let Ok(rating) = candidate.rating else {
            continue;
        };
        let may_use = candidate.is_healthy || !any_healthy;
        if may_use && best.is_none_or(|(known, _)| rating < known) {
            best = Some((rating, candidate.id));
        }
    }
    best.map(|(_, id)| id)
}

/// Returns the position of a random endpoint of a service among those that `is_first` accepts, or
/// among all if it accepts none.
///
/// A choice that began elsewhere would favour the first accepted endpoint after a group of others,
/// which is the same one each time.
fn random_start(
    tables: &mut Tables,
    service: Id,
    is_first: impl Fn(&EndpointRow) -> bool,
) -> usize {
    let rows = tables.endpoints.of_service(service);
    let count = rows.filter(|row| is_first(row)).count();
    if count == 0 {
        let count = tables.endpoints.count(service).max(1);
        return tables.rng.random_range(0..count);
    }
    let skipped = tables.rng.random_range(0..count);
    let rows = tables.endpoints.of_service(service).enumerate();
    let mut accepted = rows.filter(|(_, row)| is_first(row));
    accepted.nth(skipped).map_or(0, |(position, _)| position)
}

/// Returns the positions that [`random_start`] may return, in order.
pub(super) fn possible_starts(
    tables: &Tables,
    service: Id,
    is_first: impl Fn(&EndpointRow) -> bool,
) -> Vec<usize> {
    let rows = tables.endpoints.of_service(service).enumerate();
    let accepted = rows.filter(|(_, row)| is_first(row));
    let positions: Vec<usize> = accepted.map(|(position, _)| position).collect();
    if positions.is_empty() {
        return (0..tables.endpoints.count(service).max(1)).collect();
    }
    positions
}

/// Returns the score of an endpoint, which is lower the more load it should get.
///
/// The configured weight applies to the current load but not to the next request.
/// Otherwise an idle endpoint of low weight would get no requests while its peers have a
/// free slot.
fn score(row: &EndpointRow, usage: &Usage, tuning: &Tuning, now: Duration) -> f64 {
    (usage.used_share / row.spec.weight + usage.unit_share) / due_share(row, tuning, now)
}

/// Returns the share of its normal load that an endpoint gets: less during slow start or
/// warm-up, and less the more requests it refuses.
fn due_share(row: &EndpointRow, tuning: &Tuning, now: Duration) -> f64 {
    let age = now.saturating_sub(row.up_since).as_secs_f64();
    let slow_start_share =
        (age / tuning.slow_start.as_secs_f64().max(f64::EPSILON)).clamp(INITIAL_SHARE, 1.0);
    let accepted_share = (1.0 - row.refusal_rate).max(MIN_SHARE);
    // Endpoints of relayed flows report their remaining warm-up time to the platform. For
    // the others, the time since they were listed or restarted is used.
    if row.spec.relay_number != 0 {
        return if row.spec.warmup_left.is_zero() {
            accepted_share
        } else {
            WARMUP_SHARE
        };
    }
    slow_start_share * accepted_share
}

/// Returns true if an endpoint has not answered this lane for
/// [`Tuning::answer_timeout`].
pub(super) fn is_unresponsive(row: &EndpointRow, now: Duration) -> bool {
    row.unanswered_since
        .is_some_and(|since| now >= since + Tuning::DEFAULT.answer_timeout)
}

/// Why an endpoint is used only if no healthy one is left.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum HealthFault {
    /// It is down.
    Down,
    /// It is suspected.
    Suspected,
    /// It does not answer this lane.
    Unresponsive,
    /// It is reported unhealthy and has not answered recently.
    ReportedUnhealthy,
}

/// Returns why an endpoint is unhealthy; nothing for a healthy one.
pub(super) fn health_faults(
    row: &EndpointRow,
    tuning: &Tuning,
    now: Duration,
) -> impl Iterator<Item = HealthFault> + use<> {
    let unresponsive = row
        .unanswered_since
        .is_some_and(|since| now >= since + tuning.answer_timeout);
    let is_reported = !row.spec.healthy && now >= row.last_heard + UNHEALTHY_DELAY;
    let faults = [
        row.down.is_some().then_some(HealthFault::Down),
        row.suspicion.is_some().then_some(HealthFault::Suspected),
        unresponsive.then_some(HealthFault::Unresponsive),
        is_reported.then_some(HealthFault::ReportedUnhealthy),
    ];
    faults.into_iter().flatten()
}

/// Returns true if an endpoint has a [`HealthFault`].
fn is_unhealthy(row: &EndpointRow, tuning: &Tuning, now: Duration) -> bool {
    health_faults(row, tuning, now).next().is_some()
}

/// Requests a load report from endpoints that have not answered yet or are reported
/// unhealthy. Endpoints of relayed flows send no load reports and are left out.
pub(super) fn probe_unhealthy(tables: &mut Tables, now: Duration, out: &mut Outbox) {
    let mut ids: SmallVec<[Id; 16]> = SmallVec::new();
    for row in tables
        .endpoints
        .iter()
        .filter(|row| row.spec.relay_number == 0)
    {
        if row.unanswered_since.is_some() || !row.spec.healthy {
            ids.push(row.spec.id);
        }
    }
    for id in ids {
        probe::request_load(tables, id, now, out);
    }
}

/// Requests new load reports from some endpoints of a service whose reports are old.
pub(super) fn refresh_loads(tables: &mut Tables, service: Id, now: Duration, out: &mut Outbox) {
    let start = random_start(tables, service, |_| true);
    let old: SmallVec<[Id; 16]> = tables
        .endpoints
        .of_service_from(service, start)
        .take(MAX_LOAD_REQUESTS)
        .filter(|row| now >= row.last_heard + MAX_REPORT_AGE)
        .map(|row| row.spec.id)
        .collect();
    for id in old {
        probe::request_load(tables, id, now, out);
    }
}

/// Records that a packet came from an endpoint.
///
/// The caller has already stored the load report of the packet, if it carries one.
pub(super) fn record_packet(tables: &mut Tables, id: Id, body: &Body, now: Duration) {
    let Some(row) = tables.endpoints.get_mut(id) else {
        return;
    };
    row.last_heard = now;
    row.unanswered_since = None;
    match body {
        Body::Answer { .. } => record_answer(row),
        Body::Refused { .. } | Body::Probed { .. } => row.evaluate_report(),
        _ => {}
    }
}

/// Records an answer, which widens the endpoint's window and ends its pause.
fn record_answer(row: &mut EndpointRow) {
    row.failure_streak = 0;
    row.paused_until = Duration::ZERO;
    row.evaluate_report();
    // The request was not refused.
    row.update_refusal_rate(false);
    let max_window = f64::from(row.spec.slots) * MAX_WINDOW;
    row.window = (row.window + WINDOW_STEP).min(max_window);
}

/// Records that an endpoint failed to answer.
pub(super) fn record_failure(tables: &mut Tables, id: Id, now: Duration) {
    if let Some(row) = tables.endpoints.get_mut(id) {
        row.failure_streak += 1;
        row.last_failure = Some(now);
    }
}

/// Records a refusal. The endpoint's window shrinks to its current requests, and it is
/// paused for longer with each consecutive failure.
pub(super) fn record_refusal(tables: &mut Tables, id: Id, now: Duration) {
    let Some(row) = tables.endpoints.get_mut(id) else {
        return;
    };
    row.last_failure = Some(now);
    row.failure_streak += 1;
    // A refusal counts against the endpoint only if it had a free slot.
    row.update_refusal_rate(row.load.active_requests < row.spec.slots);
    row.window = f64::from(row.own_requests.max(1));
    row.paused_until = now + REFUSAL_PAUSE * row.failure_streak.min(MAX_PAUSE_FACTOR);
}
