//! Planned shutdown: announces it, waits for work in flight, reports the departure, exits.

use std::time::Duration;

use super::tables::Tables;
use super::{Action, Outbox, heartbeat};
use crate::id::Id;

/// Minimum time between the announcement and the departure.
const MIN_LEAVE_TIME: Duration = Duration::from_secs(1);

/// Starts the shutdown and announces it to the other hosts.
pub(super) fn start(tables: &mut Tables, now: Duration, outbox: &mut Outbox) {
    if tables.me.leaving_since.is_some() {
        return;
    }
    tables.me.leaving_since = Some(now);
    tables.me.version += 1;
    tables.heartbeats.next_round = now;
    heartbeat::run(tables, now, outbox);
    log::info!("leaving");
}

/// Records that no work is in flight.
pub(super) fn record_drained(tables: &mut Tables) {
    tables.output.drained = true;
}

/// Completes the shutdown once no work is in flight or the drain limit has passed.
pub(super) fn run(tables: &mut Tables, now: Duration, outbox: &mut Outbox) {
    let Some(since) = tables.me.leaving_since else {
        return;
    };
    let waited = now.saturating_sub(since);
    let drained = tables.output.drained && waited >= MIN_LEAVE_TIME;
    if tables.me.has_left || !(drained || waited >= tables.settings.drain_limit) {
        return;
    }
    announce_departure(tables, now, outbox);
    log::info!(waited_ms = waited.as_secs_f64() * 1e3; "left");
    outbox.push(Action::Exit);
}

fn announce_departure(tables: &mut Tables, now: Duration, outbox: &mut Outbox) {
    tables.me.has_left = true;
    tables.me.version += 1;
    let live: Vec<Id> = tables.live_members().map(|member| member.id).collect();
    for id in live {
        heartbeat::send(tables, now, id, false, outbox);
    }
}
