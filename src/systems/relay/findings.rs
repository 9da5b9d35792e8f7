//! Collects what this lane and credible hosts of its availability zone know about endpoints.
//!
//! A host is credible if it is live and likely to be right: not impaired, and not suspecting so
//! many endpoints that it is more likely to be at fault itself.

use std::collections::BTreeMap;
use std::time::Duration;

use smallvec::SmallVec;

use super::evidence::{self, OwnEvidence};
use super::failure_detector;
use crate::id::Id;
use crate::report::{HostReport, LaneReport};
use crate::snapshot::Host;
use crate::tables::Tables;

/// What is known about an endpoint in this tick.
#[derive(Default)]
pub(super) struct Finding {
    pub(super) own: OwnEvidence,
    /// Evidence of other hosts.
    pub(super) reports: SmallVec<[Observation; 4]>,
    /// Latest time at which another host knows that it was running.
    pub(super) alive_elsewhere: Duration,
}

/// Evidence of another host against an endpoint.
pub(super) struct Observation {
    pub(super) host: Id,
    pub(super) evidence: u32,
    /// Time at which the oldest of it was sent.
    pub(super) oldest: Duration,
    /// Time of the report.
    pub(super) taken_at: Duration,
}

/// Whether the evidence of this host may count.
#[derive(Clone, Copy)]
pub(super) struct OwnState {
    pub(super) is_impaired: bool,
    pub(super) is_credible: bool,
}

/// Returns whether the evidence of this host may count.
pub(super) fn own_state(tables: &mut Tables, now: Duration) -> OwnState {
    let is_impaired = failure_detector::is_host_impaired(tables, now);
    let (used_endpoints, suspected_endpoints) = evidence::count_endpoints(tables, now);
    let counts = LaneReport {
        used_endpoints,
        suspected_endpoints,
        ..LaneReport::default()
    };
    OwnState {
        is_impaired,
        is_credible: !is_impaired && !counts.suspects_too_many(),
    }
}

/// Collects what is known about each endpoint with a suspicion or evidence.
pub(super) fn collect(tables: &Tables, now: Duration) -> BTreeMap<Id, Finding> {
    let mut findings: BTreeMap<Id, Finding> = BTreeMap::new();
    for row in tables.endpoints.iter() {
        let health = tables.shared_health.get(row.spec.id);
        if health.is_some() || row.suspicion.is_some() || evidence::has_stalls(row) {
            let finding = findings.entry(row.spec.id).or_default();
            finding.own = evidence::collect(row, health, now);
        }
    }
    let has_rows = |report: &&HostReport| !report.report.endpoints.is_empty();
    let reports = zone_reports(tables, now, has_rows);
    for report in reports.filter(|report| is_credible(report)) {
        add_report(tables, report, &mut findings);
    }
    findings
}

/// Iterates over the reports of the live hosts of the own availability zone that are not too old,
/// among those for which `is_wanted` is true.
///
/// The list of live hosts is searched last, because it is long.
pub(super) fn zone_reports(
    tables: &Tables,
    now: Duration,
    is_wanted: impl Fn(&&HostReport) -> bool,
) -> impl Iterator<Item = &HostReport> {
    let max_age = tables.peer_reports.ages.endpoints;
    let me = own_host(tables);
    let is_near = move |report: &&HostReport| {
        me.is_some_and(|me| me.availability_zone == report.zone && me.id != report.host)
    };
    let is_live = |report: &&HostReport| {
        let mut hosts = tables.snapshot.hosts.iter();
        hosts.any(|host| host.id == report.host && host.incarnation == report.incarnation)
    };
    let reports = tables.peer_reports.hosts.iter();
    reports
        .filter(is_wanted)
        .filter(is_near)
        .filter(move |report| now < report.taken_at + max_age)
        .filter(is_live)
}

/// Returns true if the observations that a host reports of endpoints count.
pub(super) fn is_credible(report: &HostReport) -> bool {
    !report.report.is_impaired && !report.report.suspects_too_many()
}

fn add_report(tables: &Tables, report: &HostReport, findings: &mut BTreeMap<Id, Finding>) {
    let time = |age: Duration| report.taken_at.saturating_sub(age);
    let rows = report.report.endpoints.iter();
    for observed in rows.filter(|row| row.tells_health()) {
        let Some(row) = tables.endpoints.get(observed.endpoint) else {
            continue;
        };
        if row.replaced || !is_same_start(row.spec.started_ms, observed.started_ms) {
            continue;
        }
        let finding = findings.entry(observed.endpoint).or_default();
        if let Some(age) = observed.heard_ago {
            finding.alive_elsewhere = finding.alive_elsewhere.max(time(age));
        }
        // A second row about an endpoint would count as another host.
        let is_first = finding.reports.last().map(|known| known.host) != Some(report.host);
        if observed.evidence() > 0 && is_first {
            finding.reports.push(Observation {
                host: report.host,
                evidence: observed.evidence(),
                oldest: time(observed.silent_for),
                taken_at: report.taken_at,
            });
        }
    }
}

/// Returns true if a start time and its form in a report, which has only the lower 32 bits, are
/// the same.
pub(super) fn is_same_start(started_ms: u64, reported_ms: u64) -> bool {
    let low_bits = |time: u64| time & u64::from(u32::MAX);
    low_bits(started_ms) == low_bits(reported_ms)
}

/// Returns the entry of this host among the live hosts.
pub(super) fn own_host(tables: &Tables) -> Option<&Host> {
    let mut hosts = tables.snapshot.hosts.iter();
    hosts.find(|host| host.id == tables.home.host)
}
