//! Batch jobs: upload, progress, results, cancellation.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::mpsc;
use tonic::{Status, Streaming};
use yokefall_api::v1;
use yokefall_core::fleet::job_home;
use yokefall_peer::{JobHeader, PeerClient, PeerReply, PeerRequest};
use yokefall_rpc::convert;
use yokefall_types::limits::{
    check_name, MAX_JOB_DEADLINE_MS, MAX_JOB_ITEMS, MAX_PROMPT_BYTES, MAX_TOKENS,
};
use yokefall_types::{ItemResult, JobId, NodeName, PartnerName, ServiceName, TenantName};

use crate::members::Members;

const UPLOAD_BATCH_BYTES: usize = 1024 * 1024;
const UPLOAD_BATCH_ITEMS: usize = 2_000;
const STORE_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which new results are polled when the caller follows a job.
const FOLLOW_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of retries of a read while the job store is unavailable.
const MAX_READ_RETRIES: u32 = 20;
const READ_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Client of the job stores, which run on the data daemons.
#[derive(Clone, Debug)]
pub struct JobClient {
    /// Connections to daemons.
    pub peers: PeerClient,
    /// Current members of the fleet.
    pub members: Members,
    /// Names of the daemons with a data folder.
    pub data_nodes: Vec<NodeName>,
}

/// Validates a protobuf job reference and converts it to a job id.
pub fn job_id(partner: PartnerName, reference: &v1::JobRef) -> Result<JobId, Status> {
    check_name("tenant", &reference.tenant).map_err(Status::invalid_argument)?;
    check_name("job_key", &reference.job_key).map_err(Status::invalid_argument)?;
    Ok(JobId {
        partner,
        tenant: TenantName::new(&reference.tenant),
        key: reference.job_key.as_str().into(),
    })
}

fn job_header(partner: PartnerName, header: v1::JobHeader) -> Result<JobHeader, Status> {
    let reference = v1::JobRef { tenant: header.tenant, job_key: header.job_key };
    let job = job_id(partner, &reference)?;
    check_name("service", &header.service).map_err(Status::invalid_argument)?;
    if !(1..=MAX_JOB_DEADLINE_MS).contains(&header.deadline_ms) {
        let message = format!("deadline_ms: give 1 to {MAX_JOB_DEADLINE_MS}");
        return Err(Status::invalid_argument(message));
    }
    if header.max_tokens > MAX_TOKENS {
        let message = format!("max_tokens: give at most {MAX_TOKENS}");
        return Err(Status::invalid_argument(message));
    }
    Ok(JobHeader {
        job,
        service: ServiceName::new(&header.service),
        priority: header.priority,
        repeat: convert::repeat_policy_from_proto(header.repeat),
        deadline_ms: header.deadline_ms,
        max_tokens: header.max_tokens,
    })
}

impl JobClient {
    fn store_address(&self, job: &JobId) -> Result<SocketAddr, Status> {
        let Some(node) = job_home(job, &self.data_nodes) else {
            return Err(Status::failed_precondition("fleet.data_nodes: no data daemon is set"));
        };
        self.members.address_of(node).ok_or_else(|| {
            Status::unavailable(format!("data daemon {node}, which holds the job, is not live"))
        })
    }

    async fn call(&self, job: &JobId, request: PeerRequest) -> Result<PeerReply, Status> {
        let store = self.store_address(job)?;
        match self.peers.call(store, request, STORE_TIMEOUT).await {
            Ok(PeerReply::Refused(refusal)) => Err(convert::status_from_refusal(&refusal)),
            Ok(reply) => Ok(reply),
            Err(error) => Err(Status::unavailable(error.to_string())),
        }
    }

    /// Uploads and commits a job. If the answer is lost, a resend under the same key joins the job.
    pub async fn submit(
        &self,
        partner: PartnerName,
        mut parts: Streaming<v1::SubmitJobRequest>,
    ) -> Result<v1::SubmitJobResponse, Status> {
        let first = parts.message().await?.and_then(|message| message.part);
        let Some(v1::submit_job_request::Part::Header(header)) = first else {
            return Err(Status::invalid_argument("header: must be the first message"));
        };
        let header = job_header(partner, header)?;
        let job = header.job.clone();
        let opened = self.call(&job, PeerRequest::OpenJob(header)).await?;
        let PeerReply::UploadOpened(upload) = opened else { return Err(unexpected_reply()) };
        self.upload_items(&job, upload, &mut parts).await?;
        match self.call(&job, PeerRequest::CommitJob { upload }).await? {
            PeerReply::JobAccepted { accepted, joined } => {
                Ok(v1::SubmitJobResponse { accepted, joined })
            }
            _ => Err(unexpected_reply()),
        }
    }

