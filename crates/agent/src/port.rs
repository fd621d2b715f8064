//! The gRPC service for callers.

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

use crate::calls::{CallClient, CallerEvent};
use crate::jobs::{job_id, JobClient};

/// Maximum number of job results buffered for a slow caller.
const MAX_QUEUED_RESULTS: usize = 256;

/// Implementation of the gRPC service for callers.
pub struct CallerPort {
    /// Identifies callers by their API keys.
    pub authenticator: Authenticator,
    /// Client for online calls.
    pub calls: CallClient,
    /// Client for batch jobs.
    pub jobs: JobClient,
    /// Counts calls in flight and rejects new ones during shutdown.
    pub in_flight: Arc<InFlightCalls>,
}

/// Counts the calls in flight and can be closed to new ones before shutdown.
#[derive(Debug, Default)]
pub struct InFlightCalls {
    count: AtomicUsize,
    closed: AtomicBool,
}

/// Counts one call as in flight until dropped.
pub struct InFlightGuard {
    in_flight: Arc<InFlightCalls>,
}

impl InFlightCalls {
    fn begin(self: &Arc<Self>) -> Result<InFlightGuard, Status> {
        self.count.fetch_add(1, Ordering::SeqCst);
        let guard = InFlightGuard { in_flight: self.clone() };
        if self.closed.load(Ordering::SeqCst) {
            return Err(Status::unavailable("this agent is stopping; nothing was run"));
        }
        Ok(guard)
    }

    /// Rejects all further calls.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Number of calls in flight.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.in_flight.count.fetch_sub(1, Ordering::SeqCst);
    }
}

type ResponseStream<T> = Pin<Box<dyn Stream<Item = Result<T, Status>> + Send>>;

impl CallerPort {
    fn partner<T>(&self, request: &Request<T>) -> Result<PartnerName, Status> {
        Ok(self.authenticator.check(request.metadata(), Role::Caller)?.partner)
    }

