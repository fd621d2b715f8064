//! Tracks which back ends are known to be warm.
//!
//! A back end not known to be warm gets few requests (`cold_quota`). Invariant: evidence that it
//! may be cold is overridden only by time, or by a later report of the back end itself.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use yokefall_core::Timestamp;

use crate::backend_table::BackendTable;
use crate::catalog::Catalog;
use crate::model::{Backend, WarmUp};

/// Time that a back end's record takes to reach its readers, in milliseconds: a write to the
/// platform's store, a watch that batches events for 200 ms, and three gossip hops.
pub const RECORD_PROPAGATION_MS: u64 = 1_000;
/// Time for which a lost back end is remembered, in milliseconds: the store may lose a record for a
/// moment, and requests sent to it still count. Far above the second in which they are counted.
const RETENTION_MS: u64 = 60_000;

/// Time for which a failure is reported, in milliseconds: for this long after an incarnation
/// appeared, reported failures may be those of the previous one.
const FAILURE_REPORT_MS: u64 = 3_500;

/// Silence after which a back end no longer counts as alive, in milliseconds.
const ACTIVITY_TIMEOUT_MS: u64 = 450;

/// Why a back end is not known to be warm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdCause {
    /// Its record says that it is cold.
    Recorded,
    /// It reported so itself in an answer.
    Reported,
    /// It appeared while this process ran, and its record does not say for how long it is cold.
    Appeared,
    /// It was unreachable, broke a connection or fell silent: it may have restarted.
    Failed,
    /// The evacuation of its zone has ended.
    ZoneReturned,
    /// This process's view of the platform state is too old.
    StalePlatformState,
}

impl ColdCause {
    /// Name of the cause in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            ColdCause::Recorded => "recorded",
            ColdCause::Reported => "told",
            ColdCause::Appeared => "appeared",
            ColdCause::Failed => "failed",
            ColdCause::ZoneReturned => "zone-returned",
            ColdCause::StalePlatformState => "old-news",
        }
    }
}

/// Until when a back end is not known to be warm, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdPeriod {
    /// End of the period.
    pub until: Timestamp,
    /// Cause of the period.
    pub cause: ColdCause,
}

#[derive(Clone, Debug)]
struct TrackedBackend {
    service: Arc<str>,
    last_activity_at: Option<Timestamp>,
    /// When this incarnation appeared; `None` if it was known at the start of this process.
    appeared_at: Option<Timestamp>,
    /// Its record. A new one restarts the cold period that it states, even if its content is equal.
    record: Arc<Backend>,
    reported: Option<ColdPeriod>,
    /// Period inferred from other evidence.
    suspected: Option<ColdPeriod>,
    gone_since: Option<Timestamp>,
}

/// Changes by a catalog beyond the states of the back ends themselves.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CatalogChanges {
    /// Whether the warm-up times of services changed.
    pub warm_ups_changed: bool,
    /// Ids of back ends that are no longer tracked.
    pub forgotten: Vec<String>,
}

/// Which back ends one process knows to be warm. Services without a warm-up are not tracked.
#[derive(Debug, Default)]
pub struct WarmthTracker {
    warm_ups: HashMap<Arc<str>, WarmUp>,
    backends: HashMap<String, TrackedBackend>,
    evacuated: BTreeSet<String>,
    /// Back ends of the last catalog; only differences to the next one are processed.
    previous: BackendTable,
    /// Whether the last catalog was incomplete: back ends added by the next one existed before.
    was_partial: bool,
    /// Ids of back ends that are no longer known and are remembered for a while.
    gone: BTreeSet<String>,
    /// Ids of back ends that may be cold; others are dropped with the next catalog. Only these
    /// are iterated over, so that the cost does not grow with the fleet.
    possibly_cold: BTreeSet<String>,
    /// Upper bound of the end of all cold periods; afterwards no back end needs a check.
    last_cold_until: Timestamp,
}

impl WarmthTracker {
    /// Must take over each catalog soon after publication: periods start now. Linear in the back
    /// ends that changed, may be cold or are gone; in all if warm-ups or evacuated zones changed.
    pub fn observe(&mut self, now: Timestamp, catalog: &Catalog) -> CatalogChanges {
        let warm_ups = warm_ups(catalog);
        let warm_ups_changed = warm_ups != self.warm_ups;
        if warm_ups_changed {
            self.warm_ups = warm_ups;
            self.previous = BackendTable::default();
        }
        // Back ends known at the start of this process existed before it.
        let is_first = self.backends.is_empty() || self.was_partial;
        self.was_partial = catalog.is_partial;
        if !self.warm_ups.is_empty() {
            let previous = std::mem::replace(&mut self.previous, catalog.known.clone());
            for change in catalog.known.changes_since(&previous) {
                match (change.before, change.after) {
                    (_, Some(after)) => self.add(now, &after, is_first),
                    (Some(before), None) => self.mark_gone(now, &before.id),
                    (None, None) => {}
                }
            }
        }
        self.suspect_returned_zones(now, &catalog.evacuated);
        let forgotten = match warm_ups_changed {
            true => self.drop_all_unknown(now, catalog),
            false => self.drop_gone(now),
        };
        self.drop_ended_periods(now);
        CatalogChanges { warm_ups_changed, forgotten }
    }

