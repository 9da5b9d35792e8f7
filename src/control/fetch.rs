//! Fetches configuration, voter sets and members from other hosts.
//!
//! Heartbeats carry the revisions that a host has. A host that is behind fetches only the
//! difference from one that is ahead, so the traffic is proportional to the change.

use std::time::Duration;

use rand::seq::IndexedRandom;

use super::heartbeat::HEARTBEAT_PERIOD;
use super::message::{FetchRequest, FetchResponse, MemberUpdate, Status, ValueChange, ValueUpdate};
use super::tables::{Member, Tables};
use super::{Action, Outbox, apply, members, readers, removals, voters, zone_fetch};
use crate::clock::millis;
use crate::error::Result;
use crate::id::{Id, Name};
use crate::revision::Revision;

/// Time after which a fetch without a response is abandoned.
const FETCH_TIMEOUT: Duration = Duration::from_secs(4);

/// Time in which the response to a fetch must begin. With a heartbeat before it and another
/// fetch after it, a change is still in force within 3 s.
const RESPONSE_TIME: Duration = Duration::from_secs(1);

/// Revision above all others, for a fetch that requests no values.
const NO_VALUES: Revision = Revision::MAX;

/// Time that a host without values waits for its own first read, and for the heartbeats of all
/// hosts that it has contacted: the first one to be heard may be far behind the others.
const FIRST_FETCH_DELAY: Duration = HEARTBEAT_PERIOD;

/// Maximum random pause after a fetch, also after a first failure, since the next fetch goes
/// to another host.
const MAX_FETCH_PAUSE: Duration = Duration::from_millis(200);

/// Maximum random pause after a fetch that failed like the one before it.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Time after its first values in which a host asks another one for those whose removal that holds
/// back: three heartbeats, until others have its revision, and two fetches that fail.
const HELD_FETCH_TIME: Duration = Duration::from_millis(3_500);

/// Time for which views may differ before all members are fetched.
const VIEW_DIFFER_TIME: Duration = Duration::from_secs(3);

/// Starts a fetch if this host is behind another.
pub(super) fn run(tables: &mut Tables, now: Duration, outbox: &mut Outbox) {
    let views_differ = compare_views(tables, now);
    compare_revisions(tables, now);
    zone_fetch::run(tables, now);
    note_first_values(tables, now);
    let progress = &mut tables.fetch;
    if progress
        .pending_since
        .is_some_and(|since| now > since + FETCH_TIMEOUT)
    {
        progress.pending_since = None;
    }
    if progress.pending_since.is_some() || now < progress.next_fetch {
        return;
    }
    let chosen = choose_peer(tables, now, views_differ);
    if let Some((id, request)) = chosen.or_else(|| choose_holder(tables, now)) {
        start(tables, now, id, request, outbox);
    }
}

/// Starts to ask for the values that other hosts still use, once this host has its first values:
/// the platform may have been restored from a copy without them.
fn note_first_values(tables: &mut Tables, now: Duration) {
    if !tables.fetch.has_values && !tables.values.revision.is_none() {
        tables.fetch.has_values = true;
        tables.fetch.held_until = Some(now + HELD_FETCH_TIME);
    }
}

/// Processes the result of a fetch, unless that has been abandoned: another request may be
/// pending, for which the result would be taken.
pub(super) fn receive(
    tables: &mut Tables,
    now: Duration,
    number: u64,
    result: Result<FetchResponse>,
) {
    let is_pending = number == tables.fetch.number;
    let Some(started_at) = tables.fetch.pending_since.take_if(|_| is_pending) else {
        tables.counters.stale_fetches += 1;
        return;
    };
    match result {
        Ok(fetched) => {
            tables.fetch.failed_peer = None;
            let pause = zone_fetch::values_pause(tables) + tables.jitter(MAX_FETCH_PAUSE);
            tables.fetch.next_fetch = now + pause;
            apply_response(tables, now, fetched);
        }
        Err(err) => {
            let failed_before = tables.fetch.failed_peer.is_some();
            let max_pause = if failed_before {
                MAX_RETRY_PAUSE
            } else {
                MAX_FETCH_PAUSE
            };
            tables.counters.fetch_failures += 1;
            tables.fetch.failed_peer = tables.fetch.peer;
            tables.fetch.next_fetch = now + tables.jitter(max_pause);
            let waited = now.saturating_sub(started_at);
            log::warn!(waited_ms = millis(waited), cause:% = err; "fetch_failed");
        }
    }
}

