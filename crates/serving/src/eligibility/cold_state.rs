//! What one process may send to back ends that are not known to be warm, at this moment.

use std::collections::HashMap;
use std::sync::Arc;

use yokefall_core::Timestamp;
use yokefall_types::PlacementBounds;

use super::cold_share::{quota, Allowance, SenderId, Sends, SHARE_INTERVAL_MS};
use super::warmth::{ColdCause, Warmth};
use crate::catalog::Catalog;
use crate::known_processes::KnownProcesses;
use crate::model::Backend;

/// Time from its start in which a process uses no share, in milliseconds. Others have to know its name, so that
/// they leave it its place, and it theirs; news reach 300 processes within 4 s of a start. What it sent before a
/// restart under the same name is over by then as well.
pub const ENTRY_MS: u64 = 5_000;
/// Age of news of the platform from which nothing is known to be warm, in milliseconds, where operators evacuate
/// no zones: longer than a watch that tells nothing takes.
const OLD_NEWS_MS: u64 = 15_000;
/// When to look again where it is not known when a back end will be warm, in milliseconds.
const UNKNOWN_WAIT_MS: u64 = 1_000;

/// What a process may send to a back end now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It is known to be warm.
    Warm,
    /// It is not.
    Cold {
        /// Why.
        cause: ColdCause,
        /// Milliseconds until this process may send a request; 0 for now.
        wait_ms: u64,
    },
}

impl Standing {
    /// Whether a request may be sent now.
    pub fn may_send(self) -> bool {
        !matches!(self, Standing::Cold { wait_ms: 1.., .. })
    }
}

/// What this process sent to a back end, and may.
#[derive(Debug, Default)]
struct Share {
    /// Requests in an interval; `None` until it is worked out for the present names.
    quota: Option<u32>,
    sends: Sends,
    /// Job stores that the leader gave items for it.
    given: Vec<(String, Timestamp)>,
    /// Job stores that have a share; `None` until they are worked out for the present names.
    holders: Option<Vec<String>>,
}

/// The state of one process.
#[derive(Debug)]
pub struct ColdState {
    sender: SenderId,
    bounds: PlacementBounds,
    began: Timestamp,
    warmth: Warmth,
    names: Arc<KnownProcesses>,
    shares: HashMap<String, Share>,
}

impl ColdState {
    /// A process that starts now.
    pub fn new(now: Timestamp, sender: SenderId, bounds: PlacementBounds) -> Self {
        let (warmth, names) = (Warmth::default(), Arc::default());
        Self { sender, bounds, began: now, warmth, names, shares: HashMap::new() }
    }

    /// Takes what a catalog says of back ends.
    pub fn observe(&mut self, now: Timestamp, catalog: &Catalog) {
        let observed = self.warmth.observe(now, catalog);
        for id in observed.forgotten {
            self.shares.remove(&id);
        }
        if observed.has_other_warm_ups {
            self.forget_quotas();
        }
    }

    /// Takes the names of all processes.
    pub fn set_names(&mut self, names: Arc<KnownProcesses>) {
        self.names = names;
        self.forget_quotas();
    }

    fn forget_quotas(&mut self) {
        for share in self.shares.values_mut() {
            share.quota = None;
            share.holders = None;
        }
    }

    /// A back end could not be reached, broke off or fell silent.
    pub fn record_failure(&mut self, now: Timestamp, id: &str) {
        self.warmth.record_failure(now, id);
    }

    /// Something came from a back end.
    pub fn record_activity(&mut self, now: Timestamp, id: &str) {
        self.warmth.record_activity(now, id);
    }

    /// A back end fails for most, as their reports say.
    pub fn record_reported_failure(&mut self, now: Timestamp, id: &str) {
        self.warmth.record_reported_failure(now, id);
    }

    /// A back end told for how much longer it is cold.
    pub fn record_report(&mut self, now: Timestamp, id: &str, started_ms: u64, remaining_ms: u64) {
        self.warmth.record_report(now, id, started_ms, remaining_ms);
    }

    /// Whether back ends of a service need time to get warm.
    pub fn concerns(&self, service: &str) -> bool {
        self.warmth.warm_up(service).is_some()
    }

    /// Whether no service has a warm-up.
    pub fn is_unused(&self) -> bool {
        self.warmth.is_unused()
    }

    /// Why a back end is not known to be warm, and until when as far as known; `None` where it is.
    /// `news_age_ms` is how old what is known of the platform is, where that is kept.
    pub fn doubt(
        &self,
        now: Timestamp,
        news_age_ms: Option<u64>,
        id: &str,
    ) -> Option<(ColdCause, Option<Timestamp>)> {
        if self.has_old_news(news_age_ms) {
            return Some((ColdCause::OldNews, None));
        }
        self.warmth.doubt(now, id).map(|doubt| (doubt.cause, Some(doubt.until)))
    }

    /// Whether what is known of the platform is too old to tell that a back end is warm.
    pub fn has_old_news(&self, news_age_ms: Option<u64>) -> bool {
        let bound = self.bounds.evacuation_ms.unwrap_or(OLD_NEWS_MS);
        news_age_ms.is_some_and(|age| age > bound)
    }

