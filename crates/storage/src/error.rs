//! Errors of the data folder, with the operation that failed.

use std::fmt;
use std::path::PathBuf;

/// The operation that failed. The variant names appear in error messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StorageStep {
    /// Opening the folder.
    Open,
    /// Reading the state written before the last restart.
    Recover,
    /// Writing records or bodies.
    Write,
    /// Syncing written data to disk.
    Sync,
    /// Reading bodies or results.
    Read,
}

/// A failed operation on the data folder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StorageError {
    /// The operation that failed.
    pub step: StorageStep,
    /// The data folder.
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
