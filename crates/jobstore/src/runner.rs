//! Decides which item runs at which back end while this replica leads. Online requests go first: an
//! item gets a slot only where online requests leave some free. Who reads the events is `delegation`'s.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;
use yokefall_serving::{
    Backend, BackendLife, FleetCell, InFlight, ItemState, JobItem, Need, Permit, Policy, Residency,
    RouteKind,
};
use yokefall_suspects::RequestDigest;
use yokefall_telemetry::{EventName, Line};
use yokefall_upstream::Place;

use crate::backlog::{Backlog, PassFigures};
use crate::delegation::{preemption, Delegation};
use crate::held_items::HeldItems;
use crate::item_worker::{ItemWorker, ItemWorkers};
use crate::preemption::{preempted, Phase, PlacedRun};
use crate::protocol::RunOrder;
use crate::room::{FreeSlots, Room, ServiceSlots, SlotPool};
use crate::run::{item_digest, ItemSender, NoPermit, Progress, RunEnd};
use crate::running::{take_output, CountedItem, ItemKey, Running};
use crate::state::{Command, OpenItem, Run};
use crate::store::Store;
use crate::urgency::{Pace, WaitingItem, WaitingJob};
use crate::worker::Worker;

/// Pause before an item that could not run is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
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
    store: Rc<Store>,
    worker: Rc<Worker>,
    delegation: Delegation,
    fleet: FleetCell,
    running: RefCell<HashMap<ItemKey, Running>>,
    /// How fast items are done.
    pace: Cell<Pace>,
    backlog: Backlog,
    /// Items that wait because back ends ended under them.
    held: HeldItems,
    options: RunnerOptions,
}

/// What a runner is given at its start.
#[derive(Clone, Copy, Debug)]
pub struct RunnerOptions {
    /// Time for which jobs that are over are kept.
    pub retention: Duration,
    /// Items that run at once at most; each takes memory for its connection and its output.
    pub most_runs: usize,
    /// Decisions that are switched on.
    pub policy: Policy,
}

/// The slot of an item that starts.
struct PlacedItem {
    place: Place,
    worker: ItemWorker,
    phase: Rc<Cell<Phase>>,
    /// Tells it to give its slot to an online request.
    preempted: Rc<Notify>,
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
                Line::new(EventName::ItemStopped)
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
        let items = |life: &BackendLife| self.store.loads.items(life);
        self.worker.places.with(|balancer, now| balancer.heard_totals(now, totals, items));
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
            most_runs: self.options.most_runs,
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
            let may_start =
                free.items() > 0 && self.running.borrow().len() < self.options.most_runs;
            let choose = || self.worker.places.with(|balancer, now| free.choose(balancer, now));
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
            let items = self.worker.places.with(|balancer, _| balancer.in_flight(&backend));
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

    /// Back ends of a pool with a free slot, and how many items may start there.
    fn free_slots(&self, pool: &SlotPool) -> ServiceSlots {
        let catalog = self.worker.catalog.load();
        let room = self.room(pool);
        let need = Need { service: &pool.service, residency: &pool.residency };
        let candidates = self.item_workers().candidates(&catalog, &need);
        let backends = self.worker.places.with(|balancer, now| {
            let is_free = |backend: &&Arc<Backend>| {
                let items = balancer.in_flight(backend);
                self.has_free_slot(backend, items) && !balancer.is_ejected(now, backend)
            };
            candidates.iter().filter(is_free).cloned().collect()
        });
        ServiceSlots::new(room, backends)
    }

