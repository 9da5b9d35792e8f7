//! The operators' configuration: fleet defaults, services, exceptions and evacuations.
//!
//! Operators write one TOML file per region. The platform serves it as JSON
//! values, each under its own key: [`Config::values`] produces them, and
//! [`Config::from_values`] reads them back with the same checks.
//! [`Config::services`] returns the services with the values that apply on one host.
//!
//! A value is looked up first in the exceptions whose scope matches, then in the
//! service, then in the fleet. Of several exceptions the most specific one applies,
//! and of equally specific ones the last in the file. An endpoint is more specific
//! than a host, a host than a service, and a service than a zone. A zone in a scope
//! selects the endpoints of that zone for `slots`, `conns` and `weight`, and the
//! hosts of that zone for all other fields.

mod change;
mod check;
mod explain;
mod fault;
mod field;
mod model;
mod read;
mod resolve;
mod source;
mod units;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;

use serde_json::{Map, Value};

pub use self::change::Difference;
pub use self::explain::ExplainedValue;
use self::fault::{Faults, suggest};
use self::model::{EvacuationRow, ExceptionRow, Secrets, ServiceRow, Values};
use crate::error::{Error, Result};
use crate::id::Name;
use crate::snapshot::Service;
use crate::ticket::TicketKeys;

const FLEET: &str = "fleet";
const SERVICE: &str = "service";
const EXCEPTION: &str = "exception";
const EVACUATE: &str = "evacuate";
pub(crate) const KEYS: &str = "keys";

/// Maximum length of a name, in bytes.
const MAX_NAME_LENGTH: usize = 64;

/// Keys under which the platform stores values.
const VALUE_KEYS: [&str; 6] = [
    "fleet",
    "service/NAME",
    "exceptions",
    "evacuate/ZONE",
    "keys",
    "health/NAME",
];

/// Stands for the file name in faults of the platform's values.
const PLATFORM: &str = "platform";

/// A configuration that passed every check.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    fleet: Values,
    services: Vec<ServiceRow>,
    exceptions: Vec<ExceptionRow>,
    evacuations: Vec<EvacuationRow>,
    secrets: Option<Secrets>,
    health: BTreeMap<Name, Vec<Name>>,
}

