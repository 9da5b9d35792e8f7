//! Periodic heartbeats between the hosts of a zone, which also carry gossip.
//!
//! A round sends at most [`FANOUT`] heartbeats, so the cost for each host does not grow
//! with the zone; larger zones take several rounds to reach every member.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IndexedRandom;
use smallvec::SmallVec;

use super::message::{Heartbeat, MemberUpdate, Status, Timestamp};
use super::tables::{Member, Tables};
use super::{Action, Outbox, freshness, lease, members, outages, reports, zone_sums};
use crate::id::Id;

/// Period of heartbeat rounds in zones whose members fit into one round.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);

/// Period of heartbeat rounds in zones with more than [`FANOUT`] other members.
///
/// It keeps the heartbeats that a host sends and receives within 14 KB/s together.
pub const LARGE_ZONE_PERIOD: Duration = Duration::from_millis(600);

/// Rounds per cycle up to which [`HEARTBEAT_PERIOD`] applies.
const SHORT_CYCLE_ROUNDS: u32 = 1;

/// Maximum number of members that receive a heartbeat in one round.
pub const FANOUT: usize = 36;

/// Maximum number of hosts not known to be alive that are contacted in one round.
const MAX_CONTACTS: usize = 3;

/// Maximum age of the platform's last answer that a heartbeat still mentions: longer than removals
/// are held back after an outage.
const MAX_READ_AGE: Duration = Duration::from_secs(10);

/// Maximum number of gossiped member updates in one heartbeat.
const MAX_UPDATES: usize = 5;

/// Maximum size in bytes of the gossiped member updates in one heartbeat.
const MAX_UPDATE_BYTES: usize = 700;

/// Maximum size in bytes of the gossiped member updates in a heartbeat with a report, which takes
/// up to 660 bytes.
const MAX_UPDATE_BYTES_WITH_REPORT: usize = 420;

/// Maximum size in bytes of an encoded member update without its names and lane addresses.
const UPDATE_BASE_BYTES: usize = 64;

/// Maximum size in bytes of an encoded socket address.
const MAX_ADDR_BYTES: usize = 20;

/// Returns the time in which every live member receives one heartbeat.
pub(super) fn cycle_time(tables: &Tables) -> Duration {
    round_period(tables) * rounds_per_cycle(tables)
}

/// Returns the number of regular heartbeats that this host sends in a second.
pub(super) fn rate(tables: &Tables) -> f64 {
    let targets = tables.live_members().count().min(FANOUT);
    let targets = u32::try_from(targets).unwrap_or(u32::MAX);
    f64::from(targets) / round_period(tables).as_secs_f64()
}

/// Returns the number of rounds in which every live member receives one heartbeat.
fn rounds_per_cycle(tables: &Tables) -> u32 {
    let count = tables.live_members().count().max(1);
    u32::try_from(count.div_ceil(FANOUT)).unwrap_or(u32::MAX)
}

fn round_period(tables: &Tables) -> Duration {
    if rounds_per_cycle(tables) > SHORT_CYCLE_ROUNDS {
        LARGE_ZONE_PERIOD
    } else {
        HEARTBEAT_PERIOD
    }
}

/// Sends a round of heartbeats if one is due.
pub(super) fn run(tables: &mut Tables, now: Duration, outbox: &mut Outbox) {
    if now < tables.heartbeats.next_round {
        return;
    }
    tables.heartbeats.next_round = now + round_period(tables);
    members::remove_expired(tables, now);
    for id in next_targets(tables) {
        send(tables, now, id, false, outbox);
    }
    for to in contact_addrs(tables) {
        let heartbeat = Box::new(compose(tables, now, None, false));
        queue(tables, to, heartbeat, outbox);
    }
}

/// Sends a heartbeat to one member; `ping` asks for an immediate answer.
pub(super) fn send(tables: &mut Tables, now: Duration, id: Id, ping: bool, outbox: &mut Outbox) {
    let mut heartbeat = Box::new(compose(tables, now, Some(id), false));
    heartbeat.ping = ping;
    if let Some(member) = tables.members.get(&id) {
        let to = member.info.peer_addr;
        queue(tables, to, heartbeat, outbox);
    }
}

