//! Decides which item runs at which back end while this replica leads. An item gets a slot only if
//! enough stay free for online requests (`slots`). `item_run` handles a single run up to the
//! recorded result, and `delegation` the runs at other job stores.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use yokefall_serving::{Backend, BackendIncarnation, FleetCell, InFlight, Policy};
use yokefall_suspects::{IsolatedRun, SuspectKeys};
use yokefall_telemetry::{EventName, LogLine};

use crate::backlog::{Backlog, PassStats};
use crate::capacity::{FreeSlots, ServiceSlots, SlotPool};
use crate::delegation::Delegation;
use crate::held_items::{Admission, HeldItems};
use crate::interrupted_output::InterruptedOutputs;
use crate::item_waits::{ItemWaits, WaitCause};
use crate::preemption::Phase;
use crate::run::{ItemSender, Progress};
use crate::running::{ItemKey, Running};
use crate::state::{Command, OpenItem, Run};
use crate::store::Store;
use crate::unrouted_items::UnroutedItems;
use crate::urgency::{DurationEstimator, WaitingItem, WaitingJob};
use crate::worker::Worker;

/// Maximum interval between two passes while there are open jobs.
const BUSY_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
/// Minimum interval between two scheduling passes; with few gateways, load reports are as frequent.
const MIN_PASS_INTERVAL: Duration = Duration::from_millis(20);
const MAX_PASS_INTERVAL: Duration = Duration::from_millis(500);
const PURGE_INTERVAL: Duration = Duration::from_millis(5_000);

/// Where a waiting item may run now.
enum ItemPlacement {
    /// At this back end, of which a slot has been occupied.
    At(Arc<Backend>),
    /// Back ends of the software version of its output have no free slot, but soon may.
    WaitForVersion,
    /// Nowhere.
    NoSlot,
}

/// State of the runner, shared by its tasks.
pub struct Runner {
    pub(crate) store: Rc<Store>,
    pub(crate) worker: Rc<Worker>,
    pub(crate) delegation: Delegation,
    pub(crate) fleet: FleetCell,
    pub(crate) running: RefCell<HashMap<ItemKey, Running>>,
    /// Estimates how long items take.
    pub(crate) estimator: Cell<DurationEstimator>,
    backlog: Backlog,
    /// Output of items whose run was interrupted.
    pub(crate) interrupted_outputs: InterruptedOutputs,
    /// Items that are held back because back ends crashed while running them.
    held: HeldItems,
    waits: ItemWaits,
    /// Items without a route.
    pub(crate) unrouted: UnroutedItems,
    pub(crate) options: RunnerOptions,
}

/// Options of a runner.
#[derive(Clone, Copy, Debug)]
pub struct RunnerOptions {
    /// How long finished jobs are retained.
    pub retention: Duration,
    /// Maximum number of concurrent items; each needs memory for its connection and output.
    pub max_runs: usize,
    /// Enabled policies.
    pub policy: Policy,
}

impl Runner {
    /// Creates a runner that runs items with `worker`, or at other job stores through `delegation`.
    pub fn new(
        store: Rc<Store>,
        worker: Rc<Worker>,
        delegation: Delegation,
        fleet: FleetCell,
        options: RunnerOptions,
    ) -> Self {
        let (running, estimator) = (RefCell::default(), Cell::default());
        let (backlog, held) = (Backlog::default(), HeldItems::default());
        let (waits, unrouted) = (ItemWaits::default(), UnroutedItems::default());
        let interrupted_outputs = InterruptedOutputs::new(worker.items.output_memory.clone());
        Self {
            store,
            worker,
            delegation,
            fleet,
            running,
            estimator,
            backlog,
            interrupted_outputs,
            held,
            waits,
            unrouted,
            options,
        }
    }

    /// Waits for leadership, runs items until it is lost, and repeats. Never returns.
    pub async fn run(self: Rc<Self>) {
        loop {
            while !self.store.serves() {
                let woken = self.store.work_changed.notified();
                let _ = tokio::time::timeout(MAX_PASS_INTERVAL, woken).await;
                if self.store.with_core(|core, _| core.role() != yokefall_consensus::Role::Leader) {
                    self.store.work_changed.notified().await;
                }
            }
            self.clone().lead().await;
            self.stop_all();
        }
    }

