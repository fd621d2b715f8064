//! Frames between gateways and job stores, and among job stores: borsh, prefixed by their length.

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

/// Largest frame, in bytes; a snapshot is one frame.
const MAX_FRAME_BYTES: usize = 256 * 1024 * 1024;
/// Bytes from which a frame is written without being copied first.
const LARGE_FRAME_BYTES: usize = 64 * 1024;
/// Time without a byte after which the system probes a connection, between two probes, and how many it sends: a
/// connection whose other side is gone lasts a minute. Those in use are watched by what is sent on them.
const KEEP_ALIVE_AFTER: Duration = Duration::from_secs(30);
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(10);
const KEEP_ALIVE_RETRIES: u32 = 3;

/// A job as a gateway takes it from its caller. Its form is part of the log's format.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Submission {
    /// Host that the job was sent to.
    pub host: String,
    /// Attempts of an item that fails by itself before it is given up.
    pub max_attempts: u32,
    /// Time after which an item may be given up, in milliseconds.
    pub max_queue_ms: u64,
    /// Time after which its results are due, in milliseconds; 0 where the route tells none.
    pub completion_target_ms: u64,
    /// Queue that limits its waiting tokens: the tenant, and the host and path prefix of the route.
    pub queue: String,
    /// Most tokens of items that may wait in the queue; `None` for no limit.
    pub max_queued_tokens: Option<u64>,
    /// The items.
    pub items: Vec<JobItem>,
}

impl Submission {
    /// Tokens of all its items.
    pub fn tokens(&self) -> u64 {
        self.items.iter().map(|item| item.tokens).sum()
    }
}

/// Requests at a back end.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct BackendCount {
    /// The back end, in one life: what an earlier one has says nothing of the load of the next.
    pub backend: BackendIncarnation,
    /// Requests that run or wait there.
    pub requests: u32,
}

/// What all gateways and the runner of items have at a back end.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct BackendTotal {
    /// The back end, in one life: what an earlier one has says nothing of the load of the next.
    pub backend: BackendIncarnation,
    /// Online requests.
    pub online: u32,
    /// Items of jobs.
    pub items: u32,
}

/// Requests that arrive at a service.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ServiceRate {
    /// Name of the service.
    pub service: String,
    /// Requests in 1,000 seconds, averaged over the last half second.
    pub per_1000_seconds: u64,
}

/// Recent outcomes of requests at a back end, in thousandths.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct BackendOutcomes {
    /// The back end, in one life: what an earlier one has says nothing of the load of the next.
    pub backend: BackendIncarnation,
    /// Requests that failed.
    pub failed: u64,
    /// Requests that were answered.
    pub answered: u64,
}

/// What a gateway has in flight. It takes the place of the gateway's report before.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct LoadReport {
    /// Name of the gateway.
    pub gateway: String,
    /// Its online requests, by back end; others have none.
    pub counts: Vec<BackendCount>,
    /// Its arrivals, by service.
    pub arrivals: Vec<ServiceRate>,
    /// Recent outcomes of its requests.
    pub outcomes: Vec<BackendOutcomes>,
    /// Whether every total is wanted, and not only those that changed: the gateway is new to this
    /// job store, or has missed an answer.
    pub wants_all_totals: bool,
    /// The job store that got the report before, where that was another one.
    pub previous_aggregator: Option<String>,
}

impl LoadReport {
    /// Whether the gateway has nothing in flight and had nothing lately.
    pub fn is_idle(&self) -> bool {
        self.counts.is_empty() && self.arrivals.is_empty() && self.outcomes.is_empty()
    }
}

/// What all processes have in flight, as far as it changed since the gateway's last answer.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct LoadAnswer {
    /// Totals that changed; zeros for back ends where nothing is left.
    pub changes: Vec<BackendTotal>,
    /// Arrivals at all gateways, by service.
    pub arrivals: Vec<ServiceRate>,
    /// Back ends that fail for all gateways.
    pub failing: Vec<BackendIncarnation>,
    /// The job store that leads, as far as known.
    pub leader: Option<String>,
    /// Gateways whose requests are in it.
    pub gateways: u32,
}

impl LoadAnswer {
    /// Whether it is of most gateways of a fleet with so many. One of a job store that hears few says
    /// nothing of the others, and is not to be taken for all that is in flight.
    pub fn covers_majority_of(&self, gateways: usize) -> bool {
        self.gateways as usize * 2 > gateways
    }
}

