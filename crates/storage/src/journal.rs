//! Jobs, item bodies and results in fjall, an embedded LSM tree with a checksummed write-ahead log.

use std::collections::HashSet;
use std::path::{Path, PathBuf};

use borsh::BorshDeserialize;
use fjall::{Config, Keyspace, PartitionCreateOptions, PartitionHandle, PersistMode};
use yokefall_core::jobs::{JobNumber, JobRecord};
use yokefall_types::ItemResult;

use crate::error::{StorageError, StorageStep};
use crate::keys::{item_key, leading_number};

const EPOCH_KEY: &[u8] = b"epoch";

/// An open data folder.
#[derive(Clone)]
pub struct Journal {
    folder: PathBuf,
    keyspace: Keyspace,
    /// Job number to the `Accepted` record.
    jobs: PartitionHandle,
    /// Numbers of the cancelled jobs; the values are empty.
    cancelled: PartitionHandle,
    /// Job number and item index to the `Started` record.
    started: PartitionHandle,
    /// Job number and item index to the item's result.
    results: PartitionHandle,
    /// Upload number and item index to the item's body.
    bodies: PartitionHandle,
    epoch: u64,
}

impl Journal {
    /// Opens a data folder and starts a new epoch, which is on disk before this returns.
    pub fn open(folder: &Path) -> Result<Self, StorageError> {
        let error = |step: StorageStep| {
            move |cause: fjall::Error| StorageError {
                step,
                folder: folder.to_owned(),
                cause: cause.to_string(),
            }
        };
        let keyspace = Config::new(folder).open().map_err(error(StorageStep::Open))?;
        let partition = |name: &str| {
            let options = PartitionCreateOptions::default();
            keyspace.open_partition(name, options).map_err(error(StorageStep::Open))
        };
        let meta = partition("meta")?;
        let stored = meta.get(EPOCH_KEY).map_err(error(StorageStep::Recover))?;
        let epoch = stored.and_then(|bytes| leading_number(&bytes)).unwrap_or(0) + 1;
        meta.insert(EPOCH_KEY, epoch.to_be_bytes()).map_err(error(StorageStep::Write))?;
        keyspace.persist(PersistMode::SyncAll).map_err(error(StorageStep::Sync))?;
        Ok(Self {
            folder: folder.to_owned(),
            jobs: partition("jobs")?,
            cancelled: partition("cancelled")?,
            started: partition("started")?,
            results: partition("results")?,
            bodies: partition("bodies")?,
            keyspace,
            epoch,
        })
    }

