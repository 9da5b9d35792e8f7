//! Endpoints, with what this lane has itself seen of them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Serialize, Serializer};

use crate::id::Id;
use crate::packet::Load;
use crate::segment::FlowAddrs;
use crate::snapshot::{Endpoint, Snapshot};
use crate::ticket::Target;

/// Weight of the latest event in the shares and means of [`EndpointRow`].
const EVENT_WEIGHT: f64 = 0.05;

/// Weight of the latest answer in the usual time of an endpoint: a lane sees a few
/// answers a second of each, and an endpoint that turns slow has to show soon.
const ANSWER_WEIGHT: f64 = 0.1;

/// Time over which the slot time sent to an endpoint fades.
pub const DECAY_TIME: Duration = Duration::from_secs(1);

/// Time for which an address that changed its service gets no traffic.
const ADDRESS_QUARANTINE: Duration = Duration::from_secs(10);

/// An endpoint.
#[derive(Clone, Debug, Serialize)]
pub struct EndpointRow {
    /// As configured.
    pub spec: Endpoint,
    /// Its service.
    pub service: Id,
    /// Load it last reported; incarnation zero until it has spoken.
    pub load: Load,
    /// Time it was last heard.
    #[serde(rename = "heard")]
    pub last_heard: Duration,
    /// Time of the last probe that asked for its load.
    #[serde(rename = "probed")]
    pub last_probe: Duration,
    /// Flows of this lane on it.
    #[serde(rename = "flows")]
    pub flow_count: u32,
    /// Flows this lane opened since it last reported.
    #[serde(rename = "fresh")]
    pub new_flows: u32,
    /// Requests of this lane on it.
    #[serde(rename = "running")]
    pub own_requests: u32,
    /// Requests of other lanes on it when it last reported.
    #[serde(rename = "others")]
    pub other_requests: u32,
    /// Time of the first packet that it has not answered.
    #[serde(rename = "asked")]
    pub unanswered_since: Option<Duration>,
    /// Time until which it gets no requests after a refusal.
    #[serde(rename = "paused")]
    pub paused_until: Duration,
    /// Slot time of the requests this lane sent it, fading over a second.
    #[serde(rename = "recent")]
    pub slot_seconds: f64,
    /// Time at which `recent` was last brought up to date.
    #[serde(rename = "faded")]
    pub last_decay: Duration,
    /// Requests of this lane that it is believed to take at once.
    pub window: f64,
    /// Requests of this lane that it has acknowledged and not ended.
    #[serde(rename = "acked")]
    pub acked_requests: u32,
    /// Share of the latest load reports that left out acknowledged requests.
    #[serde(rename = "doubt")]
    pub underreport_rate: f64,
    /// Share of the latest requests that it refused with slots free.
    #[serde(rename = "shed")]
    pub refusal_rate: f64,
    /// Time of its last refusal.
    #[serde(rename = "refused")]
    pub last_refusal: Option<Duration>,
    /// Failures and refusals in a row.
    #[serde(rename = "failures")]
    pub failure_streak: u32,
    /// Time it was first seen, or restarted.
    #[serde(rename = "since")]
    pub up_since: Duration,
    /// Time it began to leave.
    #[serde(rename = "leaving")]
    pub draining_since: Option<Duration>,
    /// Time until which it gets no traffic.
    #[serde(rename = "barred")]
    pub blocked_until: Duration,
    /// True while an endpoint that started later is listed with its address.
    pub replaced: bool,
    /// Usual time until it answers a request, in seconds.
    #[serde(rename = "answer")]
    pub answer_time: f64,
    /// Answers of the last second when it was last heard, fading.
    #[serde(rename = "answers")]
    pub recent_answers: f64,
    /// Flows whose data it has left without an answer since it was last heard.
    #[serde(rename = "stalls")]
    pub stalled_flows: Vec<StalledFlow>,
    /// What shows that it is down.
    pub down: Option<DownState>,
    /// Time at which a flow last found it silent.
    #[serde(rename = "doubted")]
    pub last_suspected: Duration,
    /// Time of the last opening segment sent to try it.
    #[serde(rename = "tried")]
    pub last_trial: Duration,
}

/// Belief that an endpoint does not answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct DownState {
    /// Time at which it was first believed.
    pub since: Duration,
    /// True when the endpoints of its zone fell silent together.
    #[serde(rename = "zone")]
    pub whole_zone: bool,
}

/// A flow whose data has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct StalledFlow {
    /// The flow.
    #[serde(rename = "ends")]
    pub addrs: FlowAddrs,
    /// Repeats of its data.
    #[serde(rename = "repeats")]
    pub retransmissions: u32,
    /// Time at which the data was first sent.
    #[serde(rename = "since")]
    pub first_sent: Duration,
    /// Time of the last repeat.
    #[serde(rename = "latest")]
    pub last_retransmission: Duration,
}

