//! Replication of records to other daemons, and handover when the fleet changes.

use yokefall_peer::{HomeId, RecordCopy, RecordState};
use yokefall_types::{NodeName, Outcome, RefusalReason, RepeatPolicy, RequestId};

use super::record::{HeldCopy, Holder, Record, Stage};
use super::{Coordinator, CoordinatorEffect};
use crate::fleet::{record_holders, FleetView};
use crate::time::Timestamp;

/// Copies of a record besides the one at its home daemon. With two copies, a record survives the
/// simultaneous loss of any two of its three daemons.
const COPIES: usize = 2;
/// Interval after which failed handovers are retried, in milliseconds.
const HANDOVER_RETRY_INTERVAL_MS: u64 = 500;
/// Maximum number of records whose holders are recomputed per tick after a fleet change. Bounds the
/// time for which a change delays calls.
const MAX_PLACEMENTS_PER_TICK: usize = 200;

impl Coordinator {
    /// Sends the copies of a record, and the call itself unless it must wait for them.
    pub(super) fn copy_record(
        &mut self,
        now: Timestamp,
        view: &FleetView,
        request: &RequestId,
    ) -> Vec<CoordinatorEffect> {
        let Some(record) = self.records.get_mut(request) else { return Vec::new() };
        let Stage::Copying { owner } = record.stage.clone() else { return Vec::new() };
        let mut effects = Vec::new();
        for holder in other_holders(view, request, &record.failed_holders) {
            if record.copied_to.contains(&holder) {
                continue;
            }
            let copy = running_copy(&self.home, record, owner.clone());
            effects.push(CoordinatorEffect::Copy {
                to: holder.node.clone(),
                copy,
                handover: false,
            });
            record.copied_to.push(holder);
        }
        effects.extend(self.execute_if_copies_confirmed(now, view, request));
        effects
    }

    /// Sends the call to its owner once all copies are confirmed. A repeatable call does not wait,
    /// and a single-member fleet needs no copies. A no-repeat call is refused if none of the other
    /// holders can be reached, since it could run again at another home daemon.
    fn execute_if_copies_confirmed(
        &mut self,
        now: Timestamp,
        view: &FleetView,
        request: &RequestId,
    ) -> Vec<CoordinatorEffect> {
        let Some(record) = self.records.get(request) else { return Vec::new() };
        if record.header.repeat == RepeatPolicy::Allowed {
            return self.execute(now, view, request);
        }
        let holders = other_holders(view, request, &record.failed_holders);
        let held =
            holders.iter().filter(|holder| record.confirmed_holders.contains(&holder.node)).count();
        // Leaving members are not holders, so the last accepting member has no others.
        let no_other_members = holders.is_empty() && record.failed_holders.is_empty();
        let all_confirmed = !holders.is_empty() && held == holders.len();
        if no_other_members || all_confirmed {
            return self.execute(now, view, request);
        }
        if !holders.is_empty() {
            return Vec::new();
        }
        let detail = "no other daemon could hold the record of a no-repeat call";
        let refusal = record.refusal(RefusalReason::Unreachable, detail).retry_after(1_000);
        self.end(now, view, request, Outcome::Refused(refusal))
    }

    /// Handles a daemon's confirmation of a copy; `previous` is another home's copy held before.
    pub fn copy_held(
        &mut self,
        now: Timestamp,
        view: &FleetView,
        request: &RequestId,
        holder: &NodeName,
        previous: Option<RecordCopy>,
    ) -> Vec<CoordinatorEffect> {
        let Some(record) = self.records.get_mut(request) else { return Vec::new() };
        record.confirmed_holders.push(holder.clone());
        if !matches!(record.stage, Stage::Copying { .. }) {
            return Vec::new();
        }
        let Some(copy) = previous else {
            return self.execute_if_copies_confirmed(now, view, request);
        };
        if copy.digest != record.digest {
            let detail = "request_id: used before with other content";
            let refusal = record.refusal(RefusalReason::Conflict, detail);
            return self.end(now, view, request, Outcome::Refused(refusal));
        }
        record.stage = Stage::Adopting;
        record.sent = true;
        record.attempt += 1;
        let attempt = record.attempt;
        vec![CoordinatorEffect::Adopt { request: request.clone(), attempt, state: copy.state }]
    }

    /// Handles a failure to store a copy: the copy is sent to another daemon.
    pub fn copy_failed(
        &mut self,
        now: Timestamp,
        view: &FleetView,
        request: &RequestId,
        holder: &NodeName,
    ) -> Vec<CoordinatorEffect> {
        let Some(record) = self.records.get_mut(request) else { return Vec::new() };
        if !matches!(record.stage, Stage::Copying { .. }) {
            return Vec::new();
        }
        record.failed_holders.push(holder.clone());
        self.copy_record(now, view, request)
    }

    /// Handles the result of a handover. A failed handover is retried.
    pub fn handed_over(
        &mut self,
        now: Timestamp,
        request: &RequestId,
        holder: &NodeName,
        acknowledged: bool,
    ) {
        self.handovers = self.handovers.saturating_sub(1);
        if acknowledged {
            return;
        }
        if let Some(record) = self.records.get_mut(request) {
            record.copied_to.retain(|target| target.node != *holder);
        }
        if let Some(held) = self.copies.get_mut(request) {
            held.holders.retain(|known| known.node != *holder);
        }
        self.handover_retry_at = Some(now.plus_millis(HANDOVER_RETRY_INTERVAL_MS));
    }

