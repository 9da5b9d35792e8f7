//! Evidence that a whole zone is unreachable.
//!
//! When the endpoints of a zone go silent together, the zone is partitioned. This is detected
//! sooner than the failure of a single endpoint, because one retransmission per flow is enough.
//!
//! Two decisions follow from the evidence. New flows are steered away from a silent zone at
//! once. The waiting flows of its endpoints are reset after one retransmission only if the
//! state is confirmed: with two or three endpoints in use, one that crashes while the others
//! run long requests looks like a partition.
//!
//! Draining, replaced and evacuated endpoints get no new flows, so they answer less and less
//! and their silence proves nothing. Their answers still show that the zone is reachable.

use std::collections::BTreeMap;
use std::time::Duration;

use super::failure_detector::{answered_recently, count_stalled, ratio};
use crate::clock::millis;
use crate::id::{Id, Name};
use crate::tables::{DownState, EndpointRow, Tables};

/// Minimum number of stalled flows at the endpoints of a silent zone.
const MIN_ZONE_FLOWS: usize = 3;

/// Minimum time since the last answer from a silent zone: slightly longer than
/// the 200 ms after which callers have retransmitted once.
pub(super) const MIN_ZONE_SILENCE: Duration = Duration::from_millis(250);

/// Minimum number of endpoints with stalled flows in a silent zone.
const MIN_ZONE_ENDPOINTS: usize = 2;

/// Minimum number of endpoints with stalled flows for which a silent zone is confirmed to be
/// down. Up to three endpoints were found stalled by chance, with a failed one among them.
const MIN_CONFIRMED_ENDPOINTS: usize = 4;

/// Minimum share of endpoints with stalled flows among the endpoints of a silent zone that
/// have flows of this lane. The deployment of a new software release also stops several
/// endpoints together, but only a part of those in a zone.
pub(super) const MIN_ZONE_SHARE: f64 = 0.75;

/// Minimum number of answers that a silent zone would have sent since its last answer at
/// its earlier rate. A healthy zone for which this many answers are expected sends none by
/// chance once in 400 times; with a lower limit, a few long requests look like silence.
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
    /// Returns true when most of the endpoints have stalled flows and no endpoint answers.
    fn is_silent(&self, now: Duration) -> bool {
        self.stalled_flows >= MIN_ZONE_FLOWS
            && self.stalled_endpoints >= MIN_ZONE_ENDPOINTS
            && ratio(self.stalled_endpoints, self.used_endpoints) >= MIN_ZONE_SHARE
            && now >= self.last_heard + MIN_ZONE_SILENCE
            && self.missed_answers(self.recent_answers, now) >= MIN_MISSED_ANSWERS
    }

    /// Returns true when the evidence is strong enough to reset flows after one retransmission:
    /// many endpoints are stalled, and they alone would have sent enough answers.
    fn is_confirmed(&self, now: Duration) -> bool {
        self.stalled_endpoints >= MIN_CONFIRMED_ENDPOINTS
            && self.missed_answers(self.stalled_answers, now) >= MIN_MISSED_ANSWERS
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
        zone.used_endpoints += usize::from(row.flow_count > 0);
        zone.recent_answers += answers;
        if flows > 0 {
            zone.stalled_endpoints += 1;
            zone.stalled_answers += answers;
        }
    }
    zones
}

/// Returns true for an endpoint whose silence counts: one that may get new flows.
pub(super) fn counts(tables: &Tables, row: &EndpointRow) -> bool {
    row.draining_since.is_none()
        && !row.replaced
        && !tables.snapshot.evacuated_zones.contains(&row.spec.zone)
}

/// Marks the endpoints of a zone as down, or confirms that they are; returns those whose state
/// has changed.
fn mark_zone_down(tables: &mut Tables, zone: &Name, stats: &ZoneStats, now: Duration) -> Vec<Id> {
    let confirmed = stats.is_confirmed(now);
    let mut changed = Vec::new();
    for row in tables.endpoints.iter_mut() {
        let known = row.down;
        let is_news = known.is_none_or(|down| confirmed && !down.confirmed);
        if row.spec.zone != *zone || !is_news {
            continue;
        }
        row.down = Some(DownState {
            since: known.map_or(now, |down| down.since),
            whole_zone: true,
            confirmed,
            from_reports: false,
        });
        changed.push(row.spec.id);
    }
    if !changed.is_empty() {
        log::warn!(
            zone:%, confirmed, stalled_flows = stats.stalled_flows,
            stalled_endpoints = stats.stalled_endpoints, used_endpoints = stats.used_endpoints,
            heard_ms = millis(now.saturating_sub(stats.last_heard)),
            missed = stats.missed_answers(stats.recent_answers, now),
            missed_stalled = stats.missed_answers(stats.stalled_answers, now);
            "zone_down"
        );
    }
    changed
}
