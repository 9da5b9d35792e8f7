//! Typed messages between hosts, and the platform's answers.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Serialize, Serializer};
use smallvec::SmallVec;

use crate::id::{Id, Incarnation, Name};

/// Heartbeat of a host. It acknowledges the receiver's last one and carries news.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// Sender.
    pub from: Id,
    /// Sender's life.
    pub incarnation: Incarnation,
    /// Sender's version within its life.
    pub version: u32,
    /// Sender's state.
    pub leaving: bool,
    /// Reads of the platform that failed since the last answer to the sender.
    pub read_failures: u32,
    /// Who the sender is, until the receiver is known to know.
    pub info: Option<HostInfo>,
    /// Configuration revision that the sender has in force.
    pub revision: u64,
    /// Revision of the host list that the sender holds.
    pub list_revision: u64,
    /// Sender's stamp of this message.
    pub sent_at: Timestamp,
    /// Newest stamp that the sender has received from the receiver.
    pub echo: Option<Timestamp>,
    /// True if the receiver should answer at once.
    pub ping: bool,
    /// Sender's view of the zone.
    pub vote: Vote,
    /// Changes of other hosts.
    pub updates: SmallVec<[MemberUpdate; 2]>,
}

/// Time of sending in microseconds, counted from the sender's incarnation.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// Stamp of `now` in the life `incarnation`.
    #[must_use]
    pub fn new(incarnation: Incarnation, now: Duration) -> Self {
        let micros = u64::try_from(now.as_micros()).unwrap_or(u64::MAX);
        Self(incarnation.saturating_add(micros))
    }

    /// Time of the stamp, if it was given in the life `incarnation`.
    #[must_use]
    pub fn local_time(self, incarnation: Incarnation) -> Option<Duration> {
        self.0.checked_sub(incarnation).map(Duration::from_micros)
    }
}

/// What a host has acted on, as the lease compares it.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Vote {
    /// Digests of its views within the hold time, the current one first.
    pub views: SmallVec<[u64; 2]>,
    /// False for the hold time after the sender has started.
    #[serde(rename = "counts")]
    pub is_valid: bool,
    /// Digest of the roster that was last agreed on, zero if none.
    #[serde(rename = "base")]
    pub agreed_digest: u64,
}

/// What a host is and where it is reached; constant in one life.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct HostInfo {
    /// Name.
    pub name: Name,
    /// Group of hosts that it belongs to: those of its availability zone, or more.
    pub zone: Name,
    /// Availability zone that it stands in.
    #[serde(rename = "place")]
    pub availability_zone: Name,
    /// Address for control messages.
    #[serde(rename = "peer")]
    pub peer_addr: SocketAddr,
    /// Addresses of the traffic lanes.
    pub lanes: SmallVec<[SocketAddr; 4]>,
}

/// What is believed of a host; later ones outrank earlier ones of one version.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Status {
    /// It is heard from.
    #[default]
    Alive,
    /// It was not heard from in time.
    Suspect,
    /// It is gone.
    Dead,
}

/// News of one host.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct MemberUpdate {
    /// Host it is about.
    pub id: Id,
    /// Life it is about.
    pub incarnation: Incarnation,
    /// Version it is about.
    pub version: u32,
    /// What is believed.
    pub status: Status,
    /// True if the host is leaving.
    pub leaving: bool,
    /// Who it is, where the receiver may not know.
    #[serde(rename = "card")]
    pub info: Option<HostInfo>,
}

/// Asks a host for what the sender lacks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FetchRequest {
    /// Revision that the sender has in force.
    pub known_revision: u64,
    /// True to get the rosters.
    pub voters: bool,
    /// True to get all members.
    pub members: bool,
}

/// Answer to a [`FetchRequest`].
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FetchResponse {
    /// Changed values, as the answering host has them in force.
    pub values: ValueUpdate,
    /// Newest roster.
    pub latest_voters: Option<VoterSet>,
    /// Roster that was last agreed on.
    pub agreed_voters: Option<VoterSet>,
    /// All members the answering host knows, itself included.
    pub members: Vec<MemberUpdate>,
}

/// One configuration value.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Value {
    /// Revision that wrote it.
    pub revision: u64,
    /// Its JSON text; none if it was removed. Dumps show its size only.
    #[serde(serialize_with = "serialize_size")]
    pub json: Option<Name>,
}

/// A changed value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ValueChange {
    /// Key.
    pub key: Name,
    /// New value.
    pub value: Value,
}

/// Values above some revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ValueUpdate {
    /// Revision up to which the values are complete.
    pub revision: u64,
    /// Changed values.
    pub values: Vec<ValueChange>,
    /// True when these are all values, so that one that is missing was removed.
    pub is_full: bool,
}

/// The platform's host list of all zones.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HostList {
    /// Revision of the list.
    pub revision: u64,
    /// Hosts with their zones.
    pub hosts: Vec<(Name, ListedHost)>,
}

/// A host on a list.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ListedHost {
    /// Name, empty for a seed.
    pub name: Name,
    /// Address for control messages.
    #[serde(rename = "peer")]
    pub peer_addr: SocketAddr,
    /// True if the list marks it as leaving.
    pub leaving: bool,
}

/// The hosts of the zone that have a vote, by their control addresses.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct VoterSet {
    /// Revision of the platform's list, zero if made from seeds.
    pub revision: u64,
    /// Hosts in order of their addresses.
    pub hosts: Vec<ListedHost>,
    /// Digest of the addresses; never zero, but for a roster that is not made yet.
    pub digest: u64,
}

#[allow(clippy::ref_option, reason = "serde passes fields by reference")]
fn serialize_size<S: Serializer>(json: &Option<Name>, serializer: S) -> Result<S::Ok, S::Error> {
    json.as_ref().map(|json| json.len()).serialize(serializer)
}
