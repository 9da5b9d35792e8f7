//! The error type of the crate.
//!
//! [`Error`] is opaque and hides a private kind. Code classifies it with methods
//! such as [`Error::is_packet`]. Its message can be shown to operators: it names
//! the fault and a remedy.

use std::fmt;
use std::net::SocketAddr;

/// Result type of this crate's fallible functions.
pub type Result<T, E = Error> = core::result::Result<T, E>;

/// Any failure that this crate reports.
pub struct Error {
    kind: Box<Kind>,
}

/// Broad category of an [`Error`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Category {
    /// A packet could not be decoded or failed authentication.
    Packet,
    /// A configuration was rejected.
    Config,
    /// A flag or environment variable was rejected.
    Setting,
    /// The platform did not answer, or sent an invalid answer.
    Platform,
    /// Another host did not answer, or sent an invalid answer.
    Peer,
    /// An operation of the operating system failed, such as opening a socket.
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
        location: String,
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
    /// Returns the category of the error.
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

    /// Returns true for packets that could not be decoded or failed authentication.
    #[must_use]
    pub fn is_packet(&self) -> bool {
        self.classify() == Category::Packet
    }

    /// Returns true for rejected configurations.
    #[must_use]
    pub fn is_config(&self) -> bool {
        self.classify() == Category::Config
    }

    /// Creates an error for a message with a missing or invalid field, named by `what`.
    #[cold]
    #[must_use]
    pub fn malformed(what: &'static str) -> Self {
        Self::new(Kind::Malformed { what })
    }

    /// Creates an error for a message larger than its limit, both in bytes.
    #[cold]
    #[must_use]
    pub fn oversized(size: usize, limit: usize) -> Self {
        Self::new(Kind::Oversized { size, limit })
    }

    /// Creates an error for a ticket that was not sealed with a live key.
    #[cold]
    #[must_use]
    pub fn forged() -> Self {
        Self::new(Kind::Forged)
    }

    /// Creates an error for a configuration rejected at `location`, a file, line or field.
    #[cold]
    pub fn config(
        location: impl Into<String>,
        fault: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Self {
        Self::new(Kind::Config {
            location: location.into(),
            fault: fault.into(),
            remedy: remedy.into(),
        })
    }

    /// Creates an error for a rejected flag or environment variable.
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

    /// Creates an error for a failed exchange with the platform.
    #[cold]
    pub fn platform(fault: impl Into<String>) -> Self {
        Self::new(Kind::Platform {
            fault: fault.into(),
        })
    }

    /// Creates an error for a failed exchange with the host at `addr`.
    #[cold]
    pub fn peer(addr: SocketAddr, fault: impl Into<String>) -> Self {
        Self::new(Kind::Peer {
            addr,
            fault: fault.into(),
        })
    }

    /// Creates an error for an `action` that the operating system refused.
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
                location,
                fault,
                remedy,
            } => write!(f, "{location}: {fault}; {remedy}"),
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
