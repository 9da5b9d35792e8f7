//! Packets received in the current tick.

use std::net::SocketAddr;

use crate::packet::Packet;
use crate::ticket::Ticket;

/// System that handles an arrival.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Stage {
    /// None: the packet has been handled.
    #[default]
    Handled,
    /// Greeting of a caller.
    Greeting,
    /// Caller's packet that opens a flow with its home here.
    Open,
    /// Caller's packet of a flow with its home here.
    Flow,
    /// Caller's packet of a request with its home here.
    Request,
    /// Endpoint's packet addressed to this lane.
    EndpointPacket,
    /// Packet that is forwarded to the endpoint or the caller by its ticket alone.
    Forward,
}

/// Arrivals queued by the system that handles them, in order of arrival.
#[derive(Debug, Default)]
pub struct StageQueues([Vec<Arrival>; QUEUE_COUNT]);

/// Number of stages that have a queue.
const QUEUE_COUNT: usize = 6;

impl StageQueues {
    /// Queues an arrival; drops one that has been handled.
    pub fn push(&mut self, arrival: Arrival) {
        if let Some(queue) = self.queue(arrival.stage) {
            queue.push(arrival);
        }
    }

    /// Removes and returns the arrivals of a stage.
    pub fn take(&mut self, stage: Stage) -> Vec<Arrival> {
        self.queue(stage).map(std::mem::take).unwrap_or_default()
    }

    fn queue(&mut self, stage: Stage) -> Option<&mut Vec<Arrival>> {
        let index = match stage {
            Stage::Handled => return None,
            Stage::Greeting => 0,
            Stage::Open => 1,
            Stage::Flow => 2,
            Stage::Request => 3,
            Stage::EndpointPacket => 4,
            Stage::Forward => 5,
        };
        self.0.get_mut(index)
    }
}

/// A received packet.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Address of its sender.
    pub from: SocketAddr,
    /// The packet.
    pub packet: Packet,
    /// Its ticket, once verified.
    pub ticket: Option<Ticket>,
    /// System that handles it.
    pub stage: Stage,
}

impl Arrival {
    /// Creates an arrival that is not routed yet.
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
