//! The control thread: a single thread that runs one actor per concern.

mod dispatch;
mod fleet;
mod jobs;

use std::sync::Arc;
use std::time::Duration;

use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use kameo::message::Message;
use kameo::Actor;
use tokio::runtime::{Builder, Handle};
use tokio::sync::{mpsc, oneshot};
use yokefall_core::jobs::JobStore;
use yokefall_core::membership::{Membership, Outgoing};

pub use dispatch::{BusyCounts, DispatchActor, DispatchCommand};
pub use fleet::{FleetActor, FleetCommand, FleetStatus};
pub use jobs::{JobActor, JobCommand};

use crate::error::StartError;
use crate::shared::Shared;

const TICK_INTERVAL: Duration = Duration::from_millis(20);
const MAILBOX_CAPACITY: usize = 65_536;

/// Initial state and settings of the control thread.
pub struct ControlParts {
    pub membership: Membership,
    /// The job store, on daemons with a data folder.
    pub jobs: Option<JobStore>,
    pub datagrams: mpsc::UnboundedSender<Outgoing>,
    /// Retention period of ended requests, in milliseconds.
    pub retention_ms: u64,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Whether this daemon runs batch items.
    pub batch: bool,
    pub data_nodes: Vec<yokefall_types::NodeName>,
}

/// Stops the control thread when dropped.
pub struct ControlThread {
    _stop: oneshot::Sender<()>,
}

/// Starts the control thread and its actors, which are set in `shared` when this function returns.
pub async fn start(shared: Arc<Shared>, parts: ControlParts) -> Result<ControlThread, StartError> {
    let (stop, stopped) = oneshot::channel::<()>();
    let (started, wait) = oneshot::channel::<()>();
    let traffic = Handle::current();
    let run = move || {
        let Ok(runtime) = Builder::new_current_thread().enable_all().build() else { return };
        runtime.block_on(async move {
            spawn_actors(shared, parts, traffic);
            let _ = started.send(());
            let _ = stopped.await;
        });
    };
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(run)
        .map_err(|error| StartError::Thread(error.to_string()))?;
    wait.await.map_err(|_| StartError::Thread("control thread ended".to_owned()))?;
    Ok(ControlThread { _stop: stop })
}

fn spawn_actors(shared: Arc<Shared>, parts: ControlParts, traffic: Handle) {
    let runner_stores = if parts.batch { parts.data_nodes } else { Vec::new() };
    let dispatch = DispatchActor::new(
        shared.clone(),
        traffic.clone(),
        parts.seed,
        parts.retention_ms,
        runner_stores,
    );
    let dispatch = DispatchActor::spawn_with_mailbox(dispatch, mailbox::bounded(MAILBOX_CAPACITY));
    send_ticks(dispatch.clone(), || DispatchCommand::Tick);
    let _ = shared.dispatch.set(dispatch);
    if let Some(store) = parts.jobs {
        let jobs = JobActor::new(shared.clone(), traffic.clone(), store);
        let jobs = JobActor::spawn_with_mailbox(jobs, mailbox::bounded(MAILBOX_CAPACITY));
        send_ticks(jobs.clone(), || JobCommand::Tick);
        let _ = shared.jobs.set(jobs);
    }
    let fleet = FleetActor::new(shared.clone(), traffic, parts.membership, parts.datagrams);
    let fleet = FleetActor::spawn_with_mailbox(fleet, mailbox::bounded(MAILBOX_CAPACITY));
    send_ticks(fleet.clone(), || FleetCommand::Tick);
    let _ = shared.fleet.set(fleet);
}

/// Sends ticks to an actor until it stops.
fn send_ticks<A, C>(actor: ActorRef<A>, command: impl Fn() -> C + Send + 'static)
where
    A: Actor + Message<C>,
    C: Send + 'static,
{
    tokio::spawn(async move {
        let mut interval = tokio::time::interval(TICK_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            if actor.tell(command()).await.is_err() {
                return;
            }
        }
    });
}
