//! Durable records and replies of the job store.

use borsh::{BorshDeserialize, BorshSerialize};
use yokefall_peer::{JobHeader, LeaseToken, LeasedItemRef};
use yokefall_types::ItemResult;

/// A job's number within its store.
pub type JobNumber = u64;

/// A durable record of the job store.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum JobRecord {
    /// A job was accepted.
    Accepted {
        /// Number of the job.
        number: JobNumber,
        /// Upload under which the bodies of its items are stored.
        upload: u64,
        /// Header.
        header: JobHeader,
        /// Digest over the header and the bodies.
        digest: u64,
        /// Number of items.
        items: u32,
        /// Time of acceptance, in milliseconds since the Unix epoch.
        accepted_unix_ms: u64,
    },
    /// A job was cancelled.
    Cancelled {
        /// Number of the job.
        number: JobNumber,
    },
    /// A no-repeat item was marked as started: it may have been sent to a back end.
    Started {
        /// Number of the job.
        number: JobNumber,
        /// Position within the job.
        index: u32,
        /// Lease under which it starts.
        token: LeaseToken,
    },
    /// A started item was proven not to have been sent.
    NotStarted {
        /// Number of the job.
        number: JobNumber,
        /// Position within the job.
        index: u32,
    },
    /// An item ended.
    Ended {
        /// Number of the job.
        number: JobNumber,
        /// Its result.
        result: ItemResult,
    },
}

/// A reply that may be sent once the records are durable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision<T> {
    /// The reply.
    pub reply: T,
    /// Records that must be durable before the reply is sent.
    pub records: Vec<JobRecord>,
}

/// Answer to a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acceptance {
    /// A new job.
    New {
        /// Items accepted.
        accepted: u32,
    },
    /// The job existed with the same content; the upload is to be discarded.
    Joined {
        /// Items accepted by the first submission.
        accepted: u32,
    },
    /// The key was used with other content; the upload is to be discarded.
    Conflict,
}

/// An item leased to a holder; its body is stored under `upload` and the item's index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// The item and its lease.
    pub item: LeasedItemRef,
    /// Upload under which its body is stored.
    pub upload: u64,
    /// Header of its job.
    pub header: JobHeader,
    /// Milliseconds until the job's deadline.
    pub deadline_ms: u64,
}
