//! Lists in pages, from a store that gives no further page after a certain name.
//!
//! Guards against a name, which any writer may have chosen, that keeps a process from reading the
//! rest of the list, or that makes it read the same pages forever.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use quickcheck::{quickcheck, TestResult};
use yokefall_core::Timestamp;
use yokefall_serving::listing::{ListEnd, PartialList};
use yokefall_serving::source::{Revision, Source, SourceError, WatchResponse};
use yokefall_serving::watch::{run_watch, Sink, WatchOptions, WatchWaits, INCOMPLETE};
use yokefall_serving::watch_role::WatchRole;
use yokefall_serving::{Change, ListPage, Listing};

/// What the store does when asked for the page after the odd name.
#[derive(Clone, Copy, Debug)]
enum Conduct {
    /// Answers that there is no such page.
    Rejects,
    /// Closes the connection.
    Disconnects,
    /// Understands another name, before all others.
    Restarts,
}

const ODD: &str = "c odd";
const LAST_REVISION: Revision = 100;

struct OddStore {
    names: Vec<String>,
    page_size: usize,
    conduct: Conduct,
    calls: Rc<RefCell<usize>>,
}

impl OddStore {
    fn new(names: &[&str], page_size: usize, conduct: Conduct) -> Self {
        let names = names.iter().map(|name| (*name).to_owned()).collect();
        Self { names, page_size, conduct, calls: Rc::default() }
    }
}

fn failed() -> SourceError {
    SourceError::Failed { step: "send request", peer: "store".into(), cause: "closed".into() }
}

fn unusable() -> SourceError {
    SourceError::Unusable { step: "read", peer: "store".into(), cause: "400".into() }
}

impl Source<u64> for OddStore {
    fn kind(&self) -> &'static str {
        "numbers"
    }

    async fn list(&mut self, after: Option<&str>) -> Result<ListPage<u64>, SourceError> {
        *self.calls.borrow_mut() += 1;
        let after = match (after, self.conduct) {
            (Some(ODD), Conduct::Rejects) => return Err(unusable()),
            (Some(ODD), Conduct::Disconnects) => return Err(failed()),
            (Some(ODD), Conduct::Restarts) => None,
            (after, _) => after,
        };
        let begin = after.map_or(0, |after| self.names.partition_point(|name| **name <= *after));
        let end = (begin + self.page_size).min(self.names.len());
        let page = &self.names[begin..end];
        let change = |name: &String| Change { name: name.clone(), revision: 1, value: Some(1) };
        let next = page.last().filter(|_| end < self.names.len()).cloned();
        let items = page.iter().map(change).collect();
        Ok(ListPage { items, revision: LAST_REVISION, next })
    }

    async fn watch(
        &mut self,
        from: Revision,
        wait: Duration,
    ) -> Result<WatchResponse<u64>, SourceError> {
        tokio::time::sleep(wait).await;
        Ok(WatchResponse::Changes { changes: Vec::new(), revision: from })
    }

    fn reset(&mut self) {}
}

/// Complete lists, and the names in those that ended early.
#[derive(Clone, Default)]
struct RecordingSink {
    complete: Rc<RefCell<Vec<Vec<String>>>>,
    incomplete: Rc<RefCell<Vec<Vec<String>>>>,
}

fn names(changes: &[Change<u64>]) -> Vec<String> {
    changes.iter().map(|change| change.name.clone()).collect()
}

impl Sink<u64> for RecordingSink {
    fn replace(&self, listing: Listing<u64>) {
        self.complete.borrow_mut().push(names(&listing.items));
    }

    fn apply(&self, changes: Vec<Change<u64>>, revision: Revision) {
        if !changes.is_empty() {
            assert_eq!(revision, INCOMPLETE);
            self.incomplete.borrow_mut().push(names(&changes));
        }
    }

    fn ended(&self, _error: Option<&SourceError>) {}
}

