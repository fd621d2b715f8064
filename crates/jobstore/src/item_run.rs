//! A run of an item from the leader's point of view: from occupying a slot to recording the result.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;
use yokefall_serving::{Backend, ItemState, JobItem, Permit, SoftwareVersion};
use yokefall_suspects::IsolatedRun;
use yokefall_telemetry::{EventName, LogLine};
use yokefall_upstream::BackendSlot;

use crate::delegation::preemption;
use crate::interrupted_output::InterruptedOutput;
use crate::item_worker::ItemWorker;
use crate::preemption::Phase;
use crate::protocol::RunRequest;
use crate::run::{ItemSender, PermitDenied, Progress, RunEnd, MAX_OUTPUT_BYTES};
use crate::runner::Runner;
use crate::running::{CountedItem, ItemKey, Running};
use crate::state::{Command, Run};

const RETRY_BACKOFF: Duration = Duration::from_millis(150);

struct PlacedItem {
    slot: BackendSlot,
    worker: ItemWorker,
    /// Reports the end of an isolated run when it is dropped, also if the run is aborted.
    isolated_run: Option<IsolatedRun>,
    phase: Rc<Cell<Phase>>,
    /// Notified when the item must release its slot to an online request.
    preempted: Rc<Notify>,
}

impl Runner {
    pub(crate) fn start(
        self: &Rc<Self>,
        key: ItemKey,
        backend: Arc<Backend>,
        worker: ItemWorker,
        isolated_run: Option<IsolatedRun>,
    ) {
        let Some(Some((sender, item, logged))) = self.store.with_job(&key.0, |job| {
            let open = job.open.get(&key.1)?;
            let sender = ItemSender { host: job.host.clone(), tenant: job.tenant.clone() };
            Some((sender, open.item.clone(), open.partial.last_event))
        }) else {
            return;
        };
        let run = Run { number: rand::random(), resume_after: logged };
        let mut progress = Progress::after(run, logged, &self.worker.items.output_memory);
        // Output in the log, by a leader of an older build, cannot be replaced.
        if let Some(output) = self.interrupted_outputs.take_fitting(&key, &backend) {
            progress.extend(output.last_event, Some(output.text));
        }
        let progress = Rc::new(RefCell::new(progress));
        let slot = self.worker.balancer.take(backend.clone());
        let preempted = Rc::new(Notify::new());
        let phase = Rc::new(Cell::new(Phase::Placed));
        let task = tokio::task::spawn_local(self.clone().run_item(
            key.clone(),
            sender,
            item,
            progress.clone(),
            PlacedItem {
                slot,
                worker,
                isolated_run,
                phase: phase.clone(),
                preempted: preempted.clone(),
            },
        ));
        let started = Instant::now();
        let backend = Some(backend);
        let running = Running { task, progress, backend, started, phase, preempted };
        self.running.borrow_mut().insert(key, running);
    }

    async fn run_item(
        self: Rc<Self>,
        key: ItemKey,
        sender: ItemSender,
        item: Arc<JobItem>,
        progress: Rc<RefCell<Progress>>,
        placed: PlacedItem,
    ) {
        let PlacedItem { mut slot, worker, isolated_run, phase, preempted } = placed;
        let worker = match worker {
            ItemWorker::Leader => None,
            ItemWorker::Other(member) => Some(member),
        };
        let incarnation = slot.backend.incarnation();
        let software_version = slot.backend.software_version.clone();
        let service = slot.backend.service.clone();
        LogLine::new(EventName::ItemStarted)
            .id(&item.id)
            .text("job", &key.0)
            .text("backend", &slot.backend.id)
            .field("worker", worker.as_ref().map(|worker| worker.name.clone()))
            .field("online", self.store.loads.online(&incarnation))
            .field("items", self.store.loads.items(&incarnation))
            .field("after_event", progress.borrow().last_event)
            .write();
        let counted = CountedItem::new(self.store.clone(), incarnation);
        let (began, events_before) = (Instant::now(), progress.borrow().last_event);
        let continues_output = !progress.borrow().output.is_empty();
        let end = match worker {
            Some(worker) => {
                let request = RunRequest {
                    backend: Backend::clone(&slot.backend),
                    host: sender.host.clone(),
                    tenant: sender.tenant.clone(),
                    item: JobItem::clone(&item),
                    after_event: events_before,
                };
                self.delegation.run(&worker, request, &mut slot, &progress, &preempted).await
            }
            None => {
                let backend = slot.backend.clone();
                let continued = continues_output.then_some(&software_version);
                let permit = || self.permit(&key, &backend, &sender, &item, continued);
                let items = &self.worker.items;
                tokio::select! {
                    end = items.run_at(&mut slot, &sender, &item, &progress, permit) => end,
                    () = preempted.notified() => preemption(),
                }
            }
        };
        drop(slot);
        drop(counted);
        phase.set(Phase::Ended);
        let suspects = &self.worker.items.suspects;
        if !suspects.is_empty() {
            let keys = self.worker.items.suspect_keys(&service, &sender, &item);
            match &end {
                RunEnd::Completed => suspects.record_success(&keys),
                RunEnd::Unprocessable | RunEnd::ItemFailed => {
                    suspects.record_answer(keys.request())
                }
                RunEnd::Retry { .. } => {
                    // Without any event it may have waited in the back end's queue.
                    let gave_events = progress.borrow().last_event > events_before;
                    let worked = if gave_events { began.elapsed() } else { Duration::ZERO };
                    suspects.record_inconclusive_run(&keys, worked);
                }
            }
        }
        // After the result of the run is known, so that the next one is judged by it.
        drop(isolated_run);
        if end == RunEnd::Completed {
            let events = progress.borrow().last_event;
            let mut estimator = self.estimator.get();
            estimator.observe(item.tokens, events, events - events_before, began.elapsed());
            self.estimator.set(estimator);
        }
        if matches!(end, RunEnd::Retry { .. } | RunEnd::ItemFailed) {
            self.keep_output(&key, &progress, software_version);
        }
        self.finish(&key, &item, &progress, end).await;
        self.running.borrow_mut().remove(&key);
        self.store.work_changed.notify_one();
    }

