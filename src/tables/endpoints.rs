//! Endpoints and a lane's own observations of them.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Serialize, Serializer};
use smallvec::SmallVec;

use super::rank_load::RankLoad;
use crate::id::{Id, Name};
use crate::packet::Load;
use crate::segment::FlowAddrs;
use crate::snapshot::{Endpoint, Service, Snapshot};
use crate::ticket::Target;

/// Weight of the latest event in the moving averages of [`EndpointRow`].
const EVENT_WEIGHT: f64 = 0.05;

/// Weight of the latest answer in an endpoint's average answer time: a lane sees only a few
/// answers per second from each endpoint, and a slowdown has to show soon.
const ANSWER_WEIGHT: f64 = 0.1;

/// Time constant with which recent slot time and answers of an endpoint decay.
pub const DECAY_TIME: Duration = Duration::from_secs(1);

/// Time for which an address that moved to another service gets no traffic.
const ADDRESS_QUARANTINE: Duration = Duration::from_secs(10);

/// An endpoint, as configured and as observed by this lane.
#[derive(Clone, Debug, Serialize)]
pub struct EndpointRow {
    /// Its configuration.
    pub spec: Endpoint,
    /// Its service.
    pub service: Id,
    /// Load that it last reported; the incarnation is zero before the first report.
    pub load: Load,
    /// Time at which this lane last received something from it.
    #[serde(rename = "heard")]
    pub last_heard: Duration,
    /// Time of the last probe that asked for its load.
    #[serde(rename = "probed")]
    pub last_probe: Duration,
    /// Flows of this lane on it.
    #[serde(rename = "flows")]
    pub flow_count: u32,
    /// Flows that this lane opened on it since its last load report.
    #[serde(rename = "fresh")]
    pub unreported_flows: u32,
    /// Requests of this lane that it is running.
    #[serde(rename = "running")]
    pub own_requests: u32,
    /// Those of relayed flows, by rank.
    #[serde(rename = "ranks", skip_serializing_if = "RankLoad::is_empty")]
    pub rank_load: RankLoad,
    /// Requests of other lanes that it was running at its last load report.
    #[serde(rename = "others")]
    pub other_requests: u32,
    /// Time of the first packet that it has not answered yet.
    #[serde(rename = "asked")]
    pub unanswered_since: Option<Duration>,
    /// Time until which it gets no requests because of a refusal.
    #[serde(rename = "paused")]
    pub paused_until: Duration,
    /// Slot time in seconds of the requests that this lane sent it, decaying over
    /// one second.
    #[serde(rename = "recent")]
    pub slot_seconds: f64,
    /// Time for which `slot_seconds` was last computed.
    #[serde(rename = "faded")]
    pub last_decay: Duration,
    /// Estimate of the requests of this lane that it accepts at once.
    pub window: f64,
    /// Requests of this lane that it has acknowledged and not finished.
    #[serde(rename = "acked")]
    pub acked_requests: u32,
    /// Share of recent load reports that left out acknowledged requests, 0 to 1.
    #[serde(rename = "doubt")]
    pub underreport_rate: f64,
    /// Share of recent requests that it refused although it had free slots, 0 to 1.
    #[serde(rename = "shed")]
    pub refusal_rate: f64,
    /// Time of its last failure or refusal.
    #[serde(rename = "refused")]
    pub last_failure: Option<Duration>,
    /// Number of consecutive failures and refusals.
    #[serde(rename = "failures")]
    pub failure_streak: u32,
    /// Time at which it was first listed, or restarted.
    #[serde(rename = "since")]
    pub up_since: Duration,
    /// Time at which it began to drain.
    #[serde(rename = "leaving")]
    pub draining_since: Option<Duration>,
    /// Time until which it gets no traffic.
    #[serde(rename = "barred")]
    pub blocked_until: Duration,
    /// True while an endpoint that started later is listed with the same address.
    pub replaced: bool,
    /// True while its zone is evacuated: it keeps its open flows and gets no new ones.
    pub evacuated: bool,
    /// Moving average of its time to answer a request, in seconds.
    #[serde(rename = "answer")]
    pub answer_time: f64,
    /// Decaying count of its answers, as of `last_heard`.
    #[serde(rename = "answers")]
    pub recent_answers: f64,
    /// Flows with data that it has not answered since `last_heard`.
    #[serde(rename = "stalls")]
    pub stalled_flows: Vec<StalledFlow>,
    /// Set while it is considered down.
    pub down: Option<DownState>,
    /// Set while this host or another one has evidence that it does not answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub suspicion: Option<Suspicion>,
    /// End of its ejection, while it gets no new flows because it answers only a part of its
    /// requests.
    #[serde(rename = "ejected", skip_serializing_if = "Option::is_none")]
    pub ejected_until: Option<Duration>,
    /// Latest time for which an answer shows that it was running: an acknowledgement that comes
    /// with new data only shows that it has run since the data before that was sent.
    #[serde(rename = "alive")]
    pub last_alive: Duration,
    /// Time at which data of a flow last went unanswered.
    #[serde(rename = "doubted")]
    pub last_suspected: Duration,
    /// Time of the last opening segment sent to test whether it answers again.
    #[serde(rename = "tried")]
    pub last_trial: Duration,
}

