//! The yokefall binary: one subcommand a role.

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
    /// Start a whole fleet in one process, with stand-ins, load and a table at the end.
    Demo(demo::DemoArguments),
    /// Serve calls and jobs.
    Daemon(serve::ServeArguments),
    /// Stand beside a caller.
    Agent(serve::ServeArguments),
    /// Serve clients: take requests and forward them to back ends.
    Gateway(serving::ServingArguments),
    /// Keep batch jobs on a replicated log and run their items.
    JobStore(serving::ServingArguments),
    /// Check a settings file, and name what is wrong and what would do.
    Check(check::CheckArguments),
    /// Print a settings file with every key, its meaning, unit and default.
    Example(check::ExampleArguments),
    /// Print the key-file line of a secret read from standard input.
    KeyLine(check::KeyLineArguments),
    /// Declare and look at configuration, as an operator.
    #[command(subcommand)]
    Ctl(ctl::CtlCommand),
    /// Submit, follow and cancel batch jobs, as a caller.
    #[command(subcommand)]
    Job(job::JobCommand),
    /// Make online requests, as a caller.
    #[command(subcommand)]
    Ask(ask::AskCommand),
    /// Tell the story of one request, job or item from lines of any processes.
    Explain(explain::ExplainArguments),
    /// Print completions for a shell.
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
    // Connections that are still open must not hold up the exit.
    runtime.shutdown_background();
    status.into()
}

async fn run(command: Command) -> ExitStatus {
    match command {
        Command::Demo(arguments) => demo::run(arguments).await,
        Command::Daemon(arguments) => serve::run_daemon(arguments).await,
        Command::Agent(arguments) => serve::run_agent(arguments).await,
        // These have runtimes of their own; `main` ran them.
        Command::Gateway(_) | Command::JobStore(_) => ExitStatus::BadInput,
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
            ExitStatus::Done
        }
    }
}
