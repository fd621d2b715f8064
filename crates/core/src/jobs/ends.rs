//! Ends of items: completed, cancelled, given up, late.

use yokefall_peer::{CompletedItem, ReturnCause};
use yokefall_types::{ItemOutcome, ItemResult, JobId, JobProgress, RepeatPolicy};

use super::{Decision, Item, JobNumber, JobRecord, JobStore};
use crate::time::Timestamp;

impl JobStore {
    /// Takes results. The first completion of an item wins; later ones are dropped and counted.
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
        self.end_with(number, result, records);
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
        self.end_with(number, ItemResult { index, outcome, attempt, body }, records);
    }

    fn end_with(&mut self, number: JobNumber, result: ItemResult, records: &mut Vec<JobRecord>) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        let index = result.index;
        match job.items[index as usize] {
            Item::Ended(_) => return,
            Item::Leased { until, .. } | Item::Started { until, .. } => {
                self.lapses.remove(&(until, number, index));
            }
            Item::Waiting => job.waiting.retain(|waiting| *waiting != index),
        }
        job.items[index as usize] = Item::Ended(result.outcome);
        job.open -= 1;
        job.attempts.remove(&index);
        job.failures.remove(&index);
        records.push(JobRecord::Ended { number, result });
        self.refresh_ready(number);
    }

    /// Cancels a job: what is not started ends at once; what is started ends when its holder
    /// reports, or is given up.
    pub fn cancel(&mut self, now: Timestamp, id: &JobId) -> Decision<Option<JobProgress>> {
        let mut records = Vec::new();
        let Some(number) = self.numbers.get(id).copied() else {
            return Decision { reply: None, records };
        };
        if let Some(job) = self.jobs.get_mut(&number).filter(|j| !j.cancelled && j.open > 0) {
            job.cancelled = true;
            job.waiting.clear();
            records.push(JobRecord::Cancelled { number });
            self.end_unstarted(number, ItemOutcome::Cancelled, &mut records);
            self.end_given_up(now, number, &mut records);
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
        let unstarted = |item: &Item| matches!(item, Item::Waiting | Item::Leased { .. });
        let indexes: Vec<u32> =
            (0..job.items.len() as u32).filter(|i| unstarted(&job.items[*i as usize])).collect();
        for index in indexes {
            self.end_item(number, index, outcome, Vec::new(), records);
        }
    }

    /// Ends the started items of a cancelled job whose holder is given up: nobody waits for their
    /// answer any more.
    fn end_given_up(&mut self, now: Timestamp, number: JobNumber, records: &mut Vec<JobRecord>) {
        let Some(job) = self.jobs.get(&number) else { return };
        let given_up = |item: &Item| matches!(item, Item::Started { until, .. } if *until <= now);
        let indexes: Vec<u32> =
            (0..job.items.len() as u32).filter(|i| given_up(&job.items[*i as usize])).collect();
        for index in indexes {
            self.end_item(number, index, ItemOutcome::OutcomeUnknown, Vec::new(), records);
        }
    }

    /// A lease lapsed. An item that was not started waits again; one that was is never sent again,
    /// and its answer is taken until the deadline unless its job was cancelled.
    pub(super) fn lapse(
        &mut self,
        now: Timestamp,
        number: JobNumber,
        index: u32,
        records: &mut Vec<JobRecord>,
    ) {
        let Some(job) = self.jobs.get(&number) else { return };
        match job.items[index as usize] {
            Item::Leased { .. } => {
                self.wait_again(number, index, ReturnCause::Preempted, records);
            }
            Item::Started { .. } if job.cancelled => self.end_given_up(now, number, records),
            _ => {}
        }
    }

    pub(super) fn end_late(&mut self, number: JobNumber, records: &mut Vec<JobRecord>) {
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