/// Sends an extra heartbeat with a changed report to one member.
pub(super) fn send_report(tables: &mut Tables, now: Duration, id: Id, outbox: &mut Outbox) {
    let heartbeat = Box::new(compose(tables, now, Some(id), true));
    if let Some(member) = tables.members.get(&id) {
        let to = member.info.peer_addr;
        queue(tables, to, heartbeat, outbox);
    }
}

/// Processes a received heartbeat.
///
/// Its gossip is ignored unless the sender is known in the same incarnation.
pub(super) fn receive(
    tables: &mut Tables,
    now: Duration,
    heartbeat: &Heartbeat,
    outbox: &mut Outbox,
) {
    if heartbeat.from == tables.me.id {
        return;
    }
    tables.counters.heartbeats_received += 1;
    members::apply_update(tables, now, &sender_update(heartbeat));
    if record_sender(tables, now, heartbeat) {
        for update in &heartbeat.updates {
            members::apply_update(tables, now, update);
        }
        reports::receive(tables, now, heartbeat);
        zone_sums::receive(tables, now, heartbeat);
    }
    if needs_answer(tables, heartbeat) {
        send(tables, now, heartbeat.from, false, outbox);
    }
}

fn queue(tables: &mut Tables, to: SocketAddr, heartbeat: Box<Heartbeat>, outbox: &mut Outbox) {
    tables.counters.heartbeats_sent += 1;
    outbox.push(Action::Send { to, heartbeat });
}

fn sender_update(heartbeat: &Heartbeat) -> MemberUpdate {
    MemberUpdate {
        id: heartbeat.from,
        incarnation: heartbeat.incarnation,
        version: heartbeat.version,
        status: Status::Alive,
        leaving: heartbeat.leaving,
        info: heartbeat.info.clone(),
    }
}

/// Records the sender's state and returns false if this incarnation of it is unknown.
///
/// A heartbeat that is older than the last one changes nothing.
fn record_sender(tables: &mut Tables, now: Duration, heartbeat: &Heartbeat) -> bool {
    let incarnation = tables.me.incarnation;
    let Some(member) = tables.members.get_mut(&heartbeat.from) else {
        return false;
    };
    if member.incarnation != heartbeat.incarnation {
        return false;
    }
    if member
        .last_timestamp
        .is_none_or(|sent| heartbeat.sent_at > sent)
    {
        member.last_heard = now;
        member.last_timestamp = Some(heartbeat.sent_at);
        member.vote = heartbeat.vote.clone();
        member.revision = heartbeat.revision;
        member.list_revision = heartbeat.list_revision;
        member.acked_timestamp = heartbeat.echo.and_then(|echo| echo.local_time(incarnation));
        outages::record_member_reads(tables, now, heartbeat);
        freshness::note_heartbeat(tables, heartbeat);
    }
    true
}

/// Returns true for a ping, and for a sender that must refute a suspicion.
///
/// A host that has left answers nothing: it does not refute its own departure, so two such hosts
/// would answer each other for ever.
fn needs_answer(tables: &Tables, heartbeat: &Heartbeat) -> bool {
    if tables.me.has_left {
        return false;
    }
    let sender = tables.members.get(&heartbeat.from);
    heartbeat.ping || sender.is_some_and(|member| member.status != Status::Alive)
}

/// Selects the members of this round, in order of their ids after the last target.
fn next_targets(tables: &mut Tables) -> Vec<Id> {
    let after = tables.heartbeats.last_target;
    let live: Vec<Id> = tables.live_members().map(|member| member.id).collect();
    let split = live.partition_point(|id| *id <= after);
    let ordered = live[split..].iter().chain(&live[..split]);
    let next: Vec<Id> = ordered.take(FANOUT).copied().collect();
    if let Some(last) = next.last() {
        tables.heartbeats.last_target = *last;
    }
    next
}

/// Picks addresses of voters, dead members and seeds that are not known to be alive.
fn contact_addrs(tables: &mut Tables) -> Vec<SocketAddr> {
    let own = tables.me.info.peer_addr;
    let listed = tables.voter_sets.peer_addrs();
    let dead = tables.members.values().filter(|member| !member.is_live());
    let mut addrs: Vec<SocketAddr> = listed
        .chain(dead.map(|member| member.info.peer_addr))
        .chain(tables.settings.seeds.iter().copied())
        .filter(|addr| {
            *addr != own
                && !tables
                    .live_members()
                    .any(|member| member.info.peer_addr == *addr)
        })
        .collect();
    addrs.sort_unstable();
    addrs.dedup();
    addrs
        .sample(&mut tables.rng, MAX_CONTACTS)
        .copied()
        .collect()
}

