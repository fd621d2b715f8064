//! Frames between gateways and job stores, and among job stores: borsh, prefixed by their length.

use borsh::{BorshDeserialize, BorshSerialize};
use bytes::Bytes;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, FramedRead, LengthDelimitedCodec};
use yokefall_consensus::message::Body;
use yokefall_consensus::{Entry, MemberId, Message};
use yokefall_serving::{JobItem, ResultPage};

/// Largest frame, in bytes; a snapshot is one frame.
const MAX_FRAME_BYTES: usize = 256 * 1024 * 1024;
/// Bytes from which a frame is written without being copied first.
const LARGE_FRAME_BYTES: usize = 64 * 1024;

/// A job as a gateway takes it from its caller.
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
    /// Queue of the route that took it: its host and path prefix.
    pub queue: String,
    /// Most tokens of items that may wait in the queue; `None` for no limit.
    pub most_queued_tokens: Option<u64>,
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
    /// Identity of the back end.
    pub backend: String,
    /// Requests that run or wait there.
    pub requests: u32,
}

/// What all gateways and the runner of items have at a back end.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct BackendTotal {
    /// Identity of the back end.
    pub backend: String,
    /// Online requests.
    pub online: u32,
    /// Items of jobs.
    pub items: u32,
}

/// What a gateway asks.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Request {
    /// Takes a job; one that is held already is taken once.
    Submit {
        /// Id of the job.
        job: String,
        /// The job.
        submission: Submission,
    },
    /// Results from a position on.
    Results {
        /// Id of the job.
        job: String,
        /// First position wanted.
        from: u64,
        /// Longest wait for one, in milliseconds.
        wait_ms: u64,
    },
    /// Body of an item without a result.
    Body {
        /// Id of the job.
        job: String,
        /// Id of the item.
        item: String,
    },
    /// Ends a job.
    End {
        /// Id of the job.
        job: String,
    },
    /// Tells what a gateway has in flight, and asks what everybody has.
    Load {
        /// Name of the gateway.
        gateway: String,
        /// Its online requests, by back end.
        counts: Vec<BackendCount>,
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
    /// Requests of all gateways and items of all jobs, by back end.
    Totals(Vec<BackendTotal>),
    /// There is no such job or item, for certain.
    NotFound,
    /// The job cannot be taken for want of room; nothing of it was kept.
    Full,
    /// More tokens would wait in its queue than may; nothing of it was kept.
    OverQuota,
    /// This member does not lead; the one that does, as far as known. Nothing was done.
    NotLeader {
        /// Name of the leader.
        leader: Option<String>,
    },
    /// This member leads but cannot be sure now. Nothing was done.
    Unsure,
    /// The change may be in force or not.
    Unknown,
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
}

/// A connection that carries frames.
pub type FramedStream = Framed<TcpStream, LengthDelimitedCodec>;

/// Frames that arrive on a connection.
pub type IncomingFrames = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;

/// Wraps a connected socket.
pub fn framed(stream: TcpStream) -> FramedStream {
    let _ = stream.set_nodelay(true);
    Framed::new(stream, codec())
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
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    (FramedRead::new(reader, codec()), writer)
}

/// Decodes a frame.
pub fn decode(bytes: &[u8]) -> Result<Frame, std::io::Error> {
    borsh::from_slice(bytes)
}
