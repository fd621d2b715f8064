//! Serves gateways and the other members of the group.

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

use crate::admission::Rejection;
use crate::delegation::RUN_LEASE;
use crate::protocol::{
    decode, encode, send_frame, split, Frame, IncomingFrames, Outgoing, Reply, Request, Submission,
};
use crate::quota::QuotaService;
use crate::reads::ReadResult;
use crate::residency::{residency_of_job, KnownZones};
use crate::state::{Command, PAGE_BYTES};
use crate::store::{ProposeError, Store};
use crate::worker::{ConnectionRuns, Worker};

/// Maximum wait of a read, whatever the client requests.
const MAX_READ_WAIT: Duration = Duration::from_millis(2_000);
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Memory of a page in flight as a multiple of its text: the results and their encoding.
const PAGE_COPIES: usize = 2;

#[derive(Clone)]
struct Server {
    store: Rc<Store>,
    worker: Rc<Worker>,
    quota: Rc<QuotaService>,
    fleet: FleetCell,
    known_zones: Rc<KnownZones>,
    /// Limits the pages in flight.
    pages: Arc<Semaphore>,
}

/// Serves a listener. Never returns. Pages of results in flight use at most `page_bytes`.
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
            Err(_) => tokio::time::sleep(ACCEPT_BACKOFF).await,
        }
    }
}

