//! Decoder for the entries by which endpoints register themselves in the store.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde_with::{DurationMilliSeconds, serde_as};

use crate::error::{Error, Result};
use crate::id::{Id, Name};
use crate::snapshot::Endpoint;

/// Key prefix of endpoint entries.
pub(super) const PREFIX: &str = "servers/";

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
    let wire: WireEntry = serde_json::from_str(json)
        .map_err(|err| Error::platform(format!("cannot decode entry {key}: {err}")))?;
    if wire.concurrency == 0 {
        return Err(Error::platform(format!(
            "entry {key}: concurrency must not be 0"
        )));
    }
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

/// Parses the number in an endpoint's id: the hexadecimal digits after the last dash.
fn endpoint_number(name: &str) -> Result<u64> {
    let digits = name.rsplit('-').next().unwrap_or(name);
    u64::from_str_radix(digits, 16)
        .ok()
        .filter(|number| *number != 0)
        .ok_or_else(|| {
            Error::platform(format!(
                "endpoint id {name} does not end in a nonzero hexadecimal number"
            ))
        })
}
