//! Evidence that a whole zone is unreachable.
//!
//! When the endpoints of a zone go silent together, the zone is partitioned. Long requests look
//! the same until their second retransmission: callers may ask together, and all endpoints may
//! work on their requests for longer than the first one takes. A zone therefore counts as silent
//! only if most of its endpoints have missed something that a running endpoint answers at once, an
//! opening or a first retransmission (see [`evidence`]).
//!
//! Up to three endpoints may go silent by chance, as one fails and an acknowledgement of another one
//! is lost. Zones with so few in use are left to the evidence against each endpoint.
//!
//! Two decisions follow from a silent zone. New flows are steered away from it at once. The
//! waiting flows of the endpoints with such evidence are reset after one retransmission, if these
//! endpoints alone would have answered by now.
//!
//! Draining, replaced and evacuated endpoints get no new flows, so they answer less and less
//! and their silence proves nothing. Their answers still show that the zone is reachable.

use std::collections::BTreeMap;
use std::time::Duration;

use super::evidence;
use super::failure_detector::{answered_recently, count_stalled, ratio};
use crate::clock::millis;
use crate::id::{Id, Name};
use crate::tables::{DownState, EndpointRow, Tables};

/// Minimum number of stalled flows at the endpoints of a silent zone.
const MIN_ZONE_FLOWS: usize = 3;

/// Minimum time since the last answer from a silent zone: slightly longer than
/// the 200 ms after which callers have retransmitted once.
pub(super) const MIN_ZONE_SILENCE: Duration = Duration::from_millis(250);

/// Minimum number of endpoints of a silent zone with evidence against them.
const MIN_ZONE_ENDPOINTS: usize = 4;

/// Minimum share of endpoints with evidence against them among the endpoints of a silent zone that
/// have flows of this lane. The deployment of a new software release also stops several
/// endpoints together, but only a part of those in a zone.
pub(super) const MIN_ZONE_SHARE: f64 = 0.75;

/// Minimum number of answers that a silent zone would have sent since its last answer at
/// its earlier rate. A healthy zone for which this many answers are expected sends none by
/// chance once in 400 times.
pub(super) const MIN_MISSED_ANSWERS: f64 = 6.0;

/// Marks the endpoints of a partitioned zone as up, after one of them has answered.
pub(super) fn mark_zone_up(tables: &mut Tables, zone: &Name, now: Duration) {
    log::info!(zone:%; "zone_up");
    release_zone(tables, zone, now);
}

/// Lets new flows go to the endpoints of a zone that was down as a whole.
pub(super) fn release_zone(tables: &mut Tables, zone: &Name, now: Duration) {
    for row in tables.endpoints.iter_mut() {
        if row.spec.zone == *zone && row.down.is_some_and(|down| down.whole_zone) {
            row.down = None;
            row.unanswered_since = None;
            row.stalled_flows.clear();
            // An endpoint that still does not answer gets no opening segment as a trial
            // before a full trial interval has passed.
            row.last_trial = now;
        }
    }
}

/// Traffic statistics of the endpoints of a zone.
#[derive(Default)]
struct ZoneStats {
    /// Number of stalled flows, with at least one retransmission each.
    stalled_flows: usize,
    /// Number of endpoints with stalled flows.
    stalled_endpoints: usize,
    /// Number of endpoints with evidence that long requests cannot cause.
    silent_endpoints: usize,
    /// Number of endpoints with flows that pass through this lane.
    used_endpoints: usize,
    /// Time of the last answer of one of the endpoints.
    last_heard: Duration,
    /// Decayed count of answers during the second before `last_heard`.
    recent_answers: f64,
    /// The part of `recent_answers` that endpoints with stalled flows sent.
    stalled_answers: f64,
}

impl ZoneStats {
    /// Returns true when there is evidence against most of the endpoints and none answers.
    fn is_silent(&self, now: Duration) -> bool {
        self.stalled_flows >= MIN_ZONE_FLOWS
            && self.silent_endpoints >= MIN_ZONE_ENDPOINTS
            && ratio(self.silent_endpoints, self.used_endpoints) >= MIN_ZONE_SHARE
            && now >= self.last_heard + MIN_ZONE_SILENCE
            && self.missed_answers(self.recent_answers, now) >= MIN_MISSED_ANSWERS
    }

