//! Per-process quotas for requests to a back end that is not known to be warm.
//!
//! The sum over all processes is bounded without messages: each derives from the same member names
//! which few may send, and each of these sends one request in any second. Differing views cost at
//! most one request a second per difference, which the unused margin covers.

use std::collections::VecDeque;

use yokefall_core::Timestamp;
use yokefall_types::{rendezvous_score, PlacementBounds};

use crate::known_processes::KnownProcesses;
use crate::model::WarmUp;

/// Share of the allowance that stays unused to absorb differing views of processes: five of 27
/// requests a second, by the simulation in `tests/cold.rs`.
const UNUSED_SHARE: f64 = 0.18;
/// Requests a second of an unresponsive process to one back end: it may not know that the back end
/// is cold and sends what it sends to a warm one.
const UNRESPONSIVE_PROCESS_RATE: f64 = 0.25;
/// Share of the allowance that stays usable however many processes are unresponsive, so that the
/// rest are not cut off after a restart of most processes.
const MIN_USED_SHARE: f64 = 0.4;
/// Share of the usable allowance that is reserved for items of jobs, sent by the few job stores.
const ITEM_SHARE: f64 = 0.18;
/// Interval of a quota, in milliseconds: a second, plus 100 ms by which a process short of
/// processor time may write a request after it was permitted.
pub const QUOTA_INTERVAL_MS: u64 = 1_100;

/// Identity of a sending process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SenderId {
    /// Name of the process.
    pub name: String,
    /// Whether it is a job store.
    pub job_store: bool,
}

/// Requests that may be sent to one back end per second, by kind of sender.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allowance {
    /// Requests of all gateways.
    pub gateways: u32,
    /// Items of all job stores.
    pub job_stores: u32,
}

impl Allowance {
    /// The allowance of a cold back end of a service. Without job stores, gateways get all of it.
    pub fn of(bounds: &PlacementBounds, warm_up: &WarmUp, names: &KnownProcesses) -> Self {
        let per_second = warm_up.per_1000_seconds as f64 / 1_000.0;
        let allowed = (per_second * bounds.cold_overage + bounds.cold_slack).floor();
        let unused = (allowed * UNUSED_SHARE).ceil()
            + (f64::from(names.unresponsive) * UNRESPONSIVE_PROCESS_RATE).ceil();
        let least = (allowed * MIN_USED_SHARE).ceil();
        let used = (allowed - unused).max(least) as u32;
        let job_stores = match !names.job_stores.is_empty() && used > 1 {
            true => (f64::from(used) * ITEM_SHARE).ceil() as u32,
            false => 0,
        };
        Self { gateways: used - job_stores, job_stores }
    }
}

/// Requests that a process may send to a back end per `QUOTA_INTERVAL_MS`.
pub fn quota(
    allowance: Allowance,
    names: &KnownProcesses,
    backend: &str,
    sender: &SenderId,
) -> u32 {
    let kind_allowance = match sender.job_store {
        true => allowance.job_stores,
        false => allowance.gateways,
    };
    let score = rendezvous_score(backend.as_bytes());
    let own = (score(&sender.name), sender.name.as_str());
    let others = || names.of_kind(sender.job_store).filter(|name| *name != sender.name);
    let processes = others().count() as u32 + 1;
    if processes < kind_allowance {
        // Reserves a share for one process that is not known here yet.
        return (kind_allowance / (processes + 1)).max(1);
    }
    let before = others().filter(|name| (score(name), *name) > own).count() as u32;
    u32::from(before < kind_allowance)
}

/// Times of the last requests to one back end.
#[derive(Clone, Debug, Default)]
pub struct SendHistory {
    times: VecDeque<Timestamp>,
}

impl SendHistory {
    /// Milliseconds until a process with this quota may send next; 0 for now, `None` for never.
    pub fn wait_ms(&self, now: Timestamp, quota: u32) -> Option<u64> {
        if quota == 0 {
            return None;
        }
        let limiting = self.times.len().checked_sub(quota as usize);
        let Some(oldest) = limiting.and_then(|position| self.times.get(position)) else {
            return Some(0);
        };
        Some(oldest.plus_millis(QUOTA_INTERVAL_MS).millis_since(now))
    }

    /// Records a request.
    pub fn record(&mut self, now: Timestamp) {
        self.times.retain(|at| now.millis_since(*at) < QUOTA_INTERVAL_MS);
        self.times.push_back(now);
    }
}
