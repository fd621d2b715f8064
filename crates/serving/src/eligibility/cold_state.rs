//! What one process may send now to back ends that are not known to be warm.

use std::collections::HashMap;
use std::sync::Arc;

use yokefall_core::Timestamp;
use yokefall_types::PlacementBounds;

use super::cold_quota::{quota, Allowance, SendHistory, SenderId, QUOTA_INTERVAL_MS};
use super::warmth::{ColdCause, WarmthTracker};
use crate::catalog::Catalog;
use crate::known_processes::KnownProcesses;
use crate::model::Backend;

/// Time after its start in which a process uses no quota, in milliseconds. The others must know its
/// name to leave it its share, and it theirs; updates reach 300 processes within 4 s. Requests sent
/// before a restart under the same name have left the quota interval by then.
pub const JOIN_DELAY_MS: u64 = 5_000;
/// Age of the platform state beyond which no back end counts as warm, in milliseconds, where
/// operators evacuate no zones: longer than a watch without events takes.
const MAX_STATE_AGE_MS: u64 = 15_000;
/// When to check again if it is not known when a back end will be warm, in milliseconds.
const RECHECK_INTERVAL_MS: u64 = 1_000;

/// Whether a process may send to a back end now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmUpStatus {
    /// The back end is known to be warm.
    Warm,
    /// The back end is not known to be warm.
    Cold {
        /// The reason.
        cause: ColdCause,
        /// Milliseconds until this process may send a request; 0 for now.
        wait_ms: u64,
    },
}

impl WarmUpStatus {
    /// Whether a request may be sent now.
    pub fn may_send(self) -> bool {
        !matches!(self, WarmUpStatus::Cold { wait_ms: 1.., .. })
    }
}

#[derive(Debug, Default)]
struct BackendQuota {
    /// Requests per interval; `None` until computed for the current names.
    quota: Option<u32>,
    history: SendHistory,
    /// Job stores to which the leader assigned items for this back end.
    assigned: Vec<(String, Timestamp)>,
    /// Job stores that have a quota; `None` until computed for the current names.
    job_stores: Option<Vec<String>>,
}

/// What one process knows about cold back ends, and its quotas for them.
#[derive(Debug)]
pub struct ColdStartState {
    sender: SenderId,
    bounds: PlacementBounds,
    started_at: Timestamp,
    warmth: WarmthTracker,
    names: Arc<KnownProcesses>,
    quotas: HashMap<String, BackendQuota>,
}

impl ColdStartState {
    /// The state of a process that starts now.
    pub fn new(now: Timestamp, sender: SenderId, bounds: PlacementBounds) -> Self {
        let (warmth, names) = (WarmthTracker::default(), Arc::default());
        Self { sender, bounds, started_at: now, warmth, names, quotas: HashMap::new() }
    }

    /// Takes over the back ends of a catalog.
    pub fn observe(&mut self, now: Timestamp, catalog: &Catalog) {
        let observed = self.warmth.observe(now, catalog);
        for id in observed.forgotten {
            self.quotas.remove(&id);
        }
        if observed.warm_ups_changed {
            self.invalidate_quotas();
        }
    }

    /// Sets the names of all processes.
    pub fn set_names(&mut self, names: Arc<KnownProcesses>) {
        self.names = names;
        self.invalidate_quotas();
    }

    fn invalidate_quotas(&mut self) {
        for backend_quota in self.quotas.values_mut() {
            backend_quota.quota = None;
            backend_quota.job_stores = None;
        }
    }

    /// Records that a back end was unreachable, broke a connection or fell silent.
    pub fn record_failure(&mut self, now: Timestamp, id: &str) {
        self.warmth.record_failure(now, id);
    }

    /// Records that something was received from a back end.
    pub fn record_activity(&mut self, now: Timestamp, id: &str) {
        self.warmth.record_activity(now, id);
    }

    /// Records that a back end fails for most processes according to load reports.
    pub fn record_reported_failure(&mut self, now: Timestamp, id: &str) {
        self.warmth.record_reported_failure(now, id);
    }

    /// Records for how much longer a back end is cold, as it reported itself.
    pub fn record_report(&mut self, now: Timestamp, id: &str, started_ms: u64, remaining_ms: u64) {
        self.warmth.record_report(now, id, started_ms, remaining_ms);
    }

    /// Whether back ends of a service need time to get warm.
    pub fn has_warm_up(&self, service: &str) -> bool {
        self.warmth.warm_up(service).is_some()
    }

    /// Whether no service has a warm-up.
    pub fn is_unused(&self) -> bool {
        self.warmth.is_unused()
    }

    /// Why a back end is not known to be warm, and until when if known; `None` if it is.
    /// `state_age_ms` is the age of the platform state, if tracked.
    pub fn cold_period(
        &self,
        now: Timestamp,
        state_age_ms: Option<u64>,
        id: &str,
    ) -> Option<(ColdCause, Option<Timestamp>)> {
        if self.is_stale(state_age_ms) {
            return Some((ColdCause::StalePlatformState, None));
        }
        self.warmth
            .cold_period(now, id)
            .map(|cold_period| (cold_period.cause, Some(cold_period.until)))
    }

    /// Whether the platform state is too old to tell that a back end is warm.
    pub fn is_stale(&self, state_age_ms: Option<u64>) -> bool {
        let bound = self.bounds.evacuation_ms.unwrap_or(MAX_STATE_AGE_MS);
        state_age_ms.is_some_and(|age| age > bound)
    }

