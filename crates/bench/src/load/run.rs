//! A complete run: online and batch load of all partners on a local fleet.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::{batch, online};
use crate::chaos::{self, FaultPlan};
use crate::deployment::PartnerPlan;
use crate::fleet::LocalFleet;
use crate::report::{OnlineReport, RunReport};

/// Load of a run and its duration.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Duration of the offered load.
    pub duration: Duration,
    /// Seed of all random arrivals and sizes.
    pub seed: u64,
    /// Model requests per second of each partner.
    pub model_rate: f64,
    /// Plain requests per second of each partner.
    pub plain_rate: f64,
    /// Jobs in each burst of each partner.
    pub jobs_per_burst: usize,
    /// Time after the load ends until unfinished jobs are cancelled.
    pub grace: Duration,
    /// Write a line to standard error for each request or item that was lost or doubled.
    pub verbose: bool,
}

impl Default for RunOptions {
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(30),
            seed: 1,
            model_rate: 30.0,
            plain_rate: 40.0,
            jobs_per_burst: 6,
            grace: Duration::from_secs(20),
            verbose: false,
        }
    }
}

const ONLINE_DEADLINE: Duration = Duration::from_secs(30);
const ITEMS_PER_JOB: std::ops::RangeInclusive<u32> = 20..=120;
const ITEM_TOKENS: u32 = 48;

/// Offers the load until all work has ended, stops the fleet and verifies outcomes by the ledgers.
/// Each second, `progress` gets the elapsed time, completed batch items and executions.
pub async fn run(
    mut fleet: LocalFleet,
    options: &RunOptions,
    faults: Option<FaultPlan>,
    mut progress: impl FnMut(Duration, u64, usize),
) -> Result<RunReport, String> {
    let started = Instant::now();
    let completed = Arc::new(AtomicU64::new(0));
    let mut online_tasks = Vec::new();
    let mut batch_tasks = Vec::new();
    for (number, plan) in fleet.plans.iter().enumerate() {
        let seed = options.seed.wrapping_mul(1_000).wrapping_add(number as u64 * 10);
        let caller = fleet.caller(plan.partner).await?;
        let load = online_load(plan, options, seed);
        online_tasks.push(tokio::spawn(online::send(load, caller.clone())));
        let load = batch_load(plan, options, seed);
        batch_tasks.push(tokio::spawn(batch::send(load, caller, completed.clone())));
    }
    let ledger = fleet.ledger.clone();
    let mut rate = 0.0;
    let mut online = online::OnlineRecord::default();
    let mut jobs = Vec::new();
    let collecting = async {
        for task in online_tasks {
            let record = task.await.map_err(|error| error.to_string())?;
            online.observations.extend(record.observations);
            online.first_token.add(&record.first_token);
            online.whole.add(&record.whole);
        }
        if options.verbose {
            eprintln!("{:>6.2} s  every request has ended", started.elapsed().as_secs_f64());
        }
        for task in batch_tasks {
            jobs.extend(task.await.map_err(|error| error.to_string())?);
        }
        if options.verbose {
            eprintln!("{:>6.2} s  every job has ended", started.elapsed().as_secs_f64());
        }
        Ok::<(), String>(())
    };
    let reporting = async {
        loop {
            tokio::time::sleep(Duration::from_secs(1)).await;
            let elapsed = started.elapsed();
            let items = completed.load(Ordering::Relaxed);
            if elapsed <= options.duration + Duration::from_millis(500) {
                rate = items as f64 / elapsed.as_secs_f64();
            }
            progress(elapsed, items, ledger.counts().len());
        }
    };
    let injecting = async {
        if let Some(plan) = faults {
            chaos::inject_faults(&mut fleet, &plan, options.duration).await?;
        }
        Ok::<(), String>(())
    };
    let both = async { tokio::try_join!(collecting, injecting) };
    tokio::select! {
        done = both => { done?; }
        () = reporting => {}
    }
    if rate == 0.0 {
        rate = completed.load(Ordering::Relaxed) as f64 / started.elapsed().as_secs_f64();
    }
    let clean_stop = fleet.stop().await;
    Ok(RunReport {
        requests: online::verify(&online.observations, &ledger, options.verbose),
        items: batch::verify(&jobs, &ledger, options.verbose),
        online_ms: OnlineReport {
            first_token: online.first_token.percentiles(),
            whole: online.whole.percentiles(),
        },
        batch_items_per_second: rate,
        seconds: options.duration.as_secs_f64(),
        seed: options.seed,
        clean_stop,
    })
}

fn online_load(plan: &PartnerPlan, options: &RunOptions, seed: u64) -> online::OnlineLoad {
    online::OnlineLoad {
        partner: plan.partner.to_owned(),
        model_service: plan.model_service().name.to_owned(),
        plain_service: plan.plain_service().name.to_owned(),
        model_rate: options.model_rate,
        plain_rate: options.plain_rate,
        deadline: ONLINE_DEADLINE,
        duration: options.duration,
        seed,
    }
}

fn batch_load(plan: &PartnerPlan, options: &RunOptions, seed: u64) -> batch::BatchLoad {
    batch::BatchLoad {
        partner: plan.partner.to_owned(),
        service: plan.model_service().name.to_owned(),
        jobs_per_burst: options.jobs_per_burst,
        items_per_job: ITEMS_PER_JOB,
        tokens: ITEM_TOKENS,
        duration: options.duration,
        grace: options.grace,
        seed: seed + 1,
    }
}
