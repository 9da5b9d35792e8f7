//! Decoder for the desired state that operators set.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use serde::Deserialize;
use serde_with::{DurationMilliSeconds, serde_as};
use smallvec::SmallVec;

use super::decoding_error;
use crate::error::{Error, Result};
use crate::id::{Id, Name};
use crate::segment::{RequestKind, Route};
use crate::snapshot::{Service, WarmupLimit};

/// Key of the desired state in the store.
pub(super) const KEY: &str = "op/config";

/// Multiple of the target latency after which callers of a route without a time-out give up.
const DEFAULT_TIMEOUT_FACTOR: u32 = 4;

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireDesired {
    version: u64,
    routes: Vec<WireRoute>,
    services: Vec<WireService>,
    limits: WireLimits,
}

#[serde_as]
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireRoute {
    name: Name,
    /// Virtual IP address of the route, not a host of this load balancer.
    host: IpAddr,
    /// Port, enclosed in slashes.
    prefix: String,
    r#type: WireRequestKind,
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    target_latency_ms: Duration,
    /// Zero counts as absent.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default)]
    timeout_ms: Option<Duration>,
    priority: u32,
    service: Option<Name>,
    /// Services with their weights; replaces `service` unless empty.
    #[serde(default)]
    backends: Vec<WireBackend>,
    /// Regions whose endpoints its flows may reach; all if absent, null or empty.
    #[serde(default)]
    allowed_regions: Option<SmallVec<[Name; 2]>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireBackend {
    service: Name,
    weight: u32,
}

#[derive(Clone, Copy, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
enum WireRequestKind {
    Safe,
    Download,
    #[serde(other)]
    Once,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireService {
    name: Name,
    max_conns: u32,
    /// Requests a second that an endpoint bears while it warms up; zero for no limit.
    warmup_per_s: Option<f64>,
}

#[serde_as]
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireLimits {
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    idle_timeout_ms: Duration,
}

/// Routes and limits set by operators.
#[derive(Debug, Default, PartialEq)]
pub(super) struct DesiredState {
    pub(super) version: u64,
    pub(super) routes: HashMap<SocketAddr, Route>,
    /// Maximum number of flows per endpoint, by service.
    pub(super) max_conns: HashMap<Name, u32>,
    /// Requests a second that an endpoint bears while it warms up, by service with a limit.
    pub(super) warmup_rates: HashMap<Name, f64>,
    pub(super) idle_timeout: Duration,
}

impl DesiredState {
    /// Returns a service without endpoints; one that is not listed has no limits of its own.
    pub(super) fn service(&self, name: &str) -> Service {
        let mut service = Service::new(name);
        service.retired = !self.max_conns.contains_key(name);
        service.idle_limit = self.idle_timeout;
        let rate = self.warmup_rates.get(name);
        service.warmup_limit = rate.map(|rate| WarmupLimit::exact(*rate));
        service
    }
}

/// Decodes a desired state from JSON.
pub(super) fn decode(json: &str) -> Result<DesiredState> {
    let wire: WireDesired =
        serde_json::from_str(json).map_err(|err| decoding_error("desired state", &err))?;
    let routes = wire
        .routes
        .iter()
        .map(decode_route)
        .collect::<Result<_>>()?;
    let services = wire.services.iter();
    let warmup_rates = services
        .filter_map(|row| {
            Some((
                row.name.clone(),
                row.warmup_per_s.filter(|rate| *rate > 0.0)?,
            ))
        })
        .collect();
    let services = wire.services.into_iter();
    Ok(DesiredState {
        version: wire.version,
        routes,
        max_conns: services.map(|row| (row.name, row.max_conns)).collect(),
        warmup_rates,
        idle_timeout: wire.limits.idle_timeout_ms,
    })
}

fn decode_route(wire: &WireRoute) -> Result<(SocketAddr, Route)> {
    let port = wire.prefix.trim_matches('/').parse().map_err(|_| {
        let fault = format!(
            "route {}: prefix {} is not a port number",
            wire.name, wire.prefix
        );
        Error::platform(fault)
    })?;
    let mut targets: SmallVec<[(Id, u32); 2]> = wire
        .backends
        .iter()
        .map(|row| (Id::of(&row.service), row.weight))
        .collect();
    if let Some(service) = wire.service.as_ref().filter(|_| targets.is_empty()) {
        targets.push((Id::of(service), 1));
    }
    let route = Route {
        name: wire.name.clone(),
        targets,
        kind: match wire.r#type {
            WireRequestKind::Safe | WireRequestKind::Download => RequestKind::Idempotent,
            WireRequestKind::Once => RequestKind::Once,
        },
        target_latency: wire.target_latency_ms,
        timeout: wire
            .timeout_ms
            .filter(|time| !time.is_zero())
            .unwrap_or(wire.target_latency_ms * DEFAULT_TIMEOUT_FACTOR),
        shed_rank: wire.priority,
        allowed_regions: wire.allowed_regions.clone().unwrap_or_default(),
    };
    Ok((SocketAddr::new(wire.host, port), route))
}
