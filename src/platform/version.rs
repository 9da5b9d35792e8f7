//! Decoder for the versions that the writers of values give them.

use serde::Deserialize;
use serde::de::DeserializeOwned;

use super::{desired, entry};
use crate::control::WriterVersion;

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireDesiredVersion {
    version: u64,
}

impl From<WireDesiredVersion> for WriterVersion {
    fn from(wire: WireDesiredVersion) -> Self {
        Self {
            incarnation: 0,
            number: wire.version,
        }
    }
}

#[derive(Deserialize)]
struct WireEntryVersion {
    /// Number of status reports, which starts anew with each start of the endpoint.
    #[serde(rename = "SeqNo")]
    reports: u64,
    #[serde(rename = "born")]
    born_ms: u64,
}

impl From<WireEntryVersion> for WriterVersion {
    fn from(wire: WireEntryVersion) -> Self {
        Self {
            incarnation: wire.born_ms,
            number: wire.reports,
        }
    }
}

/// Decodes the version of the value at `key`; zero if it names none or cannot be decoded.
#[must_use]
pub fn writer_version(key: &str, json: &str) -> WriterVersion {
    if key == desired::KEY {
        decode::<WireDesiredVersion>(json)
    } else if key.starts_with(entry::PREFIX) {
        decode::<WireEntryVersion>(json)
    } else {
        WriterVersion::default()
    }
}

/// Decodes a version. A value that is invalid is reported when services are built from it.
fn decode<T: DeserializeOwned + Into<WriterVersion>>(json: &str) -> WriterVersion {
    serde_json::from_str::<T>(json).map_or_else(|_| WriterVersion::default(), Into::into)
}
