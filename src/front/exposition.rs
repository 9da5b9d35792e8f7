//! Metrics in the Prometheus text format.
//!
//! The counters of the lanes are added up; those of the control thread have the prefix
//! `control_`. The values are copies that are at most one second old, so that a busy
//! lane does not delay a reader. docs/OPERATIONS.md explains each counter.

use std::fmt;

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric, text};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::registry::Registry;
use serde_json::{Map, Value};

use crate::tables::LatencyHistograms;

/// Prefix of all metric names.
const METRIC_PREFIX: &str = "jacinthhinge";

/// Metrics of one process.
#[derive(Debug, Default)]
pub struct Exposition {
    /// Numbers of events since the start, by name.
    pub counters: Map<String, Value>,
    /// Current values, by name.
    pub gauges: Vec<(&'static str, f64)>,
    /// Current values of each rank, by name.
    pub rank_gauges: Vec<(&'static str, Vec<(u32, f64)>)>,
    /// Latency histograms and address of each lane.
    pub histograms: Vec<(String, LatencyHistograms)>,
}

impl Exposition {
    /// Renders all metrics as text.
    ///
    /// # Errors
    ///
    /// Returns an error when the text cannot be formatted.
    pub fn render(self) -> Result<String, fmt::Error> {
        let mut registry = Registry::with_prefix(METRIC_PREFIX);
        for (lane, histograms) in &self.histograms {
            let label = ("lane".into(), lane.clone().into());
            let lane = registry.sub_registry_with_label(label);
            let help = "Time from the opening segment of a flow to its acknowledgement";
            lane.register("open_seconds", help, histograms.open_time.clone());
            let help = "Time from a request to the first acknowledgement of its answer";
            lane.register("answer_seconds", help, histograms.answer_time.clone());
            let help = "Time from a request to the reset of its flow";
            lane.register("reset_seconds", help, histograms.reset_time.clone());
        }
        let collector = MetricsCollector {
            counters: self.counters,
            gauges: self.gauges,
            rank_gauges: self.rank_gauges,
        };
        registry.register_collector(Box::new(collector));
        let mut out = String::new();
        text::encode(&mut out, &registry)?;
        Ok(out)
    }
}

#[derive(Debug)]
struct MetricsCollector {
    counters: Map<String, Value>,
    gauges: Vec<(&'static str, f64)>,
    rank_gauges: Vec<(&'static str, Vec<(u32, f64)>)>,
}

impl Collector for MetricsCollector {
    fn encode(&self, mut encoder: DescriptorEncoder) -> Result<(), fmt::Error> {
        for (name, total) in &self.counters {
            let name = name.replace('.', "_");
            let total = total.as_u64().unwrap_or(0);
            let help = "Number of events since the start";
            let counter = ConstCounter::new(total);
            counter.encode(encoder.encode_descriptor(
                &name,
                help,
                None,
                counter.metric_type(),
            )?)?;
        }
        for (name, value) in &self.gauges {
            encoder
                .encode_descriptor(name, "Current value on this host", None, MetricType::Gauge)?
                .encode_gauge(value)?;
        }
        for (name, values) in &self.rank_gauges {
            let help = "Current value on this host by rank";
            let mut family = encoder.encode_descriptor(name, help, None, MetricType::Gauge)?;
            for (rank, value) in values {
                family
                    .encode_family(&[("rank", *rank)])?
                    .encode_gauge(value)?;
            }
        }
        Ok(())
    }
}
