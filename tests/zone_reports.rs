//! Sums of the load of a zone for the other zones, and the time for which reports count, in control
//! threads that are connected by an in-memory network.

mod zone;

use jacinthhinge::control::Event;
use jacinthhinge::control::message::{Heartbeat, Timestamp, Vote};
use jacinthhinge::prelude::*;
use jacinthhinge::report::{
    LaneReport, PeerReports, ReceivedZoneReport, ReportAges, ServiceReport, ZoneReport,
};
use jacinthhinge::systems::capacity_share::target_factor;
use zone::{LATENCY, TICK_INTERVAL, Zone, host_id, host_info};

const SECOND: Duration = Duration::from_secs(1);

/// Time for which the sum of a zone counts in a small fleet.
const SUM_AGE: Duration = Duration::from_secs(3);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn service() -> Id {
    Id::of("adserve")
}

fn load(demand: f64, waiting: u32) -> ServiceReport {
    ServiceReport {
        service: service(),
        demand,
        busy_slots: demand / 10.0,
        waiting,
    }
}

/// Returns hosts that know each other, the host `i` in the zone `place-(i % 3)`.
fn started_zone(count: usize) -> Zone {
    let mut zone = Zone::new();
    zone.summed_from = 0;
    zone.az_count = 3;
    zone.seeds = (0..count).map(|index| host_info(index).peer_addr).collect();
    (0..count).for_each(|index| zone.start(index));
    zone.run_for(15 * SECOND);
    zone
}

/// Runs while every live host of `place-0` reports a demand of 10 and every second one a waiting
/// request.
fn run_short(zone: &mut Zone, time: Duration) {
    let end = zone.now + time;
    while zone.now < end {
        let indices: Vec<usize> = zone
            .nodes
            .keys()
            .copied()
            .filter(|at| at % 3 == 0)
            .collect();
        for index in indices {
            let report = LaneReport {
                taken_at: zone.now.saturating_sub(zone.nodes[&index].started_at),
                services: vec![load(10.0, u32::from(index % 2 == 0))],
                ..LaneReport::default()
            };
            zone.deliver(index, Event::LaneReports(vec![Arc::new(report)]));
        }
        zone.run_for(TICK_INTERVAL);
    }
}

/// Returns the sum of `place-0` that a host uses, with its age.
fn sum_at(zone: &Zone, index: usize) -> Option<(ZoneReport, Duration)> {
    let node = &zone.nodes[&index];
    let now = zone.now.saturating_sub(node.started_at);
    let zones = node.reports.zones.iter();
    let mut zones = zones.filter(|sum| &*sum.report.zone == "place-0");
    let sum = zones.next()?;
    assert!(zones.next().is_none(), "one sum for each zone");
    let age = now.saturating_sub(sum.taken_at);
    (age < node.reports.ages.zones).then(|| ((*sum.report).clone(), age))
}

/// Returns the hosts that have sent a sum.
fn senders(zone: &Zone) -> Vec<usize> {
    let sent = |index: &usize| {
        let counters = zone.nodes[index].control.tables().counters;
        counters.zone_reports_sent > 0
    };
    zone.nodes.keys().copied().filter(sent).collect()
}

/// Load: all hosts of a zone are short. Guards against rows of each of them for each host of the
/// other zones, whose bytes grow with the square of the number of hosts.
#[test]
fn two_hosts_send_the_sum_and_rows_stay_in_the_zone() {
    let mut zone = started_zone(15);
    run_short(&mut zone, 5 * SECOND);
    for index in [1, 2, 4, 14] {
        let (sum, age) = sum_at(&zone, index).expect("current");
        assert_eq!((sum.hosts, sum.short_hosts), (5, 3));
        assert!((sum.services[0].demand - 50.0).abs() < 0.01);
        assert_eq!(sum.services[0].waiting, 3);
        assert!(age < 2 * SECOND, "{age:?}");
        assert!(zone.nodes[&index].reports.hosts.is_empty(), "no rows");
    }
    assert_eq!(zone.nodes[&3].reports.hosts.len(), 4, "rows in the zone");
    assert!(zone.nodes[&3].reports.zones.is_empty());
    let senders = senders(&zone);
    assert_eq!(senders.len(), 2, "{senders:?}");
    assert!(senders.iter().all(|index| index % 3 == 0));
}

