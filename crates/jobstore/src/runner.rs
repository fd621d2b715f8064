//! Runs items at back ends while this replica leads. Online requests go first: an item takes a
//! place only at a back end with room to spare.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;
use yokefall_serving::{
    Backend, Balancer, CatalogCell, Dialect, InFlight, ItemState, JobItem, Policy, RouteKind,
};
use yokefall_telemetry::{EventName, Line};
use yokefall_upstream::{Place, Places};

use crate::room::Room;
use crate::run::{ItemRunner, Progress, RunEnd};
use crate::running::{sort_for_giving_way, take_output, CountedItem, ItemKey, Running};
use crate::state::{Command, Job, Run};
use crate::store::Store;
use crate::urgency::{Pace, Urgency};

/// The same where no gateway tells its load.
const BLIND_SLOT_SHARE: f64 = 0.3;
/// Pause before an item that could not run is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Interval at which the output of running items is made durable.
const KEEP_INTERVAL: Duration = Duration::from_millis(1_000);
/// Least pause between two looks at what waits.
const LEAST_LOOK_INTERVAL: Duration = Duration::from_millis(20);
/// Longest pause between two looks at what waits.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between looks for jobs that are over.
const FORGET_INTERVAL: Duration = Duration::from_millis(5_000);

/// The runner's state, shared between its tasks.
pub struct Runner {
    store: Rc<Store>,
    catalog: CatalogCell,
    items: ItemRunner,
    places: Rc<Places>,
    waiting: RefCell<VecDeque<ItemKey>>,
    running: RefCell<HashMap<ItemKey, Running>>,
    /// How fast items are done.
    pace: Cell<Pace>,
    options: RunnerOptions,
}

/// What a runner is told.
#[derive(Clone, Copy, Debug)]
pub struct RunnerOptions {
    /// Time for which jobs that are over are kept.
    pub retention: Duration,
    /// Items that run at once at most; each takes memory for its connection and its output.
    pub most_runs: usize,
    /// Decisions that are switched on.
    pub policy: Policy,
}

impl Runner {
    /// A runner for a replica in `zone`.
    pub fn new(
        store: Rc<Store>,
        catalog: CatalogCell,
        dialect: Arc<dyn Dialect>,
        zone: String,
        seed: u64,
        options: RunnerOptions,
    ) -> Self {
        Self {
            store,
            catalog,
            items: ItemRunner::new(dialect),
            places: Places::new(Balancer::new(zone, seed, options.policy)),
            waiting: RefCell::default(),
            running: RefCell::default(),
            pace: Cell::default(),
            options,
        }
    }

