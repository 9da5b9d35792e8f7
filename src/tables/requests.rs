//! Requests that a lane is home to.
//!
//! A row outlives its request: until long past the deadline it answers repeats,
//! so that once-only work is never dispatched a second time.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use bytes::Bytes;
use serde::{Serialize, Serializer};
use slab::Slab;
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use super::ended_requests::EndedRequests;
use crate::id::{FlowKey, Id};
use crate::packet::{Class, ExecutionStatus, Packet, Part, Reason};
use crate::ticket::{Home, Target};

/// Bits of a dispatch number that the incarnation, in microseconds, may fill.
const INCARNATION_BITS: u32 = 52;

/// A request as its caller names it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestId {
    /// Flow it came on.
    pub flow: FlowKey,
    /// Number that the caller gave it.
    pub number: u64,
}

/// How far a request has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub enum RequestState {
    /// Parts are missing.
    #[serde(rename = "Gathering")]
    Incomplete,
    /// Whole, and waiting for a slot.
    Queued,
    /// With an endpoint.
    Sent,
    /// Answered in whole.
    #[serde(rename = "Done")]
    Answered,
    /// Ended without an answer.
    Ended(ExecutionStatus, Reason),
}

/// Content in parts.
#[derive(Clone, Debug, Default)]
pub struct Parts {
    slots: Vec<Option<Bytes>>,
    received: usize,
}

impl Parts {
    /// Stores a part; false when it was there or does not fit the others.
    pub fn insert(&mut self, part: &Part) -> bool {
        let Ok(total) = usize::try_from(part.total) else {
            return false;
        };
        if self.slots.is_empty() {
            self.slots = vec![None; total];
        }
        let Ok(index) = usize::try_from(part.index) else {
            return false;
        };
        if self.slots.len() != total || index >= total || self.slots[index].is_some() {
            return false;
        }
        self.slots[index] = Some(part.data.clone());
        self.received += 1;
        true
    }

    /// True when every part is held.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        !self.slots.is_empty() && self.received == self.slots.len()
    }

    /// True without any part.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.received == 0
    }

    /// Number of parts in all.
    #[must_use]
    pub fn total(&self) -> usize {
        self.slots.len()
    }

    /// The parts held, in order.
    pub fn iter(&self) -> impl Iterator<Item = Part> + '_ {
        let total = u32::try_from(self.slots.len()).unwrap_or(u32::MAX);
        self.slots
            .iter()
            .zip(0_u32..)
            .filter_map(move |(slot, index)| {
                slot.as_ref().map(|data| Part {
                    index,
                    total,
                    data: data.clone(),
                })
            })
    }

    /// Forgets the content.
    pub fn clear(&mut self) {
        self.slots = Vec::new();
        self.received = 0;
    }
}

/// A request.
#[derive(Clone, Debug, Serialize)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its service.
    pub service: Id,
    /// Kind of work.
    pub class: Class,
    /// True when its caller echoed a ticket that names this lane.
    #[serde(rename = "ticketed")]
    pub has_ticket: bool,
    /// How far it has come.
    pub state: RequestState,
    /// Time it was taken.
    #[serde(rename = "taken")]
    pub accepted_at: Duration,
    /// Time after which nobody wants the answer.
    pub deadline: Duration,
    /// Content of the request.
    #[serde(skip)]
    pub request_parts: Parts,
    /// Content of the answer to one dispatch.
    #[serde(skip)]
    pub answer_parts: Parts,
    /// That dispatch, zero without a part.
    #[serde(rename = "answered")]
    pub answered_dispatch: u64,
    /// Its dispatches, the last one at the end.
    pub dispatches: SmallVec<[u64; 2]>,
    /// Endpoint of the last dispatch.
    pub target: Option<Target>,
    /// True while it holds a slot of that endpoint in this lane's count.
    #[serde(rename = "holding")]
    pub holds_slot: bool,
    /// Parts that the endpoint acknowledged.
    #[serde(skip)]
    pub acked_parts: Vec<bool>,
    /// Time the last dispatch began.
    #[serde(rename = "started")]
    pub dispatched_at: Duration,
    /// Time something was last sent to the endpoint.
    #[serde(rename = "sent")]
    pub last_sent: Duration,
    /// True when an earlier dispatch may have run.
    #[serde(rename = "tainted")]
    pub maybe_executed: bool,
}

