//! `yokefall-bench soak`: the real programs under load and externally injected faults.

use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, ValueEnum};

use crate::soak::{self, FaultKind, Sizes, SoakOptions};

/// Arguments of `soak`.
#[derive(Debug, Args)]
pub struct SoakArguments {
    /// Minutes for which load is offered and faults are started.
    #[arg(long, default_value_t = 1.0)]
    minutes: f64,
    /// Seed of the first run; the same seed gives the same fault schedule.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of runs; each uses the next seed.
    #[arg(long, default_value_t = 1)]
    runs: u64,
    /// Program to run; by default `yokefall` in the folder of this one.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Folder for settings, logs and data of the processes.
    #[arg(long, default_value = "soak-data")]
    folder: PathBuf,
    /// Kinds of faults to inject; all by default.
    #[arg(long, value_enum, value_delimiter = ',')]
    faults: Vec<FaultKind>,
    /// Number of gateways.
    #[arg(long, default_value_t = 3)]
    gateways: usize,
    /// Number of job stores.
    #[arg(long, default_value_t = 3)]
    job_stores: usize,
    /// Number of back ends.
    #[arg(long, default_value_t = 4)]
    back_ends: usize,
}

pub async fn run(arguments: SoakArguments) -> Result<(), String> {
    let own = std::env::current_exe()
        .map_err(|error| format!("find the path of this program: {error}"))?;
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
        false => Err(format!("guarantees were violated with seeds {}", failed_seeds.join(", "))),
    }
}
