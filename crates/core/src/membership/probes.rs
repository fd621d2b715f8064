//! Probes: one member per interval, and more often while members fail.

use rand::seq::{IndexedRandom, SliceRandom};
use yokefall_types::NodeName;

use super::message::{DatagramKind, MemberState, Outgoing};
use super::{Membership, PROBE_INTERVAL_MS};
use crate::time::Timestamp;

/// Timeout of a direct probe, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 200;
/// Interval between probes while one is unanswered, in milliseconds: if one member failed, others
/// of its zone may have failed too. At the regular interval it took 3 s to detect the failure of a
/// third of 30, 100 or 300 members.
const FAST_PROBE_INTERVAL_MS: u64 = 100;
/// Number of members asked to probe one that did not answer.
const INDIRECT_PROBES: usize = 3;

#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub(super) target: NodeName,
    pub(super) sequence: u64,
    pub(super) sent_at: Timestamp,
    /// Whether the direct probe timed out and others were asked to probe the target.
    indirect: bool,
}

/// A probe made on behalf of another member.
#[derive(Clone, Debug)]
pub(super) struct Relay {
    sequence: u64,
    origin: String,
    origin_sequence: u64,
    sent_at: Timestamp,
}

impl Membership {
    /// Advances the probes in flight and starts the next one.
    pub(super) fn probe(&mut self, now: Timestamp) -> Vec<Outgoing> {
        let mut outgoing = self.start_indirect_probes(now);
        self.finish_probes(now);
        if self.next_probe_at <= now {
            let is_fast = self.probes.iter().any(|probe| probe.indirect);
            let interval = if is_fast { FAST_PROBE_INTERVAL_MS } else { PROBE_INTERVAL_MS };
            self.next_probe_at = now.plus_millis(interval);
            outgoing.extend(self.begin_probe(now));
        }
        self.relays.retain(|relay| now.millis_since(relay.sent_at) < PROBE_INTERVAL_MS);
        outgoing
    }

    pub(super) fn probe_deadline(&self) -> Timestamp {
        let due = |probe: &Probe| {
            let wait = if probe.indirect { PROBE_INTERVAL_MS } else { PROBE_TIMEOUT_MS };
            probe.sent_at.plus_millis(wait)
        };
        self.probes.iter().map(due).fold(self.next_probe_at, Timestamp::min)
    }

    fn begin_probe(&mut self, now: Timestamp) -> Option<Outgoing> {
        let target = self.next_target()?;
        let address = self.members.get(&target)?.record.address.clone();
        self.next_sequence += 1;
        let sequence = self.next_sequence;
        self.probes.push(Probe { target, sequence, sent_at: now, indirect: false });
        Some(self.outgoing(address, DatagramKind::Ping { sequence }))
    }

    /// Returns the next member of a shuffled round, so that each is probed within a bounded time.
    fn next_target(&mut self) -> Option<NodeName> {
        loop {
            if self.probe_order.is_empty() {
                self.probe_order = self.live().map(|entry| entry.record.node.clone()).collect();
                self.probe_order.shuffle(&mut self.rng);
            }
            let target = self.probe_order.pop()?;
            if self.members.get(&target).is_some_and(|e| e.record.state != MemberState::Dead) {
                return Some(target);
            }
        }
    }

    /// Requests indirect probes of members that did not answer, and shortens the probe interval.
    fn start_indirect_probes(&mut self, now: Timestamp) -> Vec<Outgoing> {
        let is_due = |probe: &&mut Probe| {
            !probe.indirect && now.millis_since(probe.sent_at) >= PROBE_TIMEOUT_MS
        };
        let mut unanswered = Vec::new();
        for probe in self.probes.iter_mut().filter(is_due) {
            probe.indirect = true;
            unanswered.push(probe.clone());
        }
        if !unanswered.is_empty() {
            self.next_probe_at = self.next_probe_at.min(now);
        }
        unanswered.iter().flat_map(|probe| self.probe_indirectly(probe)).collect()
    }

    fn probe_indirectly(&mut self, probe: &Probe) -> Vec<Outgoing> {
        let helpers: Vec<String> = self
            .live()
            .filter(|e| e.record.state == MemberState::Alive && e.record.node != probe.target)
            .map(|entry| entry.record.address.clone())
            .collect();
        let chosen: Vec<String> =
            helpers.choose_multiple(&mut self.rng, INDIRECT_PROBES).cloned().collect();
        let kind =
            DatagramKind::PingRequest { sequence: probe.sequence, target: probe.target.clone() };
        let mut outgoing: Vec<Outgoing> =
            chosen.into_iter().map(|to| self.outgoing(to, kind.clone())).collect();
        // The target is also probed again, so that a single lost datagram does not look like a
        // failure if there is no other member to ask.
        if let Some(entry) = self.members.get(&probe.target) {
            let to = entry.record.address.clone();
            outgoing.push(self.outgoing(to, DatagramKind::Ping { sequence: probe.sequence }));
        }
        outgoing
    }

    fn finish_probes(&mut self, now: Timestamp) {
        let expired = |probe: &Probe| now.millis_since(probe.sent_at) >= PROBE_INTERVAL_MS;
        let (ended, open) = std::mem::take(&mut self.probes).into_iter().partition(expired);
        self.probes = open;
        let ended: Vec<Probe> = ended;
        for probe in ended {
            self.finish_probe(now, &probe);
        }
    }

    fn finish_probe(&mut self, now: Timestamp, probe: &Probe) {
        let Some(entry) = self.members.get(&probe.target) else { return };
        if !matches!(entry.record.state, MemberState::Alive | MemberState::Leaving) {
            return;
        }
        let mut record = entry.record.clone();
        // A leaving member that does not answer is gone; a suspect would count as accepting work.
        let leaving = record.state == MemberState::Leaving;
        record.state = if leaving { MemberState::Dead } else { MemberState::Suspect };
        self.merge(now, record, true);
    }

    /// Processes an acknowledgement of a probe by this member, or of one made for another.
    pub(super) fn acknowledged(&mut self, sequence: u64) -> Vec<Outgoing> {
        if let Some(position) = self.probes.iter().position(|p| p.sequence == sequence) {
            self.probes.swap_remove(position);
            return Vec::new();
        }
        let Some(position) = self.relays.iter().position(|r| r.sequence == sequence) else {
            return Vec::new();
        };
        let relay = self.relays.swap_remove(position);
        vec![self.outgoing(relay.origin, DatagramKind::Ack { sequence: relay.origin_sequence })]
    }

    pub(super) fn relay(
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
        self.relays.push(Relay { sequence, origin, origin_sequence, sent_at: now });
        Some(self.outgoing(address, DatagramKind::Ping { sequence }))
    }
}
