//! Conversion between the generated protobuf types and the types of the `types` crate.

use yokefall_api::v1;
use yokefall_types::{
    ItemOutcome, JobProgress, JobState, Priority, Refusal, RefusalReason, RepeatPolicy,
};

/// Converts a protobuf priority; unknown values become `Normal`.
pub fn priority_from_proto(value: i32) -> Priority {
    match v1::Priority::try_from(value) {
        Ok(v1::Priority::High) => Priority::High,
        _ => Priority::Normal,
    }
}

/// Converts a protobuf repeat policy; an unspecified or unknown value becomes `Forbidden`.
pub fn repeat_policy_from_proto(value: i32) -> RepeatPolicy {
    match v1::Repeat::try_from(value) {
        Ok(v1::Repeat::Allowed) => RepeatPolicy::Allowed,
        _ => RepeatPolicy::Forbidden,
    }
}

/// Converts a refusal to its protobuf message.
pub fn refusal_to_proto(refusal: &Refusal) -> v1::Refusal {
    let executed = match refusal.executed {
        None => v1::Executed::Unknown,
        Some(false) => v1::Executed::No,
        Some(true) => v1::Executed::Yes,
    };
    v1::Refusal {
        reason: refusal_reason_to_proto(refusal.reason) as i32,
        executed: executed as i32,
        retry_after_ms: refusal.retry_after_ms.unwrap_or(0),
        detail: refusal.detail.clone(),
    }
}

fn refusal_reason_to_proto(reason: RefusalReason) -> v1::RefusalReason {
    match reason {
        RefusalReason::UnknownService => v1::RefusalReason::RefusalUnknownService,
        RefusalReason::NoBackend => v1::RefusalReason::RefusalNoBackend,
        RefusalReason::Overloaded => v1::RefusalReason::RefusalOverloaded,
        RefusalReason::DeadlineExceeded => v1::RefusalReason::RefusalDeadlineExceeded,
        RefusalReason::InvalidArgument => v1::RefusalReason::RefusalInvalidArgument,
        RefusalReason::Conflict => v1::RefusalReason::RefusalConflict,
        RefusalReason::Cancelled => v1::RefusalReason::RefusalCancelled,
        RefusalReason::Stopping => v1::RefusalReason::RefusalStopping,
        RefusalReason::BackendFailed => v1::RefusalReason::RefusalBackendFailed,
        RefusalReason::Unreachable => v1::RefusalReason::RefusalUnreachable,
        RefusalReason::NotFound => v1::RefusalReason::RefusalNotFound,
    }
}

/// Converts the refusal of a batch call to a gRPC status.
pub fn status_from_refusal(refusal: &Refusal) -> tonic::Status {
    let code = match refusal.reason {
        RefusalReason::UnknownService | RefusalReason::NotFound => tonic::Code::NotFound,
        RefusalReason::InvalidArgument => tonic::Code::InvalidArgument,
        RefusalReason::Conflict => tonic::Code::AlreadyExists,
        RefusalReason::DeadlineExceeded => tonic::Code::DeadlineExceeded,
        RefusalReason::Overloaded => tonic::Code::ResourceExhausted,
        RefusalReason::Cancelled => tonic::Code::Cancelled,
        _ => tonic::Code::Unavailable,
    };
    tonic::Status::new(code, refusal.detail.clone())
}

/// Converts a job's progress to its protobuf message.
pub fn progress_to_proto(progress: &JobProgress) -> v1::JobStatus {
    let state = match progress.state {
        JobState::Running => v1::JobState::Running,
        JobState::Ended => v1::JobState::Ended,
        JobState::Cancelled => v1::JobState::Cancelled,
    };
    v1::JobStatus {
        state: state as i32,
        accepted: progress.accepted,
        running: progress.running,
        completed: progress.completed,
        failed: progress.failed,
        cancelled: progress.cancelled,
        unknown: progress.unknown,
    }
}

/// Converts an item's outcome to its protobuf value.
pub fn outcome_to_proto(outcome: ItemOutcome) -> v1::ItemOutcome {
    match outcome {
        ItemOutcome::Completed => v1::ItemOutcome::Completed,
        ItemOutcome::Failed => v1::ItemOutcome::Failed,
        ItemOutcome::Cancelled => v1::ItemOutcome::Cancelled,
        ItemOutcome::DeadlineExceeded => v1::ItemOutcome::DeadlineExceeded,
        ItemOutcome::OutcomeUnknown => v1::ItemOutcome::Unknown,
    }
}
