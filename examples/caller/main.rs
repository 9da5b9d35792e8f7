//! Stand-in for callers: one process with many streams and requests.
//!
//! `run` follows the callers' section of `docs/PROTOCOL.md` for a bounded time,
//! checks every answer and line, prints one line of counts and can write down
//! how each request ended. `tally` compares such reports with what the backend
//! servers say they ran.

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

/// Time between two runs of the systems.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Times that each flow's close is sent, since nothing answers it.
const CLOSE_COUNT: u32 = 2;

/// Stand-in for callers.
#[derive(Bpaf)]
#[bpaf(options)]
enum Options {
    /// Open streams and ask for work
    #[bpaf(command)]
    Run(#[bpaf(external(run_options))] RunOptions),
    /// Compare reports with what ran
    #[bpaf(command)]
    Tally(#[bpaf(external(tally::tally_options))] tally::TallyOptions),
}

#[derive(Bpaf)]
struct RunOptions {
    /// Address of the fabric
    fabric: SocketAddr,
    /// Address to send from
    #[bpaf(fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    bind: SocketAddr,
    /// Seconds during which new work begins
    #[bpaf(fallback(20))]
    seconds: u64,
    /// File for the report
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

/// Begins work until `end`, then waits until every request has ended and closes the flows.
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
