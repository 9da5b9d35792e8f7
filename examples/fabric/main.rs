//! Stand-in for the fabric, which hands any packet to any host.
//!
//! It writes the caller's address into packets from callers, as a network writes
//! the source address, and passes packets of backend servers on as they are.
//! Each goes to a balancer drawn at random. Faults are drawn from a seed. Its
//! ops port cuts balancers off and sets the rates of the faults.

use std::collections::{BTreeMap, HashSet};

use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::{get, post};
use axum::{Json, Router};
use bpaf::Bpaf;
use jacinthhinge::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

#[path = "../common/link.rs"]
mod link;
#[path = "../common/ops.rs"]
mod ops;

use ops::{Shared, lock};

/// Extra delay of a reordered packet.
const REORDER_DELAY: Duration = Duration::from_millis(20);

/// Longest pause while no packet is held back.
const IDLE_PAUSE: Duration = Duration::from_secs(1);

/// Stand-in for the fabric.
#[derive(Bpaf)]
#[bpaf(options)]
struct Options {
    /// Address that callers and backend servers send to
    listen: SocketAddr,
    /// Traffic lane of a balancer; may be repeated
    #[bpaf(argument("ADDR"), some("give at least one balancer"))]
    balancer: Vec<SocketAddr>,
    /// Address of a backend server; may be repeated
    #[bpaf(argument("ADDR"), many)]
    backend: Vec<SocketAddr>,
    /// Address of the HTTP port
    ops: SocketAddr,
    /// Seed of the draws
    #[bpaf(fallback(1))]
    seed: u64,
    #[bpaf(external)]
    rates: Rates,
}

/// Faults, as shares of all packets.
#[derive(Bpaf, Clone, Copy, Deserialize)]
#[serde(default)]
#[derive(Default)]
struct Rates {
    /// Share of packets dropped
    #[bpaf(fallback(0.0))]
    drop: f64,
    /// Share of packets sent twice
    #[bpaf(fallback(0.0))]
    duplicate: f64,
    /// Share of packets held back behind later ones
    #[bpaf(fallback(0.0))]
    reorder: f64,
    /// Milliseconds that every packet takes
    #[bpaf(fallback(0))]
    delay_ms: u64,
}

struct Balancer {
    addr: SocketAddr,
    cut: bool,
}

#[derive(Clone, Copy, Default, Serialize)]
struct Counts {
    from_callers: u64,
    from_backends: u64,
    dropped: u64,
    duplicated: u64,
    reordered: u64,
    /// Packets that found every balancer cut off.
    unrouted: u64,
}

/// Packets held back, by the time at which they go on and their order.
type Held = BTreeMap<(Duration, u64), (Packet, SocketAddr)>;

