//! What the data folder costs: a job is accepted, and its items are started and completed, with
//! one sync for a group of items, beside one sync an item and beside no disk at all.

use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::time::Instant;

use yokefall_core::jobs::JobRecord;
use yokefall_peer::{JobHeader, LeaseToken};
use yokefall_storage::Journal;
use yokefall_types::{
    ItemOutcome, ItemResult, JobId, PartnerName, RepeatPolicy, ServiceName, TenantName,
};

use super::slopes::{row, SlopeRow};

/// Items that are written in groups.
const GROUPED_ITEMS: u32 = 20_000;
/// Items whose records are written with one sync.
const GROUP: u32 = 64;
/// Items that are written one by one.
const SINGLE_ITEMS: u32 = 300;
/// Bytes of a block, as the kernel counts them.
const BLOCK_BYTES: u64 = 512;
/// Bytes of an item's body and of its answer.
const BODY_BYTES: usize = 400;

fn accepted(number: u64, items: u32) -> JobRecord {
    JobRecord::Accepted {
        number,
        upload: number,
        header: JobHeader {
            job: JobId {
                partner: PartnerName::new("board"),
                tenant: TenantName::new("tenant"),
                key: format!("job-{number}").as_str().into(),
            },
            service: ServiceName::new("pathmind"),
            priority: 0,
            repeat: RepeatPolicy::Forbidden,
            deadline_ms: 3_600_000,
            max_tokens: 64,
        },
        digest: 1,
        items,
        accepted_unix_ms: 1,
    }
}

fn started(number: u64, index: u32) -> JobRecord {
    JobRecord::Started { number, index, token: LeaseToken { epoch: 1, attempt: 1 } }
}

fn ended(number: u64, index: u32) -> JobRecord {
    let body = vec![b'a'; BODY_BYTES];
    let result = ItemResult { index, outcome: ItemOutcome::Completed, attempt: 1, body };
    JobRecord::Ended { number, result }
}

/// Writes a whole job, `group` items to a sync. Returns items a second.
fn write_job(journal: &Journal, number: u64, items: u32, group: u32) -> Result<f64, String> {
    let failed = |error: yokefall_storage::StorageError| error.to_string();
    let bodies = vec![vec![b'b'; BODY_BYTES]; group as usize];
    let begun = Instant::now();
    for first in (0..items).step_by(group as usize) {
        journal.write_bodies(number, first, &bodies).map_err(failed)?;
    }
    journal.write(&[accepted(number, items)]).map_err(failed)?;
    for first in (0..items).step_by(group as usize) {
        let indexes = first..(first + group).min(items);
        let starts: Vec<JobRecord> = indexes.clone().map(|i| started(number, i)).collect();
        journal.write(&starts).map_err(failed)?;
        let ends: Vec<JobRecord> = indexes.map(|i| ended(number, i)).collect();
        journal.write(&ends).map_err(failed)?;
    }
    Ok(f64::from(items) / begun.elapsed().as_secs_f64())
}

/// Bytes that a folder takes on disk.
fn disk_bytes(folder: &Path) -> u64 {
    let Ok(entries) = std::fs::read_dir(folder) else { return 0 };
    let size = |entry: std::fs::DirEntry| match entry.metadata() {
        Ok(metadata) if metadata.is_dir() => disk_bytes(&entry.path()),
        Ok(metadata) => metadata.blocks() * BLOCK_BYTES,
        Err(_) => 0,
    };
    entries.filter_map(Result::ok).map(size).sum()
}

/// Measures the data folder in a temporary folder.
pub fn run() -> Result<Vec<SlopeRow>, String> {
    let folder = tempfile::tempdir().map_err(|error| error.to_string())?;
    let journal = Journal::open(folder.path()).map_err(|error| error.to_string())?;
    let single = write_job(&journal, 1, SINGLE_ITEMS, 1)?;
    let before = disk_bytes(folder.path());
    let grouped = write_job(&journal, 2, GROUPED_ITEMS, GROUP)?;
    let bytes = disk_bytes(folder.path()).saturating_sub(before);
    let each = bytes as f64 / f64::from(GROUPED_ITEMS);
    let items = u64::from(GROUPED_ITEMS);
    Ok(vec![
        row("item through the journal, a sync an item", 1, single, "items/s"),
        row("item through the journal, a sync a group", u64::from(GROUP), grouped, "items/s"),
        row("item on disk, 400 bytes of body and of answer", items, each, "bytes/item"),
    ])
}
