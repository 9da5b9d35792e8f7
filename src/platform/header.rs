//! Codec of packet headers and of the datagrams that hosts send.
//!
//! ```text
//! seq 0  ack 4  cookie 8  checksum 12  len 16  flags 18  padding 19
//! dst 20  dport 24  sport 26  src 28
//! ```
//!
//! The numbers are byte offsets, and all fields are little-endian. A datagram to an
//! endpoint consists of the endpoint's number in 8 bytes, big-endian, followed by the
//! packet. The checksum covers all fields except the cookie and the padding; a reset
//! has no checksum.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use bytes::{Buf, BufMut, Bytes, BytesMut};

use crate::error::{Error, Result};
use crate::segment::{FlowAddrs, RelayAction, Segment, SegmentKind};

/// Size of a packet header, in bytes.
pub const HEADER_BYTES: usize = 32;

/// Maximum size of a packet, in bytes: the header and 1,200 bytes of data.
pub const MAX_PACKET_BYTES: usize = HEADER_BYTES + 1_200;

/// Byte offset of the cookie in the header.
const COOKIE_OFFSET: usize = 8;

const SYN: u8 = 1;
const RST: u8 = 8;
const FIN: u8 = 4;

/// Decodes a caller's packet.
///
/// # Errors
///
/// Returns an error when the size of the packet is out of range or differs from the length
/// in its header.
pub fn decode(bytes: Bytes) -> Result<Segment> {
    if bytes.len() < HEADER_BYTES || bytes.len() > MAX_PACKET_BYTES {
        return Err(Error::malformed("segment header"));
    }
    let mut header = &bytes[..HEADER_BYTES];
    let seq = header.get_u32_le();
    let ack = header.get_u32_le();
    let cookie = header.get_u32_le();
    let _checksum = header.get_u32_le();
    let len = header.get_u16_le();
    let flags = header.get_u8();
    let _padding = header.get_u8();
    let dst = header.get_u32_le();
    let dport = header.get_u16_le();
    let sport = header.get_u16_le();
    let src = header.get_u32_le();
    if usize::from(len) != bytes.len() - HEADER_BYTES {
        return Err(Error::malformed("segment length"));
    }
    Ok(Segment {
        addrs: FlowAddrs {
            caller: socket_addr(src, sport),
            vip: socket_addr(dst, dport),
        },
        kind: segment_kind(flags),
        seq,
        ack,
        cookie,
        len,
        bytes,
    })
}

/// Encodes the datagram of an action and returns it with its destination.
///
/// Resets are sent to the caller's IP address at the port `client_port`. Returns `None`
/// for the reset of a flow with IPv6 addresses.
#[must_use]
pub fn encode(relay: &RelayAction, client_port: u16) -> Option<(SocketAddr, Bytes)> {
    match relay {
        RelayAction::Forward {
            to,
            endpoint_number: number,
            cookie,
            bytes,
        } => Some((*to, encode_forward(*number, *cookie, bytes))),
        RelayAction::Reset { addrs, seq } => {
            let to = SocketAddr::new(addrs.caller.ip(), client_port);
            Some((to, encode_reset(addrs, *seq)?))
        }
    }
}

fn encode_forward(number: u64, cookie: Option<u32>, bytes: &Bytes) -> Bytes {
    let mut datagram = BytesMut::with_capacity(8 + bytes.len());
    datagram.put_u64(number);
    match cookie {
        None => datagram.extend_from_slice(bytes),
        Some(cookie) => {
            datagram.extend_from_slice(&bytes[..COOKIE_OFFSET]);
            datagram.put_u32_le(cookie);
            datagram.extend_from_slice(&bytes[COOKIE_OFFSET + 4..]);
        }
    }
    datagram.freeze()
}

fn encode_reset(addrs: &FlowAddrs, seq: u32) -> Option<Bytes> {
    let (SocketAddr::V4(caller), SocketAddr::V4(vip)) = (addrs.caller, addrs.vip) else {
        return None;
    };
    let mut packet = BytesMut::with_capacity(HEADER_BYTES);
    packet.put_u32_le(seq);
    packet.put_bytes(0, 14);
    packet.put_u8(RST);
    packet.put_u8(0);
    packet.put_u32_le(caller.ip().to_bits());
    packet.put_u16_le(caller.port());
    packet.put_u16_le(vip.port());
    packet.put_u32_le(vip.ip().to_bits());
    Some(packet.freeze())
}

fn segment_kind(flags: u8) -> SegmentKind {
    if flags & RST != 0 {
        SegmentKind::Reset
    } else if flags & SYN != 0 {
        SegmentKind::Open
    } else if flags & FIN != 0 {
        SegmentKind::Fin
    } else {
        SegmentKind::Data
    }
}

fn socket_addr(ip: u32, port: u16) -> SocketAddr {
    SocketAddrV4::new(Ipv4Addr::from_bits(ip), port).into()
}
