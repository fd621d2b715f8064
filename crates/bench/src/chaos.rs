//! Injects seeded faults into any part of a running fleet at any time; they may overlap and recur.

use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;
use yokefall_objects::MachineState;

use crate::fleet::{Backend, LocalFleet, PlacedBackend};
use crate::standin::engine::EngineFault;

const FAULT_DURATION_MS: std::ops::RangeInclusive<u64> = 300..=4_000;
const FAULT_INTERVAL_MS: std::ops::RangeInclusive<u64> = 100..=1_200;
/// Resolution at which faults start and end.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Drain timeout of a graceful stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(60);
/// Factor on the iteration time of a slow engine.
const SLOW_FACTOR: f64 = 6.0;
/// Delay of each response of a slow object API, in milliseconds.
const SLOW_OBJECT_API_MS: u64 = 2_000;

/// Parts of a fleet that receive faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Parts {
    /// Back ends, the platform's services and daemons.
    All,
    /// Back ends and the platform's services.
    Outside,
    /// Only daemons; they crash and are stopped gracefully, continually.
    Daemons,
}

/// Configuration of fault injection.
#[derive(Clone, Debug)]
pub struct FaultPlan {
    /// Seed of the random faults.
    pub seed: u64,
    /// Parts that receive faults.
    pub parts: Parts,
    /// Write a line for each fault to standard error.
    pub verbose: bool,
}

/// A fault of one part; numbers index the fleet's back ends or daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    EngineDies(usize),
    EngineHangs(usize),
    EngineSlows(usize),
    EngineLosesAnswers(usize),
    /// The engine sends malformed JSON.
    EngineTalksNonsense(usize),
    EngineCutsStreams(usize),
    PlainLosesAnswers(usize),
    /// The machine of the back end is marked as leaving.
    MachineLeaves(usize),
    /// The object API answers every request with 503.
    PlatformDown,
    /// The object API delays every response.
    PlatformSlow,
    DaemonCrashes(usize),
    DaemonStops(usize),
}

struct ActiveFault {
    fault: Fault,
    ends_at: Instant,
}

/// Injects faults for `duration`, then ends all of them.
pub async fn inject_faults(
    fleet: &mut LocalFleet,
    plan: &FaultPlan,
    duration: Duration,
) -> Result<(), String> {
    let started = Instant::now();
    let mut generator = SmallRng::seed_from_u64(plan.seed);
    let mut active: Vec<ActiveFault> = Vec::new();
    let mut next = started;
    while started.elapsed() < duration || !active.is_empty() {
        tokio::time::sleep(TICK_INTERVAL).await;
        let now = Instant::now();
        if now >= next && started.elapsed() < duration {
            next = now + Duration::from_millis(generator.random_range(FAULT_INTERVAL_MS));
            let fault = draw_fault(fleet, plan, &mut generator);
            if !active.iter().any(|other| conflicts(other.fault, fault)) {
                if plan.verbose {
                    eprintln!("{:>6.2} s  {fault:?}", started.elapsed().as_secs_f64());
                }
                start_fault(fleet, fault).await;
                let fault_duration =
                    Duration::from_millis(generator.random_range(FAULT_DURATION_MS));
                active.push(ActiveFault { fault, ends_at: now + fault_duration });
            }
        }
        let (expired, remaining): (Vec<ActiveFault>, Vec<ActiveFault>) = active
            .into_iter()
            .partition(|fault| fault.ends_at <= now && !is_stopping(fleet, fault));
        active = remaining;
        for fault in expired {
            end_fault(fleet, fault.fault).await?;
        }
    }
    Ok(())
}

/// Whether the fault is a graceful stop of a daemon that is still draining.
fn is_stopping(fleet: &LocalFleet, active: &ActiveFault) -> bool {
    matches!(active.fault, Fault::DaemonStops(n) if fleet.daemons[n].is_stopping())
}

/// Whether both faults concern the same part; a part has at most one fault at a time.
fn conflicts(active: Fault, fault: Fault) -> bool {
    let daemon = |f: Fault| match f {
        Fault::DaemonCrashes(n) | Fault::DaemonStops(n) => Some(n),
        _ => None,
    };
    let same_daemon = daemon(active).is_some() && daemon(active) == daemon(fault);
    let platform = |f: Fault| matches!(f, Fault::PlatformDown | Fault::PlatformSlow);
    let backend = |f: Fault| match f {
        Fault::EngineDies(n)
        | Fault::EngineHangs(n)
        | Fault::EngineSlows(n)
        | Fault::EngineLosesAnswers(n)
        | Fault::EngineTalksNonsense(n)
        | Fault::EngineCutsStreams(n)
        | Fault::PlainLosesAnswers(n)
        | Fault::MachineLeaves(n) => Some(n),
        _ => None,
    };
    let same_backend = backend(active).is_some() && backend(active) == backend(fault);
    same_daemon || platform(active) && platform(fault) || same_backend
}

