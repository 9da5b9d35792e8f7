//! The lease: the right to dispatch once-only work of callers without a ticket.
//!
//! A view is the live hosts and the roster as one host sees them. Every heartbeat
//! carries a vote: digests of the views that its sender has been in within the
//! hold time. A vote counts for a host that knows all of these views, until a
//! lease time after the heartbeat that it acknowledges was sent. A host that has
//! the votes of a majority of the roster may dispatch for the flows of which it is
//! the home in all views it knows. A membership change thus stops only the flows
//! whose home it moves, for the hold time.
//!
//! Two hosts never dispatch for one flow within the time that matters. Majorities
//! of one roster share a host. It voted for the one home in some view, and that
//! view is in each of its later votes for the hold time, so that none of them
//! counts for the other home. By then the first lease had run out for longer than
//! the longest deadline and the life of a packet. A restarted host has forgotten
//! its votes; its new ones do not count for the hold time.
//!
//! A roster that changes counts together with the one agreed on before, so that
//! majorities before and after share a host too. Not covered: lists that replace a
//! majority while those hosts run on, cut off, and all hosts that knew the earlier
//! list have restarted; clocks that run at different rates; and a process that is
//! paused between the check of its lease and the sending of the packet.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::message::{Vote, VoterSet};
use super::tables::{LeaseState, Member, Tables, View};
use crate::id::{Id, Incarnation};

/// Longest deadline of once-only work that a caller without a ticket may set: a
/// later holder of the lease counts on earlier requests to be past it.
pub const MAX_ONCE_DEADLINE: Duration = Duration::from_secs(3);

/// Longest time that the network holds a packet.
pub const MAX_PACKET_LIFETIME: Duration = Duration::from_secs(1);

/// Most views that a vote names.
pub const MAX_VIEWS: usize = 4;

/// Computes the view and the lease.
pub(super) fn run(tables: &mut Tables, now: Duration) {
    enter_view(tables, now);
    drop_oldest_view(tables, now);
    let until = agreed_until(tables, now, &tables.lease_state.views);
    if until <= now {
        return;
    }
    agree_on_voters(tables);
    tables.counters.leases_gained += u64::from(tables.lease_state.lease_until <= now);
    tables.lease_state.lease_until = tables.lease_state.lease_until.max(until);
}

/// This host's vote, for its heartbeats.
pub(super) fn vote(tables: &Tables, now: Duration) -> Vote {
    let hold = tables.settings.lease_timing.hold_time;
    let views = tables.lease_state.views.iter();
    Vote {
        views: views
            .filter(|view| !view.is_expired(now, hold))
            .map(|view| view.digest)
            .collect(),
        is_valid: is_own_vote_valid(tables, now),
        agreed_digest: tables.voter_sets.agreed_digest(),
    }
}

fn is_own_vote_valid(tables: &Tables, now: Duration) -> bool {
    now >= tables.lease_state.votes_from
}

fn enter_view(tables: &mut Tables, now: Duration) {
    let digest = digest(tables);
    if tables.lease_state.digest() == Some(digest) {
        return;
    }
    leave_view(&mut tables.lease_state, now, digest);
    let hosts = tables.live_hosts();
    if hosts != tables.snapshot.hosts {
        tables.snapshot.hosts = Arc::clone(&hosts);
        tables.lease_state.hosts_changed = now;
    }
    let view = View {
        digest,
        hosts,
        voters: tables.voter_sets.latest.clone(),
        left_at: None,
    };
    tables.lease_state.views.insert(0, view);
    reset_if_too_many(tables, now);
    publish_views(tables);
}

fn leave_view(state: &mut LeaseState, now: Duration, next: u64) {
    if let Some(current) = state.views.first_mut() {
        current.left_at = Some(now);
    }
    state.views.retain(|view| view.digest != next);
    let is_unused = now < state.votes_from && state.lease_until <= now;
    if is_unused {
        state.views.clear();
    }
}

/// Starts anew, as after a restart, if there were too many views to tell others.
fn reset_if_too_many(tables: &mut Tables, now: Duration) {
    let state = &mut tables.lease_state;
    if state.views.len() > MAX_VIEWS {
        state.views.truncate(1);
        state.lease_until = Duration::ZERO;
        state.votes_from = now + tables.settings.lease_timing.hold_time;
    }
}

