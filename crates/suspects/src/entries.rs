//! The entries of a table: which of them explain the crashes under others that many requests share.

use std::cell::RefCell;
use std::collections::HashMap;
use std::ops::{Deref, DerefMut};

use yokefall_core::Timestamp;

use crate::digest::RequestDigest;
use crate::entry::{Entry, RequestSource, SuspectStatus};

/// Maximum number of requests, about 250 bytes each; those with the fewest crashes go first.
pub(crate) const MAX_ENTRIES: usize = 1_024;

/// Entries by what is suspected.
#[derive(Debug, Default)]
pub(crate) struct Entries {
    by_digest: HashMap<RequestDigest, Entry>,
    /// Results of `without_explained` for parts of prompts, until any entry changes. A pass over all
    /// entries for each of many requests with the same parts would occupy the leader's thread.
    unexplained: RefCell<HashMap<Vec<RequestDigest>, Entry>>,
}

impl Deref for Entries {
    type Target = HashMap<RequestDigest, Entry>;

    fn deref(&self) -> &Self::Target {
        &self.by_digest
    }
}

impl DerefMut for Entries {
    /// Access for a change, which discards what followed from the entries before.
    fn deref_mut(&mut self) -> &mut Self::Target {
        self.unexplained.get_mut().clear();
        &mut self.by_digest
    }
}

impl Entries {
    /// Whether one other suspect explains all crashes under a key.
    pub(crate) fn is_explained(&self, digest: &RequestDigest) -> bool {
        let Some(entry) = self.get(digest) else { return false };
        self.iter().any(|(other_digest, other)| {
            other_digest != digest
                && other.may_explain(entry)
                && entry.crashes.iter().all(|crash| other.has_crash(crash))
        })
    }

    /// What may be done with requests that have these parts in their prompts because of the last one,
    /// whose entry is given, as far as crashes under it are not explained by other suspects.
    pub(crate) fn shared_status(
        &self,
        now: Timestamp,
        entry: &Entry,
        parts: &[&RequestDigest],
        source: RequestSource,
    ) -> SuspectStatus {
        if !entry.restricts_shared(source) {
            return SuspectStatus::Free;
        }
        let mut results = self.unexplained.borrow_mut();
        if results.len() >= MAX_ENTRIES {
            results.clear();
        }
        let arguments = parts.iter().map(|part| **part).collect();
        let unexplained =
            results.entry(arguments).or_insert_with(|| self.without_explained(entry, parts));
        match unexplained.restricts_shared(source) {
            true => unexplained.status(now, source),
            false => SuspectStatus::Free,
        }
    }

    /// An entry without the crashes that suspects other than `not_by` explain. Each must explain at
    /// least half of those left: one cause of all is likelier than many that share them.
    fn without_explained(&self, entry: &Entry, not_by: &[&RequestDigest]) -> Entry {
        let suspects: Vec<&Entry> = self
            .iter()
            .filter(|(digest, other)| !not_by.contains(digest) && other.may_explain(entry))
            .map(|(_, other)| other)
            .collect();
        let mut unexplained = entry.clone();
        loop {
            let best = suspects.iter().max_by_key(|suspect| suspect.count_shared(&unexplained));
            let Some(best) = best else { return unexplained };
            let shared = best.count_shared(&unexplained);
            if shared == 0 || 2 * shared < unexplained.crashes.len() {
                return unexplained;
            }
            unexplained = unexplained.without(|crash| best.has_crash(crash));
        }
    }
}
