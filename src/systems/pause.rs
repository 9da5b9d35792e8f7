//! Detects that the process was paused.
//!
//! A packet that is read after a pause may have waited in the socket for all of it. It
//! arrived after the socket was last empty, so the time since then is the longest that it
//! can have waited. That time is subtracted from the time left of its request.

use std::time::Duration;

use super::TICK_INTERVAL;
use crate::tables::Tables;

/// Shortest delay that counts as a pause.
const MIN_PAUSE: Duration = Duration::from_millis(250);

/// Starts a tick and returns the time of the previous one.
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

/// Records the end of a pause, so that timers do not count the time in which nothing was
/// read.
pub(super) fn detect(tables: &mut Tables, now: Duration) {
    let is_started = !tables.last_tick.is_zero();
    if is_started && now >= tables.last_tick + TICK_INTERVAL + MIN_PAUSE && tables.last_resume < now
    {
        tables.counters.process_pauses += u64::from(tables.last_resume <= tables.last_tick);
        tables.last_resume = now;
    }
}
