//! Measures the cost of the control thread per host, and how fast updates propagate.
//!
//! Runs the control state of N hosts in one process, connected by an in-memory queue,
//! and prints one line for each N. Bytes include IP and UDP headers and the data that
//! hosts fetch from each other.

#[path = "../tests/zone/mod.rs"]
mod zone;

use std::fs;
use std::time::Instant;

use jacinthhinge::control::Event;
use jacinthhinge::prelude::*;
use jacinthhinge::report::{EndpointReport, LaneReport, ServiceReport};
use zone::{Zone, host_names};

/// Numbers of hosts to measure.
const ZONE_SIZES: [usize; 4] = [4, 16, 64, 108];
/// Time that a zone runs before it is measured.
const WARM_UP_TIME: Duration = Duration::from_secs(20);
/// Time over which the cost without changes is measured.
const QUIET_TIME: Duration = Duration::from_secs(20);
/// Maximum time to wait for a change to take effect.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// Clock ticks per second, the unit of processor time in `/proc` on Linux.
const CLOCK_TICKS: f64 = 100.0;

/// Size of a memory page in bytes.
const PAGE_BYTES: f64 = 4096.0;

/// Number of availability zones over which the hosts are spread when reports are measured.
const AZ_COUNT: usize = 3;

/// Time over which the cost of reports is measured.
const REPORT_TIME: Duration = Duration::from_secs(10);

/// Time between two publications of a lane's report.
const REPORT_PERIOD: Duration = Duration::from_millis(100);

/// Number of publications after which an unchanged report is refreshed.
const REFRESH_STEPS: u32 = 5;

/// Load that every host reports while the cost is measured.
#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    /// Number of endpoints that each host suspects.
    rows: u64,
    /// True if each publication has more evidence than the one before.
    is_changing: bool,
    /// True if requests wait at every host.
    is_short: bool,
}

/// One silent endpoint, the share of one host when 30 exit together, full messages, and a shortage.
const CASES: [Case; 6] = [
    Case::new("no rows", 0, false, false),
    Case::new("suspicions on every host, 1 row", 1, false, false),
    Case::new("suspicions on every host, 5 rows", 5, false, false),
    Case::new("suspicions on every host, 24 rows", 24, false, false),
    Case::new(
        "suspicions on every host, 24 changing rows",
        24,
        true,
        false,
    ),
    Case::new("shortage on every host", 0, false, true),
];

impl Case {
    const fn new(name: &'static str, rows: u64, is_changing: bool, is_short: bool) -> Self {
        Self {
            name,
            rows,
            is_changing,
            is_short,
        }
    }
}

/// Measures the cost of reports for the numbers of hosts in the arguments, or all costs.
fn main() {
    let counts: Vec<usize> = std::env::args()
        .skip(1)
        .filter_map(|count| count.parse().ok())
        .collect();
    if !counts.is_empty() {
        counts.into_iter().for_each(measure_reports);
        return;
    }
    [79, 108, 300].into_iter().for_each(measure_reports);
    println!(
        "hosts  bytes/s  messages/s  core %  KiB/host  death s  change s  lease s  churn bytes/s"
    );
    for count in ZONE_SIZES {
        measure_zone(count);
    }
}

fn measure_zone(count: usize) {
    let before = resident_bytes();
    let mut zone = new_zone(count, 1);
    let hosts = to_f64(count);
    zone.run_for(WARM_UP_TIME);
    let (traffic, cpu) = measure_cost(&mut zone, |zone| zone.run_for(QUIET_TIME));
    let host_kib = (resident_bytes() - before) / hosts / 1024.0;
    let change = measure_change(&mut zone);
    let start = zone.now;
    zone.network.sent_bytes = 0;
    let death = measure_removal(&mut zone);
    let lease = zone.run_until_condition(WAIT_LIMIT, |zone| {
        zone.all_nodes(|node| node.is_leased(zone.now))
    });
    let churn_bytes = zone.network.sent_bytes;
    let churn_seconds = zone.now.saturating_sub(start).as_secs_f64();
    println!(
        "{count:5}  {:7.0}  {:10.1}  {:6.3}  {:8.0}  {:7}  {:8}  {:7}  {:13.0}",
        to_f64(traffic.0) / hosts / QUIET_TIME.as_secs_f64(),
        to_f64(traffic.1) / hosts / QUIET_TIME.as_secs_f64(),
        cpu / hosts / QUIET_TIME.as_secs_f64() * 100.0,
        host_kib,
        format_seconds(death),
        format_seconds(change),
        format_seconds(lease),
        to_f64(churn_bytes) / hosts / churn_seconds,
    );
}

