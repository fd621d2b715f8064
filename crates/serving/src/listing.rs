//! A list that is read page by page. Pages survive a failed call: the next call resumes where the
//! last one stopped. A list of 3,000 back ends takes 61 calls; if many processes read it at once
//! and the store rejects some calls, none of them could otherwise complete it.
//!
//! A page begins after a name, which any writer may have chosen. If the store gives no further page
//! after that name, the names before it are tried; if there is none after these either, the list
//! ends early with the pages that were read.

use std::collections::HashSet;
use std::time::Duration;

use tokio::time::Instant;
use yokefall_core::Timestamp;

use crate::source::{Change, ListPage, Listing, Revision};

/// Maximum age of the first page, after which reading starts over: well within the 20 s for which a
/// store keeps its history. The first watch delivers changes made between the pages.
const MAX_PAGES_AGE: Duration = Duration::from_secs(8);
/// Maximum number of names after which a page is requested: each costs a call.
const MAX_POSITIONS: usize = 8;

/// The pages of a list read so far.
#[derive(Debug)]
pub struct PartialList<T> {
    items: Vec<Change<T>>,
    /// Revision and read time of the first page. Invariant: the watch starts from this revision, so
    /// that no change between two pages is missed.
    first: Option<(Revision, Instant)>,
    /// Names after which the next page may begin, the one to try next last; empty before the first
    /// page and after the last one.
    positions: Vec<String>,
    /// Names after which a page was read, or is not available.
    tried: HashSet<String>,
    /// Whether some pages may overlap.
    overlaps: bool,
    end: Option<ListEnd>,
    asked: Timestamp,
}

/// How reading a list ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListEnd {
    /// With the last page.
    LastPage,
    /// With a page after which the store gives no further one, although there is one.
    NoFurtherPage,
}

impl<T> Default for PartialList<T> {
    fn default() -> Self {
        Self {
            items: Vec::new(),
            first: None,
            positions: Vec::new(),
            tried: HashSet::new(),
            overlaps: false,
            end: None,
            asked: Timestamp(0),
        }
    }
}

impl<T> PartialList<T> {
    /// How reading ended; `None` while there are pages to read.
    pub fn end(&self) -> Option<ListEnd> {
        self.end
    }

    /// Name after which the next page begins. Discards pages that are too old.
    pub fn after(&mut self) -> Option<&str> {
        if self.first.is_some_and(|(_, at)| at.elapsed() >= MAX_PAGES_AGE) {
            *self = Self::default();
        }
        self.positions.last().map(String::as_str)
    }

    /// Adds the page requested with `after` at the time `asked`.
    pub fn add(&mut self, page: ListPage<T>, asked: Timestamp) {
        let ListPage { items, revision, next } = page;
        if self.first.is_none() {
            self.asked = asked;
        }
        self.first.get_or_insert((revision, Instant::now()));
        let after = self.positions.last().cloned();
        self.tried.extend(after);
        match next {
            None => self.end = Some(ListEnd::LastPage),
            // A page that was read before: the store understood another name.
            Some(next) if self.tried.contains(&next) => {
                self.skip_position();
                return;
            }
            Some(next) => {
                self.positions = self.positions_in(&items);
                if self.positions.last() != Some(&next) {
                    self.positions.push(next);
                }
            }
        }
        self.items.extend(items);
    }

    /// The last names of a page that have not been tried.
    fn positions_in(&self, items: &[Change<T>]) -> Vec<String> {
        let names = items.iter().map(|item| &item.name);
        let untried: Vec<&String> = names.filter(|name| !self.tried.contains(*name)).collect();
        let first = untried.len().saturating_sub(MAX_POSITIONS);
        untried[first..].iter().map(|name| (*name).clone()).collect()
    }

    /// Records that the store answered the request for the next page, but gave none. Returns whether
    /// another one can be requested or the list ends early; `false` before the first page.
    pub fn skip_position(&mut self) -> bool {
        let Some(unavailable) = self.positions.pop() else { return false };
        self.tried.insert(unavailable);
        self.overlaps = true;
        if self.positions.is_empty() {
            self.end = Some(ListEnd::NoFurtherPage);
        }
        true
    }

    /// Records that the request for the next page failed, perhaps because of the name in it.
    pub fn postpone_position(&mut self) {
        if self.positions.len() > 1 {
            self.positions.rotate_right(1);
            self.overlaps = true;
        }
    }

    /// Time at which the first page was requested.
    pub fn asked(&self) -> Timestamp {
        self.asked
    }

    /// Number of objects read so far, some perhaps twice.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether no object has been read.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Takes the list, leaving this one empty.
    pub fn take(&mut self) -> Listing<T> {
        let Self { mut items, first, overlaps, .. } = std::mem::take(self);
        if overlaps {
            keep_latest(&mut items);
        }
        Listing { items, revision: first.map_or(0, |(revision, _)| revision) }
    }
}

/// Removes all but the last read version of each object.
fn keep_latest<T>(items: &mut Vec<Change<T>>) {
    let mut names = HashSet::new();
    items.reverse();
    items.retain(|item| names.insert(item.name.clone()));
    items.reverse();
}
