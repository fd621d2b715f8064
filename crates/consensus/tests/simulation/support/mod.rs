//! A group in virtual time, with disks that lose what was not synced, a network that drops, delays,
//! duplicates and partitions, and an oracle of acknowledged commands.

mod availability;
mod disk;
mod faults;
mod histories;
mod network;
mod operations;
mod planned_work;
mod policy;
mod standby;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use yokefall_consensus::{
    ChangeEvent, Consensus, Effects, Entry, Index, MemberId, Message, Millis, Payload,
};

use self::availability::Availability;
pub use self::availability::{CATCH_UP_MS, RECOVERY_MS};
use self::disk::Batch;
pub use self::disk::Disk;
pub use self::faults::ALL_FAULTS;
pub use self::histories::{run_history, run_pair_history};
pub use self::network::TransferDelivery;
pub use self::planned_work::run_planned_work_history;
pub use self::standby::run_standby_history;

/// Description of a violation, for the assertion message.
pub type Violation = String;

#[derive(Debug)]
struct Node {
    name: String,
    disk: Disk,
    core: Option<Consensus>,
    batches: Vec<Batch>,
    applied: BTreeMap<Index, u64>,
    frozen_until: Millis,
    disk_stalled_until: Millis,
    founder: bool,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Delivery {
    at: Millis,
    number: u64,
}

/// A defect in the environment, to show that the oracle detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    None,
    /// Responses are sent before the disk has synced.
    RespondBeforeSync,
    /// A lost disk returns with its former identity.
    WipedDiskVotes,
    /// Reads are served by any member that considers itself the leader, without a lease.
    ReadWithoutLease,
    /// A member of a pair continues alone without a claim.
    SoleVoterWithoutClaim,
}

pub struct Simulation {
    now: Millis,
    random: SmallRng,
    nodes: Vec<Node>,
    in_flight: BTreeMap<u64, Message>,
    queue: BinaryHeap<Reverse<Delivery>>,
    next_number: u64,
    partitions: BTreeSet<(usize, usize)>,
    loss: f64,
    next_command: u64,
    /// Commands by index, as first applied on any member.
    history: BTreeMap<Index, u64>,
    acknowledged: BTreeSet<u64>,
    pending: BTreeMap<usize, Vec<(Index, u64, u64)>>,
    mutation: Mutation,
    leaving: Vec<String>,
    /// Machines that never return.
    removed: Vec<String>,
    /// Holders of the claims in the platform's store, by epoch.
    claims: BTreeMap<u64, String>,
    claims_available: bool,
    /// Whether answers to claims that were carried out are lost.
    pub claim_answers_lost: bool,
    wipe_allowed_at: Millis,
    voters: usize,
    drained_count: usize,
    /// When the leader evaluates the membership policy next.
    policy_at: Millis,
    /// Processes that are being stopped as planned, and when they end at the latest.
    stopping: BTreeMap<usize, Millis>,
    availability: Availability,
    pub transfer_delivery: TransferDelivery,
    /// Whether no client proposes anything.
    pub is_idle: bool,
    /// The machine that was last asked to take over leadership.
    transfer_target: Option<usize>,
    /// Events, printed with a violation.
    pub events: Vec<String>,
}

impl Simulation {
    /// Creates a group of `members` machines with empty disks.
    pub fn new(seed: u64, members: usize, mutation: Mutation) -> Self {
        let mut simulation = Self {
            now: 0,
            random: SmallRng::seed_from_u64(seed),
            nodes: Vec::new(),
            in_flight: BTreeMap::new(),
            queue: BinaryHeap::new(),
            next_number: 0,
            partitions: BTreeSet::new(),
            loss: 0.01,
            next_command: 1,
            history: BTreeMap::new(),
            acknowledged: BTreeSet::new(),
            pending: BTreeMap::new(),
            mutation,
            leaving: Vec::new(),
            removed: Vec::new(),
            claims: BTreeMap::new(),
            claims_available: true,
            claim_answers_lost: false,
            wipe_allowed_at: 0,
            voters: 3,
            drained_count: 0,
            policy_at: 0,
            stopping: BTreeMap::new(),
            availability: Availability::default(),
            transfer_delivery: TransferDelivery::Random,
            is_idle: false,
            transfer_target: None,
            events: Vec::new(),
        };
        for index in 0..members {
            simulation.add_node(index == 0);
        }
        simulation
    }

    fn add_node(&mut self, founder: bool) {
        let name = format!("store-{}", self.nodes.len());
        self.nodes.push(Node {
            name,
            disk: Disk::default(),
            core: None,
            batches: Vec::new(),
            applied: BTreeMap::new(),
            frozen_until: 0,
            disk_stalled_until: 0,
            founder,
        });
        self.start(self.nodes.len() - 1);
    }

