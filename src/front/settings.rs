//! Settings of the daemon, read from flags and environment variables.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::time::Duration;

use axum::http::Uri;
use bpaf::Bpaf;
use log::LevelFilter;
use smallvec::SmallVec;

use crate::error::{Error, Result};
use crate::id::Name;
use crate::systems::Tuning;
use crate::ticket::TicketKeys;
use crate::wire::PeerKey;

/// Prefix of the names of the environment variables.
const ENV_PREFIX: &str = "JACINTHHINGE_";

/// Minimum length of a secret, in characters.
const MIN_SECRET_LENGTH: usize = 16;

/// Longest cost of sending a flow to another zone in milliseconds, which no flow is worth.
const MAX_ZONE_COST_MS: u64 = 60_000;

/// Environment variable for `--zone-cost`.
pub(super) const ZONE_COST_VARIABLE: &str = "JACINTHHINGE_ZONE_COST";

const DEFAULT_OPS_ADDR: &str = "127.0.0.1:9080";
pub(super) const DEFAULT_LOG_LEVEL: &str = "info";

/// Flags of `serve`, unchecked.
#[derive(Bpaf, Clone, Default)]
#[bpaf(ignore_rustdoc)]
pub struct Flags {
    /// Name of this host
    #[bpaf(long, argument("NAME"))]
    pub name: Option<String>,
    /// Availability zone of this host
    #[bpaf(long, argument("ZONE"))]
    pub zone: Option<String>,
    /// Region of the zone
    #[bpaf(long, argument("REGION"))]
    pub region: Option<String>,
    /// Address on which other hosts reach this one, for control
    #[bpaf(long, argument("IP:PORT"))]
    pub peer_addr: Option<String>,
    /// Address of a traffic lane; repeat the flag for more lanes
    #[bpaf(long, argument("IP:PORT"))]
    pub lane: Vec<String>,
    /// Address of the operators' server for metrics, dumps and probes, 127.0.0.1:9080 by default
    #[bpaf(long, argument("IP:PORT"))]
    pub ops: Option<String>,
    /// Address of the platform
    #[bpaf(long, argument("http://IP:PORT"))]
    pub platform: Option<String>,
    /// Control address of a seed host; repeat the flag for more
    #[bpaf(long, argument("IP:PORT"))]
    pub peer: Vec<String>,
    /// Secret for messages between hosts, and for tickets until the platform provides ticket
    /// keys
    #[bpaf(long, argument("SECRET"))]
    pub key: Option<String>,
    /// Second secret; tickets sealed with it are accepted
    #[bpaf(long, argument("SECRET"))]
    pub other_key: Option<String>,
    /// Address of the statsd server; without it, no metrics are sent to statsd
    #[bpaf(long, argument("IP:PORT"))]
    pub statsd: Option<String>,
    /// Delay in milliseconds that sending a flow to another zone must save, 20 by default
    #[bpaf(long, argument("MS"))]
    pub zone_cost: Option<String>,
    /// Log level, or a list of levels by module; info by default
    #[bpaf(long, argument("LEVEL"))]
    pub log: Option<String>,
}

/// Checked settings of the daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this host.
    pub name: Name,
    /// Availability zone of this host.
    pub zone: Name,
    /// Region of the zone.
    pub region: Name,
    /// Address on which other hosts reach this one, for control.
    pub peer_addr: SocketAddr,
    /// Addresses of the traffic lanes.
    pub lanes: SmallVec<[SocketAddr; 4]>,
    /// Address of the operators' server for metrics, dumps and probes.
    pub ops_addr: SocketAddr,
    /// Address of the platform.
    pub platform_addr: SocketAddr,
    /// Control addresses of the seed hosts, without this host's own.
    pub seeds: Vec<SocketAddr>,
    /// Ticket keys until the platform provides others.
    pub ticket_keys: TicketKeys,
    /// Key that authenticates messages between hosts.
    pub peer_key: PeerKey,
    /// Address of the statsd server, if metrics are sent to one.
    pub statsd_addr: Option<SocketAddr>,
    /// Delay that sending a flow to another zone must save.
    pub zone_cost: Duration,
    /// Log level, or a list of levels by module.
    pub log_level: String,
}

