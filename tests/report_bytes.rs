//! Bytes that a host sends for heartbeats and reports in fleets of several sizes, over its control
//! tables without a network.
//!
//! The other hosts of a fleet are heartbeats that arrive as often as theirs would. All hosts send
//! alike, so a host receives as many bytes as it sends.

mod zone;

use jacinthhinge::control::Event;
use jacinthhinge::control::message::{Heartbeat, HostInfo, Timestamp, Vote};
use jacinthhinge::prelude::*;
use jacinthhinge::report::{EndpointReport, LaneReport};
use zone::{TICK_INTERVAL, Zone, host_id, host_info};

/// Bytes a second that a host may send and receive in all, less what the host list, watches and
/// changes take (docs/CAPACITY.md).
const MAX_BYTES_PER_SECOND: u64 = 14_000 - 724;

/// Time after which extra rounds have spent the bytes that they may take at once.
const BURST_TIME: Duration = Duration::from_secs(20);

/// Time over which the bytes are counted.
const COUNT_TIME: Duration = Duration::from_secs(10);

/// Incarnation of the other hosts.
const INCARNATION: Incarnation = 7;

/// Number of availability zones.
const AZ_COUNT: usize = 3;

/// One host of a fleet of `count`.
struct Fleet {
    zone: Zone,
    count: usize,
    step: u64,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let mut zone = Zone::new();
        zone.az_count = AZ_COUNT;
        zone.start(0);
        zone.network.count_traffic = true;
        // Heartbeats tell of revisions, of the last answer of the store and of the voters.
        zone.platform.up = true;
        zone.set_host_list(0..count);
        zone.set_value("fleet", Some("1"));
        let mut fleet = Self {
            zone,
            count,
            step: 0,
        };
        fleet.run(Duration::from_secs(20), 0, false);
        // The news of all these starts take a while to spread in a large fleet.
        while fleet.has_news() {
            fleet.run(Duration::from_secs(5), 0, false);
        }
        fleet
    }

    fn has_news(&self) -> bool {
        let mut members = self.zone.nodes[&0].control.tables().members.values();
        members.any(|member| member.gossip_left > 0)
    }

    /// Runs while every host suspects `rows` endpoints, with more evidence every 100 ms if
    /// `changing`.
    fn run(&mut self, time: Duration, rows: u64, changing: bool) {
        // Regular heartbeats of a small fleet, and more frequent than those of a large one.
        let steps = if self.count <= 37 { 5 } else { 15 };
        let end = self.zone.now + time;
        while self.zone.now < end {
            self.step += 1;
            let turn = usize::try_from(self.step).expect("few") % steps;
            for from in (1..self.count).filter(|from| from % steps == turn) {
                let heartbeat = self.heartbeat(from, rows);
                self.zone.deliver(0, Event::Heartbeat(Box::new(heartbeat)));
            }
            let report = self.report(rows, changing);
            self.zone
                .deliver(0, Event::LaneReports(vec![Arc::new(report)]));
            self.zone.run_for(TICK_INTERVAL);
        }
    }

    fn report(&self, rows: u64, changing: bool) -> LaneReport {
        let taken_at = self.zone.now;
        let opens = u32::try_from(self.step % 7).expect("few");
        let row = |number| EndpointReport {
            endpoint: Id(u64::MAX - number),
            started_ms: 1_767_986_000_000,
            unanswered_opens: if changing { 1 + opens } else { 1 },
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

    fn heartbeat(&self, from: usize, rows: u64) -> Heartbeat {
        let now = self.zone.now;
        Heartbeat {
            from: host_id(from),
            incarnation: INCARNATION,
            version: 0,
            leaving: false,
            read_failures: 0,
            read_age: None,
            info: Some(HostInfo {
                availability_zone: format!("place-{}", from % AZ_COUNT).into(),
                ..host_info(from)
            }),
            revision: Revision::default(),
            list_revision: Revision::default(),
            sent_at: Timestamp::new(INCARNATION, now),
            echo: Some(Timestamp::new(self.zone.nodes[&0].incarnation, now)),
            ping: false,
            vote: Vote::default(),
            updates: smallvec::smallvec![],
            report: (from.is_multiple_of(AZ_COUNT) && rows > 0)
                .then(|| Arc::new(self.report(rows, false))),
            report_age: Duration::ZERO,
            zone_report: None,
            zone_report_age: Duration::ZERO,
        }
    }

    fn reports_sent(&self) -> u64 {
        self.zone.nodes[&0].control.tables().counters.reports_sent
    }

    /// Returns the bytes that the host sends in a second, and the number of reports that it sends
    /// while they are counted.
    fn count(&mut self, rows: u64, changing: bool) -> (u64, u64) {
        self.run(BURST_TIME, rows, changing);
        let reports_before = self.reports_sent();
        self.zone.network.reset_counts();
        self.run(COUNT_TIME, rows, changing);
        let bytes = self.zone.network.sent_bytes / COUNT_TIME.as_secs();
        (bytes, self.reports_sent() - reports_before)
    }
}

/// Load: every host suspects endpoints. Guards against reports that take more than a host's
/// control traffic may take: 15.8 KB/s were sent at 79 hosts, and as many received.
#[test]
fn bytes_with_suspicions_are_bounded() {
    for count in [4, 23, 79, 108, 300, 650] {
        let mut fleet = Fleet::new(count);
        let live = fleet.zone.nodes[&0].snapshot.hosts.len();
        assert_eq!(live, count, "all hosts are alive");
        let quiet = 2 * fleet.count(0, false).0;
        println!("{count} hosts, no rows: {quiet} bytes/s");
        for (rows, changing) in [(24, true), (24, false), (5, true), (5, false), (1, false)] {
            let (bytes, reports) = fleet.count(rows, changing);
            let bytes = 2 * bytes;
            println!(
                "{count} hosts, {rows} rows, changing {changing}: {bytes} bytes/s, {reports} reports"
            );
            assert!(
                bytes <= MAX_BYTES_PER_SECOND,
                "{count} hosts, {rows} rows, changing {changing}: {bytes} bytes/s"
            );
            assert!(reports > 0, "reports are repeated all the time");
        }
    }
}

/// Load: every host suspects 24 endpoints. Guards against members that never get their turn
/// because reports may take few bytes.
#[test]
fn every_member_of_the_zone_gets_the_report() {
    let mut fleet = Fleet::new(79);
    let start = fleet.zone.now;
    fleet.run(Duration::from_mins(1), 24, false);
    let tables = fleet.zone.nodes[&0].control.tables();
    let zone_members = tables.live_members();
    let mut zone_members =
        zone_members.filter(|member| &*member.info.availability_zone == "place-0");
    assert!(zone_members.all(|member| {
        member
            .last_report
            .is_some_and(|at| at > start + Duration::from_secs(25))
    }));
}
