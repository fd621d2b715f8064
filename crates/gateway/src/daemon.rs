//! The gateway process.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, watch};
use tokio::task::LocalSet;
use tokio::time::Instant;
use yokefall_clock::{ElapsedClock, SuspensionSource};
use yokefall_jobstore::aggregators::ReportTarget;
use yokefall_jobstore::{suspects, JobClient};
use yokefall_quota::QuotaBounds;
use yokefall_serving::direct_messages::{
    split_by_kind, DirectMessage, DirectMessages, MessageKind,
};
use yokefall_serving::discovery::PeerPorts;
use yokefall_serving::eligibility::cold_start;
use yokefall_serving::fleet::Notices;
use yokefall_serving::table::Splitter;
use yokefall_serving::{
    empty_catalog, empty_fleet, Balancer, ColdStartLimiter, ColdStartLimiterOptions, Eligibility,
    Freshness, PlacementBounds, Platform, Policy, SenderId, ZoneMap,
};
use yokefall_streams::{HistoryRegistry, OriginRegistry};
use yokefall_suspects::Registry;
use yokefall_telemetry::{version, EventName, LogLine};
use yokefall_upstream::{MemoryBudget, Pool, SharedBalancer};

use crate::admission::{self, Admission};
use crate::control::{self, ControlOutputs, PeerMessages};
use crate::idle_eviction::IdleEviction;
use crate::ingress::{accept, Port};
use crate::load;
use crate::quota::{self, Quota};
use crate::read_ahead::{self, ReadAhead};
use crate::relay_port;
use crate::shared::Shared;
use crate::stop::{Stop, StopSchedule};

/// Memory for request bodies divided by the memory for responses that slow clients have not read.
/// Both are used at the same time, and requests take precedence.
const READ_AHEAD_DIVISOR: usize = 2;
/// Memory for request bodies divided by that for the parts of responses that are held back.
const RESPONSE_MEMORY_DIVISOR: usize = 4;
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Options of a gateway.
#[derive(Clone, Debug)]
pub struct GatewayOptions {
    /// Name, unique in the fleet.
    pub name: String,
    /// Zone of the gateway.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
    /// Regions of all zones.
    pub zones: Arc<ZoneMap>,
    /// Bounds for evacuated zones and for back ends that are not warm yet.
    pub placement: PlacementBounds,
    /// Address for clients.
    pub ingress: SocketAddr,
    /// Address for readiness checks.
    pub readiness: SocketAddr,
    /// Address for queries for gateway addresses.
    pub directory: SocketAddr,
    /// Address for other processes, UDP.
    pub peer: SocketAddr,
    /// Address at which other processes fetch configuration and back ends.
    pub exchange: SocketAddr,
    /// Whether this is the first start of the whole system.
    pub bootstrap: bool,
    /// Peer addresses of some processes; updated when the settings are reloaded.
    pub seeds: watch::Receiver<Vec<SocketAddr>>,
    /// Upper bound for the bytes of request bodies held in memory.
    pub max_buffered_body_bytes: usize,
    /// Time between the stop request and the termination of the process.
    pub stop_time: Duration,
    /// Enabled policies.
    pub policy: Policy,
    /// Tolerances of tenants' rate limits.
    pub quota: QuotaBounds,
    /// Source of the time for which the machine was suspended.
    pub suspension: SuspensionSource,
}

/// A gateway whose sockets are bound.
pub struct Gateway {
    options: GatewayOptions,
    ingress: TcpListener,
    readiness: TcpListener,
    directory: TcpListener,
    /// Listener for other gateways.
    relay: TcpListener,
    ports: PeerPorts,
}

/// Why a gateway failed to start.
#[derive(Debug)]
pub struct StartError {
    /// The step that failed.
    pub step: &'static str,
    /// Address or name.
    pub peer: String,
    /// The cause.
    pub cause: String,
}

impl std::fmt::Display for StartError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{} {}: {}", self.step, self.peer, self.cause)
    }
}

impl std::error::Error for StartError {}

async fn listen(step: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|cause| StartError {
        step,
        peer: address.to_string(),
        cause: cause.to_string(),
    })
}

async fn bind_udp(address: SocketAddr) -> Result<UdpSocket, StartError> {
    UdpSocket::bind(address).await.map_err(|cause| StartError {
        step: "open datagram port",
        peer: address.to_string(),
        cause: cause.to_string(),
    })
}

