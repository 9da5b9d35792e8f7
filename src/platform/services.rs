//! Builds services and routes from the values in the store.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use super::desired::{self, DesiredState};
use super::entry::{self, Entry};
use crate::control::{BuiltConfig, ConfigBuilder, Value, Values};
use crate::id::Name;
use crate::revision::Revision;
use crate::snapshot::Service;

/// Decoded values, kept until their revision changes.
#[derive(Default)]
struct Cache {
    desired: Arc<DesiredState>,
    desired_revision: Revision,
    entries: HashMap<Name, (Revision, Option<Entry>)>,
}

/// Returns the function that builds services and routes for a host in `zone`.
///
/// An entry that cannot be decoded is skipped. A desired state that cannot be decoded, or
/// has a lower version than the current one, is ignored.
#[must_use]
pub fn service_builder(zone: Name) -> ConfigBuilder {
    let cache = Mutex::new(Cache::default());
    ConfigBuilder::new(move |values: &Values| {
        let mut cache = cache.lock().unwrap_or_else(PoisonError::into_inner);
        Ok(cache.build(values, &zone))
    })
}

impl Cache {
    fn build(&mut self, values: &Values, zone: &str) -> BuiltConfig {
        if let Some(value) = values.get(desired::KEY) {
            self.apply_desired(value);
        }
        self.entries.retain(|key, _| values.contains_key(key));
        let mut services: HashMap<Name, Service> = HashMap::new();
        for name in self.desired.max_conns.keys() {
            let mut service = Service::new(name);
            service.idle_limit = self.desired.idle_timeout;
            services.insert(Arc::clone(name), service);
        }
        let entries = values
            .iter()
            .filter(|(key, _)| key.starts_with(entry::PREFIX));
        for (key, value) in entries {
            let Some(entry) = decode_cached(&mut self.entries, key, value, zone) else {
                continue;
            };
            let Some(service) = services.get_mut(&entry.service) else {
                continue;
            };
            let mut endpoint = entry.endpoint.clone();
            endpoint.max_conns = self.desired.max_conns[&entry.service];
            service.endpoints.push(endpoint);
        }
        BuiltConfig {
            services: services.into_values().collect(),
            routes: self.desired.routes.clone(),
            keys: None,
        }
    }

    fn apply_desired(&mut self, value: &Value) {
        let Some(json) = value.json.as_deref() else {
            return;
        };
        if value.revision <= self.desired_revision {
            return;
        }
        self.desired_revision = value.revision;
        match desired::decode(json) {
            Ok(desired) if desired.version < self.desired.version => {
                let (current, older) = (self.desired.version, desired.version);
                log::warn!(version = older, in_force = current, cause = "older"; "desired_refused");
            }
            Ok(desired) => {
                log::info!(
                    version = desired.version, before = self.desired.version,
                    routes = desired.routes.len(), revision = value.revision.number;
                    "desired_in_force"
                );
                self.desired = Arc::new(desired);
            }
            Err(err) => {
                log::warn!(revision = value.revision.number, cause:% = err; "desired_refused");
            }
        }
    }
}

fn decode_cached<'a>(
    cache: &'a mut HashMap<Name, (Revision, Option<Entry>)>,
    key: &Name,
    value: &Value,
    zone: &str,
) -> Option<&'a Entry> {
    let changed = cache
        .get(key)
        .is_none_or(|(revision, _)| *revision != value.revision);
    if changed {
        let decoded = value
            .json
            .as_deref()
            .map(|json| entry::decode(key, json, zone));
        let entry = match decoded {
            Some(Ok(entry)) => Some(entry),
            Some(Err(err)) => {
                log::warn!(key:%, revision = value.revision.number, cause:% = err; "entry_refused");
                None
            }
            None => None,
        };
        cache.insert(Arc::clone(key), (value.revision, entry));
    }
    cache.get(key)?.1.as_ref()
}
