//! A random schedule of overlapping faults, determined by the seed.

use std::ops::Range;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

use crate::ZONES;
use crate::hosts::GRACE_PERIOD;
use crate::store::StoreMode;

/// Longest duration of a fault other than an evacuation, in milliseconds.
const MAX_FAULT_MS: u64 = 3_000;

/// Durations of evacuations in milliseconds: long enough for the check, which begins 5 s after
/// the order, and 20 s after it if the store was unstable.
const EVACUATION_RANGE: Range<u64> = 7_000..26_000;

/// Distinguishes the random numbers of evacuations from those of other faults.
const EVACUATION_SEED: u64 = 0x6576_6163_7561_7465;

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
    /// The operators evacuate a zone.
    EvacuateZone(&'static str),
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

/// Adds evacuations of one zone at a time to the faults that start before `end`.
///
/// They have random numbers of their own, so that each seed has the same other faults as without
/// them.
pub fn add_evacuations(planned: &mut Vec<PlannedFault>, seed: u64, end: Duration) {
    let mut rng = SmallRng::seed_from_u64(seed ^ EVACUATION_SEED);
    let mut start_time = Duration::from_millis(rng.random_range(500..3_000));
    while start_time < end {
        let duration = Duration::from_millis(rng.random_range(EVACUATION_RANGE));
        let duration =
            duration.min((end + Duration::from_millis(MAX_FAULT_MS)).saturating_sub(start_time));
        let zone = ZONES.choose(&mut rng).copied().unwrap_or(ZONES[0]);
        planned.push(PlannedFault {
            start_time,
            duration,
            fault: Fault::EvacuateZone(zone),
        });
        start_time += duration + Duration::from_millis(rng.random_range(500..4_000));
    }
    planned.sort_by_key(|fault| fault.start_time);
}

/// Draws the faults that start before `end`, up to three of them at the same time.
pub fn plan_faults(rng: &mut SmallRng, end: Duration) -> Vec<PlannedFault> {
    let mut planned = Vec::new();
    let mut start_time = Duration::from_millis(500);
    while start_time < end {
        for _ in 0..rng.random_range(1..=3) {
            planned.push(PlannedFault {
                start_time,
                duration: Duration::from_millis(rng.random_range(300..MAX_FAULT_MS)),
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
