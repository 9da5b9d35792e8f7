//! A zone whose endpoints stop answering all hosts of this availability zone.
//!
//! A host that receives nothing from the endpoints of its own zone cannot tell whether it is at
//! fault itself or they are. It reports the zone as silent. If most hosts of its availability
//! zone report the same, the endpoints are at fault, and new flows go to other zones. Open flows
//! are reset only after two retransmissions of their own, as the state is not confirmed.
//!
//! An endpoint with long requests in all slots still answers openings, and acknowledges the first
//! retransmission of a request. A zone is therefore silent only if openings are not answered
//! or requests are retransmitted twice, at three quarters of the endpoints in use.
//!
//! The observation of a lane lasts until an endpoint of the zone answers it. Once new flows go
//! elsewhere, most hosts have no traffic that could show more, except for trials.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use smallvec::SmallVec;

use super::super::placement::is_unresponsive;
use super::evidence::{MAX_STALL_AGE, MIN_RETRANSMISSIONS, OPEN_EVIDENCE_TIME, RETRANSMIT_TIME};
use super::failure_detector::{self, ratio};
use super::findings;
use super::zone_evidence::{self, MIN_MISSED_ANSWERS, MIN_ZONE_SHARE, MIN_ZONE_SILENCE, counts};
use crate::clock::millis;
use crate::id::{Id, Name};
use crate::tables::{
    Cleared, DownState, EndpointRow, HealthRow, Outbox, SilentZone, SilentZones, Tables,
    TrackedState,
};

/// Minimum number of endpoints that owe an answer; fewer fail together by chance.
const MIN_ENDPOINTS: usize = 3;

/// Minimum number of hosts that report a zone as silent, this one included. Two hosts may share
/// one faulty link.
const MIN_HOSTS: usize = 3;

/// Part of the live hosts of the availability zone (one half) that must report it.
const HOSTS_DIVISOR: usize = 2;

/// Maximum age of the newest report of another host. A host that receives none is cut off or
/// starved, and its own observations say nothing about the endpoints.
const MAX_HEARD_AGE: Duration = Duration::from_secs(1);

/// Time after its last evidence at which the observation of a zone to which this host still sends
/// new flows ends: an idle host has nothing to report.
const EVIDENCE_TIME: Duration = OPEN_EVIDENCE_TIME;

/// Time from a request until an endpoint that has not answered it shows as such: a caller's first
/// retransmission after 200 ms, and its delay.
const OVERDUE_TIME: Duration = Duration::from_millis(250);

/// Finds silent zones, and steers new flows away from those that several hosts report.
pub(super) fn run(tables: &mut Tables, now: Duration, out: &mut Outbox) {
    let is_idle = tables.silent_zones.is_empty()
        && tables.shared_health.is_empty()
        && !tables
            .endpoints
            .iter()
            .any(|row| !row.stalled_flows.is_empty());
    if is_idle {
        return;
    }
    let zones = collect_zones(tables, now);
    end_observations(tables, &zones, now);
    begin_observations(tables, &zones, now);
    for at in 0..tables.silent_zones.len() {
        decide(tables, at, now, out);
    }
}

/// Returns the names of the zones that this lane reports as silent.
pub(super) fn reported_zones(tables: &Tables) -> Vec<Name> {
    let zones = tables.silent_zones.iter();
    zones.map(|known| known.zone.clone()).collect()
}

/// Returns the time since which the zone of an endpoint is silent, if new flows are steered away
/// from it for this reason. Only an answer to something that was sent later ends the state.
pub(super) fn silent_since(tables: &Tables, id: Id) -> Option<Duration> {
    let row = tables.endpoints.get(id)?;
    find_silent(tables, row).map(|known| known.since)
}

/// Returns whether one host sends the trials of an endpoint in a silent zone for all; `None` if its
/// zone is not silent. A host also tries endpoints that have answered another host since, because
/// its own state ends only with an answer.
pub(super) fn is_tried_by_one(tables: &Tables, row: &EndpointRow) -> Option<bool> {
    let known = find_silent(tables, row)?;
    Some(!known.answering.contains(&row.spec.id))
}

