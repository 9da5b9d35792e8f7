//! Quorum lease: the right to dispatch at-most-once requests of callers without a ticket.
//!
//! The home of a flow is the host, and the traffic lane on it, that alone dispatches the
//! flow's requests. Callers that hold a ticket, a sealed token that names the home, send it
//! along. For other callers the home is computed from the live hosts, so hosts that see
//! different members can compute different homes.
//!
//! A view is the set of live hosts and voters as one host sees them. Every heartbeat
//! carries a vote: the digests of the sender's current view and of the views that it has
//! left within the hold time. A host may count a vote if it knows all of these views. The
//! vote is valid for the lease time, counted from the sending of the heartbeat that it
//! acknowledges. A host with valid votes from a majority of the voters may dispatch for the
//! flows whose home it is in all views it knows. A membership change therefore stops only
//! the flows whose home changes, and for the hold time. The hold time is by default the sum
//! of the lease time, [`MAX_ONCE_DEADLINE`] and [`MAX_PACKET_LIFETIME`].
//!
//! This keeps two hosts from dispatching for the same flow at overlapping times. Any two
//! majorities of one voter set share a voter. That voter voted for the first home in some
//! view and names this view in all its votes for the hold time, so none of these votes
//! counts for the second home. By the time its votes count for the second home, the first
//! lease has been expired for longer than the longest request deadline and packet lifetime
//! together. A restarted host has lost its record of votes, so its votes are not valid until
//! the hold time has passed.
//!
//! A new voter set needs a majority in addition to that of the last agreed set, so that
//! majorities before and after the change also share a voter. Exclusive dispatch is not
//! guaranteed in three cases: the platform's host list, from which the voters come, replaces
//! a majority of hosts that still run but are partitioned, and all hosts that knew the
//! previous revision of the list have restarted; clocks run at different rates; or a process
//! is paused between checking its lease and sending the packet.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::message::{Vote, VoterSet};
use super::tables::{LeaseState, Member, Tables, View};
use crate::id::{Id, Incarnation};

/// Maximum deadline of an at-most-once request from a caller without a ticket.
///
/// The next lease holder relies on earlier requests having passed their deadlines.
pub const MAX_ONCE_DEADLINE: Duration = Duration::from_secs(3);

/// Maximum time that a packet can stay in the network.
pub const MAX_PACKET_LIFETIME: Duration = Duration::from_secs(1);

/// Maximum number of views in a vote.
pub const MAX_VIEWS: usize = 4;

/// Updates the current view and extends the lease if a majority supports it.
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

/// Returns this host's vote, which its heartbeats carry: its current view and the views that
/// it has left within the hold time.
pub(super) fn vote(tables: &Tables, now: Duration) -> Vote {
    let hold_time = tables.settings.lease_timing.hold_time;
    let views = tables.lease_state.views.iter();
    Vote {
        views: views
            .filter(|view| !view.is_expired(now, hold_time))
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
    let digest = view_digest(tables);
    if tables.lease_state.view_digest() == Some(digest) {
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
    // Without the lease, and while this host's votes are not valid yet, nothing depends on
    // the earlier views.
    let can_forget_views = now < state.votes_from && state.lease_until <= now;
    if can_forget_views {
        state.views.clear();
    }
}

/// Drops the lease and all earlier views if there are more than a vote can name.
///
/// Votes of this host are then invalid for the hold time, as after a restart.
fn reset_if_too_many(tables: &mut Tables, now: Duration) {
    let state = &mut tables.lease_state;
    if state.views.len() > MAX_VIEWS {
        state.views.truncate(1);
        state.lease_until = Duration::ZERO;
        state.votes_from = now + tables.settings.lease_timing.hold_time;
    }
}

/// Drops the oldest view once it has expired.
///
/// While the lease is held, this waits until votes that do not name that view would give a
/// lease for at least a quarter of the lease time.
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
    tables.output.snapshot_changed = true;
}

/// Returns the time until which this host holds the lease in these views: the valid votes of
/// a majority of each voter set name no other view. Zero or a past time means no lease.
fn agreed_until(tables: &Tables, now: Duration, views: &[View]) -> Duration {
    let own = is_own_vote_valid(tables, now).then_some((tables.me.info.peer_addr, now));
    let agreed: Vec<(SocketAddr, Duration)> = tables
        .live_members()
        .filter(|member| is_vote_applicable(tables, member, views))
        .filter_map(|member| Some((member.info.peer_addr, member.acked_timestamp?)))
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
        // The voter has no agreed voter set yet.
        0,
        tables.voter_sets.agreed_digest(),
        tables.voter_sets.latest.digest,
    ];
    let is_known = |digest: &u64| views.iter().any(|view| view.digest == *digest);
    vote.is_valid && digests.contains(&vote.agreed_digest) && vote.views.iter().all(is_known)
}

/// Returns the time until which the votes of a majority of one voter set are valid, zero
/// without a majority.
///
/// A single vote is enough if [`needs_majority`](super::LeaseTiming::needs_majority)
/// is off, as in experiments.
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

/// Marks the latest voter set as agreed once no remaining view has an older one.
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

/// Returns the digest of the live hosts, which of them are leaving, and the latest voter set.
///
/// A host is leaving once it has announced its shutdown or the platform's host list marks
/// it as leaving.
fn view_digest(tables: &Tables) -> u64 {
    let me = &tables.me;
    let leaving = me.leaving_since.is_some() || tables.voter_sets.is_listed_leaving(&me.info);
    let own = hash_host(me.id, me.incarnation, leaving);
    let hosts = tables.live_members().map(|member| {
        let leaving = member.leaving || tables.voter_sets.is_listed_leaving(&member.info);
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
