//! Encoding of the packets that the two ends of a flow exchange.

use std::net::{Ipv4Addr, SocketAddrV4};

use bytes::{Buf, BufMut, BytesMut};
use jacinthhinge::platform::header::HEADER_BYTES;
use xxhash_rust::xxh3::xxh3_64;

pub const SYN: u8 = 1;
pub const FIN: u8 = 4;
pub const RST: u8 = 8;
pub const ACK: u8 = 128;

/// The addresses of the two ends of a flow: the caller and the virtual address.
///
/// The packet checksum and the choice of a host hash the `Debug` output, so the names of
/// the type and its fields are part of both.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Flow {
    pub caller: SocketAddrV4,
    pub front: SocketAddrV4,
}

/// A packet from one end of a flow to the other.
#[derive(Clone, Debug)]
pub struct Packet {
    pub flow: Flow,
    /// True for a packet from the endpoint, or from a host, to the caller.
    pub to_caller: bool,
    pub seq: u32,
    pub ack: u32,
    pub cookie: u32,
    pub flags: u8,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn has_flag(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    pub fn encode(&self) -> Vec<u8> {
        let (from, to) = if self.to_caller {
            (self.flow.front, self.flow.caller)
        } else {
            (self.flow.caller, self.flow.front)
        };
        let mut bytes = BytesMut::with_capacity(HEADER_BYTES + self.data.len());
        bytes.put_u32_le(self.seq);
        bytes.put_u32_le(self.ack);
        bytes.put_u32_le(self.cookie);
        bytes.put_u32_le(self.checksum());
        bytes.put_u16_le(u16::try_from(self.data.len()).expect("the data is shorter than 64 KiB"));
        bytes.put_u8(self.flags);
        bytes.put_u8(0);
        bytes.put_u32_le(to.ip().to_bits());
        bytes.put_u16_le(to.port());
        bytes.put_u16_le(from.port());
        bytes.put_u32_le(from.ip().to_bits());
        bytes.extend_from_slice(&self.data);
        bytes.to_vec()
    }

    /// Decodes a packet and tells whether its checksum is valid. The checksum of a reset
    /// from a host never is. Returns `None` if the length is wrong.
    pub fn decode(bytes: &[u8], to_caller: bool) -> Option<(Self, bool)> {
        if bytes.len() < HEADER_BYTES {
            return None;
        }
        let (mut header, data) = bytes.split_at(HEADER_BYTES);
        let (seq, ack, cookie) = (
            header.get_u32_le(),
            header.get_u32_le(),
            header.get_u32_le(),
        );
        let checksum = header.get_u32_le();
        let length = usize::from(header.get_u16_le());
        let flags = header.get_u8();
        header.advance(1);
        let dst = Ipv4Addr::from_bits(header.get_u32_le());
        let (dport, sport) = (header.get_u16_le(), header.get_u16_le());
        let src = Ipv4Addr::from_bits(header.get_u32_le());
        let (from, to) = (SocketAddrV4::new(src, sport), SocketAddrV4::new(dst, dport));
        let (caller, front) = if to_caller { (to, from) } else { (from, to) };
        let packet = Self {
            flow: Flow { caller, front },
            to_caller,
            seq,
            ack,
            cookie,
            flags,
            data: data.to_vec(),
        };
        let is_intact = packet.checksum() == checksum;
        (length == data.len()).then_some((packet, is_intact))
    }

    /// Returns the checksum over everything but the cookie; never zero.
    fn checksum(&self) -> u32 {
        let addrs = format!("{:?}{}", self.flow, self.to_caller);
        let mut bytes = addrs.into_bytes();
        bytes.extend_from_slice(&self.seq.to_le_bytes());
        bytes.extend_from_slice(&self.ack.to_le_bytes());
        bytes.push(self.flags);
        bytes.extend_from_slice(&self.data);
        u32::try_from(xxh3_64(&bytes) >> 32).unwrap_or(1).max(1)
    }
}