/// Returns the response to another host's fetch.
pub(super) fn respond(tables: &Tables, request: &FetchRequest) -> FetchResponse {
    let latest_voters = request.voters.then(|| tables.voter_sets.latest.clone());
    let agreed_voters = tables.voter_sets.agreed.clone().filter(|_| request.voters);
    let members = if request.members {
        all_updates(tables)
    } else {
        Vec::new()
    };
    let (values, held_removals) = if request.held {
        removals::held_values(tables, request.known_revision)
    } else {
        let values = tables.values.changes_after(request.known_revision);
        (values, removals::held_after(tables, request.known_revision))
    };
    FetchResponse {
        values,
        held_removals,
        latest_voters,
        agreed_voters,
        members,
    }
}

/// Returns true if the view of a member has differed from this host's for too long.
fn compare_views(tables: &mut Tables, now: Duration) -> bool {
    let digest = tables.lease_state.view_digest();
    let views_differ = tables
        .live_members()
        .any(|member| current_view(member) != digest);
    if !views_differ {
        tables.fetch.differs_since = None;
        return false;
    }
    let since = *tables.fetch.differs_since.get_or_insert(now);
    now > since + VIEW_DIFFER_TIME
}

/// Records since when another host has had a newer revision.
fn compare_revisions(tables: &mut Tables, now: Duration) {
    let revision = tables.values.revision;
    let is_behind = tables
        .live_members()
        .any(|member| member.revision > revision);
    tables.fetch.behind_since = is_behind.then(|| tables.fetch.behind_since.unwrap_or(now));
}

/// Returns true if newer values should be fetched from another host: this host does not read
/// the platform, its reads fail, or its read is late.
fn wants_values(tables: &Tables, now: Duration) -> bool {
    let reads_failing = tables.platform_reads.values.failures > 0;
    let delay = if tables.values.revision.is_none() {
        FIRST_FETCH_DELAY
    } else if readers::is_reader(tables) && !reads_failing {
        tables.settings.read_pacing.fetch_delay
    } else {
        Duration::ZERO
    };
    let is_late = |since| now >= since + delay;
    tables.fetch.behind_since.is_some_and(is_late)
}

fn current_view(member: &Member) -> Option<u64> {
    member.vote.views.first().copied()
}

fn choose_peer(
    tables: &mut Tables,
    now: Duration,
    views_differ: bool,
) -> Option<(Id, FetchRequest)> {
    let with_values = wants_values(tables, now);
    let from_far = zone_fetch::is_allowed(tables, now);
    let own_zone = Name::clone(&tables.me.info.availability_zone);
    let has_members = tables.fetch.has_members;
    let request_for = |member: &Member| FetchRequest {
        known_revision: if with_values {
            tables.values.revision
        } else {
            NO_VALUES
        },
        voters: wants_voters(tables, member),
        members: !has_members
            || (views_differ && current_view(member) != tables.lease_state.view_digest()),
        held: false,
    };
    let mut candidates: Vec<(Id, FetchRequest)> = tables
        .live_members()
        .filter(|member| member.status == Status::Alive && member.last_timestamp.is_some())
        .map(|member| (member, request_for(member)))
        .filter(|(member, request)| {
            let is_reachable = from_far || member.info.availability_zone == own_zone;
            let newer = with_values && is_reachable && member.revision > tables.values.revision;
            request.voters || request.members || newer
        })
        .map(|(member, request)| (member.id, request))
        .collect();
    if candidates.len() > 1 {
        let failed = tables.fetch.failed_peer;
        candidates.retain(|(id, _)| Some(tables.members[id].info.peer_addr) != failed);
    }
    if with_values && tables.values.revision.is_none() {
        // A host that has just started may have known more in its last run than some of the
        // others do, and must not use again what was removed.
        let revision_of = |id: &Id| tables.members[id].revision;
        let newest = candidates.iter().map(|(id, _)| revision_of(id)).max();
        candidates.retain(|(id, _)| Some(revision_of(id)) == newest);
    }
    let is_near = |id: &Id| tables.members[id].info.availability_zone == own_zone;
    if candidates.iter().any(|(id, _)| is_near(id)) {
        candidates.retain(|(id, _)| is_near(id));
    }
    candidates.choose(&mut tables.rng).copied()
}

