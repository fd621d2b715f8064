//! The yokefall binary: one subcommand per role.

mod commands;
mod exit;

use clap::{CommandFactory, Parser, Subcommand};
use clap_complete::Shell;

use commands::{ask, check, ctl, demo, explain, job, serve, serving};
use exit::ExitStatus;

/// Runs online and batch inference on one fleet for partners who share capacity but not control.
#[derive(Debug, Parser)]
#[command(name = "yokefall", version, about, after_help = exit::HELP)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Start a complete fleet with simulated external systems in one process, apply load and print
    /// a summary table.
    Demo(demo::DemoArguments),
    /// Serve calls and jobs.
    Daemon(serve::ServeArguments),
    /// Run the agent beside a caller: it authenticates calls and forwards them to daemons.
    Agent(serve::ServeArguments),
    /// Accept client requests and forward them to back ends.
    Gateway(serving::ServingArguments),
    /// Store batch jobs in a replicated log and run their items.
    JobStore(serving::ServingArguments),
    /// Validate a settings file; errors name the invalid value and what is accepted.
    Check(check::CheckArguments),
    /// Print a settings file with every key, its meaning, unit and default.
    Example(check::ExampleArguments),
    /// Read a secret from standard input and print its line for the key file.
    KeyLine(check::KeyLineArguments),
    /// Apply and inspect configuration as an operator.
    #[command(subcommand)]
    Ctl(ctl::CtlCommand),
    /// Submit, follow and cancel batch jobs as a caller.
    #[command(subcommand)]
    Job(job::JobCommand),
    /// Send online requests as a caller.
    #[command(subcommand)]
    Ask(ask::AskCommand),
    /// Print the history of a request, job or item from the log lines of any number of processes.
    Explain(explain::ExplainArguments),
    /// Print shell completions.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

fn main() -> std::process::ExitCode {
    yokefall_telemetry::version::set_build(env!("YOKEFALL_BUILD"));
    let command = match Arguments::parse().command {
        Command::Gateway(arguments) => return serving::run_gateway(&arguments).into(),
        Command::JobStore(arguments) => return serving::run_job_store(&arguments).into(),
        command => command,
    };
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("start runtime: {error}");
            return ExitStatus::Failed.into();
        }
    };
    let status = runtime.block_on(run(command));
    // Exits without waiting for connections that are still open.
    runtime.shutdown_background();
    status.into()
}

async fn run(command: Command) -> ExitStatus {
    match command {
        Command::Demo(arguments) => demo::run(arguments).await,
        Command::Daemon(arguments) => serve::run_daemon(arguments).await,
        Command::Agent(arguments) => serve::run_agent(arguments).await,
        // `main` runs these two before it starts this runtime: they create their own.
        Command::Gateway(_) | Command::JobStore(_) => ExitStatus::InvalidInput,
        Command::Check(arguments) => check::run(&arguments),
        Command::Example(arguments) => check::example(&arguments),
        Command::KeyLine(arguments) => check::key_line(&arguments),
        Command::Ctl(command) => ctl::run(command).await,
        Command::Job(command) => job::run(command).await,
        Command::Ask(command) => ask::run(command).await,
        Command::Explain(arguments) => explain::run(&arguments),
        Command::Completions { shell } => {
            let mut command = Arguments::command();
            clap_complete::generate(shell, &mut command, "yokefall", &mut std::io::stdout());
            ExitStatus::Success
        }
    }
}