    fn stop_all(&self) {
        for (_, running) in self.running.borrow_mut().drain() {
            running.task.abort();
        }
        // Another leader may complete these items.
        self.interrupted_outputs.clear();
        self.waits.clear();
        self.unrouted.clear();
        oldest_open_job().set(0.0);
    }

    async fn lead(self: Rc<Self>) {
        let mut purge_at = Instant::now() + PURGE_INTERVAL;
        // Items keep running while the leader has no valid lease, but none is started.
        while self.store.is_leader() {
            self.stop_closed();
            self.preempt();
            if self.store.serves() {
                self.apply_load_reports();
                self.review_routes();
                self.start_items();
            }
            let now = Instant::now();
            if now >= purge_at {
                self.purge_jobs();
                purge_at = now + PURGE_INTERVAL;
            }
            self.wait_for_work().await;
        }
    }

    async fn wait_for_work(&self) {
        // Load is reported many times a second; one pass handles all that arrived in the meantime.
        tokio::time::sleep(MIN_PASS_INTERVAL).await;
        let woken = self.store.work_changed.notified();
        let busy = !self.running.borrow().is_empty() || self.store.has_open_jobs();
        let wait = if busy { BUSY_CHECK_INTERVAL } else { PURGE_INTERVAL };
        let _ = tokio::time::timeout(wait, woken).await;
    }

    /// Stops runs of items that have a result or whose job was ended.
    fn stop_closed(&self) {
        self.running.borrow_mut().retain(|(job, item), running| {
            let is_open = self.store.with_job(job, |job| job.open.contains_key(item));
            let was_ended = self.store.with_job(job, |job| job.ended);
            if is_open != Some(true) {
                running.task.abort();
            }
            if was_ended == Some(true) {
                LogLine::new(EventName::ItemStopped)
                    .id(format_args!("{job} item {item}"))
                    .text("job", job)
                    .field("backend", running.backend.as_ref().map(|backend| backend.id.clone()))
                    .write();
            }
            is_open == Some(true)
        });
    }

    fn apply_load_reports(&self) {
        let totals = self.store.loads.totals();
        let totals = totals
            .iter()
            .map(|total| (&total.backend, InFlight { online: total.online, items: total.items }));
        let items = |incarnation: &BackendIncarnation| self.store.loads.items(incarnation);
        self.worker.balancer.with(|balancer, now| balancer.update_totals(now, totals, items));
    }

    /// Starts waiting items in order while slots are free. The cost of a pass depends on the open
    /// jobs and the started items, not on the waiting items.
    fn start_items(self: &Rc<Self>) {
        let jobs = self.waiting_jobs();
        let mut services = FreeSlots::default();
        for late in [false, true] {
            let mut order: Vec<&WaitingJob> = jobs.iter().collect();
            order.sort_unstable_by(|left, right| left.order(right, late));
            for job in order {
                self.start_items_of(job, late, &mut services);
            }
        }
        let stats = PassStats {
            running: self.running.borrow().len(),
            max_runs: self.options.max_runs,
            reporting_gateways: self.store.loads.reporters(),
        };
        self.backlog.record(services.services(), stats);
        self.waits.review(|key| self.item_id(key));
    }

    pub(crate) fn item_id(&self, (job, index): &ItemKey) -> Option<String> {
        self.store.with_job(job, |job| Some(job.open.get(index)?.item.id.clone()))?
    }

    /// Open jobs. Items that have waited longer than their route allows are abandoned.
    fn waiting_jobs(self: &Rc<Self>) -> Vec<WaitingJob> {
        let mut jobs = Vec::new();
        let mut expired = Vec::new();
        let mut oldest = Duration::ZERO;
        self.store.for_each_open_job(|id, job, age| {
            oldest = oldest.max(age);
            if age.as_millis() as u64 > job.max_queue_ms {
                expired.extend(job.open.keys().map(|item| (id.clone(), *item)));
                return;
            }
            let has_due_time = self.options.policy.due_order && job.completion_target_ms > 0;
            let due = has_due_time.then(|| Duration::from_millis(job.completion_target_ms));
            jobs.push(WaitingJob { id: id.clone(), age, due });
        });
        oldest_open_job().set(oldest.as_secs_f64());
        for key in expired {
            if !self.running.borrow().contains_key(&key) {
                self.abandon_expired(key);
            }
        }
        jobs
    }

