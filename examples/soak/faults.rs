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
    Kill,
    /// Kill all hosts at once and start them again.
    KillAll,
    /// Stop a host's clock and let it run on.
    Pause,
    /// Ask a host to leave and start it again.
    Roll,
    /// Change a host's settings file, with a signal.
    Reload,
    /// An endpoint neither hears nor speaks.
    Mute,
    /// An endpoint takes ten times as long.
    Slow,
    /// An endpoint loses its flows and starts again under its id.
    Crash,
    /// An endpoint leaves, and its address goes to another service.
    Reuse,
    /// The entry of an endpoint lapses and comes back.
    Lapse,
    /// The operators publish a version with other idle routes.
    Change,
    /// The store is in a bad mood.
    StoreMode(StoreMode),
}

/// A fault with its time and length.
#[derive(Clone, Copy, Debug)]
pub struct Planned {
    pub at: Duration,
    pub length: Duration,
    pub fault: Fault,
}

impl Planned {
    /// Time until the fault is over; a host that leaves has time for that.
    pub fn lasts(&self) -> Duration {
        if self.fault == Fault::Roll {
            GRACE_PERIOD
        } else {
            self.length
        }
    }
}

/// Faults until `end`, some of them at the same time.
pub fn plan(rng: &mut SmallRng, end: Duration) -> Vec<Planned> {
    let mut planned = Vec::new();
    let mut at = Duration::from_millis(500);
    while at < end {
        for _ in 0..rng.random_range(1..=3) {
            planned.push(Planned {
                at,
                length: Duration::from_millis(rng.random_range(300..3_000)),
                fault: draw(rng),
            });
        }
        at += Duration::from_millis(rng.random_range(300..2_500));
    }
    planned
}

fn draw(rng: &mut SmallRng) -> Fault {
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
        (3, Fault::Kill),
        (1, Fault::KillAll),
        (3, Fault::Pause),
        (2, Fault::Roll),
        (2, Fault::Reload),
        (3, Fault::Mute),
        (2, Fault::Slow),
        (2, Fault::Crash),
        (2, Fault::Reuse),
        (1, Fault::Lapse),
        (3, Fault::Change),
        (4, Fault::StoreMode(mode)),
    ];
    let picked = faults.choose_weighted(rng, |fault| fault.0);
    picked.map_or(Fault::Change, |fault| fault.1)
}
