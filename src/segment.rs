//! Segments of flows that are relayed without reading their payload.
//!
//! A host forwards a segment unchanged except for its cookie, the number from
//! which any host finds the endpoint of an established flow. Endpoints answer
//! callers directly (direct server return), so a host sees one direction only and
//! infers the state of an endpoint from what callers send, retransmit and
//! acknowledge.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::id::{Id, Name};

/// The two addresses that identify a flow, as its caller sees them.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct FlowAddrs {
    /// Source address of the caller.
    pub caller: SocketAddr,
    /// Virtual address of the service, which the caller connects to.
    #[serde(rename = "front")]
    pub vip: SocketAddr,
}

/// Kind of a segment; one that both opens and resets a flow counts as a reset.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SegmentKind {
    /// Opens a flow.
    Open,
    /// Carries data or an acknowledgement.
    Data,
    /// Closes the caller's direction, possibly with its last data.
    Fin,
    /// Resets the flow.
    Reset,
}

/// A segment sent by a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Segment {
    /// Addresses of its flow.
    pub addrs: FlowAddrs,
    /// Kind of the segment.
    pub kind: SegmentKind,
    /// Sequence number of its first byte.
    pub seq: u32,
    /// Sequence number of the next byte that the caller expects; on an opening segment,
    /// how many copies of it were sent before.
    pub ack: u32,
    /// Cookie of the flow, zero on an opening segment.
    pub cookie: u32,
    /// Length of its data, in bytes.
    pub len: u16,
    /// Encoded segment.
    pub bytes: Bytes,
}

impl Segment {
    /// Returns the sequence number after its last byte.
    #[must_use]
    pub fn end_seq(&self) -> u32 {
        self.seq.wrapping_add(u32::from(self.len))
    }

    /// Returns true for the opening segment of a flow.
    #[must_use]
    pub fn is_opening(&self) -> bool {
        self.kind == SegmentKind::Open
    }
}

/// Returns true when `a` comes after `b`, with sequence numbers that wrap around.
#[must_use]
pub fn is_seq_after(a: u32, b: u32) -> bool {
    let ahead = a.wrapping_sub(b);
    ahead != 0 && ahead < 1 << 31
}

/// Returns the distance between two sequence numbers that wrap around, in either direction.
#[must_use]
pub fn seq_distance(a: u32, b: u32) -> u32 {
    a.wrapping_sub(b).min(b.wrapping_sub(a))
}

/// Action that a host takes on a segment or a flow.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RelayAction {
    /// Forwards a segment to an endpoint.
    Forward {
        /// Address of the endpoint.
        to: SocketAddr,
        /// Number of the endpoint that the segment is addressed to.
        endpoint_number: u64,
        /// New cookie, for an opening segment only.
        cookie: Option<u32>,
        /// Encoded segment.
        bytes: Bytes,
    },
    /// Sends a reset of a flow to its caller.
    Reset {
        /// Addresses of the flow.
        addrs: FlowAddrs,
        /// Sequence number that the caller accepts.
        seq: u32,
    },
}

/// Whether the requests of a route are idempotent.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RequestKind {
    /// Requests may be retried and executed more than once.
    Idempotent,
    /// Requests are executed at most once.
    Once,
}

/// Services that new flows to a virtual address are distributed over.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Route {
    /// Name, as operators write it.
    pub name: Name,
    /// Ids of the services, with their weights.
    pub targets: SmallVec<[(Id, u32); 2]>,
    /// Whether its requests are idempotent.
    pub kind: RequestKind,
    /// Response time that the route aims for; later answers are worth less.
    #[serde(rename = "aim")]
    pub target_latency: Duration,
    /// Time after which a caller gives up a request.
    pub timeout: Duration,
    /// Order in which overload is shed; the route of highest rank is refused first.
    #[serde(rename = "rank")]
    pub shed_rank: u32,
    /// Regions whose endpoints its flows may reach; all if empty.
    pub allowed_regions: SmallVec<[Name; 2]>,
}

impl Route {
    /// Returns true if its flows may reach endpoints of a region. The region of an endpoint
    /// is empty if it is not known; only a route without a list may use such an endpoint.
    #[must_use]
    pub fn allows_region(&self, region: &Name) -> bool {
        self.allowed_regions.is_empty()
            || (!region.is_empty() && self.allowed_regions.contains(region))
    }
}
