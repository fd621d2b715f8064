//! The home daemon: one record per request, and no-repeat calls run at most once.

mod support;

use std::collections::HashMap;

use quickcheck::{Gen, QuickCheck};
use support::{header, node, view};
use yokefall_core::coordinator::{Coordinator, CoordinatorEffect, Submission};
use yokefall_core::Timestamp;
use yokefall_peer::{HomeId, RecordCopy, RecordState};
use yokefall_types::{Answer, Outcome, Refusal, RefusalReason, RepeatPolicy, RequestId};

const SEED: u64 = 31;
const RETENTION_MS: u64 = 60_000;
const DIGEST: u64 = 9;

fn home(number: usize) -> HomeId {
    HomeId { node: node(number), incarnation: 1 }
}

fn executions(effects: &[CoordinatorEffect]) -> Vec<(RequestId, u32)> {
    let execute = |effect: &CoordinatorEffect| match effect {
        CoordinatorEffect::Execute { request, attempt, .. } => Some((request.clone(), *attempt)),
        _ => None,
    };
    effects.iter().filter_map(execute).collect()
}

/// Random attempt results, lost copies and delays: a no-repeat call is sent again only after every
/// earlier attempt was proven not to have run, and each record ends once.
fn no_repeat_runs_at_most_once(steps: Vec<(u8, u8, u8)>) -> bool {
    let view = view(3, 2, 4, 0);
    let mut coordinator = Coordinator::new(home(0), 1, RETENTION_MS);
    // Per request: attempts sent and not proven not to have run, and number of ends.
    let mut possibly_run: HashMap<RequestId, Vec<u32>> = HashMap::new();
    let mut ends: HashMap<RequestId, u32> = HashMap::new();
    let mut now = Timestamp(1);
    for (kind, id, choice) in steps {
        now = now.plus_millis(u64::from(choice));
        let header = header(&format!("r{}", id % 3), RepeatPolicy::Forbidden);
        let request = header.request.clone();
        // Reports of earlier attempts may arrive late or twice.
        let newest = possibly_run.get(&request).and_then(|sent| sent.last().copied()).unwrap_or(1);
        let attempt = if choice % 3 == 0 { newest.max(2) - 1 } else { newest };
        let mut proven = None;
        let effects = match kind % 8 {
            0 => coordinator.submit(now, &view, header, DIGEST, 10).1,
            1 => {
                let holder = node(1 + choice as usize % 2);
                coordinator.copy_held(now, &view, &request, &holder, None)
            }
            2 => coordinator.copy_failed(now, &view, &request, &node(1)),
            3 => {
                coordinator.execution_ended(now, &view, &request, attempt, Outcome::Completed, None)
            }
            4 => {
                proven = Some(attempt);
                let refusal = Refusal::not_run(RefusalReason::Overloaded, "full");
                let outcome = Outcome::Refused(refusal);
                coordinator.execution_ended(now, &view, &request, attempt, outcome, None)
            }
            5 => {
                let may_have_arrived = choice % 2 == 0;
                if !may_have_arrived {
                    proven = Some(attempt);
                }
                let detail = "lost".to_owned();
                coordinator.execution_lost(now, &view, &request, attempt, may_have_arrived, detail)
            }
            6 => coordinator.tick(now, &view),
            _ => coordinator.cancel(now, &view, &request).1,
        };
        if let Some(attempt) = proven {
            possibly_run.entry(request).or_default().retain(|sent| *sent != attempt);
        }
        for (request, attempt) in executions(&effects) {
            let sent = possibly_run.entry(request).or_default();
            if !sent.is_empty() {
                return false;
            }
            sent.push(attempt);
        }
        for effect in effects {
            match effect {
                CoordinatorEffect::End { request, .. } => {
                    *ends.entry(request.clone()).or_default() += 1;
                    if ends[&request] > 1 {
                        return false;
                    }
                }
                CoordinatorEffect::Expire { request } => {
                    ends.remove(&request);
                    possibly_run.remove(&request);
                }
                _ => {}
            }
        }
    }
    true
}

#[test]
fn a_no_repeat_call_is_sent_again_only_when_proven_not_run() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(80, SEED))
        .tests(2_000)
        .quickcheck(no_repeat_runs_at_most_once as fn(Vec<(u8, u8, u8)>) -> bool);
}

