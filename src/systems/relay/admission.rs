//! Decides which waiting request goes next, and which opening is refused.
//!
//! The functions are pure: they take rows, limits, measured times and `now`, and change nothing.
//!
//! A refusal is due when the requests ahead, the capacity and the measured answer time show that
//! a request cannot be answered before its caller gives up. Without a measured answer time
//! nothing is refused.

use std::cmp::Reverse;
use std::time::Duration;

use smallvec::SmallVec;

use super::rank_limits::{RankShare, Room};
use crate::id::Id;
use crate::segment::{FlowAddrs, RequestKind, Segment};
use crate::tables::{HeldRequest, HeldRequests, ServiceLimit};

/// Time after which a caller abandons an opening without an answer.
pub(super) const MAX_OPENING_TIME: Duration = Duration::from_millis(1_400);

/// Times at which callers send copies of an opening, after the first transmission.
const COPY_TIMES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];

/// Time before the deadline of a request on an open flow at which it is passed on, in addition
/// to its answer time: the longest time between two ticks.
const RELEASE_MARGIN: Duration = Duration::from_millis(50);

/// Every release of this number goes to a rank that has been passed over.
const AGING_INTERVAL: u64 = 8;

/// [`AGING_INTERVAL`] as a number of requests.
const AGING_FACTOR: usize = 8;

/// Order of the waiting requests of a service; lower keys go first.
pub(super) type OrderKey = (u32, bool, bool, bool, Reverse<Duration>, FlowAddrs);

/// Why a request cannot be answered in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Shortage {
    /// Requests that go before it, with refused ones whose callers retry.
    pub(super) ahead: usize,
    /// Capacity that each of them takes, in seconds.
    pub(super) seconds_each: f64,
}

/// Number of waiting requests that go before one.
#[derive(Clone, Copy, Debug, Default)]
struct Ahead {
    all: usize,
    /// Those of the same rank.
    of_rank: usize,
}

/// Numbers of expected retries, by rank and by whether their callers ask for more than their part.
type Retries = SmallVec<[((u32, bool), usize); 8]>;

/// Returns the position of a request in the order of release.
pub(super) fn order_key(
    held: &HeldRequests,
    waiting: &HeldRequest,
    limit: ServiceLimit,
    now: Duration,
) -> OrderKey {
    let answered_after = now.saturating_sub(waiting.arrived).as_secs_f64() + limit.answer_time;
    (
        waiting.rank,
        answered_after > waiting.target_latency.as_secs_f64(),
        held.is_heavy(waiting.bucket),
        waiting.kind == RequestKind::Idempotent,
        Reverse(waiting.arrived),
        waiting.segment.addrs,
    )
}

/// Returns the flow of the waiting request to release next, among those for which `room_of`
/// returns [`Room::Free`]; a rank whose turn it is because it was passed over may also use
/// [`Room::InTurn`].
pub(super) fn next_release(
    held: &HeldRequests,
    room_of: impl Fn(&HeldRequest) -> Room,
    now: Duration,
) -> Option<FlowAddrs> {
    let key = |waiting: &&HeldRequest| {
        let limit = held.limit(waiting.service).unwrap_or_default();
        order_key(held, waiting, limit, now)
    };
    let first = held
        .iter()
        .filter(|waiting| room_of(waiting) == Room::Free)
        .min_by_key(key)?;
    let starved = starved_rank(held, first.service, now);
    let chosen = held
        .iter()
        .filter(|waiting| waiting.service == first.service && Some(waiting.rank) == starved)
        .filter(|waiting| room_of(waiting) != Room::None)
        .min_by_key(key)
        .unwrap_or(first);
    Some(chosen.segment.addrs)
}

/// Returns the flow of a request on an open flow that has waited for almost all of its time. It
/// is passed on whatever the limit, because an open flow is not reset to save capacity.
///
/// At most one of [`AGING_INTERVAL`] releases is such a request: its answer comes late at best, and
/// more of them would take the capacity from requests that can still be answered in time.
pub(super) fn next_overdue(held: &HeldRequests, now: Duration) -> Option<FlowAddrs> {
    let is_overdue = |waiting: &&HeldRequest| {
        let limit = held.limit(waiting.service).unwrap_or_default();
        let answer_time = Duration::from_secs_f64(limit.answer_time);
        let history = held.releases(waiting.service);
        let may_pass =
            history.is_none_or(|history| history.overdue * AGING_INTERVAL <= history.count);
        let is_late = now + answer_time + RELEASE_MARGIN >= give_up_time(waiting);
        !waiting.segment.is_opening() && may_pass && is_late
    };
    let overdue = held.iter().filter(is_overdue);
    let overdue = overdue.min_by_key(|waiting| waiting.rank)?;
    Some(overdue.segment.addrs)
}

/// Returns the waiting openings that cannot be answered in time, with the reason.
pub(super) fn due_refusals(
    held: &HeldRequests,
    share_of: impl Fn(Id, u32) -> RankShare,
    now: Duration,
) -> Vec<(FlowAddrs, Shortage)> {
    let mut rows: Vec<(OrderKey, &HeldRequest, ServiceLimit)> = held
        .iter()
        .filter_map(|waiting| {
            let limit = held.limit(waiting.service)?;
            Some((order_key(held, waiting, limit, now), waiting, limit))
        })
        .collect();
    rows.sort_unstable_by_key(|row| (row.1.service, row.0));
    let mut due = Vec::new();
    let mut ahead = Ahead::default();
    let mut retries = Retries::new();
    let mut share = RankShare::default();
    let mut last: Option<&HeldRequest> = None;
    for (_, waiting, limit) in rows {
        if last.is_none_or(|last| last.service != waiting.service) {
            ahead = Ahead::default();
            retries = expected_retries(held, waiting.service);
        }
        if last.is_none_or(|last| (last.service, last.rank) != (waiting.service, waiting.rank)) {
            ahead.of_rank = 0;
            share = share_of(waiting.service, waiting.rank);
        }
        last = Some(waiting);
        let shortage = find_shortage(held, waiting, ahead, &retries, limit, share, now);
        if let Some(shortage) = shortage.filter(|_| waiting.segment.is_opening()) {
            due.push((waiting.segment.addrs, shortage));
        } else {
            ahead.all += 1;
            ahead.of_rank += 1;
        }
    }
    due
}

