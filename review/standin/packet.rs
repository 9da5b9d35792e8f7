//! Packets of a flow, in the layout of the platform's pages.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const SYN: u8 = 1;
pub const FIN: u8 = 4;
pub const RST: u8 = 8;
pub const ACK: u8 = 128;
const BOUNCED: u8 = 2;

pub const HEADER: usize = 32;
pub const MAX_DATA: usize = 1200;

/// Key of the checksum, which the relay does not know.
const KEY: u64 = 0x9e37_79b9_7f4a_7c15;

#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Flow {
    pub client: SocketAddrV4,
    pub vip: SocketAddrV4,
}

#[derive(Clone, Debug)]
pub struct Packet {
    pub seq: u32,
    pub ack: u32,
    pub echo: u32,
    pub flags: u8,
    pub from: SocketAddrV4,
    pub to: SocketAddrV4,
    pub data: Vec<u8>,
    pub sum: u32,
}

impl Packet {
    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    /// The checksum that the sender of this packet has to write.
    pub fn true_sum(&self) -> u32 {
        let mut hash = KEY;
        let mut mix = |byte: u8| hash = (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
        for word in [
            self.seq,
            self.ack,
            self.from.ip().to_bits(),
            self.to.ip().to_bits(),
        ] {
            word.to_le_bytes().into_iter().for_each(&mut mix);
        }
        for port in [self.from.port(), self.to.port(), self.data.len() as u16] {
            port.to_le_bytes().into_iter().for_each(&mut mix);
        }
        mix(self.flags & !BOUNCED);
        self.data.iter().copied().for_each(&mut mix);
        ((hash >> 32) as u32 ^ hash as u32).max(1)
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(HEADER + self.data.len());
        out.extend(self.seq.to_le_bytes());
        out.extend(self.ack.to_le_bytes());
        out.extend(self.echo.to_le_bytes());
        out.extend(self.true_sum().to_le_bytes());
        out.extend((self.data.len() as u16).to_le_bytes());
        out.push(self.flags);
        out.push(0);
        out.extend(self.to.ip().to_bits().to_le_bytes());
        out.extend(self.to.port().to_le_bytes());
        out.extend(self.from.port().to_le_bytes());
        out.extend(self.from.ip().to_bits().to_le_bytes());
        out.extend(&self.data);
        out
    }

    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.len() < HEADER {
            return None;
        }
        let u32_at = |at: usize| u32::from_le_bytes(bytes[at..at + 4].try_into().unwrap());
        let u16_at = |at: usize| u16::from_le_bytes(bytes[at..at + 2].try_into().unwrap());
        if usize::from(u16_at(16)) != bytes.len() - HEADER {
            return None;
        }
        let addr = |ip, port| SocketAddrV4::new(Ipv4Addr::from_bits(ip), port);
        Some(Self {
            seq: u32_at(0),
            ack: u32_at(4),
            echo: u32_at(8),
            sum: u32_at(12),
            flags: bytes[18],
            to: addr(u32_at(20), u16_at(24)),
            from: addr(u32_at(28), u16_at(26)),
            data: bytes[HEADER..].to_vec(),
        })
    }
}

/// True when `a` comes after `b` on the circle of sequence numbers.
pub fn after(a: u32, b: u32) -> bool {
    let ahead = a.wrapping_sub(b);
    ahead != 0 && ahead < 1 << 31
}
