//! A soak of the real programs: gateways and job stores as processes of their own, load on them, and signals
//! and broken links from outside. What callers and back ends see is judged by `oracle`.
//!
//! `fleet` runs the processes, `back_end` is what they forward to, `proxy` the links to it, `clients` the
//! load, `faults` the schedule that follows from a seed.

mod back_end;
mod clients;
mod faults;
mod fleet;
mod oracle;
mod proxy;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use back_end::Ledger;
use clients::Clients;
pub use faults::FaultKind;
use fleet::ProcessFleet;
use oracle::Oracle;

/// Time for jobs to be finished after the last fault has ended.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(90);
/// Pause between two looks whether they are.
const SETTLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time for the fleet to serve its first request.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// What a soak is told.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Time for which load is offered and faults begin.
    pub duration: Duration,
    /// Seed of faults, sizes and arrivals.
    pub seed: u64,
    /// The program of the processes.
    pub program: PathBuf,
    /// Folder for settings, logs and data; it stays.
    pub folder: PathBuf,
    /// Gateways, job stores and back ends.
    pub sizes: Sizes,
    /// Kinds of faults that are played.
    pub faults: Vec<FaultKind>,
}

/// Number of processes of each kind.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Gateways.
    pub gateways: usize,
    /// Job stores; three at least, of which one may lose its disk.
    pub job_stores: usize,
    /// Back ends, in the process of the soak.
    pub back_ends: usize,
}

/// What a soak showed.
#[derive(Clone, Debug, Default)]
pub struct SoakReport {
    /// Faults in the order in which they began, with their second.
    pub faults: Vec<String>,
    /// Counts by name.
    pub counts: Vec<(&'static str, usize)>,
    /// Broken promises; none is wanted.
    pub violations: Vec<String>,
}

/// Plays a soak.
pub async fn run(options: &SoakOptions) -> Result<SoakReport, String> {
    let ledger = Arc::new(Ledger::default());
    let mut fleet = ProcessFleet::start(options, ledger.clone()).await?;
    let oracle = Arc::new(Oracle::default());
    let clients = Clients::new(options.seed, fleet.ingress_addresses(), oracle.clone());
    clients.wait_until_served(Instant::now() + START_TIMEOUT).await?;
    let until = Instant::now() + options.duration;
    let load = clients.start(until);
    let faults = faults::inject(&mut fleet, &oracle, &ledger, options, until).await?;
    // Before the clients end: a reader that waits for a process that stands still would not come to an end.
    fleet.heal().await?;
    for task in load {
        task.await.map_err(|error| format!("a client failed: {error}"))?;
    }
    settle(&clients, &oracle).await;
    fleet.kill_all().await;
    let violations = oracle.verify(&ledger);
    Ok(SoakReport { faults, counts: oracle.counts(&ledger), violations })
}

/// Reads all jobs until they are finished, or the time is up.
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
