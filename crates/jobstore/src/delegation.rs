//! The leader's side of runs at other job stores: selects the worker for an item and collects its
//! output and report. A delegated run is leased. The worker ends it if the connection breaks or the
//! leader sends nothing for `RUN_LEASE`; the leader considers it lost if the worker sends nothing
//! for as long. Output of a lost run is dropped with its connection. Only the leader proposes
//! results, and the log accepts one result per item.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::sync::{oneshot, Notify};
use tokio::time::Instant;
use yokefall_serving::{Backend, Fleet, FleetCell, FleetMember, Residency, ZoneMap};
use yokefall_suspects::Registry;
use yokefall_types::rendezvous_score;
use yokefall_upstream::BackendSlot;

use crate::protocol::{decode, encode, framed, Frame, Reply, Request, RunReport, RunRequest};
use crate::run::{Progress, RunEnd, NO_OUTPUT_MEMORY};
use crate::store::Store;

/// Time without a frame from the other side after which a run ends. Must be below `cancelMs` of
/// every deployment, so that a cancelled item does not keep running at an unreachable worker.
pub const RUN_LEASE: Duration = Duration::from_millis(1_500);
/// Interval of heartbeats between leader and worker; a third of the lease.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which a failed or full worker receives no runs.
const AVOIDANCE_PERIOD: Duration = Duration::from_millis(1_000);
/// Time for a cancelled run to report its progress.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(400);

/// Idle time after which a connection is closed; items arrive in batches some seconds apart.
const MAX_IDLE_TIME: Duration = Duration::from_millis(10_000);

struct OpenRun {
    progress: Rc<RefCell<Progress>>,
    /// Notified when there is no memory left for its output.
    exceeds_memory: Rc<Notify>,
    report: oneshot::Sender<Reply>,
}

struct Link {
    frames: UnboundedSender<Frame>,
    runs: RefCell<HashMap<u64, OpenRun>>,
    suspects: Rc<Registry>,
    is_open: Cell<bool>,
    used_at: Cell<Instant>,
}

/// The workers of this leader.
pub struct Delegation {
    fleet: FleetCell,
    zones: Arc<ZoneMap>,
    store: Rc<Store>,
    suspects: Rc<Registry>,
    links: RefCell<HashMap<String, Rc<Link>>>,
    avoided: RefCell<HashMap<String, Instant>>,
    next_call: Cell<u64>,
}

/// Cancels a run at its worker when the task of the run is dropped.
struct CancelOnDrop<'a> {
    link: &'a Link,
    call: u64,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if self.link.runs.borrow_mut().remove(&self.call).is_some() {
            // If the link is closed, the run has already ended.
            let _ = self.link.frames.send(Frame::Cancel { call: self.call });
        }
    }
}

impl Delegation {
    /// Creates a delegation without connections.
    pub fn new(
        fleet: FleetCell,
        zones: Arc<ZoneMap>,
        store: Rc<Store>,
        suspects: Rc<Registry>,
    ) -> Self {
        Self {
            fleet,
            zones,
            store,
            suspects,
            links: RefCell::default(),
            avoided: RefCell::default(),
            next_call: Cell::new(0),
        }
    }

    /// The job store that runs items of a back end; `None` if this process should. Of the nearest
    /// non-voters that the residency allows (see `nearest`), the one with the highest rendezvous
    /// score is chosen, so that connections to back ends are reused.
    pub fn worker_for(&self, backend: &Backend, residency: &Residency) -> Option<FleetMember> {
        let fleet = self.fleet.load();
        let voters = self.store.with_core(|core, _| core.members().voters.clone());
        let votes = |member: &FleetMember| voters.iter().any(|voter| voter.name == member.name);
        let mut free = self.free(&fleet, residency);
        free.retain(|member| !votes(member));
        let score = rendezvous_score(backend.id.as_bytes());
        let candidates = nearest(&free, &backend.zone, &self.zones).into_iter();
        candidates.max_by_key(|member| score(&member.name)).cloned()
    }

    /// The job store with this name, if it may run items with this residency. Voters are included:
    /// only few job stores have a share of a cold back end, and in a small group all of them vote.
    pub fn worker_named(&self, name: &str, residency: &Residency) -> Option<FleetMember> {
        let fleet = self.fleet.load();
        self.free(&fleet, residency).into_iter().find(|member| member.name == name).cloned()
    }

    /// Names of the job stores that may run items with a residency.
    pub fn free_names(&self, residency: &Residency) -> Vec<String> {
        let fleet = self.fleet.load();
        self.free(&fleet, residency).into_iter().map(|member| member.name.clone()).collect()
    }

