//! One replica: the replicated log, its disk, the jobs, and whoever waits for them. All of it is
//! on the control thread; the disk has a thread of its own.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{oneshot, Notify};
use tokio::time::Instant;
use yokefall_clock::ElapsedClock;
use yokefall_consensus::{
    Consensus, Effects, Entry, Index, MemberId, Message, Millis, Payload, Role, Snapshot, Term,
    Write,
};
use yokefall_core::Timestamp;

use crate::connections::Links;
use crate::disk::{Disk, DiskOrder};
use crate::intake::{Intake, NotTaken, Occupied, Reservation};
use crate::loads::Loads;
use crate::protocol::{Frame, Submission};
use crate::snapshot::{decode_state, encode_state};
use crate::state::{Applied, Command, Jobs, UnreadableCommand};
use crate::wal::Rewrite;

/// Time for which another member's word of who leads counts.
const HINT_LIFETIME: Duration = Duration::from_millis(3_000);

/// What a replica may hold, and what its answers need.
#[derive(Clone, Copy, Debug)]
pub struct StoreLimits {
    /// Disks that must hold what is acknowledged.
    pub copies: usize,
    /// Bytes of log after which the state takes the place of its entries.
    pub log_bytes: usize,
    /// Bytes of jobs above which no further one is taken.
    pub job_bytes: usize,
}

/// Orders to the disk that belong together, and what waits for them.
struct Batch {
    orders: usize,
    held: Vec<Message>,
}

struct Proposal {
    term: Term,
    reply: oneshot::Sender<()>,
}

pub(crate) struct Inner {
    core: Consensus,
    pub(crate) jobs: Jobs,
    batches: VecDeque<Batch>,
    proposals: HashMap<Index, Proposal>,
    /// Woken by each result of a job.
    pub(crate) readers: HashMap<String, Rc<Notify>>,
    /// When this replica applied the submission of each job.
    pub(crate) accepted_at: HashMap<String, Instant>,
    joining: HashMap<String, (MemberId, Instant)>,
    /// Who leads by the word of another member; for a process outside of the group.
    leader_hint: Option<(String, Instant)>,
    role: Role,
}

/// Told of what happens to the group and to jobs.
pub trait StoreObserver {
    /// The role of this replica, or its view of the leader, changed.
    fn role(&self, role: Role, term: Term, leader: Option<&MemberId>);
    /// The members changed.
    fn members(&self, voters: usize, learners: usize, index: Index);
    /// The state took the place of log entries; bytes of the state, the log and the jobs.
    fn compacted(&self, state: usize, log: usize, jobs: usize);
    /// The whole state goes to a member; its bytes.
    fn state_sent(&self, member: &MemberId, bytes: usize);
    /// The whole state after a position was taken; its bytes.
    fn state_taken(&self, index: Index, bytes: usize);
    /// A command was applied.
    fn applied(&self, index: Index, applied: &Applied);
    /// A command can't be read. This replica must not go on: it would hold another state than the others.
    fn unreadable(&self, index: Index, error: &UnreadableCommand);
}

/// One replica.
pub struct Store {
    pub(crate) inner: RefCell<Inner>,
    disk: Disk,
    links: Links,
    clock: ElapsedClock,
    observer: Box<dyn StoreObserver>,
    limits: StoreLimits,
    intake: Intake,
    /// What is in flight at back ends.
    pub loads: Loads,
    /// Woken when the role or a deadline changed.
    pub deadline_changed: Notify,
    /// Woken when there may be something to run, or to stop running.
    pub work_changed: Notify,
    /// Woken when a gateway reported its load, or items started or ended.
    pub loads_changed: Notify,
    /// Woken when members may have to change.
    pub group_changed: Notify,
}

/// Why a command is not in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// This replica does not lead; nothing was done.
    NotLeader,
    /// The lead was lost: the command may be in force or not.
    Unknown,
}

