//! Builds services and routes from the values in the store.
//!
//! A value that cannot be decoded affects no other one. An entry that can no longer be decoded
//! names no endpoint for new flows, but its last endpoint may still run, so its open flows stay
//! there as if it were draining. The same holds for an entry whose service the desired state does
//! not list: operators have retired the service, or the entry is from another writer.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, PoisonError};

use super::desired::{self, DesiredState};
use super::entry::{self, Entry};
use super::{ZoneRegions, evacuation};
use crate::control::{BuiltConfig, ConfigBuilder, Value, Values};
use crate::id::Name;
use crate::revision::Revision;
use crate::snapshot::Service;

/// Decoded values, kept until their revision changes.
#[derive(Default)]
struct Cache {
    desired: Arc<DesiredState>,
    desired_revision: Revision,
    entries: HashMap<Name, CachedEntry>,
    /// Services with endpoints that the desired state does not list, and the numbers of these.
    retired: BTreeMap<Name, usize>,
    /// True while the newest desired state cannot be decoded.
    has_stale_desired: bool,
    /// Values that were refused since the last build.
    refused: u64,
}

#[derive(Default)]
struct CachedEntry {
    /// Revision that was decoded last.
    revision: Option<Revision>,
    /// Endpoint that the entry names, draining if only an earlier revision could be decoded.
    entry: Option<Arc<Entry>>,
    /// The last one whose service was listed.
    listed: Option<Arc<Entry>>,
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
        let mut services: HashMap<Name, Service> = HashMap::new();
        for name in self.desired.max_conns.keys() {
            services.insert(Arc::clone(name), self.desired.service(name));
        }
        let mut retired = BTreeMap::new();
        let mut entry_count = 0;
        let entries = values
            .iter()
            .filter(|(key, _)| key.starts_with(entry::PREFIX));
        for (key, value) in entries {
            entry_count += 1;
            let cached = self.entries.entry(Arc::clone(key)).or_default();
            self.refused += u64::from(!cached.update(key, value, &regions.zone));
            let Some(Entry {
                service: name,
                mut endpoint,
            }) = cached.in_use(&self.desired)
            else {
                continue;
            };
            if let Some(max_conns) = self.desired.max_conns.get(&name) {
                endpoint.max_conns = *max_conns;
            }
            endpoint.region = regions.region_of(&endpoint.zone);
            let service = services
                .entry(Arc::clone(&name))
                .or_insert_with_key(|name| self.desired.service(name));
            service.endpoints.push(endpoint);
            if service.retired {
                *retired.entry(name).or_default() += 1;
            }
        }
        self.note_retired(retired);
        if self.entries.len() > entry_count {
            self.entries.retain(|key, _| values.contains_key(key));
        }
        BuiltConfig {
            services: services.into_values().collect(),
            routes: self.desired.routes.clone(),
            evacuated_zones: evacuation::zones(values),
            keys: None,
            has_stale_routes: self.has_stale_desired,
            refused_values: std::mem::take(&mut self.refused),
        }
    }

    /// Logs the services that are no longer listed, or listed again.
    fn note_retired(&mut self, retired: BTreeMap<Name, usize>) {
        let version = self.desired.version;
        for (service, endpoints) in &retired {
            if !self.retired.contains_key(service) {
                log::info!(service:%, endpoints, version; "service_retired");
            }
        }
        for service in self.retired.keys() {
            if !retired.contains_key(service) {
                log::info!(service:%, version; "service_listed");
            }
        }
        self.retired = retired;
    }

    fn apply_desired(&mut self, value: &Value) {
        let Some(json) = value.json.as_deref() else {
            return;
        };
        if value.revision <= self.desired_revision {
            return;
        }
        self.desired_revision = value.revision;
        self.has_stale_desired = false;
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
                self.has_stale_desired = true;
                log::warn!(revision = value.revision.number, cause:% = err; "desired_refused");
            }
        }
    }
}

impl CachedEntry {
    /// Decodes a value unless its revision was decoded last; returns false if it is refused.
    fn update(&mut self, key: &Name, value: &Value, zone: &str) -> bool {
        if self.revision.replace(value.revision) == Some(value.revision) {
            return true;
        }
        let json = value.json.as_deref();
        match json.map(|json| entry::decode(key, json, zone)) {
            Some(Err(err)) => {
                log::warn!(key:%, revision = value.revision.number, cause:% = err; "entry_refused");
                if let Some(last) = &mut self.entry {
                    Arc::make_mut(last).endpoint.draining = true;
                }
                false
            }
            decoded => {
                self.entry = decoded.and_then(Result::ok).map(Arc::new);
                true
            }
        }
    }

    /// Returns the endpoint to use. While the service in its entry is not listed, it is the one that
    /// was last in use, if that is the same run of the endpoint, and gets no new flows.
    fn in_use(&mut self, desired: &DesiredState) -> Option<Entry> {
        let entry = self.entry.as_ref()?;
        if desired.max_conns.contains_key(&entry.service) {
            self.listed = Some(Arc::clone(entry));
            return Some(Entry::clone(entry));
        }
        if desired.max_conns.is_empty() {
            // No desired state has been read yet.
            return None;
        }
        let run = entry.endpoint.started_ms;
        let known = self.listed.as_ref();
        let known = known.filter(|known| known.endpoint.started_ms == run);
        let mut entry = Entry::clone(known.unwrap_or(entry));
        entry.endpoint.draining = true;
        Some(entry)
    }
}