    /// Starts the items of a job that can meet their target, or those that cannot if `late`.
    fn start_items_of(self: &Rc<Self>, job: &WaitingJob, late: bool, services: &mut FreeSlots) {
        let estimator = self.estimator.get();
        let waiting = self.store.with_job(&job.id, |stored| {
            let running = self.running.borrow();
            let is_waiting =
                |(index, _): &(&u32, &OpenItem)| !running.contains_key(&(job.id.clone(), **index));
            let remaining = |(index, open): (&u32, &OpenItem)| {
                let interrupted = self.interrupted_outputs.last_event(&(job.id.clone(), *index));
                let last_event = interrupted.max(open.partial.last_event);
                let remaining = estimator.remaining(open.item.tokens, last_event);
                WaitingItem { index: *index, remaining }
            };
            stored.open.iter().filter(is_waiting).map(remaining).collect::<Vec<WaitingItem>>()
        });
        let mut waiting = waiting.unwrap_or_default();
        waiting.retain(|item| job.is_late(item.remaining) == late);
        waiting.sort_unstable_by_key(|item| (item.remaining, item.index));
        for (started, item) in waiting.iter().enumerate() {
            let key = (job.id.clone(), item.index);
            let Err(cause) = self.try_start(&key, waiting.len() - started, services) else {
                self.waits.record_start(&key);
                continue;
            };
            self.waits.record(&key, cause);
            if cause == WaitCause::NoSlot {
                return;
            }
        }
    }

    /// Starts an item, otherwise returns why it has to wait. `unstarted` is the number of waiting
    /// items of its job from this one on.
    fn try_start(
        self: &Rc<Self>,
        key: &ItemKey,
        unstarted: usize,
        services: &mut FreeSlots,
    ) -> Result<(), WaitCause> {
        let pool = self.pool_of(key)?;
        let free = services.of(&pool, || self.free_slots(&pool));
        if free.startable_items() == 0 || self.running.borrow().len() >= self.options.max_runs {
            free.queued += unstarted;
            return Err(WaitCause::NoSlot);
        }
        let (backend, isolated_run) = self.place(key, &pool, free, unstarted)?;
        let worker = self.item_workers().choose(&backend, &pool.residency);
        let started =
            worker.map(|worker| self.start(key.clone(), backend.clone(), worker, isolated_run));
        if started.is_none() {
            free.vacate_slot();
        }
        let items = self.worker.balancer.with(|balancer, _| balancer.in_flight(&backend));
        let may_take = self.item_workers().may_take(&backend, &pool.residency);
        if !self.has_free_slot(&backend, items) || !may_take {
            free.remove(&backend.id);
        }
        started.ok_or(WaitCause::NoWorker)
    }

    /// Occupies a slot for an item, and requests an isolated run there if the item is suspected.
    fn place(
        &self,
        key: &ItemKey,
        pool: &SlotPool,
        free: &mut ServiceSlots,
        unstarted: usize,
    ) -> Result<(Arc<Backend>, Option<IsolatedRun>), WaitCause> {
        let suspects = &self.worker.items.suspects;
        let keys = || self.suspect_keys(key, &pool.service);
        let item_id = || self.item_id(key).unwrap_or_default();
        let (digest, excluded) = match self.held.admit(suspects, key, keys, item_id) {
            Admission::Free => (None, Vec::new()),
            Admission::Suspect(digest) => (Some(digest), suspects.busy_backends()),
            Admission::HeldBack => return Err(WaitCause::HeldBack),
        };
        let backend = match (self.choose_backend(key, free, &excluded), digest) {
            (ItemPlacement::At(backend), _) => backend,
            (ItemPlacement::WaitForVersion, _) => {
                free.queued += 1;
                return Err(WaitCause::SoftwareVersion);
            }
            // There may be slots for other items.
            (ItemPlacement::NoSlot, Some(digest)) if !excluded.is_empty() => {
                self.held.wait_for_backend(key, digest);
                return Err(WaitCause::HeldBack);
            }
            (ItemPlacement::NoSlot, _) => {
                free.queued += unstarted;
                return Err(WaitCause::NoSlot);
            }
        };
        let Some(digest) = digest else { return Ok((backend, None)) };
        let Some(run) = self.held.isolate(suspects, key, digest, &backend.id, item_id) else {
            free.vacate_slot();
            return Err(WaitCause::HeldBack);
        };
        Ok((backend, Some(run)))
    }