impl Store {
    /// A replica; `core` is not ticked yet.
    pub fn new(
        core: Consensus,
        state: Bytes,
        disk: Disk,
        links: Links,
        observer: Box<dyn StoreObserver>,
        limits: StoreLimits,
        clock: ElapsedClock,
    ) -> Self {
        let inner = Inner {
            core,
            jobs: decode_state(&state).expect("a state of the log"),
            batches: VecDeque::new(),
            proposals: HashMap::new(),
            readers: HashMap::new(),
            accepted_at: HashMap::new(),
            joining: HashMap::new(),
            leader_hint: None,
            role: Role::Follower,
        };
        Self {
            inner: RefCell::new(inner),
            disk,
            links,
            clock,
            observer,
            limits,
            intake: Intake::default(),
            loads: Loads::default(),
            deadline_changed: Notify::new(),
            work_changed: Notify::new(),
            loads_changed: Notify::new(),
            group_changed: Notify::new(),
        }
    }

    /// Milliseconds on this process's clock, which counts suspension: a leader that was suspended for longer
    /// than its lease must not answer, since another one may lead.
    pub fn now(&self) -> Millis {
        self.clock.now().0
    }

    /// When `tick` has something to do.
    pub fn next_deadline(&self) -> Instant {
        let deadline = self.inner.borrow().core.next_deadline();
        self.clock.timer_at(Timestamp(deadline.min(u64::from(u32::MAX))))
    }

    /// Runs a step of the core, then carries out what follows.
    pub fn with_core<R>(&self, step: impl FnOnce(&mut Consensus, Millis) -> R) -> R {
        let now = self.now();
        let inner = &mut *self.inner.borrow_mut();
        let before = inner.core.next_deadline();
        let result = step(&mut inner.core, now);
        self.carry_out(inner);
        if inner.core.next_deadline() < before {
            self.deadline_changed.notify_one();
        }
        result
    }

    /// Time has passed.
    pub fn tick(&self) {
        self.with_core(|core, now| core.tick(now));
    }

    /// A message of another member arrived.
    pub fn receive(&self, message: Message) {
        self.with_core(|core, now| core.receive(now, message));
    }

    /// The disk synced this many orders.
    pub fn synced(&self, orders: usize) {
        let now = self.now();
        let inner = &mut *self.inner.borrow_mut();
        let mut left = orders;
        while left > 0 {
            let Some(batch) = inner.batches.front_mut() else { break };
            let done = batch.orders.min(left);
            batch.orders -= done;
            left -= done;
            if batch.orders > 0 {
                break;
            }
            inner.core.writes_synced(now);
            let held = inner.batches.pop_front().map(|batch| batch.held).unwrap_or_default();
            self.send(held);
        }
        self.carry_out(inner);
    }

    fn send(&self, messages: Vec<Message>) {
        for message in messages {
            let to = message.to.name.clone();
            self.links.send(&to, &Frame::Consensus(message));
        }
    }

    /// Sends a frame that is not the core's own.
    pub fn send_frame(&self, name: &str, frame: &Frame) {
        self.links.send(name, frame);
    }

    fn carry_out(&self, inner: &mut Inner) {
        loop {
            let effects = inner.core.take_effects();
            let Effects {
                writes,
                messages,
                messages_after_sync,
                install,
                committed,
                snapshot_targets,
            } = effects;
            let idle = writes.is_empty()
                && install.is_none()
                && committed.is_empty()
                && snapshot_targets.is_empty();
            self.send(messages);
            self.order_writes(inner, writes, messages_after_sync);
            if let Some(snapshot) = install {
                self.install(inner, &snapshot);
            }
            for entry in committed {
                self.apply(inner, entry);
            }
            if !snapshot_targets.is_empty() {
                self.send_state(inner, &snapshot_targets);
            }
            if idle {
                break;
            }
        }
        self.note_role(inner);
        let log = inner.core.log().bytes();
        if log > self.limits.log_bytes && inner.core.applied_bytes() > self.limits.log_bytes / 2 {
            let state = encode_state(&inner.jobs);
            self.observer.compacted(state.len(), log, inner.jobs.held_bytes());
            inner.core.compact(state);
            let effects = inner.core.take_effects();
            self.order_writes(inner, effects.writes, Vec::new());
        }
    }

