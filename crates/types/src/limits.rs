//! Limits on sizes and counts, enforced at the caller and operator ports.

/// Maximum length of a name or id, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// Maximum prompt of a call or item, in bytes, before a service's own lower limit.
pub const MAX_PROMPT_BYTES: usize = 256 * 1024;
/// Maximum complete answer, in bytes.
pub const MAX_ANSWER_BYTES: usize = 1024 * 1024;
/// Maximum number of tokens that a call may request.
pub const MAX_TOKENS: u32 = 16_384;
/// Maximum number of items in one job.
pub const MAX_JOB_ITEMS: u32 = 54_000;
/// Maximum deadline of an online call, in milliseconds.
pub const MAX_CALL_DEADLINE_MS: u64 = 10 * 60 * 1000;
/// Maximum deadline of a job, in milliseconds.
pub const MAX_JOB_DEADLINE_MS: u64 = 7 * 24 * 3600 * 1000;
/// Maximum number of results in one page of `ListResults`.
pub const MAX_RESULT_PAGE: u32 = 500;
/// Size after which a page of results or items is closed, in bytes.
pub const MAX_PAGE_BYTES: usize = 2 * 1024 * 1024;
/// Maximum message between two yokefall processes, in bytes.
pub const MAX_PEER_FRAME_BYTES: usize = 8 * 1024 * 1024;
/// Maximum declaration, in bytes of JSON.
pub const MAX_DECLARATION_BYTES: usize = 64 * 1024;

/// Checks a name or id: not empty, not too long, printable ASCII without `/` or spaces.
pub fn check_name(field: &'static str, value: &str) -> Result<(), String> {
    if value.is_empty() {
        return Err(format!("{field}: must not be empty"));
    }
    if value.len() > MAX_NAME_BYTES {
        return Err(format!("{field}: {} bytes, the limit is {MAX_NAME_BYTES}", value.len()));
    }
    let allowed = |c: char| c.is_ascii_graphic() && c != '/';
    match value.chars().find(|c| !allowed(*c)) {
        Some(bad) => Err(format!("{field}: character {bad:?} is not allowed")),
        None => Ok(()),
    }
}
