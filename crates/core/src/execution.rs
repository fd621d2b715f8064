//! Whether an order to run a call joins the execution that its owner already holds.

use yokefall_types::{Outcome, Refusal, RepeatPolicy};

/// An execution that an owner holds, running or ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldExecution {
    /// Number of the attempt, as its home daemon counts.
    pub attempt: u32,
    /// Tokens of the answer that it skipped.
    pub resume_from_token: u32,
    /// How it ended; none while it runs.
    pub ended: Option<Outcome>,
}

/// Whether an order joins the execution held, in place of running the call anew.
///
/// Invariants: a no-repeat call is run again only where the execution held is proven not to have
/// run, since two home daemons may both believe that the call is theirs. A repeatable call joins
/// only an execution that begins at the same token: another one's bytes would be put at the wrong
/// place of the answer.
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
