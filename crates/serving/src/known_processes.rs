//! Names of the processes seen recently, dead or alive.
//!
//! A process that computes its share from the number of other processes must also count those it
//! cannot reach, because they may still be running.

use std::collections::BTreeMap;

use yokefall_core::membership::{MemberRecord, MemberState};
use yokefall_core::Timestamp;

/// Time for which a process counts after it was last seen alive, in milliseconds, as membership
/// keeps dead members. In a longer network partition, each side takes over all shares.
const RETENTION_MS: u64 = 600_000;

/// Time for which a process counts as unresponsive, in milliseconds: it is declared dead after 2.5
/// s, and after another 5 s (the usual `placement.evacuation_ms`) it knows that its state is old.
const UNRESPONSIVE_MS: u64 = 8_000;

/// Names of processes, including this one once membership runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KnownProcesses {
    /// Gateways.
    pub gateways: Vec<String>,
    /// Job stores.
    pub job_stores: Vec<String>,
    /// Number of processes that stopped answering recently and, if partitioned, may lack the state.
    pub unresponsive: u32,
    /// Whether this process met others or knows there are none; until then names are incomplete.
    pub joined: bool,
}

impl KnownProcesses {
    /// Names of job stores, or of gateways.
    pub fn of_kind(&self, job_store: bool) -> impl Iterator<Item = &str> {
        let names = if job_store { &self.job_stores } else { &self.gateways };
        names.iter().map(String::as_str)
    }
}

#[derive(Clone, Debug)]
struct Seen {
    job_store: bool,
    alive: bool,
    last_alive: Timestamp,
    last_answered: Timestamp,
    answers: bool,
}

/// Keeps the names of processes that are gone or unreachable for some time.
#[derive(Debug, Default)]
pub struct ProcessHistory {
    seen: BTreeMap<String, Seen>,
}

impl ProcessHistory {
    /// Processes the current membership records. A dead member counts from the last time it was
    /// seen alive; one that was dead when first seen, from then on.
    pub fn update(&mut self, now: Timestamp, records: &[(MemberRecord, u64)]) {
        for seen in self.seen.values_mut() {
            seen.advance_to(now);
        }
        for (record, _) in records {
            let first_seen = Seen {
                job_store: record.data,
                alive: false,
                last_alive: now,
                last_answered: now,
                answers: false,
            };
            let seen = self.seen.entry(record.node.to_string()).or_insert(first_seen);
            seen.job_store = record.data;
            seen.alive = record.state != MemberState::Dead;
            seen.answers = matches!(record.state, MemberState::Alive | MemberState::Leaving);
        }
        // Members still present in the records are kept so that they do not count anew.
        let is_listed = |name: &str| records.iter().any(|(record, _)| record.node.as_str() == name);
        self.seen.retain(|name, seen| seen.counts(now) || is_listed(name));
    }

    /// Returns the names that count now. `has_seeds`: whether peers were configured here.
    pub fn known_processes(&self, now: Timestamp, own: &str, has_seeds: bool) -> KnownProcesses {
        let counting = |job_store: bool| {
            let seen = self.seen.iter();
            let counting = seen.filter(|(_, seen)| seen.job_store == job_store && seen.counts(now));
            counting.map(|(name, _)| name.clone()).collect()
        };
        let has_met = self.seen.iter().any(|(name, seen)| seen.alive && name != own);
        let unresponsive = self.seen.values().filter(|seen| seen.is_unresponsive(now)).count();
        KnownProcesses {
            unresponsive: unresponsive as u32,
            gateways: counting(false),
            job_stores: counting(true),
            joined: has_met || !has_seeds,
        }
    }
}

impl Seen {
    fn advance_to(&mut self, now: Timestamp) {
        if self.alive {
            self.last_alive = now;
        }
        if self.answers {
            self.last_answered = now;
        }
        self.alive = false;
        self.answers = false;
    }

    fn is_unresponsive(&self, now: Timestamp) -> bool {
        !self.answers && now.millis_since(self.last_answered) < UNRESPONSIVE_MS
    }

    fn counts(&self, now: Timestamp) -> bool {
        self.alive || now.millis_since(self.last_alive) < RETENTION_MS
    }
}