/// Details of an endpoint that is considered down.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct DownState {
    /// Time at which it was declared down.
    pub since: Duration,
    /// True if the endpoints of its zone stopped answering together.
    #[serde(rename = "zone")]
    pub whole_zone: bool,
    /// True if the evidence suffices to reset open flows; otherwise new flows are steered away.
    pub confirmed: bool,
    /// True if reports of other hosts were part of the evidence.
    #[serde(rename = "reported")]
    pub from_reports: bool,
}

/// Evidence of this host and of others that an endpoint does not answer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Suspicion {
    /// Time at which it began.
    pub since: Duration,
    /// Time at which it ends unless it is reported again.
    pub until: Duration,
    /// Names of hosts with evidence, at most [`Suspicion::MAX_NAMES`].
    pub observers: SmallVec<[Name; Suspicion::MAX_NAMES]>,
    /// Number of other hosts with evidence.
    #[serde(rename = "others")]
    pub other_hosts: u32,
    /// Pieces of evidence of all hosts.
    pub evidence: u32,
    /// Time at which the oldest of this evidence was sent.
    #[serde(rename = "silent")]
    pub silent_since: Duration,
}

impl Suspicion {
    /// Maximum number of names in a log line.
    pub const MAX_NAMES: usize = 4;
}

/// A flow whose data is not answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct StalledFlow {
    /// Addresses of the flow.
    #[serde(rename = "ends")]
    pub addrs: FlowAddrs,
    /// Retransmissions of its data.
    #[serde(rename = "repeats")]
    pub retransmissions: u32,
    /// Time at which the data was first sent.
    #[serde(rename = "since")]
    pub first_sent: Duration,
    /// Time of the last retransmission.
    #[serde(rename = "latest")]
    pub last_retransmission: Duration,
}

impl EndpointRow {
    /// True if it may take new flows and requests.
    #[must_use]
    pub fn accepts_work(&self, now: Duration) -> bool {
        !self.evacuated && self.is_usable(now)
    }

    /// True if it may take new flows and requests unless its zone is evacuated.
    #[must_use]
    pub fn is_usable(&self, now: Duration) -> bool {
        self.draining_since.is_none() && !self.replaced && now >= self.blocked_until
    }

    /// Updates the refusal rate: `refused_with_room` is true if it refused the latest request
    /// although it had free slots. Refusals without a free slot do not raise the rate.
    pub fn update_refusal_rate(&mut self, refused_with_room: bool) {
        self.refusal_rate +=
            EVENT_WEIGHT * (f64::from(u8::from(refused_with_room)) - self.refusal_rate);
    }

