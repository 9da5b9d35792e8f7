//! Encoding of tickets, without their authentication code.

use bytes::Bytes;
use prost::Message;

use super::addr;
use crate::error::{Error, Result};
use crate::id::{FlowKey, Id};
use crate::ticket::{Home, Side, Target, Ticket};

#[derive(Clone, PartialEq, Message)]
struct WireTicket {
    #[prost(bool, tag = "1")]
    endpoint_side: bool,
    #[prost(fixed64, tag = "2")]
    service: u64,
    #[prost(bytes = "bytes", tag = "3")]
    caller: Bytes,
    #[prost(fixed64, tag = "4")]
    flow: u64,
    #[prost(fixed64, tag = "5")]
    host: u64,
    #[prost(uint64, tag = "6")]
    host_incarnation: u64,
    #[prost(bytes = "bytes", tag = "7")]
    lane: Bytes,
    #[prost(message, optional, tag = "8")]
    target: Option<WireTarget>,
}

#[derive(Clone, PartialEq, Message)]
struct WireTarget {
    #[prost(fixed64, tag = "1")]
    endpoint: u64,
    #[prost(bytes = "bytes", tag = "2")]
    addr: Bytes,
    #[prost(uint64, tag = "3")]
    incarnation: u64,
}

/// Encodes a ticket without its authentication code.
#[must_use]
pub fn encode_ticket(ticket: &Ticket) -> Vec<u8> {
    let wire = WireTicket {
        endpoint_side: ticket.side == Side::Endpoint,
        service: ticket.service.0,
        caller: addr::encode(ticket.flow.caller),
        flow: ticket.flow.flow,
        host: ticket.home.host.0,
        host_incarnation: ticket.home.incarnation,
        lane: addr::encode(ticket.home.addr),
        target: ticket.target.map(|target| WireTarget {
            endpoint: target.endpoint.0,
            addr: addr::encode(target.addr),
            incarnation: target.incarnation,
        }),
    };
    wire.encode_to_vec()
}

/// Decodes a ticket.
///
/// # Errors
///
/// Returns an error when the bytes are not a valid ticket.
pub fn decode_ticket(bytes: &[u8]) -> Result<Ticket> {
    let wire = WireTicket::decode(bytes).map_err(|_| Error::malformed("ticket"))?;
    let target = match &wire.target {
        None => None,
        Some(target) => Some(Target {
            endpoint: Id(target.endpoint),
            addr: addr::decode(&target.addr)?,
            incarnation: target.incarnation,
        }),
    };
    Ok(Ticket {
        side: if wire.endpoint_side {
            Side::Endpoint
        } else {
            Side::Caller
        },
        service: Id(wire.service),
        flow: FlowKey {
            caller: addr::decode(&wire.caller)?,
            flow: wire.flow,
        },
        home: Home {
            host: Id(wire.host),
            incarnation: wire.host_incarnation,
            addr: addr::decode(&wire.lane)?,
        },
        target,
    })
}
