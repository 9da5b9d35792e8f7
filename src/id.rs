//! Names and the ids derived from them.
//!
//! Names are shared immutable strings. Messages and tables carry an [`Id`], the
//! 64-bit hash of a name, which is the same on every host. A configuration in
//! which two names have the same id is rejected.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A shared immutable name.
pub type Name = Arc<str>;

/// 64-bit hash of a name.
#[derive(Clone, Copy, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id(pub u64);

impl Id {
    /// Returns the id of a name.
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

/// Identifies one run of a process by its start time, in microseconds of wall-clock time.
pub type Incarnation = u64;

/// Identifies a flow by the caller's address and the number that the caller chose.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct FlowKey {
    /// Source address of the caller.
    pub caller: SocketAddr,
    /// Number that the caller chose.
    pub flow: u64,
}

impl FlowKey {
    /// Returns a hash that is the same on every host.
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

/// Returns the weight of `id` for a hashed key in rendezvous hashing; the highest weight wins.
#[must_use]
pub fn rendezvous_weight(key: u64, id: Id) -> u64 {
    xxh3_64_with_seed(&key.to_le_bytes(), id.0)
}
