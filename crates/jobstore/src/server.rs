//! Answers gateways and takes messages of other members.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use futures::StreamExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::sync::Semaphore;
use tokio::time::Instant;
use yokefall_consensus::MemberId;
use yokefall_serving::{FleetCell, Requester, Residency};
use yokefall_suspects::{RequestSource, SuspectReport};

use crate::delegation::RUN_LEASE;
use crate::intake::NotTaken;
use crate::protocol::{
    decode, encode, send_frame, split, Frame, IncomingFrames, Outgoing, Reply, Request, Submission,
};
use crate::quota::QuotaService;
use crate::reads::Found;
use crate::residency::{residency_of_job, KnownZones};
use crate::state::{Command, PAGE_BYTES};
use crate::store::{ProposeError, Store};
use crate::worker::{ConnectionRuns, Worker};

/// Longest time for which a read is held, whatever its caller asks.
const MAX_READ_WAIT: Duration = Duration::from_millis(2_000);
/// Pause after a connection could not be taken.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Memory that a page takes while it is on its way, in parts of its text: as results, and encoded.
const PAGE_COPIES: usize = 2;

/// What the tasks of a server share.
#[derive(Clone)]
struct Server {
    store: Rc<Store>,
    worker: Rc<Worker>,
    quota: Rc<QuotaService>,
    fleet: FleetCell,
    known_zones: Rc<KnownZones>,
    /// Pages that may be on their way at once.
    pages: Arc<Semaphore>,
}

/// Serves a listener for ever. Pages of results that are on their way take `page_bytes` at most.
pub async fn serve(
    listener: TcpListener,
    store: Rc<Store>,
    worker: Rc<Worker>,
    quota: Rc<QuotaService>,
    (fleet, known_zones): (FleetCell, Rc<KnownZones>),
    page_bytes: usize,
) {
    let pages = (page_bytes / (PAGE_BYTES * PAGE_COPIES)).max(1);
    let pages = Arc::new(Semaphore::new(pages));
    let server = Server { store, worker, quota, fleet, known_zones, pages };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_connection(stream, server.clone()));
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve_connection(stream: TcpStream, server: Server) {
    let store = &server.store;
    let (mut frames, mut socket) = split(stream);
    let (replies, mut queued) = unbounded_channel::<Outgoing>();
    let writer = tokio::task::spawn_local(async move {
        while let Some(Outgoing { frame, room: _room }) = queued.recv().await {
            let bytes = encode(&frame);
            drop(frame);
            if send_frame(&mut socket, bytes).await.is_err() {
                return;
            }
        }
    });
    let runs = ConnectionRuns::default();
    let mut heard_at = store.now();
    while let Some(bytes) = next_frame(&mut frames, &runs).await {
        let silent_ms = store.now() - heard_at;
        heard_at = store.now();
        if !runs.is_empty() && silent_ms > RUN_LEASE.as_millis() as u64 {
            // This machine was suspended: its timer did not see that the lease ended, and another process
            // has the runs.
            break;
        }
        let Ok(frame) = decode(&bytes) else { break };
        match frame {
            Frame::Consensus(message) => store.receive(message),
            Frame::Join(member) => take_join(store, member),
            Frame::Leader(name) => store.note_leader(name),
            Frame::Impossible { job, item } => store.abandon_only(&job, item),
            Frame::Sums(sums) => {
                store.loads.take_sums(sums);
                store.work_changed.notify_one();
            }
            Frame::GatewayMoved { gateway } => {
                store.loads.forget(&gateway);
                store.loads_changed.notify_one();
                store.work_changed.notify_one();
            }
            Frame::Request { call, request: Request::Run(order) } => {
                runs.start(&server.worker, call, order, replies.clone());
            }
            Frame::Cancel { call } => runs.cancel(call),
            Frame::Heartbeat => {
                // A writer that has ended ends the connection as well.
                let _ = replies.send(Outgoing::new(Frame::Heartbeat));
            }
            Frame::Request { call, request } => {
                let answering = answer(server.clone(), call, request, replies.clone());
                tokio::task::spawn_local(answering);
            }
            Frame::Reply { .. } | Frame::Output { .. } | Frame::Suspects(_) => break,
        }
    }
    writer.abort();
}

/// The next frame; `None` where the connection has ended, or where the leader of runs on it has not
/// renewed them.
async fn next_frame(frames: &mut IncomingFrames, runs: &ConnectionRuns) -> Option<BytesMut> {
    let frame = match runs.is_empty() {
        true => frames.next().await,
        false => tokio::time::timeout(RUN_LEASE, frames.next()).await.ok()?,
    };
    frame?.ok()
}

/// A member asks to join; the leader tells it who leads, whether it is admitted or not.
fn take_join(store: &Store, member: MemberId) {
    if store.is_leader() {
        let me = store.with_core(|core, _| core.id().name.clone());
        store.send_frame(&member.name, &Frame::Leader(me));
    }
    store.note_joining(member);
}

async fn answer(server: Server, call: u64, request: Request, replies: UnboundedSender<Outgoing>) {
    let mut room = None;
    if let Request::Results { job, from, wait_ms, .. } = &request {
        let wait = Duration::from_millis(*wait_ms).min(MAX_READ_WAIT);
        until_readable(&server.store, job, *from, Instant::now() + wait).await;
        room = server.pages.clone().acquire_owned().await.ok();
    }
    let reply = carry_out(&server, request).await;
    let _ = replies.send(Outgoing { frame: Frame::Reply { call, reply }, room });
}

