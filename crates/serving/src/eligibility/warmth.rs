//! What is known of whether back ends are warm.
//!
//! A back end that is not known to be warm is not left out: it gets little (`cold_share`). Invariant: whatever
//! says that one may be cold is outweighed only by time, or by the back end's own word that came later.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use yokefall_core::Timestamp;

use crate::backend_table::BackendTable;
use crate::catalog::Catalog;
use crate::model::{Backend, WarmUp};

/// Time that a back end's record takes from the back end to whoever reads it, in milliseconds: a write to the
/// platform's store, a watch that gathers for 200 ms, and three tellings from process to process.
pub const RECORD_DELAY_MS: u64 = 1_000;
/// Time for which a back end is remembered that is not known any more, in milliseconds: the store may lose one
/// for a moment, and what was sent to it counts on. Far longer than the second in which sends are counted.
const REMEMBERED_MS: u64 = 60_000;

/// Time for which failures are reported, in milliseconds: those of the life before are still told then.
const REPORTED_MS: u64 = 3_500;

/// Time for which a back end that was heard counts as alive, in milliseconds: as long as one is waited for until it
/// counts as silent.
const HEARD_MS: u64 = 450;

/// Why a back end is not known to be warm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdCause {
    /// Its record says that it is cold.
    Recorded,
    /// It told so itself, in an answer.
    Told,
    /// It has come while this process was running, and its record does not say for how long it is cold.
    Appeared,
    /// It could not be reached, broke off or fell silent: it may have started again.
    Failed,
    /// Its zone is not evacuated any more.
    ZoneReturned,
    /// What this process knows of the platform is too old.
    OldNews,
}

impl ColdCause {
    /// The cause's name, for lines.
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
    /// Its end.
    pub until: Timestamp,
    /// Its cause.
    pub cause: ColdCause,
}

/// A back end as it is known here.
#[derive(Clone, Debug)]
struct Known {
    service: Arc<str>,
    /// When something last came from it here.
    heard_at: Option<Timestamp>,
    /// When this life of it came; `None` where it was known at the start of this process.
    appeared_at: Option<Timestamp>,
    /// Its record: another one says anew for how long it is cold, also where it says the same.
    record: Arc<Backend>,
    /// What the back end itself says of its life.
    stated: Option<Doubt>,
    /// What else speaks against its being warm.
    suspected: Option<Doubt>,
    /// Since when nobody knows it any more.
    gone_since: Option<Timestamp>,
}

/// What a catalog changed beside the back ends' own states.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Observed {
    /// Whether services need other times to get warm than before.
    pub has_other_warm_ups: bool,
    /// Ids of back ends that are not held any more.
    pub forgotten: Vec<String>,
}

/// What one process knows of whether back ends are warm. Back ends of services without a warm-up are not in it.
#[derive(Debug, Default)]
pub struct Warmth {
    warm_ups: HashMap<Arc<str>, WarmUp>,
    backends: HashMap<String, Known>,
    evacuated: BTreeSet<String>,
    /// What the last catalog knew: only what differs in the next one is looked at.
    seen: BackendTable,
    /// Whether the last catalog knew only some of the back ends: those that come with the next were there before.
    follows_part: bool,
    /// Ids of back ends that nobody knows any more and that are remembered for a while.
    gone: BTreeSet<String>,
    /// Ids of back ends that may be in doubt; those that are in none any more are dropped with the next catalog.
    /// With it a look costs as many steps as there are doubts, and not as there are back ends.
    doubted: BTreeSet<String>,
    /// When the last doubt ends, or later: after it nobody has to be looked at.
    last_doubt: Timestamp,
}

