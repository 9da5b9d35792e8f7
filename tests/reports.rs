//! Exchange of reports between hosts: receivers, rounds, rows, bytes and order.

mod relaying;
mod zone;

use jacinthhinge::control::message::{Heartbeat, HostInfo, MemberUpdate, Status, Timestamp, Vote};
use jacinthhinge::control::{Counters, Event};
use jacinthhinge::prelude::*;
use jacinthhinge::report::{EndpointReport, HostReport, LaneReport, MAX_ROWS, ServiceReport};
use jacinthhinge::segment::RelayAction;
use jacinthhinge::wire::{self, MAX_HEARTBEAT_BYTES, PeerKey};
use relaying::{LaneHarness, data_segment, local_endpoints};
use zone::{TICK_INTERVAL, Zone, host_id, host_info};

const SECOND: Duration = Duration::from_secs(1);

/// Largest size of the gossiped updates in a heartbeat with a report, in bytes.
const MAX_UPDATE_BYTES: usize = 420;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns a zone whose hosts are spread over availability zones and know each other.
fn started_zone(count: usize, az_count: usize) -> Zone {
    start(Zone::new(), count, az_count)
}

/// Returns a zone in which the load of availability zones is sent as sums.
fn zone_with_sums(count: usize, az_count: usize) -> Zone {
    let mut zone = Zone::new();
    zone.summed_from = 0;
    start(zone, count, az_count)
}

fn start(mut zone: Zone, count: usize, az_count: usize) -> Zone {
    zone.az_count = az_count;
    zone.seeds = (0..count)
        .map(zone::host_info)
        .map(|info| info.peer_addr)
        .collect();
    (0..count).for_each(|index| zone.start(index));
    zone.run_for(15 * SECOND);
    zone
}

fn row(number: u64, opens: u32) -> EndpointReport {
    EndpointReport {
        endpoint: Id(number),
        started_ms: 7,
        unanswered_opens: opens,
        stalled_flows: 0,
        silent_for: ms(300),
        heard_ago: (opens == 0).then(|| ms(20)),
        ..EndpointReport::default()
    }
}

/// Returns a row of an endpoint with overdue requests and without evidence that it is down.
fn overdue_row(number: u64, answered: u32, overdue: u32) -> EndpointReport {
    EndpointReport {
        endpoint: Id(number),
        started_ms: 7,
        answered,
        overdue,
        ..EndpointReport::default()
    }
}

/// Publishes a report of a host's lane with these rows.
fn publish(zone: &mut Zone, index: usize, endpoints: Vec<EndpointReport>) {
    let taken_at = zone.now.saturating_sub(zone.nodes[&index].started_at);
    let suspected = endpoints.iter().filter(|row| row.evidence() > 0).count();
    let report = LaneReport {
        taken_at,
        endpoints,
        used_endpoints: 150,
        suspected_endpoints: u32::try_from(suspected).expect("few"),
        ..LaneReport::default()
    };
    zone.deliver(index, Event::LaneReports(vec![Arc::new(report)]));
}

fn report_at(zone: &Zone, index: usize, from: usize) -> Option<&HostReport> {
    let mut reports = zone.nodes[&index].reports.hosts.iter();
    reports.find(|report| report.host == host_id(from))
}

fn counters(zone: &Zone, index: usize) -> Counters {
    zone.nodes[&index].control.tables().counters
}

/// Failure: an endpoint stops. The own availability zone knows within a tick, before the next
/// regular round, and no other one is told.
#[test]
fn change_is_sent_to_the_own_availability_zone_at_once() {
    let mut zone = started_zone(9, 3);
    publish(&mut zone, 0, vec![row(1, 2)]);
    let made_at = zone.now;
    zone.run_for(TICK_INTERVAL + ms(5));
    for index in [3, 6] {
        let report = report_at(&zone, index, 0).expect("told");
        assert_eq!(report.report.endpoints[0].unanswered_opens, 2);
        let taken_at = report.taken_at + zone.nodes[&index].started_at;
        assert!(
            taken_at >= made_at && taken_at <= made_at + ms(5),
            "{taken_at:?}"
        );
    }
    zone.run_for(2 * SECOND);
    for index in [1, 2, 4, 5, 7, 8] {
        assert!(report_at(&zone, index, 0).is_none(), "host {index}");
    }
    assert_eq!(counters(&zone, 0).report_rounds, 1);
}

