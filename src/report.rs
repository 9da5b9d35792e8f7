//! Reports in which a host tells others what its lanes observe.
//!
//! Times in a report are ages at the moment it was made, so that hosts need no common clock.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;

use crate::control::message::Timestamp;
use crate::id::{Id, Incarnation, Name};

/// Maximum number of endpoint rows in a message between hosts; with it, a heartbeat stays below
/// its maximum size.
pub const MAX_ROWS: usize = 24;

/// Minimum number of suspected endpoints for which a host may itself be at fault; fewer can fail
/// together by chance.
const MIN_WRONG_ENDPOINTS: u32 = 3;

/// A host that suspects this fraction (one third) of the endpoints that it uses is more likely to
/// be at fault than they are.
const WRONG_SHARE_DIVISOR: u32 = 3;

/// Minimum time for which observations of endpoints count: three heartbeats in a small fleet.
pub const MIN_REPORT_AGE: Duration = Duration::from_millis(1_500);

/// Maximum time for which observations of endpoints count, however many hosts there are: older
/// ones say little about the present.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(6);

/// Minimum time for which the load of services counts.
pub const MIN_SERVICE_AGE: Duration = Duration::from_secs(3);

/// Observations of one lane, or of all lanes of a host.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LaneReport {
    /// When it was made; zero in a report of another host, whose clock differs.
    #[serde(rename = "taken")]
    pub taken_at: Duration,
    /// Endpoints that are suspected, or for which a suspicion was contradicted.
    pub endpoints: Vec<EndpointReport>,
    /// Load of each service.
    pub services: Vec<ServiceReport>,
    /// Number of endpoints that the lanes use.
    pub used_endpoints: u32,
    /// Number of endpoints that the lanes suspect, also if `endpoints` has fewer.
    pub suspected_endpoints: u32,
    /// True if this host's own link or processor is the likely cause of what it observes.
    pub is_impaired: bool,
    /// Zones whose endpoints owe answers and send none.
    #[serde(rename = "silent")]
    pub silent_zones: Vec<Name>,
    /// Zones where the lane has flows, in order, if its host has several lanes; other hosts are not
    /// told.
    #[serde(rename = "zones")]
    pub used_zones: Vec<Name>,
}

/// Observations of an endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct EndpointReport {
    /// Id of the endpoint.
    pub endpoint: Id,
    /// Wall-clock time of its start, in milliseconds, which tells its incarnations apart. A
    /// report of another host has only the lower 32 bits.
    pub started_ms: u64,
    /// Number of openings that it has not answered before their first copy was sent.
    pub unanswered_opens: u32,
    /// Number of flows with two retransmissions or more that it has not answered.
    pub stalled_flows: u32,
    /// Time since the oldest of this evidence was sent.
    pub silent_for: Duration,
    /// Time since it last answered any flow, if it has done so.
    pub heard_ago: Option<Duration>,
    /// Requests that it has answered in time in the last 2 s, if any was overdue.
    pub answered: u32,
    /// Requests that were overdue in that time.
    pub overdue: u32,
}

/// Load of a service at one host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ServiceReport {
    /// Id of the service.
    pub service: Id,
    /// New requests a second, as a moving average.
    pub demand: f64,
    /// Slots that its requests keep busy.
    #[serde(rename = "busy")]
    pub busy_slots: f64,
    /// Requests that wait for room.
    pub waiting: u32,
}

/// Newest report of another host.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct HostReport {
    /// Id of the host.
    pub host: Id,
    /// Incarnation of the host.
    pub incarnation: Incarnation,
    /// Availability zone of the host.
    pub zone: Name,
    /// When the host sent it, by the host's own clock.
    pub sent_at: Timestamp,
    /// When it was made, by the clock of this host; the ages in the report refer to it.
    pub taken_at: Duration,
    /// What the host reports.
    pub report: Arc<LaneReport>,
}

/// Sum of the load that the hosts of an availability zone report, for the other zones.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ZoneReport {
    /// Availability zone.
    pub zone: Name,
    /// Number of hosts in the sum.
    pub hosts: u32,
    /// Number of these hosts with waiting requests.
    #[serde(rename = "short")]
    pub short_hosts: u32,
    /// Sum of the load of each service.
    pub services: Vec<ServiceReport>,
}

