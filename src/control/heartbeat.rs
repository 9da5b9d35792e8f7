//! Heartbeats: a fixed number of them each period, whatever the zone's size.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IndexedRandom;
use smallvec::SmallVec;

use super::message::{Heartbeat, MemberUpdate, Status, Timestamp};
use super::tables::{Member, Tables};
use super::{Action, Outbox, lease, members};
use crate::id::Id;

/// Time between two rounds of heartbeats.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);

/// The same in zones whose members do not all fit into one round, where
/// it keeps sent and received heartbeats together within the budget of 14 KB/s.
pub const LARGE_ZONE_PERIOD: Duration = Duration::from_millis(600);

/// Rounds up to which a turn of all members counts as short.
const SHORT_TURN: u32 = 1;

/// Most members that get a heartbeat in one round.
pub const FANOUT: usize = 36;

/// Hosts contacted in one round that are not known to be alive.
const CONTACTS: usize = 3;

/// Most news in one heartbeat.
const NEWS_LIMIT: usize = 5;

/// Most bytes of news in one heartbeat.
const NEWS_BYTES: usize = 700;

/// Most bytes of a piece of news without names and lanes.
const NEWS_BASE: usize = 64;

/// Most bytes of an encoded address.
const ADDR_BYTES: usize = 20;

/// Time in which every member gets a heartbeat.
pub(super) fn cycle(tables: &Tables) -> Duration {
    period(tables) * rounds(tables)
}

/// Rounds in which every member gets a heartbeat.
fn rounds(tables: &Tables) -> u32 {
    let count = tables.live().count().max(1);
    u32::try_from(count.div_ceil(FANOUT)).unwrap_or(u32::MAX)
}

fn period(tables: &Tables) -> Duration {
    if rounds(tables) > SHORT_TURN {
        LARGE_ZONE_PERIOD
    } else {
        HEARTBEAT_PERIOD
    }
}

/// Sends the heartbeats that are due.
pub(super) fn run(tables: &mut Tables, now: Duration, outbox: &mut Outbox) {
    if now < tables.heartbeats.next_round {
        return;
    }
    tables.heartbeats.next_round = now + period(tables);
    members::expire(tables, now);
    for id in next_members(tables) {
        send(tables, now, id, false, outbox);
    }
    for to in contacts(tables) {
        let beat = Box::new(compose(tables, now, None));
        push(tables, to, beat, outbox);
    }
}

/// Sends a heartbeat to one member.
pub(super) fn send(tables: &mut Tables, now: Duration, id: Id, ping: bool, outbox: &mut Outbox) {
    let mut beat = Box::new(compose(tables, now, Some(id)));
    beat.ping = ping;
    if let Some(member) = tables.members.get(&id) {
        let to = member.info.peer_addr;
        push(tables, to, beat, outbox);
    }
}

/// Takes in a heartbeat.
pub(super) fn receive(tables: &mut Tables, now: Duration, beat: &Heartbeat, outbox: &mut Outbox) {
    if beat.from == tables.me.id {
        return;
    }
    tables.counters.heartbeats_received += 1;
    members::apply(tables, now, &sender_news(beat));
    if note(tables, now, beat) {
        for news in &beat.updates {
            members::apply(tables, now, news);
        }
    }
    if wants_answer(tables, beat) {
        send(tables, now, beat.from, false, outbox);
    }
}

fn push(tables: &mut Tables, to: SocketAddr, beat: Box<Heartbeat>, outbox: &mut Outbox) {
    tables.counters.heartbeats_sent += 1;
    outbox.push(Action::Send {
        to,
        heartbeat: beat,
    });
}

fn sender_news(beat: &Heartbeat) -> MemberUpdate {
    MemberUpdate {
        id: beat.from,
        incarnation: beat.incarnation,
        version: beat.version,
        status: Status::Alive,
        leaving: beat.leaving,
        info: beat.info.clone(),
    }
}

