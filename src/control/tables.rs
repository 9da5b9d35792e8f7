//! Tables of the control thread.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;

use super::evacuations::EvacuationTable;
use super::freshness::Freshness;
use super::majority::Majority;
use super::message::{
    FetchRequest, HostInfo, MemberUpdate, Status, Timestamp, ValueChange, Vote, VoterSet,
};
use super::settings::Settings;
use super::values::ValueTable;
use crate::id::{Id, Incarnation};
use crate::report::{HostReport, LaneReport, ReceivedZoneReport, ZoneReport};
use crate::revision::{Revision, serialize_number};
use crate::segment::Route;
use crate::snapshot::{Host, Snapshot};

/// All state of the control thread.
#[derive(Debug, Serialize)]
pub struct Tables {
    /// This host.
    pub me: LocalHost,
    /// Other hosts of the zone; dead ones are kept for a while.
    pub members: BTreeMap<Id, Member>,
    /// Hosts that vote on leases.
    #[serde(rename = "rosters")]
    pub voter_sets: VoterSets,
    /// Configuration values.
    pub values: ValueTable,
    /// This host's views of the zone and its lease.
    #[serde(rename = "view")]
    pub lease_state: LeaseState,
    /// Event counters since the start.
    pub counters: Counters,
    #[serde(rename = "pulse")]
    pub(super) heartbeats: HeartbeatState,
    #[serde(rename = "watch")]
    pub(super) platform_reads: PlatformReads,
    pub(super) fetch: FetchProgress,
    /// What this host and others report about endpoints and load.
    pub reports: ReportTable,
    /// Evacuation orders in force.
    pub evacuations: EvacuationTable,
    /// Age of the configuration in force.
    pub freshness: Freshness,
    /// Routes at the last event, by which removed ones are found.
    #[serde(skip)]
    pub(super) known_routes: Arc<HashMap<SocketAddr, Route>>,
    #[serde(skip)]
    pub(super) majority: Majority,
    #[serde(skip)]
    pub(super) snapshot: Snapshot,
    #[serde(skip)]
    pub(super) output: PendingOutput,
    #[serde(skip)]
    pub(super) settings: Settings,
    #[serde(skip)]
    pub(super) rng: SmallRng,
}

/// State of this host that it announces to others.
#[derive(Clone, Debug, Serialize)]
pub struct LocalHost {
    /// Id of its name.
    pub id: Id,
    /// Incarnation of this host.
    pub incarnation: Incarnation,
    /// Version, which is raised to refute wrong updates about this host.
    pub version: u32,
    /// When its shutdown began.
    #[serde(rename = "leaving")]
    pub leaving_since: Option<Duration>,
    /// True once its shutdown is complete.
    #[serde(rename = "gone")]
    pub has_left: bool,
    /// Name, zones and addresses.
    #[serde(rename = "card")]
    pub info: HostInfo,
}

/// Another host of the zone.
#[derive(Clone, Debug, Serialize)]
pub struct Member {
    /// Id of its name.
    pub id: Id,
    /// Incarnation of the member.
    pub incarnation: Incarnation,
    /// Newest version known.
    pub version: u32,
    /// Status of the member.
    pub status: Status,
    /// When the status was last set.
    #[serde(rename = "since")]
    pub status_since: Duration,
    /// True if it has announced its shutdown.
    pub leaving: bool,
    /// Name, zones and addresses.
    #[serde(rename = "card")]
    pub info: HostInfo,
    /// When it was last known to be alive.
    #[serde(rename = "heard")]
    pub last_heard: Duration,
    /// When it was last pinged.
    #[serde(rename = "pinged")]
    pub last_ping: Duration,
    /// Send time of its newest heartbeat.
    #[serde(rename = "sent")]
    pub last_timestamp: Option<Timestamp>,
    /// Vote of its newest heartbeat.
    pub vote: Vote,
    /// Send time of this host's newest heartbeat that it has acknowledged.
    #[serde(rename = "acked")]
    pub acked_timestamp: Option<Duration>,
    /// Latest time for which its values are known to be current; zero if there is none.
    #[serde(rename = "current")]
    pub current_at: Duration,
    /// When it was last sent the report of this host.
    #[serde(skip)]
    pub last_report: Option<Duration>,
    /// Configuration revision that is active on it.
    #[serde(flatten)]
    pub revision: Revision,
    /// Its consecutive failed reads of the platform's values.
    #[serde(rename = "failures")]
    pub read_failures: u32,
    /// When the platform last answered it, if it has said so.
    #[serde(rename = "read")]
    pub last_read: Option<Duration>,
    /// Since when its reads are known to fail.
    #[serde(rename = "failing")]
    pub failing_since: Option<Duration>,
    /// Revision of its host list.
    #[serde(rename = "roster", serialize_with = "serialize_number")]
    pub list_revision: Revision,
    /// Number of heartbeats that still have to carry an update about it.
    #[serde(rename = "rumor")]
    pub gossip_left: u32,
}

