//! Validation of a call before its record is created.

use yokefall_types::{CallHeader, Refusal, RefusalReason};

use super::Submission;
use crate::fleet::FleetView;

pub(super) fn compare_digests(held: u64, given: u64) -> Submission {
    if held == given {
        return Submission::Joined;
    }
    let detail = "request_id: used before with other content";
    Submission::Refused(Refusal::not_run(RefusalReason::Conflict, detail))
}

pub(super) fn check_limits(
    view: &FleetView,
    header: &CallHeader,
    body_bytes: usize,
) -> Option<Refusal> {
    let service = header.service_id();
    let invalid = |detail: String| Some(Refusal::not_run(RefusalReason::InvalidArgument, detail));
    let Some(declared) = view.services.get(&service) else {
        let detail = format!("service: {service} is not declared");
        return Some(Refusal::not_run(RefusalReason::UnknownService, detail));
    };
    let max_bytes = declared.spec.max_prompt_bytes as usize;
    if body_bytes > max_bytes {
        return invalid(format!("prompt: {body_bytes} bytes, {service} takes {max_bytes}"));
    }
    if header.max_tokens > declared.spec.max_tokens {
        let max_tokens = declared.spec.max_tokens;
        return invalid(format!("max_tokens: {}, {service} gives {max_tokens}", header.max_tokens));
    }
    None
}
