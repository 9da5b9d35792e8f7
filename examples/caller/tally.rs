//! Comparison of callers' reports with what the backend servers ran.
//!
//! The directory holds `report-*.json` of callers, `executed-*.json` and
//! `state-*.json` of backend servers at the end, `load-*.json` of the main
//! service's endpoints under load, and `held-*.json`, the flows that a drained
//! endpoint held when its drain began.

use std::collections::{HashMap, HashSet};
use std::path::PathBuf;

use bpaf::Bpaf;
use jacinthhinge::prelude::*;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::tables::{End, Outcome, Report, p99_short};

/// What to compare.
#[derive(Bpaf)]
pub struct TallyOptions {
    /// Directory with the files of one run
    #[bpaf(argument("DIR"))]
    dir: PathBuf,
}

#[derive(Deserialize)]
struct Executed {
    executed: Vec<Execution>,
}

#[derive(Deserialize)]
struct Execution {
    caller: SocketAddr,
    flow: u64,
    request: u64,
    class: Class,
    runs: u64,
}

#[derive(Deserialize)]
struct State {
    load: Conns,
    counts: Faults,
}

#[derive(Deserialize)]
struct Conns {
    conns: u32,
}

#[derive(Deserialize)]
struct Faults {
    misrouted: u64,
    clashes: u64,
    garbled: u64,
}

#[derive(Deserialize)]
struct Held {
    caller: SocketAddr,
    flow: u64,
}

type RequestKey = (SocketAddr, u64, u64);

/// Prints the comparison and ends the process when a promise was broken or nothing was done.
///
/// # Errors
///
/// Fails when a file cannot be read.
pub fn run(options: &TallyOptions) -> Result<()> {
    let reports: Vec<Report> = read(options, "report-")?;
    let executed: Vec<Executed> = read(options, "executed-")?;
    let states: Vec<State> = read(options, "state-")?;
    let loads: Vec<State> = read(options, "load-")?;
    let held: Vec<Vec<Held>> = read(options, "held-")?;
    if reports.is_empty() || executed.is_empty() || states.is_empty() {
        return Err(Error::setting(
            "--dir",
            "reports of callers or backend servers are missing",
            "give the directory of a whole run",
        ));
    }

    let mut runs: HashMap<RequestKey, (Class, u64)> = HashMap::new();
    for run in executed.iter().flat_map(|list| &list.executed) {
        let entry = runs.entry((run.caller, run.flow, run.request));
        entry.or_insert((run.class, 0)).1 += run.runs;
    }
    let many = |once: bool| {
        let extra = |(class, count): &&(Class, u64)| *count > 1 && class.is_at_most_once() == once;
        runs.values().filter(extra).count()
    };
    let held: HashSet<(SocketAddr, u64)> =
        held.iter().flatten().map(|h| (h.caller, h.flow)).collect();
    let total = |of: fn(&Report) -> u64| reports.iter().map(of).sum::<u64>();
    let lost = reports
        .iter()
        .map(|report| count_lost(report, &runs))
        .sum::<usize>();
    let drained = reports
        .iter()
        .flat_map(|report| report.broken.iter().map(|flow| (report.caller, *flow)))
        .filter(|key| held.contains(key))
        .count();
    let fault = |of: fn(&Faults) -> u64| states.iter().map(|state| of(&state.counts)).sum::<u64>();
    let garbled = fault(|counts| counts.garbled) + total(|report| report.counts.wrong);
    let misrouted = fault(|counts| counts.misrouted) + garbled;
    let doubled = many(true);

    println!(
        "drained: held={} broken={drained}; repeated_reads={} clashes={} wrong_content={garbled} reopened={} second_opens={}",
        held.len(),
        many(false),
        fault(|counts| counts.clashes),
        total(|report| report.counts.reopened),
        total(|report| report.counts.second_opens),
    );
    println!(
        "flows={} broken={} requests={} done={} not_run={} unknown={} doubled={doubled} lost={lost} misrouted={misrouted} p99_short_ms={:.1} imbalance={:.2}",
        total(|report| report.counts.flows),
        total(|report| report.counts.broken),
        total(|report| report.counts.requests),
        total(|report| report.counts.done),
        total(|report| report.counts.not_run),
        total(|report| report.counts.unknown),
        p99_short(reports.iter().flat_map(|report| &report.outcomes)),
        imbalance(&loads),
    );
    let nothing = total(|report| report.counts.done) == 0;
    if drained + doubled + lost > 0 || misrouted > 0 || nothing {
        std::process::exit(1);
    }
    Ok(())
}

/// Requests said to be done that nothing ran, or said not to be run that ran.
fn count_lost(report: &Report, runs: &HashMap<RequestKey, (Class, u64)>) -> usize {
    let is_lost = |outcome: &&Outcome| {
        let ran = runs.contains_key(&(report.caller, outcome.flow, outcome.request));
        match outcome.end {
            End::Done => !ran,
            End::NotRun => ran,
            End::Unknown => false,
        }
    };
    report.outcomes.iter().filter(is_lost).count()
}

/// Most open flows of an endpoint over the mean.
fn imbalance(loads: &[State]) -> f64 {
    let conns = || loads.iter().map(|state| state.load.conns);
    let count = u32::try_from(loads.len()).unwrap_or(u32::MAX);
    let most = f64::from(conns().max().unwrap_or(0));
    most * f64::from(count) / f64::from(conns().sum::<u32>())
}

fn read<T: DeserializeOwned>(options: &TallyOptions, prefix: &str) -> Result<Vec<T>> {
    let failed = |source| Error::io("read the run's files", source);
    let mut found = Vec::new();
    for entry in std::fs::read_dir(&options.dir).map_err(failed)? {
        let entry = entry.map_err(failed)?;
        let name = entry.file_name();
        if !name.to_string_lossy().starts_with(prefix) {
            continue;
        }
        let text = std::fs::read_to_string(entry.path()).map_err(failed)?;
        found.push(serde_json::from_str(&text).map_err(|fault| {
            let place = name.to_string_lossy();
            Error::config(place, fault.to_string(), "run the demonstration again")
        })?);
    }
    Ok(found)
}