    fn record_event(&mut self, text: String) {
        self.events.push(format!("{:>6} {text}", self.now));
    }

    pub fn start(&mut self, at: usize) {
        let incarnation = self.random.random_range(1..u64::MAX);
        let seed = self.random.random();
        let node = &mut self.nodes[at];
        if node.disk.incarnation == 0 {
            node.disk.incarnation = incarnation;
        }
        let me = MemberId { name: node.name.clone(), incarnation: node.disk.incarnation };
        node.applied.clear();
        node.batches.clear();
        let recovered = node.disk.recover();
        let state = recovered.snapshot.state.clone();
        node.applied = decode(&state);
        let mut core = Consensus::new(me, recovered, self.now, seed);
        if node.founder && node.disk.writes.is_empty() {
            core.bootstrap(self.now);
        }
        node.founder = false;
        node.core = Some(core);
        self.record_impairment(at);
        let _ = self.carry_out(at);
    }

    fn stop(&mut self, at: usize, power: bool) {
        let node = &mut self.nodes[at];
        node.core = None;
        node.batches.clear();
        self.pending.remove(&at);
        self.stopping.remove(&at);
        if power {
            let extra = node.disk.writes.len() - node.disk.synced;
            let kept = self.random.random_range(0..=extra);
            node.disk.writes.truncate(node.disk.synced + kept);
        }
        let node = &mut self.nodes[at];
        node.disk.synced = node.disk.writes.len();
    }

    /// Describes a violation with the members and the events so far.
    pub fn violation(&mut self, text: &str) -> Violation {
        self.record_nodes();
        format!("{text}\n{}", self.events.join("\n"))
    }

    fn carry_out(&mut self, at: usize) -> Result<(), Violation> {
        let Some(core) = self.nodes[at].core.as_mut() else { return Ok(()) };
        let effects = core.take_effects();
        let Effects {
            writes,
            messages,
            messages_after_sync,
            install,
            committed,
            snapshot_targets,
            transfers,
            changes,
        } = effects;
        let has_writes = !writes.is_empty();
        if has_writes {
            core.writes_started();
        }
        for event in transfers {
            self.record_event(format!("{at}: {event:?}"));
        }
        for event in changes.iter().filter(|event| !matches!(event, ChangeEvent::Proposed(_))) {
            self.record_event(format!("{at}: {event:?}"));
        }
        for message in messages {
            self.post(at, message);
        }
        if let Some(snapshot) = install {
            self.nodes[at].applied = decode(&snapshot.state);
            self.check_applied(at)?;
        }
        for entry in committed {
            self.apply(at, entry)?;
        }
        self.install(at, &snapshot_targets);
        let delay = self.random.random_range(1..4);
        let node = &mut self.nodes[at];
        node.disk.writes.extend(writes);
        let until = node.disk.writes.len();
        let before = node.batches.last().map_or(0, |batch| batch.ready_at);
        let ready_at = (self.now + delay).max(before).max(node.disk_stalled_until);
        if self.mutation == Mutation::RespondBeforeSync {
            for message in messages_after_sync {
                self.post(at, message);
            }
            self.nodes[at].batches.push(Batch {
                until,
                has_writes,
                after_sync: Vec::new(),
                ready_at,
            });
            return Ok(());
        }
        node.batches.push(Batch { until, has_writes, after_sync: messages_after_sync, ready_at });
        Ok(())
    }

    /// Sends snapshots of the applied state to members that need one.
    fn install(&mut self, at: usize, members: &[MemberId]) {
        let state = encode(&self.nodes[at].applied);
        let Some(core) = self.nodes[at].core.as_mut() else { return };
        for member in members {
            core.install(self.now, member, state.clone().into());
        }
    }

    fn apply(&mut self, at: usize, entry: Entry) -> Result<(), Violation> {
        let command = match &entry.payload {
            Payload::Command(bytes) => u64::from_le_bytes(bytes[..8].try_into().expect("8 bytes")),
            Payload::Empty | Payload::Members(_) => {
                // Not a command, but bound to its index as well.
                let bytes = borsh::to_vec(&entry).expect("an entry");
                bytes.iter().fold(1 << 63, |hash: u64, byte| {
                    hash.rotate_left(5).wrapping_add(u64::from(*byte)) | 1 << 63
                })
            }
        };
        let held = *self.history.entry(entry.index).or_insert(command);
        if held != command {
            return Err(format!("index {} held {held}, now {command}", entry.index));
        }
        self.nodes[at].applied.insert(entry.index, command);
        let done =
            |&(index, term, _): &(Index, u64, u64)| (index, term) == (entry.index, entry.term);
        if let Some(pending) = self.pending.get_mut(&at) {
            for (_, _, command) in pending.iter().filter(|p| done(p)) {
                self.acknowledged.insert(*command);
            }
            pending.retain(|p| !done(p));
        }
        Ok(())
    }

