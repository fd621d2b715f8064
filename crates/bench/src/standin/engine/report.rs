//! What an engine reports of itself.

use serde::{Deserialize, Serialize};

use super::cache::BlockHash;

/// A load report as the engine sends it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Sequences in the batch.
    pub running: usize,
    /// Sequences that wait.
    pub waiting: usize,
    /// KV blocks in memory.
    pub kv_blocks_used: usize,
    /// KV blocks at the most.
    pub kv_blocks: usize,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
}

/// A cache event as the engine sends it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventReport {
    /// Number; a gap means that events were lost.
    pub sequence: u64,
    /// Block.
    pub block: BlockHash,
    /// Whether the block was stored, else evicted.
    pub stored: bool,
}
