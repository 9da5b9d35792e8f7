//! Builds services and routes from the values in the store.
//!
//! A value that cannot be decoded affects no other one. An entry that can no longer be decoded
//! names no endpoint for new flows, but its last endpoint may still run, so its open flows stay
//! there as if it were draining.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use super::desired::{self, DesiredState};
use super::entry::{self, Entry};
use super::{ZoneRegions, evacuation};
use crate::control::{BuiltConfig, ConfigBuilder, Value, Values};
use crate::id::Name;
use crate::revision::Revision;
use crate::snapshot::{Service, WarmupLimit};

/// Decoded values, kept until their revision changes.
#[derive(Default)]
struct Cache {
    desired: Arc<DesiredState>,
    desired_revision: Revision,
    entries: HashMap<Name, CachedEntry>,
    /// Values that were refused since the last build.
    refused: u64,
}

struct CachedEntry {
    revision: Revision,
    /// Endpoint that the entry names, draining if only an earlier revision could be decoded.
    entry: Option<Entry>,
}

/// Returns the function that builds services and routes for a host in the zone of `regions`.
///
/// An entry that cannot be decoded takes no new flows. A desired state that cannot be decoded,
/// or has a lower version than the current one, is ignored.
#[must_use]
pub fn service_builder(regions: ZoneRegions) -> ConfigBuilder {
    let cache = Mutex::new(Cache::default());
    ConfigBuilder::new(move |values: &Values| {
        let mut cache = cache.lock().unwrap_or_else(PoisonError::into_inner);
        Ok(cache.build(values, &regions))
    })
}

/// Returns the function that sets by how much services may exceed their warm-up limits:
/// `excess` is the tolerated multiple of the rate, `slack` the flows a second beyond that.
pub fn warmup_tolerance(excess: f64, slack: f64) -> impl Fn(&mut BuiltConfig) + Send + Sync {
    move |config| {
        let services = config.services.iter_mut();
        for limit in services.filter_map(|service| service.warmup_limit.as_mut()) {
            (limit.excess, limit.slack) = (excess, slack);
        }
    }
}

impl Cache {
    fn build(&mut self, values: &Values, regions: &ZoneRegions) -> BuiltConfig {
        if let Some(value) = values.get(desired::KEY) {
            self.apply_desired(value);
        }
        self.entries.retain(|key, _| values.contains_key(key));
        let mut services: HashMap<Name, Service> = HashMap::new();
        for name in self.desired.max_conns.keys() {
            let mut service = Service::new(name);
            service.idle_limit = self.desired.idle_timeout;
            let rate = self.desired.warmup_rates.get(name);
            service.warmup_limit = rate.map(|rate| WarmupLimit::exact(*rate));
            services.insert(Arc::clone(name), service);
        }
        let entries = values
            .iter()
            .filter(|(key, _)| key.starts_with(entry::PREFIX));
        for (key, value) in entries {
            self.update_entry(key, value, &regions.zone);
            let cached = self.entries.get(key);
            let Some(entry) = cached.and_then(|cached| cached.entry.as_ref()) else {
                continue;
            };
            let Some(service) = services.get_mut(&entry.service) else {
                continue;
            };
            let mut endpoint = entry.endpoint.clone();
            endpoint.max_conns = self.desired.max_conns[&entry.service];
            endpoint.region = regions.region_of(&endpoint.zone);
            service.endpoints.push(endpoint);
        }
        BuiltConfig {
            services: services.into_values().collect(),
            routes: self.desired.routes.clone(),
            evacuated_zones: evacuation::zones(values),
            keys: None,
            refused_values: std::mem::take(&mut self.refused),
        }
    }

    /// Decodes an entry unless its revision is the cached one.
    fn update_entry(&mut self, key: &Name, value: &Value, zone: &str) {
        let cached = self.entries.get(key);
        if cached.is_some_and(|cached| cached.revision == value.revision) {
            return;
        }
        let decoded = value
            .json
            .as_deref()
            .map(|json| entry::decode(key, json, zone));
        let entry = match decoded {
            Some(Ok(entry)) => Some(entry),
            Some(Err(err)) => {
                self.refused += 1;
                log::warn!(key:%, revision = value.revision.number, cause:% = err; "entry_refused");
                let mut last = self.entries.remove(key).and_then(|cached| cached.entry);
                if let Some(entry) = &mut last {
                    entry.endpoint.draining = true;
                }
                last
            }
            None => None,
        };
        let revision = value.revision;
        self.entries
            .insert(Arc::clone(key), CachedEntry { revision, entry });
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
                self.refused += 1;
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
                self.refused += 1;
                log::warn!(revision = value.revision.number, cause:% = err; "desired_refused");
            }
        }
    }
}