    fn check_applied(&self, at: usize) -> Result<(), Violation> {
        for (index, command) in &self.nodes[at].applied {
            if self.history.get(index).is_some_and(|held| held != command) {
                return Err(format!("snapshot differs at index {index}"));
            }
        }
        Ok(())
    }

    fn position_of(&self, member: &MemberId) -> Option<usize> {
        self.nodes.iter().position(|node| node.name == member.name)
    }

    /// Runs one millisecond on every node.
    fn step(&mut self) -> Result<(), Violation> {
        self.now += 1;
        while self.queue.peek().is_some_and(|Reverse(next)| next.at <= self.now) {
            let Some(Reverse(next)) = self.queue.pop() else { break };
            let Some(message) = self.in_flight.remove(&next.number) else { continue };
            let Some(to) = self.position_of(&message.to) else { continue };
            if self.nodes[to].frozen_until > self.now {
                let later = Delivery { at: self.nodes[to].frozen_until, number: next.number };
                self.in_flight.insert(next.number, message);
                self.queue.push(Reverse(later));
                continue;
            }
            if let Some(core) = self.nodes[to].core.as_mut() {
                core.receive(self.now, message);
                self.carry_out(to)?;
            }
        }
        for at in 0..self.nodes.len() {
            self.run_node(at)?;
        }
        Ok(())
    }

    fn run_node(&mut self, at: usize) -> Result<(), Violation> {
        if self.nodes[at].frozen_until > self.now || self.nodes[at].core.is_none() {
            return Ok(());
        }
        while self.nodes[at].batches.first().is_some_and(|batch| batch.ready_at <= self.now) {
            let batch = self.nodes[at].batches.remove(0);
            let node = &mut self.nodes[at];
            node.disk.synced = node.disk.synced.max(batch.until);
            for message in batch.after_sync {
                self.post(at, message);
            }
            if let Some(core) = self.nodes[at].core.as_mut().filter(|_| batch.has_writes) {
                core.writes_synced(self.now);
                self.carry_out(at)?;
            }
        }
        let due = self.nodes[at].core.as_ref().is_some_and(|c| c.next_deadline() <= self.now);
        if due {
            if let Some(core) = self.nodes[at].core.as_mut() {
                core.tick(self.now);
            }
            self.carry_out(at)?;
        }
        Ok(())
    }

    /// Runs for a while, with a client that proposes at intervals.
    pub fn run(&mut self, milliseconds: Millis) -> Result<(), Violation> {
        let end = self.now + milliseconds;
        while self.now < end {
            self.step()?;
            self.check_leases()?;
            if self.now % 20 == 0 {
                self.propose()?;
                self.read()?;
                self.check_availability()?;
            }
            if self.now >= self.policy_at {
                // Not in step with the proposals, as in the job store.
                self.policy_at = self.now + self.random.random_range(60..140);
                self.change_members()?;
                self.continue_planned_stops()?;
            }
        }
        Ok(())
    }

    fn leaders(&self) -> Vec<usize> {
        let leads = |node: &Node| {
            node.frozen_until <= self.now
                && node.core.as_ref().is_some_and(|c| c.role() == yokefall_consensus::Role::Leader)
        };
        (0..self.nodes.len()).filter(|&at| leads(&self.nodes[at])).collect()
    }

    fn propose(&mut self) -> Result<(), Violation> {
        for at in self.leaders() {
            let command = self.next_command;
            self.next_command += 1;
            let Some(core) = self.nodes[at].core.as_mut() else { continue };
            // As in the job store: no command is accepted before two disks can hold it.
            if self.is_idle || core.committed_voters() < self.voters / 2 + 1 {
                continue;
            }
            if let Some(index) = core.propose(self.now, command.to_le_bytes().to_vec()) {
                let term = core.term();
                self.pending.entry(at).or_default().push((index, term, command));
            }
            if core.log().bytes() > 6_000 && self.random.random_bool(0.1) {
                let state = encode(&self.nodes[at].applied);
                if let Some(core) = self.nodes[at].core.as_mut() {
                    core.compact(state.into());
                }
            }
            self.carry_out(at)?;
        }
        Ok(())
    }

