//! Parameters of the cost model.
//!
//! The model follows iteration-level scheduling (Yu et al., "Orca", OSDI 2022) over paged KV memory
//! with shared prefixes (Kwon et al., "PagedAttention", SOSP 2023) and chunked prefill (Agrawal et
//! al., "Sarathi-Serve", OSDI 2024): the duration of an iteration is a constant for reading the
//! weights, plus a cost for each prefill token, plus a cost for each decoding sequence. The
//! defaults give an inter-token latency of about 12 to 20 ms and model no particular accelerator.

use serde::{Deserialize, Serialize};

/// Parameters of one engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineParameters {
    /// Maximum sequences in an iteration.
    pub max_sequences: usize,
    /// KV memory, in blocks.
    pub kv_blocks: usize,
    /// Tokens in a block.
    pub block_tokens: usize,
    /// Bytes of prompt text per token.
    pub bytes_per_token: usize,
    /// Maximum prefill tokens in an iteration.
    pub prefill_chunk_tokens: usize,
    /// Constant cost of an iteration, in microseconds.
    pub iteration_us: u64,
    /// Cost of a prefill token, in microseconds.
    pub prefill_token_us: u64,
    /// Cost of a decoding sequence in an iteration, in microseconds.
    pub decode_sequence_us: u64,
    /// Time to import one KV block from another engine, in microseconds.
    pub import_block_us: u64,
    /// Maximum waiting sequences; above it the engine answers with 429.
    pub queue_limit: usize,
    /// Minimum age of load reports, in milliseconds.
    pub load_lag_ms: u64,
    /// Delay of cache events, in milliseconds.
    pub event_lag_ms: u64,
    /// Fraction of the cache events that is never published.
    pub event_loss: f64,
    /// Initially loaded models.
    pub models: Vec<String>,
    /// Size of a model's weights, in bytes.
    pub model_bytes: u64,
}

impl Default for EngineParameters {
    fn default() -> Self {
        Self {
            max_sequences: 8,
            kv_blocks: 4_096,
            block_tokens: 16,
            bytes_per_token: 4,
            prefill_chunk_tokens: 512,
            iteration_us: 12_000,
            prefill_token_us: 80,
            decode_sequence_us: 400,
            import_block_us: 50,
            queue_limit: 256,
            load_lag_ms: 500,
            event_lag_ms: 300,
            event_loss: 0.05,
            models: vec!["default".to_owned()],
            model_bytes: 2_000_000_000,
        }
    }
}
