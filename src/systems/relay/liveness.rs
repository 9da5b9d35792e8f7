//! What a caller's segments tell of its endpoint.
//!
//! Progress is an acknowledgement that moves, or the first segment after the
//! handshake. Repeats of data without progress tell of an endpoint that does not
//! answer, of a lost packet or of slow work: an endpoint acknowledges every second
//! packet, so that one repeat is normal while a request is at work for long. Only
//! several flows of an endpoint that stall together show that it is down.

use std::time::Duration;

use super::{failure_detector, forget, load, may_repeat, millis, timeouts, unload};
use crate::segment::{Mark, Segment, is_after};
use crate::tables::{EndpointRow, Stall, Tables, Track, TrackState, observe};

/// Shortest time after which data that comes again is a repeat. Callers repeat
/// after 200 ms; packets of one burst that overtake each other come much sooner.
const MIN_RETRANSMIT_INTERVAL: Duration = Duration::from_millis(150);

/// Segments that a caller sends ahead of acknowledgements.
const MAX_UNANSWERED_SEGMENTS: u32 = 16;

/// Time for which the silence that a flow has found counts against others: a flow
/// that comes later is passed on, so that an endpoint which answers again is seen.
const SUSPICION_PERIOD: Duration = Duration::from_secs(2);

/// Most flows noted against an endpoint.
const MAX_STALLS: usize = 16;

/// What a segment tells of its endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Finding {
    /// Nothing against it.
    Alive,
    /// It is down, and the flow waits for it.
    Dead,
}

pub(super) fn note(
    tables: &mut Tables,
    track: &mut Track,
    segment: &Segment,
    now: Duration,
) -> Finding {
    track.heard = now;
    if is_progress(track, segment) {
        progress(tables, track, segment, now);
    }
    if segment.len > 0 && track.state != TrackState::Closing {
        if is_after(segment.end(), track.sent) {
            send(tables, track, segment, now);
        } else if is_repeat(track, now) {
            repeat(tables, track, now);
        }
    }
    if segment.mark == Mark::Fin && track.state != TrackState::Closing {
        forget(tables, track);
        track.state = TrackState::Closing;
        track.asked = None;
        track.loaded = false;
    }
    let row = tables.endpoints.get(track.endpoint);
    if row.is_some_and(|row| is_hopeless(row, track, now)) && may_repeat(tables, track) {
        Finding::Dead
    } else {
        Finding::Alive
    }
}

/// True when a flow waits for an endpoint that is down.
fn is_hopeless(row: &EndpointRow, track: &Track, now: Duration) -> bool {
    let doubted = now < row.doubted + SUSPICION_PERIOD;
    row.down.is_some() && track.asked.is_some() && (track.repeats > 0 || doubted)
}

fn is_progress(track: &Track, segment: &Segment) -> bool {
    track.state == TrackState::Opening || is_after(segment.ack, track.acked)
}

fn progress(tables: &mut Tables, track: &mut Track, segment: &Segment, now: Duration) {
    if track.state == TrackState::Opening {
        track.state = TrackState::Open;
        observe(&tables.timings.open, now.saturating_sub(track.since));
        track.sent = segment.seq;
    } else if let Some(asked) = track.asked.take() {
        let time = now.saturating_sub(asked);
        observe(&tables.timings.answer, time);
        tables.endpoints.note_time(track.endpoint, time, now);
        if let Some(row) = tables.endpoints.get_mut(track.endpoint) {
            row.note_answer(time);
        }
        unload(tables, track);
    }
    track.acked = segment.ack;
    track.flight = 0;
    track.repeats = 0;
    hear(tables, track, now);
}

/// Notes that the endpoint of a flow answers.
fn hear(tables: &mut Tables, track: &Track, now: Duration) {
    tables.recent.note_answer(now);
    let Some(row) = tables.endpoints.get_mut(track.endpoint) else {
        return;
    };
    row.note_heard(now);
    row.asked = None;
    row.stalls.clear();
    if let Some(down) = row.down.take() {
        let zone = down.zone.then(|| row.spec.zone.clone());
        tables.counters.ups += 1;
        log::info!(
            endpoint:% = row.spec.name, zone:% = row.spec.zone,
            down_ms = millis(now.saturating_sub(down.since));
            "endpoint_up"
        );
        if let Some(zone) = zone {
            failure_detector::clear(tables, &zone, now);
        }
    }
}

fn send(tables: &mut Tables, track: &mut Track, segment: &Segment, now: Duration) {
    track.sent = segment.end();
    track.moved = now;
    track.flight += 1;
    if track.flight > MAX_UNANSWERED_SEGMENTS {
        // The caller sends further only when earlier data was acknowledged.
        track.flight = 1;
        track.repeats = 0;
        hear(tables, track, now);
    }
    if track.asked.is_none() {
        track.asked = Some(now);
        track.flight = 1;
        track.repeats = 0;
        if let Some(row) = tables.endpoints.get(track.endpoint) {
            let due = timeouts::unloading(row, now);
            tables.tracks.check(track.ends, due);
        }
    }
    load(tables, track, now);
}

fn is_repeat(track: &Track, now: Duration) -> bool {
    let last = track.moved.max(track.repeated);
    track.asked.is_some() && now >= last + MIN_RETRANSMIT_INTERVAL
}

fn repeat(tables: &mut Tables, track: &mut Track, now: Duration) {
    track.repeats += 1;
    track.repeated = now;
    tables.counters.data_repeats += 1;
    tables.recent.note_repeat(now);
    let stall = Stall {
        ends: track.ends,
        repeats: track.repeats,
        since: track.moved,
        latest: now,
    };
    let Some(row) = tables.endpoints.get_mut(track.endpoint) else {
        return;
    };
    row.doubted = now;
    row.stalls.retain(|known| known.ends != stall.ends);
    if row.stalls.len() < MAX_STALLS {
        row.stalls.push(stall);
    }
}