impl Gateway {
    /// Binds all sockets. A port of 0 is replaced by the one that the system assigns.
    pub async fn bind(mut options: GatewayOptions) -> Result<Self, StartError> {
        let ingress = listen("listen for clients", options.ingress).await?;
        let readiness = listen("listen for readiness", options.readiness).await?;
        let directory = listen("listen for queries", options.directory).await?;
        // TCP first: a port that the system assigns for TCP is free for UDP as well.
        let relay = listen("listen for gateways", options.peer).await?;
        options.peer = relay.local_addr().unwrap_or(options.peer);
        let datagrams = bind_udp(options.peer).await?;
        let exchange = listen("listen for state exchange", options.exchange).await?;
        options.ingress = ingress.local_addr().unwrap_or(options.ingress);
        options.readiness = readiness.local_addr().unwrap_or(options.readiness);
        options.directory = directory.local_addr().unwrap_or(options.directory);
        options.peer = datagrams.local_addr().unwrap_or(options.peer);
        let ports = PeerPorts { datagrams, exchange };
        Ok(Self { options, ingress, readiness, directory, relay, ports })
    }

    /// The options, with the bound ports.
    pub fn options(&self) -> &GatewayOptions {
        &self.options
    }

    /// Runs until `stop` turns true and all requests have completed. Must be called within a
    /// `tokio::task::LocalSet` on the traffic thread.
    pub async fn run<P: Platform>(
        self,
        platform: P,
        mut stop: watch::Receiver<bool>,
    ) -> Result<(), StartError> {
        let Self { options, ingress, readiness, directory, relay, ports } = self;
        LogLine::new(EventName::Started)
            .id(&options.name)
            .text("ingress", options.ingress)
            .text("peer", options.peer)
            .text("zone", &options.zone)
            .text("build", version::build())
            .field("formats", version::FORMAT_VERSION)
            .write();
        let (notices, port) = Notices::new();
        let (direct, direct_port) = DirectMessages::new();
        let shared = Rc::new(shared_state(&options, &platform, direct_port.outgoing));
        let messages = PeerMessages { notices, direct };
        let _control = start_control(&options, platform, ports, &shared, messages, stop.clone())?;

        let (close, closing) = watch::channel(false);
        let ports =
            [(ingress, Port::Ingress), (readiness, Port::Readiness), (directory, Port::Directory)];
        for (listener, port) in ports {
            let accepting = accept(listener, port, shared.clone(), closing.clone());
            tokio::task::spawn_local(accepting);
        }
        tokio::task::spawn_local(admission::run(shared.clone()));
        tokio::task::spawn_local(read_ahead::watch(shared.read_ahead.clone()));
        tokio::task::spawn_local(cold_start::watch(shared.cold.clone()));
        start_stream_tasks(&shared, direct_port.incoming);
        tokio::task::spawn_local(relay_port::serve(relay, shared.clone()));
        tokio::task::spawn_local(quota::assignment::maintain(shared.clone()));
        tokio::task::spawn_local(quota::assignment::probe_failing(shared.clone()));
        let target = || {
            ReportTarget::new(options.name.clone())
                .in_zone(options.zone.clone(), options.zones.clone())
        };
        tokio::task::spawn_local(load::report(shared.clone(), target()));
        let (registry, fleet) = (shared.suspects.clone(), shared.fleet.clone());
        suspects::start_exchange(registry, shared.jobs.clone(), fleet, target(), port);
        while !*stop.borrow() {
            if stop.changed().await.is_err() {
                break;
            }
        }
        shut_down(&shared, &options, &close).await;
        Ok(())
    }
}

/// Starts the tasks that record and find out where streams began.
fn start_stream_tasks(shared: &Shared, incoming: UnboundedReceiver<DirectMessage>) {
    let (histories, history_messages) = unbounded_channel();
    let (origins, origin_messages) = unbounded_channel();
    let receivers = (histories, origins);
    tokio::task::spawn_local(split_by_kind(MessageKind::OriginHistory, incoming, receivers));
    tokio::task::spawn_local(shared.origin_history.clone().run(history_messages));
    tokio::task::spawn_local(shared.streams.clone().run(origin_messages));
}

