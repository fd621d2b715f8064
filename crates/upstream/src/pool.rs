//! Connection pool, keyed by incarnation of a back end. Connections to an earlier incarnation ended
//! with it, and those still lingering must not count against the connection limit of the new one.

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::Instant;
use yokefall_serving::{Backend, BackendIncarnation, ByIncarnation};

use crate::framing::KEEP_ALIVE;
use crate::surplus::Surplus;

/// How long an idle connection is kept when the back end announces no timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time for which an idle connection is kept, whatever the back end announces.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(3_600);
/// How long before the announced idle timeout a connection is no longer reused: a request that
/// crosses the close may or may not have been executed.
const IDLE_MARGIN: Duration = Duration::from_millis(900);
/// Read buffer of each connection, of which there are hundreds; events are short.
const READ_BUFFER_BYTES: usize = 4 * 1024;
/// `TCP_USER_TIMEOUT`: how long sent data may stay unacknowledged until the kernel disconnects.
const USER_TIMEOUT: Duration = Duration::from_secs(8);

/// Why no connection is available. Nothing was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// The back end could not be reached.
    Unreachable {
        /// Address of the back end.
        peer: String,
        /// The cause.
        cause: String,
    },
    /// This process already has its maximum number of connections to the back end.
    Exhausted,
}

impl fmt::Display for ConnectFailure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConnectFailure::Unreachable { peer, cause } => {
                write!(formatter, "connect {peer}: {cause}")
            }
            ConnectFailure::Exhausted => write!(formatter, "connect: all connections are in use"),
        }
    }
}

/// A connection to a back end that carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) incarnation: BackendIncarnation,
    pub(crate) surplus: Surplus,
    idle: Duration,
}

impl Connection {
    /// Applies the `Keep-Alive` header of a response to the idle timeout of the connection.
    pub fn note_keep_alive(&mut self, headers: &HeaderMap) {
        let Some(value) = headers.get(KEEP_ALIVE).and_then(|value| value.to_str().ok()) else {
            return;
        };
        let timeout = value.split(',').filter_map(|part| part.trim().strip_prefix("timeout="));
        if let Some(seconds) = timeout.filter_map(|text| text.parse::<u64>().ok()).next() {
            let announced = Duration::from_secs(seconds).min(MAX_IDLE_TIMEOUT);
            self.idle = announced.saturating_sub(IDLE_MARGIN);
        }
    }
}

/// Exchanges messages until the connection ends, and keeps what it received after the last response.
async fn drive(
    mut driver: http1::Connection<TokioIo<TcpStream>, Full<Bytes>>,
    surplus: Surplus,
    open: Rc<()>,
) {
    // Errors are returned to the caller of the exchange.
    let _ = std::future::poll_fn(|context| driver.poll_without_shutdown(context)).await;
    surplus.set(driver.into_parts().read_buf);
    drop(open);
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

#[derive(Debug, Default)]
struct BackendConnections {
    idle: Vec<IdleConnection>,
    open: Rc<()>,
}

/// Connections of one process to all back ends.
#[derive(Debug, Default)]
pub struct Pool {
    backends: RefCell<ByIncarnation<BackendConnections>>,
}

impl Pool {
    /// Returns an idle connection, or opens a new one within `limit`. `max_connections` bounds the
    /// connections of this process to the back end.
    pub async fn connect(
        &self,
        backend: &Backend,
        limit: Duration,
        max_connections: usize,
    ) -> Result<Connection, ConnectFailure> {
        if let Some(connection) = self.take_idle(backend) {
            return Ok(connection);
        }
        let open = self.reserve(backend, max_connections).ok_or(ConnectFailure::Exhausted)?;
        let failed = |cause: String| ConnectFailure::Unreachable {
            peer: backend.address.to_string(),
            cause,
        };
        let connected = tokio::time::timeout(limit, TcpStream::connect(backend.address)).await;
        let stream = connected
            .map_err(|_| failed(format!("no answer within {limit:?}")))?
            .map_err(|cause| failed(cause.to_string()))?;
        let _ = stream.set_nodelay(true);
        let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT));
        let (sender, driver) = http1::Builder::new()
            .read_buf_exact_size(Some(READ_BUFFER_BYTES))
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|cause| failed(cause.to_string()))?;
        let surplus = Surplus::default();
        tokio::task::spawn_local(drive(driver, surplus.clone(), open));
        Ok(Connection {
            sender,
            incarnation: backend.incarnation(),
            surplus,
            idle: DEFAULT_IDLE_TIMEOUT,
        })
    }

    fn reserve(&self, backend: &Backend, max_connections: usize) -> Option<Rc<()>> {
        let mut backends = self.backends.borrow_mut();
        let connections = backends.entry(backend.incarnation());
        (Rc::strong_count(&connections.open) <= max_connections).then(|| connections.open.clone())
    }

    /// Returns the most recently used idle connection, which the back end closes last.
    fn take_idle(&self, backend: &Backend) -> Option<Connection> {
        let mut backends = self.backends.borrow_mut();
        let connections = backends.get_mut(backend)?;
        let now = Instant::now();
        while let Some(IdleConnection { connection, expires_at }) = connections.idle.pop() {
            if expires_at > now && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool after its response has been read completely.
    pub fn put_back(&self, connection: Connection) {
        if connection.sender.is_closed() || connection.idle.is_zero() {
            return;
        }
        let mut backends = self.backends.borrow_mut();
        let Some(connections) = backends.incarnation_mut(&connection.incarnation) else { return };
        let now = Instant::now();
        connections
            .idle
            .retain(|idle| idle.expires_at > now && !idle.connection.sender.is_closed());
        let expires_at = now + connection.idle;
        connections.idle.push(IdleConnection { connection, expires_at });
    }

    /// Closes the idle connections to a back end that does not respond: all may have gone silent
    /// permanently while the back end accepts new ones, and each reuse would cost a request.
    pub fn close_idle(&self, backend: &Backend) {
        if let Some(connections) = self.backends.borrow_mut().get_mut(backend) {
            connections.idle.clear();
        }
    }

    /// Closes idle connections to incarnations that are no longer known.
    pub fn retain(&self, known: impl Fn(&BackendIncarnation) -> bool) {
        self.backends.borrow_mut().retain(|incarnation, connections| {
            if known(incarnation) {
                return true;
            }
            connections.idle.clear();
            Rc::strong_count(&connections.open) > 1
        });
    }
}
