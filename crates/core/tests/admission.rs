//! Admission against a simple oracle: online never waits behind batch.

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
struct Oracle {
    online: HashSet<Ticket>,
    batch: HashMap<Ticket, bool>,
    waiting: HashSet<Ticket>,
    yielding: HashSet<Ticket>,
}

impl Oracle {
    fn take(&mut self, effects: Vec<AdmissionEffect>) {
        for effect in effects {
            match effect {
                AdmissionEffect::Start { ticket, .. } => {
                    assert!(self.waiting.remove(&ticket), "only what waits starts");
                    self.online.insert(ticket);
                }
                AdmissionEffect::Yield { ticket } => {
                    assert_eq!(self.batch.get(&ticket), Some(&true), "only repeatable items yield");
                    assert!(self.yielding.insert(ticket), "an item is told once");
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
        assert!(self.online.len() <= capacity, "never more online calls than slots");
        if !self.waiting.is_empty() {
            assert_eq!(self.online.len(), capacity, "online waits for online alone");
        }
        let staying = self.batch.len() - self.yielding.len();
        let yieldable = self
            .batch
            .iter()
            .filter(|(ticket, yieldable)| **yieldable && !self.yielding.contains(ticket))
            .count();
        assert!(
            self.online.len() + staying <= capacity || yieldable == 0 || self.one_side_full(),
            "batch that can step aside does so"
        );
    }

    /// With two back ends one may be over its slots while the other has room: then the first has
    /// nothing left that yields, which only the back ends' own counts can tell.
    fn one_side_full(&self) -> bool {
        self.batch.values().any(|yieldable| !yieldable)
    }
}

fn online_never_waits_behind_batch(steps: Vec<(u8, u8)>) -> bool {
    let view = view(1, BACKENDS, SLOTS, RESERVED);
    let mut admission = Admission::default();
    admission.configure(Timestamp(1), &view);
    let mut oracle = Oracle::default();
    for (number, (kind, choice)) in steps.into_iter().enumerate() {
        let now = Timestamp(2 + number as u64);
        match kind % 5 {
            0 | 1 => {
                let ticket = admission.next_ticket();
                oracle.waiting.insert(ticket);
                let priority = if choice % 2 == 0 { Priority::High } else { Priority::Normal };
                let deadline = now.plus_millis(DEADLINE_MS);
                let effects = admission.arrive(now, ticket, &service(), priority, deadline);
                oracle.take(effects);
            }
            2 => {
                let ticket = admission.next_ticket();
                let before = oracle.online.len() + oracle.batch.len();
                if admission.offer_batch(now, ticket, &service(), choice % 2 == 0).is_some() {
                    let free = BACKENDS as u32 * (SLOTS - RESERVED);
                    assert!(oracle.waiting.is_empty());
                    assert!((before as u32) < free + oracle.online.len() as u32);
                    oracle.batch.insert(ticket, choice % 2 == 0);
                }
            }
            3 => {
                let mut running: Vec<Ticket> = oracle.online.iter().copied().collect();
                running.sort_unstable();
                if let Some(ticket) = running.get(choice as usize % running.len().max(1)) {
                    oracle.online.remove(ticket);
                    oracle.take(admission.finish(now, *ticket, false));
                }
            }
            _ => {
                let mut running: Vec<Ticket> = oracle.batch.keys().copied().collect();
                running.sort_unstable();
                if let Some(ticket) = running.get(choice as usize % running.len().max(1)) {
                    oracle.batch.remove(ticket);
                    oracle.yielding.remove(ticket);
                    oracle.take(admission.finish(now, *ticket, false));
                }
            }
        }
        oracle.check();
    }
    true
}

#[test]
fn online_waits_for_online_alone() {
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
fn a_call_that_would_wait_in_vain_is_refused_at_once_with_a_hint() {
    let mut admission = Admission::default();
    admission.configure(Timestamp(1), &view(1, BACKENDS, SLOTS, RESERVED));
    fill(&mut admission);
    let ticket = admission.next_ticket();
    let effects = admission.arrive(Timestamp(2), ticket, &service(), Priority::High, Timestamp(3));
    let [AdmissionEffect::Refuse { refusal, .. }] = &effects[..] else {
        panic!("want one refusal, got {effects:?}");
    };
    assert_eq!(refusal.reason, RefusalReason::Overloaded);
    assert_eq!(refusal.executed, Some(false));
    assert!(refusal.retry_after_ms.is_some());
}

#[test]
fn a_leaving_back_end_gets_nothing_new_and_finishes_what_it_has() {
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
    assert!(admission.offer_batch(Timestamp(4), refused, &service(), true).is_none());
    assert_eq!(admission.busy(), 1);
    admission.finish(Timestamp(5), ticket, false);
    assert_eq!(admission.busy(), 0);
}
