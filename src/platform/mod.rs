//! The users' platform: its names, formats and calls.
//!
//! Names on the wire are decoded here, once, into types whose fields say what they
//! hold. Nothing here decides, and nothing outside knows the platform's names.

mod desired;
mod entry;
pub mod header;
pub mod readiness;
mod services;
pub mod settings;
pub mod store;

pub use self::services::service_builder;
