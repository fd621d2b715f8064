//! The job store process: one thread for consensus, jobs and runs, and one for the disk.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;
use yokefall_clock::{ElapsedClock, SuspensionSource};
use yokefall_consensus::{Consensus, MemberId, Role};
use yokefall_quota::QuotaBounds;
use yokefall_serving::direct_messages::DirectMessages;
use yokefall_serving::discovery::{self, DiscoveryOptions, PeerPorts};
use yokefall_serving::eligibility::cold_start;
use yokefall_serving::fleet::{new_incarnation, Identity, Notices};
use yokefall_serving::{
    empty_catalog, empty_fleet, Balancer, ColdStartLimiter, ColdStartLimiterOptions, Freshness,
    PlacementBounds, Platform, Policy, SenderId, ZoneMap,
};
use yokefall_streams::HistoryRegistry;
use yokefall_suspects::Registry;
use yokefall_telemetry::{version, EventName, LogLine};
use yokefall_upstream::{MemoryBudget, SharedBalancer};

use crate::aggregators::ReportTarget;
use crate::client::JobClient;
use crate::connections::Links;
use crate::delegation::Delegation;
use crate::disk::{Disk, Synced};
use crate::log_observer::LogObserver;
use crate::quota::{self, QuotaService};
use crate::residency::KnownZones;
use crate::run::ItemRunner;
use crate::runner::{Runner, RunnerOptions};
use crate::store::{Store, StoreLimits};
use crate::wal::Wal;
use crate::worker::Worker;
use crate::{addresses, aggregators, group, origin_history, pair, route_removal, server, suspects};

/// Maximum time that a planned stop waits for another leader.
const STOP_TRANSFER_TIMEOUT: Duration = Duration::from_millis(1_500);
const STOP_TRANSFER_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of steps over which the replicas spread their disk rewrites.
const STAGGER_PARTS: u64 = 64;

/// Start options of a job store.
#[derive(Clone, Debug)]
pub struct JobStoreOptions {
    /// Name, unique in the fleet.
    pub name: String,
    /// Zone of the process.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
    /// Region of each zone.
    pub zones: Arc<ZoneMap>,
    /// Bounds for the evacuation of zones and for back ends that are still cold.
    pub placement: PlacementBounds,
    /// Address for other processes, TCP and UDP.
    pub peer: SocketAddr,
    /// Address at which other processes request the configuration and the back ends.
    pub exchange: SocketAddr,
    /// Peer addresses of some processes; updated when the settings are reloaded.
    pub seeds: watch::Receiver<Vec<SocketAddr>>,
    /// Folder of the log.
    pub folder: PathBuf,
    /// Whether this is the first start of the whole system.
    pub bootstrap: bool,
    /// Number of machines that may be lost at the same time.
    pub tolerated_losses: usize,
    /// How long finished jobs are retained.
    pub retention: Duration,
    /// Bytes of log held in memory, and on disk in addition to the snapshot.
    pub log_bytes: usize,
    /// Bytes of jobs above which submissions are rejected.
    pub job_bytes: usize,
    /// Maximum bytes of results in flight to readers.
    pub page_bytes: usize,
    /// Maximum number of items that run at the same time.
    pub max_runs: usize,
    /// Memory for the outputs of running items beyond a few kilobytes of each, in bytes.
    pub output_bytes: usize,
    /// Enabled policies.
    pub policy: Policy,
    /// Tolerances beyond the limits of tenants.
    pub quota: QuotaBounds,
    /// Source that tells when the machine was suspended.
    pub suspension: SuspensionSource,
}

/// A job store whose ports are open.
pub struct JobStore {
    options: JobStoreOptions,
    listener: TcpListener,
    ports: PeerPorts,
}

/// Why a job store failed to start.
#[derive(Debug)]
pub struct StartError {
    /// The step that failed.
    pub step: &'static str,
    /// The cause.
    pub cause: String,
}

impl std::fmt::Display for StartError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}: {}", self.step, self.cause)
    }
}

impl std::error::Error for StartError {}

fn start_error<E: std::fmt::Display>(step: &'static str) -> impl FnOnce(E) -> StartError {
    move |cause| StartError { step, cause: cause.to_string() }
}