impl EndpointRow {
    /// True when it may take new flows and requests.
    #[must_use]
    pub fn accepts_work(&self, now: Duration) -> bool {
        self.draining_since.is_none() && !self.replaced && now >= self.blocked_until
    }

    /// Notes whether it refused the latest request with slots free.
    pub fn note_refusal(&mut self, refused: bool) {
        self.refusal_rate += EVENT_WEIGHT * (f64::from(u8::from(refused)) - self.refusal_rate);
    }

    /// Notes how long it took to answer a request.
    pub fn note_answer_time(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        if self.answer_time == 0.0 {
            self.answer_time = time;
        }
        self.answer_time += ANSWER_WEIGHT * (time - self.answer_time);
    }

    /// Notes that it has answered a flow.
    pub fn note_response(&mut self, now: Duration) {
        self.recent_answers = self.recent_answers_at(now) + 1.0;
        self.last_heard = now;
    }

    /// Answers that were heard of it in the second before a time.
    #[must_use]
    pub fn recent_answers_at(&self, time: Duration) -> f64 {
        let age = time.saturating_sub(self.last_heard).as_secs_f64();
        self.recent_answers * (-age / DECAY_TIME.as_secs_f64()).exp()
    }

    /// Slots that this lane has lately kept busy on it.
    #[must_use]
    pub fn recent_slots(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.last_decay).as_secs_f64();
        let span = DECAY_TIME.as_secs_f64();
        self.slot_seconds * (-age / span).exp() / span
    }

    /// Compares its latest load report with what it must have in hand.
    pub fn note_load(&mut self) {
        let short = self.load.active_requests < self.acked_requests.min(self.spec.slots);
        self.underreport_rate +=
            EVENT_WEIGHT * (f64::from(u8::from(short)) - self.underreport_rate);
        self.other_requests = self.load.active_requests.saturating_sub(self.own_requests);
    }

    /// How tickets name it.
    #[must_use]
    pub fn ticket_target(&self) -> Target {
        Target {
            endpoint: self.spec.id,
            addr: self.spec.addr,
            incarnation: self.load.incarnation,
        }
    }
}

/// Endpoints of one service.
#[derive(Debug, Default)]
struct ServiceEndpoints {
    rows: Vec<usize>,
    own_requests: u32,
    slots: u32,
    last_shortage: Option<Duration>,
}

/// Endpoints by id and by service.
#[derive(Debug, Default)]
pub struct Endpoints {
    rows: Vec<EndpointRow>,
    index: HashMap<Id, usize>,
    services: HashMap<Id, ServiceEndpoints>,
}

impl Endpoints {
    /// Takes over a snapshot's endpoints, keeping what was seen of those that stay.
    pub fn sync(&mut self, snapshot: &Snapshot, now: Duration) {
        let mut old = std::mem::take(self);
        let owners: HashMap<_, _> = old.rows.iter().map(|r| (r.spec.addr, r.service)).collect();
        let mut services: Vec<_> = snapshot.services.values().collect();
        services.sort_unstable_by_key(|service| service.id);
        for service in services {
            let pressed = old.last_shortage(service.id);
            self.services.entry(service.id).or_default().last_shortage = pressed;
            for spec in &service.endpoints {
                let mut row = old.take_or_create(spec, service.id, now);
                let owner = owners.get(&spec.addr);
                // Segments name the endpoint that may take them, so they need no pause.
                if spec.number == 0 && owner.is_some_and(|owner| *owner != service.id) {
                    row.blocked_until = now + ADDRESS_QUARANTINE;
                }
                self.push(row);
            }
        }
    }

    /// Marks all but the latest of endpoints that are listed with one address; returns
    /// those that were not marked before. Only the latest can be running there.
    pub fn mark_replaced(&mut self) -> Vec<Endpoint> {
        let mut latest: HashMap<SocketAddr, (u64, Id)> = HashMap::new();
        for row in &self.rows {
            let start = (row.spec.started_ms, row.spec.id);
            let known = latest.entry(row.spec.addr).or_insert(start);
            *known = start.max(*known);
        }
        let mut marked = Vec::new();
        for row in &mut self.rows {
            let replaced = latest[&row.spec.addr].1 != row.spec.id;
            if replaced && !row.replaced {
                marked.push(row.spec.clone());
            }
            row.replaced = replaced;
        }
        marked
    }

    /// Row of an endpoint.
    #[must_use]
    pub fn get(&self, id: Id) -> Option<&EndpointRow> {
        self.index.get(&id).map(|slot| &self.rows[*slot])
    }

    /// Row of an endpoint, to change.
    pub fn get_mut(&mut self, id: Id) -> Option<&mut EndpointRow> {
        self.index.get(&id).map(|slot| &mut self.rows[*slot])
    }

