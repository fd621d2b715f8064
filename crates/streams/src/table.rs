//! Records of origins that one process keeps, bounded in time and number.

use std::collections::{HashMap, VecDeque};

use yokefall_core::Timestamp;

use crate::origin::{StreamKey, StreamOrigin};

/// Time for which a record is kept, in milliseconds. A client comes back within its deadline, which
/// is some seconds for the streams of every route.
pub const RECORD_LIFETIME_MS: u64 = 60_000;
/// Maximum number of records, 3 MB: the oldest are dropped, and those streams are not continued.
pub const MAX_RECORDS: usize = 16_384;

#[derive(Debug)]
struct Entry {
    /// `None` if two different origins were recorded, so that neither is known to be right.
    origin: Option<StreamOrigin>,
    expires_at: Timestamp,
}

/// Records by stream.
#[derive(Debug, Default)]
pub struct OriginTable {
    entries: HashMap<StreamKey, Entry>,
    /// Number of records of each origin.
    counts: HashMap<StreamOrigin, usize>,
    /// Streams by time of expiry. Only the last position of a stream that was recorded again counts.
    expiries: VecDeque<(Timestamp, StreamKey)>,
}

impl OriginTable {
    /// Keeps a record.
    pub fn insert(&mut self, now: Timestamp, key: StreamKey, origin: StreamOrigin) {
        self.expire(now);
        let expires_at = now.plus_millis(RECORD_LIFETIME_MS);
        match self.entries.get_mut(&key) {
            None => {
                *self.counts.entry(origin.clone()).or_default() += 1;
                self.entries.insert(key, Entry { origin: Some(origin), expires_at });
            }
            Some(entry) => {
                entry.expires_at = expires_at;
                let contradicted = entry.origin.take_if(|held| *held != origin);
                self.uncount(contradicted);
            }
        }
        self.expiries.push_back((expires_at, key));
        while self.expiries.len() > MAX_RECORDS {
            self.remove_oldest();
        }
    }

    /// The record of a stream.
    pub fn get(&self, now: Timestamp, key: &StreamKey) -> Option<&StreamOrigin> {
        let entry = self.entries.get(key).filter(|entry| entry.expires_at > now)?;
        entry.origin.as_ref()
    }

    /// Whether a stream of the last minute began at another software version of the same service.
    pub fn has_other_version(&mut self, now: Timestamp, origin: &StreamOrigin) -> bool {
        self.expire(now);
        self.counts.keys().any(|other| other.service == origin.service && other != origin)
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn expire(&mut self, now: Timestamp) {
        while self.expiries.front().is_some_and(|(expires_at, _)| *expires_at <= now) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        let Some((expires_at, key)) = self.expiries.pop_front() else { return };
        if self.entries.get(&key).is_some_and(|entry| entry.expires_at == expires_at) {
            let removed = self.entries.remove(&key);
            self.uncount(removed.and_then(|entry| entry.origin));
        }
    }

    fn uncount(&mut self, origin: Option<StreamOrigin>) {
        let Some(origin) = origin else { return };
        if let Some(count) = self.counts.get_mut(&origin) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&origin);
            }
        }
    }
}
