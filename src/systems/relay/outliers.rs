//! Ejects endpoints that answer only a part of their requests.
//!
//! Such an endpoint answers openings and acknowledges data, so nothing else shows the fault. A
//! host sends it about one request a second, too few to decide alone. Each host therefore counts
//! the results of its requests, and the hosts of an availability zone add up what they have
//! counted. An endpoint with a large share of overdue requests gets no new flows for some
//! seconds; its open flows stay.
//!
//! A request is overdue when its caller has retransmitted it, and it is still unanswered after
//! [`MIN_OVERDUE_TIME`] and after [`OVERDUE_FACTOR`] times the mean answer time of its service.
//! This host does not see the answers, so a request without a retransmission counts as answered
//! as soon as [`timeouts`](super::timeouts) takes it to be, and as overdue if its caller then ends
//! the flow without having acknowledged an answer. Without a measured answer time no request is
//! overdue.

use std::collections::BTreeMap;
use std::time::Duration;

use smallvec::SmallVec;

use super::capacity_share::lacks_capacity;
use super::{evidence, failure_detector, findings};
use crate::clock::millis;
use crate::id::Id;
use crate::report::{EndpointReport, HostReport};
use crate::segment::is_seq_after;
use crate::tables::{Ejection, EndpointRow, OutcomeCounts, Tables, TrackedFlow, WatchedRequest};

/// Interval between two evaluations: that at which lanes report.
const EVALUATION_PERIOD: Duration = Duration::from_millis(100);

/// Minimum time after which a request is overdue: that of a caller's first retransmission, before
/// which this host cannot tell.
const MIN_OVERDUE_TIME: Duration = Duration::from_millis(200);

/// Multiple of the mean answer time of a service after which a request to it is overdue: the work
/// of a request has a tail of seven times its mean.
const OVERDUE_FACTOR: f64 = 8.0;

/// Minimum number of overdue requests at an outlier; fewer can be late together by chance.
const MIN_OVERDUE: u32 = 3;

/// Minimum number of hosts with overdue requests at an outlier, or the only host of the zone.
const MIN_HOSTS: usize = 2;

/// Minimum number of endpoints with overdue requests for which the cause may be this host, or
/// something that the endpoints share.
const MIN_COMMON_ENDPOINTS: usize = 3;

/// Part of the endpoints in use (a quarter) that have overdue requests in that case.
const COMMON_DIVISOR: usize = 4;

/// Length of the first ejection.
const EJECTION_TIME: Duration = Duration::from_secs(3);

/// Length of the longest ejection, which bounds the effect of false reports.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(12);

/// Time after an ejection for which reports about the endpoint are ignored: results from before its
/// end count for 2 s at other hosts, and their reports are up to a second old.
const REPORT_DELAY: Duration = Duration::from_secs(3);

/// Part of a service's endpoints in a zone (a fifth) that may be ejected at a time.
const EJECTED_DIVISOR: usize = 5;

/// Minimum number of endpoints of a service in a zone of which one may be ejected.
const MIN_ENDPOINTS: usize = 3;

/// What the hosts of the zone have counted at an endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct ZoneCounts {
    overdue: u32,
    /// Requests answered at the hosts with overdue ones.
    answered: f64,
    /// Requests answered at this host if it has no overdue ones.
    own_answered: f64,
    /// Hosts with overdue requests.
    hosts: u32,
    /// Time of the oldest report.
    oldest: Option<Duration>,
}

/// An endpoint that is to be ejected.
struct Outlier {
    id: Id,
    counts: ZoneCounts,
    /// Requests that all hosts of the zone have sent to it and that were answered.
    answered: f64,
    /// Part of the requests that is overdue, 0 to 1.
    share: f64,
}

/// Begins to watch a request that is sent on.
///
/// This host may have missed the first transmission of what it sees first of a flow.
pub(super) fn watch_request(flow: &mut TrackedFlow, now: Duration) {
    let is_taken_over = flow.initial_seq.is_none() && flow.first_seen == now;
    flow.watched = (!is_taken_over).then_some(WatchedRequest {
        sent_at: now,
        overdue_at: None,
    });
}

