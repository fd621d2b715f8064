//! Reports that an engine sends about itself.

use serde::{Deserialize, Serialize};

use super::cache::BlockHash;

/// A load report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Sequences in the batch.
    pub running: usize,
    /// Sequences waiting for a place in the batch.
    pub waiting: usize,
    /// KV blocks in memory.
    pub kv_blocks_used: usize,
    /// KV memory, in blocks.
    pub kv_blocks: usize,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
}

/// A cache event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventReport {
    /// Sequence number; a gap means that events were lost.
    pub sequence: u64,
    /// Hash of the block.
    pub block: BlockHash,
    /// Whether the block was stored; otherwise it was evicted.
    pub stored: bool,
}
