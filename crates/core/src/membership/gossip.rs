//! News on its way to others: what this daemon has learnt and does not know to be known by all.
//!
//! Each probe and each answer carries some of it. That is too slow where a zone is lost or starts again, as a
//! hundred pieces wait for each other, and where a suspect has to be heard before its time is over. So what is
//! new goes out between probes as well, in datagrams that carry nothing else; what such datagrams miss,
//! probes carry.

use std::collections::{BTreeMap, HashMap};

use rand::seq::IndexedRandom;
use yokefall_types::NodeName;

use super::message::{DatagramKind, MemberRecord, MemberState, Outgoing};
use super::{Entry, Membership};
use crate::time::Timestamp;

/// Bytes of records in one datagram, so that it fits one packet of an Ethernet network (1,472 bytes) with
/// some 60 bytes of its own fields, the record of its sender, and 260 bytes of digests in a repair.
const RECORD_BYTES_PER_DATAGRAM: usize = 1_000;
/// Bytes of a record beside its texts: four lengths, the incarnation, the state and two flags.
const RECORD_FIELD_BYTES: usize = 27;
/// Interval between datagrams of news while there is something new, in milliseconds. With three members told
/// each time, a hundred losses are known to 300 members a second after they were found; with probes alone
/// it took 5 s.
const GOSSIP_INTERVAL_MS: u64 = 100;
/// Transmissions for which a piece is new: if each member tells six, one in 400 hears of it from nobody.
const GOSSIPED_TRANSMISSIONS: u32 = 6;
/// Members of the own zone, and of others, told each time. Bytes between zones are paid for.
const GOSSIP_NEAR: usize = 2;
const GOSSIP_FAR: usize = 1;

/// A piece of news.
#[derive(Debug)]
struct Piece {
    record: MemberRecord,
    /// Transmissions after which it is dropped.
    most: u32,
}

/// Place of a piece in the queue: transmissions so far, and then the order in which pieces came.
type Place = (u32, u64);

/// News that is still to be told. A piece costs the same however many wait: after a start of all there is one of
/// each member.
#[derive(Debug, Default)]
pub(super) struct NewsQueue {
    pieces: BTreeMap<Place, Piece>,
    places: HashMap<NodeName, Place>,
    pushed: u64,
}

impl NewsQueue {
    /// Queues a piece for as many transmissions as reach a whole fleet with high probability. It takes
    /// the place of older news of the same member.
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

    /// What goes with the next datagram: the least transmitted first.
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

    /// Whether something is so new that it does not wait for probes.
    fn has_new(&self) -> bool {
        self.pieces.first_key_value().is_some_and(|((sent, _), _)| *sent < GOSSIPED_TRANSMISSIONS)
    }
}

/// How many of some records, from the first on, fit one datagram; one at least.
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
    /// Queues what was learnt of a member.
    pub(super) fn spread(&mut self, record: MemberRecord) {
        self.news.push(record, self.members.len());
    }

    /// Datagrams of news to a few members, drawn by chance, while there is something new.
    pub(super) fn gossip(&mut self, now: Timestamp) -> Vec<Outgoing> {
        if now < self.next_gossip_at || !self.news.has_new() {
            return Vec::new();
        }
        self.next_gossip_at = now.plus_millis(GOSSIP_INTERVAL_MS);
        let drawn = self.draw(GOSSIP_NEAR, GOSSIP_FAR);
        drawn.into_iter().map(|to| self.outgoing(to, DatagramKind::News)).collect()
    }

    /// When `gossip` has something to do.
    pub(super) fn gossip_deadline(&self) -> Option<Timestamp> {
        self.news.has_new().then_some(self.next_gossip_at)
    }

    /// Addresses of a few members, drawn by chance: `near` of the own zone and `far` of the others.
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
