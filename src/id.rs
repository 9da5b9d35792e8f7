//! Names and the ids derived from them.
//!
//! Names are shared immutable strings. Messages and tables carry an [`Id`], the
//! 64-bit hash of a name, which every host computes alike. A configuration with
//! two names of one id is refused.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Shared immutable name.
pub type Name = Arc<str>;

/// Hash of a name.
#[derive(Clone, Copy, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id(pub u64);

impl Id {
    /// Id of a name.
    ///
    /// ```
    /// # use jacinthhinge::prelude::*;
    /// assert_eq!(Id::of("adserve"), Id::of("adserve"));
    /// assert_ne!(Id::of("adserve"), Id::of("kleurmatch"));
    /// ```
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

impl fmt::Debug for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// One life of a process: the wall-clock microsecond at which it started.
pub type Incarnation = u64;

/// A flow as every host names it: the caller's address and its own number.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct FlowKey {
    /// Address the caller sends from.
    pub caller: SocketAddr,
    /// Number that the caller chose.
    pub flow: u64,
}

impl FlowKey {
    /// Hash that every host computes alike.
    #[must_use]
    pub fn hash(&self) -> u64 {
        let port = u64::from(self.caller.port());
        let seed = self.flow ^ port.rotate_left(48);
        match self.caller.ip() {
            std::net::IpAddr::V4(ip) => xxh3_64_with_seed(&ip.octets(), seed),
            std::net::IpAddr::V6(ip) => xxh3_64_with_seed(&ip.octets(), seed),
        }
    }
}

/// Weight of `id` for a hashed key; the highest weight wins (rendezvous hashing).
#[must_use]
pub fn rendezvous_weight(key: u64, id: Id) -> u64 {
    xxh3_64_with_seed(&key.to_le_bytes(), id.0)
}
