//! A list that is read page by page. What was read outlives a call that fails: the next call goes on where
//! the one before stopped. A list of 3,000 back ends takes 61 calls; where many processes read it at once
//! and the store turns some calls away, nobody would otherwise come to its end.

use std::time::Duration;

use tokio::time::Instant;
use yokefall_core::Timestamp;

use crate::source::{Change, ListPage, Listing, Revision};

/// Time after which pages are read anew: well within the time for which a store keeps its history (20 s),
/// from which what has changed between the pages comes with the first watch.
const PAGES_LIFETIME: Duration = Duration::from_secs(8);

/// Pages of a list that were read so far.
#[derive(Debug)]
pub struct PartialList<T> {
    items: Vec<Change<T>>,
    /// Revision of the first page, with the moment at which it was read. Invariant: a watch goes on from
    /// here, so that no change between two pages is missed.
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
    /// Whether the last page was read.
    pub fn is_complete(&self) -> bool {
        self.first.is_some() && self.next.is_none()
    }

    /// Name after which the next page begins. Pages that are too old are dropped first.
    pub fn after(&mut self) -> Option<&str> {
        if self.first.is_some_and(|(_, at)| at.elapsed() >= PAGES_LIFETIME) {
            *self = Self::default();
        }
        self.next.as_deref()
    }

    /// Adds the page that `after` asked for, at a moment.
    pub fn add(&mut self, page: ListPage<T>, asked: Timestamp) {
        let ListPage { items, revision, next } = page;
        if self.first.is_none() {
            self.asked = asked;
        }
        self.first.get_or_insert((revision, Instant::now()));
        self.items.extend(items);
        self.next = next;
    }

    /// When the first page was asked for.
    pub fn asked(&self) -> Timestamp {
        self.asked
    }

    /// Takes the whole list out.
    pub fn take(&mut self) -> Listing<T> {
        let Self { items, first, .. } = std::mem::take(self);
        Listing { items, revision: first.map_or(0, |(revision, _)| revision) }
    }
}
