//! The gateway process.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use tokio::task::LocalSet;
use tokio::time::Instant;
use yokefall_clock::{ElapsedClock, SuspensionSource};
use yokefall_jobstore::aggregators::ReportTarget;
use yokefall_jobstore::{suspects, JobClient};
use yokefall_quota::QuotaBounds;
use yokefall_serving::discovery::PeerPorts;
use yokefall_serving::eligibility::cold_start;
use yokefall_serving::fleet::Notices;
use yokefall_serving::table::Splitter;
use yokefall_serving::{
    empty_catalog, empty_fleet, Balancer, ColdStartLimiter, ColdStartLimiterOptions, Eligibility,
    Freshness, PlacementBounds, Platform, Policy, SenderId, ZoneMap,
};
use yokefall_suspects::Registry;
use yokefall_telemetry::{version, EventName, LogLine};
use yokefall_upstream::{Pool, SharedBalancer};

use crate::admission::{self, Admission};
use crate::control::{self, Views};
use crate::crowding::Crowding;
use crate::ingress::{accept, Port};
use crate::load;
use crate::quota::{self, Quota};
use crate::read_ahead::{self, ReadAhead};
use crate::relay_port;
use crate::shared::Shared;

/// Part of the bytes for bodies of requests, as one in so many, that answers may take which clients leave unread: both
/// are there at once, and requests come first.
const READ_AHEAD_SHARE: usize = 2;
/// Part of the time for a stop in which new requests are still served: clients keep addresses for a
/// while. What comes later may not be done in time, and is refused.
const SERVING_SHARE: f64 = 0.35;
/// Part of the time for a stop that is left for the process to end.
const STOP_MARGIN: Duration = Duration::from_millis(600);
/// Interval at which a stop looks whether everything is served.
const STOP_LOOK: Duration = Duration::from_millis(50);

/// What a gateway is told at its start.
#[derive(Clone, Debug)]
pub struct GatewayOptions {
    /// Name, unique in the fleet.
    pub name: String,
    /// Zone in which it stands.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
    /// Regions of all zones.
    pub zones: Arc<ZoneMap>,
    /// What is promised of zones, and of back ends that are not warm yet.
    pub placement: PlacementBounds,
    /// Address for clients.
    pub ingress: SocketAddr,
    /// Address for checks of readiness.
    pub readiness: SocketAddr,
    /// Address for queries for addresses.
    pub directory: SocketAddr,
    /// Address for other processes, UDP.
    pub peer: SocketAddr,
    /// Address at which other processes ask for configuration and back ends.
    pub exchange: SocketAddr,
    /// Whether the whole system starts for the first time.
    pub bootstrap: bool,
    /// Peer addresses of some processes; they change when settings are read again.
    pub seeds: watch::Receiver<Vec<SocketAddr>>,
    /// Most bytes of request bodies that are held.
    pub max_buffered_body_bytes: usize,
    /// Time from the request to stop until the process is ended.
    pub stop_time: Duration,
    /// Decisions that are switched on.
    pub policy: Policy,
    /// What is tolerated beyond tenants' limits.
    pub quota: QuotaBounds,
    /// Where it is known from that the machine was suspended.
    pub suspension: SuspensionSource,
}

/// A gateway whose ports are open.
pub struct Gateway {
    options: GatewayOptions,
    ingress: TcpListener,
    readiness: TcpListener,
    directory: TcpListener,
    /// For other gateways.
    relay: TcpListener,
    ports: PeerPorts,
}

/// Why a gateway did not start.
#[derive(Debug)]
pub struct StartError {
    /// The step.
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

async fn open_datagrams(address: SocketAddr) -> Result<UdpSocket, StartError> {
    UdpSocket::bind(address).await.map_err(|cause| StartError {
        step: "open datagram port",
        peer: address.to_string(),
        cause: cause.to_string(),
    })
}

impl Gateway {
    /// Opens the ports. A port 0 is replaced by the one that the system chose.
    pub async fn bind(mut options: GatewayOptions) -> Result<Self, StartError> {
        let ingress = listen("listen for clients", options.ingress).await?;
        let readiness = listen("listen for readiness", options.readiness).await?;
        let directory = listen("listen for queries", options.directory).await?;
        // TCP first: a port that the system chose for it is free for datagrams as well.
        let relay = listen("listen for gateways", options.peer).await?;
        options.peer = relay.local_addr().unwrap_or(options.peer);
        let datagrams = open_datagrams(options.peer).await?;
        let exchange = listen("listen for news", options.exchange).await?;
        options.ingress = ingress.local_addr().unwrap_or(options.ingress);
        options.readiness = readiness.local_addr().unwrap_or(options.readiness);
        options.directory = directory.local_addr().unwrap_or(options.directory);
        options.peer = datagrams.local_addr().unwrap_or(options.peer);
        let ports = PeerPorts { datagrams, exchange };
        Ok(Self { options, ingress, readiness, directory, relay, ports })
    }