impl JobStore {
    /// Opens the ports. Port 0 is replaced by the port that the system assigned.
    pub async fn bind(mut options: JobStoreOptions) -> Result<Self, StartError> {
        let listener =
            TcpListener::bind(options.peer).await.map_err(start_error("listen for peers"))?;
        options.peer = listener.local_addr().map_err(start_error("listen for peers"))?;
        let datagrams =
            UdpSocket::bind(options.peer).await.map_err(start_error("open datagram port"))?;
        let exchange = TcpListener::bind(options.exchange)
            .await
            .map_err(start_error("listen for state exchange"))?;
        Ok(Self { options, listener, ports: PeerPorts { datagrams, exchange } })
    }

    /// The start options, with the ports that are open.
    pub fn options(&self) -> &JobStoreOptions {
        &self.options
    }

    /// Runs until `stop` becomes true. Must be called within a `tokio::task::LocalSet`.
    pub async fn run<P: Platform>(
        self,
        platform: P,
        mut stop: watch::Receiver<bool>,
    ) -> Result<(), StartError> {
        let Self { options, listener, ports } = self;
        let peer = options.peer;
        let opened = Wal::open(&options.folder, rand::random()).map_err(start_error("open log"))?;
        let me = MemberId { name: options.name.clone(), incarnation: opened.incarnation };
        LogLine::new(EventName::Started)
            .id(&me)
            .text("peer", peer)
            .text("zone", &options.zone)
            .text("build", version::build())
            .field("formats", version::FORMAT_VERSION)
            .field("empty_disk", opened.was_empty)
            .field("last_position", opened.recovered.last_index())
            .write();
        let (disk, synced) = Disk::start(opened.wal).map_err(start_error("start disk thread"))?;

        let fleet = empty_fleet();
        let identity = Identity {
            name: options.name.clone(),
            address: peer,
            zone: options.zone.clone(),
            region: options.region.clone(),
            job_store: true,
            incarnation: new_incarnation(),
        };
        let catalog = empty_catalog();
        let state = opened.recovered.snapshot.state.clone();
        let core = Consensus::new(me.clone(), opened.recovered, 0, rand::random());
        let links = Links::new(fleet.clone(), addresses::load(&options.folder));
        tokio::task::spawn_local(addresses::persist_changes(options.folder.clone(), fleet.clone()));
        let limits = StoreLimits {
            copies: options.tolerated_losses + 1,
            log_bytes: staggered(options.log_bytes, &options.name),
            job_bytes: options.job_bytes,
        };
        let observer = Box::new(LogObserver);
        let clock = || ElapsedClock::new(options.suspension.clone());
        let store = Rc::new(Store::new(core, state, disk, links, observer, limits, clock()));
        tokio::task::spawn_local(forward_synced(store.clone(), synced));
        tokio::task::spawn_local(tick(store.clone()));

        let freshness = Freshness::new(options.suspension.clone());
        let (notices, port) = Notices::new();
        let (direct_messages, direct_port) = DirectMessages::new();
        let discovery = DiscoveryOptions {
            identity,
            seeds: options.seeds.clone(),
            is_first_start: options.bootstrap,
            notices,
            direct_messages,
            clock: clock(),
            zones: options.zones.clone(),
            placement: options.placement,
            freshness: freshness.clone(),
        };
        let changed = {
            let store = store.clone();
            move || store.work_changed.notify_one()
        };
        discovery::start(
            &platform,
            discovery,
            ports,
            catalog.clone(),
            fleet.clone(),
            changed,
            stop.clone(),
        );

        if options.bootstrap && opened.was_empty {
            tokio::task::spawn_local(group::bootstrap(platform.clone(), store.clone(), me.clone()));
        }
        tokio::task::spawn_local(group::join(store.clone(), fleet.clone(), me));
        tokio::task::spawn_local(pair::continue_alone(platform.clone(), store.clone()));
        tokio::task::spawn_local(aggregators::exchange(
            store.clone(),
            fleet.clone(),
            options.zones.clone(),
            options.name.clone(),
        ));
        let voters = 2 * options.tolerated_losses + 1;
        let known_zones = Rc::new(KnownZones::default());
        tokio::task::spawn_local(group::lead(
            platform.clone(),
            store.clone(),
            (fleet.clone(), catalog.clone(), known_zones.clone()),
            voters,
        ));
        let cold_options = ColdStartLimiterOptions {
            sender: SenderId { name: options.name.clone(), job_store: true },
            bounds: options.placement,
            freshness: freshness.clone(),
            clock: clock(),
        };
        let cold = ColdStartLimiter::new(catalog.clone(), fleet.clone(), cold_options);
        tokio::task::spawn_local(cold_start::watch(cold.clone()));
        // This balancer ignores regions: otherwise the items of all regions would fill the back
        // ends of the leader's region, although a worker near the back end sends them.
        let balancer = Balancer::new(options.zone.clone(), rand::random(), options.policy);
        let balancer = SharedBalancer::with_cold_start(balancer, clock(), cold.clone());
        let suspects = Registry::new(catalog.clone(), clock());
        suspects::load(&options.folder, &suspects);
        tokio::task::spawn_local(suspects::persist_changes(
            options.folder.clone(),
            suspects.clone(),
        ));
        let origins = HistoryRegistry::new(
            options.name.clone(),
            options.bootstrap,
            catalog.clone(),
            fleet.clone(),
            clock(),
            direct_port.outgoing,
        );
        origin_history::load(&options.folder, &origins);
        tokio::task::spawn_local(origin_history::persist_changes(
            options.folder.clone(),
            origins.clone(),
        ));
        tokio::task::spawn_local(origins.run(direct_port.incoming));
        let client = Rc::new(JobClient::new(fleet.clone()));
        let target = ReportTarget::new(options.name.clone())
            .in_zone(options.zone.clone(), options.zones.clone());
        suspects::start_exchange(suspects.clone(), client, fleet.clone(), target, port);
        let output_memory = MemoryBudget::new(options.output_bytes);
        let items = ItemRunner::new(platform.dialect(), suspects.clone(), output_memory);
        let worker =
            Worker::new(catalog.clone(), cold, freshness, items, balancer, options.max_runs);
        let quota = QuotaService::new(options.name.clone(), options.quota, clock());
        tokio::task::spawn_local(quota::renew_leases(
            quota.clone(),
            catalog.clone(),
            fleet.clone(),
        ));
        tokio::task::spawn_local(quota::assign_slots(
            quota.clone(),
            store.clone(),
            catalog.clone(),
            fleet.clone(),
        ));
        let delegation =
            Delegation::new(fleet.clone(), options.zones.clone(), store.clone(), suspects.clone());
        let runner_options = RunnerOptions {
            retention: options.retention,
            max_runs: options.max_runs,
            policy: options.policy,
        };
        let runner =
            Runner::new(store.clone(), worker.clone(), delegation, fleet.clone(), runner_options);
        let runner = Rc::new(runner);
        let reader = platform.configuration_reader();
        tokio::task::spawn_local(route_removal::abandon_items(reader, runner.clone()));
        tokio::task::spawn_local(runner.run());
        let locations = (fleet.clone(), known_zones);
        let serving = server::serve(
            listener,
            store.clone(),
            worker,
            quota.clone(),
            locations,
            options.page_bytes,
        );
        tokio::task::spawn_local(serving);

        while !*stop.borrow() {
            if stop.changed().await.is_err() {
                break;
            }
        }
        LogLine::new(EventName::Stopping).field("leads", store.is_leader()).write();
        quota::release(&quota, &fleet).await;
        transfer_leadership(&store).await;
        LogLine::new(EventName::Stopped).write();
        Ok(())
    }
}

