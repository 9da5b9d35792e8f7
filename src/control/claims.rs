//! Limits on the capacity that endpoints claim.
//!
//! Load is distributed by slots. An endpoint that claims far more of them than it has would
//! get most of its service's requests, so a claim counts only up to a multiple of what the
//! endpoints of its service usually claim.

use super::values::BuiltConfig;
use crate::snapshot::Service;

/// Largest number of slots that an endpoint is given, as a multiple of the median of its
/// service. Machines of several sizes are well within it.
const MAX_SLOT_RATIO: u32 = 8;

/// Lowers the slots of endpoints that claim far more than the others of their service.
pub fn cap_slots(config: &mut BuiltConfig) {
    for service in &mut config.services {
        let limit = median_slots(service).saturating_mul(MAX_SLOT_RATIO);
        for endpoint in &mut service.endpoints {
            endpoint.slots = endpoint.slots.min(limit);
        }
    }
}

/// Returns the median of the endpoints' slots, of an even number the lower one of the two in
/// the middle.
fn median_slots(service: &Service) -> u32 {
    let mut slots: Vec<u32> = service.endpoints.iter().map(|row| row.slots).collect();
    slots.sort_unstable();
    let middle = slots.len().saturating_sub(1) / 2;
    slots.get(middle).copied().unwrap_or_default()
}
