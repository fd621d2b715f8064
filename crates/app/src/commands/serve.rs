//! `yokefall daemon` and `yokefall agent`: run the daemon and the agent.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::Args;
use tokio::signal::unix::{signal, SignalKind};
use yokefall_agent::{Agent, AgentListeners};
use yokefall_daemon::{Daemon, Listeners};
use yokefall_settings::{LogFormat, LogLevel, Role, Settings};
use yokefall_telemetry::{init_logs, Event, Format, Level};

use crate::exit::{fail, ExitStatus};

/// Arguments of `daemon` and `agent`. Flags override the settings file.
#[derive(Debug, Args)]
pub struct ServeArguments {
    /// Settings file; `yokefall example` prints one with every key.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Name of the process, unique in the fleet (node.name).
    #[arg(long)]
    name: Option<String>,
    /// Zone in which the process runs (node.zone).
    #[arg(long)]
    zone: Option<String>,
    /// Region of the zone (node.region).
    #[arg(long)]
    region: Option<String>,
    /// Address for other yokefall processes (listen.peer).
    #[arg(long, value_name = "IP:PORT")]
    peer: Option<SocketAddr>,
    /// Address of gRPC (listen.rpc).
    #[arg(long, value_name = "IP:PORT")]
    rpc: Option<SocketAddr>,
    /// Address of metrics and health (listen.metrics).
    #[arg(long, value_name = "IP:PORT")]
    metrics: Option<SocketAddr>,
}

impl ServeArguments {
    fn load(self, role: Role) -> Result<Settings, String> {
        let mut settings = Settings::load(&self.settings).map_err(|error| error.to_string())?;
        if settings.role != role {
            let file = self.settings.display();
            return Err(format!("{file}: role = {:?}, not {role:?}", settings.role));
        }
        settings.node.name = self.name.unwrap_or(settings.node.name);
        settings.node.zone = self.zone.unwrap_or(settings.node.zone);
        settings.node.region = self.region.unwrap_or(settings.node.region);
        settings.listen.peer = self.peer.unwrap_or(settings.listen.peer);
        settings.listen.rpc = self.rpc.unwrap_or(settings.listen.rpc);
        settings.listen.metrics = self.metrics.unwrap_or(settings.listen.metrics);
        settings.recheck(&self.settings).map_err(|error| error.to_string())?;
        Ok(settings)
    }
}

fn start_logs(role: &str, settings: &Settings) {
    let format = match settings.log.format {
        LogFormat::Text => Format::Text,
        LogFormat::Json => Format::Json,
    };
    let level = match settings.log.level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    init_logs(role, format, level);
}

async fn stop_signal() {
    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

pub async fn run_daemon(arguments: ServeArguments) -> ExitStatus {
    let settings = match arguments.load(Role::Daemon) {
        Ok(settings) => settings,
        Err(error) => return fail(ExitStatus::InvalidInput, error),
    };
    start_logs("daemon", &settings);
    let listeners = match Listeners::open(&settings).await {
        Ok(listeners) => listeners,
        Err(error) => return fail(ExitStatus::Failed, error),
    };
    let daemon = match Daemon::start(&settings, listeners).await {
        Ok(daemon) => daemon,
        Err(error) => return fail(ExitStatus::Failed, error),
    };
    tokio::select! {
        () = stop_signal() => {}
        () = daemon.storage_failed() => {
            daemon.kill();
            return fail(ExitStatus::StorageFailed, "storage in the data folder failed");
        }
    }
    let drain = Duration::from_secs(settings.stop.drain_seconds);
    if daemon.stop(drain).await.clean {
        Event::new(Level::Info, "stop").write("daemon stopped, no work was interrupted");
        return ExitStatus::Success;
    }
    ExitStatus::WorkInterrupted
}

pub async fn run_agent(arguments: ServeArguments) -> ExitStatus {
    let settings = match arguments.load(Role::Agent) {
        Ok(settings) => settings,
        Err(error) => return fail(ExitStatus::InvalidInput, error),
    };
    start_logs("agent", &settings);
    let listeners = match AgentListeners::open(&settings).await {
        Ok(listeners) => listeners,
        Err(error) => return fail(ExitStatus::Failed, error),
    };
    let agent = match Agent::start(&settings, listeners).await {
        Ok(agent) => agent,
        Err(error) => return fail(ExitStatus::Failed, error),
    };
    stop_signal().await;
    if agent.stop(Duration::from_secs(settings.stop.drain_seconds)).await {
        Event::new(Level::Info, "stop").write("agent stopped, no work was interrupted");
        return ExitStatus::Success;
    }
    ExitStatus::WorkInterrupted
}
