//! What keeps knowledge of suspects alike in all processes, and on the disks of the job stores.
//!
//! Notices bring an observation to all within a round trip; this is for what they miss: a lost datagram, a
//! cut that has healed, a process that has just started. Each process compares a fingerprint with a job
//! store, so that two that know the same pay some 100 bytes a second for it.

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use tokio::time::Instant;
use yokefall_serving::fleet::NoticePort;
use yokefall_serving::{Fleet, FleetCell, FleetMember};
use yokefall_suspects::{notices, Registry, SuspectReport};

use crate::aggregators::ReportTarget;
use crate::client::JobClient;
use crate::kept_file;
use crate::protocol::{Reply, Request};

/// Longest pause between two exchanges: three of them fall into the time within which all must know.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(1_000);
/// The same until the first has succeeded: a process that has just started sends what others hold back.
const FIRST_INTERVAL: Duration = Duration::from_millis(200);
/// Exchanges after which what is over is dropped, about a minute.
const ROUNDS_TO_FORGET: u32 = 64;
/// Pause before what this process learnt by itself is exchanged.
const OBSERVED_PAUSE: Duration = Duration::from_millis(50);
/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Least pause between two writes to the disk.
const SAVE_PAUSE: Duration = Duration::from_millis(50);
/// Name of the file.
const FILE: &str = "suspects";

/// What a process knows, as it asks another.
#[derive(Clone, Debug, PartialEq, Eq, borsh::BorshSerialize, borsh::BorshDeserialize)]
pub struct SuspectExchange {
    /// A number that differs where two processes would tell different news.
    pub fingerprint: u64,
    /// All of it, where the other side is known to lack some.
    pub report: SuspectReport,
}

impl SuspectExchange {
    fn without_report(registry: &Registry) -> Self {
        Self { fingerprint: registry.fingerprint(), report: SuspectReport::default() }
    }

    fn with_report(registry: &Registry) -> Self {
        Self { fingerprint: registry.fingerprint(), report: registry.report() }
    }

    /// The answer to it, after its report was taken: a report where the two sides still differ.
    pub fn answer(self, registry: &Registry) -> Self {
        registry.take(self.report);
        match self.fingerprint == registry.fingerprint() {
            true => Self::without_report(registry),
            false => Self::with_report(registry),
        }
    }
}

/// Starts what keeps knowledge of suspects alike in all processes. `target` names this process.
pub fn start_exchange(
    registry: Rc<Registry>,
    client: Rc<JobClient>,
    fleet: FleetCell,
    target: ReportTarget,
    port: NoticePort,
) {
    let NoticePort { outgoing, incoming } = port;
    tokio::task::spawn_local(notices::publish(registry.clone(), fleet.clone(), outgoing));
    tokio::task::spawn_local(notices::receive(registry.clone(), incoming));
    tokio::task::spawn_local(exchange(registry, client, fleet, target));
}

/// Exchanges with job stores, for ever: with those of this process's own region, as load reports.
async fn exchange(
    registry: Rc<Registry>,
    client: Rc<JobClient>,
    fleet: FleetCell,
    mut target: ReportTarget,
) {
    let mut rounds: u32 = 0;
    let mut has_learnt = false;
    loop {
        rounds = rounds.wrapping_add(1);
        if rounds % ROUNDS_TO_FORGET == 0 {
            registry.expire();
        }
        let interval = if has_learnt { EXCHANGE_INTERVAL } else { FIRST_INTERVAL };
        let wait = interval.mul_f64(rand::random_range(0.5..1.0));
        if tokio::time::timeout(wait, registry.observed.notified()).await.is_ok() {
            tokio::time::sleep(OBSERVED_PAUSE).await;
        }
        let Some(peer) = peer(&fleet.load(), &target) else { continue };
        let first = SuspectExchange::without_report(&registry);
        let Some(answer) = ask(&client, peer.address, first).await else {
            target.failed(&peer.name);
            continue;
        };
        target.answered(&peer.name, Some(peer.name.clone()));
        has_learnt = true;
        registry.take(answer.report);
        if answer.fingerprint != registry.fingerprint() {
            let second = SuspectExchange::with_report(&registry);
            if let Some(answer) = ask(&client, peer.address, second).await {
                registry.take(answer.report);
            }
        }
    }
}

/// The job store to exchange with: one of those that add up loads, to which gateways have connections anyway;
/// for such a one any other, so that all of them hear of each other.
fn peer(fleet: &Fleet, target: &ReportTarget) -> Option<FleetMember> {
    let me = target.gateway();
    let is_other = |member: &&FleetMember| member.accepting && member.name != me;
    let chosen = target.choose(fleet).filter(|member| member.name != me);
    chosen.or_else(|| fleet.job_stores().filter(is_other).choose(&mut rand::rng())).cloned()
}

/// What a job store answers; `None` where it gave no answer, and another one is asked the next time.
async fn ask(
    client: &JobClient,
    address: std::net::SocketAddr,
    exchange: SuspectExchange,
) -> Option<SuspectExchange> {
    let limit = Instant::now() + ANSWER_TIMEOUT;
    match client.call_member(address, Request::Suspects(exchange), limit).await {
        Some(Reply::Suspects(answer)) => Some(answer),
        _ => None,
    }
}

/// Takes what was kept before this process started. Ages are those of the moment when it was kept: a
/// suspect may be held back for longer than it would have been, never for less.
pub fn load(folder: &Path, registry: &Registry) {
    registry.take(kept_file::load(folder, FILE));
}

/// Keeps suspects that do not run freely on the disk, for ever: all processes may be killed at once.
pub async fn keep(folder: PathBuf, registry: Rc<Registry>) {
    let mut kept = registry.fingerprint();
    loop {
        registry.changed.notified().await;
        let fingerprint = registry.fingerprint();
        if fingerprint == kept {
            continue;
        }
        let report = registry.persistent_report();
        if kept_file::save_aside(folder.clone(), FILE, report).await {
            kept = fingerprint;
        }
        tokio::time::sleep(SAVE_PAUSE).await;
    }
}
