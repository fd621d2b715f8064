//! Copies of records at other daemons, and their moves when the fleet changes.

use yokefall_peer::{HomeId, RecordCopy, RecordState};
use yokefall_types::{NodeName, Outcome, RefusalReason, RepeatPolicy, RequestId};

use super::record::{HeldCopy, Holder, Record, Stage};
use super::{Coordinator, CoordinatorEffect};
use crate::fleet::{record_holders, FleetView};
use crate::time::Timestamp;

/// Daemons that hold copies of a record besides its home: with two, any two of the three may die
/// at once.
const COPIES: usize = 2;
/// Interval at which failed handovers are tried again, in milliseconds.
const HANDOVER_INTERVAL_MS: u64 = 500;
/// Records whose holders are compared with a changed fleet at one tick, so that a change does not
/// hold up calls.
const PLACED_PER_TICK: usize = 200;

impl Coordinator {
    /// Sends the copies of a record, and the call itself where it need not wait for them.
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
            if record.asked.contains(&holder) {
                continue;
            }
            let copy = running_copy(&self.home, record, owner.clone());
            effects.push(CoordinatorEffect::Copy {
                to: holder.node.clone(),
                copy,
                handover: false,
            });
            record.asked.push(holder);
        }
        effects.extend(self.execute_if_held(now, view, request));
        effects
    }

    /// Sends the call to its owner once enough copies are held. A repeatable call does not wait. A
    /// fleet of one runs the call all the same; a no-repeat call whose other holders are all out
    /// of reach is refused, since it could run again elsewhere.
    fn execute_if_held(
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
        let held = holders.iter().filter(|holder| record.held_by.contains(&holder.node)).count();
        // Members that are leaving hold nothing new, so that the last to stay is alone.
        let alone = holders.is_empty() && record.failed_holders.is_empty();
        let enough = !holders.is_empty() && held == holders.len();
        if alone || enough {
            return self.execute(now, view, request);
        }
        if !holders.is_empty() {
            return Vec::new();
        }
        let detail = "no other daemon could hold the record of a no-repeat call";
        let refusal = record.refusal(RefusalReason::Unreachable, detail).retry_after(1_000);
        self.end(now, view, request, Outcome::Refused(refusal))
    }

    /// A daemon holds the copy now; it tells what it held before.
    pub fn copy_held(
        &mut self,
        now: Timestamp,
        view: &FleetView,
        request: &RequestId,
        holder: &NodeName,
        held_before: Option<RecordCopy>,
    ) -> Vec<CoordinatorEffect> {
        let Some(record) = self.records.get_mut(request) else { return Vec::new() };
        record.held_by.push(holder.clone());
        if !matches!(record.stage, Stage::Copying { .. }) {
            return Vec::new();
        }
        let Some(copy) = held_before else {
            return self.execute_if_held(now, view, request);
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

    /// A daemon could not hold the copy: another is asked.
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

    /// A handover was acknowledged, or failed and is tried again.
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
            record.asked.retain(|asked| asked.node != *holder);
        }
        if let Some(held) = self.copies.get_mut(request) {
            held.holders.retain(|known| known.node != *holder);
        }
        self.handover_at = Some(now.plus_millis(HANDOVER_INTERVAL_MS));
    }

    /// The fleet changed: records go to the daemons that hold them from now on, some at every tick.
    /// Without it, one restart after another would leave no copy, though no two daemons were ever
    /// down at once.
    pub fn view_changed(&mut self, view: &FleetView) {
        if self.placed_for != view.members_digest {
            self.placed_for = view.members_digest;
            self.place_all();
        }
    }

    pub(super) fn place_all(&mut self) {
        let requests = self.records.keys().chain(self.copies.keys());
        self.to_place = requests.cloned().collect();
    }

    /// Hands over the next records whose holders may have changed.
    pub(super) fn place_some(&mut self, view: &FleetView) -> Vec<CoordinatorEffect> {
        let mut effects = Vec::new();
        for _ in 0..PLACED_PER_TICK {
            let Some(request) = self.to_place.pop_first() else { break };
            effects.extend(self.place_record(view, &request));
            effects.extend(self.place_copy(view, &request));
        }
        self.handovers += effects.len();
        effects
    }

    fn place_record(&mut self, view: &FleetView, request: &RequestId) -> Vec<CoordinatorEffect> {
        let Some(record) = self.records.get_mut(request) else { return Vec::new() };
        // The other stages send copies of their own, or follow another home's execution.
        if !matches!(record.stage, Stage::Ended | Stage::Executing { .. }) {
            return Vec::new();
        }
        let holders = other_holders(view, request, &[]);
        let fresh = holders.iter().filter(|holder| !record.asked.contains(holder));
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
        let effects = fresh.map(hand_over).collect();
        record.asked = holders;
        effects
    }

    fn place_copy(&mut self, view: &FleetView, request: &RequestId) -> Vec<CoordinatorEffect> {
        let Some(held) = self.copies.get_mut(request) else { return Vec::new() };
        let holders = holders_of_copy(view, request);
        let fresh = holders.iter().filter(|holder| !held.holders.contains(holder));
        let hand_over = |holder: &Holder| CoordinatorEffect::Copy {
            to: holder.node.clone(),
            copy: held.copy.clone(),
            handover: true,
        };
        let effects = fresh.map(hand_over).collect();
        held.holders = holders;
        effects
    }

    /// Handovers that are not yet acknowledged.
    pub fn open_handovers(&self) -> usize {
        self.handovers + self.to_place.len() + usize::from(self.handover_at.is_some())
    }

    /// Holds a copy for another home daemon. Returns what this daemon, as holder or as home, held
    /// before from any other home: that home may have run the call.
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
        // What another home may have run stays known until an end takes its place: were it
        // replaced and this reply lost, the next reply would hide that the call may have run.
        let foreign = before.filter(|held| held.home != copy.home);
        if foreign.is_some() && !ended(&copy) {
            return foreign;
        }
        let holders = holders_of_copy(view, &request);
        self.copies.insert(request.clone(), HeldCopy { copy, holders });
        let longest = yokefall_types::limits::MAX_CALL_DEADLINE_MS + self.retention_ms;
        self.expire_at(now.plus_millis(longest), request, false);
        foreign
    }

    /// The copy held of a request.
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
    holder_lives(view, others.take(COPIES))
}

/// The daemons besides this one that should hold a record of another home.
fn holders_of_copy(view: &FleetView, request: &RequestId) -> Vec<Holder> {
    let holders = record_holders(request, &view.members).into_iter().take(COPIES + 1);
    holder_lives(view, holders.filter(|node| *node != view.node))
}

fn holder_lives(view: &FleetView, nodes: impl Iterator<Item = NodeName>) -> Vec<Holder> {
    let life = |node: NodeName| {
        let incarnation = view.member(&node)?.incarnation;
        Some(Holder { node, incarnation })
    };
    nodes.filter_map(life).collect()
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
