//! Decoded packets, as decision code uses them.
//!
//! A packet is one datagram between a caller, a host and a backend server. Any
//! packet may arrive at any host, so it names its service and its flow, and may
//! carry a sealed ticket. The `wire` module encodes and decodes packets.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::id::{FlowKey, Id, Incarnation};

/// Maximum size of an encoded packet, in bytes.
pub const MAX_PACKET_BYTES: usize = 1_400;

/// Maximum payload of one part, in bytes; leaves room for the ticket and the other fields.
pub const MAX_PART_BYTES: usize = 1_024;

/// Maximum number of parts of a request or an answer.
pub const MAX_PARTS: u32 = 1_024;

/// Maximum number of times that hosts forward a packet among themselves.
pub const MAX_HOPS: u32 = 2;

/// A decoded datagram.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Packet {
    /// Service that the packet is for.
    pub service: Id,
    /// Address of the caller, which a host learns from the fabric or from a ticket.
    pub caller: SocketAddr,
    /// Number that the caller gave the flow.
    pub flow: u64,
    /// Number of hosts that have forwarded it.
    pub hops: u32,
    /// Sealed ticket, empty for callers that cannot echo one.
    pub ticket: Bytes,
    /// Message that it carries.
    pub body: Body,
}

impl Packet {
    /// Returns the key of the flow that the packet belongs to.
    #[must_use]
    pub fn key(&self) -> FlowKey {
        FlowKey {
            caller: self.caller,
            flow: self.flow,
        }
    }

    /// Creates a packet of the same service and flow with another ticket and body.
    #[must_use]
    pub fn reply(&self, ticket: Bytes, body: Body) -> Self {
        Self {
            service: self.service,
            caller: self.caller,
            flow: self.flow,
            hops: 0,
            ticket,
            body,
        }
    }
}

/// Class of work, which determines its rank, its limits and whether it may be retried.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Bid confirmation, executed at most once.
    Confirm,
    /// Swatch order, executed at most once.
    Order,
    /// Short lookup.
    #[default]
    Lookup,
    /// Placement stream or stock feed.
    Stream,
    /// Upload of an agency's artwork.
    Upload,
    /// Upload of a client's photo.
    Photo,
}

impl Class {
    /// All classes, in the order of [`Class::index`].
    pub const ALL: [Self; 6] = [
        Self::Confirm,
        Self::Order,
        Self::Lookup,
        Self::Stream,
        Self::Upload,
        Self::Photo,
    ];

    /// Returns the position in [`Class::ALL`].
    #[must_use]
    pub fn index(self) -> usize {
        self as usize
    }

    /// Returns true for work that must be executed at most once.
    #[must_use]
    pub fn is_at_most_once(self) -> bool {
        matches!(self, Self::Confirm | Self::Order)
    }

    /// Returns true for work that holds a slot many times longer than other classes.
    #[must_use]
    pub fn is_long_running(self) -> bool {
        matches!(self, Self::Upload | Self::Photo)
    }
}

/// Load that a backend server reports in its answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Incarnation of the backend server; never zero.
    pub incarnation: Incarnation,
    /// Number of requests being executed.
    #[serde(rename = "busy")]
    pub active_requests: u32,
    /// Number of open flows.
    pub conns: u32,
    /// True while it accepts no new work.
    pub draining: bool,
}

/// Why a flow, packet or request was rejected.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize)]
pub enum Reason {
    /// The ticket is forged, truncated, issued for something else or sealed with a retired key.
    BadTicket,
    /// The configuration in force has no such service.
    NoService,
    /// The endpoint's address now belongs to another service.
    Reassigned,
    /// The endpoint does not know the flow.
    FlowLost,
    /// The endpoint did not answer this flow while it answered others.
    Silent,
    /// No endpoint has free capacity.
    Overload,
    /// The deadline has passed.
    Late,
    /// The caller cancelled the request.
    Cancelled,
    /// The home that accepted the request is gone.
    HomeLost,
    /// The host holds no lease to dispatch at-most-once work.
    NoLease,
    /// The endpoint stopped answering or restarted while it held the request.
    EndpointLost,
    /// The endpoint is draining.
    Draining,
}

