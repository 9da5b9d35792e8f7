//! Requests that a lane is the home of.
//!
//! A row is kept until long after the request's deadline and answers its retransmissions,
//! so that at-most-once work is never dispatched a second time.

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

/// Bits of a dispatch number that are reserved for the incarnation, in microseconds.
const INCARNATION_BITS: u32 = 52;

/// Id of a request, as chosen by its caller.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestId {
    /// Flow that it arrived on.
    pub flow: FlowKey,
    /// Number that the caller assigned.
    pub number: u64,
}

/// State of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub enum RequestState {
    /// Parts of its content are missing.
    #[serde(rename = "Gathering")]
    Incomplete,
    /// Complete and waiting for a slot.
    Queued,
    /// Dispatched to an endpoint.
    Sent,
    /// Answered completely.
    #[serde(rename = "Done")]
    Answered,
    /// Ended without an answer, with an execution status and a reason.
    Ended(ExecutionStatus, Reason),
}

/// Content that is transferred in parts.
#[derive(Clone, Debug, Default)]
pub struct Parts {
    slots: Vec<Option<Bytes>>,
    received: usize,
}

impl Parts {
    /// Stores a part; returns false if it is already stored or does not match the others.
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

    /// True if every part has been received.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        !self.slots.is_empty() && self.received == self.slots.len()
    }

    /// True if no part has been received.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.received == 0
    }

    /// Returns the number of parts, received or not; zero before the first.
    #[must_use]
    pub fn total(&self) -> usize {
        self.slots.len()
    }

    /// Iterates over the received parts, in order.
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

    /// Discards the content.
    pub fn clear(&mut self) {
        self.slots = Vec::new();
        self.received = 0;
    }
}

/// A request and the state of its dispatches.
#[derive(Clone, Debug, Serialize)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its service.
    pub service: Id,
    /// Class of its work.
    pub class: Class,
    /// True if its caller sent a ticket that names this lane as its home.
    #[serde(rename = "ticketed")]
    pub has_ticket: bool,
    /// State of the request.
    pub state: RequestState,
    /// Time at which it was accepted.
    #[serde(rename = "taken")]
    pub accepted_at: Duration,
    /// Time after which its caller no longer waits for the answer.
    pub deadline: Duration,
    /// Content of the request.
    #[serde(skip)]
    pub request_parts: Parts,
    /// Content of the answer to the dispatch `answered_dispatch`.
    #[serde(skip)]
    pub answer_parts: Parts,
    /// Dispatch that `answer_parts` belongs to; zero before the first part.
    #[serde(rename = "answered")]
    pub answered_dispatch: u64,
    /// Numbers of its dispatches, in order.
    pub dispatches: SmallVec<[u64; 2]>,
    /// Endpoint of the last dispatch.
    pub target: Option<Target>,
    /// True while this lane counts it as holding a slot of that endpoint.
    #[serde(rename = "holding")]
    pub holds_slot: bool,
    /// For each part, whether the endpoint has acknowledged it.
    #[serde(skip)]
    pub acked_parts: Vec<bool>,
    /// Time of the last dispatch.
    #[serde(rename = "started")]
    pub dispatched_at: Duration,
    /// Time at which a packet was last sent to the endpoint.
    #[serde(rename = "sent")]
    pub last_sent: Duration,
    /// True if an earlier dispatch may have been executed.
    #[serde(rename = "tainted")]
    pub maybe_executed: bool,
}

impl Request {
    /// Creates a request for `packet` without any part.
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

    /// Returns the number of the last dispatch, zero before the first.
    #[must_use]
    pub fn last_dispatch(&self) -> u64 {
        self.dispatches.last().copied().unwrap_or(0)
    }

    /// Stores a part of the answer to a dispatch; returns false for a part that is already
    /// stored.
    ///
    /// Two dispatches of idempotent work may give two answers. Their parts are not mixed:
    /// only the answer to the latest dispatch is kept.
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

    /// True if it is answered or has ended without an answer.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        matches!(self.state, RequestState::Answered | RequestState::Ended(..))
    }
}

