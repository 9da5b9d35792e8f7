//! Host list that is stored as one JSON value in the platform's store.

use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::value::RawValue;

use crate::control::message::{HostList, ListedHost};
use crate::error::{Error, Result};
use crate::id::Name;
use crate::revision::Revision;

/// Key of the host list in the store.
pub const KEY: &str = "hosts";

#[derive(Deserialize)]
struct HostEntry {
    name: Name,
    zone: Name,
    state: HostState,
    peer: SocketAddr,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum HostState {
    Live,
    Leaving,
}

/// Parses a JSON host list that was written at `revision`.
///
/// An invalid entry is logged and left out, so that the others are still followed.
///
/// # Errors
///
/// Returns an error when the text is not a list, or when none of its entries is valid.
pub fn parse(revision: Revision, json: &str) -> Result<HostList> {
    let texts: Vec<&RawValue> = serde_json::from_str(json)
        .map_err(|err| Error::platform(format!("invalid host list: {err}")))?;
    let entries: Vec<HostEntry> = texts.iter().filter_map(|text| parse_entry(text)).collect();
    if entries.is_empty() && !texts.is_empty() {
        return Err(Error::platform("no entry of the host list is valid"));
    }
    let hosts = entries.into_iter().map(|entry| {
        let listed = ListedHost {
            name: entry.name,
            peer_addr: entry.peer,
            leaving: entry.state == HostState::Leaving,
        };
        (entry.zone, listed)
    });
    Ok(HostList {
        revision,
        hosts: hosts.collect(),
        ..HostList::default()
    })
}

fn parse_entry(json: &RawValue) -> Option<HostEntry> {
    serde_json::from_str(json.get())
        .inspect_err(|err| log::warn!(cause:% = err; "host_entry_refused"))
        .ok()
}
