//! Bringing an empty member up to date without sending much more than one copy of the log.

use std::collections::{BTreeMap, VecDeque};

use yokefall_consensus::{
    Body, Consensus, MemberId, Members, Message, Millis, Recovered, Snapshot,
};

/// One-way latency between the members, in milliseconds: a link with a full queue.
const LATENCY_MS: Millis = 30;
/// Number of entries before the learner joins, and their size in bytes.
const ENTRIES: u64 = 2_000;
const ENTRY_BYTES: usize = 2_000;

fn member(name: &str) -> MemberId {
    MemberId { name: name.into(), incarnation: 1 }
}

fn core(name: &str) -> Consensus {
    Consensus::new(member(name), Recovered::default(), 0, 1)
}

/// Carries out effects with a disk that syncs immediately; returns the messages.
fn drain(core: &mut Consensus, now: Millis) -> Vec<Message> {
    let mut messages = Vec::new();
    loop {
        let effects = core.take_effects();
        let wrote = !effects.writes.is_empty();
        if wrote {
            core.writes_started();
            core.writes_synced(now);
        }
        let sent = effects.messages.len() + effects.messages_after_sync.len();
        messages.extend(effects.messages);
        messages.extend(effects.messages_after_sync);
        if !wrote && sent == 0 {
            return messages;
        }
    }
}

fn entries_in(message: &Message) -> usize {
    match &message.body {
        Body::Append { entries, .. } => entries.len(),
        _ => 0,
    }
}

/// Guards against resending the window for each rejection, which filled links with duplicates.
#[test]
fn a_learner_is_sent_each_entry_about_once() {
    let mut leader = core("a");
    let mut learner = core("b");
    leader.bootstrap(0);
    leader.tick(0);
    drain(&mut leader, 0);
    leader.tick(1);
    drain(&mut leader, 1);
    for now in 0..ENTRIES {
        leader.propose(now, vec![0; ENTRY_BYTES]).expect("the leader");
        drain(&mut leader, now);
    }
    let members = Members { voters: vec![member("a")], learners: vec![member("b")], epoch: 1 };
    assert!(leader.change_members(ENTRIES, members));
    let mut links: VecDeque<(Millis, Message)> = VecDeque::new();
    let mut sent = 0;
    let mut now = ENTRIES;
    while leader.matched(&member("b")) + 100 < leader.log().last_index() || now < ENTRIES + 500 {
        now += 1;
        leader.propose(now, vec![0; ENTRY_BYTES]).expect("the leader");
        if now >= leader.next_deadline() {
            leader.tick(now);
        }
        while links.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, message)) = links.pop_front() else { break };
            let to = if message.to == member("a") { &mut leader } else { &mut learner };
            to.receive(now, message);
        }
        for message in drain(&mut leader, now).into_iter().chain(drain(&mut learner, now)) {
            sent += entries_in(&message);
            links.push_back((now + LATENCY_MS, message));
        }
        assert!(now < ENTRIES + 20_000, "the learner never catches up");
    }
    let entries = leader.log().last_index() as usize;
    assert!(sent < entries * 3 / 2, "{sent} entries were sent for {entries}");
}

/// Members with immediate syncs and links of 1 ms, except for snapshots; `lost` get nothing.
struct Group {
    now: Millis,
    members: Vec<Consensus>,
    lost: Vec<&'static str>,
    applied: BTreeMap<String, u64>,
    snapshots_in_flight: VecDeque<(Millis, Message)>,
    snapshots_sent: usize,
    /// Number of snapshots that are lost next.
    snapshots_to_lose: usize,
}

const SNAPSHOT_LATENCY_MS: Millis = 700;

impl Group {
    fn of(names: &[&str]) -> Self {
        let members = names.iter().map(|name| core(name)).collect();
        Self {
            now: 0,
            members,
            lost: Vec::new(),
            applied: BTreeMap::new(),
            snapshots_in_flight: VecDeque::new(),
            snapshots_sent: 0,
            snapshots_to_lose: 0,
        }
    }

    fn at(&mut self, name: &str) -> &mut Consensus {
        self.members.iter_mut().find(|core| core.id().name == name).expect("a member")
    }

    fn run(&mut self, milliseconds: Millis) {
        for _ in 0..milliseconds {
            self.now += 1;
            let now = self.now;
            let mut messages = Vec::new();
            for core in &mut self.members {
                if now >= core.next_deadline() {
                    core.tick(now);
                }
                loop {
                    let effects = core.take_effects();
                    let more = !effects.writes.is_empty() || !effects.snapshot_targets.is_empty();
                    if !effects.writes.is_empty() {
                        core.writes_started();
                        core.writes_synced(now);
                    }
                    for to in &effects.snapshot_targets {
                        core.install(now, to, STATE.into());
                    }
                    if effects.install.is_some_and(|snapshot| &snapshot.state[..] == STATE) {
                        *self.applied.entry(core.id().name.clone()).or_default() += 1;
                    }
                    messages.extend(effects.messages);
                    messages.extend(effects.messages_after_sync);
                    if !more {
                        break;
                    }
                }
            }
            while self.snapshots_in_flight.front().is_some_and(|(at, _)| *at <= now) {
                messages.extend(self.snapshots_in_flight.pop_front().map(|(_, message)| message));
            }
            for message in messages {
                if matches!(message.body, Body::Install { sent_at, .. } if now < sent_at + SNAPSHOT_LATENCY_MS)
                {
                    self.snapshots_sent += 1;
                    if self.snapshots_to_lose > 0 {
                        self.snapshots_to_lose -= 1;
                        continue;
                    }
                    self.snapshots_in_flight.push_back((now + SNAPSHOT_LATENCY_MS, message));
                    continue;
                }
                let is_lost = |name: &str| self.lost.contains(&name);
                if !is_lost(&message.to.name) && !is_lost(&message.from.name) {
                    let to = message.to.name.clone();
                    self.at(&to).receive(now, message);
                }
            }
        }
    }
}