    /// Schedules the handover of records to their new holders after a fleet change, a batch per
    /// tick. Without handover, successive restarts would lose every copy although no two daemons
    /// were ever down at the same time.
    pub fn view_changed(&mut self, view: &FleetView) {
        if self.placed_members_digest != view.members_digest {
            self.placed_members_digest = view.members_digest;
            self.schedule_placement();
        }
    }

    pub(super) fn schedule_placement(&mut self) {
        let requests = self.records.keys().chain(self.copies.keys());
        self.pending_placement = requests.cloned().collect();
    }

    /// Hands over the next batch of records whose holders may have changed.
    pub(super) fn place_next(&mut self, view: &FleetView) -> Vec<CoordinatorEffect> {
        let mut effects = Vec::new();
        for _ in 0..MAX_PLACEMENTS_PER_TICK {
            let Some(request) = self.pending_placement.pop_first() else { break };
            effects.extend(self.place_record(view, &request));
            effects.extend(self.place_copy(view, &request));
        }
        self.handovers += effects.len();
        effects
    }

    fn place_record(&mut self, view: &FleetView, request: &RequestId) -> Vec<CoordinatorEffect> {
        let Some(record) = self.records.get_mut(request) else { return Vec::new() };
        // In other stages, copies are being sent or another home's execution is followed.
        if !matches!(record.stage, Stage::Ended | Stage::Executing { .. }) {
            return Vec::new();
        }
        let holders = other_holders(view, request, &[]);
        let new_holders = holders.iter().filter(|holder| !record.copied_to.contains(holder));
        let hand_over = |holder: &Holder| {
            let to = holder.node.clone();
            match &record.stage {
                Stage::Executing { owner } => {
                    let copy = running_copy(&self.home, record, owner.clone());
                    CoordinatorEffect::Copy { to, copy, handover: true }
                }
                _ => CoordinatorEffect::CopyEnded { request: request.clone(), to },
            }
        };
        let effects = new_holders.map(hand_over).collect();
        record.copied_to = holders;
        effects
    }

    fn place_copy(&mut self, view: &FleetView, request: &RequestId) -> Vec<CoordinatorEffect> {
        let Some(held) = self.copies.get_mut(request) else { return Vec::new() };
        let holders = holders_of_copy(view, request);
        let new_holders = holders.iter().filter(|holder| !held.holders.contains(holder));
        let hand_over = |holder: &Holder| CoordinatorEffect::Copy {
            to: holder.node.clone(),
            copy: held.copy.clone(),
            handover: true,
        };
        let effects = new_holders.map(hand_over).collect();
        held.holders = holders;
        effects
    }

    /// Number of handovers that are pending or not yet acknowledged.
    pub fn open_handovers(&self) -> usize {
        self.handovers
            + self.pending_placement.len()
            + usize::from(self.handover_retry_at.is_some())
    }

    /// Stores a copy for another home daemon. Returns the record that this daemon already had from
    /// a different home, as holder or as home itself: that home may have run the call.
    pub fn hold(
        &mut self,
        now: Timestamp,
        view: &FleetView,
        copy: RecordCopy,
    ) -> Option<RecordCopy> {
        let request = copy.request.clone();
        if let Some(record) = self.records.get(&request) {
            let state = RecordState::Running { owner: view.node.clone() };
            let (digest, repeat) = (record.digest, record.header.repeat);
            return Some(RecordCopy { request, home: self.home.clone(), digest, repeat, state });
        }
        let before = self.copies.get(&request).map(|held| held.copy.clone());
        let ended = |c: &RecordCopy| !matches!(c.state, RecordState::Running { .. });
        if before.as_ref().is_some_and(|held| ended(held) && !ended(&copy)) {
            return before;
        }
        // A copy of another home is kept until an ended record replaces it: if it were replaced and
        // this reply were lost, the next reply would hide that the call may have run.
        let foreign = before.filter(|held| held.home != copy.home);
        if foreign.is_some() && !ended(&copy) {
            return foreign;
        }
        let holders = holders_of_copy(view, &request);
        self.copies.insert(request.clone(), HeldCopy { copy, holders });
        let max_retention_ms = yokefall_types::limits::MAX_CALL_DEADLINE_MS + self.retention_ms;
        self.expire_at(now.plus_millis(max_retention_ms), request, false);
        foreign
    }

    /// The copy held for a request.
    pub fn copy_of(&self, request: &RequestId) -> Option<&RecordCopy> {
        self.copies.get(request).map(|held| &held.copy)
    }
}

/// The daemons besides this one that should hold copies of a record.
pub(super) fn other_holders(
    view: &FleetView,
    request: &RequestId,
    failed: &[NodeName],
) -> Vec<Holder> {
    let holders = record_holders(request, &view.members).into_iter();
    let others = holders.filter(|node| *node != view.node && !failed.contains(node));
    with_incarnations(view, others.take(COPIES))
}

/// The daemons besides this one that should hold a record of another home.
fn holders_of_copy(view: &FleetView, request: &RequestId) -> Vec<Holder> {
    let holders = record_holders(request, &view.members).into_iter().take(COPIES + 1);
    with_incarnations(view, holders.filter(|node| *node != view.node))
}

fn with_incarnations(view: &FleetView, nodes: impl Iterator<Item = NodeName>) -> Vec<Holder> {
    let with_incarnation = |node: NodeName| {
        let incarnation = view.member(&node)?.incarnation;
        Some(Holder { node, incarnation })
    };
    nodes.filter_map(with_incarnation).collect()
}

fn running_copy(home: &HomeId, record: &Record, owner: NodeName) -> RecordCopy {
    RecordCopy {
        request: record.header.request.clone(),
        home: home.clone(),
        digest: record.digest,
        repeat: record.header.repeat,
        state: RecordState::Running { owner },
    }
}