    /// Whether every back end is known to be warm, so that none has to be looked at.
    pub fn is_free_of_doubt(&self, now: Timestamp, news_age_ms: Option<u64>) -> bool {
        self.warmth.is_free_of_doubt(now) && !self.has_old_news(news_age_ms)
    }

    /// Ids of back ends that need time to get warm.
    pub fn ids(&self) -> impl Iterator<Item = &str> {
        self.warmth.ids()
    }

    /// Back ends of a service that are not known to be warm; `None` where what is known of the platform is too old.
    pub fn doubted(
        &self,
        now: Timestamp,
        news_age_ms: Option<u64>,
        service: &str,
    ) -> Option<Vec<Arc<Backend>>> {
        let is_known = !self.has_old_news(news_age_ms);
        is_known.then(|| self.warmth.doubted(now, service).cloned().collect())
    }

    /// Back ends of a service that this process may not send to now, in the order of their addresses in memory;
    /// `None` where what is known of the platform is too old, and each has to be looked at.
    pub fn closed(
        &mut self,
        now: Timestamp,
        news_age_ms: Option<u64>,
        service: &str,
    ) -> Option<Vec<*const Backend>> {
        let doubted = self.doubted(now, news_age_ms, service)?;
        let is_closed =
            |backend: &&Arc<Backend>| !self.standing(now, news_age_ms, backend).may_send();
        let mut closed: Vec<*const Backend> =
            doubted.iter().filter(is_closed).map(Arc::as_ptr).collect();
        closed.sort_unstable();
        Some(closed)
    }

    /// What this process may send to a back end now.
    pub fn standing(
        &mut self,
        now: Timestamp,
        news_age_ms: Option<u64>,
        backend: &Backend,
    ) -> Standing {
        if !self.concerns(&backend.service) {
            return Standing::Warm;
        }
        let Some((cause, until)) = self.doubt(now, news_age_ms, &backend.id) else {
            return Standing::Warm;
        };
        let warm_in = until.map_or(UNKNOWN_WAIT_MS, |until| until.millis_since(now)).max(1);
        let wait_ms = self.share_wait_ms(now, backend).map_or(warm_in, |wait| wait.min(warm_in));
        Standing::Cold { cause, wait_ms }
    }

    /// Milliseconds until this process may use its share; `None` where it has none.
    fn share_wait_ms(&mut self, now: Timestamp, backend: &Backend) -> Option<u64> {
        if !self.names.joined {
            return None;
        }
        let allowance = self.allowance(&backend.service);
        if !self.shares.contains_key(&backend.id) {
            self.shares.insert(backend.id.clone(), Share::default());
        }
        let share = self.shares.get_mut(&backend.id)?;
        let worked_out = || quota(allowance, &self.names, &backend.id, &self.sender);
        let quota = *share.quota.get_or_insert_with(worked_out);
        let entry = self.began.plus_millis(ENTRY_MS).millis_since(now);
        Some(share.sends.wait_ms(now, quota)?.max(entry))
    }

    fn allowance(&self, service: &str) -> Allowance {
        let warm_up = self.warmth.warm_up(service);
        let of = |warm_up| Allowance::of(&self.bounds, warm_up, &self.names);
        warm_up.map(of).unwrap_or_default()
    }

    /// A request is sent to a back end. Where it is not known to be warm, that is taken from this process's share.
    pub fn sent(&mut self, now: Timestamp, id: &str) {
        // What goes to a warm back end counts as well: it may turn cold the next moment.
        if let Some(share) = self.shares.get_mut(id) {
            share.sends.note(now);
        } else if self.warmth.holds(id) {
            let mut share = Share::default();
            share.sends.note(now);
            self.shares.insert(id.to_owned(), share);
        }
    }

    /// The job store that the leader gives an item for a back end that is not known to be warm: one of those that
    /// have a share there, are `usable`, and got none in this interval.
    pub fn item_sender(
        &mut self,
        now: Timestamp,
        backend: &Backend,
        usable: impl Fn(&str) -> bool,
    ) -> Option<String> {
        let allowance = self.allowance(&backend.service);
        let names = &self.names;
        let has_share = |name: &&String| {
            let sender = SenderId { name: (*name).clone(), job_store: true };
            quota(allowance, names, &backend.id, &sender) > 0
        };
        let worked_out = || names.job_stores.iter().filter(has_share).cloned().collect();
        let share = self.shares.entry(backend.id.clone()).or_default();
        // Worked out once for the present names: it takes a hash for each pair of job stores.
        let holders = share.holders.get_or_insert_with(worked_out);
        let is_free = |name: &str| {
            let mut given = share.given.iter();
            !given.any(|(to, at)| to == name && now.millis_since(*at) < SHARE_INTERVAL_MS)
        };
        holders.iter().find(|name| usable(name) && is_free(name)).cloned()
    }

    /// The leader gave a job store an item for a back end that is not known to be warm.
    pub fn record_item_assignment(&mut self, now: Timestamp, id: &str, to: String) {
        let share = self.shares.entry(id.to_owned()).or_default();
        share.given.retain(|(_, at)| now.millis_since(*at) < SHARE_INTERVAL_MS);
        share.given.push((to, now));
    }
}
