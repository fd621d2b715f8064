//! Names of the processes that were heard of lately, dead or alive.
//!
//! Whoever works out a share from who else there is must count those too that it cannot reach: they may go on.

use std::collections::BTreeMap;

use yokefall_core::membership::{MemberRecord, MemberState};
use yokefall_core::Timestamp;

/// Time for which a process counts that is not heard of as alive any more, in milliseconds: as long as membership
/// remembers the dead. In a cut that lasts longer, both sides take all shares.
const REMEMBERED_MS: u64 = 600_000;

/// Time for which a process counts as lost, in milliseconds: it takes 2.5 s to be told dead, and knows after another
/// 5 s that its news of the platform are old (`placement.evacuation_ms` as deployments have it).
const LOST_MS: u64 = 8_000;

/// Names of processes, this one's own among them once membership runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KnownProcesses {
    /// Gateways.
    pub gateways: Vec<String>,
    /// Job stores.
    pub job_stores: Vec<String>,
    /// How many of them do not answer since a while: cut off, they may not know yet what the others know.
    pub unresponsive: u32,
    /// Whether this process has met others, or knows that there are none: before, the names say nothing.
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
struct Heard {
    job_store: bool,
    alive: bool,
    last_alive: Timestamp,
    /// When it last answered, as far as known.
    last_answered: Timestamp,
    answers: bool,
}

/// Remembers names.
#[derive(Debug, Default)]
pub struct ProcessHistory {
    heard: BTreeMap<String, Heard>,
}

impl ProcessHistory {
    /// Takes the records that membership holds now. One that is dead counts from when it was last heard of alive;
    /// one that was dead from the start, from when it was heard of.
    pub fn update(&mut self, now: Timestamp, records: &[(MemberRecord, u64)]) {
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
        // Those that membership still tells of are kept, so that they do not count anew.
        let told = |name: &str| records.iter().any(|(record, _)| record.node.as_str() == name);
        self.heard.retain(|name, heard| heard.counts(now) || told(name));
    }

    /// The names that count now. `has_seeds` is whether this process was told of others at its start.
    pub fn known_processes(&self, now: Timestamp, own: &str, has_seeds: bool) -> KnownProcesses {
        let counting = |job_store: bool| {
            let heard = self.heard.iter();
            let counting =
                heard.filter(|(_, heard)| heard.job_store == job_store && heard.counts(now));
            counting.map(|(name, _)| name.clone()).collect()
        };
        let has_met = self.heard.iter().any(|(name, heard)| heard.alive && name != own);
        let unresponsive = self.heard.values().filter(|heard| heard.is_lost(now)).count();
        KnownProcesses {
            unresponsive: unresponsive as u32,
            gateways: counting(false),
            job_stores: counting(true),
            joined: has_met || !has_seeds,
        }
    }
}

impl Heard {
    /// Until now it was as it is noted.
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
