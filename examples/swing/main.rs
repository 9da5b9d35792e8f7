//! Simulates a fourfold change of demand within seconds and compares the shipped
//! policies with simple baselines.
//!
//! The simulation drives the library's decision systems on a virtual clock.
//! `cargo run --release --example swing -- --seed N` runs one seed; `--seeds K` runs K
//! seeds and prints the means. `--ablations` compares with variants of the shipped
//! policies that lack one part each. `--relayed` plays the loads of relayed flows instead.

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::unchecked_time_subtraction,
    reason = "statistics of a simulation"
)]

mod baselines;
mod measure;
mod relayed;
#[path = "../../tests/relaying/mod.rs"]
mod relaying;
mod scenario;
mod server;
mod simulation;

use std::sync::Mutex;
use std::thread;

use baselines::{ABLATIONS, BASELINES, NamedPolicies};
use bpaf::Bpaf;
use measure::COLUMNS;
use scenario::SERVICES;
use simulation::Simulation;

/// Simulates a swing of demand and compares load balancing policies.
#[derive(Bpaf, Clone)]
#[bpaf(options)]
struct Options {
    /// First seed
    #[bpaf(fallback(1))]
    seed: u64,
    /// Number of consecutive seeds
    #[bpaf(fallback(1))]
    seeds: u64,
    /// Number of runs in parallel
    #[bpaf(fallback(3))]
    threads: usize,
    /// Run only the policy of this name
    policy: Option<String>,
    /// Print the outcomes of each class at the crest of demand
    outcomes: bool,
    /// Compare with the shipped policies without one part each
    ablations: bool,
    /// Play the loads of relayed flows: a hot zone, and a shortage
    relayed: bool,
}

/// Values of one service, one for each column.
type Figures = [f64; COLUMNS.len()];

fn main() {
    let options = options().run();
    if options.relayed {
        relayed::print(options.seed, options.seeds);
        return;
    }
    print_header();
    for policies in policy_sets(&options) {
        let runs = run_all(&options, &policies);
        print_rows(policies.name, &runs);
    }
}

fn policy_sets(options: &Options) -> Vec<NamedPolicies> {
    let mut policy_sets = Vec::from(BASELINES);
    if options.ablations {
        policy_sets.truncate(1);
        policy_sets.extend(ABLATIONS);
    }
    let is_selected = |policies: &NamedPolicies| {
        options
            .policy
            .as_ref()
            .is_none_or(|name| name == policies.name)
    };
    policy_sets.retain(is_selected);
    policy_sets
}

/// Runs all seeds and returns the figures of each run, by service.
fn run_all(options: &Options, policies: &NamedPolicies) -> Vec<[Figures; SERVICES.len()]> {
    let seeds = Mutex::new(options.seed..options.seed + options.seeds);
    let runs = Mutex::new(Vec::new());
    let run_seeds = || {
        loop {
            let next = seeds.lock().expect("no run panics").next();
            let Some(seed) = next else {
                return;
            };
            let figures = run_seed(seed, policies, options.outcomes);
            runs.lock().expect("no run panics").push(figures);
        }
    };
    thread::scope(|scope| {
        for _ in 0..options.threads {
            scope.spawn(run_seeds);
        }
    });
    runs.into_inner().expect("no run panics")
}

fn run_seed(seed: u64, policies: &NamedPolicies, outcomes: bool) -> [Figures; SERVICES.len()] {
    let mut simulation = Simulation::new(seed, policies.build, policies.has_reserve);
    simulation.run();
    if outcomes {
        measure::print_outcomes(&simulation);
    }
    std::array::from_fn(|service| {
        COLUMNS
            .each_ref()
            .map(|column| (column.read)(&simulation, service))
    })
}

fn print_header() {
    let names: Vec<&str> = COLUMNS.iter().map(|column| column.name).collect();
    println!("| policy | service | {} |", names.join(" | "));
    println!("| --- | --- |{}", " ---: |".repeat(COLUMNS.len()));
}

fn print_rows(name: &str, runs: &[[Figures; SERVICES.len()]]) {
    for (service, spec) in SERVICES.iter().enumerate() {
        let cells: Vec<String> = COLUMNS
            .iter()
            .enumerate()
            .map(|(index, column)| {
                let sum: f64 = runs.iter().map(|run| run[service][index]).sum();
                format!("{:.*}", column.digits, sum / runs.len() as f64)
            })
            .collect();
        println!("| {name} | {} | {} |", spec.name, cells.join(" | "));
    }
}
