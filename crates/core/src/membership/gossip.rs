//! Dissemination of member updates.
//!
//! Updates are piggybacked on probes and acknowledgements. That alone is too slow if a zone fails
//! or restarts, because a hundred updates then compete for space, and a suspect has to learn of the
//! suspicion before its timeout. New updates are therefore also sent between probes, in dedicated
//! datagrams; members that these miss are reached by the probes.

use std::collections::{BTreeMap, HashMap};

use rand::seq::IndexedRandom;
use yokefall_types::NodeName;

use super::message::{DatagramKind, MemberRecord, MemberState, Outgoing};
use super::{Entry, Membership};
use crate::time::Timestamp;

/// Maximum size of the records in one datagram, in bytes, so that it fits into one packet of an
/// Ethernet network (1,472 bytes) along with some 60 bytes of other fields, the sender's record,
/// and 260 bytes of digests in a repair.
const MAX_RECORD_BYTES_PER_DATAGRAM: usize = 1_000;
/// Size of a record without strings, in bytes: four lengths, incarnation, state and two flags.
const RECORD_FIELD_BYTES: usize = 27;
/// Interval between gossip datagrams while there are new updates, in milliseconds. With three
/// members notified each time, a hundred failures are known to 300 members one second after their
/// detection; with probes alone it took 5 s.
const GOSSIP_INTERVAL_MS: u64 = 100;
/// Number of transmissions for which an update counts as new. If each member forwards it to six
/// others, one member in 400 is not reached.
const MAX_EAGER_TRANSMISSIONS: u32 = 6;
/// Members of the own zone and of other zones notified each time. Traffic between zones is billed.
const GOSSIP_SAME_ZONE_FANOUT: usize = 2;
const GOSSIP_OTHER_ZONE_FANOUT: usize = 1;

#[derive(Debug)]
struct QueuedUpdate {
    record: MemberRecord,
    max_transmissions: u32,
}

/// Position of an update in the queue: number of transmissions, then order of arrival.
type Position = (u32, u64);

/// Updates still to be transmitted. The cost per update does not depend on the length of the queue:
/// after a simultaneous start of all members there is one update for each.
#[derive(Debug, Default)]
pub(super) struct UpdateQueue {
    queue: BTreeMap<Position, QueuedUpdate>,
    positions: HashMap<NodeName, Position>,
    pushed: u64,
}

impl UpdateQueue {
    /// Queues an update for as many transmissions as reach the whole fleet with high probability.
    /// It replaces an older update of the same member.
    pub(super) fn push(&mut self, record: MemberRecord, members: usize) {
        let members = members as u32 + 2;
        let max_transmissions = 3 * (32 - members.leading_zeros()) + 2;
        if let Some(older) = self.positions.remove(&record.node) {
            self.queue.remove(&older);
        }
        self.pushed += 1;
        self.put((0, self.pushed), QueuedUpdate { record, max_transmissions });
    }

    fn put(&mut self, position: Position, update: QueuedUpdate) {
        self.positions.insert(update.record.node.clone(), position);
        self.queue.insert(position, update);
    }

    /// Returns the updates for the next datagram, least transmitted first.
    pub(super) fn next(&mut self) -> Vec<MemberRecord> {
        let fitting_count = fitting_count(self.queue.values().map(|update| &update.record));
        let mut taken = Vec::with_capacity(fitting_count);
        while taken.len() < fitting_count {
            let Some(update) = self.queue.pop_first() else { break };
            taken.push(update);
        }
        let updates = taken.iter().map(|(_, update)| update.record.clone()).collect();
        for ((sent, order), update) in taken {
            if sent + 1 < update.max_transmissions {
                self.put((sent + 1, order), update);
            } else {
                self.positions.remove(&update.record.node);
            }
        }
        updates
    }

    /// Whether there are updates too new to wait for probes.
    fn has_new(&self) -> bool {
        self.queue.first_key_value().is_some_and(|((sent, _), _)| *sent < MAX_EAGER_TRANSMISSIONS)
    }
}

/// Number of records, from the first on, that fit into one datagram; at least one.
pub(super) fn fitting_count<'a>(records: impl Iterator<Item = &'a MemberRecord>) -> usize {
    let size = |record: &MemberRecord| {
        let texts = [record.node.as_str(), &record.address, &record.zone, &record.region];
        RECORD_FIELD_BYTES + texts.iter().map(|text| text.len()).sum::<usize>()
    };
    let sizes = records.scan(0, |sum, record| {
        *sum += size(record);
        Some(*sum)
    });
    sizes.take_while(|sum| *sum <= MAX_RECORD_BYTES_PER_DATAGRAM).count().max(1)
}

impl Membership {
    pub(super) fn queue_update(&mut self, record: MemberRecord) {
        self.updates.push(record, self.members.len());
    }

    /// Returns gossip datagrams for a few random members while there are new updates.
    pub(super) fn gossip(&mut self, now: Timestamp) -> Vec<Outgoing> {
        if now < self.next_gossip_at || !self.updates.has_new() {
            return Vec::new();
        }
        self.next_gossip_at = now.plus_millis(GOSSIP_INTERVAL_MS);
        let chosen = self.choose_members(GOSSIP_SAME_ZONE_FANOUT, GOSSIP_OTHER_ZONE_FANOUT);
        chosen.into_iter().map(|to| self.outgoing(to, DatagramKind::Gossip)).collect()
    }

    pub(super) fn gossip_deadline(&self) -> Option<Timestamp> {
        self.updates.has_new().then_some(self.next_gossip_at)
    }

    /// Returns addresses of random members, given their number in the own and in other zones.
    pub(super) fn choose_members(
        &mut self,
        same_zone_count: usize,
        other_zone_count: usize,
    ) -> Vec<String> {
        let is_in_own_zone = |entry: &&Entry| entry.record.zone == self.own_record.zone;
        let (same_zone, other_zones): (Vec<&Entry>, Vec<&Entry>) = {
            let live =
                self.members.values().filter(|entry| entry.record.state != MemberState::Dead);
            live.partition(is_in_own_zone)
        };
        let mut chosen: Vec<&Entry> =
            same_zone.choose_multiple(&mut self.rng, same_zone_count).copied().collect();
        chosen.extend(other_zones.choose_multiple(&mut self.rng, other_zone_count).copied());
        chosen.into_iter().map(|entry| entry.record.address.clone()).collect()
    }
}
