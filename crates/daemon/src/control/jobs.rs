//! The job store: one actor, whose replies wait for the journal.

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

/// Least interval at which the owners of a service are told of waiting items, in milliseconds.
const TELL_INTERVAL_MS: u64 = 500;

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
        max_items: u32,
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
    traffic: Handle,
    store: JobStore,
    told: HashMap<ServiceId, Timestamp>,
    untold: HashSet<ServiceId>,
}

impl JobActor {
    pub(super) fn new(shared: Arc<Shared>, traffic: Handle, store: JobStore) -> Self {
        Self { shared, traffic, store, told: HashMap::new(), untold: HashSet::new() }
    }

    /// Tells the owners of a service's back ends that items wait, at most once an interval: items
    /// that yield and wait again in a burst must not become a burst of messages.
    fn tell_owners(&mut self, now: Timestamp) {
        self.untold.extend(self.store.take_newly_ready());
        let told = &self.told;
        let is_due = |service: &ServiceId| {
            told.get(service).is_none_or(|at| now.millis_since(*at) >= TELL_INTERVAL_MS)
        };
        let due: Vec<ServiceId> = self.untold.iter().filter(|s| is_due(s)).cloned().collect();
        for service in due {
            self.untold.remove(&service);
            self.told.insert(service.clone(), now);
            self.tell_owners_of(&service);
        }
    }

    fn tell_owners_of(&self, service: &ServiceId) {
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

    /// Sends a reply once its records, and all before them, are durable.
    fn settle<T: Send + 'static>(&self, decision: Decision<T>, reply: oneshot::Sender<T>) {
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
                self.tell_owners(now);
                metrics::gauge!("yokefall_job_items_open").set(self.store.size().1 as f64);
            }
            JobCommand::Accept { header, digest, items, upload, reply } => {
                let decision = self.store.accept(now, unix_ms(), header, digest, items, upload);
                self.settle(decision, reply);
            }
            JobCommand::Lease { service, max_items, reply } => {
                let _ = reply.send(self.store.lease(now, &service, max_items));
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
