//! Client of peer connections: one per peer, opened on first use, that multiplexes calls.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use yokefall_types::NodeName;

use crate::error::{PeerError, PeerStep};
use crate::frame::{decode, encode, framed, Frame, FramedStream, PROTOCOL_VERSION};
use crate::message::{PeerReply, PeerRequest};

/// Timeout for opening a connection, including the handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of requests queued on a slow connection.
const MAX_QUEUED_REQUESTS: usize = 1024;

type PendingCalls = HashMap<u64, mpsc::UnboundedSender<Result<PeerReply, PeerError>>>;

/// The replies to one request.
#[derive(Debug)]
pub struct ReplyStream {
    replies: mpsc::UnboundedReceiver<Result<PeerReply, PeerError>>,
    peer: SocketAddr,
}

impl ReplyStream {
    /// Returns the next reply, or an error if the connection was lost.
    pub async fn next(&mut self) -> Result<PeerReply, PeerError> {
        match self.replies.recv().await {
            Some(reply) => reply,
            None => Err(PeerError::new(PeerStep::Receive, self.peer, "connection lost")),
        }
    }
}

/// An established connection, with the calls that wait for replies on it.
#[derive(Debug)]
struct Connection {
    requests: mpsc::Sender<Frame>,
    pending: Arc<Mutex<PendingCalls>>,
}

impl Connection {
    fn is_open(&self) -> bool {
        !self.requests.is_closed()
    }
}

/// The connection to one peer. The mutex is held while it opens, so that concurrent calls share it.
#[derive(Debug, Default)]
struct ConnectionSlot {
    connection: tokio::sync::Mutex<Option<Arc<Connection>>>,
}

/// Pool with one connection to each peer that has been called.
#[derive(Clone, Debug)]
pub struct PeerClient {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    node: NodeName,
    secret: String,
    next_call: AtomicU64,
    slots: Mutex<HashMap<SocketAddr, Arc<ConnectionSlot>>>,
}

impl PeerClient {
    /// Creates a client that identifies itself as `node` and authenticates with the fleet's secret.
    pub fn new(node: NodeName, secret: String) -> Self {
        let slots = Mutex::new(HashMap::new());
        Self { inner: Arc::new(Inner { node, secret, next_call: AtomicU64::new(1), slots }) }
    }

    /// Sends a request and returns the stream of its replies.
    pub async fn open(
        &self,
        peer: SocketAddr,
        request: PeerRequest,
    ) -> Result<ReplyStream, PeerError> {
        let connection = self.connection(peer).await?;
        let call = self.inner.next_call.fetch_add(1, Ordering::Relaxed);
        let (sender, replies) = mpsc::unbounded_channel();
        lock(&connection.pending).insert(call, sender);
        let frame = Frame::Request { call, request };
        if connection.requests.send(frame).await.is_err() {
            lock(&connection.pending).remove(&call);
            return Err(PeerError::new(PeerStep::Send, peer, "connection lost"));
        }
        Ok(ReplyStream { replies, peer })
    }

    /// Sends a request that has a single reply and waits for it.
    pub async fn call(
        &self,
        peer: SocketAddr,
        request: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply, PeerError> {
        let exchange = async { self.open(peer, request).await?.next().await };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(reply) => reply,
            Err(_) => Err(PeerError::new(PeerStep::Receive, peer, "no reply in time")),
        }
    }

    async fn connection(&self, peer: SocketAddr) -> Result<Arc<Connection>, PeerError> {
        let slot = lock(&self.inner.slots).entry(peer).or_default().clone();
        let mut current = slot.connection.lock().await;
        if let Some(connection) = current.as_ref().filter(|c| c.is_open()) {
            return Ok(connection.clone());
        }
        let opening = self.connect(peer);
        let connection = tokio::time::timeout(CONNECT_TIMEOUT, opening)
            .await
            .map_err(|_| PeerError::new(PeerStep::Connect, peer, "timed out"))??;
        *current = Some(connection.clone());
        Ok(connection)
    }

    async fn connect(&self, peer: SocketAddr) -> Result<Arc<Connection>, PeerError> {
        let connect_error = |error| PeerError::new(PeerStep::Connect, peer, error);
        let stream = TcpStream::connect(peer).await.map_err(connect_error)?;
        let mut stream = framed(stream);
        self.handshake(peer, &mut stream).await?;
        let (requests, outgoing) = mpsc::channel(MAX_QUEUED_REQUESTS);
        let pending = Arc::new(Mutex::new(PendingCalls::new()));
        tokio::spawn(run_connection(peer, stream, outgoing, pending.clone()));
        Ok(Arc::new(Connection { requests, pending }))
    }

    async fn handshake(
        &self,
        peer: SocketAddr,
        stream: &mut FramedStream,
    ) -> Result<(), PeerError> {
        let failed = |cause: String| PeerError::new(PeerStep::Handshake, peer, cause);
        let hello = Frame::Hello {
            version: PROTOCOL_VERSION,
            node: self.inner.node.clone(),
            secret: self.inner.secret.clone(),
        };
        let bytes = encode(&hello).map_err(|e| failed(e.to_string()))?;
        stream.send(bytes).await.map_err(|e| failed(e.to_string()))?;
        let answer = stream.next().await.ok_or_else(|| failed("closed".into()))?;
        let bytes = answer.map_err(|e| failed(e.to_string()))?;
        match decode(&bytes) {
            Ok(Frame::Welcome { refusal }) if refusal.is_empty() => Ok(()),
            Ok(Frame::Welcome { refusal }) => Err(failed(refusal)),
            Ok(_) => Err(failed("unexpected frame".into())),
            Err(error) => Err(failed(error.to_string())),
        }
    }
}

async fn run_connection(
    peer: SocketAddr,
    stream: FramedStream,
    mut outgoing: mpsc::Receiver<Frame>,
    pending: Arc<Mutex<PendingCalls>>,
) {
    let (mut sink, mut source) = stream.split();
    let writer = async {
        while let Some(frame) = outgoing.recv().await {
            let Ok(bytes) = encode(&frame) else { break };
            if sink.feed(bytes).await.is_err() {
                break;
            }
            if outgoing.is_empty() && sink.flush().await.is_err() {
                break;
            }
        }
    };
    let reader = async {
        while let Some(Ok(bytes)) = source.next().await {
            let Ok(Frame::Reply { call, reply }) = decode(&bytes) else { break };
            deliver(&pending, call, reply);
        }
    };
    tokio::select! {
        () = writer => {}
        () = reader => {}
    }
    // The queue is closed before pending calls fail: no later call waits on a closed connection.
    outgoing.close();
    let unanswered = std::mem::take(&mut *lock(&pending));
    for (_, sender) in unanswered {
        let _ = sender.send(Err(PeerError::new(PeerStep::Receive, peer, "connection lost")));
    }
    while outgoing.recv().await.is_some() {}
    lock(&pending).clear();
}

fn deliver(pending: &Mutex<PendingCalls>, call: u64, reply: PeerReply) {
    let last = reply.is_last();
    let mut pending = lock(pending);
    let receiver_gone = match pending.get(&call) {
        Some(sender) => sender.send(Ok(reply)).is_err(),
        None => return,
    };
    if last || receiver_gone {
        pending.remove(&call);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
