//! A replica: consensus, its disk, the jobs, and the tasks that wait for them. All of it runs on
//! the control thread; the disk has its own thread.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{oneshot, Notify};
use tokio::time::Instant;
use yokefall_clock::ElapsedClock;
use yokefall_consensus::{
    ChangeEvent, Consensus, Effects, Entry, Index, MemberId, Message, Millis, Payload, Role,
    Snapshot, Term, TransferEvent, Write,
};
use yokefall_core::Timestamp;

use crate::admission::{Admission, Rejection, Reservation, Usage};
use crate::connections::Links;
use crate::disk::{Disk, DiskCommand};
use crate::loads::Loads;
use crate::protocol::{Frame, Submission};
use crate::snapshot::{decode_state, encode_state};
use crate::state::{Applied, Command, Jobs, UnreadableCommand};
use crate::wal::Rewrite;

const LEADER_HINT_LIFETIME: Duration = Duration::from_millis(3_000);

/// Resource limits of a replica, and the replication that acknowledgements require.
#[derive(Clone, Copy, Debug)]
pub struct StoreLimits {
    /// Number of disks that must hold acknowledged data.
    pub copies: usize,
    /// Bytes of log above which it is compacted into a snapshot.
    pub log_bytes: usize,
    /// Bytes of jobs above which submissions are rejected.
    pub job_bytes: usize,
}

/// Disk commands that belong together, and the messages to send once they are synced.
struct Batch {
    commands: usize,
    messages: Vec<Message>,
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
    /// Notified about each result of a job.
    pub(crate) readers: HashMap<String, Rc<Notify>>,
    /// When this replica applied the submission of each job.
    pub(crate) accepted_at: HashMap<String, Instant>,
    /// Jobs accepted since the runner last took them, while this replica leads.
    pub(crate) newly_accepted: Vec<String>,
    pub(crate) joining: HashMap<String, (MemberId, Instant)>,
    /// The leader according to another member; used outside the group.
    leader_hint: Option<(String, Instant)>,
    role: Role,
}

/// Observer of the group and its jobs.
pub trait StoreObserver {
    /// The role of this replica changed.
    fn role(&self, role: Role, term: Term, leader: Option<&MemberId>);
    /// A membership change made progress or ended.
    fn change(&self, event: &ChangeEvent);
    /// A leadership transfer made progress or ended.
    fn transfer(&self, event: &TransferEvent);
    /// The members changed.
    fn members(&self, voters: usize, learners: usize, index: Index);
    /// The log was compacted; bytes of the state, the log and the jobs.
    fn compacted(&self, state: usize, log: usize, jobs: usize);
    /// A snapshot of `bytes` is sent to a member.
    fn state_sent(&self, member: &MemberId, bytes: usize);
    /// A snapshot of `bytes` up to `index` was installed.
    fn state_installed(&self, index: Index, bytes: usize);
    /// A command was applied.
    fn applied(&self, index: Index, applied: &Applied);
    /// A command cannot be read. The replica must stop, or its state would differ from the others'.
    fn unreadable(&self, index: Index, error: &UnreadableCommand);
}

/// A replica.
pub struct Store {
    pub(crate) inner: RefCell<Inner>,
    disk: Disk,
    links: Links,
    clock: ElapsedClock,
    observer: Box<dyn StoreObserver>,
    limits: StoreLimits,
    admission: Admission,
    /// Load of the back ends.
    pub loads: Loads,
    /// Notified when the role or a deadline changed.
    pub deadline_changed: Notify,
    /// Notified when items may have to be started or stopped.
    pub work_changed: Notify,
    /// Notified when a gateway reported its load, or items started or ended.
    pub loads_changed: Notify,
    /// Notified when the members may have to change.
    pub group_changed: Notify,
}

/// Why a command is not known to be in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// This replica does not lead; nothing was done.
    NotLeader,
    /// Leadership was lost; the command may or may not be in force.
    Unknown,
}