    /// Whether every back end is known to be warm, so that none needs a check.
    pub fn all_warm(&self, now: Timestamp, state_age_ms: Option<u64>) -> bool {
        self.warmth.all_warm(now) && !self.is_stale(state_age_ms)
    }

    /// Ids of back ends that need time to get warm.
    pub fn ids(&self) -> impl Iterator<Item = &str> {
        self.warmth.ids()
    }

    /// Back ends of a service not known to be warm; `None` if the platform state is too old.
    pub fn cold_backends(
        &self,
        now: Timestamp,
        state_age_ms: Option<u64>,
        service: &str,
    ) -> Option<Vec<Arc<Backend>>> {
        let is_known = !self.is_stale(state_age_ms);
        is_known.then(|| self.warmth.cold_backends(now, service).cloned().collect())
    }

    /// Back ends of a service to which this process may not send now, ordered by their addresses in
    /// memory; `None` if the platform state is too old and each back end must be checked.
    pub fn blocked(
        &mut self,
        now: Timestamp,
        state_age_ms: Option<u64>,
        service: &str,
    ) -> Option<Vec<*const Backend>> {
        let cold_backends = self.cold_backends(now, state_age_ms, service)?;
        let is_blocked =
            |backend: &&Arc<Backend>| !self.warm_up_status(now, state_age_ms, backend).may_send();
        let mut blocked: Vec<*const Backend> =
            cold_backends.iter().filter(is_blocked).map(Arc::as_ptr).collect();
        blocked.sort_unstable();
        Some(blocked)
    }

    /// Whether this process may send to a back end now.
    pub fn warm_up_status(
        &mut self,
        now: Timestamp,
        state_age_ms: Option<u64>,
        backend: &Backend,
    ) -> WarmUpStatus {
        if !self.has_warm_up(&backend.service) {
            return WarmUpStatus::Warm;
        }
        let Some((cause, until)) = self.cold_period(now, state_age_ms, &backend.id) else {
            return WarmUpStatus::Warm;
        };
        let warm_in = until.map_or(RECHECK_INTERVAL_MS, |until| until.millis_since(now)).max(1);
        let wait_ms = self.quota_wait_ms(now, backend).map_or(warm_in, |wait| wait.min(warm_in));
        WarmUpStatus::Cold { cause, wait_ms }
    }

    /// Milliseconds until this process may use its quota; `None` if it has none.
    fn quota_wait_ms(&mut self, now: Timestamp, backend: &Backend) -> Option<u64> {
        if !self.names.joined {
            return None;
        }
        let allowance = self.allowance(&backend.service);
        if !self.quotas.contains_key(&backend.id) {
            self.quotas.insert(backend.id.clone(), BackendQuota::default());
        }
        let backend_quota = self.quotas.get_mut(&backend.id)?;
        let compute = || quota(allowance, &self.names, &backend.id, &self.sender);
        let quota = *backend_quota.quota.get_or_insert_with(compute);
        let join_wait_ms = self.started_at.plus_millis(JOIN_DELAY_MS).millis_since(now);
        Some(backend_quota.history.wait_ms(now, quota)?.max(join_wait_ms))
    }

    fn allowance(&self, service: &str) -> Allowance {
        let warm_up = self.warmth.warm_up(service);
        let of = |warm_up| Allowance::of(&self.bounds, warm_up, &self.names);
        warm_up.map(of).unwrap_or_default()
    }

    /// Records a request to a back end, which uses up quota unless it is known to be warm.
    pub fn sent(&mut self, now: Timestamp, id: &str) {
        // Requests to a warm back end are recorded as well, because it may turn cold right after.
        if let Some(backend_quota) = self.quotas.get_mut(id) {
            backend_quota.history.record(now);
        } else if self.warmth.is_tracked(id) {
            let mut backend_quota = BackendQuota::default();
            backend_quota.history.record(now);
            self.quotas.insert(id.to_owned(), backend_quota);
        }
    }

    /// The job store to which the leader assigns an item for a back end that is not known to be
    /// warm: one with a quota there that is `usable` and got no item in this interval.
    pub fn item_sender(
        &mut self,
        now: Timestamp,
        backend: &Backend,
        usable: impl Fn(&str) -> bool,
    ) -> Option<String> {
        let allowance = self.allowance(&backend.service);
        let names = &self.names;
        let has_quota = |name: &&String| {
            let sender = SenderId { name: (*name).clone(), job_store: true };
            quota(allowance, names, &backend.id, &sender) > 0
        };
        let compute = || names.job_stores.iter().filter(has_quota).cloned().collect();
        let backend_quota = self.quotas.entry(backend.id.clone()).or_default();
        // Computed once for the current names, because it takes a hash for each pair of job stores.
        let job_stores = backend_quota.job_stores.get_or_insert_with(compute);
        let is_free = |name: &str| {
            let mut assigned = backend_quota.assigned.iter();
            !assigned.any(|(to, at)| to == name && now.millis_since(*at) < QUOTA_INTERVAL_MS)
        };
        job_stores.iter().find(|name| usable(name) && is_free(name)).cloned()
    }

    /// Records that the leader assigned an item for a back end not known to be warm.
    pub fn record_item_assignment(&mut self, now: Timestamp, id: &str, to: String) {
        let backend_quota = self.quotas.entry(id.to_owned()).or_default();
        backend_quota.assigned.retain(|(_, at)| now.millis_since(*at) < QUOTA_INTERVAL_MS);
        backend_quota.assigned.push((to, now));
    }
}
