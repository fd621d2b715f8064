//! Online calls: header, outcome and refusal.

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
    /// Batch items. Yield to every online call.
    Batch,
    /// Online calls with a relaxed objective.
    Normal,
    /// Online calls that a person waits for.
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
    /// Runs at most once, even where the result is lost.
    Forbidden,
}

/// What every online call carries besides its body.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct CallHeader {
    /// Idempotency key.
    pub request: RequestId,
    /// The service called, within the caller's partner.
    pub service: ServiceName,
    /// Scheduling class.
    pub priority: Priority,
    /// Whether the call may be executed more than once.
    pub repeat: RepeatPolicy,
    /// Whether an earlier call with this id may have been sent.
    pub resend: bool,
    /// Time left until the caller stops waiting, in milliseconds, as of sending this message.
    pub deadline_ms: u64,
    /// Greatest number of tokens generated; unused by plain services.
    pub max_tokens: u32,
}

impl CallHeader {
    /// The service called, with its partner.
    pub fn service_id(&self) -> ServiceId {
        ServiceId { partner: self.request.partner.clone(), name: self.service.clone() }
    }
}

/// Why a call was refused.
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
    /// The service has no live back end.
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
    /// The process is stopping and takes nothing new.
    Stopping,
    /// The back end failed or broke its protocol.
    BackendFailed,
    /// A process on the path could not be reached.
    Unreachable,
    /// No record of the request is held.
    NotFound,
}

/// A refusal, with the proof of whether the call ran.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Refusal {
    /// The cause.
    pub reason: RefusalReason,
    /// `Some(false)` proves that nothing was sent to a back end, `Some(true)` that it was;
    /// `None` means that it is not known.
    pub executed: Option<bool>,
    /// Time after which a further try is sensible, in milliseconds.
    pub retry_after_ms: Option<u32>,
    /// What happened, with the step and the peer.
    pub detail: String,
}

impl Refusal {
    /// A refusal that proves that the call was not run.
    pub fn not_run(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self { reason, executed: Some(false), retry_after_ms: None, detail: detail.into() }
    }

    /// A refusal after which it is not known whether the call ran.
    pub fn unknown(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self { reason, executed: None, retry_after_ms: None, detail: detail.into() }
    }

    /// The same refusal with a hint of when to come back.
    pub fn retry_after(mut self, milliseconds: u32) -> Self {
        self.retry_after_ms = Some(milliseconds);
        self
    }
}

/// The whole answer of a completed call.
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
    /// The whole answer was produced.
    Completed,
    /// The call ended without a whole answer.
    Refused(Refusal),
}
