//! Membership: which daemons live, by probes at a cost that does not grow with the fleet.
//!
//! A daemon probes one member an interval, asks others to probe it when it does not answer, then
//! suspects it, and declares it dead unless it refutes with a higher incarnation. News travels on
//! the probes themselves (the SWIM scheme, Das, Gupta and Motivala, 2002).

mod digest;
mod message;

use std::collections::BTreeMap;

use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::SeedableRng;
use yokefall_peer::MemberInfo;
use yokefall_types::NodeName;

use self::digest::{bucket_of, record_hash, REPAIR_BUCKETS};
pub use self::message::{
    Datagram, DatagramKind, MemberRecord, MemberState, NewsAges, ObjectDigest, Outgoing,
};
use crate::time::Timestamp;

/// Interval between two probes of one daemon, in milliseconds.
pub const PROBE_INTERVAL_MS: u64 = 500;
/// Time after which a direct probe counts as unanswered, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 200;
/// Members asked to probe one that did not answer.
const INDIRECT_PROBES: usize = 3;
/// Time for which a suspect may refute, in milliseconds.
const SUSPICION_MS: u64 = 2_500;
/// Time for which the dead are remembered, in milliseconds.
const TOMBSTONE_MS: u64 = 600_000;
/// Updates in one datagram, so that it fits one packet.
const UPDATES_PER_DATAGRAM: usize = 8;
/// Interval between calls to the seeds while no member is known, in milliseconds.
const JOIN_INTERVAL_MS: u64 = 500;
/// Interval between calls to a seed that is not a live member, in milliseconds.
const SEED_INTERVAL_MS: u64 = 5_000;
/// Least interval between two repairs, in milliseconds.
const REPAIR_INTERVAL_MS: u64 = 2_000;
/// Time from a start in which many may start together, in milliseconds: as long as 200 took to know each
/// other with the regular interval, and as much again.
const EARLY_MS: u64 = 8_000;
/// Least interval between two repairs in that time, in milliseconds. Each about doubles what a member
/// knows, so that six do for 200; an answer is at most some 25 datagrams.
const EARLY_REPAIR_INTERVAL_MS: u64 = 250;

#[derive(Clone, Debug)]
struct Entry {
    record: MemberRecord,
    since: Timestamp,
    configuration_version: u64,
}

#[derive(Clone, Debug)]
struct Probe {
    target: NodeName,
    sequence: u64,
    sent_at: Timestamp,
    indirect: bool,
}

