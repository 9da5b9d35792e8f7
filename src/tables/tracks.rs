//! Flows whose segments pass through this lane.
//!
//! A row holds observations, not state that a flow depends on: a host without the row
//! forwards the flow's segments by their cookie in the same way.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

use serde::{Serialize, Serializer};
use smallvec::SmallVec;

use crate::id::Id;
use crate::segment::{FlowAddrs, Segment, is_seq_after, seq_distance};

/// Time without a segment after which a row is removed; endpoints close flows that are
/// idle for longer.
const IDLE_RETENTION: Duration = Duration::from_secs(20);

/// Most rows examined in one timer tick.
const MAX_SWEPT: usize = 64;

/// Time after the last segment for which a lane counts as active: routers move flows to
/// another host after two missed probes, which are 500 ms apart.
const ACTIVE_TIME: Duration = Duration::from_millis(1_200);

/// Time from an opening to its last copy, after which its caller abandons it.
const MAX_OPENING_TIME: Duration = Duration::from_millis(1_400);

/// Largest difference between a sequence number of a flow and the last one that this lane saw of
/// it: much more data than a flow carries while it passes through other hosts. The sequence
/// numbers of another flow are random, and within this distance once in 2,000 times.
const MAX_SEQ_DISTANCE: u32 = 1 << 20;

/// State of a flow, as seen from its caller's segments.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub enum TrackedState {
    /// The caller has sent an opening segment.
    Opening,
    /// The caller has acknowledged the endpoint.
    Open,
    /// The caller has closed its direction.
    Closing,
}

/// A flow, as observed by this lane.
#[derive(Clone, Debug, Serialize)]
pub struct TrackedFlow {
    /// Addresses of the caller and of the service.
    #[serde(rename = "ends")]
    pub addrs: FlowAddrs,
    /// Endpoint that its segments go to.
    pub endpoint: Id,
    /// State of the flow.
    pub state: TrackedState,
    /// Sequence number of the opening segment, if this lane has seen it.
    #[serde(rename = "start")]
    pub initial_seq: Option<u32>,
    /// Other endpoints that got a copy of its opening.
    #[serde(rename = "tried")]
    pub tried_endpoints: SmallVec<[Id; 2]>,
    /// Time of the first segment.
    #[serde(rename = "since")]
    pub first_seen: Duration,
    /// Time of the last segment.
    #[serde(rename = "heard")]
    pub last_heard: Duration,
    /// Sequence number after the last byte that the caller sent.
    #[serde(rename = "sent")]
    pub next_seq: u32,
    /// Time at which `next_seq` last changed.
    #[serde(rename = "moved")]
    pub last_advance: Duration,
    /// Sequence number that the caller last acknowledged.
    #[serde(rename = "acked")]
    pub acked_seq: u32,
    /// Time of the first data that is not answered yet.
    #[serde(rename = "asked")]
    pub unanswered_since: Option<Duration>,
    /// Data segments sent since `unanswered_since`.
    #[serde(rename = "flight")]
    pub unanswered_segments: u32,
    /// Retransmissions of data since `unanswered_since`.
    #[serde(rename = "repeats")]
    pub retransmissions: u32,
    /// Time of the last retransmission.
    #[serde(rename = "repeated")]
    pub last_retransmission: Duration,
    /// True while it counts as load on its endpoint.
    #[serde(rename = "loaded")]
    pub counts_load: bool,
    /// Rank of its route when it began to count as load.
    #[serde(rename = "rank")]
    pub load_rank: u32,
    /// Its pending request, until the result of it is recorded.
    pub watched: Option<WatchedRequest>,
    /// Time at which its last request was sent, if that counts as answered without a sign of it.
    #[serde(rename = "assumed")]
    pub assumed_request: Option<Duration>,
}

/// A request whose result is not known yet.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct WatchedRequest {
    /// Time at which the last new data of it was sent.
    #[serde(rename = "sent")]
    pub sent_at: Duration,
    /// Time at which it is overdue; set when it is retransmitted.
    #[serde(rename = "due")]
    pub overdue_at: Option<Duration>,
}

impl TrackedFlow {
    /// Creates a row for a flow whose first observed segment is `segment`.
    #[must_use]
    pub fn new(segment: &Segment, endpoint: Id, now: Duration) -> Self {
        let opening = segment.is_opening();
        Self {
            addrs: segment.addrs,
            endpoint,
            state: if opening {
                TrackedState::Opening
            } else {
                TrackedState::Open
            },
            initial_seq: opening.then_some(segment.seq),
            tried_endpoints: SmallVec::new(),
            first_seen: now,
            last_heard: now,
            next_seq: segment.seq,
            last_advance: now,
            acked_seq: segment.ack,
            unanswered_since: None,
            unanswered_segments: 0,
            retransmissions: 0,
            last_retransmission: now,
            counts_load: false,
            load_rank: 0,
            watched: None,
            assumed_request: None,
        }
    }

