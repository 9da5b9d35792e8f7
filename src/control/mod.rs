//! Control plane of one host: members of its zone, configuration and lease.
//!
//! [`Control`] owns the tables. It takes a typed [`Event`] and the time, runs the systems
//! that handle it and returns typed [`Action`]s. It uses no sockets, encoded messages or
//! wall clock.

mod apply;
mod claims;
mod evacuations;
pub mod failure_detector;
mod fetch;
mod freshness;
pub mod heartbeat;
pub mod lease;
mod leave;
pub mod majority;
mod members;
pub mod message;
mod outages;
mod platform_reads;
mod publish;
mod readers;
mod removals;
mod removed_routes;
mod reports;
mod settings;
mod tables;
mod values;
mod voters;
mod zone_fetch;
mod zone_sums;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::error::Result;
use crate::report::{LaneReport, PeerReports};
use crate::revision::Revision;
use crate::snapshot::Snapshot;

pub use self::claims::cap_slots;
pub use self::evacuations::EvacuationTable;
pub use self::freshness::Freshness;
pub use self::message::{
    FetchRequest, FetchResponse, Heartbeat, HostList, Value, ValueChange, ValueUpdate,
    WriterVersion,
};
pub use self::settings::{DEFAULT_SUMMED_FROM, LeaseTiming, LiveSettings, ReadPacing, Settings};
pub use self::tables::{Counters, LocalHost, Tables};
pub use self::values::{BuiltConfig, ConfigBuilder, Values};

/// Input of the control thread.
#[derive(Debug)]
pub enum Event {
    /// Periodic tick of the control thread.
    Tick,
    /// A host sent a heartbeat.
    Heartbeat(Box<Heartbeat>),
    /// A fetch from another host completed or failed.
    Fetched {
        /// Number of the fetch, from [`Action::Fetch`].
        number: u64,
        /// Response to its request.
        result: Result<FetchResponse>,
    },
    /// A watch of the platform's values completed or failed.
    Values(Result<ValueUpdate>),
    /// A read of the platform's host list completed or failed.
    Hosts(Result<HostList>),
    /// The lanes of this host have published reports.
    LaneReports(Vec<Arc<LaneReport>>),
    /// A message could not be decoded or authenticated.
    Rejected,
    /// Settings at the start, or settings of which some have changed.
    Settings(LiveSettings),
    /// The operator requested the shutdown of this host.
    Leave,
    /// No work is in flight on the traffic lanes.
    Drained,
}

/// Output that the front end carries out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a heartbeat.
    Send {
        /// Control address of the receiver.
        to: SocketAddr,
        /// Heartbeat to send.
        heartbeat: Box<Heartbeat>,
    },
    /// Fetch from another host and report the result as [`Event::Fetched`].
    Fetch {
        /// Number of this fetch, which its result repeats.
        number: u64,
        /// Control address of the other host.
        to: SocketAddr,
        /// Request to send.
        request: FetchRequest,
        /// Time in which the response must begin.
        response_time: Duration,
    },
    /// Watch the platform's values and report the result as [`Event::Values`]. A watch that
    /// is still in flight is abandoned, and its result is not reported.
    Watch {
        /// Newest revision that is already known.
        known_revision: Revision,
        /// Maximum time that the platform waits for a change.
        max_wait: Duration,
        /// Time in which the response must begin, in addition to `max_wait`.
        response_time: Duration,
    },
    /// Read the platform's host list and report the result as [`Event::Hosts`].
    ReadHosts,
    /// Replace the snapshot that the traffic lanes use.
    Publish(Arc<Snapshot>),
    /// Replace the reports of other hosts that the traffic lanes use.
    PublishReports(Arc<PeerReports>),
    /// End the process; the shutdown is complete.
    Exit,
}

/// Actions in the order in which they are to be carried out.
pub type Outbox = Vec<Action>;

/// State machine of the control thread, without I/O.
#[derive(Debug)]
pub struct Control {
    tables: Tables,
}

impl Control {
    /// Creates the state of a host that knows no members or configuration yet.
    #[must_use]
    pub fn new(settings: Settings, now: Duration) -> Self {
        Self {
            tables: Tables::new(settings, now),
        }
    }

    /// Processes one event and returns the resulting actions.
    pub fn handle(&mut self, now: Duration, event: Event) -> Outbox {
        let mut outbox = Outbox::new();
        let tables = &mut self.tables;
        match event {
            Event::Tick => tick(tables, now, &mut outbox),
            Event::Heartbeat(heartbeat) => heartbeat::receive(tables, now, &heartbeat, &mut outbox),
            Event::Fetched { number, result } => fetch::receive(tables, now, number, result),
            Event::Values(result) => platform_reads::receive_values(tables, now, result),
            Event::Hosts(result) => platform_reads::receive_hosts(tables, now, result),
            Event::LaneReports(lanes) => reports::update_own(tables, now, &lanes),
            Event::Rejected => tables.counters.rejected += 1,
            Event::Settings(settings) => apply_settings(tables, now, settings, &mut outbox),
            Event::Leave => leave::start(tables, now, &mut outbox),
            Event::Drained => leave::record_drained(tables),
        }
        run_dependents(tables, now, &mut outbox);
        outbox
    }

    /// Returns the response to another host's fetch.
    #[must_use]
    pub fn answer_fetch(&self, request: &FetchRequest) -> FetchResponse {
        fetch::respond(&self.tables, request)
    }

    /// Returns the control tables, for inspection and dumps.
    #[must_use]
    pub fn tables(&self) -> &Tables {
        &self.tables
    }
}

/// Puts changed settings into force.
fn apply_settings(tables: &mut Tables, now: Duration, settings: LiveSettings, outbox: &mut Outbox) {
    // Without `..`, so that a new setting does not compile until it is used here.
    let LiveSettings {
        store_addr,
        seeds,
        drain_limit,
        config_builder,
    } = settings;
    tables.settings.seeds = seeds;
    tables.settings.drain_limit = drain_limit;
    if let Some(config_builder) = config_builder {
        tables.settings.config_builder = config_builder;
        apply::rebuild(tables);
    }
    platform_reads::set_store(tables, now, store_addr, outbox);
}

/// Runs the systems that depend on time.
fn tick(tables: &mut Tables, now: Duration, outbox: &mut Outbox) {
    failure_detector::run(tables, now, outbox);
    lease::run(tables, now);
    heartbeat::run(tables, now, outbox);
    platform_reads::run(tables, now, outbox);
    fetch::run(tables, now, outbox);
    leave::run(tables, now, outbox);
    reports::run(tables, now, outbox);
}

/// Runs the systems that derive state from changed tables.
fn run_dependents(tables: &mut Tables, now: Duration, outbox: &mut Outbox) {
    voters::run(tables);
    lease::run(tables, now);
    evacuations::run(tables, now);
    removed_routes::run(tables, now);
    freshness::run(tables);
    majority::run(tables, now);
    reports::publish(tables, now, outbox);
    publish::run(tables, now, outbox);
}
