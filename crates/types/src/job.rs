//! Batch jobs: state, progress and item results.

use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};

/// How one batch item ended.
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
pub enum ItemOutcome {
    /// The result is stored.
    Completed,
    /// The back end rejected the item, or every attempt failed.
    Failed,
    /// The job was cancelled before the item completed.
    Cancelled,
    /// The deadline passed before the item completed.
    DeadlineExceeded,
    /// A non-repeatable item was started and got no answer: it may have been executed.
    OutcomeUnknown,
}

/// The final result of one batch item.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ItemResult {
    /// Position within the job, from zero.
    pub index: u32,
    /// How it ended.
    pub outcome: ItemOutcome,
    /// Number of the attempt that ended it, starting at one; zero if there was none.
    pub attempt: u32,
    /// The answer, or the cause of the failure as text.
    pub body: Vec<u8>,
}

/// State of a job as a whole.
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
pub enum JobState {
    /// Items are waiting or running.
    Running,
    /// Every item has ended.
    Ended,
    /// Cancelled by its owner; every item has ended.
    Cancelled,
}

/// Counts of a job's items.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct JobProgress {
    /// State of the job.
    pub state: JobState,
    /// Items accepted.
    pub accepted: u32,
    /// Items leased to a daemon now.
    pub running: u32,
    /// Items with outcome `Completed`.
    pub completed: u32,
    /// Items with outcome `Failed` or `DeadlineExceeded`.
    pub failed: u32,
    /// Items with outcome `Cancelled`.
    pub cancelled: u32,
    /// Items with outcome `OutcomeUnknown`.
    pub unknown: u32,
}
