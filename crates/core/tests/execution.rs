//! Which execution requests join an existing execution.

use yokefall_core::execution::{joins, HeldExecution};
use yokefall_types::{Outcome, Refusal, RefusalReason, RepeatPolicy};

fn held(resume_from_token: u32, ended: Option<Outcome>) -> HeldExecution {
    HeldExecution { attempt: 2, resume_from_token, ended }
}

#[test]
fn a_no_repeat_call_joins_any_execution_that_may_have_run() {
    let not_run = Refusal::not_run(RefusalReason::Overloaded, "full");
    let unknown = Refusal::unknown(RefusalReason::BackendFailed, "cut");
    let join = |ended| joins(&held(0, ended), RepeatPolicy::Forbidden, 1, 0);
    assert!(join(None));
    assert!(join(Some(Outcome::Completed)));
    assert!(join(Some(Outcome::Refused(unknown))));
    assert!(!join(Some(Outcome::Refused(not_run))));
}

#[test]
fn a_repeatable_call_joins_only_an_execution_from_the_same_token() {
    // A new home daemon counts attempts from one, and may know fewer tokens than the last.
    assert!(!joins(&held(10, None), RepeatPolicy::Allowed, 1, 0));
    assert!(!joins(&held(0, None), RepeatPolicy::Allowed, 1, 10));
    assert!(joins(&held(10, None), RepeatPolicy::Allowed, 1, 10));
    assert!(!joins(&held(10, Some(Outcome::Completed)), RepeatPolicy::Allowed, 1, 10));
    assert!(!joins(&held(10, None), RepeatPolicy::Allowed, 3, 10));
}