    /// Returns true if an opening segment is a copy of the one that opened this flow.
    #[must_use]
    pub fn is_opened_by(&self, segment: &Segment, now: Duration) -> bool {
        self.initial_seq == Some(segment.seq)
            && self.state != TrackedState::Closing
            && now < self.first_seen + MAX_OPENING_TIME
    }

    /// Returns true if a segment may belong to this flow, and false if its sequence numbers show
    /// that it belongs to a later flow between the same addresses.
    fn may_include(&self, segment: &Segment) -> bool {
        if seq_distance(segment.seq, self.next_seq) > MAX_SEQ_DISTANCE {
            return false;
        }
        match self.state {
            // The endpoint's sequence numbers are not known yet.
            TrackedState::Opening => true,
            TrackedState::Open => self.may_acknowledge(segment.ack),
            TrackedState::Closing => {
                let after_fin = self.next_seq.wrapping_add(1);
                !is_seq_after(segment.end_seq(), after_fin) && self.may_acknowledge(segment.ack)
            }
        }
    }

    fn may_acknowledge(&self, seq: u32) -> bool {
        seq_distance(seq, self.acked_seq) <= MAX_SEQ_DISTANCE
    }
}

/// Observed flows by their addresses.
#[derive(Debug, Default)]
pub struct TrackedFlows {
    rows: HashMap<FlowAddrs, TrackedFlow>,
    by_age: VecDeque<(Duration, FlowAddrs)>,
    scheduled_checks: BinaryHeap<Reverse<(Duration, FlowAddrs)>>,
    last_segment: Option<Duration>,
}

impl TrackedFlows {
    /// Number of flows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// True without flows.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the flow between these addresses.
    #[must_use]
    pub fn get(&self, addrs: &FlowAddrs) -> Option<&TrackedFlow> {
        self.rows.get(addrs)
    }

    /// Returns the flow that a segment other than an opening one belongs to. A row of an earlier
    /// flow between the same addresses says nothing about the segment.
    #[must_use]
    pub fn of_segment(&self, segment: &Segment) -> Option<&TrackedFlow> {
        self.get(&segment.addrs)
            .filter(|flow| flow.may_include(segment))
    }

    /// Adds or replaces a flow; returns the one that was replaced.
    pub fn insert(&mut self, flow: TrackedFlow) -> Option<TrackedFlow> {
        if !self.rows.contains_key(&flow.addrs) {
            self.by_age.push_back((flow.first_seen, flow.addrs));
        }
        self.rows.insert(flow.addrs, flow)
    }

    /// Removes and returns a flow.
    pub fn remove(&mut self, addrs: &FlowAddrs) -> Option<TrackedFlow> {
        self.rows.remove(addrs)
    }

    /// Schedules a check of a flow at the time `due`.
    pub fn schedule_check(&mut self, addrs: FlowAddrs, due: Duration) {
        self.scheduled_checks.push(Reverse((due, addrs)));
    }

    /// Removes and returns the flows whose check is due.
    pub fn take_due(&mut self, now: Duration) -> Vec<FlowAddrs> {
        let mut due = Vec::new();
        while let Some(Reverse((at, addrs))) = self.scheduled_checks.peek().copied() {
            if at > now {
                break;
            }
            self.scheduled_checks.pop();
            due.push(addrs);
        }
        due
    }

    /// Iterates over all flows.
    pub fn iter(&self) -> impl Iterator<Item = &TrackedFlow> + '_ {
        self.rows.values()
    }

    /// Removes and returns flows without a segment for a long time; examines a limited
    /// number of rows.
    pub fn expire(&mut self, now: Duration) -> Vec<TrackedFlow> {
        let mut expired = Vec::new();
        for _ in 0..MAX_SWEPT.min(self.by_age.len()) {
            let Some((heard_at, addrs)) = self.by_age.front().copied() else {
                break;
            };
            if now < heard_at + IDLE_RETENTION {
                break;
            }
            self.by_age.pop_front();
            match self.rows.get(&addrs).map(|flow| flow.last_heard) {
                Some(at) if now < at + IDLE_RETENTION => self.by_age.push_back((at, addrs)),
                Some(_) => expired.extend(self.rows.remove(&addrs)),
                None => {}
            }
        }
        expired
    }

    /// Records that a segment has arrived.
    pub fn note_segment(&mut self, now: Duration) {
        self.last_segment = Some(now);
    }

    /// True if a segment has arrived lately.
    #[must_use]
    pub fn is_active(&self, now: Duration) -> bool {
        self.last_segment
            .is_some_and(|heard| now < heard + ACTIVE_TIME)
    }
}

impl Serialize for TrackedFlows {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self.rows.values())
    }
}
