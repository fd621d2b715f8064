//! Batch items at an owner: leases items when slots are idle, runs them and reports their results.

use std::collections::{BTreeMap, HashMap};

use yokefall_peer::{CompletedItem, LeasedItem, LeasedItemRef, ReturnCause, ReturnedItem};
use yokefall_types::{ItemOutcome, ItemResult, NodeName, RepeatPolicy, ServiceId};

use crate::admission::{Admission, AdmissionEffect, Ticket};
use crate::time::Timestamp;

/// Interval between lease extensions, in milliseconds.
const EXTEND_INTERVAL_MS: u64 = 1_000;
/// Interval after which an unacknowledged report is sent again, in milliseconds.
const REPORT_RETRY_INTERVAL_MS: u64 = 500;
/// Bounds of the exponential backoff after an empty lease response, in milliseconds. Stores
/// announce new work; polling covers lost announcements.
const EMPTY_BACKOFF_RANGE_MS: (u64, u64) = (100, 10_000);
/// Time after which an unanswered lease request is considered lost, in milliseconds.
const LEASE_REQUEST_TIMEOUT_MS: u64 = 2_000;
const MAX_ITEMS_PER_LEASE: u32 = 64;

/// How an execution of an item ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemEnd {
    /// The back end returned the complete answer.
    Completed(Vec<u8>),
    /// The back end rejected the item permanently, for example for a malformed prompt.
    Rejected(String),
    /// Stopped by cancellation, preemption or deadline.
    Stopped,
    /// Failed, and nothing can have reached the back end.
    NotSent(String),
    /// Failed after the item may have reached the back end.
    Failed(String),
}

/// An action for the caller of [`BatchRunner`] to carry out.
#[derive(Clone, Debug)]
pub enum BatchEffect {
    /// Request items from a store; answered by `leased` or `lease_failed`.
    Lease {
        /// The store's daemon.
        store: NodeName,
        /// Service with idle slots.
        service: ServiceId,
        /// Maximum number of items.
        max_items: u32,
    },
    /// Request durable start marks; answered by `start_answered`.
    StartItems {
        /// The store's daemon.
        store: NodeName,
        /// The items.
        items: Vec<LeasedItemRef>,
    },
    /// Send an item to a back end; answered by `ended`.
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
    /// Extend leases; answered by `extended`.
    Extend {
        /// The store's daemon.
        store: NodeName,
        /// The items.
        items: Vec<LeasedItemRef>,
    },
    /// Return items to their store. If this is not acknowledged, their leases expire.
    Return {
        /// The store's daemon.
        store: NodeName,
        /// The items.
        items: Vec<ReturnedItem>,
    },
    /// Report a result to the store; answered by `reported` once acknowledged.
    Report {
        /// The item's ticket.
        ticket: Ticket,
        /// The store's daemon.
        store: NodeName,
        /// The result.
        completed: CompletedItem,
    },
}

#[derive(Clone, Debug)]
enum Stage {
    /// Has a slot, waits for its start mark.
    Starting { address: String },
    /// Sent to a back end.
    Running,
    /// Ended, not yet acknowledged by the store.
    Reporting { completed: CompletedItem, retry_at: Timestamp },
}

#[derive(Clone, Debug)]
struct HeldItem {
    store: NodeName,
    item: LeasedItem,
    stage: Stage,
    deadline: Timestamp,
}

#[derive(Clone, Copy, Debug, Default)]
struct Poll {
    backoff_ms: u64,
    not_before: Timestamp,
    requested: Option<(Timestamp, u32)>,
}

/// Batch items held by this daemon.
#[derive(Debug, Default)]
pub struct BatchRunner {
    stores: Vec<NodeName>,
    next_store: usize,
    held: BTreeMap<Ticket, HeldItem>,
    polls: HashMap<(NodeName, ServiceId), Poll>,
    extend_at: Timestamp,
    paused: bool,
}

impl BatchRunner {
    /// Creates a runner that leases from these stores.
    pub fn new(stores: Vec<NodeName>) -> Self {
        Self { stores, ..Self::default() }
    }

    /// Stops leasing, in preparation of a graceful shutdown.
    pub fn pause(&mut self) {
        self.paused = true;
    }

    /// Number of items held, in any stage.
    pub fn held_items(&self) -> usize {
        self.held.len()
    }

