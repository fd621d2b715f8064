//! Where streams may have begun, as processes that start, stop and are suspended know it.

mod support;

use support::{route, stream_origin};
use yokefall_core::Timestamp;
use yokefall_streams::history::{
    HistoryMessage, HistoryReport, OriginHistory, RouteOrigin, WINDOW_MS,
};

const START: Timestamp = Timestamp(86_400_000);

fn origin(service: &str, version: &str) -> RouteOrigin {
    RouteOrigin::new(&route(service), &stream_origin(service, version))
}

fn after(ms: u64) -> Timestamp {
    START.plus_millis(ms)
}

/// Observes one origin each second.
fn observe(history: &mut OriginHistory, from_ms: u64, until_ms: u64, possible: RouteOrigin) {
    for ms in (from_ms..=until_ms).step_by(1_000) {
        history.observe(after(ms), [possible]);
    }
}

#[test]
fn a_process_knows_all_origins_once_it_has_observed_the_whole_window() {
    let mut history = OriginHistory::new(START, false);
    observe(&mut history, 0, WINDOW_MS - 1_000, origin("models", "v1"));
    assert!(!history.is_complete(after(WINDOW_MS - 1_000)));
    assert!(history.is_complete(after(WINDOW_MS)));
    assert!(OriginHistory::new(START, true).is_complete(START));
}

#[test]
fn an_origin_counts_for_as_long_as_its_streams_may_be_continued() {
    let mut history = OriginHistory::new(START, true);
    history.observe(START, [origin("models", "v1")]);
    observe(&mut history, 1_000, WINDOW_MS - 1_000, origin("models", "v2"));
    assert!(history.has_other(after(WINDOW_MS - 1), origin("models", "v2")));
    observe(&mut history, WINDOW_MS, WINDOW_MS, origin("models", "v2"));
    assert!(!history.has_other(after(WINDOW_MS), origin("models", "v2")));
    // Another service of the route is another origin.
    assert!(history.has_other(after(WINDOW_MS), origin("others", "v2")));
}

#[test]
fn a_process_that_starts_takes_over_what_another_has_observed() {
    let mut before = OriginHistory::new(START, true);
    before.observe(START, [origin("models", "v1")]);
    let mut started = OriginHistory::new(after(5_000), false);
    started.observe(after(5_000), [origin("models", "v2")]);
    assert!(!started.is_complete(after(5_000)));
    started.merge(after(5_000), before.report(after(5_000)));
    assert!(started.is_complete(after(5_000)));
    assert!(started.has_other(after(5_000), origin("models", "v2")));
}

#[test]
fn two_processes_that_have_just_started_do_not_make_each_other_complete() {
    let (mut one, mut two) = (OriginHistory::new(START, false), OriginHistory::new(START, false));
    for ms in (0..10_000).step_by(200) {
        one.observe(after(ms), [origin("models", "v1")]);
        two.observe(after(ms), [origin("models", "v1")]);
        one.merge(after(ms), two.report(after(ms)));
        two.merge(after(ms), one.report(after(ms)));
    }
    assert!(!one.is_complete(after(10_000)) && !two.is_complete(after(10_000)));
}

#[test]
fn a_process_that_was_suspended_no_longer_knows_all_origins() {
    let mut history = OriginHistory::new(START, true);
    history.observe(after(1_000), [origin("models", "v1")]);
    assert!(history.is_complete(after(2_000)));
    // Right after the suspension, before it observes again, and then.
    assert!(!history.is_complete(after(9_000)));
    history.observe(after(9_000), [origin("models", "v1")]);
    assert!(!history.is_complete(after(9_000)));
}

#[test]
fn a_history_that_is_too_large_for_a_message_tells_nothing() {
    let mut history = OriginHistory::new(START, true);
    let many = (0..600).map(|version| origin("models", &format!("v{version}")));
    history.observe(START, many);
    assert_eq!(history.report(START).complete_ms, 0);
}

/// The form that other builds read.
#[test]
fn messages_keep_their_form() {
    let mut history = OriginHistory::new(START, false);
    history.observe(START, [origin("models", "v1")]);
    let bytes = borsh::to_vec(&HistoryMessage::Report(history.report(after(7)))).expect("bytes");
    assert_eq!(bytes.len(), 1 + 8 + 4 + 24);
    assert_eq!(&bytes[..13], [1, 7, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0]);
    assert_eq!(borsh::to_vec(&HistoryMessage::Query).expect("bytes"), [0]);
    let round_query = borsh::to_vec(&HistoryMessage::RoundQuery(0x0102)).expect("bytes");
    assert_eq!(round_query, [2, 2, 1, 0, 0, 0, 0, 0, 0]);
    let empty = HistoryReport::default();
    let round_report = borsh::to_vec(&HistoryMessage::RoundReport(0x0102, empty)).expect("bytes");
    assert_eq!(round_report[..9], [3, 2, 1, 0, 0, 0, 0, 0, 0]);
    assert_eq!(round_report[9..], [0; 12]);
}
