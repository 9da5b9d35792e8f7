//! Regions of zones, as the settings of a host name them.

use std::collections::BTreeMap;

use crate::id::Name;

/// Zone and region of a host, and the regions of all zones that its settings name.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ZoneRegions {
    /// Availability zone of the host.
    pub zone: Name,
    /// Region of the host.
    pub region: Name,
    /// Region of each zone.
    pub table: BTreeMap<Name, Name>,
}

impl ZoneRegions {
    /// Creates the regions of a host in `zone` of `region` that knows no other zone.
    #[must_use]
    pub fn new(zone: &str, region: &str) -> Self {
        Self {
            zone: zone.into(),
            region: region.into(),
            table: BTreeMap::new(),
        }
    }

    /// Returns the region of a zone; empty if it is not known. The host's own zone is in the
    /// host's own region unless the table says otherwise.
    #[must_use]
    pub fn region_of(&self, zone: &str) -> Name {
        match self.table.get(zone) {
            Some(region) => region.clone(),
            None if zone == &*self.zone => self.region.clone(),
            None => "".into(),
        }
    }
}
