//! Packets of a flow: a head of 32 bytes and up to 1,200 bytes of data.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const HEAD: usize = 32;
pub const SYN: u8 = 1;
pub const FIN: u8 = 4;
pub const RST: u8 = 8;
pub const ACK: u8 = 128;

/// Key of the sum; only clients and endpoints use it.
const SUM_KEY: u32 = 0x9e37_79b1;

/// The two ends of a flow: the client, and the address and port of the route.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Flow {
    pub client: SocketAddrV4,
    pub route: SocketAddrV4,
}

#[derive(Clone, Debug)]
pub struct Packet {
    pub src: SocketAddrV4,
    pub dst: SocketAddrV4,
    pub seq: u32,
    pub ack: u32,
    pub echo: u32,
    pub sum: u32,
    pub flags: u8,
    pub data: Vec<u8>,
}

impl Packet {
    /// Decodes a packet; `None` if its length is wrong.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.len() < HEAD {
            return None;
        }
        let u32_at = |at: usize| {
            u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
        };
        let u16_at = |at: usize| u16::from_le_bytes([bytes[at], bytes[at + 1]]);
        if usize::from(u16_at(16)) != bytes.len() - HEAD {
            return None;
        }
        Some(Self {
            src: SocketAddrV4::new(Ipv4Addr::from(u32_at(28)), u16_at(26)),
            dst: SocketAddrV4::new(Ipv4Addr::from(u32_at(20)), u16_at(24)),
            seq: u32_at(0),
            ack: u32_at(4),
            echo: u32_at(8),
            sum: u32_at(12),
            flags: bytes[18],
            data: bytes[HEAD..].to_vec(),
        })
    }

    /// Encodes a packet with its sum.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(HEAD + self.data.len());
        out.extend(self.seq.to_le_bytes());
        out.extend(self.ack.to_le_bytes());
        out.extend(self.echo.to_le_bytes());
        out.extend(self.expected_sum().to_le_bytes());
        out.extend(u16::try_from(self.data.len()).unwrap_or(0).to_le_bytes());
        out.push(self.flags);
        out.push(0);
        out.extend(u32::from(*self.dst.ip()).to_le_bytes());
        out.extend(self.dst.port().to_le_bytes());
        out.extend(self.src.port().to_le_bytes());
        out.extend(u32::from(*self.src.ip()).to_le_bytes());
        out.extend(&self.data);
        out
    }

    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    /// True if the packet is as its sender wrote it.
    pub fn is_intact(&self) -> bool {
        self.sum == self.expected_sum()
    }

    fn expected_sum(&self) -> u32 {
        let mut sum = SUM_KEY;
        let mut add = |byte: u8| sum = (sum ^ u32::from(byte)).wrapping_mul(0x0100_0193);
        for word in [
            self.seq,
            self.ack,
            u32::from(*self.src.ip()),
            u32::from(*self.dst.ip()),
            u32::from(self.src.port()) << 16 | u32::from(self.dst.port()),
            u32::from(self.flags),
        ] {
            word.to_le_bytes().into_iter().for_each(&mut add);
        }
        self.data.iter().copied().for_each(&mut add);
        // 0 marks a reset that no end of a flow has written.
        sum.max(1)
    }
}

/// True if `a` comes after `b`; sequence numbers wrap around.
pub fn is_after(a: u32, b: u32) -> bool {
    let ahead = a.wrapping_sub(b);
    ahead != 0 && ahead < 1 << 31
}
