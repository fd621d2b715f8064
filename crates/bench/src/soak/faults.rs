//! Schedule of faults, which may overlap: signals, restarts, lost disks and link faults.

use std::time::Duration;

use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use super::back_end::Ledger;
use super::fleet::{ProcessFleet, Role};
use super::oracle::Oracle;
use super::planned_work::PlannedWork;
use super::proxy::LinkState;
use super::SoakOptions;
use clap::ValueEnum;

const FAULT_INTERVAL_MS: std::ops::Range<u64> = 300..3_000;
const FAULT_DURATION_MS: std::ops::Range<u64> = 200..6_000;
/// Time from the begin of planned work to the next fault, which is one of a job store.
const FAULT_BESIDE_WORK_MS: std::ops::Range<u64> = 0..300;
/// Time in which a job store recovers the state of a lost disk from the others and no job store
/// gets another fault. No disk is lost within this time of another fault of a job store.
const STORE_RECOVERY_TIME: Duration = Duration::from_secs(10);
/// Time at the end in which no fault is started, so that faults do not cut off all jobs.
const FAULT_FREE_TAIL: Duration = Duration::from_secs(3);

/// Number of waves of crashes in a series, the interval between them, and how long a crashed back
/// end is down: an item that is sent again at once meets several.
const CRASH_WAVES: std::ops::Range<u64> = 3..6;
const CRASH_WAVE_INTERVAL: Duration = Duration::from_millis(400);
const CRASH_DURATION: Duration = Duration::from_millis(400);

/// Time limit for a back end that was restarted under its id to receive a request while load
/// continues; changes of the catalog file are picked up within one second.
const RESTART_REUSE_TIMEOUT: Duration = Duration::from_secs(6);

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum FaultKind {
    /// A process is suspended (`SIGSTOP`) and resumed later.
    Pause,
    /// A process is killed and restarted later.
    Kill,
    /// A process is stopped gracefully and restarted.
    Stop,
    /// All processes are killed at the same time.
    KillAll,
    /// A job store loses its disk.
    LoseDisk,
    /// A link to a back end is slow, silent, closed or passes one direction only.
    Link,
    /// A back end crashes and restarts under the same id.
    Restart,
    /// Back ends crash in several waves, a third of them each time, whatever they run.
    CrashWaves,
    /// A back end is replaced, at its address, by one of another software version.
    Release,
    /// The route of some jobs is removed, replaced or restored.
    Routes,
    /// The machine of a job store is retired and removed once that is completed.
    Retire,
    /// A job store on a new machine takes the place of one that is stopped for good.
    Replace,
    /// A machine with a job store is added.
    Add,
}

/// Kinds other than link faults and planned work, drawn with equal probability; repeated kinds weigh more.
const WEIGHTED_KINDS: [FaultKind; 11] = [
    FaultKind::Pause,
    FaultKind::Pause,
    FaultKind::Kill,
    FaultKind::KillAll,
    FaultKind::LoseDisk,
    FaultKind::Stop,
    FaultKind::Restart,
    FaultKind::CrashWaves,
    FaultKind::Release,
    FaultKind::Routes,
    FaultKind::Routes,
];

/// Action that ends a fault or continues it: at a process for `Start` and `Continue`, at a link for
/// the others.
#[derive(Clone, Copy, Debug)]
enum FaultEnd {
    CrashWave,
    Start(usize),
    Continue(usize),
    Heal(usize),
    Restart(usize),
    Release(usize),
}

struct Schedule {
    random: StdRng,
    pending_ends: Vec<(Instant, FaultEnd)>,
    /// End of the last fault of a job store, or time at which all processes were last killed.
    last_store_fault: Instant,
    /// No job store gets a fault before this time.
    recovering_until: Instant,
    planned_work: PlannedWork,
    /// Whether the next fault is one of a job store, beside planned work that has just begun.
    is_beside_work: bool,
    kinds: Vec<FaultKind>,
    /// Descriptions of the faults, each with its time in seconds.
    log: Vec<String>,
}

