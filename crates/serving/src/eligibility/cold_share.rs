//! How much each process may send to a back end that is not known to be warm.
//!
//! No message is exchanged: the sum over all processes is bounded, because each works out from the same names which
//! few may send, and each of these sends one request in any second. What processes see differently costs at most
//! one request a second for each difference, which the margin is for.

use std::collections::VecDeque;

use yokefall_core::Timestamp;
use yokefall_types::{rendezvous_score, PlacementBounds};

use crate::known_processes::KnownProcesses;
use crate::model::WarmUp;

/// Part of what is allowed that nobody uses. It bears processes whose views differ: of 27 requests a second, five.
/// From the model (`tests/cold.rs`).
const MARGIN: f64 = 0.18;
/// Requests a second to one back end of a process that is lost: it may not know that the back end is cold, and sends
/// what it sends to a warm one.
const OF_LOST: f64 = 0.25;
/// Part of what is allowed that is used however many are lost: after a restart of most they aren't cut off.
const LEAST_USED: f64 = 0.4;
/// Part of the rest that is for items of jobs, which the few job stores send.
const ITEM_SHARE: f64 = 0.18;
/// Time in which a process sends its part, in milliseconds: a second, and 100 ms by which one that is short of
/// processor time may write a request later than it was permitted to.
pub const SHARE_INTERVAL_MS: u64 = 1_100;

/// Who is asked about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SenderId {
    /// Name of the process.
    pub name: String,
    /// Whether it keeps jobs.
    pub job_store: bool,
}

/// Requests that may go to one back end in one second, by who sends them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allowance {
    /// Requests of all gateways.
    pub gateways: u32,
    /// Items of all job stores.
    pub job_stores: u32,
}

impl Allowance {
    /// What a cold back end of a service may get. Where there are no job stores, gateways have it all.
    pub fn of(bounds: &PlacementBounds, warm_up: &WarmUp, names: &KnownProcesses) -> Self {
        let per_second = warm_up.per_1000_seconds as f64 / 1_000.0;
        let allowed = (per_second * bounds.cold_overage + bounds.cold_slack).floor();
        let unused = (allowed * MARGIN).ceil() + (f64::from(names.unresponsive) * OF_LOST).ceil();
        let least = (allowed * LEAST_USED).ceil();
        let used = (allowed - unused).max(least) as u32;
        let job_stores = match !names.job_stores.is_empty() && used > 1 {
            true => (f64::from(used) * ITEM_SHARE).ceil() as u32,
            false => 0,
        };
        Self { gateways: used - job_stores, job_stores }
    }
}

/// Requests that a process may send to a back end in `SHARE_INTERVAL_MS`.
pub fn quota(
    allowance: Allowance,
    names: &KnownProcesses,
    backend: &str,
    sender: &SenderId,
) -> u32 {
    let part = match sender.job_store {
        true => allowance.job_stores,
        false => allowance.gateways,
    };
    let score = rendezvous_score(backend.as_bytes());
    let own = (score(&sender.name), sender.name.as_str());
    let others = || names.of_kind(sender.job_store).filter(|name| *name != sender.name);
    let processes = others().count() as u32 + 1;
    if processes < part {
        // As if there were one more: one that is not known here yet has its part as well.
        return (part / (processes + 1)).max(1);
    }
    let before = others().filter(|name| (score(name), *name) > own).count() as u32;
    u32::from(before < part)
}

/// Last sends to one back end.
#[derive(Clone, Debug, Default)]
pub struct Sends {
    times: VecDeque<Timestamp>,
}

impl Sends {
    /// Milliseconds until a process that may send `quota` in an interval may send the next; 0 for now and `None`
    /// for never.
    pub fn wait_ms(&self, now: Timestamp, quota: u32) -> Option<u64> {
        if quota == 0 {
            return None;
        }
        let counting = self.times.len().checked_sub(quota as usize);
        let Some(oldest) = counting.and_then(|position| self.times.get(position)) else {
            return Some(0);
        };
        Some(oldest.plus_millis(SHARE_INTERVAL_MS).millis_since(now))
    }

    /// A request is sent.
    pub fn note(&mut self, now: Timestamp) {
        self.times.retain(|at| now.millis_since(*at) < SHARE_INTERVAL_MS);
        self.times.push_back(now);
    }
}
