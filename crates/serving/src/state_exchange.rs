//! The exchange of configuration and back ends between peers: one request and one answer on a TCP
//! connection, borsh, each prefixed by its length.

use std::cell::Cell;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use crate::model::{Backend, Configuration, Evacuation};
use crate::peer_sync::StateDigest;
use crate::source::{Change, Revision};

/// Longest time for an exchange, twice what the largest answers at once need on a link of 30 Mbit/s.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Peers that are answered at once. One more is turned away and asks another: after a restart of all,
/// everybody asks the first who know, and none would have its answer in time.
const MOST_ANSWERED: usize = 8;
/// Bytes of answers that are sent at once, but for a single larger one: a link of 30 Mbit/s takes 0.7 s for them. Eight
/// lists of 10,000 back ends, of 1 MB each, would take 2.3 s together, and no asker would have one in time.
const MOST_BYTES_AT_ONCE: usize = 2_700_000;
/// Bytes of one back end in an answer, as the longest names in use have it.
const BACKEND_BYTES: usize = 130;
/// Largest message in bytes: a configuration of 1 MB, which is what an object of the platform's store
/// may hold, and 10,000 back ends.
const MAX_MESSAGE_BYTES: u32 = 4 * 1024 * 1024;
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Asks a peer for what it knows beyond this.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct StateRequest {
    /// What is known already.
    pub known: StateDigest,
    /// Whether every back end is wanted, and not only those that changed.
    pub whole: bool,
}

/// What a peer knows beyond what was asked.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct StateResponse {
    /// What the peer knows.
    pub known: StateDigest,
    /// Its configuration, where it is newer.
    pub configuration: Option<Configuration>,
    /// Its back ends.
    pub backends: BackendNews,
    /// Every zone that it knows to be evacuated, where it knows more; they are few.
    pub evacuations: Option<Vec<NamedEvacuation>>,
}

/// A request to evacuate a zone with its place in the store's history.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct NamedEvacuation {
    /// Revision of the object's last change.
    pub revision: Revision,
    /// The request.
    pub evacuation: Evacuation,
}

/// Back ends that changed.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct BackendNews {
    /// Revision after which these are the changes; `None` where these are all back ends.
    pub since: Option<Revision>,
    /// Back ends that are new or have changed.
    pub changed: Vec<NamedBackend>,
    /// Back ends that are gone.
    pub removed: Vec<Removal>,
}

/// A back end with its place in the store's history.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct NamedBackend {
    /// Name of its object.
    pub name: String,
    /// Revision of the object's last change.
    pub revision: Revision,
    /// The back end.
    pub backend: Backend,
}

impl From<NamedBackend> for Change<Backend> {
    fn from(named: NamedBackend) -> Self {
        let NamedBackend { name, revision, backend } = named;
        Self { name, revision, value: Some(backend) }
    }
}

/// An object that is gone.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Removal {
    /// Name of the object.
    pub name: String,
    /// Revision at which its removal was learnt.
    pub revision: Revision,
}

/// Why an exchange with a peer failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExchangeError {
    /// The step.
    pub step: &'static str,
    /// Address of the peer.
    pub peer: SocketAddr,
    /// The cause.
    pub cause: String,
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}: {}", self.step, self.peer, self.cause)
    }
}

impl std::error::Error for ExchangeError {}

/// Asks a peer.
pub async fn fetch(
    peer: SocketAddr,
    request: StateRequest,
) -> Result<StateResponse, ExchangeError> {
    let failed = |step: &'static str| {
        move |cause: std::io::Error| ExchangeError { step, peer, cause: cause.to_string() }
    };
    let exchange = async {
        let mut stream = TcpStream::connect(peer).await.map_err(failed("connect"))?;
        send(&mut stream, &request).await.map_err(failed("send request"))?;
        receive(&mut stream).await.map_err(failed("read answer"))
    };
    match tokio::time::timeout(EXCHANGE_TIMEOUT, exchange).await {
        Ok(answer) => answer,
        Err(_) => {
            let cause = format!("none within {EXCHANGE_TIMEOUT:?}");
            Err(ExchangeError { step: "await answer", peer, cause })
        }
    }
}

/// Bytes of answers that are on their way.
#[derive(Debug, Default)]
pub struct AnswerBytes {
    under_way: Cell<usize>,
}

/// Room for the bytes of one answer, given back when it is dropped.
#[derive(Debug)]
pub struct AnswerRoom {
    bytes: Rc<AnswerBytes>,
    taken: usize,
}

impl AnswerBytes {
    /// Room for an answer of about so many back ends; `None` where those under way leave none. An answer that is too
    /// large for all of the room is sent by itself.
    pub fn take(self: &Rc<Self>, backends: usize) -> Option<AnswerRoom> {
        let taken = backends * BACKEND_BYTES;
        let under_way = self.under_way.get();
        if under_way > 0 && under_way + taken > MOST_BYTES_AT_ONCE {
            return None;
        }
        self.under_way.set(under_way + taken);
        Some(AnswerRoom { bytes: self.clone(), taken })
    }
}

impl Drop for AnswerRoom {
    fn drop(&mut self) {
        self.bytes.under_way.set(self.bytes.under_way.get() - self.taken);
    }
}

/// What a process tells its peers.
pub trait Teller {
    /// How many back ends an answer would tell.
    fn backends_to_tell(&self, request: &StateRequest) -> usize;
    /// The answer.
    fn answer(&self, request: &StateRequest) -> StateResponse;
}

/// Answers peers for ever.
pub async fn serve(listener: TcpListener, teller: Rc<dyn Teller>) {
    let free = Arc::new(Semaphore::new(MOST_ANSWERED));
    let bytes = Rc::new(AnswerBytes::default());
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let Ok(permit) = free.clone().try_acquire_owned() else { continue };
                let answering = serve_one(stream, teller.clone(), bytes.clone());
                tokio::task::spawn_local(async move {
                    answering.await;
                    drop(permit);
                });
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve_one(mut stream: TcpStream, teller: Rc<dyn Teller>, bytes: Rc<AnswerBytes>) {
    let exchange = async {
        let request: StateRequest = receive(&mut stream).await?;
        let Some(room) = bytes.take(teller.backends_to_tell(&request)) else { return Ok(()) };
        let sent = send(&mut stream, &teller.answer(&request)).await;
        // Answers wait in the system's buffers: that the peer has this one shows when it closes.
        let _ = stream.read(&mut [0]).await;
        drop(room);
        sent
    };
    // A peer that got no answer asks another one.
    let _: Result<std::io::Result<()>, _> = tokio::time::timeout(EXCHANGE_TIMEOUT, exchange).await;
}

async fn send(stream: &mut TcpStream, message: &impl BorshSerialize) -> std::io::Result<()> {
    let body = borsh::to_vec(message)?;
    let length = u32::try_from(body.len()).map_err(std::io::Error::other)?;
    let mut bytes = length.to_be_bytes().to_vec();
    bytes.extend(body);
    stream.write_all(&bytes).await
}

async fn receive<T: BorshDeserialize>(stream: &mut TcpStream) -> std::io::Result<T> {
    let length = stream.read_u32().await?;
    if length > MAX_MESSAGE_BYTES {
        return Err(std::io::Error::other(format!("a message of {length} bytes")));
    }
    let mut body = vec![0; length as usize];
    stream.read_exact(&mut body).await?;
    borsh::from_slice(&body)
}
