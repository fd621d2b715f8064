//! The callers' gRPC port.

use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;

use futures::{Stream, StreamExt};
use tokio::sync::mpsc;
use tokio_stream::wrappers::{ReceiverStream, UnboundedReceiverStream};
use tonic::{Request, Response, Status, Streaming};
use yokefall_api::v1;
use yokefall_api::v1::caller_server::Caller;
use yokefall_peer::OnlineCall;
use yokefall_rpc::{convert, Authenticator};
use yokefall_types::key::Role;
use yokefall_types::limits::{check_name, MAX_CALL_DEADLINE_MS, MAX_PROMPT_BYTES, MAX_TOKENS};
use yokefall_types::{
    CallHeader, Outcome, PartnerName, Refusal, RefusalReason, RequestId, ServiceName, TenantName,
};

use crate::calls::{CallClient, CallStep};
use crate::jobs::{job_id, JobClient};

/// Results of a job that wait for a slow caller.
const RESULT_QUEUE: usize = 256;

/// Serves callers.
pub struct CallerPort {
    /// Who a call comes from.
    pub authenticator: Authenticator,
    /// Online calls.
    pub calls: CallClient,
    /// Jobs.
    pub jobs: JobClient,
    /// Calls that run, and whether new ones are taken.
    pub gate: Arc<Gate>,
}

/// Counts calls, and closes before a stop.
#[derive(Debug, Default)]
pub struct Gate {
    open: AtomicUsize,
    closed: AtomicBool,
}

/// One call inside the gate.
pub struct Pass {
    gate: Arc<Gate>,
}

impl Gate {
    fn enter(self: &Arc<Self>) -> Result<Pass, Status> {
        self.open.fetch_add(1, Ordering::SeqCst);
        let pass = Pass { gate: self.clone() };
        if self.closed.load(Ordering::SeqCst) {
            return Err(Status::unavailable("this agent is stopping; nothing was run"));
        }
        Ok(pass)
    }

    /// Lets nobody in any more.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Calls inside.
    pub fn inside(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        self.gate.open.fetch_sub(1, Ordering::SeqCst);
    }
}

type ResponseStream<T> = Pin<Box<dyn Stream<Item = Result<T, Status>> + Send>>;

impl CallerPort {
    fn partner<T>(&self, request: &Request<T>) -> Result<PartnerName, Status> {
        Ok(self.authenticator.check(request.metadata(), Role::Caller)?.partner)
    }

    /// Starts a call and returns its steps.
    fn start(&self, call: OnlineCall, offset: u64) -> mpsc::UnboundedReceiver<CallStep> {
        let (steps, receiver) = mpsc::unbounded_channel();
        let client = self.calls.clone();
        tokio::spawn(async move { client.run(call, offset, steps).await });
        receiver
    }
}

fn invalid(message: String) -> Status {
    Status::invalid_argument(message)
}

fn request_id(partner: PartnerName, tenant: &str, id: &str) -> Result<RequestId, Status> {
    check_name("tenant", tenant).map_err(invalid)?;
    check_name("request_id", id).map_err(invalid)?;
    Ok(RequestId { partner, tenant: TenantName::new(tenant), id: id.into() })
}

fn check_deadline(deadline_ms: u64) -> Result<(), Status> {
    if (1..=MAX_CALL_DEADLINE_MS).contains(&deadline_ms) {
        return Ok(());
    }
    Err(invalid(format!("deadline_ms: {deadline_ms}, give 1 to {MAX_CALL_DEADLINE_MS}")))
}

fn call_header(
    partner: PartnerName,
    header: Option<v1::CallHeader>,
    max_tokens: u32,
) -> Result<CallHeader, Status> {
    let header = header.ok_or_else(|| invalid("header: missing".to_owned()))?;
    let request = request_id(partner, &header.tenant, &header.request_id)?;
    check_name("service", &header.service).map_err(invalid)?;
    check_deadline(header.deadline_ms)?;
    Ok(CallHeader {
        request,
        service: ServiceName::new(&header.service),
        priority: convert::priority_from(header.priority),
        repeat: convert::repeat_from(header.repeat),
        resend: header.resend,
        deadline_ms: header.deadline_ms,
        max_tokens,
    })
}

fn check_body(field: &str, bytes: usize) -> Result<(), Status> {
    if bytes <= MAX_PROMPT_BYTES {
        return Ok(());
    }
    Err(invalid(format!("{field}: {bytes} bytes, the limit is {MAX_PROMPT_BYTES}")))
}

fn step_to(step: CallStep) -> v1::GenerateResponse {
    use v1::generate_response::Step;
    let step = match step {
        CallStep::Chunk { offset, text } => Step::Chunk(v1::Chunk { offset, text }),
        CallStep::Ended { outcome: Outcome::Completed, length, tokens } => {
            Step::Completed(v1::Completed { length, tokens })
        }
        CallStep::Ended { outcome: Outcome::Refused(refusal), .. } => {
            Step::Refusal(convert::refusal_to(&refusal))
        }
    };
    v1::GenerateResponse { step: Some(step) }
}

