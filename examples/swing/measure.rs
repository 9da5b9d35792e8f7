//! Statistics over a run: load imbalance, goodput, latency and recovery.

use hdrhistogram::Histogram;
use jacinthhinge::prelude::*;

use crate::scenario::{self, CALM_PHASE, CREST_PHASE, RUN_TIME, SERVICES, SURGE_PHASE};
use crate::simulation::{Request, Sample, Simulation};

/// Time within which a flow must open to count for the goodput.
const MAX_OPEN_TIME: Duration = Duration::from_millis(300);

/// Length of the windows that are checked for recovery.
const RECOVERY_WINDOW: Duration = Duration::from_millis(250);

/// Latency counts as recovered if its p99 is at most this multiple of the calm p99.
const RECOVERED_RATIO: f64 = 1.1;

/// Number of samples over which slot time is compared, about eight long requests.
const SAMPLES_PER_SPAN: usize = 4;

/// Longest wait of the short requests that arrive at the crest.
const SHORT_WORK_TAIL: Duration = Duration::from_millis(500);

/// A column of the table.
pub struct Column {
    pub name: &'static str,
    pub digits: usize,
    /// Computes the value for the service with the given index.
    pub read: fn(&Simulation, usize) -> f64,
}

const fn column(name: &'static str, digits: usize, read: fn(&Simulation, usize) -> f64) -> Column {
    Column { name, digits, read }
}

/// The columns of the table; times are in milliseconds, shares in percent.
pub const COLUMNS: [Column; 16] = [
    column("flows max/mean", 3, |simulation, service| {
        mean(&flow_imbalances(simulation, service))
    }),
    column("worst", 3, |simulation, service| {
        max(&flow_imbalances(simulation, service))
    }),
    column("slots max/mean", 3, |simulation, service| {
        mean(&slot_imbalances(simulation, service, SAMPLES_PER_SPAN))
    }),
    column("in 1 s", 3, |simulation, service| {
        mean(&slot_imbalances(simulation, service, 1))
    }),
    column("broken", 1, |simulation, service| {
        simulation.broken_flows[service].live as f64
    }),
    column("with server", 1, |simulation, service| {
        simulation.broken_flows[service].lost as f64
    }),
    column("goodput %", 1, |simulation, service| {
        100.0 * goodput(simulation, service, false)
    }),
    column("of all %", 1, |simulation, service| {
        100.0 * goodput(simulation, service, true)
    }),
    column("not run", 0, |simulation, service| {
        count_status(simulation, service, ExecutionStatus::NotRun)
    }),
    column("unknown", 0, |simulation, service| {
        count_status(simulation, service, ExecutionStatus::Unknown)
    }),
    column("p50 calm", 1, |simulation, service| {
        latency_quantile(simulation, service, CALM_PHASE, 0.5)
    }),
    column("p99 calm", 1, |simulation, service| {
        latency_quantile(simulation, service, CALM_PHASE, 0.99)
    }),
    column("p99 surge", 1, |simulation, service| {
        latency_quantile(simulation, service, SURGE_PHASE, 0.99)
    }),
    column("p99 crest", 1, |simulation, service| {
        latency_quantile(simulation, service, CREST_PHASE, 0.99)
    }),
    column("recovery", 0, recovery_time),
    column("retries %", 1, |simulation, _| {
        100.0 * retry_share(simulation)
    }),
];

/// Returns the imbalance of open flows in each sample from the calm phase on.
fn flow_imbalances(simulation: &Simulation, service: usize) -> Vec<f64> {
    service_samples(simulation, service)
        .iter()
        .map(|sample| imbalance(&sample.flow_counts))
        .collect()
}

/// Returns the imbalance of slot time in spans of `count` samples from the calm phase on.
/// Spans in which endpoints are lost are left out.
fn slot_imbalances(simulation: &Simulation, service: usize, count: usize) -> Vec<f64> {
    service_samples(simulation, service)
        .chunks(count)
        .filter(|span| {
            span.iter()
                .all(|sample| sample.slot_seconds.len() == span[0].slot_seconds.len())
        })
        .map(|span| {
            let sum = |index| {
                span.iter()
                    .map(|sample: &&Sample| sample.slot_seconds[index])
                    .sum()
            };
            let sums: Vec<f64> = (0..span[0].slot_seconds.len()).map(sum).collect();
            imbalance(&sums)
        })
        .collect()
}

