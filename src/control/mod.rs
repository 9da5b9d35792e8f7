//! Control state of one host: members of its zone, configuration and lease.
//!
//! [`Control`] owns the tables. It takes a typed [`Event`] and the time, runs the
//! systems concerned and returns typed [`Action`]s. It sees no socket, no bytes
//! and no wall clock.

pub mod failure_detector;
mod fetch;
pub mod heartbeat;
pub mod lease;
mod leave;
mod members;
pub mod message;
mod platform_reads;
mod publish;
mod readers;
mod settings;
mod tables;
mod values;
mod voters;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::error::Result;
use crate::snapshot::Snapshot;

pub use self::message::{
    FetchRequest, FetchResponse, Heartbeat, HostList, Value, ValueChange, ValueUpdate,
};
pub use self::settings::{LeaseTiming, ReadPacing, Settings};
pub use self::tables::{Counters, LocalHost, Tables};
pub use self::values::{BuiltConfig, ConfigBuilder, Values};

/// What happens to the control thread.
#[derive(Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A host sent a heartbeat.
    Heartbeat(Box<Heartbeat>),
    /// A host answered a fetch, or failed to.
    Fetched(Result<FetchResponse>),
    /// The platform answered a watch, or failed to.
    Values(Result<ValueUpdate>),
    /// The platform answered a read of the host list, or failed to.
    Hosts(Result<HostList>),
    /// A message could not be read or trusted.
    Rejected,
    /// The settings name other hosts to start from.
    Seeds(Vec<SocketAddr>),
    /// The operator asks this host to leave.
    Leave,
    /// Nothing is in flight on the traffic lanes.
    Drained,
}

/// What the front end has to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a heartbeat.
    Send {
        /// Where to.
        to: SocketAddr,
        /// What to send.
        heartbeat: Box<Heartbeat>,
    },
    /// Fetch from another host and hand in [`Event::Fetched`].
    Fetch {
        /// Host to ask.
        to: SocketAddr,
        /// What to ask for.
        request: FetchRequest,
    },
    /// Watch the platform's values and hand in [`Event::Values`].
    Watch {
        /// Revision that is known already.
        after: u64,
        /// Longest time to wait for something new.
        max_wait: Duration,
    },
    /// Read the platform's host list and hand in [`Event::Hosts`].
    ReadHosts,
    /// Swap in a new snapshot.
    Publish(Arc<Snapshot>),
    /// End the process; the host has left.
    Exit,
}

/// Actions in the order in which they were decided.
pub type Outbox = Vec<Action>;

/// Decision code of the control thread.
#[derive(Debug)]
pub struct Control {
    tables: Tables,
}

impl Control {
    /// Control state of a host that knows nothing yet.
    #[must_use]
    pub fn new(settings: Settings, now: Duration) -> Self {
        Self {
            tables: Tables::new(settings, now),
        }
    }

    /// Takes one event and returns what to do about it.
    pub fn handle(&mut self, now: Duration, event: Event) -> Outbox {
        let mut outbox = Outbox::new();
        let tables = &mut self.tables;
        match event {
            Event::Tick => tick(tables, now, &mut outbox),
            Event::Heartbeat(beat) => heartbeat::receive(tables, now, &beat, &mut outbox),
            Event::Fetched(answer) => fetch::receive(tables, now, answer),
            Event::Values(answer) => platform_reads::receive_values(tables, now, answer),
            Event::Hosts(answer) => platform_reads::receive_hosts(tables, now, answer),
            Event::Rejected => tables.counters.rejected += 1,
            Event::Seeds(seeds) => tables.settings.seeds = seeds,
            Event::Leave => leave::start(tables, now, &mut outbox),
            Event::Drained => leave::record_drained(tables),
        }
        run_dependents(tables, now, &mut outbox);
        outbox
    }

    /// Answers another host's fetch.
    #[must_use]
    pub fn answer(&self, ask: &FetchRequest) -> FetchResponse {
        fetch::answer(&self.tables, ask)
    }

    /// The control tables, to read and to dump.
    #[must_use]
    pub fn tables(&self) -> &Tables {
        &self.tables
    }
}

/// Runs the systems that depend on time.
fn tick(tables: &mut Tables, now: Duration, outbox: &mut Outbox) {
    failure_detector::run(tables, now, outbox);
    lease::run(tables, now);
    heartbeat::run(tables, now, outbox);
    platform_reads::run(tables, now, outbox);
    fetch::run(tables, now, outbox);
    leave::run(tables, now, outbox);
}

/// Runs the systems that follow from changed tables.
fn run_dependents(tables: &mut Tables, now: Duration, outbox: &mut Outbox) {
    voters::run(tables);
    lease::run(tables, now);
    publish::run(tables, now, outbox);
}
