//! Encoding of socket addresses: the IP address followed by the port, in network byte order.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

use bytes::{BufMut, Bytes, BytesMut};

use crate::error::{Error, Result};

const PORT_BYTES: usize = 2;

pub(crate) fn encode(addr: SocketAddr) -> Bytes {
    let mut bytes = BytesMut::with_capacity(16 + PORT_BYTES);
    match addr.ip() {
        IpAddr::V4(ip) => bytes.put_slice(&ip.octets()),
        IpAddr::V6(ip) => bytes.put_slice(&ip.octets()),
    }
    bytes.put_u16(addr.port());
    bytes.freeze()
}

pub(crate) fn decode(bytes: &[u8]) -> Result<SocketAddr> {
    let (ip, port) = bytes
        .split_last_chunk::<PORT_BYTES>()
        .ok_or_else(|| Error::malformed("address"))?;
    let port = u16::from_be_bytes(*port);
    if let Ok(octets) = <[u8; 4]>::try_from(ip) {
        return Ok(SocketAddr::new(Ipv4Addr::from(octets).into(), port));
    }
    let octets = <[u8; 16]>::try_from(ip).map_err(|_| Error::malformed("address"))?;
    Ok(SocketAddr::new(Ipv6Addr::from(octets).into(), port))
}
