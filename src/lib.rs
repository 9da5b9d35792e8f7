//! A layer-4 load balancer, and the coordination parts it is made of.

pub mod clock;
pub mod control;
pub mod error;
pub mod front;
pub mod id;
pub mod packet;
pub mod prelude;
pub mod snapshot;
pub mod ticket;
pub mod wire;

pub use crate::error::{Error, Result};
