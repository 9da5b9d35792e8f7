//! The lease: the right to dispatch once-only work of callers without a ticket.
//!
//! Hosts acknowledge each other's heartbeats with a digest of their view, which
//! covers the live hosts and the roster. A host holds the lease while a majority
//! of the roster, itself included, has held its view for the hold time and has
//! acknowledged a heartbeat that it sent within the lease time.
//!
//! Two hosts never hold leases of different views within the time that matters.
//! Majorities of one roster share a host. That host acknowledged the one view,
//! left it, and held the other for the hold time before its acknowledgement
//! counted there. Leases of the first view had run out a lease time after it left,
//! and what was dispatched under them was past its deadline when the hold time
//! ended. Within one view every flow has one home.
//!
//! A roster that changes counts together with the one agreed on before, so that
//! majorities before and after share a host too. Not covered: a list that replaces
//! a majority of the hosts while those run on, cut off, and all hosts that knew
//! the earlier list have restarted; and clocks that run at different rates.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::message::{Roster, Vote};
use super::tables::{Member, Tables};
use crate::id::{Id, Incarnation};

/// Longest deadline of once-only work.
pub const ONCE_DEADLINE: Duration = Duration::from_secs(3);

/// Longest time that the network holds a packet.
pub const PACKET_LIFE: Duration = Duration::from_secs(1);

/// Times of the lease, the same on all hosts.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Timing {
    /// Time for which an acknowledgement counts, from the heartbeat it answers.
    pub lease: Duration,
    /// Time in one view before an acknowledgement counts.
    pub hold: Duration,
    /// False to let one acknowledgement stand for a majority; for experiments.
    pub majority: bool,
}

impl Default for Timing {
    fn default() -> Self {
        let lease = Duration::from_secs(4);
        Self {
            lease,
            hold: lease + ONCE_DEADLINE + PACKET_LIFE,
            majority: true,
        }
    }
}

/// Computes the view and the lease.
pub(super) fn run(tables: &mut Tables, now: Duration) {
    enter_view(tables, now);
    if !is_settled(tables, now) {
        return;
    }
    let until = agreed_until(tables, now);
    if until <= now {
        return;
    }
    agree_on_roster(tables);
    tables.counters.leases += u64::from(tables.view.lease <= now);
    tables.view.lease = tables.view.lease.max(until);
}

/// This host's vote, for its heartbeats.
pub(super) fn vote(tables: &Tables, now: Duration) -> Vote {
    Vote {
        view: tables.view.digest,
        settled: is_settled(tables, now),
        base: tables.rosters.base_digest(),
    }
}

fn enter_view(tables: &mut Tables, now: Duration) {
    let digest = digest(tables);
    if digest == tables.view.digest {
        return;
    }
    tables.view.digest = digest;
    tables.view.since = now;
    tables.view.lease = Duration::ZERO;
    tables.output.dirty = true;
    let hosts = tables.hosts();
    if hosts != tables.snapshot.hosts {
        tables.snapshot.hosts = hosts;
        tables.view.changed = now;
    }
}

fn is_settled(tables: &Tables, now: Duration) -> bool {
    now >= tables.view.since + tables.settings.timing.hold
}

/// Time until which a majority of each roster has agreed.
fn agreed_until(tables: &Tables, now: Duration) -> Duration {
    let bases = [tables.rosters.base_digest(), tables.rosters.pending.digest];
    let agreed: Vec<(SocketAddr, Duration)> = tables
        .live()
        .filter(|member| counts(tables, member, bases))
        .filter_map(|member| Some((member.card.peer, member.acked?)))
        .chain([(tables.me.card.peer, now)])
        .filter(|(_, acked)| *acked <= now)
        .collect();
    let rosters = [Some(&tables.rosters.pending), tables.rosters.base.as_ref()];
    rosters
        .into_iter()
        .flatten()
        .map(|roster| quorum_until(tables, roster, &agreed))
        .min()
        .unwrap_or_default()
}

fn counts(tables: &Tables, member: &Member, bases: [u64; 2]) -> bool {
    let vote = member.vote;
    let same_base = vote.base == 0 || bases.contains(&vote.base);
    vote.settled && vote.view == tables.view.digest && same_base
}

/// Time until which a majority of one roster has agreed, zero if none has.
fn quorum_until(tables: &Tables, roster: &Roster, agreed: &[(SocketAddr, Duration)]) -> Duration {
    let timing = tables.settings.timing;
    let quorum = if timing.majority {
        roster.hosts.len() / 2 + 1
    } else {
        1
    };
    let mut times: Vec<Duration> = roster
        .hosts
        .iter()
        .filter_map(|host| agreed.iter().find(|(peer, _)| *peer == host.peer))
        .map(|(_, acked)| *acked + timing.lease)
        .collect();
    times.sort_unstable_by(|a, b| b.cmp(a));
    times.get(quorum - 1).copied().unwrap_or_default()
}

/// The newest roster is agreed on once a majority of both has settled on it.
fn agree_on_roster(tables: &mut Tables) {
    if tables.rosters.base_digest() != tables.rosters.pending.digest {
        tables.rosters.base = Some(tables.rosters.pending.clone());
    }
}

/// Digest of the live hosts, their leaving marks and the newest roster.
fn digest(tables: &Tables) -> u64 {
    let me = &tables.me;
    let leaving = me.leaving.is_some() || tables.rosters.is_leaving(&me.card);
    let own = hash_host(me.id, me.incarnation, leaving);
    let hosts = tables.live().map(|member| {
        let leaving = member.leaving || tables.rosters.is_leaving(&member.card);
        hash_host(member.id, member.incarnation, leaving)
    });
    let sum = hosts.fold(own, u64::wrapping_add);
    xxh3_64_with_seed(&sum.to_le_bytes(), tables.rosters.pending.digest)
}

fn hash_host(id: Id, incarnation: Incarnation, leaving: bool) -> u64 {
    let mut bytes = [u8::from(leaving); 17];
    bytes[..8].copy_from_slice(&id.0.to_le_bytes());
    bytes[8..16].copy_from_slice(&incarnation.to_le_bytes());
    xxh3_64(&bytes)
}
