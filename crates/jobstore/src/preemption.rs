//! Selection of the items that are preempted by online requests.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use tokio::time::Instant;
use yokefall_serving::{Backend, BackendIncarnation};

/// Phase of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It occupies a slot.
    Placed,
    /// It was told to release its slot and still occupies it.
    Preempting,
    /// It has released its slot: its end is being recorded, or its item waits for the next run.
    Ended,
}

/// A run of an item as seen by preemption.
#[derive(Clone, Copy, Debug)]
pub struct PlacedRun<'a> {
    /// Its back end.
    pub backend: &'a Backend,
    /// Whether it has produced any output.
    pub has_output: bool,
    /// When it started.
    pub started: Instant,
    /// Its phase.
    pub phase: Phase,
}

/// Positions of the runs to preempt. `online` returns a back end's online requests, `shortfall` the
/// slots a service's items should release in addition to those of overfull back ends.
pub fn preempted(
    runs: &[PlacedRun<'_>],
    online: impl Fn(&Backend) -> u32,
    shortfall: impl Fn(&str) -> usize,
) -> Vec<usize> {
    let mut services: BTreeMap<&str, ServiceRuns> = BTreeMap::new();
    for (position, run) in runs.iter().enumerate() {
        let service = services.entry(&run.backend.service).or_default();
        match run.phase {
            Phase::Placed => {
                service.by_backend.entry(run.backend.incarnation()).or_default().push(position);
            }
            Phase::Preempting => service.preempting += 1,
            // An item that waits for its next run has no slot. If it were counted, its back end
            // would still appear full and another item would be preempted in each pass (97 for one
            // request of 60 ms in the test).
            Phase::Ended => {}
        }
    }
    let mut chosen = Vec::new();
    for (name, service) in services {
        let mut remaining = Vec::new();
        for mut positions in service.by_backend.into_values() {
            let backend = runs[positions[0]].backend;
            let taken = positions.len() as u32 + online(backend);
            let over = taken.saturating_sub(backend.slots) as usize;
            sort_for_preemption(&mut positions, runs);
            remaining.extend(positions.split_off(over.min(positions.len())));
            chosen.extend(positions);
        }
        sort_for_preemption(&mut remaining, runs);
        // Slots that are already being released are not requested again.
        let shortfall = shortfall(name).saturating_sub(service.preempting);
        chosen.extend(remaining.into_iter().take(shortfall));
    }
    chosen
}

#[derive(Debug, Default)]
struct ServiceRuns {
    /// Positions of runs that occupy a slot, by incarnation of the back end.
    by_backend: BTreeMap<BackendIncarnation, Vec<usize>>,
    /// Runs that were told to release their slot and still occupy it.
    preempting: usize,
}

/// The newest with output first; a run without output would have to start over.
fn sort_for_preemption(positions: &mut [usize], runs: &[PlacedRun<'_>]) {
    positions
        .sort_by_key(|position| (!runs[*position].has_output, Reverse(runs[*position].started)));
}