    /// Records how long it took to answer a request.
    pub fn note_answer_time(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        if self.answer_time == 0.0 {
            self.answer_time = time;
        }
        self.answer_time += ANSWER_WEIGHT * (time - self.answer_time);
    }

    /// Records that it has answered a flow.
    pub fn note_response(&mut self, now: Duration) {
        self.recent_answers = self.recent_answers_at(now) + 1.0;
        self.last_heard = now;
    }

    /// Returns its decaying count of answers as of a time.
    #[must_use]
    pub fn recent_answers_at(&self, time: Duration) -> f64 {
        let age = time.saturating_sub(self.last_heard).as_secs_f64();
        self.recent_answers * (-age / DECAY_TIME.as_secs_f64()).exp()
    }

    /// Returns the average number of its slots that this lane has recently kept busy.
    #[must_use]
    pub fn recent_busy_slots(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.last_decay).as_secs_f64();
        let span = DECAY_TIME.as_secs_f64();
        self.slot_seconds * (-age / span).exp() / span
    }

    /// Updates, from its latest load report, the number of requests of other lanes and the
    /// share of reports that left out requests that it has acknowledged.
    pub fn evaluate_report(&mut self) {
        let is_underreported = self.load.active_requests < self.acked_requests.min(self.spec.slots);
        self.underreport_rate +=
            EVENT_WEIGHT * (f64::from(u8::from(is_underreported)) - self.underreport_rate);
        self.other_requests = self.load.active_requests.saturating_sub(self.own_requests);
    }

    /// Returns the form in which tickets refer to it.
    #[must_use]
    pub fn ticket_target(&self) -> Target {
        Target {
            endpoint: self.spec.id,
            addr: self.spec.addr,
            incarnation: self.load.incarnation,
        }
    }
}

/// Endpoints of one service, with totals over those that are not evacuated.
///
/// Requests on open flows of evacuated endpoints go on there, so they use up nothing of what
/// the others can process.
#[derive(Debug, Default)]
struct ServiceEndpoints {
    rows: Vec<usize>,
    own_requests: u32,
    rank_load: RankLoad,
    total_slots: u32,
    /// Time at which a short request last found no free slot.
    last_shortage: Option<Duration>,
    /// True while operators do not list the service.
    retired: bool,
}

impl ServiceEndpoints {
    /// Adds an endpoint to the totals.
    fn add(&mut self, row: &EndpointRow) {
        if !row.evacuated {
            self.own_requests += row.own_requests;
            self.rank_load.add_all(&row.rank_load);
            self.total_slots = self.total_slots.saturating_add(row.spec.slots);
        }
    }
}

/// Endpoints by id and by service.
#[derive(Debug, Default)]
pub struct Endpoints {
    rows: Vec<EndpointRow>,
    index: HashMap<Id, usize>,
    services: HashMap<Id, ServiceEndpoints>,
}

impl Endpoints {
    /// Replaces the endpoints by those of a snapshot, and keeps the observations of the
    /// endpoints that are still listed. Returns false if the same endpoints are listed as
    /// before, and only their properties have changed.
    pub fn sync(&mut self, snapshot: &Snapshot, now: Duration) -> bool {
        let mut services: Vec<&Service> = snapshot.services.values().map(|s| &**s).collect();
        services.sort_unstable_by_key(|service| service.id);
        let is_replaced = !self.lists_same(&services);
        if is_replaced {
            self.replace(&services, now);
        } else {
            let specs = services.iter().flat_map(|service| &service.endpoints);
            for (row, spec) in self.rows.iter_mut().zip(specs) {
                row.update_spec(spec, now);
            }
        }
        for service in services {
            if let Some(group) = self.services.get_mut(&service.id) {
                group.retired = service.retired;
            }
        }
        self.mark_evacuated(&snapshot.evacuated_zones);
        is_replaced
    }

