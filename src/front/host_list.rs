//! Host list that is stored as one JSON value in the platform's store.

use std::net::SocketAddr;

use serde::Deserialize;

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
/// # Errors
///
/// Returns an error when the text is not a valid host list.
pub fn parse(revision: Revision, json: &str) -> Result<HostList> {
    let entries: Vec<HostEntry> = serde_json::from_str(json)
        .map_err(|err| Error::platform(format!("invalid host list: {err}")))?;
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
    })
}