struct World {
    balancers: Vec<Balancer>,
    backends: HashSet<SocketAddr>,
    rates: Rates,
    counts: Counts,
    held: Held,
    serial: u64,
    rng: StdRng,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<()> {
    let options = options().run();
    let balancers = options.balancer.into_iter();
    let world = Arc::new(std::sync::Mutex::new(World {
        balancers: balancers
            .map(|addr| Balancer { addr, cut: false })
            .collect(),
        backends: options.backend.into_iter().collect(),
        rates: options.rates,
        counts: Counts::default(),
        held: Held::new(),
        serial: 0,
        rng: StdRng::seed_from_u64(options.seed),
    }));
    let socket = link::bind(options.listen).await?;
    let routes = Router::new()
        .route("/cut", post(cut))
        .route("/heal", post(heal))
        .route("/rates", post(set_rates))
        .route("/counts", get(get_counts))
        .with_state(world.clone());
    tokio::select! {
        done = ops::serve(options.ops, routes) => done,
        () = run(&world, &socket) => Ok(()),
    }
}

async fn run(world: &Shared<World>, socket: &UdpSocket) {
    let clock = Clock::monotonic();
    loop {
        let pause = next_due(&lock(world), clock.now());
        tokio::select! {
            (packet, from) = link::receive(socket) => {
                route(&mut lock(world), clock.now(), from, packet);
            }
            () = tokio::time::sleep(pause) => {}
        }
        let due = take_due(&mut lock(world), clock.now());
        for (packet, to) in &due {
            link::send(socket, *to, packet).await;
        }
    }
}

/// Stamps a packet and lines it up for one balancer, as often as the faults say.
fn route(world: &mut World, now: Duration, from: SocketAddr, mut packet: Packet) {
    if world.backends.contains(&from) || is_of_backend(&packet.body) {
        world.counts.from_backends += 1;
    } else {
        world.counts.from_callers += 1;
        packet.caller = from;
    }
    let rates = world.rates;
    if world.rng.random_bool(rates.drop) {
        world.counts.dropped += 1;
        return;
    }
    if world.rng.random_bool(rates.duplicate) {
        world.counts.duplicated += 1;
        hold(world, now, packet.clone());
    }
    hold(world, now, packet);
}

fn hold(world: &mut World, now: Duration, packet: Packet) {
    let open: Vec<SocketAddr> = world
        .balancers
        .iter()
        .filter(|balancer| !balancer.cut)
        .map(|balancer| balancer.addr)
        .collect();
    if open.is_empty() {
        world.counts.unrouted += 1;
        return;
    }
    let to = open[world.rng.random_range(0..open.len())];
    let mut due = now + Duration::from_millis(world.rates.delay_ms);
    if world.rng.random_bool(world.rates.reorder) {
        world.counts.reordered += 1;
        due += REORDER_DELAY.mul_f64(world.rng.random());
    }
    world.serial += 1;
    world.held.insert((due, world.serial), (packet, to));
}

/// True for what only backend servers say.
fn is_of_backend(body: &Body) -> bool {
    matches!(
        body,
        Body::Opened { .. }
            | Body::OpenRefused { .. }
            | Body::Down { .. }
            | Body::Probed { .. }
            | Body::Refused { .. }
            | Body::Answer { .. }
            | Body::PartAck { .. }
    )
}

fn next_due(world: &World, now: Duration) -> Duration {
    match world.held.first_key_value() {
        Some(((due, _), _)) => due.saturating_sub(now),
        None => IDLE_PAUSE,
    }
}

fn take_due(world: &mut World, now: Duration) -> Vec<(Packet, SocketAddr)> {
    let later = world.held.split_off(&(now, u64::MAX));
    let due = std::mem::replace(&mut world.held, later);
    due.into_values().collect()
}

#[derive(Deserialize)]
struct Change {
    balancer: SocketAddr,
}

async fn cut(State(world): State<Shared<World>>, Json(change): Json<Change>) -> StatusCode {
    set_cut(&mut lock(&world), change.balancer, true)
}

async fn heal(State(world): State<Shared<World>>, Json(change): Json<Change>) -> StatusCode {
    set_cut(&mut lock(&world), change.balancer, false)
}

fn set_cut(world: &mut World, addr: SocketAddr, cut: bool) -> StatusCode {
    let mut all = world.balancers.iter_mut();
    match all.find(|balancer| balancer.addr == addr) {
        Some(balancer) => {
            balancer.cut = cut;
            StatusCode::OK
        }
        None => StatusCode::NOT_FOUND,
    }
}

async fn set_rates(State(world): State<Shared<World>>, Json(rates): Json<Rates>) -> StatusCode {
    let share = 0.0..=1.0;
    if [rates.drop, rates.duplicate, rates.reorder]
        .iter()
        .any(|rate| !share.contains(rate))
    {
        return StatusCode::BAD_REQUEST;
    }
    lock(&world).rates = rates;
    StatusCode::OK
}

async fn get_counts(State(world): State<Shared<World>>) -> Json<Counts> {
    Json(lock(&world).counts)
}