/// Publishes a report of a host's lane that has nothing but these silent zones.
fn publish_silence(zone: &mut Zone, index: usize, names: &[&str]) {
    let report = LaneReport {
        taken_at: zone.now.saturating_sub(zone.nodes[&index].started_at),
        silent_zones: names.iter().map(|name| Name::from(*name)).collect(),
        is_impaired: true,
        ..LaneReport::default()
    };
    zone.deliver(index, Event::LaneReports(vec![Arc::new(report)]));
}

/// Failure: the endpoints of a zone stop together, and all of its hosts are impaired. The hosts of
/// the own availability zone learn of the silence within a tick, and of its end, which comes with no
/// row either.
#[test]
fn silent_zone_and_its_end_are_sent_at_once() {
    let mut zone = started_zone(6, 2);
    for (names, rounds) in [(&["sv-a"][..], 1), (&[], 2), (&["sv-a"], 3)] {
        publish_silence(&mut zone, 0, names);
        zone.run_for(TICK_INTERVAL + ms(5));
        for index in [2, 4] {
            let report = &report_at(&zone, index, 0).expect("told").report;
            let told: Vec<&str> = report.silent_zones.iter().map(|name| &**name).collect();
            assert_eq!(told, names);
        }
        assert_eq!(counters(&zone, 0).report_rounds, rounds);
    }
    zone.run_for(2 * SECOND);
    assert!(
        [1, 3, 5]
            .iter()
            .all(|index| report_at(&zone, *index, 0).is_none())
    );
}

/// Failure: the message about a silent zone is lost. Regular heartbeats repeat it while the zone is
/// silent, and stop 2 s after its end.
#[test]
fn silent_zone_is_repeated_while_it_lasts() {
    let mut zone = started_zone(3, 1);
    let lost_until = zone.now + ms(400);
    zone.network.link_model = Box::new(move |now, _, _| {
        if now < lost_until {
            vec![]
        } else {
            vec![zone::LATENCY]
        }
    });
    for _ in 0..50 {
        publish_silence(&mut zone, 0, &["sv-a"]);
        zone.run_for(TICK_INTERVAL);
    }
    let report = &report_at(&zone, 1, 0).expect("repeated").report;
    assert_eq!(report.silent_zones, ["sv-a".into()]);
    publish_silence(&mut zone, 0, &[]);
    zone.run_for(3 * SECOND);
    let sent = counters(&zone, 0).reports_sent;
    zone.run_for(3 * SECOND);
    assert_eq!(counters(&zone, 0).reports_sent, sent);
}

/// Load: a zone flaps on each tick. The extra rounds stay within 4 in any second.
#[test]
fn flapping_silence_causes_few_rounds() {
    let mut zone = started_zone(4, 1);
    for step in 0..40 {
        publish_silence(&mut zone, 0, &["sv-a"][..step % 2]);
        zone.run_for(TICK_INTERVAL);
    }
    let rounds = counters(&zone, 0).report_rounds;
    assert!((4..=20).contains(&rounds), "{rounds} rounds in 4 s");
}

