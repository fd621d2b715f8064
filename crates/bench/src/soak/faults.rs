//! The schedule of faults: signals, restarts, lost disks and broken links, in series and overlapping.

use std::time::Duration;

use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use super::back_end::Ledger;
use super::fleet::{ProcessFleet, Role};
use super::oracle::Oracle;
use super::proxy::LinkState;
use super::SoakOptions;
use clap::ValueEnum;

/// Least and longest pause between two faults.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 300..3_000;
/// How long a fault lasts.
const FAULT_DURATION_MS: std::ops::Range<u64> = 200..6_000;
/// Time after a lost disk, and without another fault of a job store before one: a job store learns what it
/// lost within this.
const STORE_RECOVERY_TIME: Duration = Duration::from_secs(10);
/// Time without faults at the end, so that jobs are not all cut.
const FAULT_FREE_TAIL: Duration = Duration::from_secs(3);

/// Time within which a back end that has started again under its id gets something while load goes on; news
/// of a catalog file take a second.
const RESTART_REUSE_TIMEOUT: Duration = Duration::from_secs(6);

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum FaultKind {
    /// A process stands still for a while.
    Pause,
    /// A process is killed and started later.
    Kill,
    /// A process is stopped and started.
    Stop,
    /// All processes are killed at once.
    KillAll,
    /// A job store loses its disk.
    LoseDisk,
    /// A link to a back end is slow, silent, closed or cut one way.
    Link,
    /// A back end ends and starts again under its id.
    Restart,
}

/// What is played of a kind where several may be: as often as they always were.
const WEIGHTED_KINDS: [FaultKind; 7] = [
    FaultKind::Pause,
    FaultKind::Pause,
    FaultKind::Kill,
    FaultKind::KillAll,
    FaultKind::LoseDisk,
    FaultKind::Stop,
    FaultKind::Restart,
];

/// What ends a fault.
#[derive(Clone, Copy, Debug)]
enum FaultEnd {
    /// The process is started again.
    Start(usize),
    /// The process goes on.
    Continue(usize),
    /// The link is whole again.
    Heal(usize),
    /// The back end behind a link starts again.
    Restart(usize),
}

/// State of a schedule.
struct Schedule {
    random: StdRng,
    pending_ends: Vec<(Instant, FaultEnd)>,
    /// When a job store was last disturbed.
    last_store_fault: Instant,
    /// Until when no job store may be disturbed.
    recovering_until: Instant,
    /// The kinds that are played.
    kinds: Vec<FaultKind>,
    log: Vec<String>,
}

/// Plays faults until a moment.
pub async fn inject(
    fleet: &mut ProcessFleet,
    oracle: &Oracle,
    ledger: &Ledger,
    options: &SoakOptions,
    until: Instant,
) -> Result<Vec<String>, String> {
    let (began, seed) = (Instant::now(), options.seed);
    let mut schedule = Schedule {
        random: StdRng::seed_from_u64(seed.rotate_left(33)),
        pending_ends: Vec::new(),
        last_store_fault: began,
        recovering_until: began,
        kinds: options.faults.clone(),
        log: Vec::new(),
    };
    let mut next = began + Duration::from_secs(1);
    while Instant::now() < until {
        schedule.end_due_faults(fleet).await?;
        fleet.publish_incarnations()?;
        if Instant::now() >= next && next + FAULT_FREE_TAIL < until {
            let log = schedule.start_fault(fleet, oracle, (ledger, until)).await?;
            let second = began.elapsed().as_secs_f64();
            schedule.log.push(format!("{second:.1} {log}"));
            next = Instant::now() + schedule.draw(FAULT_INTERVAL_MS);
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(schedule.log)
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
                FaultEnd::Start(number) => fleet.start_process(number)?,
                FaultEnd::Continue(number) => fleet.signal(number, Signal::SIGCONT)?,
                FaultEnd::Heal(link) => fleet.links[link].set(LinkState::Normal),
                FaultEnd::Restart(link) => fleet.links[link].restart(),
            }
        }
        Ok(())
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
        let number = self.random.random_range(0..fleet.processes.len());
        let is_store = fleet.processes[number].role == Role::JobStore;
        if is_store && Instant::now() < self.recovering_until {
            return Ok(match allows_link_faults {
                true => self.degrade_link(fleet, until),
                false => "nothing: a job store learns what it lost".to_owned(),
            });
        }
        let is_quiet = self.last_store_fault.elapsed() > STORE_RECOVERY_TIME;
        if is_store {
            self.last_store_fault = until;
        }
        let name = fleet.processes[number].name.clone();
        Ok(match kind {
            FaultKind::Pause => {
                fleet.signal(number, Signal::SIGSTOP)?;
                self.pending_ends.push((until, FaultEnd::Continue(number)));
                format!("{name} stands still for {duration:?}")
            }
            FaultKind::Kill => {
                fleet.kill(number).await?;
                self.pending_ends.push((until, FaultEnd::Start(number)));
                format!("{name} is killed for {duration:?}")
            }
            FaultKind::KillAll => self.kill_all(fleet).await?,
            FaultKind::LoseDisk if is_store && is_quiet => {
                fleet.kill(number).await?;
                fleet.remove_data(number)?;
                self.pending_ends.push((Instant::now(), FaultEnd::Start(number)));
                self.recovering_until = Instant::now() + STORE_RECOVERY_TIME;
                format!("{name} loses its disk")
            }
            _ => {
                // A process that stands still is to go on before it can stop.
                fleet.signal(number, Signal::SIGCONT)?;
                if let Err(violation) = fleet.stop(number).await {
                    oracle.record_violation(violation);
                }
                self.pending_ends.push((Instant::now(), FaultEnd::Start(number)));
                format!("{name} is stopped and started")
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

    /// Ends a back end for a while. Where nothing else is played that keeps requests from it, it is to get
    /// something once it is back.
    fn restart_back_end(
        &mut self,
        fleet: &ProcessFleet,
        (ledger, load_until): (&Ledger, Instant),
        restart_at: Instant,
    ) -> String {
        let link = self.random.random_range(0..fleet.links.len());
        let is_down = |(_, end): &(Instant, FaultEnd)| matches!(end, FaultEnd::Restart(held) | FaultEnd::Heal(held) if *held == link);
        if self.pending_ends.iter().any(is_down) {
            return format!("nothing: back end {link} is disturbed already");
        }
        fleet.links[link].set(LinkState::Refused);
        self.pending_ends.push((restart_at, FaultEnd::Restart(link)));
        let due = restart_at + RESTART_REUSE_TIMEOUT;
        if self.kinds == [FaultKind::Restart] && due < load_until {
            ledger.expect_arrival(format!("model-{link}"), restart_at, due);
        }
        format!("back end {link} starts again under its id")
    }

    async fn kill_all(&mut self, fleet: &mut ProcessFleet) -> Result<String, String> {
        for number in 0..fleet.processes.len() {
            fleet.kill(number).await?;
            let restart_at = Instant::now() + self.draw(0..1_000);
            self.pending_ends.push((restart_at, FaultEnd::Start(number)));
        }
        self.last_store_fault = Instant::now();
        Ok("all processes are killed".to_owned())
    }
}
