//! The last packets that a caller has sent and received on a flow, printed with a violation.

use std::collections::VecDeque;
use std::fmt::{Display, Formatter, Write};
use std::net::SocketAddrV4;
use std::time::Instant;

use crate::ledger::Observations;
use crate::packet::Packet;

/// Number of events kept for a flow: an opening and a request up to its deadline are fewer.
const MAX_EVENTS: usize = 40;

/// Event of a flow as its caller sees it.
pub enum FlowEvent {
    /// A request with this id begins.
    Request(u64),
    Sent(Segment, SocketAddrV4),
    Received(Segment),
}

/// The fields of a packet that tell how far a flow has come.
pub struct Segment {
    flags: u8,
    seq: u32,
    ack: u32,
    cookie: u32,
    len: usize,
}

impl FlowEvent {
    pub fn sent(packet: &Packet, to: SocketAddrV4) -> Self {
        Self::Sent(Segment::of(packet), to)
    }

    pub fn received(packet: &Packet) -> Self {
        Self::Received(Segment::of(packet))
    }
}

impl Segment {
    fn of(packet: &Packet) -> Self {
        Self {
            flags: packet.flags,
            seq: packet.seq,
            ack: packet.ack,
            cookie: packet.cookie,
            len: packet.data.len(),
        }
    }
}

impl Display for Segment {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let Self {
            flags,
            seq,
            ack,
            cookie,
            len,
        } = self;
        write!(
            f,
            "flags={flags} seq={seq} ack={ack} cookie={cookie:x} len={len}"
        )
    }
}

/// The last events of a flow, with their times.
#[derive(Default)]
pub struct FlowHistory(VecDeque<(Instant, FlowEvent)>);

impl FlowHistory {
    pub fn add(&mut self, event: FlowEvent) {
        if self.0.len() == MAX_EVENTS {
            self.0.pop_front();
        }
        self.0.push_back((Instant::now(), event));
    }

    /// Returns a line for each event, with the time since the start of the traffic.
    pub fn describe(&self, observed: &Observations) -> String {
        let mut text = String::new();
        for (at, event) in &self.0 {
            let at = observed.seconds_at(*at);
            let result = match event {
                FlowEvent::Request(id) => writeln!(text, "    {at:8.3} s  request {id:x}"),
                FlowEvent::Sent(segment, to) => {
                    writeln!(text, "    {at:8.3} s  to {to} {segment}")
                }
                FlowEvent::Received(segment) => {
                    writeln!(text, "    {at:8.3} s  received {segment}")
                }
            };
            // Writing to a string does not fail.
            let _ = result;
        }
        text
    }
}
