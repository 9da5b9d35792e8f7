//! Simulated network fabric, which may deliver any packet to any host.
//!
//! It writes the sender's address into packets from callers, as a network sets the
//! source address, and forwards packets from backend servers unchanged. Each packet
//! goes to a balancer chosen at random. Loss, duplication and reordering are
//! reproducible from a seed. Over the ops port, scripts can disconnect balancers and
//! set the fault rates.

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

/// Maximum additional delay of a reordered packet.
const MAX_REORDER_DELAY: Duration = Duration::from_millis(20);

/// Time to sleep while no packet is delayed.
const IDLE_SLEEP: Duration = Duration::from_secs(1);

/// Simulated network fabric.
#[derive(Bpaf)]
#[bpaf(options)]
struct Options {
    /// Address on which to receive packets from callers and backend servers
    listen: SocketAddr,
    /// Address of a balancer's traffic lane; may be repeated
    #[bpaf(argument("ADDR"), some("at least one --balancer is required"))]
    balancer: Vec<SocketAddr>,
    /// Address of a backend server; may be repeated
    #[bpaf(argument("ADDR"), many)]
    backend: Vec<SocketAddr>,
    /// Address on which to serve HTTP
    #[bpaf(long("ops"))]
    ops_addr: SocketAddr,
    /// Seed of the random choices
    #[bpaf(fallback(1))]
    seed: u64,
    #[bpaf(external)]
    fault_rates: FaultRates,
}

/// Fault rates, as shares of all packets.
#[derive(Bpaf, Clone, Copy, Deserialize)]
#[serde(default)]
#[derive(Default)]
struct FaultRates {
    /// Share of packets dropped
    #[bpaf(fallback(0.0))]
    drop: f64,
    /// Share of packets sent twice
    #[bpaf(fallback(0.0))]
    duplicate: f64,
    /// Share of packets delayed so that later ones overtake them
    #[bpaf(fallback(0.0))]
    reorder: f64,
    /// Delay of every packet in milliseconds
    #[bpaf(fallback(0))]
    delay_ms: u64,
}

struct Balancer {
    addr: SocketAddr,
    is_cut: bool,
}

#[derive(Clone, Copy, Default, Serialize)]
struct Counts {
    from_callers: u64,
    from_backends: u64,
    dropped: u64,
    duplicated: u64,
    reordered: u64,
    /// Packets dropped because every balancer was disconnected.
    unrouted: u64,
}

/// Packets in transit, by delivery time and order of arrival.
type DelayedPackets = BTreeMap<(Duration, u64), (Packet, SocketAddr)>;

