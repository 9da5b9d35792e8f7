//! Sealed tickets.
//!
//! A ticket states where a flow lives, so that a host with no memory of the flow
//! can pass its packets on. It is sealed with a keyed hash under the current key;
//! the other live key opens it too. A rotation first adds the new key as the other
//! one everywhere, and then swaps the two, so that it never breaks a flow. The bytes mean nothing to callers and endpoints, which only echo them.

use std::fmt;
use std::net::SocketAddr;

use bytes::Bytes;

use crate::error::{Error, Result};
use crate::id::{FlowKey, Id, Incarnation};
use crate::wire;

const SEAL_BYTES: usize = 16;

/// Who may present a ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Side {
    /// The caller.
    Caller,
    /// The endpoint.
    Endpoint,
}

/// The traffic lane that answers for a flow or its requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Home {
    /// Host of the lane.
    pub host: Id,
    /// Life of that host.
    pub incarnation: Incarnation,
    /// Address of the lane.
    pub addr: SocketAddr,
}

/// The endpoint that holds a flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Target {
    /// Endpoint.
    pub endpoint: Id,
    /// Its address.
    pub addr: SocketAddr,
    /// Its life, zero until it has answered.
    pub incarnation: Incarnation,
}

/// What a ticket states.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// Who may present it.
    pub side: Side,
    /// Service of the flow.
    pub service: Id,
    /// Flow it was given for.
    pub flow: FlowKey,
    /// Lane that answers for the flow.
    pub home: Home,
    /// Endpoint of the flow; none in tickets for requests only.
    pub target: Option<Target>,
}

/// The two live sealing keys.
#[derive(Clone, Eq, PartialEq)]
pub struct TicketKeys {
    current: [u8; 32],
    other: [u8; 32],
}

impl TicketKeys {
    /// Keys derived from two secrets; tickets are sealed with `current` and opened with either.
    #[must_use]
    pub fn new(current: &str, other: &str) -> Self {
        Self {
            current: derive(current),
            other: derive(other),
        }
    }

    /// Seals a ticket.
    #[must_use]
    pub fn seal(&self, ticket: &Ticket) -> Bytes {
        let mut sealed = wire::encode_ticket(ticket);
        let mac = mac(&self.current, &sealed);
        sealed.extend_from_slice(&mac);
        sealed.into()
    }

    /// Opens a sealed ticket.
    ///
    /// # Errors
    ///
    /// Fails when it is truncated or sealed with neither live key.
    pub fn open(&self, sealed: &[u8]) -> Result<Ticket> {
        let Some(length) = sealed.len().checked_sub(SEAL_BYTES) else {
            return Err(Error::forged());
        };
        let (content, seal) = sealed.split_at(length);
        if mac(&self.current, content) != seal && mac(&self.other, content) != seal {
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

fn derive(secret: &str) -> [u8; 32] {
    blake3::derive_key("jacinthhinge ticket", secret.as_bytes())
}

fn mac(key: &[u8; 32], content: &[u8]) -> [u8; SEAL_BYTES] {
    let hash = blake3::keyed_hash(key, content);
    let mut seal = [0; SEAL_BYTES];
    seal.copy_from_slice(&hash.as_bytes()[..SEAL_BYTES]);
    seal
}
