//! Completion, cancellation and expiry of items.

use yokefall_peer::{CompletedItem, ReturnCause};
use yokefall_types::{ItemOutcome, ItemResult, JobId, JobProgress, RepeatPolicy};

use super::{Decision, Item, JobNumber, JobRecord, JobStore};
use crate::time::Timestamp;

impl JobStore {
    /// Records results. The first completion of an item wins; later ones are dropped and counted.
    pub fn complete(&mut self, items: Vec<CompletedItem>) -> Decision<()> {
        let mut records = Vec::new();
        for completed in items {
            if !self.complete_one(completed, &mut records) {
                self.dropped_completions += 1;
            }
        }
        Decision { reply: (), records }
    }

    fn complete_one(&mut self, completed: CompletedItem, records: &mut Vec<JobRecord>) -> bool {
        let item = completed.item;
        let Some(number) = self.numbers.get(&item.job).copied() else { return false };
        let Some(job) = self.jobs.get(&number) else { return false };
        let no_repeat = job.header.repeat == RepeatPolicy::Forbidden;
        let accepted = match job.items.get(item.index as usize) {
            None | Some(Item::Ended(_)) => false,
            Some(Item::Started { token, .. }) => *token == item.token,
            Some(_) => !no_repeat,
        };
        if !accepted {
            return false;
        }
        let result = ItemResult {
            index: item.index,
            attempt: item.token.attempt,
            outcome: completed.result.outcome,
            body: completed.result.body,
        };
        self.end_with_result(number, result, records);
        true
    }

    pub(super) fn end_item(
        &mut self,
        number: JobNumber,
        index: u32,
        outcome: ItemOutcome,
        body: Vec<u8>,
        records: &mut Vec<JobRecord>,
    ) {
        let attempts = self.jobs.get(&number).and_then(|job| job.attempts.get(&index));
        let attempt = attempts.copied().unwrap_or(0);
        self.end_with_result(number, ItemResult { index, outcome, attempt, body }, records);
    }

    fn end_with_result(
        &mut self,
        number: JobNumber,
        result: ItemResult,
        records: &mut Vec<JobRecord>,
    ) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        let index = result.index;
        match job.items[index as usize] {
            Item::Ended(_) => return,
            Item::Leased { until, .. } | Item::Started { until, .. } => {
                self.lease_expiries.remove(&(until, number, index));
            }
            Item::Waiting => job.waiting.retain(|waiting| *waiting != index),
        }
        job.items[index as usize] = Item::Ended(result.outcome);
        job.open_items -= 1;
        job.attempts.remove(&index);
        job.failures.remove(&index);
        records.push(JobRecord::Ended { number, result });
        self.refresh_ready(number);
    }

    /// Cancels a job. Items that are not started end at once; started items end when their holder
    /// reports a result or its lease expires.
    pub fn cancel(&mut self, now: Timestamp, id: &JobId) -> Decision<Option<JobProgress>> {
        let mut records = Vec::new();
        let Some(number) = self.numbers.get(id).copied() else {
            return Decision { reply: None, records };
        };
        if let Some(job) = self.jobs.get_mut(&number).filter(|j| !j.cancelled && j.open_items > 0) {
            job.cancelled = true;
            job.waiting.clear();
            records.push(JobRecord::Cancelled { number });
            self.end_unstarted(number, ItemOutcome::Cancelled, &mut records);
            self.end_expired_starts(now, number, &mut records);
        }
        Decision { reply: self.progress(id), records }
    }

    fn end_unstarted(
        &mut self,
        number: JobNumber,
        outcome: ItemOutcome,
        records: &mut Vec<JobRecord>,
    ) {
        let Some(job) = self.jobs.get(&number) else { return };
        let is_unstarted = |item: &Item| matches!(item, Item::Waiting | Item::Leased { .. });
        let indexes: Vec<u32> =
            (0..job.items.len() as u32).filter(|i| is_unstarted(&job.items[*i as usize])).collect();
        for index in indexes {
            self.end_item(number, index, outcome, Vec::new(), records);
        }
    }

    /// Ends started items of a cancelled job on lease expiry: their answers are not needed.
    fn end_expired_starts(
        &mut self,
        now: Timestamp,
        number: JobNumber,
        records: &mut Vec<JobRecord>,
    ) {
        let Some(job) = self.jobs.get(&number) else { return };
        let is_expired = |item: &Item| matches!(item, Item::Started { until, .. } if *until <= now);
        let indexes: Vec<u32> =
            (0..job.items.len() as u32).filter(|i| is_expired(&job.items[*i as usize])).collect();
        for index in indexes {
            self.end_item(number, index, ItemOutcome::OutcomeUnknown, Vec::new(), records);
        }
    }

    /// Handles an expired lease. An item that was not started is queued again. A started item is
    /// never sent again, and its answer is accepted until the deadline unless its job was
    /// cancelled.
    pub(super) fn expire_lease(
        &mut self,
        now: Timestamp,
        number: JobNumber,
        index: u32,
        records: &mut Vec<JobRecord>,
    ) {
        let Some(job) = self.jobs.get(&number) else { return };
        match job.items[index as usize] {
            Item::Leased { .. } => {
                self.requeue(number, index, ReturnCause::Preempted, records);
            }
            Item::Started { .. } if job.cancelled => self.end_expired_starts(now, number, records),
            _ => {}
        }
    }

    pub(super) fn end_past_deadline(&mut self, number: JobNumber, records: &mut Vec<JobRecord>) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        job.waiting.clear();
        let outcome =
            if job.cancelled { ItemOutcome::Cancelled } else { ItemOutcome::DeadlineExceeded };
        self.end_unstarted(number, outcome, records);
        let Some(job) = self.jobs.get(&number) else { return };
        let started = |i: &u32| matches!(job.items[*i as usize], Item::Started { .. });
        let indexes: Vec<u32> = (0..job.items.len() as u32).filter(started).collect();
        for index in indexes {
            self.end_item(number, index, ItemOutcome::OutcomeUnknown, Vec::new(), records);
        }
    }
}
