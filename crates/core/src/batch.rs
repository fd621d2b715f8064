//! The holder of batch items: leases them when slots are idle, and sees each one to its end.

use std::collections::{BTreeMap, HashMap};

use yokefall_peer::{CompletedItem, LeasedItem, LeasedItemRef, ReturnCause, ReturnedItem};
use yokefall_types::{ItemOutcome, ItemResult, NodeName, RepeatPolicy, ServiceId};

use crate::admission::{Admission, AdmissionEffect, Ticket};
use crate::time::Timestamp;

/// Interval at which leases are extended, in milliseconds.
const EXTEND_INTERVAL_MS: u64 = 1_000;
/// Pause before an unacknowledged report is sent again, in milliseconds.
const REPORT_RETRY_MS: u64 = 500;
/// Pause after an empty answer of a store: doubled from the least to the most, in milliseconds. A
/// store tells when it has work again; asking is for what was not told.
const EMPTY_PAUSE_RANGE_MS: (u64, u64) = (100, 10_000);
/// Pause after which an unanswered lease request no longer counts, in milliseconds.
const LEASE_REQUEST_TIMEOUT_MS: u64 = 2_000;
/// Most items asked for at once.
const MOST_ITEMS_PER_LEASE: u32 = 64;

/// How an execution of an item ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemEnd {
    /// The back end gave the whole answer.
    Completed(Vec<u8>),
    /// The back end refused the item for good, such as for a malformed prompt.
    Rejected(String),
    /// Stopped by order.
    Stopped,
    /// Failed, and nothing can have reached the back end.
    NotSent(String),
    /// Failed after the item may have reached the back end.
    Failed(String),
}

/// What the runner orders.
#[derive(Clone, Debug)]
pub enum BatchEffect {
    /// Ask a store for items; report with `leased` or `lease_failed`.
    Lease {
        /// The store's daemon.
        store: NodeName,
        /// Service with idle slots.
        service: ServiceId,
        /// Most items wanted.
        max_items: u32,
    },
    /// Ask for durable start marks; report with `start_answered`.
    StartItems {
        /// The store's daemon.
        store: NodeName,
        /// The items.
        items: Vec<LeasedItemRef>,
    },
    /// Send an item to a back end; report with `ended`.
    Run {
        /// The item's ticket.
        ticket: Ticket,
        /// The item.
        item: LeasedItem,
        /// HTTP address of the back end.
        address: String,
    },
    /// Stop an item at the back end.
    Stop {
        /// The item's ticket.
        ticket: Ticket,
    },
    /// Extend leases; report with `extended`.
    Extend {
        /// The store's daemon.
        store: NodeName,
        /// The items.
        items: Vec<LeasedItemRef>,
    },
    /// Give items back. Unacknowledged, their leases lapse.
    Return {
        /// The store's daemon.
        store: NodeName,
        /// The items.
        items: Vec<ReturnedItem>,
    },
    /// Report an end; report with `reported` once acknowledged.
    Report {
        /// The item's ticket.
        ticket: Ticket,
        /// The store's daemon.
        store: NodeName,
        /// The end.
        completed: CompletedItem,
    },
}

#[derive(Clone, Debug)]
enum Stage {
    /// Holds a slot, waits for its start mark.
    Starting { address: String },
    /// Sent to a back end.
    Running,
    /// Ended, not yet acknowledged by the store.
    Reporting { completed: CompletedItem, again_at: Timestamp },
}

#[derive(Clone, Debug)]
struct Held {
    store: NodeName,
    item: LeasedItem,
    stage: Stage,
    give_up_at: Timestamp,
}

#[derive(Clone, Copy, Debug, Default)]
struct Poll {
    pause_ms: u64,
    not_before: Timestamp,
    asked: Option<(Timestamp, u32)>,
}

/// Batch items held by this daemon.
#[derive(Debug, Default)]
pub struct BatchRunner {
    stores: Vec<NodeName>,
    next_store: usize,
    held: BTreeMap<Ticket, Held>,
    polls: HashMap<(NodeName, ServiceId), Poll>,
    extend_at: Timestamp,
    paused: bool,
}

impl BatchRunner {
    /// A runner that leases from these stores.
    pub fn new(stores: Vec<NodeName>) -> Self {
        Self { stores, ..Self::default() }
    }

    /// Stops leasing, as before a planned stop.
    pub fn pause(&mut self) {
        self.paused = true;
    }

    /// Items held in any stage.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Asks for items where slots are idle.
    pub fn lease(&mut self, now: Timestamp, admission: &Admission) -> Vec<BatchEffect> {
        let mut effects = Vec::new();
        if self.paused || self.stores.is_empty() {
            return effects;
        }
        for (service, room) in admission.services_with_room(now) {
            effects.extend(self.lease_service(now, service, room));
        }
        effects
    }

