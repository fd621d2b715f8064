//! Frames between gateways and job stores, and among job stores: borsh with a length prefix.

use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};
use bytes::Bytes;
use socket2::TcpKeepalive;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio_util::codec::{Framed, FramedRead, LengthDelimitedCodec};
use yokefall_consensus::message::Body;
use yokefall_consensus::{Entry, MemberId, Message};
use yokefall_quota::{Assignment, SlotLease, TokenGrant, TokenRequest};
use yokefall_serving::{
    Backend, BackendIncarnation, JobItem, Outcome, Requester, ResultPage, TenantName,
};
use yokefall_suspects::{Grant, SuspectReport, SuspectUpdate};

use crate::run::RunEnd;
use crate::suspects::SuspectExchange;

/// Maximum size of a frame; a snapshot is sent as one frame.
const MAX_FRAME_BYTES: usize = 256 * 1024 * 1024;
/// Size from which a frame is written without being copied first.
const LARGE_FRAME_BYTES: usize = 64 * 1024;
/// TCP keep-alive: idle time before the first probe, probe interval, and number of probes. Detects
/// a gone peer within about a minute; connections in use are monitored by their own traffic.
const KEEP_ALIVE_AFTER: Duration = Duration::from_secs(30);
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(10);
const KEEP_ALIVE_RETRIES: u32 = 3;

/// A job as a gateway receives it from a client. Its encoding is part of the log format.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Submission {
    /// Host that the job was sent to.
    pub host: String,
    /// Number of failed attempts after which an item is abandoned.
    pub max_attempts: u32,
    /// Time in milliseconds after which a waiting item may be abandoned.
    pub max_queue_ms: u64,
    /// Time in milliseconds after which the results are due; 0 if the route has no target.
    pub completion_target_ms: u64,
    /// Queue whose waiting tokens are limited: the tenant, and the route's host and path prefix.
    pub queue: String,
    /// Maximum tokens of items that wait in the queue; `None` for no limit.
    pub max_queued_tokens: Option<u64>,
    /// The items.
    pub items: Vec<JobItem>,
}

impl Submission {
    /// Total tokens of the items.
    pub fn tokens(&self) -> u64 {
        self.items.iter().map(|item| item.tokens).fold(0, u64::saturating_add)
    }
}

/// Requests at a back end.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct BackendCount {
    /// The incarnation of the back end; load of an earlier incarnation does not count for the next.
    pub backend: BackendIncarnation,
    /// Requests that run or wait there.
    pub requests: u32,
}

/// Load of all gateways and job runners at a back end.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct BackendTotal {
    /// The incarnation of the back end; load of an earlier incarnation does not count for the next.
    pub backend: BackendIncarnation,
    /// Online requests.
    pub online: u32,
    /// Items of jobs.
    pub items: u32,
}

/// Arrival rate of a service.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ServiceRate {
    /// Name of the service.
    pub service: String,
    /// Requests per 1,000 seconds, averaged over the last half second.
    pub per_1000_seconds: u64,
}

/// Recent outcomes of requests at a back end, in thousandths.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct BackendOutcomes {
    /// The incarnation of the back end; outcomes of earlier incarnations do not count.
    pub backend: BackendIncarnation,
    /// Requests that failed.
    pub failed: u64,
    /// Requests that were answered.
    pub answered: u64,
}

/// Requests in flight at a gateway. Replaces the previous report of the gateway.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct LoadReport {
    /// Name of the gateway.
    pub gateway: String,
    /// Its online requests, by back end; other back ends have none.
    pub counts: Vec<BackendCount>,
    /// Its arrival rates, by service.
    pub arrivals: Vec<ServiceRate>,
    /// Recent outcomes of its requests.
    pub outcomes: Vec<BackendOutcomes>,
    /// Whether all totals are requested: the gateway is new to this job store or missed an answer.
    pub wants_all_totals: bool,
    /// The job store that received the previous report, if it was another one.
    pub previous_aggregator: Option<String>,
}

impl LoadReport {
    /// Whether the gateway has no requests in flight and had none recently.
    pub fn is_idle(&self) -> bool {
        self.counts.is_empty() && self.arrivals.is_empty() && self.outcomes.is_empty()
    }
}

/// Load of all processes, as far as it changed since the gateway's last answer.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct LoadAnswer {
    /// Changed totals; zeros for back ends without load.
    pub changes: Vec<BackendTotal>,
    /// Arrival rates at all gateways, by service.
    pub arrivals: Vec<ServiceRate>,
    /// Back ends that are failing according to the outcomes at all gateways.
    pub failing: Vec<BackendIncarnation>,
    /// The leading job store, if known.
    pub leader: Option<String>,
    /// Number of gateways whose requests are included.
    pub gateways: u32,
}

