//! Settings file that the platform writes for each process, and what its changes mean for a
//! running host.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use serde_with::{DurationSeconds, serde_as};
use smallvec::SmallVec;

use crate::error::{Error, Result};
use crate::id::Name;

/// Name of the environment variable that holds the path of the settings file.
pub const PATH_VARIABLE: &str = "JACINTHHINGE_CONFIG";

const ZONES: &str = "Zones";
const WARMUP_EXCESS: &str = "Bounds.WarmupExcess";
const WARMUP_SLACK: &str = "Bounds.WarmupSlack";

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireSettings {
    node_name: Name,
    ip: IpAddr,
    zone: Name,
    region: Name,
    /// Region of each zone, by the names of the zones.
    #[serde(default)]
    zones: Option<BTreeMap<Name, Name>>,
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
    /// Region of each zone that the platform names.
    pub zone_regions: BTreeMap<Name, Name>,
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

/// Names of the fields that differ in a changed settings file, as they stand in it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SettingsChange {
    /// Fields whose new values are in force.
    pub applied: SmallVec<[&'static str; 4]>,
    /// Fields whose old values stay in force until the host is restarted.
    pub need_restart: SmallVec<[&'static str; 4]>,
}

/// Settings of a running host, whose file may change.
#[derive(Clone, Debug)]
pub struct ReloadedSettings {
    /// Settings in force.
    pub in_force: HostSettings,
    /// Content of the file when it was last read.
    last_read: HostSettings,
}

impl ReloadedSettings {
    /// Starts with the settings that the host has at its start.
    #[must_use]
    pub fn new(settings: HostSettings) -> Self {
        Self {
            in_force: settings.clone(),
            last_read: settings,
        }
    }

    /// Puts the fields of `read` that can change at run time into force.
    ///
    /// Each field has one line here. One that needs a restart is named only when its value in
    /// the file has changed since the last call.
    pub fn update(&mut self, read: HostSettings) -> SettingsChange {
        let (used, last) = (&mut self.in_force, &self.last_read);
        // Without `..`, so that a new field does not compile until it has its line below.
        let HostSettings {
            name,
            zone,
            region,
            datagram_addr,
            ready_addr,
            peer_addr,
            seeds,
            store_addr,
            grace_period,
            zone_regions,
            warmup_excess,
            warmup_slack,
        } = &read;
        // A restart of this host changes the port for messages between hosts, also that of the
        // other hosts' addresses.
        let seeds = with_port(seeds, used.peer_addr);
        let mut change = SettingsChange::default();
        change.keep("NodeName", &used.name, &last.name, name);
        change.keep(
            "Ip",
            &used.peer_addr.ip(),
            &last.peer_addr.ip(),
            &peer_addr.ip(),
        );
        change.keep("Zone", &used.zone, &last.zone, zone);
        change.keep("Region", &used.region, &last.region, region);
        change.keep(
            "Listen.DatagramAddr",
            &used.datagram_addr,
            &last.datagram_addr,
            datagram_addr,
        );
        change.keep(
            "Listen.ReadyAddr",
            &used.ready_addr,
            &last.ready_addr,
            ready_addr,
        );
        let port = |addr: &SocketAddr| addr.port();
        change.keep(
            "InternalPorts",
            &port(&used.peer_addr),
            &port(&last.peer_addr),
            &port(peer_addr),
        );
        change.apply("Seeds", &mut used.seeds, &seeds);
        change.apply("platform.Address", &mut used.store_addr, store_addr);
        change.apply("Bounds.GraceS", &mut used.grace_period, grace_period);
        change.apply(ZONES, &mut used.zone_regions, zone_regions);
        change.apply(WARMUP_EXCESS, &mut used.warmup_excess, warmup_excess);
        change.apply(WARMUP_SLACK, &mut used.warmup_slack, warmup_slack);
        self.last_read = read;
        change
    }
}

impl SettingsChange {
    /// True if a field has changed from which services are built.
    #[must_use]
    pub fn affects_services(&self) -> bool {
        let mut applied = self.applied.iter();
        applied.any(|field| [ZONES, WARMUP_EXCESS, WARMUP_SLACK].contains(field))
    }

    /// Puts the new value of a field into force.
    fn apply<T: Clone + PartialEq>(&mut self, field: &'static str, used: &mut T, read: &T) {
        if used != read {
            used.clone_from(read);
            self.applied.push(field);
        }
    }

    /// Keeps the value of a field that needs a restart.
    fn keep<T: PartialEq>(&mut self, field: &'static str, used: &T, last: &T, read: &T) {
        if read != used && read != last {
            self.need_restart.push(field);
        }
    }
}

/// Returns these addresses with the port of `own_addr`, and without `own_addr`.
fn with_port(seeds: &[SocketAddr], own_addr: SocketAddr) -> Vec<SocketAddr> {
    let seeds = seeds.iter();
    seeds
        .map(|seed| SocketAddr::new(seed.ip(), own_addr.port()))
        .filter(|seed| *seed != own_addr)
        .collect()
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
    Ok(HostSettings {
        name: wire.node_name,
        zone: wire.zone,
        region: wire.region,
        zone_regions: wire.zones.unwrap_or_default(),
        datagram_addr: wire.listen.datagram_addr,
        ready_addr: wire.listen.ready_addr,
        peer_addr,
        seeds: with_port(&wire.seeds, peer_addr),
        store_addr: wire.store.address,
        grace_period: wire.bounds.grace_s,
        warmup_excess: wire.bounds.warmup_excess.unwrap_or(1.0),
        warmup_slack: wire.bounds.warmup_slack.unwrap_or(0.0),
    })
}
