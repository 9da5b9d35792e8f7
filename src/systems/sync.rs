//! Applies a new snapshot to the tables.

use std::sync::Arc;
use std::time::Duration;

use super::{probe, relay};
use crate::snapshot::Snapshot;
use crate::tables::{Outbox, Tables};

pub(super) fn run(tables: &mut Tables, snapshot: Arc<Snapshot>, now: Duration, out: &mut Outbox) {
    let services_unchanged = Arc::ptr_eq(&tables.snapshot.services, &snapshot.services);
    let zones_unchanged = tables.snapshot.evacuated_zones == snapshot.evacuated_zones;
    tables.snapshot = snapshot;
    if !services_unchanged || tables.warmups.depends_on(&tables.snapshot.hosts) {
        tables.warmups.sync(&tables.snapshot, &tables.home, now);
    }
    if services_unchanged {
        if !zones_unchanged {
            let zones = &tables.snapshot.evacuated_zones;
            tables.endpoints.mark_evacuated(zones);
        }
        return;
    }
    if tables.endpoints.sync(&tables.snapshot, now) {
        relay::sync(tables, now);
    }
    let unknown: Vec<_> = tables
        .endpoints
        .iter()
        .filter(|row| row.load.incarnation == 0 && row.spec.relay_number == 0)
        .map(|row| row.spec.id)
        .collect();
    for id in unknown {
        probe::request_load(tables, id, now, out);
    }
}