const STATE: &[u8] = b"the state";
/// Time in which a learner must have a snapshot, of which one is lost, in milliseconds.
const MAX_REFILL_MS: Millis = 3_000;

/// Guards against starving a learner. Snapshots are sent one at a time, and a voter that was lost
/// for good got one after the other, so that the member that was to replace it never received any.
#[test]
fn a_lost_member_does_not_block_the_snapshot_of_another() {
    let mut group = Group::of(&["a", "b", "c", "d"]);
    group.at("a").bootstrap(0);
    group.run(10);
    for voters in [vec!["a", "b"], vec!["a", "b", "c"]] {
        let voters = voters.into_iter().map(member).collect();
        let members = Members { voters, learners: Vec::new(), epoch: 1 };
        let now = group.now;
        assert!(group.at("a").change_members(now, members));
        group.run(300);
    }
    group.lost.push("c");
    for _ in 0..50 {
        let now = group.now;
        group.at("a").propose(now, vec![0; 100]).expect("the leader");
        group.run(10);
    }
    for name in ["a", "b"] {
        group.at(name).compact(STATE.into());
    }
    let now = group.now;
    assert!(group.at("a").transfer_leadership(now, &[member("b")]));
    group.run(500);
    let now = group.now;
    group.at("b").propose(now, vec![0; 100]).expect("the leader");
    group.run(5_000);
    let voters = vec![member("a"), member("b"), member("c")];
    let members = Members { voters, learners: vec![member("d")], epoch: 1 };
    let now = group.now;
    assert!(group.at("b").change_members(now, members));
    group.run(8_000);
    assert_eq!(group.applied.get("d"), Some(&1), "the learner got no snapshot");
    assert_eq!(group.snapshots_sent, 1, "the snapshot was sent again while it was in flight");
}

/// A member whose snapshot was lost with its connection waited for three seconds, in which its
/// answers were ignored, although each of them showed that it had nothing.
#[test]
fn a_lost_snapshot_is_sent_again_soon() {
    let mut group = Group::of(&["a", "b"]);
    group.at("a").bootstrap(0);
    group.run(10);
    for _ in 0..50 {
        let now = group.now;
        group.at("a").propose(now, vec![0; 100]).expect("the leader");
        group.run(10);
    }
    group.at("a").compact(STATE.into());
    group.snapshots_to_lose = 1;
    let members = Members { voters: vec![member("a")], learners: vec![member("b")], epoch: 1 };
    let now = group.now;
    assert!(group.at("a").change_members(now, members));
    group.run(MAX_REFILL_MS);
    assert_eq!(group.applied.get("b"), Some(&1), "the learner got no snapshot");
    assert_eq!(group.snapshots_sent, 2);
}

/// A member that got the state from its leader and was restarted told its leader for good that it
/// did not know the members to be committed, and no machine could be reported as retired any more.
#[test]
fn a_member_that_restarts_from_a_snapshot_knows_its_members_to_be_committed() {
    let members = Members { voters: vec![member("a")], learners: Vec::new(), epoch: 1 };
    let snapshot = Snapshot { index: 9, term: 1, members, members_index: 5, state: STATE.into() };
    let recovered = Recovered { term: 1, snapshot, ..Recovered::default() };
    let core = Consensus::new(member("a"), recovered, 0, 1);
    assert_eq!(core.committed_members_index(), 5);
}

/// One-way latency of a link on which a round trip takes longer than the interval at which the leader
/// evaluates its policy, in milliseconds.
const SLOW_LATENCY_MS: Millis = 60;
const POLICY_INTERVAL_MS: Millis = 100;

/// A change of voters that is requested again and again, before the answers to the first request
/// arrive, must be confirmed by them all the same.
#[test]
fn a_change_is_confirmed_on_a_slow_link() {
    let (mut leader, mut learner) = (core("a"), core("b"));
    leader.bootstrap(0);
    leader.tick(0);
    drain(&mut leader, 0);
    leader.tick(1);
    drain(&mut leader, 1);
    let learners = Members { voters: vec![member("a")], learners: vec![member("b")], epoch: 1 };
    assert!(leader.change_members(1, learners));
    let voters = Members { voters: vec![member("a"), member("b")], learners: Vec::new(), epoch: 1 };
    let mut links: VecDeque<(Millis, Message)> = VecDeque::new();
    for now in 2..2_000 {
        if now >= leader.next_deadline() {
            leader.tick(now);
        }
        if now > 1_000 && now % POLICY_INTERVAL_MS == 0 && leader.members().voters.len() == 1 {
            leader.change_members(now, voters.clone());
        }
        while links.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, message)) = links.pop_front() else { break };
            let to = if message.to == member("a") { &mut leader } else { &mut learner };
            to.receive(now, message);
        }
        for message in drain(&mut leader, now).into_iter().chain(drain(&mut learner, now)) {
            links.push_back((now + SLOW_LATENCY_MS, message));
        }
    }
    assert_eq!(leader.members().voters.len(), 2, "the change is never proposed");
}
