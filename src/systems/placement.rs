//! Chooses the endpoint of a flow or a request.
//!
//! What this lane has seen itself weighs more than what is reported: an endpoint
//! that does not answer is passed over whatever its health, one that answers is
//! used. An endpoint's own load report fills in the work of other lanes.

use std::time::Duration;

use rand::RngExt;
use smallvec::SmallVec;

use super::policies::Tuning;
use super::probe;
use crate::id::Id;
use crate::packet::{Body, Class};
use crate::segment::Route;
use crate::tables::{EndpointRow, Outbox, Tables};

/// Share that a new or restarted endpoint starts with.
const INITIAL_SHARE: f64 = 0.1;

/// Share of its due that an endpoint keeps however often it refuses.
const MIN_SHARE: f64 = 0.05;

/// Time without an answer after which a report of bad health is believed.
const UNHEALTHY_DELAY: Duration = Duration::from_secs(1);

/// Age of a load report above which long work does not go by it, and it is asked
/// for again while work waits.
const MAX_REPORT_AGE: Duration = Duration::from_millis(20);

/// Pause of an endpoint after it refused work.
const REFUSAL_PAUSE: Duration = Duration::from_millis(10);

/// Share of doubtful reports above which an endpoint gets no long work.
const MAX_UNDERREPORT_RATE: f64 = 0.2;

/// What an answer adds to the window of an endpoint.
const WINDOW_STEP: f64 = 0.05;

/// Largest window over the endpoint's slots.
const MAX_WINDOW: f64 = 2.0;

/// Most endpoints asked for their load at once.
const MAX_LOAD_REQUESTS: usize = 16;

/// Longest pause of an endpoint that keeps refusing, as a multiple of the first.
const MAX_PAUSE_FACTOR: u32 = 8;

/// Slots that an idle open flow is taken to use: a long flow asks about once a
/// second for work of some tens of milliseconds.
const IDLE_FLOW_LOAD: f64 = 0.05;

/// Most that the usual time of an endpoint's answers counts against it. One that
/// looks quicker than others gets no more for it: it may just not have been asked since
/// they filled up.
const MAX_SLOWNESS: f64 = 3.0;

/// How much busier an endpoint of the own zone may be before a flow that finds no
/// room there goes to another zone, whose other load this lane does not see.
const REMOTE_PENALTY: f64 = 1.5;

/// Share of its due that an endpoint gets while it says that it is slow.
const WARMUP_SHARE: f64 = 0.5;

/// A choice among endpoints: lower scores first, remote ones only when no local fits.
struct Candidate {
    id: Id,
    remote: bool,
    score: f64,
}

/// What an endpoint with room carries.
struct Usage {
    remote: bool,
    /// Share of its limit in use.
    used_share: f64,
    /// Share that one more takes.
    unit_share: f64,
}

/// Endpoint for a new flow: the least full of those with room.
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
        if conns >= row.spec.conns || refused.contains(&row.spec.id) {
            return None;
        }
        let limit = f64::from(row.spec.conns);
        let used_share = f64::from(conns) / limit;
        let unit_share = 1.0 / limit;
        let remote = !row.spec.local || used_share + unit_share > tuning.spill_share;
        Some(Usage {
            remote,
            used_share,
            unit_share,
        })
    })
}

/// Endpoint for a flow that is passed on unread: the least busy by what this lane
/// has seen, in the own zone while that has room.
pub(super) fn place_relayed(
    tables: &mut Tables,
    tuning: &Tuning,
    service: Id,
    target_latency: Duration,
    tried: &[Id],
    now: Duration,
) -> Option<Id> {
    let tuning = Tuning {
        sample_size: tuning.relay_sample,
        ..*tuning
    };
    let mean_time = mean_answer_time(tables, service);
    let limit = tuning.relay_spill * target_latency.as_secs_f64();
    pick_best(tables, &tuning, service, now, |row| {
        if tried.contains(&row.spec.id) || row.flow_count >= row.spec.conns {
            return None;
        }
        let slots = f64::from(row.spec.slots.max(1));
        let idle = f64::from(row.flow_count.saturating_sub(row.own_requests)) * IDLE_FLOW_LOAD;
        let used_share = (f64::from(row.own_requests) + row.recent_slots(now) + idle) / slots;
        let unit_share = 1.0 / slots;
        let answer_time = match row.answer_time {
            0.0 => mean_time,
            time => time,
        };
        let wait = (used_share + unit_share).max(1.0) * answer_time;
        let slowness = (answer_time / mean_time.max(f64::MIN_POSITIVE)).clamp(1.0, MAX_SLOWNESS);
        let zone_penalty = if row.spec.local { 1.0 } else { REMOTE_PENALTY };
        Some(Usage {
            remote: !row.spec.local || wait > limit,
            used_share: used_share * slowness * zone_penalty,
            unit_share: unit_share * slowness * zone_penalty,
        })
    })
}