impl Member {
    /// Returns true unless the member is dead.
    #[must_use]
    pub fn is_live(&self) -> bool {
        self.status != Status::Dead
    }

    /// Returns the update that describes the member to other hosts.
    #[must_use]
    pub fn to_update(&self) -> MemberUpdate {
        let info = (self.status == Status::Alive).then(|| self.info.clone());
        MemberUpdate {
            id: self.id,
            incarnation: self.incarnation,
            version: self.version,
            status: self.status,
            leaving: self.leaving,
            info,
        }
    }
}

/// Latest voter set and the last agreed one.
#[derive(Clone, Debug, Default, Serialize)]
pub struct VoterSets {
    /// Newest known voter set.
    #[serde(rename = "pending")]
    pub latest: VoterSet,
    /// Last voter set that a majority held for the hold time.
    #[serde(rename = "base")]
    pub agreed: Option<VoterSet>,
}

/// This host's views of the zone and the lease that results from them.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LeaseState {
    /// Views on which this or another host may still act, newest first.
    #[serde(rename = "seen")]
    pub views: Vec<View>,
    /// Time from which the votes of this host are valid.
    #[serde(rename = "fresh")]
    pub votes_from: Duration,
    /// When the set of live hosts last changed.
    #[serde(rename = "changed")]
    pub hosts_changed: Duration,
    /// Time at which the lease expires.
    #[serde(rename = "lease")]
    pub lease_until: Duration,
}

/// View of the zone: its live hosts and voters.
#[derive(Clone, Debug, Serialize)]
pub struct View {
    /// Digest of the live hosts and the voter set.
    pub digest: u64,
    /// Live hosts, this one included.
    #[serde(skip)]
    pub hosts: Arc<[Host]>,
    /// Latest voter set at that time.
    #[serde(skip)]
    pub voters: VoterSet,
    /// When this host left the view, or none for the current view.
    #[serde(rename = "left")]
    pub left_at: Option<Duration>,
}

impl LeaseState {
    /// Returns the digest of the current view, or none before the first one.
    #[must_use]
    pub fn view_digest(&self) -> Option<u64> {
        self.views.first().map(|seen| seen.digest)
    }
}

impl View {
    /// Returns true if the view was left longer ago than the hold time.
    #[must_use]
    pub fn is_expired(&self, now: Duration, hold: Duration) -> bool {
        self.left_at.is_some_and(|left| now > left + hold)
    }
}

/// State of heartbeats and failure detection.
#[derive(Debug, Default, Serialize)]
pub(super) struct HeartbeatState {
    #[serde(rename = "due")]
    pub(super) next_round: Duration,
    #[serde(rename = "ticked")]
    pub(super) last_tick: Duration,
    #[serde(rename = "cursor")]
    pub(super) last_target: Id,
    /// Steps by which recent failures of this host lengthen the timeouts for others.
    pub(super) penalty: u32,
    #[serde(rename = "decay")]
    pub(super) next_decay: Duration,
}

/// State of the reads of the platform.
#[derive(Debug, Default, Serialize)]
pub(super) struct PlatformReads {
    /// Address of the store, once the front end has named it.
    #[serde(rename = "store")]
    pub(super) store_addr: Option<SocketAddr>,
    pub(super) values: ReadState,
    pub(super) hosts: ReadState,
    /// Newest revision of the platform for which a watch was replaced.
    #[serde(skip)]
    pub(super) checked_revision: Revision,
    /// True once the first reads have been scheduled.
    pub(super) started: bool,
    /// True while this host is one of the readers.
    #[serde(rename = "reads")]
    pub(super) is_reader: bool,
    /// When the platform last answered any host, as far as this one knows.
    #[serde(rename = "answered")]
    pub(super) last_answer: Duration,
    /// Time until which removals are held back after an outage of the platform.
    #[serde(rename = "doubt")]
    pub(super) hold_until: Duration,
    /// Removals that are held back.
    #[serde(skip)]
    pub(super) held_removals: Vec<ValueChange>,
}

