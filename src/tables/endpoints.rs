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
const LATEST: f64 = 0.05;

/// Weight of the latest answer in the usual time of an endpoint: a lane sees a few
/// answers a second of each, and an endpoint that turns slow has to show soon.
const LATEST_ANSWER: f64 = 0.1;

/// Time over which the slot time sent to an endpoint fades.
pub const RECENT: Duration = Duration::from_secs(1);

/// Time for which an address that changed its service gets no traffic.
const QUARANTINE: Duration = Duration::from_secs(10);

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
    pub heard: Duration,
    /// Time of the last probe that asked for its load.
    pub probed: Duration,
    /// Flows of this lane on it.
    pub flows: u32,
    /// Flows this lane opened since it last reported.
    pub fresh: u32,
    /// Requests of this lane on it.
    pub running: u32,
    /// Requests of other lanes on it when it last reported.
    pub others: u32,
    /// Time of the first packet that it has not answered.
    pub asked: Option<Duration>,
    /// Time until which it gets no requests after a refusal.
    pub paused: Duration,
    /// Slot time of the requests this lane sent it, fading over a second.
    pub recent: f64,
    /// Time at which `recent` was last brought up to date.
    pub faded: Duration,
    /// Requests of this lane that it is believed to take at once.
    pub window: f64,
    /// Requests of this lane that it has acknowledged and not ended.
    pub acked: u32,
    /// Share of the latest load reports that left out acknowledged requests.
    pub doubt: f64,
    /// Share of the latest requests that it refused with slots free.
    pub shed: f64,
    /// Time of its last refusal.
    pub refused: Option<Duration>,
    /// Failures and refusals in a row.
    pub failures: u32,
    /// Time it was first seen, or restarted.
    pub since: Duration,
    /// Time it began to leave.
    pub leaving: Option<Duration>,
    /// Time until which it gets no traffic.
    pub barred: Duration,
    /// True while an endpoint that started later is listed with its address.
    pub replaced: bool,
    /// Usual time until it answers a request, in seconds.
    pub answer: f64,
    /// Answers of the last second when it was last heard, fading.
    pub answers: f64,
    /// Flows whose data it has left without an answer since it was last heard.
    pub stalls: Vec<Stall>,
    /// What shows that it is down.
    pub down: Option<Down>,
    /// Time at which a flow last found it silent.
    pub doubted: Duration,
    /// Time of the last opening segment sent to try it.
    pub tried: Duration,
}

/// Belief that an endpoint does not answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Down {
    /// Time at which it was first believed.
    pub since: Duration,
    /// True when the endpoints of its zone fell silent together.
    pub zone: bool,
}

/// A flow whose data has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Stall {
    /// The flow.
    pub ends: FlowAddrs,
    /// Repeats of its data.
    pub repeats: u32,
    /// Time at which the data was first sent.
    pub since: Duration,
    /// Time of the last repeat.
    pub latest: Duration,
}

impl EndpointRow {
    /// True when it may take new flows and requests.
    #[must_use]
    pub fn is_open(&self, now: Duration) -> bool {
        self.leaving.is_none() && !self.replaced && now >= self.barred
    }

    /// Notes whether it refused the latest request with slots free.
    pub fn note_shed(&mut self, refused: bool) {
        self.shed += LATEST * (f64::from(u8::from(refused)) - self.shed);
    }

    /// Notes how long it took to answer a request.
    pub fn note_answer(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        if self.answer == 0.0 {
            self.answer = time;
        }
        self.answer += LATEST_ANSWER * (time - self.answer);
    }

    /// Notes that it has answered a flow.
    pub fn note_heard(&mut self, now: Duration) {
        self.answers = self.answers_at(now) + 1.0;
        self.heard = now;
    }

    /// Answers that were heard of it in the second before a time.
    #[must_use]
    pub fn answers_at(&self, time: Duration) -> f64 {
        let age = time.saturating_sub(self.heard).as_secs_f64();
        self.answers * (-age / RECENT.as_secs_f64()).exp()
    }

    /// Slots that this lane has lately kept busy on it.
    #[must_use]
    pub fn recent_slots(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.faded).as_secs_f64();
        let span = RECENT.as_secs_f64();
        self.recent * (-age / span).exp() / span
    }

    /// Compares its latest load report with what it must have in hand.
    pub fn note_load(&mut self) {
        let short = self.load.busy < self.acked.min(self.spec.slots);
        self.doubt += LATEST * (f64::from(u8::from(short)) - self.doubt);
        self.others = self.load.busy.saturating_sub(self.running);
    }

    /// How tickets name it.
    #[must_use]
    pub fn target(&self) -> Target {
        Target {
            endpoint: self.spec.id,
            addr: self.spec.addr,
            incarnation: self.load.incarnation,
        }
    }
}

/// Endpoints of one service.
#[derive(Debug, Default)]
struct Group {
    rows: Vec<usize>,
    running: u32,
    slots: u32,
    pressed: Option<Duration>,
}

/// Endpoints by id and by service.
#[derive(Debug, Default)]
pub struct Endpoints {
    rows: Vec<EndpointRow>,
    index: HashMap<Id, usize>,
    services: HashMap<Id, Group>,
}

