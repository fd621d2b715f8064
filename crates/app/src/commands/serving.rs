//! `yokefall gateway` and `yokefall job-store`. Each has one thread for its sockets, so that a
//! process at rest is woken by its deadlines alone.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use clap::Args;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::task::LocalSet;
use yokefall_clock::SuspensionSource;
use yokefall_gateway::{Gateway, GatewayOptions};
use yokefall_jobstore::{JobStore, JobStoreOptions};
use yokefall_platform::MetadataPlatform;
use yokefall_serving::ZoneMap;
use yokefall_settings::{LogLevel, ServingRole, ServingSettings};
use yokefall_standalone::Standalone;
use yokefall_telemetry::{init_log_lines, EventName, HealthState, Level, LogLine, MetricsServer};

use crate::exit::{fail, ExitStatus};

/// Seeds that may change.
type Seeds = watch::Receiver<Vec<SocketAddr>>;

/// Part of the memory that bodies of requests may take.
const BODY_MEMORY_SHARE: f64 = 0.4;
/// Parts of memory and disk that jobs may take: encoding and rewriting need as much again.
const JOB_MEMORY_SHARE: f64 = 0.32;
const JOB_DISK_SHARE: f64 = 0.35;
/// Part of the memory that the newest entries of the log may take, and its bounds in MB.
const LOG_MEMORY_SHARE: f64 = 0.05;
const LOG_MB: std::ops::RangeInclusive<f64> = 1.0..=16.0;
/// Part of the memory that results on their way to readers may take.
const PAGE_MEMORY_SHARE: f64 = 0.06;
/// Part of the memory that running items may take, and about the bytes of one: buffers of its
/// connection and its output of a second.
const RUN_MEMORY_SHARE: f64 = 0.25;
const RUN_BYTES: f64 = 40_000.0;
const BYTES_PER_MB: f64 = 1_048_576.0;

/// Arguments of `gateway` and `job-store`.
#[derive(Debug, Args)]
pub struct ServingArguments {
    /// Settings file.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
}

fn load(file: &Path, role: ServingRole) -> Result<ServingSettings, String> {
    let settings = ServingSettings::load(file).map_err(|error| error.to_string())?;
    if settings.role != role {
        return Err(format!("{}: role = {:?}, not {role:?}", file.display(), settings.role));
    }
    Ok(settings)
}

fn start_logs(role: &str, settings: &ServingSettings) {
    let level = match settings.log.level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    init_log_lines(role, &settings.node.name, level);
}

/// Interval at which the settings file is looked at: it may change without a signal.
const FILE_LOOK_INTERVAL: Duration = Duration::from_secs(2);

/// Puts changed settings in force: the seeds. The others need a restart.
struct Reload {
    file: PathBuf,
    role: ServingRole,
    seeds: watch::Sender<Vec<SocketAddr>>,
    seen: Option<SystemTime>,
}

impl Reload {
    fn modified(&self) -> Option<SystemTime> {
        std::fs::metadata(&self.file).and_then(|metadata| metadata.modified()).ok()
    }

    fn reload(&mut self) {
        self.seen = self.modified();
        match load(&self.file, self.role) {
            Ok(settings) => {
                let seeds = settings.fleet.seeds;
                LogLine::new(EventName::Reloaded)
                    .field("accepted", true)
                    .field("seeds", seeds.len())
                    .write();
                self.seeds.send_if_modified(|held| {
                    let differ = *held != seeds;
                    *held = seeds;
                    differ
                });
            }
            Err(error) => LogLine::new(EventName::Reloaded)
                .field("accepted", false)
                .field("cause", error)
                .write(),
        }
    }

    fn look(&mut self) {
        if self.modified() != self.seen {
            self.reload();
        }
    }
}

/// Turns `stop` true at SIGTERM or SIGINT; reads the settings again at SIGHUP, and when their file
/// has changed.
async fn watch_signals(mut reload: Reload, stop: watch::Sender<bool>) {
    let signals = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
        signal(SignalKind::hangup()),
    );
    let (Ok(mut terminate), Ok(mut interrupt), Ok(mut hangup)) = signals else {
        return std::future::pending().await;
    };
    loop {
        tokio::select! {
            _ = terminate.recv() => { stop.send_replace(true); }
            _ = interrupt.recv() => { stop.send_replace(true); }
            _ = hangup.recv() => reload.reload(),
            () = tokio::time::sleep(FILE_LOOK_INTERVAL) => reload.look(),
        }
    }
}

fn run<E: std::fmt::Display>(
    arguments: &ServingArguments,
    role: ServingRole,
    process: impl AsyncFnOnce(ServingSettings, Seeds, watch::Receiver<bool>) -> Result<(), E>,
) -> ExitStatus {
    let settings = match load(&arguments.settings, role) {
        Ok(settings) => settings,
        Err(error) => return fail(ExitStatus::BadInput, error),
    };
    let name = match role {
        ServingRole::Gateway => "gateway",
        ServingRole::JobStore => "job-store",
    };
    start_logs(name, &settings);
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return fail(ExitStatus::Failed, format!("start runtime: {error}")),
    };
    let (stop, stopping) = watch::channel(false);
    let (seeds, told_seeds) = watch::channel(settings.fleet.seeds.clone());
    let mut reload = Reload { file: arguments.settings.clone(), role, seeds, seen: None };
    reload.seen = reload.modified();
    let signals = watch_signals(reload, stop);
    let ended = LocalSet::new().block_on(&runtime, async move {
        tokio::task::spawn_local(signals);
        serve_metrics(settings.listen.metrics).await;
        process(settings, told_seeds, stopping).await
    });
    // Tasks that are still waiting must not hold up the exit.
    runtime.shutdown_background();
    match ended {
        Ok(()) => ExitStatus::Done,
        Err(error) => fail(ExitStatus::Failed, error),
    }
}

