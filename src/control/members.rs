//! Membership table of the zone: applies member updates and removes dead members.

use std::time::Duration;

use super::message::{MemberUpdate, Status, Vote};
use super::tables::{Member, Tables};
use crate::revision::Revision;

/// Time for which a dead member is kept, so that old updates cannot add it again.
const TOMBSTONE_TIME: Duration = Duration::from_mins(1);

/// Number of heartbeats that carry an update, for each doubling of the zone's size.
const GOSSIP_FACTOR: u32 = 4;

/// Maximum number of steps by which failures of this host lengthen the timeouts for others.
pub(super) const MAX_PENALTY: u32 = 8;

/// Applies an update if it is newer than the known state; refutes one about this host.
pub(super) fn apply_update(tables: &mut Tables, now: Duration, update: &MemberUpdate) {
    if update.id == tables.me.id {
        refute(tables, now, update);
    } else if outranks(tables, update) {
        apply_newer(tables, now, update);
    }
}

/// Sets a member's status and schedules the change for gossip.
pub(super) fn set_status(member: &mut Member, now: Duration, status: Status, gossip_count: u32) {
    member.status = status;
    member.status_since = now;
    member.gossip_left = gossip_count;
}

/// Returns the number of heartbeats that carry a new update.
pub(super) fn gossip_count(tables: &Tables) -> u32 {
    let count = tables.members.len() + 2;
    GOSSIP_FACTOR * count.ilog2()
}

/// Removes members that have been dead for longer than [`TOMBSTONE_TIME`].
pub(super) fn remove_expired(tables: &mut Tables, now: Duration) {
    tables
        .members
        .retain(|_, member| member.is_live() || now < member.status_since + TOMBSTONE_TIME);
}

fn outranks(tables: &Tables, update: &MemberUpdate) -> bool {
    let rank = (update.incarnation, update.version, update.status);
    tables
        .members
        .get(&update.id)
        .is_none_or(|member| rank > (member.incarnation, member.version, member.status))
}

fn apply_newer(tables: &mut Tables, now: Duration, update: &MemberUpdate) {
    if let Some(info) = &update.info
        && info.zone != tables.me.info.zone
    {
        tables.counters.rejected += 1;
        return;
    }
    let gossip_count = gossip_count(tables);
    let known = tables.members.get_mut(&update.id);
    match known.filter(|member| member.incarnation == update.incarnation) {
        Some(member) => {
            let has_died = member.is_live() && update.status == Status::Dead;
            tables.counters.members_died += u64::from(has_died);
            update_member(member, now, update, gossip_count);
        }
        None => add_member(tables, now, update, gossip_count),
    }
}

fn update_member(member: &mut Member, now: Duration, update: &MemberUpdate, gossip_count: u32) {
    if update.status == Status::Alive {
        member.last_heard = now;
    }
    member.version = update.version;
    member.leaving |= update.leaving;
    set_status(member, now, update.status, gossip_count);
}

fn add_member(tables: &mut Tables, now: Duration, update: &MemberUpdate, gossip_count: u32) {
    let Some(info) = &update.info else { return };
    if update.status == Status::Dead {
        return;
    }
    log::info!(member:% = info.name, incarnation = update.incarnation; "member_joined");
    let member = Member {
        id: update.id,
        incarnation: update.incarnation,
        version: update.version,
        status: Status::Alive,
        status_since: now,
        leaving: update.leaving,
        info: info.clone(),
        last_heard: now,
        last_ping: now,
        last_timestamp: None,
        vote: Vote::default(),
        acked_timestamp: None,
        current_at: Duration::ZERO,
        last_report: None,
        revision: Revision::default(),
        read_failures: 0,
        last_read: None,
        failing_since: None,
        list_revision: Revision::default(),
        gossip_left: gossip_count,
    };
    tables.members.insert(update.id, member);
}

/// Refutes a wrong suspicion or death of this host by raising its version.
fn refute(tables: &mut Tables, now: Duration, update: &MemberUpdate) {
    let me = &mut tables.me;
    let is_accused = update.incarnation == me.incarnation && update.version >= me.version;
    if !is_accused || update.status == Status::Alive || me.has_left {
        return;
    }
    me.version = update.version.saturating_add(1);
    tables.heartbeats.next_round = now;
    tables.counters.refutations += 1;
    tables.heartbeats.penalty = (tables.heartbeats.penalty + 1).min(MAX_PENALTY);
}