    /// Gives up an item that waited too long; it counts as running until that is in the log.
    fn give_up(self: &Rc<Self>, key: ItemKey) {
        let (runner, item) = (self.clone(), key.clone());
        let task = tokio::task::spawn_local(async move {
            Line::new(EventName::ItemAbandoned)
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

    /// The slots that the configuration in force gives an item.
    fn pool_of(&self, key: &ItemKey) -> Option<SlotPool> {
        let catalog = self.worker.catalog.load();
        let (sender, path) = self.store.with_job(&key.0, |job| {
            let sender = ItemSender { host: job.host.clone(), tenant: job.tenant.clone() };
            job.open.get(&key.1).map(|open| (sender, open.item.path.clone()))
        })??;
        let route = catalog.routes.find(&sender.host, &path)?;
        let part = route.split.iter().max_by_key(|part| part.weight)?;
        let residency = catalog.residency(route, sender.tenant.as_ref());
        let service = part.service.clone();
        (route.kind == RouteKind::Batch).then_some(SlotPool { service, residency })
    }

    /// The slots of a pool.
    fn room(&self, pool: &SlotPool) -> Room {
        let catalog = self.worker.catalog.load();
        let need = Need { service: &pool.service, residency: &pool.residency };
        let candidates = self.item_workers().candidates(&catalog, &need);
        self.worker.places.with(|balancer, now| {
            let coverage = self.store.loads.coverage(self.fleet.load().gateways().count());
            let mut room = Room::new(self.store.loads.report_interval()).heard(coverage);
            for backend in candidates.iter() {
                if balancer.is_ejected(now, backend) {
                    continue;
                }
                let online = self.reported_online(backend);
                room.add(backend.slots, online + balancer.in_flight(backend));
            }
            room
        })
    }

    /// Who may run items.
    fn item_workers(&self) -> ItemWorkers<'_> {
        let leader = self.store.with_core(|core, _| core.id().name.clone());
        ItemWorkers { worker: &self.worker, delegation: &self.delegation, leader }
    }

    /// Whether a back end with this many items has a free slot.
    fn has_free_slot(&self, backend: &Backend, items: u32) -> bool {
        self.reported_online(backend) + items < backend.slots
    }

    /// Online requests at a back end of the gateways that are heard. Those of the others are in the
    /// reserve of the service (`Coverage`), at which back end is not known.
    fn reported_online(&self, backend: &Backend) -> u32 {
        self.store.loads.online(&backend.life()).unwrap_or(0)
    }

    /// Where online requests need the slots of items, the newest items are preempted.
    fn preempt(&self) {
        if !self.options.policy.give_way {
            return;
        }
        let running = self.running.borrow();
        let placed: Vec<(&Running, &Arc<Backend>)> = running
            .values()
            .filter_map(|run| run.backend.as_ref().map(|backend| (run, backend)))
            .collect();
        let runs: Vec<PlacedRun> = placed.iter().map(|(run, backend)| run.at(backend)).collect();
        let online = |backend: &Backend| self.reported_online(backend);
        let lacking = |service: &str| {
            let pool = SlotPool { service: service.to_owned(), residency: Residency::Anywhere };
            self.room(&pool).lacking() as usize
        };
        for position in preempted(&runs, online, lacking) {
            placed[position].0.preempt();
        }
    }

    fn start(self: &Rc<Self>, key: ItemKey, backend: Arc<Backend>, worker: ItemWorker) {
        let Some(Some((sender, item, partial))) = self.store.with_job(&key.0, |job| {
            let open = job.open.get(&key.1)?;
            let sender = ItemSender { host: job.host.clone(), tenant: job.tenant.clone() };
            Some((sender, open.item.clone(), open.partial.last_event))
        }) else {
            return;
        };
        let run = Run { number: rand::random(), asked_after: partial };
        let progress = Progress { run, kept_event: partial, last_event: partial, text: None };
        let progress = Rc::new(RefCell::new(progress));
        let place = self.worker.places.take(backend.clone());
        let preempted = Rc::new(Notify::new());
        let phase = Rc::new(Cell::new(Phase::Placed));
        let task = tokio::task::spawn_local(self.clone().run_item(
            key.clone(),
            sender,
            item,
            progress.clone(),
            PlacedItem { place, worker, phase: phase.clone(), preempted: preempted.clone() },
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
        let PlacedItem { mut place, worker, phase, preempted } = placed;
        let worker = match worker {
            ItemWorker::Leader => None,
            ItemWorker::Other(member) => Some(member),
        };
        let life = place.backend.life();
        Line::new(EventName::ItemStarted)
            .id(&item.id)
            .text("job", &key.0)
            .text("backend", &place.backend.id)
            .field("worker", worker.as_ref().map(|worker| worker.name.clone()))
            .field("online", self.store.loads.online(&life))
            .field("items", self.store.loads.items(&life))
            .field("after_event", progress.borrow().last_event)
            .write();
        let counted = CountedItem::new(self.store.clone(), life);
        let (began, events_before) = (Instant::now(), progress.borrow().last_event);
        let end = match worker {
            Some(worker) => {
                let order = RunOrder {
                    backend: Backend::clone(&place.backend),
                    host: sender.host.clone(),
                    tenant: sender.tenant.clone(),
                    item: JobItem::clone(&item),
                    after_event: events_before,
                };
                self.delegation.run(&worker, order, &mut place, &progress, &preempted).await
            }
            None => {
                let backend = place.backend.clone();
                let permit = || self.permit(&key, &backend, &sender, &item);
                let items = &self.worker.items;
                tokio::select! {
                    end = items.run_at(&mut place, &sender, &item, &progress, permit) => end,
                    () = preempted.notified() => preemption(),
                }
            }
        };
        drop(place);
        drop(counted);
        phase.set(Phase::Ended);
        let suspects = &self.worker.items.suspects;
        if !suspects.is_empty() {
            let digest = item_digest(&sender, &item);
            match end.is_whole_answer() {
                true => suspects.note_answer(&digest),
                false => {
                    // One that gave no event may have waited in the back end's queue.
                    let gave_events = progress.borrow().last_event > events_before;
                    let worked = if gave_events { began.elapsed() } else { Duration::ZERO };
                    suspects.note_concluded(&digest, worked);
                }
            }
        }
        if end == RunEnd::Completed {
            let events = progress.borrow().last_event;
            let mut pace = self.pace.get();
            pace.finished(item.tokens, events, events - events_before, began.elapsed());
            self.pace.set(pace);
        }
        self.finish(&key, &item, &progress, end).await;
        self.running.borrow_mut().remove(&key);
        self.store.work_changed.notify_one();
    }

    /// The right to send an item that is still wanted to a back end; else the cause.
    fn permit(
        &self,
        (job, index): &ItemKey,
        backend: &Backend,
        sender: &ItemSender,
        item: &JobItem,
    ) -> Result<Permit, NoPermit> {
        let is_open = self.store.with_job(job, |job| job.open.contains_key(index));
        if !self.store.serves() || is_open != Some(true) {
            return Err(NoPermit::new("it is not wanted any more"));
        }
        self.worker.permit(backend, sender, item)
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
                let Progress { run, kept_event, text, .. } = progress.borrow().clone();
                Line::new(EventName::ItemFinished)
                    .id(&item.id)
                    .text("job", &job)
                    .field("events", progress.borrow().last_event)
                    .write();
                let command = Command::Finish {
                    job,
                    item: index,
                    state: ItemState::Completed,
                    run,
                    after_event: kept_event,
                    text,
                };
                let _ = self.store.propose(&command).await;
            }
            RunEnd::Impossible => {
                self.tell_abandoned(item, &job, "a back end told that it can never be done");
                // In a task of its own: those of a leader end with its lead.
                let store = self.store.clone();
                let recording = tokio::task::spawn_local(async move {
                    store.abandon_impossible(&job, index).await;
                });
                let _ = recording.await;
            }
            RunEnd::ItemFailed => self.count_failure(job, index, item).await,
            RunEnd::Again { cause, pause } => {
                Line::new(EventName::ItemRetried)
                    .id(&item.id)
                    .text("job", &job)
                    .field("after_event", progress.borrow().last_event)
                    .field("cause", cause)
                    .write();
                // The next run asks for what follows the text in the log: it must be there first.
                if let Some(command) = take_output(key, progress) {
                    let _ = self.store.propose(&command).await;
                }
                let kept_event = progress.borrow().kept_event;
                self.store.kept(&key.0, key.1, kept_event).await;
                if pause {
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    fn tell_abandoned(&self, item: &JobItem, job: &str, cause: &'static str) {
        Line::new(EventName::ItemAbandoned)
            .id(&item.id)
            .field("job", job)
            .field("cause", cause)
            .write();
    }

    async fn count_failure(&self, job: String, index: u32, item: &JobItem) {
        let counted = Command::CountFailure { job: job.clone(), item: index };
        let _ = self.store.propose(&counted).await;
        let spent = self.store.with_job(&job, |job| {
            job.open.get(&index).is_some_and(|open| open.failures >= job.max_attempts)
        });
        if spent == Some(true) {
            self.tell_abandoned(item, &job, "every attempt failed");
            // Where the lead is lost, the failures are in the log, and the next leader gives it up.
            let _ = self.store.abandon(&job, index).await;
            return;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
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
        self.worker.items.pool.retain(|life| catalog.is_ready_life(life));
        self.worker.places.with(|balancer, _| balancer.retain(|life| catalog.is_ready_life(life)));
    }
}