/// Requests of this lane that a service may have in progress: the share of one host of
/// what its endpoints do within a part of the target latency, or of some rounds of their slots.
pub(super) fn relay_limit(tables: &Tables, tuning: &Tuning, service: Id, now: Duration) -> f64 {
    let rows = tables.endpoints.of(service);
    let usable = rows.filter(|row| row.is_open(now) && row.down.is_none());
    let slots: u32 = usable.map(|row| row.spec.slots).sum();
    let leads_here = |route: &&Route| route.targets.iter().any(|(id, _)| *id == service);
    let routes = tables.snapshot.routes.values().filter(leads_here);
    let target_latency = routes
        .map(|route| route.target_latency)
        .min()
        .unwrap_or_default();
    let answer_time = mean_answer_time(tables, service);
    let rounds_in_time = if answer_time > 0.0 {
        tuning.relay_spill * target_latency.as_secs_f64() / answer_time
    } else {
        0.0
    };
    let hosts = tables.snapshot.sharers;
    // One request can always go, or a large group would send none.
    (f64::from(slots) * rounds_in_time.max(tuning.relay_depth) / f64::from(hosts)).max(1.0)
}

/// Mean of the usual times in which a service's endpoints answer, in seconds; zero
/// when none is known.
fn mean_answer_time(tables: &Tables, service: Id) -> f64 {
    let rows = tables.endpoints.of(service);
    let known = rows
        .map(|row| row.answer_time)
        .filter(|answer| *answer > 0.0);
    let (count, sum) = known.fold((0_u32, 0.0), |(count, sum), time| (count + 1, sum + time));
    sum / f64::from(count.max(1))
}

/// Endpoint for a request: the least busy of those that can take it.
pub(super) fn place_request(
    tables: &mut Tables,
    tuning: &Tuning,
    service: Id,
    class: Class,
    now: Duration,
) -> Option<Id> {
    let lanes = lane_count(tables);
    let reserve = tables.snapshot.services.get(&service)?.reserve;
    let pressed = tables.endpoints.pressed(service);
    if class.is_long() && pressed.is_some_and(|pressed| now < pressed + tuning.yield_time) {
        return None;
    }
    pick_best(tables, tuning, service, now, |row| {
        let busy = if class.is_long() {
            busy_for_long_work(row, reserve, now)?
        } else {
            busy_for_short_work(row, tuning, lanes, now)?
        };
        let recent = row.recent_slots(now) * f64::from(lanes) * tuning.recent_weight;
        let slots = f64::from(row.spec.slots);
        Some(Usage {
            remote: !row.spec.local,
            used_share: (f64::from(busy) + recent) / slots,
            unit_share: 1.0 / slots,
        })
    })
}

/// Requests on an endpoint that may take long work. Every lane leaves the reserved
/// slots to short work by what it knows of all others, so it wants a new report.
fn busy_for_long_work(row: &EndpointRow, reserve: u32, now: Duration) -> Option<u32> {
    let limit = row.spec.slots.saturating_sub(reserve).max(1);
    let busy = (row.own_requests + row.other_requests).max(row.load.active_requests);
    let is_known = now < row.last_heard + MAX_REPORT_AGE;
    (is_ready(row, now) && is_known && !is_underreporting(row) && busy < limit).then_some(busy)
}

