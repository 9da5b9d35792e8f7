//! Adapter for the platform that runs the hosts.
//!
//! Decodes the platform's formats and calls its services. External names are mapped
//! here to the types of this crate. This module makes no load-balancing decisions, and
//! no other module depends on the platform's names.

mod desired;
mod entry;
pub mod header;
pub mod readiness;
mod services;
pub mod settings;
pub mod store;
mod version;

pub use self::services::service_builder;
pub use self::version::writer_version;