async fn serve_connection(stream: TcpStream, server: Server) {
    let store = &server.store;
    let (mut frames, mut socket) = split(stream);
    let (replies, mut queued) = unbounded_channel::<Outgoing>();
    let writer = tokio::task::spawn_local(async move {
        while let Some(Outgoing { frame, permit: _permit }) = queued.recv().await {
            let bytes = encode(&frame);
            drop(frame);
            if send_frame(&mut socket, bytes).await.is_err() {
                return;
            }
        }
    });
    let runs = ConnectionRuns::default();
    let mut received_at = store.now();
    while let Some(bytes) = next_frame(&mut frames, &runs).await {
        let silent_ms = store.now() - received_at;
        received_at = store.now();
        if !runs.is_empty() && silent_ms > RUN_LEASE.as_millis() as u64 {
            // The machine was suspended, so the timer missed the end of the lease, and another
            // process may have taken over the runs.
            break;
        }
        let Ok(frame) = decode(&bytes) else { break };
        match frame {
            Frame::Consensus(message) => store.receive(message),
            Frame::Join(member) => handle_join(store, member),
            Frame::Leader(name) => store.set_leader_hint(name),
            Frame::Unprocessable { job, item } => store.abandon_detached(&job, item),
            Frame::Sums(sums) => {
                store.loads.record_sums(sums);
                store.work_changed.notify_one();
            }
            Frame::GatewayMoved { gateway } => {
                store.loads.forget(&gateway);
                store.loads_changed.notify_one();
                store.work_changed.notify_one();
            }
            Frame::Request { call, request: Request::Run(run) } => {
                runs.start(&server.worker, call, run, replies.clone());
            }
            Frame::Cancel { call } => runs.cancel(call),
            Frame::Heartbeat => {
                // If the writer has ended, so does the connection.
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

/// The next frame; `None` if the connection has ended, or the lease of its runs has expired.
async fn next_frame(frames: &mut IncomingFrames, runs: &ConnectionRuns) -> Option<BytesMut> {
    let frame = match runs.is_empty() {
        true => frames.next().await,
        false => tokio::time::timeout(RUN_LEASE, frames.next()).await.ok()?,
    };
    frame?.ok()
}

/// Handles a join request. A leader answers that it leads, whether or not it admits the member.
fn handle_join(store: &Store, member: MemberId) {
    if store.is_leader() {
        let me = store.with_core(|core, _| core.id().name.clone());
        store.send_frame(&member.name, &Frame::Leader(me));
    }
    store.record_join_request(member);
}

async fn answer(server: Server, call: u64, request: Request, replies: UnboundedSender<Outgoing>) {
    let mut permit = None;
    if let Request::Results { job, from, wait_ms, .. } = &request {
        let wait = Duration::from_millis(*wait_ms).min(MAX_READ_WAIT);
        wait_until_readable(&server.store, job, *from, Instant::now() + wait).await;
        permit = server.pages.clone().acquire_owned().await.ok();
    }
    let reply = handle_request(&server, request).await;
    let _ = replies.send(Outgoing { frame: Frame::Reply { call, reply }, permit });
}

async fn handle_request(server: &Server, request: Request) -> Reply {
    let (store, quota) = (&server.store, &server.quota);
    let suspects = &server.worker.items.suspects;
    // Load is not in the log: any job store aggregates it, so that it is known without a leader.
    if let Request::Load(report) = request {
        if let Some(before) = &report.previous_aggregator {
            store.send_frame(before, &Frame::GatewayMoved { gateway: report.gateway.clone() });
        }
        let answer = store.loads.report(report, store.confirmed_leader());
        store.loads_changed.notify_one();
        store.work_changed.notify_one();
        return Reply::Load(answer);
    }
    if let Request::TakeTokens(token_requests) = request {
        return Reply::Tokens(quota.take(&token_requests));
    }
    // Knowledge of suspects is not part of the log either.
    if let Request::Suspects(exchange) = request {
        return Reply::Suspects(exchange.answer(suspects));
    }
    if !store.serves() {
        return not_ready(store);
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
            let _permit = match store.reserve(&job, &submission) {
                Ok(permit) => permit,
                Err(Rejection::InProgress) => return Reply::Unknown,
                Err(Rejection::Full) => return Reply::Full,
                Err(Rejection::OverQuota) => return Reply::OverQuota,
            };
            let command = Command::SubmitFor { job, tenant: requester.owner(), submission };
            commit(store, command, Reply::Accepted).await
        }
        Request::End { job, requester } => {
            let may_access =
                store.with_job(&job, |held| requester.may_access(held.tenant.as_ref()));
            if may_access != Some(true) {
                return found(store, ReadResult::NotFound, |()| Reply::Ended);
            }
            commit(store, Command::End { job }, Reply::Ended).await
        }
        Request::Body { job, requester, item } => {
            let body = store.read(|jobs| jobs.body(&job, &requester, &item).map(<[u8]>::to_vec));
            found(store, body, Reply::Body)
        }
        Request::HasJob { job, requester } => {
            match store.with_job(&job, |held| requester.may_access(held.tenant.as_ref())) {
                Some(true) => Reply::Accepted,
                Some(false) => Reply::JobIdConflict,
                None if store.is_pending(&job) => Reply::Unknown,
                None => Reply::NotFound,
            }
        }
        Request::TokenIssuers => Reply::TokenIssuers(store.token_issuers()),
        Request::RenewSlots { name, releases } => Reply::Slots(quota.renew(store, &name, releases)),
        Request::Load(_) | Request::Run(_) | Request::TakeTokens(_) | Request::Suspects(_) => {
            Reply::LeaderNotReady
        }
        Request::Results { job, requester, from, .. } => {
            found(store, store.page(&job, &requester, from), Reply::Page)
        }
    }
}

/// Members of the group that may not store the job. Gateways check all job stores that they know
/// before they send a job; this process knows the actual members.
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
    server.known_zones.record(&server.fleet.load());
    server.known_zones.forbidden(names.iter().map(String::as_str), &residency, &catalog.zones)
}

fn not_ready(store: &Store) -> Reply {
    if store.is_leader() {
        return Reply::LeaderNotReady;
    }
    Reply::NotLeader { leader: store.leader() }
}

async fn commit(store: &Store, command: Command, done: Reply) -> Reply {
    match store.propose(&command).await {
        Ok(()) => done,
        Err(ProposeError::NotLeader) => not_ready(store),
        Err(ProposeError::Unknown) => Reply::Unknown,
    }
}

fn found<T>(store: &Store, found: ReadResult<T>, reply: impl FnOnce(T) -> Reply) -> Reply {
    match found {
        ReadResult::Found(value) => reply(value),
        ReadResult::NotFound => Reply::NotFound,
        ReadResult::NotReady => not_ready(store),
    }
}

/// Waits until a result exists from a position on, none will come, or the deadline is reached.
async fn wait_until_readable(store: &Store, job: &str, from: u64, until: Instant) {
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