    /// What it was told, with the ports that are open.
    pub fn options(&self) -> &GatewayOptions {
        &self.options
    }

    /// Runs until `stop` turns true and everything is served. To be called within a
    /// `tokio::task::LocalSet`, on the traffic thread.
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
        let shared = Rc::new(shared_state(&options, &platform));
        let (notices, port) = Notices::channel();
        start_control(&options, platform, ports, &shared, notices, stop.clone())?;

        let (close, closing) = watch::channel(false);
        let ports =
            [(ingress, Port::Ingress), (readiness, Port::Readiness), (directory, Port::Directory)];
        for (listener, port) in ports {
            let accepting = accept(listener, port, shared.clone(), closing.clone());
            tokio::task::spawn_local(accepting);
        }
        tokio::task::spawn_local(admission::run(shared.clone()));
        tokio::task::spawn_local(read_ahead::watch(shared.ahead.clone()));
        tokio::task::spawn_local(cold_start::watch(shared.cold.clone()));
        tokio::task::spawn_local(relay_port::serve(relay, shared.clone()));
        tokio::task::spawn_local(quota::assignment::maintain(shared.clone()));
        tokio::task::spawn_local(quota::assignment::try_failing(shared.clone()));
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
        finish(&shared, &options, &close).await;
        Ok(())
    }
}

fn shared_state<P: Platform>(options: &GatewayOptions, platform: &P) -> Shared {
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
        suspects: Registry::new(catalog, clock()),
        admission: Admission::default(),
        policy: options.policy,
        splitter: RefCell::new(Splitter::default()),
        pool: Pool::default(),
        crowding: Crowding::default(),
        jobs: Rc::new(JobClient::new(fleet)),
        ingress: options.ingress,
        peer: options.peer,
        stopping: Cell::new(false),
        refusing: Cell::new(false),
        serving: Cell::new(0),
        held_bytes: Cell::new(0),
        most_held_bytes: options.max_buffered_body_bytes,
        ahead: ReadAhead::new(options.max_buffered_body_bytes / READ_AHEAD_SHARE),
    }
}

/// Starts the thread of control state.
fn start_control<P: Platform>(
    options: &GatewayOptions,
    platform: P,
    ports: PeerPorts,
    shared: &Shared,
    notices: Notices,
    stop: watch::Receiver<bool>,
) -> Result<(), StartError> {
    let failed = |cause: std::io::Error| StartError {
        step: "start thread",
        peer: "control".into(),
        cause: cause.to_string(),
    };
    let PeerPorts { datagrams, exchange } = ports;
    let datagrams = datagrams.into_std().map_err(failed)?;
    let exchange = exchange.into_std().map_err(failed)?;
    let (options, catalog, fleet) = (options.clone(), shared.catalog.clone(), shared.fleet.clone());
    let views = Views { catalog, fleet, freshness: shared.freshness.clone() };
    std::thread::Builder::new()
        .name("control".into())
        .spawn(move || {
            let sockets = (datagrams, exchange);
            run_control(options, platform, sockets, views, notices, stop)
        })
        .map_err(failed)?;
    Ok(())
}

fn run_control<P: Platform>(
    options: GatewayOptions,
    platform: P,
    (datagrams, exchange): (std::net::UdpSocket, std::net::TcpListener),
    views: Views,
    notices: Notices,
    stop: watch::Receiver<bool>,
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
        control::run(options, platform, ports, views, notices, stop).await;
    });
}

/// A planned stop: serves on while clients still have the address, then refuses what is new and
/// closes what rests, then waits for what is being served.
async fn finish(shared: &Shared, options: &GatewayOptions, close: &watch::Sender<bool>) {
    let begun = Instant::now();
    shared.stopping.set(true);
    LogLine::new(EventName::Stopping).field("serving", shared.serving.get()).write();
    tokio::time::sleep(options.stop_time.mul_f64(SERVING_SHARE)).await;
    shared.refusing.set(true);
    close.send_replace(true);
    let end = begun + options.stop_time.saturating_sub(STOP_MARGIN);
    while shared.serving.get() > 0 && Instant::now() < end {
        tokio::time::sleep(STOP_LOOK).await;
    }
    LogLine::new(EventName::Stopped).field("cut_off", shared.serving.get()).write();
}