    /// Endpoints of a service.
    pub fn of_service(&self, service: Id) -> impl Iterator<Item = &EndpointRow> + '_ {
        self.of_service_from(service, 0)
    }

    /// Endpoints of a service, beginning at the one at `start` and going round.
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

    /// Number of endpoints of a service.
    #[must_use]
    pub fn count(&self, service: Id) -> usize {
        self.services
            .get(&service)
            .map_or(0, |group| group.rows.len())
    }

    /// Slots of a service.
    #[must_use]
    pub fn total_slots(&self, service: Id) -> u32 {
        self.services.get(&service).map_or(0, |group| group.slots)
    }

    /// Requests of this lane on a service.
    #[must_use]
    pub fn own_requests(&self, service: Id) -> u32 {
        self.services
            .get(&service)
            .map_or(0, |group| group.own_requests)
    }

    /// Notes that short work of a service found no slot.
    pub fn note_shortage(&mut self, service: Id, now: Duration) {
        if let Some(group) = self.services.get_mut(&service) {
            group.last_shortage = Some(now);
        }
    }

    /// Time at which short work of a service last found no slot.
    #[must_use]
    pub fn last_shortage(&self, service: Id) -> Option<Duration> {
        self.services.get(&service)?.last_shortage
    }

    /// All endpoints.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointRow> + '_ {
        self.rows.iter()
    }

    /// All endpoints, to change.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut EndpointRow> + '_ {
        self.rows.iter_mut()
    }

    /// Takes in what an endpoint says of itself; true when it has restarted.
    pub fn apply_report(&mut self, id: Id, load: Load, now: Duration) -> bool {
        let Some(row) = self.get_mut(id) else {
            return false;
        };
        let known = row.load.incarnation;
        if load.incarnation < known {
            return false;
        }
        let restarted = known != 0 && load.incarnation > known;
        if restarted {
            row.up_since = now;
        }
        if load.draining {
            row.draining_since.get_or_insert(now);
        } else if !row.spec.draining {
            row.draining_since = None;
        }
        row.load = load;
        row.new_flows = 0;
        restarted
    }

    /// Counts a request on an endpoint that holds a slot for about `time`.
    pub fn acquire(&mut self, id: Id, time: Duration, now: Duration) {
        let Some(row) = self.get_mut(id) else {
            return;
        };
        row.own_requests += 1;
        let service = row.service;
        self.add_slot_time(id, time, now);
        if let Some(group) = self.services.get_mut(&service) {
            group.own_requests += 1;
        }
    }

    /// Adds slot time that a request on an endpoint turned out to take.
    pub fn add_slot_time(&mut self, id: Id, time: Duration, now: Duration) {
        if let Some(row) = self.get_mut(id) {
            row.slot_seconds =
                row.recent_slots(now) * DECAY_TIME.as_secs_f64() + time.as_secs_f64();
            row.last_decay = now;
        }
    }

    /// Stops counting a request on an endpoint.
    pub fn release(&mut self, id: Id, acked: bool) {
        let Some(row) = self.get_mut(id) else {
            return;
        };
        row.own_requests = row.own_requests.saturating_sub(1);
        row.acked_requests = row.acked_requests.saturating_sub(u32::from(acked));
        let service = row.service;
        if let Some(group) = self.services.get_mut(&service) {
            group.own_requests = group.own_requests.saturating_sub(1);
        }
    }

    fn take_or_create(&mut self, spec: &Endpoint, service: Id, now: Duration) -> EndpointRow {
        let kept = self
            .get(spec.id)
            .filter(|row| row.service == service && row.spec.addr == spec.addr)
            .filter(|row| row.spec.started_ms == spec.started_ms)
            .cloned();
        let mut row = kept.unwrap_or_else(|| EndpointRow::new(spec.clone(), service, now));
        row.spec = spec.clone();
        if !spec.draining && !row.load.draining {
            row.draining_since = None;
        }
        if spec.draining {
            row.draining_since.get_or_insert(now);
        }
        row
    }

    fn push(&mut self, row: EndpointRow) {
        let slot = self.rows.len();
        self.index.insert(row.spec.id, slot);
        let group = self.services.entry(row.service).or_default();
        group.rows.push(slot);
        group.own_requests += row.own_requests;
        group.slots += row.spec.slots;
        self.rows.push(row);
    }
}

impl EndpointRow {
    fn new(spec: Endpoint, service: Id, now: Duration) -> Self {
        let window = f64::from(spec.slots);
        Self {
            spec,
            service,
            load: Load::default(),
            last_heard: Duration::ZERO,
            last_probe: Duration::ZERO,
            flow_count: 0,
            new_flows: 0,
            own_requests: 0,
            other_requests: 0,
            unanswered_since: None,
            paused_until: Duration::ZERO,
            slot_seconds: 0.0,
            last_decay: now,
            window,
            acked_requests: 0,
            underreport_rate: 0.0,
            refusal_rate: 0.0,
            last_refusal: None,
            failure_streak: 0,
            up_since: now,
            draining_since: None,
            blocked_until: Duration::ZERO,
            replaced: false,
            answer_time: 0.0,
            recent_answers: 0.0,
            stalled_flows: Vec::new(),
            down: None,
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
