//! Failure detector for endpoints and zones.
//!
//! A flow is stalled when its caller has retransmitted data at least once and the endpoint
//! has not answered. One stalled flow proves little: its packets may be lost or its request
//! may take long. Several stalled flows, each with two retransmissions, at an endpoint that
//! answers no other flow show that the endpoint is down or unreachable. Endpoints of a zone
//! that go silent together are judged in [`zone_evidence`]. When all or most endpoints are
//! silent, the cause is this host, and no endpoint is marked down.
//!
//! An endpoint that is down gets no new flows except trials. Its waiting flows are reset
//! after one retransmission if the evidence is strong ([`DownState::confirmed`]). Otherwise
//! the endpoint may be alive with long requests, and a flow is reset only after
//! [`MIN_ENDPOINT_RETRANSMISSIONS`] of its own and with further evidence against its endpoint.
//! Alone they show no more than that one acknowledgement was lost.
//!
//! After a pause of this process, what it reads first waited for it and not for the endpoints.
//! Nothing is marked down and no flow is reset until new observations have replaced the old ones.
//!
//! Each lane, a traffic thread with its own tables, detects failures from the flows that
//! pass through it.

use std::time::Duration;

use smallvec::SmallVec;

use super::capacity_share::lacks_capacity;
use super::{evidence, is_idempotent, reset_down_flow, uncount_flow, zone_evidence};
use crate::clock::millis;
use crate::id::Id;
use crate::tables::{DownState, EndpointRow, HealthRow, Outbox, Tables, TrackedFlow};

/// Retransmissions of a stalled flow after which it counts towards its endpoint being down.
/// A long request causes only one, because the endpoint acknowledges the first
/// retransmission.
const MIN_ENDPOINT_RETRANSMISSIONS: u32 = 2;

/// Minimum number of flows with [`MIN_ENDPOINT_RETRANSMISSIONS`] at an endpoint that is down.
const MIN_ENDPOINT_FLOWS: usize = 2;

/// Minimum number of pieces of evidence against an endpoint that is down with its zone and not
/// confirmed, for which its flows are reset. A waiting flow is one itself.
const MIN_OWN_EVIDENCE: u32 = 2;

/// Time after which a caller first retransmits data.
const INITIAL_RETRANSMIT_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum time since its last retransmission for which a stalled flow counts, a little
/// more than from a caller's second retransmission to its third. A flow without recent
/// retransmissions is routed through another host, or its caller has given up.
const MAX_STALL_AGE: Duration = Duration::from_secs(1);

/// Time after a large configuration change was read during which detection is paused.
const SNAPSHOT_GRACE: Duration = Duration::from_secs(2);

/// Time after a pause of this process during which detection is paused: callers retransmit what
/// waited, and endpoints answer it, well within it.
const RESUME_GRACE: Duration = Duration::from_secs(2);

/// Minimum number of endpoints with stalled flows in the own zone for which this host itself
/// counts as impaired.
const MIN_LOCAL_ENDPOINTS: usize = 3;

/// Minimum share of endpoints with stalled flows among the own zone's endpoints with flows,
/// in that case.
const MIN_LOCAL_SHARE: f64 = 0.35;

/// Maximum time since the last answer of another endpoint. Without one, the silence may
/// be caused by this host.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(300);

/// Marks endpoints and zones as down, and resets the flows that wait for them.
pub(super) fn run(tables: &mut Tables, now: Duration, out: &mut Outbox) {
    let any_stalled = tables
        .endpoints
        .iter()
        .any(|row| !row.stalled_flows.is_empty());
    if !any_stalled || is_host_impaired(tables, now) {
        return;
    }
    let mut down_ids = zone_evidence::detect_down_zones(tables, now);
    down_ids.extend(detect_down_endpoints(tables, now));
    if !down_ids.is_empty() {
        reset_waiting_flows(tables, &down_ids, now, out);
    }
}

/// Returns true shortly after a pause of this process.
pub(super) fn has_just_resumed(tables: &Tables, now: Duration) -> bool {
    !tables.last_resume.is_zero() && now < tables.last_resume + RESUME_GRACE
}

/// Returns true shortly after a pause of this process or a large configuration change.
pub(super) fn is_in_grace(tables: &Tables, now: Duration) -> bool {
    let in_grace = |read_at| now < read_at + SNAPSHOT_GRACE;
    tables.snapshot.large_update.is_some_and(in_grace) || has_just_resumed(tables, now)
}

/// Returns true when this host's own link or processor is the likely cause of silence.
pub(super) fn is_host_impaired(tables: &mut Tables, now: Duration) -> bool {
    is_in_grace(tables, now)
        || tables.recent_counts.retransmissions_exceed_answers(now)
        || is_local_zone_stalled(tables, now)
}

/// Returns true when many endpoints of the own zone have stalled flows, although the network
/// path to them is the shortest.
fn is_local_zone_stalled(tables: &Tables, now: Duration) -> bool {
    let rows = tables.endpoints.iter();
    let local =
        rows.filter(|row| row.spec.local && row.flow_count > 0 && row.draining_since.is_none());
    let (total, stalled) = local.fold((0, 0), |(total, stalled), row| {
        (
            total + 1,
            stalled + usize::from(count_stalled(row, 1, now) > 0),
        )
    });
    stalled >= MIN_LOCAL_ENDPOINTS && ratio(stalled, total) >= MIN_LOCAL_SHARE
}