/// Records that a request goes on with new data. The endpoint cannot answer before it has all.
pub(super) fn note_new_data(flow: &mut TrackedFlow, now: Duration) {
    if let Some(watched) = &mut flow.watched {
        watched.sent_at = now;
        watched.overdue_at = None;
    }
}

/// Records that a request was answered, or counts as answered.
pub(super) fn note_answer(tables: &mut Tables, flow: &mut TrackedFlow, now: Duration) {
    if let Some(watched) = flow.watched.take() {
        let is_overdue = watched.overdue_at.is_some_and(|due| now >= due);
        record(tables, flow, watched, is_overdue, now);
    }
}

/// Records that a request counts as answered although nothing shows it.
pub(super) fn assume_answer(tables: &mut Tables, flow: &mut TrackedFlow, now: Duration) {
    flow.assumed_request = flow.watched.map(|watched| watched.sent_at);
    note_answer(tables, flow, now);
}

/// Records that a caller closes or resets a flow. If its last request is unanswered by then, it was
/// overdue: an endpoint that acknowledges the data of a request causes no retransmission.
pub(super) fn note_close(tables: &mut Tables, flow: &mut TrackedFlow, ack: u32, now: Duration) {
    let pending = flow.watched.take().map(|watched| watched.sent_at);
    let sent_at = pending.or(flow.assumed_request.take());
    let is_answered = is_seq_after(ack, flow.acked_seq);
    let (Some(sent_at), Some(time)) = (sent_at, overdue_time(tables, flow.endpoint)) else {
        return;
    };
    if !is_answered && now >= sent_at + time {
        let request = WatchedRequest {
            sent_at,
            overdue_at: None,
        };
        record(tables, flow, request, true, now);
    }
}

/// Records a retransmission of a request, which is overdue or will be checked when it is.
pub(super) fn note_retransmission(tables: &mut Tables, flow: &mut TrackedFlow, now: Duration) {
    let overdue_time = overdue_time(tables, flow.endpoint);
    let (Some(watched), Some(overdue_time)) = (&mut flow.watched, overdue_time) else {
        return;
    };
    if watched.overdue_at.is_none() {
        let due = watched.sent_at + overdue_time;
        watched.overdue_at = Some(due);
        tables.tracked_flows.schedule_check(flow.addrs, due);
    }
    check_request(tables, flow, now);
}

/// Records that a request is overdue if it is; returns false otherwise.
pub(super) fn check_request(tables: &mut Tables, flow: &mut TrackedFlow, now: Duration) -> bool {
    let is_due = |watched: &WatchedRequest| watched.overdue_at.is_some_and(|due| now >= due);
    let Some(watched) = flow.watched.filter(is_due) else {
        return false;
    };
    flow.watched = None;
    record(tables, flow, watched, true, now);
    true
}

/// Readmits and ejects endpoints.
pub(super) fn run(tables: &mut Tables, now: Duration) {
    if now < tables.outcomes.last_check + EVALUATION_PERIOD {
        return;
    }
    tables.outcomes.last_check = now;
    readmit(tables, now);
    tables.outcomes.expire(now);
    tables.outcomes.may_report = false;
    let has_reports = tables.peer_reports.hosts.iter().any(reports_overdue);
    if tables.outcomes.overdue_count() == 0 && !has_reports {
        return;
    }
    if failure_detector::is_host_impaired(tables, now) {
        tables.outcomes.forget_all(now);
        return;
    }
    let short_services = short_services(tables, now);
    forget_short(tables, &short_services);
    if is_common(tables, now) {
        return;
    }
    tables.outcomes.may_report = true;
    for outlier in find_outliers(tables, &short_services, now) {
        if has_room(tables, outlier.id, now) {
            eject(tables, &outlier, now);
        }
    }
}