/// Load: none. A fleet without suspicions and without a shortage sends no byte for reports.
#[test]
fn quiet_fleet_sends_no_sum() {
    let mut zone = started_zone(15);
    zone.network.count_traffic = true;
    for _ in 0..50 {
        for index in 0..15 {
            let report = Arc::new(LaneReport::default());
            zone.deliver(index, Event::LaneReports(vec![report]));
        }
        zone.run_for(TICK_INTERVAL);
    }
    assert_eq!(zone.network.report_bytes + zone.network.sum_bytes, 0);
    assert!(senders(&zone).is_empty());
}

/// Failure: a host that sends the zone's sum dies. The other one's sum counts meanwhile, and a
/// third host takes over.
#[test]
fn sum_remains_current_when_a_sender_dies() {
    let mut zone = started_zone(15);
    run_short(&mut zone, 5 * SECOND);
    let first = senders(&zone);
    zone.kill(first[0]);
    for _ in 0..80 {
        run_short(&mut zone, TICK_INTERVAL);
        for index in [1, 2, 13] {
            let (sum, _) = sum_at(&zone, index).expect("current at all times");
            assert!((4..=5).contains(&sum.hosts));
        }
    }
    assert_eq!(sum_at(&zone, 1).expect("current").0.hosts, 4);
    assert_eq!(senders(&zone).len(), 2, "the survivor and its successor");
}

/// Failure: the zone is cut off, so that its sum is lost. After 3 s the zone counts as one without
/// reports, and demand is split evenly.
#[test]
fn lost_sum_counts_for_three_seconds() {
    let mut zone = started_zone(9);
    run_short(&mut zone, 5 * SECOND);
    let cut_at = zone.now;
    zone.network.link_model = Box::new(move |_, from, to| {
        if from % 3 == 0 && to % 3 != 0 {
            vec![]
        } else {
            vec![LATENCY]
        }
    });
    run_short(&mut zone, SECOND);
    assert!(sum_at(&zone, 1).is_some());
    run_short(&mut zone, SUM_AGE);
    assert_eq!(sum_at(&zone, 1), None);
    assert!(zone.now < cut_at + 5 * SECOND);
    let node = &zone.nodes[&1];
    let now = zone.now.saturating_sub(node.started_at);
    assert_eq!(node.reports.loads(service(), now).count(), 0);
    assert!((target_factor(30.0, &[], 9) - 1.0).abs() < f64::EPSILON);
}

fn heartbeat(zone: &Zone, from: usize, sent_at: u64) -> Heartbeat {
    Heartbeat {
        from: host_id(from),
        incarnation: zone.nodes[&from].incarnation,
        version: 0,
        leaving: false,
        read_failures: 0,
        read_age: None,
        info: None,
        revision: Revision::default(),
        list_revision: Revision::default(),
        sent_at: Timestamp(u64::MAX / 2 + sent_at),
        echo: None,
        ping: false,
        vote: Vote::default(),
        updates: smallvec::smallvec![],
        report: None,
        report_age: Duration::ZERO,
        zone_report: None,
        zone_report_age: Duration::ZERO,
    }
}

fn zone_report(zone: &str, hosts: u32) -> Arc<ZoneReport> {
    Arc::new(ZoneReport {
        zone: zone.into(),
        hosts,
        short_hosts: 1,
        services: vec![load(10.0 * f64::from(hosts), 1)],
    })
}

