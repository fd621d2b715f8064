//! Which items give their slots to online requests.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use tokio::time::Instant;
use yokefall_serving::{Backend, BackendIncarnation};

/// Where a run stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It has a slot.
    Placed,
    /// It was told to give its slot back and still has it.
    Leaving,
    /// It has given its slot back: its end is recorded, or its item rests before the next run.
    Ended,
}

/// A run of an item as preemption sees it.
#[derive(Clone, Copy, Debug)]
pub struct PlacedRun<'a> {
    /// Its back end.
    pub backend: &'a Backend,
    /// Whether it has given any output.
    pub has_output: bool,
    /// When it started.
    pub started: Instant,
    /// Where it stands.
    pub phase: Phase,
}

/// Positions of the runs to be preempted. `online` gives the online requests at a back end, `lacking`
/// the slots that the items of a service should give back beside those of full back ends.
pub fn preempted(
    runs: &[PlacedRun<'_>],
    online: impl Fn(&Backend) -> u32,
    lacking: impl Fn(&str) -> usize,
) -> Vec<usize> {
    let mut services: BTreeMap<&str, ServiceRuns> = BTreeMap::new();
    for (position, run) in runs.iter().enumerate() {
        let service = services.entry(&run.backend.service).or_default();
        match run.phase {
            Phase::Placed => {
                service.by_backend.entry(run.backend.incarnation()).or_default().push(position);
            }
            Phase::Leaving => service.leaving += 1,
            // An item that rests has no slot: if it counted, its back end would stay full, and another
            // item would be preempted in each pass (97 for one request of 60 ms in the test).
            Phase::Ended => {}
        }
    }
    let mut chosen = Vec::new();
    for (name, service) in services {
        let mut rest = Vec::new();
        for mut here in service.by_backend.into_values() {
            let backend = runs[here[0]].backend;
            let taken = here.len() as u32 + online(backend);
            let over = taken.saturating_sub(backend.slots) as usize;
            sort(&mut here, runs);
            rest.extend(here.split_off(over.min(here.len())));
            chosen.extend(here);
        }
        sort(&mut rest, runs);
        // Slots that are on their way back are not asked for again.
        let lacking = lacking(name).saturating_sub(service.leaving);
        chosen.extend(rest.into_iter().take(lacking));
    }
    chosen
}

/// Runs of one service.
#[derive(Debug, Default)]
struct ServiceRuns {
    /// Positions of those that have a slot and may lose it, by the life at which it is.
    by_backend: BTreeMap<BackendIncarnation, Vec<usize>>,
    /// Runs that were told to give their slot back and still have it.
    leaving: usize,
}

/// The run that is preempted first is the newest one with output: one without any would begin anew.
fn sort(positions: &mut [usize], runs: &[PlacedRun<'_>]) {
    positions
        .sort_by_key(|position| (!runs[*position].has_output, Reverse(runs[*position].started)));
}
