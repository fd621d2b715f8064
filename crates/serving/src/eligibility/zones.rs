//! The zones of a fleet and their regions.

use std::collections::BTreeMap;

/// How far two zones are apart; the nearest is the least.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// They are the same.
    SameZone,
    /// They lie in the same region, as far as known.
    SameRegion,
    /// They lie in different regions.
    OtherRegion,
}

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

    /// How far two zones are apart.
    pub fn distance(&self, one: &str, other: &str) -> Distance {
        if one == other {
            return Distance::SameZone;
        }
        match (self.region_of(one), self.region_of(other)) {
            (Some(one), Some(other)) if one != other => Distance::OtherRegion,
            // Of zones that settings don't name nothing says that they are far away.
            _ => Distance::SameRegion,
        }
    }

    /// Whether a zone lies in a region.
    pub fn has_region(&self, region: &str) -> bool {
        self.regions.values().any(|known| known == region)
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
