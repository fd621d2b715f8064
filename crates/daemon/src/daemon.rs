//! Start and graceful shutdown of a daemon.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{broadcast, mpsc, Notify};
use tokio::task::JoinHandle;
use yokefall_api::v1::operator_server::OperatorServer;
use yokefall_backend::BackendClient;
use yokefall_core::jobs::JobStore;
use yokefall_core::membership::{MemberRecord, MemberState, Membership};
use yokefall_core::FleetView;
use yokefall_objects::ObjectApi;
use yokefall_peer::{HomeId, PeerClient};
use yokefall_rpc::{serve_incoming, Authenticator};
use yokefall_settings::Settings;
use yokefall_storage::{Journal, JournalWriter, StorageError};
use yokefall_telemetry::{Event, HealthState, Level, MetricsServer};
use yokefall_types::{Kind, NodeName};

use crate::clock::{unix_ms, Clock};
use crate::control::{
    self, BusyCounts, ControlParts, ControlThread, DispatchCommand, FleetCommand,
};
use crate::error::StartError;
use crate::ports::operator::OperatorPort;
use crate::ports::peers::{ask_dispatch, PeerPort};
use crate::ports::{datagrams, platform, repair};
use crate::shared::{Shared, Store};
use crate::traffic::uploads::UploadTable;

/// Capacity of the change broadcast: a watcher that lags further behind loses its watch.
const CHANGE_QUEUE_CAPACITY: usize = 4096;
/// Time for other processes to learn that this one is leaving.
const LEAVE_PROPAGATION_DELAY: Duration = Duration::from_millis(2_500);
const DRAIN_INTERVAL: Duration = Duration::from_millis(50);
/// Time for the last datagrams to be sent.
const FINAL_DATAGRAM_DELAY: Duration = Duration::from_millis(50);

/// Open ports of a daemon.
pub struct Listeners {
    /// Peers, TCP.
    pub peer: TcpListener,
    /// Peers, UDP; the same port.
    pub datagram: UdpSocket,
    /// Operators.
    pub rpc: TcpListener,
    /// Metrics and health.
    pub metrics: TcpListener,
}

impl Listeners {
    /// Opens the ports in the settings. If the TCP port is 0, UDP takes the number that was bound.
    pub async fn open(settings: &Settings) -> Result<Self, StartError> {
        let peer = listen("peer", settings.listen.peer).await?;
        let bound = peer.local_addr().unwrap_or(settings.listen.peer);
        let datagram = UdpSocket::bind(bound).await.map_err(|error| StartError::Listen {
            port: "peer (UDP)",
            address: bound.to_string(),
            cause: error.to_string(),
        })?;
        Ok(Self {
            peer,
            datagram,
            rpc: listen("rpc", settings.listen.rpc).await?,
            metrics: listen("metrics", settings.listen.metrics).await?,
        })
    }

    /// The peer address.
    pub fn peer_address(&self) -> std::io::Result<SocketAddr> {
        self.peer.local_addr()
    }
}

async fn listen(port: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|error| StartError::Listen {
        port,
        address: address.to_string(),
        cause: error.to_string(),
    })
}

/// Result of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopReport {
    /// Whether all work was finished, returned or handed over.
    pub clean: bool,
}

/// A running daemon.
pub struct Daemon {
    shared: Arc<Shared>,
    health: Arc<HealthState>,
    tasks: Vec<JoinHandle<()>>,
    _control: ControlThread,
    peer_address: SocketAddr,
    rpc_address: SocketAddr,
}