    fn lease_service(&mut self, now: Timestamp, service: ServiceId, room: u32) -> Vec<BatchEffect> {
        let mut effects = Vec::new();
        let mut room = room.saturating_sub(self.asked_for(now, &service));
        for _ in 0..self.stores.len() {
            if room == 0 {
                break;
            }
            let store = self.stores[self.next_store % self.stores.len()].clone();
            self.next_store += 1;
            let poll = self.polls.entry((store.clone(), service.clone())).or_default();
            if poll.not_before > now || is_waiting(now, poll) {
                continue;
            }
            let max_items = room.min(MOST_ITEMS_PER_LEASE);
            poll.asked = Some((now, max_items));
            room -= max_items;
            effects.push(BatchEffect::Lease { store, service: service.clone(), max_items });
        }
        effects
    }

    fn asked_for(&self, now: Timestamp, service: &ServiceId) -> u32 {
        let polls = self.polls.iter().filter(|((_, polled), _)| polled == service);
        let asked = polls.filter(|(_, poll)| is_waiting(now, poll));
        asked.filter_map(|(_, poll)| poll.asked).map(|(_, max_items)| max_items).sum()
    }

    /// A store answered a lease request.
    pub fn leased(
        &mut self,
        now: Timestamp,
        admission: &mut Admission,
        store: &NodeName,
        service: &ServiceId,
        items: Vec<LeasedItem>,
    ) -> Vec<BatchEffect> {
        self.record_answer(now, store, service, items.is_empty());
        let mut effects = Vec::new();
        let mut returned = Vec::new();
        for item in items {
            let ticket = admission.next_ticket();
            let yieldable = item.repeat == RepeatPolicy::Allowed;
            let offered = if self.paused {
                None
            } else {
                admission.offer_batch(now, ticket, &item.service, yieldable)
            };
            match offered {
                Some(AdmissionEffect::Start { address, .. }) => {
                    effects.push(self.begin(now, ticket, store, item, address));
                }
                _ => returned.push(ReturnedItem { item: item.item, cause: ReturnCause::Preempted }),
            }
        }
        if !returned.is_empty() {
            effects.push(BatchEffect::Return { store: store.clone(), items: returned });
        }
        effects
    }

    /// A store tells that it has work for a service: it is asked at once where slots are idle.
    pub fn work_available(&mut self, store: &NodeName, service: &ServiceId) {
        if let Some(poll) = self.polls.get_mut(&(store.clone(), service.clone())) {
            poll.pause_ms = 0;
            poll.not_before = Timestamp(0);
        }
    }

    /// A store could not be asked.
    pub fn lease_failed(&mut self, now: Timestamp, store: &NodeName, service: &ServiceId) {
        self.record_answer(now, store, service, true);
    }

    fn record_answer(
        &mut self,
        now: Timestamp,
        store: &NodeName,
        service: &ServiceId,
        empty: bool,
    ) {
        let poll = self.polls.entry((store.clone(), service.clone())).or_default();
        poll.asked = None;
        if empty {
            let (min_ms, max_ms) = EMPTY_PAUSE_RANGE_MS;
            poll.pause_ms = (poll.pause_ms * 2).clamp(min_ms, max_ms);
            poll.not_before = now.plus_millis(poll.pause_ms);
        } else {
            poll.pause_ms = 0;
        }
    }

    fn begin(
        &mut self,
        now: Timestamp,
        ticket: Ticket,
        store: &NodeName,
        item: LeasedItem,
        address: String,
    ) -> BatchEffect {
        let give_up_at = now.plus_millis(item.deadline_ms);
        let no_repeat = item.repeat == RepeatPolicy::Forbidden;
        let reference = item.item.clone();
        let held = Held {
            store: store.clone(),
            item: item.clone(),
            stage: if no_repeat {
                Stage::Starting { address: address.clone() }
            } else {
                Stage::Running
            },
            give_up_at,
        };
        self.held.insert(ticket, held);
        if no_repeat {
            return BatchEffect::StartItems { store: store.clone(), items: vec![reference] };
        }
        BatchEffect::Run { ticket, item, address }
    }

    /// A store answered a request for start marks. Items that were not granted go back as not
    /// sent: the mark may have been made although its answer was lost.
    pub fn start_answered(
        &mut self,
        now: Timestamp,
        admission: &mut Admission,
        asked: &[LeasedItemRef],
        granted: &[LeasedItemRef],
    ) -> (Vec<BatchEffect>, Vec<AdmissionEffect>) {
        let mut effects = Vec::new();
        let mut admitted = Vec::new();
        for reference in asked {
            let Some(ticket) = self.ticket_of(reference) else { continue };
            let Some(held) = self.held.get_mut(&ticket) else { continue };
            let Stage::Starting { address } = held.stage.clone() else { continue };
            if granted.contains(reference) {
                held.stage = Stage::Running;
                effects.push(BatchEffect::Run { ticket, item: held.item.clone(), address });
            } else {
                let detail = "no start mark was granted".to_owned();
                effects.extend(self.give_back(ticket, ReturnCause::NotSent(detail)));
                admitted.extend(admission.finish(now, ticket, false));
            }
        }
        (effects, admitted)
    }

    fn ticket_of(&self, reference: &LeasedItemRef) -> Option<Ticket> {
        self.held.iter().find(|(_, held)| held.item.item == *reference).map(|(t, _)| *t)
    }

