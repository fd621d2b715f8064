//! Regions in which a request may be served, stored and forwarded.

use std::collections::BTreeSet;
use std::fmt;

use borsh::{BorshDeserialize, BorshSerialize};

/// Regions in which a request may be served.
#[derive(
    Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, BorshSerialize, BorshDeserialize,
)]
pub enum Residency {
    /// Every region.
    #[default]
    Anywhere,
    /// Only these regions; none if the set is empty.
    Within(BTreeSet<String>),
}

impl Residency {
    /// Intersection of the regions allowed by a route and by a tenant; an empty list allows every
    /// region. Without a common region, the request may not be served anywhere.
    pub fn of(route: &[String], tenant: &[String]) -> Self {
        let all = |regions: &[String]| regions.iter().cloned().collect::<BTreeSet<String>>();
        match (route.is_empty(), tenant.is_empty()) {
            (true, true) => Residency::Anywhere,
            (false, true) => Residency::Within(all(route)),
            (true, false) => Residency::Within(all(tenant)),
            (false, false) => {
                Residency::Within(all(route).intersection(&all(tenant)).cloned().collect())
            }
        }
    }

    /// No region.
    pub fn nowhere() -> Self {
        Residency::Within(BTreeSet::new())
    }

    /// Whether a region is allowed; restricted requests are not allowed in zones of unknown region.
    pub fn allows(&self, region: Option<&str>) -> bool {
        match self {
            Residency::Anywhere => true,
            Residency::Within(regions) => region.is_some_and(|region| regions.contains(region)),
        }
    }

    /// Intersection with another residency.
    pub fn and(&self, other: &Residency) -> Residency {
        match (self, other) {
            (Residency::Anywhere, only) | (only, Residency::Anywhere) => only.clone(),
            (Residency::Within(regions), Residency::Within(others)) => {
                Residency::Within(regions.intersection(others).cloned().collect())
            }
        }
    }

    /// Whether no region is allowed.
    pub fn is_nowhere(&self) -> bool {
        matches!(self, Residency::Within(regions) if regions.is_empty())
    }
}

impl fmt::Display for Residency {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Residency::Anywhere => formatter.write_str("every region"),
            Residency::Within(regions) if regions.is_empty() => formatter.write_str("no region"),
            Residency::Within(regions) => {
                let names: Vec<&str> = regions.iter().map(String::as_str).collect();
                formatter.write_str(&names.join(", "))
            }
        }
    }
}