    /// Requests items for services with idle slots.
    pub fn lease(&mut self, now: Timestamp, admission: &Admission) -> Vec<BatchEffect> {
        let mut effects = Vec::new();
        if self.paused || self.stores.is_empty() {
            return effects;
        }
        for (service, capacity) in admission.services_with_batch_capacity(now) {
            effects.extend(self.lease_service(now, service, capacity));
        }
        effects
    }

    fn lease_service(
        &mut self,
        now: Timestamp,
        service: ServiceId,
        capacity: u32,
    ) -> Vec<BatchEffect> {
        let mut effects = Vec::new();
        let mut capacity = capacity.saturating_sub(self.pending_items(now, &service));
        for _ in 0..self.stores.len() {
            if capacity == 0 {
                break;
            }
            let store = self.stores[self.next_store % self.stores.len()].clone();
            self.next_store += 1;
            let poll = self.polls.entry((store.clone(), service.clone())).or_default();
            if poll.not_before > now || is_pending(now, poll) {
                continue;
            }
            let max_items = capacity.min(MAX_ITEMS_PER_LEASE);
            poll.requested = Some((now, max_items));
            capacity -= max_items;
            effects.push(BatchEffect::Lease { store, service: service.clone(), max_items });
        }
        effects
    }

    fn pending_items(&self, now: Timestamp, service: &ServiceId) -> u32 {
        let polls = self.polls.iter().filter(|((_, polled), _)| polled == service);
        let requested = polls.filter(|(_, poll)| is_pending(now, poll));
        requested.filter_map(|(_, poll)| poll.requested).map(|(_, max_items)| max_items).sum()
    }

