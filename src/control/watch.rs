//! Reads of the platform: a long watch of the values, the host list now and then.
//!
//! Every pause has jitter and failures back off, so that the whole fleet stays
//! within the platform's read budget, also after an outage.

use std::time::Duration;

use super::message::{Hosts, Roster, Update};
use super::spread;
use super::tables::{Read, Tables};
use super::{Action, Outbox, roster};
use crate::error::Result;

/// Shortest time that a watch waits for something new.
const WAIT: Duration = Duration::from_secs(20);

/// Most that is added to [`WAIT`] at random.
const WAIT_JITTER: Duration = Duration::from_secs(10);

/// Longest pause between two watches.
const WATCH_PAUSE: Duration = Duration::from_secs(1);

/// Shortest pause between two reads of the host list.
const HOSTS_PAUSE: Duration = Duration::from_secs(4);

/// What each host of the zone adds to the pause between two reads of the host list.
///
/// The list grows with the fleet and hosts tell each other of a new one, so that a
/// larger zone needs fewer reads from each host.
const HOSTS_SHARE: Duration = Duration::from_millis(600);

/// Most that is added to [`HOSTS_PAUSE`] at random, also at the start.
const HOSTS_JITTER: Duration = Duration::from_secs(2);

/// Pause after the first failure.
const BACKOFF: Duration = Duration::from_secs(1);

/// Longest pause after a failure.
const BACKOFF_LIMIT: Duration = Duration::from_secs(8);

/// Starts the reads that are due.
pub(super) fn run(tables: &mut Tables, now: Duration, outbox: &mut Outbox) {
    if !tables.watch.started {
        spread_start(tables, now);
    }
    if is_due(&tables.watch.values, now) {
        tables.watch.values.pending = true;
        tables.counters.reads += 1;
        let wait = WAIT + tables.jitter(WAIT_JITTER);
        let after = tables.values.seen;
        outbox.push(Action::Watch { after, wait });
    }
    if is_due(&tables.watch.hosts, now) {
        tables.watch.hosts.pending = true;
        tables.counters.reads += 1;
        outbox.push(Action::ReadHosts);
    }
}

/// Takes in the platform's values.
pub(super) fn receive_values(tables: &mut Tables, now: Duration, answer: Result<Update>) {
    tables.watch.values.pending = false;
    match answer {
        Ok(update) if update.revision < tables.values.seen => {
            tables.counters.stale_reads += 1;
            let failures = fail(&mut tables.watch.values);
            tables.watch.values.due = now + backoff(tables, failures);
        }
        Ok(update) => {
            tables.watch.values.failures = 0;
            tables.watch.values.due = now + tables.jitter(WATCH_PAUSE);
            take(tables, &update);
        }
        Err(err) => {
            let failures = fail(&mut tables.watch.values);
            note_failure(tables, failures, &err);
            tables.watch.values.due = now + backoff(tables, failures);
        }
    }
}

/// Takes in the platform's host list.
pub(super) fn receive_hosts(tables: &mut Tables, now: Duration, answer: Result<Hosts>) {
    tables.watch.hosts.pending = false;
    let pause = hosts_pause(tables) + tables.jitter(HOSTS_JITTER);
    match answer {
        Ok(list) if list.revision < tables.rosters.pending.revision => {
            tables.counters.stale_reads += 1;
            let failures = fail(&mut tables.watch.hosts);
            tables.watch.hosts.due = now + backoff(tables, failures);
        }
        Ok(list) => {
            tables.watch.hosts.failures = 0;
            tables.watch.hosts.due = now + pause;
            let roster = Roster::of_zone(&list, &tables.me.card.zone);
            roster::offer(&mut tables.rosters, roster);
        }
        Err(err) => {
            let failures = fail(&mut tables.watch.hosts);
            note_failure(tables, failures, &err);
            tables.watch.hosts.due = now + backoff(tables, failures);
        }
    }
}

fn spread_start(tables: &mut Tables, now: Duration) {
    tables.watch.started = true;
    tables.watch.values.due = now + tables.jitter(WATCH_PAUSE);
    tables.watch.hosts.due = now + tables.jitter(HOSTS_JITTER);
}

fn hosts_pause(tables: &Tables) -> Duration {
    let hosts = u32::try_from(tables.live().count() + 1).unwrap_or(u32::MAX);
    HOSTS_PAUSE.max(HOSTS_SHARE.saturating_mul(hosts))
}

fn is_due(read: &Read, now: Duration) -> bool {
    !read.pending && now >= read.due
}

fn fail(read: &mut Read) -> u32 {
    read.failures = read.failures.saturating_add(1);
    read.failures
}

fn note_failure(tables: &mut Tables, failures: u32, err: &crate::Error) {
    tables.counters.read_failures += 1;
    if failures == 1 {
        log::warn!("source=platform state=failing cause=\"{err}\"");
    }
}

/// Between half and all of a pause that doubles with each failure.
fn backoff(tables: &mut Tables, failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(16);
    let pause = BACKOFF.saturating_mul(1 << doublings).min(BACKOFF_LIMIT);
    pause / 2 + tables.jitter(pause / 2)
}

fn take(tables: &mut Tables, update: &Update) {
    if update.revision <= tables.values.seen {
        return;
    }
    let build = tables.settings.build.clone();
    match tables.values.merge(update, &build) {
        Ok(outcome) => spread::put_into_force(tables, outcome),
        Err(err) => {
            tables.counters.refused_values += 1;
            log::warn!("revision={} state=refused cause=\"{err}\"", update.revision);
        }
    }
}
