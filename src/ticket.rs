//! Sealed tickets.
//!
//! A ticket states which lane and endpoint hold a flow, so that a host without state
//! for the flow can forward its packets. It is authenticated with a keyed hash under
//! the current key; tickets under the other live key are accepted too. A key rotation
//! first distributes the new key as the other one to every host and then swaps the two,
//! so that no flow breaks. Tickets are opaque to callers and endpoints, which echo them.

use std::fmt;
use std::net::SocketAddr;

use bytes::Bytes;

use crate::error::{Error, Result};
use crate::id::{FlowKey, Id, Incarnation};
use crate::wire;

const MAC_BYTES: usize = 16;

/// Who may present a ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Side {
    /// The caller.
    Caller,
    /// The endpoint.
    Endpoint,
}

/// The traffic lane that is responsible for a flow or its requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Home {
    /// Host of the lane.
    pub host: Id,
    /// Incarnation of that host.
    pub incarnation: Incarnation,
    /// Address of the lane.
    pub addr: SocketAddr,
}

/// The endpoint that holds a flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Target {
    /// Id of the endpoint.
    pub endpoint: Id,
    /// Its address.
    pub addr: SocketAddr,
    /// Its incarnation; zero until it has answered.
    pub incarnation: Incarnation,
}

/// Content of a ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// Who may present it.
    pub side: Side,
    /// Service of the flow.
    pub service: Id,
    /// Flow that it was issued for.
    pub flow: FlowKey,
    /// Lane that is responsible for the flow.
    pub home: Home,
    /// Endpoint of the flow; `None` in tickets that are for requests only.
    pub target: Option<Target>,
}

/// The two live sealing keys.
#[derive(Clone, Eq, PartialEq)]
pub struct TicketKeys {
    current: [u8; 32],
    other: [u8; 32],
}

impl TicketKeys {
    /// Derives the keys from two secrets; tickets are sealed with `current` and opened
    /// with either.
    #[must_use]
    pub fn new(current: &str, other: &str) -> Self {
        Self {
            current: derive_key(current),
            other: derive_key(other),
        }
    }

    /// Seals a ticket.
    #[must_use]
    pub fn seal(&self, ticket: &Ticket) -> Bytes {
        let mut sealed = wire::encode_ticket(ticket);
        let mac = compute_mac(&self.current, &sealed);
        sealed.extend_from_slice(&mac);
        sealed.into()
    }

    /// Verifies and decodes a sealed ticket.
    ///
    /// # Errors
    ///
    /// Fails when the ticket is truncated or sealed with neither live key.
    pub fn open(&self, sealed: &[u8]) -> Result<Ticket> {
        let Some(length) = sealed.len().checked_sub(MAC_BYTES) else {
            return Err(Error::forged());
        };
        let (content, seal) = sealed.split_at(length);
        if compute_mac(&self.current, content) != seal && compute_mac(&self.other, content) != seal
        {
            return Err(Error::forged());
        }
        wire::decode_ticket(content)
    }
}

impl fmt::Debug for TicketKeys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TicketKeys(..)")
    }
}

fn derive_key(secret: &str) -> [u8; 32] {
    blake3::derive_key("jacinthhinge ticket", secret.as_bytes())
}

fn compute_mac(key: &[u8; 32], content: &[u8]) -> [u8; MAC_BYTES] {
    let hash = blake3::keyed_hash(key, content);
    let mut seal = [0; MAC_BYTES];
    seal.copy_from_slice(&hash.as_bytes()[..MAC_BYTES]);
    seal
}
