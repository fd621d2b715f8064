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
const RECORD_BYTES_PER_DATAGRAM: usize = 1_000;
/// Size of a record without its strings, in bytes: four lengths, the incarnation, the state and two
/// flags.
const RECORD_FIELD_BYTES: usize = 27;
/// Interval between gossip datagrams while there are new updates, in milliseconds. With three
/// members notified each time, a hundred failures are known to 300 members one second after their
/// detection; with probes alone it took 5 s.
const GOSSIP_INTERVAL_MS: u64 = 100;
/// Number of transmissions for which an update counts as new. If each member forwards it to six
/// others, one member in 400 is not reached.
const GOSSIPED_TRANSMISSIONS: u32 = 6;
/// Members of the own zone and of other zones notified each time. Traffic between zones is billed.
const GOSSIP_NEAR: usize = 2;
const GOSSIP_FAR: usize = 1;

/// A queued update.
#[derive(Debug)]
struct Piece {
    record: MemberRecord,
    /// Number of transmissions after which it is dropped.
    most: u32,
}

/// Position of an update in the queue: number of transmissions, then order of arrival.
type Place = (u32, u64);

/// Updates still to be transmitted. The cost per update does not depend on the length of the queue:
/// after a simultaneous start of all members there is one update for each.
#[derive(Debug, Default)]
pub(super) struct NewsQueue {
    pieces: BTreeMap<Place, Piece>,
    places: HashMap<NodeName, Place>,
    pushed: u64,
}

impl NewsQueue {
    /// Queues an update for as many transmissions as reach the whole fleet with high probability.
    /// It replaces an older update of the same member.
    pub(super) fn push(&mut self, record: MemberRecord, members: usize) {
        let members = members as u32 + 2;
        let most = 3 * (32 - members.leading_zeros()) + 2;
        if let Some(older) = self.places.remove(&record.node) {
            self.pieces.remove(&older);
        }
        self.pushed += 1;
        self.put((0, self.pushed), Piece { record, most });
    }

    fn put(&mut self, place: Place, piece: Piece) {
        self.places.insert(piece.record.node.clone(), place);
        self.pieces.insert(place, piece);
    }

    /// Returns the updates for the next datagram, least transmitted first.
    pub(super) fn next(&mut self) -> Vec<MemberRecord> {
        let fitting = fitting(self.pieces.values().map(|piece| &piece.record));
        let mut taken = Vec::with_capacity(fitting);
        while taken.len() < fitting {
            let Some(piece) = self.pieces.pop_first() else { break };
            taken.push(piece);
        }
        let updates = taken.iter().map(|(_, piece)| piece.record.clone()).collect();
        for ((sent, order), piece) in taken {
            if sent + 1 < piece.most {
                self.put((sent + 1, order), piece);
            } else {
                self.places.remove(&piece.record.node);
            }
        }
        updates
    }

    /// Whether there are updates too new to wait for probes.
    fn has_new(&self) -> bool {
        self.pieces.first_key_value().is_some_and(|((sent, _), _)| *sent < GOSSIPED_TRANSMISSIONS)
    }
}

/// Number of records, from the first on, that fit into one datagram; at least one.
pub(super) fn fitting<'a>(records: impl Iterator<Item = &'a MemberRecord>) -> usize {
    let size = |record: &MemberRecord| {
        let texts = [record.node.as_str(), &record.address, &record.zone, &record.region];
        RECORD_FIELD_BYTES + texts.iter().map(|text| text.len()).sum::<usize>()
    };
    let sizes = records.scan(0, |sum, record| {
        *sum += size(record);
        Some(*sum)
    });
    sizes.take_while(|sum| *sum <= RECORD_BYTES_PER_DATAGRAM).count().max(1)
}

impl Membership {
    /// Queues an update of a member.
    pub(super) fn spread(&mut self, record: MemberRecord) {
        self.news.push(record, self.members.len());
    }

    /// Returns gossip datagrams for a few random members while there are new updates.
    pub(super) fn gossip(&mut self, now: Timestamp) -> Vec<Outgoing> {
        if now < self.next_gossip_at || !self.news.has_new() {
            return Vec::new();
        }
        self.next_gossip_at = now.plus_millis(GOSSIP_INTERVAL_MS);
        let drawn = self.draw(GOSSIP_NEAR, GOSSIP_FAR);
        drawn.into_iter().map(|to| self.outgoing(to, DatagramKind::News)).collect()
    }

    /// Returns when `gossip` should be called next.
    pub(super) fn gossip_deadline(&self) -> Option<Timestamp> {
        self.news.has_new().then_some(self.next_gossip_at)
    }

    /// Returns the addresses of random members: `near` of the own zone and `far` of other zones.
    pub(super) fn draw(&mut self, near: usize, far: usize) -> Vec<String> {
        let is_near = |entry: &&Entry| entry.record.zone == self.me.zone;
        let (near_by, others): (Vec<&Entry>, Vec<&Entry>) = {
            let live =
                self.members.values().filter(|entry| entry.record.state != MemberState::Dead);
            live.partition(is_near)
        };
        let mut drawn: Vec<&Entry> =
            near_by.choose_multiple(&mut self.generator, near).copied().collect();
        drawn.extend(others.choose_multiple(&mut self.generator, far).copied());
        drawn.into_iter().map(|entry| entry.record.address.clone()).collect()
    }
}
