//! Loads of relayed flows: one zone at ten times its load, the same with slow endpoints, and a
//! shortage in all zones. The shipped systems run in the harness of the tests, `tests/relaying`,
//! with two hosts in each of three zones.

use jacinthhinge::prelude::*;
use jacinthhinge::segment::{RequestKind, Route};
use jacinthhinge::systems::{Policies, Tuning};
use jacinthhinge::tables::ServiceLimit;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::relaying::load::{Demand, LoadTest, Outcome, Request, route};

const ZONES: [&str; 3] = ["a", "b", "c"];

/// Hosts in each zone.
const HOSTS: usize = 2;

/// Time for which an endpoint works on a request.
const WORK_TIME: Duration = Duration::from_millis(40);

/// Requests a second that a zone's endpoints can answer before a shortage: 10 endpoints of 2 slots.
const ZONE_CAPACITY: f64 = 500.0;

/// Calm time before the load, and the time of the load.
const CALM_TIME: Duration = Duration::from_secs(3);
const LOAD_TIME: Duration = Duration::from_secs(12);

/// Time in which the demand stays the same, and the part by which it varies.
const DEMAND_STEP: Duration = Duration::from_millis(100);
const DEMAND_NOISE: f64 = 0.3;

/// Ranks of the routes and their parts of the demand.
const RANKS: [(u32, f64); 3] = [(0, 0.1), (1, 0.3), (3, 0.6)];

/// A load.
struct Load {
    name: &'static str,
    /// Calm demand of a zone, as a part of its capacity.
    calm: f64,
    /// Endpoints of a zone.
    endpoints: usize,
    /// Factors of the demand of each zone.
    factors: [f64; 3],
    /// Factor of the work time in the first zone.
    slowness: u32,
}

/// In the first two, all zones together need 44% of their slots at calm work times.
const LOADS: [Load; 3] = [
    Load {
        name: "hot zone",
        calm: 0.11,
        endpoints: 10,
        factors: [10.0, 1.0, 1.0],
        slowness: 1,
    },
    Load {
        name: "hot and slow zone",
        calm: 0.11,
        endpoints: 10,
        factors: [10.0, 1.0, 1.0],
        slowness: 5,
    },
    // Five times the load with 60% of the endpoints gone: 4.4 times what is left.
    Load {
        name: "shortage",
        calm: 0.35,
        endpoints: 4,
        factors: [5.0; 3],
        slowness: 1,
    },
];

/// A variant of the shipped policies.
struct Variant {
    name: &'static str,
    policies: fn() -> Policies,
    /// False if all routes have the same rank, so that the newest request goes first.
    has_ranks: bool,
}

const VARIANTS: [Variant; 4] = [
    Variant {
        name: "shipped",
        policies: Policies::with_defaults,
        has_ranks: true,
    },
    Variant {
        name: "no spill",
        policies: no_spill,
        has_ranks: true,
    },
    Variant {
        name: "even split",
        policies: even_split,
        has_ranks: true,
    },
    Variant {
        name: "newest first",
        policies: Policies::with_defaults,
        has_ranks: false,
    },
];

/// Means over the seeds, in percent of the requests.
type Figures = [f64; 6];

/// Plays all loads with all variants, and prints a table.
pub fn print(first_seed: u64, seeds: u64) {
    println!(
        "| load | policy | in target | first rank | hot zone | unserved | last rank served | of capacity |"
    );
    println!("| --- | --- |{}", " ---: |".repeat(6));
    for load in &LOADS {
        for variant in &VARIANTS {
            let mut sums: Figures = [0.0; 6];
            for seed in first_seed..first_seed + seeds {
                let figures = play(load, variant, seed);
                sums.iter_mut()
                    .zip(figures)
                    .for_each(|(sum, one)| *sum += one);
            }
            let cells = sums.map(|sum| format!("{:.2}", sum / seeds as f64));
            println!(
                "| {} | {} | {} |",
                load.name,
                variant.name,
                cells.join(" | ")
            );
        }
    }
}

