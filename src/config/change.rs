//! Compares two configurations and validates the change from one to the next.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use serde::Serialize;
use serde_json::Value;

use super::explain::value_text;
use super::fault::Faults;
use super::model::{EndpointRow, Secrets, ServiceRow, State};
use super::source::field_path;
use super::{Config, KEYS, check};
use crate::error::Result;
use crate::id::Name;

/// Stands for the file name in faults of a change.
const SOURCE_NAME: &str = "change";

/// Replaces secrets in the output.
const HIDDEN_SECRET: &str = "(hidden)";

/// A value that differs between two configurations.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Difference {
    /// Path of the value.
    #[serde(rename = "place")]
    pub path: String,
    /// Value in the first configuration, if present.
    pub old: Option<String>,
    /// Value in the second configuration, if present.
    pub new: Option<String>,
}

type FlatValues = BTreeMap<String, Value>;

/// Lists the values that differ, in order of their paths.
pub(super) fn diff(old: &Config, new: &Config) -> Vec<Difference> {
    let old = flatten(old);
    let new = flatten(new);
    let paths: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    paths
        .into_iter()
        .filter(|path| old.get(*path) != new.get(*path))
        .map(|path| difference(path, &old, &new))
        .collect()
}

/// Rejects changes that would break flows or send them to another service.
pub(super) fn check_change(old: &Config, new: &Config) -> Result<()> {
    let mut faults = Faults::new(SOURCE_NAME, HashMap::new());
    if let (Some(old), Some(new)) = (&old.secrets, &new.secrets) {
        check_rotation(old, new, &mut faults);
    }
    if old.secrets.is_some() && new.secrets.is_none() {
        let remedy = "keep both keys in the file";
        faults.add(KEYS, "the ticket keys are removed", remedy);
    }
    check_addresses(old, new, &mut faults);
    check_endpoints(old, new, &mut faults);
    faults.into_result()
}

fn check_rotation(old: &Secrets, new: &Secrets, faults: &mut Faults<'_>) {
    if new.current != old.current && new.current != old.other {
        let fault =
            "the new current key was not live before, so other hosts would refuse its tickets";
        let remedy = "first publish it as `other`, and swap the two when every host has it";
        faults.add("keys.current", fault, remedy);
    } else if old.current != new.current && old.current != new.other {
        let fault = "the key that live tickets are sealed with is dropped";
        let remedy = "swap the two keys first, and replace `other` later";
        faults.add("keys.other", fault, remedy);
    }
}

fn check_addresses(old: &Config, new: &Config, faults: &mut Faults<'_>) {
    let old_services: HashMap<SocketAddr, &Name> = check::endpoints(old)
        .map(|(row, endpoint)| (endpoint.addr, &row.name))
        .collect();
    for (row, endpoint) in check::endpoints(new) {
        let Some(service) = old_services.get(&endpoint.addr) else {
            continue;
        };
        if **service != row.name {
            let fault = format!(
                "address {} moves from service `{service}` to another one in a single change",
                endpoint.addr
            );
            let remedy = "publish a configuration without it, and add it after the drain limit";
            faults.add(&field_path(&endpoint.path, "addr"), fault, remedy);
        }
    }
}

fn check_endpoints(old: &Config, new: &Config, faults: &mut Faults<'_>) {
    let new_endpoints: HashMap<&Name, (&ServiceRow, &EndpointRow)> = check::endpoints(new)
        .map(|(row, endpoint)| (&endpoint.name, (row, endpoint)))
        .collect();
    for (row, endpoint) in check::endpoints(old) {
        match new_endpoints.get(&endpoint.name) {
            None if endpoint.state == State::Live => {
                let fault = format!("live endpoint `{}` is removed", endpoint.name);
                let remedy = "set its state to \"leaving\", and remove it after the drain limit";
                faults.add(&check::service_path(row), fault, remedy);
            }
            Some((_, moved)) if moved.addr != endpoint.addr => {
                let fault = format!(
                    "endpoint `{}` moves from {} to {}",
                    endpoint.name, endpoint.addr, moved.addr
                );
                let remedy = "add an endpoint of another name, and let the old one leave";
                faults.add(&field_path(&moved.path, "addr"), fault, remedy);
            }
            _ => {}
        }
    }
}

fn difference(path: &str, old: &FlatValues, new: &FlatValues) -> Difference {
    let show = |values: &FlatValues| {
        let value = values.get(path)?;
        if path.starts_with(KEYS) {
            return Some(HIDDEN_SECRET.to_owned());
        }
        Some(value_text(value))
    };
    Difference {
        path: path.to_owned(),
        old: show(old),
        new: show(new),
    }
}

fn flatten(config: &Config) -> FlatValues {
    let mut flat = FlatValues::new();
    for (key, value) in config.values() {
        flatten_value(&key, value, &mut flat);
    }
    flat
}

fn flatten_value(path: &str, value: Value, flat: &mut FlatValues) {
    match value {
        Value::Object(map) => {
            for (name, value) in map {
                flatten_value(&field_path(path, &name), value, flat);
            }
        }
        Value::Array(list) => {
            let mut seen: HashMap<String, usize> = HashMap::new();
            for value in list {
                let name = item_label(&value);
                let count = seen.entry(name.clone()).or_default();
                *count += 1;
                let item_path = match count {
                    1 => format!("{path}[{name}]"),
                    _ => format!("{path}[{name} #{count}]"),
                };
                flatten_value(&item_path, value, flat);
            }
        }
        value => drop(flat.insert(path.to_owned(), value)),
    }
}

/// Labels an array item by its name, its scope or its own value.
fn item_label(value: &Value) -> String {
    let name = value.get("name").or_else(|| value.get("scope"));
    value_text(name.unwrap_or(value))
}
