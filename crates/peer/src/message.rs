//! Requests and replies between processes.

use borsh::{BorshDeserialize, BorshSerialize};
use yokefall_types::{
    Answer, BackendId, CallHeader, Declaration, ItemResult, JobId, JobProgress, NodeName,
    ObjectKey, Outcome, Refusal, RepeatPolicy, RequestId, ServiceId, ServiceName,
};

/// An online call on its way to its home daemon.
#[derive(Clone, Debug, BorshSerialize, BorshDeserialize)]
pub struct OnlineCall {
    /// What every call carries.
    pub header: CallHeader,
    /// Prompt, or body for a plain service.
    pub body: Vec<u8>,
}

/// An order from a home daemon to an owner daemon: run this call on a back end that you own.
#[derive(Clone, Debug, BorshSerialize, BorshDeserialize)]
pub struct ExecuteCall {
    /// The call.
    pub call: OnlineCall,
    /// Number of the attempt, from one.
    pub attempt: u32,
    /// Tokens of the answer already produced by an earlier attempt, to be skipped.
    pub resume_from_token: u32,
}

/// One step of an answer.
#[derive(Clone, Debug, BorshSerialize, BorshDeserialize)]
pub enum CallEvent {
    /// The call is being run on this back end.
    Started {
        /// The back end.
        backend: BackendId,
    },
    /// A piece of the answer.
    Chunk {
        /// Position of the first byte within the whole answer.
        offset: u64,
        /// The bytes.
        text: Vec<u8>,
        /// Tokens of the answer up to the end of this piece.
        tokens_total: u32,
    },
    /// The end. Nothing follows.
    Ended(Outcome),
}

/// Load of one service at one owner daemon, sent with every end of an execution.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct OwnerLoad {
    /// Slots that an online call would get at once (free, or held by batch that yields).
    pub free_slots: u32,
    /// Online calls waiting.
    pub waiting: u32,
}

/// One start of a home daemon.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct HomeId {
    /// The daemon.
    pub node: NodeName,
    /// Differs between starts of the same daemon.
    pub incarnation: u64,
}

/// State of a request record, as copied to its second holder.
#[derive(Clone, Debug, BorshSerialize, BorshDeserialize)]
pub struct RecordCopy {
    /// The request.
    pub request: RequestId,
    /// The home daemon that made the copy, and its start: a home that restarted has forgotten the
    /// record, so that its former copy counts as another's.
    pub home: HomeId,
    /// Digest of the request's content.
    pub digest: u64,
    /// Whether the request may be executed again.
    pub repeat: RepeatPolicy,
    /// Where the request stands.
    pub state: RecordState,
}

/// Where a request stands.
#[derive(Clone, Debug, BorshSerialize, BorshDeserialize)]
pub enum RecordState {
    /// Accepted, and sent to this owner or about to be.
    Running {
        /// The owner daemon that runs it.
        owner: NodeName,
    },
    /// Ended with a whole answer.
    Answered(Answer),
    /// Ended without one.
    Refused(Refusal),
}

/// Header of a job.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct JobHeader {
    /// The job.
    pub job: JobId,
    /// Service that runs the items.
    pub service: ServiceName,
    /// Order among the partner's jobs, greater first.
    pub priority: u32,
    /// Whether an item may be executed more than once.
    pub repeat: RepeatPolicy,
    /// Milliseconds until the job must have ended, from its acceptance.
    pub deadline_ms: u64,
    /// Tokens that each item may generate.
    pub max_tokens: u32,
}

/// Proof of a lease on one item: the store's epoch and the attempt within it.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct LeaseToken {
    /// Epoch of the job store; grows with every start of the store.
    pub epoch: u64,
    /// Attempt number, from one.
    pub attempt: u32,
}

/// Names an item under a lease.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct LeasedItemRef {
    /// The job.
    pub job: JobId,
    /// Position within the job.
    pub index: u32,
    /// The lease.
    pub token: LeaseToken,
}

