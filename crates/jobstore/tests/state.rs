//! The replicated state machine: positions are assigned once, results are immutable, and text is
//! only appended to the output that it continues.

use yokefall_jobstore::protocol::Submission;
use yokefall_jobstore::state::{Applied, Command, Jobs, Run};
use yokefall_serving::{ItemState, JobItem, Requester};

const JOB: &str = "job-1";

fn item(id: &str) -> JobItem {
    JobItem {
        id: id.into(),
        path: format!("/run/{id}"),
        headers: Vec::new(),
        body: id.as_bytes().to_vec(),
        tokens: 1,
    }
}

fn submit(ids: &[&str]) -> Command {
    let items = ids.iter().map(|id| item(id)).collect();
    let submission = Submission {
        host: "h".into(),
        max_attempts: 2,
        max_queue_ms: 1_000,
        completion_target_ms: 500,
        queue: "h/".into(),
        max_queued_tokens: None,
        items,
    };
    Command::Submit { job: JOB.into(), submission }
}

fn finish(item: u32, after_event: u64, text: Option<&str>) -> Command {
    Command::Finish {
        job: JOB.into(),
        item,
        state: ItemState::Completed,
        run: Run { number: 1, resume_after: 0 },
        after_event,
        text: text.map(str::to_owned),
    }
}

fn append(item: u32, after_event: u64, last_event: u64, text: &str) -> Command {
    append_of(Run { number: 1, resume_after: 0 }, item, after_event, last_event, text)
}

fn append_of(run: Run, item: u32, after_event: u64, last_event: u64, text: &str) -> Command {
    Command::AppendOutput { job: JOB.into(), item, run, after_event, last_event, text: text.into() }
}

fn texts(jobs: &Jobs) -> Vec<String> {
    let page = jobs.page(JOB, &Requester::Unchecked, 0).expect("the job");
    page.results.into_iter().map(|result| format!("{}={}", result.id, result.text)).collect()
}

#[test]
fn a_job_is_accepted_once() {
    let mut jobs = Jobs::default();
    jobs.apply(submit(&["a", "b"]));
    jobs.apply(finish(0, 0, Some("x")));
    assert_eq!(jobs.apply(submit(&["c"])), Applied::Accepted { job: JOB.into() });
    let page = jobs.page(JOB, &Requester::Unchecked, 0).expect("the job");
    assert_eq!((page.total, page.results.len()), (2, 1));
}

#[test]
fn positions_follow_completion_order_and_never_change() {
    let mut jobs = Jobs::default();
    jobs.apply(submit(&["a", "b", "c"]));
    jobs.apply(finish(2, 0, Some("third")));
    jobs.apply(finish(0, 0, Some("first")));
    // A second end of the same item, as from a run by a former leader.
    assert_eq!(jobs.apply(finish(2, 0, Some("other"))), Applied::Nothing);
    jobs.apply(finish(1, 0, None));
    assert_eq!(texts(&jobs), ["c=third", "a=first", "b="]);
    let page = jobs.page(JOB, &Requester::Unchecked, 2).expect("the job");
    assert_eq!((page.results.len(), page.next), (1, 3));
    assert_eq!(jobs.page(JOB, &Requester::Unchecked, 3).expect("the job").next, 3);
}

#[test]
fn appended_and_final_output_form_one_text() {
    let mut jobs = Jobs::default();
    jobs.apply(submit(&["a"]));
    jobs.apply(append(0, 0, 2, "1\n2"));
    jobs.apply(append(0, 2, 3, ""));
    jobs.apply(finish(0, 3, Some("4")));
    assert_eq!(texts(&jobs), ["a=1\n2\n\n4"]);
}

/// Readers that wait for results are notified by the effects.
#[test]
fn the_effects_of_several_commands_in_one_entry_are_all_returned() {
    let mut jobs = Jobs::default();
    jobs.apply(submit(&["a", "b"]));
    let abandon = |item| Command::Finish {
        job: JOB.into(),
        item,
        state: ItemState::Abandoned,
        run: Run::default(),
        after_event: 0,
        text: None,
    };
    let finished = |item| Applied::Finished { job: JOB.into(), item };
    let batch = Command::Batch(vec![abandon(1), abandon(0), abandon(1)]);
    let expected = vec![finished(1), finished(0), Applied::Nothing];
    assert_eq!(jobs.apply(batch), Applied::Several(expected));
    assert_eq!(texts(&jobs), ["b=", "a="]);
}

#[test]
fn an_abandoned_item_keeps_the_reason_and_no_output() {
    let mut jobs = Jobs::default();
    jobs.apply(submit(&["a", "b"]));
    jobs.apply(append(0, 0, 2, "1\n2"));
    for (item, reason) in [(0, Some("the route was removed")), (1, None)] {
        let text = reason.map(str::to_owned);
        let (run, state) = (Run::default(), ItemState::Abandoned);
        let job = JOB.to_owned();
        jobs.apply(Command::Finish { job, item, state, run, after_event: 0, text });
    }
    assert_eq!(texts(&jobs), ["a=the route was removed", "b="]);
}