/// State of one recurring read of the platform.
#[derive(Debug, Default, Serialize)]
pub(super) struct ReadState {
    #[serde(rename = "due")]
    pub(super) next_read: Duration,
    #[serde(rename = "pending")]
    pub(super) in_flight: bool,
    pub(super) failures: u32,
    /// When the first of these failures was known.
    #[serde(rename = "failing")]
    pub(super) failing_since: Option<Duration>,
    /// When the current or last read was sent.
    pub(super) started_at: Duration,
    /// When the platform last answered with valid values.
    pub(super) last_answer: Duration,
}

/// State of the fetches from other hosts.
#[derive(Debug, Default, Serialize)]
pub(super) struct FetchProgress {
    /// Number of the current or last fetch.
    pub(super) number: u64,
    #[serde(rename = "pending")]
    pub(super) pending_since: Option<Duration>,
    #[serde(rename = "due")]
    pub(super) next_fetch: Duration,
    /// Since when the view of a member has differed from this host's.
    #[serde(rename = "differs")]
    pub(super) differs_since: Option<Duration>,
    /// Since when another host has had a newer revision.
    #[serde(rename = "behind")]
    pub(super) behind_since: Option<Duration>,
    /// Newest known revision when this host last had all that it knew of.
    #[serde(skip)]
    pub(super) missing: Option<MissingRevision>,
    /// True once this host has had values.
    #[serde(skip)]
    pub(super) has_values: bool,
    /// Until when to ask another host for the values whose removal it holds back.
    #[serde(rename = "asks_held")]
    pub(super) held_until: Option<Duration>,
    /// True once all members have been fetched from another host.
    #[serde(rename = "joined")]
    pub(super) has_members: bool,
    /// Host whose fetch failed last, unless a later fetch succeeded.
    #[serde(rename = "failed")]
    pub(super) failed_peer: Option<SocketAddr>,
    /// Host of the current or last fetch.
    #[serde(rename = "to")]
    pub(super) peer: Option<SocketAddr>,
    #[serde(skip)]
    pub(super) request: FetchRequest,
}

/// A revision that this host does not have yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct MissingRevision {
    pub(super) revision: Revision,
    /// Time at which this host heard of it.
    pub(super) since: Duration,
}

/// Reports of this host's lanes and of other hosts.
#[derive(Debug, Default, Serialize)]
pub struct ReportTable {
    /// Sum of the reports of this host's lanes.
    pub own: Arc<LaneReport>,
    /// Newest report of each other host.
    pub others: BTreeMap<Id, HostReport>,
    /// Part of `own` that hosts of the own availability zone get.
    #[serde(skip)]
    pub(super) zone_part: Arc<LaneReport>,
    /// Sum for other zones and its time, if this host sends it.
    #[serde(skip)]
    pub(super) zone_sum: Option<(Arc<ZoneReport>, Duration)>,
    /// Newest sum of another zone from each of its senders.
    #[serde(rename = "zones")]
    pub zone_sums: BTreeMap<Id, ReceivedZoneReport>,
    /// Bytes that reports in regular heartbeats may take now.
    #[serde(skip)]
    pub(super) regular_credit: f64,
    /// Minimum time between two regular heartbeats to a member that carry `zone_part`.
    #[serde(skip)]
    pub(super) interval: Duration,
    /// When `own` last had rows.
    #[serde(rename = "rows")]
    pub(super) last_rows: Option<Duration>,
    /// Members that have not been sent the latest change of `own` yet.
    #[serde(skip)]
    pub(super) pending: Vec<Id>,
    /// Last member that got an extra heartbeat.
    #[serde(skip)]
    pub(super) last_target: Id,
    /// Time from which `others` may be published again.
    #[serde(skip)]
    pub(super) next_publish: Duration,
    /// Bytes that extra rounds of heartbeats have taken beyond their long-run rate.
    #[serde(skip)]
    pub(super) round_bytes: f64,
    /// Time of the last tick.
    #[serde(skip)]
    pub(super) last_tick: Duration,
    /// Times of the latest extra rounds of heartbeats, oldest first.
    #[serde(skip)]
    pub(super) rounds: VecDeque<Duration>,
    /// True if `others` has changed since it was last published.
    #[serde(skip)]
    pub(super) others_changed: bool,
}

/// Whether the snapshot must be published and whether the traffic lanes have drained.
#[derive(Debug, Default)]
pub(super) struct PendingOutput {
    /// True if the snapshot has changed since it was last published.
    pub(super) snapshot_changed: bool,
    /// Time for which the last published configuration is known to be current.
    pub(super) current_at: Duration,
    pub(super) drained: bool,
}