impl Request {
    /// A request of `packet` with no part yet.
    #[must_use]
    pub fn new(
        packet: &Packet,
        number: u64,
        class: Class,
        now: Duration,
        deadline: Duration,
    ) -> Self {
        Self {
            id: RequestId {
                flow: packet.key(),
                number,
            },
            service: packet.service,
            class,
            has_ticket: false,
            state: RequestState::Incomplete,
            accepted_at: now,
            deadline,
            request_parts: Parts::default(),
            answer_parts: Parts::default(),
            answered_dispatch: 0,
            dispatches: SmallVec::new(),
            target: None,
            holds_slot: false,
            acked_parts: Vec::new(),
            dispatched_at: Duration::ZERO,
            last_sent: Duration::ZERO,
            maybe_executed: false,
        }
    }

    /// Last dispatch, zero before the first.
    #[must_use]
    pub fn last_dispatch(&self) -> u64 {
        self.dispatches.last().copied().unwrap_or(0)
    }

    /// Takes in a part of the answer to a dispatch; false for a repeated part.
    ///
    /// Two dispatches of repeatable work may give two answers, whose parts are not
    /// mixed: the record keeps that of the newest.
    pub fn insert_answer_part(&mut self, dispatch: u64, part: &Part) -> bool {
        if dispatch < self.answered_dispatch {
            return true;
        }
        if dispatch > self.answered_dispatch {
            self.answered_dispatch = dispatch;
            self.answer_parts.clear();
        }
        self.answer_parts.insert(part)
    }

    /// True when it has an answer or a verdict.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        matches!(self.state, RequestState::Answered | RequestState::Ended(..))
    }
}

/// Requests by id and by dispatch, with the queues of each service.
#[derive(Debug)]
pub struct Requests {
    rows: Slab<Request>,
    index: HashMap<RequestId, usize>,
    dispatches: HashMap<u64, usize>,
    queues: HashMap<Id, [BTreeSet<(Duration, usize)>; Class::ALL.len()]>,
    due_times: BTreeSet<(Duration, usize)>,
    sent_slots: Vec<usize>,
    last_number: u64,
    ended: EndedRequests,
}

impl Requests {
    /// No requests; dispatches are numbered from the incarnation on, so that no
    /// number is used in two lives of a host. The bits above it tell homes apart for
    /// callers, whose repeatable work may be answered through two of them.
    #[must_use]
    pub fn new(home: &Home) -> Self {
        let lane = xxh3_64(home.addr.to_string().as_bytes());
        Self {
            rows: Slab::new(),
            index: HashMap::new(),
            dispatches: HashMap::new(),
            queues: HashMap::new(),
            due_times: BTreeSet::new(),
            sent_slots: Vec::new(),
            last_number: (lane << INCARNATION_BITS) | home.incarnation,
            ended: EndedRequests::default(),
        }
    }

    /// Slot of a request.
    #[must_use]
    pub fn find(&self, id: &RequestId) -> Option<usize> {
        self.index.get(id).copied()
    }

    /// Slot of the request that a dispatch was made for.
    #[must_use]
    pub fn by_dispatch(&self, dispatch: u64) -> Option<usize> {
        self.dispatches.get(&dispatch).copied()
    }

    /// Row of a slot.
    #[must_use]
    pub fn row(&self, slot: usize) -> &Request {
        &self.rows[slot]
    }

    /// Row of a slot, to change.
    pub fn row_mut(&mut self, slot: usize) -> &mut Request {
        &mut self.rows[slot]
    }

    /// Adds a request.
    pub fn insert(&mut self, request: Request) -> usize {
        let (id, deadline) = (request.id, request.deadline);
        let slot = self.rows.insert(request);
        self.index.insert(id, slot);
        self.due_times.insert((deadline, slot));
        slot
    }

    /// Forgets a request and its dispatches; of once-only work it keeps that it ended.
    pub fn remove(&mut self, slot: usize, now: Duration) {
        self.unqueue(slot);
        let request = self.rows.remove(slot);
        self.index.remove(&request.id);
        if request.class.is_once() {
            self.ended.insert(&request.id, now);
        }
        for dispatch in &request.dispatches {
            self.dispatches.remove(dispatch);
        }
    }

