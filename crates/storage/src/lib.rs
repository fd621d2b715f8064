//! Durable storage of batch jobs in a data folder.

pub mod error;
pub mod journal;
mod keys;
pub mod writer;

pub use error::{StorageError, StorageStep};
pub use journal::Journal;
pub use writer::{JournalTask, JournalWriter};
