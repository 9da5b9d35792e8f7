//! Typed packets, as decision code sees them.
//!
//! A packet is one datagram between a caller, a host of the system and a backend
//! server. Any packet may take any way: it names its service and its flow, and
//! may carry a sealed ticket. How it is put into bytes is `wire`'s business.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::id::{FlowKey, Id, Incarnation};

/// Most bytes of an encoded packet.
pub const MAX_PACKET_BYTES: usize = 1_400;

/// Most payload bytes of one part, which leaves room for the ticket and fields.
pub const MAX_PART_BYTES: usize = 1_024;

/// Most parts of one request or answer.
pub const MAX_PARTS: u32 = 1_024;

/// Most times a packet is passed on between hosts.
pub const MAX_HOPS: u32 = 2;

/// One datagram.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Packet {
    /// Service it is meant for.
    pub service: Id,
    /// Address of the caller; a host takes it from the fabric or from a ticket.
    pub caller: SocketAddr,
    /// Number the caller gave the flow.
    pub flow: u64,
    /// Hosts that have passed it on.
    pub hops: u32,
    /// Sealed ticket, empty for callers that cannot echo one.
    pub ticket: Bytes,
    /// What it says.
    pub body: Body,
}

impl Packet {
    /// Flow the packet belongs to.
    #[must_use]
    pub fn key(&self) -> FlowKey {
        FlowKey {
            caller: self.caller,
            flow: self.flow,
        }
    }

    /// The same addressing with another body and ticket.
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

/// Kind of work, which decides ranking, limits and whether it may be repeated.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Bid confirmation, run at most once.
    Confirm,
    /// Swatch order, run at most once.
    Order,
    /// Short lookup.
    #[default]
    Lookup,
    /// Placement stream or stock feed.
    Stream,
    /// Agency artwork.
    Upload,
    /// Client's photo.
    Photo,
}

impl Class {
    /// All classes, in order.
    pub const ALL: [Self; 6] = [
        Self::Confirm,
        Self::Order,
        Self::Lookup,
        Self::Stream,
        Self::Upload,
        Self::Photo,
    ];

    /// Position in [`Class::ALL`].
    #[must_use]
    pub fn index(self) -> usize {
        self as usize
    }

    /// True for work that must run at most once.
    #[must_use]
    pub fn is_once(self) -> bool {
        matches!(self, Self::Confirm | Self::Order)
    }

    /// True for work that holds a slot many times longer than the rest.
    #[must_use]
    pub fn is_long(self) -> bool {
        matches!(self, Self::Upload | Self::Photo)
    }
}

/// Load of a backend server, as its own answers report it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Life of the backend server that speaks; never zero.
    pub incarnation: Incarnation,
    /// Requests running.
    #[serde(rename = "busy")]
    pub active_requests: u32,
    /// Open flows.
    pub conns: u32,
    /// True while it takes no new work.
    pub draining: bool,
}

/// Why a flow or packet was turned away.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize)]
pub enum Reason {
    /// Ticket forged, foreign, truncated or of a retired key.
    BadTicket,
    /// No such service in force.
    NoService,
    /// The endpoint's address now belongs to another service.
    Reassigned,
    /// The endpoint does not know the flow.
    FlowLost,
    /// The flow got no answers while its endpoint answered others.
    Silent,
    /// No endpoint has room.
    Overload,
    /// The deadline passed first.
    Late,
    /// The caller cancelled it.
    Cancelled,
    /// The home that took the request is gone.
    HomeLost,
    /// The host holds no lease to dispatch once-only work.
    NoLease,
    /// The endpoint fell silent or restarted with the request in hand.
    EndpointLost,
    /// The endpoint drains.
    Draining,
}

/// What is known of a request that has no answer.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize)]
pub enum ExecutionStatus {
    /// Certain: no endpoint ran it, and none will.
    NotRun,
    /// It may have run.
    Unknown,
}

/// One part of a request's or an answer's content.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Part {
    /// Position, from zero.
    pub index: u32,
    /// Parts in all, at least one.
    pub total: u32,
    /// Content, at most [`MAX_PART_BYTES`].
    pub data: Bytes,
}

/// What a packet says.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Body {
    /// Caller asks for a ticket only, to send requests with.
    Greet,
    /// Host answers a greeting; the ticket names the home.
    Greeted,

    /// Caller, then host, opens a flow.
    Open,
    /// Endpoint, then host, took the flow.
    Opened {
        /// Load of the endpoint.
        load: Load,
    },
    /// Endpoint did not take the flow.
    OpenRefused {
        /// Load of the endpoint.
        load: Load,
    },
    /// Content from the caller.
    Up {
        /// Position in the flow, counted by the caller.
        seq: u64,
        /// Content, at most [`MAX_PART_BYTES`].
        data: Bytes,
    },
    /// Content from the endpoint.
    Down {
        /// Position in the flow, counted by the endpoint.
        seq: u64,
        /// Content, at most [`MAX_PART_BYTES`].
        data: Bytes,
    },
    /// Either end closes the flow; hosts send it to the endpoint of a reset flow.
    Close,
    /// Caller keeps its flow or ticket fresh.
    Ping,
    /// Host answers a ping; a ticket in it replaces the caller's for new requests.
    Pong,
    /// Host asks an endpoint whether it knows the flow.
    Probe,
    /// Endpoint answers a probe.
    Probed {
        /// True if the endpoint holds the flow.
        known: bool,
        /// Load of the endpoint.
        load: Load,
    },
    /// Host turns a flow or packet away; the caller reopens.
    Reset {
        /// Why.
        reason: Reason,
    },

    /// Caller asks for work.
    Ask {
        /// Number that the caller gave the request.
        request: u64,
        /// Kind of work.
        class: Class,
        /// Time left until the deadline, when sent.
        budget: Duration,
        /// Content.
        part: Part,
    },
    /// Host or endpoint holds a part of a request.
    PartAck {
        /// Request, or dispatch when it comes from an endpoint.
        request: u64,
        /// Part held.
        index: u32,
    },
    /// Host gives work to an endpoint.
    Work {
        /// Number of the request.
        request: u64,
        /// Number of this dispatch, unique for the home's incarnation.
        dispatch: u64,
        /// Life of the endpoint it is meant for; another life refuses it as lost.
        expected_incarnation: Incarnation,
        /// Kind of work.
        class: Class,
        /// Time left until the deadline.
        budget: Duration,
        /// Content.
        part: Part,
    },
    /// Endpoint has not run the dispatch and never will.
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
    /// Endpoint's, then host's, answer to a request.
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
    /// Host says what is known of a request that has no answer.
    Ended {
        /// Number of the request.
        request: u64,
        /// What is known.
        status: ExecutionStatus,
        /// Why.
        reason: Reason,
    },
    /// Caller, then host, cancels a request; hosts name the dispatch.
    Cancel {
        /// Number of the request.
        request: u64,
        /// Number of the dispatch, zero from a caller.
        dispatch: u64,
    },
}
