//! Decides from this lane's evidence and the reports of other hosts which endpoints are
//! suspected, and which are down.
//!
//! Reports count only from live hosts of the own availability zone that are likely to be right.
//! An endpoint is suspected if one host has evidence that no answer contradicts; it then gets
//! only trials. It is down if several hosts have evidence; its waiting flows are then reset.

use std::time::Duration;

use smallvec::SmallVec;

use super::capacity_share::lacks_capacity;
use super::evidence::{self, OwnEvidence};
use super::findings::{self, Finding, Observation, OwnState};
use super::{is_idempotent, reset_down_flow, silent_zone, uncount_flow};
use crate::clock::millis;
use crate::id::{Id, Name, rendezvous_weight};
use crate::report::{EndpointReport, HostReport};
use crate::tables::{Cleared, DownState, EndpointRow, Outbox, Suspicion, Tables, TrackedState};

/// Time after the last report at which a suspicion ends.
const SUSPICION_TIME: Duration = Duration::from_secs(2);

/// Longest time for which one other host alone may steer flows away. If the endpoint is down,
/// the next flow gives this host evidence of its own.
const SOLE_SUSPICION_TIME: Duration = Duration::from_secs(2);

/// The same for an endpoint that several hosts have found down: the host that sends the trials for
/// all is then the only one with evidence, unless it alone cannot reach the endpoint.
const SOLE_TRIAL_TIME: Duration = Duration::from_secs(10);

/// Time for which a contradiction is reported: several regular heartbeats.
const CLEARED_TIME: Duration = Duration::from_secs(2);

/// Amount by which times in reports of other hosts may be late: the delay of a message.
const TIME_ERROR: Duration = Duration::from_millis(50);

/// Minimum number of hosts with evidence against an endpoint that is down.
const MIN_HOSTS: usize = 2;

/// Minimum number of pieces of evidence of all hosts together in that case.
const MIN_EVIDENCE: u32 = 3;

/// Time for which that much evidence must be known, so that a contradiction has time to arrive:
/// a lane's report period and a delay.
const CONFIRM_TIME: Duration = Duration::from_millis(150);

/// Longest time between two evaluations while there is evidence. The state of this host, on which
/// they also depend (its own impairment, the endpoints that it uses, a shortage of capacity),
/// changes without an event.
const MAX_EVALUATION_INTERVAL: Duration = Duration::from_millis(200);

/// Updates suspicions, marks endpoints as down or up, and resets flows that wait for them, if
/// evidence or reports have changed or some of them expire.
pub(super) fn run(tables: &mut Tables, now: Duration, out: &mut Outbox) {
    let due = tables.shared_health.next_evaluation;
    if due.is_none_or(|due| now < due) {
        return;
    }
    tables.shared_health.next_evaluation = None;
    let has_rows = |report: &HostReport| {
        let mut rows = report.report.endpoints.iter();
        rows.any(EndpointReport::tells_health)
    };
    let is_idle = tables.shared_health.is_empty()
        && !tables.shared_health.any_suspected
        && !tables.peer_reports.hosts.iter().any(has_rows)
        && !tables.endpoints.iter().any(evidence::has_stalls);
    if is_idle {
        return;
    }
    tables.counters.health_evaluations += 1;
    expire(tables, now);
    let own = findings::own_state(tables, now);
    let mut down_ids = Vec::new();
    for (id, finding) in findings::collect(tables, now) {
        if evaluate(tables, id, &finding, own, now) {
            down_ids.push(id);
        }
    }
    let any_suspected = tables.endpoints.iter().any(|row| row.suspicion.is_some());
    tables.shared_health.any_suspected = any_suspected;
    if !down_ids.is_empty() {
        reset_waiting_flows(tables, &down_ids, now, out);
    }
    tables.shared_health.next_evaluation = next_evaluation(tables, now);
}