#[derive(Clone, Debug)]
struct Relay {
    sequence: u64,
    origin: String,
    origin_sequence: u64,
    at: Timestamp,
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
    news: Vec<(MemberRecord, u32)>,
    order: Vec<NodeName>,
    probe: Option<Probe>,
    relays: Vec<Relay>,
    next_sequence: u64,
    next_probe_at: Timestamp,
    next_join_at: Timestamp,
    next_repair_at: Timestamp,
    /// When this daemon first acted.
    started_at: Option<Timestamp>,
    configuration_version: u64,
    backends: ObjectDigest,
    evacuations: ObjectDigest,
    ages: NewsAges,
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
            news: Vec::new(),
            order: Vec::new(),
            probe: None,
            relays: Vec::new(),
            next_sequence: 0,
            next_probe_at: Timestamp(0),
            next_join_at: Timestamp(0),
            next_repair_at: Timestamp(0),
            started_at: None,
            configuration_version: 0,
            backends: ObjectDigest::default(),
            evacuations: ObjectDigest::default(),
            ages: NewsAges::default(),
            news_port: 0,
            generator: SmallRng::seed_from_u64(seed),
            changed: true,
        };
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
    pub fn set_news_ages(&mut self, ages: NewsAges) {
        self.ages = ages;
    }

    /// How long ago this daemon sent the probe that a datagram acknowledges, in milliseconds; `None` for all
    /// other datagrams. The sender was asked then, so that what it says is no older than it tells and this.
    pub fn asked_ms_ago(&self, now: Timestamp, datagram: &Datagram) -> Option<u64> {
        let probe = self.probe.as_ref()?;
        let answers = datagram.kind == DatagramKind::Ack { sequence: probe.sequence }
            && datagram.from == probe.target;
        answers.then(|| now.millis_since(probe.sent_at))
    }

    /// Notes the TCP port at which this daemon tells peers what it knows.
    pub fn set_news_port(&mut self, port: u16) {
        self.news_port = port;
    }

    /// Whether the list of usable members changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Announces that this daemon is stopping, or that it is gone.
    pub fn announce(&mut self, state: MemberState) {
        self.me.incarnation += 1;
        self.me.state = state;
        self.changed = true;
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
    pub fn tell_some(&mut self, near: usize, far: usize) -> Vec<Outgoing> {
        let is_near = |entry: &&Entry| entry.record.zone == self.me.zone;
        let (near_by, others): (Vec<&Entry>, Vec<&Entry>) = self.live().partition(is_near);
        let addresses = |entries: Vec<&Entry>| -> Vec<String> {
            entries.into_iter().map(|entry| entry.record.address.clone()).collect()
        };
        let (near_by, others) = (addresses(near_by), addresses(others));
        let mut drawn: Vec<String> =
            near_by.choose_multiple(&mut self.generator, near).cloned().collect();
        drawn.extend(others.choose_multiple(&mut self.generator, far).cloned());
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
        outgoing.extend(self.continue_probe(now));
        if self.next_probe_at <= now {
            self.next_probe_at = now.plus_millis(PROBE_INTERVAL_MS);
            self.conclude_probe(now);
            outgoing.extend(self.begin_probe(now));
        }
        self.expire(now);
        outgoing
    }

    /// The moment at which `tick` has something to do. Suspicions and tombstones are looked at with
    /// the probes, so they have no deadline of their own.
    pub fn next_deadline(&self) -> Timestamp {
        let next = self.next_probe_at.min(self.next_join_at);
        match &self.probe {
            Some(probe) if !probe.indirect => next.min(probe.sent_at.plus_millis(PROBE_TIMEOUT_MS)),
            _ => next,
        }
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

    fn begin_probe(&mut self, now: Timestamp) -> Option<Outgoing> {
        let target = self.next_target()?;
        let address = self.members.get(&target)?.record.address.clone();
        self.next_sequence += 1;
        let sequence = self.next_sequence;
        self.probe = Some(Probe { target, sequence, sent_at: now, indirect: false });
        Some(self.outgoing(address, DatagramKind::Ping { sequence }))
    }

    /// Members in a shuffled round, so that each is probed within a bounded time.
    fn next_target(&mut self) -> Option<NodeName> {
        loop {
            if self.order.is_empty() {
                self.order = self.live().map(|entry| entry.record.node.clone()).collect();
                self.order.shuffle(&mut self.generator);
            }
            let target = self.order.pop()?;
            if self.members.get(&target).is_some_and(|e| e.record.state != MemberState::Dead) {
                return Some(target);
            }
        }
    }

    fn continue_probe(&mut self, now: Timestamp) -> Vec<Outgoing> {
        let Some(probe) = self.probe.clone() else { return Vec::new() };
        if probe.indirect || now.millis_since(probe.sent_at) < PROBE_TIMEOUT_MS {
            return Vec::new();
        }
        if let Some(open) = &mut self.probe {
            open.indirect = true;
        }
        let helpers: Vec<String> = self
            .live()
            .filter(|e| e.record.state == MemberState::Alive && e.record.node != probe.target)
            .map(|entry| entry.record.address.clone())
            .collect();
        let chosen: Vec<String> =
            helpers.choose_multiple(&mut self.generator, INDIRECT_PROBES).cloned().collect();
        let kind =
            DatagramKind::PingRequest { sequence: probe.sequence, target: probe.target.clone() };
        let mut outgoing: Vec<Outgoing> =
            chosen.into_iter().map(|to| self.outgoing(to, kind.clone())).collect();
        // One lost datagram must not look like a death where there is nobody to ask.
        if let Some(entry) = self.members.get(&probe.target) {
            let to = entry.record.address.clone();
            outgoing.push(self.outgoing(to, DatagramKind::Ping { sequence: probe.sequence }));
        }
        outgoing
    }

    fn conclude_probe(&mut self, now: Timestamp) {
        let Some(probe) = self.probe.take() else { return };
        let Some(entry) = self.members.get(&probe.target) else { return };
        if !matches!(entry.record.state, MemberState::Alive | MemberState::Leaving) {
            return;
        }
        let mut record = entry.record.clone();
        // A leaving member that is silent is gone; as a suspect it would count as accepting.
        let leaving = record.state == MemberState::Leaving;
        record.state = if leaving { MemberState::Dead } else { MemberState::Suspect };
        self.take(now, record, true);
    }

    fn expire(&mut self, now: Timestamp) {
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
        self.members.retain(|_, entry| {
            entry.record.state != MemberState::Dead || now.millis_since(entry.since) < TOMBSTONE_MS
        });
        self.relays.retain(|relay| now.millis_since(relay.at) < PROBE_INTERVAL_MS);
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

    /// Asks a member whose list differs for the parts that differ. News travels a bounded number
    /// of times and may miss somebody; what it misses is mended here.
    fn repair(&mut self, now: Timestamp, digest: u64, source: &str) -> Option<Outgoing> {
        if now < self.next_repair_at || digest == self.digest() {
            return None;
        }
        let is_early = self.started_at.is_none_or(|at| now.millis_since(at) < EARLY_MS);
        let interval = if is_early { EARLY_REPAIR_INTERVAL_MS } else { REPAIR_INTERVAL_MS };
        self.next_repair_at = now.plus_millis(interval);
        let buckets = self.bucket_digests();
        Some(self.outgoing(source.to_owned(), DatagramKind::Repair { buckets }))
    }

    /// Every record, this daemon's own included.
    fn all_records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(|entry| &entry.record).chain(std::iter::once(&self.me))
    }

    /// Digest of the member list. Equal lists have equal digests.
    fn digest(&self) -> u64 {
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
    fn differing(&self, buckets: &[u64]) -> Vec<MemberRecord> {
        let own = self.bucket_digests();
        let differs = |node: &NodeName| {
            let bucket = bucket_of(node);
            buckets.get(bucket) != Some(&own[bucket])
        };
        self.all_records().filter(|record| differs(&record.node)).cloned().collect()
    }

    fn answer(&mut self, now: Timestamp, kind: DatagramKind, source: &str) -> Vec<Outgoing> {
        match kind {
            DatagramKind::Join => self.list(source, self.all_records().cloned().collect()),
            DatagramKind::Repair { buckets } => self.list(source, self.differing(&buckets)),
            DatagramKind::Members | DatagramKind::Watching | DatagramKind::Notice { .. } => {
                Vec::new()
            }
            DatagramKind::Ping { sequence } => {
                vec![self.outgoing(source.to_owned(), DatagramKind::Ack { sequence })]
            }
            DatagramKind::Ack { sequence } => self.acknowledged(sequence),
            DatagramKind::PingRequest { sequence, target } => {
                self.relay(now, source, sequence, &target).into_iter().collect()
            }
        }
    }

    /// A list in as many datagrams as it takes.
    fn list(&self, to: &str, records: Vec<MemberRecord>) -> Vec<Outgoing> {
        let empty = self.datagram(DatagramKind::Members, Vec::new());
        let part = |updates: &[MemberRecord]| Outgoing {
            to: to.to_owned(),
            datagram: Datagram { updates: updates.to_vec(), ..empty.clone() },
        };
        records.chunks(UPDATES_PER_DATAGRAM).map(part).collect()
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

    fn acknowledged(&mut self, sequence: u64) -> Vec<Outgoing> {
        if self.probe.as_ref().is_some_and(|probe| probe.sequence == sequence) {
            self.probe = None;
            return Vec::new();
        }
        let Some(position) = self.relays.iter().position(|r| r.sequence == sequence) else {
            return Vec::new();
        };
        let relay = self.relays.swap_remove(position);
        vec![self.outgoing(relay.origin, DatagramKind::Ack { sequence: relay.origin_sequence })]
    }

    fn relay(
        &mut self,
        now: Timestamp,
        origin: &str,
        origin_sequence: u64,
        target: &NodeName,
    ) -> Option<Outgoing> {
        let address = self.members.get(target)?.record.address.clone();
        self.next_sequence += 1;
        let sequence = self.next_sequence;
        let origin = origin.to_owned();
        self.relays.push(Relay { sequence, origin, origin_sequence, at: now });
        Some(self.outgoing(address, DatagramKind::Ping { sequence }))
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
        self.members.insert(record.node.clone(), entry);
        if is_news {
            self.spread(record);
        }
    }

    /// News of this daemon itself that is wrong is answered with a higher incarnation.
    fn refute(&mut self, record: &MemberRecord) {
        let wrong = record.incarnation >= self.me.incarnation && *record != self.me;
        if wrong {
            self.me.incarnation = record.incarnation + 1;
            let me = self.me.clone();
            self.spread(me);
        }
    }

    /// Queues news for as many transmissions as reach the whole fleet with high probability.
    fn spread(&mut self, record: MemberRecord) {
        let members = self.members.len() as u32 + 2;
        let transmissions = 3 * (32 - members.leading_zeros()) + 2;
        self.news.retain(|(queued, _)| queued.node != record.node);
        self.news.push((record, transmissions));
    }

    fn outgoing(&mut self, to: String, kind: DatagramKind) -> Outgoing {
        // The least transmitted news goes first.
        self.news.sort_by_key(|(_, left)| std::cmp::Reverse(*left));
        let mut updates = Vec::new();
        for (record, left) in self.news.iter_mut().take(UPDATES_PER_DATAGRAM) {
            updates.push(record.clone());
            *left -= 1;
        }
        self.news.retain(|(_, left)| *left > 0);
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
