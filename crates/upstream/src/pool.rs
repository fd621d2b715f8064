//! Kept connections, by life of a back end: one to an earlier life ended with it, and what still hangs there
//! must not use up what the new life takes.

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{header, HeaderMap};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::Instant;
use yokefall_serving::{Backend, BackendIncarnation, ByIncarnation};

/// Time for which a connection is kept where the back end tells none.
const DEFAULT_IDLE: Duration = Duration::from_secs(10);
/// Time before the end that a back end tells after which its connection is not used: a request that
/// crosses the close may or may not have run.
const IDLE_MARGIN: Duration = Duration::from_millis(900);
/// Bytes read at once from a back end. There are hundreds of connections, and events are short.
const READ_BUFFER_BYTES: usize = 4 * 1024;
/// Time without acknowledgement of sent bytes after which the system gives a connection up.
const USER_TIMEOUT: Duration = Duration::from_secs(8);

/// Why there is no connection. Nothing was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// The back end could not be reached.
    Unreachable {
        /// Its address.
        peer: String,
        /// The cause.
        cause: String,
    },
    /// This process has as many connections there as it may.
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
    idle: Duration,
}

impl Connection {
    /// Notes what the back end said of keeping the connection.
    pub fn note_keep_alive(&mut self, headers: &HeaderMap) {
        let Some(value) = headers.get("keep-alive").and_then(|value| value.to_str().ok()) else {
            return;
        };
        let timeout = value.split(',').filter_map(|part| part.trim().strip_prefix("timeout="));
        if let Some(seconds) = timeout.filter_map(|text| text.parse::<u64>().ok()).next() {
            self.idle = Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN);
        }
    }

    /// Whether an answer's head says that the connection ends with it.
    pub fn closes_after(headers: &HeaderMap) -> bool {
        let value = headers.get(header::CONNECTION).and_then(|value| value.to_str().ok());
        value.is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

#[derive(Debug, Default)]
struct BackendConnections {
    idle: Vec<Idle>,
    open: Rc<()>,
}

/// Connections of one process to all back ends.
#[derive(Debug, Default)]
pub struct Pool {
    backends: RefCell<ByIncarnation<BackendConnections>>,
}

impl Pool {
    /// A kept connection, or a new one within `limit`. `most` bounds the connections of this
    /// process to the back end.
    pub async fn connect(
        &self,
        backend: &Backend,
        limit: Duration,
        most: usize,
    ) -> Result<Connection, ConnectFailure> {
        if let Some(connection) = self.kept(backend) {
            return Ok(connection);
        }
        let open = self.reserve(backend, most).ok_or(ConnectFailure::Exhausted)?;
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
        tokio::task::spawn_local(async move {
            // How an exchange ends is seen by whoever made it.
            let _ = driver.await;
            drop(open);
        });
        Ok(Connection { sender, incarnation: backend.incarnation(), idle: DEFAULT_IDLE })
    }

    fn reserve(&self, backend: &Backend, most: usize) -> Option<Rc<()>> {
        let mut backends = self.backends.borrow_mut();
        let connections = backends.entry(backend.incarnation());
        (Rc::strong_count(&connections.open) <= most).then(|| connections.open.clone())
    }

    /// The connection kept last, which is the one that its back end closes last.
    fn kept(&self, backend: &Backend) -> Option<Connection> {
        let mut backends = self.backends.borrow_mut();
        let connections = backends.get_mut(backend)?;
        let now = Instant::now();
        while let Some(Idle { connection, until }) = connections.idle.pop() {
            if until > now && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer was read to its end.
    pub fn put_back(&self, connection: Connection) {
        if connection.sender.is_closed() || connection.idle.is_zero() {
            return;
        }
        let mut backends = self.backends.borrow_mut();
        let Some(connections) = backends.incarnation_mut(&connection.incarnation) else { return };
        let now = Instant::now();
        connections.idle.retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
        let until = now + connection.idle;
        connections.idle.push(Idle { connection, until });
    }

    /// Drops what is kept to a back end that says nothing on a request. Its connections may have gone silent
    /// together and for good, while it takes new ones; each that is used would cost a request.
    pub fn close_idle(&self, backend: &Backend) {
        if let Some(connections) = self.backends.borrow_mut().get_mut(backend) {
            connections.idle.clear();
        }
    }

    /// Drops what is kept to lives that nobody knows any more.
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
