//! Comparison of the callers' reports with the requests that the backend servers executed.
//!
//! The directory contains the files of one run:
//!
//! | files | contents |
//! | --- | --- |
//! | `report-*.json` | reports of the callers |
//! | `executed-*.json`, `state-*.json` | executed requests and state of each backend server at the end |
//! | `load-*.json` | state of each endpoint of the main service under load |
//! | `held-*.json` | flows open at a drained endpoint when its drain began |

use std::collections::{HashMap, HashSet};
use std::path::PathBuf;

use bpaf::Bpaf;
use jacinthhinge::prelude::*;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::tables::{EndStatus, Outcome, Report, p99_short_latency};

/// Options of the comparison.
#[derive(Bpaf)]
pub struct TallyOptions {
    /// Directory with the files of one run
    #[bpaf(argument("DIR"))]
    dir: PathBuf,
}

#[derive(Deserialize)]
struct ExecutionList {
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
struct EndpointState {
    load: EndpointLoad,
    counts: FaultCounts,
}

#[derive(Deserialize)]
struct EndpointLoad {
    conns: u32,
}

#[derive(Deserialize)]
struct FaultCounts {
    misrouted: u64,
    #[serde(rename = "clashes")]
    key_conflicts: u64,
    #[serde(rename = "garbled")]
    wrong_content: u64,
}

#[derive(Deserialize)]
struct HeldFlow {
    caller: SocketAddr,
    flow: u64,
}

type RequestKey = (SocketAddr, u64, u64);

/// Prints the comparison.
///
/// Ends the process with status 1 if a flow of a drained endpoint broke, if an at-most-once
/// request was executed twice, if a request was lost or misrouted, or if none was answered.
///
/// # Errors
///
/// Fails if a file cannot be read or files are missing.
pub fn run(options: &TallyOptions) -> Result<()> {
    let reports: Vec<Report> = read_files(options, "report-")?;
    let executed: Vec<ExecutionList> = read_files(options, "executed-")?;
    let states: Vec<EndpointState> = read_files(options, "state-")?;
    let loads: Vec<EndpointState> = read_files(options, "load-")?;
    let held_flows: Vec<Vec<HeldFlow>> = read_files(options, "held-")?;
    if reports.is_empty() || executed.is_empty() || states.is_empty() {
        return Err(Error::setting(
            "--dir",
            "the directory has no reports of callers or backend servers",
            "give the directory of a finished run",
        ));
    }

    let mut runs: HashMap<RequestKey, (Class, u64)> = HashMap::new();
    for run in executed.iter().flat_map(|list| &list.executed) {
        let entry = runs.entry((run.caller, run.flow, run.request));
        entry.or_insert((run.class, 0)).1 += run.runs;
    }
    let count_repeated = |once: bool| {
        let is_repeated =
            |(class, count): &&(Class, u64)| *count > 1 && class.is_at_most_once() == once;
        runs.values().filter(is_repeated).count()
    };
    let held_flows: HashSet<(SocketAddr, u64)> = held_flows
        .iter()
        .flatten()
        .map(|h| (h.caller, h.flow))
        .collect();
    let sum_counts = |field: fn(&Report) -> u64| reports.iter().map(field).sum::<u64>();
    let lost = reports
        .iter()
        .map(|report| count_lost(report, &runs))
        .sum::<usize>();
    let drain_breaks = reports
        .iter()
        .flat_map(|report| {
            report
                .broken_streams
                .iter()
                .map(|flow| (report.caller, *flow))
        })
        .filter(|key| held_flows.contains(key))
        .count();
    let sum_faults = |field: fn(&FaultCounts) -> u64| {
        states.iter().map(|state| field(&state.counts)).sum::<u64>()
    };
    let wrong_content = sum_faults(|counts| counts.wrong_content)
        + sum_counts(|report| report.counts.wrong_content);
    let misrouted = sum_faults(|counts| counts.misrouted) + wrong_content;
    let doubled = count_repeated(true);

    println!(
        "drained: held={} broken={drain_breaks}; repeated_reads={} clashes={} wrong_content={wrong_content} reopened={} second_opens={}",
        held_flows.len(),
        count_repeated(false),
        sum_faults(|counts| counts.key_conflicts),
        sum_counts(|report| report.counts.reopened_streams),
        sum_counts(|report| report.counts.conflicting_opens),
    );
    println!(
        "flows={} broken={} requests={} done={} not_run={} unknown={} doubled={doubled} lost={lost} misrouted={misrouted} p99_short_ms={:.1} imbalance={:.2}",
        sum_counts(|report| report.counts.opened_streams),
        sum_counts(|report| report.counts.broken_streams),
        sum_counts(|report| report.counts.requests),
        sum_counts(|report| report.counts.answered_requests),
        sum_counts(|report| report.counts.unexecuted_requests),
        sum_counts(|report| report.counts.unknown_outcomes),
        p99_short_latency(reports.iter().flat_map(|report| &report.outcomes)),
        imbalance(&loads),
    );
    let none_answered = sum_counts(|report| report.counts.answered_requests) == 0;
    if drain_breaks + doubled + lost > 0 || misrouted > 0 || none_answered {
        std::process::exit(1);
    }
    Ok(())
}

/// Counts the requests reported as answered that were not executed, and those reported as not
/// run that were executed.
fn count_lost(report: &Report, runs: &HashMap<RequestKey, (Class, u64)>) -> usize {
    let is_lost = |outcome: &&Outcome| {
        let ran = runs.contains_key(&(report.caller, outcome.flow, outcome.request));
        match outcome.status {
            EndStatus::Answered => !ran,
            EndStatus::NotRun => ran,
            EndStatus::Unknown => false,
        }
    };
    report.outcomes.iter().filter(is_lost).count()
}

/// Returns the ratio of the maximum number of open flows per endpoint to the mean.
fn imbalance(loads: &[EndpointState]) -> f64 {
    let conns = || loads.iter().map(|state| state.load.conns);
    let count = u32::try_from(loads.len()).unwrap_or(u32::MAX);
    let most = f64::from(conns().max().unwrap_or(0));
    most * f64::from(count) / f64::from(conns().sum::<u32>())
}

fn read_files<T: DeserializeOwned>(options: &TallyOptions, prefix: &str) -> Result<Vec<T>> {
    let failed = |source| Error::io("read the run's files", source);
    let mut found = Vec::new();
    for entry in std::fs::read_dir(&options.dir).map_err(failed)? {
        let entry = entry.map_err(failed)?;
        let name = entry.file_name();
        if !name.to_string_lossy().starts_with(prefix) {
            continue;
        }
        let text = std::fs::read_to_string(entry.path()).map_err(failed)?;
        found.push(serde_json::from_str(&text).map_err(|error| {
            let file = name.to_string_lossy();
            Error::config(file, error.to_string(), "run the demonstration again")
        })?);
    }
    Ok(found)
}
