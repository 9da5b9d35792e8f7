//! What the control thread is told at its start.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;

use super::lease::{MAX_ONCE_DEADLINE, MAX_PACKET_LIFETIME};
use super::message::HostInfo;
use super::values::ConfigBuilder;
use crate::id::Incarnation;
use crate::ticket::TicketKeys;

/// What a host is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Who this host is.
    pub info: HostInfo,
    /// Its life: the wall-clock microsecond of its start.
    pub incarnation: Incarnation,
    /// Control addresses of hosts to contact while the platform is unknown.
    pub seeds: Vec<SocketAddr>,
    /// Sealing keys until the configuration names some.
    pub keys: TicketKeys,
    /// Times of the lease.
    pub lease_timing: LeaseTiming,
    /// Longest time that a leaving host waits for work in flight.
    pub drain_limit: Duration,
    /// Checks and builds values.
    pub build: ConfigBuilder,
    /// How the platform is read.
    pub read_pacing: ReadPacing,
    /// Seed of the random choices.
    pub rng_seed: u64,
}

/// Times of the lease, the same on all hosts.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct LeaseTiming {
    /// Time for which a vote counts, from the heartbeat it acknowledges.
    #[serde(rename = "lease")]
    pub lease_time: Duration,
    /// Time for which a vote names a view that its sender has left.
    #[serde(rename = "hold")]
    pub hold_time: Duration,
    /// False to let one vote stand for a majority; for experiments.
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

/// How the platform is read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadPacing {
    /// Shortest time that a watch waits for something new.
    pub min_wait: Duration,
    /// Most that is added to `wait` at random.
    pub wait_jitter: Duration,
    /// Longest pause before the first watch.
    pub start_jitter: Duration,
    /// Longest pause between two watches.
    pub max_pause: Duration,
    /// Hosts of a group that read it, those of each availability zone first; the
    /// others get values from these.
    pub max_readers: usize,
    /// Time for which a reader waits for its own read before it asks another host for
    /// a newer revision.
    pub fetch_delay: Duration,
    /// Pause after the first failure.
    pub initial_backoff: Duration,
    /// Longest pause after a failure.
    pub max_backoff: Duration,
    /// Time after the platform's return for which removals wait.
    pub removal_hold: Duration,
    /// True when there is a host list.
    pub has_list: bool,
}

impl Default for ReadPacing {
    /// Few calls, for a platform that keeps what lapsed while it was away.
    fn default() -> Self {
        Self {
            min_wait: Duration::from_secs(20),
            wait_jitter: Duration::from_secs(10),
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