/// Requests on an endpoint that may take short work: one with a slot free, or
/// where the window lets this lane send ahead. An old report is forgotten, and in
/// place of a doubtful one the other lanes are taken to send as much as this one.
fn busy_for_short_work(
    row: &EndpointRow,
    tuning: &Tuning,
    lanes: u32,
    now: Duration,
) -> Option<u32> {
    let is_old = now >= row.last_heard + tuning.report_ttl;
    let others = match is_underreporting(row) {
        true => row.own_requests * (lanes - 1),
        false if is_old => 0,
        false => row.other_requests,
    };
    let busy = row.own_requests + others;
    let fits = f64::from(row.own_requests + 1) <= row.window;
    let has_room = busy < row.spec.slots + tuning.overcommit;
    (is_ready(row, now) && fits && has_room).then_some(busy)
}

/// True for an endpoint that has spoken and does not pause after a refusal.
fn is_ready(row: &EndpointRow, now: Duration) -> bool {
    row.load.incarnation != 0 && now >= row.paused_until
}

/// True for an endpoint whose load reports leave out what it has acknowledged.
fn is_underreporting(row: &EndpointRow) -> bool {
    row.underreport_rate > MAX_UNDERREPORT_RATE
}

/// Flows on an endpoint: as reported, or from this lane's own when the report
/// tells of far fewer than an even spread over the lanes would make.
fn estimated_flows(row: &EndpointRow, lanes: u32) -> u32 {
    let reported = row.load.conns + row.new_flows;
    let spread = (row.flow_count + row.new_flows) * lanes;
    if reported < spread / 2 {
        spread
    } else {
        reported
    }
}

fn lane_count(tables: &Tables) -> u32 {
    let lanes: usize = tables
        .snapshot
        .hosts
        .iter()
        .map(|host| host.lanes.len())
        .sum();
    u32::try_from(lanes.max(1)).unwrap_or(u32::MAX)
}

/// Best endpoint by `usage_of`, which gives `None` for one without room.
///
/// A sample from a random place on is looked at, so that the cost does not grow
/// with the service and equal endpoints take turns. Silent ones are used only
/// when all of the sample are silent, so that a service is never empty.
fn pick_best(
    tables: &mut Tables,
    tuning: &Tuning,
    service: Id,
    now: Duration,
    usage_of: impl Fn(&EndpointRow) -> Option<Usage>,
) -> Option<Id> {
    let start = random_start(tables, service);
    let candidates = || {
        tables
            .endpoints
            .from(service, start)
            .filter(|row| row.is_open(now))
            .take(tuning.sample_size)
    };
    let any_healthy = candidates().any(|row| !is_unhealthy(row, tuning, now));
    candidates()
        .filter(|row| !any_healthy || !is_unhealthy(row, tuning, now))
        .filter_map(|row| {
            let usage = usage_of(row)?;
            Some(Candidate {
                id: row.spec.id,
                remote: usage.remote,
                score: score(row, &usage, tuning, now),
            })
        })
        .min_by(|a, b| {
            (a.remote, a.score)
                .partial_cmp(&(b.remote, b.score))
                .unwrap_or(std::cmp::Ordering::Equal)
        })
        .map(|choice| choice.id)
}

/// A random place to begin among the endpoints of a service.
fn random_start(tables: &mut Tables, service: Id) -> usize {
    let count = tables.endpoints.count(service);
    tables.rng.random_range(0..count.max(1))
}

/// Lower for an endpoint that is due more work.
///
/// The operators' weight counts for what the endpoint carries. It does not count for
/// the next one, or else an idle endpoint of low weight would get no work at all while
/// its peers have a slot free.
fn score(row: &EndpointRow, usage: &Usage, tuning: &Tuning, now: Duration) -> f64 {
    (usage.used_share / row.spec.weight + usage.unit_share) / due_share(row, tuning, now)
}