/// The sums of one job store over the gateways that report to it, with the items that it runs.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct LoadSums {
    /// Name of the job store.
    pub from: String,
    /// Requests and items, by back end.
    pub counts: Vec<BackendTotal>,
    /// Arrivals, by service.
    pub arrivals: Vec<ServiceRate>,
    /// Recent outcomes, by back end.
    pub outcomes: Vec<BackendOutcomes>,
    /// Gateways whose reports are in the sums.
    pub gateways: u32,
}

/// An item to be run at a back end, for the leader.
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
    /// The event after which its output goes on; 0 from the beginning.
    pub after_event: u64,
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct RunReport {
    /// How it ended.
    pub end: RunEnd,
    /// What that says of the back end.
    pub outcome: Outcome,
    /// The last event of its output.
    pub last_event: u64,
    /// Data of the events that were not sent before.
    pub text: Option<String>,
}

/// What a process asks of a job store.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Request {
    /// Takes a job; one that is held already is taken once.
    Submit {
        /// Id of the job.
        job: String,
        /// Who submits it.
        requester: Requester,
        /// The job.
        submission: Submission,
    },
    /// Results from a position on.
    Results {
        /// Id of the job.
        job: String,
        /// Who asks.
        requester: Requester,
        /// First position wanted.
        from: u64,
        /// Longest wait for one, in milliseconds.
        wait_ms: u64,
    },
    /// Body of an item without a result.
    Body {
        /// Id of the job.
        job: String,
        /// Who asks.
        requester: Requester,
        /// Id of the item.
        item: String,
    },
    /// Ends a job.
    End {
        /// Id of the job.
        job: String,
        /// Who asks.
        requester: Requester,
    },
    /// Reports what a gateway has in flight, and asks what all processes have.
    Load(LoadReport),
    /// Runs an item for the leader, who asks.
    Run(RunRequest),
    /// Asks an accountant for tokens of tenants' limits.
    TakeTokens(Vec<TokenRequest>),
    /// Asks the leader who the accountants are.
    Accountants,
    /// Compares what is known of suspects.
    Suspects(SuspectExchange),
    /// Asks the leader whether a suspect may run alone at a back end.
    TrySuspect {
        /// What the asking process knows of it.
        update: SuspectUpdate,
        /// Identity of the back end.
        backend: String,
    },
    /// An accountant asks the leader to renew the leases of its slots, or gives them back.
    RenewSlots {
        /// Name of the job store.
        name: String,
        /// Whether it gives them back, since it stops.
        releases: bool,
    },
    /// Asks whether a job is kept, or may yet be, without sending it.
    HasJob {
        /// Id of the job.
        job: String,
        /// Who asks.
        requester: Requester,
    },
}

/// What a job store answers.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Reply {
    /// The job is kept.
    Accepted,
    /// Results.
    Page(ResultPage),
    /// The body of an item.
    Body(Vec<u8>),
    /// The job is ended.
    Ended,
    /// The answer to a load report.
    Load(LoadAnswer),
    /// A run has ended.
    RunEnded(RunReport),
    /// There is no such job or item of this requester, for certain.
    NotFound,
    /// Another tenant has a job of this id; nothing was kept.
    JobIdConflict,
    /// The job, or the run, cannot be taken for want of memory; nothing of it was kept or sent.
    Full,
    /// More tokens would wait in its queue than may; nothing of it was kept.
    OverQuota,
    /// Tokens, one answer for each ask.
    Tokens(Vec<TokenGrant>),
    /// Who the accountants are.
    Accountants(Assignment),
    /// What is known of suspects.
    Suspects(SuspectExchange),
    /// Whether a suspect may run alone.
    TrialGrant(Grant),
    /// Slots that are leased to whom asked.
    Slots(Vec<SlotLease>),
    /// This member does not lead; the one that does, as far as known. Nothing was done.
    NotLeader {
        /// Name of the leader.
        leader: Option<String>,
    },
    /// This member leads but cannot be sure now. Nothing was done.
    LeaderNotReady,
    /// The change may be in force or not.
    Unknown,
    /// The job may not be kept at some members of the group, to which it would go; nothing of it was kept.
    ResidencyViolation {
        /// Their names.
        members: Vec<String>,
    },
}

