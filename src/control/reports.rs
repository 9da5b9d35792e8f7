//! Exchange of reports about endpoints and load between hosts.
//!
//! The lanes of this host publish what they observe. Their sum is sent to other hosts in
//! heartbeats, and the newest reports of other hosts go into the snapshot. A change of what the
//! lanes observe of endpoints is sent to the own availability zone at once.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::message::Heartbeat;
use super::tables::{Member, Tables};
use super::{Outbox, heartbeat};
use crate::id::Id;
use crate::report::{EndpointReport, HostReport, LaneReport, MAX_ROWS, ServiceReport};

/// Time for which heartbeats carry a report after its last row is gone, so that hosts that missed
/// a message learn of the end.
const ROWS_RETENTION: Duration = Duration::from_secs(2);

/// Maximum number of extra rounds of heartbeats in [`ROUNDS_SPAN`]; together with the regular
/// rounds they stay within the traffic that a host may cause.
const MAX_ROUNDS: usize = 4;

/// Time span to which [`MAX_ROUNDS`] applies.
const ROUNDS_SPAN: Duration = Duration::from_secs(1);

/// Minimum time between two snapshots with changed reports: many hosts report a failure within
/// a short time, and each snapshot costs every lane some work.
const PUBLISH_PERIOD: Duration = Duration::from_millis(100);

/// Bytes that extra rounds may take at once: four rounds of a few rows to a zone of 36 hosts.
const MAX_ROUND_BYTES: f64 = 32_000.0;

/// Bytes a second that extra rounds may take in the long run, while endpoints keep flapping. The
/// regular heartbeats of a large zone leave about 2 KB/s, sent and received, of what a host may
/// cause.
const ROUND_BYTES_PER_SECOND: f64 = 1_000.0;

/// Size of a heartbeat without a report, with the headers of its datagram, in bytes.
const HEARTBEAT_BYTES: usize = 200;

/// Size of an encoded endpoint row in bytes.
const ROW_BYTES: usize = 19;

/// Number of these rows that contradictions and overdue requests may take when there is more
/// evidence than room; without them, false suspicions would last as long as the shortage.
const MIN_CONTRADICTIONS: usize = 4;

/// Replaces the report of this host by the sum of its lanes' reports.
pub(super) fn update_own(tables: &mut Tables, now: Duration, lanes: &[Arc<LaneReport>]) {
    let own = sum(lanes);
    let known = &tables.reports.own;
    if !own.endpoints.is_empty() || !own.services.is_empty() {
        tables.reports.last_rows = Some(now);
    }
    if Arc::ptr_eq(&own, known) || own == *known {
        return;
    }
    let is_urgent = own.adds_to(known);
    let is_changed = !own.has_same_endpoints(known);
    let (zone_part, dropped) = select_rows(&own);
    tables.reports.service_part = Arc::new(LaneReport {
        endpoints: Vec::new(),
        ..LaneReport::clone(&own)
    });
    tables.reports.zone_part = zone_part;
    tables.reports.own = own;
    if is_changed {
        tables.counters.dropped_rows += dropped;
    }
    if is_urgent {
        tables.reports.pending = zone_members(tables);
    }
}

/// Records the report of a heartbeat unless a newer one of its sender is known.
///
/// The sender must be a known member in the same incarnation.
pub(super) fn receive(tables: &mut Tables, now: Duration, heartbeat: &Heartbeat) {
    let (Some(report), Some(member)) = (&heartbeat.report, tables.members.get(&heartbeat.from))
    else {
        return;
    };
    let others = &mut tables.reports.others;
    let known = others.get(&heartbeat.from);
    if known.is_some_and(|known| known.sent_at >= heartbeat.sent_at) {
        return;
    }
    others.insert(
        heartbeat.from,
        HostReport {
            host: heartbeat.from,
            incarnation: heartbeat.incarnation,
            zone: Arc::clone(&member.info.availability_zone),
            sent_at: heartbeat.sent_at,
            taken_at: now.saturating_sub(heartbeat.report_age),
            report: Arc::clone(report),
        },
    );
    tables.reports.others_changed = true;
    tables.counters.reports_received += 1;
}

