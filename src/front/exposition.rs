//! Metrics as text, in the usual exposition format.
//!
//! Counters of the lanes are summed, those of the control thread begin with
//! `control_`. They are copies from at most a second ago, so that a busy lane does
//! not delay a reader. docs/OPERATIONS.md says what each counts.

use std::fmt;

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric, text};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::registry::Registry;
use serde_json::{Map, Value};

use crate::tables::LatencyHistograms;

/// Prefix of every name.
const PREFIX: &str = "jacinthhinge";

/// What a process exposes.
#[derive(Debug, Default)]
pub struct Exposition {
    /// Events since the start, by name.
    pub counters: Map<String, Value>,
    /// What is believed and held now, by name.
    pub gauges: Vec<(&'static str, f64)>,
    /// Histograms of each lane, by its address.
    pub histograms: Vec<(String, LatencyHistograms)>,
}

impl Exposition {
    /// Renders all metrics.
    ///
    /// # Errors
    ///
    /// Fails when the text cannot be formatted.
    pub fn render(self) -> Result<String, fmt::Error> {
        let mut registry = Registry::with_prefix(PREFIX);
        for (lane, histograms) in &self.histograms {
            let label = ("lane".into(), lane.clone().into());
            let lane = registry.sub_registry_with_label(label);
            let help = "From the opening segment of a flow to its acknowledgement";
            lane.register("open_seconds", help, histograms.open_time.clone());
            let help = "From a request to the first acknowledgement of its answer";
            lane.register("answer_seconds", help, histograms.answer_time.clone());
            let help = "From a request to the reset of its flow";
            lane.register("reset_seconds", help, histograms.reset_time.clone());
        }
        let totals = Totals {
            counters: self.counters,
            gauges: self.gauges,
        };
        registry.register_collector(Box::new(totals));
        let mut out = String::new();
        text::encode(&mut out, &registry)?;
        Ok(out)
    }
}

#[derive(Debug)]
struct Totals {
    counters: Map<String, Value>,
    gauges: Vec<(&'static str, f64)>,
}

impl Collector for Totals {
    fn encode(&self, mut encoder: DescriptorEncoder) -> Result<(), fmt::Error> {
        for (name, total) in &self.counters {
            let name = name.replace('.', "_");
            let total = total.as_u64().unwrap_or(0);
            let help = "Events since the start";
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
                .encode_descriptor(name, "As believed now", None, MetricType::Gauge)?
                .encode_gauge(value)?;
        }
        Ok(())
    }
}
