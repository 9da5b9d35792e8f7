//! Packets of the current tick.

use std::net::SocketAddr;

use crate::packet::Packet;
use crate::ticket::Ticket;

/// Which system an arrival is for.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Stage {
    /// Dealt with.
    #[default]
    Handled,
    /// Greeting of a caller.
    Greeting,
    /// Flow to open here.
    Open,
    /// Caller's packet of a flow with its home here.
    Flow,
    /// Caller's packet of a request with its home here.
    Request,
    /// Endpoint's packet for this lane.
    EndpointPacket,
    /// Packet that a ticket alone takes on to the endpoint or the caller.
    Forward,
}

/// Arrivals by the system they are for, in the order in which they came.
#[derive(Debug, Default)]
pub struct StageQueues([Vec<Arrival>; QUEUE_COUNT]);

/// Number of stages that wait for a system.
const QUEUE_COUNT: usize = 6;

impl StageQueues {
    /// Adds an arrival; one that is dealt with is dropped.
    pub fn push(&mut self, arrival: Arrival) {
        if let Some(queue) = self.queue(arrival.stage) {
            queue.push(arrival);
        }
    }

    /// Takes out the arrivals of a stage.
    pub fn take(&mut self, stage: Stage) -> Vec<Arrival> {
        self.queue(stage).map(std::mem::take).unwrap_or_default()
    }

    fn queue(&mut self, stage: Stage) -> Option<&mut Vec<Arrival>> {
        let place = match stage {
            Stage::Handled => return None,
            Stage::Greeting => 0,
            Stage::Open => 1,
            Stage::Flow => 2,
            Stage::Request => 3,
            Stage::EndpointPacket => 4,
            Stage::Forward => 5,
        };
        self.0.get_mut(place)
    }
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
            stage: Stage::Handled,
        }
    }
}
