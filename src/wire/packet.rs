//! Encoding of packets between callers, hosts and endpoints.

use std::time::Duration;

use bytes::Bytes;
use prost::{Message, Oneof};

use super::addr;
use crate::error::{Error, Result};
use crate::id::Id;
use crate::packet::{
    Body, Class, ExecutionStatus, Load, MAX_PACKET_BYTES, MAX_PART_BYTES, MAX_PARTS, Packet, Part,
    Reason,
};

#[derive(Clone, PartialEq, Message)]
struct WirePacket {
    #[prost(fixed64, tag = "1")]
    service: u64,
    #[prost(bytes = "bytes", tag = "2")]
    caller: Bytes,
    #[prost(fixed64, tag = "3")]
    flow: u64,
    #[prost(uint32, tag = "4")]
    hops: u32,
    #[prost(bytes = "bytes", tag = "5")]
    ticket: Bytes,
    #[prost(
        oneof = "WireBody",
        tags = "6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25"
    )]
    body: Option<WireBody>,
}

#[derive(Clone, PartialEq, Oneof)]
enum WireBody {
    #[prost(message, tag = "6")]
    Greet(Empty),
    #[prost(message, tag = "7")]
    Greeted(Empty),
    #[prost(message, tag = "8")]
    Open(Empty),
    #[prost(message, tag = "9")]
    Opened(WireLoad),
    #[prost(message, tag = "10")]
    OpenRefused(WireLoad),
    #[prost(message, tag = "11")]
    Up(WireData),
    #[prost(message, tag = "12")]
    Down(WireData),
    #[prost(message, tag = "13")]
    Close(Empty),
    #[prost(message, tag = "14")]
    Ping(Empty),
    #[prost(message, tag = "15")]
    Pong(Empty),
    #[prost(message, tag = "16")]
    Probe(Empty),
    #[prost(message, tag = "17")]
    Probed(WireProbed),
    #[prost(uint32, tag = "18")]
    Reset(u32),
    #[prost(message, tag = "19")]
    Ask(WireAsk),
    #[prost(message, tag = "20")]
    PartAck(WirePartAck),
    #[prost(message, tag = "21")]
    Work(WireWork),
    #[prost(message, tag = "22")]
    Refused(WireRefused),
    #[prost(message, tag = "23")]
    Answer(WireAnswer),
    #[prost(message, tag = "24")]
    Ended(WireEnded),
    #[prost(message, tag = "25")]
    Cancel(WireCancel),
}

#[derive(Clone, Copy, PartialEq, Message)]
struct Empty {}

#[derive(Clone, Copy, PartialEq, Message)]
struct WireLoad {
    #[prost(uint64, tag = "1")]
    incarnation: u64,
    /// Number of requests being executed.
    #[prost(uint32, tag = "2")]
    busy: u32,
    #[prost(uint32, tag = "3")]
    conns: u32,
    #[prost(bool, tag = "4")]
    draining: bool,
}

