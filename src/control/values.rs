//! Configuration values: the active ones and refused changes.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use serde::Serialize;

use super::message::{Value, ValueChange, ValueUpdate};
use crate::error::Result;
use crate::id::Name;
use crate::revision::{Revision, serialize_number};
use crate::segment::Route;
use crate::snapshot::Service;
use crate::ticket::TicketKeys;

/// Configuration values by key.
pub type Values = BTreeMap<Name, Value>;

/// Configuration of this host, built from a set of values.
#[derive(Clone, Debug, Default)]
pub struct BuiltConfig {
    /// Services of this host.
    pub services: Vec<Service>,
    /// Routes of TCP segments by the address to which callers send.
    pub routes: HashMap<SocketAddr, Route>,
    /// Availability zones whose endpoints get no new flows.
    pub evacuated_zones: BTreeSet<Name>,
    /// Ticket keys, if the values contain any.
    pub keys: Option<TicketKeys>,
    /// True if newer routes than these exist, but cannot be decoded.
    pub has_stale_routes: bool,
    /// Number of values that were refused on their own since the last build, while the others
    /// were used.
    pub refused_values: u64,
}

type BuildFn = dyn Fn(&Values) -> Result<BuiltConfig> + Send + Sync;

/// Checks a complete set of values and builds the configuration from it.
#[derive(Clone)]
pub struct ConfigBuilder(Arc<BuildFn>);

impl ConfigBuilder {
    /// Creates a builder from a closure.
    pub fn new(build: impl Fn(&Values) -> Result<BuiltConfig> + Send + Sync + 'static) -> Self {
        Self(Arc::new(build))
    }

    /// Adds a step that adjusts each configuration after it is built.
    #[must_use]
    pub fn and_then(self, adjust: impl Fn(&mut BuiltConfig) + Send + Sync + 'static) -> Self {
        Self::new(move |values| {
            let mut config = self.call(values)?;
            adjust(&mut config);
            Ok(config)
        })
    }

    /// Checks each value on its own before the configuration is built. One that fails is
    /// replaced by the last valid value of its key, so that it does not hold back the others.
    #[must_use]
    pub fn with_check(
        self,
        check: impl Fn(&str, &str) -> Result<()> + Send + Sync + 'static,
    ) -> Self {
        let checked = Mutex::new(HashMap::<Name, CheckedValue>::new());
        Self::new(move |values| {
            let mut checked = checked.lock().unwrap_or_else(PoisonError::into_inner);
            checked.retain(|key, _| values.contains_key(key));
            let mut usable = Values::new();
            let mut refused_values = 0;
            for (key, value) in values {
                let row = checked.entry(Arc::clone(key)).or_default();
                refused_values += u64::from(!row.update(key, value, &check));
                usable.extend(row.valid.clone().map(|valid| (Arc::clone(key), valid)));
            }
            let mut config = self.call(&usable)?;
            config.refused_values += refused_values;
            Ok(config)
        })
    }

    fn call(&self, values: &Values) -> Result<BuiltConfig> {
        (self.0)(values)
    }
}

/// Last valid value of a key, and the revision that was checked last.
#[derive(Default)]
struct CheckedValue {
    revision: Option<Revision>,
    valid: Option<Value>,
}

impl CheckedValue {
    /// Checks a value unless its revision was checked last; returns false if it is refused.
    fn update(
        &mut self,
        key: &Name,
        value: &Value,
        check: impl Fn(&str, &str) -> Result<()>,
    ) -> bool {
        if self.revision.replace(value.revision) == Some(value.revision) {
            return true;
        }
        if let Some(Err(err)) = value.json.as_deref().map(|json| check(key, json)) {
            log::warn!(key:%, revision = value.revision.number, cause:% = err; "value_refused");
            return false;
        }
        self.valid = Some(value.clone());
        true
    }
}

impl fmt::Debug for ConfigBuilder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ConfigBuilder(..)")
    }
}

/// Active values and refused changes.
#[derive(Debug, Default, Serialize)]
pub struct ValueTable {
    /// Active revision.
    #[serde(flatten)]
    pub revision: Revision,
    /// Highest known revision, including refused ones.
    #[serde(rename = "seen", serialize_with = "serialize_number")]
    pub highest_revision: Revision,
    /// Revision from which on all removals are known. What was removed before it may be
    /// missing here without a trace.
    #[serde(skip)]
    pub complete_from: Revision,
    /// Active values.
    pub values: Values,
    /// Refused changes, which are retried together with later ones.
    #[serde(rename = "draft")]
    pub refused_changes: Values,
}

