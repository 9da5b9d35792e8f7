//! Shares of the capacity by demand: the sum over all hosts stays bounded whatever the reports.

use std::time::Duration;

use jacinthhinge::systems::capacity_share::{
    MAX_REPORT_AGE, ReportedDemand, UPDATE_INTERVAL, next_factor, target_factor,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Largest sum of all shares, as a multiple of the capacity.
const MAX_SUM: f64 = 1.5;

/// Hosts that report their demand to each other over an unreliable network.
struct Hosts {
    demands: Vec<f64>,
    factors: Vec<f64>,
    alive: Vec<bool>,
    /// Demand and time of the newest report, by receiver and sender.
    heard: Vec<Vec<Option<(f64, Duration)>>>,
    now: Duration,
    /// Number of hosts of each zone, if the hosts of other zones are known by their sum alone.
    zone_size: Option<usize>,
}

impl Hosts {
    fn new(count: usize) -> Self {
        Self {
            demands: vec![20.0; count],
            factors: vec![1.0; count],
            alive: vec![true; count],
            heard: vec![vec![None; count]; count],
            now: Duration::from_secs(10),
            zone_size: None,
        }
    }

    /// Returns what a host knows of the hosts of its zone, and the means of the other zones.
    fn sums(&self, at: usize, size: usize) -> Vec<ReportedDemand> {
        let mut others = Vec::new();
        for (zone, heard) in self.heard[at].chunks(size).enumerate() {
            let known = heard
                .iter()
                .flatten()
                .map(|(rate, sent_at)| ReportedDemand {
                    rate: *rate,
                    age: self.now.saturating_sub(*sent_at),
                });
            let mut known: Vec<ReportedDemand> = known.collect();
            if zone != at / size && !known.is_empty() {
                let count = u32::try_from(known.len()).expect("few");
                let rate = known.iter().map(|row| row.rate).sum::<f64>() / f64::from(count);
                let age = known.iter().map(|row| row.age).sum::<Duration>() / count;
                known.fill(ReportedDemand { rate, age });
            }
            others.extend(known);
        }
        others
    }

    /// Delivers the reports that `arrives` lets through, and updates all shares. Returns the sum
    /// of the shares of the live hosts as a multiple of the capacity.
    fn step(&mut self, mut arrives: impl FnMut(usize, usize) -> Option<Duration>) -> f64 {
        self.now += UPDATE_INTERVAL;
        let count = self.demands.len();
        for to in 0..count {
            for from in (0..count).filter(|from| *from != to && self.alive[*from]) {
                let Some(delay) = arrives(from, to) else {
                    continue;
                };
                self.heard[to][from] = Some((self.demands[from], self.now.saturating_sub(delay)));
            }
        }
        for at in 0..count {
            let reports = self.heard[at].iter().flatten();
            let mut others: Vec<ReportedDemand> = reports
                .map(|(rate, sent_at)| ReportedDemand {
                    rate: *rate,
                    age: self.now.saturating_sub(*sent_at),
                })
                .collect();
            if let Some(size) = self.zone_size {
                others = self.sums(at, size);
            }
            let hosts = u32::try_from(count).expect("few");
            let target = target_factor(self.demands[at], &others, hosts);
            self.factors[at] = next_factor(self.factors[at], target);
        }
        let live = self.factors.iter().zip(&self.alive);
        let sum: f64 = live.filter(|row| *row.1).map(|row| row.0).sum();
        sum / f64::from(u32::try_from(count).expect("few"))
    }
}

/// Guards against hosts that together overrun a service while reports are lost or late, demand
/// jumps and hosts vanish. A late report carries the demand of the time at which it arrives, as if
/// it were older; the test of the simultaneous jump covers the opposite.
#[test]
fn shares_stay_bounded_over_many_seeds() {
    for seed in 0..300 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut hosts = Hosts::new(rng.random_range(2..40));
        let loss = rng.random_range(0.0..0.9);
        let mut max_sum: f64 = 0.0;
        for _ in 0..200 {
            if rng.random_bool(0.03) {
                let level = rng.random_range(1.0..400.0);
                let part = rng.random_range(0.0..1.0);
                for demand in &mut hosts.demands {
                    if rng.random_bool(part) {
                        *demand = level;
                    }
                }
            }
            if rng.random_bool(0.02) {
                let at = rng.random_range(0..hosts.alive.len());
                hosts.alive[at] = !hosts.alive[at];
            }
            let sum = hosts.step(|_, _| {
                let arrives = rng.random_bool(0.2) && !rng.random_bool(loss);
                arrives.then(|| Duration::from_millis(rng.random_range(0..1_000)))
            });
            max_sum = max_sum.max(sum);
        }
        assert!(max_sum <= MAX_SUM, "seed {seed}: {max_sum}");
    }
}

