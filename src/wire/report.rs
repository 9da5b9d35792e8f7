//! Encoding of reports about endpoints and load.

use std::sync::Arc;
use std::time::Duration;

use prost::Message;

use crate::error::{Error, Result};
use crate::id::Id;
use crate::report::{EndpointReport, LaneReport, ServiceReport};

/// Maximum number of endpoints in an encoded report; with it, a heartbeat stays below its
/// maximum size.
pub const MAX_ENDPOINTS: usize = 24;

/// Maximum number of services in an encoded report.
pub const MAX_SERVICES: usize = 8;

#[derive(Clone, PartialEq, Message)]
pub(super) struct WireReport {
    #[prost(message, repeated, tag = "1")]
    endpoints: Vec<WireEndpoint>,
    #[prost(message, repeated, tag = "2")]
    services: Vec<WireService>,
    #[prost(uint32, tag = "3")]
    used: u32,
    #[prost(uint32, tag = "4")]
    suspected: u32,
    #[prost(bool, tag = "5")]
    impaired: bool,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct WireEndpoint {
    #[prost(fixed64, tag = "1")]
    id: u64,
    #[prost(uint64, tag = "2")]
    started_ms: u64,
    #[prost(uint32, tag = "3")]
    unanswered: u32,
    #[prost(uint32, tag = "4")]
    stalled: u32,
    #[prost(uint32, tag = "5")]
    silent_ms: u32,
    #[prost(uint32, optional, tag = "6")]
    heard_ms: Option<u32>,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct WireService {
    #[prost(fixed64, tag = "1")]
    id: u64,
    #[prost(float, tag = "2")]
    demand: f32,
    #[prost(uint32, tag = "3")]
    running: u32,
    #[prost(uint32, tag = "4")]
    waiting: u32,
}

/// Converts a report, without the rows beyond [`MAX_ENDPOINTS`] and [`MAX_SERVICES`].
pub(super) fn encode(report: &LaneReport) -> WireReport {
    let endpoints = report.endpoints.iter().take(MAX_ENDPOINTS);
    let services = report.services.iter().take(MAX_SERVICES);
    WireReport {
        endpoints: endpoints.map(encode_endpoint).collect(),
        services: services.map(encode_service).collect(),
        used: report.used_endpoints,
        suspected: report.suspected_endpoints,
        impaired: report.is_impaired,
    }
}

pub(super) fn decode(wire: &WireReport) -> Result<Arc<LaneReport>> {
    if wire.endpoints.len() > MAX_ENDPOINTS || wire.services.len() > MAX_SERVICES {
        return Err(Error::malformed("number of rows in a report"));
    }
    let services: Result<Vec<_>> = wire.services.iter().map(decode_service).collect();
    Ok(Arc::new(LaneReport {
        taken_at: Duration::ZERO,
        endpoints: wire.endpoints.iter().map(decode_endpoint).collect(),
        services: services?,
        used_endpoints: wire.used,
        suspected_endpoints: wire.suspected,
        is_impaired: wire.impaired,
    }))
}

fn encode_endpoint(row: &EndpointReport) -> WireEndpoint {
    WireEndpoint {
        id: row.endpoint.0,
        started_ms: row.started_ms,
        unanswered: row.unanswered_opens,
        stalled: row.stalled_flows,
        silent_ms: encode_millis(row.silent_for),
        heard_ms: row.heard_ago.map(encode_millis),
    }
}

fn decode_endpoint(wire: &WireEndpoint) -> EndpointReport {
    EndpointReport {
        endpoint: Id(wire.id),
        started_ms: wire.started_ms,
        unanswered_opens: wire.unanswered,
        stalled_flows: wire.stalled,
        silent_for: Duration::from_millis(wire.silent_ms.into()),
        heard_ago: wire.heard_ms.map(|ms| Duration::from_millis(ms.into())),
    }
}

#[allow(
    clippy::cast_possible_truncation,
    reason = "a moving average needs no more than the precision of f32"
)]
fn encode_service(row: &ServiceReport) -> WireService {
    WireService {
        id: row.service.0,
        demand: row.demand as f32,
        running: row.running,
        waiting: row.waiting,
    }
}

fn decode_service(wire: &WireService) -> Result<ServiceReport> {
    if !wire.demand.is_finite() || wire.demand < 0.0 {
        return Err(Error::malformed("demand in a report"));
    }
    Ok(ServiceReport {
        service: Id(wire.id),
        demand: wire.demand.into(),
        running: wire.running,
        waiting: wire.waiting,
    })
}

fn encode_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