impl Config {
    /// Parses an operators' file; `file` is the name shown in messages.
    ///
    /// ```
    /// # use jacinthhinge::config::Config;
    /// let text = r#"
    ///     [service.adserve]
    ///     zones = ["sv-a"]
    ///     slots = 3
    ///
    ///     [[service.adserve.endpoint]]
    ///     name = "a-1"
    ///     addr = "127.0.0.1:21001"
    ///     zone = "sv-a"
    /// "#;
    /// let config = Config::parse("hraunvik.toml", text)?;
    /// let services = config.services("sv-a-1", "sv-a");
    /// assert_eq!(services[0].endpoints[0].slots, 3);
    /// # Ok::<(), jacinthhinge::Error>(())
    /// ```
    ///
    /// # Errors
    ///
    /// Fails with one error that lists every fault with its location and a remedy.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let source = source::read_toml(file, text)?;
        let faults = Faults::new(file, source.lines);
        Self::from_root(&source.root, faults)
    }

    /// Reads the platform's values, given as pairs of a key and JSON text.
    ///
    /// Values under `health/NAME` only mark endpoints as unhealthy. Since a health
    /// report may be wrong, malformed reports and unknown names are ignored. A key
    /// `evacuate/ZONE` evacuates the zone whatever its value.
    ///
    /// ```
    /// # use jacinthhinge::config::Config;
    /// let values = [("service/bestel", r#"{"zones":["gent"]}"#)];
    /// let config = Config::from_values(values)?;
    /// assert_eq!(config.services("gent-1", "gent").len(), 1);
    /// # Ok::<(), jacinthhinge::Error>(())
    /// ```
    ///
    /// # Errors
    ///
    /// Fails as [`Config::parse`] does, and on unknown keys.
    pub fn from_values<'a>(values: impl IntoIterator<Item = (&'a str, &'a str)>) -> Result<Self> {
        let mut faults = Faults::new(PLATFORM, HashMap::new());
        let mut root = Map::new();
        let mut services = Map::new();
        let mut health = BTreeMap::new();
        let mut evacuations = Vec::new();
        for (key, text) in values {
            let value = serde_json::from_str(text);
            if let Some(name) = key.strip_prefix("health/") {
                let report = value.unwrap_or_default();
                health.insert(Name::from(name), read::read_health(&report));
                continue;
            }
            if let Some(zone) = evacuated_zone(key) {
                evacuations.push(read::read_order(zone, &value.unwrap_or_default()));
                continue;
            }
            let Ok(value) = value else {
                let remedy = "publish values that `jacinthhinge check` accepts";
                faults.add(key, "the value is not JSON", remedy);
                continue;
            };
            match parse_key(key) {
                Some(Section::TopLevel(name)) => drop(root.insert(name.to_owned(), value)),
                Some(Section::Service(name)) => drop(services.insert(name.to_owned(), value)),
                None => faults.add(key, "unknown key", suggest(key, VALUE_KEYS)),
            }
        }
        root.insert(SERVICE.to_owned(), Value::Object(services));
        let mut config = Self::from_root(&Value::Object(root), faults)?;
        config.health = health;
        config.evacuations = evacuations;
        Ok(config)
    }

    /// Checks one of the platform's values on its own.
    ///
    /// Exceptions refer to services, so of these only the JSON syntax is checked. An evacuation
    /// is valid whatever its value, because the key is the order.
    ///
    /// # Errors
    ///
    /// Fails as [`Config::from_values`] does.
    pub fn check_value(key: &str, text: &str) -> Result<()> {
        if evacuated_zone(key).is_some() {
            return Ok(());
        }
        if matches!(parse_key(key), Some(Section::TopLevel(EXCEPTION))) {
            let syntax = serde_json::from_str::<serde::de::IgnoredAny>(text);
            return syntax.map(drop).map_err(|err| {
                let remedy = "publish values that `jacinthhinge check` accepts";
                Error::config(key, err.to_string(), remedy)
            });
        }
        match parse_key(key) {
            Some(Section::TopLevel(name)) => Self::check_section(name, text),
            _ => Self::from_values([(key, text)]).map(drop),
        }
    }

    /// Checks a section without the services that it applies to.
    fn check_section(name: &str, text: &str) -> Result<()> {
        let mut faults = Faults::new(PLATFORM, HashMap::new());
        if let Ok(value) = serde_json::from_str(text) {
            let root = Map::from_iter([(name.to_owned(), value)]);
            read::read_config(&Value::Object(root), &mut faults);
        } else {
            let remedy = "publish values that `jacinthhinge check` accepts";
            faults.add(name, "the value is not JSON", remedy);
        }
        faults.into_result()
    }

    /// Returns the values for the platform, as pairs of a key and a JSON value.
    ///
    /// The secrets are included in plain text.
    #[must_use]
    pub fn values(&self) -> Vec<(String, Value)> {
        let mut values = vec![(FLEET.to_owned(), to_json(&self.fleet))];
        for row in &self.services {
            values.push((format!("{SERVICE}/{}", row.name), to_json(row)));
        }
        values.push(("exceptions".to_owned(), to_json(&self.exceptions)));
        for row in &self.evacuations {
            values.push((format!("{EVACUATE}/{}", row.zone), to_json(row)));
        }
        if let Some(secrets) = &self.secrets {
            values.push((KEYS.to_owned(), to_json(secrets)));
        }
        values
    }

    /// Returns the services that apply on `host`, which is in `zone`.
    ///
    /// Endpoints of other zones are included with `local` set to false, for work
    /// that the host's zone cannot take. Services that are not in `zone` are left out.
    #[must_use]
    pub fn services(&self, host: &str, zone: &str) -> Vec<Service> {
        resolve::effective_services(self, host, zone)
    }

    /// Returns the ticket keys, if the configuration sets them.
    #[must_use]
    pub fn keys(&self) -> Option<TicketKeys> {
        let secrets = self.secrets.as_ref()?;
        Some(TicketKeys::new(&secrets.current, &secrets.other))
    }

    /// Returns the zones that are evacuated.
    #[must_use]
    pub fn evacuated_zones(&self) -> BTreeSet<Name> {
        let zones = self.evacuations.iter().map(|row| row.zone.clone());
        zones.collect()
    }

    /// Iterates over the zones of all services; a zone may appear more than once.
    pub fn zones(&self) -> impl Iterator<Item = &Name> {
        self.services.iter().flat_map(|row| &row.zones)
    }

    /// Returns each effective value at a scope, such as `endpoint/a-3`, and where it was set.
    ///
    /// # Errors
    ///
    /// Fails when the scope is invalid or contains an unknown name.
    pub fn explain(&self, scope: &str) -> Result<Vec<ExplainedValue>> {
        explain::explain(self, scope)
    }

    /// Returns the values that differ between `self` and `other`.
    ///
    /// Changed secrets are listed without their content.
    #[must_use]
    pub fn diff(&self, other: &Self) -> Vec<Difference> {
        change::diff(self, other)
    }

    /// Checks that `new` can safely replace `old` in a single change.
    ///
    /// This check is for consecutive revisions, before the newer one is published.
    /// Hosts do not apply it: a disconnected host may have missed the revisions in
    /// between, and must accept a result that was safe step by step.
    ///
    /// # Errors
    ///
    /// Fails when a key rotation would invalidate live tickets, when an address moves
    /// to another service, when an endpoint changes its address, and when a live
    /// endpoint is removed without being drained.
    pub fn check_change(old: &Self, new: &Self) -> Result<()> {
        change::check_change(old, new)
    }

    fn from_root(root: &Value, mut faults: Faults<'_>) -> Result<Self> {
        let config = read::read_config(root, &mut faults);
        check::check_config(&config, &mut faults);
        faults.into_result()?;
        Ok(config)
    }

    fn is_unhealthy(&self, service: &Name, endpoint: &Name) -> bool {
        self.health
            .get(service)
            .is_some_and(|names| names.contains(endpoint))
    }
}

