//! Exchange of reports about endpoints and load between hosts.
//!
//! The lanes of this host publish what they observe. Their sum is sent to other hosts in
//! heartbeats to the own availability zone, and the newest reports of other hosts are published to
//! the lanes. A change of what the lanes observe of endpoints is sent there at once.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use super::message::Heartbeat;
use super::tables::{Member, Tables};
use super::{Action, Outbox, heartbeat, zone_sums};
use crate::id::{Id, Name};
use crate::report::{
    EndpointReport, HostReport, LaneReport, MAX_REPORT_AGE, MAX_ROWS, MIN_REPORT_AGE,
    MIN_SERVICE_AGE, PeerReports, ReportAges, add_service,
};

/// Time for which heartbeats carry a report after its last row is gone, so that hosts that missed
/// a message learn of the end.
const ROWS_RETENTION: Duration = Duration::from_secs(2);

/// Maximum number of extra rounds of heartbeats in [`ROUNDS_SPAN`]; together with the regular
/// rounds they stay within the traffic that a host may cause.
const MAX_ROUNDS: usize = 4;

/// Time span to which [`MAX_ROUNDS`] applies.
const ROUNDS_SPAN: Duration = Duration::from_secs(1);

/// Minimum time between two publications of changed reports: many hosts report a failure within
/// a short time, and each publication has every lane evaluate all of them.
const PUBLISH_PERIOD: Duration = Duration::from_millis(100);

/// Bytes that extra rounds may take at once: four rounds of a few rows to a zone of 36 hosts.
const MAX_ROUND_BYTES: f64 = 32_000.0;

/// Bytes a second that a host may send: half of the 14 KB/s that it may send and receive, since
/// all hosts send alike.
const MAX_BYTES_PER_SECOND: f64 = 7_000.0;

/// Bytes a second of them that extra rounds may take in the long run, while endpoints keep
/// flapping: less than half of the 1,000 that the regular heartbeats of a large fleet leave.
const ROUND_BYTES_PER_SECOND: f64 = 400.0;

/// Size of a regular heartbeat without a report, with the headers of its datagram, in bytes: the
/// mean that `examples/control_cost` shows for 79 hosts, rounded up.
const REGULAR_BYTES: f64 = 100.0;

/// Size of an encoded report without rows in bytes.
const REPORT_BYTES: usize = 20;

/// Size of an encoded service row in bytes.
const SERVICE_BYTES: usize = 25;

/// Number of regular repetitions for which a report counts, so that two may be lost.
const REPETITIONS: u32 = 3;

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
    if !own.is_empty() {
        tables.reports.last_rows = Some(now);
    }
    if Arc::ptr_eq(&own, known) || own == *known {
        return;
    }
    let is_urgent = own.adds_to(known);
    let is_changed = !own.has_same_endpoints(known);
    let (zone_part, dropped) = select_rows(&own);
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
/// Observations of endpoints stay in the availability zone. Other zones get the load of services, in
/// large groups as a sum of the zone only. If reports are so large that regular heartbeats would
/// exceed the bytes that a host may send, only some heartbeats carry one, each member in its turn.
/// Extra rounds (`is_urgent`) have a budget of their own, and in small groups reports with load
/// wait for no turn.
pub(super) fn for_member(
    tables: &mut Tables,
    to: Id,
    is_urgent: bool,
    now: Duration,
) -> Option<Arc<LaneReport>> {
    let had_rows = |at| now < at + ROWS_RETENTION;
    if !tables.reports.last_rows.is_some_and(had_rows) {
        return None;
    }
    let has_load = are_direct(tables) && !tables.reports.own.services.is_empty();
    let member = tables.members.get_mut(&to)?;
    let reports = &mut tables.reports;
    if member.info.availability_zone != tables.me.info.availability_zone {
        return has_load.then(|| Arc::new(load_part(&reports.own)));
    }
    let is_due = |at| now >= at + reports.interval && reports.regular_credit > 0.0;
    if !is_urgent && !has_load && !member.last_report.is_none_or(is_due) {
        return None;
    }
    if !is_urgent {
        // Extra rounds reach all members at once; if they counted as turns, no member would get
        // the report again until all turns have come.
        member.last_report = Some(now);
        let bytes = u32::try_from(report_bytes(&reports.zone_part));
        reports.regular_credit -= bytes.map_or(0.0, f64::from);
    }
    Some(Arc::clone(&reports.zone_part))
}

/// Returns true if the group is so small that hosts send their load to all others.
pub(super) fn are_direct(tables: &Tables) -> bool {
    tables.live_members().count() < tables.settings.summed_from
}

/// Returns the part of a report that other availability zones get.
fn load_part(own: &LaneReport) -> LaneReport {
    LaneReport {
        taken_at: own.taken_at,
        services: own.services.clone(),
        used_endpoints: own.used_endpoints,
        suspected_endpoints: own.suspected_endpoints,
        is_impaired: own.is_impaired,
        ..LaneReport::default()
    }
}

/// Returns the time for which observations of endpoints count at the present number of hosts.
pub(super) fn max_age(tables: &Tables) -> Duration {
    let repetition = heartbeat::cycle_time(tables).max(tables.reports.interval);
    (repetition * REPETITIONS).clamp(MIN_REPORT_AGE, MAX_REPORT_AGE)
}

