//! Failure detection and dissemination of membership, at a constant cost per member.
//!
//! A member probes one other member per interval, asks others to probe it if it does not answer,
//! then suspects it, and declares it dead unless it refutes the suspicion with a higher
//! incarnation. Updates are piggybacked on the probes (the SWIM protocol, Das, Gupta and Motivala,
//! 2002).

mod digest;
mod gossip;
mod message;
mod probes;
mod repair;

use std::collections::BTreeMap;

use rand::rngs::SmallRng;
use rand::SeedableRng;
use yokefall_peer::MemberInfo;
use yokefall_types::NodeName;

use self::digest::ListDigests;
use self::gossip::UpdateQueue;
pub use self::message::{
    Datagram, DatagramKind, MemberRecord, MemberState, ObjectDigest, Outgoing, StateAges,
};
use self::probes::{Probe, Relay};
use crate::time::Timestamp;

/// Interval between two probes by one member, in milliseconds.
pub const PROBE_INTERVAL_MS: u64 = 500;
/// Time for which a suspect may refute the suspicion, in milliseconds.
const SUSPICION_TIMEOUT_MS: u64 = 2_500;
/// Time for which dead members are retained, in milliseconds.
const TOMBSTONE_RETENTION_MS: u64 = 600_000;
/// Interval between join requests to the seeds while no member is known, in milliseconds.
const JOIN_INTERVAL_MS: u64 = 500;
/// Interval between join requests to a seed that is not a live member, in milliseconds.
const SEED_INTERVAL_MS: u64 = 5_000;
/// Interval at which suspicions and tombstones are checked, in milliseconds. Each check visits all
/// members; the interval is a fiftieth of the time for which suspicions last.
const EXPIRY_INTERVAL_MS: u64 = 50;

#[derive(Clone, Debug)]
struct Entry {
    record: MemberRecord,
    updated_at: Timestamp,
    configuration_version: u64,
}

/// The member list of one process.
///
/// Invariant: a record replaces another only with a higher incarnation, or with a more severe
/// state at the same incarnation; only the member itself raises its incarnation. Otherwise
/// outdated updates could revive dead members.
#[derive(Debug)]
pub struct Membership {
    own_record: MemberRecord,
    seeds: Vec<String>,
    members: BTreeMap<NodeName, Entry>,
    /// Digests of `members` and `own_record`. Invariant: updated with each change of a record.
    digests: ListDigests,
    next_expiry_at: Timestamp,
    updates: UpdateQueue,
    next_gossip_at: Timestamp,
    /// Members still to be probed in the current round.
    probe_order: Vec<NodeName>,
    probes: Vec<Probe>,
    relays: Vec<Relay>,
    next_sequence: u64,
    next_probe_at: Timestamp,
    next_join_at: Timestamp,
    next_repair_at: Timestamp,
    next_exchange_at: Timestamp,
    exchange_count: u64,
    /// Whether members have been discovered since the last comparison of lists.
    discovered_members: bool,
    /// Time of the first call of `tick`.
    started_at: Option<Timestamp>,
    configuration_version: u64,
    backends: ObjectDigest,
    evacuations: ObjectDigest,
    ages: StateAges,
    exchange_port: u16,
    rng: SmallRng,
    changed: bool,
}

impl Membership {
    /// Creates a member list that contains only this member and its seeds.
    pub fn new(own_record: MemberRecord, seeds: Vec<String>, seed: u64) -> Self {
        let mut membership = Self {
            seeds: seeds.into_iter().filter(|address| *address != own_record.address).collect(),
            own_record,
            members: BTreeMap::new(),
            digests: ListDigests::default(),
            next_expiry_at: Timestamp(0),
            updates: UpdateQueue::default(),
            next_gossip_at: Timestamp(0),
            probe_order: Vec::new(),
            probes: Vec::new(),
            relays: Vec::new(),
            next_sequence: 0,
            next_probe_at: Timestamp(0),
            next_join_at: Timestamp(0),
            next_repair_at: Timestamp(0),
            next_exchange_at: Timestamp(0),
            exchange_count: 0,
            discovered_members: false,
            started_at: None,
            configuration_version: 0,
            backends: ObjectDigest::default(),
            evacuations: ObjectDigest::default(),
            ages: StateAges::default(),
            exchange_port: 0,
            rng: SmallRng::seed_from_u64(seed),
            changed: true,
        };
        membership.digests.add(&membership.own_record);
        let own_record = membership.own_record.clone();
        membership.queue_update(own_record);
        membership
    }