    /// Permission to send an item that is still open to a back end, otherwise the cause.
    fn permit(
        &self,
        (job, index): &ItemKey,
        backend: &Backend,
        sender: &ItemSender,
        item: &JobItem,
        software_version: Option<&SoftwareVersion>,
    ) -> Result<Permit, PermitDenied> {
        let is_open = self.store.with_job(job, |job| job.open.contains_key(index));
        if !self.store.serves() || is_open != Some(true) {
            return Err(PermitDenied::new("it is not wanted any more"));
        }
        self.worker.permit(backend, sender, item, software_version)
    }

    /// Keeps what the runs of an item have produced for the next one.
    fn keep_output(
        &self,
        key: &ItemKey,
        progress: &Rc<RefCell<Progress>>,
        software_version: SoftwareVersion,
    ) {
        let mut progress = progress.borrow_mut();
        if progress.output.exceeds_memory() {
            return;
        }
        // Output that does not end is not continued: it would grow with each run.
        let text = progress.output.take().filter(|text| text.len() <= MAX_OUTPUT_BYTES);
        let Some(text) = text else { return };
        let (last_event, interrupted_at) = (progress.last_event, Instant::now());
        let output = InterruptedOutput { software_version, last_event, text, interrupted_at };
        self.interrupted_outputs.keep(key.clone(), output);
    }

    async fn finish(
        &self,
        key: &ItemKey,
        item: &JobItem,
        progress: &Rc<RefCell<Progress>>,
        end: RunEnd,
    ) {
        let (job, index) = key.clone();
        match end {
            RunEnd::Completed => {
                let (run, after_event, text) = {
                    let mut progress = progress.borrow_mut();
                    (progress.run, progress.committed_event, progress.output.take())
                };
                LogLine::new(EventName::ItemFinished)
                    .id(&item.id)
                    .text("job", &job)
                    .field("events", progress.borrow().last_event)
                    .write();
                let command = Command::Finish {
                    job,
                    item: index,
                    state: ItemState::Completed,
                    run,
                    after_event,
                    text,
                };
                let _ = self.store.propose(&command).await;
            }
            RunEnd::Unprocessable => {
                self.log_abandoned(item, &job, "a back end told that it can never be done");
                // Not among the leader's tasks, which are aborted when leadership is lost.
                let store = self.store.clone();
                let recording = tokio::task::spawn_local(async move {
                    store.abandon_unprocessable(&job, index).await;
                });
                let _ = recording.await;
            }
            RunEnd::ItemFailed => self.count_failure(job, index, item).await,
            RunEnd::Retry { cause, backoff } => {
                LogLine::new(EventName::ItemRetried)
                    .id(&item.id)
                    .text("job", &job)
                    .field("after_event", progress.borrow().last_event)
                    .field("cause", cause)
                    .write();
                if backoff {
                    tokio::time::sleep(RETRY_BACKOFF).await;
                }
            }
        }
    }

    fn log_abandoned(&self, item: &JobItem, job: &str, cause: &'static str) {
        LogLine::new(EventName::ItemAbandoned)
            .id(&item.id)
            .field("job", job)
            .field("cause", cause)
            .write();
    }

    async fn count_failure(&self, job: String, index: u32, item: &JobItem) {
        let counted = Command::CountFailure { job: job.clone(), item: index };
        let _ = self.store.propose(&counted).await;
        let is_exhausted = self.store.with_job(&job, |job| {
            job.open.get(&index).is_some_and(|open| open.failures >= job.max_attempts)
        });
        if is_exhausted == Some(true) {
            self.log_abandoned(item, &job, "every attempt failed");
            // If leadership is lost, the next leader abandons the item: the log has its failures.
            let _ = self.store.abandon(&job, index).await;
            return;
        }
        tokio::time::sleep(RETRY_BACKOFF).await;
    }
}
