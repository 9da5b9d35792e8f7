//! Segments: packets of flows whose bytes only the two ends read.
//!
//! A segment is passed on unchanged but for its cookie, the number by which any
//! host finds the endpoint of an established flow. Endpoints answer callers
//! directly, so that a host sees one direction only: what it knows of an endpoint
//! follows from what callers send, repeat and acknowledge.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;
use smallvec::SmallVec;

use crate::id::{Id, Name};

/// The two ends of a flow, as its caller sees them.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct FlowAddrs {
    /// Address that the caller sends from.
    pub caller: SocketAddr,
    /// Address of the service that the caller has called.
    #[serde(rename = "front")]
    pub vip: SocketAddr,
}

/// What a segment is for; one that both opens and resets counts as a reset.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SegmentKind {
    /// Opens a flow.
    Open,
    /// Carries data or acknowledges.
    Data,
    /// Ends the caller's direction, with its last data.
    Fin,
    /// Resets the flow.
    Reset,
}

/// A caller's segment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Segment {
    /// Ends of its flow.
    pub addrs: FlowAddrs,
    /// What it is for.
    pub kind: SegmentKind,
    /// Number of its first byte.
    pub seq: u32,
    /// Number of the next byte that the caller expects; on an opening segment the
    /// number of its earlier copies.
    pub ack: u32,
    /// Cookie of the flow, zero on an opening segment.
    pub cookie: u32,
    /// Bytes of data.
    pub len: u16,
    /// Encoded segment.
    pub bytes: Bytes,
}

impl Segment {
    /// Number after its last byte.
    #[must_use]
    pub fn end_seq(&self) -> u32 {
        self.seq.wrapping_add(u32::from(self.len))
    }

    /// True for the opening segment of a flow.
    #[must_use]
    pub fn is_opening(&self) -> bool {
        self.kind == SegmentKind::Open
    }
}

/// True when `a` comes after `b` in a sequence that wraps around.
#[must_use]
pub fn is_seq_after(a: u32, b: u32) -> bool {
    let ahead = a.wrapping_sub(b);
    ahead != 0 && ahead < 1 << 31
}

/// What a host does with segments.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RelayAction {
    /// Pass a segment on to an endpoint.
    Forward {
        /// Address of the endpoint.
        to: SocketAddr,
        /// Number of the endpoint that may take it.
        number: u64,
        /// New cookie, for an opening segment.
        cookie: Option<u32>,
        /// Encoded segment.
        bytes: Bytes,
    },
    /// Reset a flow towards its caller.
    Reset {
        /// Ends of the flow.
        addrs: FlowAddrs,
        /// Number that the caller accepts.
        seq: u32,
    },
}

/// What the requests of a route allow.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub enum RequestKind {
    /// They may be repeated.
    Idempotent,
    /// They run at most once.
    Once,
}

/// Where new flows to a front address go.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Route {
    /// Name, as operators know it.
    pub name: Name,
    /// Services with their weights.
    pub targets: SmallVec<[(Id, u32); 2]>,
    /// What its requests allow.
    pub kind: RequestKind,
    /// Time within which an answer is worth most.
    #[serde(rename = "aim")]
    pub target_latency: Duration,
    /// Rank when there is too much work; the highest is refused first.
    #[serde(rename = "rank")]
    pub shed_rank: u32,
}
