//! `yokefall job`: submits, follows and cancels batch jobs.

use std::io::{BufRead, BufReader, Read, Write};
use std::path::PathBuf;

use clap::{Args, Subcommand};
use yokefall_api::v1;

use super::connect::{fail_with_status, ConnectArguments};
use crate::exit::{fail, ExitStatus};

/// Items that are read ahead of the upload.
const UPLOAD_QUEUE_ITEMS: usize = 256;

/// Batch jobs.
#[derive(Debug, Subcommand)]
pub enum JobCommand {
    /// Submit a job with one item per line. A repeated key joins the job submitted first.
    Submit(SubmitArguments),
    /// Print the progress of a job.
    Status(JobArguments),
    /// Print the results of a job, one JSON object per line.
    Results(ResultsArguments),
    /// Cancel a job.
    Cancel(JobArguments),
}

/// Arguments that identify a job.
#[derive(Debug, Args)]
pub struct JobArguments {
    #[command(flatten)]
    connect: ConnectArguments,
    /// Tenant.
    #[arg(long)]
    tenant: String,
    /// Key of the job, unique within the tenant.
    #[arg(long)]
    key: String,
}

/// Arguments of `submit`.
#[derive(Debug, Args)]
pub struct SubmitArguments {
    #[command(flatten)]
    job: JobArguments,
    /// Service.
    #[arg(long)]
    service: String,
    /// Deadline of the job in seconds from now.
    #[arg(long, default_value_t = 6 * 3600)]
    deadline_seconds: u64,
    /// Priority among the partner's jobs; greater values run first.
    #[arg(long, default_value_t = 0)]
    priority: u32,
    /// Allow items to be executed again after a failure; otherwise each runs at most once.
    #[arg(long)]
    repeatable: bool,
    /// Maximum number of tokens of each response.
    #[arg(long, default_value_t = 64)]
    max_tokens: u32,
    /// File with one item per line; standard input if omitted.
    file: Option<PathBuf>,
}

/// Arguments of `results`.
#[derive(Debug, Args)]
pub struct ResultsArguments {
    #[command(flatten)]
    job: JobArguments,
    /// Index of the first item to print.
    #[arg(long, default_value_t = 0)]
    from: u32,
    /// Wait for items that have not finished.
    #[arg(long)]
    follow: bool,
}

pub async fn run(command: JobCommand) -> ExitStatus {
    let done = match command {
        JobCommand::Submit(arguments) => submit(arguments).await,
        JobCommand::Status(arguments) => status(arguments).await,
        JobCommand::Results(arguments) => results(arguments).await,
        JobCommand::Cancel(arguments) => cancel(arguments).await,
    };
    done.unwrap_or_else(|status| status)
}

impl JobArguments {
    async fn connect(&self) -> Result<yokefall_rpc::client::Caller, ExitStatus> {
        let target =
            self.connect.target().map_err(|error| fail(ExitStatus::InvalidInput, error))?;
        target.caller().await.map_err(|error| fail(ExitStatus::Failed, error))
    }

    fn reference(&self) -> v1::JobRef {
        v1::JobRef { tenant: self.tenant.clone(), job_key: self.key.clone() }
    }
}

fn open(file: Option<&PathBuf>) -> Result<Box<dyn Read + Send>, ExitStatus> {
    match file {
        None => Ok(Box::new(std::io::stdin())),
        Some(path) => match std::fs::File::open(path) {
            Ok(file) => Ok(Box::new(file)),
            Err(error) => {
                Err(fail(ExitStatus::InvalidInput, format!("open {}: {error}", path.display())))
            }
        },
    }
}

async fn submit(arguments: SubmitArguments) -> Result<ExitStatus, ExitStatus> {
    use v1::submit_job_request::Part;
    let input = open(arguments.file.as_ref())?;
    let mut caller = arguments.job.connect().await?;
    let repeat = if arguments.repeatable { v1::Repeat::Allowed } else { v1::Repeat::Forbidden };
    let header = v1::JobHeader {
        tenant: arguments.job.tenant.clone(),
        job_key: arguments.job.key.clone(),
        service: arguments.service,
        deadline_ms: arguments.deadline_seconds.saturating_mul(1_000),
        priority: arguments.priority,
        repeat: repeat as i32,
        max_tokens: arguments.max_tokens,
    };
    // Items are streamed as they are read, so that the whole job is never in memory.
    let (parts, queue) = tokio::sync::mpsc::channel(UPLOAD_QUEUE_ITEMS);
    let reader = tokio::task::spawn_blocking(move || -> std::io::Result<()> {
        let send = |part| parts.blocking_send(v1::SubmitJobRequest { part: Some(part) }).is_ok();
        if !send(Part::Header(header)) {
            return Ok(());
        }
        for line in BufReader::new(input).lines() {
            if !send(Part::Item(v1::JobItem { body: line?.into_bytes() })) {
                return Ok(());
            }
        }
        Ok(())
    });
    let stream = tokio_stream::wrappers::ReceiverStream::new(queue);
    let submitted = caller.submit_job(stream).await;
    if let Ok(Err(error)) = reader.await {
        return Err(fail(ExitStatus::InvalidInput, format!("read items: {error}")));
    }
    let response = submitted.map_err(|status| fail_with_status(&status))?.into_inner();
    let joined = if response.joined { ", joined the job submitted before" } else { "" };
    println!("accepted {} items{joined}", response.accepted);
    Ok(ExitStatus::Success)
}

fn print_status(status: &v1::JobStatus) {
    println!(
        "{} accepted {} running {} completed {} failed {} cancelled {} unknown {}",
        status.state().as_str_name().trim_start_matches("JOB_STATE_").to_lowercase(),
        status.accepted,
        status.running,
        status.completed,
        status.failed,
        status.cancelled,
        status.unknown,
    );
}

async fn status(arguments: JobArguments) -> Result<ExitStatus, ExitStatus> {
    let mut caller = arguments.connect().await?;
    let response = caller.get_job(arguments.reference()).await;
    print_status(&response.map_err(|status| fail_with_status(&status))?.into_inner());
    Ok(ExitStatus::Success)
}

async fn cancel(arguments: JobArguments) -> Result<ExitStatus, ExitStatus> {
    let mut caller = arguments.connect().await?;
    let response = caller.cancel_job(arguments.reference()).await;
    print_status(&response.map_err(|status| fail_with_status(&status))?.into_inner());
    Ok(ExitStatus::Success)
}

async fn results(arguments: ResultsArguments) -> Result<ExitStatus, ExitStatus> {
    let mut caller = arguments.job.connect().await?;
    let request = v1::ListResultsRequest {
        job: Some(arguments.job.reference()),
        from_index: arguments.from,
        follow: arguments.follow,
    };
    let response =
        caller.list_results(request).await.map_err(|status| fail_with_status(&status))?;
    let mut results = response.into_inner();
    let mut output = std::io::stdout().lock();
    while let Some(result) = results.message().await.map_err(|status| fail_with_status(&status))? {
        let line = serde_json::json!({
            "index": result.index,
            "outcome": result.outcome().as_str_name().trim_start_matches("ITEM_OUTCOME_"),
            "attempt": result.attempt,
            "body": String::from_utf8_lossy(&result.body),
        });
        if writeln!(output, "{line}").is_err() {
            break;
        }
    }
    Ok(ExitStatus::Success)
}