fn compose(tables: &mut Tables, now: Duration, to: Option<Id>, is_urgent: bool) -> Heartbeat {
    let has_acked = to
        .and_then(|id| tables.members.get(&id))
        .is_some_and(|member| member.acked_timestamp.is_some());
    // There is no room for a report besides the host info.
    let report = to
        .filter(|_| has_acked)
        .and_then(|id| reports::for_member(tables, id, is_urgent, now));
    let zone_report = to
        .filter(|_| has_acked)
        .and_then(|id| zone_sums::for_member(tables, id, now));
    let max_bytes = if report.is_some() || zone_report.is_some() {
        MAX_UPDATE_BYTES_WITH_REPORT
    } else {
        MAX_UPDATE_BYTES
    };
    tables.counters.zone_reports_sent += u64::from(zone_report.is_some());
    let (zone_report, zone_report_age) = zone_report.unzip();
    tables.counters.reports_sent += u64::from(report.is_some());
    let updates = select_updates(tables, to, max_bytes);
    let target = to.and_then(|id| tables.members.get(&id));
    Heartbeat {
        from: tables.me.id,
        incarnation: tables.me.incarnation,
        version: tables.me.version,
        leaving: tables.me.leaving_since.is_some(),
        read_failures: tables.platform_reads.values.failures,
        read_age: read_age(tables, now),
        info: (!has_acked).then(|| tables.me.info.clone()),
        revision: tables.values.revision,
        list_revision: tables.voter_sets.latest.revision,
        sent_at: Timestamp::new(tables.me.incarnation, now),
        echo: target.and_then(|member| member.last_timestamp),
        ping: false,
        vote: lease::vote(tables, now),
        updates,
        report,
        report_age: now.saturating_sub(tables.reports.own.taken_at),
        zone_report,
        zone_report_age: zone_report_age.unwrap_or_default(),
    }
}

/// Returns the time since the platform last answered this host, unless that is long ago.
fn read_age(tables: &Tables, now: Duration) -> Option<Duration> {
    let last_answer = tables.platform_reads.values.last_answer;
    let age = now.saturating_sub(last_answer);
    (!last_answer.is_zero() && age <= MAX_READ_AGE).then_some(age)
}

/// Selects the updates for a heartbeat: first what the receiver must refute, then the updates
/// that have been sent least often.
fn select_updates(
    tables: &mut Tables,
    to: Option<Id>,
    max_bytes: usize,
) -> SmallVec<[MemberUpdate; 2]> {
    let mut updates = SmallVec::new();
    if tables.me.has_left {
        updates.push(departure_update(tables));
    }
    let receiver = to.and_then(|id| tables.members.get(&id));
    updates.extend(
        receiver
            .filter(|m| m.status != Status::Alive)
            .map(Member::to_update),
    );
    let mut gossiped: SmallVec<[&mut Member; 8]> = tables
        .members
        .values_mut()
        .filter(|member| member.gossip_left > 0 && Some(member.id) != to)
        .collect();
    gossiped.sort_unstable_by_key(|member| std::cmp::Reverse(member.gossip_left));
    let mut bytes_left = max_bytes;
    for member in gossiped.into_iter().take(MAX_UPDATES) {
        let Some(remaining) = bytes_left.checked_sub(max_update_size(member)) else {
            break;
        };
        bytes_left = remaining;
        member.gossip_left -= 1;
        updates.push(member.to_update());
    }
    updates
}

/// Returns the maximum encoded size in bytes of an update about a member.
fn max_update_size(member: &Member) -> usize {
    let info = &member.info;
    UPDATE_BASE_BYTES + info.name.len() + info.zone.len() + info.lanes.len() * MAX_ADDR_BYTES
}

fn departure_update(tables: &Tables) -> MemberUpdate {
    MemberUpdate {
        id: tables.me.id,
        incarnation: tables.me.incarnation,
        version: tables.me.version,
        status: Status::Dead,
        leaving: true,
        info: None,
    }
}
