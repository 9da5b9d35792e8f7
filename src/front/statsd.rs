//! Reports metrics to a statsd server.
//!
//! Each counter is sent as its increase since the last report, as `jacinthhinge.NAME` for
//! the lanes and `jacinthhinge.control.NAME` for the control thread. The number of open
//! flows is sent as a gauge.

use std::net::{SocketAddr, UdpSocket};

use cadence::{Counted, Gauged, NopMetricSink, StatsdClient, UdpMetricSink};
use serde_json::Value;

use crate::error::{Error, Result};

const METRIC_PREFIX: &str = "jacinthhinge";

/// Sends counters and gauges to a statsd server.
#[derive(Debug)]
pub struct StatsdReporter {
    client: StatsdClient,
    last_counters: Value,
}

impl StatsdReporter {
    /// Creates a reporter that sends to `addr`, or discards all metrics without an address.
    ///
    /// # Errors
    ///
    /// Returns an error when no socket can be bound.
    pub fn new(addr: Option<SocketAddr>) -> Result<Self> {
        let client = match addr {
            None => StatsdClient::from_sink(METRIC_PREFIX, NopMetricSink),
            Some(addr) => {
                let socket = UdpSocket::bind(("0.0.0.0", 0))
                    .map_err(|e| Error::io("bind the statsd socket", e))?;
                let sink = UdpMetricSink::from(addr, socket).map_err(|e| {
                    Error::setting("--statsd", e.to_string(), "use the form IP:PORT")
                })?;
                StatsdClient::from_sink(METRIC_PREFIX, sink)
            }
        };
        Ok(Self {
            client,
            last_counters: Value::Null,
        })
    }

    /// Reports the increase of each of `counters`, a flat JSON object of totals since the
    /// start.
    pub fn report_counters(&mut self, counters: Value) {
        if let Some(totals) = counters.as_object() {
            for (name, total) in totals {
                let previous = self
                    .last_counters
                    .get(name)
                    .and_then(Value::as_u64)
                    .unwrap_or(0);
                let total = total.as_u64().unwrap_or(0);
                let increase = i64::try_from(total.saturating_sub(previous)).unwrap_or(i64::MAX);
                if increase > 0 {
                    let _ = self.client.count(name, increase);
                }
            }
        }
        self.last_counters = counters;
    }

    /// Reports the current value of a gauge.
    pub fn report_gauge(&self, name: &str, value: usize) {
        let value = u64::try_from(value).unwrap_or(u64::MAX);
        let _ = self.client.gauge(name, value);
    }
}
