//! Command-line entry point: stand-ins as processes, load generation and measurements.

mod commands;
mod soak;

use clap::{Parser, Subcommand};

use commands::{chaos, load, measure, standin};
use yokefall_telemetry::{init_logs, Format, Level};

/// Stand-ins for the systems around yokefall, load generation and measurements.
#[derive(Debug, Parser)]
#[command(name = "yokefall-bench", version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run one stand-in as a process.
    #[command(subcommand)]
    Standin(standin::StandInCommand),
    /// Compare calls through agent and daemon with direct calls to the same back ends.
    Overhead(measure::OverheadArguments),
    /// Measure the time of a request digest by body length.
    Digest(measure::DigestArguments),
    /// Send online requests to a running agent and print the CPU time and memory of the processes.
    Load(load::LoadArguments),
    /// Load a fleet while its parts crash, hang, send malformed data and recover; fails if anything
    /// is lost or doubled.
    Chaos(chaos::ChaosArguments),
    /// Run the real programs as processes while they are stopped, paused, killed and disconnected.
    Soak(commands::soak::SoakArguments),
}

fn main() -> std::process::ExitCode {
    let arguments = Arguments::parse();
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("yokefall-bench: start runtime: {error}");
            return std::process::ExitCode::FAILURE;
        }
    };
    init_logs("bench", Format::Text, Level::Error);
    let done = runtime.block_on(async {
        match arguments.command {
            Command::Standin(command) => standin::run(command).await,
            Command::Overhead(arguments) => measure::overhead(arguments).await,
            Command::Digest(arguments) => measure::digest(arguments),
            Command::Load(arguments) => load::run(arguments).await,
            Command::Chaos(arguments) => chaos::run(arguments).await,
            Command::Soak(arguments) => commands::soak::run(arguments).await,
        }
    });
    runtime.shutdown_background();
    match done {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("yokefall-bench: {error}");
            std::process::ExitCode::FAILURE
        }
    }
}
