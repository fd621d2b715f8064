//! Selection of the job store that runs an item. For a back end that is not known to be warm it is
//! one that has a share of the back end's cold-start limit, so that the item is not refused.

use std::borrow::Cow;
use std::sync::Arc;

use rand::Rng;
use yokefall_serving::{Backend, CandidateSample, Catalog, FleetMember, Requirements, Residency};

use crate::delegation::Delegation;
use crate::worker::Worker;

/// Who runs an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemWorker {
    /// The leader itself.
    Leader,
    /// Another job store.
    Other(FleetMember),
}

/// Selects workers for items.
pub struct ItemWorkers<'a> {
    /// The leader's own worker.
    pub worker: &'a Worker,
    /// The other job stores.
    pub delegation: &'a Delegation,
    /// Name of the leader.
    pub leader: String,
}

impl ItemWorkers<'_> {
    /// Back ends that may take an item now.
    pub fn candidates<'a>(
        &self,
        catalog: &'a Catalog,
        requirements: &Requirements,
    ) -> Cow<'a, [Arc<Backend>]> {
        let free = self.delegation.free_names(requirements.residency);
        let usable = |name: &str| self.is_usable(&free, name);
        self.worker.eligibility.item_candidates(catalog, requirements, usable)
    }

    /// A random sample of many back ends that may take an item now; `None` if all must be examined.
    pub fn sample(
        &self,
        catalog: &Catalog,
        requirements: &Requirements,
        generator: &mut impl Rng,
    ) -> Option<CandidateSample> {
        let free = self.delegation.free_names(requirements.residency);
        let usable = |name: &str| self.is_usable(&free, name);
        self.worker.eligibility.sample_for_items(catalog, requirements, usable, generator)
    }

    /// Back ends closed because they are not known to be warm; `None` if each must be examined.
    pub fn closed(&self, requirements: &Requirements) -> Option<Vec<Arc<Backend>>> {
        let free = self.delegation.free_names(requirements.residency);
        self.worker
            .eligibility
            .ineligible_for_items(requirements.service, |name| self.is_usable(&free, name))
    }

    /// Whether a back end may take one more item with this residency now.
    pub fn may_take(&self, backend: &Backend, residency: &Residency) -> bool {
        self.worker.cold.is_warm(backend) || self.share_holder(backend, residency).is_some()
    }

    /// Selects who runs an item at a back end; `None` if nobody may run it now.
    pub fn choose(&self, backend: &Backend, residency: &Residency) -> Option<ItemWorker> {
        if self.worker.cold.is_warm(backend) {
            let other = self.delegation.worker_for(backend, residency);
            return Some(other.map_or(ItemWorker::Leader, ItemWorker::Other));
        }
        let holder = self.share_holder(backend, residency)?;
        self.worker.cold.record_item_assignment(backend, &holder);
        if holder == self.leader {
            return Some(ItemWorker::Leader);
        }
        self.delegation.worker_named(&holder, residency).map(ItemWorker::Other)
    }

    fn share_holder(&self, backend: &Backend, residency: &Residency) -> Option<String> {
        let free = self.delegation.free_names(residency);
        self.worker.cold.item_sender(backend, |name| self.is_usable(&free, name))
    }

    fn is_usable(&self, free: &[String], name: &str) -> bool {
        name == self.leader || free.iter().any(|free| free == name)
    }
}
