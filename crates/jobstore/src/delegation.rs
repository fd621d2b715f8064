//! The leader's side of runs at other job stores: which one runs an item, and what it reports.
//!
//! A run that is delegated is leased: the worker ends it when the connection breaks or nothing comes
//! from the leader for `RUN_LEASE`, and the leader takes it for lost when nothing comes from the worker
//! for as long. What a lost run gives is dropped with its connection; only the leader proposes results,
//! and the log takes one for each item.

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
use crate::run::{Progress, RunEnd};
use crate::store::Store;

/// Time without a frame from the other side after which a run ends. Below `cancelMs` of every
/// deployment, so that a cancelled item does not run on at a worker that nobody reaches.
pub const RUN_LEASE: Duration = Duration::from_millis(1_500);
/// Interval at which leader and worker say that they live; a third of the lease.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(500);
/// Time for a connection to a worker to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which a worker that failed, or is full, gets nothing.
const REST_TIME: Duration = Duration::from_millis(1_000);
/// Time for a cancelled run to report how far it came.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which a connection without runs is kept: items come in heaps some seconds apart.
const IDLE_TIME: Duration = Duration::from_millis(10_000);

/// A run as its leader holds it.
struct OpenRun {
    progress: Rc<RefCell<Progress>>,
    report: oneshot::Sender<Reply>,
}

/// A connection to a worker.
struct Link {
    frames: UnboundedSender<Frame>,
    runs: RefCell<HashMap<u64, OpenRun>>,
    /// Takes what the worker learnt of suspects.
    suspects: Rc<Registry>,
    is_open: Cell<bool>,
    used_at: Cell<Instant>,
}

/// Workers of this leader.
pub struct Delegation {
    fleet: FleetCell,
    zones: Arc<ZoneMap>,
    store: Rc<Store>,
    suspects: Rc<Registry>,
    links: RefCell<HashMap<String, Rc<Link>>>,
    resting: RefCell<HashMap<String, Instant>>,
    next_call: Cell<u64>,
}

/// Tells the worker to end a run whose task is dropped.
struct CancelOnDrop<'a> {
    link: &'a Link,
    call: u64,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if self.link.runs.borrow_mut().remove(&self.call).is_some() {
            // A link that is closed has ended the run already.
            let _ = self.link.frames.send(Frame::Cancel { call: self.call });
        }
    }
}

impl Delegation {
    /// No connections yet.
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
            resting: RefCell::default(),
            next_call: Cell::new(0),
        }
    }

    /// The job store that runs items of a back end: of those that do not vote and stand where the item may be,
    /// the nearest to the back end (`nearest`), and of these the one with the highest hash of both names, so
    /// that connections to back ends are used again. `None` where this process should run them itself.
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

    /// The job store of this name, where it may be given items. One that votes may: few have a share of a back end
    /// that is cold, and in a small group all vote.
    pub fn worker_named(&self, name: &str, residency: &Residency) -> Option<FleetMember> {
        let fleet = self.fleet.load();
        self.free(&fleet, residency).into_iter().find(|member| member.name == name).cloned()
    }

    /// Names of the job stores that may be given items with a residency.
    pub fn free_names(&self, residency: &Residency) -> Vec<String> {
        let fleet = self.fleet.load();
        self.free(&fleet, residency).into_iter().map(|member| member.name.clone()).collect()
    }

    /// Job stores that take work, have not failed lately and stand where an item may be.
    fn free<'a>(&self, fleet: &'a Fleet, residency: &Residency) -> Vec<&'a FleetMember> {
        let mut resting = self.resting.borrow_mut();
        let now = Instant::now();
        resting.retain(|_, until| *until > now);
        let is_free = |member: &&FleetMember| {
            member.accepting
                && !resting.contains_key(&member.name)
                && residency.allows(self.zones.region_of(&member.zone))
        };
        fleet.job_stores().filter(is_free).collect()
    }

    /// Runs an item at a worker. The output comes into `progress`; `preempted` ends the run.
    pub async fn run(
        &self,
        worker: &FleetMember,
        order: RunRequest,
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
        link.runs.borrow_mut().insert(call, OpenRun { progress: progress.clone(), report });
        let _cancel = CancelOnDrop { link: &link, call };
        let lost =
            || RunEnd::Retry { cause: format!("lost the run at worker {name}"), pause: false };
        if link.frames.send(Frame::Request { call, request: Request::Run(order) }).is_err() {
            return lost();
        }
        tokio::pin!(reported);
        let mut was_preempted = false;
        let reply = tokio::select! {
            reply = &mut reported => reply.ok(),
            () = preempted.notified() => {
                was_preempted = true;
                // Where the link has closed, the report never comes.
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
                self.rest(name);
                RunEnd::Retry { cause: format!("worker {name} is full"), pause: false }
            }
            None if was_preempted => preemption(),
            None => {
                self.rest(name);
                lost()
            }
        }
    }

    fn rest(&self, name: &str) {
        self.resting.borrow_mut().insert(name.to_owned(), Instant::now() + REST_TIME);
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

/// Members as near to a zone as any: those in it, else those of its region, else all.
pub fn nearest<'a>(
    members: &[&'a FleetMember],
    zone: &str,
    zones: &ZoneMap,
) -> Vec<&'a FleetMember> {
    let distance = |member: &FleetMember| zones.distance(&member.zone, zone);
    let least = members.iter().map(|member| distance(member)).min();
    members.iter().copied().filter(|member| Some(distance(member)) == least).collect()
}

/// How a run ends that gave its slot to an online request.
pub fn preemption() -> RunEnd {
    RunEnd::Retry { cause: "preempted by online requests".into(), pause: true }
}

type Queued = tokio::sync::mpsc::UnboundedReceiver<Frame>;

/// Carries frames until the connection breaks or the worker falls silent.
async fn serve(link: Rc<Link>, store: Rc<Store>, address: SocketAddr, queued: Queued) {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    if let Ok(Ok(stream)) = connecting.await {
        let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(RUN_LEASE));
        carry(&link, &store, stream, queued).await;
    }
    link.is_open.set(false);
    // Whoever waits learns that the run is lost.
    link.runs.borrow_mut().clear();
}

async fn carry(link: &Link, store: &Store, stream: TcpStream, mut queued: Queued) {
    let (mut sink, mut incoming) = framed(stream).split();
    let mut renewal = tokio::time::interval(RENEW_INTERVAL);
    let mut heard_at = store.now();
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
                heard_at = store.now();
                take(link, frame);
            }
            _ = renewal.tick() => {
                let is_unused =
                    link.runs.borrow().is_empty() && link.used_at.get().elapsed() > IDLE_TIME;
                if is_unused || store.now() - heard_at > RUN_LEASE.as_millis() as u64 {
                    return;
                }
                if sink.send(encode(&Frame::Heartbeat)).await.is_err() {
                    return;
                }
            }
        }
    }
}

fn take(link: &Link, frame: Frame) {
    match frame {
        Frame::Output { call, last_event, text } => {
            if let Some(run) = link.runs.borrow().get(&call) {
                run.progress.borrow_mut().extend(last_event, Some(text));
            }
        }
        Frame::Suspects(report) => link.suspects.take(report),
        Frame::Reply { call, reply } => {
            if let Some(run) = link.runs.borrow_mut().remove(&call) {
                // A run whose task was dropped needs no report.
                let _ = run.report.send(reply);
            }
        }
        _ => {}
    }
}
