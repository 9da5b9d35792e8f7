//! Typed messages between hosts, and the platform's responses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Serialize, Serializer};
use smallvec::SmallVec;

use crate::id::{Id, Incarnation, Name};
use crate::report::{LaneReport, ZoneReport};
use crate::revision::Revision;

/// Heartbeat of a host.
///
/// It acknowledges the receiver's last heartbeat and carries gossip about other hosts.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// Id of the sender.
    pub from: Id,
    /// Sender's incarnation.
    pub incarnation: Incarnation,
    /// Sender's version within its incarnation.
    pub version: u32,
    /// True if the sender is shutting down.
    pub leaving: bool,
    /// The sender's consecutive failed reads of the platform's values.
    pub read_failures: u32,
    /// Time since the platform last answered the sender, unless that is long ago.
    pub read_age: Option<Duration>,
    /// Host info of the sender, until the receiver has acknowledged a heartbeat.
    pub info: Option<HostInfo>,
    /// Configuration revision that is active on the sender.
    pub revision: Revision,
    /// Revision of the sender's host list.
    pub list_revision: Revision,
    /// When the sender sent this heartbeat.
    pub sent_at: Timestamp,
    /// Newest timestamp that the sender has received from the receiver.
    pub echo: Option<Timestamp>,
    /// True if the receiver should answer immediately.
    pub ping: bool,
    /// Sender's vote on the leases of the zone.
    pub vote: Vote,
    /// Gossiped updates about members.
    pub updates: SmallVec<[MemberUpdate; 2]>,
    /// What the lanes of the sender observe, if the receiver should know it.
    pub report: Option<Arc<LaneReport>>,
    /// Time since `report` was made.
    pub report_age: Duration,
    /// Sum of the load in the sender's zone, for hosts of other zones.
    pub zone_report: Option<Arc<ZoneReport>>,
    /// Age of `zone_report`.
    pub zone_report_age: Duration,
}

/// Send time of a heartbeat: the sender's incarnation plus microseconds since its start.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// Creates the timestamp of the time `now` in `incarnation`.
    #[must_use]
    pub fn new(incarnation: Incarnation, now: Duration) -> Self {
        let micros = u64::try_from(now.as_micros()).unwrap_or(u64::MAX);
        Self(incarnation.saturating_add(micros))
    }

    /// Returns the time in `incarnation`, or none for a timestamp from before it.
    #[must_use]
    pub fn local_time(self, incarnation: Incarnation) -> Option<Duration> {
        self.0.checked_sub(incarnation).map(Duration::from_micros)
    }
}

/// Vote of a host: the views on which it has acted recently.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Vote {
    /// Digests of the views that it was in within the hold time, the current one first.
    pub views: SmallVec<[u64; 2]>,
    /// False until the hold time has passed since the sender started.
    #[serde(rename = "counts")]
    pub is_valid: bool,
    /// Digest of the last agreed voter set, zero if there is none.
    #[serde(rename = "base")]
    pub agreed_digest: u64,
}

/// Name, zones and addresses of a host; constant within an incarnation.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct HostInfo {
    /// Name of the host.
    pub name: Name,
    /// Group of hosts that it belongs to, which covers one availability zone or more.
    pub zone: Name,
    /// Availability zone of the host.
    #[serde(rename = "place")]
    pub availability_zone: Name,
    /// Address for control messages.
    #[serde(rename = "peer")]
    pub peer_addr: SocketAddr,
    /// Addresses of the traffic lanes.
    pub lanes: SmallVec<[SocketAddr; 4]>,
}

/// Status of a member; for the same version, a later variant takes precedence.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Status {
    /// Its heartbeats arrive in time.
    #[default]
    Alive,
    /// Its heartbeats are late; it can still refute the suspicion.
    Suspect,
    /// It did not refute the suspicion in time, or has left.
    Dead,
}

/// Gossiped state of one member.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct MemberUpdate {
    /// Id of the member.
    pub id: Id,
    /// Incarnation of the member.
    pub incarnation: Incarnation,
    /// Version of the member within its incarnation.
    pub version: u32,
    /// Status of the member.
    pub status: Status,
    /// True if the member is shutting down.
    pub leaving: bool,
    /// Host info of the member, if the receiver may not know it.
    #[serde(rename = "card")]
    pub info: Option<HostInfo>,
}

/// Request for configuration, voter sets or members that the sender lacks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FetchRequest {
    /// Revision that is active on the sender; only newer values are returned.
    pub known_revision: Revision,
    /// True to get the voter sets.
    pub voters: bool,
    /// True to get all members.
    pub members: bool,
    /// True to get, instead of newer values, those whose removal the receiver holds back.
    pub held: bool,
}

/// Response to a [`FetchRequest`].
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FetchResponse {
    /// Changed values that are active on the responding host.
    pub values: ValueUpdate,
    /// Removals among the changes that the responding host still holds back.
    pub held_removals: Vec<ValueChange>,
    /// Latest voter set.
    pub latest_voters: Option<VoterSet>,
    /// Last agreed voter set.
    pub agreed_voters: Option<VoterSet>,
    /// All members that the responding host knows, including itself.
    pub members: Vec<MemberUpdate>,
}

/// Version that the writer of a value gave it, by which versions of one value are ordered
/// independently of the store; zero if the writer gives none.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct WriterVersion {
    /// Incarnation of the writer.
    pub incarnation: Incarnation,
    /// Number of the version within the incarnation.
    pub number: u64,
}

/// One configuration value.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Value {
    /// Revision in which it was last changed.
    #[serde(flatten)]
    pub revision: Revision,
    /// Version that its writer gave it.
    #[serde(skip)]
    pub version: WriterVersion,
    /// JSON text, or none if the value was removed; dumps show only its size.
    #[serde(serialize_with = "serialize_size")]
    pub json: Option<Name>,
}

/// Change of a configuration value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ValueChange {
    /// Key of the value.
    pub key: Name,
    /// New value, which may be a removal.
    pub value: Value,
}

/// Configuration values that changed after some revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ValueUpdate {
    /// Revision up to which the values are complete.
    pub revision: Revision,
    /// Changed values.
    pub values: Vec<ValueChange>,
    /// True if the update contains all values, so that missing ones were removed. The first
    /// update of an era is always full.
    pub is_full: bool,
}

/// The platform's host list of all zones.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HostList {
    /// Revision of the list.
    pub revision: Revision,
    /// Zone and description of each host.
    pub hosts: Vec<(Name, ListedHost)>,
    /// Revision of the platform's newest change to anything, when the list was read.
    pub platform_revision: Revision,
}

/// Host in a host list or voter set.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ListedHost {
    /// Name of the host, empty for a seed.
    pub name: Name,
    /// Address for control messages.
    #[serde(rename = "peer")]
    pub peer_addr: SocketAddr,
    /// True if the host list marks it as leaving.
    pub leaving: bool,
}

/// Hosts of the zone that vote on leases, identified by their control addresses.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct VoterSet {
    /// Revision of the platform's host list, zero for a set made from seeds.
    #[serde(flatten)]
    pub revision: Revision,
    /// Hosts, sorted by address.
    pub hosts: Vec<ListedHost>,
    /// Digest of the addresses; zero only in the default, empty set.
    pub digest: u64,
}

#[allow(clippy::ref_option, reason = "serde passes fields by reference")]
fn serialize_size<S: Serializer>(json: &Option<Name>, serializer: S) -> Result<S::Ok, S::Error> {
    json.as_ref().map(|json| json.len()).serialize(serializer)
}