struct Fabric {
    balancers: Vec<Balancer>,
    backends: HashSet<SocketAddr>,
    rates: FaultRates,
    counts: Counts,
    delayed: DelayedPackets,
    last_number: u64,
    rng: StdRng,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<()> {
    let options = options().run();
    let balancers = options.balancer.into_iter();
    let fabric = Arc::new(std::sync::Mutex::new(Fabric {
        balancers: balancers
            .map(|addr| Balancer {
                addr,
                is_cut: false,
            })
            .collect(),
        backends: options.backend.into_iter().collect(),
        rates: options.fault_rates,
        counts: Counts::default(),
        delayed: DelayedPackets::new(),
        last_number: 0,
        rng: StdRng::seed_from_u64(options.seed),
    }));
    let socket = link::bind(options.listen).await?;
    let routes = Router::new()
        .route("/cut", post(cut_balancer))
        .route("/heal", post(heal_balancer))
        .route("/rates", post(set_rates))
        .route("/counts", get(get_counts))
        .with_state(fabric.clone());
    tokio::select! {
        done = ops::serve(options.ops_addr, routes) => done,
        () = run(&fabric, &socket) => Ok(()),
    }
}

async fn run(fabric: &Shared<Fabric>, socket: &UdpSocket) {
    let clock = Clock::monotonic();
    loop {
        let pause = time_until_due(&lock(fabric), clock.now());
        tokio::select! {
            (packet, from) = link::receive(socket) => {
                route_packet(&mut lock(fabric), clock.now(), from, packet);
            }
            () = tokio::time::sleep(pause) => {}
        }
        let due = take_due(&mut lock(fabric), clock.now());
        for (packet, to) in &due {
            link::send(socket, *to, packet).await;
        }
    }
}

/// Sets the caller's address and queues the packet, or drops or duplicates it by the fault rates.
fn route_packet(fabric: &mut Fabric, now: Duration, from: SocketAddr, mut packet: Packet) {
    if fabric.backends.contains(&from) || is_from_backend(&packet.body) {
        fabric.counts.from_backends += 1;
    } else {
        fabric.counts.from_callers += 1;
        packet.caller = from;
    }
    let rates = fabric.rates;
    if fabric.rng.random_bool(rates.drop) {
        fabric.counts.dropped += 1;
        return;
    }
    if fabric.rng.random_bool(rates.duplicate) {
        fabric.counts.duplicated += 1;
        queue_packet(fabric, now, packet.clone());
    }
    queue_packet(fabric, now, packet);
}

fn queue_packet(fabric: &mut Fabric, now: Duration, packet: Packet) {
    let reachable: Vec<SocketAddr> = fabric
        .balancers
        .iter()
        .filter(|balancer| !balancer.is_cut)
        .map(|balancer| balancer.addr)
        .collect();
    if reachable.is_empty() {
        fabric.counts.unrouted += 1;
        return;
    }
    let to = reachable[fabric.rng.random_range(0..reachable.len())];
    let mut due = now + Duration::from_millis(fabric.rates.delay_ms);
    if fabric.rng.random_bool(fabric.rates.reorder) {
        fabric.counts.reordered += 1;
        due += MAX_REORDER_DELAY.mul_f64(fabric.rng.random());
    }
    fabric.last_number += 1;
    fabric
        .delayed
        .insert((due, fabric.last_number), (packet, to));
}

/// Returns true for messages that only backend servers send.
fn is_from_backend(body: &Body) -> bool {
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

fn time_until_due(fabric: &Fabric, now: Duration) -> Duration {
    match fabric.delayed.first_key_value() {
        Some(((due, _), _)) => due.saturating_sub(now),
        None => IDLE_SLEEP,
    }
}

fn take_due(fabric: &mut Fabric, now: Duration) -> Vec<(Packet, SocketAddr)> {
    let later = fabric.delayed.split_off(&(now, u64::MAX));
    let due = std::mem::replace(&mut fabric.delayed, later);
    due.into_values().collect()
}

#[derive(Deserialize)]
struct BalancerChange {
    balancer: SocketAddr,
}

async fn cut_balancer(
    State(fabric): State<Shared<Fabric>>,
    Json(change): Json<BalancerChange>,
) -> StatusCode {
    set_cut(&mut lock(&fabric), change.balancer, true)
}

async fn heal_balancer(
    State(fabric): State<Shared<Fabric>>,
    Json(change): Json<BalancerChange>,
) -> StatusCode {
    set_cut(&mut lock(&fabric), change.balancer, false)
}

fn set_cut(fabric: &mut Fabric, addr: SocketAddr, is_cut: bool) -> StatusCode {
    let mut balancers = fabric.balancers.iter_mut();
    match balancers.find(|balancer| balancer.addr == addr) {
        Some(balancer) => {
            balancer.is_cut = is_cut;
            StatusCode::OK
        }
        None => StatusCode::NOT_FOUND,
    }
}

async fn set_rates(
    State(fabric): State<Shared<Fabric>>,
    Json(rates): Json<FaultRates>,
) -> StatusCode {
    let valid_range = 0.0..=1.0;
    if [rates.drop, rates.duplicate, rates.reorder]
        .iter()
        .any(|rate| !valid_range.contains(rate))
    {
        return StatusCode::BAD_REQUEST;
    }
    lock(&fabric).rates = rates;
    StatusCode::OK
}

async fn get_counts(State(fabric): State<Shared<Fabric>>) -> Json<Counts> {
    Json(lock(&fabric).counts)
}