/// Prints the bytes a second that a host sends by kind, the largest number that one sends and
/// receives, and the processor time, for each of [`CASES`].
fn measure_reports(count: usize) {
    let mut zone = new_zone(count, AZ_COUNT);
    zone.run_for(WARM_UP_TIME);
    for case in CASES {
        // Extra rounds spend the bytes that they may take at once.
        run_case(&mut zone, count, case);
        zone.network.reset_counts();
        let start = processor_time();
        run_case(&mut zone, count, case);
        let cpu = processor_time() - start;
        let network = &zone.network;
        let rate = |bytes: u64| to_f64(bytes) / REPORT_TIME.as_secs_f64();
        let totals = network.host_bytes.values();
        let largest = totals.map(|(sent, received)| sent + received).max();
        let plain = network.sent_bytes - network.report_bytes - network.sum_bytes;
        let hosts = to_f64(count);
        println!(
            "{count} hosts, {}: sent {:.0} bytes/s (heartbeats {:.0}, reports {:.0}, sums {:.0}), \
             sent and received at most {:.0}, core {:.3}%",
            case.name,
            rate(network.sent_bytes) / hosts,
            rate(plain) / hosts,
            rate(network.report_bytes) / hosts,
            rate(network.sum_bytes) / hosts,
            rate(largest.unwrap_or_default()),
            cpu / hosts / REPORT_TIME.as_secs_f64() * 100.0,
        );
    }
}

fn run_case(zone: &mut Zone, count: usize, case: Case) {
    let steps = u32::try_from(REPORT_TIME.as_millis() / REPORT_PERIOD.as_millis()).expect("few");
    for step in 0..steps {
        for index in 0..count {
            if case.is_changing || step % REFRESH_STEPS == 0 {
                let taken_at = zone.now.saturating_sub(zone.nodes[&index].started_at);
                let report = report(taken_at, case, step);
                zone.deliver(index, Event::LaneReports(vec![Arc::new(report)]));
            }
        }
        zone.run_for(REPORT_PERIOD);
    }
}

fn report(taken_at: Duration, case: Case, step: u32) -> LaneReport {
    let opens = if case.is_changing { 1 + step % 7 } else { 1 };
    let row = |number| EndpointReport {
        endpoint: Id(u64::MAX - number),
        started_ms: 1_767_986_000_000,
        unanswered_opens: opens,
        stalled_flows: 1,
        silent_for: taken_at,
        heard_ago: Some(taken_at),
        ..EndpointReport::default()
    };
    let service = ServiceReport {
        service: Id(1),
        demand: 20.0 + f64::from(step),
        busy_slots: 2.0,
        waiting: 3,
    };
    LaneReport {
        taken_at,
        endpoints: (0..case.rows).map(row).collect(),
        services: case.is_short.then_some(service).into_iter().collect(),
        used_endpoints: 150,
        suspected_endpoints: u32::try_from(case.rows).expect("few"),
        ..LaneReport::default()
    }
}

/// Creates a zone with a platform whose host list contains all its hosts.
fn new_zone(count: usize, az_count: usize) -> Zone {
    let mut zone = Zone::new();
    zone.az_count = az_count;
    zone.seeds = (0..count)
        .map(|index| zone::host_info(index).peer_addr)
        .collect();
    (0..count).for_each(|index| zone.start(index));
    zone.network.count_traffic = true;
    zone.platform.up = true;
    zone.set_host_list(0..count);
    zone.set_value("fleet", Some("1"));
    zone
}

/// Returns the bytes, messages and seconds of processor time of a run.
fn measure_cost(zone: &mut Zone, run: impl Fn(&mut Zone)) -> ((usize, usize), f64) {
    zone.network.sent_bytes = 0;
    zone.network.sent_messages = 0;
    let wall_start = Instant::now();
    let start = processor_time();
    run(zone);
    let used = processor_time() - start;
    assert!(used <= wall_start.elapsed().as_secs_f64() + 0.1);
    let count = |count: u64| usize::try_from(count).expect("64-bit machine");
    (
        (
            count(zone.network.sent_bytes),
            count(zone.network.sent_messages),
        ),
        used,
    )
}

/// Returns the time until a change that only one host reads from the platform is in force on all.
fn measure_change(zone: &mut Zone) -> Option<Duration> {
    for node in zone.nodes.values_mut().skip(1) {
        node.reaches_platform = false;
    }
    zone.run_for(Duration::from_secs(35));
    zone.set_value("fleet", Some("2"));
    zone.run_until_condition(WAIT_LIMIT, |zone| {
        zone.all_nodes(|node| node.snapshot.revision == 2.into())
    })
}

/// Returns the time until all other hosts have removed a dead host from their published lists.
fn measure_removal(zone: &mut Zone) -> Option<Duration> {
    zone.kill(0);
    let survivors = host_names(zone.nodes.keys().copied());
    zone.run_until_condition(WAIT_LIMIT, |zone| {
        zone.all_nodes(|node| node.hosts() == survivors)
    })
}

fn format_seconds(time: Option<Duration>) -> String {
    time.map_or("never".to_owned(), |time| {
        format!("{:.2}", time.as_secs_f64())
    })
}

/// Returns the processor time used by this process in seconds.
fn processor_time() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").expect("Linux");
    let fields = stat.rsplit_once(')').expect("name").1;
    let ticks = fields.split_whitespace().skip(11).take(2);
    ticks
        .map(|ticks| ticks.parse::<f64>().expect("number"))
        .sum::<f64>()
        / CLOCK_TICKS
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").expect("Linux");
    let pages = statm.split_whitespace().nth(1).expect("pages");
    pages.parse::<f64>().expect("number") * PAGE_BYTES
}

fn to_f64(count: impl TryInto<u32>) -> f64 {
    f64::from(count.try_into().unwrap_or(u32::MAX))
}
