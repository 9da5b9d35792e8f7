//! Decides when values may be fetched from another availability zone.
//!
//! In a large group most hosts first hear of a new revision from another zone, because most
//! hosts are there. If each of them fetched it at once, the values would cross zones once for
//! each host. A few hosts of each zone therefore fetch from other zones at once, and the rest
//! waits until a host of its own zone has the revision.

use std::time::Duration;

use super::heartbeat::FANOUT;
use super::tables::{MissingRevision, Tables};

/// Hosts of a zone that fetch from other zones at once, so that one remains if two fail.
const FORWARDERS: usize = 3;

/// Time after which any host fetches from other zones. A change that its own zone does not have by
/// then is still in force within the 5 s that are allowed.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Time that each known value adds to the pause after a fetch, because applying a change takes
/// time in proportion to the number of values: with 3,000 values about 2 ms of processor time.
const PAUSE_PER_VALUE: Duration = Duration::from_micros(50);

/// Number of values that add nothing to the pause.
const FREE_VALUES: usize = 1_000;

/// Longest time that the number of values adds to the pause.
const MAX_PAUSE: Duration = Duration::from_millis(200);

/// Records since when this host has lacked a revision that another host has.
pub(super) fn run(tables: &mut Tables, now: Duration) {
    let known = tables.values.revision;
    if tables
        .fetch
        .missing
        .is_some_and(|missing| missing.revision > known)
    {
        return;
    }
    let newest = tables.live_members().map(|member| member.revision).max();
    tables.fetch.missing =
        newest
            .filter(|newest| *newest > known)
            .map(|revision| MissingRevision {
                revision,
                since: now,
            });
}

/// Returns true if this host may fetch values from other availability zones.
///
/// A host without values always may.
pub(super) fn is_allowed(tables: &Tables, now: Duration) -> bool {
    let is_small = tables.live_members().count() <= FANOUT;
    let has_waited = |missing: MissingRevision| now >= missing.since + MAX_WAIT;
    is_small
        || tables.values.revision.is_none()
        || tables.fetch.missing.is_some_and(has_waited)
        || is_forwarder(tables)
}

/// Returns the pause after a fetch that depends on the number of values.
pub(super) fn values_pause(tables: &Tables) -> Duration {
    let count = tables.values.values.len().saturating_sub(FREE_VALUES);
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    PAUSE_PER_VALUE.saturating_mul(count).min(MAX_PAUSE)
}

/// Returns true if fewer than [`FORWARDERS`] live hosts of the own zone have a lower id.
fn is_forwarder(tables: &Tables) -> bool {
    let zone = &tables.me.info.availability_zone;
    let before_me = tables.live_members().filter(|member| {
        member.info.availability_zone == *zone && !member.leaving && member.id < tables.me.id
    });
    before_me.count() < FORWARDERS
}
