//! Passive health detection from the segments of callers.
//!
//! A flow makes progress when its acknowledgement number advances, or with the first
//! segment after the handshake. Data retransmitted without progress can mean that the
//! endpoint is down, that a packet was lost or that the request takes long. Endpoints
//! acknowledge every second packet, so one retransmission is normal during a long
//! request. An endpoint counts as down only when several of its flows stall together.

use std::time::Duration;

use super::{
    add_load, evidence, failure_detector, is_idempotent, outliers, remove_load, silent_zone,
    timeouts, uncount_flow, zone_evidence,
};
use crate::clock::millis;
use crate::segment::{Segment, SegmentKind, is_seq_after};
use crate::tables::{StalledFlow, Tables, TrackedFlow, TrackedState, observe};

/// Minimum time after the previous transmission for old data to count as a
/// retransmission. Callers retransmit after 200 ms; reordered packets of one burst
/// arrive much sooner.
const MIN_RETRANSMIT_INTERVAL: Duration = Duration::from_millis(150);

/// Number of segments that a caller sends before it waits for an acknowledgement.
const MAX_UNANSWERED_SEGMENTS: u32 = 16;

/// Time after a retransmission during which other waiting flows of an endpoint that is
/// confirmed to be down are reset without a retransmission of their own. Later flows are forwarded, so that the
/// lane notices when the endpoint answers again.
const SUSPICION_PERIOD: Duration = Duration::from_secs(2);

/// Time after which a caller first retransmits data.
const INITIAL_RETRANSMIT_TIMEOUT: Duration = Duration::from_millis(200);

/// Time after its last retransmission at which a stalled flow is no longer recorded: callers
/// retransmit at least every 1.6 s.
const STALL_RETENTION: Duration = Duration::from_secs(2);

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
pub(super) fn update_flow(
    tables: &mut Tables,
    flow: &mut TrackedFlow,
    segment: &Segment,
    now: Duration,
) -> Liveness {
    flow.last_heard = now;
    if is_progress(flow, segment) {
        record_progress(tables, flow, segment, now);
    }
    if segment.len > 0 && flow.state != TrackedState::Closing {
        if is_seq_after(segment.end_seq(), flow.next_seq) {
            record_new_data(tables, flow, segment, now);
        } else if is_retransmission(flow, now) {
            record_retransmission(tables, flow, now);
        }
    }
    if segment.kind == SegmentKind::Fin && flow.state != TrackedState::Closing {
        uncount_flow(tables, flow);
        flow.state = TrackedState::Closing;
        flow.unanswered_since = None;
        flow.counts_load = false;
        outliers::note_close(tables, flow, segment.ack, now);
    }
    if awaits_down_endpoint(tables, flow, now)
        && is_idempotent(tables, flow)
        && !failure_detector::has_just_resumed(tables, now)
    {
        Liveness::Down
    } else {
        Liveness::Alive
    }
}

/// Returns true when a flow waits for an answer from an endpoint that is down.
fn awaits_down_endpoint(tables: &Tables, flow: &TrackedFlow, now: Duration) -> bool {
    let Some(row) = tables.endpoints.get(flow.endpoint) else {
        return false;
    };
    let health = tables.shared_health.get(flow.endpoint);
    let suspected = now < row.last_suspected + SUSPICION_PERIOD;
    let is_confirmed = row.down.is_some_and(|down| down.confirmed);
    let reported = row.down.is_some_and(|down| down.from_reports);
    let waits = flow.unanswered_since.is_some();
    (waits && is_confirmed && (suspected || reported))
        || failure_detector::may_reset(row, health, flow, now)
}

/// Returns true when a segment shows that the endpoint has answered the flow.
fn is_progress(flow: &TrackedFlow, segment: &Segment) -> bool {
    flow.state == TrackedState::Opening || is_seq_after(segment.ack, flow.acked_seq)
}

/// Records an answer: opens the flow, or ends its pending request.
fn record_progress(tables: &mut Tables, flow: &mut TrackedFlow, segment: &Segment, now: Duration) {
    // An acknowledgement without data is sent at once. With data, or as the flow is closed, it
    // may be for an answer that came long ago, but after the data that it answers was sent.
    let is_prompt = flow.state == TrackedState::Opening
        || (segment.kind == SegmentKind::Data && segment.len == 0);
    let alive_at = if is_prompt { now } else { flow.last_advance };
    outliers::note_answer(tables, flow, now);
    if flow.state == TrackedState::Opening {
        flow.state = TrackedState::Open;
        let open_time = now.saturating_sub(flow.first_seen);
        observe(&tables.histograms.open_time, open_time);
        if let Some(row) = tables.endpoints.get(flow.endpoint)
            && flow.tried_endpoints.is_empty()
        {
            tables
                .zone_spill
                .note_open_time(&row.spec.zone, open_time, now);
        }
        flow.next_seq = segment.seq;
    } else if let Some(sent_at) = flow.unanswered_since.take() {
        let answer_time = now.saturating_sub(sent_at);
        observe(&tables.histograms.answer_time, answer_time);
        tables
            .endpoints
            .add_slot_time(flow.endpoint, answer_time, now);
        if let Some(row) = tables.endpoints.get_mut(flow.endpoint) {
            row.note_answer_time(answer_time);
            let (service, zone) = (row.service, row.spec.zone.clone());
            tables
                .zone_spill
                .note_answer_time(service, &zone, answer_time, now);
        }
        remove_load(tables, flow);
    }
    flow.acked_seq = segment.ack;
    flow.assumed_request = None;
    flow.unanswered_segments = 0;
    flow.retransmissions = 0;
    mark_answering(tables, flow, alive_at, now);
}

