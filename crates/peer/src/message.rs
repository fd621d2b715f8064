//! Requests and replies between processes.

use borsh::{BorshDeserialize, BorshSerialize};
use yokefall_types::{
    Answer, BackendId, CallHeader, Declaration, ItemResult, JobId, JobProgress, NodeName,
    ObjectKey, Outcome, Refusal, RepeatPolicy, RequestId, ServiceId, ServiceName,
};

/// An online call as sent to its home daemon, which keeps the record of the request.
#[derive(Clone, Debug, BorshSerialize, BorshDeserialize)]
pub struct OnlineCall {
    /// Header common to all calls.
    pub header: CallHeader,
    /// Prompt, or request body for a plain service.
    pub body: Vec<u8>,
}

/// A call forwarded by its home daemon to an owner, which runs it on one of its back ends.
#[derive(Clone, Debug, BorshSerialize, BorshDeserialize)]
pub struct ExecuteCall {
    /// The call.
    pub call: OnlineCall,
    /// Attempt number, starting at one.
    pub attempt: u32,
    /// Number of tokens already produced by an earlier attempt, to be skipped.
    pub resume_from_token: u32,
}

/// An event of a call in progress.
#[derive(Clone, Debug, BorshSerialize, BorshDeserialize)]
pub enum CallEvent {
    /// The call has started on this back end.
    Started {
        /// The back end.
        backend: BackendId,
    },
    /// Part of the answer.
    Chunk {
        /// Position of the first byte within the whole answer.
        offset: u64,
        /// The bytes.
        text: Vec<u8>,
        /// Number of tokens of the answer up to the end of this chunk.
        tokens_total: u32,
    },
    /// The call has ended. No event follows.
    Ended(Outcome),
}

/// Load of one service at one owner daemon, reported whenever an execution ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct OwnerLoad {
    /// Slots that an online call can use at once: free, or held by a preemptible batch item.
    pub free_slots: u32,
    /// Number of queued online calls.
    pub waiting: u32,
}

/// Identifies one incarnation of a home daemon.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct HomeId {
    /// The daemon.
    pub node: NodeName,
    /// Differs each time the daemon starts.
    pub incarnation: u64,
}

/// Copy of a request record, as stored at a second daemon.
#[derive(Clone, Debug, BorshSerialize, BorshDeserialize)]
pub struct RecordCopy {
    /// The request.
    pub request: RequestId,
    /// The home daemon that made the copy, and its incarnation. A home daemon loses its records
    /// when it restarts, so that a copy of an earlier incarnation counts as that of another daemon.
    pub home: HomeId,
    /// Digest of the request's content.
    pub digest: u64,
    /// Whether the request may be executed again.
    pub repeat: RepeatPolicy,
    /// State of the request.
    pub state: RecordState,
}

/// State of a request.
#[derive(Clone, Debug, BorshSerialize, BorshDeserialize)]
pub enum RecordState {
    /// Accepted, and sent or about to be sent to an owner daemon.
    Running {
        /// The owner daemon that runs it.
        owner: NodeName,
    },
    /// Ended with a complete answer.
    Answered(Answer),
    /// Ended without an answer.
    Refused(Refusal),
}

/// Header of a job.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct JobHeader {
    /// The job.
    pub job: JobId,
    /// Service that runs the items.
    pub service: ServiceName,
    /// Priority among the partner's jobs; higher values run first.
    pub priority: u32,
    /// Whether an item may be executed more than once.
    pub repeat: RepeatPolicy,
    /// Deadline of the job, in milliseconds from its acceptance.
    pub deadline_ms: u64,
    /// Maximum number of tokens generated for each item.
    pub max_tokens: u32,
}

/// Fencing token of a lease on one item: the store's epoch and the attempt within it.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct LeaseToken {
    /// Epoch of the job store, incremented at each start of the store.
    pub epoch: u64,
    /// Attempt number, starting at one.
    pub attempt: u32,
}

/// Identifies an item and the lease on it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct LeasedItemRef {
    /// The job.
    pub job: JobId,
    /// Index of the item within the job.
    pub index: u32,
    /// The lease.
    pub token: LeaseToken,
}