/// Returns the time for which the load of a host's services counts.
///
/// In small groups the load is repeated in every heartbeat. A row that is older than three seconds
/// there is from a host that has stopped, and would only pull the shares towards an even split.
pub(super) fn max_service_age(tables: &Tables) -> Duration {
    if are_direct(tables) {
        return MIN_SERVICE_AGE;
    }
    max_age(tables).max(MIN_SERVICE_AGE)
}

/// Updates the minimum time between two regular heartbeats to a member that carry the report, and
/// the bytes that reports may take now: at most those of one cycle, so that members whose turns
/// coincide do not get it at once.
fn update_regular_budget(tables: &mut Tables, now: Duration) {
    let heartbeats = heartbeat::rate(tables) * REGULAR_BYTES;
    let rate = (MAX_BYTES_PER_SECOND - ROUND_BYTES_PER_SECOND - heartbeats).max(1.0);
    let passed = now.saturating_sub(tables.reports.last_tick).as_secs_f64();
    let max_credit = rate * heartbeat::cycle_time(tables).as_secs_f64();
    let credit = tables.reports.regular_credit + passed * rate;
    tables.reports.regular_credit = credit.min(max_credit);
    tables.reports.interval = report_interval(tables, rate);
}

/// Returns the estimated size of an encoded report.
fn report_bytes(report: &LaneReport) -> usize {
    REPORT_BYTES + ROW_BYTES * report.endpoints.len() + SERVICE_BYTES * report.services.len()
}

/// Returns the minimum time between two regular heartbeats to a member that carry the report, if
/// reports may take `rate` bytes a second.
fn report_interval(tables: &Tables, rate: f64) -> Duration {
    let report = &tables.reports.zone_part;
    if report.endpoints.is_empty() && report.services.is_empty() {
        return Duration::ZERO;
    }
    let bytes = report_bytes(report);
    let zone = &tables.me.info.availability_zone;
    let zone_members = tables.live_members();
    let zone_members = zone_members.filter(|member| member.info.availability_zone == *zone);
    let cycle_bytes = u32::try_from(bytes * zone_members.count()).unwrap_or(u32::MAX);
    Duration::from_secs_f64(f64::from(cycle_bytes) / rate)
}

/// Sends a changed report, and removes reports of hosts that are not live.
pub(super) fn run(tables: &mut Tables, now: Duration, outbox: &mut Outbox) {
    update_regular_budget(tables, now);
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
    zone_sums::run(tables, now);
}

/// Publishes the reports of other hosts to the lanes if they have changed, at most once in every
/// [`PUBLISH_PERIOD`].
pub(super) fn publish(tables: &mut Tables, now: Duration, outbox: &mut Outbox) {
    if tables.reports.others_changed && now >= tables.reports.next_publish {
        let ages = ReportAges {
            endpoints: max_age(tables),
            services: max_service_age(tables),
            zones: zone_sums::max_age(tables),
        };
        let zones = zone_sums::newest(tables);
        let reports = &mut tables.reports;
        reports.others_changed = false;
        reports.next_publish = now + PUBLISH_PERIOD;
        let hosts = reports.others.values().cloned().collect();
        let published = Arc::new(PeerReports::with_zones(hosts, zones, ages));
        tables.counters.reports_published += 1;
        outbox.push(Action::PublishReports(published));
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
    if tables.me.has_left || reports.rounds.len() >= MAX_ROUNDS {
        return;
    }
    let bytes = HEARTBEAT_BYTES + ROW_BYTES * reports.zone_part.endpoints.len();
    let bytes = u32::try_from(bytes).map_or(MAX_ROUND_BYTES, f64::from);
    let mut count = 0;
    let max_count = reports.pending.len().min(heartbeat::FANOUT);
    while count < max_count && reports.round_bytes + bytes <= MAX_ROUND_BYTES {
        reports.round_bytes += bytes;
        count += 1;
    }
    if count == 0 {
        return;
    }
    let targets: Vec<Id> = reports.pending.drain(..count).collect();
    reports.rounds.push_back(now);
    tables.counters.report_rounds += 1;
    for id in targets {
        tables.reports.last_target = id;
        let is_live = tables.members.get(&id).is_some_and(Member::is_live);
        if is_live {
            heartbeat::send_report(tables, now, id, outbox);
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
    (sum.silent_zones, sum.used_zones) = sum_zones(lanes);
    Arc::new(sum)
}

/// Returns the zones that are silent for all lanes with flows there, and those with flows.
fn sum_zones(lanes: &[Arc<LaneReport>]) -> (Vec<Name>, Vec<Name>) {
    let all = |zones: fn(&LaneReport) -> &Vec<Name>| {
        let names = lanes.iter().flat_map(|lane| zones(lane)).cloned();
        names.collect::<BTreeSet<Name>>()
    };
    let is_silent = |zone: &Name| {
        let mut using = lanes.iter().filter(|lane| lane.used_zones.contains(zone));
        using.all(|lane| lane.silent_zones.contains(zone))
    };
    let silent = all(|lane| &lane.silent_zones).into_iter().filter(is_silent);
    let used = all(|lane| &lane.used_zones);
    (silent.collect(), used.into_iter().collect())
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
