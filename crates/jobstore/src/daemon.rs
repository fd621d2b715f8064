//! The job store process: one thread for the group, the jobs and the runs; one for the disk.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;
use yokefall_clock::{ElapsedClock, SuspensionSource};
use yokefall_consensus::{Consensus, Index, MemberId, Role, Term};
use yokefall_quota::QuotaBounds;
use yokefall_serving::discovery::{self, DiscoveryOptions, PeerPorts};
use yokefall_serving::eligibility::cold_start;
use yokefall_serving::fleet::{new_incarnation, Identity, Notices};
use yokefall_serving::{
    empty_catalog, empty_fleet, Balancer, ColdStartLimiter, ColdStartLimiterOptions, Freshness,
    PlacementBounds, Platform, Policy, SenderId, ZoneMap,
};
use yokefall_suspects::Registry;
use yokefall_telemetry::{version, EventName, LogLine};
use yokefall_upstream::SharedBalancer;

use crate::aggregators::ReportTarget;
use crate::client::JobClient;
use crate::connections::Links;
use crate::delegation::Delegation;
use crate::disk::{Disk, Synced};
use crate::quota::{self, QuotaService};
use crate::residency::KnownZones;
use crate::run::ItemRunner;
use crate::runner::{Runner, RunnerOptions};
use crate::state::{Applied, UnreadableCommand};
use crate::store::{Store, StoreLimits, StoreObserver};
use crate::wal::Wal;
use crate::worker::Worker;
use crate::{addresses, aggregators, group, server, suspects};

/// Parts in which replicas differ in when they rewrite their disks.
const STAGGER_PARTS: u64 = 64;

/// What a job store is told at its start.
#[derive(Clone, Debug)]
pub struct JobStoreOptions {
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
    /// Address for other processes, TCP and UDP.
    pub peer: SocketAddr,
    /// Address at which other processes ask for configuration and back ends.
    pub exchange: SocketAddr,
    /// Peer addresses of some processes; they change when settings are read again.
    pub seeds: watch::Receiver<Vec<SocketAddr>>,
    /// Folder for the log.
    pub folder: PathBuf,
    /// Whether the whole system starts for the first time.
    pub bootstrap: bool,
    /// Machines that may be lost at once.
    pub tolerated_losses: usize,
    /// Time for which jobs that are over are kept.
    pub retention: Duration,
    /// Bytes of log that are held in memory, and on disk beside the state.
    pub log_bytes: usize,
    /// Bytes of jobs above which no further one is taken.
    pub job_bytes: usize,
    /// Bytes of results that may be on their way to readers.
    pub page_bytes: usize,
    /// Items that run at once at most.
    pub max_runs: usize,
    /// Decisions that are switched on.
    pub policy: Policy,
    /// What is tolerated beyond tenants' limits.
    pub quota: QuotaBounds,
    /// Where it is known from that the machine was suspended.
    pub suspension: SuspensionSource,
}

/// A job store whose ports are open.
pub struct JobStore {
    options: JobStoreOptions,
    listener: TcpListener,
    ports: PeerPorts,
}

/// Why a job store did not start.
#[derive(Debug)]
pub struct StartError {
    /// The step.
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

fn at<E: std::fmt::Display>(step: &'static str) -> impl FnOnce(E) -> StartError {
    move |cause| StartError { step, cause: cause.to_string() }
}

impl JobStore {
    /// Opens the ports. A port 0 is replaced by the one that the system chose.
    pub async fn bind(mut options: JobStoreOptions) -> Result<Self, StartError> {
        let listener = TcpListener::bind(options.peer).await.map_err(at("listen for peers"))?;
        options.peer = listener.local_addr().map_err(at("listen for peers"))?;
        let datagrams = UdpSocket::bind(options.peer).await.map_err(at("open datagram port"))?;
        let exchange = TcpListener::bind(options.exchange).await.map_err(at("listen for news"))?;
        Ok(Self { options, listener, ports: PeerPorts { datagrams, exchange } })
    }

    /// What it was told, with the ports that are open.
    pub fn options(&self) -> &JobStoreOptions {
        &self.options
    }