    /// True for once-only work that ended and has no record any more.
    #[must_use]
    pub fn has_ended(&self, id: &RequestId) -> bool {
        self.ended.contains(id)
    }

    /// Forgets the once-only work that ended longer ago than [`ENDED_RETENTION`](super::ENDED_RETENTION).
    pub fn expire_ended(&mut self, now: Duration) {
        self.ended.expire(now);
    }

    /// Numbers a new dispatch of a request.
    pub fn add_dispatch(&mut self, slot: usize) -> u64 {
        self.last_number += 1;
        self.dispatches.insert(self.last_number, slot);
        self.rows[slot].dispatches.push(self.last_number);
        self.sent_slots.push(slot);
        self.last_number
    }

    /// Puts a request into its queue, ordered by deadline.
    pub fn enqueue(&mut self, slot: usize) {
        let row = &mut self.rows[slot];
        row.state = RequestState::Queued;
        let queues = self.queues.entry(row.service).or_default();
        queues[row.class.index()].insert((row.deadline, slot));
    }

    /// Takes a request out of its queue.
    pub fn unqueue(&mut self, slot: usize) {
        let row = &self.rows[slot];
        if let Some(queues) = self.queues.get_mut(&row.service) {
            queues[row.class.index()].remove(&(row.deadline, slot));
        }
    }

    /// Services with queued requests.
    #[must_use]
    pub fn queued_services(&self) -> Vec<Id> {
        let mut ids: Vec<Id> = self
            .queues
            .iter()
            .filter(|(_, queues)| queues.iter().any(|queue| !queue.is_empty()))
            .map(|(id, _)| *id)
            .collect();
        ids.sort_unstable();
        ids
    }

    /// Queued requests of a class, shortest deadline first.
    pub fn queued_slots(&self, service: Id, class: Class) -> impl Iterator<Item = usize> + '_ {
        self.queues
            .get(&service)
            .into_iter()
            .flat_map(move |queues| queues[class.index()].iter().map(|(_, slot)| *slot))
    }

    /// True when requests of a service are queued.
    #[must_use]
    pub fn has_queued(&self, service: Id) -> bool {
        let queues = self.queues.get(&service);
        queues.is_some_and(|queues| queues.iter().any(|queue| !queue.is_empty()))
    }

    /// Number of queued requests of a class.
    #[must_use]
    pub fn queue_len(&self, service: Id, class: Class) -> usize {
        self.queues
            .get(&service)
            .map_or(0, |queues| queues[class.index()].len())
    }

    /// True when an endpoint has a request of the flow in hand.
    #[must_use]
    pub fn has_sent(&self, flow: &FlowKey, endpoint: Id) -> bool {
        self.rows.iter().any(|(_, row)| {
            row.id.flow == *flow
                && row.state == RequestState::Sent
                && row.target.is_some_and(|target| target.endpoint == endpoint)
        })
    }

    /// Slots of the requests that are with an endpoint.
    pub fn sent_slots(&mut self) -> Vec<usize> {
        let rows = &self.rows;
        let is_sent = |slot: &usize| {
            let row = rows.get(*slot);
            row.is_some_and(|row| row.state == RequestState::Sent)
        };
        self.sent_slots.retain(is_sent);
        self.sent_slots.sort_unstable();
        self.sent_slots.dedup();
        self.sent_slots.clone()
    }

    /// Takes the slots that are due: at their deadline, or at the time given to [`Self::schedule`].
    pub fn take_due(&mut self, now: Duration) -> Vec<usize> {
        let mut slots = Vec::new();
        while let Some((at, slot)) = self.due_times.first().copied()
            && at <= now
        {
            self.due_times.pop_first();
            slots.push(slot);
        }
        slots
    }

    /// Makes a request due again at `at`.
    pub fn schedule(&mut self, slot: usize, at: Duration) {
        self.due_times.insert((at, slot));
    }

    /// Requests that a caller may still wait for.
    #[must_use]
    pub fn in_flight(&self, now: Duration) -> usize {
        let waits = |row: &Request| !row.is_finished() || now < row.deadline;
        self.rows.iter().filter(|(_, row)| waits(row)).count()
    }

    /// Number of requests and records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// True without requests and records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

impl Serialize for Requests {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self.rows.iter().map(|(_, row)| row))
    }
}