/// Failure: one of two lanes receives nothing from a zone while the other one does. The host reports
/// a zone as silent only if all lanes with flows there do, and other zones get none of it.
#[test]
fn zone_is_silent_if_it_is_for_all_lanes_with_flows_there() {
    let mut zone = started_zone(3, 2);
    let lane = |used: &[&str], silent: &[&str]| {
        let names = |zones: &[&str]| zones.iter().map(|name| Name::from(*name)).collect();
        Arc::new(LaneReport {
            silent_zones: names(silent),
            used_zones: names(used),
            services: vec![ServiceReport::default()],
            ..LaneReport::default()
        })
    };
    let cases = [
        (lane(&["a", "b"], &["a"]), lane(&["a"], &[]), 0),
        (lane(&["a", "b"], &["a"]), lane(&["b"], &[]), 1),
        (lane(&["a"], &["a"]), lane(&["a"], &["a"]), 1),
        (lane(&["a"], &[]), lane(&["a"], &[]), 0),
    ];
    for (first, second, expected) in cases {
        zone.deliver(0, Event::LaneReports(vec![first, second]));
        let own = &zone.nodes[&0].control.tables().reports.own;
        assert_eq!(own.silent_zones.len(), expected);
        zone.run_for(SECOND);
        assert!(
            report_at(&zone, 1, 0)
                .expect("told")
                .report
                .silent_zones
                .is_empty()
        );
    }
}

fn report_with_load(zone: &Zone) -> LaneReport {
    LaneReport {
        taken_at: zone.now.saturating_sub(zone.nodes[&0].started_at),
        endpoints: vec![row(1, 2)],
        services: vec![ServiceReport {
            service: Id(5),
            demand: 2.5,
            busy_slots: 3.0,
            waiting: 1,
        }],
        ..LaneReport::default()
    }
}

/// Load: hosts of all availability zones need each other's demand. In a large group other zones get
/// it as a sum.
#[test]
fn other_availability_zones_get_the_sum_only() {
    let mut zone = zone_with_sums(4, 2);
    let report = report_with_load(&zone);
    zone.deliver(0, Event::LaneReports(vec![Arc::new(report)]));
    zone.run_for(SECOND);
    assert_eq!(report_at(&zone, 1, 0), None);
    let sums = &zone.nodes[&1].reports.zones;
    assert_eq!(sums.len(), 1);
    assert_eq!(
        (sums[0].report.hosts, sums[0].report.services.len()),
        (1, 1)
    );
    let near = &report_at(&zone, 2, 0).expect("told").report;
    assert_eq!((near.endpoints.len(), near.services.len()), (1, 1));
}

/// Load: one zone is short of capacity. In a small group its hosts' demand reaches the other zones
/// within one heartbeat cycle; sums were so old that shares fell back to an even split.
#[test]
fn small_group_sends_load_to_all_hosts() {
    let mut zone = started_zone(4, 2);
    let report = report_with_load(&zone);
    zone.deliver(0, Event::LaneReports(vec![Arc::new(report)]));
    zone.run_for(ms(600));
    let far = &report_at(&zone, 1, 0).expect("told").report;
    assert_eq!((far.endpoints.len(), far.services.len()), (0, 1));
    let near = &report_at(&zone, 2, 0).expect("told").report;
    assert_eq!((near.endpoints.len(), near.services.len()), (1, 1));
    assert!(zone.nodes[&1].reports.zones.is_empty());
}

/// Load: reports change all the time. There are at most 4 extra rounds in any second, each to at
/// most 36 hosts, and every host gets its turn.
#[test]
fn flapping_endpoints_cause_few_rounds() {
    let mut zone = started_zone(60, 1);
    let mut rounds = Vec::new();
    for step in 0..40 {
        publish(&mut zone, 0, vec![row(1, 1 + step % 7), row(2, 0)]);
        let before = counters(&zone, 0);
        zone.run_for(TICK_INTERVAL);
        let after = counters(&zone, 0);
        if after.report_rounds > before.report_rounds {
            rounds.push(zone.now);
        }
    }
    assert_eq!(rounds.len() as u64, counters(&zone, 0).report_rounds);
    assert!(rounds.len() >= 4, "{rounds:?}");
    for at in &rounds {
        let later = rounds
            .iter()
            .filter(|time| *time >= at && **time < *at + SECOND);
        assert!(later.count() <= 4, "{rounds:?}");
    }
    assert!((1..60).all(|index| report_at(&zone, index, 0).is_some()));
}