    /// Returns true if the rows are of these services and endpoints, in the same order.
    fn lists_same(&self, services: &[&Service]) -> bool {
        let known_services = services
            .iter()
            .all(|service| self.services.contains_key(&service.id));
        let rows = self.rows.iter().map(|row| (row.service, &row.spec));
        let specs = services
            .iter()
            .flat_map(|service| service.endpoints.iter().map(|spec| (service.id, spec)));
        known_services
            && services.len() == self.services.len()
            && rows
                .map(|(service, spec)| (service, identity(spec)))
                .eq(specs.map(|(service, spec)| (service, identity(spec))))
    }

    /// Replaces all rows, and keeps those of endpoints that are still listed.
    fn replace(&mut self, services: &[&Service], now: Duration) {
        let old = std::mem::take(self);
        let owners = old.address_owners(services);
        let mut old_rows: Vec<_> = old.rows.into_iter().map(Some).collect();
        for service in services {
            let known = old.services.get(&service.id);
            let group = self.services.entry(service.id).or_default();
            group.last_shortage = known.and_then(|known| known.last_shortage);
            for spec in &service.endpoints {
                let slot = old.index.get(&spec.id);
                let existing = slot.and_then(|slot| old_rows[*slot].take()).filter(|row| {
                    row.service == service.id && identity(&row.spec) == identity(spec)
                });
                let mut row =
                    existing.unwrap_or_else(|| EndpointRow::new(spec.clone(), service.id, now));
                row.update_spec(spec, now);
                // Segments carry the number of their endpoint, so another endpoint at the
                // same address does not take them and no quarantine is needed.
                let owner = owners.get(&spec.addr);
                if spec.relay_number == 0 && owner.is_some_and(|owner| *owner != service.id) {
                    row.blocked_until = now + ADDRESS_QUARANTINE;
                }
                self.push(row);
            }
        }
    }

    /// Returns the services by the addresses of their endpoints, if one of `services` has an
    /// endpoint to which segments are not addressed by number.
    fn address_owners(&self, services: &[&Service]) -> HashMap<SocketAddr, Id> {
        let mut specs = services.iter().flat_map(|service| &service.endpoints);
        if specs.all(|spec| spec.relay_number != 0) {
            return HashMap::new();
        }
        self.rows.iter().map(|r| (r.spec.addr, r.service)).collect()
    }

    /// Marks the endpoints of the evacuated zones, after a change of these alone.
    pub fn mark_evacuated(&mut self, zones: &BTreeSet<Name>) {
        for group in self.services.values_mut() {
            (group.own_requests, group.total_slots) = (0, 0);
            group.rank_load = RankLoad::default();
        }
        for row in &mut self.rows {
            row.evacuated = zones.contains(&row.spec.zone);
            if let Some(group) = self.services.get_mut(&row.service) {
                group.add(row);
            }
        }
    }

    /// Marks endpoints whose address is also listed for one that started later, since only
    /// the latest can be running there; returns those that were not marked before. Entries for
    /// retired services, which may be from other writers, mark no endpoint.
    pub fn mark_replaced(&mut self) -> Vec<Endpoint> {
        let mut latest: HashMap<SocketAddr, (u64, Id)> = HashMap::new();
        for row in self.rows.iter().filter(|row| !self.is_retired(row)) {
            let start = (row.spec.started_ms, row.spec.id);
            let known = latest.entry(row.spec.addr).or_insert(start);
            *known = start.max(*known);
        }
        let mut newly_replaced = Vec::new();
        for row in &mut self.rows {
            let owner = latest.get(&row.spec.addr);
            let replaced = owner.is_some_and(|(_, id)| *id != row.spec.id);
            if replaced && !row.replaced {
                newly_replaced.push(row.spec.clone());
            }
            row.replaced = replaced;
        }
        newly_replaced
    }

    fn is_retired(&self, row: &EndpointRow) -> bool {
        let group = self.services.get(&row.service);
        group.is_some_and(|group| group.retired)
    }

    /// Returns the row of an endpoint.
    #[must_use]
    pub fn get(&self, id: Id) -> Option<&EndpointRow> {
        self.index.get(&id).map(|slot| &self.rows[*slot])
    }

