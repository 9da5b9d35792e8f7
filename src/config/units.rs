//! Serde adapters for values with units.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serializer, de};
use serde_with::{DeserializeAs, SerializeAs};

/// Serializes a duration as text, such as `250ms` or `2s`.
pub(super) struct DurationText;

impl SerializeAs<Duration> for DurationText {
    fn serialize_as<S: Serializer>(source: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&humantime::format_duration(*source))
    }
}

impl<'de> DeserializeAs<'de, Duration> for DurationText {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        let text = String::deserialize(deserializer)?;
        humantime::parse_duration(&text).map_err(de::Error::custom)
    }
}
