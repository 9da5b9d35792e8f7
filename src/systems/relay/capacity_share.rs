//! The part of a service's capacity that this host may use.
//!
//! Hosts split the capacity of a service evenly as long as none of them lacks it. When a host
//! does, all hosts report their demand, and each takes a share in proportion to its demand. The
//! shares are computed by each host for itself, from reports that may be old or lost, so three
//! rules keep their sum within 1.5 times the capacity: a report counts for less the older it is,
//! a share rises slowly, and a host without a recent report keeps its part of an even split.

use std::time::Duration;

use super::busy_slots::busy_slots;
use crate::id::{Id, Name};
use crate::report::ServiceReport;
use crate::tables::Tables;

/// Age from which a report does not count.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(3);

/// Age at which a report of low demand counts as a demand equal to this host's. With
/// [`RISE_FACTOR`] it bounds the sum of all shares while reports are late.
const TRUST_PERIOD: Duration = Duration::from_secs(2);

/// Interval between two updates of the shares.
pub const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Largest factor by which a share rises in [`UPDATE_INTERVAL`]. When the demand of all hosts
/// rises at once, each still sees low reports of the others; at this rate a share has risen by
/// half when these reports have lost enough of their weight.
const RISE_FACTOR: f64 = 1.03;

/// Smallest share relative to an even split, so that a host with little demand can start.
const MIN_FACTOR: f64 = 0.25;

/// Deviation from the mean demand up to which the demand counts as even.
const EVEN_MARGIN: f64 = 0.25;

/// Time after a shortage for which a host reports its demand: several heartbeats.
const REPORT_PERIOD: Duration = Duration::from_secs(2);

/// Age at which a report is made again while it is needed, so that the receivers know that it
/// still holds; less than the interval between two heartbeats.
const REFRESH_PERIOD: Duration = Duration::from_millis(250);

/// Time after a shortage of capacity for which silence proves nothing: longer than the evidence that
/// it causes counts after the last retransmission.
const SHORTAGE_TIME: Duration = Duration::from_secs(2);

/// Minimum number of hosts at which requests have waited in that case.
const MIN_SHORT_HOSTS: u32 = 2;

/// Demand that another host reported.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedDemand {
    /// Requests that arrive in a second.
    pub rate: f64,
    /// Age of the report.
    pub age: Duration,
}

/// Updates the shares of all services, and the load that this lane reports.
pub(super) fn run(tables: &mut Tables, now: Duration) {
    if now < tables.demand.last_update + UPDATE_INTERVAL {
        return;
    }
    tables.demand.last_update = now;
    let services: Vec<Id> = tables.snapshot.services.keys().copied().collect();
    let is_reported = !tables.peer_reports.lacks_services();
    let own_zone = is_reported.then(|| tables.snapshot.zone_of(tables.home.host));
    for service in services {
        let row = tables.demand.get(service);
        let own = row.rate(now);
        let (mut target, mut zone_target) = (1.0, 1.0);
        if let Some((zone, zone_hosts)) = &own_zone {
            let hosts = tables.snapshot.expected_hosts;
            target = target_factor(own, &reported_demands(tables, service, None, now), hosts);
            let neighbours = reported_demands(tables, service, Some(zone), now);
            zone_target = target_factor(own, &neighbours, *zone_hosts);
        }
        let row = tables.demand.get_mut(service);
        row.share_factor = next_factor(row.share_factor, target);
        row.zone_factor = next_factor(row.zone_factor, zone_target);
    }
    update_reported(tables, now);
}

/// Returns the load of the services that other hosts need to know: those that lack capacity here
/// or at another host. A host whose services have capacity reports nothing.
#[must_use]
pub fn service_reports(tables: &Tables, now: Duration) -> Vec<ServiceReport> {
    let services = tables.snapshot.services.keys().copied();
    let mut reports: Vec<_> = services
        .filter_map(|service| service_report(tables, service, now))
        .collect();
    reports.sort_unstable_by_key(|report| report.service);
    reports
}