/// Load: one round reaches 36 hosts, and the next one the others.
#[test]
fn round_has_a_maximum_number_of_receivers() {
    let mut zone = started_zone(60, 1);
    publish(&mut zone, 0, vec![row(1, 1)]);
    zone.run_for(TICK_INTERVAL + ms(5));
    let told = |zone: &Zone| {
        (1..60)
            .filter(|index| report_at(zone, *index, 0).is_some())
            .count()
    };
    assert!(told(&zone) >= 36);
    zone.run_for(TICK_INTERVAL);
    assert_eq!(told(&zone), 59);
    assert_eq!(counters(&zone, 0).report_rounds, 2);
}

/// Load: 150 endpoints are suspected. A message has those with the most evidence, some
/// contradictions and the total, and the rest is counted.
#[test]
fn message_has_the_rows_with_the_most_evidence() {
    let mut zone = started_zone(2, 1);
    let mut rows: Vec<EndpointReport> = (1..=150)
        .map(|number| row(number, 1 + u32::from(number > 140)))
        .collect();
    rows.extend((151..160).map(|number| row(number, 0)));
    publish(&mut zone, 0, rows);
    zone.run_for(TICK_INTERVAL + ms(5));
    let report = &report_at(&zone, 1, 0).expect("told").report;
    assert_eq!(report.endpoints.len(), MAX_ROWS);
    assert_eq!(report.suspected_endpoints, 150);
    let strong = report.endpoints.iter().filter(|row| row.evidence() == 2);
    assert_eq!(strong.count(), 10);
    let cleared = report.endpoints.iter().filter(|row| row.evidence() == 0);
    assert_eq!(cleared.count(), 4);
    assert_eq!(counters(&zone, 0).dropped_rows, 159 - 24);
}

/// Failure: the message about the end of a suspicion is lost. Heartbeats repeat it for 2 s, and
/// carry no report after that.
#[test]
fn end_of_a_report_is_repeated() {
    let mut zone = started_zone(2, 1);
    publish(&mut zone, 0, vec![row(1, 1)]);
    zone.run_for(SECOND);
    let lost_until = zone.now + ms(700);
    zone.network.link_model = Box::new(move |now, _, _| {
        if now < lost_until {
            vec![]
        } else {
            vec![zone::LATENCY]
        }
    });
    publish(&mut zone, 0, vec![]);
    zone.run_for(ms(500));
    assert_eq!(
        report_at(&zone, 1, 0).expect("old").report.endpoints.len(),
        1
    );
    zone.run_for(SECOND);
    assert!(
        report_at(&zone, 1, 0)
            .expect("new")
            .report
            .endpoints
            .is_empty()
    );
    zone.run_for(SECOND);
    let sent = counters(&zone, 0).reports_sent;
    zone.run_for(3 * SECOND);
    assert_eq!(counters(&zone, 0).reports_sent, sent);
}

/// Load: evidence expires without an answer. Nobody waits for that, so it takes no extra round;
/// more evidence and an answer do.
#[test]
fn end_of_evidence_takes_no_extra_round() {
    let mut zone = started_zone(3, 1);
    let mut rounds = Vec::new();
    for rows in [
        vec![row(1, 2), row(2, 1)],
        vec![row(1, 1)],
        vec![row(1, 2)],
        vec![row(1, 0)],
        vec![],
    ] {
        publish(&mut zone, 0, rows);
        zone.run_for(SECOND);
        rounds.push(counters(&zone, 0).report_rounds);
    }
    assert_eq!(rounds, [1, 1, 2, 3, 3]);
}

