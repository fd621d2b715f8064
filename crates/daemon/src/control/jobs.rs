//! The job store: one actor, whose replies wait for the journal.

use std::sync::Arc;

use kameo::message::{Context, Message};
use kameo::Actor;
use tokio::sync::oneshot;
use yokefall_core::jobs::{Acceptance, Decision, JobNumber, JobRecord, JobStore, LeaseGrant};
use yokefall_peer::{CompletedItem, JobHeader, LeasedItemRef, ReturnedItem};
use yokefall_storage::JournalTask;
use yokefall_types::{JobId, JobProgress, ServiceId};

use crate::clock::unix_ms;
use crate::shared::Shared;

/// Commands to the actor. A dropped reply means that the journal failed.
pub enum JobCommand {
    /// Time passes.
    Tick,
    /// Accept an upload.
    Accept {
        /// Header.
        header: JobHeader,
        /// Digest over header and bodies.
        digest: u64,
        /// Number of items.
        items: u32,
        /// The upload.
        upload: u64,
        /// Sent once durable.
        reply: oneshot::Sender<Acceptance>,
    },
    /// Lease waiting items.
    Lease {
        /// The service.
        service: ServiceId,
        /// Most items.
        most: u32,
        /// The leases.
        reply: oneshot::Sender<Vec<LeaseGrant>>,
    },
    /// Mark items as started.
    Start {
        /// The items.
        items: Vec<LeasedItemRef>,
        /// Those granted, once durable.
        reply: oneshot::Sender<Vec<LeasedItemRef>>,
    },
    /// Extend leases.
    Extend {
        /// The items.
        items: Vec<LeasedItemRef>,
        /// Those granted.
        reply: oneshot::Sender<Vec<LeasedItemRef>>,
    },
    /// Take items back.
    GiveBack {
        /// The items.
        items: Vec<ReturnedItem>,
        /// Sent once durable.
        reply: oneshot::Sender<()>,
    },
    /// Take results.
    Complete {
        /// The items.
        items: Vec<CompletedItem>,
        /// Sent once durable.
        reply: oneshot::Sender<()>,
    },
    /// Cancel a job.
    Cancel {
        /// The job.
        job: JobId,
        /// Its progress, once durable.
        reply: oneshot::Sender<Option<JobProgress>>,
    },
    /// Tell the progress of a job.
    Progress {
        /// The job.
        job: JobId,
        /// Its progress, once all that it tells is durable.
        reply: oneshot::Sender<Option<JobProgress>>,
    },
    /// Tell the number and the count of items of a job.
    Find {
        /// The job.
        job: JobId,
        /// Number and items.
        reply: oneshot::Sender<Option<(JobNumber, u32)>>,
    },
}

/// Holds the jobs of this daemon.
#[derive(Actor)]
pub struct JobActor {
    shared: Arc<Shared>,
    store: JobStore,
}

impl JobActor {
    pub(super) fn new(shared: Arc<Shared>, store: JobStore) -> Self {
        Self { shared, store }
    }

    /// Sends a reply once its records, and all before them, are durable.
    fn settle<T: Send + 'static>(&self, decision: Decision<T>, reply: oneshot::Sender<T>) {
        let Decision { reply: value, records } = decision;
        self.write(records, move || {
            let _ = reply.send(value);
        });
    }

    fn write(&self, records: Vec<JobRecord>, then: impl FnOnce() + Send + 'static) {
        if let Some(store) = &self.shared.store {
            let then = Box::new(move |_: &yokefall_storage::Journal| then());
            store.writer.submit(JournalTask { records, then });
        }
    }
}

impl Message<JobCommand> for JobActor {
    type Reply = ();

    async fn handle(&mut self, command: JobCommand, _: &mut Context<Self, ()>) {
        let now = self.shared.clock.now();
        match command {
            JobCommand::Tick => {
                let records = self.store.tick(now);
                if !records.is_empty() {
                    self.write(records, || {});
                }
                metrics::gauge!("yokefall_job_items_open").set(self.store.size().1 as f64);
            }
            JobCommand::Accept { header, digest, items, upload, reply } => {
                let decision = self.store.accept(now, unix_ms(), header, digest, items, upload);
                self.settle(decision, reply);
            }
            JobCommand::Lease { service, most, reply } => {
                let _ = reply.send(self.store.lease(now, &service, most));
            }
            JobCommand::Start { items, reply } => {
                let decision = self.store.start(now, items);
                self.settle(decision, reply);
            }
            JobCommand::Extend { items, reply } => {
                let _ = reply.send(self.store.extend(now, items));
            }
            JobCommand::GiveBack { items, reply } => {
                let decision = self.store.give_back(items);
                self.settle(decision, reply);
            }
            JobCommand::Complete { items, reply } => {
                let decision = self.store.complete(items);
                self.settle(decision, reply);
            }
            JobCommand::Cancel { job, reply } => {
                let decision = self.store.cancel(now, &job);
                self.settle(decision, reply);
            }
            JobCommand::Progress { job, reply } => {
                let progress = self.store.progress(&job);
                self.settle(Decision { reply: progress, records: Vec::new() }, reply);
            }
            JobCommand::Find { job, reply } => {
                let _ = reply.send(self.store.number_of(&job));
            }
        }
    }
}
