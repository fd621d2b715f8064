//! Deterministic answers of the stand-ins, so that every answer can be verified byte by byte.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Separates the request id from the attempt number in an engine's request id.
const ATTEMPT_MARK: char = '#';

/// The request id without the attempt number; answers depend on it alone, whatever the attempt.
pub fn base_id(engine_id: &str) -> &str {
    engine_id.split_once(ATTEMPT_MARK).map_or(engine_id, |(base, _)| base)
}

/// Text of one token of an answer.
pub fn token_text(engine_id: &str, index: u32) -> String {
    let hash = xxh3_64_with_seed(base_id(engine_id).as_bytes(), u64::from(index));
    format!("w{:04x} ", hash & 0xffff)
}

/// The complete answer of a model.
pub fn model_answer(engine_id: &str, tokens: u32) -> String {
    (0..tokens).map(|index| token_text(engine_id, index)).collect()
}

/// The complete answer of a plain service.
pub fn plain_answer(engine_id: &str, body: &[u8]) -> String {
    format!("{}:{:016x}", base_id(engine_id), xxh3_64(body))
}