/// Returns the time at which the result of an evaluation may change by the passing of time; none
/// if nothing is left to evaluate.
fn next_evaluation(tables: &Tables, now: Duration) -> Option<Duration> {
    let mut next = None;
    let mut add = |time: Duration| {
        if time > now {
            next = Some(next.map_or(time, |known: Duration| known.min(time)));
        }
    };
    for health in tables.shared_health.rows() {
        let sole_time = match health.confirmed_evidence {
            Some(_) => SOLE_TRIAL_TIME,
            None => SOLE_SUSPICION_TIME,
        };
        let opens = health.opens.iter();
        opens.for_each(|open| add(open.sent_at + evidence::OPEN_EVIDENCE_TIME));
        let times = [
            health.cleared.map(|known| known.at + CLEARED_TIME),
            health.quorum_since.map(|since| since + CONFIRM_TIME),
            health.sole_since.map(|since| since + sole_time),
        ];
        times.into_iter().flatten().for_each(&mut add);
    }
    for host in &tables.peer_reports.hosts {
        if !host.report.endpoints.is_empty() {
            add(host.taken_at + tables.peer_reports.ages.endpoints);
        }
    }
    for row in tables.endpoints.iter() {
        if let Some(suspicion) = &row.suspicion {
            add(suspicion.until);
        }
    }
    let is_active = !tables.shared_health.is_empty()
        || tables.shared_health.any_suspected
        || tables.endpoints.iter().any(evidence::has_stalls);
    if is_active {
        add(now + MAX_EVALUATION_INTERVAL);
    }
    next
}

/// Returns true if this host may send a trial opening to an endpoint: one host of the zone tries
/// an endpoint that others suspect too.
pub(super) fn may_try(tables: &Tables, row: &EndpointRow) -> bool {
    let is_shared = silent_zone::is_tried_by_one(tables, row).unwrap_or_else(|| {
        let suspicion = row.suspicion.as_ref();
        suspicion.is_some_and(|known| known.other_hosts > 0)
    });
    let Some(me) = findings::own_host(tables).filter(|_| is_shared) else {
        return true;
    };
    let hosts = tables.snapshot.hosts.iter();
    let zone_hosts =
        hosts.filter(|host| host.availability_zone == me.availability_zone && !host.leaving);
    let trying = zone_hosts.max_by_key(|host| rendezvous_weight(row.spec.id.0, host.id));
    trying.is_none_or(|host| host.id == me.id)
}

/// Removes evidence and contradictions that are too old, or whose endpoint is gone.
fn expire(tables: &mut Tables, now: Duration) {
    let endpoints = &tables.endpoints;
    tables.shared_health.retain(|id, health| {
        let row = endpoints.get(id);
        let Some(row) = row.filter(|row| row.spec.started_ms == health.started_ms) else {
            return false;
        };
        health
            .opens
            .retain(|open| now < open.sent_at + evidence::OPEN_EVIDENCE_TIME);
        health.cleared = health.cleared.filter(|known| now < known.at + CLEARED_TIME);
        if !row.down.is_some_and(|down| down.from_reports) {
            health.confirmed_evidence = None;
        }
        if now >= health.alive_elsewhere + evidence::OPEN_EVIDENCE_TIME {
            health.alive_elsewhere = Duration::ZERO;
        }
        !health.is_empty()
    });
}

