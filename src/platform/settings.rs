//! Settings file that the platform writes for each process.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use serde_with::{DurationSeconds, serde_as};

use crate::error::{Error, Result};
use crate::id::Name;

/// Name of the environment variable that holds the path of the settings file.
pub const PATH_VARIABLE: &str = "JACINTHHINGE_CONFIG";

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireSettings {
    node_name: Name,
    ip: IpAddr,
    zone: Name,
    region: Name,
    listen: WireListen,
    /// First and last port for messages between hosts.
    internal_ports: (u16, u16),
    /// Addresses of hosts to contact at startup; only their IP addresses are used.
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    bounds: WireBounds,
    #[serde(rename = "platform")]
    store: WireStore,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireListen {
    datagram_addr: SocketAddr,
    ready_addr: SocketAddr,
}

#[serde_as]
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireBounds {
    #[serde_as(as = "DurationSeconds<f64>")]
    grace_s: Duration,
    warmup_excess: Option<f64>,
    warmup_slack: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireStore {
    address: SocketAddr,
}

/// Settings of this host, as written by the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSettings {
    /// Name of this host.
    pub name: Name,
    /// Availability zone of this host.
    pub zone: Name,
    /// Region of the zone.
    pub region: Name,
    /// Address to which routers send the packets of callers.
    pub datagram_addr: SocketAddr,
    /// Address of the readiness probe.
    pub ready_addr: SocketAddr,
    /// Address for messages between hosts.
    pub peer_addr: SocketAddr,
    /// Addresses of other hosts to contact at startup.
    pub seeds: Vec<SocketAddr>,
    /// Address of the store.
    pub store_addr: SocketAddr,
    /// Time between the request to stop and the forced termination.
    pub grace_period: Duration,
    /// Multiple of a warm-up limit that is tolerated.
    pub warmup_excess: f64,
    /// Flows a second that are tolerated beyond that.
    pub warmup_slack: f64,
}

/// Reads the settings file.
///
/// # Errors
///
/// Returns an error when the file cannot be read or parsed.
pub fn read(path: &Path) -> Result<HostSettings> {
    let text = std::fs::read_to_string(path).map_err(|source| {
        let fault = format!("cannot read {}: {source}", path.display());
        Error::setting(
            PATH_VARIABLE,
            fault,
            "set it to the path of the file that the platform writes",
        )
    })?;
    parse(&text)
}

/// Parses the text of a settings file.
///
/// # Errors
///
/// Returns an error when a field is missing or has an invalid value.
pub fn parse(text: &str) -> Result<HostSettings> {
    let wire: WireSettings = serde_json::from_str(text).map_err(|err| {
        let fault = format!("cannot parse the settings file: {err}");
        Error::setting(
            PATH_VARIABLE,
            fault,
            "let the platform write the file again",
        )
    })?;
    let (first_port, _) = wire.internal_ports;
    let peer_addr = SocketAddr::new(wire.ip, first_port);
    let seeds = wire.seeds.iter();
    let seeds = seeds.map(|seed| SocketAddr::new(seed.ip(), first_port));
    Ok(HostSettings {
        name: wire.node_name,
        zone: wire.zone,
        region: wire.region,
        datagram_addr: wire.listen.datagram_addr,
        ready_addr: wire.listen.ready_addr,
        peer_addr,
        seeds: seeds.filter(|seed| *seed != peer_addr).collect(),
        store_addr: wire.store.address,
        grace_period: wire.bounds.grace_s,
        warmup_excess: wire.bounds.warmup_excess.unwrap_or(1.0),
        warmup_slack: wire.bounds.warmup_slack.unwrap_or(0.0),
    })
}
