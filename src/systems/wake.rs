//! Notices that the process was paused.
//!
//! Packets read after a pause may have waited through all of it. The pause is
//! taken off the time they have left until the socket has been read dry.

use std::time::Duration;

use super::{BATCH, TICK};
use crate::tables::Tables;

/// Shortest gap between ticks that counts as a pause.
const PAUSE: Duration = Duration::from_millis(250);

pub(super) fn run(tables: &mut Tables, now: Duration) {
    let gap = now.saturating_sub(tables.ticked + TICK);
    if gap >= PAUSE {
        tables.counters.pauses += 1;
        tables.slept = tables.slept.max(gap);
    }
    tables.ticked = now;
}

/// Forgets the pause once the socket has been read dry.
pub(super) fn settle(tables: &mut Tables) {
    if tables.inbox.len() < BATCH {
        tables.slept = Duration::ZERO;
    }
}
