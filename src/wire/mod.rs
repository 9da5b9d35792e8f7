//! Encoding of typed messages as protocol buffers.
//!
//! Each typed message has a corresponding prost message and functions to encode and
//! decode it. This module makes no decisions: a message that cannot be decoded becomes
//! a typed [`Error`](crate::Error), and another front end may use a different encoding.

mod addr;
mod packet;
mod peer;
mod report;
mod ticket;

pub use packet::{decode_packet, encode_packet};
pub use peer::{
    MAX_FETCH_BYTES, MAX_HEARTBEAT_BYTES, PeerKey, decode_fetch_request, decode_fetch_response,
    decode_heartbeat, encode_fetch_request, encode_fetch_response, encode_heartbeat,
};
pub use ticket::{decode_ticket, encode_ticket};
