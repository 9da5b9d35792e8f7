//! Requests that wait on this host until their service has capacity.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use serde::{Serialize, Serializer};

use super::rank_load::RankDemand;
use crate::id::Id;
use crate::segment::{FlowAddrs, RequestKind, Segment};

/// Number of groups of callers among which capacity is divided; a fixed number bounds the memory
/// whatever the number of callers.
const BUCKET_COUNT: usize = 64;

/// Time constant with which the counts of the buckets decay: a caller whose burst is over counts
/// like the others again soon.
const BUCKET_DECAY: Duration = Duration::from_secs(1);

/// Smallest count of a bucket that is in use.
const MIN_BUCKET_COUNT: f64 = 0.1;

/// Multiple of the mean count above which a bucket asks for more than its part.
const HEAVY_FACTOR: f64 = 4.0;

/// Time for which a refused opening counts as demand: its caller retries at once.
const RETRY_PERIOD: Duration = Duration::from_millis(500);

/// A waiting request, or a flow that waits to be opened.
#[derive(Clone, Debug)]
pub struct HeldRequest {
    /// Its first segment, as last received.
    pub segment: Segment,
    /// Service that it is addressed to.
    pub service: Id,
    /// Rank of its route; the lowest goes first.
    pub rank: u32,
    /// Whether it is idempotent.
    pub kind: RequestKind,
    /// Response time that its route aims for.
    pub target_latency: Duration,
    /// Time after which its caller gives up.
    pub timeout: Duration,
    /// Time of its first arrival.
    pub arrived: Duration,
    /// Bucket of its caller.
    pub bucket: usize,
}

/// A refused opening.
#[derive(Clone, Copy, Debug)]
pub struct Refusal {
    /// Time of the refusal.
    pub at: Duration,
    /// Service that it was addressed to.
    pub service: Id,
    /// Rank of its route.
    pub rank: u32,
    /// Bucket of its caller.
    pub bucket: usize,
}

/// How much of a service this lane may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ServiceLimit {
    /// Requests that it may have in progress.
    #[serde(rename = "room")]
    pub requests: f64,
    /// Slots that it may use.
    pub slots: f64,
    /// Mean time to answer a request in seconds; zero before the first measurement.
    #[serde(rename = "answer")]
    pub answer_time: f64,
}

/// Releases of a service so far.
#[derive(Clone, Debug, Default)]
pub struct ReleaseHistory {
    /// Number of requests released.
    pub count: u64,
    /// Number of those that were released beyond the limit, since their time was nearly over.
    pub overdue: u64,
    /// Time from which each rank has waited without a release.
    pub unserved_since: HashMap<u32, Duration>,
}

/// Waiting requests, and what the choice among them depends on.
#[derive(Clone, Debug, Default)]
pub struct HeldRequests {
    rows: BTreeMap<FlowAddrs, HeldRequest>,
    limits: HashMap<Id, ServiceLimit>,
    rank_demand: RankDemand,
    releases: HashMap<Id, ReleaseHistory>,
    callers: CallerBuckets,
    /// Openings refused within [`RETRY_PERIOD`] whose callers have not retried yet.
    refusals: VecDeque<Refusal>,
    /// Time at which the waiting requests were last checked for refusal.
    pub last_check: Duration,
}

impl HeldRequests {
    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// True if no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the request that waits on a flow.
    #[must_use]
    pub fn get(&self, addrs: &FlowAddrs) -> Option<&HeldRequest> {
        self.rows.get(addrs)
    }

    /// Adds a waiting request; a retransmission replaces the segment and keeps the time of
    /// the first arrival.
    pub fn put(&mut self, mut waiting: HeldRequest) {
        let addrs = waiting.segment.addrs;
        if let Some(earlier) = self.rows.get(&addrs) {
            waiting.arrived = earlier.arrived;
        }
        let history = self.releases.entry(waiting.service).or_default();
        let since = history.unserved_since.entry(waiting.rank);
        since.or_insert(waiting.arrived);
        self.rows.insert(addrs, waiting);
    }

    /// Removes the request that waits on a flow.
    pub fn remove(&mut self, addrs: &FlowAddrs) -> Option<HeldRequest> {
        self.rows.remove(addrs)
    }

