//! Determines for which time the configuration in force is known to be current.
//!
//! An answer of the platform contains every change that it accepted before the read was sent. A
//! host that is not behind another one has every change that the other one has read.

use std::time::Duration;

use serde::Serialize;

use super::message::{Heartbeat, ValueUpdate};
use super::settings::ReadPacing;
use super::tables::Tables;

/// Longest time that a response takes once it has begun.
const MAX_TRANSFER_TIME: Duration = Duration::from_millis(500);

/// What this host knows of the age of its configuration.
#[derive(Debug, Default, Serialize)]
pub struct Freshness {
    /// When the last read was sent whose answer is in force.
    #[serde(rename = "read")]
    last_read: Duration,
    /// True while the newest routes are known to be missing, since they could not be decoded.
    #[serde(rename = "stale")]
    pub(super) has_stale_routes: bool,
}

/// Records an answer of the platform to the read in flight, after its values were applied.
pub(super) fn note_answer(tables: &mut Tables, update: &ValueUpdate) {
    if tables.values.revision >= update.revision {
        tables.freshness.last_read = tables.platform_reads.values.started_at;
    }
}

/// Records for which time the values of another host are current, by its newest heartbeat.
///
/// The heartbeat was sent after the one of this host that it acknowledges. The time of its arrival
/// says less: it may have waited while this process was paused.
pub(super) fn note_heartbeat(tables: &mut Tables, heartbeat: &Heartbeat) {
    let read_time = max_read_time(&tables.settings.read_pacing);
    let Some(member) = tables.members.get_mut(&heartbeat.from) else {
        return;
    };
    let (Some(acked), Some(read_age)) = (member.acked_timestamp, heartbeat.read_age) else {
        return;
    };
    let current_at = acked.saturating_sub(read_age).saturating_sub(read_time);
    member.current_at = member.current_at.max(current_at);
}

/// Updates the time for which the configuration of the next snapshot is current.
pub(super) fn run(tables: &mut Tables) {
    let known = tables.values.revision;
    if tables.freshness.has_stale_routes || known.is_none() {
        return;
    }
    let members = tables.live_members();
    let current = members.filter(|member| member.revision <= known);
    let times = current.map(|member| member.current_at);
    let newest = times.chain([tables.freshness.last_read]).max();
    let current_at = &mut tables.snapshot.current_at;
    *current_at = newest.unwrap_or_default().max(*current_at);
}

/// Returns the longest time from a read to the end of its answer.
fn max_read_time(pacing: &ReadPacing) -> Duration {
    pacing.min_wait + pacing.wait_jitter + pacing.response_time + MAX_TRANSFER_TIME
}
