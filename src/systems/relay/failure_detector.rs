//! Tells which endpoints and zones are down.
//!
//! One flow that stalls tells little: its packets may be lost or its request long
//! at work. Several flows that stall together at an endpoint from which nothing else
//! is heard show that it is down, or that the way to it is cut. The endpoints of a
//! zone that fall silent together show a cut zone, and sooner. Silence of everything,
//! or of most, is this host's own and shows nothing.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{may_repeat, millis, reset_down_flow, uncount_flow};
use crate::id::{Id, Name};
use crate::tables::{Down, EndpointRow, Outbox, Tables};

/// Repeats that a request at work for long does not cause: an endpoint acknowledges
/// the first one.
const MIN_STALL_RETRANSMISSIONS: u32 = 2;

/// Flows with so many repeats that show an endpoint to be down.
const MIN_STALLED_FLOWS: usize = 2;

/// Time between the sending of data and its first repeat.
const INITIAL_RETRANSMIT_TIMEOUT: Duration = Duration::from_millis(200);

/// Longest time from one repeat to the next that counts with it, a little more than from
/// a caller's second repeat to its third. A flow that repeats no longer goes through
/// another host, or its caller has given up.
const MAX_STALL_AGE: Duration = Duration::from_secs(1);

/// Fewest flows that have to stall with one repeat at the endpoints of a silent zone.
const MIN_ZONE_FLOWS: usize = 3;

/// Shortest silence of a zone whose endpoints stall together: one repeat.
const MIN_ZONE_SILENCE: Duration = Duration::from_millis(250);

/// Fewest endpoints that have to stall together to show that their zone is cut off.
const MIN_ZONE_ENDPOINTS: usize = 2;

/// Share of the endpoints with flows of this lane that have to stall with them. Those
/// of one release leave together too, but only some of a zone's.
const MIN_ZONE_SHARE: f64 = 0.75;

/// Answers that a zone would have given in its silence at its pace before. A living zone
/// with that many to give is silent by chance once in 400 times; with fewer, some requests
/// long at work look like silence.
const MIN_MISSED_ANSWERS: f64 = 6.0;

/// Time after a large change was read for which nothing is judged.
const SNAPSHOT_GRACE: Duration = Duration::from_secs(2);

/// Fewest endpoints of the own zone that stall when this host is in trouble itself.
const MIN_LOCAL_ENDPOINTS: usize = 3;

/// Share of the own zone's endpoints with flows that stall with them.
const MIN_LOCAL_SHARE: f64 = 0.35;

/// Time within which another endpoint must have been heard, so that the silence
/// is not this host's own.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(300);

pub(super) fn run(tables: &mut Tables, now: Duration, out: &mut Outbox) {
    let any_stalled = tables
        .endpoints
        .iter()
        .any(|row| !row.stalled_flows.is_empty());
    if !any_stalled || is_host_impaired(tables, now) {
        return;
    }
    let mut down_ids = detect_down_zones(tables, now);
    down_ids.extend(detect_down_endpoints(tables, now));
    if !down_ids.is_empty() {
        reset_waiting_flows(tables, &down_ids, now, out);
    }
}

/// Takes the endpoints of a zone to be up again, since one of them answers.
pub(super) fn mark_zone_up(tables: &mut Tables, zone: &Name, now: Duration) {
    log::info!(zone:%; "zone_up");
    for row in tables.endpoints.iter_mut() {
        if row.spec.zone == *zone && row.down.is_some_and(|down| down.whole_zone) {
            row.down = None;
            row.unanswered_since = None;
            row.stalled_flows.clear();
            row.last_trial = now;
        }
    }
}

/// True when this host's own link or processor is the likely cause of silence.
fn is_host_impaired(tables: &mut Tables, now: Duration) -> bool {
    let busy = |loaded| now < loaded + SNAPSHOT_GRACE;
    tables.snapshot.loaded.is_some_and(busy)
        || tables.recent_counts.is_choked(now)
        || is_local_zone_stalled(tables, now)
}

/// True when many endpoints of the own zone stall, on the shortest way there is.
fn is_local_zone_stalled(tables: &Tables, now: Duration) -> bool {
    let rows = tables.endpoints.iter();
    let used =
        rows.filter(|row| row.spec.local && row.flow_count > 0 && row.draining_since.is_none());
    let (all, silent) = used.fold((0, 0), |(all, silent), row| {
        (
            all + 1,
            silent + usize::from(count_stalled(row, 1, now) > 0),
        )
    });
    silent >= MIN_LOCAL_ENDPOINTS && ratio(silent, all) >= MIN_LOCAL_SHARE
}

/// What the endpoints of a zone show.
#[derive(Default)]
struct ZoneStats {
    /// Flows that have stalled.
    stalled_flows: usize,
    /// Endpoints at which they have.
    stalled_endpoints: usize,
    /// Endpoints with flows of this lane.
    used_endpoints: usize,
    /// Time at which one of the endpoints was last heard.
    last_heard: Duration,
    /// Answers heard of them in the second before.
    recent_answers: f64,
}

impl ZoneStats {
    /// True when most of the endpoints stall and nothing is heard of the others.
    fn is_silent(&self, now: Duration) -> bool {
        self.stalled_flows >= MIN_ZONE_FLOWS
            && self.stalled_endpoints >= MIN_ZONE_ENDPOINTS
            && ratio(self.stalled_endpoints, self.used_endpoints) >= MIN_ZONE_SHARE
            && now >= self.last_heard + MIN_ZONE_SILENCE
            && self.missed_answers(now) >= MIN_MISSED_ANSWERS
    }

    /// Answers that the zone would have given since it was last heard.
    fn missed_answers(&self, now: Duration) -> f64 {
        self.recent_answers * now.saturating_sub(self.last_heard).as_secs_f64()
    }
}