impl Daemon {
    /// Starts a daemon on open ports.
    pub async fn start(settings: &Settings, listeners: Listeners) -> Result<Self, StartError> {
        let secret = read_secret(settings)?;
        let address = |listener: &TcpListener| {
            listener.local_addr().map_err(|error| StartError::File(error.to_string()))
        };
        let peer_address = address(&listeners.peer)?;
        let rpc_address = address(&listeners.rpc)?;
        let clock = Clock::start();
        let (store, jobs, journal_failure) = open_store(settings, clock)?;
        let shared = Arc::new(new_shared(settings, &secret, clock, store)?);
        if let Some(mut failure) = journal_failure {
            let shared = shared.clone();
            tokio::spawn(async move {
                if let Some(error) = failure.recv().await {
                    Event::new(Level::Error, "write journal").write(error);
                    shared.storage_failed.notify_waiters();
                    shared.storage_failed.notify_one();
                }
            });
        }
        let (datagram_sender, datagram_queue) = mpsc::unbounded_channel();
        let seed = unix_ms() ^ u64::from(std::process::id()) << 32 ^ u64::from(peer_address.port());
        let seeds = settings.fleet.seeds.iter().map(SocketAddr::to_string).collect();
        let parts = ControlParts {
            membership: Membership::new(own_record(settings, peer_address), seeds, seed),
            jobs,
            datagrams: datagram_sender,
            retention_ms: settings.request.retention_seconds * 1_000,
            seed,
            batch: settings.batch.enabled,
            data_nodes: settings.fleet.data_nodes.iter().map(NodeName::new).collect(),
        };
        let control = control::start(shared.clone(), parts).await?;
        let health = Arc::new(HealthState::default());
        let ports = Ports { listeners, secret, health: health.clone(), datagram_queue, seed };
        let tasks = open_ports(settings, &shared, ports)?;
        health.set_ready(true);
        Event::new(Level::Info, "start").peer(peer_address).write("daemon started");
        Ok(Self { shared, health, tasks, _control: control, peer_address, rpc_address })
    }

    /// Address for peers.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Address for operators.
    pub fn rpc_address(&self) -> SocketAddr {
        self.rpc_address
    }

    /// Number of back ends with an owner in this daemon's view, and of members considered alive.
    pub fn view_size(&self) -> (usize, usize) {
        let view = self.shared.view.load();
        (view.owners.len(), view.members.len())
    }

    /// Resolves when the data folder has failed and the process must stop.
    pub async fn storage_failed(&self) {
        self.shared.storage_failed.notified().await;
    }

    /// Shuts down gracefully: leaves the routing, waits up to `drain` for running work to finish or
    /// be returned, then announces its departure and stops.
    pub async fn stop(self, drain: Duration) -> StopReport {
        let started_at = Instant::now();
        self.health.set_ready(false);
        let _ = self.shared.fleet().tell(FleetCommand::Announce(MemberState::Leaving)).await;
        let _ = self.shared.dispatch().tell(DispatchCommand::PauseBatch).await;
        let mut idle_since = None;
        let clean = loop {
            let busy = ask_dispatch(&self.shared, DispatchCommand::Busy).await.unwrap_or_default();
            if !busy.is_idle() {
                idle_since = None;
            }
            let idle = busy.is_idle().then(|| *idle_since.get_or_insert_with(Instant::now));
            let announced = started_at.elapsed() >= LEAVE_PROPAGATION_DELAY;
            if announced && idle.is_some_and(|since: Instant| since.elapsed() >= DRAIN_INTERVAL * 4)
            {
                break true;
            }
            if started_at.elapsed() >= drain {
                log_unfinished_work(&busy);
                break false;
            }
            tokio::time::sleep(DRAIN_INTERVAL).await;
        };
        let _ = self.shared.fleet().tell(FleetCommand::Announce(MemberState::Dead)).await;
        tokio::time::sleep(FINAL_DATAGRAM_DELAY).await;
        self.kill();
        StopReport { clean }
    }

