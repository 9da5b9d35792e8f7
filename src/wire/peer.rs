//! Encoding of messages between hosts, with an authentication code.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use smallvec::SmallVec;

use super::report::{WireReport, WireZoneReport};
use super::{addr, report};
use crate::control::lease::MAX_VIEWS;
use crate::control::message::{
    FetchRequest, FetchResponse, Heartbeat, HostInfo, ListedHost, MemberUpdate, Status, Timestamp,
    ValueUpdate, Vote, VoterSet,
};
use crate::control::{Value, ValueChange, WriterVersion};
use crate::error::{Error, Result};
use crate::id::{Id, Name};
use crate::revision::Revision;

/// Maximum size of an encoded heartbeat, in bytes.
pub const MAX_HEARTBEAT_BYTES: usize = 1_400;

/// Maximum size of a fetch response, in bytes: several times the total size of a region's
/// values as planned in `docs/CAPACITY.md`.
pub const MAX_FETCH_BYTES: usize = 32 << 20;

/// Maximum number of traffic lanes per host.
const MAX_LANES: usize = 16;

/// Size of the authentication code, in bytes: a keyed hash truncated to 96 bits, as in
/// HMAC-96.
const TAG_BYTES: usize = 12;

/// Key that authenticates messages between hosts, so that only hosts with the shared
/// secret can join.
#[derive(Clone, Eq, PartialEq)]
pub struct PeerKey([u8; 32]);

impl PeerKey {
    /// Derives the key from the secret that all hosts share.
    #[must_use]
    pub fn new(secret: &str) -> Self {
        Self(blake3::derive_key("jacinthhinge peer", secret.as_bytes()))
    }

    fn sign(&self, mut content: Vec<u8>) -> Bytes {
        let hash = blake3::keyed_hash(&self.0, &content);
        content.extend_from_slice(&hash.as_bytes()[..TAG_BYTES]);
        content.into()
    }

    fn verify<'a>(&self, message: &'a [u8]) -> Result<&'a [u8]> {
        let Some(length) = message.len().checked_sub(TAG_BYTES) else {
            return Err(Error::malformed("authentication code of a host's message"));
        };
        let (content, tag) = message.split_at(length);
        let hash = blake3::keyed_hash(&self.0, content);
        if &hash.as_bytes()[..TAG_BYTES] != tag {
            return Err(Error::malformed("authentication code of a host's message"));
        }
        Ok(content)
    }
}

impl std::fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("PeerKey(..)")
    }
}

#[derive(Clone, PartialEq, Message)]
struct WireHeartbeat {
    #[prost(fixed64, tag = "1")]
    from: u64,
    #[prost(fixed64, tag = "2")]
    incarnation: u64,
    #[prost(uint32, tag = "3")]
    version: u32,
    #[prost(bool, tag = "4")]
    leaving: bool,
    /// Host info of the sender, absent once the receiver has acknowledged a heartbeat.
    #[prost(message, optional, tag = "5")]
    card: Option<WireHostInfo>,
    #[prost(uint64, tag = "6")]
    revision: u64,
    /// Revision of the sender's host list.
    #[prost(uint64, tag = "7")]
    roster: u64,
    #[prost(uint64, tag = "8")]
    sent_micros: u64,
    #[prost(uint64, optional, tag = "9")]
    echo: Option<u64>,
    #[prost(bool, tag = "10")]
    ping: bool,
    #[prost(fixed64, repeated, tag = "11")]
    views: Vec<u64>,
    /// False until the hold time has passed since the sender started.
    #[prost(bool, tag = "12")]
    counts: bool,
    /// Digest of the last agreed voter set, zero if there is none.
    #[prost(fixed64, tag = "13")]
    base: u64,
    /// Gossiped updates about members.
    #[prost(message, repeated, tag = "14")]
    news: Vec<WireMemberUpdate>,
    /// Consecutive failed reads of the platform's values by the sender.
    #[prost(uint32, tag = "15")]
    failures: u32,
    /// Era of `revision`.
    #[prost(uint64, tag = "16")]
    era: u64,
    /// Era of `roster`.
    #[prost(uint64, tag = "17")]
    roster_era: u64,
    /// Milliseconds since the platform last answered the sender, absent if that is long ago.
    #[prost(uint32, optional, tag = "18")]
    read_age_ms: Option<u32>,
    /// What the lanes of the sender observe.
    #[prost(message, optional, tag = "19")]
    report: Option<WireReport>,
    /// Milliseconds since `report` was made.
    #[prost(uint32, tag = "20")]
    report_age_ms: u32,
    /// Sum of the load in the sender's zone.
    #[prost(message, optional, tag = "21")]
    zone_report: Option<WireZoneReport>,
}

