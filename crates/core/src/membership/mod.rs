//! Membership: which daemons live, by probes at a cost that does not grow with the fleet.
//!
//! A daemon probes one member an interval, asks others to probe it when it does not answer, then
//! suspects it, and declares it dead unless it refutes with a higher incarnation. News travels on
//! the probes themselves (the SWIM scheme, Das, Gupta and Motivala, 2002).

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
use self::gossip::NewsQueue;
pub use self::message::{
    Datagram, DatagramKind, MemberRecord, MemberState, ObjectDigest, Outgoing, StateAges,
};
use self::probes::{Probe, Relay};
use crate::time::Timestamp;

/// Interval between two probes of one daemon, in milliseconds.
pub const PROBE_INTERVAL_MS: u64 = 500;
/// Time for which a suspect may refute, in milliseconds.
const SUSPICION_MS: u64 = 2_500;
/// Time for which the dead are remembered, in milliseconds.
const TOMBSTONE_MS: u64 = 600_000;
/// Interval between calls to the seeds while no member is known, in milliseconds.
const JOIN_INTERVAL_MS: u64 = 500;
/// Interval between calls to a seed that is not a live member, in milliseconds.
const SEED_INTERVAL_MS: u64 = 5_000;
/// Interval at which suspicions and tombstones are looked at, in milliseconds: a hundredth of the time that they
/// last, and each look is at all members.
const EXPIRY_INTERVAL_MS: u64 = 50;

#[derive(Clone, Debug)]
struct Entry {
    record: MemberRecord,
    since: Timestamp,
    configuration_version: u64,
}

/// The member list of one daemon.
///
/// Invariant: a record replaces another only with a higher incarnation, or with a graver state at
/// the same one; only the member itself raises its incarnation. Otherwise old news could bring the
/// dead back.
#[derive(Debug)]
pub struct Membership {
    me: MemberRecord,
    seeds: Vec<String>,
    members: BTreeMap<NodeName, Entry>,
    /// Digests of `members` and `me`. Invariant: each change of a record goes through them.
    digests: ListDigests,
    next_expiry_at: Timestamp,
    news: NewsQueue,
    next_gossip_at: Timestamp,
    order: Vec<NodeName>,
    probes: Vec<Probe>,
    relays: Vec<Relay>,
    next_sequence: u64,
    next_probe_at: Timestamp,
    next_join_at: Timestamp,
    next_repair_at: Timestamp,
    next_exchange_at: Timestamp,
    exchanges: u64,
    /// Whether this daemon has learnt of members since it compared its list with another one's.
    learnt_of_members: bool,
    /// When this daemon first acted.
    started_at: Option<Timestamp>,
    configuration_version: u64,
    backends: ObjectDigest,
    evacuations: ObjectDigest,
    ages: StateAges,
    news_port: u16,
    generator: SmallRng,
    changed: bool,
}

impl Membership {
    /// A member list that knows only this daemon and its seeds.
    pub fn new(me: MemberRecord, seeds: Vec<String>, seed: u64) -> Self {
        let mut membership = Self {
            seeds: seeds.into_iter().filter(|address| *address != me.address).collect(),
            me,
            members: BTreeMap::new(),
            digests: ListDigests::default(),
            next_expiry_at: Timestamp(0),
            news: NewsQueue::default(),
            next_gossip_at: Timestamp(0),
            order: Vec::new(),
            probes: Vec::new(),
            relays: Vec::new(),
            next_sequence: 0,
            next_probe_at: Timestamp(0),
            next_join_at: Timestamp(0),
            next_repair_at: Timestamp(0),
            next_exchange_at: Timestamp(0),
            exchanges: 0,
            learnt_of_members: false,
            started_at: None,
            configuration_version: 0,
            backends: ObjectDigest::default(),
            evacuations: ObjectDigest::default(),
            ages: StateAges::default(),
            news_port: 0,
            generator: SmallRng::seed_from_u64(seed),
            changed: true,
        };
        membership.digests.add(&membership.me);
        let me = membership.me.clone();
        membership.spread(me);
        membership
    }

    /// Puts other seeds in the place of the present ones; members that are known stay.
    pub fn set_seeds(&mut self, seeds: Vec<String>) {
        self.seeds = seeds.into_iter().filter(|address| *address != self.me.address).collect();
        self.next_join_at = Timestamp(0);
    }

    /// Notes the configuration version in force here.
    pub fn set_configuration_version(&mut self, version: u64) {
        self.configuration_version = version;
    }

