//! Membership under virtual time: failures are detected, live members stay, and partitions merge.

use std::collections::{HashMap, HashSet, VecDeque};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use yokefall_core::membership::{MemberRecord, MemberState, Membership, Outgoing};
use yokefall_core::Timestamp;
use yokefall_types::NodeName;

const STEP_MS: u64 = 20;
const DELAY_MS: u64 = 2;
const MINUTE_MS: u64 = 60_000;

fn address(number: usize) -> String {
    format!("10.0.0.{number}:7100")
}

fn record(number: usize, incarnation: u64) -> MemberRecord {
    MemberRecord {
        node: NodeName::new(format!("daemon-{number}")),
        incarnation,
        address: address(number),
        zone: format!("zone-{}", number % 3),
        region: "region".to_owned(),
        data: false,
        state: MemberState::Alive,
    }
}

struct Fleet {
    nodes: Vec<Option<Membership>>,
    now: u64,
    queue: VecDeque<(u64, usize, Outgoing)>,
    loss: f64,
    partitioned: HashSet<usize>,
    /// Paused members neither send nor receive.
    paused: HashSet<usize>,
    rng: SmallRng,
    by_address: HashMap<String, usize>,
    /// Bytes and datagrams sent by each member.
    sent: Vec<(usize, usize)>,
}

impl Fleet {
    fn new(size: usize, loss: f64) -> Self {
        let mut fleet = Self {
            nodes: Vec::new(),
            now: 1,
            queue: VecDeque::new(),
            loss,
            partitioned: HashSet::new(),
            paused: HashSet::new(),
            rng: SmallRng::seed_from_u64(5),
            by_address: (0..size).map(|n| (address(n), n)).collect(),
            sent: vec![(0, 0); size],
        };
        fleet.nodes = (0..size).map(|n| Some(fleet.member(n, 1))).collect();
        fleet
    }

    fn member(&self, number: usize, incarnation: u64) -> Membership {
        let seeds = vec![address(0), address(1)];
        Membership::new(record(number, incarnation), seeds, number as u64)
    }

    fn send(&mut self, at: u64, from: usize, outgoing: Vec<Outgoing>) {
        for datagram in outgoing {
            let bytes = borsh::to_vec(&datagram.datagram).expect("a datagram").len();
            self.sent[from] = (self.sent[from].0 + bytes, self.sent[from].1 + 1);
            if !self.rng.random_bool(self.loss) {
                self.queue.push_back((at + DELAY_MS, from, datagram));
            }
        }
    }

    /// Runs for a time; `each` inspects the fleet after every step.
    fn run(&mut self, milliseconds: u64, mut each: impl FnMut(&Fleet)) {
        let end = self.now + milliseconds;
        while self.now < end {
            for number in 0..self.nodes.len() {
                let now = Timestamp(self.now);
                let paused = self.paused.contains(&number);
                let Some(node) = self.nodes[number].as_mut().filter(|_| !paused) else { continue };
                let outgoing = node.tick(now);
                self.send(self.now, number, outgoing);
            }
            while self.queue.front().is_some_and(|(at, ..)| *at < self.now + STEP_MS) {
                let Some((at, from, outgoing)) = self.queue.pop_front() else { break };
                let target = self.by_address[&outgoing.to];
                let is_dropped = self.partitioned.contains(&from)
                    != self.partitioned.contains(&target)
                    || self.paused.contains(&target);
                let Some(node) = self.nodes[target].as_mut().filter(|_| !is_dropped) else {
                    continue;
                };
                let replies = node.receive(Timestamp(at), outgoing.datagram, &address(from));
                self.send(at, target, replies);
            }
            self.now += STEP_MS;
            each(self);
        }
    }

    fn live_members_at(&self, number: usize) -> HashSet<String> {
        let node = self.nodes[number].as_ref().expect("the node runs");
        node.members().into_iter().map(|member| member.node.to_string()).collect()
    }

    fn running(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|n| self.nodes[*n].is_some()).collect()
    }

    fn all_list(&self, expected: usize) -> bool {
        self.running().into_iter().all(|number| self.live_members_at(number).len() == expected)
    }
}