impl Store {
    /// Creates a replica; `core` must not have been ticked yet.
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
            jobs: decode_state(&state).expect("a valid snapshot"),
            batches: VecDeque::new(),
            proposals: HashMap::new(),
            readers: HashMap::new(),
            accepted_at: HashMap::new(),
            newly_accepted: Vec::new(),
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
            admission: Admission::default(),
            loads: Loads::default(),
            deadline_changed: Notify::new(),
            work_changed: Notify::new(),
            loads_changed: Notify::new(),
            group_changed: Notify::new(),
        }
    }

    /// Milliseconds on the clock of this process, which includes time in suspension: a leader that
    /// was suspended for longer than its lease must not answer, since there may be another leader.
    pub fn now(&self) -> Millis {
        self.clock.now().0
    }

    /// When `tick` must be called next.
    pub fn next_deadline(&self) -> Instant {
        let deadline = self.inner.borrow().core.next_deadline();
        self.clock.timer_at(Timestamp(deadline.min(u64::from(u32::MAX))))
    }

    /// Runs a step of the consensus core and applies its effects.
    pub fn with_core<R>(&self, step: impl FnOnce(&mut Consensus, Millis) -> R) -> R {
        let now = self.now();
        let inner = &mut *self.inner.borrow_mut();
        let before = inner.core.next_deadline();
        let result = step(&mut inner.core, now);
        self.apply_effects(inner);
        if inner.core.next_deadline() < before {
            self.deadline_changed.notify_one();
        }
        result
    }

    /// Advances the consensus core to the current time.
    pub fn tick(&self) {
        self.with_core(|core, now| core.tick(now));
    }

    /// Handles a message of another member.
    pub fn receive(&self, message: Message) {
        self.with_core(|core, now| core.receive(now, message));
    }

    /// Handles that the disk has synced this many commands.
    pub fn synced(&self, commands: usize) {
        let now = self.now();
        let inner = &mut *self.inner.borrow_mut();
        let mut remaining = commands;
        while remaining > 0 {
            let Some(batch) = inner.batches.front_mut() else { break };
            let done = batch.commands.min(remaining);
            batch.commands -= done;
            remaining -= done;
            if batch.commands > 0 {
                break;
            }
            inner.core.writes_synced(now);
            let messages =
                inner.batches.pop_front().map(|batch| batch.messages).unwrap_or_default();
            self.send(messages);
        }
        self.apply_effects(inner);
    }

    fn send(&self, messages: Vec<Message>) {
        for message in messages {
            let to = message.to.name.clone();
            self.links.send(&to, &Frame::Consensus(message));
        }
    }

    /// Sends a frame that does not originate from the consensus core.
    pub fn send_frame(&self, name: &str, frame: &Frame) {
        self.links.send(name, frame);
    }

    fn apply_effects(&self, inner: &mut Inner) {
        loop {
            let effects = inner.core.take_effects();
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
            let idle = writes.is_empty()
                && install.is_none()
                && committed.is_empty()
                && snapshot_targets.is_empty();
            self.send(messages);
            transfers.iter().for_each(|event| self.observer.transfer(event));
            changes.iter().for_each(|event| self.observer.change(event));
            self.enqueue_writes(inner, writes, messages_after_sync);
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
        self.update_role(inner);
        let log = inner.core.log().bytes();
        if log > self.limits.log_bytes && inner.core.applied_bytes() > self.limits.log_bytes / 2 {
            let state = encode_state(&inner.jobs);
            self.observer.compacted(state.len(), log, inner.jobs.held_bytes());
            inner.core.compact(state);
            let effects = inner.core.take_effects();
            self.enqueue_writes(inner, effects.writes, Vec::new());
        }
    }

    /// Sends a snapshot to members that lack entries which are no longer in the log.
    fn send_state(&self, inner: &mut Inner, members: &[MemberId]) {
        let state = encode_state(&inner.jobs);
        let now = self.now();
        for member in members {
            self.observer.state_sent(member, state.len());
            inner.core.install(now, member, state.clone());
        }
    }

    fn enqueue_writes(&self, inner: &mut Inner, writes: Vec<Write>, messages: Vec<Message>) {
        if writes.is_empty() {
            match inner.batches.back_mut() {
                Some(batch) => batch.messages.extend(messages),
                None => self.send(messages),
            }
            return;
        }
        inner.core.writes_started();
        let mut commands = 0;
        let mut appends = Vec::new();
        for write in writes {
            if let Write::Snapshot { snapshot, .. } = write {
                self.disk.enqueue(DiskCommand::Append(std::mem::take(&mut appends)));
                let rewrite = rewrite_of(&inner.core, snapshot);
                self.disk.enqueue(DiskCommand::Replace(Box::new(rewrite)));
                commands += 2;
            } else {
                appends.push(write);
            }
        }
        if !appends.is_empty() {
            self.disk.enqueue(DiskCommand::Append(appends));
            commands += 1;
        }
        inner.batches.push_back(Batch { commands, messages });
    }

    fn install(&self, inner: &mut Inner, snapshot: &Snapshot) {
        self.observer.state_installed(snapshot.index, snapshot.state.len());
        inner.jobs = decode_state(&snapshot.state).expect("a valid snapshot");
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
                    self.handle_applied(inner, index, applied);
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

    fn handle_applied(&self, inner: &mut Inner, index: Index, applied: Applied) {
        self.observer.applied(index, &applied);
        match applied {
            Applied::Several(each) => {
                each.into_iter().for_each(|one| self.handle_applied(inner, index, one));
            }
            Applied::Accepted { job } => {
                if inner.role == Role::Leader {
                    inner.newly_accepted.push(job.clone());
                }
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

    fn update_role(&self, inner: &mut Inner) {
        let role = inner.core.role();
        if role == inner.role {
            return;
        }
        inner.role = role;
        if role != Role::Leader {
            // Dropping the senders tells all waiting tasks that the outcome is unknown.
            inner.proposals.clear();
            inner.newly_accepted.clear();
        }
        self.observer.role(role, inner.core.term(), inner.core.leader());
        self.deadline_changed.notify_one();
        self.work_changed.notify_one();
        self.group_changed.notify_one();
    }

    /// Whether this replica leads with a valid lease and has applied all entries of earlier terms.
    pub fn leads(&self) -> bool {
        let inner = self.inner.borrow();
        inner.core.can_read(self.now())
    }

    /// Whether this replica is the leader, even if its lease is not valid at the moment.
    pub fn is_leader(&self) -> bool {
        self.inner.borrow().core.role() == Role::Leader
    }

    /// Whether this replica knows another one to be the leader.
    pub fn follows(&self) -> bool {
        let inner = self.inner.borrow();
        inner.core.leader().is_some_and(|leader| leader != inner.core.id())
    }

    /// Whether this replica may answer: it leads, and losing one disk loses no acknowledged data.
    pub fn serves(&self) -> bool {
        let inner = self.inner.borrow();
        inner.core.can_read(self.now()) && inner.core.committed_voters() >= self.limits.copies
    }

    /// The current term.
    pub fn term(&self) -> Term {
        self.inner.borrow().core.term()
    }

    /// Name of the leader, if known.
    pub fn leader(&self) -> Option<String> {
        let inner = self.inner.borrow();
        if let Some(leader) = inner.core.leader() {
            return Some(leader.name.clone());
        }
        let hint = inner.leader_hint.as_ref().filter(|(_, at)| at.elapsed() < LEADER_HINT_LIFETIME);
        hint.map(|(name, _)| name.clone())
    }

    /// The leader, unless it is this replica with an expired lease: another may lead by now.
    pub fn confirmed_leader(&self) -> Option<String> {
        let own_name = self.inner.borrow().core.id().name.clone();
        self.leader().filter(|leader| *leader != own_name || self.serves())
    }

    /// Records a leader hint from another member.
    pub fn set_leader_hint(&self, name: String) {
        self.inner.borrow_mut().leader_hint = Some((name, Instant::now()));
    }

    /// Reserves resources for a submission while it is being replicated.
    pub fn reserve(
        &self,
        job: &str,
        submission: &Submission,
    ) -> Result<Reservation<'_>, Rejection> {
        let inner = self.inner.borrow();
        let limited = submission.max_queued_tokens.is_some();
        let usage = Usage {
            bytes: inner.jobs.held_bytes(),
            max_bytes: self.limits.job_bytes,
            queued_tokens: if limited { inner.jobs.queued_tokens(&submission.queue) } else { 0 },
        };
        self.admission.reserve(job, submission, usage)
    }

    /// Whether a submission is being replicated.
    pub fn is_pending(&self, job: &str) -> bool {
        self.admission.is_pending(job)
    }

    /// Proposes a command and waits until it is applied.
    pub async fn propose(&self, command: &Command) -> Result<(), ProposeError> {
        let (reply, done) = oneshot::channel();
        if !self.propose_with(command, Some(reply)) {
            return Err(ProposeError::NotLeader);
        }
        done.await.map_err(|_| ProposeError::Unknown)
    }

    /// Proposes a command without waiting for it. Returns whether this replica leads.
    pub fn propose_detached(&self, command: &Command) -> bool {
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
        self.apply_effects(inner);
        true
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
