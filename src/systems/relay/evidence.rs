//! Evidence of this lane that an endpoint does not answer.
//!
//! Evidence is an opening that is not answered before the caller's first copy is due, or a flow
//! with two retransmissions. An answer to anything that was sent later cancels it. A flow with
//! one retransmission is no evidence: long requests in all slots look the same.

use std::time::Duration;

use super::failure_detector;
use crate::id::Id;
use crate::tables::{
    Cleared, EndpointRow, HealthRow, StalledFlow, Tables, TrackedFlow, UnansweredOpen,
};

/// Time for which an unanswered opening counts: longer than the longest time between two trial
/// openings, so that the reports of the host that tries do not lapse in between.
pub(super) const OPEN_EVIDENCE_TIME: Duration = Duration::from_secs(5);

/// Minimum time from an opening to its copy. Callers send the first copy after 200 ms; a
/// duplicated segment arrives sooner.
const MIN_COPY_TIME: Duration = Duration::from_millis(150);

/// Retransmissions of a flow that count as evidence: the endpoint acknowledges the first one.
pub(super) const MIN_RETRANSMISSIONS: u32 = 2;

/// Time after the first transmission at which callers retransmit, which a running endpoint
/// acknowledges.
pub(super) const RETRANSMIT_TIME: Duration = Duration::from_millis(200);

/// Time after its last retransmission for which a stalled flow counts: the longest interval
/// between two retransmissions, 1.6 s, and a margin.
pub(super) const MAX_STALL_AGE: Duration = Duration::from_millis(1_800);

/// Time for which an endpoint counts as used after its last answer; a host sends one request
/// every several seconds to each endpoint.
const USE_TIME: Duration = Duration::from_secs(5);

/// Part of an endpoint's flows (one half) from which on it may hold its maximum; it then answers
/// no opening although it runs.
const FULL_DIVISOR: u32 = 2;

/// Evidence of this lane against one endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct OwnEvidence {
    /// Unanswered openings.
    pub(super) opens: u32,
    /// Flows with two retransmissions or more.
    pub(super) stalled: u32,
    /// Time at which the oldest of it was sent.
    pub(super) oldest: Duration,
}

impl OwnEvidence {
    pub(super) fn count(&self) -> u32 {
        self.opens + self.stalled
    }
}

/// Returns the evidence against an endpoint that no answer has cancelled.
pub(super) fn collect(row: &EndpointRow, health: Option<&HealthRow>, now: Duration) -> OwnEvidence {
    let mut evidence = OwnEvidence::default();
    if row.replaced {
        return evidence;
    }
    let health = health.filter(|health| health.started_ms == row.spec.started_ms);
    let elsewhere = health.map_or(Duration::ZERO, |health| health.alive_elsewhere);
    // What was sent to an earlier incarnation says nothing about this one.
    let alive = row.last_alive.max(elsewhere).max(row.up_since);
    let opens = health.iter().flat_map(|health| &health.opens);
    let open_times = opens.map(|open| open.sent_at);
    let mut oldest = Duration::MAX;
    for sent_at in open_times.filter(|sent| *sent > alive && now < *sent + OPEN_EVIDENCE_TIME) {
        evidence.opens += 1;
        oldest = oldest.min(sent_at);
    }
    for sent_at in row
        .stalled_flows
        .iter()
        .filter_map(|stall| stall_time(stall, now))
    {
        if sent_at > alive {
            evidence.stalled += 1;
            oldest = oldest.min(sent_at);
        }
    }
    if evidence.count() > 0 {
        evidence.oldest = oldest;
    }
    evidence
}

/// Returns true if a stalled flow counts as evidence.
pub(super) fn has_stalls(row: &EndpointRow) -> bool {
    let mut stalls = row.stalled_flows.iter();
    stalls.any(|stall| stall.retransmissions >= MIN_RETRANSMISSIONS)
}

/// Returns the numbers of endpoints that this lane uses, and of those that it suspects.
pub(super) fn count_endpoints(tables: &Tables, now: Duration) -> (u32, u32) {
    let (mut used, mut suspected) = (0, 0);
    for row in tables.endpoints.iter() {
        let health = tables.shared_health.get(row.spec.id);
        let is_suspected =
            (health.is_some() || has_stalls(row)) && collect(row, health, now).count() > 0;
        let answered = !row.last_heard.is_zero() && now < row.last_heard + USE_TIME;
        used += u32::from(is_suspected || answered || row.flow_count > 0);
        suspected += u32::from(is_suspected);
    }
    (used, suspected)
}

/// Records that the opening of a flow was not answered before a copy of it was due.
pub(super) fn note_open(tables: &mut Tables, flow: &TrackedFlow, now: Duration) {
    let sent_at = flow.last_advance;
    if now < sent_at + MIN_COPY_TIME || failure_detector::has_just_resumed(tables, now) {
        return;
    }
    let Some(row) = tables.endpoints.get(flow.endpoint) else {
        return;
    };
    let hosts = tables.snapshot.expected_hosts;
    let may_be_full =
        row.flow_count.saturating_mul(hosts) >= row.spec.max_conns.div_ceil(FULL_DIVISOR);
    if sent_at <= row.last_alive.max(row.up_since)
        || row.draining_since.is_some()
        || row.replaced
        || may_be_full
    {
        return;
    }
    let open = UnansweredOpen {
        addrs: flow.addrs,
        sent_at,
    };
    let started_ms = row.spec.started_ms;
    tables
        .shared_health
        .note_open(flow.endpoint, started_ms, open);
}

/// Records an answer, which shows that the endpoint was running at the time `alive_at`.
///
/// It ends a suspicion whose evidence is older, and other hosts are told so.
pub(super) fn note_answer(tables: &mut Tables, id: Id, alive_at: Duration, now: Duration) {
    let Some(row) = tables.endpoints.get_mut(id) else {
        return;
    };
    if alive_at <= row.last_alive {
        return;
    }
    let health = tables.shared_health.get(id);
    if health.is_none() && row.suspicion.is_none() && !has_stalls(row) {
        row.last_alive = alive_at;
        return;
    }
    let own = collect(row, health, now);
    tables.shared_health.request_check();
    row.last_alive = alive_at;
    let suspected_since = row
        .suspicion
        .as_ref()
        .map(|suspicion| suspicion.silent_since);
    if suspected_since.is_some_and(|since| since < alive_at) {
        row.suspicion = None;
    }
    let health = tables.shared_health.row(id, row.spec.started_ms);
    health.opens.retain(|open| open.sent_at > alive_at);
    let own_since = (own.count() > 0).then_some(own.oldest);
    let times = [own_since, suspected_since, health.confirmed_evidence];
    let oldest = times.into_iter().flatten().min();
    let is_told = |since| health.cleared.is_some_and(|known| known.heard_at >= since);
    if oldest.is_some_and(|since| since < alive_at && !is_told(since)) {
        health.cleared = Some(Cleared {
            at: now,
            heard_at: alive_at,
        });
    }
}

/// Returns the time of a stalled flow's oldest transmission that a running endpoint would have
/// answered: its first retransmission.
fn stall_time(stall: &StalledFlow, now: Duration) -> Option<Duration> {
    let counts = stall.retransmissions >= MIN_RETRANSMISSIONS
        && now < stall.last_retransmission + MAX_STALL_AGE;
    counts.then_some(stall.first_sent + RETRANSMIT_TIME)
}
