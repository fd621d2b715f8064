//! Running items and their output.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use tokio::sync::Notify;
use tokio::time::Instant;
use yokefall_serving::{Backend, BackendIncarnation};

use crate::preemption::{Phase, PlacedRun};
use crate::run::Progress;
use crate::store::Store;

/// Id of the job and index of the item.
pub type ItemKey = (String, u32);

/// A running item.
pub struct Running {
    /// Its task.
    pub task: tokio::task::JoinHandle<()>,
    /// Its output so far.
    pub progress: Rc<RefCell<Progress>>,
    /// The back end at which it runs; `None` while it is being abandoned.
    pub backend: Option<Arc<Backend>>,
    /// When it started.
    pub started: Instant,
    /// Whether it occupies its slot.
    pub phase: Rc<Cell<Phase>>,
    /// Notified when it must release its slot to an online request.
    pub preempted: Rc<Notify>,
}

impl Running {
    /// The run as seen by preemption.
    pub fn at<'a>(&self, backend: &'a Backend) -> PlacedRun<'a> {
        let has_output = self.progress.borrow().last_event > 0;
        PlacedRun { backend, has_output, started: self.started, phase: self.phase.get() }
    }

    /// Tells the run, which must occupy a slot, to release it to an online request.
    pub fn preempt(&self) {
        self.phase.set(Phase::Preempting);
        self.preempted.notify_one();
    }
}

/// Counts an item in the load of its back end until it is dropped.
pub struct CountedItem {
    store: Rc<Store>,
    backend: BackendIncarnation,
}

impl CountedItem {
    /// Starts to count an item.
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
