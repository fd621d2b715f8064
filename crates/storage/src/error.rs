//! Errors of the data folder.

use std::fmt;
use std::path::PathBuf;

/// The step that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StorageStep {
    /// Opening the folder.
    Open,
    /// Reading what an earlier start wrote.
    Recover,
    /// Writing.
    Write,
    /// Syncing to disk.
    Sync,
    /// Reading.
    Read,
}

/// A failure of the data folder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StorageError {
    /// The step.
    pub step: StorageStep,
    /// The folder.
    pub folder: PathBuf,
    /// The cause.
    pub cause: String,
}

impl fmt::Display for StorageError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?} in {}: {}", self.step, self.folder.display(), self.cause)
    }
}

impl std::error::Error for StorageError {}
