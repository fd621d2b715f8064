//! The regions in which a request may be served, kept and passed on.

use std::collections::BTreeSet;
use std::fmt;

use borsh::{BorshDeserialize, BorshSerialize};

/// Where a request may be served.
#[derive(
    Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, BorshSerialize, BorshDeserialize,
)]
pub enum Residency {
    /// In every region.
    #[default]
    Anywhere,
    /// In these regions alone; in none where the set is empty.
    Within(BTreeSet<String>),
}

impl Residency {
    /// Cuts together the regions that a route allows and those that a tenant allows. A list without entries
    /// allows every region. Where the two lists have nothing in common, the request may be served nowhere.
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

    /// In no region.
    pub fn nowhere() -> Self {
        Residency::Within(BTreeSet::new())
    }

    /// Whether a request may be served in a region. A zone whose region is not known is in none that a
    /// restricted request may use.
    pub fn allows(&self, region: Option<&str>) -> bool {
        match self {
            Residency::Anywhere => true,
            Residency::Within(regions) => region.is_some_and(|region| regions.contains(region)),
        }
    }

    /// Cut with another residency: where both allow it.
    pub fn and(&self, other: &Residency) -> Residency {
        match (self, other) {
            (Residency::Anywhere, only) | (only, Residency::Anywhere) => only.clone(),
            (Residency::Within(regions), Residency::Within(others)) => {
                Residency::Within(regions.intersection(others).cloned().collect())
            }
        }
    }

    /// Whether the request may be served nowhere.
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
