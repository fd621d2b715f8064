//! Snapshot format: magic bytes, a version, and the state in borsh. Version 1, which had neither
//! magic bytes nor a version, can still be read.

use std::collections::BTreeMap;

use borsh::{BorshDeserialize, BorshSerialize};
use bytes::Bytes;
use yokefall_quota::Assignment;

use crate::state::{Job, Jobs, OpenItem, StoredResult};

/// Magic bytes of a versioned snapshot; the job count that begins version 1 never reaches this.
const MAGIC: [u8; 4] = *b"YKFJ";
const VERSION: u16 = 2;

#[derive(BorshDeserialize)]
struct JobVersion1 {
    host: String,
    max_attempts: u32,
    max_queue_ms: u64,
    completion_target_ms: u64,
    queue: String,
    total: u32,
    open: BTreeMap<u32, OpenItem>,
    results: Vec<StoredResult>,
    ended: bool,
}

impl From<JobVersion1> for Job {
    fn from(job: JobVersion1) -> Self {
        Job {
            host: job.host,
            max_attempts: job.max_attempts,
            max_queue_ms: job.max_queue_ms,
            completion_target_ms: job.completion_target_ms,
            queue: job.queue,
            total: job.total,
            open: job.open,
            results: job.results,
            ended: job.ended,
            tenant: None,
        }
    }
}

/// Encodes the state.
pub fn encode_state(jobs: &Jobs) -> Bytes {
    let mut bytes = Vec::with_capacity(jobs.held_bytes());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&VERSION.to_le_bytes());
    // Encoding into memory cannot fail for this type.
    let _ = BorshSerialize::serialize(jobs, &mut bytes);
    bytes.into()
}

/// Decodes any known version; empty input is an empty state. The error names what is unreadable.
pub fn decode_state(state: &[u8]) -> std::io::Result<Jobs> {
    if state.is_empty() {
        return Ok(Jobs::default());
    }
    let Some(versioned) = state.strip_prefix(&MAGIC) else { return decode_version_1(state) };
    let mut rest = versioned;
    match u16::deserialize(&mut rest)? {
        VERSION => borsh::from_slice(rest),
        version => {
            let cause = format!(
                "unsupported snapshot version {version}; this build reads versions 1 to {VERSION}"
            );
            Err(std::io::Error::new(std::io::ErrorKind::Unsupported, cause))
        }
    }
}

fn decode_version_1(state: &[u8]) -> std::io::Result<Jobs> {
    let jobs: BTreeMap<String, JobVersion1> = borsh::from_slice(state)?;
    let jobs = jobs.into_iter().map(|(id, job)| (id, job.into())).collect();
    Ok(Jobs { jobs, token_issuers: Assignment::default() })
}