/// Records that the flow's endpoint answers, and clears its down state.
///
/// The answer shows that the endpoint was running at the time `alive_at` or later. If that is
/// before the evidence of several hosts that it or its zone is down, it stays down.
fn mark_answering(tables: &mut Tables, flow: &TrackedFlow, alive_at: Duration, now: Duration) {
    tables.recent_counts.note_answer(now);
    let health = tables.shared_health.get(flow.endpoint);
    let down_evidence = health.and_then(|health| health.confirmed_evidence);
    let silent_since = silent_zone::silent_since(tables, flow.endpoint);
    let down_evidence = down_evidence.max(silent_since);
    evidence::note_answer(tables, flow.endpoint, alive_at, now);
    if down_evidence.is_some_and(|since| alive_at <= since) {
        return;
    }
    let Some(row) = tables.endpoints.get_mut(flow.endpoint) else {
        return;
    };
    row.note_response(now);
    row.unanswered_since = None;
    if alive_at == now {
        row.stalled_flows.clear();
    } else {
        // The failure detector ignores flows that stalled before this answer, but they may be
        // evidence for other hosts.
        row.stalled_flows
            .retain(|stall| stall.first_sent + INITIAL_RETRANSMIT_TIMEOUT > alive_at);
    }
    if let Some(down) = row.down.take() {
        let zone = down.whole_zone.then(|| row.spec.zone.clone());
        tables.counters.recovered_endpoints += 1;
        log::info!(
            endpoint:% = row.spec.name, zone:% = row.spec.zone,
            down_ms = millis(now.saturating_sub(down.since));
            "endpoint_up"
        );
        match zone {
            Some(zone) if silent_since.is_some() => {
                zone_evidence::release_zone(tables, &zone, now);
            }
            Some(zone) => zone_evidence::mark_zone_up(tables, &zone, now),
            None => {}
        }
    }
}

/// Records data sent for the first time, and starts a request when none is pending.
fn record_new_data(tables: &mut Tables, flow: &mut TrackedFlow, segment: &Segment, now: Duration) {
    flow.next_seq = segment.end_seq();
    flow.last_advance = now;
    flow.unanswered_segments += 1;
    if flow.unanswered_segments > MAX_UNANSWERED_SEGMENTS {
        // The caller sends more only after earlier data was acknowledged.
        flow.unanswered_segments = 1;
        flow.retransmissions = 0;
        mark_answering(tables, flow, now, now);
    }
    if flow.unanswered_since.is_none() {
        flow.unanswered_since = Some(now);
        flow.unanswered_segments = 1;
        flow.retransmissions = 0;
        outliers::watch_request(flow, now);
        if let Some(row) = tables.endpoints.get(flow.endpoint) {
            let due = timeouts::load_expiry(row, now);
            tables.tracked_flows.schedule_check(flow.addrs, due);
        }
    } else {
        outliers::note_new_data(flow, now);
    }
    add_load(tables, flow, now);
}

/// Returns true when old data counts as a retransmission and not as reordered.
fn is_retransmission(flow: &TrackedFlow, now: Duration) -> bool {
    let last_sent = flow.last_advance.max(flow.last_retransmission);
    flow.unanswered_since.is_some() && now >= last_sent + MIN_RETRANSMIT_INTERVAL
}

/// Records a retransmission, and the flow as stalled at its endpoint.
fn record_retransmission(tables: &mut Tables, flow: &mut TrackedFlow, now: Duration) {
    flow.retransmissions += 1;
    flow.last_retransmission = now;
    tables.counters.data_retransmissions += 1;
    tables.recent_counts.note_retransmission(now);
    outliers::note_retransmission(tables, flow, now);
    let stall = StalledFlow {
        addrs: flow.addrs,
        retransmissions: flow.retransmissions,
        first_sent: flow.last_advance,
        last_retransmission: now,
    };
    let Some(row) = tables.endpoints.get_mut(flow.endpoint) else {
        return;
    };
    row.last_suspected = now;
    row.stalled_flows.retain(|known| {
        known.addrs != stall.addrs && now < known.last_retransmission + STALL_RETENTION
    });
    if row.stalled_flows.len() < MAX_STALLED_FLOWS {
        row.stalled_flows.push(stall);
    }
    tables.shared_health.request_check();
}
