//! Tracks which back ends are known to be warm.
//!
//! A back end that is not known to be warm is not excluded but gets few requests (`cold_share`).
//! Invariant: evidence that a back end may be cold is overridden only by time, or by a later report
//! of the back end itself.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use yokefall_core::Timestamp;

use crate::backend_table::BackendTable;
use crate::catalog::Catalog;
use crate::model::{Backend, WarmUp};

/// Time that a back end's record takes to reach its readers, in milliseconds: a write to the
/// platform's store, a watch that batches events for 200 ms, and three gossip hops.
pub const RECORD_DELAY_MS: u64 = 1_000;
/// Time for which a back end that is no longer known is remembered, in milliseconds: the store may
/// lose a record for a moment, and requests sent to it still count. Far longer than the second in
/// which requests are counted.
const REMEMBERED_MS: u64 = 60_000;

/// Time for which failures are reported, in milliseconds: those of the previous incarnation are
/// still reported then.
const REPORTED_MS: u64 = 3_500;

/// Time for which a back end counts as alive after something was received from it, in milliseconds:
/// the silence after which a back end counts as silent.
const HEARD_MS: u64 = 450;

/// Why a back end is not known to be warm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdCause {
    /// Its record says that it is cold.
    Recorded,
    /// It reported so itself in an answer.
    Told,
    /// It appeared while this process was running, and its record does not say for how long it is
    /// cold.
    Appeared,
    /// It was unreachable, broke a connection or fell silent: it may have restarted.
    Failed,
    /// The evacuation of its zone has ended.
    ZoneReturned,
    /// This process's view of the platform state is too old.
    OldNews,
}

impl ColdCause {
    /// Name of the cause in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            ColdCause::Recorded => "recorded",
            ColdCause::Told => "told",
            ColdCause::Appeared => "appeared",
            ColdCause::Failed => "failed",
            ColdCause::ZoneReturned => "zone-returned",
            ColdCause::OldNews => "old-news",
        }
    }
}

/// Until when a back end is not known to be warm, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Doubt {
    /// End of the period.
    pub until: Timestamp,
    /// Cause of the period.
    pub cause: ColdCause,
}

/// A tracked back end.
#[derive(Clone, Debug)]
struct Known {
    service: Arc<str>,
    /// When something was last received from it here.
    heard_at: Option<Timestamp>,
    /// When this incarnation appeared; `None` if it was known at the start of this process.
    appeared_at: Option<Timestamp>,
    /// Its record. A new one restarts the cold period that it states, even if its content is equal.
    record: Arc<Backend>,
    /// Period reported by the back end itself.
    stated: Option<Doubt>,
    /// Period inferred from other evidence.
    suspected: Option<Doubt>,
    /// Since when it is no longer known.
    gone_since: Option<Timestamp>,
}

/// Changes by a catalog beyond the states of the back ends themselves.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Observed {
    /// Whether the warm-up times of services changed.
    pub has_other_warm_ups: bool,
    /// Ids of back ends that are no longer tracked.
    pub forgotten: Vec<String>,
}

/// Which back ends one process knows to be warm. Back ends of services without a warm-up are not
/// tracked.
#[derive(Debug, Default)]
pub struct Warmth {
    warm_ups: HashMap<Arc<str>, WarmUp>,
    backends: HashMap<String, Known>,
    evacuated: BTreeSet<String>,
    /// Back ends of the last catalog; only differences to the next one are processed.
    seen: BackendTable,
    /// Whether the last catalog contained only some of the back ends: those added by the next one
    /// existed before.
    follows_part: bool,
    /// Ids of back ends that are no longer known and are remembered for a while.
    gone: BTreeSet<String>,
    /// Ids of back ends that may be cold; those that are no longer are dropped with the next
    /// catalog. Makes a check cost as many steps as there are such back ends, not as there are back
    /// ends.
    doubted: BTreeSet<String>,
    /// Upper bound of the end of all cold periods; afterwards no back end needs a check.
    last_doubt: Timestamp,
}

impl Warmth {
    /// Takes over a catalog. Must be called for each one soon after it was published, because
    /// periods start now. Costs as many steps as there are back ends that changed, may be cold or
    /// are gone.
    pub fn observe(&mut self, now: Timestamp, catalog: &Catalog) -> Observed {
        let warm_ups = warm_ups(catalog);
        let has_other_warm_ups = warm_ups != self.warm_ups;
        if has_other_warm_ups {
            self.warm_ups = warm_ups;
            self.seen = BackendTable::default();
        }
        // Back ends known at the start of this process existed before it.
        let is_first = self.backends.is_empty() || self.follows_part;
        self.follows_part = catalog.is_partial;
        if !self.warm_ups.is_empty() {
            let seen = std::mem::replace(&mut self.seen, catalog.known.clone());
            for change in catalog.known.changes_since(&seen) {
                match (change.before, change.after) {
                    (_, Some(after)) => self.take(now, &after, is_first),
                    (Some(before), None) => self.lose(now, &before.id),
                    (None, None) => {}
                }
            }
        }
        self.return_zones(now, &catalog.evacuated);
        let forgotten = match has_other_warm_ups {
            true => self.forget_all_unknown(now, catalog),
            false => self.forget(now),
        };
        self.drop_ended_doubts(now);
        Observed { has_other_warm_ups, forgotten }
    }