    fn start(&self, call: OnlineCall, offset: u64) -> mpsc::UnboundedReceiver<CallerEvent> {
        let (events, receiver) = mpsc::unbounded_channel();
        let client = self.calls.clone();
        tokio::spawn(async move { client.run(call, offset, events).await });
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
        priority: convert::priority_from_proto(header.priority),
        repeat: convert::repeat_policy_from_proto(header.repeat),
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

fn response_from_event(event: CallerEvent) -> v1::GenerateResponse {
    use v1::generate_response::Step;
    let step = match event {
        CallerEvent::Chunk { offset, text } => Step::Chunk(v1::Chunk { offset, text }),
        CallerEvent::Ended { outcome: Outcome::Completed, length, tokens } => {
            Step::Completed(v1::Completed { length, tokens })
        }
        CallerEvent::Ended { outcome: Outcome::Refused(refusal), .. } => {
            Step::Refusal(convert::refusal_to_proto(&refusal))
        }
    };
    v1::GenerateResponse { step: Some(step) }
}

async fn collect(mut events: mpsc::UnboundedReceiver<CallerEvent>) -> v1::CallResponse {
    use v1::call_response::Outcome as Response;
    let mut body = Vec::new();
    while let Some(event) = events.recv().await {
        match event {
            CallerEvent::Chunk { text, .. } => body.extend_from_slice(&text),
            CallerEvent::Ended { outcome: Outcome::Completed, .. } => {
                return v1::CallResponse { outcome: Some(Response::Body(body)) };
            }
            CallerEvent::Ended { outcome: Outcome::Refused(refusal), .. } => {
                let refusal = convert::refusal_to_proto(&refusal);
                return v1::CallResponse { outcome: Some(Response::Refusal(refusal)) };
            }
        }
    }
    let refusal = Refusal::unknown(RefusalReason::Unreachable, "the call was abandoned");
    v1::CallResponse { outcome: Some(Response::Refusal(convert::refusal_to_proto(&refusal))) }
}

#[tonic::async_trait]
impl Caller for CallerPort {
    type GenerateStream = ResponseStream<v1::GenerateResponse>;
    type ListResultsStream = ResponseStream<v1::JobResult>;

    async fn generate(
        &self,
        request: Request<v1::GenerateRequest>,
    ) -> Result<Response<Self::GenerateStream>, Status> {
        let guard = self.in_flight.begin()?;
        let partner = self.partner(&request)?;
        let request = request.into_inner();
        check_body("prompt", request.prompt.len())?;
        if !(1..=MAX_TOKENS).contains(&request.max_tokens) {
            let message = format!("max_tokens: {}, give 1 to {MAX_TOKENS}", request.max_tokens);
            return Err(invalid(message));
        }
        let header = call_header(partner, request.header, request.max_tokens)?;
        let call = OnlineCall { header, body: request.prompt.into_bytes() };
        let events = UnboundedReceiverStream::new(self.start(call, request.offset));
        // The call is in flight until the stream is dropped.
        let responses = events.map(move |event| {
            let _ = &guard;
            Ok(response_from_event(event))
        });
        Ok(Response::new(Box::pin(responses)))
    }

    async fn call(
        &self,
        request: Request<v1::CallRequest>,
    ) -> Result<Response<v1::CallResponse>, Status> {
        let _guard = self.in_flight.begin()?;
        let partner = self.partner(&request)?;
        let request = request.into_inner();
        check_body("body", request.body.len())?;
        let header = call_header(partner, request.header, 0)?;
        let events = self.start(OnlineCall { header, body: request.body }, 0);
        Ok(Response::new(collect(events).await))
    }

    async fn get_result(
        &self,
        request: Request<v1::GetResultRequest>,
    ) -> Result<Response<v1::CallResponse>, Status> {
        let _guard = self.in_flight.begin()?;
        let partner = self.partner(&request)?;
        let request = request.into_inner();
        check_deadline(request.deadline_ms)?;
        let id = request_id(partner, &request.tenant, &request.request_id)?;
        let (events, receiver) = mpsc::unbounded_channel();
        let client = self.calls.clone();
        tokio::spawn(async move { client.attach(id, request.deadline_ms, events).await });
        Ok(Response::new(collect(receiver).await))
    }

    async fn cancel(
        &self,
        request: Request<v1::CancelRequest>,
    ) -> Result<Response<v1::CancelResponse>, Status> {
        let _guard = self.in_flight.begin()?;
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
        let _guard = self.in_flight.begin()?;
        let partner = self.partner(&request)?;
        self.jobs.submit(partner, request.into_inner()).await.map(Response::new)
    }

    async fn get_job(
        &self,
        request: Request<v1::JobRef>,
    ) -> Result<Response<v1::JobStatus>, Status> {
        let _guard = self.in_flight.begin()?;
        let job = job_id(self.partner(&request)?, request.get_ref())?;
        self.jobs.progress(job).await.map(Response::new)
    }

    async fn list_results(
        &self,
        request: Request<v1::ListResultsRequest>,
    ) -> Result<Response<Self::ListResultsStream>, Status> {
        let guard = self.in_flight.begin()?;
        let partner = self.partner(&request)?;
        let request = request.into_inner();
        let reference = request.job.ok_or_else(|| invalid("job: missing".to_owned()))?;
        let job = job_id(partner, &reference)?;
        let (sender, results) = mpsc::channel(MAX_QUEUED_RESULTS);
        let client = self.jobs.clone();
        tokio::spawn(async move {
            let _guard = guard;
            client.results(job, request.from_index, request.follow, sender).await;
        });
        Ok(Response::new(Box::pin(ReceiverStream::new(results))))
    }

    async fn cancel_job(
        &self,
        request: Request<v1::JobRef>,
    ) -> Result<Response<v1::JobStatus>, Status> {
        let _guard = self.in_flight.begin()?;
        let job = job_id(self.partner(&request)?, request.get_ref())?;
        self.jobs.cancel(job).await.map(Response::new)
    }
}
