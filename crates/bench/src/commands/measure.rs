//! `yokefall-bench overhead` and `digest`.

use clap::Args;
use serde::Serialize;
use yokefall_bench::measure::{digest as digest_run, overhead as overhead_run};

/// Arguments of `overhead`.
#[derive(Debug, Args)]
pub struct OverheadArguments {
    /// Number of rounds; each measures direct calls, then calls through agent and daemon.
    #[arg(long, default_value_t = 5)]
    rounds: usize,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

/// Arguments of `digest`.
#[derive(Debug, Args)]
pub struct DigestArguments {
    /// Number of digests computed for each body length.
    #[arg(long, default_value_t = 20_000)]
    count: u32,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

fn print(json: bool, value: &impl Serialize, table: &str) -> Result<(), String> {
    if json {
        println!("{}", serde_json::to_string(value).map_err(|error| error.to_string())?);
    } else {
        println!("{table}");
    }
    Ok(())
}

pub async fn overhead(arguments: OverheadArguments) -> Result<(), String> {
    let rows = overhead_run::run(arguments.rounds).await?;
    print(arguments.json, &rows, &overhead_run::table(&rows))
}

pub fn digest(arguments: DigestArguments) -> Result<(), String> {
    let rows = digest_run::run(arguments.count);
    print(arguments.json, &rows, &digest_run::table(&rows))
}
