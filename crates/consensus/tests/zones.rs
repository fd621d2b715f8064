//! Guards against losing the majority with one zone: of 16 machines in three zones that asked to
//! join a group of five voters, three in one zone were chosen, since learners did not count for the
//! next choice and voters stayed when other machines came back. Without that zone no leader named
//! token issuers, and new gateways rejected all requests of limited tenants.

use std::collections::{BTreeMap, BTreeSet};

use yokefall_consensus::policy::{next_step, DesiredMembership, Step};
use yokefall_consensus::{Consensus, MemberId, Message, Millis, Recovered, Role, Zones};

const VOTERS: usize = 5;
const POLICY_INTERVAL_MS: Millis = 100;

/// Machines with disks that sync immediately and links without latency.
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
            let messages = self.tick_all();
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

    fn tick_all(&mut self) -> Vec<Message> {
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
        let outside =
            running.map(|(_, core)| core.id()).filter(|id| !leader.members().contains(id));
        let zones = Zones::new(self.cores.keys().map(|name| (name.clone(), zone_of(name))));
        let joining = outside.cloned().collect();
        let desired = DesiredMembership { joining, leaving: Vec::new(), voters: VOTERS, zones };
        let Step::Change(members) = next_step(leader, self.now, &desired) else { return };
        let name = leader.id().name.clone();
        let now = self.now;
        self.cores.get_mut(&name).expect("the leader").change_members(now, members);
    }

    fn lose(&mut self, zone: &str) {
        let lost = self.cores.keys().filter(|name| zone_of(name) == zone);
        self.lost = lost.cloned().collect();
    }

    fn voters(&self) -> BTreeMap<String, usize> {
        let mut by_zone = BTreeMap::new();
        for voter in &self.leader().expect("a leader").members().voters {
            *by_zone.entry(zone_of(&voter.name)).or_default() += 1;
        }
        by_zone
    }
}

/// In order of name, in which they are admitted: the first zone alone would fill the group.
const MACHINE_NAMES: [&str; 16] = [
    "a1", "a2", "a3", "a4", "a5", "a6", "b1", "b2", "b3", "b4", "b5", "b6", "c1", "c2", "c3", "c4",
];

fn assert_spread(machines: &Machines) {
    let voters = machines.voters();
    assert_eq!(voters.values().sum::<usize>(), VOTERS, "{voters:?}");
    assert!(voters.values().all(|count| *count <= VOTERS / 2), "{voters:?}");
}

#[test]
fn voters_are_chosen_from_all_zones() {
    let mut machines = Machines::new(&MACHINE_NAMES);
    machines.run(10_000);
    assert_spread(&machines);
}

#[test]
fn each_zone_can_be_lost_in_turn() {
    let mut machines = Machines::new(&MACHINE_NAMES);
    machines.run(10_000);
    for zone in ["b", "a", "c", "b"] {
        machines.lose(zone);
        machines.run(7_000);
        assert!(machines.leader().is_some(), "no leader without zone {zone}");
        machines.lost.clear();
        machines.run(10_000);
        assert_spread(&machines);
    }
}

/// The first zone starts before the others, so that all voters are in it at first.
#[test]
fn voters_move_to_zones_that_start_later() {
    let mut machines = Machines::new(&MACHINE_NAMES);
    let others = MACHINE_NAMES.iter().filter(|name| !name.starts_with('a'));
    machines.lost = others.map(|name| (*name).to_owned()).collect();
    machines.run(5_000);
    machines.lost.clear();
    machines.run(15_000);
    assert_spread(&machines);
}