/// Drops the oldest view once a majority no longer acts on it.
fn drop_oldest_view(tables: &mut Tables, now: Duration) {
    let timing = tables.settings.lease_timing;
    let Some((oldest, newer)) = tables.lease_state.views.split_last() else {
        return;
    };
    if !oldest.is_expired(now, timing.hold_time) {
        return;
    }
    let until = agreed_until(tables, now, newer);
    let is_lasting = until >= now + timing.lease_time / 4;
    if is_lasting || tables.lease_state.lease_until <= now {
        tables.lease_state.views.pop();
        tables.lease_state.lease_until = until;
        publish_views(tables);
    }
}

fn publish_views(tables: &mut Tables) {
    let earlier = tables.lease_state.views.iter().skip(1);
    let earlier = earlier.map(|view| Arc::clone(&view.hosts)).collect();
    tables.snapshot.earlier_views = earlier;
    tables.output.dirty = true;
}

/// Time until which a majority of each roster acts on nothing but these views.
fn agreed_until(tables: &Tables, now: Duration, views: &[View]) -> Duration {
    let own = is_own_vote_valid(tables, now).then_some((tables.me.info.peer_addr, now));
    let agreed: Vec<(SocketAddr, Duration)> = tables
        .live_members()
        .filter(|member| is_vote_applicable(tables, member, views))
        .filter_map(|member| Some((member.info.peer_addr, member.last_acked?)))
        .chain(own)
        .filter(|(_, acked)| *acked <= now)
        .collect();
    let voter_sets = views.iter().map(|view| &view.voters);
    voter_sets
        .chain(&tables.voter_sets.agreed)
        .map(|voters| quorum_until(tables, voters, &agreed))
        .min()
        .unwrap_or_default()
}

fn is_vote_applicable(tables: &Tables, member: &Member, views: &[View]) -> bool {
    let vote = &member.vote;
    let digests = [
        0,
        tables.voter_sets.agreed_digest(),
        tables.voter_sets.latest.digest,
    ];
    let is_known = |digest: &u64| views.iter().any(|view| view.digest == *digest);
    vote.is_valid && digests.contains(&vote.agreed_digest) && vote.views.iter().all(is_known)
}

/// Time until which a majority of one roster has agreed, zero if none has.
fn quorum_until(tables: &Tables, voters: &VoterSet, agreed: &[(SocketAddr, Duration)]) -> Duration {
    let timing = tables.settings.lease_timing;
    let quorum = if timing.needs_majority {
        voters.hosts.len() / 2 + 1
    } else {
        1
    };
    let mut times: Vec<Duration> = voters
        .hosts
        .iter()
        .filter_map(|host| agreed.iter().find(|(peer, _)| *peer == host.peer_addr))
        .map(|(_, acked)| *acked + timing.lease_time)
        .collect();
    times.sort_unstable_by(|a, b| b.cmp(a));
    times.get(quorum - 1).copied().unwrap_or_default()
}

/// The newest roster is agreed on once a majority acts on nothing older.
fn agree_on_voters(tables: &mut Tables) {
    let digest = tables.voter_sets.latest.digest;
    let has_older = tables
        .lease_state
        .views
        .iter()
        .any(|view| view.voters.digest != digest);
    if !has_older && tables.voter_sets.agreed_digest() != digest {
        tables.voter_sets.agreed = Some(tables.voter_sets.latest.clone());
    }
}

/// Digest of the live hosts, their leaving marks and the newest roster.
fn digest(tables: &Tables) -> u64 {
    let me = &tables.me;
    let leaving = me.leaving_since.is_some() || tables.voter_sets.is_leaving(&me.info);
    let own = hash_host(me.id, me.incarnation, leaving);
    let hosts = tables.live_members().map(|member| {
        let leaving = member.leaving || tables.voter_sets.is_leaving(&member.info);
        hash_host(member.id, member.incarnation, leaving)
    });
    let sum = hosts.fold(own, u64::wrapping_add);
    xxh3_64_with_seed(&sum.to_le_bytes(), tables.voter_sets.latest.digest)
}

fn hash_host(id: Id, incarnation: Incarnation, leaving: bool) -> u64 {
    let mut bytes = [u8::from(leaving); 17];
    bytes[..8].copy_from_slice(&id.0.to_le_bytes());
    bytes[8..16].copy_from_slice(&incarnation.to_le_bytes());
    xxh3_64(&bytes)
}
