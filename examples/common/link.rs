//! Sends and receives packets over UDP.

use jacinthhinge::packet::MAX_PACKET_BYTES;
use jacinthhinge::prelude::*;
use jacinthhinge::wire::{decode_packet, encode_packet};
use tokio::net::UdpSocket;

/// Binds a datagram socket.
///
/// # Errors
///
/// Fails if the address is in use or does not belong to this machine.
pub async fn bind(addr: SocketAddr) -> Result<UdpSocket> {
    UdpSocket::bind(addr)
        .await
        .map_err(|source| Error::io("bind the packet socket", source))
}

/// Sends a packet. Errors are ignored: the packet counts as lost, as on a network.
pub async fn send(socket: &UdpSocket, to: SocketAddr, packet: &Packet) {
    let _ = socket.send_to(&encode_packet(packet), to).await;
}

/// Returns the next packet with its sender. Datagrams that are not valid packets are dropped.
pub async fn receive(socket: &UdpSocket) -> (Packet, SocketAddr) {
    let mut buffer = vec![0; MAX_PACKET_BYTES + 1];
    loop {
        // An error is the ICMP response to an earlier datagram, such as "port unreachable".
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        if let Ok(packet) = decode_packet(Bytes::copy_from_slice(&buffer[..length])) {
            return (packet, from);
        }
    }
}