    /// An item's execution ended.
    pub fn ended(
        &mut self,
        now: Timestamp,
        admission: &mut Admission,
        ticket: Ticket,
        end: ItemEnd,
    ) -> (Vec<BatchEffect>, Vec<AdmissionEffect>) {
        let failed = matches!(end, ItemEnd::Failed(_) | ItemEnd::NotSent(_));
        let admitted = admission.finish(now, ticket, failed);
        let Some(held) = self.held.get(&ticket) else { return (Vec::new(), admitted) };
        let no_repeat = held.item.repeat == RepeatPolicy::Forbidden;
        let effect = match end {
            ItemEnd::Completed(body) => self.report(now, ticket, ItemOutcome::Completed, body),
            ItemEnd::Rejected(detail) => {
                self.report(now, ticket, ItemOutcome::Failed, detail.into_bytes())
            }
            ItemEnd::NotSent(detail) => self.give_back(ticket, ReturnCause::NotSent(detail)),
            ItemEnd::Failed(detail) if no_repeat => {
                self.report(now, ticket, ItemOutcome::OutcomeUnknown, detail.into_bytes())
            }
            ItemEnd::Failed(detail) => self.give_back(ticket, ReturnCause::Failed(detail)),
            ItemEnd::Stopped if no_repeat => {
                self.report(now, ticket, ItemOutcome::Cancelled, Vec::new())
            }
            ItemEnd::Stopped => self.give_back(ticket, ReturnCause::Preempted),
        };
        (effect.into_iter().collect(), admitted)
    }

    fn report(
        &mut self,
        now: Timestamp,
        ticket: Ticket,
        outcome: ItemOutcome,
        body: Vec<u8>,
    ) -> Option<BatchEffect> {
        let held = self.held.get_mut(&ticket)?;
        let item = held.item.item.clone();
        let result = ItemResult { index: item.index, attempt: item.token.attempt, outcome, body };
        let completed = CompletedItem { item, result };
        let again_at = now.plus_millis(REPORT_RETRY_MS);
        held.stage = Stage::Reporting { completed: completed.clone(), again_at };
        Some(BatchEffect::Report { ticket, store: held.store.clone(), completed })
    }

    fn give_back(&mut self, ticket: Ticket, cause: ReturnCause) -> Option<BatchEffect> {
        let held = self.held.remove(&ticket)?;
        let items = vec![ReturnedItem { item: held.item.item, cause }];
        Some(BatchEffect::Return { store: held.store, items })
    }

    /// A store acknowledged a report.
    pub fn reported(&mut self, ticket: Ticket) {
        self.held.remove(&ticket);
    }

    /// A store answered an extension. Running items that were not granted are stopped: their job
    /// was cancelled, or they were given to another holder.
    pub fn extended(
        &mut self,
        asked: &[LeasedItemRef],
        granted: &[LeasedItemRef],
    ) -> Vec<BatchEffect> {
        let lost = asked.iter().filter(|reference| !granted.contains(reference));
        let tickets = lost.filter_map(|reference| self.ticket_of(reference));
        let running = tickets.filter(|t| matches!(self.held[t].stage, Stage::Running));
        running.map(|ticket| BatchEffect::Stop { ticket }).collect()
    }

    /// Extends leases and repeats reports.
    pub fn tick(&mut self, now: Timestamp) -> Vec<BatchEffect> {
        let mut effects = self.repeat_reports(now);
        if self.extend_at <= now {
            self.extend_at = now.plus_millis(EXTEND_INTERVAL_MS);
            effects.extend(self.extend_leases());
        }
        effects
    }

    fn repeat_reports(&mut self, now: Timestamp) -> Vec<BatchEffect> {
        let mut effects = Vec::new();
        let given_up =
            |held: &Held| matches!(held.stage, Stage::Reporting { .. }) && held.give_up_at <= now;
        self.held.retain(|_, held| !given_up(held));
        for (ticket, held) in &mut self.held {
            let Stage::Reporting { completed, again_at } = &mut held.stage else { continue };
            if *again_at > now {
                continue;
            }
            *again_at = now.plus_millis(REPORT_RETRY_MS);
            effects.push(BatchEffect::Report {
                ticket: *ticket,
                store: held.store.clone(),
                completed: completed.clone(),
            });
        }
        effects
    }

    fn extend_leases(&self) -> Vec<BatchEffect> {
        let mut by_store: BTreeMap<NodeName, Vec<LeasedItemRef>> = BTreeMap::new();
        let running = self.held.values().filter(|h| !matches!(h.stage, Stage::Reporting { .. }));
        for held in running {
            by_store.entry(held.store.clone()).or_default().push(held.item.item.clone());
        }
        by_store.into_iter().map(|(store, items)| BatchEffect::Extend { store, items }).collect()
    }
}

fn is_waiting(now: Timestamp, poll: &Poll) -> bool {
    poll.asked.is_some_and(|(at, _)| now.millis_since(at) < LEASE_REQUEST_TIMEOUT_MS)
}
