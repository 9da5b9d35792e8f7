//! An injectable monotonic clock.
//!
//! Decision code takes `now` as a [`Duration`] since the process started. Only
//! the front end reads a [`Clock`]; tests advance time by hand.

use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

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

    /// Creates a clock that counts from zero with the operating system's monotonic clock.
    #[must_use]
    pub fn monotonic() -> Self {
        let start = Instant::now();
        Self::new(move || start.elapsed())
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

/// Converts a duration to whole milliseconds, for log fields.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