/// Returns why an arriving request cannot be answered in time, or `None` if it can.
pub(super) fn arrival_shortage(
    held: &HeldRequests,
    arriving: &HeldRequest,
    share: RankShare,
    now: Duration,
) -> Option<Shortage> {
    let limit = held.limit(arriving.service)?;
    let own_key = order_key(held, arriving, limit, now);
    let retries = expected_retries(held, arriving.service);
    let mut ahead = Ahead::default();
    for row in held.iter().filter(|row| row.service == arriving.service) {
        if order_key(held, row, limit, now) < own_key {
            ahead.all += 1;
            ahead.of_rank += usize::from(row.rank == arriving.rank);
        }
    }
    find_shortage(held, arriving, ahead, &retries, limit, share, now)
}

/// Returns how long ago the first copy of a segment was sent, as far as its count of copies
/// tells.
pub(super) fn age_of(segment: &Segment) -> Duration {
    let copies = usize::try_from(segment.ack).unwrap_or(usize::MAX);
    match copies {
        0 => Duration::ZERO,
        _ if !segment.is_opening() => Duration::ZERO,
        _ => COPY_TIMES[copies.min(COPY_TIMES.len()) - 1],
    }
}

/// Returns the time at which the caller of a waiting request gives up.
pub(super) fn give_up_time(waiting: &HeldRequest) -> Duration {
    if waiting.segment.is_opening() {
        waiting.arrived + waiting.timeout.min(MAX_OPENING_TIME)
    } else {
        waiting.arrived + waiting.timeout
    }
}

/// Counts the refused openings of a service whose callers are expected to retry.
fn expected_retries(held: &HeldRequests, service: Id) -> Retries {
    let mut retries = Retries::new();
    for refusal in held.refusals(service) {
        let class = (refusal.rank, held.is_heavy(refusal.bucket));
        match retries.iter_mut().find(|row| row.0 == class) {
            Some(row) => row.1 += 1,
            None => retries.push((class, 1)),
        }
    }
    retries
}

/// Returns the reason why a request with `ahead` requests before it cannot be answered in time.
///
/// Refused openings whose callers are expected to retry count as well, unless they would go after it.
/// The time left is counted to the answer for the whole request, and to the release for the
/// opening, which an endpoint answers at once.
fn find_shortage(
    held: &HeldRequests,
    waiting: &HeldRequest,
    mut ahead: Ahead,
    retries: &Retries,
    limit: ServiceLimit,
    share: RankShare,
    now: Duration,
) -> Option<Shortage> {
    if limit.answer_time <= 0.0 {
        return None;
    }
    let next_of_rank = ahead.of_rank == 0;
    let own_class = (waiting.rank, held.is_heavy(waiting.bucket));
    for (class, count) in retries {
        if *class <= own_class {
            ahead.all += count;
            ahead.of_rank += if class.0 == waiting.rank { *count } else { 0 };
        }
    }
    // A rank that is passed over gets every eighth release. The next waiting request of the rank
    // takes it, whatever refused callers do: if all were refused, the rank would get nothing.
    let is_passed_over = ahead.all > ahead.of_rank || share.requests < limit.requests;
    let of_rank = if next_of_rank && is_passed_over {
        0
    } else {
        ahead.of_rank
    };
    let aged = (of_rank + 1) * AGING_FACTOR - 1;
    let in_order = (ahead.all, limit.answer_time / share.requests.max(1.0));
    let in_turn = (aged, limit.answer_time / limit.requests.max(1.0));
    // Far below 2^52.
    #[allow(clippy::cast_precision_loss)]
    let time_of = |(ahead, seconds_each): (usize, f64)| ahead as f64 * seconds_each;
    let (ahead, seconds_each) = if time_of(in_turn) < time_of(in_order) {
        in_turn
    } else {
        in_order
    };
    let wait = time_of((ahead, seconds_each)) + share.excess * in_turn.1;
    let opening_left = give_up_time(waiting).saturating_sub(now).as_secs_f64();
    let answer_left = (waiting.arrived + waiting.timeout).saturating_sub(now);
    let is_late = wait >= opening_left || wait + limit.answer_time > answer_left.as_secs_f64();
    is_late.then_some(Shortage {
        ahead,
        seconds_each,
    })
}

/// Returns the rank whose turn it is at every [`AGING_INTERVAL`]th release: the one that has got
/// nothing for the longest time, if that is longer than its target latency.
fn starved_rank(held: &HeldRequests, service: Id, now: Duration) -> Option<u32> {
    let history = held.releases(service)?;
    if history.count % AGING_INTERVAL != AGING_INTERVAL - 1 {
        return None;
    }
    let since = |waiting: &HeldRequest| history.unserved_since.get(&waiting.rank).copied();
    held.iter()
        .filter(|waiting| waiting.service == service)
        .filter(|waiting| since(waiting).is_some_and(|at| now >= at + waiting.target_latency))
        .min_by_key(|waiting| (since(waiting), waiting.rank))
        .map(|waiting| waiting.rank)
}
