//! Batch load: jobs submitted in periodic bursts, and verification of every result.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;
use yokefall_api::v1;

use crate::ledger::{ExecutionCounts, Ledger};
use crate::report::OutcomeCounts;
use crate::text::model_answer;
use yokefall_rpc::client::Caller;

const BURST_INTERVAL: Duration = Duration::from_secs(10);
const JOB_DEADLINE: Duration = Duration::from_secs(4 * 3600);
const RETRY_BACKOFF: Duration = Duration::from_millis(200);
const MAX_SUBMIT_ATTEMPTS: u32 = 50;

/// Batch load of one partner.
#[derive(Clone, Debug)]
pub struct BatchLoad {
    /// Partner name.
    pub partner: String,
    /// Service name.
    pub service: String,
    /// Jobs in a burst.
    pub jobs_per_burst: usize,
    /// Range of the number of items in a job.
    pub items_per_job: std::ops::RangeInclusive<u32>,
    /// Tokens in an item's answer.
    pub tokens: u32,
    /// Duration of the offered load.
    pub duration: Duration,
    /// Time after the load ends until unfinished jobs are cancelled.
    pub grace: Duration,
    /// Seed of the random sizes.
    pub seed: u64,
}

#[derive(Clone, Debug)]
struct JobPlan {
    key: String,
    items: u32,
    no_repeat: bool,
}

/// A job as its submitter observed it.
#[derive(Clone, Debug)]
pub struct JobRecord {
    /// Id in the ledgers: partner, tenant and job key.
    pub ledger_id: String,
    /// Whether its items may run at most once.
    pub no_repeat: bool,
    /// Number of accepted items; zero if the submission failed.
    pub accepted: u32,
    /// Results in the order in which they were listed.
    pub results: Vec<v1::JobResult>,
    /// Tokens in each answer.
    pub tokens: u32,
}

/// Counter of completed items, updated as results are listed.
pub type CompletedCounter = Arc<AtomicU64>;

const TENANT: &str = "planning";

/// Submits bursts of jobs, follows every job to its end and returns the records.
pub async fn send(load: BatchLoad, caller: Caller, completed: CompletedCounter) -> Vec<JobRecord> {
    let started = Instant::now();
    let mut generator = SmallRng::seed_from_u64(load.seed);
    let mut jobs = Vec::new();
    let mut burst = 0u32;
    while BURST_INTERVAL * burst < load.duration {
        tokio::time::sleep_until(started + BURST_INTERVAL * burst).await;
        for number in 0..load.jobs_per_burst {
            let plan = JobPlan {
                key: format!("{}-{burst}-{number}", load.seed),
                items: generator.random_range(load.items_per_job.clone()),
                // Every third job has items that may run at most once, as advisories do.
                no_repeat: number % 3 == 2,
            };
            let end = started + load.duration + load.grace;
            let (load, caller, completed) = (load.clone(), caller.clone(), completed.clone());
            jobs.push(tokio::spawn(run_job(load, caller, plan, end, completed)));
        }
        burst += 1;
    }
    let mut records = Vec::new();
    for job in jobs {
        if let Ok(record) = job.await {
            records.push(record);
        }
    }
    records
}

async fn run_job(
    load: BatchLoad,
    mut caller: Caller,
    plan: JobPlan,
    end: Instant,
    completed: CompletedCounter,
) -> JobRecord {
    let mut record = JobRecord {
        ledger_id: format!("{}/{TENANT}/{}", load.partner, plan.key),
        no_repeat: plan.no_repeat,
        accepted: submit(&load, &mut caller, &plan).await,
        results: Vec::new(),
        tokens: load.tokens,
    };
    if record.accepted == 0 {
        return record;
    }
    let job = v1::JobRef { tenant: TENANT.to_owned(), job_key: plan.key };
    let following = follow(&mut caller, &job, &mut record, &completed);
    if tokio::time::timeout_at(end, following).await.is_err() {
        // The grace period has ended: cancel the job and collect the remaining results.
        let _ = caller.cancel_job(job.clone()).await;
        follow(&mut caller, &job, &mut record, &completed).await;
    }
    record
}