    /// Handles a store's response to a lease request. Items without a free slot are returned.
    pub fn leased(
        &mut self,
        now: Timestamp,
        admission: &mut Admission,
        store: &NodeName,
        service: &ServiceId,
        items: Vec<LeasedItem>,
    ) -> Vec<BatchEffect> {
        self.record_lease_response(now, store, service, items.is_empty());
        let mut effects = Vec::new();
        let mut returned = Vec::new();
        for item in items {
            let ticket = admission.next_ticket();
            let preemptible = item.repeat == RepeatPolicy::Allowed;
            let started = if self.paused {
                None
            } else {
                admission.try_start_batch(now, ticket, &item.service, preemptible)
            };
            match started {
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

    /// Handles a store's announcement of work for a service: cancels the backoff, so that the store
    /// is polled as soon as slots are idle.
    pub fn work_available(&mut self, store: &NodeName, service: &ServiceId) {
        if let Some(poll) = self.polls.get_mut(&(store.clone(), service.clone())) {
            poll.backoff_ms = 0;
            poll.not_before = Timestamp(0);
        }
    }

    /// Handles a failed lease request.
    pub fn lease_failed(&mut self, now: Timestamp, store: &NodeName, service: &ServiceId) {
        self.record_lease_response(now, store, service, true);
    }

    fn record_lease_response(
        &mut self,
        now: Timestamp,
        store: &NodeName,
        service: &ServiceId,
        empty: bool,
    ) {
        let poll = self.polls.entry((store.clone(), service.clone())).or_default();
        poll.requested = None;
        if empty {
            let (min_ms, max_ms) = EMPTY_BACKOFF_RANGE_MS;
            poll.backoff_ms = (poll.backoff_ms * 2).clamp(min_ms, max_ms);
            poll.not_before = now.plus_millis(poll.backoff_ms);
        } else {
            poll.backoff_ms = 0;
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
        let deadline = now.plus_millis(item.deadline_ms);
        let no_repeat = item.repeat == RepeatPolicy::Forbidden;
        let reference = item.item.clone();
        let held = HeldItem {
            store: store.clone(),
            item: item.clone(),
            stage: if no_repeat {
                Stage::Starting { address: address.clone() }
            } else {
                Stage::Running
            },
            deadline,
        };
        self.held.insert(ticket, held);
        if no_repeat {
            return BatchEffect::StartItems { store: store.clone(), items: vec![reference] };
        }
        BatchEffect::Run { ticket, item, address }
    }

    /// Handles a store's response to a request for start marks. Items without a mark are returned
    /// as not sent, since the mark may be stored although the response was lost.
    pub fn start_answered(
        &mut self,
        now: Timestamp,
        admission: &mut Admission,
        requested: &[LeasedItemRef],
        granted: &[LeasedItemRef],
    ) -> (Vec<BatchEffect>, Vec<AdmissionEffect>) {
        let mut effects = Vec::new();
        let mut admitted = Vec::new();
        for reference in requested {
            let Some(ticket) = self.ticket_of(reference) else { continue };
            let Some(held) = self.held.get_mut(&ticket) else { continue };
            let Stage::Starting { address } = held.stage.clone() else { continue };
            if granted.contains(reference) {
                held.stage = Stage::Running;
                effects.push(BatchEffect::Run { ticket, item: held.item.clone(), address });
            } else {
                let detail = "no start mark was granted".to_owned();
                effects.extend(self.return_item(ticket, ReturnCause::NotSent(detail)));
                admitted.extend(admission.finish(now, ticket, false));
            }
        }
        (effects, admitted)
    }

    fn ticket_of(&self, reference: &LeasedItemRef) -> Option<Ticket> {
        self.held.iter().find(|(_, held)| held.item.item == *reference).map(|(t, _)| *t)
    }

    /// Handles the end of an item's execution.
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
            ItemEnd::NotSent(detail) => self.return_item(ticket, ReturnCause::NotSent(detail)),
            ItemEnd::Failed(detail) if no_repeat => {
                self.report(now, ticket, ItemOutcome::OutcomeUnknown, detail.into_bytes())
            }
            ItemEnd::Failed(detail) => self.return_item(ticket, ReturnCause::Failed(detail)),
            ItemEnd::Stopped if no_repeat => {
                self.report(now, ticket, ItemOutcome::Cancelled, Vec::new())
            }
            ItemEnd::Stopped => self.return_item(ticket, ReturnCause::Preempted),
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
        let retry_at = now.plus_millis(REPORT_RETRY_INTERVAL_MS);
        held.stage = Stage::Reporting { completed: completed.clone(), retry_at };
        Some(BatchEffect::Report { ticket, store: held.store.clone(), completed })
    }

    fn return_item(&mut self, ticket: Ticket, cause: ReturnCause) -> Option<BatchEffect> {
        let held = self.held.remove(&ticket)?;
        let items = vec![ReturnedItem { item: held.item.item, cause }];
        Some(BatchEffect::Return { store: held.store, items })
    }

    /// Handles a store's acknowledgement of a report.
    pub fn reported(&mut self, ticket: Ticket) {
        self.held.remove(&ticket);
    }

    /// Handles a store's response to a lease extension. Running items whose lease was not extended
    /// are stopped: their job was cancelled, or they were leased to another owner.
    pub fn extended(
        &mut self,
        requested: &[LeasedItemRef],
        granted: &[LeasedItemRef],
    ) -> Vec<BatchEffect> {
        let lost = requested.iter().filter(|reference| !granted.contains(reference));
        let tickets = lost.filter_map(|reference| self.ticket_of(reference));
        let running = tickets.filter(|t| matches!(self.held[t].stage, Stage::Running));
        running.map(|ticket| BatchEffect::Stop { ticket }).collect()
    }

    /// Extends leases and resends unacknowledged reports.
    pub fn tick(&mut self, now: Timestamp) -> Vec<BatchEffect> {
        let mut effects = self.resend_reports(now);
        if self.extend_at <= now {
            self.extend_at = now.plus_millis(EXTEND_INTERVAL_MS);
            effects.extend(self.extend_leases());
        }
        effects
    }

    fn resend_reports(&mut self, now: Timestamp) -> Vec<BatchEffect> {
        let mut effects = Vec::new();
        let is_expired =
            |held: &HeldItem| matches!(held.stage, Stage::Reporting { .. }) && held.deadline <= now;
        self.held.retain(|_, held| !is_expired(held));
        for (ticket, held) in &mut self.held {
            let Stage::Reporting { completed, retry_at } = &mut held.stage else { continue };
            if *retry_at > now {
                continue;
            }
            *retry_at = now.plus_millis(REPORT_RETRY_INTERVAL_MS);
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

fn is_pending(now: Timestamp, poll: &Poll) -> bool {
    poll.requested.is_some_and(|(at, _)| now.millis_since(at) < LEASE_REQUEST_TIMEOUT_MS)
}
