//! Runs items at back ends, for this process when it leads or on behalf of the leader, which
//! decides what runs where and stores the results. The other, idle job stores receive the events.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::Notify;
use yokefall_serving::{
    Backend, CatalogCell, ColdStartLimiter, Eligibility, Freshness, Ineligible, JobItem, Outcome,
    Permit, Requirements, SoftwareVersion,
};
use yokefall_upstream::SharedBalancer;

use crate::protocol::{Frame, Outgoing, Reply, RunReport, RunRequest};
use crate::run::{ItemRunner, ItemSender, PermitDenied, Progress, RunEnd};
use crate::state::Run;

/// Interval at which the output of a run is sent to the leader, which commits it as often.
const OUTPUT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Runs items.
pub struct Worker {
    /// The known back ends.
    pub catalog: CatalogCell,
    /// Decides which back ends may take an item.
    pub eligibility: Eligibility,
    /// Limits what may be sent to back ends that are not known to be warm.
    pub cold: Rc<ColdStartLimiter>,
    /// Age of the data from the platform.
    pub freshness: Freshness,
    /// Runner of items.
    pub items: ItemRunner,
    /// Load and health of back ends as seen by this process.
    pub balancer: Rc<SharedBalancer>,
    /// Maximum number of concurrent runs for a leader.
    pub max_runs: usize,
    runs: Cell<usize>,
}

impl Worker {
    /// Creates a worker without runs.
    pub fn new(
        catalog: CatalogCell,
        cold: Rc<ColdStartLimiter>,
        freshness: Freshness,
        items: ItemRunner,
        balancer: Rc<SharedBalancer>,
        max_runs: usize,
    ) -> Rc<Self> {
        let eligibility = Eligibility::with_cold_start(catalog.clone(), cold.clone());
        let runs = Cell::new(0);
        Rc::new(Self { catalog, eligibility, cold, freshness, items, balancer, max_runs, runs })
    }

    /// Permission to send an item to a back end now, as known to this process; otherwise the cause.
    /// `software_version` is that of the output which the run continues.
    pub fn permit(
        &self,
        backend: &Backend,
        sender: &ItemSender,
        item: &JobItem,
        software_version: Option<&SoftwareVersion>,
    ) -> Result<Permit, PermitDenied> {
        self.with_requirements(backend, sender, item, |requirements| {
            self.eligibility.permit(backend, &Requirements { software_version, ..*requirements })
        })
    }

    fn check(
        &self,
        backend: &Backend,
        sender: &ItemSender,
        item: &JobItem,
    ) -> Result<(), PermitDenied> {
        self.with_requirements(backend, sender, item, |requirements| {
            self.eligibility.check(backend, requirements)
        })
    }

    fn with_requirements<T>(
        &self,
        backend: &Backend,
        sender: &ItemSender,
        item: &JobItem,
        evaluate: impl FnOnce(&Requirements) -> Result<T, Ineligible>,
    ) -> Result<T, PermitDenied> {
        let catalog = self.catalog.load();
        let route = catalog.routes.find(&sender.host, &item.path);
        let route = route.ok_or_else(|| PermitDenied::new("no route has its path"))?;
        let residency = catalog.residency(route, sender.tenant.as_ref());
        let requirements = Requirements {
            service: &backend.service,
            residency: &residency,
            software_version: None,
        };
        evaluate(&requirements).map_err(|cause| {
            cause.record_rejection(&item.id, backend);
            let is_cold = matches!(cause, Ineligible::Cold { .. });
            PermitDenied { cause: cause.to_string(), is_cold }
        })
    }

