//! Decides whether a request to execute a call joins an execution that the owner already has.

use yokefall_types::{Outcome, Refusal, RepeatPolicy};

/// A running or ended execution at an owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldExecution {
    /// Number of the attempt, as counted by its home daemon.
    pub attempt: u32,
    /// Number of leading tokens of the answer that were skipped.
    pub resume_from_token: u32,
    /// Its outcome; `None` while it runs.
    pub ended: Option<Outcome>,
}

/// Whether a request joins the existing execution instead of starting a new one.
///
/// Invariants: a no-repeat call starts again only if the existing execution is proven not to have
/// run, since two home daemons may both consider themselves home of the call. A repeatable call
/// joins only an execution that begins at the same token: otherwise its bytes would land at the
/// wrong offset of the answer.
pub fn joins(
    held: &HeldExecution,
    repeat: RepeatPolicy,
    attempt: u32,
    resume_from_token: u32,
) -> bool {
    if repeat == RepeatPolicy::Forbidden {
        return !proven_not_run(held);
    }
    held.ended.is_none() && held.attempt >= attempt && held.resume_from_token == resume_from_token
}

fn proven_not_run(held: &HeldExecution) -> bool {
    matches!(held.ended, Some(Outcome::Refused(Refusal { executed: Some(false), .. })))
}
