//! Which job store runs an item, as its leader decides: for a back end that is not known to be warm only one that
//! has a share there, so that the item doesn't come back.

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

/// What decides.
pub struct ItemWorkers<'a> {
    /// The leader's own worker.
    pub worker: &'a Worker,
    /// The other ones.
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

    /// Back ends out of many that may take an item now, by chance; `None` where all are to be looked at.
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

    /// Back ends that may not take an item now because they are not known to be warm; `None` where each is to be
    /// looked at.
    pub fn closed(&self, requirements: &Requirements) -> Option<Vec<Arc<Backend>>> {
        let free = self.delegation.free_names(requirements.residency);
        self.worker
            .eligibility
            .closed_to_items(requirements.service, |name| self.is_usable(&free, name))
    }

    /// Whether a further item with a residency may go to a back end now.
    pub fn may_take(&self, backend: &Backend, residency: &Residency) -> bool {
        self.worker.cold.is_warm(backend) || self.share_holder(backend, residency).is_some()
    }

    /// Who runs an item with a residency that goes to a back end now; `None` where nobody may.
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
