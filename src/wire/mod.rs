//! Encoding of typed messages.
//!
//! Each typed message has a prost twin and two conversions. Nothing is decided
//! here: a message that cannot be read becomes a typed [`Error`](crate::Error),
//! and another front end may replace this module by an encoding of its own.

mod addr;
mod packet;
mod peer;
mod ticket;

pub use packet::{decode_packet, encode_packet};
pub use peer::{
    BEAT_BYTES, FETCHED_BYTES, PeerKey, decode_beat, decode_fetch, decode_fetched, encode_beat,
    encode_fetch, encode_fetched,
};
pub use ticket::{decode_ticket, encode_ticket};