/// An item leased to an owner daemon.
#[derive(Clone, Debug, BorshSerialize, BorshDeserialize)]
pub struct LeasedItem {
    /// The item and its lease.
    pub item: LeasedItemRef,
    /// Service that runs it.
    pub service: ServiceId,
    /// Whether it may be executed more than once.
    pub repeat: RepeatPolicy,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Milliseconds until the job's deadline.
    pub deadline_ms: u64,
    /// Milliseconds until the lease expires unless it is extended.
    pub lease_ms: u64,
    /// Prompt, or request body for a plain service.
    pub body: Vec<u8>,
}

/// A member of the fleet, as reported to agents.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct MemberInfo {
    /// Name of the daemon.
    pub node: NodeName,
    /// Incremented at each start of the daemon, and each time it refutes a report of its death.
    pub incarnation: u64,
    /// Address of its peer port, `IP:PORT`.
    pub address: String,
    /// Zone in which it runs.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
    /// Whether it has a data folder, and thus a job store.
    pub data: bool,
    /// Whether it accepts new work.
    pub accepting: bool,
}

/// One version of a declaration; a deletion is a version without content.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct VersionedObject {
    /// The declaration's identity.
    pub key: ObjectKey,
    /// Version assigned by the object API.
    pub version: u64,
    /// Content; `None` if deleted.
    pub value: Option<Declaration>,
}

/// Version of one object, for anti-entropy between peers.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ObjectVersion {
    /// The declaration's identity.
    pub key: ObjectKey,
    /// Version that the sender has.
    pub version: u64,
}

/// A request to a daemon.
#[derive(Clone, Debug, BorshSerialize, BorshDeserialize)]
pub enum PeerRequest {
    /// Get the members of the fleet. Reply: `Members`.
    Members {
        /// Digest of the list that the sender has; zero if it has none.
        known: u64,
    },
    /// Start an online call, or join it if it is running. Replies: `Call` events until `Ended`.
    Submit {
        /// The call.
        call: OnlineCall,
        /// First byte wanted.
        offset: u64,
    },
    /// Follow a call submitted earlier. Replies: `Call` events until `Ended`.
    Attach {
        /// The request.
        request: RequestId,
        /// First byte wanted.
        offset: u64,
        /// Maximum time to wait for the call to end, in milliseconds.
        wait_ms: u64,
    },
    /// Cancel an online call. Reply: `Cancelled`.
    CancelCall {
        /// The request.
        request: RequestId,
    },
    /// Run a call on a back end that the receiver owns. Replies: `Call` events until `Executed`.
    Execute(ExecuteCall),
    /// Stop an execution started by `Execute`. Reply: `Cancelled`.
    CancelExecution {
        /// The request.
        request: RequestId,
    },
    /// Store a copy of a request record. Reply: `RecordHeld` with the copy stored before, if any.
    HoldRecord(RecordCopy),
    /// Start the upload of a job. Reply: `UploadOpened`.
    OpenJob(JobHeader),
    /// Add items to an upload, in order. Reply: `Done`.
    AppendItems {
        /// Number of the upload.
        upload: u64,
        /// Bodies of the items.
        bodies: Vec<Vec<u8>>,
    },
    /// Accept the uploaded job. Reply: `JobAccepted`, once it is on disk.
    CommitJob {
        /// Number of the upload.
        upload: u64,
    },
    /// Get the progress of a job. Reply: `Job`.
    GetJob(JobId),
    /// Cancel a job. Reply: `Job`, once the cancellation is on disk.
    CancelJob(JobId),
    /// List the ended items of a job in order of index. Reply: `Results`.
    ListResults {
        /// The job.
        job: JobId,
        /// First index wanted.
        from_index: u32,
    },
    /// Lease queued items of a service. Reply: `Leased`.
    LeaseItems {
        /// The service, which includes the partner whose jobs are leased.
        service: ServiceId,
        /// Maximum number of items.
        max_items: u32,
        /// The daemon that will run them.
        holder: NodeName,
    },
    /// Mark no-repeat items as started. Reply: `Granted`, once the marks are on disk.
    StartItems(Vec<LeasedItemRef>),
    /// Extend leases. Reply: `Granted`; items that it does not list must be stopped.
    ExtendLeases(Vec<LeasedItemRef>),
    /// Return leased items that are neither completed nor running. Reply: `Done`.
    ReturnItems(Vec<ReturnedItem>),
    /// Report the results of items. Reply: `Done`, once they are on disk.
    CompleteItems(Vec<CompletedItem>),
    /// Notify that the sender's job store has queued items of a service. Reply: `Done`.
    WorkAvailable {
        /// Daemon that runs the job store.
        store: NodeName,
        /// The service.
        service: ServiceId,
    },
    /// Compare the sender's objects with the receiver's. Reply: `Repair`.
    ConfigurationDigest {
        /// Digest of all objects that the sender has.
        digest: u64,
        /// Versions that the sender has; empty in the first exchange, which compares only digests.
        versions: Vec<ObjectVersion>,
    },
    /// Send objects that changed. Reply: `Done`.
    PushObjects(Vec<VersionedObject>),
}