    /// Stops at once, without draining, like a crash.
    pub fn kill(self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

fn log_unfinished_work(busy: &BusyCounts) {
    let message = format!("stopped with unfinished work: {busy:?}");
    Event::new(Level::Error, "stop").write(message);
}

fn read_secret(settings: &Settings) -> Result<String, StartError> {
    let file = &settings.fleet.secret_file;
    let text = std::fs::read_to_string(file).map_err(|error| {
        StartError::File(format!("read fleet.secret_file {}: {error}", file.display()))
    })?;
    Ok(text.trim().to_owned())
}

fn own_record(settings: &Settings, peer_address: SocketAddr) -> MemberRecord {
    MemberRecord {
        node: NodeName::new(&settings.node.name),
        incarnation: unix_ms(),
        address: peer_address.to_string(),
        zone: settings.node.zone.clone(),
        region: settings.node.region.clone(),
        data: settings.data.is_some(),
        state: MemberState::Alive,
    }
}

type OpenStore = (Option<Store>, Option<JobStore>, Option<mpsc::UnboundedReceiver<StorageError>>);

fn open_store(settings: &Settings, clock: Clock) -> Result<OpenStore, StartError> {
    let Some(data) = &settings.data else { return Ok((None, None, None)) };
    let failed = |error: StorageError| StartError::Storage(error.to_string());
    let journal = Journal::open(&data.folder).map_err(failed)?;
    let mut jobs = JobStore::new(journal.epoch());
    let (now, unix) = (clock.now(), unix_ms());
    journal.recover(|record| jobs.recover(now, unix, record)).map_err(failed)?;
    jobs.recovered();
    let (report, failure) = mpsc::unbounded_channel();
    let (writer, _thread) = JournalWriter::start(journal.clone(), move |error| {
        let _ = report.send(error);
    })
    .map_err(|error| StartError::Thread(error.to_string()))?;
    let uploads = UploadTable::new(journal.epoch());
    Ok((Some(Store { journal, writer, uploads }), Some(jobs), Some(failure)))
}

fn new_shared(
    settings: &Settings,
    secret: &str,
    clock: Clock,
    store: Option<Store>,
) -> Result<Shared, StartError> {
    let node = NodeName::new(&settings.node.name);
    let objects = ObjectApi::new(&settings.platform.object_api)
        .map_err(|error| StartError::Platform(error.to_string()))?;
    let view = FleetView::empty(node.clone(), settings.node.zone.clone());
    Ok(Shared {
        peers: PeerClient::new(node.clone(), secret.to_owned()),
        backends: BackendClient::new(Duration::from_millis(settings.request.backend_stall_ms)),
        home: HomeId { node: node.clone(), incarnation: unix_ms() },
        node,
        clock,
        objects,
        view: ArcSwap::from_pointee(view),
        calls: Default::default(),
        executions: Default::default(),
        items: Default::default(),
        changes: broadcast::channel(CHANGE_QUEUE_CAPACITY).0,
        store,
        storage_failed: Notify::new(),
        fleet: OnceLock::new(),
        dispatch: OnceLock::new(),
        jobs: OnceLock::new(),
    })
}

struct Ports {
    listeners: Listeners,
    secret: String,
    health: Arc<HealthState>,
    datagram_queue: mpsc::UnboundedReceiver<yokefall_core::membership::Outgoing>,
    seed: u64,
}

fn open_ports(
    settings: &Settings,
    shared: &Arc<Shared>,
    ports: Ports,
) -> Result<Vec<JoinHandle<()>>, StartError> {
    let file_error = |error: yokefall_rpc::FileError| StartError::File(error.to_string());
    let security = &settings.security;
    let reload = Duration::from_millis(security.reload_interval_ms);
    let authenticator =
        Authenticator::start(security.keys_file.clone(), reload).map_err(file_error)?;
    let incoming = serve_incoming(ports.listeners.rpc, security).map_err(file_error)?;
    MetricsServer::start(ports.listeners.metrics, ports.health)
        .map_err(|error| StartError::File(error.to_string()))?;
    let operator = OperatorPort { shared: shared.clone(), authenticator };
    let server = tonic::transport::Server::builder()
        .add_service(OperatorServer::new(operator))
        .serve_with_incoming(incoming);
    let socket = Arc::new(ports.listeners.datagram);
    let peer_port = Arc::new(PeerPort { shared: shared.clone() });
    let machines = settings.platform.machine_list.clone();
    let interval = Duration::from_millis(settings.platform.machine_list_interval_ms);
    let mut tasks = vec![
        tokio::spawn(async move {
            let _ = server.await;
        }),
        tokio::spawn(yokefall_peer::serve(ports.listeners.peer, ports.secret, peer_port)),
        tokio::spawn(datagrams::send(socket.clone(), ports.datagram_queue)),
        tokio::spawn(datagrams::receive(socket, shared.clone())),
        tokio::spawn(repair::run(shared.clone(), ports.seed)),
        tokio::spawn(platform::watch_machines(shared.clone(), machines, interval)),
    ];
    for kind in Kind::DECLARED {
        tasks.push(tokio::spawn(platform::watch_objects(shared.clone(), kind)));
    }
    Ok(tasks)
}