/// Whether a request that ended without an answer was executed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize)]
pub enum ExecutionStatus {
    /// No endpoint executed it, and none will.
    NotRun,
    /// It may have been executed.
    Unknown,
}

/// One part of the content of a request or an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Part {
    /// Position, counted from zero.
    pub index: u32,
    /// Total number of parts, at least one.
    pub total: u32,
    /// Content, at most [`MAX_PART_BYTES`].
    pub data: Bytes,
}

/// Message of a packet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Body {
    /// A caller asks for a ticket to send requests with, without opening a flow.
    Greet,
    /// A host answers [`Body::Greet`] with a ticket that names the home.
    Greeted,

    /// Opens a flow, sent by the caller and then by the host to an endpoint.
    Open,
    /// The endpoint accepted the flow; the host forwards it to the caller.
    Opened {
        /// Load of the endpoint.
        load: Load,
    },
    /// The endpoint refused the flow.
    OpenRefused {
        /// Load of the endpoint.
        load: Load,
    },
    /// Flow data from the caller.
    Up {
        /// Sequence number, counted by the caller.
        seq: u64,
        /// Content, at most [`MAX_PART_BYTES`].
        data: Bytes,
    },
    /// Flow data from the endpoint.
    Down {
        /// Sequence number, counted by the endpoint.
        seq: u64,
        /// Content, at most [`MAX_PART_BYTES`].
        data: Bytes,
    },
    /// The caller or the endpoint closes the flow; hosts also send it to the endpoint of a
    /// reset flow.
    Close,
    /// The caller keeps its flow or its ticket alive.
    Ping,
    /// A host answers a ping; a ticket in it replaces the caller's ticket for new requests.
    Pong,
    /// A host asks an endpoint whether it holds the flow.
    Probe,
    /// The endpoint answers a probe.
    Probed {
        /// True when the endpoint holds the flow.
        known: bool,
        /// Load of the endpoint.
        load: Load,
    },
    /// A host rejects a flow or packet; the caller opens a new flow.
    Reset {
        /// Why.
        reason: Reason,
    },

    /// A caller sends a request, or a part of one.
    Ask {
        /// Number that the caller gave the request.
        request: u64,
        /// Class of the request.
        class: Class,
        /// Time left until the deadline at the time of sending.
        time_left: Duration,
        /// Content.
        part: Part,
    },
    /// A host or an endpoint acknowledges a part of a request.
    PartAck {
        /// Number of the request, or of the dispatch when an endpoint sends it.
        request: u64,
        /// Index of the received part.
        index: u32,
    },
    /// A host dispatches a request to an endpoint.
    Work {
        /// Number of the request.
        request: u64,
        /// Number of this dispatch, unique for the home's incarnation.
        dispatch: u64,
        /// Incarnation of the endpoint that it is meant for; any other refuses it as lost.
        expected_incarnation: Incarnation,
        /// Class of the request.
        class: Class,
        /// Time left until the deadline.
        time_left: Duration,
        /// Content.
        part: Part,
    },
    /// The endpoint has not executed the dispatch and never will.
    Refused {
        /// Number of the request.
        request: u64,
        /// Number of the dispatch.
        dispatch: u64,
        /// Why.
        reason: Reason,
        /// Load of the endpoint.
        load: Load,
    },
    /// Answer to a request, sent by the endpoint and forwarded by the host.
    Answer {
        /// Number of the request.
        request: u64,
        /// Number of the dispatch.
        dispatch: u64,
        /// Load of the endpoint.
        load: Load,
        /// Content.
        part: Part,
    },
    /// A host reports that a request ended without an answer.
    Ended {
        /// Number of the request.
        request: u64,
        /// Whether it may have been executed.
        status: ExecutionStatus,
        /// Why.
        reason: Reason,
    },
    /// Cancels a request, sent by the caller and then by the host, which names the dispatch.
    Cancel {
        /// Number of the request.
        request: u64,
        /// Number of the dispatch; zero when a caller sends it.
        dispatch: u64,
    },
}
