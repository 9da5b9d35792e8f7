//! Spread of configuration, rosters and members between hosts.
//!
//! Heartbeats tell what a host holds. One that is behind fetches the difference
//! from one that is ahead, so a change costs its own size.

use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;

use super::message::{FetchRequest, FetchResponse, MemberUpdate, Status, ValueUpdate};
use super::tables::{Member, Tables};
use super::values::BuiltConfig;
use super::{Action, Outbox, members, readers, voters};
use crate::error::Result;
use crate::id::Id;

/// Time after which a fetch without an answer is given up.
const FETCH_LIMIT: Duration = Duration::from_secs(4);

/// Revision above all, for a fetch that asks for no values.
const NO_VALUES: u64 = u64::MAX;

/// Time for which a host without any values waits for its own first read.
const FIRST_PATIENCE: Duration = Duration::from_millis(300);

/// Longest pause after a fetch.
const FETCH_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause after a fetch that failed.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Time for which views may differ before members are compared.
const DIFFER_LIMIT: Duration = Duration::from_secs(3);

/// Starts a fetch if this host is behind another.
pub(super) fn run(tables: &mut Tables, now: Duration, outbox: &mut Outbox) {
    let differs = compare_views(tables, now);
    compare_revisions(tables, now);
    let state = &mut tables.fetch;
    if state
        .pending_since
        .is_some_and(|since| now > since + FETCH_LIMIT)
    {
        state.pending_since = None;
    }
    if state.pending_since.is_some() || now < state.next_fetch {
        return;
    }
    if let Some((id, ask)) = choose(tables, differs, wants_values(tables, now)) {
        start(tables, now, id, ask, outbox);
    }
}

/// Takes in the answer to a fetch.
pub(super) fn receive(tables: &mut Tables, now: Duration, answer: Result<FetchResponse>) {
    tables.fetch.pending_since = None;
    let Ok(fetched) = answer else {
        tables.counters.fetch_failures += 1;
        tables.fetch.failed_peer = tables.fetch.peer;
        tables.fetch.next_fetch = now + tables.jitter(RETRY_PAUSE);
        return;
    };
    tables.fetch.failed_peer = None;
    tables.fetch.next_fetch = now + tables.jitter(FETCH_PAUSE);
    take(tables, now, fetched);
}

/// Answers another host's fetch.
pub(super) fn answer(tables: &Tables, ask: &FetchRequest) -> FetchResponse {
    let pending = ask.voters.then(|| tables.voter_sets.latest.clone());
    let base = tables.voter_sets.agreed.clone().filter(|_| ask.voters);
    let members = if ask.members {
        all_news(tables)
    } else {
        Vec::new()
    };
    FetchResponse {
        values: tables.values.update(ask.known_revision),
        latest_voters: pending,
        agreed_voters: base,
        members,
    }
}

/// Puts what was built from accepted values into force.
pub(super) fn put_into_force(tables: &mut Tables, built: BuiltConfig) {
    tables.counters.accepted_values += 1;
    let keys = built.keys.unwrap_or_else(|| tables.settings.keys.clone());
    let mut snapshot = tables.snapshot.clone().with_services(built.services);
    snapshot.revision = tables.values.revision;
    snapshot.keys = keys;
    snapshot.routes = Arc::new(built.routes);
    tables.snapshot = snapshot;
    tables.output.dirty = true;
    log::info!(revision = tables.values.revision; "values_in_force");
}

/// Members whose view has differed from this host's for too long.
fn compare_views(tables: &mut Tables, now: Duration) -> bool {
    let digest = tables.lease_state.digest();
    let differs = tables.live().any(|member| current_view(member) != digest);
    if !differs {
        tables.fetch.differs_since = None;
        return false;
    }
    let since = *tables.fetch.differs_since.get_or_insert(now);
    now > since + DIFFER_LIMIT
}

/// Notes since when another host has a newer revision.
fn compare_revisions(tables: &mut Tables, now: Duration) {
    let revision = tables.values.revision;
    let behind = tables.live().any(|member| member.revision > revision);
    tables.fetch.behind_since = behind.then(|| tables.fetch.behind_since.unwrap_or(now));
}

