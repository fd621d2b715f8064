//! What processes tell each other of suspects. Moments travel as ages in milliseconds, reckoned by the
//! sender when it sends: clocks of processes have no common origin.

use borsh::{BorshDeserialize, BorshSerialize};
use yokefall_serving::BackendIncarnation;

use crate::digest::RequestDigest;

/// A back end that ended under a request.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct EndNews {
    /// The back end, in the life that ended.
    pub backend: BackendIncarnation,
    /// How long ago the request was sent there, in milliseconds.
    pub started_ago_ms: u64,
    /// How long ago the back end ended, in milliseconds.
    pub ended_ago_ms: u64,
    /// Ends of one back end of its service by chance, in a million seconds.
    pub rate: u32,
}

impl EndNews {
    /// The end without the request.
    pub fn ended(&self) -> EndedBackend {
        EndedBackend { backend: self.backend.clone(), ended_ago_ms: self.ended_ago_ms }
    }
}

/// A back end that ended, under whatever requests.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct EndedBackend {
    /// The back end, in the life that ended.
    pub backend: BackendIncarnation,
    /// How long ago it ended, in milliseconds.
    pub ended_ago_ms: u64,
}

/// What a process knows of one request.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct SuspectUpdate {
    /// The request.
    pub digest: RequestDigest,
    /// Back ends that ended under it since it was last answered.
    pub ends: Vec<EndNews>,
    /// How long ago a back end answered it whole, in milliseconds.
    pub answered_ago_ms: Option<u64>,
    /// How long ago it was last allowed to run alone, in milliseconds.
    pub tried_ago_ms: Option<u64>,
    /// How long ago such a run was over without an answer and without an end, in milliseconds.
    pub concluded_ago_ms: Option<u64>,
    /// Longest time for which a back end ran it without ending, since it was last answered, in milliseconds.
    pub outlived_ms: u64,
    /// How often it was allowed to run while it was held back.
    pub probes: u32,
}

/// What a process tells another.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct SuspectReport {
    /// Requests.
    pub suspects: Vec<SuspectUpdate>,
    /// Back ends that ended lately: how often they do decides what an end proves.
    pub crashed_backends: Vec<EndedBackend>,
}

/// The answer to the question whether a suspect may run alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Grant {
    /// It may run now, at the back end named.
    Granted,
    /// Another suspect runs alone at that back end.
    BackendBusy,
    /// It may not run now.
    Wait {
        /// When to ask again, in milliseconds.
        ms: u64,
    },
}
