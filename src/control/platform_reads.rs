//! Reads of the platform: a long-poll watch of the values and periodic host list reads.
//!
//! Pauses have jitter and failures back off, so that the whole fleet stays within the
//! platform's read budget, also after an outage.

use std::net::SocketAddr;
use std::time::Duration;

use super::message::{HostList, ValueUpdate, VoterSet};
use super::outages::{self, Answer};
use super::tables::{ReadState, Tables};
use super::{Action, Outbox, apply, freshness, readers, removals, voters};
use crate::clock::millis;
use crate::error::Result;

/// Size in bytes from which an update counts as large.
///
/// On a link of 10 Mbit/s such an update takes longer than a tenth of a second.
const LARGE_UPDATE_BYTES: usize = 100_000;

/// Minimum pause between two reads of the host list.
///
/// A read of the list also shows whether a watch of the values is still answered, so in a zone
/// with few hosts it takes place several times within the 6 s in which a change must be in
/// force.
const MIN_HOSTS_PAUSE: Duration = Duration::from_secs(3);

/// Pause between two reads of the host list for each host of the zone.
///
/// The list grows with the fleet and hosts announce new revisions to each other, so each
/// host of a larger zone needs fewer reads.
const HOSTS_PAUSE_STEP: Duration = Duration::from_millis(600);

/// Maximum random time added to each pause between two reads of the host list, and the
/// maximum delay of the first read.
const MAX_HOSTS_JITTER: Duration = Duration::from_millis(1_500);

/// Maximum pause after a failed read for each host of the group. It bounds the reads of all
/// hosts to ten a second, and those of a few hosts soon notice the platform's return.
const BACKOFF_STEP: Duration = Duration::from_millis(100);

/// Lower limit of the maximum pause after any number of failures.
const MIN_MAX_BACKOFF: Duration = Duration::from_millis(1_500);

/// Starts the reads that are due and applies removals that were held back long enough.
pub(super) fn run(tables: &mut Tables, now: Duration, outbox: &mut Outbox) {
    if !tables.platform_reads.started {
        schedule_first_reads(tables, now);
    }
    removals::release(tables);
    let is_reader = readers::is_reader(tables);
    tables.platform_reads.is_reader = is_reader;
    if is_reader && is_due(&tables.platform_reads.values, now) {
        start_read(&mut tables.platform_reads.values, now);
        tables.counters.reads += 1;
        outbox.push(Action::Watch {
            known_revision: tables.values.highest_revision,
            max_wait: max_wait(tables),
            response_time: tables.settings.read_pacing.response_time,
        });
    }
    if tables.settings.read_pacing.has_list && is_due(&tables.platform_reads.hosts, now) {
        start_read(&mut tables.platform_reads.hosts, now);
        tables.counters.reads += 1;
        outbox.push(Action::ReadHosts);
    }
}

/// Reads from the store at `store_addr` from now on.
///
/// A watch at the earlier address is replaced at once, since that one may never answer it. It
/// is the same store, so known revisions remain comparable. Failures remain counted: if the
/// last reads at the earlier address failed, the first answer ends an outage.
pub(super) fn set_store(
    tables: &mut Tables,
    now: Duration,
    store_addr: SocketAddr,
    outbox: &mut Outbox,
) {
    let reads = &mut tables.platform_reads;
    let earlier = reads.store_addr.replace(store_addr);
    if earlier.is_none_or(|earlier| earlier == store_addr) {
        return;
    }
    if reads.values.in_flight {
        reads.values.in_flight = false;
        tables.counters.replaced_watches += 1;
    }
    reads.values.next_read = now;
    if reads.hosts.failures > 0 {
        reads.hosts.next_read = now;
    }
    run(tables, now, outbox);
}

/// Processes the result of a watch of the values.
pub(super) fn receive_values(tables: &mut Tables, now: Duration, result: Result<ValueUpdate>) {
    tables.platform_reads.values.in_flight = false;
    match result {
        Ok(update) if update.revision < tables.values.highest_revision => {
            tables.counters.stale_reads += 1;
            let failures = count_failure(&mut tables.platform_reads.values, now);
            let known = tables.values.highest_revision;
            log::warn!(failures, known:%, revision:% = update.revision; "read_stale");
            tables.platform_reads.values.next_read = now + backoff(tables, failures);
        }
        Ok(update) => {
            record_recovery(tables, now);
            let pause = tables.settings.read_pacing.max_pause;
            tables.platform_reads.values.next_read = now + tables.jitter(pause);
            if json_bytes(&update) >= LARGE_UPDATE_BYTES {
                tables.snapshot.large_update = Some(now);
            }
            let update = removals::hold(tables, now, update);
            apply_update(tables, &update);
            freshness::note_answer(tables, &update);
        }
        Err(err) => {
            let failures = count_failure(&mut tables.platform_reads.values, now);
            tables.counters.read_failures += 1;
            if failures == 1 {
                // The hosts that rely on this reader learn of its failure at once.
                tables.heartbeats.next_round = now;
            }
            log_failure(&tables.platform_reads.values, now, &err);
            tables.platform_reads.values.next_read = now + backoff(tables, failures);
        }
    }
}

