//! Zones of a fleet and their regions.

use std::collections::BTreeMap;

/// Distance between two zones, in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// The same zone.
    SameZone,
    /// Different zones of the same region, or of unknown regions.
    SameRegion,
    /// Different regions.
    OtherRegion,
}

/// Region of each configured zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneMap {
    regions: BTreeMap<String, String>,
}

impl ZoneMap {
    /// A map from zones to their regions.
    pub fn new(regions: BTreeMap<String, String>) -> Self {
        Self { regions }
    }

    /// Distance between two zones.
    pub fn distance(&self, one: &str, other: &str) -> Distance {
        if one == other {
            return Distance::SameZone;
        }
        match (self.region_of(one), self.region_of(other)) {
            (Some(one), Some(other)) if one != other => Distance::OtherRegion,
            // Zones that are not configured are not assumed to be in another region.
            _ => Distance::SameRegion,
        }
    }

    /// Whether any zone is in a region.
    pub fn has_region(&self, region: &str) -> bool {
        self.regions.values().any(|known| known == region)
    }

    /// Number of zones.
    pub fn len(&self) -> usize {
        self.regions.len()
    }

    /// Whether no zone is configured.
    pub fn is_empty(&self) -> bool {
        self.regions.is_empty()
    }

    /// Region of a zone; `None` if the zone is not configured.
    pub fn region_of(&self, zone: &str) -> Option<&str> {
        self.regions.get(zone).map(String::as_str)
    }
}