/// True when a newer revision is asked of other hosts: this host does not read the
/// platform, that does not answer, or the answer is late.
fn wants_values(tables: &Tables, now: Duration) -> bool {
    let lost = tables.platform_reads.values.failures > 0;
    let patience = match tables.values.revision {
        0 => tables.settings.read_pacing.fetch_delay.min(FIRST_PATIENCE),
        _ if readers::is_reader(tables) => tables.settings.read_pacing.fetch_delay,
        _ => Duration::ZERO,
    };
    let late = |since| now >= since + patience;
    tables
        .fetch
        .behind_since
        .is_some_and(|since| lost || late(since))
}

fn current_view(member: &Member) -> Option<u64> {
    member.vote.views.first().copied()
}

fn choose(tables: &mut Tables, differs: bool, values: bool) -> Option<(Id, FetchRequest)> {
    let joined = tables.fetch.has_members;
    let wanted = |member: &Member| FetchRequest {
        known_revision: if values {
            tables.values.revision
        } else {
            NO_VALUES
        },
        voters: wants_rosters(tables, member),
        members: !joined || (differs && current_view(member) != tables.lease_state.digest()),
    };
    let mut ahead: Vec<(Id, FetchRequest)> = tables
        .live()
        .filter(|member| member.status == Status::Alive && member.last_timestamp.is_some())
        .map(|member| (member, wanted(member)))
        .filter(|(member, ask)| {
            let newer = values && member.revision > tables.values.revision;
            ask.voters || ask.members || newer
        })
        .map(|(member, ask)| (member.id, ask))
        .collect();
    if ahead.len() > 1 {
        let failed = tables.fetch.failed_peer;
        ahead.retain(|(id, _)| Some(tables.members[id].info.peer_addr) != failed);
    }
    let place = &tables.me.info.availability_zone;
    let is_near = |id: &Id| tables.members[id].info.availability_zone == *place;
    if ahead.iter().any(|(id, _)| is_near(id)) {
        ahead.retain(|(id, _)| is_near(id));
    }
    ahead.choose(&mut tables.rng).copied()
}

fn wants_rosters(tables: &Tables, member: &Member) -> bool {
    let rosters = &tables.voter_sets;
    let base = member.vote.agreed_digest;
    let foreign = base != 0 && base != rosters.base_digest() && base != rosters.latest.digest;
    foreign || member.list_revision > rosters.latest.revision
}

fn start(tables: &mut Tables, now: Duration, id: Id, ask: FetchRequest, outbox: &mut Outbox) {
    let to = tables.members[&id].info.peer_addr;
    tables.counters.fetches += 1;
    tables.fetch.pending_since = Some(now);
    tables.fetch.peer = Some(to);
    tables.fetch.request = ask;
    if ask.members {
        tables.fetch.differs_since = None;
    }
    outbox.push(Action::Fetch { to, request: ask });
}

fn take(tables: &mut Tables, now: Duration, fetched: FetchResponse) {
    if tables.fetch.request.known_revision != NO_VALUES {
        take_values(tables, &fetched.values);
    }
    if let Some(pending) = fetched.latest_voters {
        voters::offer(&mut tables.voter_sets, pending);
    }
    if let Some(base) = fetched.agreed_voters {
        voters::offer_base(&mut tables.voter_sets, base);
    }
    for news in &fetched.members {
        members::apply(tables, now, news);
    }
    tables.fetch.has_members |= tables.fetch.request.members;
}

fn take_values(tables: &mut Tables, update: &ValueUpdate) {
    if update.revision <= tables.values.revision {
        return;
    }
    let build = tables.settings.build.clone();
    match tables.values.merge_accepted(update, &build) {
        Ok(outcome) => put_into_force(tables, outcome),
        Err(err) => {
            tables.counters.refused_values += 1;
            log::warn!(source = "host", cause:% = err; "values_refused");
        }
    }
}

fn all_news(tables: &Tables) -> Vec<MemberUpdate> {
    let me = MemberUpdate {
        id: tables.me.id,
        incarnation: tables.me.incarnation,
        version: tables.me.version,
        status: Status::Alive,
        leaving: tables.me.leaving_since.is_some(),
        info: Some(tables.me.info.clone()),
    };
    let members = tables.members.values().map(Member::to_update);
    members.chain([me]).collect()
}