/// Updates the state of an endpoint. Returns true if it was declared down.
fn evaluate(tables: &mut Tables, id: Id, finding: &Finding, own: OwnState, now: Duration) -> bool {
    let Some(row) = tables.endpoints.get(id) else {
        return false;
    };
    let last_alive = row.last_alive;
    let started_ms = row.spec.started_ms;
    // Only enough evidence of several hosts makes the answer matter.
    let may_have_quorum = finding.reports.len() + usize::from(finding.own.count() > 0) >= MIN_HOSTS;
    let lacks_capacity = may_have_quorum && lacks_capacity(tables, row.service, now);
    let health = tables.shared_health.row(id, started_ms);
    let known_elsewhere = health.alive_elsewhere;
    health.alive_elsewhere = known_elsewhere.max(finding.alive_elsewhere);
    let elsewhere = health.alive_elsewhere;
    health
        .opens
        .retain(|open| open.sent_at > elsewhere + TIME_ERROR);
    let alive = last_alive.max(elsewhere);
    let is_valid = |since: Duration| since > alive + TIME_ERROR;
    let refuted = finding.reports.iter().map(|seen| seen.oldest);
    let refuted = refuted
        .filter(|since| *since <= last_alive + TIME_ERROR)
        .max();
    let is_told = |since| {
        health
            .cleared
            .is_some_and(|known| known.heard_at + TIME_ERROR >= since)
    };
    if refuted.is_some_and(|since| !is_told(since)) {
        tables.counters.contradicted_reports += 1;
        health.cleared = Some(Cleared {
            at: now,
            heard_at: last_alive,
        });
    }
    let mut others: SmallVec<[&Observation; 4]> = SmallVec::new();
    others.extend(finding.reports.iter().filter(|seen| is_valid(seen.oldest)));
    let own_evidence = finding.own;
    let own_counts =
        own.is_credible && own_evidence.count() > 0 && own_evidence.oldest > elsewhere + TIME_ERROR;
    if others.len() == 1 && !own_counts {
        let since = *health.sole_since.get_or_insert(now);
        let max_time = match health.confirmed_evidence {
            Some(_) => SOLE_TRIAL_TIME,
            None => SOLE_SUSPICION_TIME,
        };
        if now >= since + max_time {
            others.clear();
        }
    } else {
        health.sole_since = None;
    }
    let has_quorum = others.len() + usize::from(own_counts) >= MIN_HOSTS
        && !own.is_impaired
        && !lacks_capacity
        && count_evidence(&others, own_counts, own_evidence) >= MIN_EVIDENCE;
    let quorum_since = *health.quorum_since.get_or_insert(now);
    if !has_quorum {
        health.quorum_since = None;
    }
    let is_contradicted = health
        .confirmed_evidence
        .is_some_and(|since| !is_valid(since));
    update_suspicion(
        tables,
        id,
        &others,
        own_counts.then_some(own_evidence),
        alive,
        now,
    );
    if is_contradicted {
        mark_up(tables, id, now);
    }
    if finding.alive_elsewhere > known_elsewhere {
        hasten_trial(tables, id, finding.alive_elsewhere);
    }
    has_quorum && now >= quorum_since + CONFIRM_TIME && mark_down(tables, id, now)
}

fn count_evidence(others: &[&Observation], own_counts: bool, own: OwnEvidence) -> u32 {
    let own = if own_counts { own.count() } else { 0 };
    let counts = others.iter().map(|seen| seen.evidence);
    counts.fold(own, u32::saturating_add)
}

/// Begins, renews or ends the suspicion of an endpoint.
fn update_suspicion(
    tables: &mut Tables,
    id: Id,
    others: &[&Observation],
    own: Option<OwnEvidence>,
    alive: Duration,
    now: Duration,
) {
    let known = tables
        .endpoints
        .get(id)
        .and_then(|row| row.suspicion.clone());
    let own_time = own.map(|_| now);
    let newest = others
        .iter()
        .map(|seen| seen.taken_at)
        .chain(own_time)
        .max();
    let oldest = others.iter().map(|seen| seen.oldest);
    let oldest = oldest.chain(own.map(|own| own.oldest)).min();
    let updated = if let (Some(newest), Some(silent_since)) = (newest, oldest) {
        Some(Suspicion {
            since: known.as_ref().map_or(now, |known| known.since),
            until: newest + SUSPICION_TIME,
            observers: observer_names(tables, others, own.is_some()),
            other_hosts: u32::try_from(others.len()).unwrap_or(u32::MAX),
            evidence: count_evidence(others, own.is_some(), own.unwrap_or_default()),
            silent_since,
        })
    } else {
        let health = tables.shared_health.get(id);
        let is_ignored = health.is_some_and(|health| health.sole_since.is_some());
        known.clone().filter(|known| {
            !is_ignored && now < known.until && known.silent_since > alive + TIME_ERROR
        })
    };
    if known.is_none()
        && let (Some(suspicion), Some(row)) = (&updated, tables.endpoints.get(id))
    {
        tables.counters.suspected_endpoints += 1;
        log::info!(
            endpoint:% = row.spec.name, zone:% = row.spec.zone,
            observers:% = suspicion.observers.join(" "), evidence = suspicion.evidence,
            oldest_ms = millis(now.saturating_sub(suspicion.silent_since));
            "endpoint_suspected"
        );
    }
    if let Some(row) = tables.endpoints.get_mut(id) {
        row.suspicion = updated;
    }
}