/// Watches the store for a while.
async fn run(store: OddStore, time: Duration) -> RecordingSink {
    let sink = RecordingSink::default();
    let options = WatchOptions {
        refresh: Rc::default(),
        others: Vec::new(),
        watch_role: WatchRole::always(),
        waits: WatchWaits::Long,
    };
    let watching = run_watch(store, sink.clone(), options);
    let _ = tokio::time::timeout(time, watching).await;
    sink
}

/// Guards against reading the first page again and again, without a pause.
#[tokio::test(start_paused = true)]
async fn a_list_goes_on_after_a_name_that_is_not_among_the_objects() {
    let mut list: PartialList<u64> = PartialList::default();
    list.add(ListPage { items: Vec::new(), revision: 1, next: Some("b".into()) }, Timestamp(1));
    assert_eq!(list.after(), Some("b"));
    assert_eq!(list.end(), None);
    let last = Change { name: "c".into(), revision: 1, value: Some(1) };
    list.add(ListPage { items: vec![last], revision: 1, next: None }, Timestamp(2));
    assert_eq!(list.end(), Some(ListEnd::LastPage));
    assert_eq!(list.take().items.len(), 1);
}

const NAMES: [&str; 7] = ["a", "b", ODD, "d", "e", "f", "g"];

#[tokio::test(start_paused = true)]
async fn a_list_goes_on_from_another_name_of_the_page() {
    for conduct in [Conduct::Rejects, Conduct::Disconnects, Conduct::Restarts] {
        let sink = run(OddStore::new(&NAMES, 3, conduct), Duration::from_secs(8)).await;
        let complete = sink.complete.borrow();
        let mut listed = complete.first().cloned().unwrap_or_default();
        listed.sort();
        assert_eq!(listed, NAMES, "{conduct:?}: each name once");
        assert!(sink.incomplete.borrow().is_empty(), "{conduct:?}");
    }
}

/// On pages of one entry there is no other name. The list is read again after a while.
#[tokio::test(start_paused = true)]
async fn a_list_without_a_further_page_ends_and_its_entries_are_used() {
    for conduct in [Conduct::Rejects, Conduct::Restarts] {
        let store = OddStore::new(&NAMES, 1, conduct);
        let calls = store.calls.clone();
        let sink = run(store, Duration::from_secs(5)).await;
        assert_eq!(*sink.incomplete.borrow(), [["a", "b", ODD]], "{conduct:?}");
        assert_eq!(*calls.borrow(), 4, "{conduct:?}");
        let sink = run(OddStore::new(&NAMES, 1, conduct), Duration::from_secs(15)).await;
        assert_eq!(sink.incomplete.borrow().len(), 2, "{conduct:?}: it is read again");
        assert!(sink.complete.borrow().is_empty(), "{conduct:?}: the rest is not known to be gone");
    }
}

quickcheck! {
    /// Whatever the number of entries before and after the odd one and the size of pages, reading
    /// ends, and nothing before the odd name is missing.
    fn reading_ends_with_all_entries_or_those_read(before: u8, after: u8, page_size: u8, restarts: bool) -> TestResult {
        let (before, after) = (usize::from(before % 40), usize::from(after % 40));
        let mut all: Vec<String> = (0..before).map(|number| format!("b{number:02}")).collect();
        all.push(ODD.to_owned());
        all.extend((0..after).map(|number| format!("d{number:02}")));
        let expected: Vec<&str> = all.iter().map(String::as_str).collect();
        let conduct = if restarts { Conduct::Restarts } else { Conduct::Rejects };
        let page_size = usize::from(page_size % 12) + 1;
        let store = OddStore::new(&expected, page_size, conduct);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
        let sink = runtime.expect("a runtime").block_on(run(store, Duration::from_secs(8)));
        let complete = sink.complete.borrow();
        let incomplete = sink.incomplete.borrow();
        let Some(listed) = complete.first().or(incomplete.first()) else { return TestResult::failed() };
        let is_long_enough = match complete.is_empty() {
            true => listed.len() >= before,
            false => listed.len() == all.len(),
        };
        // On longer pages another name of the page leads further.
        TestResult::from_bool(is_long_enough && (page_size == 1 || incomplete.is_empty()))
    }
}
