//! Compares admission with a simple model: online calls never wait behind batch items.

mod support;

use std::collections::{HashMap, HashSet};

use quickcheck::{Gen, QuickCheck};
use support::{service, view};
use yokefall_core::admission::{Admission, AdmissionEffect, Ticket};
use yokefall_core::Timestamp;
use yokefall_types::{Priority, RefusalReason};

const SEED: u64 = 23;
const BACKENDS: usize = 2;
const SLOTS: u32 = 3;
const RESERVED: u32 = 1;
const DEADLINE_MS: u64 = 60_000;

#[derive(Default)]
struct Model {
    online: HashSet<Ticket>,
    /// Running batch items, and whether each is preemptible.
    batch: HashMap<Ticket, bool>,
    waiting: HashSet<Ticket>,
    /// Batch items that are being preempted and have not ended.
    preempting: HashSet<Ticket>,
}

impl Model {
    fn apply(&mut self, effects: Vec<AdmissionEffect>) {
        for effect in effects {
            match effect {
                AdmissionEffect::Start { ticket, .. } => {
                    assert!(self.waiting.remove(&ticket), "a call started that was not waiting");
                    self.online.insert(ticket);
                }
                AdmissionEffect::Preempt { ticket } => {
                    assert_eq!(
                        self.batch.get(&ticket),
                        Some(&true),
                        "an item was preempted that is not preemptible"
                    );
                    assert!(self.preempting.insert(ticket), "an item was preempted twice");
                }
                AdmissionEffect::Refuse { ticket, refusal } => {
                    assert!(self.waiting.remove(&ticket));
                    assert_eq!(refusal.executed, Some(false));
                }
            }
        }
    }

    fn check(&self) {
        let capacity = BACKENDS * SLOTS as usize;
        assert!(self.online.len() <= capacity, "more online calls than slots");
        if !self.waiting.is_empty() {
            assert_eq!(
                self.online.len(),
                capacity,
                "an online call waits while a slot is not held by another online call"
            );
        }
        let remaining = self.batch.len() - self.preempting.len();
        let preemptible = self
            .batch
            .iter()
            .filter(|(ticket, preemptible)| **preemptible && !self.preempting.contains(ticket))
            .count();
        assert!(
            self.online.len() + remaining <= capacity
                || preemptible == 0
                || self.has_non_preemptible_items(),
            "a preemptible batch item keeps a slot that an online call needs"
        );
    }

    /// With two back ends, one may exceed its slots with items that are not preemptible while the
    /// other still runs preemptible ones. The model does not track items per back end, so it
    /// accepts this state whenever any item is not preemptible.
    fn has_non_preemptible_items(&self) -> bool {
        self.batch.values().any(|preemptible| !preemptible)
    }
}

fn online_never_waits_behind_batch(steps: Vec<(u8, u8)>) -> bool {
    let view = view(1, BACKENDS, SLOTS, RESERVED);
    let mut admission = Admission::default();
    admission.configure(Timestamp(1), &view);
    let mut model = Model::default();
    for (number, (kind, choice)) in steps.into_iter().enumerate() {
        let now = Timestamp(2 + number as u64);
        match kind % 5 {
            0 | 1 => {
                let ticket = admission.next_ticket();
                model.waiting.insert(ticket);
                let priority = if choice % 2 == 0 { Priority::High } else { Priority::Normal };
                let deadline = now.plus_millis(DEADLINE_MS);
                let effects = admission.arrive(now, ticket, &service(), priority, deadline);
                model.apply(effects);
            }
            2 => {
                let ticket = admission.next_ticket();
                let before = model.online.len() + model.batch.len();
                if admission.try_start_batch(now, ticket, &service(), choice % 2 == 0).is_some() {
                    let free = BACKENDS as u32 * (SLOTS - RESERVED);
                    assert!(model.waiting.is_empty());
                    assert!((before as u32) < free + model.online.len() as u32);
                    model.batch.insert(ticket, choice % 2 == 0);
                }
            }
            3 => {
                let mut running: Vec<Ticket> = model.online.iter().copied().collect();
                running.sort_unstable();
                if let Some(ticket) = running.get(choice as usize % running.len().max(1)) {
                    model.online.remove(ticket);
                    model.apply(admission.finish(now, *ticket, false));
                }
            }
            _ => {
                let mut running: Vec<Ticket> = model.batch.keys().copied().collect();
                running.sort_unstable();
                if let Some(ticket) = running.get(choice as usize % running.len().max(1)) {
                    model.batch.remove(ticket);
                    model.preempting.remove(ticket);
                    model.apply(admission.finish(now, *ticket, false));
                }
            }
        }
        model.check();
    }
    true
}

#[test]
fn online_calls_wait_only_for_online_calls() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, SEED))
        .tests(500)
        .quickcheck(online_never_waits_behind_batch as fn(Vec<(u8, u8)>) -> bool);
}

fn fill(admission: &mut Admission) {
    for _ in 0..BACKENDS as u32 * SLOTS {
        let ticket = admission.next_ticket();
        let deadline = Timestamp(DEADLINE_MS);
        admission.arrive(Timestamp(2), ticket, &service(), Priority::High, deadline);
    }
}

#[test]
fn a_call_that_would_miss_its_deadline_is_refused_on_arrival_with_a_retry_hint() {
    let mut admission = Admission::default();
    admission.configure(Timestamp(1), &view(1, BACKENDS, SLOTS, RESERVED));
    fill(&mut admission);
    let ticket = admission.next_ticket();
    let effects = admission.arrive(Timestamp(2), ticket, &service(), Priority::High, Timestamp(3));
    let [AdmissionEffect::Refuse { refusal, .. }] = &effects[..] else {
        panic!("expected one refusal, got {effects:?}");
    };
    assert_eq!(refusal.reason, RefusalReason::Overloaded);
    assert_eq!(refusal.executed, Some(false));
    assert!(refusal.retry_after_ms.is_some());
}

#[test]
fn a_leaving_back_end_gets_no_new_work_and_finishes_running_calls() {
    let mut admission = Admission::default();
    let mut view = view(1, 1, SLOTS, 0);
    admission.configure(Timestamp(1), &view);
    let ticket = admission.next_ticket();
    let deadline = Timestamp(DEADLINE_MS);
    admission.arrive(Timestamp(2), ticket, &service(), Priority::High, deadline);
    view.owned[0].leaving = true;
    assert_eq!(admission.configure(Timestamp(3), &view), Vec::new());
    let refused = admission.next_ticket();
    let effects = admission.arrive(Timestamp(4), refused, &service(), Priority::High, deadline);
    assert!(matches!(&effects[..], [AdmissionEffect::Refuse { .. }]));
    assert!(admission.try_start_batch(Timestamp(4), refused, &service(), true).is_none());
    assert_eq!(admission.active_tickets(), 1);
    admission.finish(Timestamp(5), ticket, false);
    assert_eq!(admission.active_tickets(), 0);
}