/// Load: reports of many hosts change all the time. Guards against a new snapshot for each change,
/// of which each lane compared services and hosts.
#[test]
fn changed_reports_are_published_without_a_snapshot() {
    let mut zone = started_zone(9, 3);
    let count = |zone: &Zone| {
        let counters = counters(zone, 0);
        (counters.snapshots_published, counters.reports_published)
    };
    let before = count(&zone);
    zone.run_for(5 * SECOND);
    let quiet = count(&zone);
    assert_eq!(quiet.1, before.1, "nothing is published without reports");
    for step in 0..50 {
        for index in 1..9 {
            publish(&mut zone, index, vec![row(1, 1 + step % 7)]);
        }
        zone.run_for(TICK_INTERVAL);
    }
    let busy = count(&zone);
    assert!(busy.1 > quiet.1 + 10, "{busy:?}");
    assert!(busy.0 - quiet.0 <= quiet.0 - before.0 + 1, "only the lease");
}

/// A zone without suspicions sends no report.
#[test]
fn quiet_zone_sends_no_report() {
    let mut zone = started_zone(6, 2);
    for _ in 0..20 {
        publish(&mut zone, 0, vec![]);
        zone.run_for(TICK_INTERVAL);
    }
    assert!((0..6).all(|index| counters(&zone, index).reports_sent == 0));
}

fn heartbeat_of(zone: &Zone, from: usize, sent_at: u64, opens: u32) -> Heartbeat {
    let report = LaneReport {
        endpoints: vec![row(1, opens)],
        ..LaneReport::default()
    };
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
        sent_at: Timestamp(sent_at),
        echo: None,
        ping: false,
        vote: Vote::default(),
        updates: smallvec::smallvec![],
        report: Some(Arc::new(report)),
        report_age: ms(30),
        zone_report: None,
        zone_report_age: Duration::ZERO,
    }
}

/// Failure: heartbeats arrive twice, late, or from an earlier incarnation. The newest one counts.
#[test]
fn newest_report_of_the_present_incarnation_counts() {
    let mut zone = started_zone(2, 1);
    let newest = u64::MAX / 2;
    let before = counters(&zone, 0).reports_received;
    for (sent_at, opens) in [(newest, 3), (newest, 3), (newest - 1, 1)] {
        let heartbeat = heartbeat_of(&zone, 1, sent_at, opens);
        zone.deliver(0, Event::Heartbeat(Box::new(heartbeat)));
    }
    let mut earlier = heartbeat_of(&zone, 1, newest + 1, 9);
    earlier.incarnation -= 1;
    zone.deliver(0, Event::Heartbeat(Box::new(earlier)));
    zone.run_for(TICK_INTERVAL);
    let report = report_at(&zone, 0, 1).expect("stored");
    assert_eq!(report.report.endpoints[0].unanswered_opens, 3);
    assert_eq!(counters(&zone, 0).reports_received, before + 1);
    zone.kill(1);
    zone.run_for(10 * SECOND);
    assert!(report_at(&zone, 0, 1).is_none(), "its host is dead");
}

/// Several lanes of a host observe the same endpoint. Their evidence is added, and an answer to
/// one of them that is newer than the evidence of another remains visible.
#[test]
fn reports_of_several_lanes_are_added() {
    let mut zone = started_zone(2, 1);
    let now = zone.now.saturating_sub(zone.nodes[&0].started_at);
    let lane = |taken_at: Duration, row: EndpointReport| {
        Arc::new(LaneReport {
            taken_at,
            endpoints: vec![row],
            ..LaneReport::default()
        })
    };
    let lanes = vec![
        lane(now.saturating_sub(ms(200)), row(1, 2)),
        lane(now, row(1, 0)),
        lane(now, row(1, 1)),
    ];
    zone.deliver(0, Event::LaneReports(lanes));
    let own = &zone.nodes[&0].control.tables().reports.own;
    let expected = EndpointReport {
        unanswered_opens: 3,
        silent_for: ms(500),
        heard_ago: Some(ms(20)),
        ..row(1, 3)
    };
    assert_eq!(own.endpoints, [expected]);
}