    /// Notes the back ends that this daemon knows.
    pub fn set_backends(&mut self, known: ObjectDigest) {
        self.backends = known;
    }

    /// Notes the evacuated zones that this daemon knows.
    pub fn set_evacuations(&mut self, known: ObjectDigest) {
        self.evacuations = known;
    }

    /// Notes the age of what this daemon knows of the platform's objects.
    pub fn set_state_ages(&mut self, ages: StateAges) {
        self.ages = ages;
    }

    /// How long ago this daemon sent the probe that a datagram acknowledges, in milliseconds; `None` for all
    /// other datagrams. The sender was asked then, so that what it says is no older than it tells and this.
    pub fn probe_age_ms(&self, now: Timestamp, datagram: &Datagram) -> Option<u64> {
        let is_answered = |probe: &&Probe| {
            datagram.kind == DatagramKind::Ack { sequence: probe.sequence }
                && datagram.from == probe.target
        };
        let probe = self.probes.iter().find(is_answered)?;
        Some(now.millis_since(probe.sent_at))
    }

    /// Notes the TCP port at which this daemon tells peers what it knows.
    pub fn set_news_port(&mut self, port: u16) {
        self.news_port = port;
    }

    /// Whether the list of usable members changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Whether a member is known to stand in the zone of this daemon.
    pub fn is_near(&self, node: &NodeName) -> bool {
        self.members.get(node).is_some_and(|entry| entry.record.zone == self.me.zone)
    }

    /// Whether `take_changed` would tell a change.
    pub fn has_changed(&self) -> bool {
        self.changed
    }

    /// Announces that this daemon is stopping, or that it is gone.
    pub fn announce(&mut self, state: MemberState) {
        self.changed = true;
        self.change_own_record(self.me.incarnation + 1, state);
    }

    fn change_own_record(&mut self, incarnation: u64, state: MemberState) {
        self.digests.remove(&self.me);
        self.me.incarnation = incarnation;
        self.me.state = state;
        self.digests.add(&self.me);
        let me = self.me.clone();
        self.spread(me);
    }

    /// Datagrams that tell every member of this daemon's own state at once.
    pub fn farewell(&mut self) -> Vec<Outgoing> {
        let addresses: Vec<String> =
            self.live().map(|entry| entry.record.address.clone()).collect();
        addresses.into_iter().map(|to| self.outgoing(to, DatagramKind::Members)).collect()
    }

    /// Datagrams that tell a few members, drawn by chance, what this daemon knows now: `near` of its
    /// own zone, between which bytes are not paid for, and `far` of the others.
    pub fn gossip_to_some(&mut self, near: usize, far: usize) -> Vec<Outgoing> {
        let drawn = self.draw(near, far);
        drawn.into_iter().map(|to| self.outgoing(to, DatagramKind::Members)).collect()
    }

    /// Datagrams that carry a notice to every member. They carry nothing else, so that each fits one packet.
    pub fn notify_all(&self, content: &[u8]) -> Vec<Outgoing> {
        let kind = DatagramKind::Notice { content: content.to_vec() };
        let datagram = self.datagram(kind, Vec::new());
        let notice = |entry: &Entry| Outgoing {
            to: entry.record.address.clone(),
            datagram: datagram.clone(),
        };
        self.live().map(notice).collect()
    }

    /// Datagrams that tell some members that this daemon watches the platform's store.
    pub fn tell_watching(&mut self, names: &[String]) -> Vec<Outgoing> {
        let named = |entry: &&Entry| names.iter().any(|name| name == entry.record.node.as_str());
        let addresses: Vec<String> =
            self.live().filter(named).map(|entry| entry.record.address.clone()).collect();
        addresses.into_iter().map(|to| self.outgoing(to, DatagramKind::Watching)).collect()
    }

    fn live(&self) -> impl Iterator<Item = &Entry> {
        self.members.values().filter(|entry| entry.record.state != MemberState::Dead)
    }

    /// The members that are not dead, this daemon included, in order of name.
    pub fn members(&self) -> Vec<MemberInfo> {
        let mut members: Vec<MemberInfo> = self.live().map(|e| info(&e.record)).collect();
        members.push(info(&self.me));
        members.sort_by(|left, right| left.node.cmp(&right.node));
        members
    }

    /// Every member with its state and configuration version, this daemon included.
    pub fn records(&self) -> Vec<(MemberRecord, u64)> {
        let mut all: Vec<(MemberRecord, u64)> = self
            .members
            .values()
            .map(|entry| (entry.record.clone(), entry.configuration_version))
            .collect();
        all.push((self.me.clone(), self.configuration_version));
        all.sort_by(|left, right| left.0.node.cmp(&right.0.node));
        all
    }

