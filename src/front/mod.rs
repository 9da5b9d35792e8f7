//! Sockets, threads, timers and settings.

pub mod command;
pub mod ops;
pub mod settings;
