//! Answers gateways and takes messages of other members.

use std::rc::Rc;
use std::time::Duration;

use futures::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::time::Instant;
use yokefall_consensus::MemberId;

use crate::protocol::{decode, encode, framed, BackendCount, Frame, Reply, Request};
use crate::state::Command;
use crate::store::{Found, ProposeError, Store};

/// Longest time for which a read is held, whatever its caller asks.
const MAX_READ_WAIT: Duration = Duration::from_millis(2_000);
/// Pause after a connection could not be taken.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves a listener for ever.
pub async fn serve(listener: TcpListener, store: Rc<Store>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_connection(stream, store.clone()));
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve_connection(stream: TcpStream, store: Rc<Store>) {
    let (mut sink, mut frames) = framed(stream).split();
    let (replies, mut queued) = unbounded_channel::<Frame>();
    let writer = tokio::task::spawn_local(async move {
        while let Some(frame) = queued.recv().await {
            if sink.send(encode(&frame)).await.is_err() {
                return;
            }
        }
    });
    while let Some(Ok(bytes)) = frames.next().await {
        let Ok(frame) = decode(&bytes) else { break };
        match frame {
            Frame::Consensus(message) => store.receive(message),
            Frame::Join(member) => take_join(&store, member),
            Frame::Leader(name) => store.note_leader(name),
            Frame::Request { call, request } => {
                let (store, replies) = (store.clone(), replies.clone());
                tokio::task::spawn_local(answer(store, call, request, replies));
            }
            Frame::Reply { .. } => break,
        }
    }
    writer.abort();
}

/// A member asks to join; the leader tells it who leads, whether it is admitted or not.
fn take_join(store: &Store, member: MemberId) {
    if store.is_leader() {
        let me = store.with_core(|core, _| core.id().name.clone());
        store.send_frame(&member.name, &Frame::Leader(me));
    }
    store.note_joining(member);
}

async fn answer(store: Rc<Store>, call: u64, request: Request, replies: UnboundedSender<Frame>) {
    let reply = carry_out(&store, request).await;
    let _ = replies.send(Frame::Reply { call, reply });
}

async fn carry_out(store: &Store, request: Request) -> Reply {
    // Loads are no part of the log: any job store adds them up, so that they stay known while
    // nobody leads.
    if let Request::Load { gateway, counts } = request {
        return take_loads(store, &gateway, counts);
    }
    if !store.serves() {
        return not_sure(store);
    }
    match request {
        Request::Submit { job, submission } => {
            if store.with_job(&job, |_| ()).is_some() {
                return Reply::Accepted;
            }
            if store.is_full_for(&submission) {
                return Reply::Full;
            }
            changed(store, Command::Submit { job, submission }, Reply::Accepted).await
        }
        Request::End { job } => {
            if store.with_job(&job, |_| ()).is_none() {
                return found(store, Found::No, |()| Reply::Ended);
            }
            changed(store, Command::End { job }, Reply::Ended).await
        }
        Request::Body { job, item } => {
            let body = store.read(|jobs| jobs.body(&job, &item).map(<[u8]>::to_vec));
            found(store, body, Reply::Body)
        }
        Request::Load { .. } => Reply::Unsure,
        Request::Results { job, from, wait_ms } => {
            let wait = Duration::from_millis(wait_ms).min(MAX_READ_WAIT);
            read_results(store, &job, from, Instant::now() + wait).await
        }
    }
}

fn take_loads(store: &Store, gateway: &str, counts: Vec<BackendCount>) -> Reply {
    store.loads.take(gateway, counts);
    store.work_changed.notify_one();
    Reply::Totals(store.loads.totals())
}

fn not_sure(store: &Store) -> Reply {
    if store.is_leader() {
        return Reply::Unsure;
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
        Found::Unsure => not_sure(store),
    }
}

/// Results from a position on, held until one exists or nothing more will come.
async fn read_results(store: &Store, job: &str, from: u64, until: Instant) -> Reply {
    loop {
        let reader = store.reader(job);
        let woken = reader.notified();
        let page = match store.page(job, from) {
            Found::Yes(page) => page,
            other => return found(store, other, Reply::Page),
        };
        let over = store.with_job(job, |job| !job.is_open()).unwrap_or(true);
        if !page.results.is_empty() || over || Instant::now() >= until {
            return Reply::Page(page);
        }
        let _ = tokio::time::timeout_at(until, woken).await;
    }
}
