//! Stand-in for a backend server of one service and one endpoint name.
//!
//! It follows the backend table of `docs/PROTOCOL.md`: flows and dispatches are
//! tables, `systems` has the functions that run over them on packets and ticks.
//! The ops port lets scripts drain it, make it shed or cold, and read what ran.

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
use tables::{Limits, World};

/// Time between two runs of the stream system.
const TICK: Duration = Duration::from_millis(20);

/// Stand-in for a backend server.
#[derive(Bpaf)]
#[bpaf(options)]
struct Options {
    /// Service it serves
    service: String,
    /// Endpoint name
    name: String,
    /// Address for packets
    listen: SocketAddr,
    /// Address of the fabric
    fabric: SocketAddr,
    /// Address of the HTTP port
    ops: SocketAddr,
    /// Requests run at once
    #[bpaf(fallback(3))]
    slots: usize,
    /// Flows held at once
    #[bpaf(fallback(2000))]
    conns: usize,
    /// Dispatches that may wait for a slot
    #[bpaf(fallback(6))]
    queue: usize,
    /// Milliseconds that short work holds a slot; long work takes 50 times that
    #[bpaf(fallback(10))]
    work_ms: u64,
    /// Milliseconds between two lines of a stream
    #[bpaf(fallback(200))]
    feed_ms: u64,
    /// Seed of the shedding
    #[bpaf(fallback(1))]
    seed: u64,
}

#[derive(Clone)]
struct Backend {
    world: Shared<World>,
    clock: Clock,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<()> {
    let options = options().run();
    let limits = Limits {
        slots: options.slots,
        conns: options.conns,
        queue: options.queue,
        work: Duration::from_millis(options.work_ms),
        feed: Duration::from_millis(options.feed_ms.max(1)),
    };
    let world = World::new(&options.service, options.name.into(), limits, options.seed);
    let backend = Backend {
        world: Arc::new(std::sync::Mutex::new(world)),
        clock: Clock::monotonic(),
    };
    let socket = link::bind(options.listen).await?;
    let routes = Router::new()
        .route("/drain", post(set_drain))
        .route("/shed", post(set_shed))
        .route("/cold", post(set_cold))
        .route("/executed", get(get_executed))
        .route("/flows", get(get_flows))
        .route("/state", get(get_state))
        .with_state(backend.clone());
    tokio::select! {
        done = ops::serve(options.ops, routes) => done,
        () = run(&backend, &socket, options.fabric) => Ok(()),
    }
}

/// Feeds packets and ticks to the systems and sends what they put out.
async fn run(backend: &Backend, socket: &tokio::net::UdpSocket, fabric: SocketAddr) {
    let mut tick = interval(TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let pause = lock(&backend.world).next_end(backend.clock.now());
        tokio::select! {
            (packet, from) = link::receive(socket) => {
                systems::handle(&mut lock(&backend.world), backend.clock.now(), from, &packet);
            }
            () = sleep(pause) => {}
            _ = tick.tick() => {
                systems::feed(&mut lock(&backend.world), backend.clock.now());
            }
        }
        let out = {
            let mut world = lock(&backend.world);
            systems::finish(&mut world, backend.clock.now());
            std::mem::take(&mut world.outbox)
        };
        for packet in &out {
            link::send(socket, fabric, packet).await;
        }
    }
}

async fn set_drain(State(backend): State<Backend>) {
    lock(&backend.world).draining = true;
}

#[derive(Deserialize)]
struct Shed {
    share: f64,
}

async fn set_shed(State(backend): State<Backend>, Json(shed): Json<Shed>) {
    lock(&backend.world).shed = shed.share.clamp(0.0, 1.0);
}

#[derive(Deserialize)]
struct Cold {
    factor: u32,
    for_ms: u64,
}

async fn set_cold(State(backend): State<Backend>, Json(cold): Json<Cold>) {
    let until = backend.clock.now() + Duration::from_millis(cold.for_ms);
    lock(&backend.world).cold = (until, cold.factor);
}

/// Every request that was started, with the number of times.
async fn get_executed(State(backend): State<Backend>) -> Json<Value> {
    let world = lock(&backend.world);
    let executed: Vec<Value> = world
        .executed
        .iter()
        .map(|((key, request), run)| {
            json!({"caller": key.caller, "flow": key.flow, "request": request,
                "class": run.class, "runs": run.count})
        })
        .collect();
    Json(json!({"count": executed.len(), "executed": executed}))
}

async fn get_flows(State(backend): State<Backend>) -> Json<Value> {
    let world = lock(&backend.world);
    let flows: Vec<&FlowKey> = world.flows.keys().collect();
    Json(json!(flows))
}

async fn get_state(State(backend): State<Backend>) -> Json<Value> {
    let world = lock(&backend.world);
    Json(json!({
        "name": world.name,
        "load": world.load(),
        "waiting": world.waiting.len(),
        "counts": world.counts,
    }))
}
