//! Online calls: header, outcome and rejection.

use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};

use crate::{RequestId, ServiceId, ServiceName};

/// Scheduling class of a call. Higher classes are admitted first.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    BorshSerialize,
    BorshDeserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Batch items, which yield to every online call.
    Batch,
    /// Online calls with a relaxed latency objective.
    Normal,
    /// Online calls that a user waits for.
    High,
}

impl Priority {
    /// Whether this class is online.
    pub fn is_online(self) -> bool {
        self != Priority::Batch
    }
}

/// Whether a call may be executed more than once.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    BorshSerialize,
    BorshDeserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum RepeatPolicy {
    /// May be executed again after a failure.
    Allowed,
    /// Must be executed at most once, even if the result is lost.
    Forbidden,
}

/// Metadata of an online call.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct CallHeader {
    /// Idempotency key.
    pub request: RequestId,
    /// The called service, within the caller's partner.
    pub service: ServiceName,
    /// Scheduling class.
    pub priority: Priority,
    /// Whether the call may be executed more than once.
    pub repeat: RepeatPolicy,
    /// Whether a call with this id may have been sent before.
    pub resend: bool,
    /// Remaining time until the caller stops waiting, in milliseconds, as of sending this message.
    pub deadline_ms: u64,
    /// Maximum number of generated tokens; unused by plain services.
    pub max_tokens: u32,
}

impl CallHeader {
    /// The called service, with its partner.
    pub fn service_id(&self) -> ServiceId {
        ServiceId { partner: self.request.partner.clone(), name: self.service.clone() }
    }
}

/// Why a call was rejected.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    BorshSerialize,
    BorshDeserialize,
)]
pub enum RefusalReason {
    /// The service is not declared.
    UnknownService,
    /// The service has no running back end.
    NoBackend,
    /// Every queue that could take the call is full.
    Overloaded,
    /// The deadline passed before the call could start.
    DeadlineExceeded,
    /// A field is missing, malformed or above its limit.
    InvalidArgument,
    /// The request id was used before with other content.
    Conflict,
    /// The call was cancelled by its caller.
    Cancelled,
    /// The process is stopping and accepts no new calls.
    Stopping,
    /// The back end failed or violated its protocol.
    BackendFailed,
    /// A process on the path could not be reached.
    Unreachable,
    /// There is no record of the request.
    NotFound,
}

/// A rejection, with the proof of whether the call was executed.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Refusal {
    /// The cause.
    pub reason: RefusalReason,
    /// Whether it was sent to a back end, if that is certain; `None` means that it is not known.
    pub executed: Option<bool>,
    /// Time after which a retry makes sense, in milliseconds.
    pub retry_after_ms: Option<u32>,
    /// Description, with the failed step and the peer.
    pub detail: String,
}

impl Refusal {
    /// Creates a rejection that proves that the call was not executed.
    pub fn not_run(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self { reason, executed: Some(false), retry_after_ms: None, detail: detail.into() }
    }

    /// Creates a rejection after which it is unknown whether the call was executed.
    pub fn unknown(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self { reason, executed: None, retry_after_ms: None, detail: detail.into() }
    }

    /// Adds a hint of when to retry.
    pub fn retry_after(mut self, milliseconds: u32) -> Self {
        self.retry_after_ms = Some(milliseconds);
        self
    }
}

/// The complete answer of a completed call.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Answer {
    /// Generated text, or the body of a plain service's response.
    pub body: Vec<u8>,
    /// Tokens generated; zero for plain services.
    pub tokens: u32,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Outcome {
    /// The complete answer was produced.
    Completed,
    /// The call ended without a complete answer.
    Refused(Refusal),
}