    /// The current epoch: how often the folder has been opened, starting at one.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    fn error(&self, step: StorageStep, cause: impl std::fmt::Display) -> StorageError {
        StorageError { step, folder: self.folder.clone(), cause: cause.to_string() }
    }

    /// Replays every durable record to `apply`: accepted jobs first, then the starts, results and
    /// cancellations. Removes the bodies of uploads that were never accepted.
    pub fn recover(&self, mut apply: impl FnMut(JobRecord)) -> Result<(), StorageError> {
        let mut uploads = HashSet::new();
        for entry in self.jobs.iter() {
            let (_, value) = entry.map_err(|e| self.error(StorageStep::Recover, e))?;
            let record: JobRecord = self.decode(&value)?;
            if let JobRecord::Accepted { upload, .. } = &record {
                uploads.insert(*upload);
            }
            apply(record);
        }
        for entry in self.started.iter() {
            let (_, value) = entry.map_err(|e| self.error(StorageStep::Recover, e))?;
            apply(self.decode(&value)?);
        }
        for entry in self.results.iter() {
            let (key, value) = entry.map_err(|e| self.error(StorageStep::Recover, e))?;
            let mut result: ItemResult = self.decode(&value)?;
            result.body = Vec::new();
            apply(JobRecord::Ended { number: leading_number(&key).unwrap_or(0), result });
        }
        for entry in self.cancelled.iter() {
            let (key, _) = entry.map_err(|e| self.error(StorageStep::Recover, e))?;
            apply(JobRecord::Cancelled { number: leading_number(&key).unwrap_or(0) });
        }
        self.remove_unaccepted_uploads(&uploads)
    }

    fn remove_unaccepted_uploads(&self, uploads: &HashSet<u64>) -> Result<(), StorageError> {
        for key in self.bodies.keys() {
            let key = key.map_err(|e| self.error(StorageStep::Recover, e))?;
            if leading_number(&key).is_some_and(|upload| !uploads.contains(&upload)) {
                self.bodies.remove(&key[..]).map_err(|e| self.error(StorageStep::Write, e))?;
            }
        }
        Ok(())
    }

    fn decode<T: BorshDeserialize>(&self, bytes: &[u8]) -> Result<T, StorageError> {
        T::try_from_slice(bytes).map_err(|error| self.error(StorageStep::Recover, error))
    }

    /// Writes item bodies of an upload. They are durable after the next `write`.
    pub fn write_bodies(
        &self,
        upload: u64,
        first_index: u32,
        bodies: &[Vec<u8>],
    ) -> Result<(), StorageError> {
        let mut batch = self.keyspace.batch();
        for (index, body) in (first_index..).zip(bodies) {
            batch.insert(&self.bodies, item_key(upload, index), body.as_slice());
        }
        batch.commit().map_err(|error| self.error(StorageStep::Write, error))
    }

    /// Removes the bodies of an upload that was not accepted.
    pub fn discard_bodies(&self, upload: u64, items: u32) -> Result<(), StorageError> {
        let mut batch = self.keyspace.batch();
        for index in 0..items {
            batch.remove(&self.bodies, item_key(upload, index));
        }
        batch.commit().map_err(|error| self.error(StorageStep::Write, error))
    }

    /// Reads the body of an item.
    pub fn body(&self, upload: u64, index: u32) -> Result<Option<Vec<u8>>, StorageError> {
        let value = self.bodies.get(item_key(upload, index));
        let value = value.map_err(|error| self.error(StorageStep::Read, error))?;
        Ok(value.map(|bytes| bytes.to_vec()))
    }

    /// Writes records and syncs them and all earlier writes to disk.
    pub fn write(&self, records: &[JobRecord]) -> Result<(), StorageError> {
        let mut batch = self.keyspace.batch();
        for record in records {
            match record {
                JobRecord::Accepted { number, .. } => {
                    batch.insert(&self.jobs, number.to_be_bytes(), self.encode(record)?);
                }
                JobRecord::Cancelled { number } => {
                    batch.insert(&self.cancelled, number.to_be_bytes(), []);
                }
                JobRecord::Started { number, index, .. } => {
                    batch.insert(&self.started, item_key(*number, *index), self.encode(record)?);
                }
                JobRecord::NotStarted { number, index } => {
                    batch.remove(&self.started, item_key(*number, *index));
                }
                JobRecord::Ended { number, result } => {
                    let key = item_key(*number, result.index);
                    batch.insert(&self.results, key, self.encode(result)?);
                }
            }
        }
        batch.commit().map_err(|error| self.error(StorageStep::Write, error))?;
        self.keyspace
            .persist(PersistMode::SyncAll)
            .map_err(|error| self.error(StorageStep::Sync, error))
    }

    fn encode<T: borsh::BorshSerialize>(&self, value: &T) -> Result<Vec<u8>, StorageError> {
        borsh::to_vec(value).map_err(|error| self.error(StorageStep::Write, error))
    }

    /// Reads results of a job in order of index, starting at `from_index`: at most `max_results`
    /// results, and no more once their size reaches `max_bytes`.
    pub fn results(
        &self,
        number: JobNumber,
        from_index: u32,
        max_results: usize,
        max_bytes: usize,
    ) -> Result<Vec<ItemResult>, StorageError> {
        let range = item_key(number, from_index)..=item_key(number, u32::MAX);
        let mut results = Vec::new();
        let mut bytes = 0;
        for entry in self.results.range(range) {
            let (_, value) = entry.map_err(|error| self.error(StorageStep::Read, error))?;
            bytes += value.len();
            results.push(self.decode(&value)?);
            if results.len() >= max_results || bytes >= max_bytes {
                break;
            }
        }
        Ok(results)
    }
}
