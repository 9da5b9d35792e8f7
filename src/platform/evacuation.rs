//! Decoder for the evacuation orders that operators set.
//!
//! The key alone is the order, so its body is not read and may be anything.

use std::collections::BTreeSet;

use crate::control::Values;
use crate::id::Name;

/// Key prefix of evacuation orders; the rest of the key is the name of the zone.
const PREFIX: &str = "op/evacuate/";

/// Returns the zones that the values order to evacuate. A removed value is no order.
pub(super) fn zones(values: &Values) -> BTreeSet<Name> {
    values
        .iter()
        .filter(|(_, value)| value.json.is_some())
        .filter_map(|(key, _)| key.strip_prefix(PREFIX))
        .filter(|zone| !zone.is_empty())
        .map(Name::from)
        .collect()
}
