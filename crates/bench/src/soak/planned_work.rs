//! Planned work on job stores beside the faults: retirements, replacements and additions, one at a
//! time, on a schedule that follows from the seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use super::faults::FaultKind;
use super::fleet::ProcessFleet;
use super::oracle::Oracle;

const WORK_INTERVAL_MS: std::ops::Range<u64> = 1_000..6_000;
/// Time for a new machine to catch up before the one that it replaces is stopped.
const CATCH_UP_TIME: Duration = Duration::from_millis(4_700);
/// Time limit for a retirement once all faults have ended.
const RETIREMENT_TIMEOUT: Duration = Duration::from_secs(12);
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Number of job stores below which none is retired, and above which none is added.
const MIN_JOB_STORES: usize = 2;
const MAX_JOB_STORES: usize = 6;

/// Work that has begun and is not completed.
#[derive(Clone, Copy, Debug)]
enum OpenWork {
    /// A job store is being retired.
    Retirement(usize),
    /// A job store is stopped for good at this time.
    Replacement { old: usize, stop_at: Instant },
}

/// What a step of planned work has done.
#[derive(Debug, Default)]
pub struct Advance {
    /// Descriptions of what began or ended.
    pub log: Vec<String>,
    /// Whether work has begun.
    pub has_begun: bool,
    /// Whether a machine was removed together with a disk that nobody had emptied.
    pub has_lost_disk: bool,
}

pub struct PlannedWork {
    random: StdRng,
    kinds: Vec<FaultKind>,
    started: Instant,
    next: Instant,
    open: Option<OpenWork>,
}

impl PlannedWork {
    /// Plans those of `kinds` that are planned work.
    pub fn new(seed: u64, kinds: &[FaultKind], started: Instant) -> Self {
        let is_planned = |kind: &&FaultKind| {
            matches!(kind, FaultKind::Retire | FaultKind::Replace | FaultKind::Add)
        };
        let mut work = Self {
            random: StdRng::seed_from_u64(seed.rotate_left(17)),
            kinds: kinds.iter().filter(is_planned).copied().collect(),
            started,
            next: started,
            open: None,
        };
        work.schedule_next();
        work
    }

    fn schedule_next(&mut self) {
        let pause = self.random.random_range(WORK_INTERVAL_MS);
        self.next = Instant::now() + Duration::from_millis(pause);
    }

    fn describe(&self, text: String) -> String {
        format!("{:.1} {text}", self.started.elapsed().as_secs_f64())
    }

    /// Begins work that is due, and completes work that can be.
    pub async fn advance(
        &mut self,
        fleet: &mut ProcessFleet,
        oracle: &Oracle,
        may_begin: bool,
        may_lose_disk: bool,
    ) -> Result<Advance, String> {
        let mut done = Advance::default();
        match self.open {
            Some(OpenWork::Retirement(number)) if fleet.is_retired(number) => {
                fleet.remove(number).await?;
                let name = &fleet.processes[number].name;
                done.log.push(self.describe(format!("{name} is retired and removed")));
                self.complete();
            }
            Some(OpenWork::Replacement { old, stop_at })
                if Instant::now() >= stop_at && may_lose_disk =>
            {
                self.stop_for_good(fleet, oracle, old).await?;
                done.has_lost_disk = true;
                let name = &fleet.processes[old].name;
                done.log.push(self.describe(format!("{name} is stopped for good")));
                self.complete();
            }
            Some(_) => {}
            None if may_begin && Instant::now() >= self.next => {
                let text = self.begin(fleet)?;
                done.has_begun = text.is_some();
                done.log.extend(text.map(|text| self.describe(text)));
            }
            None => {}
        }
        Ok(done)
    }

    fn complete(&mut self) {
        self.open = None;
        self.schedule_next();
    }

    async fn stop_for_good(
        &self,
        fleet: &mut ProcessFleet,
        oracle: &Oracle,
        number: usize,
    ) -> Result<(), String> {
        // A suspended process must be resumed before it can stop.
        fleet.signal(number, nix::sys::signal::Signal::SIGCONT)?;
        if let Err(violation) = fleet.stop(number).await {
            oracle.record_violation(violation);
        }
        fleet.remove(number).await
    }

    fn begin(&mut self, fleet: &mut ProcessFleet) -> Result<Option<String>, String> {
        self.schedule_next();
        let stores = fleet.present_job_stores();
        if self.kinds.is_empty() {
            return Ok(None);
        }
        let kind = self.kinds[self.random.random_range(0..self.kinds.len())];
        let number = stores[self.random.random_range(0..stores.len())];
        let name = fleet.processes[number].name.clone();
        match kind {
            FaultKind::Retire if stores.len() > MIN_JOB_STORES => {
                fleet.retire(number)?;
                self.open = Some(OpenWork::Retirement(number));
                Ok(Some(format!("{name} is to be retired")))
            }
            FaultKind::Replace if stores.len() < MAX_JOB_STORES => {
                let new = fleet.add_job_store()?;
                let stop_at = Instant::now() + CATCH_UP_TIME;
                self.open = Some(OpenWork::Replacement { old: number, stop_at });
                Ok(Some(format!("{} is added to replace {name}", fleet.processes[new].name)))
            }
            _ if stores.len() < MAX_JOB_STORES && self.kinds.contains(&FaultKind::Add) => {
                let new = fleet.add_job_store()?;
                Ok(Some(format!("{} is added", fleet.processes[new].name)))
            }
            _ => Ok(None),
        }
    }

    /// Waits until a retirement in progress is completed; all faults must have ended.
    pub async fn finish(mut self, fleet: &mut ProcessFleet, oracle: &Oracle) -> Result<(), String> {
        let Some(OpenWork::Retirement(number)) = self.open else { return Ok(()) };
        let until = Instant::now() + RETIREMENT_TIMEOUT;
        while Instant::now() < until {
            self.advance(fleet, oracle, false, false).await?;
            if self.open.is_none() {
                return Ok(());
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        let name = &fleet.processes[number].name;
        oracle.record_violation(format!(
            "the retirement of {name} is not completed {RETIREMENT_TIMEOUT:?} after the last fault"
        ));
        Ok(())
    }
}