    /// Iterates over the waiting requests.
    pub fn iter(&self) -> impl Iterator<Item = &HeldRequest> + '_ {
        self.rows.values()
    }

    /// Removes and returns all requests, the oldest first.
    pub fn take_all(&mut self) -> Vec<HeldRequest> {
        let mut all: Vec<_> = std::mem::take(&mut self.rows).into_values().collect();
        all.sort_by_key(|waiting| waiting.arrived);
        all
    }

    /// Returns how much of a service this lane may use, if known.
    #[must_use]
    pub fn limit(&self, service: Id) -> Option<ServiceLimit> {
        self.limits.get(&service).copied()
    }

    /// Replaces the limits of all services, and updates what is expected of each rank.
    pub fn set_limits(
        &mut self,
        limits: impl IntoIterator<Item = (Id, ServiceLimit)>,
        now: Duration,
    ) {
        self.limits.clear();
        self.limits.extend(limits);
        self.rank_demand.update(&self.limits, now);
    }

    /// Counts a request of a rank that arrives.
    pub fn note_arrival(&mut self, service: Id, rank: u32, now: Duration) {
        self.rank_demand.note_arrival(service, rank, now);
    }

    /// Returns the arrivals by service and rank.
    #[must_use]
    pub fn rank_demand(&self) -> &RankDemand {
        &self.rank_demand
    }

    /// Returns true if a request of a higher rank than `rank` waits for a service.
    #[must_use]
    pub fn has_higher(&self, service: Id, rank: u32) -> bool {
        let mut rows = self.rows.values();
        rows.any(|row| row.service == service && row.rank < rank)
    }

    /// Returns the releases of a service so far.
    #[must_use]
    pub fn releases(&self, service: Id) -> Option<&ReleaseHistory> {
        self.releases.get(&service)
    }

    /// Records that a request was released, after it was removed.
    pub fn note_release(&mut self, service: Id, rank: u32, is_overdue: bool, now: Duration) {
        let mut rows = self.rows.values();
        let others_wait = rows.any(|row| row.service == service && row.rank == rank);
        let history = self.releases.entry(service).or_default();
        history.count += 1;
        history.overdue += u64::from(is_overdue);
        if others_wait {
            history.unserved_since.insert(rank, now);
        } else {
            history.unserved_since.remove(&rank);
        }
    }

    /// Records that an opening was refused.
    pub fn note_refusal(&mut self, refusal: Refusal) {
        self.refusals.push_back(refusal);
    }

    /// Forgets the refusals whose callers have not retried in time.
    pub fn forget_refusals(&mut self, now: Duration) {
        while let Some(first) = self.refusals.front()
            && now >= first.at + RETRY_PERIOD
        {
            self.refusals.pop_front();
        }
    }

    /// Iterates over the lately refused openings of a service whose callers are expected to retry.
    pub fn refusals(&self, service: Id) -> impl Iterator<Item = &Refusal> + '_ {
        let refusals = self.refusals.iter();
        refusals.filter(move |refusal| refusal.service == service)
    }

    /// Counts a new request of a caller; returns the bucket of the caller.
    pub fn note_caller(&mut self, addrs: &FlowAddrs, now: Duration) -> usize {
        let bucket = bucket_of(addrs);
        // The request of a refused caller is its retry, so the refusal is not expected any more.
        let refused = self.refusals.iter().position(|row| row.bucket == bucket);
        refused.and_then(|at| self.refusals.remove(at));
        self.callers.decay(now);
        self.callers.counts[bucket] += 1.0;
        self.callers.heavy_above = HEAVY_FACTOR * self.callers.mean();
        bucket
    }

    /// Returns true if the callers of a bucket ask for more than their part.
    #[must_use]
    pub fn is_heavy(&self, bucket: usize) -> bool {
        let count = self.callers.counts.get(bucket);
        count.is_some_and(|count| *count > self.callers.heavy_above)
    }
}

impl Serialize for HeldRequests {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let rows = self.rows.values();
        serializer.collect_seq(rows.map(|row| (row.arrived, row.segment.addrs, row.rank)))
    }
}

/// Decaying counts of requests by caller address.
#[derive(Clone, Debug)]
struct CallerBuckets {
    counts: [f64; BUCKET_COUNT],
    last_decay: Duration,
    /// Count above which a bucket asks for more than its part.
    heavy_above: f64,
}

impl Default for CallerBuckets {
    fn default() -> Self {
        Self {
            counts: [0.0; BUCKET_COUNT],
            last_decay: Duration::ZERO,
            heavy_above: 0.0,
        }
    }
}

impl CallerBuckets {
    fn decay(&mut self, now: Duration) {
        let age = now.saturating_sub(self.last_decay).as_secs_f64();
        let factor = (-age / BUCKET_DECAY.as_secs_f64()).exp();
        for count in &mut self.counts {
            *count *= factor;
        }
        self.last_decay = now;
    }

    /// Returns the mean count of the buckets in use.
    fn mean(&self) -> f64 {
        let used = self
            .counts
            .iter()
            .filter(|count| **count > MIN_BUCKET_COUNT);
        let (count, sum) = used.fold((0_u32, 0.0), |(count, sum), one| (count + 1, sum + one));
        sum / f64::from(count.max(1))
    }
}

/// Returns the bucket of a caller, which depends on its address and not on its port.
fn bucket_of(addrs: &FlowAddrs) -> usize {
    let hash = Id::of(&addrs.caller.ip().to_string()).0;
    // The remainder is below the number of buckets.
    usize::try_from(hash % BUCKET_COUNT as u64).unwrap_or_default()
}
