//! Which items give their slots to online requests.

use std::cmp::Reverse;
use std::collections::HashMap;

use tokio::time::Instant;
use yokefall_serving::Backend;

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
    online: impl Fn(&str) -> u32,
    lacking: impl Fn(&str) -> usize,
) -> Vec<usize> {
    let mut by_backend: HashMap<&str, Vec<usize>> = HashMap::new();
    for (position, run) in runs.iter().enumerate() {
        by_backend.entry(&run.backend.id).or_default().push(position);
    }
    let mut chosen = Vec::new();
    let mut kept: HashMap<&str, Vec<usize>> = HashMap::new();
    for (id, mut here) in by_backend {
        let backend = runs[here[0]].backend;
        let over = (here.len() as u32 + online(id)).saturating_sub(backend.slots) as usize;
        sort(&mut here, runs);
        let rest = here.split_off(over.min(here.len()));
        chosen.extend(here);
        kept.entry(&backend.service).or_default().extend(rest);
    }
    for (service, mut rest) in kept {
        sort(&mut rest, runs);
        chosen.extend(rest.into_iter().take(lacking(service)));
    }
    chosen
}

/// The run that is preempted first is the newest one with output: one without any would begin anew.
fn sort(positions: &mut [usize], runs: &[PlacedRun<'_>]) {
    positions
        .sort_by_key(|position| (!runs[*position].has_output, Reverse(runs[*position].started)));
}
