//! One process of the model.

use std::collections::BTreeMap;
use std::sync::Arc;

use yokefall_core::Timestamp;
use yokefall_serving::eligibility::cold_share::SenderId;
use yokefall_serving::eligibility::cold_state::{ColdState, Standing};
use yokefall_serving::{Backend, KnownProcesses};

use super::{BackEnd, Seen, Way, BACK_ENDS, BOUNDS};

/// Time in which news of a new process reach all others that are in touch.
const NEWS_MS: u64 = 4_000;
/// Time after which a process that came in touch hears what others have in flight.
const LOADS_MS: u64 = 300;
/// Time after which all know that a process does not answer, and after which they count on what it knows.
const NOTICED_MS: u64 = 1_500;
const LOST_MS: u64 = 8_000;
/// Interval at which names are taken over.
const NAMES_INTERVAL_MS: u64 = 1_000;

pub struct Process {
    pub name: String,
    pub job_store: bool,
    pub state: ColdState,
    /// How late it learns what the store holds.
    pub delay_ms: u64,
    pub suspended_until: u64,
    /// When this name was first used.
    first_started: u64,
    started: u64,
    ended: Option<u64>,
    cut_at: u64,
    cut_until: u64,
    seen: Option<Seen>,
    /// Records by number of the back end, as seen.
    records: Vec<Option<Arc<Backend>>>,
    names: BTreeMap<String, bool>,
    unresponsive: u32,
}

impl Process {
    pub fn start(now: u64, name: String, job_store: bool) -> Self {
        let sender = SenderId { name: name.clone(), job_store };
        // Below the second that the code reckons with, together with the write of a record.
        let delay_ms = name.bytes().fold(now, |sum, byte| sum * 31 + u64::from(byte)) % 600;
        Self {
            name,
            job_store,
            state: ColdState::new(Timestamp(now), sender, BOUNDS),
            delay_ms,
            suspended_until: 0,
            first_started: now,
            started: now,
            ended: None,
            cut_at: 0,
            cut_until: 0,
            seen: None,
            records: Vec::new(),
            names: BTreeMap::new(),
            unresponsive: 0,
        }
    }

    /// Starts again at a moment under its name, and knows nothing.
    pub fn restart(&mut self, at: u64) {
        let fresh = Self::start(at, self.name.clone(), self.job_store);
        let (first_started, ended) = (self.first_started, self.ended);
        let (cut_at, cut_until) = (self.cut_at, self.cut_until);
        *self = Self { first_started, ended, cut_at, cut_until, ..fresh };
    }

    pub fn end(&mut self, now: u64) {
        self.ended.get_or_insert(now);
    }

    pub fn cut(&mut self, now: u64, until: u64) {
        if self.is_in_touch(now) {
            self.cut_at = now;
        }
        self.cut_until = self.cut_until.max(until);
    }

    pub fn is_running(&self, now: u64) -> bool {
        self.ended.is_none() && now >= self.started && now >= self.suspended_until
    }

    pub fn is_in_touch(&self, now: u64) -> bool {
        self.is_running(now) && now >= self.cut_until
    }

    /// Whether it hears what others have in flight: some reports after it came in touch.
    pub fn hears_loads(&self, now: u64) -> bool {
        let since = self.started.max(self.cut_until).max(self.suspended_until);
        self.is_in_touch(now) && now >= since + LOADS_MS
    }

    pub fn needs_names(&self, now: u64) -> bool {
        now % NAMES_INTERVAL_MS == 0
    }

    /// Whether another process that is in touch has heard of this one: some time after its first start, or at once
    /// where it came later itself and asks for a list.
    pub fn is_heard(&self, now: u64, by: &Process) -> bool {
        let told = now >= self.first_started + NEWS_MS;
        let was_there = self.first_started <= by.first_started;
        told || was_there
    }

    /// Whether others know that it does not answer, and not for long.
    pub fn is_lost(&self, now: u64) -> bool {
        let since = match self.ended {
            Some(ended) => ended,
            None if now < self.cut_until => self.cut_at,
            None => return false,
        };
        (NOTICED_MS..LOST_MS).contains(&(now - since))
    }

    pub fn refresh(
        &mut self,
        now: u64,
        catalog: Seen,
        heard: Vec<(String, bool)>,
        unresponsive: u32,
    ) {
        if !self.is_in_touch(now) {
            return;
        }
        if self.seen.as_ref().is_none_or(|(at, _)| *at != catalog.0) {
            self.state.observe(Timestamp(now), &catalog.1);
            let record = |number: usize| {
                let of = |id: &str| id.split(['b', '-']).nth(1).and_then(|n| n.parse().ok());
                catalog.1.known.values().find(|record| of(&record.id) == Some(number)).cloned()
            };
            self.records = (0..BACK_ENDS).map(record).collect();
            self.seen = Some(catalog);
        }
        let before = self.names.len();
        self.names.extend(heard);
        if self.names.len() > before || self.unresponsive != unresponsive {
            self.unresponsive = unresponsive;
            self.state.set_names(Arc::new(self.known_names()));
        }
    }

    fn known_names(&self) -> KnownProcesses {
        let of_kind = |kind: bool| {
            let names = self.names.iter().filter(|(_, job_store)| **job_store == kind);
            names.map(|(name, _)| name.clone()).collect()
        };
        let (gateways, job_stores) = (of_kind(false), of_kind(true));
        KnownProcesses {
            gateways,
            job_stores,
            unresponsive: self.unresponsive,
            joined: self.names.len() > 1,
        }
    }

    fn news_age_ms(&self, now: u64) -> u64 {
        match now < self.cut_until {
            true => now - self.cut_at,
            false => self.delay_ms + 1_000,
        }
    }

    /// The id to which it sends a request now, if it does.
    pub fn wants_to_send(
        &mut self,
        now: u64,
        back_end: &BackEnd,
        way: Way,
        wants: bool,
    ) -> Option<String> {
        if !self.is_running(now) {
            return None;
        }
        let (_, catalog) = self.seen.as_ref()?;
        let record = self.records.get(back_end.number)?.clone()?;
        if catalog.is_evacuated(&record.zone) {
            return None;
        }
        let age = Some(self.news_age_ms(now));
        let sends = match way {
            Way::Unasked => wants || back_end.is_cold(now) && now % 200 == 0,
            Way::Asked => match self.state.standing(Timestamp(now), age, &record) {
                Standing::Warm => wants,
                standing @ Standing::Cold { .. } => standing.may_send(),
            },
        };
        sends.then(|| record.id.clone())
    }
}
