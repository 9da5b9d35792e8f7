//! Ended requests whose rows have been removed.
//!
//! Only a hash of each is kept, so that a packet that was delayed in a paused process is
//! recognized as at-most-once work that was accepted before. If the hashes of two requests
//! collide, one of them gets no answer; none is executed twice.

use std::collections::{HashSet, VecDeque};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::RequestId;

/// Time for which the hash of an ended request is kept.
pub const ENDED_RETENTION: Duration = Duration::from_mins(10);

/// Hashes of ended requests, the oldest first.
#[derive(Debug, Default)]
pub(super) struct EndedRequests {
    hashes: HashSet<u64>,
    order: VecDeque<(Duration, u64)>,
}

impl EndedRequests {
    /// True if the request ended within the last [`ENDED_RETENTION`].
    pub(super) fn contains(&self, id: &RequestId) -> bool {
        self.hashes.contains(&hash(id))
    }

    /// Adds a request that ended.
    pub(super) fn insert(&mut self, id: &RequestId, now: Duration) {
        let hash = hash(id);
        if self.hashes.insert(hash) {
            self.order.push_back((now + ENDED_RETENTION, hash));
        }
    }

    /// Removes the requests that ended longer ago than [`ENDED_RETENTION`].
    pub(super) fn expire(&mut self, now: Duration) {
        while let Some((until, hash)) = self.order.front().copied() {
            if now < until {
                return;
            }
            self.order.pop_front();
            self.hashes.remove(&hash);
        }
    }
}

fn hash(id: &RequestId) -> u64 {
    xxh3_64_with_seed(&id.number.to_le_bytes(), id.flow.hash())
}
