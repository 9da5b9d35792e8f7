//! Decoder for the entries by which endpoints register themselves in the store.
//!
//! Other writers may leave entries of their own under the same prefix. An entry that is too
//! long, cannot be decoded or holds a number out of range names no endpoint.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::ops::RangeInclusive;
use std::time::Duration;

use serde::Deserialize;
use serde_with::{DurationMilliSeconds, serde_as};

use super::decoding_error;
use crate::error::{Error, Result};
use crate::id::{Id, Name};
use crate::snapshot::{Endpoint, MAX_SLOTS};

/// Key prefix of endpoint entries.
pub(super) const PREFIX: &str = "servers/";

/// Maximum size of an entry, in bytes. An endpoint writes about 250.
pub(super) const MAX_ENTRY_BYTES: usize = 16 << 10;

/// Range of the number of requests that an endpoint executes at once.
const SLOT_RANGE: RangeInclusive<u32> = 1..=MAX_SLOTS;

/// Range of the start time, in milliseconds of wall-clock time: up to the end of the year 2999.
const START_RANGE: RangeInclusive<u64> = 0..=32_503_679_999_999;

/// Longest time that an endpoint may take to warm up.
const MAX_WARMUP: Duration = Duration::from_hours(1);

/// Endpoint entry in the encoding of the store.
#[serde_as]
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireEntry {
    service: Name,
    address: SocketAddr,
    zone: Name,
    concurrency: u32,
    state: WireState,
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    warmup_left_ms: Duration,
    /// Number of status reports. Required, but not used.
    #[serde(rename = "SeqNo")]
    _reports: u64,
    #[serde(rename = "born")]
    born_ms: u64,
}

#[derive(Clone, Copy, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
enum WireState {
    Ready,
    Draining,
}

/// Decoded entry: an endpoint and the name of its service.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Entry {
    pub(super) service: Name,
    pub(super) endpoint: Endpoint,
}

/// Decodes the entry at `key` for a host in `zone`; endpoints of that zone are local.
pub(super) fn decode(key: &str, json: &str, zone: &str) -> Result<Entry> {
    let name = key.strip_prefix(PREFIX).unwrap_or(key);
    let number = endpoint_number(name)?;
    if json.len() > MAX_ENTRY_BYTES {
        return Err(Error::platform(format!("entry of {} bytes", json.len())));
    }
    let wire: WireEntry =
        serde_json::from_str(json).map_err(|err| decoding_error("entry", &err))?;
    check(&wire)?;
    Ok(Entry {
        service: wire.service,
        endpoint: Endpoint {
            id: Id::of(name),
            slots: wire.concurrency,
            draining: wire.state == WireState::Draining,
            local: *wire.zone == *zone,
            zone: wire.zone,
            relay_number: number,
            started_ms: wire.born_ms,
            warmup_left: wire.warmup_left_ms,
            ..Endpoint::new(name, wire.address)
        },
    })
}

fn check(wire: &WireEntry) -> Result<()> {
    let refused = |fault: String| Err(Error::platform(fault));
    if !SLOT_RANGE.contains(&wire.concurrency) {
        let (number, limit) = (wire.concurrency, SLOT_RANGE.end());
        return refused(format!("concurrency {number} is not between 1 and {limit}"));
    }
    if !START_RANGE.contains(&wire.born_ms) {
        return refused(format!("start time {} ms is out of range", wire.born_ms));
    }
    if wire.warmup_left_ms > MAX_WARMUP {
        return refused(format!("warm-up of {:?} is too long", wire.warmup_left_ms));
    }
    if !is_reachable(wire.address) {
        return refused(format!("{} is not the address of a host", wire.address));
    }
    Ok(())
}

/// Returns true for an address to which segments can be sent. These have room for IPv4 only.
fn is_reachable(addr: SocketAddr) -> bool {
    let IpAddr::V4(ip) = addr.ip() else {
        return false;
    };
    addr.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && ip != Ipv4Addr::BROADCAST
}

/// Parses the number in an endpoint's id: the hexadecimal digits after the last dash.
fn endpoint_number(name: &str) -> Result<u64> {
    let digits = name.rsplit('-').next().unwrap_or(name);
    u64::from_str_radix(digits, 16)
        .ok()
        .filter(|number| *number != 0 && !digits.starts_with('+'))
        .ok_or_else(|| {
            Error::platform(format!(
                "endpoint id {name} does not end in a nonzero hexadecimal number"
            ))
        })
}