/// Serves counters and histograms. A process whose figures cannot be read still serves.
async fn serve_metrics(address: std::net::SocketAddr) {
    let started = match tokio::net::TcpListener::bind(address).await {
        Ok(listener) => MetricsServer::start(listener, Arc::new(HealthState::default())),
        Err(error) => Err(error),
    };
    if let Err(error) = started {
        LogLine::new(EventName::DependencyLost)
            .id("metrics-port")
            .text("address", address)
            .text("cause", error)
            .write();
    }
}

/// Runs a gateway until it is told to stop.
pub fn run_gateway(arguments: &ServingArguments) -> ExitStatus {
    run(arguments, ServingRole::Gateway, async |settings, seeds, stop| {
        let platform = settings.platform.clone();
        let gateway = Gateway::bind(gateway_options(settings, seeds)).await?;
        match (platform.store, platform.catalog) {
            (Some(store), _) => gateway.run(MetadataPlatform::new(store), stop).await,
            // The settings were checked: one of the two is there.
            (None, catalog) => {
                gateway.run(Standalone::new(catalog.unwrap_or_default()), stop).await
            }
        }
    })
}

fn gateway_options(settings: ServingSettings, seeds: Seeds) -> GatewayOptions {
    let listen = settings.listen;
    let memory = settings.limits.memory_mb * BYTES_PER_MB;
    GatewayOptions {
        name: settings.node.name,
        zone: settings.node.zone,
        region: settings.node.region,
        zones: Arc::new(ZoneMap::new(settings.zones)),
        placement: settings.placement,
        // The settings were checked: a gateway has all of its ports.
        ingress: listen.ingress.unwrap_or(listen.peer),
        readiness: listen.readiness.unwrap_or(listen.peer),
        directory: listen.directory.unwrap_or(listen.peer),
        peer: listen.peer,
        exchange: listen.exchange_address(),
        bootstrap: settings.fleet.bootstrap,
        seeds,
        max_buffered_body_bytes: (memory * BODY_MEMORY_SHARE) as usize,
        stop_time: Duration::from_secs_f64(settings.stop.seconds),
        policy: settings.policy,
        quota: settings.quota,
        suspension: SuspensionSource::Machine,
    }
}

/// Runs a job store until it is told to stop.
pub fn run_job_store(arguments: &ServingArguments) -> ExitStatus {
    run(arguments, ServingRole::JobStore, async |settings, seeds, stop| {
        let platform = settings.platform.clone();
        let job_store = JobStore::bind(job_store_options(settings, seeds)).await?;
        match (platform.store, platform.catalog) {
            (Some(store), _) => job_store.run(MetadataPlatform::new(store), stop).await,
            (None, catalog) => {
                job_store.run(Standalone::new(catalog.unwrap_or_default()), stop).await
            }
        }
    })
}

fn job_store_options(settings: ServingSettings, seeds: Seeds) -> JobStoreOptions {
    // The settings were checked: a job store has a folder.
    let data = settings.data.unwrap_or(yokefall_settings::ServingData {
        folder: "data".into(),
        bootstrap: false,
        retention_seconds: 0.0,
        disk_mb: None,
    });
    let memory_mb = settings.limits.memory_mb;
    let log_mb = (memory_mb * LOG_MEMORY_SHARE).clamp(*LOG_MB.start(), *LOG_MB.end());
    let disk_share = data.disk_mb.map_or(f64::MAX, |room| room * JOB_DISK_SHARE);
    let job_mb = (memory_mb * JOB_MEMORY_SHARE).min(disk_share);
    JobStoreOptions {
        name: settings.node.name,
        zone: settings.node.zone,
        region: settings.node.region,
        zones: Arc::new(ZoneMap::new(settings.zones)),
        placement: settings.placement,
        peer: settings.listen.peer,
        exchange: settings.listen.exchange_address(),
        seeds,
        folder: data.folder,
        bootstrap: data.bootstrap,
        tolerated_losses: settings.fleet.tolerated_losses,
        retention: Duration::from_secs_f64(data.retention_seconds),
        log_bytes: (log_mb * BYTES_PER_MB) as usize,
        job_bytes: (job_mb * BYTES_PER_MB) as usize,
        page_bytes: (memory_mb * BYTES_PER_MB * PAGE_MEMORY_SHARE) as usize,
        policy: settings.policy,
        quota: settings.quota,
        suspension: SuspensionSource::Machine,
        max_runs: (memory_mb * BYTES_PER_MB * RUN_MEMORY_SHARE / RUN_BYTES) as usize + 1,
    }
}