/// Why an item was returned without a result.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum ReturnCause {
    /// It was preempted by an online call, or never got a slot.
    Preempted,
    /// The execution failed.
    Failed(String),
    /// It was marked as started, but certainly nothing was sent to a back end.
    NotSent(String),
}

/// An item returned by the daemon that leased it.
#[derive(Clone, Debug, BorshSerialize, BorshDeserialize)]
pub struct ReturnedItem {
    /// The item and its lease.
    pub item: LeasedItemRef,
    /// Why it was returned.
    pub cause: ReturnCause,
}

/// The result of an item's execution.
#[derive(Clone, Debug, BorshSerialize, BorshDeserialize)]
pub struct CompletedItem {
    /// The item and the lease under which it ran.
    pub item: LeasedItemRef,
    /// The result.
    pub result: ItemResult,
}

/// A reply from a daemon.
#[derive(Clone, Debug, BorshSerialize, BorshDeserialize)]
pub enum PeerReply {
    /// The request was carried out; it returns no data.
    Done,
    /// The request was not carried out.
    Refused(Refusal),
    /// Members of the fleet.
    Members {
        /// Digest of the list.
        digest: u64,
        /// The list; `None` if the requester already has it.
        members: Option<Vec<MemberInfo>>,
    },
    /// An event of a call in progress.
    Call(CallEvent),
    /// An execution has ended.
    Executed {
        /// Outcome of the execution.
        outcome: Outcome,
        /// Load of the owner daemon after the execution.
        load: OwnerLoad,
    },
    /// Whether a call or execution was cancelled.
    Cancelled(bool),
    /// The copy stored before, if any.
    RecordHeld(Option<RecordCopy>),
    /// Number of the upload that was opened.
    UploadOpened(u64),
    /// A job was accepted.
    JobAccepted {
        /// Number of items accepted.
        accepted: u32,
        /// Whether the job already existed.
        joined: bool,
    },
    /// Progress of a job.
    Job(JobProgress),
    /// A page of results.
    Results {
        /// Ended items in order of index.
        results: Vec<ItemResult>,
        /// Number of items in the job.
        items: u32,
        /// Whether no ended item follows this page.
        last_page: bool,
    },
    /// Leased items.
    Leased(Vec<LeasedItem>),
    /// The items for which the request was granted.
    Granted(Vec<LeasedItemRef>),
    /// Reply to `ConfigurationDigest`.
    Repair {
        /// Whether both sides have the same objects.
        same: bool,
        /// Objects that the requester lacks or has in an older version.
        objects: Vec<VersionedObject>,
        /// Objects that the replying daemon lacks or has in an older version.
        wanted: Vec<ObjectKey>,
    },
}

impl PeerReply {
    /// Whether this is the last reply to its request.
    pub fn is_last(&self) -> bool {
        !matches!(
            self,
            PeerReply::Call(CallEvent::Started { .. }) | PeerReply::Call(CallEvent::Chunk { .. })
        )
    }
}
