//! Sockets, threads, timers and settings.

pub mod control;
pub mod platform;