fn draw_fault(fleet: &LocalFleet, plan: &FaultPlan, generator: &mut SmallRng) -> Fault {
    let backend = generator.random_range(0..fleet.backends.len());
    let is_engine = matches!(fleet.backends[backend].backend, Backend::Engine(_));
    let kinds = match plan.parts {
        Parts::All => 0..12,
        Parts::Outside => 0..10,
        Parts::Daemons => 10..13,
    };
    match generator.random_range(kinds) {
        0 => Fault::PlatformDown,
        1 => Fault::PlatformSlow,
        2 => Fault::MachineLeaves(backend),
        10 => Fault::DaemonStops(generator.random_range(0..fleet.daemons.len())),
        11 | 12 => Fault::DaemonCrashes(generator.random_range(0..fleet.daemons.len())),
        _ if !is_engine => Fault::PlainLosesAnswers(backend),
        3 => Fault::EngineHangs(backend),
        4 => Fault::EngineSlows(backend),
        5 => Fault::EngineLosesAnswers(backend),
        6 => Fault::EngineTalksNonsense(backend),
        7 => Fault::EngineCutsStreams(backend),
        _ => Fault::EngineDies(backend),
    }
}

async fn inject(placed: &PlacedBackend, fault: EngineFault) {
    if let Backend::Engine(engine) = &placed.backend {
        engine.inject(fault).await;
    }
}

fn lose_answers(placed: &PlacedBackend, on: bool) {
    if let Backend::Plain(plain) = &placed.backend {
        plain.lose_answers.store(on, Ordering::Relaxed);
    }
}

fn set_machine(fleet: &LocalFleet, backend: usize, state: MachineState) {
    let machine = format!("machine-{}", fleet.backends[backend].name);
    fleet.machines.set(&machine, state);
}

async fn start_fault(fleet: &mut LocalFleet, fault: Fault) {
    let controls = fleet.objects.controls.clone();
    match fault {
        Fault::EngineDies(n) => inject(&fleet.backends[n], EngineFault::Die).await,
        Fault::EngineHangs(n) => {
            inject(&fleet.backends[n], EngineFault::Hang { on: true }).await;
        }
        Fault::EngineSlows(n) => {
            let slow = EngineFault::Slow { factor: SLOW_FACTOR };
            inject(&fleet.backends[n], slow).await;
        }
        Fault::EngineLosesAnswers(n) => {
            inject(&fleet.backends[n], EngineFault::LoseAnswers { on: true }).await;
        }
        Fault::EngineTalksNonsense(n) => {
            inject(&fleet.backends[n], EngineFault::BadJson { on: true }).await;
        }
        Fault::EngineCutsStreams(n) => inject(&fleet.backends[n], EngineFault::CutStreams).await,
        Fault::PlainLosesAnswers(n) => lose_answers(&fleet.backends[n], true),
        Fault::MachineLeaves(n) => set_machine(fleet, n, MachineState::Leaving),
        Fault::PlatformDown => controls.down.store(true, Ordering::Relaxed),
        Fault::PlatformSlow => controls.delay_ms.store(SLOW_OBJECT_API_MS, Ordering::Relaxed),
        Fault::DaemonCrashes(n) => fleet.daemons[n].crash(),
        Fault::DaemonStops(n) => fleet.daemons[n].begin_stop(STOP_TIMEOUT),
    }
}

async fn end_fault(fleet: &mut LocalFleet, fault: Fault) -> Result<(), String> {
    let controls = fleet.objects.controls.clone();
    match fault {
        Fault::EngineDies(n) => inject(&fleet.backends[n], EngineFault::Revive).await,
        Fault::EngineHangs(n) => {
            inject(&fleet.backends[n], EngineFault::Hang { on: false }).await;
        }
        Fault::EngineSlows(n) => {
            inject(&fleet.backends[n], EngineFault::Slow { factor: 1.0 }).await;
        }
        Fault::EngineLosesAnswers(n) => {
            inject(&fleet.backends[n], EngineFault::LoseAnswers { on: false }).await;
        }
        Fault::EngineTalksNonsense(n) => {
            inject(&fleet.backends[n], EngineFault::BadJson { on: false }).await;
        }
        Fault::EngineCutsStreams(_) => {}
        Fault::PlainLosesAnswers(n) => lose_answers(&fleet.backends[n], false),
        Fault::MachineLeaves(n) => set_machine(fleet, n, MachineState::Live),
        Fault::PlatformDown => controls.down.store(false, Ordering::Relaxed),
        Fault::PlatformSlow => controls.delay_ms.store(0, Ordering::Relaxed),
        Fault::DaemonCrashes(n) => fleet.daemons[n].restart().await?,
        Fault::DaemonStops(n) => {
            if !fleet.daemons[n].finish_stop().await.clean {
                return Err(format!(
                    "graceful stop of {} cut off work in progress",
                    fleet.daemons[n].name()
                ));
            }
            fleet.daemons[n].restart().await?;
        }
    }
    Ok(())
}
