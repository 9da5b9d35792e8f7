//! Removals of values, which are held back after an outage or a restore of the platform.
//!
//! The time for which they are held back counts only if the platform could be reached throughout:
//! another outage restarts it (see `outages`), and a removal is applied once the platform has
//! answered this host or another one after that time.

use std::collections::HashSet;
use std::time::Duration;

use super::apply;
use super::message::{Value, ValueChange, ValueUpdate};
use super::tables::Tables;
use super::values::Values;
use crate::id::Name;
use crate::revision::Revision;

/// Holds back removals after an outage or a restore of the platform.
///
/// Values that expired during the outage, or that the copy does not contain, are registered
/// again soon after the recovery if their owner is still alive.
pub(super) fn hold(tables: &mut Tables, now: Duration, mut update: ValueUpdate) -> ValueUpdate {
    record_restore(tables, now, update.revision);
    if update.is_full {
        let removed = missing_removals(&tables.values.values, &update);
        update.values.extend(removed);
    }
    if now < tables.platform_reads.hold_until {
        let is_removal = |change: &ValueChange| change.value.json.is_none();
        let (held, kept) = update.values.into_iter().partition(is_removal);
        update.values = kept;
        let held: Vec<ValueChange> = held;
        tables.platform_reads.held_removals.extend(held);
    }
    update
}

/// Starts to hold back removals that are learned from another host.
///
/// That host may have read the platform right after an outage, without the values that
/// expired meanwhile.
pub(super) fn hold_from_now(tables: &mut Tables, now: Duration) {
    let hold_until = now + tables.settings.read_pacing.removal_hold;
    let reads = &mut tables.platform_reads;
    reads.hold_until = reads.hold_until.max(hold_until);
}

/// Holds back removals that another host holds back.
///
/// They are not among the values that it has in force, and once they are, their revision is
/// no longer newer than what this host has fetched from it.
pub(super) fn adopt(tables: &mut Tables, now: Duration, held: Vec<ValueChange>) {
    if held.is_empty() {
        return;
    }
    hold_from_now(tables, now);
    tables.platform_reads.held_removals.extend(held);
}

/// Adds the values that another host still uses and whose removal it holds back, and holds their
/// removal back too. Values that this host knows are not changed.
///
/// A host that starts while the platform serves an incomplete copy would not know them
/// until they are written again, and would drop what open flows send to their endpoints.
pub(super) fn adopt_values(
    tables: &mut Tables,
    now: Duration,
    update: &ValueUpdate,
    held: &[ValueChange],
) {
    let known = &tables.values.values;
    let unknown = held.iter().filter(|held| !known.contains_key(&held.key));
    let unknown: Vec<ValueChange> = unknown.cloned().collect();
    let keys: HashSet<&Name> = unknown.iter().map(|removal| &removal.key).collect();
    let values = update.values.iter().filter(|row| keys.contains(&row.key));
    let update = ValueUpdate {
        revision: tables.values.revision,
        values: values.cloned().collect(),
        is_full: false,
    };
    if update.values.is_empty() {
        return;
    }
    log::info!(count = update.values.len(); "held_values_fetched");
    adopt(tables, now, unknown);
    apply::from_host(tables, &update);
}

/// Returns the values in force whose removal is held back, and these removals, for a host with
/// the revision `known`. Newer values are left out: they may be all, for many hosts at once.
pub(super) fn held_values(tables: &Tables, known: Revision) -> (ValueUpdate, Vec<ValueChange>) {
    let held = &tables.platform_reads.held_removals;
    let keys: HashSet<&Name> = held.iter().map(|removal| &removal.key).collect();
    let values = tables.values.values.iter();
    let values = values
        .filter(|(key, value)| value.json.is_some() && keys.contains(key))
        .map(|(key, value)| ValueChange {
            key: Name::clone(key),
            value: value.clone(),
        });
    let update = ValueUpdate {
        revision: known,
        values: values.collect(),
        is_full: false,
    };
    (update, held.clone())
}

/// Returns the held removals that are newer than the revision `after`.
pub(super) fn held_after(tables: &Tables, after: Revision) -> Vec<ValueChange> {
    let held = tables.platform_reads.held_removals.iter();
    held.filter(|change| change.value.revision > after)
        .cloned()
        .collect()
}

/// Applies the removals that were held back long enough and are still current.
///
/// They wait while the platform is away again, since their owners cannot register.
pub(super) fn release(tables: &mut Tables) {
    let reads = &tables.platform_reads;
    if reads.held_removals.is_empty() || reads.last_answer < reads.hold_until {
        return;
    }
    let held = std::mem::take(&mut tables.platform_reads.held_removals);
    let revision = tables.values.revision;
    let is_current = |change: &&ValueChange| {
        let known = tables.values.values.get(&change.key);
        known.is_some_and(|value| value.revision <= change.value.revision)
    };
    let removals = held.iter().filter(is_current);
    let removals: Vec<ValueChange> = removals
        .map(|change| removal(&change.key, revision))
        .collect();
    log::info!(count = removals.len(), held = held.len(); "removals_in_force");
    let update = ValueUpdate {
        revision,
        values: removals,
        is_full: false,
    };
    apply::from_platform(tables, &update);
}

/// Starts to hold back removals if the platform has been restored since the last update.
fn record_restore(tables: &mut Tables, now: Duration, revision: Revision) {
    let known = tables.values.highest_revision;
    if known.is_none() || revision.era <= known.era {
        return;
    }
    tables.counters.restores += 1;
    tables.platform_reads.hold_until = now + tables.settings.read_pacing.removal_hold;
    log::warn!(
        era = revision.era, revision = revision.number,
        era_before = known.era, revision_before = known.number;
        "store_restored"
    );
}

/// Returns removals for the active values that a full update does not contain.
fn missing_removals(values: &Values, update: &ValueUpdate) -> Vec<ValueChange> {
    let listed: HashSet<&Name> = update.values.iter().map(|change| &change.key).collect();
    let known = values.iter().filter(|(_, value)| value.json.is_some());
    known
        .filter(|(key, _)| !listed.contains(key))
        .map(|(key, _)| removal(key, update.revision))
        .collect()
}

fn removal(key: &Name, revision: Revision) -> ValueChange {
    ValueChange {
        key: Name::clone(key),
        value: Value {
            revision,
            ..Value::default()
        },
    }
}