    /// Runs for ever: waits for the lead, then runs items until it is lost.
    pub async fn run(self: Rc<Self>) {
        loop {
            while !self.store.serves() {
                let woken = self.store.work_changed.notified();
                let _ = tokio::time::timeout(LOOK_INTERVAL, woken).await;
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
        self.waiting.borrow_mut().clear();
    }

    async fn lead(self: Rc<Self>) {
        let mut keep_at = Instant::now() + KEEP_INTERVAL;
        let mut forget_at = Instant::now() + FORGET_INTERVAL;
        // What runs goes on through a moment without a lease; nothing starts in it.
        while self.store.is_leader() {
            self.collect();
            self.give_way();
            if self.store.serves() {
                self.hear_loads();
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
        // Gateways tell their loads many times a second; one look serves what came meanwhile.
        tokio::time::sleep(LEAST_LOOK_INTERVAL).await;
        let woken = self.store.work_changed.notified();
        let busy = !self.running.borrow().is_empty() || !self.waiting.borrow().is_empty();
        let until = if busy { keep_at } else { Instant::now() + FORGET_INTERVAL };
        let _ = tokio::time::timeout_at(until, woken).await;
    }

    /// Finds items that neither wait nor run, and stops those that are over.
    fn collect(&self) {
        let pace = self.pace.get();
        let mut found: Vec<(Urgency, ItemKey)> = Vec::new();
        let mut running = self.running.borrow_mut();
        let mut waiting = self.waiting.borrow_mut();
        let mut open: HashSet<ItemKey> = HashSet::new();
        self.store.each_job(|id, job, age| {
            for (index, item) in &job.open {
                open.insert((id.clone(), *index));
                let left = pace.left(item.item.tokens, item.partial.last_event);
                found.push((self.urgency(job, age, left), (id.clone(), *index)));
            }
        });
        running.retain(|key, running| {
            let keep = open.contains(key);
            if !keep {
                running.task.abort();
            }
            keep
        });
        found.sort_by(|left, right| left.0.order(&right.0).then_with(|| left.1.cmp(&right.1)));
        waiting.clear();
        waiting.extend(found.into_iter().map(|(_, key)| key).filter(|k| !running.contains_key(k)));
    }

    /// Takes over what gateways told of their requests.
    fn hear_loads(&self) {
        let totals = self.store.loads.totals();
        let totals = totals.iter().map(|total| {
            (total.backend.as_str(), InFlight { online: total.online, items: total.items })
        });
        let items = |id: &str| self.store.loads.items(id);
        self.places.with(|balancer, now| balancer.heard_totals(now, totals, items));
    }

    fn urgency(&self, job: &Job, age: Duration, left: Duration) -> Urgency {
        let has_due_time = self.options.policy.due_order && job.completion_target_ms > 0;
        let due = has_due_time.then(|| Duration::from_millis(job.completion_target_ms));
        Urgency { age, due, left }
    }

    /// Starts what waits, in its order, as far as there is room at back ends.
    fn start_items(self: &Rc<Self>) {
        let mut full: HashSet<String> = HashSet::new();
        let mut rooms: HashMap<String, Room> = HashMap::new();
        let waiting = std::mem::take(&mut *self.waiting.borrow_mut());
        for key in waiting {
            if self.is_too_old(&key) {
                self.give_up(key);
                continue;
            }
            if self.running.borrow().len() >= self.options.most_runs {
                continue;
            }
            // An item whose route is unknown must not hold up the items of others.
            let service = self.service_of(&key).filter(|service| !full.contains(service));
            let Some(service) = service else { continue };
            let room = rooms.entry(service.clone()).or_insert_with(|| self.room(&service));
            let place = if room.items() > 0 { self.place(&service) } else { None };
            match place {
                Some(backend) => {
                    room.free -= 1;
                    self.start(key, backend);
                }
                None => {
                    full.insert(service);
                }
            }
        }
    }

    fn is_too_old(&self, key: &ItemKey) -> bool {
        let limit = self.store.with_job(&key.0, |job| job.max_queue_ms);
        let age = self.store.age(&key.0).as_millis() as u64;
        limit.is_some_and(|limit| age > limit)
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
            runner.store.abandon(&item.0, item.1).await;
            runner.running.borrow_mut().remove(&item);
            runner.store.work_changed.notify_one();
        });
        let running = Running {
            task,
            progress: Rc::default(),
            backend: None,
            started: Instant::now(),
            give_way: Rc::default(),
        };
        self.running.borrow_mut().insert(key, running);
    }

    /// The service that the configuration in force gives an item to.
    fn service_of(&self, key: &ItemKey) -> Option<String> {
        let catalog = self.catalog.load();
        let (host, path) = self.store.with_job(&key.0, |job| {
            job.open.get(&key.1).map(|open| (job.host.clone(), open.item.path.clone()))
        })??;
        let route = catalog.routes.find(&host, &path)?;
        let part = route.split.iter().max_by_key(|part| part.weight)?;
        (route.kind == RouteKind::Batch).then(|| part.service.clone())
    }

    /// The free slots of a service.
    fn room(&self, service: &str) -> Room {
        let catalog = self.catalog.load();
        self.places.with(|balancer, now| {
            let mut room = Room::new(self.store.loads.telling_interval());
            for backend in catalog.ready(service) {
                if balancer.is_ejected(now, &backend.id) {
                    continue;
                }
                let online = self.store.loads.online(&backend.id).unwrap_or(0);
                room.add(backend.slots, online + balancer.in_flight(&backend.id));
            }
            room
        })
    }

    /// A back end of a service with room for an item.
    fn place(&self, service: &str) -> Option<Arc<Backend>> {
        let catalog = self.catalog.load();
        self.places.with(|balancer, now| {
            let has_room = |backend: &&Arc<Backend>| {
                let items = balancer.in_flight(&backend.id);
                self.has_room(backend, items) && !balancer.is_ejected(now, &backend.id)
            };
            let open: Vec<Arc<Backend>> =
                catalog.ready(service).iter().filter(has_room).cloned().collect();
            balancer.choose(now, &open, &[], None)
        })
    }

    /// Whether a back end with this many items has room for another one.
    fn has_room(&self, backend: &Backend, items: u32) -> bool {
        let Some(online) = self.store.loads.online(&backend.id) else {
            return f64::from(items) < (f64::from(backend.slots) * BLIND_SLOT_SHARE).max(1.0);
        };
        online + items < backend.slots
    }

    /// Where online requests need the slots of items, the newest items give way.
    fn give_way(&self) {
        if !self.options.policy.give_way {
            return;
        }
        let running = self.running.borrow();
        let mut by_backend: HashMap<&str, Vec<&Running>> = HashMap::new();
        for run in running.values() {
            if let Some(backend) = &run.backend {
                by_backend.entry(&backend.id).or_default().push(run);
            }
        }
        let mut kept: HashMap<&str, Vec<&Running>> = HashMap::new();
        for (id, mut runs) in by_backend {
            let Some(online) = self.store.loads.online(id) else { continue };
            let Some(backend) = runs[0].backend.as_ref() else { continue };
            let over = (runs.len() as u32 + online).saturating_sub(backend.slots) as usize;
            sort_for_giving_way(&mut runs);
            let rest = runs.split_off(over.min(runs.len()));
            runs.iter().for_each(|run| run.give_way.notify_one());
            kept.entry(&backend.service).or_default().extend(rest);
        }
        for (service, mut runs) in kept {
            let lacking = self.room(service).lacking() as usize;
            sort_for_giving_way(&mut runs);
            runs.iter().take(lacking).for_each(|run| run.give_way.notify_one());
        }
    }

    fn start(self: &Rc<Self>, key: ItemKey, backend: Arc<Backend>) {
        let Some(Some((host, item, partial))) = self.store.with_job(&key.0, |job| {
            let open = job.open.get(&key.1)?;
            Some((job.host.clone(), open.item.clone(), open.partial.last_event))
        }) else {
            return;
        };
        let run = Run { number: rand::random(), asked_after: partial };
        let progress = Progress { run, kept_event: partial, last_event: partial, text: None };
        let progress = Rc::new(RefCell::new(progress));
        let place = self.places.take(backend.clone());
        let give_way = Rc::new(Notify::new());
        let task = tokio::task::spawn_local(self.clone().run_item(
            key.clone(),
            host,
            item,
            progress.clone(),
            place,
            give_way.clone(),
        ));
        let started = Instant::now();
        let running = Running { task, progress, backend: Some(backend), started, give_way };
        self.running.borrow_mut().insert(key, running);
    }

    async fn run_item(
        self: Rc<Self>,
        key: ItemKey,
        host: String,
        item: Arc<JobItem>,
        progress: Rc<RefCell<Progress>>,
        mut place: Place,
        give_way: Rc<Notify>,
    ) {
        Line::new(EventName::ItemStarted)
            .id(&item.id)
            .text("job", &key.0)
            .text("backend", &place.backend.id)
            .field("online", self.store.loads.online(&place.backend.id))
            .field("items", self.store.loads.items(&place.backend.id))
            .field("after_event", progress.borrow().last_event)
            .write();
        let counted = CountedItem::new(self.store.clone(), &place.backend.id);
        let (began, events_before) = (Instant::now(), progress.borrow().last_event);
        let end = tokio::select! {
            end = self.items.run_at(&mut place, &host, &item, &progress) => end,
            () = give_way.notified() => {
                RunEnd::Again { cause: "gave way to online requests".into(), pause: true }
            }
        };
        drop(place);
        drop(counted);
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
                self.store.abandon(&job, index).await;
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
            self.store.abandon(&job, index).await;
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
        let catalog = self.catalog.load();
        self.items.pool.retain(|id| catalog.is_ready(id));
        self.places.with(|balancer, _| balancer.retain(|id| catalog.is_ready(id)));
    }
}