#[test]
fn a_failure_is_known_everywhere_within_five_seconds() {
    let mut fleet = Fleet::new(40, 0.01);
    fleet.run(20_000, |_| {});
    assert!(fleet.all_list(40));
    fleet.nodes[7] = None;
    fleet.run(5_000, |_| {});
    assert!(fleet.all_list(39));
}

#[test]
fn no_live_member_is_evicted_at_one_percent_loss() {
    let mut fleet = Fleet::new(20, 0.01);
    fleet.run(20_000, |_| {});
    fleet.run(10 * MINUTE_MS, |fleet| assert!(fleet.all_list(20)));
}

#[test]
fn a_member_that_pauses_is_suspected_and_not_evicted() {
    let mut fleet = Fleet::new(20, 0.0);
    fleet.run(20_000, |_| {});
    let others = |fleet: &Fleet| {
        let running = fleet.running().into_iter().filter(|number| *number != 4);
        running.map(|number| fleet.live_members_at(number).len()).collect::<Vec<usize>>()
    };
    fleet.paused.insert(4);
    fleet.run(2_000, |fleet| assert_eq!(others(fleet), vec![20; 19]));
    fleet.paused.clear();
    fleet.run(10_000, |fleet| assert_eq!(others(fleet), vec![20; 19]));
    assert!(fleet.all_list(20));
}

#[test]
fn a_restart_overrides_older_updates_of_the_failure() {
    let mut fleet = Fleet::new(12, 0.0);
    fleet.run(10_000, |_| {});
    fleet.nodes[5] = None;
    fleet.run(6_000, |_| {});
    assert!(fleet.all_list(11));
    let restarted = fleet.member(5, 2);
    fleet.nodes[5] = Some(restarted);
    fleet.run(10_000, |_| {});
    assert!(fleet.all_list(12));
}

#[test]
fn a_partitioned_fleet_merges_again() {
    let mut fleet = Fleet::new(12, 0.0);
    fleet.run(10_000, |_| {});
    fleet.partitioned = (6..12).collect();
    fleet.run(30_000, |_| {});
    assert!(fleet.all_list(6));
    fleet.partitioned.clear();
    fleet.run(20_000, |_| {});
    assert!(fleet.all_list(12));
}

#[test]
fn a_fleet_that_starts_at_once_converges() {
    let mut fleet = Fleet::new(150, 0.01);
    fleet.run(20_000, |_| {});
    assert!(fleet.all_list(150));
}

/// Share of the records of ended members, over all live members, that still say alive.
fn share_seen_alive(fleet: &Fleet, ended: &[usize]) -> f64 {
    let names: HashSet<String> = ended.iter().map(|n| record(*n, 1).node.to_string()).collect();
    let of_ended = |number: usize| {
        let node = fleet.nodes[number].as_ref().expect("the node runs");
        let records = node.records().into_iter().map(|(record, _)| record);
        records.filter(|record| names.contains(record.node.as_str())).collect::<Vec<_>>()
    };
    let all: Vec<MemberRecord> = fleet.running().into_iter().flat_map(of_ended).collect();
    let alive = all.iter().filter(|record| record.state == MemberState::Alive).count();
    alive as f64 / all.len() as f64
}

/// A failed zone must be detected as fast in a large fleet as in a small one. With updates
/// piggybacked on probes alone, eight at a time, a hundred failures queued up, and clients were
/// sent to gateways of the failed zone for 5 s and more, the longer the larger the fleet.
#[test]
fn a_failed_zone_is_detected_as_fast_in_a_large_fleet_as_in_a_small_one() {
    for size in [30, 100, 300] {
        let mut fleet = Fleet::new(size, 0.01);
        fleet.run(15_000, |_| {});
        let failed: Vec<usize> = (0..size).filter(|number| number % 3 == 1).collect();
        for number in &failed {
            fleet.nodes[*number] = None;
        }
        fleet.run(3_000, |_| {});
        let share = share_seen_alive(&fleet, &failed);
        assert!(
            share < 0.05,
            "{size} members: {share} of the failed members are listed as alive after 3 s"
        );
    }
}