fn shared_state<P: Platform>(
    options: &GatewayOptions,
    platform: &P,
    direct_messages: UnboundedSender<DirectMessage>,
) -> Shared {
    let fleet = empty_fleet();
    let catalog = empty_catalog();
    let clock = || ElapsedClock::new(options.suspension.clone());
    let balancer = Balancer::new(options.zone.clone(), rand::random(), options.policy)
        .with_zones(options.zones.clone());
    let freshness = Freshness::new(options.suspension.clone());
    let cold_options = ColdStartLimiterOptions {
        sender: SenderId { name: options.name.clone(), job_store: false },
        bounds: options.placement,
        freshness: freshness.clone(),
        clock: clock(),
    };
    let cold = ColdStartLimiter::new(catalog.clone(), fleet.clone(), cold_options);
    Shared {
        catalog: catalog.clone(),
        eligibility: Eligibility::with_cold_start(catalog.clone(), cold.clone()),
        cold: cold.clone(),
        freshness,
        fleet: fleet.clone(),
        zones: options.zones.clone(),
        dialect: platform.dialect(),
        balancer: SharedBalancer::with_cold_start(balancer, clock(), cold),
        quota: Quota::new(options.name.clone(), options.quota, clock()),
        suspects: Registry::new(catalog.clone(), clock()),
        origin_history: HistoryRegistry::new(
            options.name.clone(),
            options.bootstrap,
            catalog.clone(),
            fleet.clone(),
            clock(),
            direct_messages.clone(),
        ),
        streams: OriginRegistry::new(options.name.clone(), fleet.clone(), clock(), direct_messages),
        admission: Admission::default(),
        policy: options.policy,
        splitter: RefCell::new(Splitter::default()),
        pool: Pool::default(),
        idle_eviction: IdleEviction::default(),
        jobs: Rc::new(JobClient::new(fleet)),
        ingress: options.ingress,
        peer: options.peer,
        stop: Stop::default(),
        serving: Cell::new(0),
        body_memory: MemoryBudget::new(options.max_buffered_body_bytes),
        response_memory: MemoryBudget::new(
            options.max_buffered_body_bytes / RESPONSE_MEMORY_DIVISOR,
        ),
        read_ahead: ReadAhead::new(options.max_buffered_body_bytes / READ_AHEAD_DIVISOR),
    }
}

/// The thread of the control state, which ends when this is dropped: without the traffic thread it would
/// go on to answer other processes.
struct ControlThread {
    _ends_on_drop: oneshot::Sender<()>,
}

fn start_control<P: Platform>(
    options: &GatewayOptions,
    platform: P,
    ports: PeerPorts,
    shared: &Shared,
    messages: PeerMessages,
    stop: watch::Receiver<bool>,
) -> Result<ControlThread, StartError> {
    let failed = |cause: std::io::Error| StartError {
        step: "start thread",
        peer: "control".into(),
        cause: cause.to_string(),
    };
    let PeerPorts { datagrams, exchange } = ports;
    let datagrams = datagrams.into_std().map_err(failed)?;
    let exchange = exchange.into_std().map_err(failed)?;
    let (options, catalog, fleet) = (options.clone(), shared.catalog.clone(), shared.fleet.clone());
    let outputs = ControlOutputs { catalog, fleet, freshness: shared.freshness.clone() };
    let (_ends_on_drop, ended) = oneshot::channel();
    std::thread::Builder::new()
        .name("control".into())
        .spawn(move || {
            let sockets = (datagrams, exchange);
            run_control(options, platform, sockets, outputs, messages, (stop, ended))
        })
        .map_err(failed)?;
    Ok(ControlThread { _ends_on_drop })
}

fn run_control<P: Platform>(
    options: GatewayOptions,
    platform: P,
    (datagrams, exchange): (std::net::UdpSocket, std::net::TcpListener),
    outputs: ControlOutputs,
    messages: PeerMessages,
    (stop, ended): (watch::Receiver<bool>, oneshot::Receiver<()>),
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let Ok(runtime) = runtime else { return };
    LocalSet::new().block_on(&runtime, async move {
        let (Ok(datagrams), Ok(exchange)) =
            (UdpSocket::from_std(datagrams), TcpListener::from_std(exchange))
        else {
            return;
        };
        let ports = PeerPorts { datagrams, exchange };
        tokio::select! {
            () = control::run(options, platform, ports, outputs, messages, stop) => {}
            // Resolves, with an error, when the other end is dropped.
            _ = ended => {}
        }
    });
}

/// Graceful shutdown: keeps serving while clients still have the address cached, then rejects new
/// requests and closes idle connections, then waits for requests in progress.
async fn shut_down(shared: &Shared, options: &GatewayOptions, close: &watch::Sender<bool>) {
    let schedule = StopSchedule::new(Instant::now(), options.stop_time);
    shared.stop.begin(schedule);
    LogLine::new(EventName::Stopping).field("serving", shared.serving.get()).write();
    tokio::time::sleep_until(schedule.takes_until).await;
    close.send_replace(true);
    while shared.serving.get() > 0 && Instant::now() < schedule.ends_at {
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
    }
    LogLine::new(EventName::Stopped).field("cut_off", shared.serving.get()).write();
}