    fn drop_ended_periods(&mut self, now: Timestamp) {
        let backends = &self.backends;
        let end_of = |id: &String| {
            let tracked = backends.get(id)?;
            let cold_periods = [tracked.reported, tracked.suspected].into_iter().flatten();
            cold_periods.map(|cold_period| cold_period.until).max().filter(|until| *until > now)
        };
        self.possibly_cold.retain(|id| end_of(id).is_some());
        self.last_cold_until =
            self.possibly_cold.iter().filter_map(end_of).max().unwrap_or_default();
    }

    fn track_cold(&mut self, id: &str, until: Timestamp) {
        self.last_cold_until = self.last_cold_until.max(until);
        if !self.possibly_cold.contains(id) {
            self.possibly_cold.insert(id.to_owned());
        }
    }

    /// Records of a service's back ends that are not known to be warm.
    pub fn cold_backends<'a>(
        &'a self,
        now: Timestamp,
        service: &'a str,
    ) -> impl Iterator<Item = &'a Arc<Backend>> {
        let is_cold = move |id: &&String| self.cold_period(now, id).is_some();
        let tracked =
            self.possibly_cold.iter().filter(is_cold).filter_map(|id| self.backends.get(id));
        tracked.filter(move |tracked| *tracked.service == *service).map(|tracked| &tracked.record)
    }

    fn add(&mut self, now: Timestamp, backend: &Arc<Backend>, is_first: bool) {
        let Some((service, warm_up)) = self.warm_ups.get_key_value(backend.service.as_str()) else {
            return;
        };
        let tracked = self.backends.get_mut(&backend.id);
        let tracked = tracked.filter(|tracked| {
            tracked.record.started_ms == backend.started_ms && tracked.gone_since.is_none()
        });
        if let Some(tracked) = tracked {
            if !Arc::ptr_eq(&tracked.record, backend) {
                tracked.record = backend.clone();
                tracked.reported = recorded(now, backend.cold_remaining_ms);
                let reported = tracked.reported;
                self.track_cold_periods(&backend.id, [reported, None]);
            }
            return;
        }
        let reported = recorded(now, backend.cold_remaining_ms);
        let appeared =
            ColdPeriod { until: now.plus_millis(warm_up.duration_ms), cause: ColdCause::Appeared };
        let suspected = (!is_first && reported.is_none()).then_some(appeared);
        let tracked = TrackedBackend {
            service: service.clone(),
            last_activity_at: None,
            appeared_at: (!is_first).then_some(now),
            record: backend.clone(),
            reported,
            suspected,
            gone_since: None,
        };
        self.backends.insert(backend.id.clone(), tracked);
        self.gone.remove(&backend.id);
        self.track_cold_periods(&backend.id, [reported, suspected]);
    }

    fn track_cold_periods(&mut self, id: &str, cold_periods: [Option<ColdPeriod>; 2]) {
        for cold_period in cold_periods.into_iter().flatten() {
            self.track_cold(id, cold_period.until);
        }
    }

    fn mark_gone(&mut self, now: Timestamp, id: &str) {
        if let Some(tracked) = self.backends.get_mut(id) {
            tracked.gone_since.get_or_insert(now);
            self.gone.insert(id.to_owned());
        }
    }

    /// Back ends may have turned cold, still unrecorded, shortly before their zone returned.
    fn suspect_returned_zones(&mut self, now: Timestamp, evacuated: &BTreeSet<String>) {
        if self.evacuated == *evacuated {
            return;
        }
        let returned: BTreeSet<&String> = self.evacuated.difference(evacuated).collect();
        let mut cold_periods = Vec::new();
        for (id, tracked) in &mut self.backends {
            if !returned.contains(&tracked.record.zone) {
                continue;
            }
            let Some(warm_up) = self.warm_ups.get(&tracked.service) else { continue };
            let until = warm_after_restart(now, warm_up);
            tracked.suspect(until, ColdCause::ZoneReturned);
            cold_periods.push((id.clone(), until));
        }
        for (id, until) in cold_periods {
            self.track_cold(&id, until);
        }
        self.evacuated.clone_from(evacuated);
    }

    fn drop_gone(&mut self, now: Timestamp) -> Vec<String> {
        let backends = &self.backends;
        let is_expired = |id: &&String| {
            let gone_since = backends.get(*id).and_then(|tracked| tracked.gone_since);
            gone_since.is_none_or(|since| now.millis_since(since) >= RETENTION_MS)
        };
        let forgotten: Vec<String> = self.gone.iter().filter(is_expired).cloned().collect();
        for id in &forgotten {
            self.gone.remove(id);
            self.backends.remove(id);
        }
        forgotten
    }

    /// The same after warm-ups changed: checks all back ends, and drops those without a warm-up.
    fn drop_all_unknown(&mut self, now: Timestamp, catalog: &Catalog) -> Vec<String> {
        for (id, tracked) in &mut self.backends {
            if !catalog.known.contains(id) {
                tracked.gone_since.get_or_insert(now);
                self.gone.insert(id.clone());
            }
        }
        let mut forgotten = self.drop_gone(now);
        let warm_ups = &self.warm_ups;
        let gone = &mut self.gone;
        self.backends.retain(|id, tracked| {
            let is_kept = warm_ups.contains_key(&tracked.service);
            if !is_kept {
                gone.remove(id);
                forgotten.push(id.clone());
            }
            is_kept
        });
        forgotten
    }

    /// Records that something was received from a back end.
    pub fn record_activity(&mut self, now: Timestamp, id: &str) {
        if let Some(tracked) = self.backends.get_mut(id) {
            tracked.last_activity_at = Some(now);
        }
    }

    /// Records that a back end fails for most processes by load reports of the last seconds. One
    /// that still answers here is overloaded: treating it as cold would shift its load to others.
    pub fn record_reported_failure(&mut self, now: Timestamp, id: &str) {
        let Some(tracked) = self.backends.get_mut(id) else { return };
        if tracked.last_activity_at.is_some_and(|at| now.millis_since(at) < ACTIVITY_TIMEOUT_MS) {
            return;
        }
        let is_new = |at: Timestamp| now.millis_since(at) < FAILURE_REPORT_MS;
        if !tracked.appeared_at.is_some_and(is_new) {
            return self.record_failure(now, id);
        }
        // Probably the previous incarnation failed, and this one is cold for that time anyway. If
        // this one fails, that is reported again before this period ends.
        let until = now.plus_millis(RECORD_PROPAGATION_MS);
        tracked.suspect(until, ColdCause::Failed);
        self.track_cold(id, until);
    }

    /// Records that a back end was unreachable, broke a connection or fell silent here.
    pub fn record_failure(&mut self, now: Timestamp, id: &str) {
        let Some(tracked) = self.backends.get_mut(id) else { return };
        let Some(warm_up) = self.warm_ups.get(&tracked.service) else { return };
        let until = warm_after_restart(now, warm_up);
        tracked.suspect(until, ColdCause::Failed);
        self.track_cold(id, until);
    }

    /// Records for how much longer a back end is cold, as it reported in an answer.
    pub fn record_report(&mut self, now: Timestamp, id: &str, started_ms: u64, remaining_ms: u64) {
        let tracked = self.backends.get_mut(id);
        let Some(tracked) = tracked.filter(|tracked| tracked.record.started_ms == started_ms)
        else {
            return;
        };
        let until = now.plus_millis(remaining_ms);
        tracked.reported =
            (remaining_ms > 0).then_some(ColdPeriod { until, cause: ColdCause::Reported });
        tracked.suspected = None;
        self.track_cold(id, until);
    }

    /// Why and until when a back end is not known to be warm; ignores the platform state's age.
    pub fn cold_period(&self, now: Timestamp, id: &str) -> Option<ColdPeriod> {
        let tracked = self.backends.get(id)?;
        let cold_periods = [tracked.reported, tracked.suspected].into_iter().flatten();
        cold_periods
            .filter(|cold_period| cold_period.until > now)
            .max_by_key(|cold_period| cold_period.until)
    }

    /// Whether every back end is known to be warm; ignores the age of the platform state.
    pub fn all_warm(&self, now: Timestamp) -> bool {
        self.last_cold_until <= now
    }

    /// The warm-up of a service, if it has one.
    pub fn warm_up(&self, service: &str) -> Option<&WarmUp> {
        self.warm_ups.get(service)
    }

    /// Whether no service has a warm-up, so that nothing needs a check.
    pub fn is_unused(&self) -> bool {
        self.warm_ups.is_empty()
    }

    /// Ids of the tracked back ends.
    pub fn ids(&self) -> impl Iterator<Item = &str> {
        self.backends.keys().map(String::as_str)
    }

    /// Whether a back end is tracked.
    pub fn is_tracked(&self, id: &str) -> bool {
        self.backends.contains_key(id)
    }
}

impl TrackedBackend {
    /// Extends the inferred period; the later end wins whatever its cause.
    fn suspect(&mut self, until: Timestamp, cause: ColdCause) {
        if self.suspected.is_none_or(|period| period.until < until) {
            self.suspected = Some(ColdPeriod { until, cause });
        }
    }
}

/// When a back end that restarts now is warm and its new record has reached this process.
fn warm_after_restart(now: Timestamp, warm_up: &WarmUp) -> Timestamp {
    now.plus_millis(warm_up.duration_ms).plus_millis(RECORD_PROPAGATION_MS)
}

fn recorded(now: Timestamp, remaining_ms: u64) -> Option<ColdPeriod> {
    let until = now.plus_millis(remaining_ms);
    (remaining_ms > 0).then_some(ColdPeriod { until, cause: ColdCause::Recorded })
}

fn warm_ups(catalog: &Catalog) -> HashMap<Arc<str>, WarmUp> {
    let services = catalog.configuration.iter().flat_map(|configuration| &configuration.services);
    services
        .filter_map(|service| Some((Arc::from(service.name.as_str()), service.warm_up?)))
        .collect()
}