    /// Job stores that accept work, have not failed recently and satisfy the residency.
    fn free<'a>(&self, fleet: &'a Fleet, residency: &Residency) -> Vec<&'a FleetMember> {
        let mut avoided = self.avoided.borrow_mut();
        let now = Instant::now();
        avoided.retain(|_, until| *until > now);
        let is_free = |member: &&FleetMember| {
            member.accepting
                && !avoided.contains_key(&member.name)
                && residency.allows(self.zones.region_of(&member.zone))
        };
        fleet.job_stores().filter(is_free).collect()
    }

    /// Runs an item at a worker. Output is added to `progress`; `preempted` cancels the run.
    pub async fn run(
        &self,
        worker: &FleetMember,
        request: RunRequest,
        slot: &mut BackendSlot,
        progress: &Rc<RefCell<Progress>>,
        preempted: &Notify,
    ) -> RunEnd {
        let name = &worker.name;
        let link = self.link(name, worker.address);
        link.used_at.set(Instant::now());
        let call = self.next_call.get();
        self.next_call.set(call + 1);
        let (report, reported) = oneshot::channel();
        let exceeds_memory = Rc::new(Notify::new());
        let open_run =
            OpenRun { progress: progress.clone(), exceeds_memory: exceeds_memory.clone(), report };
        link.runs.borrow_mut().insert(call, open_run);
        let _cancel = CancelOnDrop { link: &link, call };
        let lost =
            || RunEnd::Retry { cause: format!("lost the run at worker {name}"), backoff: false };
        if link.frames.send(Frame::Request { call, request: Request::Run(request) }).is_err() {
            return lost();
        }
        tokio::pin!(reported);
        let mut was_preempted = false;
        let reply = tokio::select! {
            reply = &mut reported => reply.ok(),
            () = exceeds_memory.notified() => {
                return RunEnd::Retry { cause: NO_OUTPUT_MEMORY.into(), backoff: true };
            }
            () = preempted.notified() => {
                was_preempted = true;
                // If the link has closed, no report arrives.
                let _ = link.frames.send(Frame::Cancel { call });
                tokio::time::timeout(CANCEL_TIMEOUT, reported).await.ok().and_then(Result::ok)
            }
        };
        match reply {
            Some(Reply::RunEnded(RunReport { end, outcome, last_event, text })) => {
                slot.outcome = outcome;
                progress.borrow_mut().extend(last_event, text);
                match end {
                    RunEnd::Retry { .. } if was_preempted => preemption(),
                    end => end,
                }
            }
            Some(_) => {
                self.avoid(name);
                RunEnd::Retry { cause: format!("worker {name} is full"), backoff: false }
            }
            None if was_preempted => preemption(),
            None => {
                self.avoid(name);
                lost()
            }
        }
    }

    fn avoid(&self, name: &str) {
        self.avoided.borrow_mut().insert(name.to_owned(), Instant::now() + AVOIDANCE_PERIOD);
    }

    fn link(&self, name: &str, address: SocketAddr) -> Rc<Link> {
        let mut links = self.links.borrow_mut();
        if let Some(link) = links.get(name).filter(|link| link.is_open.get()) {
            return link.clone();
        }
        let (frames, queued) = unbounded_channel();
        let link = Rc::new(Link {
            frames,
            runs: RefCell::default(),
            suspects: self.suspects.clone(),
            is_open: Cell::new(true),
            used_at: Cell::new(Instant::now()),
        });
        links.insert(name.to_owned(), link.clone());
        tokio::task::spawn_local(serve(link.clone(), self.store.clone(), address, queued));
        link
    }
}

/// The members nearest to a zone: those in the zone, otherwise those in its region, otherwise all.
pub fn nearest<'a>(
    members: &[&'a FleetMember],
    zone: &str,
    zones: &ZoneMap,
) -> Vec<&'a FleetMember> {
    let distance = |member: &FleetMember| zones.distance(&member.zone, zone);
    let least = members.iter().map(|member| distance(member)).min();
    members.iter().copied().filter(|member| Some(distance(member)) == least).collect()
}

/// The end of a run that was preempted by an online request.
pub fn preemption() -> RunEnd {
    RunEnd::Retry { cause: "preempted by online requests".into(), backoff: true }
}

type Queued = tokio::sync::mpsc::UnboundedReceiver<Frame>;

async fn serve(link: Rc<Link>, store: Rc<Store>, address: SocketAddr, queued: Queued) {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    if let Ok(Ok(stream)) = connecting.await {
        let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(RUN_LEASE));
        relay_frames(&link, &store, stream, queued).await;
    }
    link.is_open.set(false);
    // Dropping the senders tells all waiting tasks that their run is lost.
    link.runs.borrow_mut().clear();
}

async fn relay_frames(link: &Link, store: &Store, stream: TcpStream, mut queued: Queued) {
    let (mut sink, mut incoming) = framed(stream).split();
    let mut heartbeats = tokio::time::interval(HEARTBEAT_INTERVAL);
    let mut received_at = store.now();
    loop {
        tokio::select! {
            frame = queued.recv() => {
                let Some(frame) = frame else { return };
                if sink.send(encode(&frame)).await.is_err() {
                    return;
                }
            }
            bytes = incoming.next() => {
                let Some(Ok(bytes)) = bytes else { return };
                let Ok(frame) = decode(&bytes) else { return };
                received_at = store.now();
                handle_frame(link, frame);
            }
            _ = heartbeats.tick() => {
                let is_unused =
                    link.runs.borrow().is_empty() && link.used_at.get().elapsed() > MAX_IDLE_TIME;
                if is_unused || store.now() - received_at > RUN_LEASE.as_millis() as u64 {
                    return;
                }
                if sink.send(encode(&Frame::Heartbeat)).await.is_err() {
                    return;
                }
            }
        }
    }
}

fn handle_frame(link: &Link, frame: Frame) {
    match frame {
        Frame::Output { call, last_event, text } => {
            if let Some(run) = link.runs.borrow().get(&call) {
                let mut progress = run.progress.borrow_mut();
                progress.extend(last_event, Some(text));
                if progress.output.exceeds_memory() {
                    run.exceeds_memory.notify_one();
                }
            }
        }
        Frame::Suspects(report) => link.suspects.take(report),
        Frame::Reply { call, reply } => {
            if let Some(run) = link.runs.borrow_mut().remove(&call) {
                // The task of the run may have been dropped.
                let _ = run.report.send(reply);
            }
        }
        _ => {}
    }
}