/// An item handed to an owner daemon.
#[derive(Clone, Debug, BorshSerialize, BorshDeserialize)]
pub struct LeasedItem {
    /// The item and its lease.
    pub item: LeasedItemRef,
    /// Service that runs it.
    pub service: ServiceId,
    /// Whether it may be executed more than once.
    pub repeat: RepeatPolicy,
    /// Tokens that it may generate.
    pub max_tokens: u32,
    /// Milliseconds until the job's deadline.
    pub deadline_ms: u64,
    /// Milliseconds until the lease lapses unless extended.
    pub lease_ms: u64,
    /// Prompt, or body for a plain service.
    pub body: Vec<u8>,
}

/// A member of the fleet, as told to agents.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct MemberInfo {
    /// Name of the daemon.
    pub node: NodeName,
    /// Grows with every start of the daemon, and with every refutation of its death.
    pub incarnation: u64,
    /// Its peer port, `IP:PORT`.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
    /// Whether it holds a data folder.
    pub data: bool,
    /// Whether it takes new work.
    pub accepting: bool,
}

/// A versioned declaration; no value means deleted.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct VersionedObject {
    /// The declaration's identity.
    pub key: ObjectKey,
    /// Version given by the object API.
    pub version: u64,
    /// Content, or none when deleted.
    pub value: Option<Declaration>,
}

/// Version of one object, for repair between peers.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ObjectVersion {
    /// The declaration's identity.
    pub key: ObjectKey,
    /// Version held.
    pub version: u64,
}

/// A request to a daemon.
#[derive(Clone, Debug, BorshSerialize, BorshDeserialize)]
pub enum PeerRequest {
    /// The members that take part. Reply: `Members`.
    Members {
        /// Digest of the list that the asker has; zero when it has none.
        known: u64,
    },
    /// Run or join an online call. Replies: `Call` events until `Ended`.
    Submit {
        /// The call.
        call: OnlineCall,
        /// First byte wanted.
        offset: u64,
    },
    /// Follow a call that was submitted before. Replies: `Call` events until `Ended`.
    Attach {
        /// The request.
        request: RequestId,
        /// First byte wanted.
        offset: u64,
        /// Milliseconds to wait for the end.
        wait_ms: u64,
    },
    /// Cancel an online call. Reply: `Cancelled`.
    CancelCall {
        /// The request.
        request: RequestId,
    },
    /// Run a call on an owned back end. Replies: `Call` events until `Executed`.
    Execute(ExecuteCall),
    /// Stop an execution ordered by `Execute`. Reply: `Cancelled`.
    CancelExecution {
        /// The request.
        request: RequestId,
    },
    /// Hold a copy of a request record. Reply: `RecordHeld` with what was held before, if
    /// anything.
    HoldRecord(RecordCopy),
    /// Begin the upload of a job. Reply: `UploadOpened`.
    OpenJob(JobHeader),
    /// Add items to an upload, in order. Reply: `Done`.
    AppendItems {
        /// Number of the upload.
        upload: u64,
        /// Bodies of the items.
        bodies: Vec<Vec<u8>>,
    },
    /// Accept the uploaded job. Reply: `JobAccepted`, once on disk.
    CommitJob {
        /// Number of the upload.
        upload: u64,
    },
    /// Progress of a job. Reply: `Job`.
    GetJob(JobId),
    /// Cancel a job. Reply: `Job`, once on disk.
    CancelJob(JobId),
    /// Ended items of a job in order. Reply: `Results`.
    ListResults {
        /// The job.
        job: JobId,
        /// First index wanted.
        from_index: u32,
    },
    /// Lease waiting items of a service. Reply: `Leased`.
    LeaseItems {
        /// The service, with the partner whose jobs are asked for.
        service: ServiceId,
        /// Most items wanted.
        max_items: u32,
        /// The daemon that will run them.
        holder: NodeName,
    },
    /// Mark no-repeat items as started. Reply: `Granted`, once on disk.
    StartItems(Vec<LeasedItemRef>),
    /// Extend leases. Reply: `Granted`; those not granted must stop.
    ExtendLeases(Vec<LeasedItemRef>),
    /// Give items back, not completed and not running any more. Reply: `Done`.
    ReturnItems(Vec<ReturnedItem>),
    /// Report the end of items. Reply: `Done`, once on disk.
    CompleteItems(Vec<CompletedItem>),
    /// The sender's store has items of a service that wait. Reply: `Done`.
    WorkAvailable {
        /// The store's daemon.
        store: NodeName,
        /// The service.
        service: ServiceId,
    },
    /// Objects that the sender holds. Reply: `Repair`.
    ConfigurationDigest {
        /// Digest over all objects held by the sender.
        digest: u64,
        /// Versions held, empty on the first exchange when only digests are compared.
        versions: Vec<ObjectVersion>,
    },
    /// Objects that changed. Reply: `Done`.
    PushObjects(Vec<VersionedObject>),
}