/// Returns the host to ask for the values whose removal it holds back, if this one should ask: the
/// oldest one, once it is not behind this host. One that has just started may lack them too.
fn choose_holder(tables: &Tables, now: Duration) -> Option<(Id, FetchRequest)> {
    tables.fetch.held_until.filter(|until| now < *until)?;
    let older = tables
        .live_members()
        .filter(|member| member.status == Status::Alive)
        .filter(|member| member.incarnation < tables.me.incarnation)
        .filter(|member| Some(member.info.peer_addr) != tables.fetch.failed_peer);
    let oldest = older.min_by_key(|member| member.incarnation)?;
    let request = FetchRequest {
        known_revision: tables.values.revision,
        voters: false,
        members: false,
        held: true,
    };
    (oldest.revision >= tables.values.revision).then_some((oldest.id, request))
}

fn wants_voters(tables: &Tables, member: &Member) -> bool {
    let voter_sets = &tables.voter_sets;
    let digest = member.vote.agreed_digest;
    let is_unknown =
        digest != 0 && digest != voter_sets.agreed_digest() && digest != voter_sets.latest.digest;
    is_unknown || member.list_revision > voter_sets.latest.revision
}

fn start(tables: &mut Tables, now: Duration, id: Id, request: FetchRequest, outbox: &mut Outbox) {
    let to = tables.members[&id].info.peer_addr;
    tables.counters.fetches += 1;
    tables.fetch.number += 1;
    tables.fetch.pending_since = Some(now);
    tables.fetch.peer = Some(to);
    tables.fetch.request = request;
    if request.members {
        tables.fetch.differs_since = None;
    }
    outbox.push(Action::Fetch {
        number: tables.fetch.number,
        to,
        request,
        response_time: RESPONSE_TIME,
    });
}

fn apply_response(tables: &mut Tables, now: Duration, fetched: FetchResponse) {
    if tables.fetch.request.known_revision != NO_VALUES {
        apply_values(tables, now, fetched.values, fetched.held_removals);
    }
    if let Some(latest_voters) = fetched.latest_voters {
        voters::adopt_latest(&mut tables.voter_sets, latest_voters);
    }
    if let Some(agreed_voters) = fetched.agreed_voters {
        voters::adopt_agreed(&mut tables.voter_sets, agreed_voters);
    }
    for update in &fetched.members {
        members::apply_update(tables, now, update);
    }
    tables.fetch.has_members |= tables.fetch.request.members;
}

fn apply_values(tables: &mut Tables, now: Duration, update: ValueUpdate, held: Vec<ValueChange>) {
    let request = tables.fetch.request;
    // A host of an older release answers with newer values instead.
    if request.held && update.revision == request.known_revision {
        tables.fetch.held_until = None;
        removals::adopt_values(tables, now, &update, &held);
        return;
    }
    if update.revision > tables.values.revision {
        let has_values = !tables.values.revision.is_none();
        if update.is_full && has_values {
            removals::hold_from_now(tables, now);
        }
        let update = removals::hold(tables, now, update);
        removals::adopt(tables, now, held);
        apply::from_host(tables, &update);
    }
}

fn all_updates(tables: &Tables) -> Vec<MemberUpdate> {
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