    async fn upload_items(
        &self,
        job: &JobId,
        upload: u64,
        parts: &mut Streaming<v1::SubmitJobRequest>,
    ) -> Result<(), Status> {
        let mut bodies = Vec::new();
        let mut bytes = 0;
        let mut count = 0u32;
        while let Some(message) = parts.message().await? {
            let Some(v1::submit_job_request::Part::Item(item)) = message.part else {
                return Err(Status::invalid_argument("item: expected after the header"));
            };
            check_item(count, &item)?;
            count += 1;
            bytes += item.body.len();
            bodies.push(item.body);
            if bytes >= UPLOAD_BATCH_BYTES || bodies.len() >= UPLOAD_BATCH_ITEMS {
                self.append_items(job, upload, std::mem::take(&mut bodies)).await?;
                bytes = 0;
            }
        }
        if !bodies.is_empty() {
            self.append_items(job, upload, bodies).await?;
        }
        Ok(())
    }

    async fn append_items(
        &self,
        job: &JobId,
        upload: u64,
        bodies: Vec<Vec<u8>>,
    ) -> Result<(), Status> {
        self.call(job, PeerRequest::AppendItems { upload, bodies }).await.map(|_| ())
    }

    /// Gets the progress of a job.
    pub async fn progress(&self, job: JobId) -> Result<v1::JobStatus, Status> {
        match self.call(&job.clone(), PeerRequest::GetJob(job)).await? {
            PeerReply::Job(progress) => Ok(convert::progress_to_proto(&progress)),
            _ => Err(unexpected_reply()),
        }
    }

    /// Cancels a job.
    pub async fn cancel(&self, job: JobId) -> Result<v1::JobStatus, Status> {
        match self.call(&job.clone(), PeerRequest::CancelJob(job)).await? {
            PeerReply::Job(progress) => Ok(convert::progress_to_proto(&progress)),
            _ => Err(unexpected_reply()),
        }
    }

    /// Sends the results of ended items in order of index; with `follow`, waits for every item.
    pub async fn results(
        &self,
        job: JobId,
        from_index: u32,
        follow: bool,
        results: mpsc::Sender<Result<v1::JobResult, Status>>,
    ) {
        let mut next = from_index;
        loop {
            let (page, items, last_page) = match self.fetch_page(&job, next).await {
                Ok(page) => page,
                Err(status) => {
                    let _ = results.send(Err(status)).await;
                    return;
                }
            };
            for result in page {
                if follow && result.index != next {
                    break;
                }
                next = result.index + 1;
                if results.send(Ok(result_to_proto(result))).await.is_err() {
                    return;
                }
            }
            if next >= items || (last_page && !follow) {
                return;
            }
            if last_page {
                tokio::time::sleep(FOLLOW_POLL_INTERVAL).await;
            }
            if results.is_closed() {
                return;
            }
        }
    }

    async fn fetch_page(
        &self,
        job: &JobId,
        from_index: u32,
    ) -> Result<(Vec<ItemResult>, u32, bool), Status> {
        let mut retries = 0;
        loop {
            let request = PeerRequest::ListResults { job: job.clone(), from_index };
            match self.call(job, request).await {
                Ok(PeerReply::Results { results, items, last_page }) => {
                    return Ok((results, items, last_page));
                }
                Ok(_) => return Err(unexpected_reply()),
                Err(status)
                    if status.code() == tonic::Code::Unavailable && retries < MAX_READ_RETRIES =>
                {
                    retries += 1;
                    tokio::time::sleep(READ_RETRY_INTERVAL).await;
                }
                Err(status) => return Err(status),
            }
        }
    }
}

fn check_item(index: u32, item: &v1::JobItem) -> Result<(), Status> {
    if index >= MAX_JOB_ITEMS {
        let message = format!("items: more than {MAX_JOB_ITEMS} in one job");
        return Err(Status::invalid_argument(message));
    }
    if item.body.len() > MAX_PROMPT_BYTES {
        let message = format!(
            "items[{index}].body: {} bytes, the limit is {MAX_PROMPT_BYTES}",
            item.body.len()
        );
        return Err(Status::invalid_argument(message));
    }
    Ok(())
}

fn result_to_proto(result: ItemResult) -> v1::JobResult {
    v1::JobResult {
        index: result.index,
        outcome: convert::outcome_to_proto(result.outcome) as i32,
        attempt: result.attempt,
        body: result.body,
    }
}

fn unexpected_reply() -> Status {
    Status::internal("the data daemon sent an unexpected reply")
}