#[test]
fn a_call_with_the_same_id_joins_or_conflicts_by_content() {
    let view = view(2, 1, 4, 0);
    let mut coordinator = Coordinator::new(home(0), 1, RETENTION_MS);
    let call = header("r", RepeatPolicy::Allowed);
    let now = Timestamp(1);
    let (first, effects) = coordinator.submit(now, &view, call.clone(), DIGEST, 10);
    assert_eq!(first, Submission::Accepted);
    assert_eq!(executions(&effects).len(), 1);
    let (second, effects) = coordinator.submit(now, &view, call.clone(), DIGEST, 10);
    assert_eq!(second, Submission::Joined);
    assert!(effects.is_empty());
    let (third, effects) = coordinator.submit(now, &view, call, DIGEST + 1, 10);
    assert!(matches!(third, Submission::Refused(r) if r.reason == RefusalReason::Conflict));
    assert!(effects.is_empty());
}

#[test]
fn the_holder_of_the_copy_takes_over_without_running_the_call_again() {
    let view = view(2, 1, 4, 0);
    let mut coordinator = Coordinator::new(home(0), 1, RETENTION_MS);
    let call = header("r", RepeatPolicy::Forbidden);
    let state = RecordState::Running { owner: node(1) };
    let copy = RecordCopy {
        request: call.request.clone(),
        home: home(1),
        digest: DIGEST,
        repeat: call.repeat,
        state,
    };
    assert!(coordinator.hold(Timestamp(1), &view, copy).is_none());
    let (submission, effects) = coordinator.submit(Timestamp(2), &view, call, DIGEST, 10);
    assert_eq!(submission, Submission::Joined);
    assert!(matches!(&effects[..], [CoordinatorEffect::Adopt { .. }]));
}

#[test]
fn a_running_state_never_replaces_a_stored_answer() {
    let view = view(2, 1, 4, 0);
    let mut coordinator = Coordinator::new(home(0), 1, RETENTION_MS);
    let request = header("r", RepeatPolicy::Forbidden).request;
    let copy = |state| RecordCopy {
        request: request.clone(),
        home: home(1),
        digest: DIGEST,
        repeat: RepeatPolicy::Forbidden,
        state,
    };
    let answer = Answer { body: b"answer".to_vec(), tokens: 1 };
    coordinator.hold(Timestamp(1), &view, copy(RecordState::Answered(answer)));
    coordinator.hold(Timestamp(2), &view, copy(RecordState::Running { owner: node(1) }));
    let held = coordinator.copy_of(&request).map(|copy| &copy.state);
    assert!(matches!(held, Some(RecordState::Answered(_))));
}

#[test]
fn a_call_over_a_limit_is_refused_with_the_field_name() {
    let view = view(2, 1, 4, 0);
    let mut coordinator = Coordinator::new(home(0), 1, RETENTION_MS);
    let call = header("r", RepeatPolicy::Allowed);
    let (large, _) = coordinator.submit(Timestamp(1), &view, call.clone(), DIGEST, 5_000);
    let Submission::Refused(refusal) = large else { panic!("an oversized prompt was accepted") };
    assert!(refusal.detail.starts_with("prompt:"));
    let mut unknown = call;
    unknown.service = "nothing".into();
    let (unknown, _) = coordinator.submit(Timestamp(1), &view, unknown, DIGEST, 10);
    let Submission::Refused(refusal) = unknown else { panic!("an unknown service was accepted") };
    assert_eq!(refusal.reason, RefusalReason::UnknownService);
    assert_eq!(refusal.executed, Some(false));
}

#[test]
fn a_copy_is_foreign_unless_the_same_incarnation_of_its_home_made_it() {
    let view = view(2, 1, 4, 0);
    let mut holder = Coordinator::new(home(1), 1, RETENTION_MS);
    let copy = |home: HomeId| RecordCopy {
        request: header("r", RepeatPolicy::Forbidden).request,
        home,
        digest: DIGEST,
        repeat: RepeatPolicy::Forbidden,
        state: RecordState::Running { owner: node(0) },
    };
    assert!(holder.hold(Timestamp(1), &view, copy(home(0))).is_none());
    // The same home sends the call to another owner after a refusal: no other home ran it.
    assert!(holder.hold(Timestamp(2), &view, copy(home(0))).is_none());
    // The home restarted and lost the record: its previous incarnation may have run the call.
    let restarted = HomeId { incarnation: 2, ..home(0) };
    assert!(holder.hold(Timestamp(3), &view, copy(restarted.clone())).is_some());
    // The reply is the same on a resend, in case the first reply was lost.
    assert!(holder.hold(Timestamp(4), &view, copy(restarted)).is_some());
}