/// Returns the report for a heartbeat to a member, if it should get one.
///
/// Observations of endpoints stay in the availability zone.
pub(super) fn for_member(tables: &Tables, to: Id, now: Duration) -> Option<Arc<LaneReport>> {
    let member = tables.members.get(&to)?;
    let reports = &tables.reports;
    if member.info.availability_zone == tables.me.info.availability_zone {
        let had_rows = |at| now < at + ROWS_RETENTION;
        let is_sent = reports.last_rows.is_some_and(had_rows);
        is_sent.then(|| Arc::clone(&reports.zone_part))
    } else {
        let has_rows = !reports.service_part.services.is_empty();
        has_rows.then(|| Arc::clone(&reports.service_part))
    }
}

/// Sends a changed report, and removes reports of hosts that are not live.
pub(super) fn run(tables: &mut Tables, now: Duration, outbox: &mut Outbox) {
    send_changes(tables, now, outbox);
    let (members, reports) = (&tables.members, &mut tables.reports);
    let known = reports.others.len();
    reports.others.retain(|id, report| {
        let member = members.get(id);
        member.is_some_and(|member| member.is_live() && member.incarnation == report.incarnation)
    });
    if reports.others.len() < known {
        reports.others_changed = true;
    }
}

/// Puts the reports of other hosts into the snapshot if they have changed, at most once in every
/// [`PUBLISH_PERIOD`].
pub(super) fn publish(tables: &mut Tables, now: Duration) {
    let reports = &mut tables.reports;
    if reports.others_changed && now >= reports.next_publish {
        reports.others_changed = false;
        reports.next_publish = now + PUBLISH_PERIOD;
        tables.snapshot.reports = reports.others.values().cloned().collect();
        tables.output.snapshot_changed = true;
    }
}

/// Sends extra heartbeats with a changed report to the hosts of the own availability zone.
fn send_changes(tables: &mut Tables, now: Duration, outbox: &mut Outbox) {
    let reports = &mut tables.reports;
    while reports
        .rounds
        .front()
        .is_some_and(|at| now >= *at + ROUNDS_SPAN)
    {
        reports.rounds.pop_front();
    }
    let passed = now.saturating_sub(reports.last_tick).as_secs_f64();
    reports.last_tick = now;
    let left = reports.round_bytes - passed * ROUND_BYTES_PER_SECOND;
    reports.round_bytes = left.max(0.0);
    let has_bytes = reports.round_bytes < MAX_ROUND_BYTES;
    let may_send = !tables.me.has_left && reports.rounds.len() < MAX_ROUNDS && has_bytes;
    if !may_send || reports.pending.is_empty() {
        return;
    }
    let count = reports.pending.len().min(heartbeat::FANOUT);
    let targets: Vec<Id> = reports.pending.drain(..count).collect();
    let bytes = count * (HEARTBEAT_BYTES + ROW_BYTES * reports.zone_part.endpoints.len());
    reports.round_bytes += u32::try_from(bytes).map_or(MAX_ROUND_BYTES, f64::from);
    reports.rounds.push_back(now);
    tables.counters.report_rounds += 1;
    for id in targets {
        tables.reports.last_target = id;
        let is_live = tables.members.get(&id).is_some_and(Member::is_live);
        if is_live {
            heartbeat::send(tables, now, id, false, outbox);
        }
    }
}

/// Returns the live members of the own availability zone, beginning after the last one that got
/// an extra heartbeat, so that all get their turn while reports keep changing.
fn zone_members(tables: &Tables) -> Vec<Id> {
    let zone = &tables.me.info.availability_zone;
    let members = tables.live_members();
    let mut ids: Vec<Id> = members
        .filter(|member| member.info.availability_zone == *zone)
        .map(|member| member.id)
        .collect();
    let split = ids.partition_point(|id| *id <= tables.reports.last_target);
    ids.rotate_left(split);
    ids
}