impl LoadAnswer {
    /// Whether the answer covers a majority of a fleet with this many gateways. The answer of a job
    /// store that receives few reports must not be taken for the total load.
    pub fn covers_majority_of(&self, gateways: usize) -> bool {
        self.gateways as usize * 2 > gateways
    }
}

/// The sums of one job store over the gateways that report to it, and the items that it runs.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct LoadSums {
    /// Name of the job store.
    pub from: String,
    /// Requests and items, by back end.
    pub counts: Vec<BackendTotal>,
    /// Arrival rates, by service.
    pub arrivals: Vec<ServiceRate>,
    /// Recent outcomes, by back end.
    pub outcomes: Vec<BackendOutcomes>,
    /// Number of gateways whose reports are included.
    pub gateways: u32,
}

/// Request of the leader to run an item at a back end.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct RunRequest {
    /// The back end.
    pub backend: Backend,
    /// Host that the item's job was sent to.
    pub host: String,
    /// Tenant that the item's job belongs to.
    pub tenant: Option<TenantName>,
    /// The item.
    pub item: JobItem,
    /// The event after which its output is resumed; 0 to start at the beginning.
    pub after_event: u64,
}

/// Report on a finished run.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct RunReport {
    /// How it ended.
    pub end: RunEnd,
    /// Outcome with regard to the back end.
    pub outcome: Outcome,
    /// The last event of its output.
    pub last_event: u64,
    /// Data of the events that were not sent before.
    pub text: Option<String>,
}

/// A request to a job store.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Request {
    /// Submits a job; submitting it again has no effect.
    Submit {
        /// Id of the job.
        job: String,
        /// Who submits it.
        requester: Requester,
        /// The job.
        submission: Submission,
    },
    /// Reads results from a position on.
    Results {
        /// Id of the job.
        job: String,
        /// Who reads them.
        requester: Requester,
        /// First position to read.
        from: u64,
        /// Maximum time to wait for a result, in milliseconds.
        wait_ms: u64,
    },
    /// Reads the body of an item that has no result.
    Body {
        /// Id of the job.
        job: String,
        /// Who reads it.
        requester: Requester,
        /// Id of the item.
        item: String,
    },
    /// Ends a job.
    End {
        /// Id of the job.
        job: String,
        /// Who ends it.
        requester: Requester,
    },
    /// Reports the load of a gateway and requests the load of all processes.
    Load(LoadReport),
    /// Runs an item on behalf of the leader.
    Run(RunRequest),
    /// Requests tokens of tenants' limits from a token issuer.
    TakeTokens(Vec<TokenRequest>),
    /// Requests the assignment of token issuers from the leader.
    TokenIssuers,
    /// Exchanges knowledge of suspects.
    Suspects(SuspectExchange),
    /// Asks the leader whether a suspect may run alone at a back end.
    TrySuspect {
        /// What the requesting process knows of it.
        update: SuspectUpdate,
        /// Id of the back end.
        backend: String,
    },
    /// Sent by a token issuer to the leader, to renew or release the leases of its slots.
    RenewSlots {
        /// Name of the job store.
        name: String,
        /// Whether it releases them because it is stopping.
        releases: bool,
    },
    /// Asks whether a job is held, or may still be accepted, without submitting it.
    HasJob {
        /// Id of the job.
        job: String,
        /// Who asks.
        requester: Requester,
    },
}

/// A reply of a job store.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Reply {
    /// The job is durable.
    Accepted,
    /// Results.
    Page(ResultPage),
    /// The body of an item.
    Body(Vec<u8>),
    /// The job has been ended.
    Ended,
    /// The answer to a load report.
    Load(LoadAnswer),
    /// A run has ended.
    RunEnded(RunReport),
    /// The requester definitely has no such job or item.
    NotFound,
    /// The job id belongs to another tenant; nothing was stored.
    JobIdConflict,
    /// The job or the run was rejected for lack of memory; nothing was stored or sent.
    Full,
    /// The job would exceed the token limit of its queue; nothing was stored.
    OverQuota,
    /// Tokens, one answer per request.
    Tokens(Vec<TokenGrant>),
    /// The assignment of token issuers.
    TokenIssuers(Assignment),
    /// Knowledge of suspects.
    Suspects(SuspectExchange),
    /// Whether a suspect may run alone.
    TrialGrant(Grant),
    /// Slots leased to the requester.
    Slots(Vec<SlotLease>),
    /// This member is not the leader; nothing was done.
    NotLeader {
        /// Name of the leader, if known.
        leader: Option<String>,
    },
    /// This member leads but has no valid lease or too few replicas; nothing was done.
    LeaderNotReady,
    /// The change may or may not be in force.
    Unknown,
    /// Some members of the group are located where the job may not be stored; nothing was stored.
    ResidencyViolation {
        /// Names of these members.
        members: Vec<String>,
    },
}

