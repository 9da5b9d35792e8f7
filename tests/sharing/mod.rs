//! Harness for the tests of shared endpoint health: the lanes of several hosts of one zone, and a
//! network that delivers their reports.
#![allow(dead_code, missing_docs)]

use jacinthhinge::control::message::Timestamp;
use jacinthhinge::prelude::*;
use jacinthhinge::report::{EndpointReport, HostReport, LaneReport};
use jacinthhinge::segment::RelayAction;

use super::relaying::{LaneHarness, TICK_INTERVAL, addr, data_segment, ms};

/// Time after which an unchanged report is sent again, as in regular heartbeats.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Number of answers that a lane sees in [`Zone::keep_answering`]: more than the retransmissions
/// of any test, as at a host whose own link works.
const ANSWERS_PER_STEP: u32 = 20;

/// Returns the delays of the copies of a report that arrive. The arguments are the time, the
/// sender and the receiver.
pub type Link = Box<dyn FnMut(Duration, usize, usize) -> Vec<Duration>>;

/// Lanes of the hosts `sv-a-0`, `sv-a-1` and so on of the availability zone `a`.
pub struct Zone {
    pub lanes: Vec<LaneHarness>,
    pub hosts: Vec<Host>,
    pub link: Link,
    /// True if other reports than those with something urgent wait for a repetition, as between
    /// control threads.
    pub sends_urgent_only: bool,
    in_flight: Vec<(Duration, usize, HostReport)>,
    last_sent: Vec<(Duration, Arc<LaneReport>)>,
    sent_count: u64,
    pub ack_count: u32,
}

pub fn host(index: usize, zone: &str) -> Host {
    let name = format!("sv-{zone}-{index}");
    Host {
        id: Id::of(&name),
        name: name.into(),
        incarnation: 1,
        availability_zone: zone.into(),
        lanes: std::iter::once(addr("10.0.0.1:7000")).collect(),
        leaving: false,
    }
}

/// Returns a row about an endpoint whose oldest evidence is `silent_ms` old.
pub fn row(number: u8, opens: u32, stalled: u32, silent_ms: u64) -> EndpointReport {
    EndpointReport {
        endpoint: Id::of(&format!("i-{number:02x}")),
        started_ms: u64::from(number),
        unanswered_opens: opens,
        stalled_flows: stalled,
        silent_for: ms(silent_ms),
        ..EndpointReport::default()
    }
}

/// Returns a report of a host about these endpoints, made at `now`.
pub fn report_of(host: &Host, rows: &[EndpointReport], now: Duration) -> HostReport {
    let suspected = rows.iter().filter(|row| row.evidence() > 0).count();
    HostReport {
        host: host.id,
        incarnation: host.incarnation,
        zone: host.availability_zone.clone(),
        sent_at: Timestamp(1),
        taken_at: now,
        report: Arc::new(LaneReport {
            endpoints: rows.to_vec(),
            used_endpoints: 150,
            suspected_endpoints: u32::try_from(suspected).expect("few"),
            ..LaneReport::default()
        }),
    }
}

impl Zone {
    pub fn new(count: usize, endpoints: &[Endpoint]) -> Self {
        let hosts: Vec<Host> = (0..count).map(|index| host(index, "a")).collect();
        let mut zone = Self {
            lanes: Vec::new(),
            last_sent: vec![(Duration::ZERO, Arc::default()); count],
            hosts,
            link: Box::new(|_, _, _| vec![ms(1)]),
            sends_urgent_only: false,
            in_flight: Vec::new(),
            sent_count: 0,
            ack_count: 1,
        };
        for index in 0..count {
            let mut lane = LaneHarness::new(endpoints);
            lane.tables.home.host = zone.hosts[index].id;
            zone.lanes.push(lane);
        }
        zone.publish_hosts();
        zone.advance(ms(100));
        zone
    }

    pub fn now(&self) -> Duration {
        self.lanes[0].now
    }

    /// Gives all lanes the list of hosts.
    pub fn publish_hosts(&mut self) {
        for lane in &mut self.lanes {
            let mut snapshot = (*lane.tables.snapshot).clone();
            snapshot.hosts = self.hosts.clone().into();
            lane.publish(&Arc::new(snapshot));
        }
    }

    /// Gives a lane a report in place of an earlier one of the same host.
    pub fn tell(&mut self, to: usize, report: HostReport) {
        let lane = &mut self.lanes[to];
        let mut reports = lane.tables.peer_reports.hosts.clone();
        reports.retain(|known| known.host != report.host);
        reports.push(report);
        lane.publish_reports(reports);
    }