/// Returns true when `text` is a valid name of a service, endpoint, zone or host.
#[must_use]
pub fn is_name(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    (1..=MAX_NAME_LENGTH).contains(&text.len()) && text.bytes().all(is_allowed)
}

/// Formats the size, as in `2 services, 18 endpoints, 2 exceptions`.
impl fmt::Display for Config {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let endpoints: usize = self.services.iter().map(|row| row.endpoint.len()).sum();
        write!(
            f,
            "{} services, {endpoints} endpoints, {} exceptions",
            self.services.len(),
            self.exceptions.len()
        )?;
        match self.evacuations.len() {
            0 => Ok(()),
            count => write!(f, ", {count} evacuated zones"),
        }
    }
}

/// Part of a configuration that is stored under one key of the platform.
enum Section<'a> {
    TopLevel(&'static str),
    Service(&'a str),
}

fn parse_key(key: &str) -> Option<Section<'_>> {
    match key {
        "fleet" => Some(Section::TopLevel(FLEET)),
        "exceptions" => Some(Section::TopLevel(EXCEPTION)),
        "keys" => Some(Section::TopLevel(KEYS)),
        _ => key.strip_prefix("service/").map(Section::Service),
    }
}

/// Returns the zone that a key of the platform orders to evacuate.
fn evacuated_zone(key: &str) -> Option<&str> {
    let zone = key.strip_prefix("evacuate/")?;
    (!zone.is_empty()).then_some(zone)
}

/// Converts a table row to JSON; every row can be represented.
fn to_json(row: &impl serde::Serialize) -> Value {
    serde_json::to_value(row).unwrap_or_default()
}
