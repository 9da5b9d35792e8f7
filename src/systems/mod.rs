//! Systems of a traffic lane.
//!
//! Each system has one job and runs over the tables once a tick:
//! `fn run(&mut Tables, now, &mut Outbox)`. A tick is a batch of packets or a
//! timer. Packets wait in the inbox; `route` decides which system each is for,
//! and the others deal with theirs. None of them sees a socket, bytes or a clock.

mod admit;
mod dispatch;
mod drain;
mod endpoint;
mod expire;
mod flow;
mod greet;
mod idle;
mod open;
mod pause;
mod placement;
mod policies;
mod probe;
mod recover;
mod relay;
mod request;
mod retry;
mod route;
mod stateless;
mod sync;
mod verdict;

pub use self::policies::{Admit, NextRequest, PlaceFlow, PlaceRequest, Policies, Retry, Tuning};

use std::sync::Arc;
use std::time::Duration;

use crate::id::FlowKey;
use crate::packet::{Body, Packet};
use crate::snapshot::Snapshot;
use crate::tables::{Outbox, Tables};

/// Longest time between two ticks, reached when the lane has no traffic.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Largest number of packets handled in one tick.
pub const BATCH_SIZE: usize = 64;

/// Part of the flow table that one timer tick looks at, as a divisor.
const SWEEP_DIVISOR: usize = 20;

/// Takes over a new snapshot.
pub fn apply_snapshot(
    tables: &mut Tables,
    snapshot: Arc<Snapshot>,
    now: Duration,
    out: &mut Outbox,
) {
    sync::run(tables, snapshot, now, out);
}

/// Runs every system once over the inbox and the tables.
///
/// The inbox holds at most [`BATCH_SIZE`] packets; a shorter one says that nothing
/// more waits to be read. `now` is read after the inbox was filled.
pub fn run(tables: &mut Tables, now: Duration, out: &mut Outbox) {
    let last_tick = pause::run(tables, now);
    let drained = tables.waiting() < BATCH_SIZE;
    route::run(tables, now, out);
    greet::run(tables, out);
    stateless::run(tables, now, out);
    open::run(tables, now, out);
    flow::run(tables, now, out);
    request::run(tables, now, out);
    endpoint::run(tables, now, out);
    dispatch::run(tables, now, out);
    relay::run(tables, now, out);
    if drained {
        // A short batch was read from a socket that held no more, after the last tick.
        tables.last_drained = last_tick;
    }
}

/// Runs the systems that only time drives, at least every [`TICK_INTERVAL`].
pub fn run_timers(tables: &mut Tables, now: Duration, out: &mut Outbox) {
    pause::detect(tables, now);
    recover::run(tables, now, out);
    retry::run(tables, now, out);
    expire::run(tables, now, out);
    placement::request_silent_loads(tables, now, out);
    probe::run(tables, now, out);
    let due_flows = sweep_flows(tables, now);
    idle::run(tables, &due_flows, now);
    drain::run(tables, &due_flows, now, out);
    relay::run_timers(tables, now, out);
}

/// Flows that a timer system may have to act on, of the next part of the table.
fn sweep_flows(tables: &mut Tables, now: Duration) -> Vec<FlowKey> {
    let services = tables.snapshot.services.values();
    let idle = services.map(|service| service.idle).min();
    let any_leaving = tables
        .endpoints
        .iter()
        .any(|row| row.draining_since.is_some());
    tables.flows.sweep(SWEEP_DIVISOR, |flow| {
        let is_idle = idle.is_none_or(|idle| now >= flow.last_heard + idle);
        any_leaving || is_idle
    })
}

/// Passes a packet on to another lane; time that a request waited here is taken
/// off what it has left.
fn forward(tables: &mut Tables, to: std::net::SocketAddr, packet: &Packet, out: &mut Outbox) {
    let mut packet = packet.clone();
    if let Body::Ask { budget, .. } = &mut packet.body {
        *budget = budget.saturating_sub(tables.max_wait);
        if budget.is_zero() {
            return;
        }
    }
    tables.counters.forwarded += 1;
    packet.hops += 1;
    out.send(to, packet);
}
