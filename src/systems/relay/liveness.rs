//! Passive health detection from the segments of callers.
//!
//! A flow makes progress when its acknowledgement number advances, or with the first
//! segment after the handshake. Data retransmitted without progress can mean that the
//! endpoint is down, that a packet was lost or that the request takes long. Endpoints
//! acknowledge every second packet, so one retransmission is normal during a long
//! request. An endpoint counts as down only when several of its flows stall together.

use std::time::Duration;

use super::{add_load, failure_detector, may_repeat, millis, remove_load, timeouts, uncount_flow};
use crate::segment::{Segment, SegmentKind, is_seq_after};
use crate::tables::{EndpointRow, StalledFlow, Tables, TrackedFlow, TrackedState, observe};

/// Minimum time after the previous transmission for old data to count as a
/// retransmission. Callers retransmit after 200 ms; reordered packets of one burst
/// arrive much sooner.
const MIN_RETRANSMIT_INTERVAL: Duration = Duration::from_millis(150);

/// Number of segments that a caller sends before it waits for an acknowledgement.
const MAX_UNANSWERED_SEGMENTS: u32 = 16;

/// Time after a retransmission during which other waiting flows of a down endpoint are
/// reset without a retransmission of their own. Later flows are forwarded, so that the
/// lane notices when the endpoint answers again.
const SUSPICION_PERIOD: Duration = Duration::from_secs(2);

/// Maximum number of stalled flows recorded per endpoint.
const MAX_STALLED_FLOWS: usize = 16;

/// State of a flow's endpoint after a segment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Liveness {
    /// The endpoint may answer, so the segment is forwarded.
    Alive,
    /// The endpoint is down and the flow waits for it, so the flow is reset.
    Down,
}

/// Updates the tracked flow with a segment and returns the state of its endpoint.
pub(super) fn update_track(
    tables: &mut Tables,
    track: &mut TrackedFlow,
    segment: &Segment,
    now: Duration,
) -> Liveness {
    track.last_heard = now;
    if is_progress(track, segment) {
        record_progress(tables, track, segment, now);
    }
    if segment.len > 0 && track.state != TrackedState::Closing {
        if is_seq_after(segment.end_seq(), track.next_seq) {
            record_new_data(tables, track, segment, now);
        } else if is_retransmission(track, now) {
            record_retransmission(tables, track, now);
        }
    }
    if segment.kind == SegmentKind::Fin && track.state != TrackedState::Closing {
        uncount_flow(tables, track);
        track.state = TrackedState::Closing;
        track.unanswered_since = None;
        track.counts_load = false;
    }
    let row = tables.endpoints.get(track.endpoint);
    if row.is_some_and(|row| awaits_down_endpoint(row, track, now)) && may_repeat(tables, track) {
        Liveness::Down
    } else {
        Liveness::Alive
    }
}

/// Returns true when a flow waits for an answer from an endpoint that is down.
fn awaits_down_endpoint(row: &EndpointRow, track: &TrackedFlow, now: Duration) -> bool {
    let suspected = now < row.last_suspected + SUSPICION_PERIOD;
    row.down.is_some()
        && track.unanswered_since.is_some()
        && (track.retransmissions > 0 || suspected)
}

/// Returns true when a segment shows that the endpoint has answered the flow.
fn is_progress(track: &TrackedFlow, segment: &Segment) -> bool {
    track.state == TrackedState::Opening || is_seq_after(segment.ack, track.acked_seq)
}

/// Records an answer: opens the flow, or ends its pending request.
fn record_progress(tables: &mut Tables, track: &mut TrackedFlow, segment: &Segment, now: Duration) {
    if track.state == TrackedState::Opening {
        track.state = TrackedState::Open;
        observe(
            &tables.histograms.open_time,
            now.saturating_sub(track.first_seen),
        );
        track.next_seq = segment.seq;
    } else if let Some(sent_at) = track.unanswered_since.take() {
        let answer_time = now.saturating_sub(sent_at);
        observe(&tables.histograms.answer_time, answer_time);
        tables
            .endpoints
            .add_slot_time(track.endpoint, answer_time, now);
        if let Some(row) = tables.endpoints.get_mut(track.endpoint) {
            row.note_answer_time(answer_time);
        }
        remove_load(tables, track);
    }
    track.acked_seq = segment.ack;
    track.unanswered_segments = 0;
    track.retransmissions = 0;
    mark_answering(tables, track, now);
}

/// Records that the flow's endpoint answers, and clears its down state.
fn mark_answering(tables: &mut Tables, track: &TrackedFlow, now: Duration) {
    tables.recent_counts.note_answer(now);
    let Some(row) = tables.endpoints.get_mut(track.endpoint) else {
        return;
    };
    row.note_response(now);
    row.unanswered_since = None;
    row.stalled_flows.clear();
    if let Some(down) = row.down.take() {
        let zone = down.whole_zone.then(|| row.spec.zone.clone());
        tables.counters.recovered_endpoints += 1;
        log::info!(
            endpoint:% = row.spec.name, zone:% = row.spec.zone,
            down_ms = millis(now.saturating_sub(down.since));
            "endpoint_up"
        );
        if let Some(zone) = zone {
            failure_detector::mark_zone_up(tables, &zone, now);
        }
    }
}

/// Records data sent for the first time, and starts a request when none is pending.
fn record_new_data(tables: &mut Tables, track: &mut TrackedFlow, segment: &Segment, now: Duration) {
    track.next_seq = segment.end_seq();
    track.last_advance = now;
    track.unanswered_segments += 1;
    if track.unanswered_segments > MAX_UNANSWERED_SEGMENTS {
        // The caller sends more only after earlier data was acknowledged.
        track.unanswered_segments = 1;
        track.retransmissions = 0;
        mark_answering(tables, track, now);
    }
    if track.unanswered_since.is_none() {
        track.unanswered_since = Some(now);
        track.unanswered_segments = 1;
        track.retransmissions = 0;
        if let Some(row) = tables.endpoints.get(track.endpoint) {
            let due = timeouts::load_expiry(row, now);
            tables.tracked_flows.schedule_check(track.addrs, due);
        }
    }
    add_load(tables, track, now);
}

/// Returns true when old data counts as a retransmission and not as reordered.
fn is_retransmission(track: &TrackedFlow, now: Duration) -> bool {
    let last_sent = track.last_advance.max(track.last_retransmission);
    track.unanswered_since.is_some() && now >= last_sent + MIN_RETRANSMIT_INTERVAL
}

/// Records a retransmission, and the flow as stalled at its endpoint.
fn record_retransmission(tables: &mut Tables, track: &mut TrackedFlow, now: Duration) {
    track.retransmissions += 1;
    track.last_retransmission = now;
    tables.counters.data_retransmissions += 1;
    tables.recent_counts.note_repeat(now);
    let stall = StalledFlow {
        addrs: track.addrs,
        retransmissions: track.retransmissions,
        first_sent: track.last_advance,
        last_retransmission: now,
    };
    let Some(row) = tables.endpoints.get_mut(track.endpoint) else {
        return;
    };
    row.last_suspected = now;
    row.stalled_flows.retain(|known| known.addrs != stall.addrs);
    if row.stalled_flows.len() < MAX_STALLED_FLOWS {
        row.stalled_flows.push(stall);
    }
}
