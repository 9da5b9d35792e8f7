//! Timeouts of requests whose answer this host cannot observe.
//!
//! A caller does not acknowledge a single-packet answer at once, but it retransmits a
//! request that was not answered. A request that is not retransmitted in time counts
//! as answered.

use std::time::Duration;

use super::{remove_load, uncount_flow};
use crate::tables::{EndpointRow, Tables, TrackedFlow, TrackedState};

/// Time after which a request without a retransmission counts as answered. Callers
/// retransmit after 200 ms, and a busy host may read the retransmission late.
const ASSUMED_DONE_AFTER: Duration = Duration::from_millis(300);

/// Time after which a caller abandons a flow that does not open.
const MAX_OPENING_TIME: Duration = Duration::from_millis(1_400);

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
    for ends in tables.tracked_flows.take_due(now) {
        let Some(mut track) = tables.tracked_flows.get(&ends).cloned() else {
            continue;
        };
        match track.state {
            TrackedState::Opening => expire_opening(tables, &track, now),
            _ if track.retransmissions == 0 => {
                expire_request(tables, &mut track, now);
                tables.tracked_flows.insert(track);
            }
            _ => {}
        }
    }
}

/// Stops counting a request as load when its load time is over, and as in progress
/// when it counts as answered.
fn expire_request(tables: &mut Tables, track: &mut TrackedFlow, now: Duration) {
    let Some(sent_at) = track.unanswered_since else {
        remove_load(tables, track);
        return;
    };
    let done_at = sent_at + ASSUMED_DONE_AFTER;
    let row = tables.endpoints.get(track.endpoint);
    if row.is_none_or(|row| load_expiry(row, sent_at) <= now) {
        remove_load(tables, track);
    }
    if done_at <= now {
        track.unanswered_since = None;
    } else {
        tables.tracked_flows.schedule_check(track.addrs, done_at);
    }
}

/// Removes a flow whose opening its caller has abandoned, or schedules the next check.
fn expire_opening(tables: &mut Tables, track: &TrackedFlow, now: Duration) {
    let deadline = track.first_seen + MAX_OPENING_TIME;
    if now >= deadline {
        uncount_flow(tables, track);
        tables.tracked_flows.remove(&track.addrs);
    } else {
        tables.tracked_flows.schedule_check(track.addrs, deadline);
    }
}