    /// Chooses a back end to which the output of an item fits, or any after it has waited.
    fn choose_backend(
        &self,
        key: &ItemKey,
        free: &mut ServiceSlots,
        excluded: &[String],
    ) -> ItemPlacement {
        self.worker.balancer.with(|balancer, now| {
            self.interrupted_outputs.with(key, |output| {
                if let Some(output) = output {
                    if let Some(fitting) = free.choose_fitting(balancer, now, output, excluded) {
                        return ItemPlacement::At(fitting);
                    }
                    if output.is_worth_waiting() {
                        return ItemPlacement::WaitForVersion;
                    }
                }
                let chosen = free.choose(balancer, now, excluded);
                chosen.map_or(ItemPlacement::NoSlot, ItemPlacement::At)
            })
        })
    }

    fn suspect_keys(&self, (job, index): &ItemKey, service: &str) -> Option<SuspectKeys> {
        self.store.with_job(job, |job| {
            let item = job.open.get(index)?.item.clone();
            let sender = ItemSender { host: job.host.clone(), tenant: job.tenant.clone() };
            Some(self.worker.items.suspect_keys(service, &sender, &item))
        })?
    }

    /// Abandons an item that waited too long. It counts as running until this is committed.
    fn abandon_expired(self: &Rc<Self>, key: ItemKey) {
        let (runner, item) = (self.clone(), key.clone());
        let task = tokio::task::spawn_local(async move {
            LogLine::new(EventName::ItemAbandoned)
                .id(format_args!("{} item {}", item.0, item.1))
                .text("job", &item.0)
                .field("cause", "queued for longer than its route allows")
                .write();
            // If leadership is lost, the next leader finds that the item waited too long as well.
            let _ = runner.store.abandon(&item.0, item.1).await;
            runner.running.borrow_mut().remove(&item);
            runner.store.work_changed.notify_one();
        });
        let progress = Progress::after(Run::default(), 0, &self.worker.items.output_memory);
        let running = Running {
            task,
            progress: Rc::new(RefCell::new(progress)),
            backend: None,
            started: Instant::now(),
            phase: Rc::new(Cell::new(Phase::Ended)),
            preempted: Rc::default(),
        };
        self.running.borrow_mut().insert(key, running);
    }

    pub(crate) fn is_open(&self, (job, item): &ItemKey) -> bool {
        self.store.with_job(job, |job| job.open.contains_key(item)) == Some(true)
    }

    fn purge_jobs(&self) {
        let mut removals = Vec::new();
        self.store.for_each_job(|id, job, age| {
            if age > self.options.retention && !job.is_open() {
                removals.push(Command::Forget { job: id.clone() });
            }
        });
        if !removals.is_empty() {
            self.store.propose_detached(&Command::Batch(removals));
        }
        self.held.retain(|key| self.is_open(key));
        self.interrupted_outputs.retain(|key| self.is_open(key));
        self.unrouted.retain(|key| self.is_open(key));
        let catalog = self.worker.catalog.load();
        self.worker.items.pool.retain(|incarnation| catalog.is_ready_incarnation(incarnation));
        self.worker.balancer.with(|balancer, now| {
            balancer.retain(|incarnation| catalog.is_ready_incarnation(incarnation));
            balancer.prune_idle(now);
        });
    }
}

fn oldest_open_job() -> metrics::Gauge {
    metrics::gauge!("job_store_oldest_open_job_seconds")
}