#[derive(Clone, PartialEq, Message)]
struct WireHostInfo {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(string, tag = "2")]
    zone: String,
    /// Address for control messages.
    #[prost(bytes = "bytes", tag = "3")]
    peer: Bytes,
    #[prost(bytes = "bytes", repeated, tag = "4")]
    lanes: Vec<Bytes>,
    /// Availability zone of the host. Omitted when it equals `zone`.
    #[prost(string, optional, tag = "5")]
    place: Option<String>,
}

#[derive(Clone, PartialEq, Message)]
struct WireMemberUpdate {
    #[prost(fixed64, tag = "1")]
    id: u64,
    #[prost(fixed64, tag = "2")]
    incarnation: u64,
    #[prost(uint32, tag = "3")]
    version: u32,
    #[prost(uint32, tag = "4")]
    status: u32,
    #[prost(bool, tag = "5")]
    leaving: bool,
    /// Host info of the member, absent when the receiver knows it.
    #[prost(message, optional, tag = "6")]
    card: Option<WireHostInfo>,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct WireFetchRequest {
    /// Revision that is active on the sender; only newer values are returned.
    #[prost(uint64, tag = "1")]
    after: u64,
    /// True to get the voter sets.
    #[prost(bool, tag = "2")]
    rosters: bool,
    #[prost(bool, tag = "3")]
    members: bool,
    /// Era of `after`.
    #[prost(uint64, tag = "4")]
    era: u64,
    /// True to get the values whose removal is held back.
    #[prost(bool, tag = "5")]
    held: bool,
}

#[derive(Clone, PartialEq, Message)]
struct WireFetchResponse {
    #[prost(uint64, tag = "1")]
    revision: u64,
    #[prost(message, repeated, tag = "2")]
    values: Vec<WireValue>,
    /// Latest voter set.
    #[prost(message, optional, tag = "3")]
    pending: Option<WireVoterSet>,
    /// Last agreed voter set.
    #[prost(message, optional, tag = "4")]
    base: Option<WireVoterSet>,
    #[prost(message, repeated, tag = "5")]
    members: Vec<WireMemberUpdate>,
    /// Era of `revision`.
    #[prost(uint64, tag = "6")]
    era: u64,
    /// True if the values are complete.
    #[prost(bool, tag = "7")]
    full: bool,
    /// Removals that the sender still holds back.
    #[prost(message, repeated, tag = "8")]
    held: Vec<WireValue>,
}

#[derive(Clone, PartialEq, Message)]
struct WireValue {
    #[prost(string, tag = "1")]
    key: String,
    #[prost(uint64, tag = "2")]
    revision: u64,
    #[prost(string, optional, tag = "3")]
    json: Option<String>,
    /// Era of `revision`.
    #[prost(uint64, tag = "4")]
    era: u64,
    /// Incarnation of the writer.
    #[prost(uint64, tag = "5")]
    incarnation: u64,
    /// Number of the writer's version.
    #[prost(uint64, tag = "6")]
    version: u64,
}

#[derive(Clone, PartialEq, Message)]
struct WireVoterSet {
    #[prost(uint64, tag = "1")]
    revision: u64,
    #[prost(message, repeated, tag = "2")]
    hosts: Vec<WireListedHost>,
    /// Era of `revision`.
    #[prost(uint64, tag = "3")]
    era: u64,
}

#[derive(Clone, PartialEq, Message)]
struct WireListedHost {
    #[prost(string, tag = "1")]
    name: String,
    /// Address for control messages.
    #[prost(bytes = "bytes", tag = "2")]
    peer: Bytes,
    #[prost(bool, tag = "3")]
    leaving: bool,
}

/// Encodes a heartbeat and appends its authentication code.
#[must_use]
pub fn encode_heartbeat(heartbeat: &Heartbeat, key: &PeerKey) -> Bytes {
    let wire = WireHeartbeat {
        from: heartbeat.from.0,
        incarnation: heartbeat.incarnation,
        version: heartbeat.version,
        leaving: heartbeat.leaving,
        card: heartbeat.info.as_ref().map(encode_host_info),
        revision: heartbeat.revision.number,
        roster: heartbeat.list_revision.number,
        sent_micros: heartbeat.sent_at.0.saturating_sub(heartbeat.incarnation),
        echo: heartbeat.echo.map(|echo| echo.0),
        ping: heartbeat.ping,
        views: heartbeat.vote.views.to_vec(),
        counts: heartbeat.vote.is_valid,
        base: heartbeat.vote.agreed_digest,
        news: heartbeat.updates.iter().map(encode_member_update).collect(),
        failures: heartbeat.read_failures,
        era: heartbeat.revision.era,
        roster_era: heartbeat.list_revision.era,
        read_age_ms: heartbeat.read_age.map(encode_millis),
        report: heartbeat.report.as_deref().map(report::encode),
        report_age_ms: match heartbeat.report {
            Some(_) => encode_millis(heartbeat.report_age),
            None => 0,
        },
        zone_report: heartbeat.zone_report.as_deref().map(|sum| {
            let age_ms = encode_millis(heartbeat.zone_report_age);
            report::encode_zone(sum, age_ms)
        }),
    };
    key.sign(wire.encode_to_vec())
}

fn encode_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Verifies and decodes a heartbeat.
///
/// # Errors
///
/// Returns an error when the message is larger than [`MAX_HEARTBEAT_BYTES`], fails
/// authentication with this key, or is malformed.
pub fn decode_heartbeat(bytes: &[u8], key: &PeerKey) -> Result<Heartbeat> {
    if bytes.len() > MAX_HEARTBEAT_BYTES {
        return Err(Error::oversized(bytes.len(), MAX_HEARTBEAT_BYTES));
    }
    let content = key.verify(bytes)?;
    let wire = WireHeartbeat::decode(content).map_err(|_| Error::malformed("heartbeat"))?;
    Ok(Heartbeat {
        from: Id(wire.from),
        incarnation: wire.incarnation,
        version: wire.version,
        leaving: wire.leaving,
        read_failures: wire.failures,
        read_age: wire.read_age_ms.map(|ms| Duration::from_millis(ms.into())),
        info: decode_host_info(wire.from, wire.card)?,
        revision: Revision::new(wire.era, wire.revision),
        list_revision: Revision::new(wire.roster_era, wire.roster),
        sent_at: Timestamp(wire.incarnation.saturating_add(wire.sent_micros)),
        echo: wire.echo.map(Timestamp),
        ping: wire.ping,
        vote: Vote {
            views: decode_views(wire.views)?,
            is_valid: wire.counts,
            agreed_digest: wire.base,
        },
        updates: wire
            .news
            .into_iter()
            .map(decode_member_update)
            .collect::<Result<_>>()?,
        report: wire.report.as_ref().map(report::decode).transpose()?,
        report_age: Duration::from_millis(wire.report_age_ms.into()),
        zone_report_age: Duration::from_millis(
            wire.zone_report.as_ref().map_or(0, |sum| sum.age_ms.into()),
        ),
        zone_report: wire.zone_report.map(report::decode_zone).transpose()?,
    })
}

/// Encodes a fetch request and appends its authentication code.
#[must_use]
pub fn encode_fetch_request(request: &FetchRequest, key: &PeerKey) -> Bytes {
    let wire = WireFetchRequest {
        after: request.known_revision.number,
        rosters: request.voters,
        members: request.members,
        era: request.known_revision.era,
        held: request.held,
    };
    key.sign(wire.encode_to_vec())
}

/// Verifies and decodes a fetch request.
///
/// # Errors
///
/// Returns an error when the message fails authentication with this key, or is malformed.
pub fn decode_fetch_request(bytes: &[u8], key: &PeerKey) -> Result<FetchRequest> {
    let content = key.verify(bytes)?;
    let wire = WireFetchRequest::decode(content).map_err(|_| Error::malformed("fetch request"))?;
    Ok(FetchRequest {
        known_revision: Revision::new(wire.era, wire.after),
        voters: wire.rosters,
        members: wire.members,
        held: wire.held,
    })
}

/// Encodes and compresses a fetch response and appends its authentication code.
///
/// The response is compressed because values consist of many similar entries, and small
/// hosts have links of 10 Mbit/s.
#[must_use]
pub fn encode_fetch_response(response: &FetchResponse, key: &PeerKey) -> Bytes {
    let wire = WireFetchResponse {
        revision: response.values.revision.number,
        values: response.values.values.iter().map(encode_value).collect(),
        pending: response.latest_voters.as_ref().map(encode_voter_set),
        base: response.agreed_voters.as_ref().map(encode_voter_set),
        members: response.members.iter().map(encode_member_update).collect(),
        era: response.values.revision.era,
        full: response.values.is_full,
        held: response.held_removals.iter().map(encode_value).collect(),
    };
    key.sign(lz4_flex::compress_prepend_size(&wire.encode_to_vec()))
}

/// Verifies, decompresses and decodes a fetch response.
///
/// # Errors
///
/// Returns an error when the decompressed message is larger than [`MAX_FETCH_BYTES`], or
/// when the message fails authentication with this key or is malformed.
pub fn decode_fetch_response(bytes: &[u8], key: &PeerKey) -> Result<FetchResponse> {
    let content = decompress(key.verify(bytes)?)?;
    let wire =
        WireFetchResponse::decode(&*content).map_err(|_| Error::malformed("fetch response"))?;
    Ok(FetchResponse {
        values: ValueUpdate {
            revision: Revision::new(wire.era, wire.revision),
            values: wire.values.into_iter().map(decode_value).collect(),
            is_full: wire.full,
        },
        held_removals: wire.held.into_iter().map(decode_value).collect(),
        latest_voters: wire.pending.map(decode_voter_set).transpose()?,
        agreed_voters: wire.base.map(decode_voter_set).transpose()?,
        members: wire
            .members
            .into_iter()
            .map(decode_member_update)
            .collect::<Result<_>>()?,
    })
}

fn decompress(bytes: &[u8]) -> Result<Vec<u8>> {
    let malformed = |_| Error::malformed("fetch response");
    let (size, content) = lz4_flex::block::uncompressed_size(bytes).map_err(malformed)?;
    if size > MAX_FETCH_BYTES {
        return Err(Error::oversized(size, MAX_FETCH_BYTES));
    }
    lz4_flex::decompress(content, size).map_err(malformed)
}

fn decode_views(views: Vec<u64>) -> Result<SmallVec<[u64; 2]>> {
    if views.len() > MAX_VIEWS {
        return Err(Error::malformed("number of views in a vote"));
    }
    Ok(views.into())
}

fn encode_host_info(info: &HostInfo) -> WireHostInfo {
    WireHostInfo {
        name: info.name.to_string(),
        zone: info.zone.to_string(),
        peer: addr::encode(info.peer_addr),
        lanes: info.lanes.iter().copied().map(addr::encode).collect(),
        place: (info.availability_zone != info.zone).then(|| info.availability_zone.to_string()),
    }
}

/// Decodes the optional info of a host and checks that its name matches the host `id`.
fn decode_host_info(id: u64, wire: Option<WireHostInfo>) -> Result<Option<HostInfo>> {
    let Some(wire) = wire else { return Ok(None) };
    if Id::of(&wire.name) != Id(id) {
        return Err(Error::malformed("host name does not match host id"));
    }
    if wire.lanes.is_empty() || wire.lanes.len() > MAX_LANES {
        return Err(Error::malformed("number of lanes of a host"));
    }
    let zone = Name::from(wire.zone);
    Ok(Some(HostInfo {
        name: wire.name.into(),
        availability_zone: wire.place.map_or_else(|| Name::clone(&zone), Name::from),
        zone,
        peer_addr: addr::decode(&wire.peer)?,
        lanes: wire
            .lanes
            .iter()
            .map(|lane| addr::decode(lane))
            .collect::<Result<_>>()?,
    }))
}

fn encode_member_update(update: &MemberUpdate) -> WireMemberUpdate {
    WireMemberUpdate {
        id: update.id.0,
        incarnation: update.incarnation,
        version: update.version,
        status: update.status as u32,
        leaving: update.leaving,
        card: update.info.as_ref().map(encode_host_info),
    }
}

fn decode_member_update(wire: WireMemberUpdate) -> Result<MemberUpdate> {
    Ok(MemberUpdate {
        id: Id(wire.id),
        incarnation: wire.incarnation,
        version: wire.version,
        status: decode_status(wire.status)?,
        leaving: wire.leaving,
        info: decode_host_info(wire.id, wire.card)?,
    })
}

fn decode_status(status: u32) -> Result<Status> {
    match status {
        0 => Ok(Status::Alive),
        1 => Ok(Status::Suspect),
        2 => Ok(Status::Dead),
        _ => Err(Error::malformed("status of a host")),
    }
}

fn encode_value(change: &ValueChange) -> WireValue {
    WireValue {
        key: change.key.to_string(),
        revision: change.value.revision.number,
        era: change.value.revision.era,
        incarnation: change.value.version.incarnation,
        version: change.value.version.number,
        json: change.value.json.as_deref().map(str::to_owned),
    }
}

fn decode_value(wire: WireValue) -> ValueChange {
    ValueChange {
        key: Name::from(wire.key),
        value: Value {
            revision: Revision::new(wire.era, wire.revision),
            version: WriterVersion {
                incarnation: wire.incarnation,
                number: wire.version,
            },
            json: wire.json.map(Arc::from),
        },
    }
}

fn encode_voter_set(voters: &VoterSet) -> WireVoterSet {
    let hosts = voters.hosts.iter().map(|host| WireListedHost {
        name: host.name.to_string(),
        peer: addr::encode(host.peer_addr),
        leaving: host.leaving,
    });
    WireVoterSet {
        revision: voters.revision.number,
        hosts: hosts.collect(),
        era: voters.revision.era,
    }
}

fn decode_voter_set(wire: WireVoterSet) -> Result<VoterSet> {
    let revision = Revision::new(wire.era, wire.revision);
    let hosts = wire.hosts.into_iter().map(|host| {
        Ok(ListedHost {
            name: host.name.into(),
            peer_addr: addr::decode(&host.peer)?,
            leaving: host.leaving,
        })
    });
    Ok(VoterSet::new(revision, hosts.collect::<Result<_>>()?))
}