/// Newest sum of another zone from one of its hosts.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ReceivedZoneReport {
    /// When its sender sent it, by the sender's own clock.
    pub sent_at: Timestamp,
    /// Mean time of the load in it, by the clock of this host.
    pub taken_at: Duration,
    /// What was reported.
    pub report: Arc<ZoneReport>,
}

/// Ages up to which reports count; longer in a fleet whose heartbeats take longer to reach all
/// hosts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportAges {
    /// Observations of endpoints.
    pub endpoints: Duration,
    /// Load of the services at a host.
    pub services: Duration,
    /// Sums of other zones.
    pub zones: Duration,
}

impl Default for ReportAges {
    fn default() -> Self {
        Self {
            endpoints: MIN_REPORT_AGE,
            services: MIN_SERVICE_AGE,
            zones: MIN_SERVICE_AGE,
        }
    }
}

/// Load of a service at one host, or at all hosts of a zone together.
#[derive(Clone, Copy, Debug)]
pub struct ServiceLoad<'a> {
    /// Availability zone.
    pub zone: &'a Name,
    /// Number of hosts.
    pub hosts: u32,
    /// Number of these hosts with waiting requests.
    pub short_hosts: u32,
    /// Sum of the load.
    pub row: &'a ServiceReport,
    /// When it was reported, by the clock of this host.
    pub taken_at: Duration,
}

/// Newest reports of the other live hosts, which the control thread publishes to the lanes beside
/// the snapshot: they change often, and nothing else depends on them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerReports {
    /// Reports by host.
    pub hosts: Vec<HostReport>,
    /// Newest sum of each other zone.
    pub zones: Vec<ReceivedZoneReport>,
    /// Ages up to which they count.
    pub ages: ReportAges,
    /// True if one of them has the load of a service.
    has_services: bool,
}

impl PeerReports {
    /// Creates the set of these reports of hosts.
    #[must_use]
    pub fn new(hosts: Vec<HostReport>) -> Self {
        Self::with_zones(hosts, Vec::new(), ReportAges::default())
    }

    /// Creates the set of these reports of hosts and zones.
    #[must_use]
    pub fn with_zones(
        hosts: Vec<HostReport>,
        zones: Vec<ReceivedZoneReport>,
        ages: ReportAges,
    ) -> Self {
        let has_services =
            !zones.is_empty() || hosts.iter().any(|host| !host.report.services.is_empty());
        Self {
            hosts,
            zones,
            ages,
            has_services,
        }
    }

    /// Returns true if no host reports the load of a service.
    #[must_use]
    pub fn lacks_services(&self) -> bool {
        !self.has_services
    }

    /// Iterates over the current load of a service. The rows of a zone's hosts count only while
    /// there is no sum of the zone, which contains them.
    pub fn loads(&self, service: Id, now: Duration) -> impl Iterator<Item = ServiceLoad<'_>> {
        let zones = self.current_zones(now).filter_map(move |sum| {
            let mut rows = sum.report.services.iter();
            let row = rows.find(|row| row.service == service)?;
            Some(ServiceLoad {
                zone: &sum.report.zone,
                hosts: sum.report.hosts,
                short_hosts: if is_short(row) {
                    sum.report.short_hosts
                } else {
                    0
                },
                row,
                taken_at: sum.taken_at,
            })
        });
        let hosts = self.hosts.iter().filter(|_| self.has_services);
        let hosts = hosts.filter_map(move |host| {
            let mut rows = host.report.services.iter();
            let row = rows.find(|row| row.service == service)?;
            let is_summed = || {
                let mut zones = self.current_zones(now);
                zones.any(|sum| sum.report.zone == host.zone)
            };
            let counts = now < host.taken_at + self.ages.services && !is_summed();
            counts.then(|| ServiceLoad {
                zone: &host.zone,
                hosts: 1,
                short_hosts: u32::from(is_short(row)),
                row,
                taken_at: host.taken_at,
            })
        });
        zones.chain(hosts)
    }

    /// Iterates over the sums that are not too old.
    fn current_zones(&self, now: Duration) -> impl Iterator<Item = &ReceivedZoneReport> {
        let zones = self.zones.iter();
        zones.filter(move |sum| now < sum.taken_at + self.ages.zones)
    }
}

/// Returns true if requests of a service wait.
pub(crate) fn is_short(row: &ServiceReport) -> bool {
    row.waiting > 0
}