/// Returns the silent zone of an endpoint that is down, with its zone or before it by itself.
fn find_silent<'a>(tables: &'a Tables, row: &EndpointRow) -> Option<&'a SilentZone> {
    row.down?;
    let mut zones = tables.silent_zones.iter();
    zones.find(|known| known.zone == row.spec.zone && known.down_since.is_some())
}

/// What this lane observes of a zone.
#[derive(Default)]
struct ZoneView {
    /// Latest time for which an answer shows that an endpoint was running.
    last_alive: Duration,
    /// The endpoint that answered then.
    answered: Option<Id>,
    /// Number of endpoints that may get new flows.
    endpoints: usize,
    /// Decayed count of answers in the second before `last_alive`.
    recent_answers: f64,
    /// Endpoints that owe an answer.
    overdue: BTreeSet<Id>,
    /// Number of those with evidence that long requests cannot cause.
    strong_endpoints: usize,
}

impl ZoneView {
    /// Returns true if answers are missing, and endpoints are sure not to answer.
    fn may_be_silent(&self, now: Duration) -> bool {
        let silence = now.saturating_sub(self.last_alive);
        self.overdue.len() >= MIN_ENDPOINTS
            && self.strong_endpoints > 0
            && silence >= MIN_ZONE_SILENCE
            && self.recent_answers * silence.as_secs_f64() >= MIN_MISSED_ANSWERS
    }
}

fn collect_zones(tables: &Tables, now: Duration) -> BTreeMap<Name, ZoneView> {
    let mut zones: BTreeMap<Name, ZoneView> = BTreeMap::new();
    for row in tables.endpoints.iter() {
        let zone = zones.entry(row.spec.zone.clone()).or_default();
        if row.last_alive > zone.last_alive {
            zone.last_alive = row.last_alive;
            zone.answered = Some(row.spec.id);
        }
    }
    for row in tables.endpoints.iter().filter(|row| counts(tables, row)) {
        let Some(zone) = zones.get_mut(&row.spec.zone) else {
            continue;
        };
        zone.endpoints += 1;
        zone.recent_answers += row.recent_answers_at(zone.last_alive);
        let health = tables.shared_health.get(row.spec.id);
        let (is_overdue, is_strong) = missing_answers(row, health, zone.last_alive, now);
        if is_overdue {
            zone.overdue.insert(row.spec.id);
        }
        zone.strong_endpoints += usize::from(is_strong);
    }
    zones
}

/// Returns whether an endpoint has not answered what was sent after `since`, and whether long
/// requests cannot be the reason.
fn missing_answers(
    row: &EndpointRow,
    health: Option<&HealthRow>,
    since: Duration,
    now: Duration,
) -> (bool, bool) {
    let health = health.filter(|health| health.started_ms == row.spec.started_ms);
    let mut opens = health.iter().flat_map(|health| &health.opens);
    let mut is_strong = opens.any(|open| open.sent_at > since);
    let mut is_overdue = is_strong;
    for stall in &row.stalled_flows {
        let is_recent = now < stall.last_retransmission + MAX_STALL_AGE;
        if is_recent && stall.first_sent + RETRANSMIT_TIME > since {
            is_overdue = true;
            is_strong |= stall.retransmissions >= MIN_RETRANSMISSIONS;
        }
    }
    (is_overdue, is_strong)
}

/// Returns the number of endpoints of a zone that owe an answer, or would if they had not answered
/// what was sent after the last answer that this lane knows of. Callers acknowledge short answers
/// late, so an endpoint whose request is not retransmitted has answered it.
fn count_used(tables: &Tables, zone: &Name, view: &ZoneView, now: Duration) -> usize {
    let is_due = |sent_at: Duration| sent_at > view.last_alive && now >= sent_at + OVERDUE_TIME;
    let flows = tables.tracked_flows.iter();
    let asked = flows.filter(|flow| flow.state != TrackedState::Closing);
    let asked = asked.filter(|flow| is_due(flow.last_advance));
    let asked = asked.filter_map(|flow| tables.endpoints.get(flow.endpoint));
    let asked = asked.filter(|row| row.spec.zone == *zone && counts(tables, row));
    let mut used: BTreeSet<Id> = asked.map(|row| row.spec.id).collect();
    used.extend(&view.overdue);
    used.len()
}