    /// Sends the whole state to members that lack entries which the log no longer has.
    fn send_state(&self, inner: &mut Inner, members: &[MemberId]) {
        let state = encode_state(&inner.jobs);
        let now = self.now();
        for member in members {
            self.observer.state_sent(member, state.len());
            inner.core.install(now, member, state.clone());
        }
    }

    fn order_writes(&self, inner: &mut Inner, writes: Vec<Write>, held: Vec<Message>) {
        if writes.is_empty() {
            match inner.batches.back_mut() {
                Some(batch) => batch.held.extend(held),
                None => self.send(held),
            }
            return;
        }
        inner.core.writes_started();
        let mut orders = 0;
        let mut plain = Vec::new();
        for write in writes {
            if let Write::Snapshot { snapshot, .. } = write {
                self.disk.order(DiskOrder::Append(std::mem::take(&mut plain)));
                let rewrite = rewrite_of(&inner.core, snapshot);
                self.disk.order(DiskOrder::Replace(Box::new(rewrite)));
                orders += 2;
            } else {
                plain.push(write);
            }
        }
        if !plain.is_empty() {
            self.disk.order(DiskOrder::Append(plain));
            orders += 1;
        }
        inner.batches.push_back(Batch { orders, held });
    }

    fn install(&self, inner: &mut Inner, snapshot: &Snapshot) {
        self.observer.state_taken(snapshot.index, snapshot.state.len());
        inner.jobs = decode_state(&snapshot.state).expect("a state of the log");
        let now = Instant::now();
        let accepted = inner.jobs.iter().map(|(id, _)| (id.clone(), now));
        inner.accepted_at = accepted.collect();
    }

    fn apply(&self, inner: &mut Inner, entry: Entry) {
        let Entry { index, term, payload } = entry;
        match payload {
            Payload::Empty => {}
            Payload::Members(members) => {
                self.observer.members(members.voters.len(), members.learners.len(), index);
                self.group_changed.notify_one();
            }
            Payload::Command(bytes) => match Command::decode(&bytes) {
                Ok(command) => {
                    let applied = inner.jobs.apply(command);
                    self.note_applied(inner, index, applied);
                }
                Err(error) => self.observer.unreadable(index, &error),
            },
        }
        if let Some(proposal) = inner.proposals.remove(&index) {
            if proposal.term == term {
                let _ = proposal.reply.send(());
            }
        }
    }

    fn note_applied(&self, inner: &mut Inner, index: Index, applied: Applied) {
        self.observer.applied(index, &applied);
        match applied {
            Applied::Accepted { job } => {
                inner.accepted_at.entry(job).or_insert_with(Instant::now);
                self.work_changed.notify_one();
            }
            Applied::Finished { job, .. } | Applied::Ended { job } => {
                if let Some(readers) = inner.readers.get(&job) {
                    readers.notify_waiters();
                }
                self.work_changed.notify_one();
            }
            Applied::Forgotten { job } => {
                inner.accepted_at.remove(&job);
                inner.readers.remove(&job);
            }
            Applied::Nothing => {}
        }
    }

    fn note_role(&self, inner: &mut Inner) {
        let role = inner.core.role();
        if role == inner.role {
            return;
        }
        inner.role = role;
        if role != Role::Leader {
            // Whoever waits hears that the outcome is unknown.
            inner.proposals.clear();
        }
        self.observer.role(role, inner.core.term(), inner.core.leader());
        self.deadline_changed.notify_one();
        self.work_changed.notify_one();
        self.group_changed.notify_one();
    }

    /// Whether this replica leads and has applied everything of the terms before.
    pub fn leads(&self) -> bool {
        let inner = self.inner.borrow();
        inner.core.can_read(self.now())
    }

    /// Whether this replica leads, though it may not be sure of it at this moment.
    pub fn is_leader(&self) -> bool {
        self.inner.borrow().core.role() == Role::Leader
    }