impl Endpoints {
    /// Takes over a snapshot's endpoints, keeping what was seen of those that stay.
    pub fn sync(&mut self, snapshot: &Snapshot, now: Duration) {
        let mut old = std::mem::take(self);
        let owners: HashMap<_, _> = old.rows.iter().map(|r| (r.spec.addr, r.service)).collect();
        let mut services: Vec<_> = snapshot.services.values().collect();
        services.sort_unstable_by_key(|service| service.id);
        for service in services {
            let pressed = old.pressed(service.id);
            self.services.entry(service.id).or_default().pressed = pressed;
            for spec in &service.endpoints {
                let mut row = old.take(spec, service.id, now);
                let owner = owners.get(&spec.addr);
                // Segments name the endpoint that may take them, so they need no pause.
                if spec.number == 0 && owner.is_some_and(|owner| *owner != service.id) {
                    row.barred = now + QUARANTINE;
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
            let start = (row.spec.born, row.spec.id);
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
    pub fn of(&self, service: Id) -> impl Iterator<Item = &EndpointRow> + '_ {
        self.from(service, 0)
    }

    /// Endpoints of a service, beginning at the one at `start` and going round.
    pub fn from(&self, service: Id, start: usize) -> impl Iterator<Item = &EndpointRow> + '_ {
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
    pub fn slots(&self, service: Id) -> u32 {
        self.services.get(&service).map_or(0, |group| group.slots)
    }

    /// Requests of this lane on a service.
    #[must_use]
    pub fn running(&self, service: Id) -> u32 {
        self.services.get(&service).map_or(0, |group| group.running)
    }

    /// Notes that short work of a service found no slot.
    pub fn press(&mut self, service: Id, now: Duration) {
        if let Some(group) = self.services.get_mut(&service) {
            group.pressed = Some(now);
        }
    }

    /// Time at which short work of a service last found no slot.
    #[must_use]
    pub fn pressed(&self, service: Id) -> Option<Duration> {
        self.services.get(&service)?.pressed
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
    pub fn report(&mut self, id: Id, load: Load, now: Duration) -> bool {
        let Some(row) = self.get_mut(id) else {
            return false;
        };
        let known = row.load.incarnation;
        if load.incarnation < known {
            return false;
        }
        let restarted = known != 0 && load.incarnation > known;
        if restarted {
            row.since = now;
        }
        if load.draining {
            row.leaving.get_or_insert(now);
        } else if !row.spec.draining {
            row.leaving = None;
        }
        row.load = load;
        row.fresh = 0;
        restarted
    }

    /// Counts a request on an endpoint that holds a slot for about `time`.
    pub fn acquire(&mut self, id: Id, time: Duration, now: Duration) {
        let Some(row) = self.get_mut(id) else {
            return;
        };
        row.running += 1;
        let service = row.service;
        self.note_time(id, time, now);
        if let Some(group) = self.services.get_mut(&service) {
            group.running += 1;
        }
    }

    /// Adds slot time that a request on an endpoint turned out to take.
    pub fn note_time(&mut self, id: Id, time: Duration, now: Duration) {
        if let Some(row) = self.get_mut(id) {
            row.recent = row.recent_slots(now) * RECENT.as_secs_f64() + time.as_secs_f64();
            row.faded = now;
        }
    }

    /// Stops counting a request on an endpoint.
    pub fn release(&mut self, id: Id, acked: bool) {
        let Some(row) = self.get_mut(id) else {
            return;
        };
        row.running = row.running.saturating_sub(1);
        row.acked = row.acked.saturating_sub(u32::from(acked));
        let service = row.service;
        if let Some(group) = self.services.get_mut(&service) {
            group.running = group.running.saturating_sub(1);
        }
    }

    fn take(&mut self, spec: &Endpoint, service: Id, now: Duration) -> EndpointRow {
        let kept = self
            .get(spec.id)
            .filter(|row| row.service == service && row.spec.addr == spec.addr)
            .filter(|row| row.spec.born == spec.born)
            .cloned();
        let mut row = kept.unwrap_or_else(|| EndpointRow::new(spec.clone(), service, now));
        row.spec = spec.clone();
        if !spec.draining && !row.load.draining {
            row.leaving = None;
        }
        if spec.draining {
            row.leaving.get_or_insert(now);
        }
        row
    }

    fn push(&mut self, row: EndpointRow) {
        let slot = self.rows.len();
        self.index.insert(row.spec.id, slot);
        let group = self.services.entry(row.service).or_default();
        group.rows.push(slot);
        group.running += row.running;
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
            heard: Duration::ZERO,
            probed: Duration::ZERO,
            flows: 0,
            fresh: 0,
            running: 0,
            others: 0,
            asked: None,
            paused: Duration::ZERO,
            recent: 0.0,
            faded: now,
            window,
            acked: 0,
            doubt: 0.0,
            shed: 0.0,
            refused: None,
            failures: 0,
            since: now,
            leaving: None,
            barred: Duration::ZERO,
            replaced: false,
            answer: 0.0,
            answers: 0.0,
            stalls: Vec::new(),
            down: None,
            doubted: Duration::ZERO,
            tried: Duration::ZERO,
        }
    }
}

impl Serialize for Endpoints {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(&self.rows)
    }
}
