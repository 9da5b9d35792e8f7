//! The simulated scenario: services, demand over time, and faults.

use jacinthhinge::prelude::*;
use rand::RngExt;
use rand::rngs::SmallRng;

/// Number of hosts.
pub const HOST_COUNT: usize = 4;

/// Mean time for which a short request occupies a slot.
pub const SHORT_WORK_TIME: Duration = Duration::from_millis(10);

/// Mean time for which a long request occupies a slot.
pub const LONG_WORK_TIME: Duration = Duration::from_millis(500);

/// Sigma of the log-normal distribution of the time for which a request occupies a slot.
const WORK_TIME_SIGMA: f64 = 0.6;

/// Length of a run.
pub const RUN_TIME: Duration = Duration::from_secs(22);

/// Phase of calm demand without faults.
pub const CALM_PHASE: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(6));

/// Phase in which long requests alone demand more than their share of the slots.
pub const SURGE_PHASE: (Duration, Duration) = (Duration::from_secs(6), Duration::from_secs(10));

/// Phase in which all demand is [`CREST_FACTOR`] times the calm demand.
pub const CREST_PHASE: (Duration, Duration) = (Duration::from_secs(12), Duration::from_secs(18));

/// Time in seconds in which demand rises to the crest, and falls from it.
const RAMP_TIME: f64 = 0.5;

/// Ratio of the demand at the crest to calm demand.
const CREST_FACTOR: f64 = 4.0;

/// Ratio of the demand for long requests in their surge to the calm one.
const SURGE_FACTOR: f64 = 7.0;

/// Times at which a host, and then endpoints, are lost.
pub const HOST_LOSS_TIME: Duration = Duration::from_secs(14);
pub const ENDPOINT_LOSS_TIME: Duration = Duration::from_millis(14_500);

/// Time after which the other hosts have detected the loss of a host.
pub const DETECTION_TIME: Duration = Duration::from_secs(2);

/// Time by which the platform's health reports lag.
pub const HEALTH_LAG: Duration = Duration::from_secs(5);

/// Time for which a flow stays open, at most.
pub const MAX_FLOW_LIFETIME: Duration = Duration::from_secs(8);

/// Demand for one class of a service.
#[derive(Clone, Copy)]
pub struct Demand {
    pub class: Class,
    /// Calm demand as a share of the service's slots.
    pub slot_share: f64,
}

/// A simulated service.
#[derive(Clone, Copy)]
pub struct ServiceSpec {
    pub name: &'static str,
    pub endpoints: usize,
    pub slots: u32,
    pub demands: &'static [Demand],
    /// New flows per second at calm demand.
    pub flow_rate: f64,
    /// Endpoints lost at the crest.
    pub lost_endpoints: usize,
}

const fn demand(class: Class, slot_share: f64) -> Demand {
    Demand { class, slot_share }
}

/// The services of both users at today's sizes.
pub const SERVICES: [ServiceSpec; 4] = [
    ServiceSpec {
        name: "adserve",
        endpoints: 14,
        slots: 3,
        demands: &[
            demand(Class::Confirm, 0.12),
            demand(Class::Lookup, 0.13),
            demand(Class::Upload, 0.1),
        ],
        flow_rate: 300.0,
        lost_endpoints: 2,
    },
    ServiceSpec {
        name: "creative-intake",
        endpoints: 4,
        slots: 3,
        demands: &[demand(Class::Lookup, 0.1), demand(Class::Upload, 0.25)],
        flow_rate: 50.0,
        lost_endpoints: 0,
    },
    ServiceSpec {
        name: "bestel",
        endpoints: 14,
        slots: 2,
        demands: &[
            demand(Class::Order, 0.12),
            demand(Class::Lookup, 0.13),
            demand(Class::Photo, 0.1),
        ],
        flow_rate: 300.0,
        lost_endpoints: 2,
    },
    ServiceSpec {
        name: "kleurmatch",
        endpoints: 4,
        slots: 2,
        demands: &[demand(Class::Lookup, 0.1), demand(Class::Photo, 0.25)],
        flow_rate: 50.0,
        lost_endpoints: 0,
    },
];

/// Returns the utility of a request that is answered in time, for the goodput.
pub fn utility(class: Class) -> f64 {
    match class {
        Class::Confirm | Class::Order => 10.0,
        Class::Lookup => 3.0,
        Class::Stream => 2.0,
        Class::Upload | Class::Photo => 1.0,
    }
}

/// Policy of a class, as operators would set it.
pub fn class_policy(class: Class) -> Policy {
    let (rank, deadline, service_time) = match class {
        Class::Confirm | Class::Order => (30, 500, SHORT_WORK_TIME),
        Class::Lookup | Class::Stream => (20, 300, SHORT_WORK_TIME),
        Class::Upload | Class::Photo => (10, 5_000, LONG_WORK_TIME),
    };
    Policy {
        rank,
        deadline: Duration::from_millis(deadline),
        service_time,
    }
}

/// Returns the ratio of the demand at `now` to calm demand.
pub fn demand_factor(long: bool, now: Duration) -> f64 {
    let up = (now.as_secs_f64() - CREST_PHASE.0.as_secs_f64()) / RAMP_TIME;
    let down = (CREST_PHASE.1.as_secs_f64() + RAMP_TIME - now.as_secs_f64()) / RAMP_TIME;
    let crest = 1.0 + (CREST_FACTOR - 1.0) * up.min(down).clamp(0.0, 1.0);
    if long && now >= SURGE_PHASE.0 && now < SURGE_PHASE.1 {
        return SURGE_FACTOR;
    }
    crest
}

/// Draws the exponentially distributed time until the next of `rate` events per second.
pub fn draw_gap(rng: &mut SmallRng, rate: f64) -> Duration {
    let draw: f64 = rng.random();
    Duration::from_secs_f64(-(1.0 - draw).ln() / rate)
}

/// Draws the time for which a request of `class` occupies a slot, from a log-normal
/// distribution.
pub fn draw_work_time(rng: &mut SmallRng, class: Class) -> Duration {
    let mean = class_policy(class).service_time.as_secs_f64();
    let (first, second): (f64, f64) = (rng.random(), rng.random());
    let normal = (-2.0 * (1.0 - first).ln()).sqrt() * (std::f64::consts::TAU * second).cos();
    Duration::from_secs_f64(
        mean * (WORK_TIME_SIGMA * normal - WORK_TIME_SIGMA * WORK_TIME_SIGMA / 2.0).exp(),
    )
}
