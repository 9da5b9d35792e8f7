//! Requests that ended so long ago that their records are gone.
//!
//! Only a hash of each is kept, so that a packet which waited in a paused process
//! finds that its once-only work was taken before. A clash of two hashes costs a
//! request its answer and never runs one twice.

use std::collections::{HashSet, VecDeque};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::RequestId;

/// Time for which an ended request is known.
pub const ENDED_RETENTION: Duration = Duration::from_mins(10);

/// Hashes of ended requests, the oldest first.
#[derive(Debug, Default)]
pub(super) struct EndedRequests {
    hashes: HashSet<u64>,
    order: VecDeque<(Duration, u64)>,
}

impl EndedRequests {
    /// True if the request ended within [`ENDED_RETENTION`].
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

    /// Forgets the requests that ended too long ago.
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
