//! Messages about suspects. Points in time are sent as ages in milliseconds, computed by the sender
//! when it sends, since the clocks of processes have no common origin.

use borsh::{BorshDeserialize, BorshSerialize};
use yokefall_serving::BackendIncarnation;

use crate::digest::RequestDigest;

/// A crash of a back end while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct CrashInfo {
    /// The back end, in the incarnation that crashed.
    pub backend: BackendIncarnation,
    /// Time since the request was sent there, in milliseconds.
    pub sent_age_ms: u64,
    /// Time since the back end crashed, in milliseconds.
    pub crashed_age_ms: u64,
    /// Baseline crash rate of one back end of its service, per million seconds.
    pub rate: u32,
}

impl CrashInfo {
    /// The crash without the request.
    pub fn backend_crash(&self) -> CrashedBackend {
        CrashedBackend { backend: self.backend.clone(), crashed_age_ms: self.crashed_age_ms }
    }
}

/// A crash of a back end, whichever requests it ran.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct CrashedBackend {
    /// The back end, in the incarnation that crashed.
    pub backend: BackendIncarnation,
    /// Time since it crashed, in milliseconds.
    pub crashed_age_ms: u64,
}

/// What a process knows about one request.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct SuspectUpdate {
    /// The request.
    pub digest: RequestDigest,
    /// Crashes under it since it was last answered.
    pub crashes: Vec<CrashInfo>,
    /// Time since a back end last answered it completely, in milliseconds.
    pub answered_age_ms: Option<u64>,
    /// Time since it was last granted an isolated run, in milliseconds.
    pub isolated_age_ms: Option<u64>,
    /// Time since an isolated run finished without an answer and without a crash, in milliseconds.
    pub inconclusive_age_ms: Option<u64>,
    /// Longest run without a crash since it was last answered, in milliseconds.
    pub survived_ms: u64,
    /// Number of isolated runs granted to clients while it was held back.
    pub probes: u32,
}

/// Report of one process to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct SuspectReport {
    /// Suspected requests.
    pub suspects: Vec<SuspectUpdate>,
    /// Recent crashes: their rate determines how much a single crash proves.
    pub crashed_backends: Vec<CrashedBackend>,
}

/// Response to the question whether a suspect may run isolated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Grant {
    /// It may run now at the named back end.
    Granted,
    /// Another suspect is running isolated at that back end.
    BackendBusy,
    /// It may not run now.
    Wait {
        /// Time after which to ask again, in milliseconds.
        ms: u64,
    },
}
