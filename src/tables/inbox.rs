//! Packets of the current tick.

use std::net::SocketAddr;

use crate::packet::Packet;
use crate::ticket::Ticket;

/// Which system an arrival is for.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Stage {
    /// Not routed.
    #[default]
    New,
    /// Greeting of a caller.
    Greet,
    /// Flow to open here.
    Open,
    /// Caller's packet of a flow with its home here.
    Flow,
    /// Caller's packet of a request with its home here.
    Ask,
    /// Endpoint's packet for this lane.
    Settle,
    /// Packet that a ticket alone takes on to the endpoint or the caller.
    Pass,
    /// Dealt with.
    Spent,
}

/// A packet that arrived.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Address it came from.
    pub from: SocketAddr,
    /// The packet.
    pub packet: Packet,
    /// Its ticket, once opened.
    pub ticket: Option<Ticket>,
    /// The system it is for.
    pub stage: Stage,
}

impl Arrival {
    /// An arrival that is not routed.
    #[must_use]
    pub fn new(from: SocketAddr, packet: Packet) -> Self {
        Self {
            from,
            packet,
            ticket: None,
            stage: Stage::New,
        }
    }
}
