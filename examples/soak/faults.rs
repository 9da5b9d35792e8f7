//! Faults in series that overlap, drawn from a seed.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

use crate::hosts::GRACE_PERIOD;
use crate::store::StoreMode;

/// What is done to the system, and for how long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Kill a host and start it again after a while.
    KillHost,
    /// Kill all hosts at once and start them again.
    KillAllHosts,
    /// Stop a host's clock and let it run on.
    PauseHost,
    /// Ask a host to leave and start it again.
    RestartHost,
    /// Change a host's settings file, with a signal.
    ReloadSettings,
    /// An endpoint neither hears nor speaks.
    MuteEndpoint,
    /// An endpoint takes ten times as long.
    SlowEndpoint,
    /// An endpoint loses its flows and starts again under its id.
    CrashEndpoint,
    /// An endpoint leaves, and its address goes to another service.
    ReuseAddress,
    /// The entry of an endpoint lapses and comes back.
    ExpireEntry,
    /// The operators publish a version with other idle routes.
    PublishConfig,
    /// The store is in a bad mood.
    StoreMode(StoreMode),
}

/// A fault with its time and length.
#[derive(Clone, Copy, Debug)]
pub struct PlannedFault {
    pub start_time: Duration,
    pub duration: Duration,
    pub fault: Fault,
}

impl PlannedFault {
    /// Time until the fault is over; a host that leaves has time for that.
    pub fn time_to_recovery(&self) -> Duration {
        if self.fault == Fault::RestartHost {
            GRACE_PERIOD
        } else {
            self.duration
        }
    }
}

/// Faults until `end`, some of them at the same time.
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
    ];
    let chosen = faults.choose_weighted(rng, |fault| fault.0);
    chosen.map_or(Fault::PublishConfig, |fault| fault.1)
}