    /// Replaces the seeds; known members stay.
    pub fn set_seeds(&mut self, seeds: Vec<String>) {
        self.seeds =
            seeds.into_iter().filter(|address| *address != self.own_record.address).collect();
        self.next_join_at = Timestamp(0);
    }

    /// Sets the configuration version in force here.
    pub fn set_configuration_version(&mut self, version: u64) {
        self.configuration_version = version;
    }

    /// Sets the digest of the back ends known here.
    pub fn set_backends(&mut self, known: ObjectDigest) {
        self.backends = known;
    }

    /// Sets the digest of the evacuated zones known here.
    pub fn set_evacuations(&mut self, known: ObjectDigest) {
        self.evacuations = known;
    }

    /// Sets the age of the local state of the platform's objects.
    pub fn set_state_ages(&mut self, ages: StateAges) {
        self.ages = ages;
    }

    /// Time since the probe acknowledged by a datagram was sent, in milliseconds, otherwise `None`.
    /// The sender answered later: its state is older than reported by at most this much.
    pub fn probe_age_ms(&self, now: Timestamp, datagram: &Datagram) -> Option<u64> {
        let is_answered = |probe: &&Probe| {
            datagram.kind == DatagramKind::Ack { sequence: probe.sequence }
                && datagram.from == probe.target
        };
        let probe = self.probes.iter().find(is_answered)?;
        Some(now.millis_since(probe.sent_at))
    }

    /// Sets the TCP port at which peers can fetch the local state.
    pub fn set_exchange_port(&mut self, port: u16) {
        self.exchange_port = port;
    }

    /// Whether the list of usable members changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Whether a member is known to be in the own zone.
    pub fn is_in_own_zone(&self, node: &NodeName) -> bool {
        self.members.get(node).is_some_and(|entry| entry.record.zone == self.own_record.zone)
    }

    /// Whether `take_changed` would return true.
    pub fn has_changed(&self) -> bool {
        self.changed
    }

    /// Announces that this member is shutting down or gone.
    pub fn announce(&mut self, state: MemberState) {
        self.changed = true;
        self.change_own_record(self.own_record.incarnation + 1, state);
    }

    fn change_own_record(&mut self, incarnation: u64, state: MemberState) {
        self.digests.remove(&self.own_record);
        self.own_record.incarnation = incarnation;
        self.own_record.state = state;
        self.digests.add(&self.own_record);
        let own_record = self.own_record.clone();
        self.queue_update(own_record);
    }

    /// Returns datagrams that announce the own state to every member.
    pub fn announce_to_all(&mut self) -> Vec<Outgoing> {
        let addresses: Vec<String> =
            self.live().map(|entry| entry.record.address.clone()).collect();
        addresses.into_iter().map(|to| self.outgoing(to, DatagramKind::Members)).collect()
    }

    /// Returns datagrams that announce the local state to a few random members, given their number
    /// in the own zone, where traffic is not billed, and in other zones.
    pub fn gossip_to_sample(
        &mut self,
        same_zone_count: usize,
        other_zone_count: usize,
    ) -> Vec<Outgoing> {
        let chosen = self.choose_members(same_zone_count, other_zone_count);
        chosen.into_iter().map(|to| self.outgoing(to, DatagramKind::Members)).collect()
    }

    /// Datagrams that broadcast a message to every member, without updates so as to fit one packet.
    pub fn notify_all(&self, content: &[u8]) -> Vec<Outgoing> {
        let kind = DatagramKind::Notice { content: content.to_vec() };
        let datagram = self.datagram(kind, Vec::new());
        let notice = |entry: &Entry| Outgoing {
            to: entry.record.address.clone(),
            datagram: datagram.clone(),
        };
        self.live().map(notice).collect()
    }

