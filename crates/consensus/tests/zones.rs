//! Where voters stand. Symptom: after the loss of one zone of three there was no leader for as long as the zone
//! was away, so nobody could tell who grants tokens, and gateways that started meanwhile refused all
//! requests of limited tenants. Sequence: 16 machines in three zones ask to join; five voters are wanted; a
//! zone is lost. Cause: three of the five stood in one zone. Those that learnt did not count when the next one was
//! chosen, and voters stayed where they were when other machines came back.

use std::collections::{BTreeMap, BTreeSet};

use yokefall_consensus::policy::{next_step, DesiredMembership, Step};
use yokefall_consensus::{Consensus, MemberId, Message, Millis, Recovered, Role, Zones};

const VOTERS: usize = 5;
const POLICY_INTERVAL_MS: Millis = 100;

/// Machines with disks that sync at once and links that take no time.
struct Machines {
    now: Millis,
    cores: BTreeMap<String, Consensus>,
    lost: BTreeSet<String>,
}

fn zone_of(name: &str) -> String {
    name[..1].to_owned()
}

impl Machines {
    fn new(names: &[&str]) -> Self {
        let core = |(seed, name): (u64, &&str)| {
            let me = MemberId { name: (*name).to_owned(), incarnation: 1 };
            ((*name).to_owned(), Consensus::new(me, Recovered::default(), 0, seed))
        };
        let cores = (0..).zip(names).map(core).collect();
        let mut machines = Self { now: 0, cores, lost: BTreeSet::new() };
        machines.cores.get_mut(names[0]).expect("a machine").bootstrap(0);
        machines
    }

    fn run(&mut self, milliseconds: Millis) {
        for _ in 0..milliseconds {
            self.now += 1;
            let messages = self.act();
            for message in messages {
                let (from, to) = (&message.from.name, message.to.name.clone());
                if !self.lost.contains(from) && !self.lost.contains(&to) {
                    self.cores.get_mut(&to).expect("a machine").receive(self.now, message);
                }
            }
            if self.now % POLICY_INTERVAL_MS == 0 {
                self.change_members();
            }
        }
    }

    fn act(&mut self) -> Vec<Message> {
        let mut messages = Vec::new();
        for core in self.cores.values_mut() {
            if self.now >= core.next_deadline() {
                core.tick(self.now);
            }
            loop {
                let effects = core.take_effects();
                messages.extend(effects.messages);
                messages.extend(effects.messages_after_sync);
                if effects.writes.is_empty() {
                    break;
                }
                core.writes_started();
                core.writes_synced(self.now);
            }
        }
        messages
    }

    fn leader(&self) -> Option<&Consensus> {
        let leads = |core: &&Consensus| core.role() == Role::Leader;
        let running = self.cores.iter().filter(|(name, _)| !self.lost.contains(*name));
        running.map(|(_, core)| core).filter(leads).max_by_key(|core| core.term())
    }

    fn change_members(&mut self) {
        let Some(leader) = self.leader() else { return };
        let running = self.cores.iter().filter(|(name, _)| !self.lost.contains(*name));
        let asks = running.map(|(_, core)| core.id()).filter(|id| !leader.members().contains(id));
        let zones = Zones::new(self.cores.keys().map(|name| (name.clone(), zone_of(name))));
        let joining = asks.cloned().collect();
        let wishes = DesiredMembership { joining, leaving: Vec::new(), voters: VOTERS, zones };
        let Step::Change(members) = next_step(leader, self.now, &wishes) else { return };
        let name = leader.id().name.clone();
        let now = self.now;
        self.cores.get_mut(&name).expect("the leader").change_members(now, members);
    }

    fn lose(&mut self, zone: &str) {
        let lost = self.cores.keys().filter(|name| zone_of(name) == zone);
        self.lost = lost.cloned().collect();
    }

    /// Voters by zone.
    fn voters(&self) -> BTreeMap<String, usize> {
        let mut by_zone = BTreeMap::new();
        for voter in &self.leader().expect("a leader").members().voters {
            *by_zone.entry(zone_of(&voter.name)).or_default() += 1;
        }
        by_zone
    }
}

/// In order of name, as they are asked: the first zone alone would fill the group.
const SIXTEEN: [&str; 16] = [
    "a1", "a2", "a3", "a4", "a5", "a6", "b1", "b2", "b3", "b4", "b5", "b6", "c1", "c2", "c3", "c4",
];

fn assert_spread(machines: &Machines) {
    let voters = machines.voters();
    assert_eq!(voters.values().sum::<usize>(), VOTERS, "{voters:?}");
    assert!(voters.values().all(|count| *count <= VOTERS / 2), "{voters:?}");
}

#[test]
fn voters_are_chosen_from_all_zones() {
    let mut machines = Machines::new(&SIXTEEN);
    machines.run(10_000);
    assert_spread(&machines);
}

#[test]
fn any_zone_may_be_lost_one_after_the_other() {
    let mut machines = Machines::new(&SIXTEEN);
    machines.run(10_000);
    for zone in ["b", "a", "c", "b"] {
        machines.lose(zone);
        machines.run(7_000);
        assert!(machines.leader().is_some(), "nobody leads without zone {zone}");
        machines.lost.clear();
        machines.run(10_000);
        assert_spread(&machines);
    }
}

/// The first zone starts before the others, so that all voters stand there at first.
#[test]
fn voters_move_to_zones_that_come_later() {
    let mut machines = Machines::new(&SIXTEEN);
    let others = SIXTEEN.iter().filter(|name| !name.starts_with('a'));
    machines.lost = others.map(|name| (*name).to_owned()).collect();
    machines.run(5_000);
    machines.lost.clear();
    machines.run(15_000);
    assert_spread(&machines);
}