/// One frame.
#[derive(Clone, Debug, BorshSerialize, BorshDeserialize)]
pub enum Frame {
    /// A message of the replicated log.
    Consensus(Message),
    /// A member asks to join the group.
    Join(MemberId),
    /// The sender leads; to a process outside of the group, which gets nothing of the log.
    Leader(String),
    /// The sums of a job store to which gateways report.
    Sums(LoadSums),
    /// A gateway reports to the sender now, and no longer to the receiver.
    GatewayMoved {
        /// Name of the gateway.
        gateway: String,
    },
    /// A request with its number on this connection.
    Request {
        /// Number.
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
    /// Output of a run that goes on.
    Output {
        /// Number of the request for the run.
        call: u64,
        /// The last event of the output.
        last_event: u64,
        /// Data of the events that were not sent before.
        text: String,
    },
    /// Ends a run.
    Cancel {
        /// Number of the request for the run.
        call: u64,
    },
    /// A back end told that an item can never be done, to a process that could not record it: it
    /// does not lead any more.
    Impossible {
        /// Id of the job.
        job: String,
        /// Index of the item.
        item: u32,
    },
    /// What a worker learnt of suspects by a run; before its report, so that the leader knows it when it
    /// decides on the next run.
    Suspects(SuspectReport),
    /// The leader still wants its runs; the worker answers with the same.
    Heartbeat,
}

/// A frame to send, with the room that it takes until it is sent.
pub struct Outgoing {
    /// The frame.
    pub frame: Frame,
    /// Given back when the frame is sent or dropped.
    pub room: Option<OwnedSemaphorePermit>,
}

impl Outgoing {
    /// A frame that takes no room.
    pub fn new(frame: Frame) -> Self {
        Self { frame, room: None }
    }
}

/// A connection that carries frames.
pub type FramedStream = Framed<TcpStream, LengthDelimitedCodec>;

/// Frames that arrive on a connection.
pub type IncomingFrames = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;

/// Wraps a connected socket.
pub fn framed(stream: TcpStream) -> FramedStream {
    prepare(&stream);
    Framed::new(stream, codec())
}

/// Frames are short and awaited; and whoever only reads finds out by probes that the other side is gone: its
/// connection would else take a descriptor until the process ends.
fn prepare(stream: &TcpStream) {
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
    // Encoding into memory fails for no value of these types.
    let _ = borsh::to_writer(&mut bytes, frame);
    bytes.into()
}

/// Bytes of a result in a frame beside its text.
const RESULT_OVERHEAD_BYTES: usize = 64;
/// Bytes of a frame beside what it carries.
const FRAME_OVERHEAD_BYTES: usize = 512;

/// About the bytes of a frame: a large one must not grow by doubling.
fn size_hint(frame: &Frame) -> usize {
    let carried = match frame {
        Frame::Consensus(message) => message_bytes(&message.body),
        Frame::Reply { reply: Reply::Page(page), .. } => {
            page.results.iter().map(|result| result.text.len() + RESULT_OVERHEAD_BYTES).sum()
        }
        _ => 0,
    };
    carried + FRAME_OVERHEAD_BYTES
}

fn message_bytes(body: &Body) -> usize {
    match body {
        Body::Append { entries, .. } => entries.iter().map(Entry::bytes).sum(),
        Body::Install { snapshot, .. } => snapshot.state.len(),
        _ => 0,
    }
}

/// Sends an encoded frame; a large one goes out of its own buffer, without another copy.
pub async fn send_frame(socket: &mut OwnedWriteHalf, frame: Bytes) -> std::io::Result<()> {
    let head = (frame.len() as u32).to_be_bytes();
    if frame.len() < LARGE_FRAME_BYTES {
        return socket.write_all(&[&head, frame.as_ref()].concat()).await;
    }
    socket.write_all(&head).await?;
    socket.write_all(&frame).await
}

/// Splits a connected socket into frames that arrive and the end that `send_frame` writes to.
pub fn split(stream: TcpStream) -> (IncomingFrames, OwnedWriteHalf) {
    prepare(&stream);
    let (reader, writer) = stream.into_split();
    (FramedRead::new(reader, codec()), writer)
}

/// Decodes a frame.
pub fn decode(bytes: &[u8]) -> Result<Frame, std::io::Error> {
    borsh::from_slice(bytes)
}