    /// Returns true when the endpoints with stalled flows alone would have sent enough answers, so
    /// that flows may be reset after one retransmission.
    fn is_confirmed(&self, now: Duration) -> bool {
        self.missed_answers(self.stalled_answers, now) >= MIN_MISSED_ANSWERS
    }

    /// Returns the number of answers expected since `last_heard` at an earlier rate per second.
    fn missed_answers(&self, rate: f64, now: Duration) -> f64 {
        rate * now.saturating_sub(self.last_heard).as_secs_f64()
    }
}

/// Marks silent zones as down; returns the endpoints whose state has changed.
pub(super) fn detect_down_zones(tables: &mut Tables, now: Duration) -> Vec<Id> {
    let zones = collect_zone_stats(tables, now);
    let others_answer = |name: &Name| {
        let mut others = zones.iter().filter(|(other, _)| *other != name);
        others.any(|(_, zone)| answered_recently(zone.last_heard, now))
    };
    let mut down_ids = Vec::new();
    for (name, stats) in &zones {
        if stats.is_silent(now) && others_answer(name) {
            down_ids.extend(mark_zone_down(tables, name, stats, now));
        }
    }
    down_ids
}

/// Collects the statistics of each zone; some endpoints count only as answering.
fn collect_zone_stats(tables: &Tables, now: Duration) -> BTreeMap<Name, ZoneStats> {
    let mut zones: BTreeMap<Name, ZoneStats> = BTreeMap::new();
    for row in tables.endpoints.iter() {
        let zone = zones.entry(row.spec.zone.clone()).or_default();
        zone.last_heard = zone.last_heard.max(row.last_heard);
    }
    for row in tables.endpoints.iter().filter(|row| counts(tables, row)) {
        let Some(zone) = zones.get_mut(&row.spec.zone) else {
            continue;
        };
        let flows = count_stalled(row, 1, now);
        let answers = row.recent_answers_at(zone.last_heard);
        zone.stalled_flows += flows;
        let is_silent = is_silent(tables, row, now);
        zone.silent_endpoints += usize::from(is_silent);
        zone.used_endpoints += usize::from(is_silent || row.flow_count > 0);
        zone.recent_answers += answers;
        if flows > 0 {
            zone.stalled_endpoints += 1;
            zone.stalled_answers += answers;
        }
    }
    zones
}

/// Returns true if there is evidence against an endpoint that long requests cannot cause.
fn is_silent(tables: &Tables, row: &EndpointRow, now: Duration) -> bool {
    let health = tables.shared_health.get(row.spec.id);
    evidence::collect(row, health, now).count() > 0
}

/// Returns true for an endpoint whose silence counts: one that may get new flows.
pub(super) fn counts(tables: &Tables, row: &EndpointRow) -> bool {
    row.draining_since.is_none()
        && !row.replaced
        && !tables.snapshot.evacuated_zones.contains(&row.spec.zone)
}

/// Marks the endpoints of a zone as down, or confirms those with evidence against them; returns
/// those whose state has changed.
fn mark_zone_down(tables: &mut Tables, zone: &Name, stats: &ZoneStats, now: Duration) -> Vec<Id> {
    let is_confirmed = stats.is_confirmed(now);
    let rows = tables.endpoints.iter().filter(|row| row.spec.zone == *zone);
    let found: Vec<(Id, bool)> = rows
        .map(|row| (row.spec.id, is_confirmed && is_silent(tables, row, now)))
        .collect();
    let mut changed = Vec::new();
    for (id, confirmed) in found {
        let Some(row) = tables.endpoints.get_mut(id) else {
            continue;
        };
        let known = row.down;
        if !known.is_none_or(|down| confirmed && !down.confirmed) {
            continue;
        }
        row.down = Some(DownState {
            since: known.map_or(now, |down| down.since),
            whole_zone: true,
            confirmed,
            from_reports: false,
        });
        changed.push(id);
    }
    if !changed.is_empty() {
        log::warn!(
            zone:%, confirmed = is_confirmed, stalled_flows = stats.stalled_flows,
            stalled_endpoints = stats.stalled_endpoints,
            silent_endpoints = stats.silent_endpoints, used_endpoints = stats.used_endpoints,
            heard_ms = millis(now.saturating_sub(stats.last_heard)),
            missed = stats.missed_answers(stats.recent_answers, now),
            missed_stalled = stats.missed_answers(stats.stalled_answers, now);
            "zone_down"
        );
    }
    changed
}
