//! Latency histograms of a lane, in seconds.

use std::time::Duration;

use prometheus_client::metrics::histogram::Histogram;

/// Upper bounds of the buckets in seconds: callers retransmit after 0.2, 0.6 and 1.4
/// seconds, and the target latencies of the routes lie between 0.1 and 1.2 seconds.
const BUCKET_BOUNDS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.45, 0.65, 1.0, 1.5, 3.0,
];

/// Latency histograms of a lane, in seconds.
#[derive(Clone, Debug)]
pub struct LatencyHistograms {
    /// Time from the opening segment to the caller's acknowledgement of the endpoint.
    pub open_time: Histogram,
    /// Time from a request to the first acknowledgement of its answer.
    pub answer_time: Histogram,
    /// Time from a request to the reset of its flow.
    pub reset_time: Histogram,
}

impl Default for LatencyHistograms {
    fn default() -> Self {
        Self {
            open_time: Histogram::new(BUCKET_BOUNDS),
            answer_time: Histogram::new(BUCKET_BOUNDS),
            reset_time: Histogram::new(BUCKET_BOUNDS),
        }
    }
}

/// Records a duration in a histogram, in seconds.
pub fn observe(histogram: &Histogram, time: Duration) {
    histogram.observe(time.as_secs_f64());
}
