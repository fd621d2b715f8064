//! Repair of lists that differ: news travels a bounded number of times and may miss somebody, and a member
//! that has just started knows almost nobody.

use super::digest::{bucket_of, record_hash, REPAIR_BUCKETS};
use super::gossip::fitting;
use super::message::{Datagram, DatagramKind, MemberRecord, Outgoing};
use super::Membership;
use crate::time::Timestamp;
use yokefall_types::NodeName;

/// Least interval between two repairs, in milliseconds.
const REPAIR_INTERVAL_MS: u64 = 2_000;
/// Time from a start in which many may start together, in milliseconds: as long as 200 took to know each
/// other with the regular interval, and as much again.
const EARLY_MS: u64 = 8_000;
/// Least interval between two repairs in that time, in milliseconds. Each about doubles what a member
/// knows, so that six do for 200; an answer is at most some 25 datagrams.
const EARLY_REPAIR_INTERVAL_MS: u64 = 250;
/// Time from a start in which a member compares its list with others' whether it learns of members by that
/// or not, in milliseconds: those that stayed may be known to one of many that start together.
const EXCHANGE_MS: u64 = 2_000;
/// Interval of these comparisons, and after that time for as long as members are learnt of, in
/// milliseconds. The probes of others alone, which a member hears
/// twice a second, left some of 100 without a job store for 1.9 s after a start of all gateways.
const EXCHANGE_INTERVAL_MS: u64 = 100;
/// Share of these comparisons, as one in so many, that goes to another zone: bytes between zones are paid for.
const FAR_EXCHANGE: u64 = 4;

impl Membership {
    /// Compares lists with a member, drawn by chance, soon after a start.
    pub(super) fn exchange(&mut self, now: Timestamp) -> Option<Outgoing> {
        if !self.may_exchange(now) || now < self.next_exchange_at {
            return None;
        }
        self.next_exchange_at = now.plus_millis(EXCHANGE_INTERVAL_MS);
        self.exchanges += 1;
        let is_far = self.exchanges % FAR_EXCHANGE == 0;
        let (near, far) = if is_far { (0, 1) } else { (1, 0) };
        let drawn = self.draw(near, far).pop().or_else(|| self.draw(far, near).pop());
        let to = drawn?;
        self.learnt_of_members = false;
        let buckets = self.bucket_digests();
        Some(self.outgoing(to, DatagramKind::Repair { buckets }))
    }

    /// When `exchange` has something to do.
    pub(super) fn exchange_deadline(&self, now: Timestamp) -> Option<Timestamp> {
        self.may_exchange(now).then_some(self.next_exchange_at)
    }

    fn may_exchange(&self, now: Timestamp) -> bool {
        self.is_within(EXCHANGE_MS, now) || (self.learnt_of_members && self.is_early(now))
    }

    fn is_early(&self, now: Timestamp) -> bool {
        self.is_within(EARLY_MS, now)
    }

    /// Whether this daemon started less than some milliseconds ago.
    fn is_within(&self, time_ms: u64, now: Timestamp) -> bool {
        self.started_at.is_none_or(|at| now.millis_since(at) < time_ms)
    }

    /// Asks a member whose list differs for the parts that differ. News travels a bounded number
    /// of times and may miss somebody; what it misses is mended here.
    pub(super) fn repair(&mut self, now: Timestamp, digest: u64, source: &str) -> Option<Outgoing> {
        if now < self.next_repair_at || digest == self.digest() {
            return None;
        }
        let interval =
            if self.is_early(now) { EARLY_REPAIR_INTERVAL_MS } else { REPAIR_INTERVAL_MS };
        self.next_repair_at = now.plus_millis(interval);
        let buckets = self.bucket_digests();
        Some(self.outgoing(source.to_owned(), DatagramKind::Repair { buckets }))
    }

    /// Every record, this daemon's own included.
    pub(super) fn all_records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(|entry| &entry.record).chain(std::iter::once(&self.me))
    }

    /// Digest of the member list. Equal lists have equal digests.
    pub(super) fn digest(&self) -> u64 {
        self.all_records().map(record_hash).fold(0, u64::wrapping_add)
    }

    fn bucket_digests(&self) -> Vec<u64> {
        let mut digests = vec![0u64; REPAIR_BUCKETS];
        for record in self.all_records() {
            let digest = &mut digests[bucket_of(&record.node)];
            *digest = digest.wrapping_add(record_hash(record));
        }
        digests
    }

    /// The records of the parts that differ from those of another list.
    pub(super) fn differing(&self, buckets: &[u64]) -> Vec<MemberRecord> {
        let own = self.bucket_digests();
        let differs = |node: &NodeName| {
            let bucket = bucket_of(node);
            buckets.get(bucket) != Some(&own[bucket])
        };
        self.all_records().filter(|record| differs(&record.node)).cloned().collect()
    }

    /// A list in as many datagrams as it takes.
    pub(super) fn list(&self, to: &str, records: Vec<MemberRecord>) -> Vec<Outgoing> {
        let empty = self.datagram(DatagramKind::Members, Vec::new());
        let mut parts = Vec::new();
        let mut rest = records.as_slice();
        while !rest.is_empty() {
            let (updates, left) = rest.split_at(fitting(rest.iter()));
            let datagram = Datagram { updates: updates.to_vec(), ..empty.clone() };
            parts.push(Outgoing { to: to.to_owned(), datagram });
            rest = left;
        }
        parts
    }
}
