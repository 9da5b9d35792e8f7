//! A random schedule of overlapping faults, determined by the seed.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

use crate::hosts::GRACE_PERIOD;
use crate::store::StoreMode;

/// A fault that is injected into the system.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Kills a host and starts it again at the end of the fault.
    KillHost,
    /// Kills all hosts at once and starts them again.
    KillAllHosts,
    /// Stops a host's process with SIGSTOP and continues it with SIGCONT.
    PauseHost,
    /// Shuts a host down with SIGTERM and starts it again.
    RestartHost,
    /// Changes a host's settings file and sends SIGHUP.
    ReloadSettings,
    /// An endpoint neither receives nor sends packets.
    MuteEndpoint,
    /// An endpoint takes ten times as long for a request.
    SlowEndpoint,
    /// An endpoint loses its flows and restarts under the same id.
    CrashEndpoint,
    /// An endpoint drains and is removed, and its address is given to another service.
    ReuseAddress,
    /// The store entry of an endpoint disappears and comes back.
    ExpireEntry,
    /// A new version of the configuration with other idle routes is published.
    PublishConfig,
    /// The store, or the proxy to it, fails in the given way.
    StoreMode(StoreMode),
    /// The store is down and then comes back from a copy of this age.
    RestoreStore(Duration),
}

/// A fault with its start, counted from the start of the traffic, and its duration.
#[derive(Clone, Copy, Debug)]
pub struct PlannedFault {
    pub start_time: Duration,
    pub duration: Duration,
    pub fault: Fault,
}

impl PlannedFault {
    /// Time until the system is repaired; a host that shuts down gets its grace period.
    pub fn time_to_recovery(&self) -> Duration {
        if self.fault == Fault::RestartHost {
            GRACE_PERIOD
        } else {
            self.duration
        }
    }
}

/// Draws the faults that start before `end`, up to three of them at the same time.
pub fn plan_faults(rng: &mut SmallRng, end: Duration) -> Vec<PlannedFault> {
    let mut planned = Vec::new();
    let mut start_time = Duration::from_millis(500);
    while start_time < end {
        for _ in 0..rng.random_range(1..=3) {
            planned.push(PlannedFault {
                start_time,
                duration: Duration::from_millis(rng.random_range(300..3_000)),
                fault: draw_fault(rng),
            });
        }
        start_time += Duration::from_millis(rng.random_range(300..2_500));
    }
    planned
}

fn draw_fault(rng: &mut SmallRng) -> Fault {
    let modes = [
        StoreMode::Down,
        StoreMode::Throttled,
        StoreMode::Slow,
        StoreMode::RolledBack,
        StoreMode::Compacted,
        StoreMode::Reset,
        StoreMode::Silent,
    ];
    let mode = modes.choose(rng).copied().unwrap_or(StoreMode::Down);
    let copy_age = Duration::from_millis(rng.random_range(500..12_000));
    let faults = [
        (3, Fault::KillHost),
        (1, Fault::KillAllHosts),
        (3, Fault::PauseHost),
        (2, Fault::RestartHost),
        (2, Fault::ReloadSettings),
        (3, Fault::MuteEndpoint),
        (2, Fault::SlowEndpoint),
        (2, Fault::CrashEndpoint),
        (2, Fault::ReuseAddress),
        (1, Fault::ExpireEntry),
        (3, Fault::PublishConfig),
        (4, Fault::StoreMode(mode)),
        (2, Fault::RestoreStore(copy_age)),
    ];
    let chosen = faults.choose_weighted(rng, |fault| fault.0);
    chosen.map_or(Fault::PublishConfig, |fault| fault.1)
}
