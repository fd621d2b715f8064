//! Decides which item runs at which back end while this replica leads. Online requests go first: an
//! item gets a slot only where online requests leave some free (`slots`). One run of an item, from its start to what is
//! recorded of it, is in `item_run`; who reads the events is `delegation`'s.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;
use yokefall_serving::{BackendIncarnation, FleetCell, InFlight, Policy};
use yokefall_suspects::RequestDigest;
use yokefall_telemetry::{EventName, LogLine};

use crate::backlog::{Backlog, PassFigures};
use crate::delegation::Delegation;
use crate::held_items::HeldItems;
use crate::preemption::Phase;
use crate::room::FreeSlots;
use crate::run::{item_digest, ItemSender};
use crate::running::{take_output, ItemKey, Running};
use crate::state::{Command, OpenItem};
use crate::store::Store;
use crate::urgency::{Pace, WaitingItem, WaitingJob};
use crate::worker::Worker;

/// Interval at which the output of running items is made durable.
const KEEP_INTERVAL: Duration = Duration::from_millis(1_000);
/// Least interval between two scheduling passes; load reports come as often where gateways are few.
const LEAST_PASS_INTERVAL: Duration = Duration::from_millis(20);
/// Longest interval between two scheduling passes.
const PASS_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two searches for jobs that are over.
const FORGET_INTERVAL: Duration = Duration::from_millis(5_000);

/// The runner's state, shared between its tasks.
pub struct Runner {
    pub(crate) store: Rc<Store>,
    pub(crate) worker: Rc<Worker>,
    pub(crate) delegation: Delegation,
    pub(crate) fleet: FleetCell,
    pub(crate) running: RefCell<HashMap<ItemKey, Running>>,
    /// How fast items are done.
    pub(crate) pace: Cell<Pace>,
    backlog: Backlog,
    /// Items that wait because back ends ended under them.
    held: HeldItems,
    pub(crate) options: RunnerOptions,
}

/// What a runner is given at its start.
#[derive(Clone, Copy, Debug)]
pub struct RunnerOptions {
    /// Time for which jobs that are over are kept.
    pub retention: Duration,
    /// Items that run at once at most; each takes memory for its connection and its output.
    pub max_runs: usize,
    /// Decisions that are switched on.
    pub policy: Policy,
}

impl Runner {
    /// A runner that gives items to `worker`, and through `delegation` to other job stores.
    pub fn new(
        store: Rc<Store>,
        worker: Rc<Worker>,
        delegation: Delegation,
        fleet: FleetCell,
        options: RunnerOptions,
    ) -> Self {
        let (running, pace) = (RefCell::default(), Cell::default());
        let (backlog, held) = (Backlog::default(), HeldItems::default());
        Self { store, worker, delegation, fleet, running, pace, backlog, held, options }
    }

