//! Items that run, and what the runner does with their output.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use tokio::sync::Notify;
use tokio::time::Instant;
use yokefall_serving::{Backend, BackendIncarnation};

use crate::preemption::{Phase, PlacedRun};
use crate::run::Progress;
use crate::state::Command;
use crate::store::Store;

/// An item by its job and index.
pub type ItemKey = (String, u32);

/// An item that runs.
pub struct Running {
    /// Its task.
    pub task: tokio::task::JoinHandle<()>,
    /// Its output so far.
    pub progress: Rc<RefCell<Progress>>,
    /// Back end at which it runs; none for an item that is being given up.
    pub backend: Option<Arc<Backend>>,
    /// When it started.
    pub started: Instant,
    /// Whether it has its slot.
    pub phase: Rc<Cell<Phase>>,
    /// Tells it to give its slot to an online request.
    pub preempted: Rc<Notify>,
}

impl Running {
    /// The run as preemption sees it.
    pub fn at<'a>(&self, backend: &'a Backend) -> PlacedRun<'a> {
        let has_output = self.progress.borrow().last_event > 0;
        PlacedRun { backend, has_output, started: self.started, phase: self.phase.get() }
    }

    /// Tells it to give its slot, which it has, to an online request.
    pub fn preempt(&self) {
        self.phase.set(Phase::Leaving);
        self.preempted.notify_one();
    }
}

/// An item that counts at its back end, until it is dropped.
pub struct CountedItem {
    store: Rc<Store>,
    backend: BackendIncarnation,
}

impl CountedItem {
    /// Counts an item from now on.
    pub fn new(store: Rc<Store>, backend: BackendIncarnation) -> Self {
        store.loads.item_started(&backend);
        store.loads_changed.notify_one();
        Self { store, backend }
    }
}

impl Drop for CountedItem {
    fn drop(&mut self) {
        self.store.loads.item_ended(&self.backend);
        self.store.loads_changed.notify_one();
    }
}

/// The command that makes the output since the last one durable. The log keeps the order of what
/// this leader proposes, so a later end of the item follows on it.
pub fn take_output(key: &ItemKey, progress: &Rc<RefCell<Progress>>) -> Option<Command> {
    let mut progress = progress.borrow_mut();
    let text = progress.text.take()?;
    let after_event = progress.kept_event;
    progress.kept_event = progress.last_event;
    Some(Command::Keep {
        job: key.0.clone(),
        item: key.1,
        run: progress.run,
        after_event,
        last_event: progress.last_event,
        text,
    })
}
