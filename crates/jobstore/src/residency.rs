//! Where a job may be stored. Its bodies are copied to every member of the group, so that all
//! members must be located where the job may be stored.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

use yokefall_consensus::MemberId;
use yokefall_serving::{Catalog, Fleet, Residency, TenantName, ZoneMap};

/// Where a job with items of these paths may be stored: the intersection of what each path allows.
/// A path without a route restricts nothing, since its item does not run before there is a route.
pub fn residency_of_job<'a>(
    catalog: &Catalog,
    host: &str,
    tenant: Option<&TenantName>,
    paths: impl Iterator<Item = &'a str>,
) -> Residency {
    let paths: BTreeSet<&str> = paths.collect();
    let each = paths.into_iter().filter_map(|path| catalog.residency_at(host, path, tenant));
    each.fold(Residency::Anywhere, |all, one| all.and(&one))
}

/// Zones of job stores, including stopped ones: a returning member receives the missed entries.
#[derive(Debug, Default)]
pub struct KnownZones {
    zones: RefCell<BTreeMap<String, String>>,
}

impl KnownZones {
    /// Records the zones of the live job stores.
    pub fn record(&self, fleet: &Fleet) {
        let mut zones = self.zones.borrow_mut();
        for member in fleet.job_stores() {
            if zones.get(&member.name) != Some(&member.zone) {
                zones.insert(member.name.clone(), member.zone.clone());
            }
        }
    }

    /// Whether a job store may hold this data; an unknown one may only hold unrestricted data.
    pub fn may_keep(&self, job_store: &str, residency: &Residency, map: &ZoneMap) -> bool {
        let zones = self.zones.borrow();
        residency.allows(zones.get(job_store).and_then(|zone| map.region_of(zone)))
    }

    /// Keeps only the joining members that may store all current data. If there are none, the
    /// others may join: without them, further disk losses could lose accepted jobs.
    pub fn prefer_allowed(
        &self,
        joining: &mut Vec<MemberId>,
        residency: &Residency,
        map: &ZoneMap,
    ) {
        let is_allowed = |member: &MemberId| self.may_keep(&member.name, residency, map);
        if joining.iter().any(is_allowed) {
            joining.retain(is_allowed);
        }
    }

    /// The job stores that may not hold data with this residency.
    pub fn forbidden<'a>(
        &self,
        job_stores: impl Iterator<Item = &'a str>,
        residency: &Residency,
        map: &ZoneMap,
    ) -> Vec<String> {
        let is_forbidden = |name: &&str| !self.may_keep(name, residency, map);
        job_stores.filter(is_forbidden).map(str::to_owned).collect()
    }
}