async fn submit(load: &BatchLoad, caller: &mut Caller, plan: &JobPlan) -> u32 {
    let repeat = if plan.no_repeat { v1::Repeat::Forbidden } else { v1::Repeat::Allowed };
    for _ in 0..MAX_SUBMIT_ATTEMPTS {
        let header = v1::JobHeader {
            tenant: TENANT.to_owned(),
            job_key: plan.key.clone(),
            service: load.service.clone(),
            deadline_ms: JOB_DEADLINE.as_millis() as u64,
            priority: 0,
            repeat: repeat as i32,
            max_tokens: load.tokens,
        };
        use v1::submit_job_request::Part;
        let first = std::iter::once(Part::Header(header));
        let key = plan.key.clone();
        let items = (0..plan.items).map(move |index| {
            Part::Item(v1::JobItem { body: format!("ledger {key} line {index}").into_bytes() })
        });
        let parts = first.chain(items).map(|part| v1::SubmitJobRequest { part: Some(part) });
        match caller.submit_job(tokio_stream::iter(parts.collect::<Vec<_>>())).await {
            Ok(response) => return response.into_inner().accepted,
            Err(_) => tokio::time::sleep(RETRY_BACKOFF).await,
        }
    }
    0
}

/// Reads results until every item has one.
async fn follow(
    caller: &mut Caller,
    job: &v1::JobRef,
    record: &mut JobRecord,
    completed: &AtomicU64,
) {
    while (record.results.len() as u32) < record.accepted {
        let request = v1::ListResultsRequest {
            job: Some(job.clone()),
            from_index: record.results.last().map_or(0, |result| result.index + 1),
            follow: true,
        };
        if let Ok(response) = caller.list_results(request).await {
            let mut results = response.into_inner();
            while let Ok(Some(result)) = results.message().await {
                if result.outcome() == v1::ItemOutcome::Completed {
                    completed.fetch_add(1, Ordering::Relaxed);
                }
                record.results.push(result);
            }
        }
        tokio::time::sleep(RETRY_BACKOFF).await;
    }
}

/// Verifies the submitters' records against the back ends' ledger.
pub fn verify(records: &[JobRecord], ledger: &Ledger, verbose: bool) -> OutcomeCounts {
    let counts = ledger.counts();
    let mut total = OutcomeCounts::default();
    for record in records {
        let outcome_counts = verify_job(record, &counts, verbose);
        if verbose && outcome_counts.has_violations() {
            eprintln!("violation: job {} {outcome_counts:?}", record.ledger_id);
        }
        total.add(&outcome_counts);
    }
    total
}

fn verify_job(
    record: &JobRecord,
    counts: &HashMap<String, ExecutionCounts>,
    verbose: bool,
) -> OutcomeCounts {
    let mut total = OutcomeCounts::default();
    total.accepted += u64::from(record.accepted);
    let mut seen = HashSet::new();
    for result in &record.results {
        if !seen.insert(result.index) {
            total.doubled += 1;
            continue;
        }
        let item_id = format!("{}/{}", record.ledger_id, result.index);
        let ran = counts.get(&item_id).copied().unwrap_or_default();
        if record.no_repeat && ran.begun > 1 {
            total.doubled += 1;
            if verbose {
                eprintln!("violation: {item_id} ran {ran:?}");
            }
        }
        match result.outcome() {
            v1::ItemOutcome::Completed => {
                let expected = model_answer(&item_id, record.tokens);
                if result.body == expected.as_bytes() && ran.finished > 0 {
                    total.completed += 1;
                } else {
                    total.lost += 1;
                }
            }
            v1::ItemOutcome::Unknown => total.unknown += 1,
            _ => total.refused += 1,
        }
    }
    total.lost += u64::from(record.accepted).saturating_sub(seen.len() as u64);
    total
}
