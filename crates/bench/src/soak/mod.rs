//! Soak test of the real programs: gateways and job stores run as processes under load, while
//! signals, restarts, lost disks and link faults are injected from outside. `oracle` verifies what
//! clients and back ends observe.
//!
//! `fleet` runs the processes, `back_end` simulates back ends, `proxy` the links to them, `clients`
//! and `streams` generate the load, `faults` injects faults on a schedule that follows from the seed,
//! `planned_work` retires, replaces and adds job stores beside them, and `route_changes` removes,
//! replaces and restores the route of some jobs.

mod back_end;
mod clients;
mod faults;
mod fleet;
mod oracle;
mod planned_work;
mod proxy;
mod route_changes;
mod streams;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use back_end::Ledger;
use clients::Clients;
pub use faults::FaultKind;
use fleet::ProcessFleet;
use oracle::Oracle;

/// Time limit for accepted jobs to finish after the last fault has ended: an item that waits for
/// long after crashes counts as lost.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(18);
const SETTLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time limit for the fleet to serve its first requests.
const START_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Duration of the offered load, in which faults are started.
    pub duration: Duration,
    pub seed: u64,
    /// Program that the processes run.
    pub program: PathBuf,
    /// Folder for settings, logs and data; it is not removed.
    pub folder: PathBuf,
    pub sizes: Sizes,
    pub faults: Vec<FaultKind>,
}

#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    pub gateways: usize,
    /// Job stores; at least three, of which one may lose its disk.
    pub job_stores: usize,
    /// Back ends, which run in the process of the soak.
    pub back_ends: usize,
}

#[derive(Clone, Debug, Default)]
pub struct SoakReport {
    /// Faults in order of their start, each with its time in seconds.
    pub faults: Vec<String>,
    pub counts: Vec<(&'static str, usize)>,
    /// Violated guarantees; must be empty.
    pub violations: Vec<String>,
}

pub async fn run(options: &SoakOptions) -> Result<SoakReport, String> {
    let ledger = Arc::new(Ledger::default());
    let mut fleet = ProcessFleet::start(options, ledger.clone()).await?;
    let oracle = Arc::new(Oracle::default());
    let clients = Clients::new(options.seed, fleet.ingress_addresses(), oracle.clone());
    clients.wait_until_served(Instant::now() + START_TIMEOUT).await?;
    let until = Instant::now() + options.duration;
    let load = clients.start(until);
    let (faults, planned_work) =
        faults::inject(&mut fleet, &oracle, &ledger, options, until).await?;
    // End the faults first: a reader that waits for a paused process would never finish.
    fleet.heal().await?;
    planned_work.finish(&mut fleet, &oracle).await?;
    for task in load {
        task.await.map_err(|error| format!("a client failed: {error}"))?;
    }
    settle(&clients, &oracle).await;
    for (process, peak_kib) in fleet.peak_memory_kib() {
        oracle.record_memory(process, peak_kib);
    }
    fleet.kill_all().await;
    let violations = oracle.verify(&ledger);
    Ok(SoakReport { faults, counts: oracle.counts(&ledger), violations })
}

/// Reads all jobs until they are finished or the time limit is reached.
async fn settle(clients: &Clients, oracle: &Oracle) {
    let until = Instant::now() + SETTLE_TIMEOUT;
    while Instant::now() < until {
        clients.read_all().await;
        if oracle.is_settled() {
            return;
        }
        tokio::time::sleep(SETTLE_CHECK_INTERVAL).await;
    }
}