/// Load: some lanes of a host have overdue requests at an endpoint. Lanes without any report none, so
/// the answered requests of all are extrapolated.
#[test]
fn answered_requests_of_several_lanes_are_extrapolated() {
    let mut zone = started_zone(2, 1);
    let lane = |rows: &[EndpointReport]| {
        Arc::new(LaneReport {
            taken_at: zone.now,
            endpoints: rows.to_vec(),
            ..LaneReport::default()
        })
    };
    let lanes = vec![
        lane(&[overdue_row(1, 6, 1)]),
        lane(&[]),
        lane(&[overdue_row(1, 4, 2)]),
    ];
    zone.deliver(0, Event::LaneReports(lanes));
    let own = &zone.nodes[&0].control.tables().reports.own;
    assert_eq!(own.endpoints, [overdue_row(1, 15, 3)]);
}

/// Load: an endpoint answers only a part of its requests. Extra heartbeats are sent when its row is
/// new and when it becomes an outlier; regular ones carry the other changes of its numbers.
#[test]
fn overdue_requests_cause_few_extra_rounds() {
    let mut zone = started_zone(2, 1);
    let rounds = counters(&zone, 0).report_rounds;
    for step in 0..20 {
        publish(&mut zone, 0, vec![overdue_row(1, 30 - step, 1 + step / 10)]);
        zone.run_for(TICK_INTERVAL);
    }
    assert_eq!(counters(&zone, 0).report_rounds, rounds + 1);
    publish(&mut zone, 0, vec![overdue_row(1, 8, 5)]);
    zone.run_for(TICK_INTERVAL + ms(5));
    assert_eq!(counters(&zone, 0).report_rounds, rounds + 2);
    let told = report_at(&zone, 1, 0).expect("told");
    assert_eq!(told.report.endpoints, [overdue_row(1, 8, 5)]);
    for step in 0..20 {
        publish(
            &mut zone,
            0,
            vec![overdue_row(1, 8 - step / 4, 5 + step / 3)],
        );
        zone.run_for(TICK_INTERVAL);
    }
    assert_eq!(counters(&zone, 0).report_rounds, rounds + 2);
    let told = report_at(&zone, 1, 0).expect("told");
    assert!(
        told.report.endpoints[0].overdue > 5,
        "in regular heartbeats"
    );
}

/// Load: more requests than a byte can count. Their shares stay about the same on the way.
#[test]
fn large_numbers_of_requests_keep_their_share() {
    let key = PeerKey::new("secret");
    for (answered, overdue) in [(3_000, 30), (30, 3_000), (256, 64), (1_000_000, 1)] {
        let mut heartbeat = largest_heartbeat();
        heartbeat.report = Some(Arc::new(LaneReport {
            endpoints: vec![overdue_row(1, answered, overdue)],
            ..LaneReport::default()
        }));
        let bytes = wire::encode_heartbeat(&heartbeat, &key);
        let decoded = wire::decode_heartbeat(&bytes, &key).expect("heartbeat");
        let row = decoded.report.expect("report").endpoints[0];
        let share = |answered: u32, overdue: u32| {
            f64::from(overdue) / (f64::from(overdue) + f64::from(answered))
        };
        let change = share(row.answered, row.overdue) - share(answered, overdue);
        assert!(row.overdue > 0 && change.abs() < 0.01, "{row:?}");
    }
}