/// Why an item came back without a result.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum ReturnCause {
    /// It gave its slot to an online call, or never got one.
    Preempted,
    /// The execution failed.
    Failed(String),
    /// Proven: nothing was sent to a back end after the start mark.
    NotSent(String),
}

/// An item given back by its holder.
#[derive(Clone, Debug, BorshSerialize, BorshDeserialize)]
pub struct ReturnedItem {
    /// The item and the lease under which it was held.
    pub item: LeasedItemRef,
    /// The cause.
    pub cause: ReturnCause,
}

/// The end of an item's execution.
#[derive(Clone, Debug, BorshSerialize, BorshDeserialize)]
pub struct CompletedItem {
    /// The item and the lease under which it ran.
    pub item: LeasedItemRef,
    /// The result.
    pub result: ItemResult,
}

/// A reply of a daemon.
#[derive(Clone, Debug, BorshSerialize, BorshDeserialize)]
pub enum PeerReply {
    /// Done, nothing to tell.
    Done,
    /// The request was not carried out.
    Refused(Refusal),
    /// Members of the fleet.
    Members {
        /// Digest of the list.
        digest: u64,
        /// The list; none when the asker has it.
        members: Option<Vec<MemberInfo>>,
    },
    /// A step of an answer.
    Call(CallEvent),
    /// The end of an execution, with the owner's load.
    Executed {
        /// How it ended.
        outcome: Outcome,
        /// The owner's load after it.
        load: OwnerLoad,
    },
    /// Whether something was cancelled.
    Cancelled(bool),
    /// The record held before, if any.
    RecordHeld(Option<RecordCopy>),
    /// An upload was opened.
    UploadOpened(u64),
    /// A job was accepted.
    JobAccepted {
        /// Items accepted.
        accepted: u32,
        /// Whether the job existed already.
        joined: bool,
    },
    /// Progress of a job.
    Job(JobProgress),
    /// A page of results.
    Results {
        /// Ended items in order of index.
        results: Vec<ItemResult>,
        /// Items of the job.
        items: u32,
        /// Whether no ended item lies after this page.
        last_page: bool,
    },
    /// Leased items.
    Leased(Vec<LeasedItem>),
    /// The items to which a request was granted.
    Granted(Vec<LeasedItemRef>),
    /// Answer to a digest.
    Repair {
        /// Whether both sides hold the same.
        same: bool,
        /// Objects that the sender lacks or holds in an older version.
        objects: Vec<VersionedObject>,
        /// Objects that the replier lacks or holds in an older version.
        wanted: Vec<ObjectKey>,
    },
}

impl PeerReply {
    /// Whether no further reply to the same call follows.
    pub fn is_last(&self) -> bool {
        !matches!(
            self,
            PeerReply::Call(CallEvent::Started { .. }) | PeerReply::Call(CallEvent::Chunk { .. })
        )
    }
}
