//! An injectable monotonic clock.
//!
//! Decision code takes `now` as a [`Duration`] since the process started. Only
//! the front end reads a [`Clock`]; tests advance time by hand. The time while the host is
//! suspended counts: leases expire in it, and what is known of others grows old.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Source of monotonic time, measured from the start of the process.
#[derive(Clone)]
pub struct Clock {
    read: Arc<dyn Fn() -> Duration + Send + Sync>,
}

impl Clock {
    /// Creates a clock that reads the time from a closure.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use jacinthhinge::prelude::*;
    /// let clock = Clock::new(|| Duration::from_secs(3));
    /// assert_eq!(clock.now(), Duration::from_secs(3));
    /// ```
    pub fn new(read: impl Fn() -> Duration + Send + Sync + 'static) -> Self {
        Self {
            read: Arc::new(read),
        }
    }

    /// Creates a clock that counts from zero with the operating system's monotonic clock,
    /// the time of a suspension included.
    #[must_use]
    pub fn monotonic() -> Self {
        let start = time_since_boot();
        Self::new(move || time_since_boot().saturating_sub(start))
    }

    /// Returns the time since the start.
    #[must_use]
    pub fn now(&self) -> Duration {
        (self.read)()
    }
}

impl fmt::Debug for Clock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Clock({:?})", self.now())
    }
}

/// Returns the time since the operating system started, suspensions included.
fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    // Both parts of this clock are never negative.
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}

/// Converts a duration to whole milliseconds, for log fields.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
