//! Items release their slots to online requests, and no more of them than needed.

mod support;

use std::time::Duration;

use support::backend;
use tokio::time::Instant;
use yokefall_jobstore::preemption::{preempted, Phase, PlacedRun};
use yokefall_serving::Backend;

const SLOTS: u32 = 8;
/// Interval between two passes, and backoff of a preempted item, as in the runner.
const PASS_INTERVAL: Duration = Duration::from_millis(20);
const RETRY_BACKOFF: Duration = Duration::from_millis(150);

fn run(backend: &Backend, started: Instant, phase: Phase) -> PlacedRun<'_> {
    PlacedRun { backend, has_output: true, started, phase }
}

/// Guards against counting an item that waits for its next run at its back end. After one short
/// online request the back end appeared to have 9 runs for 8 slots, and 1 or 2 items were preempted
/// in every pass, some 150 a second (515 and 757 preempted runs instead of 0 to 24): while a
/// preempted item waited its 150 ms, another took the slot and was preempted next.
#[tokio::test(start_paused = true)]
async fn one_short_request_preempts_one_item() {
    let backend = backend(1, SLOTS);
    let mut runs: Vec<PlacedRun> =
        (0..SLOTS).map(|_| run(&backend, Instant::now(), Phase::Placed)).collect();
    let mut preemptions = 0;
    for pass in 0..100 {
        let now = Instant::now();
        // After its backoff an item waits for a slot like any other.
        runs.retain(|run| run.phase != Phase::Ended || now < run.started + RETRY_BACKOFF);
        let online = u32::from(pass < 3);
        for position in preempted(&runs, |_| online, |_| 0) {
            if runs[position].phase == Phase::Placed {
                preemptions += 1;
                runs[position].phase = Phase::Ended;
                runs[position].started = now;
            }
        }
        let has_slot =
            |runs: &[PlacedRun]| runs.iter().filter(|run| run.phase != Phase::Ended).count();
        while has_slot(&runs) + (online as usize) < SLOTS as usize {
            runs.push(run(&backend, now, Phase::Placed));
        }
        tokio::time::sleep(PASS_INTERVAL).await;
    }
    assert_eq!(preemptions, 1);
}

/// The other effect of the same fault: items that had released their slots were selected again, and
/// online requests got no further slots until the backoff of those items was over.
#[tokio::test(start_paused = true)]
async fn items_that_released_their_slots_are_not_selected_again() {
    let backends = [backend(1, SLOTS), backend(2, SLOTS)];
    let mut runs: Vec<PlacedRun> = Vec::new();
    for number in 0..6 {
        tokio::time::sleep(PASS_INTERVAL).await;
        let phase = if number < 4 { Phase::Placed } else { Phase::Ended };
        runs.push(run(&backends[number % 2], Instant::now(), phase));
    }
    let mut chosen = preempted(&runs, |_| 0, |_| 2);
    chosen.sort_unstable();
    assert_eq!(chosen, [2, 3]);
}

/// A run at another job store takes up to 0.4 s to end; until then its slot counts as released.
#[tokio::test(start_paused = true)]
async fn a_slot_being_released_counts_as_released() {
    let backend = backend(1, SLOTS);
    let mut runs = vec![run(&backend, Instant::now(), Phase::Preempting)];
    runs.extend((1..SLOTS).map(|_| run(&backend, Instant::now(), Phase::Placed)));
    // One online request at a back end with 8 items, and one more slot of the service is needed.
    assert!(preempted(&runs, |_| 1, |_| 0).is_empty());
    assert!(preempted(&runs, |_| 0, |_| 1).is_empty());
    assert_eq!(preempted(&runs, |_| 0, |_| 2).len(), 1);
}

/// Guards against preempting items because runs of an earlier incarnation count at the new one.
#[test]
fn items_at_an_earlier_incarnation_occupy_no_slots_of_the_new_one() {
    let before = backend(1, SLOTS);
    let after = Backend { started_ms: before.started_ms + 1, ..before.clone() };
    let mut runs: Vec<PlacedRun> =
        (0..SLOTS).map(|_| run(&before, Instant::now(), Phase::Placed)).collect();
    runs.push(run(&after, Instant::now(), Phase::Placed));
    let online = |backend: &Backend| u32::from(backend.started_ms == after.started_ms);
    assert!(preempted(&runs, online, |_| 0).is_empty());
}
