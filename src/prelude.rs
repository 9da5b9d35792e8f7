//! Re-exports of the common types, for `use jacinthhinge::prelude::*`.

pub use std::net::SocketAddr;
pub use std::sync::Arc;
pub use std::time::Duration;

pub use bytes::Bytes;

pub use crate::clock::Clock;
pub use crate::config::Config;
pub use crate::error::{Category, Error, Result};
pub use crate::id::{FlowKey, Id, Incarnation, Name};
pub use crate::packet::{Body, Class, ExecutionStatus, Load, Packet, Part, Reason};
pub use crate::revision::Revision;
pub use crate::snapshot::{Endpoint, Host, Lease, Policy, Service, Snapshot};
pub use crate::ticket::{Home, Side, Target, Ticket, TicketKeys};
