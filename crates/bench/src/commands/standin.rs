//! `yokefall-bench standin`: one stand-in as a process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use clap::{Args, Subcommand};
use yokefall_bench::ledger::Ledger;
use yokefall_bench::standin::engine::{EngineParameters, EngineStandIn};
use yokefall_bench::standin::machines::MachineList;
use yokefall_bench::standin::objects::ObjectApiStandIn;
use yokefall_bench::standin::plain::PlainStandIn;
use yokefall_bench::standin::weights::WeightStore;
use yokefall_objects::MachineState;

/// Kinds of stand-ins.
#[derive(Debug, Subcommand)]
pub enum StandInCommand {
    /// A model engine.
    Engine(EngineArguments),
    /// A plain service.
    Plain(PlainArguments),
    /// The object API, initially empty.
    Objects(ListenArguments),
    /// The machine list.
    Machines(MachinesArguments),
    /// The weight store.
    Weights(WeightsArguments),
}

/// Listen address of a stand-in.
#[derive(Debug, Args)]
pub struct ListenArguments {
    /// Address of its HTTP port; port 0 selects a free port, which is printed.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
}

/// Arguments of `engine`.
#[derive(Debug, Args)]
pub struct EngineArguments {
    #[command(flatten)]
    listen: ListenArguments,
    /// TOML file with the parameters of the cost model; defaults are used without it.
    #[arg(long)]
    parameters: Option<PathBuf>,
    /// Model that is initially loaded, instead of those in the file.
    #[arg(long)]
    model: Option<String>,
    /// Address of the weight store; without one, models load instantly.
    #[arg(long)]
    weight_store: Option<SocketAddr>,
}

/// Arguments of `plain`.
#[derive(Debug, Args)]
pub struct PlainArguments {
    #[command(flatten)]
    listen: ListenArguments,
    /// Maximum concurrent calls.
    #[arg(long, default_value_t = 32)]
    slots: usize,
    /// Duration of a call, in milliseconds.
    #[arg(long, default_value_t = 5)]
    service_ms: u64,
}

/// Arguments of `machines`.
#[derive(Debug, Args)]
pub struct MachinesArguments {
    #[command(flatten)]
    listen: ListenArguments,
    /// Machines that are initially live.
    #[arg(long)]
    machine: Vec<String>,
    /// Delay until a change becomes visible, in milliseconds.
    #[arg(long, default_value_t = 500)]
    lag_ms: u64,
}

/// Arguments of `weights`.
#[derive(Debug, Args)]
pub struct WeightsArguments {
    #[command(flatten)]
    listen: ListenArguments,
    /// Read rate shared by all readers, in bytes per second.
    #[arg(long, default_value_t = 1_000_000_000)]
    bytes_per_second: u64,
}

/// Runs a stand-in until the process is terminated.
pub async fn run(command: StandInCommand) -> Result<(), String> {
    // Each arm keeps its stand-in alive: `announce` never returns.
    match command {
        StandInCommand::Engine(arguments) => {
            let engine = start_engine(arguments).await?;
            announce("engine", engine.server.address()).await;
        }
        StandInCommand::Plain(arguments) => {
            let time = Duration::from_millis(arguments.service_ms);
            let ledger = Arc::new(Ledger::default());
            let address = arguments.listen.listen;
            let plain = PlainStandIn::start(address, arguments.slots, time, ledger).await;
            let plain = plain.map_err(|error| listen_error(address, &error))?;
            announce("plain", plain.server.address()).await;
        }
        StandInCommand::Objects(arguments) => {
            let objects = ObjectApiStandIn::start(arguments.listen).await;
            let objects = objects.map_err(|error| listen_error(arguments.listen, &error))?;
            announce("objects", objects.server.address()).await;
        }
        StandInCommand::Machines(arguments) => {
            let address = arguments.listen.listen;
            let lag = Duration::from_millis(arguments.lag_ms);
            let machines = MachineList::start(address, lag).await;
            let machines = machines.map_err(|error| listen_error(address, &error))?;
            for machine in &arguments.machine {
                machines.set(machine, MachineState::Live);
            }
            announce("machines", machines.server.address()).await;
        }
        StandInCommand::Weights(arguments) => {
            let address = arguments.listen.listen;
            let weights = WeightStore::start(address, arguments.bytes_per_second).await;
            let weights = weights.map_err(|error| listen_error(address, &error))?;
            announce("weights", weights.server.address()).await;
        }
    }
    Ok(())
}

async fn start_engine(arguments: EngineArguments) -> Result<EngineStandIn, String> {
    let mut parameters = match &arguments.parameters {
        Some(file) => read_parameters(file)?,
        None => EngineParameters::default(),
    };
    if let Some(model) = arguments.model {
        parameters.models = vec![model];
    }
    let address = arguments.listen.listen;
    let ledger = Arc::new(Ledger::default());
    let started = EngineStandIn::start(address, parameters, ledger, arguments.weight_store).await;
    started.map_err(|error| listen_error(address, &error))
}

fn read_parameters(file: &PathBuf) -> Result<EngineParameters, String> {
    let text =
        std::fs::read_to_string(file).map_err(|error| format!("{}: {error}", file.display()))?;
    toml::from_str(&text).map_err(|error| format!("{}: {error}", file.display()))
}

fn listen_error(address: SocketAddr, error: &std::io::Error) -> String {
    format!("listen {address}: {error}")
}

/// Prints the address, then waits forever.
async fn announce(name: &str, address: SocketAddr) {
    println!("{name} listens on {address}");
    std::future::pending::<()>().await;
}