#[test]
fn a_refusal_after_a_retry_covers_all_attempts() {
    let view = view(3, 2, 4, 0);
    let mut coordinator = Coordinator::new(home(0), 1, RETENTION_MS);
    let call = header("r", RepeatPolicy::Allowed);
    let request = call.request.clone();
    coordinator.submit(Timestamp(1), &view, call, DIGEST, 10);
    let lost = Refusal::unknown(RefusalReason::BackendFailed, "no answer");
    let lost = Outcome::Refused(lost);
    coordinator.execution_ended(Timestamp(2), &view, &request, 1, lost, None);
    let effects = coordinator.tick(Timestamp(9_000), &view);
    assert_eq!(executions(&effects), vec![(request.clone(), 2)]);
    // The second attempt is proven not to have run, and no further attempt is possible.
    let not_run = Refusal::not_run(RefusalReason::DeadlineExceeded, "late");
    let not_run = Outcome::Refused(not_run);
    let effects = coordinator.execution_ended(Timestamp(9_001), &view, &request, 2, not_run, None);
    let [CoordinatorEffect::End { outcome: Outcome::Refused(refusal), .. }] = &effects[..] else {
        panic!("expected one end, got {effects:?}");
    };
    assert_eq!(refusal.executed, None, "the first attempt may have run");
}

#[test]
fn records_are_handed_over_to_new_holders_after_a_fleet_change() {
    let before = view(4, 1, 4, 0);
    let mut coordinator = Coordinator::new(home(0), 1, RETENTION_MS);
    let call = header("r", RepeatPolicy::Allowed);
    let request = call.request.clone();
    coordinator.submit(Timestamp(1), &before, call, DIGEST, 10);
    let outcome = Outcome::Completed;
    let ended = coordinator.execution_ended(Timestamp(2), &before, &request, 1, outcome, None);
    let [CoordinatorEffect::End { holders, .. }] = &ended[..] else { panic!("expected one end") };
    assert_eq!(holders.len(), 2);
    // One of the holders restarts and loses its copy, so it is sent a new one.
    let mut after = before.clone();
    let restarted = holders[0].clone();
    for member in after.members.iter_mut().filter(|member| member.node == restarted) {
        member.incarnation += 1;
    }
    after.members_digest += 1;
    coordinator.view_changed(&after);
    let effects = coordinator.tick(Timestamp(3), &after);
    let [CoordinatorEffect::CopyEnded { to, .. }] = &effects[..] else {
        panic!("expected one handover, got {effects:?}");
    };
    assert_eq!(*to, restarted);
    assert_eq!(coordinator.open_handovers(), 1);
    // A failed handover is retried; an acknowledged one is not.
    coordinator.handed_over(Timestamp(4), &request, &restarted, false);
    assert_eq!(coordinator.tick(Timestamp(5_000), &after).len(), 1);
    coordinator.handed_over(Timestamp(5_001), &request, &restarted, true);
    assert!(coordinator.tick(Timestamp(10_000), &after).is_empty());
    assert_eq!(coordinator.open_handovers(), 0);
}

#[test]
fn a_no_repeat_resend_without_a_record_is_not_run() {
    let view = view(3, 2, 4, 0);
    let mut coordinator = Coordinator::new(home(0), 1, RETENTION_MS);
    let mut call = header("r", RepeatPolicy::Forbidden);
    call.resend = true;
    let request = call.request.clone();
    let (_, effects) = coordinator.submit(Timestamp(1), &view, call, DIGEST, 10);
    assert!(executions(&effects).is_empty());
    let mut effects = coordinator.copy_held(Timestamp(2), &view, &request, &node(1), None);
    effects.extend(coordinator.copy_held(Timestamp(2), &view, &request, &node(2), None));
    let [CoordinatorEffect::End { outcome: Outcome::Refused(refusal), .. }] = &effects[..] else {
        panic!("expected one end, got {effects:?}");
    };
    assert_eq!(refusal.executed, None);
}