/// All gateways restart at once, including the seeds, while the job stores keep running. Some
/// gateways knew no job store for 1.9 s and rejected requests because they could not reach the
/// rate-limit accounting.
#[test]
fn restarted_members_discover_the_others_within_a_second() {
    for (size, staying) in [(30, 5), (100, 16), (300, 48)] {
        let mut fleet = Fleet::new(size, 0.01);
        fleet.run(15_000, |_| {});
        for number in 0..size - staying {
            let again = fleet.member(number, 2);
            fleet.nodes[number] = Some(again);
        }
        fleet.run(1_000, |_| {});
        let stayed: HashSet<String> =
            (size - staying..size).map(|number| record(number, 1).node.to_string()).collect();
        let knows_none = |number: &usize| fleet.live_members_at(*number).is_disjoint(&stayed);
        let without = (0..size - staying).filter(knows_none).count();
        assert_eq!(without, 0, "of {size} members");
    }
}

/// All processes start at once. Slow discovery delayed the leader election of job stores to 5.7 s.
#[test]
fn two_hundred_members_converge_within_two_seconds_of_a_start() {
    let mut fleet = Fleet::new(195, 0.01);
    let mut converged_at = None;
    fleet.run(8_000, |fleet| {
        if converged_at.is_none() && fleet.all_list(195) {
            converged_at = Some(fleet.now);
        }
    });
    let at = converged_at.expect("the fleet converges");
    assert!(at <= 2_000, "after {at} ms");
}

#[test]
fn a_leaving_member_is_marked_before_it_is_gone() {
    let mut fleet = Fleet::new(10, 0.0);
    fleet.run(10_000, |_| {});
    let announce_to_all = {
        let node = fleet.nodes[3].as_mut().expect("the node runs");
        node.announce(MemberState::Leaving);
        node.announce_to_all()
    };
    let now = fleet.now;
    fleet.send(now, 3, announce_to_all);
    fleet.run(100, |_| {});
    for number in fleet.running() {
        let node = fleet.nodes[number].as_ref().expect("the node runs");
        let leaving_member = node.members().into_iter().find(|m| m.node.as_str() == "daemon-3");
        assert!(leaving_member.is_some_and(|member| !member.accepting));
    }
}

/// Clients are directed to members that others see as alive. A third of the fleet that ends at
/// once, as in the loss of a region, must not be listed any more three seconds after the platform
/// knows of it.
#[test]
fn a_failed_third_of_a_fleet_is_not_listed_as_alive_after_seven_seconds() {
    let mut fleet = Fleet::new(91, 0.01);
    fleet.run(20_000, |_| {});
    for number in (0..91).step_by(3) {
        fleet.nodes[number] = None;
    }
    fleet.run(7_000, |_| {});
    for number in fleet.running() {
        let node = fleet.nodes[number].as_ref().expect("the node runs");
        let alive = node.records().into_iter().map(|(record, _)| record);
        let alive = alive.filter(|record| record.state == MemberState::Alive);
        let named: Vec<String> =
            alive.filter(is_third).map(|record| record.node.to_string()).collect();
        assert!(named.is_empty(), "{number} still lists {named:?}");
    }
}

fn is_third(member: &MemberRecord) -> bool {
    let number =
        member.node.as_str().rsplit('-').next().and_then(|text| text.parse::<usize>().ok());
    number.is_some_and(|number| number % 3 == 0)
}

/// Bytes and datagrams sent in the ten seconds after a simultaneous start: mean and maximum.
fn start_cost(size: usize) -> ((usize, usize), (usize, usize)) {
    let mut fleet = Fleet::new(size, 0.01);
    fleet.run(10_000, |_| {});
    assert!(fleet.all_list(size), "{size} members discover each other");
    let sum = |pick: fn(&(usize, usize)) -> usize| fleet.sent.iter().map(pick).sum::<usize>();
    let mean = (sum(|sent| sent.0) / size, sum(|sent| sent.1) / size);
    (mean, fleet.sent.iter().copied().max().expect("a member"))
}

/// Every member contacts the seeds first. When seeds responded with the whole list, traffic grew
/// with the square of the fleet: 99 MB within ten seconds of a start of 1,000 members, for which a
/// link of 30 Mbit/s needs 26 s.
#[test]
fn the_cost_of_a_start_for_seeds_grows_linearly_with_the_fleet() {
    let (_, small) = start_cost(100);
    let (mean, large) = start_cost(400);
    assert!(large.0 <= small.0 * 6, "the busiest sent {small:?} among 100, {large:?} among 400");
    assert!(large.0 <= mean.0 * 20, "the busiest sent {large:?} where the mean is {mean:?}");
}