    /// Runs for ever: waits for the lead, then runs items until it is lost.
    pub async fn run(self: Rc<Self>) {
        loop {
            while !self.store.serves() {
                let woken = self.store.work_changed.notified();
                let _ = tokio::time::timeout(PASS_INTERVAL, woken).await;
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
    }

    async fn lead(self: Rc<Self>) {
        let mut keep_at = Instant::now() + KEEP_INTERVAL;
        let mut forget_at = Instant::now() + FORGET_INTERVAL;
        // What runs goes on through a moment without a lease; nothing starts in it.
        while self.store.is_leader() {
            self.stop_closed();
            self.preempt();
            if self.store.serves() {
                self.take_loads();
                self.start_items();
            }
            let now = Instant::now();
            if now >= keep_at {
                self.keep_output();
                keep_at = now + KEEP_INTERVAL;
            }
            if now >= forget_at {
                self.forget_jobs();
                forget_at = now + FORGET_INTERVAL;
            }
            self.rest(keep_at).await;
        }
    }

    async fn rest(&self, keep_at: Instant) {
        // Loads are reported many times a second; one pass serves what came meanwhile.
        tokio::time::sleep(LEAST_PASS_INTERVAL).await;
        let woken = self.store.work_changed.notified();
        let busy = !self.running.borrow().is_empty() || self.store.has_open_jobs();
        let until = if busy { keep_at } else { Instant::now() + FORGET_INTERVAL };
        let _ = tokio::time::timeout_at(until, woken).await;
    }

    /// Stops runs of items that have a result, or whose job was ended.
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

    /// Takes over what gateways reported of their requests.
    fn take_loads(&self) {
        let totals = self.store.loads.totals();
        let totals = totals
            .iter()
            .map(|total| (&total.backend, InFlight { online: total.online, items: total.items }));
        let items = |incarnation: &BackendIncarnation| self.store.loads.items(incarnation);
        self.worker.balancer.with(|balancer, now| balancer.update_totals(now, totals, items));
    }

    /// Starts what waits, in its order, as far as there are free slots. The work of a pass grows with
    /// the jobs that are open and the items that start, not with the items that wait.
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
        let figures = PassFigures {
            running: self.running.borrow().len(),
            max_runs: self.options.max_runs,
            gateways_heard: self.store.loads.reporters(),
        };
        self.backlog.note(services.services(), figures);
    }

    /// Jobs with items that do not run yet. Items that have waited for longer than their route allows
    /// are given up.
    fn waiting_jobs(self: &Rc<Self>) -> Vec<WaitingJob> {
        let mut jobs = Vec::new();
        let mut expired = Vec::new();
        self.store.each_open_job(|id, job, age| {
            if age.as_millis() as u64 > job.max_queue_ms {
                expired.extend(job.open.keys().map(|item| (id.clone(), *item)));
                return;
            }
            let has_due_time = self.options.policy.due_order && job.completion_target_ms > 0;
            let due = has_due_time.then(|| Duration::from_millis(job.completion_target_ms));
            jobs.push(WaitingJob { id: id.clone(), age, due });
        });
        for key in expired {
            if !self.running.borrow().contains_key(&key) {
                self.give_up(key);
            }
        }
        jobs
    }

    /// Starts the items of a job that can be done in time, or those that cannot.
    fn start_items_of(self: &Rc<Self>, job: &WaitingJob, late: bool, services: &mut FreeSlots) {
        let pace = self.pace.get();
        let waiting = self.store.with_job(&job.id, |held| {
            let running = self.running.borrow();
            let is_waiting =
                |(index, _): &(&u32, &OpenItem)| !running.contains_key(&(job.id.clone(), **index));
            let left = |(index, open): (&u32, &OpenItem)| {
                let left = pace.left(open.item.tokens, open.partial.last_event);
                WaitingItem { index: *index, left }
            };
            held.open.iter().filter(is_waiting).map(left).collect::<Vec<WaitingItem>>()
        });
        let mut waiting = waiting.unwrap_or_default();
        waiting.retain(|item| job.is_late(item.left) == late);
        waiting.sort_unstable_by_key(|item| (item.left, item.index));
        for (started, item) in waiting.iter().enumerate() {
            let key = (job.id.clone(), item.index);
            if self.held.contains(&key) {
                continue;
            }
            // An item whose route is unknown must not hold up the items of others.
            let Some(pool) = self.pool_of(&key) else { continue };
            let free = services.of(&pool, || self.free_slots(&pool));
            let may_start = free.items() > 0 && self.running.borrow().len() < self.options.max_runs;
            let choose = || self.worker.balancer.with(|balancer, now| free.choose(balancer, now));
            let Some(backend) = may_start.then(choose).flatten() else {
                free.held += waiting.len() - started;
                return;
            };
            let suspects = &self.worker.items.suspects;
            if !self.held.may_start(suspects, &key, &backend.id, || self.digest_of(&key)) {
                continue;
            }
            if let Some(worker) = self.item_workers().choose(&backend, &pool.residency) {
                self.start(key, backend.clone(), worker);
            }
            let items = self.worker.balancer.with(|balancer, _| balancer.in_flight(&backend));
            let may_take = self.item_workers().may_take(&backend, &pool.residency);
            if !self.has_free_slot(&backend, items) || !may_take {
                free.remove(&backend.id);
            }
        }
    }

    /// The digest of an item; `None` where its job or the item is gone.
    fn digest_of(&self, (job, index): &ItemKey) -> Option<RequestDigest> {
        self.store.with_job(job, |job| {
            let item = job.open.get(index)?.item.clone();
            let sender = ItemSender { host: job.host.clone(), tenant: job.tenant.clone() };
            Some(item_digest(&sender, &item))
        })?
    }

    /// Gives up an item that waited too long; it counts as running until that is in the log.
    fn give_up(self: &Rc<Self>, key: ItemKey) {
        let (runner, item) = (self.clone(), key.clone());
        let task = tokio::task::spawn_local(async move {
            LogLine::new(EventName::ItemAbandoned)
                .id(format_args!("{} item {}", item.0, item.1))
                .text("job", &item.0)
                .field("cause", "it waited longer than its route allows")
                .write();
            // Where the lead is lost, the next leader finds that it waited too long as well.
            let _ = runner.store.abandon(&item.0, item.1).await;
            runner.running.borrow_mut().remove(&item);
            runner.store.work_changed.notify_one();
        });
        let running = Running {
            task,
            progress: Rc::default(),
            backend: None,
            started: Instant::now(),
            phase: Rc::new(Cell::new(Phase::Ended)),
            preempted: Rc::default(),
        };
        self.running.borrow_mut().insert(key, running);
    }

    /// Makes the output of running items durable, so that another leader goes on from there.
    fn keep_output(&self) {
        let running = self.running.borrow();
        let commands: Vec<Command> =
            running.iter().filter_map(|(key, run)| take_output(key, &run.progress)).collect();
        if !commands.is_empty() {
            self.store.propose_only(&Command::Several(commands));
        }
    }

    fn forget_jobs(&self) {
        let mut over = Vec::new();
        self.store.each_job(|id, job, age| {
            if age > self.options.retention && !job.is_open() {
                over.push(Command::Forget { job: id.clone() });
            }
        });
        if !over.is_empty() {
            self.store.propose_only(&Command::Several(over));
        }
        self.held.retain(|(job, item)| {
            self.store.with_job(job, |job| job.open.contains_key(item)) == Some(true)
        });
        let catalog = self.worker.catalog.load();
        self.worker.items.pool.retain(|incarnation| catalog.is_ready_incarnation(incarnation));
        self.worker.balancer.with(|balancer, now| {
            balancer.retain(|incarnation| catalog.is_ready_incarnation(incarnation));
            balancer.prune_idle(now);
        });
    }
}
