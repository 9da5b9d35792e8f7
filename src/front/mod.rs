//! Sockets, threads, timers and settings of the daemon.
//!
//! The front end decodes datagrams into typed packets, runs the systems over them and
//! sends the resulting datagrams. It makes no load-balancing decisions itself.

pub mod command;
pub mod control;
pub mod exposition;
pub mod host_list;
pub mod inspect;
pub mod lane;
pub mod logs;
pub mod ops;
pub mod relay;
pub mod serve;
pub mod settings;
pub mod statsd;
pub mod trace;