    /// Whether this replica leads a group with enough disks for an answer to be worth the loss of
    /// one. What a group below that holds, a lost disk may take away again.
    pub fn serves(&self) -> bool {
        let inner = self.inner.borrow();
        inner.core.can_read(self.now()) && inner.core.committed_voters() >= self.limits.copies
    }

    /// The present term.
    pub fn term(&self) -> Term {
        self.inner.borrow().core.term()
    }

    /// Name of the leader, as far as known.
    pub fn leader(&self) -> Option<String> {
        let inner = self.inner.borrow();
        if let Some(leader) = inner.core.leader() {
            return Some(leader.name.clone());
        }
        let hint = inner.leader_hint.as_ref().filter(|(_, at)| at.elapsed() < HINT_LIFETIME);
        hint.map(|(name, _)| name.clone())
    }

    /// Who leads, unless it is this replica and its lease has ended: it may be cut off, and another one
    /// may lead already.
    pub fn leader_in_touch(&self) -> Option<String> {
        let own_name = self.inner.borrow().core.id().name.clone();
        self.leader().filter(|leader| *leader != own_name || self.serves())
    }

    /// Another member tells who leads.
    pub fn note_leader(&self, name: String) {
        self.inner.borrow_mut().leader_hint = Some((name, Instant::now()));
    }

    /// Reserves room for a submission while it is on its way into the log.
    pub fn reserve(&self, job: &str, submission: &Submission) -> Result<Reservation<'_>, NotTaken> {
        let inner = self.inner.borrow();
        let limited = submission.max_queued_tokens.is_some();
        let occupied = Occupied {
            bytes: inner.jobs.held_bytes(),
            most_bytes: self.limits.job_bytes,
            queued_tokens: if limited { inner.jobs.queued_tokens(&submission.queue) } else { 0 },
        };
        self.intake.reserve(job, submission, occupied)
    }

    /// Whether a submission is on its way into the log.
    pub fn is_under_way(&self, job: &str) -> bool {
        self.intake.is_pending(job)
    }

    /// Proposes a command and waits until it is in force.
    pub async fn propose(&self, command: &Command) -> Result<(), ProposeError> {
        let (reply, done) = oneshot::channel();
        if !self.propose_with(command, Some(reply)) {
            return Err(ProposeError::NotLeader);
        }
        done.await.map_err(|_| ProposeError::Unknown)
    }

    /// Proposes a command that nobody waits for. Returns whether this replica leads.
    pub fn propose_only(&self, command: &Command) -> bool {
        self.propose_with(command, None)
    }

    fn propose_with(&self, command: &Command, reply: Option<oneshot::Sender<()>>) -> bool {
        let bytes = borsh::to_vec(command).unwrap_or_default();
        let now = self.now();
        let inner = &mut *self.inner.borrow_mut();
        let Some(index) = inner.core.propose(now, bytes) else { return false };
        if let Some(reply) = reply {
            let term = inner.core.term();
            inner.proposals.insert(index, Proposal { term, reply });
        }
        self.carry_out(inner);
        true
    }

    /// A member asks to join the group.
    pub fn note_joining(&self, member: MemberId) {
        let entry = (member.clone(), Instant::now());
        self.inner.borrow_mut().joining.insert(member.name, entry);
        self.group_changed.notify_one();
    }

    /// Members that asked to join within a time.
    pub fn joining(&self, within: Duration) -> Vec<MemberId> {
        let mut inner = self.inner.borrow_mut();
        inner.joining.retain(|_, (_, asked_at)| asked_at.elapsed() < within);
        inner.joining.values().map(|(member, _)| member.clone()).collect()
    }
}

fn rewrite_of(core: &Consensus, snapshot: Snapshot) -> Rewrite {
    let entries = core.log().from(snapshot.index + 1, usize::MAX);
    let (term, committed_members_index) = (core.term(), core.committed_members_index());
    Rewrite {
        term,
        voted_for: core.voted_for().cloned(),
        committed_members_index,
        snapshot,
        entries,
    }
}
