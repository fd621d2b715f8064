//! Uploads of jobs. Items are written to disk on arrival; memory holds only a running digest.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::Xxh3;
use yokefall_peer::JobHeader;
use yokefall_storage::Journal;
use yokefall_types::limits::{MAX_JOB_ITEMS, MAX_PROMPT_BYTES};
use yokefall_types::{Refusal, RefusalReason};

/// Time without new items after which an upload is discarded.
const UPLOAD_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Number of low-order bits of an upload number that count uploads; the epoch is above them.
const EPOCH_SHIFT: u32 = 32;

pub struct FinishedUpload {
    pub header: JobHeader,
    /// Digest over header and bodies.
    pub digest: u64,
    pub items: u32,
}

struct Upload {
    header: JobHeader,
    hasher: Xxh3,
    items: u32,
    last_append_at: Instant,
}

pub struct UploadTable {
    next: AtomicU64,
    uploads: Mutex<HashMap<u64, Upload>>,
}

impl UploadTable {
    /// Creates an empty table. The epoch makes upload numbers unique within a data folder.
    pub fn new(epoch: u64) -> Self {
        Self { next: AtomicU64::new(epoch << EPOCH_SHIFT), uploads: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Upload>> {
        self.uploads.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn open(&self, header: JobHeader) -> u64 {
        let number = self.next.fetch_add(1, Ordering::Relaxed) + 1;
        let mut hasher = Xxh3::new();
        hasher.update(header.service.as_str().as_bytes());
        hasher.update(&[0, header.repeat as u8]);
        hasher.update(&header.max_tokens.to_le_bytes());
        let upload = Upload { header, hasher, items: 0, last_append_at: Instant::now() };
        self.lock().insert(number, upload);
        number
    }

    pub fn append(
        &self,
        journal: &Journal,
        number: u64,
        bodies: &[Vec<u8>],
    ) -> Result<(), Refusal> {
        let first_index = {
            let mut uploads = self.lock();
            let upload = uploads.get_mut(&number).ok_or_else(unknown_upload)?;
            upload.add(bodies)?
        };
        let written = journal.write_bodies(number, first_index, bodies);
        written.map_err(|e| Refusal::not_run(RefusalReason::Unreachable, e.to_string()))
    }

    /// Finishes an upload and removes it from the table.
    pub fn finish(&self, number: u64) -> Result<FinishedUpload, Refusal> {
        let upload = self.lock().remove(&number).ok_or_else(unknown_upload)?;
        if upload.items == 0 {
            let detail = "items: a job needs at least one";
            return Err(Refusal::not_run(RefusalReason::InvalidArgument, detail));
        }
        let digest = upload.hasher.digest();
        Ok(FinishedUpload { header: upload.header, digest, items: upload.items })
    }

    /// Removes idle uploads, and returns their numbers and numbers of items.
    pub fn expire(&self) -> Vec<(u64, u32)> {
        let mut uploads = self.lock();
        let idle = |upload: &Upload| upload.last_append_at.elapsed() > UPLOAD_IDLE_TIMEOUT;
        let expired: Vec<(u64, u32)> =
            uploads.iter().filter(|(_, u)| idle(u)).map(|(n, u)| (*n, u.items)).collect();
        for (number, _) in &expired {
            uploads.remove(number);
        }
        expired
    }
}

impl Upload {
    /// Validates and counts items; returns the index of the first.
    fn add(&mut self, bodies: &[Vec<u8>]) -> Result<u32, Refusal> {
        let invalid = |detail: String| Refusal::not_run(RefusalReason::InvalidArgument, detail);
        let first_index = self.items;
        if bodies.len() as u32 > MAX_JOB_ITEMS - first_index {
            return Err(invalid(format!("items: more than {MAX_JOB_ITEMS} in one job")));
        }
        for (index, body) in (first_index..).zip(bodies) {
            if body.len() > MAX_PROMPT_BYTES {
                let size = body.len();
                return Err(invalid(format!(
                    "items[{index}].body: {size} bytes, the limit is {MAX_PROMPT_BYTES}"
                )));
            }
            self.hasher.update(&(body.len() as u64).to_le_bytes());
            self.hasher.update(body);
        }
        self.items += bodies.len() as u32;
        self.last_append_at = Instant::now();
        Ok(first_index)
    }
}

fn unknown_upload() -> Refusal {
    Refusal::not_run(RefusalReason::NotFound, "upload: unknown or given up; submit the job again")
}