/// Notes what a heartbeat says of its sender; false if that life is unknown.
fn note(tables: &mut Tables, now: Duration, beat: &Heartbeat) -> bool {
    let life = tables.me.incarnation;
    let Some(member) = tables.members.get_mut(&beat.from) else {
        return false;
    };
    if member.incarnation != beat.incarnation {
        return false;
    }
    if member.last_timestamp.is_none_or(|sent| beat.sent_at > sent) {
        member.last_heard = now;
        member.last_timestamp = Some(beat.sent_at);
        member.vote = beat.vote.clone();
        member.revision = beat.revision;
        member.read_failures = beat.read_failures;
        member.list_revision = beat.list_revision;
        member.last_acked = beat.echo.and_then(|echo| echo.local_time(life));
    }
    true
}

/// True for a ping, and for a sender that has something to refute.
fn wants_answer(tables: &Tables, beat: &Heartbeat) -> bool {
    let known = tables.members.get(&beat.from);
    beat.ping || known.is_some_and(|member| member.status != Status::Alive)
}

/// The members that are next in turn.
fn next_members(tables: &mut Tables) -> Vec<Id> {
    let after = tables.heartbeats.last_target;
    let live: Vec<Id> = tables.live().map(|member| member.id).collect();
    let split = live.partition_point(|id| *id <= after);
    let turn = live[split..].iter().chain(&live[..split]);
    let next: Vec<Id> = turn.take(FANOUT).copied().collect();
    if let Some(last) = next.last() {
        tables.heartbeats.last_target = *last;
    }
    next
}

/// Listed or once known hosts that are not known to be alive.
fn contacts(tables: &mut Tables) -> Vec<SocketAddr> {
    let own = tables.me.info.peer_addr;
    let listed = tables.voter_sets.addrs();
    let dead = tables.members.values().filter(|member| !member.is_live());
    let mut addrs: Vec<SocketAddr> = listed
        .chain(dead.map(|member| member.info.peer_addr))
        .chain(tables.settings.seeds.iter().copied())
        .filter(|addr| *addr != own && !tables.live().any(|member| member.info.peer_addr == *addr))
        .collect();
    addrs.sort_unstable();
    addrs.dedup();
    addrs.sample(&mut tables.rng, CONTACTS).copied().collect()
}

fn compose(tables: &mut Tables, now: Duration, to: Option<Id>) -> Heartbeat {
    let news = pick_news(tables, to);
    let target = to.and_then(|id| tables.members.get(&id));
    let known = target.is_some_and(|member| member.last_acked.is_some());
    Heartbeat {
        from: tables.me.id,
        incarnation: tables.me.incarnation,
        version: tables.me.version,
        leaving: tables.me.leaving_since.is_some(),
        read_failures: tables.platform_reads.values.failures,
        info: (!known).then(|| tables.me.info.clone()),
        revision: tables.values.revision,
        list_revision: tables.voter_sets.latest.revision,
        sent_at: Timestamp::new(tables.me.incarnation, now),
        echo: target.and_then(|member| member.last_timestamp),
        ping: false,
        vote: lease::vote(tables, now),
        updates: news,
    }
}

/// What the receiver has to refute, then the least told news.
fn pick_news(tables: &mut Tables, to: Option<Id>) -> SmallVec<[MemberUpdate; 2]> {
    let mut picked = SmallVec::new();
    if tables.me.has_left {
        picked.push(farewell(tables));
    }
    let accused = to.and_then(|id| tables.members.get(&id));
    picked.extend(
        accused
            .filter(|m| m.status != Status::Alive)
            .map(Member::to_update),
    );
    let mut fresh: SmallVec<[&mut Member; 8]> = tables
        .members
        .values_mut()
        .filter(|member| member.gossip_left > 0 && Some(member.id) != to)
        .collect();
    fresh.sort_unstable_by_key(|member| std::cmp::Reverse(member.gossip_left));
    let mut room = NEWS_BYTES;
    for member in fresh.into_iter().take(NEWS_LIMIT) {
        let Some(left) = room.checked_sub(weight(member)) else {
            break;
        };
        room = left;
        member.gossip_left -= 1;
        picked.push(member.to_update());
    }
    picked
}

/// Most bytes that news of a member takes.
fn weight(member: &Member) -> usize {
    let card = &member.info;
    NEWS_BASE + card.name.len() + card.zone.len() + card.lanes.len() * ADDR_BYTES
}

fn farewell(tables: &Tables) -> MemberUpdate {
    MemberUpdate {
        id: tables.me.id,
        incarnation: tables.me.incarnation,
        version: tables.me.version,
        status: Status::Dead,
        leaving: true,
        info: None,
    }
}
