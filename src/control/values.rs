//! Configuration values: in force, and refused drafts.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Serialize;

use super::message::{Value, ValueChange, ValueUpdate};
use crate::error::Result;
use crate::id::Name;
use crate::segment::Route;
use crate::snapshot::Service;
use crate::ticket::TicketKeys;

/// Values by key.
pub type Values = BTreeMap<Name, Value>;

/// What a set of values amounts to for this host.
#[derive(Clone, Debug, Default)]
pub struct BuiltConfig {
    /// Services in force.
    pub services: Vec<Service>,
    /// Routes of segments by the address that callers send to.
    pub routes: HashMap<SocketAddr, Route>,
    /// Sealing keys, if the values name any.
    pub keys: Option<TicketKeys>,
}

type BuildFn = dyn Fn(&Values) -> Result<BuiltConfig> + Send + Sync;

/// Checks a set of values as a whole and builds it.
#[derive(Clone)]
pub struct ConfigBuilder(Arc<BuildFn>);

impl ConfigBuilder {
    /// Builds through a closure.
    pub fn new(build: impl Fn(&Values) -> Result<BuiltConfig> + Send + Sync + 'static) -> Self {
        Self(Arc::new(build))
    }

    fn call(&self, values: &Values) -> Result<BuiltConfig> {
        (self.0)(values)
    }
}

impl fmt::Debug for ConfigBuilder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ConfigBuilder(..)")
    }
}

/// Values in force, and changes that were refused.
#[derive(Debug, Default, Serialize)]
pub struct ValueTable {
    /// Revision in force.
    pub revision: u64,
    /// Highest revision seen, refused ones included.
    #[serde(rename = "seen")]
    pub highest_revision: u64,
    /// Values in force.
    pub values: Values,
    /// Refused changes, waiting for a later one that mends them.
    #[serde(rename = "draft")]
    pub refused_changes: Values,
}

impl ValueTable {
    /// Puts a newer update into force, refused changes before it included.
    ///
    /// # Errors
    ///
    /// Fails when the values do not build; what was in force stays.
    pub fn merge(&mut self, update: &ValueUpdate, build: &ConfigBuilder) -> Result<BuiltConfig> {
        self.highest_revision = self.highest_revision.max(update.revision);
        let mut values = self.values.clone();
        merge_values(&mut values, &self.refused_changes);
        merge_changes(&mut values, update);
        match build.call(&values) {
            Ok(config) => {
                self.accept(values, update.revision);
                Ok(config)
            }
            Err(err) => {
                merge_changes(&mut self.refused_changes, update);
                Err(err)
            }
        }
    }

    /// Puts a newer update of another host into force, which has accepted it.
    ///
    /// # Errors
    ///
    /// Fails when the values do not build here; what was in force stays.
    pub fn merge_accepted(
        &mut self,
        update: &ValueUpdate,
        build: &ConfigBuilder,
    ) -> Result<BuiltConfig> {
        let mut values = self.values.clone();
        merge_changes(&mut values, update);
        let config = build.call(&values)?;
        self.refused_changes
            .retain(|key, value| values.get(key).is_none_or(|v| v.revision < value.revision));
        let draft = std::mem::take(&mut self.refused_changes);
        self.accept(values, update.revision);
        self.refused_changes = draft;
        Ok(config)
    }

    /// Values above `after`.
    #[must_use]
    pub fn changes_after(&self, after: u64) -> ValueUpdate {
        let values = self
            .values
            .iter()
            .filter(|(_, value)| value.revision > after)
            .map(|(key, value)| ValueChange {
                key: Arc::clone(key),
                value: value.clone(),
            })
            .collect();
        ValueUpdate {
            revision: self.revision,
            values,
            is_full: false,
        }
    }

    fn accept(&mut self, values: Values, revision: u64) {
        self.values = values;
        self.refused_changes.clear();
        self.revision = self.revision.max(revision);
        self.highest_revision = self.highest_revision.max(revision);
    }
}

fn merge_values(values: &mut Values, newer: &Values) {
    for (key, value) in newer {
        merge_value(values, key, value);
    }
}

fn merge_changes(values: &mut Values, update: &ValueUpdate) {
    for change in &update.values {
        merge_value(values, &change.key, &change.value);
    }
}

fn merge_value(values: &mut Values, key: &Name, value: &Value) {
    let known = values.get(key).map_or(0, |known| known.revision);
    if value.revision > known {
        values.insert(Arc::clone(key), value.clone());
    }
}