/// Marks single endpoints as down and returns them, except those of services that lack capacity:
/// with full queues they answer late although they are alive.
fn detect_down_endpoints(tables: &mut Tables, now: Duration) -> Vec<Id> {
    let answers = last_two_answering(tables);
    let services = tables.snapshot.services.keys().copied();
    let short: SmallVec<[Id; 4]> = services
        .filter(|service| lacks_capacity(tables, *service, now))
        .collect();
    let mut down_ids = Vec::new();
    for row in tables.endpoints.iter_mut() {
        if short.contains(&row.service) {
            continue;
        }
        let others = answers.iter().filter(|(id, _)| *id != row.spec.id);
        let others_answer = others
            .map(|(_, time)| *time)
            .any(|time| answered_recently(time, now));
        let is_confirmed = row.down.is_some_and(|down| down.confirmed);
        if is_confirmed || !others_answer || !has_enough_stalled_flows(row, now) {
            continue;
        }
        row.down = Some(DownState {
            since: row.down.map_or(now, |down| down.since),
            // An answer of another endpoint of its zone does not refute this evidence.
            whole_zone: false,
            confirmed: true,
            from_reports: false,
        });
        tables.counters.failed_endpoints += 1;
        down_ids.push(row.spec.id);
        log::warn!(
            endpoint:% = row.spec.name, zone:% = row.spec.zone, stalled_flows = row.stalled_flows.len(),
            heard_ms = millis(now.saturating_sub(row.last_heard));
            "endpoint_down"
        );
    }
    down_ids
}

/// Returns the two endpoints with the most recent answers, and the times of these.
fn last_two_answering(tables: &Tables) -> Vec<(Id, Duration)> {
    let mut answers: Vec<_> = tables
        .endpoints
        .iter()
        .map(|row| (row.spec.id, row.last_heard))
        .collect();
    answers.sort_unstable_by_key(|(_, time)| std::cmp::Reverse(*time));
    answers.truncate(2);
    answers
}

pub(super) fn ratio(part: usize, whole: usize) -> f64 {
    let count = |number| f64::from(u32::try_from(number).unwrap_or(u32::MAX));
    count(part) / count(whole.max(1))
}

/// Returns true for an answer within [`MAX_ANSWER_AGE`]; zero means no answer so far.
pub(super) fn answered_recently(last_answer: Duration, now: Duration) -> bool {
    !last_answer.is_zero() && now < last_answer + MAX_ANSWER_AGE
}

/// Returns true when the stalled flows show that the endpoint is down.
///
/// Flows with one retransmission prove nothing: long requests in all slots with others
/// queued behind them look the same.
fn has_enough_stalled_flows(row: &EndpointRow, now: Duration) -> bool {
    count_stalled(row, MIN_ENDPOINT_RETRANSMISSIONS, now) >= MIN_ENDPOINT_FLOWS
}

/// Counts the stalled flows with at least `min_retransmissions`, the last within
/// [`MAX_STALL_AGE`].
///
/// A flow does not count if the endpoint has answered any flow after the first
/// retransmission of this one was due. An earlier answer does not exclude the flow, since
/// the endpoint may have failed after it.
pub(super) fn count_stalled(row: &EndpointRow, min_retransmissions: u32, now: Duration) -> usize {
    let stalls = row.stalled_flows.iter();
    stalls
        .filter(|stall| {
            stall.retransmissions >= min_retransmissions
                && now < stall.last_retransmission + MAX_STALL_AGE
        })
        .filter(|stall| stall.first_sent + INITIAL_RETRANSMIT_TIMEOUT >= row.last_heard)
        .count()
}

/// Returns true when a flow that waits for this endpoint may be reset: the endpoint is down,
/// and the flow has been retransmitted as often as the strength of that evidence requires.
pub(super) fn may_reset(
    row: &EndpointRow,
    health: Option<&HealthRow>,
    flow: &TrackedFlow,
    now: Duration,
) -> bool {
    let Some(down) = row.down.filter(|_| flow.unanswered_since.is_some()) else {
        return false;
    };
    if down.confirmed {
        return flow.retransmissions >= 1;
    }
    flow.retransmissions >= MIN_ENDPOINT_RETRANSMISSIONS
        && evidence::collect(row, health, now).count() >= MIN_OWN_EVIDENCE
}

/// Resets the flows that wait for down endpoints, so that their callers have time left
/// to retry idempotent requests.
pub(super) fn reset_waiting_flows(
    tables: &mut Tables,
    down_ids: &[Id],
    now: Duration,
    out: &mut Outbox,
) {
    let waiting: Vec<_> = tables
        .tracked_flows
        .iter()
        .filter(|flow| down_ids.contains(&flow.endpoint))
        .filter(|flow| {
            let row = tables.endpoints.get(flow.endpoint);
            let health = tables.shared_health.get(flow.endpoint);
            row.is_some_and(|row| may_reset(row, health, flow, now))
        })
        .filter(|flow| now < flow.last_retransmission + MAX_STALL_AGE)
        .filter(|flow| is_idempotent(tables, flow))
        .map(|flow| flow.addrs)
        .collect();
    for addrs in waiting {
        if let Some(flow) = tables.tracked_flows.remove(&addrs) {
            uncount_flow(tables, &flow);
            reset_down_flow(tables, &flow, now, out);
        }
    }
}