    fn drop_ended_doubts(&mut self, now: Timestamp) {
        let backends = &self.backends;
        let end_of = |id: &String| {
            let known = backends.get(id)?;
            let doubts = [known.stated, known.suspected].into_iter().flatten();
            doubts.map(|doubt| doubt.until).max().filter(|until| *until > now)
        };
        self.doubted.retain(|id| end_of(id).is_some());
        self.last_doubt = self.doubted.iter().filter_map(end_of).max().unwrap_or_default();
    }

    /// Records that a back end may be cold until a moment.
    fn note_doubt(&mut self, id: &str, until: Timestamp) {
        self.last_doubt = self.last_doubt.max(until);
        if !self.doubted.contains(id) {
            self.doubted.insert(id.to_owned());
        }
    }

    /// Records of a service's back ends that are not known to be warm.
    pub fn doubted<'a>(
        &'a self,
        now: Timestamp,
        service: &'a str,
    ) -> impl Iterator<Item = &'a Arc<Backend>> {
        let is_in_doubt = move |id: &&String| self.doubt(now, id).is_some();
        let known = self.doubted.iter().filter(is_in_doubt).filter_map(|id| self.backends.get(id));
        known.filter(move |known| *known.service == *service).map(|known| &known.record)
    }

    fn take(&mut self, now: Timestamp, backend: &Arc<Backend>, is_first: bool) {
        let Some((service, warm_up)) = self.warm_ups.get_key_value(backend.service.as_str()) else {
            return;
        };
        let held = self.backends.get_mut(&backend.id);
        let held = held.filter(|held| {
            held.record.started_ms == backend.started_ms && held.gone_since.is_none()
        });
        if let Some(held) = held {
            if !Arc::ptr_eq(&held.record, backend) {
                held.record = backend.clone();
                held.stated = recorded(now, backend.cold_remaining_ms);
                let stated = held.stated;
                self.note_doubts(&backend.id, [stated, None]);
            }
            return;
        }
        let stated = recorded(now, backend.cold_remaining_ms);
        let appeared =
            Doubt { until: now.plus_millis(warm_up.duration_ms), cause: ColdCause::Appeared };
        let suspected = (!is_first && stated.is_none()).then_some(appeared);
        let known = Known {
            service: service.clone(),
            heard_at: None,
            appeared_at: (!is_first).then_some(now),
            record: backend.clone(),
            stated,
            suspected,
            gone_since: None,
        };
        self.backends.insert(backend.id.clone(), known);
        self.gone.remove(&backend.id);
        self.note_doubts(&backend.id, [stated, suspected]);
    }

    fn note_doubts(&mut self, id: &str, doubts: [Option<Doubt>; 2]) {
        for doubt in doubts.into_iter().flatten() {
            self.note_doubt(id, doubt.until);
        }
    }

    /// Records that a back end is no longer known.
    fn lose(&mut self, now: Timestamp, id: &str) {
        if let Some(known) = self.backends.get_mut(id) {
            known.gone_since.get_or_insert(now);
            self.gone.insert(id.to_owned());
        }
    }

    /// Back ends of a zone may have turned cold shortly before its evacuation ended, and their
    /// records may not say so yet.
    fn return_zones(&mut self, now: Timestamp, evacuated: &BTreeSet<String>) {
        if self.evacuated == *evacuated {
            return;
        }
        let returned: BTreeSet<&String> = self.evacuated.difference(evacuated).collect();
        let mut doubts = Vec::new();
        for (id, known) in &mut self.backends {
            if !returned.contains(&known.record.zone) {
                continue;
            }
            let Some(warm_up) = self.warm_ups.get(&known.service) else { continue };
            let until = start_may_be_told(now, warm_up);
            known.suspect(until, ColdCause::ZoneReturned);
            doubts.push((id.clone(), until));
        }
        for (id, until) in doubts {
            self.note_doubt(&id, until);
        }
        self.evacuated.clone_from(evacuated);
    }

    /// Drops back ends that have been gone for long enough, and returns their ids.
    fn forget(&mut self, now: Timestamp) -> Vec<String> {
        let backends = &self.backends;
        let is_over = |id: &&String| {
            let gone_since = backends.get(*id).and_then(|known| known.gone_since);
            gone_since.is_none_or(|since| now.millis_since(since) >= REMEMBERED_MS)
        };
        let forgotten: Vec<String> = self.gone.iter().filter(is_over).cloned().collect();
        for id in &forgotten {
            self.gone.remove(id);
            self.backends.remove(id);
        }
        forgotten
    }

    /// The same after warm-ups changed, by a check of each back end.
    fn forget_all_unknown(&mut self, now: Timestamp, catalog: &Catalog) -> Vec<String> {
        for (id, known) in &mut self.backends {
            if !catalog.known.contains(id) {
                known.gone_since.get_or_insert(now);
                self.gone.insert(id.clone());
            }
        }
        let mut forgotten = self.forget(now);
        let warm_ups = &self.warm_ups;
        let gone = &mut self.gone;
        self.backends.retain(|id, known| {
            let stays = warm_ups.contains_key(&known.service);
            if !stays {
                gone.remove(id);
                forgotten.push(id.clone());
            }
            stays
        });
        forgotten
    }

    /// Records that something was received from a back end.
    pub fn heard(&mut self, now: Timestamp, id: &str) {
        if let Some(known) = self.backends.get_mut(id) {
            known.heard_at = Some(now);
        }
    }

    /// Records that a back end fails for most processes, according to load reports of the last
    /// seconds. One that still answers here is overloaded: treating it as cold would shift its load
    /// to the others.
    pub fn failed_for_all(&mut self, now: Timestamp, id: &str) {
        let Some(known) = self.backends.get_mut(id) else { return };
        if known.heard_at.is_some_and(|at| now.millis_since(at) < HEARD_MS) {
            return;
        }
        let is_new = |at: Timestamp| now.millis_since(at) < REPORTED_MS;
        if !known.appeared_at.is_some_and(is_new) {
            return self.failed(now, id);
        }
        // Probably the previous incarnation failed, and this one is cold for as long anyway. If
        // this one fails, that is reported again before this period ends.
        let until = now.plus_millis(RECORD_DELAY_MS);
        known.suspect(until, ColdCause::Failed);
        self.note_doubt(id, until);
    }

    /// Records that a back end was unreachable, broke a connection or fell silent here.
    pub fn failed(&mut self, now: Timestamp, id: &str) {
        let Some(known) = self.backends.get_mut(id) else { return };
        let Some(warm_up) = self.warm_ups.get(&known.service) else { return };
        let until = start_may_be_told(now, warm_up);
        known.suspect(until, ColdCause::Failed);
        self.note_doubt(id, until);
    }

    /// Records for how much longer a back end is cold, as it reported in an answer.
    pub fn told(&mut self, now: Timestamp, id: &str, started_ms: u64, remaining_ms: u64) {
        let known = self.backends.get_mut(id);
        let Some(known) = known.filter(|known| known.record.started_ms == started_ms) else {
            return;
        };
        let until = now.plus_millis(remaining_ms);
        known.stated = (remaining_ms > 0).then_some(Doubt { until, cause: ColdCause::Told });
        known.suspected = None;
        self.note_doubt(id, until);
    }

    /// Why a back end is not known to be warm and until when; `None` if it is, by its own state.
    pub fn doubt(&self, now: Timestamp, id: &str) -> Option<Doubt> {
        let known = self.backends.get(id)?;
        let doubts = [known.stated, known.suspected].into_iter().flatten();
        doubts.filter(|doubt| doubt.until > now).max_by_key(|doubt| doubt.until)
    }

    /// Whether every back end is known to be warm, by their own states.
    pub fn is_free_of_doubt(&self, now: Timestamp) -> bool {
        self.last_doubt <= now
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
    pub fn holds(&self, id: &str) -> bool {
        self.backends.contains_key(id)
    }
}

impl Known {
    /// Extends the inferred period; the later end wins whatever its cause.
    fn suspect(&mut self, until: Timestamp, cause: ColdCause) {
        if self.suspected.is_none_or(|held| held.until < until) {
            self.suspected = Some(Doubt { until, cause });
        }
    }
}

/// When a back end that restarts now is warm and its new record has reached this process.
fn start_may_be_told(now: Timestamp, warm_up: &WarmUp) -> Timestamp {
    now.plus_millis(warm_up.duration_ms + RECORD_DELAY_MS)
}

fn recorded(now: Timestamp, remaining_ms: u64) -> Option<Doubt> {
    let until = now.plus_millis(remaining_ms);
    (remaining_ms > 0).then_some(Doubt { until, cause: ColdCause::Recorded })
}

fn warm_ups(catalog: &Catalog) -> HashMap<Arc<str>, WarmUp> {
    let services = catalog.configuration.iter().flat_map(|configuration| &configuration.services);
    services
        .filter_map(|service| Some((Arc::from(service.name.as_str()), service.warm_up?)))
        .collect()
}
