//! `yokefall-bench chaos`: load on a fleet under faults.

use std::time::Duration;

use clap::Args;
use yokefall_bench::chaos::{FaultPlan, Parts};
use yokefall_bench::deployment;
use yokefall_bench::fleet::{FleetOptions, LocalFleet};
use yokefall_bench::load::{self, RunOptions};

/// Arguments of `chaos`.
#[derive(Debug, Args)]
pub struct ChaosArguments {
    /// Seconds for which load is offered and faults are started.
    #[arg(long, default_value_t = 30)]
    seconds: u64,
    /// Seed of arrivals, sizes and faults.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Parts that receive faults.
    #[arg(long, value_enum, default_value_t = Parts::All)]
    parts: Parts,
    /// Print JSON.
    #[arg(long)]
    json: bool,
    /// Write a line for each fault, and for each request that was lost or doubled.
    #[arg(long)]
    verbose: bool,
}

pub async fn run(arguments: ChaosArguments) -> Result<(), String> {
    let fleet =
        LocalFleet::start(deployment::reference_deployments(), &FleetOptions::default()).await?;
    let options = RunOptions {
        duration: Duration::from_secs(arguments.seconds),
        seed: arguments.seed,
        verbose: arguments.verbose,
        ..RunOptions::default()
    };
    let faults =
        FaultPlan { seed: arguments.seed, parts: arguments.parts, verbose: arguments.verbose };
    let report = load::run(fleet, &options, Some(faults), |_, _, _| {}).await?;
    if arguments.json {
        println!("{}", serde_json::to_string(&report).map_err(|error| error.to_string())?);
    } else {
        println!("{}", report.table());
    }
    if report.has_violations() {
        return Err("requests or items were lost or doubled, or work was cut off; see the report"
            .to_owned());
    }
    Ok(())
}