/// Ends the observations of zones that have answered, or about which nothing more is known.
fn end_observations(tables: &mut Tables, zones: &BTreeMap<Name, ZoneView>, now: Duration) {
    let mut kept = SilentZones::new();
    for mut known in std::mem::take(&mut tables.silent_zones) {
        let view = zones.get(&known.zone).filter(|view| view.endpoints > 0);
        let Some(view) = view else {
            end_state(tables, &known, "no_endpoint", now);
            continue;
        };
        if view.last_alive > known.since {
            report_answer(tables, view, now);
            end_state(tables, &known, "answer", now);
            continue;
        }
        if view.strong_endpoints > 0 {
            known.last_evidence = now;
        }
        if known.down_since.is_some() || now < known.last_evidence + EVIDENCE_TIME {
            kept.push(known);
        }
    }
    tables.silent_zones = kept;
}

/// Makes this lane report the answer of an endpoint, so that other hosts try it too.
fn report_answer(tables: &mut Tables, view: &ZoneView, now: Duration) {
    let row = view.answered.and_then(|id| tables.endpoints.get(id));
    if let Some(row) = row {
        let (id, started_ms) = (row.spec.id, row.spec.started_ms);
        tables.shared_health.row(id, started_ms).cleared = Some(Cleared {
            at: now,
            heard_at: view.last_alive,
        });
    }
}

/// Records the zones that have become silent for this lane.
fn begin_observations(tables: &mut Tables, zones: &BTreeMap<Name, ZoneView>, now: Duration) {
    if failure_detector::is_in_grace(tables, now) {
        return;
    }
    for (zone, view) in zones {
        let is_known = tables.silent_zones.iter().any(|known| known.zone == *zone);
        if is_known || !view.may_be_silent(now) {
            continue;
        }
        let used_endpoints = count_used(tables, zone, view, now);
        if ratio(view.strong_endpoints, used_endpoints) >= MIN_ZONE_SHARE {
            tables.silent_zones.push(SilentZone {
                zone: zone.clone(),
                since: view.last_alive,
                noticed_at: now,
                last_evidence: now,
                overdue_endpoints: view.overdue.len(),
                used_endpoints,
                down_since: None,
                answering: SmallVec::new(),
            });
        }
    }
}

/// What the hosts of this availability zone report about a zone.
struct Agreement {
    /// Number of hosts for which it is silent, this one included.
    hosts: usize,
    /// Number of live hosts.
    live_hosts: usize,
    /// Time of the newest report of another host.
    newest: Option<Duration>,
    /// Time of the oldest report that counts.
    oldest: Option<Duration>,
}

impl Agreement {
    fn is_enough(&self, now: Duration) -> bool {
        self.hosts >= MIN_HOSTS
            && self.hosts * HOSTS_DIVISOR >= self.live_hosts
            && self.newest.is_some_and(|at| now < at + MAX_HEARD_AGE)
    }
}

fn count_hosts(tables: &Tables, zone: &Name, now: Duration) -> Agreement {
    let (_, live_hosts) = tables.snapshot.zone_of(tables.home.host);
    let mut agreement = Agreement {
        hosts: 1,
        live_hosts: usize::try_from(live_hosts).unwrap_or(usize::MAX),
        newest: None,
        oldest: None,
    };
    for report in findings::zone_reports(tables, now, |_| true) {
        agreement.newest = agreement.newest.max(Some(report.taken_at));
        if report.report.silent_zones.contains(zone) {
            agreement.hosts += 1;
            let oldest = agreement.oldest.into_iter().chain([report.taken_at]).min();
            agreement.oldest = oldest;
        }
    }
    agreement
}

/// Returns true if new flows can go to another zone.
fn has_other_zone(tables: &Tables, zone: &Name, now: Duration) -> bool {
    let is_silent = |name: &Name| tables.silent_zones.iter().any(|known| known.zone == *name);
    tables.endpoints.iter().any(|row| {
        row.spec.zone != *zone
            && row.accepts_work(now)
            && row.down.is_none()
            && !is_unresponsive(row, now)
            && !is_silent(&row.spec.zone)
    })
}

