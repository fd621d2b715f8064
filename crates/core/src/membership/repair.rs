//! Repair of lists that differ: news travels a bounded number of times and may miss somebody, and a member
//! that has just started knows almost nobody.

use rand::seq::{IndexedRandom, SliceRandom};

use super::digest::{bucket_of, REPAIR_BUCKETS};
use super::gossip::fitting;
use super::message::{Datagram, DatagramKind, MemberRecord, Outgoing};
use super::Membership;
use crate::time::Timestamp;

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
/// Records after which an answer to a comparison ends: some 32 datagrams, which a link of 30 Mbit/s takes 10 ms for.
/// A list of 1,000 members comes with three or four answers.
const ANSWERED_RECORDS: usize = 320;
/// Records told to a member that asks who there is. Where a seed told all, it sent 99 MB in the ten seconds after a
/// start of 1,000 members, which takes a link of 30 Mbit/s 26 s.
const FIRST_RECORDS: usize = 40;
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
        // Seeds are those that everybody hears first after a start, and would ask: it is others that are asked then.
        if self.may_exchange(now) && self.seeds.iter().any(|seed| seed == source) {
            return None;
        }
        let interval =
            if self.is_early(now) { EARLY_REPAIR_INTERVAL_MS } else { REPAIR_INTERVAL_MS };
        self.next_repair_at = now.plus_millis(interval);
        let buckets = self.bucket_digests();
        Some(self.outgoing(source.to_owned(), DatagramKind::Repair { buckets }))
    }

    /// Digest of the member list. Equal lists have equal digests.
    pub(super) fn digest(&self) -> u64 {
        self.digests.whole()
    }

    fn bucket_digests(&self) -> Vec<u64> {
        self.digests.buckets().to_vec()
    }

    /// Records of the parts that differ from those of another list, as many whole parts as one answer has room for,
    /// drawn by chance: what has no room comes with the next comparison, from another member.
    pub(super) fn differing(&mut self, buckets: &[u64]) -> Vec<MemberRecord> {
        let own = self.digests.buckets();
        let differs = |bucket: &usize| buckets.get(*bucket) != Some(&own[*bucket]);
        let mut differing: Vec<usize> = (0..REPAIR_BUCKETS).filter(differs).collect();
        differing.shuffle(&mut self.generator);
        let mut parts: Vec<Vec<&MemberRecord>> = vec![Vec::new(); REPAIR_BUCKETS];
        let all = self.members.values().map(|entry| &entry.record).chain([&self.me]);
        all.for_each(|record| parts[bucket_of(&record.node)].push(record));
        let mut records: Vec<MemberRecord> = Vec::new();
        for bucket in differing {
            if records.len() >= ANSWERED_RECORDS {
                break;
            }
            records.extend(parts[bucket].iter().copied().cloned());
        }
        records
    }

    /// Some members, drawn by chance, for one that has just started: it compares its list with theirs, so that the
    /// few that everybody asks first don't tell everybody everything.
    pub(super) fn first_members(&mut self) -> Vec<MemberRecord> {
        let all: Vec<&MemberRecord> =
            self.members.values().map(|entry| &entry.record).chain([&self.me]).collect();
        let mut drawn: Vec<MemberRecord> =
            all.choose_multiple(&mut self.generator, FIRST_RECORDS).copied().cloned().collect();
        if !drawn.iter().any(|record| record.node == self.me.node) {
            drawn.push(self.me.clone());
        }
        drawn
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