/// Guards against the sum overrunning the capacity when hosts know only the mean demand of the
/// other zones, from sums that are late or lost, while demand jumps at some hosts of a zone.
#[test]
fn shares_stay_bounded_with_sums_of_other_zones() {
    for seed in 0..300 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let zone_size = rng.random_range(2..14_usize);
        let mut hosts = Hosts::new(zone_size * 3);
        hosts.zone_size = Some(zone_size);
        let loss = rng.random_range(0.0..0.9);
        let mut max_sum: f64 = 0.0;
        for _ in 0..200 {
            if rng.random_bool(0.03) {
                let level = rng.random_range(1.0..400.0);
                let part = rng.random_range(0.0..1.0);
                for demand in &mut hosts.demands {
                    if rng.random_bool(part) {
                        *demand = level;
                    }
                }
            }
            let sum = hosts.step(|_, _| {
                let arrives = rng.random_bool(0.2) && !rng.random_bool(loss);
                arrives.then(|| Duration::from_millis(rng.random_range(0..1_000)))
            });
            max_sum = max_sum.max(sum);
        }
        assert!(max_sum <= MAX_SUM, "seed {seed}: {max_sum}");
    }
}

/// Guards against the sum overrunning the capacity when demand rises on all hosts at once and no
/// report arrives any more: each still sees low demand at the others.
#[test]
fn shares_stay_bounded_when_all_demand_rises_and_reports_stop() {
    for (before, after) in [(20.0, 400.0), (1.0, 50.0), (5.0, 5_000.0)] {
        let mut hosts = Hosts::new(30);
        hosts.demands.fill(before);
        for _ in 0..50 {
            hosts.step(|_, _| Some(Duration::ZERO));
        }
        hosts.demands.fill(after);
        for _ in 0..60 {
            let sum = hosts.step(|_, _| None);
            assert!(sum <= MAX_SUM, "{before} to {after}: {sum}");
        }
        assert!(
            hosts
                .factors
                .iter()
                .all(|factor| (factor - 1.0).abs() < 1e-9)
        );
    }
}

/// Guards against two partitions that both count on the capacity of a third group of hosts.
#[test]
fn shares_stay_bounded_when_two_hot_zones_do_not_hear_each_other() {
    let mut hosts = Hosts::new(30);
    hosts.demands[..20].fill(200.0);
    for _ in 0..100 {
        let sum = hosts.step(|from, to| {
            let is_cut = from < 20 && to < 20 && (from < 10) != (to < 10);
            (!is_cut).then_some(Duration::ZERO)
        });
        assert!(sum <= MAX_SUM, "{sum}");
    }
}

/// Guards against a hot zone that stays limited to an even split while the other zones are idle.
#[test]
fn hot_zone_gets_the_capacity_that_others_do_not_need() {
    let mut hosts = Hosts::new(30);
    hosts.demands[..10].fill(200.0);
    for _ in 0..60 {
        hosts.step(|_, _| Some(Duration::from_millis(500)));
    }
    assert!(hosts.factors[0] > 1.4, "{}", hosts.factors[0]);
    assert!(hosts.factors[29] < 0.6, "{}", hosts.factors[29]);
    // When reports stop, all hosts return to an even split.
    for _ in 0..100 {
        hosts.step(|_, _| None);
    }
    assert!(
        hosts
            .factors
            .iter()
            .all(|factor| (factor - 1.0).abs() < 1e-9)
    );
}

/// Guards against shares that fluctuate with demand that is even but for chance.
#[test]
fn even_demand_leaves_an_even_split() {
    let others = [18.0, 22.0, 20.0, 24.0].map(|rate| ReportedDemand {
        rate,
        age: Duration::from_millis(300),
    });
    assert!((target_factor(21.0, &others, 5) - 1.0).abs() < 1e-9);
    assert!((target_factor(21.0, &[], 5) - 1.0).abs() < 1e-9);
    let old = others.map(|other| ReportedDemand {
        age: MAX_REPORT_AGE,
        rate: other.rate / 10.0,
    });
    assert!((target_factor(21.0, &old, 5) - 1.0).abs() < 1e-9);
}