    /// Returns the row of an endpoint, mutably.
    pub fn get_mut(&mut self, id: Id) -> Option<&mut EndpointRow> {
        self.index.get(&id).map(|slot| &mut self.rows[*slot])
    }

    /// Iterates over the endpoints of a service.
    pub fn of_service(&self, service: Id) -> impl Iterator<Item = &EndpointRow> + '_ {
        self.of_service_from(service, 0)
    }

    /// Iterates over the endpoints of a service from position `start`, wrapping around.
    pub fn of_service_from(
        &self,
        service: Id,
        start: usize,
    ) -> impl Iterator<Item = &EndpointRow> + '_ {
        let slots = self
            .services
            .get(&service)
            .map_or(&[][..], |group| &group.rows);
        let (before, after) = slots.split_at(start.min(slots.len()));
        after.iter().chain(before).map(|slot| &self.rows[*slot])
    }

    /// Returns the number of endpoints of a service.
    #[must_use]
    pub fn count(&self, service: Id) -> usize {
        self.services
            .get(&service)
            .map_or(0, |group| group.rows.len())
    }

    /// Returns the number of slots of a service's endpoints that are not evacuated.
    #[must_use]
    pub fn total_slots(&self, service: Id) -> u32 {
        self.services
            .get(&service)
            .map_or(0, |group| group.total_slots)
    }

    /// Returns the number of requests of this lane that a service is running on endpoints that
    /// are not evacuated.
    #[must_use]
    pub fn own_requests(&self, service: Id) -> u32 {
        self.services
            .get(&service)
            .map_or(0, |group| group.own_requests)
    }

    /// Returns the number of requests of relayed flows of this lane that a service is running on
    /// endpoints that are not evacuated, by rank.
    #[must_use]
    pub fn rank_load(&self, service: Id) -> Option<&RankLoad> {
        self.services.get(&service).map(|group| &group.rank_load)
    }

    /// Records that a short request of a service found no free slot.
    pub fn note_slot_shortage(&mut self, service: Id, now: Duration) {
        if let Some(group) = self.services.get_mut(&service) {
            group.last_shortage = Some(now);
        }
    }

    /// Returns the time at which a short request of a service last found no free slot.
    #[must_use]
    pub fn last_slot_shortage(&self, service: Id) -> Option<Duration> {
        self.services.get(&service)?.last_shortage
    }

    /// Iterates over all endpoints.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointRow> + '_ {
        self.rows.iter()
    }

    /// Iterates over all endpoints, mutably.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut EndpointRow> + '_ {
        self.rows.iter_mut()
    }

    /// Applies an endpoint's load report, unless it is from an earlier incarnation; returns
    /// true if the endpoint has restarted.
    pub fn apply_report(&mut self, id: Id, load: Load, now: Duration) -> bool {
        let Some(row) = self.get_mut(id) else {
            return false;
        };
        let known_incarnation = row.load.incarnation;
        if load.incarnation < known_incarnation {
            return false;
        }
        let restarted = known_incarnation != 0 && load.incarnation > known_incarnation;
        if restarted {
            row.up_since = now;
        }
        if load.draining {
            row.draining_since.get_or_insert(now);
        } else if !row.spec.draining {
            row.draining_since = None;
        }
        row.load = load;
        row.unreported_flows = 0;
        restarted
    }

    /// Counts a request on an endpoint that is expected to hold a slot for `time`.
    pub fn acquire(&mut self, id: Id, time: Duration, now: Duration) {
        let Some(row) = self.get_mut(id) else {
            return;
        };
        row.own_requests += 1;
        let (service, evacuated) = (row.service, row.evacuated);
        self.add_slot_time(id, time, now);
        if let Some(group) = self.services.get_mut(&service)
            && !evacuated
        {
            group.own_requests += 1;
        }
    }

    /// Counts a request of a relayed flow on an endpoint.
    pub fn acquire_ranked(&mut self, id: Id, rank: u32, now: Duration) {
        self.acquire(id, Duration::ZERO, now);
        let Some(row) = self.get_mut(id) else {
            return;
        };
        row.rank_load.add(rank, 1);
        let (service, evacuated) = (row.service, row.evacuated);
        if let Some(group) = self.services.get_mut(&service)
            && !evacuated
        {
            group.rank_load.add(rank, 1);
        }
    }

    /// Stops counting a request of a relayed flow on an endpoint. A request that was sent to an
    /// earlier incarnation of the endpoint is not counted any more if none of its rank is.
    pub fn release_ranked(&mut self, id: Id, rank: u32) {
        let Some(row) = self.get_mut(id) else {
            return;
        };
        if !row.rank_load.remove(rank) {
            return;
        }
        let (service, evacuated) = (row.service, row.evacuated);
        if let Some(group) = self.services.get_mut(&service)
            && !evacuated
        {
            group.rank_load.remove(rank);
        }
        self.release(id, false);
    }

    /// Adds slot time that a request on an endpoint takes.
    pub fn add_slot_time(&mut self, id: Id, time: Duration, now: Duration) {
        if let Some(row) = self.get_mut(id) {
            row.slot_seconds =
                row.recent_busy_slots(now) * DECAY_TIME.as_secs_f64() + time.as_secs_f64();
            row.last_decay = now;
        }
    }

    /// Stops counting a request on an endpoint; `acked` tells whether it was acknowledged.
    pub fn release(&mut self, id: Id, acked: bool) {
        let Some(row) = self.get_mut(id) else {
            return;
        };
        row.own_requests = row.own_requests.saturating_sub(1);
        row.acked_requests = row.acked_requests.saturating_sub(u32::from(acked));
        let (service, evacuated) = (row.service, row.evacuated);
        if let Some(group) = self.services.get_mut(&service)
            && !evacuated
        {
            group.own_requests = group.own_requests.saturating_sub(1);
        }
    }

    fn push(&mut self, row: EndpointRow) {
        let slot = self.rows.len();
        self.index.insert(row.spec.id, slot);
        self.services
            .entry(row.service)
            .or_default()
            .rows
            .push(slot);
        self.rows.push(row);
    }
}