    /// Advances the clock in ticks and delivers reports; returns the actions of each lane.
    pub fn advance(&mut self, time: Duration) -> Vec<Vec<RelayAction>> {
        let mut actions = vec![Vec::new(); self.lanes.len()];
        let deadline = self.now() + time;
        while self.now() < deadline {
            let step = TICK_INTERVAL.min(deadline.saturating_sub(self.now()));
            for (lane, actions) in self.lanes.iter_mut().zip(&mut actions) {
                actions.extend(lane.advance(step));
            }
            (0..self.lanes.len()).for_each(|from| self.send_report(from));
            self.deliver();
        }
        actions
    }

    fn send_report(&mut self, from: usize) {
        let now = self.now();
        let report = Arc::clone(&self.lanes[from].tables.report);
        let (sent_at, sent) = &self.last_sent[from];
        let is_due = now >= *sent_at + REPEAT_INTERVAL && !report.taken_at.is_zero();
        let is_changed = if self.sends_urgent_only {
            report.adds_to(sent)
        } else {
            !Arc::ptr_eq(sent, &report)
        };
        if !is_changed && !is_due {
            return;
        }
        self.last_sent[from] = (now, Arc::clone(&report));
        self.sent_count += 1;
        for to in (0..self.lanes.len()).filter(|to| *to != from) {
            for delay in (self.link)(now, from, to) {
                let received = HostReport {
                    sent_at: Timestamp(self.sent_count),
                    taken_at: report.taken_at + delay,
                    report: Arc::clone(&report),
                    ..report_of(&self.hosts[from], &[], now)
                };
                self.in_flight.push((now + delay, to, received));
            }
        }
    }

    /// Delivers the reports that have arrived, unless a newer one of their host is known.
    fn deliver(&mut self) {
        let now = self.now();
        let (due, later) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|(at, _, _)| *at <= now + ms(1));
        self.in_flight = later;
        for (_, to, report) in due {
            let known = self.lanes[to].tables.peer_reports.hosts.iter();
            let mut same = known.filter(|known| known.host == report.host);
            if same.all(|known| known.sent_at < report.sent_at) {
                self.tell(to, report);
            }
        }
    }

    /// Opens a flow at an endpoint, which answers it.
    pub fn open_at(&mut self, lane: usize, port: u16, number: u64) {
        for ack in [400, 500] {
            self.lanes[lane].receive(data_segment(port, number, 0, 0, ack));
        }
    }

    /// Sends a request, or the same request again.
    pub fn request(&mut self, lane: usize, port: u16, number: u64) -> Vec<RelayAction> {
        self.lanes[lane].send_request(port, number)
    }

    /// Acknowledges an answer on a flow; `ack` must be higher than before.
    pub fn answer(&mut self, lane: usize, port: u16, number: u64, ack: u32) {
        self.lanes[lane].receive(data_segment(port, number, 101, 0, ack));
    }

    /// Sends requests on flows, as lane, port and endpoint, that are retransmitted after 200 ms
    /// and 600 ms, while endpoint `other` answers each lane once in every 100 ms. Returns the
    /// actions of each lane.
    pub fn stall(&mut self, flows: &[(usize, u16, u64)], other: u64) -> Vec<Vec<RelayAction>> {
        let mut actions = vec![Vec::new(); self.lanes.len()];
        for step in 0..=6 {
            if [0, 2, 6].contains(&step) {
                for (lane, port, number) in flows {
                    actions[*lane].extend(self.request(*lane, *port, *number));
                }
            }
            self.keep_answering(other);
            for (all, new) in actions.iter_mut().zip(self.advance(ms(100))) {
                all.extend(new);
            }
        }
        actions
    }

    /// Has an endpoint answer every lane several times, so that the lanes are not impaired.
    pub fn keep_answering(&mut self, number: u64) {
        for lane in 0..self.lanes.len() {
            for _ in 0..ANSWERS_PER_STEP {
                self.ack_count += 1;
                self.answer(lane, 60_000, number, self.ack_count);
            }
        }
    }

    pub fn row(&self, lane: usize, number: u64) -> &jacinthhinge::tables::EndpointRow {
        let mut rows = self.lanes[lane].tables.endpoints.iter();
        rows.find(|row| row.spec.relay_number == number)
            .expect("listed")
    }

    pub fn is_down(&self, lane: usize, number: u64) -> bool {
        self.row(lane, number).down.is_some()
    }

    pub fn is_suspected(&self, lane: usize, number: u64) -> bool {
        self.row(lane, number).suspicion.is_some()
    }
}
