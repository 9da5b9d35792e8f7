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
use jacinthhinge::report::{EndpointReport, LaneReport};
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

/// Rows of a host in the measured failures: one silent endpoint, the share of one host when 30
/// exit together, and a full message.
const ROW_COUNTS: [u64; 3] = [1, 5, 24];

/// Number of availability zones over which the hosts are spread when reports are measured.
const AZ_COUNT: usize = 3;

/// Time over which the cost of reports is measured.
const REPORT_TIME: Duration = Duration::from_secs(10);

/// Time between two publications of a lane's report.
const REPORT_PERIOD: Duration = Duration::from_millis(100);

/// Number of publications after which an unchanged report is refreshed.
const REFRESH_STEPS: u32 = 5;

fn main() {
    for count in [23, 79] {
        measure_reports(count);
    }
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

/// Prints the bytes a second that a host sends without reports, with reports that persist and
/// with reports that change all the time.
fn measure_reports(count: usize) {
    let mut zone = new_zone(count, AZ_COUNT);
    zone.run_for(WARM_UP_TIME);
    let quiet = measure_report_bytes(&mut zone, count, 0, false);
    println!("reports, {count} hosts, no rows: {quiet:.0} bytes/s");
    for rows in ROW_COUNTS {
        for changing in [false, true] {
            let bytes = measure_report_bytes(&mut zone, count, rows, changing);
            let kind = if changing { "changing" } else { "persistent" };
            println!("reports, {count} hosts, {rows} {kind} rows each: {bytes:.0} bytes/s");
            measure_report_bytes(&mut zone, count, 0, false);
        }
    }
}

/// Returns the bytes a second that a host sends while each host reports `rows` endpoints.
fn measure_report_bytes(zone: &mut Zone, count: usize, rows: u64, changing: bool) -> f64 {
    zone.network.sent_bytes = 0;
    let steps = u32::try_from(REPORT_TIME.as_millis() / REPORT_PERIOD.as_millis()).expect("few");
    for step in 0..steps {
        for index in 0..count {
            if changing || step % REFRESH_STEPS == 0 {
                let taken_at = zone.now.saturating_sub(zone.nodes[&index].started_at);
                let report = report(taken_at, rows, changing, step);
                zone.deliver(index, Event::LaneReports(vec![Arc::new(report)]));
            }
        }
        zone.run_for(REPORT_PERIOD);
    }
    to_f64(zone.network.sent_bytes) / to_f64(count) / REPORT_TIME.as_secs_f64()
}

fn report(taken_at: Duration, rows: u64, changing: bool, step: u32) -> LaneReport {
    let opens = if changing { 1 + step % 7 } else { 1 };
    let row = |number| EndpointReport {
        endpoint: Id(u64::MAX - number),
        started_ms: 1_767_986_000_000,
        unanswered_opens: opens,
        stalled_flows: 1,
        silent_for: taken_at,
        heard_ago: Some(taken_at),
        ..EndpointReport::default()
    };
    LaneReport {
        taken_at,
        endpoints: (0..rows).map(row).collect(),
        used_endpoints: 150,
        suspected_endpoints: u32::try_from(rows).expect("few"),
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
