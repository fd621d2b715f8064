//! How far back ends have come with their responses, from the view of the reader.

use std::time::Duration;

use tokio::time::Instant;

/// Maximum time from the first data of a response until its reader sees the crash that a part of the
/// prompt caused, which happens as the back end begins to write: some network delay and the
/// processor time of a busy process.
const MAX_CRASH_DELAY: Duration = Duration::from_millis(100);

/// How far a back end has come with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseProgress {
    /// It has sent nothing of the body, or has just begun.
    Beginning,
    /// It has been sending the body for a while: no part of the prompt crashes it.
    Underway,
}

/// Follows the body of one response.
#[derive(Debug, Default)]
pub struct ProgressTracker {
    first_data_at: Option<Instant>,
    was_underway: bool,
}

impl ProgressTracker {
    /// Records that data arrived. Returns true once: with the first data of a response underway.
    pub fn record_data(&mut self) -> bool {
        self.first_data_at.get_or_insert_with(Instant::now);
        let is_underway = self.progress() == ResponseProgress::Underway;
        !std::mem::replace(&mut self.was_underway, is_underway) && is_underway
    }

    /// How far the response has come.
    pub fn progress(&self) -> ResponseProgress {
        match self.first_data_at {
            Some(at) if at.elapsed() > MAX_CRASH_DELAY => ResponseProgress::Underway,
            Some(_) | None => ResponseProgress::Beginning,
        }
    }
}
