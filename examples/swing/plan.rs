//! What is played: services, demand over time, and faults.

use jacinthhinge::prelude::*;
use rand::RngExt;
use rand::rngs::SmallRng;

/// Hosts of the system.
pub const HOSTS: usize = 4;

/// Mean time that short work holds a slot.
pub const SHORT: Duration = Duration::from_millis(10);

/// Mean time that long work holds a slot.
pub const LONG: Duration = Duration::from_millis(500);

/// Spread of the time that work holds a slot, as the sigma of a log-normal.
const SPREAD: f64 = 0.6;

/// End of the run.
pub const END: Duration = Duration::from_secs(22);

/// Demand before anything happens.
pub const CALM: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(6));

/// Long work alone asks for more than its own share.
pub const SURGE: (Duration, Duration) = (Duration::from_secs(6), Duration::from_secs(10));

/// All work is four times as much.
pub const CREST: (Duration, Duration) = (Duration::from_secs(12), Duration::from_secs(18));

/// Time in which demand swings up and down.
const SWING: f64 = 0.5;

/// Demand at the crest over calm demand.
const CREST_FACTOR: f64 = 4.0;

/// Long work in its surge over calm long work.
const SURGE_FACTOR: f64 = 7.0;

/// A host and then endpoints are lost.
pub const HOST_LOST: Duration = Duration::from_secs(14);
pub const ENDPOINTS_LOST: Duration = Duration::from_millis(14_500);

/// Time after which the other hosts have noticed a lost one.
pub const DETECTION: Duration = Duration::from_secs(2);

/// Time by which the platform's health reports lag.
pub const HEALTH_LAG: Duration = Duration::from_secs(5);

/// Time for which a flow stays open, at most.
pub const FLOW_LIFE: Duration = Duration::from_secs(8);

/// Demand for one class of a service.
#[derive(Clone, Copy)]
pub struct Demand {
    pub class: Class,
    /// Calm demand as a share of the service's slots.
    pub share: f64,
}

/// A service of the experiment.
#[derive(Clone, Copy)]
pub struct Plan {
    pub name: &'static str,
    pub endpoints: usize,
    pub slots: u32,
    pub demand: &'static [Demand],
    /// New flows a second in calm.
    pub flows: f64,
    /// Endpoints lost at the crest.
    pub lost: usize,
}

const fn demand(class: Class, share: f64) -> Demand {
    Demand { class, share }
}

/// The services of both users at today's sizes.
pub const PLANS: [Plan; 4] = [
    Plan {
        name: "adserve",
        endpoints: 14,
        slots: 3,
        demand: &[
            demand(Class::Confirm, 0.12),
            demand(Class::Lookup, 0.13),
            demand(Class::Upload, 0.1),
        ],
        flows: 300.0,
        lost: 2,
    },
    Plan {
        name: "creative-intake",
        endpoints: 4,
        slots: 3,
        demand: &[demand(Class::Lookup, 0.1), demand(Class::Upload, 0.25)],
        flows: 50.0,
        lost: 0,
    },
    Plan {
        name: "bestel",
        endpoints: 14,
        slots: 2,
        demand: &[
            demand(Class::Order, 0.12),
            demand(Class::Lookup, 0.13),
            demand(Class::Photo, 0.1),
        ],
        flows: 300.0,
        lost: 2,
    },
    Plan {
        name: "kleurmatch",
        endpoints: 4,
        slots: 2,
        demand: &[demand(Class::Lookup, 0.1), demand(Class::Photo, 0.25)],
        flows: 50.0,
        lost: 0,
    },
];

/// Worth of a request that is answered in time.
pub fn worth(class: Class) -> f64 {
    match class {
        Class::Confirm | Class::Order => 10.0,
        Class::Lookup => 3.0,
        Class::Stream => 2.0,
        Class::Upload | Class::Photo => 1.0,
    }
}

/// Policy of a class, as operators would set it.
pub fn policy(class: Class) -> Policy {
    let (rank, deadline, service_time) = match class {
        Class::Confirm | Class::Order => (30, 500, SHORT),
        Class::Lookup | Class::Stream => (20, 300, SHORT),
        Class::Upload | Class::Photo => (10, 5_000, LONG),
    };
    Policy {
        rank,
        deadline: Duration::from_millis(deadline),
        service_time,
    }
}

/// Demand at `now` over calm demand.
pub fn factor(long: bool, now: Duration) -> f64 {
    let up = (now.as_secs_f64() - CREST.0.as_secs_f64()) / SWING;
    let down = (CREST.1.as_secs_f64() + SWING - now.as_secs_f64()) / SWING;
    let crest = 1.0 + (CREST_FACTOR - 1.0) * up.min(down).clamp(0.0, 1.0);
    if long && now >= SURGE.0 && now < SURGE.1 {
        return SURGE_FACTOR;
    }
    crest
}

/// Time until the next of `rate` events a second.
pub fn gap(rng: &mut SmallRng, rate: f64) -> Duration {
    let draw: f64 = rng.random();
    Duration::from_secs_f64(-(1.0 - draw).ln() / rate)
}

/// Time that a request of `class` holds a slot: log-normal around its mean.
pub fn work(rng: &mut SmallRng, class: Class) -> Duration {
    let mean = policy(class).service_time.as_secs_f64();
    let (one, two): (f64, f64) = (rng.random(), rng.random());
    let normal = (-2.0 * (1.0 - one).ln()).sqrt() * (std::f64::consts::TAU * two).cos();
    Duration::from_secs_f64(mean * (SPREAD * normal - SPREAD * SPREAD / 2.0).exp())
}