impl Settings {
    /// Checks the flags and reads those that are not given from the environment.
    ///
    /// `env` returns the value of an environment variable. Lists are separated by commas.
    ///
    /// ```
    /// # use jacinthhinge::front::settings::{Flags, Settings};
    /// let flags = Flags::default();
    /// let error = Settings::new(flags, |_| None).unwrap_err();
    /// assert_eq!(
    ///     error.to_string(),
    ///     "--name: missing; pass --name sv-a-1 or set JACINTHHINGE_NAME"
    /// );
    /// ```
    ///
    /// # Errors
    ///
    /// Returns an error that names the flag of the first missing or invalid setting.
    pub fn new(flags: Flags, env: impl Fn(&str) -> Option<String>) -> Result<Self> {
        let env = |name: &str| env(name).filter(|value| !value.is_empty());
        let single_value =
            |flag: &str, value: Option<String>| value.or_else(|| env(&env_variable(flag)));
        let value_list =
            |flag: &str, values: Vec<String>| values_or_env(values, env(&env_variable(flag)));

        let name = parse_name("--name", single_value("--name", flags.name), "sv-a-1")?;
        let zone = self::parse_name("--zone", single_value("--zone", flags.zone), "sv-a")?;
        let region = self::parse_name(
            "--region",
            single_value("--region", flags.region),
            "is-sudvestur",
        )?;
        let peer_addr = parse_own_addr(
            "--peer-addr",
            &required(
                "--peer-addr",
                single_value("--peer-addr", flags.peer_addr),
                "10.1.0.3:9000",
            )?,
        )?;
        let lanes = parse_lanes(&value_list("--lane", flags.lane))?;
        let ops = single_value("--ops", flags.ops).unwrap_or_else(|| DEFAULT_OPS_ADDR.to_owned());
        let ops_addr = parse_addr("--ops", &ops)?;
        let platform_addr = parse_platform(&required(
            "--platform",
            single_value("--platform", flags.platform),
            "http://10.1.0.9:8500",
        )?)?;
        let seeds = parse_seeds(&value_list("--peer", flags.peer), peer_addr)?;
        let key = required("--key", single_value("--key", flags.key), "SECRET")?;
        let other_key = single_value("--other-key", flags.other_key);
        let statsd = single_value("--statsd", flags.statsd);
        let log_level =
            single_value("--log", flags.log).unwrap_or_else(|| DEFAULT_LOG_LEVEL.to_owned());
        let zone_cost = single_value("--zone-cost", flags.zone_cost);
        check_distinct(peer_addr, &lanes, ops_addr)?;
        check_log_level(&log_level)?;
        Ok(Self {
            name,
            zone,
            region,
            peer_addr,
            lanes,
            ops_addr,
            platform_addr,
            seeds,
            ticket_keys: parse_keys(&key, other_key.as_deref())?,
            peer_key: PeerKey::new(&key),
            statsd_addr: statsd
                .map(|text| parse_addr("--statsd", &text))
                .transpose()?,
            zone_cost: zone_cost
                .map_or(Ok(Tuning::DEFAULT.zone_cost), |text| parse_zone_cost(&text))?,
            log_level,
        })
    }
}

impl Settings {
    /// Checks that all addresses of this host can be bound.
    ///
    /// # Errors
    ///
    /// Returns an error for the first address that is in use or does not belong to this
    /// host.
    pub fn check_bind(&self) -> Result<()> {
        for lane in &self.lanes {
            check_bind("--lane", *lane, UdpSocket::bind(lane))?;
        }
        check_bind(
            "--peer-addr",
            self.peer_addr,
            UdpSocket::bind(self.peer_addr),
        )?;
        check_bind(
            "--peer-addr",
            self.peer_addr,
            TcpListener::bind(self.peer_addr),
        )?;
        check_bind("--ops", self.ops_addr, TcpListener::bind(self.ops_addr))
    }
}

fn check_bind<T>(flag: &'static str, addr: SocketAddr, bound: io::Result<T>) -> Result<()> {
    let Err(source) = bound else {
        return Ok(());
    };
    let fault = format!("{addr} cannot be bound: {source}");
    let remedy = "use an address of this machine that no other process uses";
    Err(Error::setting(flag, fault, remedy))
}

/// Returns the name of the environment variable for a flag.
fn env_variable(flag: &str) -> String {
    let name = flag.trim_start_matches('-').replace('-', "_");
    format!("{ENV_PREFIX}{}", name.to_uppercase())
}

fn values_or_env(values: Vec<String>, env_value: Option<String>) -> Vec<String> {
    if !values.is_empty() {
        return values;
    }
    let text = env_value.unwrap_or_default();
    text.split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty())
        .map(str::to_owned)
        .collect()
}

fn required(flag: &'static str, value: Option<String>, example: &str) -> Result<String> {
    value.ok_or_else(|| missing(flag, example))
}

#[cold]
fn missing(flag: &'static str, example: &str) -> Error {
    let remedy = format!("pass {flag} {example} or set {}", env_variable(flag));
    Error::setting(flag, "missing", remedy)
}

fn parse_name(flag: &'static str, value: Option<String>, example: &str) -> Result<Name> {
    let name = required(flag, value, example)?;
    if !crate::config::is_name(&name) {
        let remedy = format!("use letters, digits, `-` and `_`, as in {example}");
        return Err(Error::setting(
            flag,
            format!("`{name}` is not a valid name"),
            remedy,
        ));
    }
    Ok(Name::from(name))
}

