//! The zones of a fleet and their regions.

use std::collections::BTreeMap;

/// Region of each zone, as settings tell it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneMap {
    regions: BTreeMap<String, String>,
}

impl ZoneMap {
    /// A map of zones to their regions.
    pub fn new(regions: BTreeMap<String, String>) -> Self {
        Self { regions }
    }

    /// Number of zones.
    pub fn len(&self) -> usize {
        self.regions.len()
    }

    /// Whether settings name no zone.
    pub fn is_empty(&self) -> bool {
        self.regions.is_empty()
    }

    /// The region of a zone; `None` for a zone that settings don't name.
    pub fn region_of(&self, zone: &str) -> Option<&str> {
        self.regions.get(zone).map(String::as_str)
    }
}
