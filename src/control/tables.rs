//! The control thread's tables.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;

use super::message::{
    FetchRequest, HostInfo, MemberUpdate, Status, Timestamp, ValueChange, Vote, VoterSet,
};
use super::settings::Settings;
use super::values::ValueTable;
use crate::id::{Id, Incarnation};
use crate::snapshot::{Host, Snapshot};

/// Entities of the control thread.
#[derive(Debug, Serialize)]
pub struct Tables {
    /// This host.
    pub me: LocalHost,
    /// The other hosts of the zone, dead ones for a while.
    pub members: BTreeMap<Id, Member>,
    /// Lists of hosts that have a vote.
    #[serde(rename = "rosters")]
    pub voter_sets: VoterSets,
    /// Configuration values.
    pub values: ValueTable,
    /// This host's views of the zone.
    #[serde(rename = "view")]
    pub lease_state: LeaseState,
    /// Counters.
    pub counters: Counters,
    #[serde(rename = "pulse")]
    pub(super) heartbeats: HeartbeatState,
    #[serde(rename = "watch")]
    pub(super) platform_reads: PlatformReads,
    pub(super) fetch: FetchProgress,
    #[serde(skip)]
    pub(super) snapshot: Snapshot,
    #[serde(skip)]
    pub(super) output: PendingOutput,
    #[serde(skip)]
    pub(super) settings: Settings,
    #[serde(skip)]
    pub(super) rng: SmallRng,
}

/// This host as others see it.
#[derive(Clone, Debug, Serialize)]
pub struct LocalHost {
    /// Id of its name.
    pub id: Id,
    /// Its life.
    pub incarnation: Incarnation,
    /// Raised to refute what others believe of it.
    pub version: u32,
    /// When it began to leave.
    #[serde(rename = "leaving")]
    pub leaving_since: Option<Duration>,
    /// True once it has left.
    #[serde(rename = "gone")]
    pub has_left: bool,
    /// Who it is.
    #[serde(rename = "card")]
    pub info: HostInfo,
}

/// Another host of the zone.
#[derive(Clone, Debug, Serialize)]
pub struct Member {
    /// Id of its name.
    pub id: Id,
    /// Its life.
    pub incarnation: Incarnation,
    /// Newest version known.
    pub version: u32,
    /// What is believed of it.
    pub status: Status,
    /// When that was first believed.
    #[serde(rename = "since")]
    pub status_since: Duration,
    /// True if it announced that it leaves.
    pub leaving: bool,
    /// Who it is.
    #[serde(rename = "card")]
    pub info: HostInfo,
    /// When it was last known to be alive.
    #[serde(rename = "heard")]
    pub last_heard: Duration,
    /// When it was last pinged.
    #[serde(rename = "pinged")]
    pub last_ping: Duration,
    /// Its newest stamp.
    #[serde(rename = "sent")]
    pub last_timestamp: Option<Timestamp>,
    /// Its newest vote.
    pub vote: Vote,
    /// Time of this host's message that it last acknowledged.
    #[serde(rename = "acked")]
    pub last_acked: Option<Duration>,
    /// Revision it has in force.
    pub revision: u64,
    /// Reads of the platform that failed since the last answer to it.
    #[serde(rename = "failures")]
    pub read_failures: u32,
    /// Revision of the host list it holds.
    #[serde(rename = "roster")]
    pub list_revision: u64,
    /// Heartbeats that still carry news of it.
    #[serde(rename = "rumor")]
    pub gossip_left: u32,
}

impl Member {
    /// True unless it is believed dead.
    #[must_use]
    pub fn is_live(&self) -> bool {
        self.status != Status::Dead
    }

    /// News of it.
    #[must_use]
    pub fn to_update(&self) -> MemberUpdate {
        let card = (self.status == Status::Alive).then(|| self.info.clone());
        MemberUpdate {
            id: self.id,
            incarnation: self.incarnation,
            version: self.version,
            status: self.status,
            leaving: self.leaving,
            info: card,
        }
    }
}

