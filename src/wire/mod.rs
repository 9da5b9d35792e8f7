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
    MAX_FETCH_BYTES, MAX_HEARTBEAT_BYTES, PeerKey, decode_fetch_request, decode_fetch_response,
    decode_heartbeat, encode_fetch_request, encode_fetch_response, encode_heartbeat,
};
pub use ticket::{decode_ticket, encode_ticket};
