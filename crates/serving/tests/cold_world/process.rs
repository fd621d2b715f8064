//! A simulated process.

use std::collections::BTreeMap;
use std::sync::Arc;

use yokefall_core::Timestamp;
use yokefall_serving::eligibility::cold_quota::SenderId;
use yokefall_serving::eligibility::cold_state::{ColdStartState, WarmUpStatus};
use yokefall_serving::{Backend, KnownProcesses};

use super::{BackEnd, PublishedCatalog, SendMode, BACK_ENDS, BOUNDS};

/// Time in which a new process becomes known to all connected ones.
const NAME_PROPAGATION_MS: u64 = 4_000;
/// Time after which a reconnected process has load reports.
const LOAD_REPORT_DELAY_MS: u64 = 300;
/// Time after which all know that a process does not answer.
const LOSS_DETECTION_MS: u64 = 1_500;
/// Time after which the platform state of such a process is too old for it to send as before.
const LOSS_EXPIRY_MS: u64 = 8_000;
const NAMES_INTERVAL_MS: u64 = 1_000;

pub struct Process {
    pub name: String,
    pub job_store: bool,
    pub state: ColdStartState,
    /// Delay with which it learns the content of the store.
    pub delay_ms: u64,
    pub suspended_until: u64,
    first_started: u64,
    started: u64,
    ended: Option<u64>,
    partitioned_at: u64,
    partitioned_until: u64,
    catalog_seen: Option<PublishedCatalog>,
    /// Records by number of the back end, as known here.
    records: Vec<Option<Arc<Backend>>>,
    names: BTreeMap<String, bool>,
    unresponsive: u32,
}

impl Process {
    pub fn start(now: u64, name: String, job_store: bool) -> Self {
        let sender = SenderId { name: name.clone(), job_store };
        // Together with the write of a record, below the second that the code assumes.
        let delay_ms = name.bytes().fold(now, |sum, byte| sum * 31 + u64::from(byte)) % 600;
        Self {
            name,
            job_store,
            state: ColdStartState::new(Timestamp(now), sender, BOUNDS),
            delay_ms,
            suspended_until: 0,
            first_started: now,
            started: now,
            ended: None,
            partitioned_at: 0,
            partitioned_until: 0,
            catalog_seen: None,
            records: Vec::new(),
            names: BTreeMap::new(),
            unresponsive: 0,
        }
    }

    /// Restarts the process at a moment under its name and without state.
    pub fn restart(&mut self, at: u64) {
        let fresh = Self::start(at, self.name.clone(), self.job_store);
        let (first_started, ended) = (self.first_started, self.ended);
        let (partitioned_at, partitioned_until) = (self.partitioned_at, self.partitioned_until);
        *self = Self { first_started, ended, partitioned_at, partitioned_until, ..fresh };
    }

    pub fn end(&mut self, now: u64) {
        self.ended.get_or_insert(now);
    }

    pub fn partition(&mut self, now: u64, until: u64) {
        if self.is_connected(now) {
            self.partitioned_at = now;
        }
        self.partitioned_until = self.partitioned_until.max(until);
    }

    pub fn is_running(&self, now: u64) -> bool {
        self.ended.is_none() && now >= self.started && now >= self.suspended_until
    }

    pub fn is_connected(&self, now: u64) -> bool {
        self.is_running(now) && now >= self.partitioned_until
    }

    /// Whether it has load reports: some reports after it connected.
    pub fn has_load_reports(&self, now: u64) -> bool {
        let since = self.started.max(self.partitioned_until).max(self.suspended_until);
        self.is_connected(now) && now >= since + LOAD_REPORT_DELAY_MS
    }

    pub fn needs_names(&self, now: u64) -> bool {
        now % NAMES_INTERVAL_MS == 0
    }

    /// Whether another connected process knows this one: some time after its first start, or at
    /// once if the other started later and requests a list.
    pub fn is_known_to(&self, now: u64, by: &Process) -> bool {
        let reported = now >= self.first_started + NAME_PROPAGATION_MS;
        let existed_before = self.first_started <= by.first_started;
        reported || existed_before
    }

    /// Whether it is between `LOSS_DETECTION_MS` and `LOSS_EXPIRY_MS` after its loss.
    pub fn is_unresponsive(&self, now: u64) -> bool {
        let since = match self.ended {
            Some(ended) => ended,
            None if now < self.partitioned_until => self.partitioned_at,
            None => return false,
        };
        (LOSS_DETECTION_MS..LOSS_EXPIRY_MS).contains(&(now - since))
    }

    pub fn refresh(
        &mut self,
        now: u64,
        catalog: PublishedCatalog,
        new_names: Vec<(String, bool)>,
        unresponsive: u32,
    ) {
        if !self.is_connected(now) {
            return;
        }
        if self.catalog_seen.as_ref().is_none_or(|(at, _)| *at != catalog.0) {
            self.state.observe(Timestamp(now), &catalog.1);
            let record = |number: usize| {
                let of = |id: &str| id.split(['b', '-']).nth(1).and_then(|n| n.parse().ok());
                catalog.1.known.values().find(|record| of(&record.id) == Some(number)).cloned()
            };
            self.records = (0..BACK_ENDS).map(record).collect();
            self.catalog_seen = Some(catalog);
        }
        let before = self.names.len();
        self.names.extend(new_names);
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

    fn state_age_ms(&self, now: u64) -> u64 {
        match now < self.partitioned_until {
            true => now - self.partitioned_at,
            false => self.delay_ms + 1_000,
        }
    }

    /// The id to which it sends a request now, if it does.
    pub fn wants_to_send(
        &mut self,
        now: u64,
        back_end: &BackEnd,
        mode: SendMode,
        has_request: bool,
    ) -> Option<String> {
        if !self.is_running(now) {
            return None;
        }
        let (_, catalog) = self.catalog_seen.as_ref()?;
        let record = self.records.get(back_end.number)?.clone()?;
        if catalog.is_evacuated(&record.zone) {
            return None;
        }
        let age = Some(self.state_age_ms(now));
        let sends = match mode {
            SendMode::Unlimited => has_request || back_end.is_cold(now) && now % 200 == 0,
            SendMode::Limited => match self.state.warm_up_status(Timestamp(now), age, &record) {
                WarmUpStatus::Warm => has_request,
                warm_up_status @ WarmUpStatus::Cold { .. } => warm_up_status.may_send(),
            },
        };
        sends.then(|| record.id.clone())
    }
}
