//! Admission of submissions: a submission must fit the memory limit and the token limit of its
//! queue, together with the submissions that are still being replicated.

use std::cell::RefCell;
use std::collections::BTreeMap;

use crate::protocol::Submission;

/// Why a submission is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The same job is still being replicated; its outcome is not known yet.
    InProgress,
    /// It would exceed the memory limit.
    Full,
    /// It would exceed the token limit of its queue.
    OverQuota,
}

#[derive(Debug)]
struct Pending {
    queue: String,
    tokens: u64,
    bytes: usize,
}

/// Submissions that are being replicated, by job id.
#[derive(Debug, Default)]
pub struct Admission {
    pending: RefCell<BTreeMap<String, Pending>>,
}

/// Resources that are already in use, and their limit.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Bytes used by jobs.
    pub bytes: usize,
    /// Maximum bytes used by jobs.
    pub max_bytes: usize,
    /// Tokens of waiting items in the submission's queue.
    pub queued_tokens: u64,
}

/// Reservation for a submission that is being replicated; released on drop.
#[derive(Debug)]
pub struct Reservation<'a> {
    admission: &'a Admission,
    job: String,
}

impl Admission {
    /// Whether a job is being replicated.
    pub fn is_pending(&self, job: &str) -> bool {
        self.pending.borrow().contains_key(job)
    }

    /// Reserves memory and queue tokens for a submission. Invariant: accepted and pending
    /// submissions together never exceed the limits. Without counting the pending ones, submissions
    /// that arrive at the same time would each be found to fit.
    pub fn reserve(
        &self,
        job: &str,
        submission: &Submission,
        usage: Usage,
    ) -> Result<Reservation<'_>, Rejection> {
        let mut pending = self.pending.borrow_mut();
        // The first attempt may yet be committed; a rejection would promise that nothing runs.
        if pending.contains_key(job) {
            return Err(Rejection::InProgress);
        }
        let bytes: usize = submission.items.iter().map(|item| item.held_bytes()).sum();
        let tokens = submission.tokens();
        let pending_bytes: usize = pending.values().map(|pending| pending.bytes).sum();
        if usage.bytes + pending_bytes + bytes > usage.max_bytes {
            return Err(Rejection::Full);
        }
        let same_queue = pending.values().filter(|pending| pending.queue == submission.queue);
        let pending_tokens =
            same_queue.map(|pending| pending.tokens).fold(tokens, u64::saturating_add);
        let waiting = usage.queued_tokens.saturating_add(pending_tokens);
        if submission.max_queued_tokens.is_some_and(|most| waiting > most) {
            return Err(Rejection::OverQuota);
        }
        let queue = submission.queue.clone();
        pending.insert(job.to_owned(), Pending { queue, tokens, bytes });
        Ok(Reservation { admission: self, job: job.to_owned() })
    }
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        self.admission.pending.borrow_mut().remove(&self.job);
    }
}
