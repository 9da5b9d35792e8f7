//! Simulated backend server: one endpoint of one service.
//!
//! It implements the backend side of `docs/PROTOCOL.md`. Flows and dispatches are
//! rows of tables; the functions in `systems` process them on each packet and tick.
//! Over the ops port, scripts can drain the server, make it refuse a share of the
//! dispatches or slow it down, and read which requests it has executed.

use axum::extract::State;
use axum::routing::{get, post};
use axum::{Json, Router};
use bpaf::Bpaf;
use jacinthhinge::prelude::*;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::{MissedTickBehavior, interval, sleep};

#[path = "../common/content.rs"]
mod content;
#[path = "../common/link.rs"]
mod link;
#[path = "../common/ops.rs"]
mod ops;
mod systems;
mod tables;

use ops::{Shared, lock};
use tables::{Limits, Tables};

/// Interval at which due stream lines are sent.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Simulated backend server.
#[derive(Bpaf)]
#[bpaf(options)]
struct Options {
    /// Name of the service
    service: String,
    /// Endpoint name
    name: String,
    /// Address on which to receive packets
    listen: SocketAddr,
    /// Address of the fabric, to which packets are sent
    fabric: SocketAddr,
    /// Address on which to serve HTTP
    #[bpaf(long("ops"))]
    ops_addr: SocketAddr,
    /// Maximum number of requests executed at the same time
    #[bpaf(fallback(3))]
    slots: usize,
    /// Maximum number of open flows
    #[bpaf(fallback(2000))]
    conns: usize,
    /// Maximum number of dispatches that wait for a slot
    #[bpaf(fallback(6))]
    queue: usize,
    /// Milliseconds for which a short request holds a slot; a long one takes 50 times as long
    #[bpaf(fallback(10))]
    work_ms: u64,
    /// Milliseconds between two lines sent on a stream
    #[bpaf(fallback(200))]
    feed_ms: u64,
    /// Seed of the random choice of dispatches to refuse
    #[bpaf(fallback(1))]
    seed: u64,
}

#[derive(Clone)]
struct Backend {
    tables: Shared<Tables>,
    clock: Clock,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<()> {
    let options = options().run();
    let limits = Limits {
        slots: options.slots,
        max_conns: options.conns,
        max_queued: options.queue,
        work_time: Duration::from_millis(options.work_ms),
        line_interval: Duration::from_millis(options.feed_ms.max(1)),
    };
    let tables = Tables::new(&options.service, options.name.into(), limits, options.seed);
    let backend = Backend {
        tables: Arc::new(std::sync::Mutex::new(tables)),
        clock: Clock::monotonic(),
    };
    let socket = link::bind(options.listen).await?;
    let routes = Router::new()
        .route("/drain", post(start_drain))
        .route("/shed", post(set_shed_share))
        .route("/cold", post(start_cold_period))
        .route("/executed", get(get_executed))
        .route("/flows", get(get_flows))
        .route("/state", get(get_state))
        .with_state(backend.clone());
    tokio::select! {
        done = ops::serve(options.ops_addr, routes) => done,
        () = run(&backend, &socket, options.fabric) => Ok(()),
    }
}

/// Runs the systems on each packet, tick and free slot, and sends the packets in the outbox.
async fn run(backend: &Backend, socket: &tokio::net::UdpSocket, fabric: SocketAddr) {
    let mut tick = interval(TICK_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let pause = lock(&backend.tables).time_until_free(backend.clock.now());
        tokio::select! {
            (packet, from) = link::receive(socket) => {
                systems::handle_packet(&mut lock(&backend.tables), backend.clock.now(), from, &packet);
            }
            () = sleep(pause) => {}
            _ = tick.tick() => {
                systems::send_due_lines(&mut lock(&backend.tables), backend.clock.now());
            }
        }
        let out = {
            let mut tables = lock(&backend.tables);
            systems::advance_runs(&mut tables, backend.clock.now());
            std::mem::take(&mut tables.outbox)
        };
        for packet in &out {
            link::send(socket, fabric, packet).await;
        }
    }
}

async fn start_drain(State(backend): State<Backend>) {
    lock(&backend.tables).draining = true;
}

#[derive(Deserialize)]
struct ShedChange {
    share: f64,
}

async fn set_shed_share(State(backend): State<Backend>, Json(change): Json<ShedChange>) {
    lock(&backend.tables).shed_share = change.share.clamp(0.0, 1.0);
}

#[derive(Deserialize)]
struct ColdPeriod {
    factor: u32,
    for_ms: u64,
}

async fn start_cold_period(State(backend): State<Backend>, Json(period): Json<ColdPeriod>) {
    let until = backend.clock.now() + Duration::from_millis(period.for_ms);
    lock(&backend.tables).cold_period = (until, period.factor);
}

/// Lists every request that was started, with the number of its executions.
async fn get_executed(State(backend): State<Backend>) -> Json<Value> {
    let tables = lock(&backend.tables);
    let executed: Vec<Value> = tables
        .executions
        .iter()
        .map(|((key, request), execution)| {
            json!({"caller": key.caller, "flow": key.flow, "request": request,
                "class": execution.class, "runs": execution.count})
        })
        .collect();
    Json(json!({"count": executed.len(), "executed": executed}))
}

async fn get_flows(State(backend): State<Backend>) -> Json<Value> {
    let tables = lock(&backend.tables);
    let flows: Vec<&FlowKey> = tables.flows.keys().collect();
    Json(json!(flows))
}

async fn get_state(State(backend): State<Backend>) -> Json<Value> {
    let tables = lock(&backend.tables);
    Json(json!({
        "name": tables.name,
        "load": tables.load(),
        "waiting": tables.queue.len(),
        "counts": tables.counts,
    }))
}
