//! Client of the job stores: finds the leader through any of them, and reports outcomes of calls.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::sync::oneshot;
use tokio::time::Instant;
use yokefall_serving::FleetCell;

use crate::protocol::{decode, encode, framed, Frame, Reply, Request};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time to wait for a reply, beyond a long-polling read, before another job store is tried.
const REPLY_TIMEOUT: Duration = Duration::from_millis(600);
const RETRY_BACKOFF: Duration = Duration::from_millis(60);
/// TCP user timeout: a connection is closed when sent bytes stay unacknowledged for this long.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The leader answered.
    Answered(Reply),
    /// No leader answered; the request was not executed.
    NotDone,
    /// No leader answered; the change may be in force.
    Unknown,
}

type Waiting = Rc<RefCell<HashMap<u64, oneshot::Sender<Reply>>>>;

struct Link {
    frames: UnboundedSender<Frame>,
    waiting: Waiting,
    open: Rc<Cell<bool>>,
}

/// Client that calls the job stores.
pub struct JobClient {
    fleet: FleetCell,
    links: RefCell<HashMap<SocketAddr, Rc<Link>>>,
    leader: RefCell<Option<String>>,
    next_call: Cell<u64>,
    next_member: Cell<usize>,
}

enum Attempt {
    Reply(Reply),
    NotSent,
    NoReply,
}

impl JobClient {
    /// Creates a client that finds the job stores in `fleet`.
    pub fn new(fleet: FleetCell) -> Self {
        Self {
            fleet,
            links: RefCell::default(),
            leader: RefCell::default(),
            next_call: Cell::new(0),
            next_member: Cell::new(0),
        }
    }

    /// Calls the leader until it answers or `deadline` is reached.
    pub async fn call(&self, request: Request, deadline: Instant) -> CallOutcome {
        let wait = match &request {
            Request::Results { wait_ms, .. } => Duration::from_millis(*wait_ms),
            _ => Duration::ZERO,
        };
        let is_write = matches!(request, Request::Submit { .. } | Request::End { .. });
        let mut may_be_done = false;
        while Instant::now() < deadline {
            let Some((name, address)) = self.candidate() else {
                tokio::time::sleep(RETRY_BACKOFF).await;
                continue;
            };
            let limit = (Instant::now() + REPLY_TIMEOUT + wait).min(deadline);
            match self.call_one(address, request.clone(), limit).await {
                Attempt::Reply(Reply::NotLeader { leader }) => {
                    self.follow_hint(&name, leader).await
                }
                Attempt::Reply(Reply::LeaderNotReady) => tokio::time::sleep(RETRY_BACKOFF).await,
                Attempt::Reply(Reply::Unknown) => may_be_done = true,
                Attempt::Reply(reply) => {
                    *self.leader.borrow_mut() = Some(name);
                    return CallOutcome::Answered(reply);
                }
                Attempt::NotSent => {
                    self.forget(&name);
                    tokio::time::sleep(RETRY_BACKOFF / 4).await;
                }
                Attempt::NoReply => {
                    may_be_done |= is_write;
                    self.forget(&name);
                }
            }
        }
        if may_be_done {
            return CallOutcome::Unknown;
        }
        CallOutcome::NotDone
    }

    /// Calls one job store, whether it leads or not; `None` if it did not reply by `limit`.
    pub async fn call_member(
        &self,
        address: SocketAddr,
        request: Request,
        limit: Instant,
    ) -> Option<Reply> {
        match self.call_one(address, request, limit).await {
            Attempt::Reply(reply) => Some(reply),
            Attempt::NotSent | Attempt::NoReply => None,
        }
    }

    /// The leader if known, otherwise the next job store in turn.
    fn candidate(&self) -> Option<(String, SocketAddr)> {
        let fleet = self.fleet.load();
        let leader = self.leader.borrow();
        if let Some(known) = leader.as_ref() {
            if let Some(member) = fleet.job_stores().find(|member| member.name == *known) {
                return Some((member.name.clone(), member.address));
            }
        }
        let count = fleet.job_stores().count();
        let turn = self.next_member.get();
        self.next_member.set(turn + 1);
        let member = fleet.job_stores().nth(turn.checked_rem(count)?)?;
        Some((member.name.clone(), member.address))
    }

    async fn follow_hint(&self, asked: &str, leader: Option<String>) {
        let known = leader.filter(|leader| leader != asked);
        let pause = known.is_none();
        *self.leader.borrow_mut() = known;
        if pause {
            tokio::time::sleep(RETRY_BACKOFF).await;
        }
    }

    fn forget(&self, name: &str) {
        let mut leader = self.leader.borrow_mut();
        if leader.as_deref() == Some(name) {
            *leader = None;
        }
    }

    async fn call_one(&self, address: SocketAddr, request: Request, limit: Instant) -> Attempt {
        let Some(link) = self.link(address).await else { return Attempt::NotSent };
        let call = self.next_call.get();
        self.next_call.set(call + 1);
        let (sender, reply) = oneshot::channel();
        link.waiting.borrow_mut().insert(call, sender);
        if link.frames.send(Frame::Request { call, request }).is_err() {
            link.waiting.borrow_mut().remove(&call);
            return Attempt::NotSent;
        }
        match tokio::time::timeout_at(limit, reply).await {
            Ok(Ok(reply)) => Attempt::Reply(reply),
            Ok(Err(_)) => Attempt::NoReply,
            Err(_) => {
                link.waiting.borrow_mut().remove(&call);
                // An unresponsive connection may never recover; the next call opens a new one.
                link.open.set(false);
                Attempt::NoReply
            }
        }
    }

    async fn link(&self, address: SocketAddr) -> Option<Rc<Link>> {
        let held = self.links.borrow().get(&address).cloned();
        if let Some(link) = held.filter(|link| link.open.get()) {
            return Some(link);
        }
        let connecting = TcpStream::connect(address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await.ok()?.ok()?;
        let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT));
        let link = Rc::new(start_link(stream));
        self.links.borrow_mut().insert(address, link.clone());
        Some(link)
    }
}

fn start_link(stream: TcpStream) -> Link {
    let (mut sink, mut incoming) = framed(stream).split();
    let (frames, mut queued) = unbounded_channel::<Frame>();
    let waiting: Waiting = Rc::default();
    let open = Rc::new(Cell::new(true));
    let link = Link { frames, waiting: waiting.clone(), open: open.clone() };
    tokio::task::spawn_local(async move {
        loop {
            tokio::select! {
                frame = queued.recv() => {
                    let Some(frame) = frame else { break };
                    if sink.send(encode(&frame)).await.is_err() {
                        break;
                    }
                }
                bytes = incoming.next() => {
                    let Some(Ok(bytes)) = bytes else { break };
                    let Ok(Frame::Reply { call, reply }) = decode(&bytes) else { break };
                    if let Some(sender) = waiting.borrow_mut().remove(&call) {
                        let _ = sender.send(reply);
                    }
                }
            }
        }
        open.set(false);
        // Dropping the senders tells all callers that no reply will come.
        waiting.borrow_mut().clear();
    });
    link
}
