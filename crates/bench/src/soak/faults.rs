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
const PAUSE_MS: std::ops::Range<u64> = 300..3_000;
/// How long a fault lasts.
const LENGTH_MS: std::ops::Range<u64> = 200..6_000;
/// Time after a lost disk, and without another fault of a job store before one: a job store learns what it
/// lost within this.
const LEARNING_TIME: Duration = Duration::from_secs(10);
/// Time without faults at the end, so that jobs are not all cut.
const CALM_END: Duration = Duration::from_secs(3);

/// Time within which a back end that has started again under its id gets something while load goes on; news
/// of a catalog file take a second.
const RETURN_TIME: Duration = Duration::from_secs(6);

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
const DRAWN: [FaultKind; 7] = [
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
enum End {
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
    ends: Vec<(Instant, End)>,
    /// When a job store was last disturbed.
    disturbed_at: Instant,
    /// Until when no job store may be disturbed.
    learning_until: Instant,
    /// The kinds that are played.
    kinds: Vec<FaultKind>,
    told: Vec<String>,
}

/// Plays faults until a moment.
pub async fn play(
    fleet: &mut ProcessFleet,
    oracle: &Oracle,
    ledger: &Ledger,
    options: &SoakOptions,
    until: Instant,
) -> Result<Vec<String>, String> {
    let (began, seed) = (Instant::now(), options.seed);
    let mut schedule = Schedule {
        random: StdRng::seed_from_u64(seed.rotate_left(33)),
        ends: Vec::new(),
        disturbed_at: began,
        learning_until: began,
        kinds: options.faults.clone(),
        told: Vec::new(),
    };
    let mut next = began + Duration::from_secs(1);
    while Instant::now() < until {
        schedule.end_due(fleet).await?;
        fleet.tell_lives()?;
        if Instant::now() >= next && next + CALM_END < until {
            let told = schedule.begin(fleet, oracle, (ledger, until)).await?;
            let second = began.elapsed().as_secs_f64();
            schedule.told.push(format!("{second:.1} {told}"));
            next = Instant::now() + schedule.draw(PAUSE_MS);
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(schedule.told)
}

impl Schedule {
    fn draw(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range))
    }

    async fn end_due(&mut self, fleet: &mut ProcessFleet) -> Result<(), String> {
        let now = Instant::now();
        let (due, later) = self.ends.iter().partition(|(at, _)| *at <= now);
        self.ends = later;
        let due: Vec<(Instant, End)> = due;
        for (_, end) in due {
            match end {
                End::Start(number) => fleet.start_process(number)?,
                End::Continue(number) => fleet.signal(number, Signal::SIGCONT)?,
                End::Heal(link) => fleet.links[link].set(LinkState::Whole),
                End::Restart(link) => fleet.links[link].start_again(),
            }
        }
        Ok(())
    }

    async fn begin(
        &mut self,
        fleet: &mut ProcessFleet,
        oracle: &Oracle,
        (ledger, load_ends): (&Ledger, Instant),
    ) -> Result<String, String> {
        let length = self.draw(LENGTH_MS);
        let until = Instant::now() + length;
        let plays_links = self.kinds.contains(&FaultKind::Link);
        let drawn: Vec<FaultKind> =
            DRAWN.into_iter().filter(|kind| self.kinds.contains(kind)).collect();
        if plays_links && (drawn.is_empty() || self.random.random_range(0..4) == 0) {
            return Ok(self.disturb_link(fleet, until));
        }
        let kind = drawn[self.random.random_range(0..drawn.len())];
        if kind == FaultKind::Restart {
            return Ok(self.restart_back_end(fleet, (ledger, load_ends), until));
        }
        let number = self.random.random_range(0..fleet.processes.len());
        let is_store = fleet.processes[number].role == Role::JobStore;
        if is_store && Instant::now() < self.learning_until {
            return Ok(match plays_links {
                true => self.disturb_link(fleet, until),
                false => "nothing: a job store learns what it lost".to_owned(),
            });
        }
        let is_calm = self.disturbed_at.elapsed() > LEARNING_TIME;
        if is_store {
            self.disturbed_at = until;
        }
        let name = fleet.processes[number].name.clone();
        Ok(match kind {
            FaultKind::Pause => {
                fleet.signal(number, Signal::SIGSTOP)?;
                self.ends.push((until, End::Continue(number)));
                format!("{name} stands still for {length:?}")
            }
            FaultKind::Kill => {
                fleet.kill(number).await?;
                self.ends.push((until, End::Start(number)));
                format!("{name} is killed for {length:?}")
            }
            FaultKind::KillAll => self.kill_all(fleet).await?,
            FaultKind::LoseDisk if is_store && is_calm => {
                fleet.kill(number).await?;
                fleet.wipe(number)?;
                self.ends.push((Instant::now(), End::Start(number)));
                self.learning_until = Instant::now() + LEARNING_TIME;
                format!("{name} loses its disk")
            }
            _ => {
                // A process that stands still is to go on before it can stop.
                fleet.signal(number, Signal::SIGCONT)?;
                if let Err(broken) = fleet.stop(number).await {
                    oracle.violated(broken);
                }
                self.ends.push((Instant::now(), End::Start(number)));
                format!("{name} is stopped and started")
            }
        })
    }

    fn disturb_link(&mut self, fleet: &ProcessFleet, until: Instant) -> String {
        let link = self.random.random_range(0..fleet.links.len());
        let states = [LinkState::Slow, LinkState::Silent, LinkState::OneWay, LinkState::Closed];
        let state = states[self.random.random_range(0..states.len())];
        fleet.links[link].set(state);
        self.ends.push((until, End::Heal(link)));
        format!("link {link} is {state:?}")
    }

    /// Ends a back end for a while. Where nothing else is played that keeps requests from it, it is to get
    /// something once it is back.
    fn restart_back_end(
        &mut self,
        fleet: &ProcessFleet,
        (ledger, load_ends): (&Ledger, Instant),
        back_at: Instant,
    ) -> String {
        let link = self.random.random_range(0..fleet.links.len());
        let is_down = |(_, end): &(Instant, End)| matches!(end, End::Restart(held) | End::Heal(held) if *held == link);
        if self.ends.iter().any(is_down) {
            return format!("nothing: back end {link} is disturbed already");
        }
        fleet.links[link].set(LinkState::Refused);
        self.ends.push((back_at, End::Restart(link)));
        let due = back_at + RETURN_TIME;
        if self.kinds == [FaultKind::Restart] && due < load_ends {
            ledger.expect(format!("model-{link}"), back_at, due);
        }
        format!("back end {link} starts again under its id")
    }

    async fn kill_all(&mut self, fleet: &mut ProcessFleet) -> Result<String, String> {
        for number in 0..fleet.processes.len() {
            fleet.kill(number).await?;
            let back_at = Instant::now() + self.draw(0..1_000);
            self.ends.push((back_at, End::Start(number)));
        }
        self.disturbed_at = Instant::now();
        Ok("all processes are killed".to_owned())
    }
}