/// Adds the load of a service to a sum.
pub(crate) fn add_service(services: &mut Vec<ServiceReport>, service: &ServiceReport) {
    match services
        .iter_mut()
        .find(|sum| sum.service == service.service)
    {
        Some(sum) => {
            sum.demand += service.demand;
            sum.busy_slots += service.busy_slots;
            sum.waiting = sum.waiting.saturating_add(service.waiting);
        }
        None => services.push(*service),
    }
}

impl LaneReport {
    /// Returns true if the observations of both reports are the same, apart from the passing of
    /// time.
    #[must_use]
    pub fn has_same_content(&self, other: &Self) -> bool {
        self.services == other.services
            && self.used_zones == other.used_zones
            && self.has_same_endpoints(other)
    }

    /// Returns true if the observations of endpoints are the same, apart from the passing of time.
    #[must_use]
    pub fn has_same_endpoints(&self, other: &Self) -> bool {
        let times = |report: &Self| {
            let rows = report.endpoints.iter();
            rows.map(|row| row.at(report.taken_at)).collect::<Vec<_>>()
        };
        self.is_impaired == other.is_impaired
            && self.suspected_endpoints == other.suspected_endpoints
            && self.silent_zones == other.silent_zones
            && times(self) == times(other)
    }

    /// Returns true if it has nothing to tell other hosts.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty() && self.services.is_empty() && self.silent_zones.is_empty()
    }

    /// Returns true if it has evidence, answers or an outlier that `known` lacks, or other silent
    /// zones. Others need these at once, and the end of evidence without an answer, or other numbers
    /// of overdue requests, with the next heartbeat.
    #[must_use]
    pub fn adds_to(&self, known: &Self) -> bool {
        let is_known = |row: &EndpointReport| {
            let (_, _, heard_at) = row.at(self.taken_at);
            known.endpoints.iter().any(|other| {
                let (_, _, other_heard) = other.at(known.taken_at);
                row.endpoint == other.endpoint
                    && row.started_ms == other.started_ms
                    && row.unanswered_opens <= other.unanswered_opens
                    && row.stalled_flows <= other.stalled_flows
                    && heard_at <= other_heard
                    && (row.overdue == 0 || other.overdue > 0)
                    && (!row.is_outlier() || other.is_outlier())
            })
        };
        (self.is_impaired && !known.is_impaired)
            || self.silent_zones != known.silent_zones
            || !self.endpoints.iter().all(is_known)
    }

    /// Returns true if its host suspects so many of the endpoints that it uses that it is more
    /// likely to be at fault itself.
    #[must_use]
    pub fn suspects_too_many(&self) -> bool {
        self.suspected_endpoints >= MIN_WRONG_ENDPOINTS
            && self.suspected_endpoints.saturating_mul(WRONG_SHARE_DIVISOR) >= self.used_endpoints
    }
}

impl EndpointReport {
    /// Part of an endpoint's requests that are overdue (a fifth) from which on it is an outlier.
    pub const OUTLIER_SHARE: f64 = 0.2;

    /// Returns true if the row has evidence that the endpoint does not answer, or contradicts some.
    #[must_use]
    pub fn tells_health(&self) -> bool {
        self.evidence() > 0 || self.heard_ago.is_some()
    }

    /// Returns true if so large a part of the requests of this row is overdue that the endpoint is
    /// an outlier for its host.
    #[must_use]
    pub fn is_outlier(&self) -> bool {
        let overdue = f64::from(self.overdue);
        let total = overdue + f64::from(self.answered);
        self.overdue > 0 && overdue >= Self::OUTLIER_SHARE * total
    }

    /// Returns the number of pieces of evidence against the endpoint.
    #[must_use]
    pub fn evidence(&self) -> u32 {
        self.unanswered_opens.saturating_add(self.stalled_flows)
    }

    /// Returns the row with the times of its oldest evidence and of the last answer in place of
    /// their ages at `taken_at`.
    fn at(&self, taken_at: Duration) -> (Self, Duration, Option<Duration>) {
        let identity = Self {
            silent_for: Duration::ZERO,
            heard_ago: None,
            ..*self
        };
        let silent_since = match self.evidence() {
            0 => Duration::ZERO,
            _ => taken_at.saturating_sub(self.silent_for),
        };
        let heard_at = self.heard_ago.map(|age| taken_at.saturating_sub(age));
        (identity, silent_since, heard_at)
    }
}
