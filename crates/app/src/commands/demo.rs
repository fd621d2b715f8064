//! `yokefall demo`: runs a complete fleet under load in one process.

use std::io::Write;
use std::time::Duration;

use clap::Args;
use yokefall_bench::deployment;
use yokefall_bench::fleet::{FleetOptions, LocalFleet};
use yokefall_bench::load::{self, RunOptions};
use yokefall_telemetry::{init_logs, Format, Level};

use crate::exit::{fail, ExitStatus};

/// Arguments of `demo`.
#[derive(Debug, Args)]
pub struct DemoArguments {
    /// Duration of the load in seconds.
    #[arg(long, default_value_t = 30)]
    seconds: u64,
    /// Random seed of the arrival times and request sizes.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Print the report as one JSON object on the last line instead of a table.
    #[arg(long)]
    json: bool,
    /// Model requests per second of each partner.
    #[arg(long, default_value_t = 30.0)]
    model_rate: f64,
    /// Plain requests per second of each partner.
    #[arg(long, default_value_t = 40.0)]
    plain_rate: f64,
    /// Jobs that each partner submits at once, every 10 seconds.
    #[arg(long, default_value_t = 6)]
    jobs_per_heap: usize,
    /// Write the fleet's log lines to standard error.
    #[arg(long)]
    logs: bool,
}

pub async fn run(arguments: DemoArguments) -> ExitStatus {
    let level = if arguments.logs { Level::Info } else { Level::Error };
    init_logs("demo", Format::Text, level);
    let plans = deployment::reference_deployments();
    for plan in &plans {
        let services: Vec<String> =
            plan.services.iter().map(|s| format!("{} x{}", s.name, s.backends)).collect();
        eprintln!("{}: {} in {}", plan.partner, services.join(", "), plan.zones.join(", "));
    }
    let fleet = match LocalFleet::start(plans, &FleetOptions::default()).await {
        Ok(fleet) => fleet,
        Err(error) => return fail(ExitStatus::Failed, format!("start fleet: {error}")),
    };
    eprintln!("{} daemons, {} agents: ready", fleet.daemons.len(), fleet.agents.len());
    let options = RunOptions {
        duration: Duration::from_secs(arguments.seconds),
        seed: arguments.seed,
        model_rate: arguments.model_rate,
        plain_rate: arguments.plain_rate,
        jobs_per_burst: arguments.jobs_per_heap,
        ..RunOptions::default()
    };
    let progress = |elapsed: Duration, items: u64, executed: usize| {
        let seconds = elapsed.as_secs();
        eprint!("\r{seconds:>4} s  {executed:>7} requests and items run  {items:>7} items listed");
        let _ = std::io::stderr().flush();
    };
    let report = match load::run(fleet, &options, None, progress).await {
        Ok(report) => report,
        Err(error) => return fail(ExitStatus::Failed, format!("run: {error}")),
    };
    eprintln!();
    if arguments.json {
        match serde_json::to_string(&report) {
            Ok(line) => println!("{line}"),
            Err(error) => return fail(ExitStatus::Failed, error),
        }
    } else {
        println!("{}", report.table());
    }
    if report.has_violations() {
        return fail(
            ExitStatus::IntegrityViolated,
            "something was lost, duplicated or interrupted",
        );
    }
    ExitStatus::Success
}