    /// Returns datagrams that tell the named members that this one watches the platform's store.
    pub fn announce_watching(&mut self, names: &[String]) -> Vec<Outgoing> {
        let named = |entry: &&Entry| names.iter().any(|name| name == entry.record.node.as_str());
        let addresses: Vec<String> =
            self.live().filter(named).map(|entry| entry.record.address.clone()).collect();
        addresses.into_iter().map(|to| self.outgoing(to, DatagramKind::Watching)).collect()
    }

    fn live(&self) -> impl Iterator<Item = &Entry> {
        self.members.values().filter(|entry| entry.record.state != MemberState::Dead)
    }

    /// Returns the members that are not dead, including this one, ordered by name.
    pub fn members(&self) -> Vec<MemberInfo> {
        let mut members: Vec<MemberInfo> = self.live().map(|e| member_info(&e.record)).collect();
        members.push(member_info(&self.own_record));
        members.sort_by(|left, right| left.node.cmp(&right.node));
        members
    }

    /// Returns every member with its state and configuration version, including this one.
    pub fn records(&self) -> Vec<(MemberRecord, u64)> {
        let mut all: Vec<(MemberRecord, u64)> = self
            .members
            .values()
            .map(|entry| (entry.record.clone(), entry.configuration_version))
            .collect();
        all.push((self.own_record.clone(), self.configuration_version));
        all.sort_by(|left, right| left.0.node.cmp(&right.0.node));
        all
    }

