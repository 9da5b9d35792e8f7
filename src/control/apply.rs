//! Puts updates of configuration values into force.

use std::sync::Arc;

use super::message::ValueUpdate;
use super::tables::Tables;
use super::values::BuiltConfig;
use crate::error::Result;
use crate::revision::Revision;

/// Merges an update that was read from the platform.
pub(super) fn from_platform(tables: &mut Tables, update: &ValueUpdate) {
    let builder = tables.settings.config_builder.clone();
    let merged = tables.values.merge(update, &builder);
    finish(tables, update, merged, "store");
}

/// Merges a newer update that another host has accepted.
pub(super) fn from_host(tables: &mut Tables, update: &ValueUpdate) {
    let builder = tables.settings.config_builder.clone();
    let merged = tables.values.merge_accepted(update, &builder);
    finish(tables, update, merged, "host");
}

/// Builds the configuration anew from the active values, after a change of the settings.
pub(super) fn rebuild(tables: &mut Tables) {
    if tables.values.revision.is_none() {
        return;
    }
    let builder = tables.settings.config_builder.clone();
    match tables.values.rebuild(&builder) {
        Ok(config) => activate(tables, config, "settings"),
        Err(err) => {
            tables.counters.refused_values += 1;
            log::warn!(source = "settings", cause:% = err; "values_refused");
        }
    }
}

fn finish(tables: &mut Tables, update: &ValueUpdate, merged: Result<BuiltConfig>, source: &str) {
    match merged {
        Ok(config) => activate(tables, config, source),
        Err(err) => {
            tables.counters.refused_values += 1;
            let Revision { era, number } = update.revision;
            log::warn!(source, era, revision = number, cause:% = err; "values_refused");
        }
    }
}

/// Activates the configuration built from values that were accepted from `source`.
fn activate(tables: &mut Tables, built: BuiltConfig, source: &str) {
    tables.counters.accepted_values += 1;
    tables.counters.refused_entries += built.refused_values;
    tables.freshness.has_stale_routes = built.has_stale_routes;
    let keys = built.keys.unwrap_or_else(|| tables.settings.keys.clone());
    let mut snapshot = tables.snapshot.clone().with_services(built.services);
    snapshot.revision = tables.values.revision;
    snapshot.keys = keys;
    snapshot.routes = Arc::new(built.routes);
    snapshot.evacuated_zones = Arc::new(built.evacuated_zones);
    tables.snapshot = snapshot;
    tables.output.snapshot_changed = true;
    let Revision { era, number } = tables.values.revision;
    log::info!(source, era, revision = number; "values_in_force");
}