/// Collects the steps of a call into one response.
async fn collect(mut steps: mpsc::UnboundedReceiver<CallStep>) -> v1::CallResponse {
    use v1::call_response::Outcome as Response;
    let mut body = Vec::new();
    while let Some(step) = steps.recv().await {
        match step {
            CallStep::Chunk { text, .. } => body.extend_from_slice(&text),
            CallStep::Ended { outcome: Outcome::Completed, .. } => {
                return v1::CallResponse { outcome: Some(Response::Body(body)) };
            }
            CallStep::Ended { outcome: Outcome::Refused(refusal), .. } => {
                let refusal = convert::refusal_to(&refusal);
                return v1::CallResponse { outcome: Some(Response::Refusal(refusal)) };
            }
        }
    }
    let refusal = Refusal::unknown(RefusalReason::Unreachable, "the call was abandoned");
    v1::CallResponse { outcome: Some(Response::Refusal(convert::refusal_to(&refusal))) }
}

#[tonic::async_trait]
impl Caller for CallerPort {
    type GenerateStream = ResponseStream<v1::GenerateResponse>;
    type ListResultsStream = ResponseStream<v1::JobResult>;

    async fn generate(
        &self,
        request: Request<v1::GenerateRequest>,
    ) -> Result<Response<Self::GenerateStream>, Status> {
        let pass = self.gate.enter()?;
        let partner = self.partner(&request)?;
        let request = request.into_inner();
        check_body("prompt", request.prompt.len())?;
        if !(1..=MAX_TOKENS).contains(&request.max_tokens) {
            let message = format!("max_tokens: {}, give 1 to {MAX_TOKENS}", request.max_tokens);
            return Err(invalid(message));
        }
        let header = call_header(partner, request.header, request.max_tokens)?;
        let call = OnlineCall { header, body: request.prompt.into_bytes() };
        let steps = UnboundedReceiverStream::new(self.start(call, request.offset));
        // The pass lives as long as the stream.
        let responses = steps.map(move |step| {
            let _ = &pass;
            Ok(step_to(step))
        });
        Ok(Response::new(Box::pin(responses)))
    }

    async fn call(
        &self,
        request: Request<v1::CallRequest>,
    ) -> Result<Response<v1::CallResponse>, Status> {
        let _pass = self.gate.enter()?;
        let partner = self.partner(&request)?;
        let request = request.into_inner();
        check_body("body", request.body.len())?;
        let header = call_header(partner, request.header, 0)?;
        let steps = self.start(OnlineCall { header, body: request.body }, 0);
        Ok(Response::new(collect(steps).await))
    }

    async fn get_result(
        &self,
        request: Request<v1::GetResultRequest>,
    ) -> Result<Response<v1::CallResponse>, Status> {
        let _pass = self.gate.enter()?;
        let partner = self.partner(&request)?;
        let request = request.into_inner();
        check_deadline(request.deadline_ms)?;
        let id = request_id(partner, &request.tenant, &request.request_id)?;
        let (steps, receiver) = mpsc::unbounded_channel();
        let client = self.calls.clone();
        tokio::spawn(async move { client.attach(id, request.deadline_ms, steps).await });
        Ok(Response::new(collect(receiver).await))
    }

    async fn cancel(
        &self,
        request: Request<v1::CancelRequest>,
    ) -> Result<Response<v1::CancelResponse>, Status> {
        let _pass = self.gate.enter()?;
        let partner = self.partner(&request)?;
        let request = request.into_inner();
        let id = request_id(partner, &request.tenant, &request.request_id)?;
        let cancelled = self.calls.cancel(id).await;
        let cancelled = cancelled.map_err(|error| Status::unavailable(error.to_string()))?;
        Ok(Response::new(v1::CancelResponse { cancelled }))
    }

    async fn submit_job(
        &self,
        request: Request<Streaming<v1::SubmitJobRequest>>,
    ) -> Result<Response<v1::SubmitJobResponse>, Status> {
        let _pass = self.gate.enter()?;
        let partner = self.partner(&request)?;
        self.jobs.submit(partner, request.into_inner()).await.map(Response::new)
    }

    async fn get_job(
        &self,
        request: Request<v1::JobRef>,
    ) -> Result<Response<v1::JobStatus>, Status> {
        let _pass = self.gate.enter()?;
        let job = job_id(self.partner(&request)?, request.get_ref())?;
        self.jobs.progress(job).await.map(Response::new)
    }

    async fn list_results(
        &self,
        request: Request<v1::ListResultsRequest>,
    ) -> Result<Response<Self::ListResultsStream>, Status> {
        let pass = self.gate.enter()?;
        let partner = self.partner(&request)?;
        let request = request.into_inner();
        let reference = request.job.ok_or_else(|| invalid("job: missing".to_owned()))?;
        let job = job_id(partner, &reference)?;
        let (sender, results) = mpsc::channel(RESULT_QUEUE);
        let client = self.jobs.clone();
        tokio::spawn(async move {
            let _pass = pass;
            client.results(job, request.from_index, request.follow, sender).await;
        });
        Ok(Response::new(Box::pin(ReceiverStream::new(results))))
    }

    async fn cancel_job(
        &self,
        request: Request<v1::JobRef>,
    ) -> Result<Response<v1::JobStatus>, Status> {
        let _pass = self.gate.enter()?;
        let job = job_id(self.partner(&request)?, request.get_ref())?;
        self.jobs.cancel(job).await.map(Response::new)
    }
}
