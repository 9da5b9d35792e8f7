//! Notices that the process was paused.
//!
//! Packets read after a pause may have waited through all of it. A packet arrived
//! after the socket was last read dry, so the time since then bounds how long it
//! has waited, and is taken off the time that its request has left.

use std::time::Duration;

use super::TICK_INTERVAL;
use crate::tables::Tables;

/// Shortest gap between ticks that counts as a pause.
const MIN_PAUSE: Duration = Duration::from_millis(250);

/// Starts a tick; returns the time of the one before.
pub(super) fn run(tables: &mut Tables, now: Duration) -> Duration {
    detect(tables, now);
    let waited = now.saturating_sub(tables.last_drained);
    tables.max_wait = if waited < MIN_PAUSE {
        Duration::ZERO
    } else {
        waited
    };
    std::mem::replace(&mut tables.last_tick, now)
}

/// Notes a pause, so that no timer counts the time in which nothing was read.
pub(super) fn detect(tables: &mut Tables, now: Duration) {
    if now >= tables.last_tick + TICK_INTERVAL + MIN_PAUSE && tables.last_resume < now {
        tables.counters.pauses += u64::from(tables.last_resume <= tables.last_tick);
        tables.last_resume = now;
    }
}
