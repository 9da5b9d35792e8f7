//! Settings of the control thread.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;

use super::lease::{MAX_ONCE_DEADLINE, MAX_PACKET_LIFETIME};
use super::message::HostInfo;
use super::values::ConfigBuilder;
use crate::id::Incarnation;
use crate::ticket::TicketKeys;

/// Settings that a host has at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name, zones and addresses of this host.
    pub info: HostInfo,
    /// Incarnation of this host: its start time in wall-clock microseconds.
    pub incarnation: Incarnation,
    /// Control addresses of hosts to contact until the host list is known.
    pub seeds: Vec<SocketAddr>,
    /// Ticket keys that apply until the configuration provides some.
    pub keys: TicketKeys,
    /// Durations of the lease protocol.
    pub lease_timing: LeaseTiming,
    /// Maximum time that this host waits for work in flight when it shuts down.
    pub drain_limit: Duration,
    /// Checks configuration values and builds the configuration from them.
    pub config_builder: ConfigBuilder,
    /// Frequency of platform reads and choice of the readers.
    pub read_pacing: ReadPacing,
    /// Number of other live hosts from which on the load of a zone goes to other zones as a sum.
    pub summed_from: usize,
    /// Seed of the random number generator.
    pub rng_seed: u64,
}

/// Settings that can change while a host runs.
#[derive(Clone, Debug)]
pub struct LiveSettings {
    /// Address of the platform's store.
    pub store_addr: SocketAddr,
    /// As in [`Settings::seeds`].
    pub seeds: Vec<SocketAddr>,
    /// As in [`Settings::drain_limit`].
    pub drain_limit: Duration,
    /// As in [`Settings::config_builder`], if it has changed.
    pub config_builder: Option<ConfigBuilder>,
}

impl Settings {
    /// Returns the settings that can change while the host runs, with the store at `store_addr`.
    #[must_use]
    pub fn live(&self, store_addr: SocketAddr) -> LiveSettings {
        LiveSettings {
            store_addr,
            seeds: self.seeds.clone(),
            drain_limit: self.drain_limit,
            config_builder: None,
        }
    }
}

/// Durations of the lease protocol, which must be the same on all hosts.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct LeaseTiming {
    /// Validity of a vote, counted from the heartbeat that it acknowledges.
    #[serde(rename = "lease")]
    pub lease_time: Duration,
    /// Time for which votes still name a view after their sender has left it.
    #[serde(rename = "hold")]
    pub hold_time: Duration,
    /// If false, a single vote counts as a majority; for experiments only.
    #[serde(rename = "majority")]
    pub needs_majority: bool,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        let lease = Duration::from_secs(4);
        Self {
            lease_time: lease,
            hold_time: lease + MAX_ONCE_DEADLINE + MAX_PACKET_LIFETIME,
            needs_majority: true,
        }
    }
}

/// Default of [`Settings::summed_from`]. A sum is one or two heartbeat cycles older than the rows in
/// it, too old for shares of capacity that follow demand; in larger groups rows for each host would
/// exceed the bytes that a host may send.
pub const DEFAULT_SUMMED_FROM: usize = 100;

/// Frequency of platform reads and choice of the readers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadPacing {
    /// Minimum time that a watch waits for a change.
    pub min_wait: Duration,
    /// Maximum random time added to `min_wait`.
    pub wait_jitter: Duration,
    /// Time in which the platform must begin a response, in addition to the wait.
    pub response_time: Duration,
    /// Maximum random delay of the first watch.
    pub start_jitter: Duration,
    /// Maximum random pause between two watches.
    pub max_pause: Duration,
    /// Maximum number of hosts in a group that read the platform, but always one in each
    /// availability zone; the others fetch values from these.
    pub max_readers: usize,
    /// Time that a reader waits for its own read before it fetches a newer revision from
    /// another host.
    pub fetch_delay: Duration,
    /// Maximum pause after the first failure; it doubles with each further one.
    pub initial_backoff: Duration,
    /// Maximum pause after any number of failures.
    pub max_backoff: Duration,
    /// Time after the platform's recovery for which removals are held back.
    pub removal_hold: Duration,
    /// True if the platform provides a host list.
    pub has_list: bool,
}

impl ReadPacing {
    /// Frequent reads by a few hosts, for a platform on which a change must be in force within
    /// 3 s, or 4 s after the platform's return from an outage.
    ///
    /// A read that is never answered therefore ends within 2 s: if the platform ignores all
    /// readers, that leaves time for another host to read and for the others to fetch. Entries
    /// that expired during an outage are back 2 s after the platform's return. The first read
    /// is not delayed: a host cannot serve before it, and even if all hosts start at once,
    /// each makes only one read.
    #[must_use]
    pub fn frequent() -> Self {
        Self {
            min_wait: Duration::from_millis(900),
            wait_jitter: Duration::from_millis(200),
            response_time: Duration::from_millis(900),
            start_jitter: Duration::ZERO,
            max_pause: Duration::from_millis(500),
            max_readers: 3,
            fetch_delay: Duration::from_secs(1),
            initial_backoff: Duration::from_millis(200),
            max_backoff: Duration::from_millis(1_500),
            removal_hold: Duration::from_millis(2_200),
            has_list: false,
        }
    }
}

impl Default for ReadPacing {
    /// Infrequent reads, for a platform that does not drop values during its own outage.
    fn default() -> Self {
        Self {
            min_wait: Duration::from_secs(20),
            wait_jitter: Duration::from_secs(10),
            response_time: Duration::from_millis(1_500),
            start_jitter: Duration::from_secs(1),
            max_pause: Duration::from_secs(1),
            max_readers: usize::MAX,
            fetch_delay: Duration::ZERO,
            initial_backoff: Duration::from_secs(1),
            max_backoff: Duration::from_secs(8),
            removal_hold: Duration::ZERO,
            has_list: true,
        }
    }
}
