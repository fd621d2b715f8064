//! Leases of items: grant, start, extension and return.

use yokefall_peer::{LeaseToken, LeasedItemRef, ReturnCause, ReturnedItem};
use yokefall_types::{ItemOutcome, ServiceId};

use super::{Decision, Item, JobNumber, JobRecord, JobStore, LeaseGrant, LEASE_MS};
use crate::time::Timestamp;

/// Number of failures (in execution, or returned as not sent) after which an item ends as failed.
const MAX_FAILURES: u8 = 8;

impl JobStore {
    /// Leases waiting items of a service, ordered by priority and then deadline of their job.
    pub fn lease(
        &mut self,
        now: Timestamp,
        service: &ServiceId,
        max_items: u32,
    ) -> Vec<LeaseGrant> {
        let mut grants = Vec::new();
        while (grants.len() as u32) < max_items {
            let first = self.ready.get(service).and_then(|ready_jobs| ready_jobs.first());
            let Some(number) = first.map(|key| key.number) else { break };
            match self.lease_one(now, number) {
                Some(grant) => grants.push(grant),
                None => self.refresh_ready(number),
            }
        }
        grants
    }

    fn lease_one(&mut self, now: Timestamp, number: JobNumber) -> Option<LeaseGrant> {
        let epoch = self.epoch;
        let job = self.jobs.get_mut(&number)?;
        let index = job.waiting.pop_front()?;
        let attempt = job.attempts.entry(index).or_insert(0);
        *attempt += 1;
        let token = LeaseToken { epoch, attempt: *attempt };
        let until = now.plus_millis(LEASE_MS);
        job.items[index as usize] = Item::Leased { token, until };
        let grant = LeaseGrant {
            item: LeasedItemRef { job: job.header.job.clone(), index, token },
            upload: job.upload,
            header: job.header.clone(),
            deadline_ms: job.deadline.millis_since(now),
        };
        let exhausted = job.waiting.is_empty();
        self.lease_expiries.insert((until, number, index));
        if exhausted {
            self.refresh_ready(number);
        }
        Some(grant)
    }

    /// Marks no-repeat items as started if their lease is still valid. A repeated request is
    /// granted again, which is safe because a holder starts an item only once.
    pub fn start(
        &mut self,
        now: Timestamp,
        items: Vec<LeasedItemRef>,
    ) -> Decision<Vec<LeasedItemRef>> {
        let mut granted = Vec::new();
        let mut records = Vec::new();
        for item in items {
            let Some(number) = self.numbers.get(&item.job).copied() else { continue };
            let Some(job) = self.jobs.get_mut(&number).filter(|job| !job.cancelled) else {
                continue;
            };
            let Some(state) = job.items.get_mut(item.index as usize) else { continue };
            match *state {
                Item::Leased { token, until } if token == item.token && until > now => {
                    *state = Item::Started { token, until };
                    records.push(JobRecord::Started { number, index: item.index, token });
                    granted.push(item);
                }
                Item::Started { token, .. } if token == item.token => granted.push(item),
                _ => {}
            }
        }
        Decision { reply: granted, records }
    }

    /// Extends leases. Returns the items that were extended; the others must stop.
    pub fn extend(&mut self, now: Timestamp, items: Vec<LeasedItemRef>) -> Vec<LeasedItemRef> {
        items.into_iter().filter(|item| self.extend_one(now, item)).collect()
    }

    fn extend_one(&mut self, now: Timestamp, item: &LeasedItemRef) -> bool {
        let Some(number) = self.numbers.get(&item.job).copied() else { return false };
        let Some(job) = self.jobs.get_mut(&number).filter(|job| !job.cancelled) else {
            return false;
        };
        match job.items.get_mut(item.index as usize) {
            Some(Item::Leased { token, until } | Item::Started { token, until })
                if *token == item.token =>
            {
                self.lease_expiries.remove(&(*until, number, item.index));
                *until = now.plus_millis(LEASE_MS);
                self.lease_expiries.insert((*until, number, item.index));
                true
            }
            _ => false,
        }
    }

    /// Handles items returned by their holder without a result.
    pub fn return_items(&mut self, items: Vec<ReturnedItem>) -> Decision<()> {
        let mut records = Vec::new();
        for returned in items {
            let item = &returned.item;
            let Some(number) = self.numbers.get(&item.job).copied() else { continue };
            let Some(job) = self.jobs.get(&number) else { continue };
            let state = job.items.get(item.index as usize).copied();
            match (state, returned.cause) {
                (Some(Item::Leased { token, until }), cause) if token == item.token => {
                    self.lease_expiries.remove(&(until, number, item.index));
                    self.requeue(number, item.index, cause, &mut records);
                }
                (Some(Item::Started { token, until }), cause @ ReturnCause::NotSent(_))
                    if token == item.token =>
                {
                    self.lease_expiries.remove(&(until, number, item.index));
                    records.push(JobRecord::NotStarted { number, index: item.index });
                    self.requeue(number, item.index, cause, &mut records);
                }
                _ => {}
            }
        }
        Decision { reply: (), records }
    }

    /// Requeues an item, or ends it if its job was cancelled or it failed too often.
    pub(super) fn requeue(
        &mut self,
        number: JobNumber,
        index: u32,
        cause: ReturnCause,
        records: &mut Vec<JobRecord>,
    ) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        if job.cancelled {
            self.end_item(number, index, ItemOutcome::Cancelled, Vec::new(), records);
            return;
        }
        if let ReturnCause::Failed(detail) | ReturnCause::NotSent(detail) = cause {
            let failures = job.failures.entry(index).or_insert(0);
            *failures += 1;
            if *failures >= MAX_FAILURES {
                self.end_item(number, index, ItemOutcome::Failed, detail.into_bytes(), records);
                return;
            }
        }
        job.items[index as usize] = Item::Waiting;
        job.waiting.push_back(index);
        self.refresh_ready(number);
    }
}
