//! Recent answers and retransmissions of a lane, over all endpoints.

use std::time::Duration;

use serde::Serialize;

/// Time constant of the exponential decay: slightly longer than the time until a caller's
/// second retransmission.
const DECAY_TIME: Duration = Duration::from_millis(600);

/// Numbers of recent answers and retransmissions, with exponential decay.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct RecentCounts {
    answers: f64,
    #[serde(rename = "repeats")]
    retransmissions: f64,
    #[serde(rename = "faded")]
    last_decay: Duration,
}

impl RecentCounts {
    /// Counts an answer of an endpoint.
    pub fn note_answer(&mut self, now: Duration) {
        self.decay(now);
        self.answers += 1.0;
    }

    /// Counts a caller's retransmission of data or of an opening segment.
    pub fn note_retransmission(&mut self, now: Duration) {
        self.decay(now);
        self.retransmissions += 1.0;
    }

    /// True if this lane sees more retransmissions than answers: its own link or processor
    /// is then the likely cause, and missing answers say nothing about the endpoints.
    pub fn retransmissions_exceed_answers(&mut self, now: Duration) -> bool {
        self.decay(now);
        self.retransmissions > self.answers
    }

    fn decay(&mut self, now: Duration) {
        let age = now.saturating_sub(self.last_decay).as_secs_f64();
        let factor = (-age / DECAY_TIME.as_secs_f64()).exp();
        self.answers *= factor;
        self.retransmissions *= factor;
        self.last_decay = now;
    }
}