    async fn run(&self, request: RunRequest, sink: &OutputSink, cancelled: &Notify) -> RunReport {
        let RunRequest { backend, host, tenant, item, after_event } = request;
        let sender = ItemSender { host, tenant };
        let run = Run { number: 0, resume_after: after_event };
        let progress = Progress::after(run, after_event, &self.items.output_memory);
        let progress = Rc::new(RefCell::new(progress));
        let (backend, item): (Arc<Backend>, Arc<JobItem>) = (backend.into(), item.into());
        // Checked before connecting too: connecting to a back end that has left may take long.
        if let Err(denied) = self.check(&backend, &sender, &item) {
            let cause =
                format!("{} takes no work now, as its worker knows: {}", backend.id, denied.cause);
            let end = RunEnd::Retry { cause, backoff: denied.is_cold };
            return RunReport {
                end,
                outcome: Outcome::Abandoned,
                last_event: after_event,
                text: None,
            };
        }
        let mut slot = self.balancer.take(backend.clone());
        let end = {
            // The request tells no version: the leader chose this incarnation by that of its output.
            let permit = || self.permit(&backend, &sender, &item, None);
            let running = self.items.run_at(&mut slot, &sender, &item, &progress, permit);
            tokio::pin!(running);
            loop {
                tokio::select! {
                    end = &mut running => break end,
                    () = cancelled.notified() => {
                        break RunEnd::Retry {
                            cause: "cancelled by the leader".into(),
                            backoff: true,
                        };
                    }
                    () = tokio::time::sleep(OUTPUT_INTERVAL) => sink.send_output(&progress),
                }
            }
        };
        let outcome = slot.outcome;
        drop(slot);
        let mut progress = progress.borrow_mut();
        let (last_event, text) = (progress.last_event, progress.output.take());
        RunReport { end, outcome, last_event, text }
    }
}

struct OutputSink {
    call: u64,
    replies: UnboundedSender<Outgoing>,
}

impl OutputSink {
    fn send_output(&self, progress: &Rc<RefCell<Progress>>) {
        let mut progress = progress.borrow_mut();
        let Some(text) = progress.output.take() else { return };
        let last_event = progress.last_event;
        let frame = Frame::Output { call: self.call, last_event, text };
        // If the leader is gone, the closed connection ends the run.
        let _ = self.replies.send(Outgoing::new(frame));
    }
}

/// Runs that a leader requested on one connection. Invariant: they end with the connection, so that
/// a replaced leader leaves no runs behind.
#[derive(Default)]
pub struct ConnectionRuns {
    runs: Rc<RefCell<HashMap<u64, OpenRun>>>,
}

struct OpenRun {
    task: tokio::task::JoinHandle<()>,
    cancelled: Rc<Notify>,
}

impl ConnectionRuns {
    /// Starts a run.
    pub fn start(
        &self,
        worker: &Rc<Worker>,
        call: u64,
        request: RunRequest,
        replies: UnboundedSender<Outgoing>,
    ) {
        if worker.runs.get() >= worker.max_runs {
            let _ = replies.send(Outgoing::new(Frame::Reply { call, reply: Reply::Full }));
            return;
        }
        let cancelled = Rc::new(Notify::new());
        let (worker, runs) = (worker.clone(), self.runs.clone());
        let sink = OutputSink { call, replies };
        let cancel_signal = cancelled.clone();
        let task = tokio::task::spawn_local(async move {
            let counted = CountedRun::new(worker.clone());
            let report = worker.run(request, &sink, &cancel_signal).await;
            drop(counted);
            let suspects = &worker.items.suspects;
            if report.outcome == Outcome::Failed && !suspects.is_empty() {
                let frame = Frame::Suspects(suspects.report());
                let _ = sink.replies.send(Outgoing::new(frame));
            }
            let frame = Frame::Reply { call, reply: Reply::RunEnded(report) };
            let _ = sink.replies.send(Outgoing::new(frame));
            runs.borrow_mut().remove(&call);
        });
        self.runs.borrow_mut().insert(call, OpenRun { task, cancelled });
    }

    /// Cancels a run; its report contains the progress so far.
    pub fn cancel(&self, call: u64) {
        if let Some(run) = self.runs.borrow().get(&call) {
            run.cancelled.notify_one();
        }
    }

    /// Whether there are no runs.
    pub fn is_empty(&self) -> bool {
        self.runs.borrow().is_empty()
    }
}

impl Drop for ConnectionRuns {
    fn drop(&mut self) {
        for (_, run) in self.runs.borrow_mut().drain() {
            run.task.abort();
        }
    }
}

struct CountedRun {
    worker: Rc<Worker>,
}

impl CountedRun {
    fn new(worker: Rc<Worker>) -> Self {
        worker.runs.set(worker.runs.get() + 1);
        Self { worker }
    }
}

impl Drop for CountedRun {
    fn drop(&mut self) {
        self.worker.runs.set(self.worker.runs.get() - 1);
    }
}