    /// Time passes: probes, suspicions and tombstones.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Outgoing> {
        self.started_at.get_or_insert(now);
        let mut outgoing = self.join(now);
        outgoing.extend(self.probe(now));
        outgoing.extend(self.exchange(now));
        outgoing.extend(self.gossip(now));
        self.expire(now);
        outgoing
    }

    /// The moment at which `tick` has something to do. Suspicions and tombstones are looked at with
    /// the probes, so they have no deadline of their own.
    pub fn next_deadline(&self, now: Timestamp) -> Timestamp {
        let others = [self.gossip_deadline(), self.exchange_deadline(now)];
        let regular = self.probe_deadline().min(self.next_join_at);
        others.into_iter().flatten().fold(regular, Timestamp::min)
    }

    /// Calls seeds that are not live members, so that two halves of a fleet find each other again.
    fn join(&mut self, now: Timestamp) -> Vec<Outgoing> {
        if self.next_join_at > now {
            return Vec::new();
        }
        let alone = self.live().next().is_none();
        let interval = if alone { JOIN_INTERVAL_MS } else { SEED_INTERVAL_MS };
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
        let lapsed = |entry: &&Entry| {
            entry.record.state == MemberState::Suspect
                && now.millis_since(entry.since) >= SUSPICION_MS
        };
        let dead: Vec<MemberRecord> =
            self.members.values().filter(lapsed).map(|e| e.record.clone()).collect();
        for mut record in dead {
            record.state = MemberState::Dead;
            self.take(now, record, true);
        }
        let digests = &mut self.digests;
        self.members.retain(|_, entry| {
            let stays = entry.record.state != MemberState::Dead
                || now.millis_since(entry.since) < TOMBSTONE_MS;
            if !stays {
                digests.remove(&entry.record);
            }
            stays
        });
    }

    /// A datagram arrived.
    pub fn receive(&mut self, now: Timestamp, datagram: Datagram, source: &str) -> Vec<Outgoing> {
        // A whole list was asked for by this daemon alone: the others have its content.
        let is_news = datagram.kind != DatagramKind::Members;
        for record in datagram.updates {
            self.take(now, record, is_news);
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
                let members = self.first_members();
                self.list(source, members)
            }
            DatagramKind::Repair { buckets } => {
                let members = self.differing(&buckets);
                self.list(source, members)
            }
            DatagramKind::Members
            | DatagramKind::News
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
            from: self.me.node.clone(),
            configuration_version: self.configuration_version,
            backends: self.backends,
            evacuations: self.evacuations,
            ages: self.ages,
            news_port: self.news_port,
            digest: self.digest(),
            kind,
            updates,
        }
    }

    /// Takes what is told of a member, and passes it on where it is news.
    fn take(&mut self, now: Timestamp, record: MemberRecord, is_news: bool) {
        if record.node == self.me.node {
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
        self.changed |= held.map(|entry| told(&entry.record)) != Some(told(&record));
        let configuration_version = held.map_or(0, |entry| entry.configuration_version);
        let entry = Entry { record: record.clone(), since: now, configuration_version };
        self.digests.add(&record);
        match self.members.insert(record.node.clone(), entry) {
            Some(before) => self.digests.remove(&before.record),
            None => self.learnt_of_members = true,
        }
        if is_news {
            self.spread(record);
        }
    }

    /// News of this daemon itself that is wrong is answered with a higher incarnation.
    fn refute(&mut self, record: &MemberRecord) {
        let wrong = record.incarnation >= self.me.incarnation && *record != self.me;
        if wrong {
            self.change_own_record(record.incarnation + 1, self.me.state);
        }
    }

    fn outgoing(&mut self, to: String, kind: DatagramKind) -> Outgoing {
        let mut updates = self.news.next();
        if matches!(kind, DatagramKind::Join | DatagramKind::Members)
            && !updates.iter().any(|record| record.node == self.me.node)
        {
            updates.push(self.me.clone());
        }
        Outgoing { to, datagram: self.datagram(kind, updates) }
    }
}

fn info(record: &MemberRecord) -> MemberInfo {
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

/// What others of this process are told of a member: all but the dead, with their state.
fn told(record: &MemberRecord) -> Option<(MemberInfo, MemberState)> {
    (record.state != MemberState::Dead).then(|| (info(record), record.state))
}
