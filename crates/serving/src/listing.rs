//! A list that is read page by page. Pages survive a failed call: the next call resumes where the
//! last one stopped. A list of 3,000 back ends takes 61 calls; if many processes read it at once
//! and the store rejects some calls, none of them could otherwise complete it.

use std::time::Duration;

use tokio::time::Instant;
use yokefall_core::Timestamp;

use crate::source::{Change, ListPage, Listing, Revision};

/// Maximum age of the first page, after which reading starts over: well within the 20 s for which a
/// store keeps its history. The first watch delivers changes made between the pages.
const MAX_PAGES_AGE: Duration = Duration::from_secs(8);

/// The pages of a list read so far.
#[derive(Debug)]
pub struct PartialList<T> {
    items: Vec<Change<T>>,
    /// Revision and read time of the first page. Invariant: the watch starts from this revision, so
    /// that no change between two pages is missed.
    first: Option<(Revision, Instant)>,
    /// Name after which the next page begins; `None` before the first page and after the last.
    next: Option<String>,
    asked: Timestamp,
}

impl<T> Default for PartialList<T> {
    fn default() -> Self {
        Self { items: Vec::new(), first: None, next: None, asked: Timestamp(0) }
    }
}

impl<T> PartialList<T> {
    /// Whether the last page has been read.
    pub fn is_complete(&self) -> bool {
        self.first.is_some() && self.next.is_none()
    }

    /// Name after which the next page begins. Discards pages that are too old.
    pub fn after(&mut self) -> Option<&str> {
        if self.first.is_some_and(|(_, at)| at.elapsed() >= MAX_PAGES_AGE) {
            *self = Self::default();
        }
        self.next.as_deref()
    }

    /// Adds the page requested with `after` at the time `asked`.
    pub fn add(&mut self, page: ListPage<T>, asked: Timestamp) {
        let ListPage { items, revision, next } = page;
        if self.first.is_none() {
            self.asked = asked;
        }
        self.first.get_or_insert((revision, Instant::now()));
        self.items.extend(items);
        self.next = next;
    }

    /// Time at which the first page was requested.
    pub fn asked(&self) -> Timestamp {
        self.asked
    }

    /// Takes the complete list, leaving this one empty.
    pub fn take(&mut self) -> Listing<T> {
        let Self { items, first, .. } = std::mem::take(self);
        Listing { items, revision: first.map_or(0, |(revision, _)| revision) }
    }
}
