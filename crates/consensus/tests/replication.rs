//! A member that has nothing is brought up to date without sending anything much more than once.

use std::collections::{BTreeMap, VecDeque};

use yokefall_consensus::{Body, Consensus, MemberId, Members, Message, Millis, Recovered};

/// Time from one member to the other, in milliseconds: a link with a full queue.
const LATENCY_MS: Millis = 30;
/// Entries before the learner comes, and their size in bytes.
const ENTRIES: u64 = 2_000;
const ENTRY_BYTES: usize = 2_000;

fn member(name: &str) -> MemberId {
    MemberId { name: name.into(), incarnation: 1 }
}

fn core(name: &str) -> Consensus {
    Consensus::new(member(name), Recovered::default(), 0, 1)
}

/// Carries out effects with a disk that syncs at once; gives the messages.
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

/// Found by a day of the users' bench: refusals of messages that were under way had the whole window
/// sent again, each of them, and links filled with entries that were there already.
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

/// Members with a disk that syncs at once and links that take a millisecond, and long for a state;
/// `dead` ones hear nothing.
struct Group {
    now: Millis,
    members: Vec<Consensus>,
    dead: Vec<&'static str>,
    applied: BTreeMap<String, u64>,
    states: VecDeque<(Millis, Message)>,
    states_sent: usize,
}

/// Time that a state takes, in milliseconds.
const STATE_LATENCY_MS: Millis = 700;

impl Group {
    fn of(names: &[&str]) -> Self {
        let members = names.iter().map(|name| core(name)).collect();
        Self {
            now: 0,
            members,
            dead: Vec::new(),
            applied: BTreeMap::new(),
            states: VecDeque::new(),
            states_sent: 0,
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
            while self.states.front().is_some_and(|(at, _)| *at <= now) {
                messages.extend(self.states.pop_front().map(|(_, message)| message));
            }
            for message in messages {
                if matches!(message.body, Body::Install { sent_at, .. } if now < sent_at + STATE_LATENCY_MS)
                {
                    self.states_sent += 1;
                    self.states.push_back((now + STATE_LATENCY_MS, message));
                    continue;
                }
                let silent = |name: &str| self.dead.contains(&name);
                if !silent(&message.to.name) && !silent(&message.from.name) {
                    let to = message.to.name.clone();
                    self.at(&to).receive(now, message);
                }
            }
        }
    }
}

const STATE: &[u8] = b"the state";

/// Found by a day of the users' bench: states go out one at a time, and a voter that is gone for good
/// got one after the other, so that the member which was to take its place never had any.
#[test]
fn a_member_that_is_gone_does_not_keep_the_state_from_another() {
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
    group.dead.push("c");
    for _ in 0..50 {
        let now = group.now;
        group.at("a").propose(now, vec![0; 100]).expect("the leader");
        group.run(10);
    }
    for name in ["a", "b"] {
        group.at(name).compact(STATE.into());
    }
    let now = group.now;
    assert!(group.at("a").transfer_leadership(now, &member("b")));
    group.run(500);
    let now = group.now;
    group.at("b").propose(now, vec![0; 100]).expect("the leader");
    group.run(5_000);
    let voters = vec![member("a"), member("b"), member("c")];
    let members = Members { voters, learners: vec![member("d")], epoch: 1 };
    let now = group.now;
    assert!(group.at("b").change_members(now, members));
    group.run(8_000);
    assert_eq!(group.applied.get("d"), Some(&1), "the learner has no state");
    assert_eq!(group.states_sent, 1, "the state was sent again while it was under way");
}
