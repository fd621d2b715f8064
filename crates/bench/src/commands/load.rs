//! `yokefall-bench load`: online requests to a running agent.

use std::path::PathBuf;
use std::time::Duration;

use clap::Args;
use tokio::time::Instant;
use yokefall_bench::load::online::{self, CallerOutcome, OnlineLoad};
use yokefall_bench::measure::process::{cpu_seconds, resident_bytes};
use yokefall_rpc::client::Target;

/// Arguments of `load`.
#[derive(Debug, Args)]
pub struct LoadArguments {
    /// URL of the agent.
    #[arg(long)]
    server: String,
    /// File with the caller's API key.
    #[arg(long)]
    key_file: PathBuf,
    /// Partner of the key; the expected answers depend on it.
    #[arg(long)]
    partner: String,
    /// Name of the model service.
    #[arg(long)]
    model_service: String,
    /// Name of the plain service.
    #[arg(long)]
    plain_service: String,
    /// Model requests per second.
    #[arg(long, default_value_t = 20.0)]
    model_rate: f64,
    /// Plain requests per second.
    #[arg(long, default_value_t = 20.0)]
    plain_rate: f64,
    /// Seconds for which load is offered.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Seed of arrivals and sizes; also part of every request id.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// A process whose CPU time and memory are reported, `NAME=PID`; may be given several times.
    #[arg(long, value_parser = parse_process)]
    process: Vec<(String, u32)>,
}

fn parse_process(text: &str) -> Result<(String, u32), String> {
    let (name, pid) = text.split_once('=').ok_or("must have the form NAME=PID")?;
    Ok((name.to_owned(), pid.parse().map_err(|_| "PID must be a number")?))
}

pub async fn run(arguments: LoadArguments) -> Result<(), String> {
    let key = std::fs::read_to_string(&arguments.key_file)
        .map_err(|error| format!("{}: {error}", arguments.key_file.display()))?;
    let target =
        Target { url: arguments.server.clone(), key: key.trim().to_owned(), ..Target::default() };
    let caller = target.caller().await?;
    let load = OnlineLoad {
        partner: arguments.partner.clone(),
        model_service: arguments.model_service.clone(),
        plain_service: arguments.plain_service.clone(),
        model_rate: arguments.model_rate,
        plain_rate: arguments.plain_rate,
        deadline: Duration::from_secs(30),
        duration: Duration::from_secs(arguments.seconds),
        seed: arguments.seed,
    };
    let before: Vec<f64> = arguments.process.iter().map(|(_, pid)| cpu_seconds(*pid)).collect();
    let started = Instant::now();
    let record = online::send(load, caller).await;
    let elapsed = started.elapsed().as_secs_f64();
    let right = CallerOutcome::Answer { right: true };
    let answered = record.observations.iter().filter(|o| o.seen == right).count();
    let sent = record.observations.len();
    println!("requests {sent} answered right {answered} seconds {elapsed:.1}");
    for ((name, pid), before) in arguments.process.iter().zip(before) {
        let spent = cpu_seconds(*pid) - before;
        println!(
            "{name}: processor {:.2} % of a core, {:.0} us a request, resident {:.1} MB",
            spent / elapsed * 100.0,
            spent * 1e6 / sent.max(1) as f64,
            resident_bytes(*pid) as f64 / 1e6,
        );
    }
    if answered == sent {
        return Ok(());
    }
    Err(format!("{} requests did not get the expected answer", sent - answered))
}