/// Share of its due that an endpoint gets: less while it is new, and less for what it
/// refuses.
fn due_share(row: &EndpointRow, tuning: &Tuning, now: Duration) -> f64 {
    let age = now.saturating_sub(row.up_since).as_secs_f64();
    let slow_start_share =
        (age / tuning.slow_start.as_secs_f64().max(f64::EPSILON)).clamp(INITIAL_SHARE, 1.0);
    let accepted_share = (1.0 - row.refusal_rate).max(MIN_SHARE);
    if row.spec.number != 0 {
        return if row.spec.warmup.is_zero() {
            accepted_share
        } else {
            WARMUP_SHARE
        };
    }
    slow_start_share * accepted_share
}

/// True when an endpoint has left this lane without any answer for a while.
pub(super) fn is_unresponsive(row: &EndpointRow, now: Duration) -> bool {
    row.unanswered_since
        .is_some_and(|asked| now >= asked + Tuning::DEFAULT.answer_timeout)
}

/// True when an endpoint leaves this lane without answers, or is reported
/// unhealthy and has not proved the opposite.
fn is_unhealthy(row: &EndpointRow, tuning: &Tuning, now: Duration) -> bool {
    let unresponsive = row
        .unanswered_since
        .is_some_and(|asked| now >= asked + tuning.answer_timeout);
    row.down.is_some()
        || unresponsive
        || (!row.spec.healthy && now >= row.last_heard + UNHEALTHY_DELAY)
}

/// Asks endpoints that are silent or reported unhealthy to speak.
pub(super) fn request_silent_loads(tables: &mut Tables, now: Duration, out: &mut Outbox) {
    let mut ids: SmallVec<[Id; 16]> = SmallVec::new();
    for row in tables.endpoints.iter().filter(|row| row.spec.number == 0) {
        if row.unanswered_since.is_some() || !row.spec.healthy {
            ids.push(row.spec.id);
        }
    }
    for id in ids {
        probe::request_load(tables, id, now, out);
    }
}

/// Asks some endpoints of a service whose reports are old for their load.
pub(super) fn refresh_loads(tables: &mut Tables, service: Id, now: Duration, out: &mut Outbox) {
    let start = random_start(tables, service);
    let old: SmallVec<[Id; 16]> = tables
        .endpoints
        .from(service, start)
        .take(MAX_LOAD_REQUESTS)
        .filter(|row| now >= row.last_heard + MAX_REPORT_AGE)
        .map(|row| row.spec.id)
        .collect();
    for id in old {
        probe::request_load(tables, id, now, out);
    }
}

/// Notes that an endpoint has spoken, and what of.
pub(super) fn record_packet(tables: &mut Tables, id: Id, body: &Body, now: Duration) {
    let Some(row) = tables.endpoints.get_mut(id) else {
        return;
    };
    row.last_heard = now;
    row.unanswered_since = None;
    match body {
        Body::Answer { .. } => record_answer(row),
        Body::Refused { .. } | Body::Probed { .. } => row.note_load(),
        _ => {}
    }
}

/// Answered work opens the window of an endpoint a little.
fn record_answer(row: &mut EndpointRow) {
    row.failure_streak = 0;
    row.paused_until = Duration::ZERO;
    row.note_load();
    row.note_shed(false);
    let most = f64::from(row.spec.slots) * MAX_WINDOW;
    row.window = (row.window + WINDOW_STEP).min(most);
}

/// Counts a failure to answer against an endpoint.
pub(super) fn record_failure(tables: &mut Tables, id: Id, now: Duration) {
    if let Some(row) = tables.endpoints.get_mut(id) {
        row.failure_streak += 1;
        row.last_refusal = Some(now);
    }
}

/// Counts a refusal against an endpoint, which closes its window to what it has
/// and pauses it, the longer the more it refuses in a row.
pub(super) fn record_refusal(tables: &mut Tables, id: Id, now: Duration) {
    let Some(row) = tables.endpoints.get_mut(id) else {
        return;
    };
    row.last_refusal = Some(now);
    row.failure_streak += 1;
    row.note_shed(row.load.active_requests < row.spec.slots);
    row.window = f64::from(row.own_requests.max(1));
    row.paused_until = now + REFUSAL_PAUSE * row.failure_streak.min(MAX_PAUSE_FACTOR);
}