#[test]
fn output_after_another_event_is_not_appended() {
    let mut jobs = Jobs::default();
    jobs.apply(submit(&["a"]));
    jobs.apply(append(0, 0, 2, "1\n2"));
    jobs.apply(append(0, 1, 3, "2\n3"));
    assert_eq!(jobs.apply(finish(0, 0, Some("1\n2\n3"))), Applied::Nothing);
    assert!(texts(&jobs).is_empty());
    jobs.apply(finish(0, 2, Some("3")));
    assert_eq!(texts(&jobs), ["a=1\n2\n3"]);
}

/// Guards against joining the output of two runs: a run that started before the output of its
/// predecessor was committed may happen to reach the same event.
#[test]
fn output_of_a_run_is_appended_only_where_it_was_asked_to_resume() {
    let (first, second) = (Run { number: 1, resume_after: 0 }, Run { number: 2, resume_after: 0 });
    let mut jobs = Jobs::default();
    jobs.apply(submit(&["a"]));
    jobs.apply(append_of(first, 0, 0, 2, "1\n2"));
    jobs.apply(append_of(second, 0, 0, 2, "one\ntwo"));
    jobs.apply(append_of(second, 0, 2, 3, "three"));
    let asked = Run { number: 3, resume_after: 2 };
    jobs.apply(append_of(asked, 0, 2, 4, "3\n4"));
    let job = JOB.to_owned();
    let state = ItemState::Completed;
    let text = Some("5".to_owned());
    jobs.apply(Command::Finish { job, item: 0, state, run: asked, after_event: 4, text });
    assert_eq!(texts(&jobs), ["a=1\n2\n3\n4\n5"]);
}

#[test]
fn an_abandoned_item_has_no_text() {
    let mut jobs = Jobs::default();
    jobs.apply(submit(&["a"]));
    jobs.apply(append(0, 0, 2, "1\n2"));
    let state = ItemState::Abandoned;
    let job = JOB.to_owned();
    jobs.apply(Command::Finish {
        job,
        item: 0,
        state,
        run: Run::default(),
        after_event: 0,
        text: None,
    });
    assert_eq!(texts(&jobs), ["a="]);
}

#[test]
fn bodies_are_readable_until_the_result_or_the_end() {
    let mut jobs = Jobs::default();
    jobs.apply(submit(&["a", "b"]));
    assert_eq!(jobs.body(JOB, &Requester::Unchecked, "a"), Some(b"a".as_slice()));
    jobs.apply(finish(0, 0, None));
    assert_eq!(jobs.body(JOB, &Requester::Unchecked, "a"), None);
    jobs.apply(Command::End { job: JOB.into() });
    assert_eq!(jobs.body(JOB, &Requester::Unchecked, "b"), None);
    // Existing results remain.
    assert_eq!(texts(&jobs), ["a="]);
    assert_eq!(jobs.apply(finish(1, 0, Some("late"))), Applied::Nothing);
}

#[test]
fn a_page_is_bounded_but_never_empty() {
    let mut jobs = Jobs::default();
    jobs.apply(submit(&["a", "b", "c"]));
    let long = "x".repeat(800 * 1024);
    (0..3).for_each(|index| {
        jobs.apply(finish(index, 0, Some(&long)));
    });
    let page = jobs.page(JOB, &Requester::Unchecked, 0).expect("the job");
    assert_eq!((page.results.len(), page.next), (1, 1));
}

#[test]
fn a_snapshot_is_the_whole_state() {
    let mut jobs = Jobs::default();
    jobs.apply(submit(&["a", "b"]));
    jobs.apply(append(0, 0, 1, "1"));
    jobs.apply(finish(1, 0, Some("x")));
    let bytes = borsh::to_vec(&jobs).expect("bytes");
    assert_eq!(borsh::from_slice::<Jobs>(&bytes).expect("the state"), jobs);
}

#[test]
fn long_results_are_compressed_and_read_back_unchanged() {
    let text: String =
        (0..400).map(|n| format!("{n:x}.{:x} north then left\n", n * 7_919)).collect();
    let mut jobs = Jobs::default();
    jobs.apply(submit(&["a"]));
    let before = jobs.held_bytes();
    jobs.apply(finish(0, 0, Some(&text)));
    assert_eq!(texts(&jobs), [format!("a={text}")]);
    assert!(jobs.held_bytes() < before + text.len() / 2);
    let bytes = borsh::to_vec(&jobs).expect("a state");
    let again: Jobs = borsh::from_slice(&bytes).expect("a state");
    assert_eq!(again, jobs);
}