fn parse_addr(flag: &'static str, text: &str) -> Result<SocketAddr> {
    let remedy = "use an IP address and a port, as in 127.0.0.1:9000";
    let Ok(addr) = text.parse::<SocketAddr>() else {
        let fault = format!("`{text}` is not an address");
        return Err(Error::setting(flag, fault, remedy));
    };
    if addr.port() == 0 {
        let fault = format!("`{text}` has no port");
        return Err(Error::setting(flag, fault, remedy));
    }
    Ok(addr)
}

/// Parses an address that other hosts connect to, and rejects unspecified and multicast
/// addresses.
fn parse_own_addr(flag: &'static str, text: &str) -> Result<SocketAddr> {
    let addr = parse_addr(flag, text)?;
    let ip = addr.ip();
    if ip.is_unspecified() || ip.is_multicast() {
        let fault = format!("other hosts cannot reach `{text}`");
        let remedy = "use an IP address of this host";
        return Err(Error::setting(flag, fault, remedy));
    }
    Ok(addr)
}

/// Parses the delay that sending a flow to another zone must save, in milliseconds.
pub(super) fn parse_zone_cost(text: &str) -> Result<Duration> {
    let millis = text
        .parse()
        .ok()
        .filter(|millis| *millis <= MAX_ZONE_COST_MS);
    millis.map(Duration::from_millis).ok_or_else(|| {
        let fault = format!("`{text}` is not a number of milliseconds");
        let remedy = "use a whole number up to 60000, as in 20";
        Error::setting("--zone-cost", fault, remedy)
    })
}

fn parse_lanes(texts: &[String]) -> Result<SmallVec<[SocketAddr; 4]>> {
    if texts.is_empty() {
        return Err(missing("--lane", "10.1.0.3:9100"));
    }
    texts
        .iter()
        .map(|text| parse_own_addr("--lane", text))
        .collect()
}

/// Parses the seed addresses. All hosts may be given the same list, so this host's own
/// address is removed.
fn parse_seeds(texts: &[String], own_addr: SocketAddr) -> Result<Vec<SocketAddr>> {
    let seeds: Result<Vec<SocketAddr>> = texts
        .iter()
        .map(|text| parse_own_addr("--peer", text))
        .collect();
    Ok(seeds?
        .into_iter()
        .filter(|seed| *seed != own_addr)
        .collect())
}

fn parse_platform(text: &str) -> Result<SocketAddr> {
    let remedy = "use the form http://IP:PORT without a path";
    let fault = format!("`{text}` is not a platform address");
    let invalid = || Error::setting("--platform", fault.clone(), remedy);
    let uri: Uri = text.parse().map_err(|_| invalid())?;
    let is_plain = uri.scheme_str() == Some("http") && uri.path() == "/" && uri.query().is_none();
    let authority = uri.authority().filter(|_| is_plain).ok_or_else(invalid)?;
    authority.as_str().parse().map_err(|_| invalid())
}

fn parse_keys(key: &str, other_key: Option<&str>) -> Result<TicketKeys> {
    check_secret("--key", key)?;
    let other_key = other_key.unwrap_or(key);
    check_secret("--other-key", other_key)?;
    Ok(TicketKeys::new(key, other_key))
}

/// Checks the length of a secret. The error message does not contain the secret.
fn check_secret(flag: &'static str, secret: &str) -> Result<()> {
    if secret.len() < MIN_SECRET_LENGTH {
        let fault = format!("the secret has fewer than {MIN_SECRET_LENGTH} characters");
        let remedy = "generate one with `openssl rand -hex 32` and use it on all hosts";
        return Err(Error::setting(flag, fault, remedy));
    }
    Ok(())
}

fn check_distinct(peer_addr: SocketAddr, lanes: &[SocketAddr], ops_addr: SocketAddr) -> Result<()> {
    let remedy = "use a different port for each address";
    for (index, lane) in lanes.iter().enumerate() {
        if lanes[..index].contains(lane) || *lane == peer_addr || *lane == ops_addr {
            let fault = format!("{lane} is used twice");
            return Err(Error::setting("--lane", fault, remedy));
        }
    }
    if peer_addr == ops_addr {
        let fault = format!("{ops_addr} is also the --peer-addr");
        return Err(Error::setting("--ops", fault, remedy));
    }
    Ok(())
}

/// Checks that each item of the list, such as `info` or `control=debug`, ends in a log
/// level.
fn check_log_level(text: &str) -> Result<()> {
    let is_level = |part: &str| {
        let level = part.rsplit('=').next().unwrap_or_default();
        level.trim().parse::<LevelFilter>().is_ok()
    };
    if !text.split(',').all(is_level) {
        let fault = format!("`{text}` is not a log level");
        let remedy = "use error, warn, info, debug or trace";
        return Err(Error::setting("--log", fault, remedy));
    }
    Ok(())
}
