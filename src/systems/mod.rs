//! Systems that run over the tables of a traffic lane.
//!
//! Each system is a function `fn run(&mut Tables, now, &mut Outbox)` that does one job
//! and runs once per tick. A tick handles a batch of packets or a timer event. The
//! `route` system takes the packets from the inbox and queues each one for the system
//! that handles it. Systems do no I/O, decode no bytes and read no clock.

mod admit;
mod dispatch;
mod drain;
mod endpoint;
mod expire;
mod flow;
mod greet;
mod idle;
mod open;
mod outcome;
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

pub use self::policies::{Admit, NextRequest, PlaceFlow, PlaceRequest, Policies, Retry, Tuning};
pub use self::relay::{capacity_share, explain, zone_spill};

use std::sync::Arc;
use std::time::Duration;

use crate::id::FlowKey;
use crate::packet::{Body, Packet};
use crate::report::PeerReports;
use crate::snapshot::Snapshot;
use crate::tables::{Outbox, Tables};

/// Longest time between two ticks, reached when the lane has no traffic.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Largest number of packets handled in one tick.
pub const BATCH_SIZE: usize = 64;

/// One timer tick examines `1 / SWEEP_DIVISOR` of the flow table.
const SWEEP_DIVISOR: usize = 20;

/// Replaces the lane's snapshot and updates the tables that depend on it.
pub fn apply_snapshot(
    tables: &mut Tables,
    snapshot: Arc<Snapshot>,
    now: Duration,
    out: &mut Outbox,
) {
    sync::run(tables, snapshot, now, out);
    tables.shared_health.request_check();
}

/// Replaces the reports of other hosts that the lane decides from.
pub fn apply_reports(tables: &mut Tables, reports: Arc<PeerReports>) {
    tables.peer_reports = reports;
    tables.shared_health.request_check();
}

/// Handles the packets in the inbox by running every packet system once.
///
/// The inbox must hold at most [`BATCH_SIZE`] packets. Fewer than that means that the
/// socket had no more to read. `now` must be read after the inbox was filled.
pub fn run(tables: &mut Tables, now: Duration, out: &mut Outbox) {
    let last_tick = pause::run(tables, now);
    let drained = tables.pending_input() < BATCH_SIZE;
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
        // The socket was read until it was empty, some time after the previous tick.
        tables.last_drained = last_tick;
    }
}

/// Handles what the lane has taken and not passed on yet, before it stops.
pub fn finish(tables: &mut Tables, now: Duration, out: &mut Outbox) {
    relay::finish(tables, now, out);
}

/// Runs the timer systems. Call it at least once every [`TICK_INTERVAL`].
pub fn run_timers(tables: &mut Tables, now: Duration, out: &mut Outbox) {
    pause::detect(tables, now);
    recover::run(tables, now, out);
    retry::run(tables, now, out);
    expire::run(tables, now, out);
    placement::probe_unhealthy(tables, now, out);
    probe::run(tables, now, out);
    let due_flows = sweep_flows(tables, now);
    idle::run(tables, &due_flows, now);
    drain::run(tables, &due_flows, now, out);
    relay::run_timers(tables, now, out);
}

/// Returns the flows in the next part of the table that may be idle or overdue to drain.
fn sweep_flows(tables: &mut Tables, now: Duration) -> Vec<FlowKey> {
    let services = tables.snapshot.services.values();
    let shortest_idle = services.map(|service| service.idle_limit).min();
    let any_draining = tables
        .endpoints
        .iter()
        .any(|row| row.draining_since.is_some());
    tables.flows.sweep_due(SWEEP_DIVISOR, |flow| {
        let may_be_idle = shortest_idle.is_none_or(|idle| now >= flow.last_heard + idle);
        any_draining || may_be_idle
    })
}

/// Forwards a packet to another lane. The time that a request may have waited here is
/// subtracted from its time left, and a request without any time left is dropped.
fn forward(tables: &mut Tables, to: std::net::SocketAddr, packet: &Packet, out: &mut Outbox) {
    let mut packet = packet.clone();
    if let Body::Ask { time_left, .. } = &mut packet.body {
        *time_left = time_left.saturating_sub(tables.max_wait);
        if time_left.is_zero() {
            return;
        }
    }
    tables.counters.home_forwards += 1;
    packet.hops += 1;
    out.send(to, packet);
}
