//! JSON shapes of the engines' HTTP calls, shared with the stand-ins.

use serde::{Deserialize, Serialize};

/// Path of completions (OpenAI style).
pub const COMPLETIONS_PATH: &str = "/v1/completions";
/// Path under which running requests are cancelled: `DELETE /v1/requests/ID`.
pub const REQUESTS_PATH: &str = "/v1/requests/";
/// Path of plain services' calls.
pub const PLAIN_CALL_PATH: &str = "/call";
/// Header that names the request at a plain service.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header that carries the attempt number at a plain service.
pub const ATTEMPT_HEADER: &str = "x-attempt";
/// Data of the event that ends a stream.
pub const STREAM_END: &str = "[DONE]";

/// Priority of online work at an engine; greater runs first.
pub const ENGINE_PRIORITY_ONLINE: i32 = 10;
/// Priority of batch work at an engine.
pub const ENGINE_PRIORITY_BATCH: i32 = 0;

/// An order to complete a prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// Id of the request, for cancelling and for the engine's own records.
    pub request_id: String,
    /// Attempt number.
    #[serde(default)]
    pub attempt: u32,
    /// Model.
    pub model: String,
    /// Prompt.
    pub prompt: String,
    /// Tokens to generate, those skipped included.
    pub max_tokens: u32,
    /// Tokens of the answer that the caller already has: generated, but not sent again.
    #[serde(default)]
    pub resume_from_token: u32,
    /// Greater runs first.
    #[serde(default)]
    pub priority: i32,
    /// Whether to stream; always true here.
    pub stream: bool,
}

/// One event of a completion stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionChunk {
    /// Id of the request.
    pub id: String,
    /// Exactly one choice.
    pub choices: Vec<CompletionChoice>,
}

/// The text of one event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionChoice {
    /// Generated text.
    pub text: String,
    /// Tokens in it.
    #[serde(default)]
    pub tokens: u32,
    /// Why generation ended, in the last event.
    pub finish_reason: Option<String>,
}
