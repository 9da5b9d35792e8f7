//! The clock that is passed in.
//!
//! Decision code takes `now` as a [`Duration`] since the process started. Only
//! the front end reads a [`Clock`], and tests pass a hand-driven one.

use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Source of `now`, a monotonic time since the process started.
#[derive(Clone)]
pub struct Clock {
    read: Arc<dyn Fn() -> Duration + Send + Sync>,
}

impl Clock {
    /// A clock that reads through a closure.
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

    /// The machine's monotonic clock, starting at zero.
    #[must_use]
    pub fn monotonic() -> Self {
        let start = Instant::now();
        Self::new(move || start.elapsed())
    }

    /// Time since the start.
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