#[derive(Clone, PartialEq, Message)]
struct WireData {
    #[prost(uint64, tag = "1")]
    seq: u64,
    #[prost(bytes = "bytes", tag = "2")]
    data: Bytes,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct WireProbed {
    #[prost(bool, tag = "1")]
    known: bool,
    #[prost(message, optional, tag = "2")]
    load: Option<WireLoad>,
}

#[derive(Clone, PartialEq, Message)]
struct WirePart {
    #[prost(uint32, tag = "1")]
    index: u32,
    #[prost(uint32, tag = "2")]
    total: u32,
    #[prost(bytes = "bytes", tag = "3")]
    data: Bytes,
}

#[derive(Clone, PartialEq, Message)]
struct WireAsk {
    #[prost(uint64, tag = "1")]
    request: u64,
    #[prost(uint32, tag = "2")]
    class: u32,
    #[prost(uint64, tag = "3")]
    budget_micros: u64,
    #[prost(message, optional, tag = "4")]
    part: Option<WirePart>,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct WirePartAck {
    #[prost(uint64, tag = "1")]
    request: u64,
    #[prost(uint32, tag = "2")]
    index: u32,
}

#[derive(Clone, PartialEq, Message)]
struct WireWork {
    #[prost(uint64, tag = "1")]
    request: u64,
    #[prost(uint64, tag = "2")]
    dispatch: u64,
    /// Incarnation of the endpoint that the dispatch is meant for.
    #[prost(uint64, tag = "3")]
    expect: u64,
    #[prost(uint32, tag = "4")]
    class: u32,
    #[prost(uint64, tag = "5")]
    budget_micros: u64,
    #[prost(message, optional, tag = "6")]
    part: Option<WirePart>,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct WireRefused {
    #[prost(uint64, tag = "1")]
    request: u64,
    #[prost(uint64, tag = "2")]
    dispatch: u64,
    #[prost(uint32, tag = "3")]
    reason: u32,
    #[prost(message, optional, tag = "4")]
    load: Option<WireLoad>,
}

#[derive(Clone, PartialEq, Message)]
struct WireAnswer {
    #[prost(uint64, tag = "1")]
    request: u64,
    #[prost(uint64, tag = "2")]
    dispatch: u64,
    #[prost(message, optional, tag = "3")]
    load: Option<WireLoad>,
    #[prost(message, optional, tag = "4")]
    part: Option<WirePart>,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct WireEnded {
    #[prost(uint64, tag = "1")]
    request: u64,
    #[prost(bool, tag = "2")]
    not_run: bool,
    #[prost(uint32, tag = "3")]
    reason: u32,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct WireCancel {
    #[prost(uint64, tag = "1")]
    request: u64,
    #[prost(uint64, tag = "2")]
    dispatch: u64,
}

const REASONS: [Reason; 12] = [
    Reason::BadTicket,
    Reason::NoService,
    Reason::Reassigned,
    Reason::FlowLost,
    Reason::Silent,
    Reason::Overload,
    Reason::Late,
    Reason::Cancelled,
    Reason::HomeLost,
    Reason::NoLease,
    Reason::EndpointLost,
    Reason::Draining,
];

/// Encodes a packet as a single datagram.
#[must_use]
pub fn encode_packet(packet: &Packet) -> Vec<u8> {
    let wire = WirePacket {
        service: packet.service.0,
        caller: addr::encode(packet.caller),
        flow: packet.flow,
        hops: packet.hops,
        ticket: packet.ticket.clone(),
        body: Some(encode_body(&packet.body)),
    };
    wire.encode_to_vec()
}

/// Decodes a packet from a datagram.
///
/// # Errors
///
/// Returns an error when the datagram is larger than [`MAX_PACKET_BYTES`], is not a valid
/// packet, or holds a part that is too large or whose number is out of range.
pub fn decode_packet(bytes: Bytes) -> Result<Packet> {
    if bytes.len() > MAX_PACKET_BYTES {
        return Err(Error::oversized(bytes.len(), MAX_PACKET_BYTES));
    }
    let wire = WirePacket::decode(bytes).map_err(|_| Error::malformed("packet"))?;
    let body = wire.body.ok_or_else(|| Error::malformed("packet body"))?;
    Ok(Packet {
        service: Id(wire.service),
        caller: addr::decode(&wire.caller)?,
        flow: wire.flow,
        hops: wire.hops,
        ticket: wire.ticket,
        body: decode_body(body)?,
    })
}

fn encode_body(body: &Body) -> WireBody {
    match body {
        Body::Greet => WireBody::Greet(Empty {}),
        Body::Greeted => WireBody::Greeted(Empty {}),
        Body::Open => WireBody::Open(Empty {}),
        Body::Opened { load } => WireBody::Opened(encode_load(load)),
        Body::OpenRefused { load } => WireBody::OpenRefused(encode_load(load)),
        Body::Up { seq, data } => WireBody::Up(encode_data(*seq, data)),
        Body::Down { seq, data } => WireBody::Down(encode_data(*seq, data)),
        Body::Close => WireBody::Close(Empty {}),
        Body::Ping => WireBody::Ping(Empty {}),
        Body::Pong => WireBody::Pong(Empty {}),
        Body::Probe => WireBody::Probe(Empty {}),
        Body::Probed { known, load } => WireBody::Probed(WireProbed {
            known: *known,
            load: Some(encode_load(load)),
        }),
        Body::Reset { reason } => WireBody::Reset(encode_reason(*reason)),
        Body::Ask {
            request,
            class,
            time_left,
            part,
        } => WireBody::Ask(WireAsk {
            request: *request,
            class: encode_class(*class),
            budget_micros: encode_time_left(*time_left),
            part: Some(encode_part(part)),
        }),
        Body::PartAck { request, index } => WireBody::PartAck(WirePartAck {
            request: *request,
            index: *index,
        }),
        Body::Work {
            request,
            dispatch,
            expected_incarnation,
            class,
            time_left,
            part,
        } => WireBody::Work(WireWork {
            request: *request,
            dispatch: *dispatch,
            expect: *expected_incarnation,
            class: encode_class(*class),
            budget_micros: encode_time_left(*time_left),
            part: Some(encode_part(part)),
        }),
        Body::Refused {
            request,
            dispatch,
            reason,
            load,
        } => WireBody::Refused(WireRefused {
            request: *request,
            dispatch: *dispatch,
            reason: encode_reason(*reason),
            load: Some(encode_load(load)),
        }),
        Body::Answer {
            request,
            dispatch,
            load,
            part,
        } => WireBody::Answer(WireAnswer {
            request: *request,
            dispatch: *dispatch,
            load: Some(encode_load(load)),
            part: Some(encode_part(part)),
        }),
        Body::Ended {
            request,
            status,
            reason,
        } => WireBody::Ended(WireEnded {
            request: *request,
            not_run: *status == ExecutionStatus::NotRun,
            reason: encode_reason(*reason),
        }),
        Body::Cancel { request, dispatch } => WireBody::Cancel(WireCancel {
            request: *request,
            dispatch: *dispatch,
        }),
    }
}

fn decode_body(body: WireBody) -> Result<Body> {
    let body = match body {
        WireBody::Greet(_) => Body::Greet,
        WireBody::Greeted(_) => Body::Greeted,
        WireBody::Open(_) => Body::Open,
        WireBody::Opened(load) => Body::Opened {
            load: decode_load(Some(load))?,
        },
        WireBody::OpenRefused(load) => Body::OpenRefused {
            load: decode_load(Some(load))?,
        },
        WireBody::Up(wire) => Body::Up {
            seq: wire.seq,
            data: decode_data(wire.data)?,
        },
        WireBody::Down(wire) => Body::Down {
            seq: wire.seq,
            data: decode_data(wire.data)?,
        },
        WireBody::Close(_) => Body::Close,
        WireBody::Ping(_) => Body::Ping,
        WireBody::Pong(_) => Body::Pong,
        WireBody::Probe(_) => Body::Probe,
        WireBody::Probed(wire) => Body::Probed {
            known: wire.known,
            load: decode_load(wire.load)?,
        },
        WireBody::Reset(reason) => Body::Reset {
            reason: decode_reason(reason)?,
        },
        WireBody::Ask(wire) => Body::Ask {
            request: wire.request,
            class: decode_class(wire.class)?,
            time_left: Duration::from_micros(wire.budget_micros),
            part: decode_part(wire.part)?,
        },
        WireBody::PartAck(wire) => Body::PartAck {
            request: wire.request,
            index: wire.index,
        },
        WireBody::Work(wire) => Body::Work {
            request: wire.request,
            dispatch: wire.dispatch,
            expected_incarnation: wire.expect,
            class: decode_class(wire.class)?,
            time_left: Duration::from_micros(wire.budget_micros),
            part: decode_part(wire.part)?,
        },
        WireBody::Refused(wire) => Body::Refused {
            request: wire.request,
            dispatch: wire.dispatch,
            reason: decode_reason(wire.reason)?,
            load: decode_load(wire.load)?,
        },
        WireBody::Answer(wire) => Body::Answer {
            request: wire.request,
            dispatch: wire.dispatch,
            load: decode_load(wire.load)?,
            part: decode_part(wire.part)?,
        },
        WireBody::Ended(wire) => Body::Ended {
            request: wire.request,
            status: if wire.not_run {
                ExecutionStatus::NotRun
            } else {
                ExecutionStatus::Unknown
            },
            reason: decode_reason(wire.reason)?,
        },
        WireBody::Cancel(wire) => Body::Cancel {
            request: wire.request,
            dispatch: wire.dispatch,
        },
    };
    Ok(body)
}

fn encode_data(seq: u64, data: &Bytes) -> WireData {
    WireData {
        seq,
        data: data.clone(),
    }
}

fn decode_data(data: Bytes) -> Result<Bytes> {
    if data.len() > MAX_PART_BYTES {
        return Err(Error::oversized(data.len(), MAX_PART_BYTES));
    }
    Ok(data)
}

fn encode_part(part: &Part) -> WirePart {
    WirePart {
        index: part.index,
        total: part.total,
        data: part.data.clone(),
    }
}

fn decode_part(wire: Option<WirePart>) -> Result<Part> {
    let wire = wire.ok_or_else(|| Error::malformed("part"))?;
    if wire.total == 0 || wire.total > MAX_PARTS || wire.index >= wire.total {
        return Err(Error::malformed("part number"));
    }
    Ok(Part {
        index: wire.index,
        total: wire.total,
        data: decode_data(wire.data)?,
    })
}

fn encode_load(load: &Load) -> WireLoad {
    WireLoad {
        incarnation: load.incarnation,
        busy: load.active_requests,
        conns: load.conns,
        draining: load.draining,
    }
}

fn decode_load(wire: Option<WireLoad>) -> Result<Load> {
    let wire = wire.ok_or_else(|| Error::malformed("load"))?;
    if wire.incarnation == 0 {
        return Err(Error::malformed("endpoint incarnation"));
    }
    Ok(Load {
        incarnation: wire.incarnation,
        active_requests: wire.busy,
        conns: wire.conns,
        draining: wire.draining,
    })
}

fn encode_class(class: Class) -> u32 {
    class as u32
}

fn decode_class(class: u32) -> Result<Class> {
    let index = usize::try_from(class).map_err(|_| Error::malformed("class"))?;
    Class::ALL
        .get(index)
        .copied()
        .ok_or_else(|| Error::malformed("class"))
}

fn encode_reason(reason: Reason) -> u32 {
    reason as u32
}

fn decode_reason(reason: u32) -> Result<Reason> {
    let index = usize::try_from(reason).map_err(|_| Error::malformed("reason"))?;
    REASONS
        .get(index)
        .copied()
        .ok_or_else(|| Error::malformed("reason"))
}

fn encode_time_left(time_left: Duration) -> u64 {
    u64::try_from(time_left.as_micros()).unwrap_or(u64::MAX)
}