/// Marks the zones that are cut off; returns their endpoints.
fn detect_down_zones(tables: &mut Tables, now: Duration) -> Vec<Id> {
    let zones = collect_zone_stats(tables, now);
    let hears_others = |name: &Name| {
        let mut others = zones.iter().filter(|(other, _)| *other != name);
        others.any(|(_, zone)| answered_recently(zone.last_heard, now))
    };
    let mut down_ids = Vec::new();
    for (name, stats) in &zones {
        if stats.is_silent(now) && hears_others(name) {
            down_ids.extend(mark_zone_down(tables, name, stats, now));
        }
    }
    down_ids
}

fn collect_zone_stats(tables: &Tables, now: Duration) -> BTreeMap<Name, ZoneStats> {
    let mut zones: BTreeMap<Name, ZoneStats> = BTreeMap::new();
    for row in tables.endpoints.iter() {
        let zone = zones.entry(row.spec.zone.clone()).or_default();
        zone.last_heard = zone.last_heard.max(row.last_heard);
        if row.draining_since.is_some() {
            continue;
        }
        let flows = count_stalled(row, 1, now);
        zone.stalled_flows += flows;
        zone.stalled_endpoints += usize::from(flows > 0);
        zone.used_endpoints += usize::from(row.flow_count > 0);
    }
    for row in tables.endpoints.iter() {
        if let Some(zone) = zones.get_mut(&row.spec.zone) {
            zone.recent_answers += row.answers_at(zone.last_heard);
        }
    }
    zones
}

fn mark_zone_down(tables: &mut Tables, zone: &Name, stats: &ZoneStats, now: Duration) -> Vec<Id> {
    let rows = tables.endpoints.iter_mut();
    let up = rows.filter(|row| row.spec.zone == *zone && row.down.is_none());
    let mut down_ids = Vec::new();
    for row in up {
        row.down = Some(Down {
            since: now,
            whole_zone: true,
        });
        down_ids.push(row.spec.id);
    }
    if !down_ids.is_empty() {
        log::warn!(
            zone:%, stalled_flows = stats.stalled_flows, stalled_endpoints = stats.stalled_endpoints,
            used_endpoints = stats.used_endpoints,
            heard_ms = millis(now.saturating_sub(stats.last_heard)), missed = stats.missed_answers(now);
            "zone_down"
        );
    }
    down_ids
}

/// Marks the endpoints that are down by themselves; returns them.
fn detect_down_endpoints(tables: &mut Tables, now: Duration) -> Vec<Id> {
    let heard = last_two_answering(tables);
    let mut down_ids = Vec::new();
    for row in tables.endpoints.iter_mut() {
        let others = heard.iter().filter(|(id, _)| *id != row.spec.id);
        let is_heard = others
            .map(|(_, heard)| *heard)
            .any(|heard| answered_recently(heard, now));
        if row.down.is_some() || !is_heard || !has_stalled_flows(row, now) {
            continue;
        }
        row.down = Some(Down {
            since: now,
            whole_zone: false,
        });
        tables.counters.downs += 1;
        down_ids.push(row.spec.id);
        log::warn!(
            endpoint:% = row.spec.name, zone:% = row.spec.zone, stalled_flows = row.stalled_flows.len(),
            heard_ms = millis(now.saturating_sub(row.last_heard));
            "endpoint_down"
        );
    }
    down_ids
}

/// The two endpoints that were heard last.
fn last_two_answering(tables: &Tables) -> Vec<(Id, Duration)> {
    let mut heard: Vec<_> = tables
        .endpoints
        .iter()
        .map(|row| (row.spec.id, row.last_heard))
        .collect();
    heard.sort_unstable_by_key(|(_, heard)| std::cmp::Reverse(*heard));
    heard.truncate(2);
    heard
}

fn ratio(part: usize, whole: usize) -> f64 {
    let count = |number| f64::from(u32::try_from(number).unwrap_or(u32::MAX));
    count(part) / count(whole.max(1))
}

fn answered_recently(heard: Duration, now: Duration) -> bool {
    !heard.is_zero() && now < heard + MAX_ANSWER_AGE
}

/// Flows that have repeated once show nothing: requests long at work in all slots, with
/// others queued behind them, look the same.
fn has_stalled_flows(row: &EndpointRow, now: Duration) -> bool {
    count_stalled(row, MIN_STALL_RETRANSMISSIONS, now) >= MIN_STALLED_FLOWS
}

/// Flows that have repeated their data so often since the endpoint was heard, and of late.
fn count_stalled(row: &EndpointRow, repeats: u32, now: Duration) -> usize {
    let stalls = row.stalled_flows.iter();
    stalls
        .filter(|stall| {
            stall.retransmissions >= repeats && now < stall.last_retransmission + MAX_STALL_AGE
        })
        .filter(|stall| stall.first_sent + INITIAL_RETRANSMIT_TIMEOUT >= row.last_heard)
        .count()
}

/// Resets the flows that wait for endpoints which are down, so that requests that
/// may be repeated have time left.
fn reset_waiting_flows(tables: &mut Tables, down_ids: &[Id], now: Duration, out: &mut Outbox) {
    let waiting: Vec<_> = tables
        .tracks
        .iter()
        .filter(|track| down_ids.contains(&track.endpoint))
        .filter(|track| track.unanswered_since.is_some() && track.retransmissions > 0)
        .filter(|track| now < track.last_retransmission + MAX_STALL_AGE)
        .filter(|track| may_repeat(tables, track))
        .map(|track| track.ends)
        .collect();
    for ends in waiting {
        if let Some(track) = tables.tracks.remove(&ends) {
            uncount_flow(tables, &track);
            reset_down_flow(tables, &track, now, out);
        }
    }
}