/// Begins or ends the steering of new flows away from a zone that is silent for this lane.
fn decide(tables: &mut Tables, at: usize, now: Duration, out: &mut Outbox) {
    let known = tables.silent_zones[at].clone();
    let agreement = count_hosts(tables, &known.zone, now);
    let is_agreed = agreement.is_enough(now);
    let is_down = is_agreed && has_other_zone(tables, &known.zone, now);
    match known.down_since {
        None if is_down => begin_state(tables, at, &agreement, now, out),
        Some(_) if !is_down => {
            let cause = if is_agreed { "no_zone" } else { "few_hosts" };
            end_state(tables, &known, cause, now);
            tables.silent_zones[at].down_since = None;
            tables.silent_zones[at].answering.clear();
        }
        Some(down_since) => try_answering(tables, at, down_since, now),
        None => {}
    }
}

fn begin_state(
    tables: &mut Tables,
    at: usize,
    agreement: &Agreement,
    now: Duration,
    out: &mut Outbox,
) {
    tables.silent_zones[at].down_since = Some(now);
    let known = tables.silent_zones[at].clone();
    let mut down_ids = Vec::new();
    for row in tables.endpoints.iter_mut() {
        // An endpoint that was listed later has not been silent.
        let is_silent = row.spec.zone == known.zone && row.up_since <= known.since;
        if is_silent && row.down.is_none() {
            row.down = Some(DownState {
                since: now,
                whole_zone: true,
                confirmed: false,
                from_reports: true,
            });
            row.last_trial = now;
            down_ids.push(row.spec.id);
        }
    }
    tables.counters.silent_zones += 1;
    log::warn!(
        zone:% = known.zone, hosts = agreement.hosts, live_hosts = agreement.live_hosts,
        overdue_endpoints = known.overdue_endpoints, used_endpoints = known.used_endpoints,
        heard_ms = millis(now.saturating_sub(known.since)),
        noticed_ms = millis(now.saturating_sub(known.noticed_at)),
        report_ms = agreement.oldest.map(|time| millis(now.saturating_sub(time)));
        "zone_silent"
    );
    failure_detector::reset_waiting_flows(tables, &down_ids, now, out);
}

/// Lets new flows go to a zone again, if they were steered away from it.
fn end_state(tables: &mut Tables, known: &SilentZone, cause: &str, now: Duration) {
    let Some(down_since) = known.down_since else {
        return;
    };
    let agreement = count_hosts(tables, &known.zone, now);
    log::info!(
        zone:% = known.zone, cause, hosts = agreement.hosts, live_hosts = agreement.live_hosts,
        down_ms = millis(now.saturating_sub(down_since)),
        silent_ms = millis(now.saturating_sub(known.since)),
        report_ms = agreement.newest.map(|time| millis(now.saturating_sub(time)));
        "zone_answers"
    );
    zone_evidence::release_zone(tables, &known.zone, now);
}

/// Has this host try endpoints that have answered another host since the state began. The reports
/// of impaired hosts count too, because an answer proves itself.
fn try_answering(tables: &mut Tables, at: usize, down_since: Duration, now: Duration) {
    let mut answering = Vec::new();
    for report in findings::zone_reports(tables, now, |_| true) {
        let rows = report.report.endpoints.iter();
        let answered = rows.filter(|row| {
            let heard_at = row.heard_ago.map(|age| report.taken_at.saturating_sub(age));
            heard_at.is_some_and(|time| time > down_since)
        });
        answering.extend(answered.map(|row| row.endpoint));
    }
    for id in answering {
        let known = &mut tables.silent_zones[at];
        let row = tables.endpoints.get_mut(id);
        let row = row.filter(|row| row.spec.zone == known.zone);
        if let Some(row) = row
            && !known.answering.contains(&id)
        {
            known.answering.push(id);
            row.last_trial = Duration::ZERO;
        }
    }
}
