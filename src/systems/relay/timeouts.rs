//! Timeouts of requests whose answer this host cannot observe.
//!
//! A caller does not acknowledge a single-packet answer at once, but it retransmits a
//! request that was not answered. A request that is not retransmitted in time counts
//! as answered. One that has been retransmitted counts as in progress until its caller has
//! been silent for longer than it would be between two retransmissions: the caller has
//! ended without a packet, or the flow passes through another host now.

use std::time::Duration;

use super::{evidence, outliers, remove_load, uncount_flow};
use crate::tables::{EndpointRow, Tables, TrackedFlow, TrackedState};

/// Time after which a request without a retransmission counts as answered. Callers
/// retransmit after 200 ms, and a busy host may read the retransmission late.
const ASSUMED_DONE_AFTER: Duration = Duration::from_millis(300);

/// Time without a segment after which a retransmitted request counts as abandoned: the longest
/// interval between a caller's retransmissions, 1.6 s, and 300 ms for a busy host.
const ABANDONED_AFTER: Duration = Duration::from_millis(1_900);

/// Time after which a caller abandons a flow that does not open.
const MAX_OPENING_TIME: Duration = Duration::from_millis(1_400);

/// Time after which an opening without any later segment of its caller counts as unanswered.
/// Callers send a copy after 200 ms, which may reach another host; a busy host may read an
/// answer's acknowledgement late.
const MAX_OPEN_ANSWER_TIME: Duration = Duration::from_millis(300);

/// Multiple of an endpoint's mean answer time for which a request counts as load.
const LOAD_TIME_FACTOR: f64 = 3.0;

/// Minimum time for which a request counts as load.
const MIN_LOAD_TIME: Duration = Duration::from_millis(50);

/// Returns the time at which a request sent to an endpoint at `now` stops counting as
/// load, unless progress of its flow shows earlier that it was answered.
pub(super) fn load_expiry(row: &EndpointRow, now: Duration) -> Duration {
    if row.answer_time == 0.0 {
        return now + ASSUMED_DONE_AFTER;
    }
    let span = Duration::from_secs_f64(row.answer_time * LOAD_TIME_FACTOR);
    now + span.clamp(MIN_LOAD_TIME, ASSUMED_DONE_AFTER)
}

/// Checks the flows whose timeouts are due.
pub(super) fn run(tables: &mut Tables, now: Duration) {
    for addrs in tables.tracked_flows.take_due(now) {
        let Some(mut flow) = tables.tracked_flows.get(&addrs).cloned() else {
            continue;
        };
        match flow.state {
            TrackedState::Opening => expire_opening(tables, &flow, now),
            _ if flow.retransmissions == 0 => {
                expire_request(tables, &mut flow, now);
                tables.tracked_flows.insert(flow);
            }
            _ => {
                // Another check is due at the time from which the request counts as abandoned.
                if !outliers::check_request(tables, &mut flow, now) {
                    expire_retransmitted(tables, &mut flow, now);
                }
                tables.tracked_flows.insert(flow);
            }
        }
    }
}

/// Stops counting the requests from before a pause of this process, if one has just ended.
///
/// Routers have moved their flows to other hosts meanwhile, so this host would not see that they
/// are answered. Their copies, read together after the pause, would look like retransmissions.
pub(super) fn forget_before_pause(tables: &mut Tables, now: Duration) {
    if tables.last_resume != now || now.is_zero() {
        return;
    }
    let pending = tables.tracked_flows.iter();
    let pending: Vec<TrackedFlow> = pending
        .filter(|flow| flow.state != TrackedState::Opening && flow.unanswered_since.is_some())
        .cloned()
        .collect();
    for mut flow in pending {
        remove_load(tables, &mut flow);
        flow.unanswered_since = None;
        flow.retransmissions = 0;
        flow.watched = None;
        flow.assumed_request = None;
        tables.tracked_flows.insert(flow);
    }
}

/// Stops counting a request as load when its load time is over, and as in progress
/// when it counts as answered.
fn expire_request(tables: &mut Tables, flow: &mut TrackedFlow, now: Duration) {
    let Some(sent_at) = flow.unanswered_since else {
        remove_load(tables, flow);
        return;
    };
    let done_at = sent_at + ASSUMED_DONE_AFTER;
    let row = tables.endpoints.get(flow.endpoint);
    if row.is_none_or(|row| load_expiry(row, sent_at) <= now) {
        remove_load(tables, flow);
    }
    if done_at <= now {
        outliers::assume_answer(tables, flow, now);
        flow.unanswered_since = None;
    } else {
        tables.tracked_flows.schedule_check(flow.addrs, done_at);
    }
}

/// Stops counting a retransmitted request as load and as in progress when its caller has
/// abandoned it, or schedules the next check.
fn expire_retransmitted(tables: &mut Tables, flow: &mut TrackedFlow, now: Duration) {
    if flow.unanswered_since.is_none() {
        remove_load(tables, flow);
        return;
    }
    let abandoned_at = flow.last_heard + ABANDONED_AFTER;
    if abandoned_at <= now {
        remove_load(tables, flow);
        flow.unanswered_since = None;
    } else {
        tables
            .tracked_flows
            .schedule_check(flow.addrs, abandoned_at);
    }
}

/// Removes a flow whose opening its caller has abandoned, or schedules the next check.
fn expire_opening(tables: &mut Tables, flow: &TrackedFlow, now: Duration) {
    let deadline = flow.first_seen + MAX_OPENING_TIME;
    if now >= deadline {
        uncount_flow(tables, flow);
        tables.tracked_flows.remove(&flow.addrs);
        return;
    }
    let unanswered_at = flow.last_advance + MAX_OPEN_ANSWER_TIME;
    if now >= unanswered_at {
        evidence::note_open(tables, flow, now);
        tables.tracked_flows.schedule_check(flow.addrs, deadline);
    } else {
        let due = unanswered_at.min(deadline);
        tables.tracked_flows.schedule_check(flow.addrs, due);
    }
}
