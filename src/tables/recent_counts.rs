//! How this lane has fared of late, over all endpoints.

use std::time::Duration;

use serde::Serialize;

/// Time over which events fade: a little more than a caller's second repeat takes.
const DECAY_TIME: Duration = Duration::from_millis(600);

/// Answers and repeats of late, fading.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct RecentCounts {
    answers: f64,
    repeats: f64,
    #[serde(rename = "faded")]
    last_decay: Duration,
}

impl RecentCounts {
    /// Notes that an endpoint has answered a flow.
    pub fn note_answer(&mut self, now: Duration) {
        self.fade(now);
        self.answers += 1.0;
    }

    /// Notes that a caller has repeated data, or an opening segment.
    pub fn note_repeat(&mut self, now: Duration) {
        self.fade(now);
        self.repeats += 1.0;
    }

    /// True when this lane hears more repeats than answers: its own link or processor
    /// is the likely cause, and silence tells nothing of endpoints.
    pub fn is_congested(&mut self, now: Duration) -> bool {
        self.fade(now);
        self.repeats > self.answers
    }

    fn fade(&mut self, now: Duration) {
        let age = now.saturating_sub(self.last_decay).as_secs_f64();
        let kept = (-age / DECAY_TIME.as_secs_f64()).exp();
        self.answers *= kept;
        self.repeats *= kept;
        self.last_decay = now;
    }
}