/// Adds the results at endpoints with overdue requests to the rows of a report.
pub(super) fn add_rows(tables: &Tables, rows: &mut Vec<EndpointReport>, now: Duration) {
    if !tables.outcomes.may_report {
        return;
    }
    for id in tables.outcomes.overdue_ids() {
        let Some((row, counts)) = own_counts(tables, id, now) else {
            continue;
        };
        let found = rows.iter_mut().find(|known| known.endpoint == id);
        if let Some(known) = found {
            (known.answered, known.overdue) = (counts.answered, counts.overdue);
        } else {
            rows.push(EndpointReport {
                endpoint: id,
                started_ms: row.spec.started_ms,
                answered: counts.answered,
                overdue: counts.overdue,
                ..EndpointReport::default()
            });
        }
    }
}

/// Drops the results and ejections of endpoints that are no longer listed.
pub(super) fn sync(tables: &mut Tables) {
    let endpoints = &tables.endpoints;
    tables.outcomes.retain(|id, started_ms| {
        let row = endpoints.get(id);
        row.is_some_and(|row| row.spec.started_ms == started_ms)
    });
}

/// Records the result of a request, unless this host's own pause or the endpoint's end or restart
/// may be its cause.
fn record(
    tables: &mut Tables,
    flow: &TrackedFlow,
    request: WatchedRequest,
    is_overdue: bool,
    now: Duration,
) {
    let sent_at = request.sent_at;
    let Some(row) = tables.endpoints.get(flow.endpoint) else {
        return;
    };
    let started_ms = row.spec.started_ms;
    let ejection = tables.outcomes.ejection(flow.endpoint, started_ms);
    let readmitted_at = ejection.and_then(|ejection| ejection.ended_at);
    let valid_since = tables.outcomes.valid_since.max(tables.last_resume);
    let valid_since = valid_since
        .max(row.up_since)
        .max(readmitted_at.unwrap_or_default());
    let is_listed = !row.replaced && row.draining_since.is_none();
    if is_listed && sent_at >= valid_since && !failure_detector::has_just_resumed(tables, now) {
        tables
            .outcomes
            .note(flow.endpoint, started_ms, is_overdue, now);
    }
}

/// Returns the time after which a request to an endpoint is overdue, if a mean answer time is
/// known.
fn overdue_time(tables: &Tables, id: Id) -> Option<Duration> {
    let service = tables.endpoints.get(id)?.service;
    let mean_time = tables.held_requests.limit(service)?.answer_time;
    let time = Duration::from_secs_f64(mean_time * OVERDUE_FACTOR);
    (mean_time > 0.0).then_some(time.max(MIN_OVERDUE_TIME))
}

/// Returns an endpoint and this lane's results there, if some are overdue.
fn own_counts(tables: &Tables, id: Id, now: Duration) -> Option<(&EndpointRow, OutcomeCounts)> {
    let row = tables.endpoints.get(id)?;
    let counts = tables.outcomes.counts(id, row.spec.started_ms, now);
    let is_listed = !row.replaced && row.draining_since.is_none();
    (is_listed && counts.overdue > 0).then_some((row, counts))
}

fn reports_overdue(report: &HostReport) -> bool {
    report.report.endpoints.iter().any(|row| row.overdue > 0)
}

/// Returns the services with overdue requests that lack capacity.
fn short_services(tables: &Tables, now: Duration) -> SmallVec<[Id; 4]> {
    let services = tables.snapshot.services.keys().copied();
    services
        .filter(|service| lacks_capacity(tables, *service, now))
        .collect()
}

/// Drops the results at endpoints of services that lack capacity, whose requests wait in queues.
fn forget_short(tables: &mut Tables, short_services: &[Id]) {
    if short_services.is_empty() {
        return;
    }
    let endpoints = &tables.endpoints;
    let is_short = |id: &Id| {
        let row = endpoints.get(*id);
        row.is_some_and(|row| short_services.contains(&row.service))
    };
    let ids: Vec<Id> = tables.outcomes.overdue_ids().filter(is_short).collect();
    for id in ids {
        tables.outcomes.forget(id);
    }
}

