//! Failure detection between the hosts of a zone.
//!
//! A host whose heartbeats are late is pinged and then suspected. It is declared dead
//! unless it refutes the suspicion in time. A host that missed its own ticks discounts the
//! lost time and uses longer timeouts for others until its penalty has decayed.

use std::time::Duration;

use super::message::Status;
use super::tables::{Member, Tables};
use super::{Outbox, heartbeat, members};
use crate::id::Id;

/// Interval between the control thread's ticks.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum gap between two ticks that counts as a stall of this host.
const STALL_GAP: Duration = Duration::from_millis(350);

/// Time after a heartbeat was due at which the sender is pinged.
const OVERDUE_MARGIN: Duration = Duration::from_millis(300);

/// Minimum time between two pings of one host.
const PING_PERIOD: Duration = Duration::from_millis(200);

/// Time from the first ping to the suspicion.
const SUSPECT_DELAY: Duration = Duration::from_millis(500);

/// Time in which a suspected host can refute the suspicion.
const REFUTE_TIME: Duration = Duration::from_millis(900);

/// Time added to the ping timeout for each step of this host's penalty.
const PENALTY_STEP: Duration = Duration::from_millis(250);

/// Time after the last stall or decrease in which the penalty decreases by one step.
const PENALTY_DECAY: Duration = Duration::from_secs(2);

/// Checks for overdue members, updates their status and pings them.
pub(super) fn run(tables: &mut Tables, now: Duration, outbox: &mut Outbox) {
    discount_stall(tables, now);
    let max_silence =
        heartbeat::cycle_time(tables) + OVERDUE_MARGIN + PENALTY_STEP * tables.heartbeats.penalty;
    for id in overdue_members(tables, now, max_silence) {
        update_status(tables, now, id, max_silence);
        ping(tables, now, id, outbox);
    }
}

/// Detects a stall of this host and moves the members' times forward by its length.
fn discount_stall(tables: &mut Tables, now: Duration) {
    let gap = now.saturating_sub(tables.heartbeats.last_tick);
    tables.heartbeats.last_tick = now;
    if gap < STALL_GAP {
        decay_penalty(tables, now);
        return;
    }
    tables.counters.stalls += 1;
    tables.heartbeats.penalty = (tables.heartbeats.penalty + 1).min(members::MAX_PENALTY);
    tables.heartbeats.next_decay = now + PENALTY_DECAY;
    for member in tables.members.values_mut() {
        member.last_heard = (member.last_heard + gap).min(now);
        member.status_since = (member.status_since + gap).min(now);
    }
}

fn decay_penalty(tables: &mut Tables, now: Duration) {
    if now < tables.heartbeats.next_decay {
        return;
    }
    tables.heartbeats.penalty = tables.heartbeats.penalty.saturating_sub(1);
    tables.heartbeats.next_decay = now + PENALTY_DECAY;
}

fn overdue_members(tables: &Tables, now: Duration, max_silence: Duration) -> Vec<Id> {
    tables
        .live_members()
        .filter(|member| member.status == Status::Suspect || now > member.last_heard + max_silence)
        .map(|member| member.id)
        .collect()
}

fn update_status(tables: &mut Tables, now: Duration, id: Id, max_silence: Duration) {
    let gossip_count = members::gossip_count(tables);
    let Some(member) = tables.members.get_mut(&id) else {
        return;
    };
    match member.status {
        Status::Alive if now > member.last_heard + max_silence + SUSPECT_DELAY => {
            tables.counters.suspicions += 1;
            members::set_status(member, now, Status::Suspect, gossip_count);
        }
        Status::Suspect if now > member.status_since + REFUTE_TIME => {
            let is_dead = !clear_if_heard(member, now);
            if is_dead {
                log::info!(member:% = member.info.name; "member_dead");
                members::set_status(member, now, Status::Dead, gossip_count);
                tables.counters.members_died += 1;
            }
        }
        _ => {}
    }
}

/// Clears a suspicion and returns true if the host was heard from since it began.
fn clear_if_heard(member: &mut Member, now: Duration) -> bool {
    let was_heard = member.last_heard > member.status_since;
    if was_heard {
        members::set_status(member, now, Status::Alive, 0);
    }
    was_heard
}

fn ping(tables: &mut Tables, now: Duration, id: Id, outbox: &mut Outbox) {
    let Some(member) = tables.members.get_mut(&id) else {
        return;
    };
    if now < member.last_ping + PING_PERIOD {
        return;
    }
    member.last_ping = now;
    heartbeat::send(tables, now, id, true, outbox);
}