    /// A member that may serve reads has applied everything that was acknowledged.
    fn read(&mut self) -> Result<(), Violation> {
        for at in self.leaders() {
            let Some(core) = self.nodes[at].core.as_ref() else { continue };
            let has_enough_voters = core.committed_voters() > self.voters / 2;
            let may_serve = core.can_read(self.now) && has_enough_voters
                || self.mutation == Mutation::ReadWithoutLease;
            if !may_serve {
                continue;
            }
            let has: BTreeSet<u64> = self.nodes[at].applied.values().copied().collect();
            if let Some(lacking) = self.acknowledged.iter().find(|command| !has.contains(command)) {
                return Err(format!("{} serves reads without {lacking}", self.nodes[at].name));
            }
        }
        Ok(())
    }

    /// At most one member may serve reads without asking the others.
    fn check_leases(&self) -> Result<(), Violation> {
        let has_lease =
            |at: &usize| self.nodes[*at].core.as_ref().is_some_and(|core| core.has_lease(self.now));
        let holders: Vec<usize> = self.leaders().into_iter().filter(has_lease).collect();
        match holders.len() {
            0 | 1 => Ok(()),
            _ => Err(format!("{holders:?} have leases at the same time")),
        }
    }

    fn random_machine(&mut self) -> usize {
        loop {
            let at = self.random.random_range(0..self.nodes.len());
            if !self.is_removed(&self.nodes[at]) {
                return at;
            }
        }
    }

    fn is_removed(&self, node: &Node) -> bool {
        self.removed.contains(&node.name)
            || self.drained_count > 0 && self.leaving.contains(&node.name)
    }

    /// Whether another disk may be lost: all machines are up and had time to catch up.
    fn may_wipe(&self) -> bool {
        let is_undisturbed = |node: &Node| {
            self.is_removed(node) || node.core.is_some() && node.frozen_until <= self.now
        };
        self.now >= self.wipe_allowed_at
            && self.partitions.is_empty()
            && self.nodes.iter().all(is_undisturbed)
            && self.is_fully_replicated()
    }

    /// Whether a leader's group is complete: enough members, which have every entry.
    fn is_fully_replicated(&self) -> bool {
        self.leaders().iter().any(|&at| {
            let Some(core) = self.nodes[at].core.as_ref() else { return false };
            let members = core.members();
            let present = self.nodes.iter().filter_map(|node| node.core.as_ref());
            core.can_read(self.now)
                && core.members_durably_committed()
                && members.voters.len() >= self.nodes.len().min(3) - self.drained_count
                && members.voters.len() >= 2
                && members.voters.iter().all(|voter| {
                    present.clone().any(|other| other.id() == voter)
                        && core.matched(voter) >= core.commit_index()
                })
        })
    }

    /// Ends all faults; checks that the group makes progress and has all acknowledged commands.
    pub fn settle(&mut self) -> Result<(), Violation> {
        self.record_event("settle".into());
        for at in 0..self.nodes.len() {
            let removed = self.is_removed(&self.nodes[at]);
            if self.nodes[at].core.is_none() && !removed {
                self.start(at);
            }
        }
        let before = self.acknowledged.len();
        self.run(6_000)?;
        if self.acknowledged.len() <= before + 50 {
            return Err(format!(
                "no progress: {before} acknowledged, now {}",
                self.acknowledged.len()
            ));
        }
        let Some(&leader) = self
            .leaders()
            .iter()
            .find(|&&at| self.nodes[at].core.as_ref().is_some_and(|core| core.can_read(self.now)))
        else {
            return Err("no leader".into());
        };
        let has: BTreeSet<u64> = self.nodes[leader].applied.values().copied().collect();
        match self.acknowledged.iter().find(|command| !has.contains(command)) {
            Some(lost) => Err(format!("acknowledged command {lost} is lost")),
            None => Ok(()),
        }
    }

    /// Records the state of each member, to be printed with a violation.
    fn record_nodes(&mut self) {
        let describe = |node: &Node| match &node.core {
            None => format!("{}: down", node.name),
            Some(core) => format!(
                "{}: {:?} term {} last {}/{} commit {} committed members {} members {:?}",
                core.id(),
                core.role(),
                core.term(),
                core.log().last_index(),
                core.log().last_term(),
                core.commit_index(),
                core.committed_members_index(),
                core.members(),
            ),
        };
        let described: Vec<String> = self.nodes.iter().map(describe).collect();
        described.into_iter().for_each(|text| self.record_event(text));
    }

    pub fn acknowledged(&self) -> usize {
        self.acknowledged.len()
    }
}

fn encode(applied: &BTreeMap<Index, u64>) -> Vec<u8> {
    borsh::to_vec(applied).expect("a map")
}

fn decode(state: &[u8]) -> BTreeMap<Index, u64> {
    if state.is_empty() {
        return BTreeMap::new();
    }
    borsh::from_slice(state).expect("a map")
}

fn zone(number: usize) -> String {
    format!("zone-{}", number % 3)
}