/// Event counters since the start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Counters {
    /// Heartbeats sent.
    #[serde(rename = "beats_out")]
    pub heartbeats_sent: u64,
    /// Heartbeats received.
    #[serde(rename = "beats_in")]
    pub heartbeats_received: u64,
    /// Messages that could not be decoded or authenticated, or came from another zone.
    pub rejected: u64,
    /// Stalls of this host, detected by late ticks.
    pub stalls: u64,
    /// Suspicions that this host raised.
    pub suspicions: u64,
    /// Wrong updates about this host that it refuted.
    pub refutations: u64,
    /// Members that became dead.
    #[serde(rename = "deaths")]
    pub members_died: u64,
    /// Reads of the platform.
    pub reads: u64,
    /// Failed reads of the platform.
    pub read_failures: u64,
    /// Watches of the platform's values that were abandoned because another read showed that
    /// they are not answered, or because the store has another address.
    pub replaced_watches: u64,
    /// Responses of a stale platform replica.
    pub stale_reads: u64,
    /// Restores of the platform from an older copy.
    pub restores: u64,
    /// Updates of values that were refused.
    pub refused_values: u64,
    /// Single values that were refused, while the others were activated.
    pub refused_entries: u64,
    /// Updates of values that were activated.
    pub accepted_values: u64,
    /// Fetches from other hosts.
    pub fetches: u64,
    /// Failed fetches from other hosts.
    pub fetch_failures: u64,
    /// Results of fetches that had been abandoned, which were dropped.
    pub stale_fetches: u64,
    /// Heartbeats sent with a report about endpoints or load.
    pub reports_sent: u64,
    /// Reports of other hosts that were new.
    pub reports_received: u64,
    /// Heartbeats sent with the sum of the own zone.
    pub zone_reports_sent: u64,
    /// Sums of other zones that were new.
    pub zone_reports_received: u64,
    /// Rows of own reports that were left out because a message has room for fewer.
    pub dropped_rows: u64,
    /// Extra rounds of heartbeats for changed reports.
    pub report_rounds: u64,
    /// Publications of changed reports of other hosts to the lanes.
    pub reports_published: u64,
    /// Snapshots published.
    #[serde(rename = "published")]
    pub snapshots_published: u64,
    /// Times that the lease was acquired after it had expired.
    #[serde(rename = "leases")]
    pub leases_gained: u64,
}

impl Tables {
    pub(super) fn new(settings: Settings, now: Duration) -> Self {
        let info = settings.info.clone();
        let mut rng = SmallRng::seed_from_u64(settings.rng_seed);
        let me = LocalHost {
            id: Id::of(&info.name),
            incarnation: settings.incarnation,
            version: 0,
            leaving_since: None,
            has_left: false,
            info,
        };
        let heartbeats = HeartbeatState {
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
            heartbeats,
            platform_reads: PlatformReads::default(),
            fetch: FetchProgress::default(),
            reports: ReportTable {
                // Hosts begin extra rounds at different members, so that none of these gets all
                // first messages at once.
                last_target: Id::of(&settings.info.name),
                ..ReportTable::default()
            },
            evacuations: EvacuationTable::default(),
            freshness: Freshness::default(),
            known_routes: Arc::default(),
            majority: Majority::default(),
            snapshot: Snapshot::empty(settings.keys.clone()),
            output: PendingOutput {
                snapshot_changed: true,
                current_at: Duration::ZERO,
                drained: false,
            },
            settings,
            rng,
        }
    }

    /// Returns the live members without this host.
    pub fn live_members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| member.is_live())
    }

    /// Returns all live hosts including this one, in order of their ids.
    pub(super) fn live_hosts(&self) -> Arc<[Host]> {
        let me = Host {
            id: self.me.id,
            name: Arc::clone(&self.me.info.name),
            incarnation: self.me.incarnation,
            availability_zone: Arc::clone(&self.me.info.availability_zone),
            lanes: self.me.info.lanes.clone(),
            leaving: self.me.leaving_since.is_some()
                || self.voter_sets.is_listed_leaving(&self.me.info),
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
            availability_zone: Arc::clone(&member.info.availability_zone),
            lanes: member.info.lanes.clone(),
            leaving: member.leaving || self.voter_sets.is_listed_leaving(&member.info),
        }
    }

    /// Returns a random duration between zero and `limit`.
    pub(super) fn jitter(&mut self, limit: Duration) -> Duration {
        limit.mul_f64(self.rng.random())
    }
}