/// Returns the report with the rows for which a message has room, those with the most evidence
/// first, then contradictions, then those with the most overdue requests, and the number of other
/// rows.
fn select_rows(own: &Arc<LaneReport>) -> (Arc<LaneReport>, u64) {
    let Some(excess) = own.endpoints.len().checked_sub(MAX_ROWS + 1) else {
        return (Arc::clone(own), 0);
    };
    let mut rows = own.endpoints.clone();
    rows.sort_by_key(|row| {
        let contradicts = row.evidence() == 0 && row.heard_ago.is_some();
        std::cmp::Reverse((row.evidence(), contradicts, row.overdue))
    });
    let suspected = rows.iter().filter(|row| row.evidence() > 0).count();
    let cleared = (rows.len() - suspected).min(MIN_CONTRADICTIONS);
    let kept = suspected.min(MAX_ROWS - cleared);
    rows.drain(kept..suspected);
    rows.truncate(MAX_ROWS);
    let selected = LaneReport {
        endpoints: rows,
        ..LaneReport::clone(own)
    };
    let dropped = u64::try_from(excess + 1).unwrap_or(u64::MAX);
    (Arc::new(selected), dropped)
}

/// Returns the sum of the reports of several lanes, with ages at the time of the newest one.
fn sum(lanes: &[Arc<LaneReport>]) -> Arc<LaneReport> {
    if let [only] = lanes {
        return Arc::clone(only);
    }
    let taken_at = lanes.iter().map(|lane| lane.taken_at).max();
    let mut sum = LaneReport {
        taken_at: taken_at.unwrap_or_default(),
        ..LaneReport::default()
    };
    let mut rows: BTreeMap<Id, EndpointReport> = BTreeMap::new();
    for lane in lanes {
        let passed = sum.taken_at.saturating_sub(lane.taken_at);
        for row in &lane.endpoints {
            add_row(&mut rows, row, passed);
        }
        for service in &lane.services {
            add_service(&mut sum.services, service);
        }
        sum.used_endpoints = sum.used_endpoints.saturating_add(lane.used_endpoints);
        sum.suspected_endpoints = sum
            .suspected_endpoints
            .saturating_add(lane.suspected_endpoints);
        sum.is_impaired |= lane.is_impaired;
    }
    for row in rows.values_mut() {
        scale_answered(row, lanes);
    }
    sum.endpoints = rows.into_values().collect();
    Arc::new(sum)
}

/// Adds a row that was made some time before the sum.
fn add_row(rows: &mut BTreeMap<Id, EndpointReport>, row: &EndpointReport, passed: Duration) {
    let empty = EndpointReport {
        endpoint: row.endpoint,
        ..EndpointReport::default()
    };
    let sum = rows.entry(row.endpoint).or_insert(empty);
    if row.started_ms < sum.started_ms {
        return;
    }
    if row.started_ms > sum.started_ms {
        *sum = EndpointReport {
            started_ms: row.started_ms,
            ..empty
        };
    }
    if row.evidence() > 0 {
        sum.silent_for = sum.silent_for.max(row.silent_for + passed);
    }
    sum.unanswered_opens = sum.unanswered_opens.saturating_add(row.unanswered_opens);
    sum.stalled_flows = sum.stalled_flows.saturating_add(row.stalled_flows);
    let heard_ago = row.heard_ago.map(|age| age + passed);
    sum.heard_ago = [sum.heard_ago, heard_ago].into_iter().flatten().min();
    sum.answered = sum.answered.saturating_add(row.answered);
    sum.overdue = sum.overdue.saturating_add(row.overdue);
}

/// Extrapolates the answered requests of a summed row to all lanes. Lanes without overdue requests
/// at the endpoint report none.
fn scale_answered(sum: &mut EndpointReport, lanes: &[Arc<LaneReport>]) {
    if sum.overdue == 0 {
        return;
    }
    let counts = |row: &EndpointReport| {
        row.endpoint == sum.endpoint && row.started_ms == sum.started_ms && row.overdue > 0
    };
    let reporting = lanes
        .iter()
        .filter(|lane| lane.endpoints.iter().any(counts));
    let reporting = u32::try_from(reporting.count().max(1)).unwrap_or(u32::MAX);
    let lanes = u32::try_from(lanes.len()).unwrap_or(u32::MAX);
    sum.answered = sum.answered.saturating_mul(lanes) / reporting;
}

fn add_service(services: &mut Vec<ServiceReport>, service: &ServiceReport) {
    match services
        .iter_mut()
        .find(|sum| sum.service == service.service)
    {
        Some(sum) => {
            sum.demand += service.demand;
            sum.busy_slots += service.busy_slots;
            sum.waiting = sum.waiting.saturating_add(service.waiting);
        }
        None => services.push(*service),
    }
}