    /// Runs until `stop` turns true. To be called within a `tokio::task::LocalSet`.
    pub async fn run<P: Platform>(
        self,
        platform: P,
        mut stop: watch::Receiver<bool>,
    ) -> Result<(), StartError> {
        let Self { options, listener, ports } = self;
        let peer = options.peer;
        let opened = Wal::open(&options.folder, rand::random()).map_err(at("open log"))?;
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
        let (disk, synced) = Disk::start(opened.wal).map_err(at("start disk thread"))?;

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
        tokio::task::spawn_local(addresses::keep(options.folder.clone(), fleet.clone()));
        let limits = StoreLimits {
            copies: options.tolerated_losses + 1,
            log_bytes: staggered(options.log_bytes, &options.name),
            job_bytes: options.job_bytes,
        };
        let observer = Box::new(LogObserver);
        let clock = || ElapsedClock::new(options.suspension.clone());
        let store = Rc::new(Store::new(core, state, disk, links, observer, limits, clock()));
        tokio::task::spawn_local(take_synced(store.clone(), synced));
        tokio::task::spawn_local(tick(store.clone()));

        let freshness = Freshness::new(options.suspension.clone());
        let (notices, port) = Notices::channel();
        let discovery = DiscoveryOptions {
            identity,
            seeds: options.seeds.clone(),
            is_first_start: options.bootstrap,
            notices,
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
        tokio::task::spawn_local(group::become_sole_voter(platform.clone(), store.clone()));
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
        // It knows no regions: items of all would fill the back ends of the leader's region, though a worker near
        // the back end sends them.
        let balancer = Balancer::new(options.zone.clone(), rand::random(), options.policy);
        let places = SharedBalancer::with_cold_start(balancer, clock(), cold.clone());
        let suspects = Registry::new(catalog.clone(), clock());
        suspects::load(&options.folder, &suspects);
        tokio::task::spawn_local(suspects::keep(options.folder.clone(), suspects.clone()));
        let client = Rc::new(JobClient::new(fleet.clone()));
        let target = ReportTarget::new(options.name.clone())
            .in_zone(options.zone.clone(), options.zones.clone());
        suspects::start_exchange(suspects.clone(), client, fleet.clone(), target, port);
        let items = ItemRunner::new(platform.dialect(), suspects.clone());
        let worker = Worker::new(catalog.clone(), cold, freshness, items, places, options.max_runs);
        let quota = QuotaService::new(options.name.clone(), options.quota, clock());
        tokio::task::spawn_local(quota::renew_leases(
            quota.clone(),
            catalog.clone(),
            fleet.clone(),
        ));
        tokio::task::spawn_local(quota::oversee(
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
        tokio::task::spawn_local(Rc::new(runner).run());
        let places = (fleet.clone(), known_zones);
        let serving = server::serve(
            listener,
            store.clone(),
            worker,
            quota.clone(),
            places,
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

/// A bound on the log that differs among replicas by up to a third: all of them would rewrite their
/// disks at the same moment, and nothing could be committed meanwhile.
fn staggered(log_bytes: usize, name: &str) -> usize {
    let part = xxh3_64(name.as_bytes()) % STAGGER_PARTS;
    log_bytes - log_bytes / 3 * part as usize / STAGGER_PARTS as usize
}

async fn take_synced(store: Rc<Store>, mut synced: Synced) {
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

/// Before a planned stop the lead goes to another member, so that nobody waits for an election.
async fn transfer_leadership(store: &Store) {
    let other = store.with_core(|core, now| {
        let me = core.id().clone();
        let mut others: Vec<MemberId> =
            core.members().voters.iter().filter(|voter| **voter != me).cloned().collect();
        others.sort_by_key(|other| core.silent_ms(now, other));
        let done = others.iter().any(|other| core.transfer_leadership(now, other));
        done && core.role() == Role::Leader
    });
    if other {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

struct LogObserver;

/// Exit code of a process whose log holds what it can't read: that of a data folder that failed.
const EXIT_UNREADABLE_LOG: i32 = 4;

impl StoreObserver for LogObserver {
    fn unreadable(&self, index: Index, error: &UnreadableCommand) {
        LogLine::new(EventName::LogUnreadable)
            .field("position", index)
            .text("cause", error)
            .text("build", version::build())
            .field("formats", version::FORMAT_VERSION)
            .write();
        // Lines are written by a thread of their own, which may not come to this one any more.
        eprintln!("yokefall: position {index} of the log: {error}");
        // Nothing is lost: what is synced stays, and a program that knows the command goes on from here.
        std::process::exit(EXIT_UNREADABLE_LOG);
    }

    fn role(&self, role: Role, term: Term, leader: Option<&MemberId>) {
        let leads = if role == Role::Leader { 1.0 } else { 0.0 };
        metrics::gauge!("job_store_leads").set(leads);
        LogLine::new(EventName::RoleChanged)
            .text("role_now", format_args!("{role:?}"))
            .field("term", term)
            .field("leader", leader.map(MemberId::to_string))
            .write();
    }

    fn members(&self, voters: usize, learners: usize, index: Index) {
        LogLine::new(EventName::MembersChanged)
            .field("voters", voters)
            .field("learners", learners)
            .field("position", index)
            .write();
    }

    fn compacted(&self, state: usize, log: usize, jobs: usize) {
        LogLine::new(EventName::LogCompacted)
            .field("state_bytes", state)
            .field("log_bytes", log)
            .field("job_bytes", jobs)
            .write();
    }

    fn state_sent(&self, member: &MemberId, bytes: usize) {
        LogLine::new(EventName::StateSent).id(member).field("bytes", bytes).write();
    }

    fn state_taken(&self, index: Index, bytes: usize) {
        LogLine::new(EventName::StateTaken).field("position", index).field("bytes", bytes).write();
    }

    fn applied(&self, index: Index, applied: &Applied) {
        metrics::gauge!("job_store_log_position").set(index as f64);
        let (id, event) = match applied {
            Applied::Accepted { job } => (job, EventName::JobTaken),
            Applied::Ended { job } => (job, EventName::JobEnded),
            Applied::Forgotten { job } => (job, EventName::JobForgotten),
            Applied::Finished { .. } | Applied::Nothing => return,
        };
        LogLine::new(event).id(id).field("position", index).write();
    }
}
