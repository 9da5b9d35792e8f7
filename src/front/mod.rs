//! Sockets, threads, timers and settings.
//!
//! The front end turns datagrams into typed packets, runs the systems and sends
//! what they decide. It decides nothing itself.

pub mod command;
pub mod control;
pub mod exposition;
pub mod host_list;
pub mod lane;
pub mod logs;
pub mod ops;
pub mod relay;
pub mod serve;
pub mod settings;
pub mod statsd;
pub mod trace;
