//! Records which zones are evacuated and since when this host knows it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;

use super::tables::Tables;
use crate::clock::millis;
use crate::id::Name;

/// Evacuation orders in force.
#[derive(Debug, Default, Serialize)]
pub struct EvacuationTable {
    /// Time at which each order came into force on this host, by zone.
    pub orders: BTreeMap<Name, Duration>,
    /// Age of the oldest order at the last event; zero without an order.
    #[serde(rename = "oldest")]
    pub oldest_age: Duration,
}

/// Logs the orders that came into force or ended, and updates their ages.
pub(super) fn run(tables: &mut Tables, now: Duration) {
    let zones = Arc::clone(&tables.snapshot.evacuated_zones);
    let revision = tables.values.revision.number;
    let orders = &mut tables.evacuations.orders;
    orders.retain(|zone, since| {
        let stands = zones.contains(zone);
        if !stands {
            let age_ms = millis(now.saturating_sub(*since));
            log::info!(zone:%, age_ms, revision; "zone_returned");
        }
        stands
    });
    for zone in zones.iter() {
        orders.entry(Arc::clone(zone)).or_insert_with(|| {
            log::info!(zone:%, age_ms = 0, revision; "zone_evacuated");
            now
        });
    }
    let oldest = orders.values().min();
    tables.evacuations.oldest_age =
        oldest.map_or(Duration::ZERO, |since| now.saturating_sub(*since));
}
