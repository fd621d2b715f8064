//! Protocol for exchanging configuration and back ends between peers: one request and one response
//! per TCP connection, encoded with borsh, each prefixed with its length.

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
use crate::state_sections;

/// Timeout of an exchange: twice what the largest concurrent responses take at 30 Mbit/s.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum number of peers served concurrently; others are rejected and ask another peer. After a
/// restart of the fleet, all ask the first that have the state, and none would get it in time.
const MAX_CONCURRENT_RESPONSES: usize = 8;
/// Maximum size of concurrent responses in bytes, except for a single larger one; a link of 30
/// Mbit/s takes 0.7 s for them. Eight lists of 10,000 back ends, 1 MB each, would take 2.3 s
/// together, and no peer would receive one in time.
const MAX_IN_FLIGHT_BYTES: usize = 2_700_000;
/// Size of one back end in a response, with the longest names in use.
const BACKEND_BYTES: usize = 134;
/// Maximum message size in bytes: a configuration of 1 MB, the store's limit, and 10,000 back ends.
const MAX_MESSAGE_BYTES: u32 = 4 * 1024 * 1024;
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Requests the state of a peer that is newer than the sender's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct StateRequest {
    /// Digest of the sender's state.
    pub known: StateDigest,
    /// Whether all back ends are requested, instead of changes only.
    pub whole: bool,
}

/// The state that is newer than the requester's.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct StateResponse {
    /// Digest of the responder's state.
    pub known: StateDigest,
    /// The configuration, if it is newer.
    pub configuration: Option<Configuration>,
    /// Back ends.
    pub backends: BackendUpdates,
    /// All evacuated zones, if the responder is ahead. There are few of them.
    pub evacuations: Option<Vec<VersionedEvacuation>>,
}

/// An evacuation with its revision in the store.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct VersionedEvacuation {
    /// Revision of the object's last change.
    pub revision: Revision,
    /// The evacuation.
    pub evacuation: Evacuation,
}

/// Back ends that changed.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct BackendUpdates {
    /// Revision after which these are the changes; `None` if the list is complete.
    pub since: Option<Revision>,
    /// Back ends that were added or changed.
    pub changed: Vec<VersionedBackend>,
    /// Back ends that were removed.
    pub removed: Vec<Removal>,
}

/// A back end with its revision in the store.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct VersionedBackend {
    /// Name of the object.
    pub name: String,
    /// Revision of the object's last change.
    pub revision: Revision,
    /// The back end.
    pub backend: Backend,
}

impl From<VersionedBackend> for Change<Backend> {
    fn from(named: VersionedBackend) -> Self {
        let VersionedBackend { name, revision, backend } = named;
        Self { name, revision, value: Some(backend) }
    }
}

/// A removed object.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Removal {
    /// Name of the object.
    pub name: String,
    /// Revision at which the removal was observed.
    pub revision: Revision,
}

/// Error of an exchange with a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExchangeError {
    /// The step that failed.
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

/// Requests the state of a peer.
pub async fn fetch(
    peer: SocketAddr,
    request: StateRequest,
) -> Result<StateResponse, ExchangeError> {
    let failed = |step: &'static str| {
        move |cause: std::io::Error| ExchangeError { step, peer, cause: cause.to_string() }
    };
    let exchange = async {
        let mut stream = TcpStream::connect(peer).await.map_err(failed("connect"))?;
        let request = state_sections::requesting_sections(request);
        let request = borsh::to_vec(&request).map_err(failed("encode request"))?;
        send(&mut stream, &request).await.map_err(failed("send request"))?;
        let response = receive(&mut stream).await.map_err(failed("read answer"))?;
        state_sections::decode(&response).map_err(failed("decode answer"))
    };
    match tokio::time::timeout(EXCHANGE_TIMEOUT, exchange).await {
        Ok(result) => result,
        Err(_) => {
            let cause = format!("no response within {EXCHANGE_TIMEOUT:?}");
            Err(ExchangeError { step: "await answer", peer, cause })
        }
    }
}

/// Number of bytes of responses in flight.
#[derive(Debug, Default)]
pub struct ResponseBudget {
    in_flight: Cell<usize>,
}

/// Reservation for the bytes of one response, released on drop.
#[derive(Debug)]
pub struct ResponseReservation {
    budget: Rc<ResponseBudget>,
    reserved: usize,
}

impl ResponseBudget {
    /// Reserves space for a response with about `backends` back ends; `None` if those in flight
    /// leave too little. A response that exceeds the limit by itself is sent alone.
    pub fn reserve(self: &Rc<Self>, backends: usize) -> Option<ResponseReservation> {
        let reserved = backends * BACKEND_BYTES;
        let in_flight = self.in_flight.get();
        if in_flight > 0 && in_flight + reserved > MAX_IN_FLIGHT_BYTES {
            return None;
        }
        self.in_flight.set(in_flight + reserved);
        Some(ResponseReservation { budget: self.clone(), reserved })
    }
}

impl Drop for ResponseReservation {
    fn drop(&mut self) {
        self.budget.in_flight.set(self.budget.in_flight.get() - self.reserved);
    }
}

/// Provides the state that peers request.
pub trait StateProvider {
    /// Number of back ends that a response would contain.
    fn response_backends(&self, request: &StateRequest) -> usize;
    /// Builds the response.
    fn answer(&self, request: &StateRequest) -> StateResponse;
}

/// Serves peers indefinitely.
pub async fn serve(listener: TcpListener, provider: Rc<dyn StateProvider>) {
    let slots = Arc::new(Semaphore::new(MAX_CONCURRENT_RESPONSES));
    let budget = Rc::new(ResponseBudget::default());
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let Ok(permit) = slots.clone().try_acquire_owned() else { continue };
                let serving = serve_one(stream, provider.clone(), budget.clone());
                tokio::task::spawn_local(async move {
                    serving.await;
                    drop(permit);
                });
            }
            Err(_) => tokio::time::sleep(ACCEPT_BACKOFF).await,
        }
    }
}

async fn serve_one(
    mut stream: TcpStream,
    provider: Rc<dyn StateProvider>,
    budget: Rc<ResponseBudget>,
) {
    let exchange = async {
        let request: StateRequest = borsh::from_slice(&receive(&mut stream).await?)?;
        let Some(reservation) = budget.reserve(provider.response_backends(&request)) else {
            return Ok(());
        };
        let with_sections = state_sections::requests_sections(&request);
        let response = state_sections::encode(&provider.answer(&request), with_sections)?;
        let sent = send(&mut stream, &response).await;
        // The peer has received the data when it closes; the write only fills kernel buffers.
        let _ = stream.read(&mut [0]).await;
        drop(reservation);
        sent
    };
    // A peer that received no response asks another one.
    let _: Result<std::io::Result<()>, _> = tokio::time::timeout(EXCHANGE_TIMEOUT, exchange).await;
}

async fn send(stream: &mut TcpStream, message: &[u8]) -> std::io::Result<()> {
    let length = u32::try_from(message.len()).map_err(std::io::Error::other)?;
    let mut bytes = length.to_be_bytes().to_vec();
    bytes.extend(message);
    stream.write_all(&bytes).await
}

async fn receive(stream: &mut TcpStream) -> std::io::Result<Vec<u8>> {
    let length = stream.read_u32().await?;
    if length > MAX_MESSAGE_BYTES {
        return Err(std::io::Error::other(format!(
            "message of {length} bytes exceeds the limit of {MAX_MESSAGE_BYTES}"
        )));
    }
    let mut message = vec![0; length as usize];
    stream.read_exact(&mut message).await?;
    Ok(message)
}
