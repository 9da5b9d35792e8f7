//! Adapter for the platform that runs the hosts.
//!
//! Decodes the platform's formats and calls its services. External names are mapped
//! here to the types of this crate. This module makes no load-balancing decisions, and
//! no other module depends on the platform's names.

mod desired;
mod entry;
mod evacuation;
pub mod header;
pub mod readiness;
mod regions;
mod services;
pub mod settings;
pub mod store;
mod version;

use crate::error::Error;

pub use self::regions::ZoneRegions;
pub use self::services::{service_builder, warmup_tolerance};
pub use self::version::writer_version;

/// Maximum length of the parser's message in an error, in bytes; it may quote the input.
const MAX_FAULT_BYTES: usize = 200;

/// Returns the error for a value, described by `what`, that the JSON parser refused.
#[cold]
fn decoding_error(what: &str, err: &serde_json::Error) -> Error {
    let mut fault = err.to_string();
    fault.truncate(fault.floor_char_boundary(MAX_FAULT_BYTES));
    Error::platform(format!("cannot decode the {what}: {fault}"))
}
