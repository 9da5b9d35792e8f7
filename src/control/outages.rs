//! Outages of the platform, which restart the time for which removals are held back.
//!
//! An outage concerns all hosts: none of them is answered for a while. Each host finds its end
//! from the answers to its own reads and from the heartbeats of the others, which carry the age
//! of their last answer and whether their reads fail. If the platform refuses some hosts and
//! answers others without a pause, that is no outage.

use std::time::Duration;

use super::heartbeat;
use super::message::Heartbeat;
use super::tables::{Member, Tables};
use crate::clock::millis;

/// Maximum error of the time of another host's answer: the variation of the delay of heartbeats
/// on a busy machine.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);

/// An answer of the platform to a host.
pub(super) struct Answer {
    /// Time of the answer.
    pub(super) at: Duration,
    /// Time of the answer to this host before it, if that is known.
    pub(super) earlier: Option<Duration>,
    /// Since when the reads of this host had failed.
    pub(super) failing_since: Option<Duration>,
}

/// Records an answer. If it is the first one after an outage, the time for which removals are
/// held back restarts with it.
pub(super) fn record_answer(tables: &mut Tables, answer: &Answer) {
    let known = tables.platform_reads.last_answer;
    if answer.at <= known {
        return;
    }
    if ends_outage(tables, answer) {
        let hold_until = answer.at + tables.settings.read_pacing.removal_hold;
        let reads = &mut tables.platform_reads;
        reads.hold_until = reads.hold_until.max(hold_until);
        let unheard_ms = millis(answer.at.saturating_sub(known));
        let held = reads.held_removals.len();
        log::info!(unheard_ms, held; "outage_ended");
    }
    tables.platform_reads.last_answer = answer.at;
}

/// Records what the newest heartbeat of a member says about its reads.
pub(super) fn record_member_reads(tables: &mut Tables, now: Duration, heartbeat: &Heartbeat) {
    let Some(member) = tables.members.get_mut(&heartbeat.from) else {
        return;
    };
    let at = heartbeat.read_age.map(|age| now.saturating_sub(age));
    let earlier = std::mem::replace(&mut member.last_read, at);
    let was_failing = member.failing_since;
    let has_recovered = was_failing.is_some_and(|since| at.is_some_and(|at| at > since));
    let is_failing = heartbeat.read_failures > 0;
    let since = was_failing.filter(|_| !has_recovered).unwrap_or(now);
    member.failing_since = is_failing.then_some(since);
    member.read_failures = heartbeat.read_failures;
    if let Some(at) = at {
        let failing_since = was_failing.filter(|_| has_recovered || !is_failing);
        let answer = Answer {
            at,
            earlier,
            failing_since,
        };
        record_answer(tables, &answer);
    }
}

/// Returns true if no host was answered for a while before this answer.
///
/// The signs are a pause that is longer than any between two answers, or a host whose reads
/// have failed since the last answer. The second one does not count if this host was answered
/// before and after it without failing itself: the platform refuses only the other one.
fn ends_outage(tables: &Tables, answer: &Answer) -> bool {
    let known = tables.platform_reads.last_answer;
    let usual_pause = usual_answer_pause(tables);
    let max_pause = usual_pause + tables.settings.read_pacing.response_time;
    if !known.is_zero() && answer.at > known + max_pause {
        return true;
    }
    let is_steady = answer.failing_since.is_none()
        && answer
            .earlier
            .is_some_and(|earlier| answer.at <= earlier + usual_pause);
    let own = tables.platform_reads.values.failing_since;
    let members = tables.live_members().filter_map(failing_since);
    let mut failing = members.chain(own).chain(answer.failing_since);
    !is_steady && failing.any(|since| since + ANSWER_MARGIN >= known)
}

fn failing_since(member: &Member) -> Option<Duration> {
    member.failing_since
}

/// Returns the longest pause between two answers to a host that reads and is answered without
/// delay, as other hosts learn of them: of the answers between two heartbeats only the last.
fn usual_answer_pause(tables: &Tables) -> Duration {
    let pacing = &tables.settings.read_pacing;
    let wait = pacing.min_wait + pacing.wait_jitter;
    wait + pacing.max_pause + heartbeat::cycle_time(tables)
}
