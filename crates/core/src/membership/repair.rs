//! Anti-entropy: repair of member lists that differ. Updates are transmitted a bounded number of
//! times and may miss a member, and a member that has just started knows almost no others.

use rand::seq::{IndexedRandom, SliceRandom};

use super::digest::{bucket_of, REPAIR_BUCKETS};
use super::gossip::fitting_count;
use super::message::{Datagram, DatagramKind, MemberRecord, Outgoing};
use super::Membership;
use crate::time::Timestamp;

/// Minimum interval between two repairs, in milliseconds.
const MIN_REPAIR_INTERVAL_MS: u64 = 2_000;
/// Time after a start during which many members may be starting together, in milliseconds: twice
/// the time 200 members take to discover each other at the regular interval.
const STARTUP_MS: u64 = 8_000;
/// Minimum interval between two repairs in that time, in milliseconds. Each repair about doubles
/// the number of known members, so six suffice for 200; a response is at most some 25 datagrams.
const STARTUP_REPAIR_INTERVAL_MS: u64 = 250;
/// Time after a start during which a member compares its list with others whether or not it
/// discovers members that way, in milliseconds: members that kept running may be known to only one
/// of many that start together.
const STARTUP_EXCHANGE_MS: u64 = 2_000;
/// Interval between these comparisons, and afterwards while members are being discovered, in
/// milliseconds. A member receives only two probes per second; with these alone, some of 100
/// gateways knew no job store for 1.9 s after a restart of all gateways.
const EXCHANGE_INTERVAL_MS: u64 = 100;
/// Number of records after which a response to a comparison ends: some 32 datagrams, for which a
/// link of 30 Mbit/s takes 10 ms. A list of 1,000 members takes three or four responses.
const MAX_RESPONSE_RECORDS: usize = 320;
/// Records sent in response to a join request. When seeds sent the whole list, each sent 99 MB in
/// the ten seconds after a start of 1,000 members, which takes 26 s on a link of 30 Mbit/s.
const JOIN_RESPONSE_RECORDS: usize = 40;
/// One in this many comparisons is made with another zone, because traffic between zones is billed.
const CROSS_ZONE_EXCHANGE_RATIO: u64 = 4;

impl Membership {
    /// Compares lists with a random member soon after a start.
    pub(super) fn exchange(&mut self, now: Timestamp) -> Option<Outgoing> {
        if !self.may_exchange(now) || now < self.next_exchange_at {
            return None;
        }
        self.next_exchange_at = now.plus_millis(EXCHANGE_INTERVAL_MS);
        self.exchange_count += 1;
        let is_cross_zone = self.exchange_count % CROSS_ZONE_EXCHANGE_RATIO == 0;
        let (same_zone_count, other_zone_count) = if is_cross_zone { (0, 1) } else { (1, 0) };
        let chosen = self
            .choose_members(same_zone_count, other_zone_count)
            .pop()
            .or_else(|| self.choose_members(other_zone_count, same_zone_count).pop());
        let to = chosen?;
        self.discovered_members = false;
        let buckets = self.bucket_digests();
        Some(self.outgoing(to, DatagramKind::Repair { buckets }))
    }

    pub(super) fn exchange_deadline(&self, now: Timestamp) -> Option<Timestamp> {
        self.may_exchange(now).then_some(self.next_exchange_at)
    }

    fn may_exchange(&self, now: Timestamp) -> bool {
        self.is_within(STARTUP_EXCHANGE_MS, now)
            || (self.discovered_members && self.is_starting(now))
    }

    fn is_starting(&self, now: Timestamp) -> bool {
        self.is_within(STARTUP_MS, now)
    }

    /// Whether this member started less than `time_ms` milliseconds ago.
    fn is_within(&self, time_ms: u64, now: Timestamp) -> bool {
        self.started_at.is_none_or(|at| now.millis_since(at) < time_ms)
    }

    /// Requests the differing buckets from a member whose list differs.
    pub(super) fn repair(&mut self, now: Timestamp, digest: u64, source: &str) -> Option<Outgoing> {
        if now < self.next_repair_at || digest == self.digest() {
            return None;
        }
        // Soon after a start, the first datagrams that every member receives are from the seeds. To
        // spread the load, repairs are requested from other members during that time.
        if self.may_exchange(now) && self.seeds.iter().any(|seed| seed == source) {
            return None;
        }
        let interval =
            if self.is_starting(now) { STARTUP_REPAIR_INTERVAL_MS } else { MIN_REPAIR_INTERVAL_MS };
        self.next_repair_at = now.plus_millis(interval);
        let buckets = self.bucket_digests();
        Some(self.outgoing(source.to_owned(), DatagramKind::Repair { buckets }))
    }

    pub(super) fn digest(&self) -> u64 {
        self.digests.whole()
    }

    fn bucket_digests(&self) -> Vec<u64> {
        self.digests.buckets().to_vec()
    }

    /// Returns the records of the buckets that differ from those of another list, in random order
    /// and as many whole buckets as one response may contain. The rest follows with the next
    /// comparison, from another member.
    pub(super) fn differing_records(&mut self, buckets: &[u64]) -> Vec<MemberRecord> {
        let own = self.digests.buckets();
        let differs = |bucket: &usize| buckets.get(*bucket) != Some(&own[*bucket]);
        let mut differing: Vec<usize> = (0..REPAIR_BUCKETS).filter(differs).collect();
        differing.shuffle(&mut self.rng);
        let mut parts: Vec<Vec<&MemberRecord>> = vec![Vec::new(); REPAIR_BUCKETS];
        let all = self.members.values().map(|entry| &entry.record).chain([&self.own_record]);
        all.for_each(|record| parts[bucket_of(&record.node)].push(record));
        let mut records: Vec<MemberRecord> = Vec::new();
        for bucket in differing {
            if records.len() >= MAX_RESPONSE_RECORDS {
                break;
            }
            records.extend(parts[bucket].iter().copied().cloned());
        }
        records
    }

    /// Returns random members for one that has just started. It then compares its list with theirs,
    /// so that the seeds need not send the whole list to every member.
    pub(super) fn join_sample(&mut self) -> Vec<MemberRecord> {
        let all: Vec<&MemberRecord> =
            self.members.values().map(|entry| &entry.record).chain([&self.own_record]).collect();
        let mut chosen: Vec<MemberRecord> =
            all.choose_multiple(&mut self.rng, JOIN_RESPONSE_RECORDS).copied().cloned().collect();
        if !chosen.iter().any(|record| record.node == self.own_record.node) {
            chosen.push(self.own_record.clone());
        }
        chosen
    }

    pub(super) fn split_into_datagrams(
        &self,
        to: &str,
        records: Vec<MemberRecord>,
    ) -> Vec<Outgoing> {
        let empty = self.datagram(DatagramKind::Members, Vec::new());
        let mut parts = Vec::new();
        let mut rest = records.as_slice();
        while !rest.is_empty() {
            let (updates, left) = rest.split_at(fitting_count(rest.iter()));
            let datagram = Datagram { updates: updates.to_vec(), ..empty.clone() };
            parts.push(Outgoing { to: to.to_owned(), datagram });
            rest = left;
        }
        parts
    }
}