/// A frame.
#[derive(Clone, Debug, BorshSerialize, BorshDeserialize)]
pub enum Frame {
    /// A message of the replicated log.
    Consensus(Message),
    /// A member asks to join the group.
    Join(MemberId),
    /// The sender leads. Sent to processes outside the group, which do not receive the log.
    Leader(String),
    /// The sums of an aggregator.
    Sums(LoadSums),
    /// A gateway now reports to the sender and no longer to the receiver.
    GatewayMoved {
        /// Name of the gateway.
        gateway: String,
    },
    /// A request.
    Request {
        /// Number of the request, unique on this connection.
        call: u64,
        /// The request.
        request: Request,
    },
    /// The reply to a request.
    Reply {
        /// Number of the request.
        call: u64,
        /// The reply.
        reply: Reply,
    },
    /// Output of a run that has not ended.
    Output {
        /// Number of the request that started the run.
        call: u64,
        /// The last event of the output.
        last_event: u64,
        /// Data of the events that were not sent before.
        text: String,
    },
    /// Cancels a run.
    Cancel {
        /// Number of the request that started the run.
        call: u64,
    },
    /// A back end reported an item as unprocessable to a process that has since lost leadership.
    Unprocessable {
        /// Id of the job.
        job: String,
        /// Index of the item.
        item: u32,
    },
    /// What a worker learned about suspects during a run. Sent before the report of the run, so
    /// that the leader has it when it decides on the next run.
    Suspects(SuspectReport),
    /// Renews the lease of the connection's runs, or checks it; answered with the same frame.
    Heartbeat,
}

/// A frame to send, with the permit that it holds until it is sent.
pub struct Outgoing {
    /// The frame.
    pub frame: Frame,
    /// Released when the frame has been sent or dropped.
    pub permit: Option<OwnedSemaphorePermit>,
}

impl Outgoing {
    /// Creates a frame without a permit.
    pub fn new(frame: Frame) -> Self {
        Self { frame, permit: None }
    }
}

/// A connection that carries frames.
pub type FramedStream = Framed<TcpStream, LengthDelimitedCodec>;

/// Frames received on a connection.
pub type IncomingFrames = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;

/// Wraps a connected socket.
pub fn framed(stream: TcpStream) -> FramedStream {
    configure_socket(&stream);
    Framed::new(stream, codec())
}

/// Disables Nagle's algorithm, since frames are short and awaited, and enables keep-alive: without
/// it, a side that only reads would hold the descriptor of a gone peer until the process ends.
fn configure_socket(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let keep_alive = TcpKeepalive::new()
        .with_time(KEEP_ALIVE_AFTER)
        .with_interval(KEEP_ALIVE_INTERVAL)
        .with_retries(KEEP_ALIVE_RETRIES);
    let _ = socket2::SockRef::from(stream).set_tcp_keepalive(&keep_alive);
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

/// Encodes a frame.
pub fn encode(frame: &Frame) -> Bytes {
    let mut bytes = Vec::with_capacity(size_hint(frame));
    // Encoding into memory cannot fail for these types.
    let _ = borsh::to_writer(&mut bytes, frame);
    bytes.into()
}

/// Encoded size of a result in addition to its text.
const RESULT_OVERHEAD_BYTES: usize = 64;
/// Encoded size of a frame in addition to its payload.
const FRAME_OVERHEAD_BYTES: usize = 512;

/// Estimated size of an encoded frame, so that the buffer of a large one is not grown by doubling.
fn size_hint(frame: &Frame) -> usize {
    let payload_bytes = match frame {
        Frame::Consensus(message) => message_bytes(&message.body),
        Frame::Reply { reply: Reply::Page(page), .. } => {
            page.results.iter().map(|result| result.text.len() + RESULT_OVERHEAD_BYTES).sum()
        }
        _ => 0,
    };
    payload_bytes + FRAME_OVERHEAD_BYTES
}

fn message_bytes(body: &Body) -> usize {
    match body {
        Body::Append { entries, .. } => entries.iter().map(Entry::bytes).sum(),
        Body::Install { snapshot, .. } => snapshot.state.len(),
        _ => 0,
    }
}

/// Sends an encoded frame; a large one is written from its own buffer without another copy.
pub async fn send_frame(socket: &mut OwnedWriteHalf, frame: Bytes) -> std::io::Result<()> {
    let head = (frame.len() as u32).to_be_bytes();
    if frame.len() < LARGE_FRAME_BYTES {
        return socket.write_all(&[&head, frame.as_ref()].concat()).await;
    }
    socket.write_all(&head).await?;
    socket.write_all(&frame).await
}

/// Splits a connected socket into received frames and the write half for `send_frame`.
pub fn split(stream: TcpStream) -> (IncomingFrames, OwnedWriteHalf) {
    configure_socket(&stream);
    let (reader, writer) = stream.into_split();
    (FramedRead::new(reader, codec()), writer)
}

/// Decodes a frame.
pub fn decode(bytes: &[u8]) -> Result<Frame, std::io::Error> {
    borsh::from_slice(bytes)
}
