//! Publishes a snapshot to the traffic lanes when its contents have changed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::tables::Tables;
use super::{Action, Outbox};
use crate::snapshot::Lease;

/// Minimum extension of the lease that justifies a new snapshot.
const MIN_LEASE_EXTENSION: Duration = Duration::from_millis(250);

/// Minimum time by which the configuration must be current for longer to justify a new snapshot.
const MIN_CURRENT_EXTENSION: Duration = Duration::from_millis(250);

/// Publishes a snapshot if its contents changed, if the lease was lost or extended by at least
/// [`MIN_LEASE_EXTENSION`], or if the configuration is known to be current for a later time.
pub(super) fn run(tables: &mut Tables, now: Duration, outbox: &mut Outbox) {
    let leaving = tables.me.leaving_since.is_some();
    let lease_changed = is_lease_changed(tables, now);
    let is_changed = tables.output.snapshot_changed
        || lease_changed
        || leaving != tables.snapshot.leaving
        || tables.snapshot.current_at >= tables.output.current_at + MIN_CURRENT_EXTENSION;
    if !is_changed {
        return;
    }
    tables.output.snapshot_changed = false;
    tables.output.current_at = tables.snapshot.current_at;
    tables.snapshot.leaving = leaving;
    tables.snapshot.expected_hosts = count_expected_hosts(tables);
    tables.snapshot.hosts_changed = tables.lease_state.hosts_changed;
    tables.snapshot.partial_lease = Lease {
        until: tables.lease_state.lease_until,
    };
    tables.snapshot.lease = full_lease(tables);
    tables.counters.snapshots_published += 1;
    outbox.push(Action::Publish(Arc::new(tables.snapshot.clone())));
}

/// Returns the number of hosts that share the load.
///
/// A host that has just started knows few members yet, so it counts half of the seeds it
/// has not met as hosts that will come up.
fn count_expected_hosts(tables: &Tables) -> u32 {
    let remaining = tables.live_members().filter(|member| !member.leaving);
    let is_known = |seed: &SocketAddr| tables.members.values().any(|m| m.info.peer_addr == *seed);
    let unknown_seeds = tables.settings.seeds.iter().filter(|seed| !is_known(seed));
    u32::try_from(remaining.count() + unknown_seeds.count().div_ceil(2) + 1).unwrap_or(u32::MAX)
}

/// Returns the lease for all flows, which is empty while earlier views limit it.
fn full_lease(tables: &Tables) -> Lease {
    if tables.snapshot.earlier_views.is_empty() {
        tables.snapshot.partial_lease
    } else {
        Lease::default()
    }
}

fn is_lease_changed(tables: &Tables, now: Duration) -> bool {
    let published = tables.snapshot.partial_lease.until;
    let until = tables.lease_state.lease_until;
    let renewed = until > now && until >= published + MIN_LEASE_EXTENSION;
    let lost = until < published && published > now;
    renewed || lost
}
