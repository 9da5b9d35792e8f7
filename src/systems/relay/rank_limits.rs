//! Divides a service's limit of requests in progress among the ranks of its requests.
//!
//! Without this division, requests of low rank that are in progress would block openings of high
//! rank for an answer time or more. A rank therefore competes with its own requests and those of
//! higher ranks only, and the requests that the arrivals of higher ranks will need are kept free.
//! The requests of all ranks together may exceed the limit by one for each slot that this host may
//! use, which leaves room in the endpoints' queues. With a single rank the limit holds as it is.

use smallvec::SmallVec;

use crate::id::Id;
use crate::tables::{RankLoad, ServiceLimit, Tables};

/// Largest part of the limit that is kept free for higher ranks. The rest is the part of a rank
/// that is passed over: every eighth release.
const MAX_RESERVED_SHARE: f64 = 7.0 / 8.0;

/// Whether a request of a rank may start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Room {
    /// It has to wait.
    None,
    /// It may start if it is the turn of its rank because that was passed over.
    InTurn,
    /// It may start.
    Free,
}

/// Requests in progress at a service as a rank sees them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct RankUse {
    /// Part of the limit that higher ranks use or that is kept free for them, in requests.
    pub(super) taken: f64,
    /// The smallest such part while the higher ranks use nothing.
    pub(super) reserved: f64,
    /// Requests of the rank.
    pub(super) own: u32,
    /// Requests of all ranks.
    pub(super) total: u32,
}

/// What the waiting requests of a rank can count on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct RankShare {
    /// Requests of the rank and of waiting ones of higher ranks that may be in progress.
    pub(super) requests: f64,
    /// Requests in progress that have to end before one of the rank may start.
    pub(super) excess: f64,
}

/// Room of each rank with waiting requests.
pub(super) struct Rooms(SmallVec<[(Id, u32, Room); 4]>);

impl Rooms {
    /// Returns the room of a rank at a service.
    pub(super) fn of(&self, service: Id, rank: u32) -> Room {
        let mut rows = self.0.iter();
        let row = rows.find(|row| (row.0, row.1) == (service, rank));
        row.map_or(Room::None, |row| row.2)
    }
}

/// Returns the room of each rank with waiting requests.
pub(super) fn rooms(tables: &Tables) -> Rooms {
    let mut rooms = Rooms(SmallVec::new());
    for waiting in tables.held_requests.iter() {
        let (service, rank) = (waiting.service, waiting.rank);
        let is_known = rooms.0.iter().any(|row| (row.0, row.1) == (service, rank));
        if !is_known {
            rooms.0.push((service, rank, room(tables, service, rank)));
        }
    }
    rooms
}

/// Returns whether a request of a rank may start at a service.
pub(super) fn room(tables: &Tables, service: Id, rank: u32) -> Room {
    let Some(limit) = tables.held_requests.limit(service) else {
        return Room::Free;
    };
    room_for(limit, usage(tables, service, rank))
}

/// Returns what the waiting requests of a rank can count on at a service.
pub(super) fn share(tables: &Tables, service: Id, rank: u32) -> RankShare {
    let limit = tables.held_requests.limit(service).unwrap_or_default();
    share_for(limit, usage(tables, service, rank))
}

/// Returns the requests in progress at a service as a rank sees them.
pub(super) fn usage(tables: &Tables, service: Id, rank: u32) -> RankUse {
    let limit = tables.held_requests.limit(service).unwrap_or_default();
    let expected = tables.held_requests.rank_demand().expected(service);
    let load = tables.endpoints.rank_load(service);
    usage_for(limit, load.unwrap_or(&RankLoad::default()), expected, rank)
}

/// Returns the requests in progress as a rank sees them; `expected` are the requests that the
/// arrivals of each rank keep in progress.
fn usage_for(
    limit: ServiceLimit,
    load: &RankLoad,
    expected: impl Iterator<Item = (u32, f64)>,
    rank: u32,
) -> RankUse {
    let used = load.iter().map(|(rank, count)| (rank, count, 0.0));
    let expected = expected.map(|(rank, count)| (rank, 0, count));
    let mut higher: SmallVec<[(u32, u32, f64); 8]> =
        used.chain(expected).filter(|row| row.0 < rank).collect();
    higher.sort_unstable_by_key(|row| row.0);
    let (mut taken, mut reserved) = (0.0_f64, 0.0_f64);
    // What is kept free for a rank counts only as far as the ranks above it and the rank itself do
    // not use it, so that no rank has room while a higher one has none.
    for rows in higher.chunk_by(|a, b| a.0 == b.0) {
        let in_use: u32 = rows.iter().map(|row| row.1).sum();
        let expected: f64 = rows.iter().map(|row| row.2).sum();
        reserved = (reserved + expected).min(limit.requests * MAX_RESERVED_SHARE);
        taken = (taken + f64::from(in_use)).max(reserved);
    }
    RankUse {
        taken,
        reserved,
        own: load.of_rank(rank),
        total: load.total(),
    }
}

/// Returns whether a request of a rank may start.
fn room_for(limit: ServiceLimit, used: RankUse) -> Room {
    let total = f64::from(used.total);
    let own = f64::from(used.own);
    // Only a whole request may exceed the limit: the hosts of a large group have less than a slot
    // each, and one more request of each would fill the queues.
    if total >= limit.requests && total + 1.0 > limit.requests + limit.slots {
        Room::None
    } else if used.taken + own < limit.requests {
        Room::Free
    } else if own < (limit.requests * (1.0 - MAX_RESERVED_SHARE)).max(1.0) {
        Room::InTurn
    } else {
        Room::None
    }
}

/// Returns what the waiting requests of a rank can count on.
fn share_for(limit: ServiceLimit, used: RankUse) -> RankShare {
    let excess = used.taken + f64::from(used.own) - limit.requests;
    RankShare {
        requests: limit.requests - used.reserved,
        // Without higher ranks the limit alone decides, as a lower limit takes effect at once.
        excess: excess.max(0.0).min(used.taken),
    }
}
