//! Withdrawal of a host that cannot keep up with its traffic.
//!
//! A slow host delays and loses the traffic of all its callers, while other hosts have capacity
//! left and can pass any flow. It therefore reports that it is not ready, so that routers send its
//! traffic to others. Only a few hosts withdraw at once: if many are overloaded, the load is too
//! high for all of them, and fewer hosts would make it worse.

use std::time::Duration;

use super::tables::Tables;
use crate::clock::millis;
use crate::id::Id;

/// Time of not keeping up after which a lane is overloaded. The backlog after a pause or at a
/// change of the configuration is read sooner.
const MAX_BACKLOG_TIME: Duration = Duration::from_secs(1);

/// Time for which a host stays withdrawn: several times as long as routers need to move its
/// traffic away, so that it is not overloaded again at once if it is still slow.
const WITHDRAWAL_TIME: Duration = Duration::from_secs(5);

/// One host of this many may be withdrawn.
const HOSTS_PER_WITHDRAWAL: usize = 3;

/// Withdraws this host if a lane of it has not kept up for `backlog_time`, and ends its withdrawal.
pub(super) fn run(tables: &mut Tables, now: Duration, backlog_time: Duration) {
    let is_overloaded = backlog_time >= MAX_BACKLOG_TIME;
    let is_allowed = may_withdraw(tables);
    match tables.me.withdrawn_until {
        None if is_overloaded && is_allowed => {
            log::warn!(backlog_ms = millis(backlog_time); "withdrawn");
            tables.counters.withdrawals += 1;
            tables.me.withdrawn_until = Some(now + WITHDRAWAL_TIME);
            tables.heartbeats.next_round = now;
        }
        Some(until) if !is_allowed || (now >= until && !is_overloaded) => {
            log::info!(allowed = is_allowed; "withdrawal_ended");
            tables.me.withdrawn_until = None;
        }
        _ => {}
    }
}

/// Returns true if this host is among the hosts that may be withdrawn: those with the lowest ids
/// of the withdrawn ones, and this one.
fn may_withdraw(tables: &Tables) -> bool {
    let members = || tables.live_members().filter(|member| !member.leaving);
    let host_count = members().count() + 1;
    let withdrawn = members().filter(|member| member.is_withdrawn);
    let before: Vec<Id> = match tables.me.withdrawn_until {
        // Others that are withdrawn already have precedence.
        None => withdrawn.map(|member| member.id).collect(),
        Some(_) => withdrawn
            .map(|member| member.id)
            .filter(|id| *id < tables.me.id)
            .collect(),
    };
    before.len() < host_count / HOSTS_PER_WITHDRAWAL
}
