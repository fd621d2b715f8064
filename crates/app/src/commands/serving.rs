//! `yokefall gateway` and `yokefall job-store`. Each serves its sockets on one thread, so that an
//! idle process is woken only by its own timers.

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

/// Current seed addresses; the value changes when the settings are reloaded.
type SeedUpdates = watch::Receiver<Vec<SocketAddr>>;

/// Fraction of the memory limit available to buffered request bodies.
const BODY_MEMORY_FRACTION: f64 = 0.4;
/// Fraction of the memory limit for stored jobs: encoding and rewriting needs as much again.
const JOB_MEMORY_FRACTION: f64 = 0.32;
/// Fraction of the disk limit for stored jobs: encoding and rewriting needs as much again.
const JOB_DISK_FRACTION: f64 = 0.35;
/// Fraction of the memory limit available to the newest entries of the replicated log.
const LOG_MEMORY_FRACTION: f64 = 0.05;
const LOG_MEMORY_RANGE_MB: std::ops::RangeInclusive<f64> = 1.0..=16.0;
/// Fraction of the memory limit available to pages of results that are being sent to readers.
const RESULT_PAGE_MEMORY_FRACTION: f64 = 0.06;
/// Fraction of the memory limit available to running items.
const RUNNING_ITEM_MEMORY_FRACTION: f64 = 0.25;
/// Fraction of the memory limit available to their outputs beyond that.
const OUTPUT_MEMORY_FRACTION: f64 = 0.08;
/// Approximate memory of one running item: its connection buffers and the output of one second.
const RUNNING_ITEM_BYTES: f64 = 40_000.0;
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

/// Interval of checks of the settings file, so that changes take effect without SIGHUP.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Reloads the settings file. Only the seeds take effect; all other settings need a restart.
struct SettingsReloader {
    file: PathBuf,
    role: ServingRole,
    seeds: watch::Sender<Vec<SocketAddr>>,
    last_modified: Option<SystemTime>,
}

impl SettingsReloader {
    fn modified(&self) -> Option<SystemTime> {
        std::fs::metadata(&self.file).and_then(|metadata| metadata.modified()).ok()
    }

    fn reload(&mut self) {
        self.last_modified = self.modified();
        match load(&self.file, self.role) {
            Ok(settings) => {
                let seeds = settings.fleet.seeds;
                LogLine::new(EventName::Reloaded)
                    .field("accepted", true)
                    .field("seeds", seeds.len())
                    .write();
                self.seeds.send_if_modified(|current| {
                    let changed = *current != seeds;
                    *current = seeds;
                    changed
                });
            }
            Err(error) => LogLine::new(EventName::Reloaded)
                .field("accepted", false)
                .field("cause", error)
                .write(),
        }
    }

    fn reload_if_modified(&mut self) {
        if self.modified() != self.last_modified {
            self.reload();
        }
    }
}

/// Sets `stop` on SIGTERM or SIGINT; reloads the settings on SIGHUP and when the file changes.
async fn watch_signals(mut reloader: SettingsReloader, stop: watch::Sender<bool>) {
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
            _ = hangup.recv() => reloader.reload(),
            () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) => reloader.reload_if_modified(),
        }
    }
}

fn run<E: std::fmt::Display>(
    arguments: &ServingArguments,
    role: ServingRole,
    process: impl AsyncFnOnce(ServingSettings, SeedUpdates, watch::Receiver<bool>) -> Result<(), E>,
) -> ExitStatus {
    let settings = match load(&arguments.settings, role) {
        Ok(settings) => settings,
        Err(error) => return fail(ExitStatus::InvalidInput, error),
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
    let (stop, stop_requested) = watch::channel(false);
    let (seeds, seed_updates) = watch::channel(settings.fleet.seeds.clone());
    let mut reloader =
        SettingsReloader { file: arguments.settings.clone(), role, seeds, last_modified: None };
    reloader.last_modified = reloader.modified();
    let signals = watch_signals(reloader, stop);
    let ended = LocalSet::new().block_on(&runtime, async move {
        tokio::task::spawn_local(signals);
        serve_metrics(settings.listen.metrics).await;
        process(settings, seed_updates, stop_requested).await
    });
    // Exits without waiting for tasks that are still pending.
    runtime.shutdown_background();
    match ended {
        Ok(()) => ExitStatus::Success,
        Err(error) => fail(ExitStatus::Failed, error),
    }
}

/// Serves metrics; if their port cannot be opened, logs the failure and runs without metrics.
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

pub fn run_gateway(arguments: &ServingArguments) -> ExitStatus {
    run(arguments, ServingRole::Gateway, async |settings, seeds, stop| {
        let platform = settings.platform.clone();
        let gateway = Gateway::bind(gateway_options(settings, seeds)).await?;
        match (platform.store, platform.catalog) {
            (Some(store), _) => gateway.run(MetadataPlatform::new(store), stop).await,
            // Validation of the settings ensures that one of the two is set.
            (None, catalog) => {
                gateway.run(Standalone::new(catalog.unwrap_or_default()), stop).await
            }
        }
    })
}

fn gateway_options(settings: ServingSettings, seeds: SeedUpdates) -> GatewayOptions {
    let listen = settings.listen;
    let memory = settings.limits.memory_mb * BYTES_PER_MB;
    GatewayOptions {
        name: settings.node.name,
        zone: settings.node.zone,
        region: settings.node.region,
        zones: Arc::new(ZoneMap::new(settings.zones)),
        placement: settings.placement,
        // Validation of the settings ensures that a gateway has all of these addresses.
        ingress: listen.ingress.unwrap_or(listen.peer),
        readiness: listen.readiness.unwrap_or(listen.peer),
        directory: listen.directory.unwrap_or(listen.peer),
        peer: listen.peer,
        exchange: listen.exchange_address(),
        bootstrap: settings.fleet.bootstrap,
        seeds,
        max_buffered_body_bytes: (memory * BODY_MEMORY_FRACTION) as usize,
        stop_time: Duration::from_secs_f64(settings.stop.seconds),
        policy: settings.policy,
        quota: settings.quota,
        suspension: SuspensionSource::Machine,
    }
}

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

fn job_store_options(settings: ServingSettings, seeds: SeedUpdates) -> JobStoreOptions {
    // Validation of the settings ensures that a job store has a data folder.
    let data = settings.data.unwrap_or(yokefall_settings::ServingData {
        folder: "data".into(),
        bootstrap: false,
        retention_seconds: 0.0,
        disk_mb: None,
    });
    let memory_mb = settings.limits.memory_mb;
    let log_mb = (memory_mb * LOG_MEMORY_FRACTION)
        .clamp(*LOG_MEMORY_RANGE_MB.start(), *LOG_MEMORY_RANGE_MB.end());
    let disk_job_mb = data.disk_mb.map_or(f64::MAX, |disk_mb| disk_mb * JOB_DISK_FRACTION);
    let job_mb = (memory_mb * JOB_MEMORY_FRACTION).min(disk_job_mb);
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
        page_bytes: (memory_mb * BYTES_PER_MB * RESULT_PAGE_MEMORY_FRACTION) as usize,
        policy: settings.policy,
        quota: settings.quota,
        suspension: SuspensionSource::Machine,
        output_bytes: (memory_mb * BYTES_PER_MB * OUTPUT_MEMORY_FRACTION) as usize,
        max_runs: (memory_mb * BYTES_PER_MB * RUNNING_ITEM_MEMORY_FRACTION / RUNNING_ITEM_BYTES)
            as usize
            + 1,
    }
}