/// Newest roster, and the one agreed on before it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct VoterSets {
    /// Newest roster known.
    #[serde(rename = "pending")]
    pub latest: VoterSet,
    /// Last roster that a majority held for the hold time.
    #[serde(rename = "base")]
    pub agreed: Option<VoterSet>,
}

/// This host's views of the zone, and the lease that they give.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LeaseState {
    /// Views that this or another host may act on, newest first.
    #[serde(rename = "seen")]
    pub views: Vec<View>,
    /// Time from which votes of this host count.
    #[serde(rename = "fresh")]
    pub votes_from: Duration,
    /// When the live hosts last changed.
    #[serde(rename = "changed")]
    pub hosts_changed: Duration,
    /// Time at which the lease runs out.
    #[serde(rename = "lease")]
    pub lease_until: Duration,
}

/// A view of the zone.
#[derive(Clone, Debug, Serialize)]
pub struct View {
    /// Digest of the live hosts and of the roster.
    pub digest: u64,
    /// Live hosts.
    #[serde(skip)]
    pub hosts: Arc<[Host]>,
    /// Roster.
    #[serde(skip)]
    pub voters: VoterSet,
    /// When this host left it; none for the current view.
    #[serde(rename = "left")]
    pub left_at: Option<Duration>,
}

impl LeaseState {
    /// Digest of the current view.
    #[must_use]
    pub fn digest(&self) -> Option<u64> {
        self.views.first().map(|seen| seen.digest)
    }
}

impl View {
    /// True if it was left longer ago than the hold time.
    #[must_use]
    pub fn is_expired(&self, now: Duration, hold: Duration) -> bool {
        self.left_at.is_some_and(|left| now > left + hold)
    }
}

/// Heartbeat state.
#[derive(Debug, Default, Serialize)]
pub(super) struct HeartbeatState {
    #[serde(rename = "due")]
    pub(super) next_round: Duration,
    #[serde(rename = "ticked")]
    pub(super) last_tick: Duration,
    #[serde(rename = "cursor")]
    pub(super) last_target: Id,
    pub(super) penalty: u32,
    #[serde(rename = "decay")]
    pub(super) next_decay: Duration,
}

/// State of the platform reads.
#[derive(Debug, Default, Serialize)]
pub(super) struct PlatformReads {
    pub(super) values: ReadState,
    pub(super) hosts: ReadState,
    pub(super) started: bool,
    /// True while this host is one of those that read.
    #[serde(rename = "reads")]
    pub(super) is_reader: bool,
    /// Time until which removals wait, after the platform was away.
    #[serde(rename = "doubt")]
    pub(super) hold_until: Duration,
    /// Removals that wait.
    #[serde(skip)]
    pub(super) held_removals: Vec<ValueChange>,
}

/// One repeated read.
#[derive(Debug, Default, Serialize)]
pub(super) struct ReadState {
    #[serde(rename = "due")]
    pub(super) next_read: Duration,
    #[serde(rename = "pending")]
    pub(super) in_flight: bool,
    pub(super) failures: u32,
}

/// Fetches from other hosts.
#[derive(Debug, Default, Serialize)]
pub(super) struct FetchProgress {
    #[serde(rename = "pending")]
    pub(super) pending_since: Option<Duration>,
    #[serde(rename = "due")]
    pub(super) next_fetch: Duration,
    #[serde(rename = "differs")]
    pub(super) differs_since: Option<Duration>,
    /// Time since when another host has a newer revision.
    #[serde(rename = "behind")]
    pub(super) behind_since: Option<Duration>,
    #[serde(rename = "joined")]
    pub(super) has_members: bool,
    #[serde(rename = "failed")]
    pub(super) failed_peer: Option<SocketAddr>,
    #[serde(rename = "to")]
    pub(super) peer: Option<SocketAddr>,
    #[serde(skip)]
    pub(super) request: FetchRequest,
}

