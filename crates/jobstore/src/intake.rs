//! Whether a submission may be taken: it must fit the memory, and the tokens that may wait in its
//! queue, together with submissions that are on their way into the log.

use std::cell::RefCell;
use std::collections::BTreeMap;

use crate::protocol::Submission;

/// Why a submission is not taken now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotTaken {
    /// The same job is on its way into the log; what becomes of it is not known yet.
    UnderWay,
    /// It would take more memory than there is.
    Full,
    /// More tokens would wait in its queue than may.
    OverQuota,
}

#[derive(Debug)]
struct Pending {
    queue: String,
    tokens: u64,
    bytes: usize,
}

/// Submissions that are on their way into the log, by job.
#[derive(Debug, Default)]
pub struct Intake {
    pending: RefCell<BTreeMap<String, Pending>>,
}

/// What is held already.
#[derive(Clone, Copy, Debug)]
pub struct Occupied {
    /// Bytes of jobs.
    pub bytes: usize,
    /// Most bytes of jobs.
    pub most_bytes: usize,
    /// Tokens of items that wait in the submission's queue.
    pub queued_tokens: u64,
}

/// Room for a submission that is on its way; given back when it is dropped.
#[derive(Debug)]
pub struct Reservation<'a> {
    intake: &'a Intake,
    job: String,
}

impl Intake {
    /// Whether a job is on its way.
    pub fn is_pending(&self, job: &str) -> bool {
        self.pending.borrow().contains_key(job)
    }

    /// Reserves room for a submission. Invariant: what was taken and what is on its way never
    /// exceeds the limits together; submissions that arrive at the same moment would else each fit.
    pub fn reserve(
        &self,
        job: &str,
        submission: &Submission,
        occupied: Occupied,
    ) -> Result<Reservation<'_>, NotTaken> {
        let mut pending = self.pending.borrow_mut();
        // Its first sending may yet be taken: a refusal would promise that nothing of it runs.
        if pending.contains_key(job) {
            return Err(NotTaken::UnderWay);
        }
        let bytes: usize = submission.items.iter().map(|item| item.held_bytes()).sum();
        let tokens = submission.tokens();
        let pending_bytes: usize = pending.values().map(|pending| pending.bytes).sum();
        if occupied.bytes + pending_bytes + bytes > occupied.most_bytes {
            return Err(NotTaken::Full);
        }
        let same_queue = pending.values().filter(|pending| pending.queue == submission.queue);
        let pending_tokens: u64 = same_queue.map(|pending| pending.tokens).sum();
        let waiting = occupied.queued_tokens + pending_tokens + tokens;
        if submission.max_queued_tokens.is_some_and(|most| waiting > most) {
            return Err(NotTaken::OverQuota);
        }
        let queue = submission.queue.clone();
        pending.insert(job.to_owned(), Pending { queue, tokens, bytes });
        Ok(Reservation { intake: self, job: job.to_owned() })
    }
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        self.intake.pending.borrow_mut().remove(&self.job);
    }
}
