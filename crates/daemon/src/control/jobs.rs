//! The job store actor. Replies are sent once the records that they depend on are durable.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use kameo::message::{Context, Message};
use kameo::Actor;
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use yokefall_core::jobs::{Acceptance, Decision, JobNumber, JobRecord, JobStore, LeaseGrant};
use yokefall_core::Timestamp;
use yokefall_peer::{CompletedItem, JobHeader, LeasedItemRef, PeerRequest, ReturnedItem};
use yokefall_storage::JournalTask;
use yokefall_types::{JobId, JobProgress, ServiceId};

use crate::clock::unix_ms;
use crate::shared::Shared;
use crate::traffic::call_peer;

/// Minimum interval between notices of waiting items to the owners of a service, in milliseconds.
const WORK_NOTICE_INTERVAL_MS: u64 = 500;

/// Commands to the actor. A dropped reply channel means that the journal failed.
pub enum JobCommand {
    /// Handle expired leases and deadlines.
    Tick,
    Accept {
        header: JobHeader,
        /// Digest over header and bodies.
        digest: u64,
        items: u32,
        upload: u64,
        /// Whether it was accepted, once durable.
        reply: oneshot::Sender<Acceptance>,
    },
    Lease {
        service: ServiceId,
        max_items: u32,
        reply: oneshot::Sender<Vec<LeaseGrant>>,
    },
    Start {
        items: Vec<LeasedItemRef>,
        /// The granted items, once durable.
        reply: oneshot::Sender<Vec<LeasedItemRef>>,
    },
    Extend {
        items: Vec<LeasedItemRef>,
        reply: oneshot::Sender<Vec<LeasedItemRef>>,
    },
    ReturnItems {
        items: Vec<ReturnedItem>,
        /// Sent once durable.
        reply: oneshot::Sender<()>,
    },
    Complete {
        items: Vec<CompletedItem>,
        /// Sent once durable.
        reply: oneshot::Sender<()>,
    },
    Cancel {
        job: JobId,
        /// Its progress, once durable.
        reply: oneshot::Sender<Option<JobProgress>>,
    },
    Progress {
        job: JobId,
        /// Its progress, once all changes included in it are durable.
        reply: oneshot::Sender<Option<JobProgress>>,
    },
    /// Get the number of a job and its number of items.
    Find {
        job: JobId,
        reply: oneshot::Sender<Option<(JobNumber, u32)>>,
    },
}

#[derive(Actor)]
pub struct JobActor {
    shared: Arc<Shared>,
    traffic: Handle,
    store: JobStore,
    notified_at: HashMap<ServiceId, Timestamp>,
    unnotified: HashSet<ServiceId>,
}

impl JobActor {
    pub(super) fn new(shared: Arc<Shared>, traffic: Handle, store: JobStore) -> Self {
        Self { shared, traffic, store, notified_at: HashMap::new(), unnotified: HashSet::new() }
    }

    /// Notifies the owners of a service's back ends of waiting items, at most once per interval, so
    /// that a burst of preempted items does not cause a burst of messages.
    fn notify_owners(&mut self, now: Timestamp) {
        self.unnotified.extend(self.store.take_newly_ready());
        let notified_at = &self.notified_at;
        let is_due = |service: &ServiceId| {
            notified_at
                .get(service)
                .is_none_or(|at| now.millis_since(*at) >= WORK_NOTICE_INTERVAL_MS)
        };
        let due: Vec<ServiceId> = self.unnotified.iter().filter(|s| is_due(s)).cloned().collect();
        for service in due {
            self.unnotified.remove(&service);
            self.notified_at.insert(service.clone(), now);
            self.notify_owners_of(&service);
        }
    }

    fn notify_owners_of(&self, service: &ServiceId) {
        let view = self.shared.view.load();
        let Some(declared) = view.services.get(service) else { return };
        for owner in &declared.owners {
            let (shared, owner) = (self.shared.clone(), owner.node.clone());
            let store = self.shared.node.clone();
            let request = PeerRequest::WorkAvailable { store, service: service.clone() };
            self.traffic.spawn(async move {
                let _ = call_peer(&shared, &owner, request).await;
            });
        }
    }

    /// Sends a reply once its records, and all records before them, are durable.
    fn reply_when_durable<T: Send + 'static>(
        &self,
        decision: Decision<T>,
        reply: oneshot::Sender<T>,
    ) {
        let Decision { reply: value, records } = decision;
        self.write(records, move || {
            let _ = reply.send(value);
        });
    }

    fn write(&self, records: Vec<JobRecord>, on_durable: impl FnOnce() + Send + 'static) {
        if let Some(store) = &self.shared.store {
            let on_durable = Box::new(move |_: &yokefall_storage::Journal| on_durable());
            store.writer.submit(JournalTask { records, on_durable });
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
                self.notify_owners(now);
                metrics::gauge!("yokefall_job_items_open").set(self.store.size().1 as f64);
            }
            JobCommand::Accept { header, digest, items, upload, reply } => {
                let decision = self.store.accept(now, unix_ms(), header, digest, items, upload);
                self.reply_when_durable(decision, reply);
            }
            JobCommand::Lease { service, max_items, reply } => {
                let _ = reply.send(self.store.lease(now, &service, max_items));
            }
            JobCommand::Start { items, reply } => {
                let decision = self.store.start(now, items);
                self.reply_when_durable(decision, reply);
            }
            JobCommand::Extend { items, reply } => {
                let _ = reply.send(self.store.extend(now, items));
            }
            JobCommand::ReturnItems { items, reply } => {
                let decision = self.store.return_items(items);
                self.reply_when_durable(decision, reply);
            }
            JobCommand::Complete { items, reply } => {
                let decision = self.store.complete(items);
                self.reply_when_durable(decision, reply);
            }
            JobCommand::Cancel { job, reply } => {
                let decision = self.store.cancel(now, &job);
                self.reply_when_durable(decision, reply);
            }
            JobCommand::Progress { job, reply } => {
                let progress = self.store.progress(&job);
                self.reply_when_durable(Decision { reply: progress, records: Vec::new() }, reply);
            }
            JobCommand::Find { job, reply } => {
                let _ = reply.send(self.store.number_of(&job));
            }
        }
    }
}