/// Returns true if requests of a service have waited for capacity at several hosts, this one
/// included.
///
/// Endpoints with full queues then answer late, which hosts may take for silence. At one
/// host alone the silent endpoint itself may be the cause.
pub(super) fn lacks_capacity(tables: &Tables, service: Id, now: Duration) -> bool {
    let demand = tables.demand.get(service);
    let is_recent = |at: Option<Duration>| at.is_some_and(|at| now < at + SHORTAGE_TIME);
    let waits_here = is_recent(demand.last_wait) || is_recent(demand.last_shortage);
    let others = tables.peer_reports.loads(service, now);
    let others = others.filter(|load| now < load.taken_at + SHORTAGE_TIME);
    let others: u32 = others.map(|load| load.short_hosts).sum();
    others + u32::from(waits_here) >= MIN_SHORT_HOSTS
}

/// Returns the share that is due to this host, relative to an even split among `hosts` hosts.
///
/// `own` is the demand of this host, and `others` are the demands of those that have reported.
#[must_use]
pub fn target_factor(own: f64, others: &[ReportedDemand], hosts: u32) -> f64 {
    let recent = others.iter().filter(|other| other.age < MAX_REPORT_AGE);
    let (count, sum) = recent.fold((1_u32, own), |(count, sum), other| {
        let doubt = (other.age.as_secs_f64() / TRUST_PERIOD.as_secs_f64()).min(1.0);
        let missing = (own - other.rate).max(0.0);
        (count + 1, sum + other.rate + missing * doubt)
    });
    let count = f64::from(count.min(hosts.max(1)));
    let mean = sum / count;
    if count < 2.0 || mean <= 0.0 || (own / mean - 1.0).abs() < EVEN_MARGIN {
        return 1.0;
    }
    MIN_FACTOR + (1.0 - MIN_FACTOR) * own / mean
}

/// Returns the share after [`UPDATE_INTERVAL`]: it falls at once and rises slowly.
#[must_use]
pub fn next_factor(current: f64, target: f64) -> f64 {
    target.min(current * RISE_FACTOR)
}

/// Returns the demands for a service that other hosts have reported, those of one zone or all. The
/// hosts of another zone count with the mean of their sum.
fn reported_demands(
    tables: &Tables,
    service: Id,
    zone: Option<&Name>,
    now: Duration,
) -> Vec<ReportedDemand> {
    let loads = tables.peer_reports.loads(service, now);
    let loads = loads.filter(|load| zone.is_none_or(|zone| load.zone == zone));
    loads
        .flat_map(|load| {
            let demand = ReportedDemand {
                rate: load.row.demand / f64::from(load.hosts.max(1)),
                // In a large fleet reports count for longer than MAX_REPORT_AGE, but they have no
                // more weight than at the end of the period.
                age: now.saturating_sub(load.taken_at).min(TRUST_PERIOD),
            };
            std::iter::repeat_n(demand, usize::try_from(load.hosts).unwrap_or(1))
        })
        .collect()
}

fn service_report(tables: &Tables, service: Id, now: Duration) -> Option<ServiceReport> {
    let demand = tables.demand.get(service);
    let waiting = tables.held_requests.iter();
    let waiting = waiting.filter(|row| row.service == service).count();
    let is_recent = |time: Duration| now < time + REPORT_PERIOD;
    let is_short = demand.last_shortage.is_some_and(is_recent);
    let mut others = tables.peer_reports.loads(service, now);
    let others_wait = others.any(|load| load.row.waiting > 0);
    let reported = ServiceReport {
        service,
        demand: demand.rate(now),
        busy_slots: busy_slots(tables, service, now),
        // A host that lacks capacity has at least one request waiting now or a moment ago.
        waiting: u32::try_from(waiting)
            .unwrap_or(u32::MAX)
            .max(u32::from(is_short)),
    };
    (is_short || waiting > 0 || others_wait).then_some(reported)
}

/// Replaces the load that this lane reports, at most once in every [`REFRESH_PERIOD`].
fn update_reported(tables: &mut Tables, now: Duration) {
    let services = service_reports(tables, now);
    let demand = &mut tables.demand;
    if services.is_empty() || now >= demand.last_report + REFRESH_PERIOD {
        demand.reported = services;
        demand.last_report = now;
    }
}