async fn carry_out(server: &Server, request: Request) -> Reply {
    let (store, quota) = (&server.store, &server.quota);
    let suspects = &server.worker.items.suspects;
    // Loads are no part of the log: any job store adds them up, so that they stay known while
    // nobody leads.
    if let Request::Load(report) = request {
        if let Some(before) = &report.previous_aggregator {
            store.send_frame(before, &Frame::GatewayMoved { gateway: report.gateway.clone() });
        }
        let answer = store.loads.report(report, store.leader_in_touch());
        store.loads_changed.notify_one();
        store.work_changed.notify_one();
        return Reply::Load(answer);
    }
    if let Request::TakeTokens(asks) = request {
        return Reply::Tokens(quota.take(&asks));
    }
    // What is known of suspects is no part of the log either.
    if let Request::Suspects(exchange) = request {
        return Reply::Suspects(exchange.answer(suspects));
    }
    if !store.serves() {
        return not_sure(store);
    }
    match request {
        Request::TrySuspect { update, backend } => {
            let digest = update.digest;
            suspects.take(SuspectReport { suspects: vec![update], crashed_backends: Vec::new() });
            Reply::TrialGrant(suspects.grant(&digest, &backend, RequestSource::Client))
        }
        Request::Submit { job, requester, submission } => {
            let may_access =
                store.with_job(&job, |held| requester.may_access(held.tenant.as_ref()));
            match may_access {
                Some(true) => return Reply::Accepted,
                Some(false) => return Reply::JobIdConflict,
                None => {}
            }
            let members = forbidden_members(server, &requester, &submission);
            if !members.is_empty() {
                return Reply::ResidencyViolation { members };
            }
            let _room = match store.reserve(&job, &submission) {
                Ok(room) => room,
                Err(NotTaken::UnderWay) => return Reply::Unknown,
                Err(NotTaken::Full) => return Reply::Full,
                Err(NotTaken::OverQuota) => return Reply::OverQuota,
            };
            let command = Command::SubmitFor { job, tenant: requester.owner(), submission };
            changed(store, command, Reply::Accepted).await
        }
        Request::End { job, requester } => {
            let may_access =
                store.with_job(&job, |held| requester.may_access(held.tenant.as_ref()));
            if may_access != Some(true) {
                return found(store, Found::No, |()| Reply::Ended);
            }
            changed(store, Command::End { job }, Reply::Ended).await
        }
        Request::Body { job, requester, item } => {
            let body = store.read(|jobs| jobs.body(&job, &requester, &item).map(<[u8]>::to_vec));
            found(store, body, Reply::Body)
        }
        Request::HasJob { job, requester } => {
            match store.with_job(&job, |held| requester.may_access(held.tenant.as_ref())) {
                Some(true) => Reply::Accepted,
                Some(false) => Reply::JobIdConflict,
                None if store.is_under_way(&job) => Reply::Unknown,
                None => Reply::NotFound,
            }
        }
        Request::Accountants => Reply::Accountants(store.token_issuers()),
        Request::RenewSlots { name, releases } => Reply::Slots(quota.renew(store, &name, releases)),
        Request::Load(_) | Request::Run(_) | Request::TakeTokens(_) | Request::Suspects(_) => {
            Reply::LeaderNotReady
        }
        Request::Results { job, requester, from, .. } => {
            found(store, store.page(&job, &requester, from), Reply::Page)
        }
    }
}

/// Members of the group to which a job would go though it may not be kept there. A gateway looks at all job
/// stores that it knows before it sends a job; this process knows who is a member.
fn forbidden_members(
    server: &Server,
    requester: &Requester,
    submission: &Submission,
) -> Vec<String> {
    let catalog = server.worker.catalog.load();
    let paths = submission.items.iter().map(|item| item.path.as_str());
    let owner = requester.owner();
    let residency = residency_of_job(&catalog, &submission.host, owner.as_ref(), paths);
    if residency == Residency::Anywhere {
        return Vec::new();
    }
    let names: Vec<String> = server
        .store
        .with_core(|core, _| core.members().all().map(|member| member.name.clone()).collect());
    server.known_zones.note(&server.fleet.load());
    server.known_zones.forbidden(names.iter().map(String::as_str), &residency, &catalog.zones)
}

fn not_sure(store: &Store) -> Reply {
    if store.is_leader() {
        return Reply::LeaderNotReady;
    }
    Reply::NotLeader { leader: store.leader() }
}

async fn changed(store: &Store, command: Command, done: Reply) -> Reply {
    match store.propose(&command).await {
        Ok(()) => done,
        Err(ProposeError::NotLeader) => not_sure(store),
        Err(ProposeError::Unknown) => Reply::Unknown,
    }
}

fn found<T>(store: &Store, found: Found<T>, reply: impl FnOnce(T) -> Reply) -> Reply {
    match found {
        Found::Yes(value) => reply(value),
        Found::No => Reply::NotFound,
        Found::LeaderNotReady => not_sure(store),
    }
}

/// Waits until a result exists from a position on, or nothing more will come, or until a time.
async fn until_readable(store: &Store, job: &str, from: u64, until: Instant) {
    loop {
        let reader = store.reader(job);
        let woken = reader.notified();
        let is_ready = store.with_job(job, |job| job.results.len() as u64 > from || !job.is_open());
        if !store.serves() || is_ready.unwrap_or(true) || Instant::now() >= until {
            return;
        }
        let _ = tokio::time::timeout_at(until, woken).await;
    }
}