/// Returns true if so many of the endpoints in use have overdue requests that no single endpoint
/// is the cause.
fn is_common(tables: &Tables, now: Duration) -> bool {
    let overdue = tables.outcomes.overdue_count();
    if overdue < MIN_COMMON_ENDPOINTS {
        return false;
    }
    let (used, _) = evidence::count_endpoints(tables, now);
    overdue * COMMON_DIVISOR >= usize::try_from(used).unwrap_or(usize::MAX)
}

/// Returns the endpoints to eject, those with the largest share of overdue requests first.
fn find_outliers(tables: &Tables, short_services: &[Id], now: Duration) -> Vec<Outlier> {
    let Some(me) = findings::own_host(tables) else {
        return Vec::new();
    };
    let hosts = tables.snapshot.hosts.iter();
    let neighbours = hosts.filter(|host| {
        host.availability_zone == me.availability_zone && (!host.leaving || host.id == me.id)
    });
    let zone_hosts = neighbours.count();
    let own_lanes = u32::try_from(me.lanes.len()).unwrap_or(1).max(1);
    let mut outliers: Vec<Outlier> = collect_counts(tables, own_lanes, now)
        .into_iter()
        .filter_map(|(id, counts)| evaluate(id, counts, zone_hosts))
        .filter(|outlier| {
            let row = tables.endpoints.get(outlier.id);
            row.is_some_and(|row| {
                let is_usable = row.accepts_work(now) && row.down.is_none();
                is_usable && row.ejected_until.is_none() && !short_services.contains(&row.service)
            })
        })
        .collect();
    outliers.sort_by(|a, b| b.share.total_cmp(&a.share).then(a.id.cmp(&b.id)));
    outliers
}

/// Adds up the results of this lane and of the credible hosts of its zone.
fn collect_counts(tables: &Tables, own_lanes: u32, now: Duration) -> BTreeMap<Id, ZoneCounts> {
    let mut sums: BTreeMap<Id, ZoneCounts> = BTreeMap::new();
    for id in tables.outcomes.overdue_ids() {
        if let Some((_, counts)) = own_counts(tables, id, now) {
            let answered = f64::from(counts.answered) * f64::from(own_lanes);
            add_counts(&mut sums, id, counts.overdue, answered, None);
        }
    }
    let reports = findings::zone_reports(tables, now, |report| reports_overdue(report));
    for report in reports.filter(|report| findings::is_credible(report)) {
        let mut seen: SmallVec<[Id; 8]> = SmallVec::new();
        for observed in report.report.endpoints.iter().filter(|row| row.overdue > 0) {
            // A second row about an endpoint would count as another host.
            if seen.contains(&observed.endpoint) {
                continue;
            }
            seen.push(observed.endpoint);
            let Some(row) = tables.endpoints.get(observed.endpoint) else {
                continue;
            };
            let started_ms = row.spec.started_ms;
            let ejection = tables.outcomes.ejection(observed.endpoint, started_ms);
            let ended_at = ejection.and_then(|ejection| ejection.ended_at);
            let may_be_old = ended_at.is_some_and(|at| report.taken_at < at + REPORT_DELAY);
            if may_be_old || !findings::is_same_start(started_ms, observed.started_ms) {
                continue;
            }
            let taken_at = Some(report.taken_at);
            let answered = f64::from(observed.answered);
            add_counts(
                &mut sums,
                observed.endpoint,
                observed.overdue,
                answered,
                taken_at,
            );
        }
    }
    for (id, sum) in &mut sums {
        let started_ms = tables.endpoints.get(*id).map(|row| row.spec.started_ms);
        let counts = tables
            .outcomes
            .counts(*id, started_ms.unwrap_or_default(), now);
        if counts.overdue == 0 {
            sum.own_answered = f64::from(counts.answered);
        }
    }
    sums
}

