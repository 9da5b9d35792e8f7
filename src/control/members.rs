//! Table of the zone's hosts: applies news and forgets the dead.

use std::time::Duration;

use super::message::{MemberUpdate, Status, Vote};
use super::tables::{Member, Tables};

/// Time for which a dead host is remembered, so that old news cannot revive it.
const TOMBSTONE: Duration = Duration::from_mins(1);

/// Heartbeats that carry a piece of news, for each doubling of the zone.
const RUMOR_FACTOR: u32 = 4;

/// Most that own failures lengthen the patience with others, in steps.
pub(super) const PENALTY_LIMIT: u32 = 8;

/// Takes in news if it outranks what is known.
pub(super) fn apply(tables: &mut Tables, now: Duration, news: &MemberUpdate) {
    if news.id == tables.me.id {
        refute(tables, now, news);
    } else if outranks(tables, news) {
        adopt(tables, now, news);
    }
}

/// Changes what is believed of a member, and tells others.
pub(super) fn mark(member: &mut Member, now: Duration, status: Status, rumor: u32) {
    member.status = status;
    member.status_since = now;
    member.gossip_left = rumor;
}

/// Heartbeats that a new piece of news is carried by.
pub(super) fn rumor(tables: &Tables) -> u32 {
    let count = tables.members.len() + 2;
    RUMOR_FACTOR * count.ilog2()
}

/// Forgets hosts that have been dead for long.
pub(super) fn expire(tables: &mut Tables, now: Duration) {
    tables
        .members
        .retain(|_, member| member.is_live() || now < member.status_since + TOMBSTONE);
}

fn outranks(tables: &Tables, news: &MemberUpdate) -> bool {
    let rank = (news.incarnation, news.version, news.status);
    tables
        .members
        .get(&news.id)
        .is_none_or(|member| rank > (member.incarnation, member.version, member.status))
}

fn adopt(tables: &mut Tables, now: Duration, news: &MemberUpdate) {
    if let Some(card) = &news.info
        && card.zone != tables.me.info.zone
    {
        tables.counters.rejected += 1;
        return;
    }
    let rumor = rumor(tables);
    let known = tables.members.get_mut(&news.id);
    match known.filter(|member| member.incarnation == news.incarnation) {
        Some(member) => {
            let died = member.is_live() && news.status == Status::Dead;
            tables.counters.members_died += u64::from(died);
            update(member, now, news, rumor);
        }
        None => join(tables, now, news, rumor),
    }
}

fn update(member: &mut Member, now: Duration, news: &MemberUpdate, rumor: u32) {
    if news.status == Status::Alive {
        member.last_heard = now;
    }
    member.version = news.version;
    member.leaving |= news.leaving;
    mark(member, now, news.status, rumor);
}

fn join(tables: &mut Tables, now: Duration, news: &MemberUpdate, rumor: u32) {
    let Some(card) = &news.info else { return };
    if news.status == Status::Dead {
        return;
    }
    log::info!(member:% = card.name, incarnation = news.incarnation; "member_joined");
    let member = Member {
        id: news.id,
        incarnation: news.incarnation,
        version: news.version,
        status: Status::Alive,
        status_since: now,
        leaving: news.leaving,
        info: card.clone(),
        last_heard: now,
        last_ping: now,
        last_timestamp: None,
        vote: Vote::default(),
        last_acked: None,
        revision: 0,
        read_failures: 0,
        list_revision: 0,
        gossip_left: rumor,
    };
    tables.members.insert(news.id, member);
}

/// Answers what others wrongly believe of this host by raising its version.
fn refute(tables: &mut Tables, now: Duration, news: &MemberUpdate) {
    let me = &mut tables.me;
    let accused = news.incarnation == me.incarnation && news.version >= me.version;
    if !accused || news.status == Status::Alive || me.has_left {
        return;
    }
    me.version = news.version.saturating_add(1);
    tables.heartbeats.next_round = now;
    tables.counters.refutations += 1;
    tables.heartbeats.penalty = (tables.heartbeats.penalty + 1).min(PENALTY_LIMIT);
}