/// Returns a heartbeat with all its parts at their largest, as the control thread sends it.
fn largest_heartbeat() -> Heartbeat {
    let endpoint = |number: u64| EndpointReport {
        endpoint: Id(u64::MAX - number),
        started_ms: u64::MAX,
        unanswered_opens: u32::MAX,
        stalled_flows: u32::MAX,
        silent_for: Duration::from_secs(1 << 40),
        heard_ago: Some(Duration::from_secs(1 << 40)),
        answered: u32::MAX,
        overdue: u32::MAX,
    };
    let service = |number: u64| ServiceReport {
        service: Id(u64::MAX - number),
        demand: 1e9,
        busy_slots: 1e9,
        waiting: u32::MAX,
    };
    let update = |info: Option<HostInfo>| MemberUpdate {
        id: info
            .as_ref()
            .map_or(Id(u64::MAX), |info| Id::of(&info.name)),
        incarnation: u64::MAX,
        version: u32::MAX,
        status: Status::Dead,
        leaving: true,
        info,
    };
    let mut info = host_info(0);
    let long_addr = SocketAddr::from(([0xffff; 8], u16::MAX));
    info.lanes = std::iter::repeat_n(long_addr, 2).collect();
    info.peer_addr = long_addr;
    info.name = "n".repeat(80).into();
    let update_bytes = 64 + info.name.len() + info.zone.len() + 2 * 20;
    let gossip_count = MAX_UPDATE_BYTES / update_bytes;
    let mut updates = smallvec::smallvec![update(None), update(None)];
    updates.extend((0..gossip_count).map(|_| update(Some(info.clone()))));
    Heartbeat {
        from: Id(u64::MAX),
        incarnation: u64::MAX,
        version: u32::MAX,
        leaving: true,
        read_failures: u32::MAX,
        read_age: Some(Duration::from_secs(10)),
        info: None,
        revision: Revision::new(u64::MAX, u64::MAX),
        list_revision: Revision::new(u64::MAX, u64::MAX),
        sent_at: Timestamp(u64::MAX),
        echo: Some(Timestamp(u64::MAX)),
        ping: true,
        vote: Vote {
            views: smallvec::smallvec![u64::MAX; jacinthhinge::control::lease::MAX_VIEWS],
            is_valid: true,
            agreed_digest: u64::MAX,
        },
        updates,
        report: Some(Arc::new(LaneReport {
            taken_at: SECOND,
            endpoints: (0..30).map(endpoint).collect(),
            services: (0..10).map(service).collect(),
            used_endpoints: u32::MAX,
            suspected_endpoints: u32::MAX,
            is_impaired: true,
            silent_zones: (0..4).map(|_| "z".repeat(24).into()).collect(),
            used_zones: vec![],
        })),
        report_age: Duration::from_secs(1 << 40),
        zone_report: None,
        zone_report_age: Duration::ZERO,
    }
}

/// A datagram of a heartbeat must not be fragmented, and receivers refuse a longer one.
#[test]
fn largest_heartbeat_stays_below_the_limit() {
    let key = PeerKey::new("secret");
    let bytes = wire::encode_heartbeat(&largest_heartbeat(), &key);
    assert!(bytes.len() <= MAX_HEARTBEAT_BYTES, "{} bytes", bytes.len());
    let decoded = wire::decode_heartbeat(&bytes, &key).expect("heartbeat");
    let report = decoded.report.expect("report");
    assert_eq!(report.endpoints.len(), MAX_ROWS);
    assert_eq!(report.endpoints[0].unanswered_opens, 15);
    assert_eq!(report.silent_zones.len(), 2);
}

/// Lanes of the hosts of a zone, which publish to their control threads and get their snapshots.
struct LaneZone {
    zone: Zone,
    lanes: Vec<LaneHarness>,
}

impl LaneZone {
    fn new(count: usize) -> Self {
        let zone = started_zone(count, 1);
        let lanes = (0..count).map(|index| {
            let mut lane = LaneHarness::new(&local_endpoints(8));
            lane.now = zone.now;
            lane.tables.home.host = host_id(index);
            lane
        });
        let lanes = lanes.collect();
        Self { zone, lanes }
    }

