//! Names of the processes seen recently, dead or alive.
//!
//! A process that computes its share from the number of other processes must also count those it
//! cannot reach, because they may still be running.

use std::collections::BTreeMap;

use yokefall_core::membership::{MemberRecord, MemberState};
use yokefall_core::Timestamp;

/// Time for which a process counts after it was last seen alive, in milliseconds: as long as
/// membership keeps dead members. In a network partition that lasts longer, each side takes over
/// all shares.
const REMEMBERED_MS: u64 = 600_000;

/// Time for which a process counts as unresponsive, in milliseconds: it is declared dead after 2.5
/// s, and after another 5 s it knows that its state is out of date (the usual value of
/// `placement.evacuation_ms`).
const LOST_MS: u64 = 8_000;

/// Names of processes, including this one once membership runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KnownNames {
    /// Gateways.
    pub gateways: Vec<String>,
    /// Job stores.
    pub job_stores: Vec<String>,
    /// Number of processes that stopped answering recently. They may be partitioned and lack the
    /// current state.
    pub lost: u32,
    /// Whether this process has met others or knows that there are none; until then the names are
    /// incomplete.
    pub joined: bool,
}

impl KnownNames {
    /// Names of job stores, or of gateways.
    pub fn of_kind(&self, job_store: bool) -> impl Iterator<Item = &str> {
        let names = if job_store { &self.job_stores } else { &self.gateways };
        names.iter().map(String::as_str)
    }
}

#[derive(Clone, Debug)]
struct Heard {
    job_store: bool,
    alive: bool,
    last_alive: Timestamp,
    /// Last time it was known to answer.
    last_answered: Timestamp,
    answers: bool,
}

/// Keeps the names of processes that are gone or unreachable for some time.
#[derive(Debug, Default)]
pub struct NameMemory {
    heard: BTreeMap<String, Heard>,
}

impl NameMemory {
    /// Processes the current membership records. A dead member counts from the last time it was
    /// seen alive; one that was dead when first seen, from then on.
    pub fn take(&mut self, now: Timestamp, records: &[(MemberRecord, u64)]) {
        for heard in self.heard.values_mut() {
            heard.pass(now);
        }
        for (record, _) in records {
            let fresh = Heard {
                job_store: record.data,
                alive: false,
                last_alive: now,
                last_answered: now,
                answers: false,
            };
            let heard = self.heard.entry(record.node.to_string()).or_insert(fresh);
            heard.job_store = record.data;
            heard.alive = record.state != MemberState::Dead;
            heard.answers = matches!(record.state, MemberState::Alive | MemberState::Leaving);
        }
        // Members still present in the records are kept so that they do not count anew.
        let told = |name: &str| records.iter().any(|(record, _)| record.node.as_str() == name);
        self.heard.retain(|name, heard| heard.counts(now) || told(name));
    }

    /// Returns the names that count now. `has_seeds` is whether this process was configured with
    /// peers.
    pub fn names(&self, now: Timestamp, own: &str, has_seeds: bool) -> KnownNames {
        let counting = |job_store: bool| {
            let heard = self.heard.iter();
            let counting =
                heard.filter(|(_, heard)| heard.job_store == job_store && heard.counts(now));
            counting.map(|(name, _)| name.clone()).collect()
        };
        let has_met = self.heard.iter().any(|(name, heard)| heard.alive && name != own);
        let lost = self.heard.values().filter(|heard| heard.is_lost(now)).count();
        KnownNames {
            lost: lost as u32,
            gateways: counting(false),
            job_stores: counting(true),
            joined: has_met || !has_seeds,
        }
    }
}

impl Heard {
    /// Extends the last recorded state up to `now`.
    fn pass(&mut self, now: Timestamp) {
        if self.alive {
            self.last_alive = now;
        }
        if self.answers {
            self.last_answered = now;
        }
        self.alive = false;
        self.answers = false;
    }

    fn is_lost(&self, now: Timestamp) -> bool {
        !self.answers && now.millis_since(self.last_answered) < LOST_MS
    }

    fn counts(&self, now: Timestamp) -> bool {
        self.alive || now.millis_since(self.last_alive) < REMEMBERED_MS
    }
}
