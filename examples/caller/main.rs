//! Simulated callers: one process with many streams and requests.
//!
//! `run` implements the caller side of `docs/PROTOCOL.md` for a limited time. It
//! checks every answer and line, prints one line of counts, and optionally writes a
//! report of how each request ended. `tally` compares such reports with the requests
//! that the backend servers executed.

use std::path::PathBuf;

use bpaf::Bpaf;
use jacinthhinge::prelude::*;
use tokio::net::UdpSocket;
use tokio::time::{MissedTickBehavior, interval};

#[path = "../common/content.rs"]
mod content;
#[path = "../common/link.rs"]
mod link;
mod systems;
mod tables;
mod tally;

use tables::{Tables, Workload};

/// Interval at which timers run and new requests start.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Number of times that each `Close` is sent, since it is not acknowledged.
const CLOSE_COUNT: u32 = 2;

/// Simulated callers.
#[derive(Bpaf)]
#[bpaf(options)]
enum Options {
    /// Open streams and send requests
    #[bpaf(command)]
    Run(#[bpaf(external(run_options))] RunOptions),
    /// Compare reports with the executed requests
    #[bpaf(command)]
    Tally(#[bpaf(external(tally::tally_options))] tally::TallyOptions),
}

#[derive(Bpaf)]
struct RunOptions {
    /// Address of the fabric, to which packets are sent
    fabric: SocketAddr,
    /// Address to send from
    #[bpaf(fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    bind: SocketAddr,
    /// Seconds during which new requests start
    #[bpaf(fallback(20))]
    seconds: u64,
    /// File to which the report is written
    #[bpaf(argument("FILE"))]
    out: Option<PathBuf>,
    #[bpaf(external(tables::workload))]
    workload: Workload,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<()> {
    match options().run() {
        Options::Run(options) => run(options).await,
        Options::Tally(options) => tally::run(&options),
    }
}

async fn run(options: RunOptions) -> Result<()> {
    let socket = link::bind(options.bind).await?;
    let caller = socket
        .local_addr()
        .map_err(|source| Error::io("read the socket's address", source))?;
    let mut tables = Tables::new(caller, options.workload);
    run_workload(
        &mut tables,
        &socket,
        options.fabric,
        Duration::from_secs(options.seconds),
    )
    .await;
    let report = tables.into_report();
    println!("{}", serde_json::json!(report.counts));
    if let Some(path) = options.out {
        std::fs::write(path, serde_json::json!(report).to_string())
            .map_err(|source| Error::io("write the report", source))?;
    }
    Ok(())
}

/// Starts requests until `end`, then waits until every request has ended and closes the streams.
async fn run_workload(tables: &mut Tables, socket: &UdpSocket, fabric: SocketAddr, end: Duration) {
    let clock = Clock::monotonic();
    let mut tick = interval(TICK_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    systems::open_initial_flows(tables);
    loop {
        tokio::select! {
            (packet, _) = link::receive(socket) => systems::handle_packet(tables, clock.now(), &packet),
            _ = tick.tick() => {
                let now = clock.now();
                systems::run_flow_timers(tables, now);
                systems::run_request_timers(tables, now);
                if now < end {
                    systems::start_due_requests(tables, now, end);
                } else if tables.requests.is_empty() {
                    break;
                }
            }
        }
        send_outbox(tables, socket, fabric).await;
    }
    for _ in 0..CLOSE_COUNT {
        systems::close_streams(tables);
        send_outbox(tables, socket, fabric).await;
    }
}

async fn send_outbox(tables: &mut Tables, socket: &UdpSocket, fabric: SocketAddr) {
    for packet in std::mem::take(&mut tables.outbox) {
        link::send(socket, fabric, &packet).await;
    }
}
