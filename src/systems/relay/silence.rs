//! Requests whose answer cannot be seen.
//!
//! A caller does not acknowledge an answer of one packet at once, but it repeats a
//! request that was not answered. A request that is not repeated in time is done.

use std::time::Duration;

use super::{forget, unload};
use crate::tables::{Tables, Track, TrackState};

/// Time after which a request without a repeat is done: callers repeat after
/// 200 ms, and a busy host reads late.
const DONE_AFTER: Duration = Duration::from_millis(300);

/// Time after which a caller gives up a flow that does not open.
const OPEN_LIMIT: Duration = Duration::from_millis(1_400);

pub(super) fn run(tables: &mut Tables, now: Duration) {
    let limit = now.saturating_sub(DONE_AFTER);
    for ends in tables.tracks.overdue(limit) {
        let Some(mut track) = tables.tracks.get(&ends).cloned() else {
            continue;
        };
        if track.state == TrackState::Opening {
            wait(tables, &track, now);
            continue;
        }
        let due = track.asked.is_none_or(|asked| asked <= limit);
        if !due || track.repeats > 0 {
            continue;
        }
        track.asked = None;
        unload(tables, &mut track);
        tables.tracks.insert(track);
    }
}

/// Forgets a flow that its caller has given up, and looks at others again later.
fn wait(tables: &mut Tables, track: &Track, now: Duration) {
    if now >= track.since + OPEN_LIMIT {
        forget(tables, track);
        tables.tracks.remove(&track.ends);
    } else {
        tables.tracks.ask(track.ends, now);
    }
}