fn service_samples(simulation: &Simulation, service: usize) -> Vec<&Sample> {
    let own = simulation
        .samples
        .iter()
        .filter(|sample| sample.service == service);
    own.filter(|sample| sample.taken_at > CALM_PHASE.0)
        .collect()
}

/// Returns the ratio of the maximum to the mean.
fn imbalance(values: &[f64]) -> f64 {
    let sum: f64 = values.iter().sum();
    if sum == 0.0 {
        1.0
    } else {
        max(values) * values.len() as f64 / sum
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

fn max(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}

/// Returns the ratio of the utility achieved in time at the crest to the upper bound of
/// [`max_utility`]. `with_home_lost` includes requests and flows whose home was lost.
fn goodput(simulation: &Simulation, service: usize, with_home_lost: bool) -> f64 {
    let created = simulation
        .requests
        .iter()
        .filter(|r| r.service == service && is_within(r.created_at, CREST_PHASE));
    let offered: Vec<&Request> = created.filter(|r| with_home_lost || !r.home_lost).collect();
    let in_time = offered.iter().filter(|r| {
        r.answered_at
            .is_some_and(|answered_at| answered_at <= r.deadline)
    });
    let answered_utility: f64 = in_time.map(|r| scenario::utility(r.class)).sum();
    let flows = simulation
        .flows
        .iter()
        .filter(|f| f.service == service && is_within(f.created_at, CREST_PHASE));
    let offered_flows: Vec<_> = flows.filter(|f| with_home_lost || !f.home_lost).collect();
    let opened = offered_flows.iter().filter(|f| {
        f.opened_at
            .is_some_and(|at| at <= f.created_at + MAX_OPEN_TIME)
    });
    let flow_utility = scenario::utility(Class::Stream);
    let achieved = answered_utility + flow_utility * opened.count() as f64;
    achieved / (max_utility(service, offered) + flow_utility * offered_flows.len() as f64)
}

/// Returns an upper bound of the utility that any scheduler could achieve. It assumes
/// that all durations are known in advance, that requests can be split, and that
/// they are served in order of utility per second of slot time. Long requests may also
/// use the slot time that calm short requests leave after the crest.
fn max_utility(service: usize, mut offered: Vec<&Request>) -> f64 {
    let utility_density = |r: &Request| scenario::utility(r.class) / r.work_time.as_secs_f64();
    offered.sort_by(|a, b| utility_density(b).total_cmp(&utility_density(a)));
    let spec = SERVICES[service];
    let slots = |endpoints: usize| endpoints as f64 * f64::from(spec.slots);
    let after = CREST_PHASE.1 + SHORT_WORK_TAIL;
    let lost_capacity =
        (after - scenario::ENDPOINT_LOSS_TIME).as_secs_f64() * slots(spec.lost_endpoints);
    let mut crest_capacity =
        (after - CREST_PHASE.0).as_secs_f64() * slots(spec.endpoints) - lost_capacity;
    let short = spec
        .demands
        .iter()
        .filter(|demand| !demand.class.is_long_running());
    let calm_share = 1.0 - short.map(|demand| demand.slot_share).sum::<f64>();
    let spare =
        (RUN_TIME - after).as_secs_f64() * slots(spec.endpoints - spec.lost_endpoints) * calm_share;
    let mut spare_capacity = spare;
    let mut total = 0.0;
    for request in offered {
        let need = request.work_time.as_secs_f64();
        let mut left = use_capacity(&mut crest_capacity, need);
        if request.class.is_long_running() {
            left = use_capacity(&mut spare_capacity, left);
        }
        total += scenario::utility(request.class) * (1.0 - left / need);
    }
    total
}

/// Takes up to `need` from the capacity and returns the part that it did not cover.
fn use_capacity(capacity: &mut f64, need: f64) -> f64 {
    let used = need.min(*capacity);
    *capacity -= used;
    need - used
}

fn count_status(simulation: &Simulation, service: usize, status: ExecutionStatus) -> f64 {
    let requests = simulation.requests.iter().filter(|r| r.service == service);
    let ended = requests.filter(|r| r.end_status.is_some_and(|(found, _)| found == status));
    ended.count() as f64
}

/// Returns a quantile of the latency of short requests, in milliseconds.
fn latency_quantile(
    simulation: &Simulation,
    service: usize,
    span: (Duration, Duration),
    quantile: f64,
) -> f64 {
    let mut times = Histogram::<u64>::new(3).expect("valid precision");
    for request in short_requests(simulation, service, span) {
        if let Some(answered_at) = request.answered_at {
            let latency = (answered_at - request.created_at).as_micros();
            times
                .record(u64::try_from(latency).unwrap_or(u64::MAX))
                .expect("the histogram grows");
        }
    }
    times.value_at_quantile(quantile) as f64 / 1_000.0
}

fn short_requests(
    simulation: &Simulation,
    service: usize,
    span: (Duration, Duration),
) -> impl Iterator<Item = &Request> + '_ {
    let own = simulation
        .requests
        .iter()
        .filter(move |r| r.service == service);
    own.filter(move |r| !r.class.is_long_running() && !r.home_lost && is_within(r.created_at, span))
}

/// Returns the time from the end of the crest until the latency of short requests has
/// recovered, in milliseconds.
fn recovery_time(simulation: &Simulation, service: usize) -> f64 {
    let calm = latency_quantile(simulation, service, CALM_PHASE, 0.99);
    let mut start = CREST_PHASE.1;
    while start < RUN_TIME {
        let span = (start, start + RECOVERY_WINDOW);
        let all_answered =
            short_requests(simulation, service, span).all(|request| request.answered_at.is_some());
        if all_answered
            && latency_quantile(simulation, service, span, 0.99) <= RECOVERED_RATIO * calm
        {
            break;
        }
        start += RECOVERY_WINDOW;
    }
    (start - CREST_PHASE.1).as_secs_f64() * 1_000.0
}

/// Returns the ratio of retries to accepted requests over all hosts.
fn retry_share(simulation: &Simulation) -> f64 {
    let counters = simulation.counters();
    let retries: u64 = counters.iter().map(|c| c.retries).sum();
    let accepted: u64 = counters.iter().map(|c| c.accepted_requests).sum();
    retries as f64 / accepted.max(1) as f64
}

fn is_within(at: Duration, span: (Duration, Duration)) -> bool {
    at >= span.0 && at < span.1
}

/// Prints the number of requests with each outcome at the crest, by service and class,
/// and the sums of the hosts' counters.
pub fn print_outcomes(simulation: &Simulation) {
    for (service, spec) in SERVICES.iter().enumerate() {
        for demand in spec.demands {
            let mut counts = std::collections::BTreeMap::new();
            let created = simulation
                .requests
                .iter()
                .filter(|r| r.service == service && r.class == demand.class);
            for request in created.filter(|r| is_within(r.created_at, CREST_PHASE)) {
                let in_time = request
                    .answered_at
                    .is_some_and(|answered_at| answered_at <= request.deadline);
                let outcome = match request.end_status {
                    _ if in_time => "in time".to_string(),
                    _ if request.home_lost => "stranded".to_string(),
                    Some((status, reason)) => format!("{status:?} {reason:?}"),
                    None => "no response".to_string(),
                };
                *counts.entry(outcome).or_insert(0) += 1;
            }
            println!("{} {:?}: {counts:?}", spec.name, demand.class);
        }
    }
    let sum = |read: fn(&jacinthhinge::tables::Counters) -> u64| -> u64 {
        simulation.counters().iter().map(read).sum()
    };
    println!(
        "taken {} refused {} retries {} exhausted {} resent {}",
        sum(|c| c.accepted_requests),
        sum(|c| c.refused_dispatches),
        sum(|c| c.retries),
        sum(|c| c.denied_retries),
        sum(|c| c.resent_datagrams)
    );
}
