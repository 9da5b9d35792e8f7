//! The host list of the project's own interface: one item of the platform's store.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::control::message::{HostList, ListedHost};
use crate::error::{Error, Result};
use crate::id::Name;

/// Key of the host list.
pub const KEY: &str = "hosts";

#[derive(Deserialize)]
struct JsonHost {
    name: Name,
    zone: Name,
    state: JsonState,
    peer: SocketAddr,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum JsonState {
    Live,
    Leaving,
}

/// Parses the host list that was written at `revision`.
///
/// # Errors
///
/// Fails when it is no such list.
pub fn parse(revision: u64, json: &str) -> Result<HostList> {
    let hosts: Vec<JsonHost> = serde_json::from_str(json)
        .map_err(|err| Error::platform(format!("unreadable host list: {err}")))?;
    let hosts = hosts.into_iter().map(|host| {
        let listed = ListedHost {
            name: host.name,
            peer_addr: host.peer,
            leaving: host.state == JsonState::Leaving,
        };
        (host.zone, listed)
    });
    Ok(HostList {
        revision,
        hosts: hosts.collect(),
    })
}