fn play(load: &Load, variant: &Variant, seed: u64) -> Figures {
    let routes = RANKS.map(|(rank, _)| {
        let rank = if variant.has_ranks { rank } else { 0 };
        route(rank, RequestKind::Idempotent)
    });
    let mut test = new_test(load, variant, &routes, seed);
    let mut rng = SmallRng::seed_from_u64(seed);
    run(&mut test, load, [1.0; 3], CALM_TIME, &mut rng);
    let since = test.now();
    let servers = test.servers.iter_mut();
    for server in servers.filter(|server| server.zone == ZONES[0]) {
        server.service_time *= load.slowness;
    }
    run(&mut test, load, load.factors, LOAD_TIME, &mut rng);
    let end = test.now();
    // The rest of the requests ends without new ones.
    test.run(Duration::from_secs(2), &[]);
    figures(&test, load, since, end)
}

fn new_test(load: &Load, variant: &Variant, routes: &[Route], seed: u64) -> LoadTest {
    let hosts: Vec<&str> = ZONES.iter().flat_map(|zone| [*zone; HOSTS]).collect();
    let servers = ZONES.map(|zone| (zone, load.endpoints, WORK_TIME));
    let mut test = LoadTest::new(&hosts, &servers, routes);
    for (at, lane) in test.lanes.iter_mut().enumerate() {
        lane.tables.policies = Arc::new((variant.policies)());
        lane.tables.rng = SmallRng::seed_from_u64(seed * 100 + at as u64);
    }
    test
}

/// Runs the callers for some time with a demand that varies.
fn run(test: &mut LoadTest, load: &Load, factors: [f64; 3], time: Duration, rng: &mut SmallRng) {
    let end = test.now() + time;
    while test.now() < end {
        let mut demands = Vec::new();
        for lane in 0..ZONES.len() * HOSTS {
            let noise = rng.random_range(1.0 - DEMAND_NOISE..1.0 + DEMAND_NOISE);
            let rate = load.calm * ZONE_CAPACITY / HOSTS as f64 * factors[lane / HOSTS] * noise;
            for (route, (_, part)) in RANKS.iter().enumerate() {
                demands.push(Demand {
                    lane,
                    route,
                    caller: 0,
                    rate: rate * part,
                });
            }
        }
        test.run(DEMAND_STEP, &demands);
    }
}

fn figures(test: &LoadTest, load: &Load, since: Duration, end: Duration) -> Figures {
    let share = |part: u32, all: u32| 100.0 * f64::from(part) / f64::from(all.max(1));
    let all = test.totals(since, |_| true);
    let first = test.totals(since, |request| request.route == 0);
    let last = test.totals(since, |request| request.route == RANKS.len() - 1);
    let hot = test.totals(since, |request| request.lane < HOSTS);
    let is_answered = |request: &&Request| {
        let ended = |time| request.started + time;
        matches!(request.outcome, Outcome::Answered(time) if ended(time) > since && ended(time) <= end)
    };
    let answered = test.requests.iter().filter(is_answered).count() as f64;
    let slots = 2.0 * load.endpoints as f64;
    let rate = slots / WORK_TIME.as_secs_f64();
    let capacity = rate * (2.0 + 1.0 / f64::from(load.slowness)) * LOAD_TIME.as_secs_f64();
    [
        share(all.in_target, all.sent),
        share(first.in_target, first.sent),
        share(hot.in_target, hot.sent),
        share(all.sent - all.answered, all.sent),
        share(last.answered, last.sent),
        100.0 * answered / capacity,
    ]
}

/// The shipped policies with a cost of crossing that no flow saves.
fn no_spill() -> Policies {
    Policies::with_tuning(Tuning {
        zone_cost: Duration::from_mins(1),
        ..Tuning::DEFAULT
    })
}

/// The shipped policies with the same share of all slots for each host, whatever its demand.
fn even_split() -> Policies {
    let shipped = Policies::with_defaults();
    let limit_of = shipped.relay_limit;
    Policies {
        relay_limit: Box::new(move |tables, service, now| {
            let limit = limit_of(tables, service, now);
            let depth = limit.requests / limit.slots.max(f64::MIN_POSITIVE);
            let hosts = f64::from(tables.snapshot.expected_hosts.max(1));
            let slots = f64::from(tables.endpoints.total_slots(service)) / hosts;
            ServiceLimit {
                requests: (slots * depth).max(1.0),
                slots,
                ..limit
            }
        }),
        ..Policies::with_defaults()
    }
}