/// Processes the result of a read of the host list.
pub(super) fn receive_hosts(tables: &mut Tables, now: Duration, result: Result<HostList>) {
    tables.platform_reads.hosts.in_flight = false;
    let pause = hosts_pause(tables) + tables.jitter(MAX_HOSTS_JITTER);
    match result {
        Ok(list) if list.revision < tables.voter_sets.latest.revision => {
            tables.counters.stale_reads += 1;
            let failures = count_failure(&mut tables.platform_reads.hosts, now);
            tables.platform_reads.hosts.next_read = now + backoff(tables, failures);
        }
        Ok(list) => {
            check_watch(tables, now, &list);
            tables.platform_reads.hosts.failures = 0;
            tables.platform_reads.hosts.failing_since = None;
            tables.platform_reads.hosts.next_read = now + pause;
            let voters = VoterSet::for_zone(&list, &tables.me.info.zone);
            voters::adopt_latest(&mut tables.voter_sets, voters);
        }
        Err(err) => {
            let failures = count_failure(&mut tables.platform_reads.hosts, now);
            tables.counters.read_failures += 1;
            log_failure(&tables.platform_reads.hosts, now, &err);
            tables.platform_reads.hosts.next_read = now + backoff(tables, failures);
        }
    }
}

/// Replaces a watch that the platform does not answer any more, as the answer to another read
/// shows: the platform has changed since what is known, or it was away after the watch began.
///
/// The change may be to something that is not watched, so one revision replaces one watch only.
fn check_watch(tables: &mut Tables, now: Duration, list: &HostList) {
    let reads = &mut tables.platform_reads;
    if !reads.values.in_flight {
        return;
    }
    let known = tables.values.highest_revision.max(reads.checked_revision);
    let has_changed = list.platform_revision > known;
    let was_away = reads.hosts.failures > 0 && reads.values.started_at < reads.hosts.started_at;
    if has_changed || was_away {
        reads.checked_revision = reads.checked_revision.max(list.platform_revision);
        reads.values.in_flight = false;
        reads.values.next_read = now;
        tables.counters.replaced_watches += 1;
    }
}

fn schedule_first_reads(tables: &mut Tables, now: Duration) {
    tables.platform_reads.started = true;
    let start_jitter = tables.settings.read_pacing.start_jitter;
    tables.platform_reads.values.next_read = now + tables.jitter(start_jitter);
    tables.platform_reads.hosts.next_read = now + tables.jitter(MAX_HOSTS_JITTER);
}

fn hosts_pause(tables: &Tables) -> Duration {
    let others = u32::try_from(tables.live_members().count()).unwrap_or(u32::MAX);
    MIN_HOSTS_PAUSE.max(HOSTS_PAUSE_STEP.saturating_mul(others.saturating_add(1)))
}

fn is_due(read: &ReadState, now: Duration) -> bool {
    !read.in_flight && now >= read.next_read
}

/// Returns the time that the next watch waits for a change.
///
/// After a failure it does not wait: a missing response then shows early that the platform
/// is still away, and its return is noticed by the first read that follows it.
fn max_wait(tables: &mut Tables) -> Duration {
    if tables.platform_reads.values.failures > 0 {
        return Duration::ZERO;
    }
    let pacing = tables.settings.read_pacing;
    pacing.min_wait + tables.jitter(pacing.wait_jitter)
}

fn start_read(read: &mut ReadState, now: Duration) {
    read.in_flight = true;
    read.started_at = now;
}

fn count_failure(read: &mut ReadState, now: Duration) -> u32 {
    read.failing_since.get_or_insert(now);
    read.failures = read.failures.saturating_add(1);
    read.failures
}

fn log_failure(read: &ReadState, now: Duration, err: &crate::Error) {
    let failures = read.failures;
    let waited_ms = millis(now.saturating_sub(read.started_at));
    if failures == 1 {
        log::warn!(waited_ms, cause:% = err; "store_lost");
    } else {
        log::info!(failures, waited_ms, cause:% = err; "read_failed");
    }
}

/// Returns a random pause between half and all of a limit that doubles with each failure.
fn backoff(tables: &mut Tables, failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(16);
    let pacing = tables.settings.read_pacing;
    let pause = pacing.initial_backoff.saturating_mul(1 << doublings);
    let hosts = u32::try_from(tables.live_members().count()).unwrap_or(u32::MAX);
    let longest = BACKOFF_STEP
        .saturating_mul(hosts.saturating_add(1))
        .max(MIN_MAX_BACKOFF);
    let pause = pause.min(pacing.max_backoff).min(longest);
    pause / 2 + tables.jitter(pause / 2)
}

/// Returns the size in bytes of an update's JSON values.
fn json_bytes(update: &ValueUpdate) -> usize {
    let texts = update
        .values
        .iter()
        .filter_map(|change| change.value.json.as_ref());
    texts.map(|json| json.len()).sum()
}

/// Records an answer, which resets the failure count and may end an outage.
fn record_recovery(tables: &mut Tables, now: Duration) {
    let read = &mut tables.platform_reads.values;
    let failures = std::mem::take(&mut read.failures);
    let failing_since = read.failing_since.take();
    let earlier = std::mem::replace(&mut read.last_answer, now);
    if failures > 0 {
        let unheard = now.saturating_sub(earlier);
        log::info!(failures, unheard_ms = millis(unheard); "store_regained");
    }
    let answer = Answer {
        at: now,
        earlier: (!earlier.is_zero()).then_some(earlier),
        failing_since,
    };
    outages::record_answer(tables, &answer);
}

fn apply_update(tables: &mut Tables, update: &ValueUpdate) {
    if update.revision <= tables.values.highest_revision && !update.is_full {
        return;
    }
    apply::from_platform(tables, update);
}