/// What was last published.
#[derive(Debug, Default)]
pub(super) struct PendingOutput {
    pub(super) dirty: bool,
    pub(super) drained: bool,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Counters {
    /// Heartbeats sent.
    #[serde(rename = "beats_out")]
    pub heartbeats_sent: u64,
    /// Heartbeats received.
    #[serde(rename = "beats_in")]
    pub heartbeats_received: u64,
    /// Messages that could not be read or trusted, or were of another zone.
    pub rejected: u64,
    /// Late ticks of this host itself.
    pub stalls: u64,
    /// Suspicions raised here.
    pub suspicions: u64,
    /// Suspicions against this host that it refuted.
    pub refutations: u64,
    /// Hosts declared dead.
    #[serde(rename = "deaths")]
    pub members_died: u64,
    /// Reads of the platform.
    pub reads: u64,
    /// Reads of the platform that failed.
    pub read_failures: u64,
    /// Answers of a stale platform replica.
    pub stale_reads: u64,
    /// Value sets that were refused.
    pub refused_values: u64,
    /// Value sets put into force.
    pub accepted_values: u64,
    /// Fetches from other hosts.
    pub fetches: u64,
    /// Fetches that failed.
    pub fetch_failures: u64,
    /// Snapshots published.
    #[serde(rename = "published")]
    pub snapshots_published: u64,
    /// Times the lease was gained after it had run out.
    #[serde(rename = "leases")]
    pub leases_gained: u64,
}

impl Tables {
    pub(super) fn new(settings: Settings, now: Duration) -> Self {
        let card = settings.info.clone();
        let mut rng = SmallRng::seed_from_u64(settings.rng_seed);
        let me = LocalHost {
            id: Id::of(&card.name),
            incarnation: settings.incarnation,
            version: 0,
            leaving_since: None,
            has_left: false,
            info: card,
        };
        let pulse = HeartbeatState {
            next_round: now,
            last_tick: now,
            last_target: Id(rng.random()),
            ..HeartbeatState::default()
        };
        Self {
            me,
            members: BTreeMap::new(),
            voter_sets: VoterSets::default(),
            values: ValueTable::default(),
            lease_state: LeaseState {
                votes_from: now + settings.lease_timing.hold_time,
                ..LeaseState::default()
            },
            counters: Counters::default(),
            heartbeats: pulse,
            platform_reads: PlatformReads::default(),
            fetch: FetchProgress::default(),
            snapshot: Snapshot::empty(settings.keys.clone()),
            output: PendingOutput {
                dirty: true,
                drained: false,
            },
            settings,
            rng,
        }
    }

    /// Live members, this host excluded.
    pub fn live_members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| member.is_live())
    }

    /// All live hosts with this one, in order of their ids.
    pub(super) fn live_hosts(&self) -> Arc<[Host]> {
        let me = Host {
            id: self.me.id,
            name: Arc::clone(&self.me.info.name),
            incarnation: self.me.incarnation,
            lanes: self.me.info.lanes.clone(),
            leaving: self.me.leaving_since.is_some() || self.voter_sets.is_leaving(&self.me.info),
        };
        let mut hosts: Vec<Host> = self
            .live_members()
            .map(|member| self.member_host(member))
            .collect();
        hosts.push(me);
        hosts.sort_by_key(|host| host.id);
        hosts.into()
    }

    fn member_host(&self, member: &Member) -> Host {
        Host {
            id: member.id,
            name: Arc::clone(&member.info.name),
            incarnation: member.incarnation,
            lanes: member.info.lanes.clone(),
            leaving: member.leaving || self.voter_sets.is_leaving(&member.info),
        }
    }

    /// A random time between zero and `limit`.
    pub(super) fn jitter(&mut self, limit: Duration) -> Duration {
        limit.mul_f64(self.rng.random())
    }
}