/// Failure: hosts disagree about which host sends the sum, and messages arrive late or twice. The
/// newest of three sums counts, and sums are never added together. A host cannot send the sum of a
/// zone that it is not in.
#[test]
fn newest_of_several_sums_counts() {
    let mut zone = started_zone(12);
    let sums = [
        (3, 1, 900, "place-0", 4),
        (6, 1, 200, "place-0", 3),
        (0, 1, 500, "place-0", 2),
        (6, 0, 0, "place-0", 9),
        (2, 1, 0, "place-0", 8),
    ];
    for (from, sent_at, age, name, hosts) in sums {
        let mut heartbeat = heartbeat(&zone, from, sent_at);
        heartbeat.zone_report = Some(zone_report(name, hosts));
        heartbeat.zone_report_age = ms(age);
        zone.deliver(1, Event::Heartbeat(Box::new(heartbeat)));
    }
    zone.run_for(2 * TICK_INTERVAL);
    let (sum, age) = sum_at(&zone, 1).expect("current");
    assert_eq!(sum.hosts, 3);
    assert!(age >= ms(200) && age <= ms(500), "{age:?}");
    let node = &zone.nodes[&1];
    let now = zone.now.saturating_sub(node.started_at);
    let hosts = node.reports.loads(service(), now).map(|load| load.hosts);
    assert_eq!(hosts.sum::<u32>(), 3);
}

/// Failure: a host of the other zone runs an older release and sends its rows to all hosts. They
/// count while no sum of its zone is current, and the sum contains them.
#[test]
fn rows_of_an_older_release_count_without_a_sum_and_in_the_sum() {
    let mut zone = started_zone(9);
    let rows = LaneReport {
        services: vec![load(7.0, 2)],
        ..LaneReport::default()
    };
    for to in [0, 1, 6] {
        let mut old = heartbeat(&zone, 3, 1);
        old.report = Some(Arc::new(rows.clone()));
        zone.deliver(to, Event::Heartbeat(Box::new(old)));
    }
    zone.run_for(TICK_INTERVAL);
    let node = &zone.nodes[&1];
    let loads = |now: Duration| -> Vec<(u32, u32)> {
        let loads = node.reports.loads(service(), now);
        loads.map(|load| (load.hosts, load.row.waiting)).collect()
    };
    assert_eq!(loads(zone.now.saturating_sub(node.started_at)), [(1, 2)]);
    zone.run_for(2 * SECOND);
    let (sum, _) = sum_at(&zone, 1).expect("sent by a host of the present release");
    assert_eq!((sum.hosts, sum.services[0].waiting), (1, 2));
}

/// While a sum is current, the rows of its zone do not count beside it; when it is too old, they
/// do again.
#[test]
fn rows_and_sum_of_a_zone_are_not_added() {
    let host = |zone: &str| jacinthhinge::report::HostReport {
        host: Id::of(zone),
        incarnation: 1,
        zone: zone.into(),
        sent_at: Timestamp(1),
        taken_at: 12 * SECOND,
        report: Arc::new(LaneReport {
            services: vec![load(5.0, 0)],
            ..LaneReport::default()
        }),
    };
    let sum = ReceivedZoneReport {
        sent_at: Timestamp(1),
        taken_at: 10 * SECOND,
        report: zone_report("b", 20),
    };
    let hosts = vec![host("a"), host("b")];
    let reports = PeerReports::with_zones(hosts, vec![sum], ReportAges::default());
    let hosts_at = |now: Duration| {
        let loads = reports.loads(service(), now);
        loads.map(|load| load.hosts).collect::<Vec<_>>()
    };
    assert_eq!(hosts_at(12 * SECOND), [20, 1]);
    assert_eq!(hosts_at(13 * SECOND), [1, 1]);
    assert_eq!(hosts_at(16 * SECOND), [0_u32; 0]);
}

/// Load: fleets of several sizes. Guards against reports that expire before their next regular
/// repetition, as at 1.5 s in a fleet of more than 73 hosts.
#[test]
fn reports_count_for_three_repetitions() {
    for (count, expected) in [(6, ms(1_500)), (48, ms(3_600)), (79, ms(5_400))] {
        let mut zone = started_zone(count);
        run_short(&mut zone, SECOND);
        let ages = zone.nodes[&1].reports.ages;
        assert_eq!(ages.endpoints, expected, "{count} hosts");
        assert_eq!(ages.services, expected.max(SUM_AGE));
    }
}