/// Requests by id and by dispatch number, and the queues of each service.
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
    /// Creates an empty table for the lane `home`.
    ///
    /// Dispatch numbers start at the incarnation, so that a restarted host never reuses
    /// one. The bits above it hold a hash of the lane's address and tell homes apart for
    /// callers, whose idempotent work may be answered through two homes.
    #[must_use]
    pub fn new(home: &Home) -> Self {
        let lane_hash = xxh3_64(home.addr.to_string().as_bytes());
        Self {
            rows: Slab::new(),
            index: HashMap::new(),
            dispatches: HashMap::new(),
            queues: HashMap::new(),
            due_times: BTreeSet::new(),
            sent_slots: Vec::new(),
            last_number: (lane_hash << INCARNATION_BITS) | home.incarnation,
            ended: EndedRequests::default(),
        }
    }

    /// Returns the table slot of a request.
    #[must_use]
    pub fn find(&self, id: &RequestId) -> Option<usize> {
        self.index.get(id).copied()
    }

    /// Returns the table slot of the request that a dispatch belongs to.
    #[must_use]
    pub fn by_dispatch(&self, dispatch: u64) -> Option<usize> {
        self.dispatches.get(&dispatch).copied()
    }

    /// Returns the request in a slot.
    #[must_use]
    pub fn row(&self, slot: usize) -> &Request {
        &self.rows[slot]
    }

    /// Returns the request in a slot, mutably.
    pub fn row_mut(&mut self, slot: usize) -> &mut Request {
        &mut self.rows[slot]
    }

    /// Adds a request, due at its deadline; returns its slot.
    pub fn insert(&mut self, request: Request) -> usize {
        let (id, deadline) = (request.id, request.deadline);
        let slot = self.rows.insert(request);
        self.index.insert(id, slot);
        self.due_times.insert((deadline, slot));
        slot
    }

    /// Removes a request and its dispatches; at-most-once work is recorded as ended.
    pub fn remove(&mut self, slot: usize, now: Duration) {
        self.unqueue(slot);
        let request = self.rows.remove(slot);
        self.index.remove(&request.id);
        if request.class.is_at_most_once() {
            self.ended.insert(&request.id, now);
        }
        for dispatch in &request.dispatches {
            self.dispatches.remove(dispatch);
        }
    }

    /// True for at-most-once work that has ended and whose row has been removed.
    #[must_use]
    pub fn has_ended(&self, id: &RequestId) -> bool {
        self.ended.contains(id)
    }

    /// Removes at-most-once work that ended longer ago than
    /// [`ENDED_RETENTION`](super::ENDED_RETENTION).
    pub fn expire_ended(&mut self, now: Duration) {
        self.ended.expire(now);
    }

    /// Adds a dispatch to a request; returns its number.
    pub fn add_dispatch(&mut self, slot: usize) -> u64 {
        self.last_number += 1;
        self.dispatches.insert(self.last_number, slot);
        self.rows[slot].dispatches.push(self.last_number);
        self.sent_slots.push(slot);
        self.last_number
    }

    /// Adds a request to the queue of its service and class, which is ordered by deadline.
    pub fn enqueue(&mut self, slot: usize) {
        let row = &mut self.rows[slot];
        row.state = RequestState::Queued;
        let queues = self.queues.entry(row.service).or_default();
        queues[row.class.index()].insert((row.deadline, slot));
    }

    /// Removes a request from its queue.
    pub fn unqueue(&mut self, slot: usize) {
        let row = &self.rows[slot];
        if let Some(queues) = self.queues.get_mut(&row.service) {
            queues[row.class.index()].remove(&(row.deadline, slot));
        }
    }

    /// Returns the services that have queued requests, in order of their ids.
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

    /// Iterates over the slots of the queued requests of a class, earliest deadline first.
    pub fn queued_slots(&self, service: Id, class: Class) -> impl Iterator<Item = usize> + '_ {
        self.queues
            .get(&service)
            .into_iter()
            .flat_map(move |queues| queues[class.index()].iter().map(|(_, slot)| *slot))
    }

    /// True if a service has queued requests.
    #[must_use]
    pub fn has_queued(&self, service: Id) -> bool {
        let queues = self.queues.get(&service);
        queues.is_some_and(|queues| queues.iter().any(|queue| !queue.is_empty()))
    }

    /// Returns the number of queued requests of a class.
    #[must_use]
    pub fn queue_len(&self, service: Id, class: Class) -> usize {
        self.queues
            .get(&service)
            .map_or(0, |queues| queues[class.index()].len())
    }

    /// True if a request of the flow is dispatched to an endpoint and not finished.
    #[must_use]
    pub fn has_sent(&self, flow: &FlowKey, endpoint: Id) -> bool {
        self.rows.iter().any(|(_, row)| {
            row.id.flow == *flow
                && row.state == RequestState::Sent
                && row.target.is_some_and(|target| target.endpoint == endpoint)
        })
    }

    /// Returns the slots of the requests that are dispatched and not finished.
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

    /// Removes and returns the slots that are due: at their deadline, or at the time given
    /// to [`Self::schedule`].
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

    /// Returns the number of requests that a caller may still wait for.
    #[must_use]
    pub fn in_flight(&self, now: Duration) -> usize {
        let is_awaited = |row: &Request| !row.is_finished() || now < row.deadline;
        self.rows.iter().filter(|(_, row)| is_awaited(row)).count()
    }

    /// Returns the number of rows, finished requests included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// True if the table has no rows.
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
