//! Remembers the routes that were in force on this host and were removed.
//!
//! A lane resets the open flows of such a route. A route that is merely missing may be newer than
//! the configuration of this host.

use std::sync::Arc;
use std::time::Duration;

use super::tables::Tables;
use crate::snapshot::RemovedRoute;

/// Time for which a removed route is remembered: the longest lifetime of a flow.
const RETENTION: Duration = Duration::from_mins(1);

/// Records the routes that the last change of the configuration removed or brought back, and
/// forgets old ones.
pub(super) fn run(tables: &mut Tables, now: Duration) {
    note_changes(tables, now);
    let is_old = |row: &RemovedRoute| now >= row.removed_at + RETENTION;
    if tables.snapshot.removed_routes.values().any(is_old) {
        let rows = Arc::make_mut(&mut tables.snapshot.removed_routes);
        rows.retain(|_, row| !is_old(row));
        tables.output.snapshot_changed = true;
    }
}

fn note_changes(tables: &mut Tables, now: Duration) {
    let routes = Arc::clone(&tables.snapshot.routes);
    if Arc::ptr_eq(&tables.known_routes, &routes) {
        return;
    }
    let earlier = std::mem::replace(&mut tables.known_routes, Arc::clone(&routes));
    let removed: Vec<_> = earlier
        .keys()
        .filter(|vip| !routes.contains_key(vip))
        .collect();
    let returned = |vip| routes.contains_key(vip);
    if removed.is_empty() && !tables.snapshot.removed_routes.keys().any(returned) {
        return;
    }
    let row = RemovedRoute {
        revision: tables.values.revision,
        removed_at: now,
    };
    let rows = Arc::make_mut(&mut tables.snapshot.removed_routes);
    rows.retain(|vip, _| !routes.contains_key(vip));
    rows.extend(removed.iter().map(|vip| (**vip, row)));
    tables.output.snapshot_changed = true;
    if !removed.is_empty() {
        log::info!(count = removed.len(), revision = row.revision.number; "routes_removed");
    }
}