    /// Runs for a tick, during which endpoint 2 answers every lane. Returns the resets.
    fn run_tick(&mut self, acks: &mut u32) -> Vec<RelayAction> {
        let mut resets = Vec::new();
        for _ in 0..10 {
            *acks += 1;
            for lane in &mut self.lanes {
                lane.receive(data_segment(60_000, 2, 101, 0, *acks));
            }
        }
        self.zone.run_for(relaying::TICK_INTERVAL);
        for (index, lane) in self.lanes.iter_mut().enumerate() {
            let published = &self.zone.nodes[&index].snapshot;
            let mut snapshot = (*lane.tables.snapshot).clone();
            snapshot.hosts = published.hosts.clone();
            lane.publish(&Arc::new(snapshot));
            lane.publish_reports(self.zone.nodes[&index].reports.hosts.clone());
            let actions = lane.advance(relaying::TICK_INTERVAL);
            let is_reset = |action: &RelayAction| matches!(action, RelayAction::Reset { .. });
            resets.extend(actions.into_iter().filter(is_reset));
            let report = Arc::clone(&lane.tables.report);
            self.zone.deliver(index, Event::LaneReports(vec![report]));
        }
        resets
    }

    fn is_down(&self, lane: usize) -> bool {
        let row = self.lanes[lane].tables.endpoints.get(Id::of("i-01"));
        row.expect("listed").down.is_some()
    }
}

/// Load: an endpoint exits. From the lanes' observations by their control threads to the lanes of
/// a host without evidence, it takes at most 400 ms from the second retransmission to the
/// reset; and less than 400 ms from an answer until the endpoint is up everywhere.
#[test]
fn evidence_and_answer_reach_the_lanes_of_other_hosts() {
    let mut hosts = LaneZone::new(5);
    let mut acks = 1;
    for lane in &mut hosts.lanes {
        for ack in [400, 500] {
            lane.receive(data_segment(1, 1, 0, 0, ack));
        }
    }
    (0..8).for_each(|_| drop(hosts.run_tick(&mut acks)));
    for tick in 0..=12 {
        if [0, 4, 12].contains(&tick) {
            for lane in &mut hosts.lanes[..3] {
                lane.send_request(1, 1);
            }
        }
        assert_eq!(hosts.run_tick(&mut acks), []);
    }
    hosts.lanes[3].send_request(1, 1);
    let mut resets = Vec::new();
    let mut reset_after = None;
    for tick in 1..=12 {
        if tick == 5 && resets.len() < 4 {
            // Its caller's first retransmission, 200 ms later.
            hosts.lanes[3].send_request(1, 1);
        }
        resets.extend(hosts.run_tick(&mut acks));
        if resets.len() == 4 && reset_after.is_none() {
            reset_after = Some(relaying::TICK_INTERVAL * tick);
        }
    }
    assert!(
        reset_after.is_some_and(|time| time <= ms(400)),
        "{reset_after:?} {resets:?}"
    );
    assert!((0..5).all(|lane| hosts.is_down(lane)));
    for ack in [5, 6] {
        hosts.lanes[4].receive(data_segment(77, 1, 101, 0, ack));
    }
    (0..8).for_each(|_| drop(hosts.run_tick(&mut acks)));
    assert!((0..5).all(|lane| !hosts.is_down(lane)));
}

/// Load: all hosts of the largest deployments report flapping endpoints with full messages for
/// 10 s.
#[test]
fn flood_of_reports_is_bounded() {
    let mut zone = started_zone(78, 3);
    zone.network.count_traffic = true;
    zone.network.sent_bytes = 0;
    for step in 0..100 {
        for index in 0..78 {
            let opens = 1 + (step + u32::try_from(index).expect("small")) % 7;
            let rows = (1..=30).map(|number| row(number, opens));
            publish(&mut zone, index, rows.collect());
        }
        zone.run_for(TICK_INTERVAL);
    }
    let per_host = zone.network.sent_bytes / 78 / 10;
    assert!(
        per_host <= 20_000,
        "{per_host} bytes a second sent by each host"
    );
}