impl ValueTable {
    /// Merges and activates a newer update together with changes refused earlier.
    ///
    /// # Errors
    ///
    /// Fails if the merged values are invalid; the active values remain unchanged.
    pub fn merge(&mut self, update: &ValueUpdate, builder: &ConfigBuilder) -> Result<BuiltConfig> {
        self.highest_revision = self.highest_revision.max(update.revision);
        let mut replaced = Vec::new();
        for (key, value) in &self.refused_changes {
            merge_value(&mut self.values, key, value, &mut replaced);
        }
        merge_changes(&mut self.values, update, &mut replaced);
        match builder.call(&self.values) {
            Ok(config) => {
                self.refused_changes.clear();
                self.accept(update);
                Ok(config)
            }
            Err(err) => {
                restore(&mut self.values, replaced);
                merge_changes(&mut self.refused_changes, update, &mut Vec::new());
                self.note_completeness(update);
                Err(err)
            }
        }
    }

    /// Merges and activates a newer update that another host has accepted.
    ///
    /// # Errors
    ///
    /// Fails if the merged values are invalid here; the active values remain unchanged.
    pub fn merge_accepted(
        &mut self,
        update: &ValueUpdate,
        builder: &ConfigBuilder,
    ) -> Result<BuiltConfig> {
        let mut replaced = Vec::new();
        merge_changes(&mut self.values, update, &mut replaced);
        let config = builder.call(&self.values).inspect_err(|_| {
            restore(&mut self.values, replaced);
        })?;
        let values = &self.values;
        self.refused_changes
            .retain(|key, value| values.get(key).is_none_or(|v| v.revision < value.revision));
        self.accept(update);
        Ok(config)
    }

    /// Builds the configuration of the active values.
    ///
    /// # Errors
    ///
    /// Fails if the values are invalid for this builder.
    pub fn rebuild(&self, builder: &ConfigBuilder) -> Result<BuiltConfig> {
        builder.call(&self.values)
    }

    /// Returns the active values that changed after the revision `after`, or all values if
    /// some removals since then are not known here.
    #[must_use]
    pub fn changes_after(&self, after: Revision) -> ValueUpdate {
        let is_full = after < self.complete_from;
        let is_wanted = |value: &Value| {
            if is_full {
                value.json.is_some()
            } else {
                value.revision > after
            }
        };
        let values = self
            .values
            .iter()
            .filter(|(_, value)| is_wanted(value))
            .map(|(key, value)| ValueChange {
                key: Arc::clone(key),
                value: value.clone(),
            })
            .collect();
        ValueUpdate {
            revision: self.revision,
            values,
            is_full,
        }
    }

    fn accept(&mut self, update: &ValueUpdate) {
        self.revision = self.revision.max(update.revision);
        self.highest_revision = self.highest_revision.max(update.revision);
        self.note_completeness(update);
    }

    fn note_completeness(&mut self, update: &ValueUpdate) {
        if update.is_full {
            self.complete_from = self.complete_from.max(update.revision);
        }
    }
}

/// Values that a merge replaced, in order; `None` for keys that were not there.
type Replaced = Vec<(Name, Option<Value>)>;

fn merge_changes(values: &mut Values, update: &ValueUpdate, replaced: &mut Replaced) {
    for change in &update.values {
        merge_value(values, &change.key, &change.value, replaced);
    }
}

fn merge_value(values: &mut Values, key: &Name, value: &Value, replaced: &mut Replaced) {
    if values.get(key).is_none_or(|known| replaces(value, known)) {
        let known = values.insert(Arc::clone(key), value.clone());
        replaced.push((Arc::clone(key), known));
    }
}

/// Undoes a merge.
fn restore(values: &mut Values, replaced: Replaced) {
    for (key, value) in replaced.into_iter().rev() {
        match value {
            Some(value) => drop(values.insert(key, value)),
            None => drop(values.remove(&key)),
        }
    }
}

/// Returns true if a value replaces the known one.
///
/// The copy from which a store was restored may hold an older version, which its writer will
/// replace again.
fn replaces(value: &Value, known: &Value) -> bool {
    let is_same_era = value.revision.era == known.revision.era;
    let is_removal = value.json.is_none();
    value.revision > known.revision && (is_same_era || is_removal || value.version >= known.version)
}
