//! Synchronizes knowledge of suspects across processes, and persists it at the job stores. Notices
//! spread an observation to all processes within a round trip. This exchange covers lost datagrams,
//! healed partitions, and processes that have just started. Each process compares a fingerprint
//! with a job store; two with the same knowledge spend about 100 bytes a second.

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use tokio::time::Instant;
use yokefall_serving::fleet::NoticePort;
use yokefall_serving::message_channel::MessagePort;
use yokefall_serving::{Fleet, FleetCell, FleetMember};
use yokefall_suspects::{notices, Registry, SuspectReport};

use crate::aggregators::ReportTarget;
use crate::client::JobClient;
use crate::hint_file;
use crate::protocol::{Reply, Request};

/// Maximum interval between exchanges; three fit into the time in which all must know a suspect.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Maximum interval between two exchanges until the first one succeeds. A process that has just
/// started does not know the suspects and sends requests that others hold back.
const INITIAL_EXCHANGE_INTERVAL: Duration = Duration::from_millis(200);
/// Number of exchanges, about a minute, after which finished suspects are purged.
const ROUNDS_PER_PURGE: u32 = 64;
/// Delay before a local observation is exchanged.
const OBSERVATION_DELAY: Duration = Duration::from_millis(50);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
const MIN_SAVE_INTERVAL: Duration = Duration::from_millis(50);
const FILE: &str = "suspects";

/// Knowledge of suspects, as exchanged between two processes.
#[derive(Clone, Debug, PartialEq, Eq, borsh::BorshSerialize, borsh::BorshDeserialize)]
pub struct SuspectExchange {
    /// Fingerprint of the knowledge; differs if two processes know different suspects.
    pub fingerprint: u64,
    /// The complete knowledge, if the other side is known to lack some of it.
    pub report: SuspectReport,
}

impl SuspectExchange {
    fn without_report(registry: &Registry) -> Self {
        Self { fingerprint: registry.fingerprint(), report: SuspectReport::default() }
    }

    fn with_report(registry: &Registry) -> Self {
        Self { fingerprint: registry.fingerprint(), report: registry.report() }
    }

    /// Merges the received report; the answer has a report if the two sides still differ.
    pub fn answer(self, registry: &Registry) -> Self {
        registry.take(self.report);
        match self.fingerprint == registry.fingerprint() {
            true => Self::without_report(registry),
            false => Self::with_report(registry),
        }
    }
}

/// Starts the tasks that synchronize suspects across processes. `target` names this process.
pub fn start_exchange(
    registry: Rc<Registry>,
    client: Rc<JobClient>,
    fleet: FleetCell,
    target: ReportTarget,
    port: NoticePort,
) {
    let MessagePort { outgoing, incoming } = port;
    tokio::task::spawn_local(notices::publish(registry.clone(), fleet.clone(), outgoing));
    tokio::task::spawn_local(notices::receive(registry.clone(), incoming));
    tokio::task::spawn_local(registry.clone().watch_ended_runs());
    tokio::task::spawn_local(exchange(registry, client, fleet, target));
}

/// Exchanges knowledge with job stores, preferably in the region of this process. Never returns.
async fn exchange(
    registry: Rc<Registry>,
    client: Rc<JobClient>,
    fleet: FleetCell,
    mut target: ReportTarget,
) {
    let mut rounds: u32 = 0;
    let mut has_synced = false;
    loop {
        rounds = rounds.wrapping_add(1);
        if rounds % ROUNDS_PER_PURGE == 0 {
            registry.expire();
        }
        let interval = if has_synced { EXCHANGE_INTERVAL } else { INITIAL_EXCHANGE_INTERVAL };
        let wait = interval.mul_f64(rand::random_range(0.5..1.0));
        if tokio::time::timeout(wait, registry.observed.notified()).await.is_ok() {
            tokio::time::sleep(OBSERVATION_DELAY).await;
        }
        let Some(peer) = peer(&fleet.load(), &target) else { continue };
        let first = SuspectExchange::without_report(&registry);
        let Some(answer) = ask(&client, peer.address, first).await else {
            target.failed(&peer.name);
            continue;
        };
        target.answered(&peer.name, Some(peer.name.clone()));
        has_synced = true;
        registry.take(answer.report);
        if answer.fingerprint != registry.fingerprint() {
            let second = SuspectExchange::with_report(&registry);
            if let Some(answer) = ask(&client, peer.address, second).await {
                registry.take(answer.report);
            }
        }
    }
}

/// The job store to exchange with: an aggregator, to which gateways are connected anyway; for an
/// aggregator, any other job store, so that knowledge spreads among all of them.
fn peer(fleet: &Fleet, target: &ReportTarget) -> Option<FleetMember> {
    let me = target.gateway();
    let is_other = |member: &&FleetMember| member.accepting && member.name != me;
    let chosen = target.choose(fleet).filter(|member| member.name != me);
    chosen.or_else(|| fleet.job_stores().filter(is_other).choose(&mut rand::rng())).cloned()
}

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

/// Loads the suspects stored before this process started. Their ages are those at the time of
/// storing, so that a suspect may be held back for longer, but never for less time.
pub fn load(folder: &Path, registry: &Registry) {
    registry.take(hint_file::load(folder, FILE));
}

/// Stores restricted suspects when they change: all processes may be killed at once. Never returns.
pub async fn persist_changes(folder: PathBuf, registry: Rc<Registry>) {
    let mut saved = registry.fingerprint();
    loop {
        registry.changed.notified().await;
        let fingerprint = registry.fingerprint();
        if fingerprint == saved {
            continue;
        }
        let report = registry.persistent_report();
        if hint_file::save_in_background(folder.clone(), FILE, report).await {
            saved = fingerprint;
        }
        tokio::time::sleep(MIN_SAVE_INTERVAL).await;
    }
}