/// The log limit of a replica, lowered by up to a third depending on its name. With equal limits
/// all would rewrite their disks at once, and nothing could be committed meanwhile.
fn staggered(log_bytes: usize, name: &str) -> usize {
    let part = xxh3_64(name.as_bytes()) % STAGGER_PARTS;
    log_bytes - log_bytes / 3 * part as usize / STAGGER_PARTS as usize
}

async fn forward_synced(store: Rc<Store>, mut synced: Synced) {
    while let Some(orders) = synced.recv().await {
        store.synced(orders);
    }
}

async fn tick(store: Rc<Store>) {
    loop {
        let deadline = store.next_deadline();
        tokio::select! {
            () = tokio::time::sleep_until(deadline) => store.tick(),
            () = store.deadline_changed.notified() => {}
        }
    }
}

/// Transfers leadership before a planned stop, so that no election is needed. Returns once another
/// member leads: until then it may need this member's vote.
async fn transfer_leadership(store: &Store) {
    if !store.is_leader() {
        return;
    }
    let deadline = Instant::now() + STOP_TRANSFER_TIMEOUT;
    while !store.follows() && Instant::now() < deadline {
        let has_no_successor = store.with_core(|core, now| {
            let voters = core.members().voters.clone();
            core.role() == Role::Leader && !core.transfer_leadership(now, &voters)
        });
        if has_no_successor {
            return;
        }
        tokio::time::sleep(STOP_TRANSFER_POLL_INTERVAL).await;
    }
}
