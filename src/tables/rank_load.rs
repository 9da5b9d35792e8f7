//! Requests in progress, and arrivals of requests, by the rank of their route.

use std::collections::HashMap;
use std::time::Duration;

use serde::Serialize;
use smallvec::SmallVec;

use super::demand::DecayingCount;
use super::held::ServiceLimit;
use crate::id::Id;

/// Time without an arrival after which nothing is expected of a rank.
const RANK_RETENTION: Duration = Duration::from_secs(1);

/// Numbers of requests in progress by rank.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct RankLoad {
    /// Ranks in ascending order, each with a number above zero.
    rows: SmallVec<[(u32, u32); 4]>,
}

impl RankLoad {
    /// True without requests.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the number of requests of all ranks.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.rows.iter().map(|row| row.1).sum()
    }

    /// Returns the number of requests of a rank.
    #[must_use]
    pub fn of_rank(&self, rank: u32) -> u32 {
        self.find(rank).map_or(0, |at| self.rows[at].1)
    }

    /// Iterates over the ranks with requests, the highest rank (lowest number) first.
    pub fn iter(&self) -> impl Iterator<Item = (u32, u32)> + '_ {
        self.rows.iter().copied()
    }

    /// Adds the requests of another one.
    pub(super) fn add_all(&mut self, other: &Self) {
        for (rank, count) in other.iter() {
            self.add(rank, count);
        }
    }

    /// Adds requests of a rank.
    pub(super) fn add(&mut self, rank: u32, count: u32) {
        match self.find(rank) {
            Ok(at) => self.rows[at].1 += count,
            Err(at) => self.rows.insert(at, (rank, count)),
        }
    }

    /// Removes a request of a rank; returns false if there was none.
    pub(super) fn remove(&mut self, rank: u32) -> bool {
        let Ok(at) = self.find(rank) else {
            return false;
        };
        self.rows[at].1 -= 1;
        if self.rows[at].1 == 0 {
            self.rows.remove(at);
        }
        true
    }

    fn find(&self, rank: u32) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&rank, |row| row.0)
    }
}

/// Arrivals of a rank at a service.
#[derive(Clone, Copy, Debug)]
struct RankArrivals {
    rank: u32,
    arrivals: DecayingCount,
    last_arrival: Duration,
    /// Requests that its arrivals keep in progress.
    expected: f64,
}

/// Arrivals of requests by service and rank.
#[derive(Clone, Debug, Default)]
pub struct RankDemand {
    /// Rows of each service in ascending order of their ranks.
    rows: HashMap<Id, SmallVec<[RankArrivals; 4]>>,
}

impl RankDemand {
    /// Counts a request that arrives.
    pub(super) fn note_arrival(&mut self, service: Id, rank: u32, now: Duration) {
        let rows = self.rows.entry(service).or_default();
        let at = rows.partition_point(|row| row.rank < rank);
        if rows.get(at).is_none_or(|row| row.rank != rank) {
            let row = RankArrivals {
                rank,
                arrivals: DecayingCount::default(),
                last_arrival: now,
                expected: 0.0,
            };
            rows.insert(at, row);
        }
        rows[at].arrivals.add(now);
        rows[at].last_arrival = now;
    }

    /// Updates the requests expected in progress: arrivals in a second times the answer time. The
    /// number is zero for a service without a measured answer time.
    pub(super) fn update(&mut self, limits: &HashMap<Id, ServiceLimit>, now: Duration) {
        self.rows.retain(|service, rows| {
            let answer_time = limits.get(service).map_or(0.0, |limit| limit.answer_time);
            rows.retain(|row| now < row.last_arrival + RANK_RETENTION);
            for row in rows.iter_mut() {
                row.expected = row.arrivals.rate(now) * answer_time;
            }
            !rows.is_empty() && limits.contains_key(service)
        });
    }

    /// Iterates over the ranks of a service with their requests expected in progress, the highest
    /// rank (lowest number) first.
    pub fn expected(&self, service: Id) -> impl Iterator<Item = (u32, f64)> + '_ {
        let rows = self.rows.get(&service).into_iter().flatten();
        rows.map(|row| (row.rank, row.expected))
    }
}
