//! `yokefall-bench soak`: the real programs under faults from outside.

use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, ValueEnum};

use crate::soak::{self, FaultKind, Sizes, SoakOptions};

/// Arguments of `soak`.
#[derive(Debug, Args)]
pub struct SoakArguments {
    /// Minutes for which load is offered and faults begin.
    #[arg(long, default_value_t = 1.0)]
    minutes: f64,
    /// Seed of the first run; the same seed plays the same faults.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Runs, each with the next seed.
    #[arg(long, default_value_t = 1)]
    runs: u64,
    /// The program; `yokefall` beside this one where none is given.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Folder for settings, logs and data of the processes.
    #[arg(long, default_value = "soak-data")]
    folder: PathBuf,
    /// Kinds of faults that are played; all where none is named.
    #[arg(long, value_enum, value_delimiter = ',')]
    faults: Vec<FaultKind>,
    /// Gateways.
    #[arg(long, default_value_t = 3)]
    gateways: usize,
    /// Job stores.
    #[arg(long, default_value_t = 3)]
    job_stores: usize,
    /// Back ends.
    #[arg(long, default_value_t = 4)]
    back_ends: usize,
}

/// Plays runs and judges each.
pub async fn run(arguments: SoakArguments) -> Result<(), String> {
    let own = std::env::current_exe().map_err(|error| format!("find the program: {error}"))?;
    let program = arguments.program.unwrap_or_else(|| own.with_file_name("yokefall"));
    let sizes = Sizes {
        gateways: arguments.gateways,
        job_stores: arguments.job_stores,
        back_ends: arguments.back_ends,
    };
    let faults = match arguments.faults.is_empty() {
        true => FaultKind::value_variants().to_vec(),
        false => arguments.faults,
    };
    let mut failed_seeds = Vec::new();
    for seed in arguments.seed..arguments.seed + arguments.runs {
        let options = SoakOptions {
            duration: Duration::from_secs_f64(arguments.minutes * 60.0),
            seed,
            program: program.clone(),
            folder: arguments.folder.join(format!("seed-{seed}")),
            sizes,
            faults: faults.clone(),
        };
        let report = soak::run(&options).await?;
        println!("seed {seed}: {} faults", report.faults.len());
        for (name, count) in &report.counts {
            println!("  {count:>6} {name}");
        }
        for violation in &report.violations {
            println!("  BROKEN {violation}");
        }
        if !report.violations.is_empty() {
            report.faults.iter().for_each(|fault| println!("  at {fault}"));
            println!("  logs: {}", options.folder.display());
            failed_seeds.push(seed.to_string());
        }
    }
    match failed_seeds.is_empty() {
        true => Ok(()),
        false => Err(format!("promises were broken with seeds {}", failed_seeds.join(", "))),
    }
}