impl Warmth {
    /// Takes what a catalog says. To be called for each one, soon after it came into force: times count from here.
    /// Costs as many steps as back ends changed, are in doubt or are gone.
    pub fn observe(&mut self, now: Timestamp, catalog: &Catalog) -> Observed {
        let warm_ups = warm_ups(catalog);
        let has_other_warm_ups = warm_ups != self.warm_ups;
        if has_other_warm_ups {
            self.warm_ups = warm_ups;
            self.seen = BackendTable::default();
        }
        // What is known at the start of this process was there before it.
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

    /// Notes a doubt of a back end that lasts until a moment.
    fn note_doubt(&mut self, id: &str, until: Timestamp) {
        self.last_doubt = self.last_doubt.max(until);
        if !self.doubted.contains(id) {
            self.doubted.insert(id.to_owned());
        }
    }

    /// Records of a service's back ends that are in doubt now.
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

    /// Nobody knows a back end any more.
    fn lose(&mut self, now: Timestamp, id: &str) {
        if let Some(known) = self.backends.get_mut(id) {
            known.gone_since.get_or_insert(now);
            self.gone.insert(id.to_owned());
        }
    }

    /// Back ends of a zone may have turned cold shortly before its evacuation was taken back, and their records
    /// may not say so yet.
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

    /// Forgets back ends that have been gone for long enough, and tells which.
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

    /// The same where other services have a warm-up now: each back end is looked at.
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

    /// Something came from a back end.
    pub fn record_activity(&mut self, now: Timestamp, id: &str) {
        if let Some(known) = self.backends.get_mut(id) {
            known.heard_at = Some(now);
        }
    }

    /// A back end fails for most, as their reports of the last seconds say. One that is heard here has too much to
    /// do: taken for cold, it would do less still, and the others more.
    pub fn record_reported_failure(&mut self, now: Timestamp, id: &str) {
        let Some(known) = self.backends.get_mut(id) else { return };
        if known.heard_at.is_some_and(|at| now.millis_since(at) < HEARD_MS) {
            return;
        }
        let is_new = |at: Timestamp| now.millis_since(at) < REPORTED_MS;
        if !known.appeared_at.is_some_and(is_new) {
            return self.record_failure(now, id);
        }
        // Probably the life before failed, and this one is cold for as long anyway. Where it is this one, that is
        // told again before this doubt ends.
        let until = now.plus_millis(RECORD_DELAY_MS);
        known.suspect(until, ColdCause::Failed);
        self.note_doubt(id, until);
    }

    /// A back end could not be reached, broke off or fell silent here.
    pub fn record_failure(&mut self, now: Timestamp, id: &str) {
        let Some(known) = self.backends.get_mut(id) else { return };
        let Some(warm_up) = self.warm_ups.get(&known.service) else { return };
        let until = start_may_be_told(now, warm_up);
        known.suspect(until, ColdCause::Failed);
        self.note_doubt(id, until);
    }

    /// A back end told in an answer for how much longer it is cold.
    pub fn record_report(&mut self, now: Timestamp, id: &str, started_ms: u64, remaining_ms: u64) {
        let known = self.backends.get_mut(id);
        let Some(known) = known.filter(|known| known.record.started_ms == started_ms) else {
            return;
        };
        let until = now.plus_millis(remaining_ms);
        known.stated = (remaining_ms > 0).then_some(Doubt { until, cause: ColdCause::Told });
        known.suspected = None;
        self.note_doubt(id, until);
    }

    /// Why a back end is not known to be warm, and until when; `None` where it is warm, as far as its own life goes.
    pub fn doubt(&self, now: Timestamp, id: &str) -> Option<Doubt> {
        let known = self.backends.get(id)?;
        let doubts = [known.stated, known.suspected].into_iter().flatten();
        doubts.filter(|doubt| doubt.until > now).max_by_key(|doubt| doubt.until)
    }

    /// Whether every back end is known to be warm, as far as their own lives go.
    pub fn is_free_of_doubt(&self, now: Timestamp) -> bool {
        self.last_doubt <= now
    }

    /// Whether back ends of a service need time to get warm.
    pub fn warm_up(&self, service: &str) -> Option<&WarmUp> {
        self.warm_ups.get(service)
    }

    /// Whether no service has a warm-up: nothing has to be asked then.
    pub fn is_unused(&self) -> bool {
        self.warm_ups.is_empty()
    }

    /// Ids of the back ends that are held.
    pub fn ids(&self) -> impl Iterator<Item = &str> {
        self.backends.keys().map(String::as_str)
    }

    /// Whether a back end is held.
    pub fn holds(&self, id: &str) -> bool {
        self.backends.contains_key(id)
    }
}

impl Known {
    /// Whatever was the cause before: the later end counts.
    fn suspect(&mut self, until: Timestamp, cause: ColdCause) {
        if self.suspected.is_none_or(|held| held.until < until) {
            self.suspected = Some(Doubt { until, cause });
        }
    }
}

/// When a back end that starts now is warm, and this process has long read so.
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
