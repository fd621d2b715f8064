//! Whether a job may be kept: its bodies go to every member of the group, so that all of these have to stand
//! where the job may be stored.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

use yokefall_consensus::MemberId;
use yokefall_serving::{Catalog, Fleet, Residency, TenantName, ZoneMap};

/// Where a job with items of these paths may be kept: where each of them may. A path without a route restricts
/// nothing: its item is not run before it has one.
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

/// Zones of job stores, those too that have ended: one that was a member of the group gets what it missed when
/// it comes back.
#[derive(Debug, Default)]
pub struct KnownZones {
    /// Name to zone.
    zones: RefCell<BTreeMap<String, String>>,
}

impl KnownZones {
    /// Remembers the job stores that live.
    pub fn note(&self, fleet: &Fleet) {
        let mut zones = self.zones.borrow_mut();
        for member in fleet.job_stores() {
            if zones.get(&member.name) != Some(&member.zone) {
                zones.insert(member.name.clone(), member.zone.clone());
            }
        }
    }

    /// Whether something with this residency may be kept at a job store. Where nothing is known of it, only what
    /// may be kept anywhere.
    pub fn may_keep(&self, job_store: &str, residency: &Residency, map: &ZoneMap) -> bool {
        let zones = self.zones.borrow();
        residency.allows(zones.get(job_store).and_then(|zone| map.region_of(zone)))
    }

    /// Leaves those who ask to join the group from where everything that is held may be kept. Where there are none,
    /// the others may join: without them the next lost disks could take jobs away that were accepted.
    pub fn prefer_inside(&self, joining: &mut Vec<MemberId>, residency: &Residency, map: &ZoneMap) {
        let is_inside = |member: &MemberId| self.may_keep(&member.name, residency, map);
        if joining.iter().any(is_inside) {
            joining.retain(is_inside);
        }
    }

    /// Those of these job stores at which something with this residency may not be kept.
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
