//! Passes the segments of established flows on.

use std::time::Duration;

use super::liveness::{self, Finding};
use super::{admit, end, forget, forward, reset, reset_track};
use crate::segment::{Mark, Segment};
use crate::tables::{Holder, Outbox, Tables, Track, TrackState};

pub(super) fn run(tables: &mut Tables, segment: &Segment, now: Duration, out: &mut Outbox) {
    if !tables.snapshot.routes.contains_key(&segment.ends.front) {
        tables.counters.route_resets += 1;
        end(tables, segment);
        if segment.mark != Mark::Reset {
            reset(segment, "route_removed", out);
        }
        return;
    }
    let Some(holder) = find(tables, segment) else {
        tables.counters.unknown_cookies += 1;
        log::warn!(
            caller:% = segment.ends.caller, front:% = segment.ends.front, cookie = segment.cookie,
            revision = tables.snapshot.revision;
            "cookie_unknown"
        );
        return;
    };
    if segment.mark == Mark::Reset {
        end(tables, segment);
        forward(segment, &holder, None, out);
        return;
    }
    if holder.gone.is_some() && segment.len > 0 {
        tables.counters.gone_resets += 1;
        end(tables, segment);
        reset(segment, "endpoint_gone", out);
        return;
    }
    let mut track = adopt(tables, segment, &holder, now);
    match liveness::note(tables, &mut track, segment, now) {
        Finding::Dead => {
            tables.tracks.remove(&segment.ends);
            forget(tables, &track);
            track.acked = segment.ack;
            reset_track(tables, &track, now, out);
        }
        Finding::Alive => {
            tables.tracks.insert(track);
            forward(segment, &holder, None, out);
        }
    }
}

/// Endpoint of a segment: the one that this lane has seen the flow open at, or
/// else the one that the cookie names.
fn find(tables: &mut Tables, segment: &Segment) -> Option<Holder> {
    let named = tables.cookies.find(segment.cookie).cloned();
    let Some(track) = tables.tracks.get(&segment.ends) else {
        return named;
    };
    let opened = track.state != TrackState::Opening;
    let moved = named.as_ref().is_none_or(|row| row.id != track.endpoint);
    if opened && moved {
        tables.counters.cookie_moves += 1;
        let cookie = crate::tables::cookie_of(track.endpoint);
        return tables.cookies.find(cookie).cloned().or(named);
    }
    named
}

/// Row of a segment's flow, at the endpoint that holds it.
fn adopt(tables: &mut Tables, segment: &Segment, holder: &Holder, now: Duration) -> Track {
    let Some(mut track) = tables.tracks.get(&segment.ends).cloned() else {
        admit(tables, holder.id);
        return Track::new(segment, holder.id, now);
    };
    if track.endpoint != holder.id {
        forget(tables, &track);
        track.loaded = false;
        track.endpoint = holder.id;
        admit(tables, holder.id);
    }
    track
}