    /// Advances time: probes, suspicions and tombstones.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Outgoing> {
        self.started_at.get_or_insert(now);
        let mut outgoing = self.join(now);
        outgoing.extend(self.probe(now));
        outgoing.extend(self.exchange(now));
        outgoing.extend(self.gossip(now));
        self.expire(now);
        outgoing
    }

    /// When `tick` should be called next. Suspicions and tombstones are checked along with probes.
    pub fn next_deadline(&self, now: Timestamp) -> Timestamp {
        let others = [self.gossip_deadline(), self.exchange_deadline(now)];
        let regular = self.probe_deadline().min(self.next_join_at);
        others.into_iter().flatten().fold(regular, Timestamp::min)
    }

    /// Contacts seeds that are not live members, so that the sides of a partition merge again.
    fn join(&mut self, now: Timestamp) -> Vec<Outgoing> {
        if self.next_join_at > now {
            return Vec::new();
        }
        let is_alone = self.live().next().is_none();
        let interval = if is_alone { JOIN_INTERVAL_MS } else { SEED_INTERVAL_MS };
        self.next_join_at = now.plus_millis(interval);
        let known: Vec<String> = self.live().map(|e| e.record.address.clone()).collect();
        let missing: Vec<String> =
            self.seeds.iter().filter(|seed| !known.contains(seed)).cloned().collect();
        missing.into_iter().map(|to| self.outgoing(to, DatagramKind::Join)).collect()
    }

    fn expire(&mut self, now: Timestamp) {
        if now < self.next_expiry_at {
            return;
        }
        self.next_expiry_at = now.plus_millis(EXPIRY_INTERVAL_MS);
        let expired = |entry: &&Entry| {
            entry.record.state == MemberState::Suspect
                && now.millis_since(entry.updated_at) >= SUSPICION_TIMEOUT_MS
        };
        let dead: Vec<MemberRecord> =
            self.members.values().filter(expired).map(|e| e.record.clone()).collect();
        for mut record in dead {
            record.state = MemberState::Dead;
            self.merge(now, record, true);
        }
        let digests = &mut self.digests;
        self.members.retain(|_, entry| {
            let stays = entry.record.state != MemberState::Dead
                || now.millis_since(entry.updated_at) < TOMBSTONE_RETENTION_MS;
            if !stays {
                digests.remove(&entry.record);
            }
            stays
        });
    }

    /// Processes a datagram.
    pub fn receive(&mut self, now: Timestamp, datagram: Datagram, source: &str) -> Vec<Outgoing> {
        // Lists are sent only on request of this member; other members have their content already.
        let is_update = datagram.kind != DatagramKind::Members;
        for record in datagram.updates {
            self.merge(now, record, is_update);
        }
        if let Some(entry) = self.members.get_mut(&datagram.from) {
            entry.configuration_version =
                entry.configuration_version.max(datagram.configuration_version);
        }
        let mut outgoing = self.answer(now, datagram.kind, source);
        outgoing.extend(self.repair(now, datagram.digest, source));
        outgoing
    }

    fn answer(&mut self, now: Timestamp, kind: DatagramKind, source: &str) -> Vec<Outgoing> {
        match kind {
            DatagramKind::Join => {
                let members = self.join_sample();
                self.split_into_datagrams(source, members)
            }
            DatagramKind::Repair { buckets } => {
                let members = self.differing_records(&buckets);
                self.split_into_datagrams(source, members)
            }
            DatagramKind::Members
            | DatagramKind::Gossip
            | DatagramKind::Watching
            | DatagramKind::Notice { .. } => Vec::new(),
            DatagramKind::Ping { sequence } => {
                vec![self.outgoing(source.to_owned(), DatagramKind::Ack { sequence })]
            }
            DatagramKind::Ack { sequence } => self.acknowledged(sequence),
            DatagramKind::PingRequest { sequence, target } => {
                self.relay(now, source, sequence, &target).into_iter().collect()
            }
        }
    }

    fn datagram(&self, kind: DatagramKind, updates: Vec<MemberRecord>) -> Datagram {
        Datagram {
            from: self.own_record.node.clone(),
            configuration_version: self.configuration_version,
            backends: self.backends,
            evacuations: self.evacuations,
            ages: self.ages,
            exchange_port: self.exchange_port,
            digest: self.digest(),
            kind,
            updates,
        }
    }

    /// Merges a record of a member, and forwards it if it is an update.
    fn merge(&mut self, now: Timestamp, record: MemberRecord, is_update: bool) {
        if record.node == self.own_record.node {
            self.refute(&record);
            return;
        }
        let newer = match self.members.get(&record.node) {
            None => true,
            Some(held) => {
                (record.incarnation, record.state) > (held.record.incarnation, held.record.state)
            }
        };
        if !newer {
            return;
        }
        let held = self.members.get(&record.node);
        self.changed |=
            held.map(|entry| visible_state(&entry.record)) != Some(visible_state(&record));
        let configuration_version = held.map_or(0, |entry| entry.configuration_version);
        let entry = Entry { record: record.clone(), updated_at: now, configuration_version };
        self.digests.add(&record);
        match self.members.insert(record.node.clone(), entry) {
            Some(before) => self.digests.remove(&before.record),
            None => self.discovered_members = true,
        }
        if is_update {
            self.queue_update(record);
        }
    }

    /// A wrong record of this member is refuted with a higher incarnation.
    fn refute(&mut self, record: &MemberRecord) {
        let wrong = record.incarnation >= self.own_record.incarnation && *record != self.own_record;
        if wrong {
            self.change_own_record(record.incarnation + 1, self.own_record.state);
        }
    }

    fn outgoing(&mut self, to: String, kind: DatagramKind) -> Outgoing {
        let mut updates = self.updates.next();
        if matches!(kind, DatagramKind::Join | DatagramKind::Members)
            && !updates.iter().any(|record| record.node == self.own_record.node)
        {
            updates.push(self.own_record.clone());
        }
        Outgoing { to, datagram: self.datagram(kind, updates) }
    }
}

fn member_info(record: &MemberRecord) -> MemberInfo {
    MemberInfo {
        node: record.node.clone(),
        incarnation: record.incarnation,
        address: record.address.clone(),
        zone: record.zone.clone(),
        region: record.region.clone(),
        data: record.data,
        accepting: matches!(record.state, MemberState::Alive | MemberState::Suspect),
    }
}

/// The part of a record that is visible to the application; `None` if the member is dead.
fn visible_state(record: &MemberRecord) -> Option<(MemberInfo, MemberState)> {
    (record.state != MemberState::Dead).then(|| (member_info(record), record.state))
}
