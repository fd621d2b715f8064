//! Paths, headers and JSON types of the back ends' HTTP APIs, shared with the benchmarks.

use serde::{Deserialize, Serialize};

/// Path of the OpenAI-style completions API.
pub const COMPLETIONS_PATH: &str = "/v1/completions";
/// Path prefix for cancelling a running request: `DELETE /v1/requests/ID`.
pub const REQUESTS_PATH: &str = "/v1/requests/";
/// Path for calls to a plain service.
pub const PLAIN_CALL_PATH: &str = "/call";
/// Header with the request id, sent to plain services.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the attempt number, sent to plain services.
pub const ATTEMPT_HEADER: &str = "x-attempt";
/// Data of the event that marks the end of a stream.
pub const STREAM_END: &str = "[DONE]";

/// Engine priority of online requests; higher values run first.
pub const ENGINE_PRIORITY_ONLINE: i32 = 10;
/// Engine priority of batch items.
pub const ENGINE_PRIORITY_BATCH: i32 = 0;

/// Body of a completion request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// Id of the request, used for cancellation and in the engine's own records.
    pub request_id: String,
    /// Attempt number.
    #[serde(default)]
    pub attempt: u32,
    /// Name of the model.
    pub model: String,
    /// Prompt.
    pub prompt: String,
    /// Maximum number of tokens to generate, including those that are skipped.
    pub max_tokens: u32,
    /// Number of tokens that the caller already has. They are generated but not sent again.
    #[serde(default)]
    pub resume_from_token: u32,
    /// Scheduling priority; higher values run first.
    #[serde(default)]
    pub priority: i32,
    /// Whether to stream the answer; this client always sets it.
    pub stream: bool,
}

/// One event of a completion stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionChunk {
    /// Id of the request.
    pub id: String,
    /// The choices; exactly one is expected.
    pub choices: Vec<CompletionChoice>,
}

/// The generated text in one event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionChoice {
    /// Generated text.
    pub text: String,
    /// Number of tokens in the text.
    #[serde(default)]
    pub tokens: u32,
    /// Why generation ended, in the last event.
    pub finish_reason: Option<String>,
}
