//! Errors of the whole crate.
//!
//! One opaque [`Error`] stands over a private kind. Callers classify it with
//! methods such as [`Error::is_packet`] and show it to operators as it is: each
//! message names what was wrong and the remedy.

use std::fmt;
use std::net::SocketAddr;

/// Result of this crate's fallible functions.
pub type Result<T, E = Error> = core::result::Result<T, E>;

/// Anything that can go wrong in this crate.
pub struct Error {
    kind: Box<Kind>,
}

/// What an [`Error`] is about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Category {
    /// A packet that could not be read or trusted.
    Packet,
    /// A configuration that was refused.
    Config,
    /// A flag or environment variable that was refused.
    Setting,
    /// The platform did not answer, or answered nonsense.
    Platform,
    /// A host of the system did not answer, or answered nonsense.
    Peer,
    /// The operating system refused a socket or a thread.
    Io,
}

#[derive(Debug)]
enum Kind {
    Malformed {
        what: &'static str,
    },
    Oversized {
        size: usize,
        limit: usize,
    },
    Forged,
    Config {
        place: String,
        fault: String,
        remedy: String,
    },
    Setting {
        flag: &'static str,
        fault: String,
        remedy: String,
    },
    Platform {
        fault: String,
    },
    Peer {
        addr: SocketAddr,
        fault: String,
    },
    Io {
        action: &'static str,
        source: std::io::Error,
    },
}

impl Error {
    /// What the error is about.
    #[must_use]
    pub fn classify(&self) -> Category {
        match *self.kind {
            Kind::Malformed { .. } | Kind::Oversized { .. } | Kind::Forged => Category::Packet,
            Kind::Config { .. } => Category::Config,
            Kind::Setting { .. } => Category::Setting,
            Kind::Platform { .. } => Category::Platform,
            Kind::Peer { .. } => Category::Peer,
            Kind::Io { .. } => Category::Io,
        }
    }

    /// True for packets that could not be read or trusted.
    #[must_use]
    pub fn is_packet(&self) -> bool {
        self.classify() == Category::Packet
    }

    /// True for refused configurations.
    #[must_use]
    pub fn is_config(&self) -> bool {
        self.classify() == Category::Config
    }

    /// A message lacks a part or holds one out of range.
    #[cold]
    #[must_use]
    pub fn malformed(what: &'static str) -> Self {
        Self::new(Kind::Malformed { what })
    }

    /// A message is larger than its limit, both in bytes.
    #[cold]
    #[must_use]
    pub fn oversized(size: usize, limit: usize) -> Self {
        Self::new(Kind::Oversized { size, limit })
    }

    /// A ticket was not sealed with a live key.
    #[cold]
    #[must_use]
    pub fn forged() -> Self {
        Self::new(Kind::Forged)
    }

    /// A configuration was refused at `place`.
    #[cold]
    pub fn config(
        place: impl Into<String>,
        fault: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Self {
        Self::new(Kind::Config {
            place: place.into(),
            fault: fault.into(),
            remedy: remedy.into(),
        })
    }

    /// A setting was refused.
    #[cold]
    pub fn setting(
        flag: &'static str,
        fault: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Self {
        Self::new(Kind::Setting {
            flag,
            fault: fault.into(),
            remedy: remedy.into(),
        })
    }

    /// The platform failed to answer.
    #[cold]
    pub fn platform(fault: impl Into<String>) -> Self {
        Self::new(Kind::Platform {
            fault: fault.into(),
        })
    }

    /// The host at `addr` failed to answer.
    #[cold]
    pub fn peer(addr: SocketAddr, fault: impl Into<String>) -> Self {
        Self::new(Kind::Peer {
            addr,
            fault: fault.into(),
        })
    }

    /// The operating system refused `action`.
    #[cold]
    #[must_use]
    pub fn io(action: &'static str, source: std::io::Error) -> Self {
        Self::new(Kind::Io { action, source })
    }

    fn new(kind: Kind) -> Self {
        Self {
            kind: Box::new(kind),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &*self.kind {
            Kind::Malformed { what } => {
                write!(f, "malformed message: {what}; check the sender's version")
            }
            Kind::Oversized { size, limit } => write!(
                f,
                "message of {size} bytes is over the limit of {limit}; split it into parts"
            ),
            Kind::Forged => f.write_str(
                "ticket not sealed with a live key; open the flow again to get a fresh one",
            ),
            Kind::Config {
                place,
                fault,
                remedy,
            } => write!(f, "{place}: {fault}; {remedy}"),
            Kind::Setting {
                flag,
                fault,
                remedy,
            } => write!(f, "{flag}: {fault}; {remedy}"),
            Kind::Platform { fault } => write!(
                f,
                "platform: {fault}; the last accepted configuration stays in force"
            ),
            Kind::Peer { addr, fault } => {
                write!(
                    f,
                    "host {addr}: {fault}; check that it runs and is reachable"
                )
            }
            Kind::Io { action, source } => {
                write!(
                    f,
                    "cannot {action}: {source}; check the address and permissions"
                )
            }
        }
    }
}

impl fmt::Debug for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.kind, f)
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match &*self.kind {
            Kind::Io { source, .. } => Some(source),
            _ => None,
        }
    }
}