/// Injects faults until `until`; returns their descriptions and the planned work.
pub async fn inject(
    fleet: &mut ProcessFleet,
    oracle: &Oracle,
    ledger: &Ledger,
    options: &SoakOptions,
    until: Instant,
) -> Result<(Vec<String>, PlannedWork), String> {
    let (started, seed) = (Instant::now(), options.seed);
    let mut schedule = Schedule {
        random: StdRng::seed_from_u64(seed.rotate_left(33)),
        pending_ends: Vec::new(),
        last_store_fault: started,
        recovering_until: started,
        planned_work: PlannedWork::new(seed, &options.faults, started),
        is_beside_work: false,
        kinds: options.faults.clone(),
        log: Vec::new(),
    };
    let mut next = started + Duration::from_secs(1);

    while Instant::now() < until {
        schedule.end_due_faults(fleet).await?;
        fleet.publish_incarnations()?;
        if Instant::now() >= next && next + FAULT_FREE_TAIL < until {
            let log = schedule.start_fault(fleet, oracle, (ledger, until)).await?;
            let seconds = started.elapsed().as_secs_f64();
            schedule.log.push(format!("{seconds:.1} {log}"));
            next = Instant::now() + schedule.draw(FAULT_INTERVAL_MS);
        }
        if schedule.advance_planned_work(fleet, oracle, until).await? {
            next = Instant::now() + schedule.draw(FAULT_BESIDE_WORK_MS);
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let Schedule { planned_work, log, .. } = schedule;
    Ok((log, planned_work))
}

impl Schedule {
    fn draw(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range))
    }

    async fn end_due_faults(&mut self, fleet: &mut ProcessFleet) -> Result<(), String> {
        let now = Instant::now();
        let (due, later) = self.pending_ends.iter().partition(|(at, _)| *at <= now);
        self.pending_ends = later;
        let due: Vec<(Instant, FaultEnd)> = due;
        for (_, end) in due {
            match end {
                FaultEnd::CrashWave => self.crash_some(fleet),
                FaultEnd::Start(number) => fleet.start_process(number)?,
                FaultEnd::Continue(number) => fleet.signal(number, Signal::SIGCONT)?,
                FaultEnd::Heal(link) => fleet.links[link].set(LinkState::Normal),
                FaultEnd::Restart(link) => fleet.links[link].restart(),
                FaultEnd::Release(link) => fleet.links[link].release(),
            }
        }
        Ok(())
    }

    /// Begins and continues planned work; returns whether some began. The disk of a replaced
    /// machine is lost like any other.
    async fn advance_planned_work(
        &mut self,
        fleet: &mut ProcessFleet,
        oracle: &Oracle,
        until: Instant,
    ) -> Result<bool, String> {
        let now = Instant::now();
        let may_begin = now + FAULT_FREE_TAIL < until;
        let may_lose_disk =
            now >= self.recovering_until && self.last_store_fault + STORE_RECOVERY_TIME < now;
        let done = self.planned_work.advance(fleet, oracle, may_begin, may_lose_disk).await?;
        if done.has_lost_disk {
            self.recovering_until = now + STORE_RECOVERY_TIME;
        }
        self.log.extend(done.log);
        self.is_beside_work |= done.has_begun;
        Ok(done.has_begun)
    }

    async fn start_fault(
        &mut self,
        fleet: &mut ProcessFleet,
        oracle: &Oracle,
        (ledger, load_until): (&Ledger, Instant),
    ) -> Result<String, String> {
        let duration = self.draw(FAULT_DURATION_MS);
        let until = Instant::now() + duration;
        let allows_link_faults = self.kinds.contains(&FaultKind::Link);
        let candidates: Vec<FaultKind> =
            WEIGHTED_KINDS.into_iter().filter(|kind| self.kinds.contains(kind)).collect();
        if allows_link_faults && (candidates.is_empty() || self.random.random_range(0..4) == 0) {
            return Ok(self.degrade_link(fleet, until));
        }
        let kind = candidates[self.random.random_range(0..candidates.len())];
        if kind == FaultKind::Restart {
            return Ok(self.restart_back_end(fleet, (ledger, load_until), until));
        }
        if kind == FaultKind::CrashWaves {
            return Ok(self.schedule_crash_waves());
        }
        if kind == FaultKind::Release {
            return Ok(self.release_back_end(fleet, until));
        }
        if kind == FaultKind::Routes {
            return self.change_route(fleet, oracle);
        }
        let present = match std::mem::take(&mut self.is_beside_work) {
            true => fleet.present_job_stores(),
            false => fleet.present(),
        };
        let number = present[self.random.random_range(0..present.len())];
        let is_store = fleet.processes[number].role == Role::JobStore;
        if is_store && Instant::now() < self.recovering_until {
            return Ok(match allows_link_faults {
                true => self.degrade_link(fleet, until),
                false => "nothing: a job store is still recovering a lost disk".to_owned(),
            });
        }
        let no_recent_store_fault = self.last_store_fault.elapsed() > STORE_RECOVERY_TIME;
        if is_store {
            self.last_store_fault = until;
        }
        let name = fleet.processes[number].name.clone();
        Ok(match kind {
            FaultKind::Pause => {
                fleet.signal(number, Signal::SIGSTOP)?;
                self.pending_ends.push((until, FaultEnd::Continue(number)));
                format!("{name} is suspended for {duration:?}")
            }
            FaultKind::Kill => {
                fleet.kill(number).await?;
                self.pending_ends.push((until, FaultEnd::Start(number)));
                format!("{name} is killed for {duration:?}")
            }
            FaultKind::KillAll => self.kill_all(fleet).await?,
            FaultKind::LoseDisk if is_store && no_recent_store_fault => {
                fleet.kill(number).await?;
                fleet.remove_data(number)?;
                self.pending_ends.push((Instant::now(), FaultEnd::Start(number)));
                self.recovering_until = Instant::now() + STORE_RECOVERY_TIME;
                format!("{name} loses its disk")
            }
            _ => {
                // A suspended process must be resumed before it can stop.
                fleet.signal(number, Signal::SIGCONT)?;
                if let Err(violation) = fleet.stop(number).await {
                    oracle.record_violation(violation);
                }
                self.pending_ends.push((Instant::now(), FaultEnd::Start(number)));
                format!("{name} is stopped and restarted")
            }
        })
    }

    fn degrade_link(&mut self, fleet: &ProcessFleet, until: Instant) -> String {
        let link = self.random.random_range(0..fleet.links.len());
        let states = [LinkState::Slow, LinkState::Silent, LinkState::OneWay, LinkState::Closed];
        let state = states[self.random.random_range(0..states.len())];
        fleet.links[link].set(state);
        self.pending_ends.push((until, FaultEnd::Heal(link)));
        format!("link {link} is {state:?}")
    }

    /// Crashes a back end until `restart_at`. If restarts are the only kind of fault, so that
    /// nothing else keeps requests from it, it must receive a request once it is back.
    fn restart_back_end(
        &mut self,
        fleet: &ProcessFleet,
        (ledger, load_until): (&Ledger, Instant),
        restart_at: Instant,
    ) -> String {
        let link = self.random.random_range(0..fleet.links.len());
        if self.has_link_fault(link) {
            return format!("nothing: back end {link} already has a fault");
        }
        fleet.links[link].set(LinkState::Refused);
        self.pending_ends.push((restart_at, FaultEnd::Restart(link)));
        let due = restart_at + RESTART_REUSE_TIMEOUT;
        if self.kinds == [FaultKind::Restart] && due < load_until {
            ledger.expect_arrival(format!("model-{link}"), restart_at, due);
        }
        format!("back end {link} restarts under its id")
    }

    fn change_route(
        &mut self,
        fleet: &mut ProcessFleet,
        oracle: &Oracle,
    ) -> Result<String, String> {
        let route = fleet.changing_route().draw_other(&mut self.random);
        fleet.change_route(route)?;
        oracle.record_route(route.has_batch());
        Ok(format!("the route of some jobs is {route:?}"))
    }

    fn schedule_crash_waves(&mut self) -> String {
        let waves = self.random.random_range(CRASH_WAVES);
        for number in 0..waves as u32 {
            let at = Instant::now() + CRASH_WAVE_INTERVAL * number;
            self.pending_ends.push((at, FaultEnd::CrashWave));
        }
        format!("back ends crash in {waves} waves")
    }

    /// Crashes a third of the back ends, at least one, unless they have another fault.
    fn crash_some(&mut self, fleet: &ProcessFleet) {
        let count = fleet.links.len().div_ceil(3);
        for link in rand::seq::index::sample(&mut self.random, fleet.links.len(), count) {
            if !self.has_link_fault(link) {
                fleet.links[link].set(LinkState::Refused);
                self.pending_ends.push((Instant::now() + CRASH_DURATION, FaultEnd::Restart(link)));
            }
        }
    }

    fn has_link_fault(&self, link: usize) -> bool {
        self.pending_ends.iter().any(|(_, end)| match end {
            FaultEnd::Restart(faulty) | FaultEnd::Release(faulty) | FaultEnd::Heal(faulty) => {
                *faulty == link
            }
            FaultEnd::CrashWave | FaultEnd::Start(_) | FaultEnd::Continue(_) => false,
        })
    }

    /// Ends a back end, which another one of the next software version replaces at `released_at`.
    fn release_back_end(&mut self, fleet: &ProcessFleet, released_at: Instant) -> String {
        let link = self.random.random_range(0..fleet.links.len());
        if self.has_link_fault(link) {
            return format!("nothing: back end {link} already has a fault");
        }
        fleet.links[link].set(LinkState::Refused);
        self.pending_ends.push((released_at, FaultEnd::Release(link)));
        format!("back end {link} is replaced by one of another software version")
    }

    async fn kill_all(&mut self, fleet: &mut ProcessFleet) -> Result<String, String> {
        for number in fleet.present() {
            fleet.kill(number).await?;
            let restart_at = Instant::now() + self.draw(0..1_000);
            self.pending_ends.push((restart_at, FaultEnd::Start(number)));
        }
        self.last_store_fault = Instant::now();
        Ok("all processes are killed".to_owned())
    }
}
