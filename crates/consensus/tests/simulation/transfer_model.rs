//! Bounded model checking of a leadership transfer: all placements of a few events (the request
//! arrives, a member is partitioned or killed, and returns) in the time around it.
//!
//! Safety is checked in every millisecond: one lease at most, and no read without an acknowledged
//! command. Each branch ends with a liveness check: once all faults end, somebody serves in time.

use std::collections::{BTreeSet, VecDeque};

use yokefall_consensus::{
    Body, Consensus, Index, MemberId, Members, Message, Millis, Payload, Role, Term,
};

use crate::support::Disk;

const MEMBERS: usize = 3;
const LATENCY_MS: Millis = 1;
/// Time from the request to take over until the last event, in milliseconds.
const HORIZON_MS: Millis = 800;
/// Interval between moments at which an event may happen, in milliseconds.
const SLOT_MS: Millis = 80;
/// Number of events in a branch.
const EVENTS: usize = 3;
/// Time in which the group must serve once all faults have ended, in milliseconds.
const RECOVERY_MS: Millis = 1_500;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    RequestArrives,
    Partition(usize),
    Heal,
    Kill(usize),
    Restart(usize),
}

#[derive(Clone)]
struct Member {
    core: Option<Consensus>,
    disk: Disk,
    applied: BTreeSet<u64>,
    proposed: Vec<(Index, Term, u64)>,
}

#[derive(Clone)]
struct Model {
    now: Millis,
    members: Vec<Member>,
    links: VecDeque<(Millis, Message)>,
    /// A request to take over that has not arrived; it stays and may arrive more than once.
    request: Option<Message>,
    partitioned: Option<usize>,
    acknowledged: BTreeSet<u64>,
    next_command: u64,
    events: Vec<(Millis, Event)>,
}

fn id(at: usize) -> MemberId {
    MemberId { name: format!("store-{at}"), incarnation: 1 }
}

impl Model {
    /// A group that has just started to transfer leadership.
    fn new(seed: u64) -> Self {
        let member = |at: usize| Member {
            core: Some(Consensus::new(id(at), Default::default(), 0, seed + at as u64)),
            disk: Disk::default(),
            applied: BTreeSet::new(),
            proposed: Vec::new(),
        };
        let mut model = Self {
            now: 0,
            members: (0..MEMBERS).map(member).collect(),
            links: VecDeque::new(),
            request: None,
            partitioned: None,
            acknowledged: BTreeSet::new(),
            next_command: 1,
            events: Vec::new(),
        };
        model.core(0).bootstrap(0);
        for voters in 1..=MEMBERS {
            model.run(300);
            let members = Members { voters: (0..voters).map(id).collect(), ..Default::default() };
            let now = model.now;
            model.core(0).change_members(now, members);
        }
        model.run(300);
        let now = model.now;
        assert!(model.core(0).transfer_leadership(now, &[id(1), id(2)]));
        model.run(10);
        assert!(model.request.is_some(), "nobody was asked");
        model
    }

    fn core(&mut self, at: usize) -> &mut Consensus {
        self.members[at].core.as_mut().expect("a running member")
    }

    fn run(&mut self, milliseconds: Millis) {
        for _ in 0..milliseconds {
            self.now += 1;
            while self.links.front().is_some_and(|(at, _)| *at <= self.now) {
                let Some((_, message)) = self.links.pop_front() else { break };
                self.deliver(message);
            }
            for at in 0..MEMBERS {
                let now = self.now;
                let core = self.members[at].core.as_mut();
                if let Some(core) = core.filter(|core| core.next_deadline() <= now) {
                    core.tick(now);
                    self.carry_out(at);
                }
            }
            if self.now % 10 == 0 {
                self.propose();
            }
            self.check_safety();
        }
    }

    fn deliver(&mut self, message: Message) {
        let to = (0..MEMBERS).find(|at| id(*at) == message.to).expect("a member");
        if let Some(core) = self.members[to].core.as_mut() {
            core.receive(self.now, message);
            self.carry_out(to);
        }
    }

    /// Carries out effects with disks that sync at once.
    fn carry_out(&mut self, at: usize) {
        loop {
            let Some(core) = self.members[at].core.as_mut() else { return };
            let effects = core.take_effects();
            let wrote = !effects.writes.is_empty();
            if wrote {
                core.writes_started();
                core.writes_synced(self.now);
            }
            self.members[at].disk.write_synced(effects.writes);
            for entry in effects.committed {
                self.apply(at, entry.index, entry.term, &entry.payload);
            }
            for message in effects.messages.into_iter().chain(effects.messages_after_sync) {
                self.send(message);
            }
            if !wrote {
                return;
            }
        }
    }