/// Returns what distinguishes one run of an endpoint from all others.
fn identity(spec: &Endpoint) -> (Id, SocketAddr, u64, u64) {
    (spec.id, spec.addr, spec.relay_number, spec.started_ms)
}

impl EndpointRow {
    /// Applies the properties of an endpoint from the configuration.
    fn update_spec(&mut self, spec: &Endpoint, now: Duration) {
        if self.spec != *spec {
            self.spec = spec.clone();
        }
        if spec.draining {
            self.draining_since.get_or_insert(now);
        } else if !self.load.draining {
            self.draining_since = None;
        }
    }

    fn new(spec: Endpoint, service: Id, now: Duration) -> Self {
        let window = f64::from(spec.slots);
        Self {
            spec,
            service,
            load: Load::default(),
            last_heard: Duration::ZERO,
            last_probe: Duration::ZERO,
            flow_count: 0,
            unreported_flows: 0,
            own_requests: 0,
            rank_load: RankLoad::default(),
            other_requests: 0,
            unanswered_since: None,
            paused_until: Duration::ZERO,
            slot_seconds: 0.0,
            last_decay: now,
            window,
            acked_requests: 0,
            underreport_rate: 0.0,
            refusal_rate: 0.0,
            last_failure: None,
            failure_streak: 0,
            up_since: now,
            draining_since: None,
            blocked_until: Duration::ZERO,
            replaced: false,
            evacuated: false,
            answer_time: 0.0,
            recent_answers: 0.0,
            stalled_flows: Vec::new(),
            down: None,
            suspicion: None,
            ejected_until: None,
            last_alive: Duration::ZERO,
            last_suspected: Duration::ZERO,
            last_trial: Duration::ZERO,
        }
    }
}

impl Serialize for Endpoints {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(&self.rows)
    }
}