/// Adds the results at one host.
fn add_counts(
    sums: &mut BTreeMap<Id, ZoneCounts>,
    id: Id,
    overdue: u32,
    answered: f64,
    taken_at: Option<Duration>,
) {
    let sum = sums.entry(id).or_default();
    sum.overdue = sum.overdue.saturating_add(overdue);
    sum.answered += answered;
    sum.hosts += 1;
    sum.oldest = [sum.oldest, taken_at].into_iter().flatten().min();
}

/// Returns the endpoint if its results make it an outlier.
///
/// Hosts without overdue requests there do not report, so the answered requests of all hosts are
/// extrapolated from those that do; they are at least as many as this host knows of.
fn evaluate(id: Id, counts: ZoneCounts, zone_hosts: usize) -> Option<Outlier> {
    let zone_hosts = u32::try_from(zone_hosts).unwrap_or(u32::MAX);
    let min_hosts = u32::try_from(MIN_HOSTS).unwrap_or(u32::MAX);
    let mean_answered = counts.answered / f64::from(counts.hosts.max(1));
    let extrapolated = mean_answered * f64::from(zone_hosts.max(counts.hosts));
    let answered = extrapolated.max(counts.answered + counts.own_answered);
    let overdue = f64::from(counts.overdue);
    let share = overdue / (overdue + answered).max(1.0);
    let is_outlier = counts.overdue >= MIN_OVERDUE
        && counts.hosts >= zone_hosts.min(min_hosts)
        && share >= EndpointReport::OUTLIER_SHARE;
    is_outlier.then_some(Outlier {
        id,
        counts,
        answered,
        share,
    })
}

/// Returns true if one more endpoint of the same service and zone may be ejected.
fn has_room(tables: &Tables, id: Id, now: Duration) -> bool {
    let Some(row) = tables.endpoints.get(id) else {
        return false;
    };
    let rows = tables.endpoints.of_service(row.service);
    let usable = rows.filter(|other| other.spec.zone == row.spec.zone && other.accepts_work(now));
    let (count, ejected) = usable.fold((0, 0), |(count, ejected), other| {
        (
            count + 1,
            ejected + usize::from(other.ejected_until.is_some()),
        )
    });
    count >= MIN_ENDPOINTS && ejected < (count / EJECTED_DIVISOR).max(1)
}

/// Ejects an endpoint.
fn eject(tables: &mut Tables, outlier: &Outlier, now: Duration) {
    let Some(row) = tables.endpoints.get_mut(outlier.id) else {
        return;
    };
    let started_ms = row.spec.started_ms;
    let earlier = tables.outcomes.ejection(outlier.id, started_ms);
    let time = earlier.map_or(EJECTION_TIME, |earlier| {
        (earlier.time * 2).min(MAX_EJECTION_TIME)
    });
    row.ejected_until = Some(now + time);
    let counts = &outlier.counts;
    log::warn!(
        endpoint:% = row.spec.name, zone:% = row.spec.zone, overdue = counts.overdue,
        answered = outlier.answered.round(), hosts = counts.hosts,
        oldest_ms = millis(counts.oldest.map_or(Duration::ZERO, |at| now.saturating_sub(at))),
        ejected_ms = millis(time);
        "endpoint_ejected"
    );
    tables.counters.ejections += 1;
    let ejection = Ejection {
        started_ms,
        since: now,
        time,
        ended_at: None,
    };
    tables.outcomes.begin_ejection(outlier.id, ejection);
}

/// Ends the ejections whose time is over.
fn readmit(tables: &mut Tables, now: Duration) {
    let ejected = tables.outcomes.ejected();
    let due: SmallVec<[(Id, Ejection); 4]> = ejected
        .filter(|(_, ejection)| now >= ejection.since + ejection.time)
        .map(|(id, ejection)| (id, *ejection))
        .collect();
    for (id, ejection) in due {
        tables.outcomes.end_ejection(id, now);
        let Some(row) = tables.endpoints.get_mut(id) else {
            continue;
        };
        row.ejected_until = None;
        log::info!(
            endpoint:% = row.spec.name, zone:% = row.spec.zone,
            ejected_ms = millis(now.saturating_sub(ejection.since));
            "endpoint_readmitted"
        );
    }
}