    fn send(&mut self, message: Message) {
        if matches!(message.body, Body::TransferLeadership) {
            self.request = Some(message);
            return;
        }
        let is_cut =
            self.partitioned.map(id).is_some_and(|cut| message.from == cut || message.to == cut);
        if !is_cut {
            self.links.push_back((self.now + LATENCY_MS, message));
        }
    }

    fn apply(&mut self, at: usize, index: Index, term: Term, payload: &Payload) {
        let Payload::Command(bytes) = payload else { return };
        let command = u64::from_le_bytes(bytes[..8].try_into().expect("8 bytes"));
        let member = &mut self.members[at];
        member.applied.insert(command);
        if member.proposed.contains(&(index, term, command)) {
            self.acknowledged.insert(command);
        }
    }

    fn propose(&mut self) {
        for at in 0..MEMBERS {
            let (now, command) = (self.now, self.next_command);
            let Some(core) = self.members[at].core.as_mut() else { continue };
            let Some(index) = core.propose(now, command.to_le_bytes().to_vec()) else { continue };
            let term = core.term();
            self.members[at].proposed.push((index, term, command));
            self.next_command += 1;
            self.carry_out(at);
        }
    }

    fn running(&self) -> impl Iterator<Item = (&Member, &Consensus)> {
        self.members.iter().filter_map(|member| Some((member, member.core.as_ref()?)))
    }

    fn check_safety(&self) {
        let leases = self.running().filter(|(_, core)| core.has_lease(self.now)).count();
        assert!(leases <= 1, "{leases} leases at {}: {:?}", self.now, self.events);
        for (member, _) in self.running().filter(|(_, core)| core.can_read(self.now)) {
            let is_current = self.acknowledged.is_subset(&member.applied);
            assert!(is_current, "a stale read at {}: {:?}", self.now, self.events);
        }
    }

    fn possible_events(&self) -> Vec<Event> {
        let down = self.members.iter().position(|member| member.core.is_none());
        let mut events = vec![Event::RequestArrives];
        match self.partitioned {
            Some(_) => events.push(Event::Heal),
            None => events.extend((0..MEMBERS).map(Event::Partition)),
        }
        match down {
            Some(at) => events.push(Event::Restart(at)),
            None => events.extend((0..MEMBERS).map(Event::Kill)),
        }
        events
    }

    fn happen(&mut self, event: Event) {
        self.events.push((self.now, event));
        match event {
            Event::RequestArrives => {
                let request = self.request.clone().expect("a request");
                self.deliver(request);
            }
            Event::Partition(at) => self.partitioned = Some(at),
            Event::Heal => self.partitioned = None,
            Event::Kill(at) => {
                self.members[at].core = None;
                self.members[at].proposed.clear();
            }
            Event::Restart(at) => self.restart(at),
        }
    }

    fn restart(&mut self, at: usize) {
        let member = &mut self.members[at];
        member.applied.clear();
        let seed = self.now + at as u64;
        member.core = Some(Consensus::new(id(at), member.disk.recover(), self.now, seed));
        self.carry_out(at);
    }

    fn check_liveness(mut self) {
        self.partitioned = None;
        let down = (0..MEMBERS).filter(|at| self.members[*at].core.is_none());
        for at in down.collect::<Vec<_>>() {
            self.restart(at);
        }
        for _ in 0..RECOVERY_MS {
            self.run(1);
            if self.running().any(|(_, core)| core.can_read(self.now)) {
                return;
            }
        }
        let roles: Vec<(Role, Term)> =
            self.running().map(|(_, core)| (core.role(), core.term())).collect();
        panic!("nobody serves {RECOVERY_MS} ms after {:?}; {roles:?}", self.events);
    }

    /// Checks all placements of up to `events` further events until `end`; returns their number.
    fn explore(mut self, events: usize, end: Millis, slot: Millis) -> u64 {
        let mut branches = 0;
        while events > 0 && self.now < end {
            for event in self.possible_events() {
                let mut branch = self.clone();
                branch.happen(event);
                branch.run(slot);
                branches += branch.explore(events - 1, end, slot);
            }
            self.run(slot);
        }
        self.check_liveness();
        branches + 1
    }
}

/// Interval between moments at which events may happen: `TRANSFER_SLOT_MS` sets a finer one.
fn slot_ms() -> Millis {
    std::env::var("TRANSFER_SLOT_MS").ok().and_then(|text| text.parse().ok()).unwrap_or(SLOT_MS)
}

#[test]
fn no_placement_of_events_around_a_transfer_gives_two_leases_or_none_for_good() {
    let slot = slot_ms();
    for seed in 0..2 {
        let model = Model::new(seed);
        let end = model.now + HORIZON_MS;
        let branches = model.explore(EVENTS, end, slot);
        println!("{branches} placements of {EVENTS} events every {slot} ms");
    }
}
