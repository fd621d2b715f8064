//! Jobs, item bodies and results in an embedded store (fjall: a log-structured merge tree with a
//! checksummed write-ahead journal).

use std::collections::HashSet;
use std::path::{Path, PathBuf};

use borsh::BorshDeserialize;
use fjall::{Config, Keyspace, PartitionCreateOptions, PartitionHandle, PersistMode};
use yokefall_core::jobs::{JobNumber, JobRecord};
use yokefall_types::ItemResult;

use crate::error::{StorageError, StorageStep};
use crate::keys::{number_of, pair};

const EPOCH_KEY: &[u8] = b"epoch";

/// An open data folder.
#[derive(Clone)]
pub struct Journal {
    folder: PathBuf,
    keyspace: Keyspace,
    /// Job number to the `Accepted` record.
    jobs: PartitionHandle,
    /// Job number to nothing, for cancelled jobs.
    cancelled: PartitionHandle,
    /// Job number and index to the `Started` record.
    started: PartitionHandle,
    /// Job number and index to the item's result.
    results: PartitionHandle,
    /// Upload and index to the item's body.
    bodies: PartitionHandle,
    epoch: u64,
}

impl Journal {
    /// Opens a folder and begins a new epoch in it, which is on disk before this returns.
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
        let held = meta.get(EPOCH_KEY).map_err(error(StorageStep::Recover))?;
        let epoch = held.and_then(|bytes| number_of(&bytes)).unwrap_or(0) + 1;
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

    /// Number of this start of the folder, from one.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    fn error(&self, step: StorageStep, cause: impl std::fmt::Display) -> StorageError {
        StorageError { step, folder: self.folder.clone(), cause: cause.to_string() }
    }

    /// Feeds every durable record to `take`: jobs first, then what happened to them. Bodies of
    /// uploads that were never accepted are removed.
    pub fn recover(&self, mut take: impl FnMut(JobRecord)) -> Result<(), StorageError> {
        let mut uploads = HashSet::new();
        for entry in self.jobs.iter() {
            let (_, value) = entry.map_err(|e| self.error(StorageStep::Recover, e))?;
            let record: JobRecord = self.decode(&value)?;
            if let JobRecord::Accepted { upload, .. } = &record {
                uploads.insert(*upload);
            }
            take(record);
        }
        for entry in self.started.iter() {
            let (_, value) = entry.map_err(|e| self.error(StorageStep::Recover, e))?;
            take(self.decode(&value)?);
        }
        for entry in self.results.iter() {
            let (key, value) = entry.map_err(|e| self.error(StorageStep::Recover, e))?;
            let mut result: ItemResult = self.decode(&value)?;
            result.body = Vec::new();
            take(JobRecord::Ended { number: number_of(&key).unwrap_or(0), result });
        }
        for entry in self.cancelled.iter() {
            let (key, _) = entry.map_err(|e| self.error(StorageStep::Recover, e))?;
            take(JobRecord::Cancelled { number: number_of(&key).unwrap_or(0) });
        }
        self.remove_orphans(&uploads)
    }

    fn remove_orphans(&self, uploads: &HashSet<u64>) -> Result<(), StorageError> {
        for key in self.bodies.keys() {
            let key = key.map_err(|e| self.error(StorageStep::Recover, e))?;
            if number_of(&key).is_some_and(|upload| !uploads.contains(&upload)) {
                self.bodies.remove(&key[..]).map_err(|e| self.error(StorageStep::Write, e))?;
            }
        }
        Ok(())
    }

    fn decode<T: BorshDeserialize>(&self, bytes: &[u8]) -> Result<T, StorageError> {
        T::try_from_slice(bytes).map_err(|error| self.error(StorageStep::Recover, error))
    }

    /// Writes item bodies of an upload. Durable with the next `write` that syncs.
    pub fn write_bodies(
        &self,
        upload: u64,
        first_index: u32,
        bodies: &[Vec<u8>],
    ) -> Result<(), StorageError> {
        let mut batch = self.keyspace.batch();
        for (index, body) in (first_index..).zip(bodies) {
            batch.insert(&self.bodies, pair(upload, index), body.as_slice());
        }
        batch.commit().map_err(|error| self.error(StorageStep::Write, error))
    }

    /// Removes the bodies of an upload that was not accepted.
    pub fn discard_bodies(&self, upload: u64, items: u32) -> Result<(), StorageError> {
        let mut batch = self.keyspace.batch();
        for index in 0..items {
            batch.remove(&self.bodies, pair(upload, index));
        }
        batch.commit().map_err(|error| self.error(StorageStep::Write, error))
    }

    /// Body of an item.
    pub fn body(&self, upload: u64, index: u32) -> Result<Option<Vec<u8>>, StorageError> {
        let value = self.bodies.get(pair(upload, index));
        let value = value.map_err(|error| self.error(StorageStep::Read, error))?;
        Ok(value.map(|bytes| bytes.to_vec()))
    }

    /// Writes records and syncs them, with everything written before, to disk.
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
                    batch.insert(&self.started, pair(*number, *index), self.encode(record)?);
                }
                JobRecord::NotStarted { number, index } => {
                    batch.remove(&self.started, pair(*number, *index));
                }
                JobRecord::Ended { number, result } => {
                    let key = pair(*number, result.index);
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

    /// Results of a job from an index on: at most `most` results and about `most_bytes` bytes.
    pub fn results(
        &self,
        number: JobNumber,
        from_index: u32,
        most: usize,
        most_bytes: usize,
    ) -> Result<Vec<ItemResult>, StorageError> {
        let range = pair(number, from_index)..=pair(number, u32::MAX);
        let mut results = Vec::new();
        let mut bytes = 0;
        for entry in self.results.range(range) {
            let (_, value) = entry.map_err(|error| self.error(StorageStep::Read, error))?;
            bytes += value.len();
            results.push(self.decode(&value)?);
            if results.len() >= most || bytes >= most_bytes {
                break;
            }
        }
        Ok(results)
    }
}