/// Returns the names of hosts with evidence, this one first.
fn observer_names(
    tables: &Tables,
    others: &[&Observation],
    own: bool,
) -> SmallVec<[Name; Suspicion::MAX_NAMES]> {
    let ids = own.then_some(tables.home.host).into_iter();
    let ids = ids.chain(others.iter().map(|seen| seen.host));
    let names = ids.take(Suspicion::MAX_NAMES).map(|id| {
        let host = tables.snapshot.hosts.iter().find(|host| host.id == id);
        host.map_or_else(|| format!("{id:?}").into(), |host| host.name.clone())
    });
    names.collect()
}

/// Marks an endpoint as down; returns false if it already was, with sufficient evidence.
fn mark_down(tables: &mut Tables, id: Id, now: Duration) -> bool {
    let Some(row) = tables.endpoints.get_mut(id) else {
        return false;
    };
    let (known, Some(suspicion)) = (row.down, &row.suspicion) else {
        return false;
    };
    if known.is_some_and(|down| down.confirmed) {
        return false;
    }
    row.down = Some(DownState {
        since: known.map_or(now, |down| down.since),
        whole_zone: known.is_some_and(|down| down.whole_zone),
        confirmed: true,
        from_reports: true,
    });
    tables.counters.failed_endpoints += u64::from(known.is_none());
    tables.counters.reported_endpoints += 1;
    log::warn!(
        endpoint:% = row.spec.name, zone:% = row.spec.zone, reports = true,
        stalled_flows = row.stalled_flows.len(),
        heard_ms = millis(now.saturating_sub(row.last_heard)),
        observers:% = suspicion.observers.join(" "), evidence = suspicion.evidence,
        oldest_ms = millis(now.saturating_sub(suspicion.silent_since));
        "endpoint_down"
    );
    let (silent_since, started_ms) = (suspicion.silent_since, row.spec.started_ms);
    let health = tables.shared_health.row(id, started_ms);
    health.confirmed_evidence = Some(silent_since);
    true
}

/// Marks an endpoint as up that was down by reports, since another host has had an answer.
fn mark_up(tables: &mut Tables, id: Id, now: Duration) {
    if let Some(health) = tables.shared_health.get_mut(id) {
        health.confirmed_evidence = None;
    }
    let Some(row) = tables.endpoints.get_mut(id) else {
        return;
    };
    let Some(down) = row.down.filter(|down| down.from_reports) else {
        return;
    };
    row.down = None;
    row.unanswered_since = None;
    tables.counters.recovered_endpoints += 1;
    log::info!(
        endpoint:% = row.spec.name, zone:% = row.spec.zone, reports = true,
        down_ms = millis(now.saturating_sub(down.since));
        "endpoint_up"
    );
}

/// Makes the next trial of an endpoint due that does not answer this host, but has answered
/// another one since. It stays avoided until it answers this host, whose path may be at fault.
fn hasten_trial(tables: &mut Tables, id: Id, alive_at: Duration) {
    let Some(row) = tables.endpoints.get_mut(id) else {
        return;
    };
    let since = row.down.map(|down| down.since).or(row.unanswered_since);
    let is_single = row.down.is_none_or(|down| !down.whole_zone);
    if is_single && since.is_some_and(|since| alive_at > since) {
        row.last_trial = Duration::ZERO;
    }
}

/// Resets the flows with idempotent requests that wait for endpoints that are down.
fn reset_waiting_flows(tables: &mut Tables, down_ids: &[Id], now: Duration, out: &mut Outbox) {
    let waiting: Vec<_> = tables
        .tracked_flows
        .iter()
        .filter(|flow| down_ids.contains(&flow.endpoint) && flow.state == TrackedState::Open)
        .filter(|flow| flow.unanswered_since.is_some() && is_idempotent(tables, flow))
        .map(|flow| flow.addrs)
        .collect();
    for addrs in waiting {
        if let Some(flow) = tables.tracked_flows.remove(&addrs) {
            uncount_flow(tables, &flow);
            reset_down_flow(tables, &flow, now, out);
        }
    }
}
