//! The durable journal of a data folder.

pub mod error;
pub mod journal;
mod keys;
pub mod writer;

pub use error::{StorageError, StorageStep};
pub use journal::Journal;
pub use writer::{JournalTask, JournalWriter};
