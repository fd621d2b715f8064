//! Start-up and graceful shutdown of an agent.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use yokefall_api::v1::caller_server::CallerServer;
use yokefall_peer::PeerClient;
use yokefall_rpc::{serve_incoming, Authenticator, FileError};
use yokefall_settings::Settings;
use yokefall_telemetry::{Event, HealthState, Level, MetricsServer};
use yokefall_types::NodeName;

use crate::calls::CallClient;
use crate::jobs::JobClient;
use crate::members::Members;
use crate::port::{CallerPort, InFlightCalls};

/// How often shutdown checks whether calls are still in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Delay before the server is aborted, so that the last responses can be flushed.
const RESPONSE_FLUSH_DELAY: Duration = Duration::from_millis(50);

/// Error that prevented an agent from starting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentStartError {
    /// A port could not be opened.
    Listen {
        /// Settings key of the port, below `listen`.
        port: &'static str,
        /// Address to bind.
        address: SocketAddr,
        /// The cause.
        cause: String,
    },
    /// A file could not be read, or a server could not be set up.
    File(String),
}

impl fmt::Display for AgentStartError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AgentStartError::Listen { port, address, cause } => {
                write!(formatter, "open listen.{port} {address}: {cause}")
            }
            AgentStartError::File(cause) => formatter.write_str(cause),
        }
    }
}

impl std::error::Error for AgentStartError {}

impl From<FileError> for AgentStartError {
    fn from(error: FileError) -> Self {
        AgentStartError::File(error.to_string())
    }
}

/// Bound listeners of an agent.
pub struct AgentListeners {
    /// gRPC port for callers.
    pub rpc: TcpListener,
    /// HTTP port for metrics and health checks.
    pub metrics: TcpListener,
}

impl AgentListeners {
    /// Binds the addresses given in the settings.
    pub async fn open(settings: &Settings) -> Result<Self, AgentStartError> {
        Ok(Self {
            rpc: listen("rpc", settings.listen.rpc).await?,
            metrics: listen("metrics", settings.listen.metrics).await?,
        })
    }
}

async fn listen(port: &'static str, address: SocketAddr) -> Result<TcpListener, AgentStartError> {
    TcpListener::bind(address).await.map_err(|error| AgentStartError::Listen {
        port,
        address,
        cause: error.to_string(),
    })
}

/// A running agent.
pub struct Agent {
    in_flight: Arc<InFlightCalls>,
    health: Arc<HealthState>,
    members: Members,
    server: JoinHandle<()>,
    rpc_address: SocketAddr,
}

impl Agent {
    /// Starts an agent on bound listeners.
    pub async fn start(
        settings: &Settings,
        listeners: AgentListeners,
    ) -> Result<Self, AgentStartError> {
        let secret_file = &settings.fleet.secret_file;
        let secret = std::fs::read_to_string(secret_file).map_err(|error| {
            let file = secret_file.display();
            AgentStartError::File(format!("read fleet.secret_file {file}: {error}"))
        })?;
        let io_error = |error: std::io::Error| AgentStartError::File(error.to_string());
        let rpc_address = listeners.rpc.local_addr().map_err(io_error)?;
        let reload = Duration::from_millis(settings.security.reload_interval_ms);
        let keys_file = settings.security.keys_file.clone();
        let authenticator = Authenticator::start(keys_file, reload)?;
        let incoming = serve_incoming(listeners.rpc, &settings.security)?;
        let health = Arc::new(HealthState::default());
        MetricsServer::start(listeners.metrics, health.clone()).map_err(io_error)?;
        let peers = PeerClient::new(NodeName::new(&settings.node.name), secret.trim().to_owned());
        let members = Members::start(peers.clone(), settings.fleet.seeds.clone(), health.clone());
        let in_flight = Arc::new(InFlightCalls::default());
        let port = CallerPort {
            authenticator,
            calls: CallClient { peers: peers.clone(), members: members.clone() },
            jobs: JobClient {
                peers,
                members: members.clone(),
                data_nodes: settings.fleet.data_nodes.iter().map(NodeName::new).collect(),
            },
            in_flight: in_flight.clone(),
        };
        let serving = tonic::transport::Server::builder()
            .add_service(CallerServer::new(port))
            .serve_with_incoming(incoming);
        let server = tokio::spawn(async move {
            let _ = serving.await;
        });
        Event::new(Level::Info, "start").peer(rpc_address).write("agent started");
        Ok(Self { in_flight, health, members, server, rpc_address })
    }

    /// Bound address of the gRPC port for callers.
    pub fn rpc_address(&self) -> SocketAddr {
        self.rpc_address
    }

    /// Number of daemons in the current member list.
    pub fn member_count(&self) -> usize {
        self.members.load().len()
    }

    /// Rejects new calls and waits up to `drain` for calls in flight. Returns whether all finished.
    pub async fn stop(self, drain: Duration) -> bool {
        self.health.set_ready(false);
        self.in_flight.close();
        let started_at = Instant::now();
        while self.in_flight.count() > 0 && started_at.elapsed() < drain {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        let drained = self.in_flight.count() == 0;
        tokio::time::sleep(RESPONSE_FLUSH_DELAY).await;
        self.server.abort();
        drained
    }
}
