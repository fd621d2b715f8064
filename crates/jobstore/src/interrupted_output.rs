//! Output of items whose run was interrupted, kept by the leader until the next run. It continues
//! only at the software version that began it; at another one the item starts again.
//!
//! The output is not in the log: what is there cannot be taken back once no back end of its version
//! is left, and the log would join it with the output of another version.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;
use yokefall_serving::{Backend, SoftwareVersion};
use yokefall_upstream::{MemoryBudget, Reservation};

use crate::running::ItemKey;

/// Time for which an item waits for a slot at its software version before it starts again at
/// another one: preempted slots are free again within a second, and a new run costs several.
const MAX_WAIT_FOR_VERSION: Duration = Duration::from_millis(1_000);

/// Output of an interrupted run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InterruptedOutput {
    /// Version of the back ends that produced it.
    pub software_version: SoftwareVersion,
    /// Last event in the text.
    pub last_event: u64,
    /// Data of the events.
    pub text: String,
    /// When the run was interrupted.
    pub interrupted_at: Instant,
}

impl InterruptedOutput {
    /// Whether a run at a back end may continue it.
    pub fn fits(&self, backend: &Backend) -> bool {
        self.software_version.fits(&backend.software_version)
    }

    /// Whether the item should rather wait than start again at another version.
    pub fn is_worth_waiting(&self) -> bool {
        self.interrupted_at.elapsed() < MAX_WAIT_FOR_VERSION
    }
}

/// Outputs by item, with the memory reserved for them.
#[derive(Debug)]
pub struct InterruptedOutputs {
    outputs: RefCell<HashMap<ItemKey, (InterruptedOutput, Reservation)>>,
    memory: Rc<MemoryBudget>,
}

impl InterruptedOutputs {
    /// Starts without outputs.
    pub fn new(memory: Rc<MemoryBudget>) -> Self {
        Self { outputs: RefCell::default(), memory }
    }

    /// Keeps the output of an interrupted run, unless its version is not known or no memory is left.
    pub fn keep(&self, key: ItemKey, output: InterruptedOutput) {
        let mut memory = self.memory.reserve();
        let has_memory = memory.hold(output.text.len());
        if output.software_version.is_known() && has_memory {
            self.outputs.borrow_mut().insert(key, (output, memory));
        }
    }

    /// Takes the output that a run at a back end continues; other output of the item is dropped.
    pub fn take_fitting(&self, key: &ItemKey, backend: &Backend) -> Option<InterruptedOutput> {
        let (output, _) = self.outputs.borrow_mut().remove(key)?;
        output.fits(backend).then_some(output)
    }

    /// The last event of an item's output; 0 if there is none.
    pub fn last_event(&self, key: &ItemKey) -> u64 {
        self.outputs.borrow().get(key).map_or(0, |(output, _)| output.last_event)
    }

    /// Applies a function to the output of an item.
    pub fn with<T>(&self, key: &ItemKey, read: impl FnOnce(Option<&InterruptedOutput>) -> T) -> T {
        read(self.outputs.borrow().get(key).map(|(output, _)| output))
    }

    /// Drops the outputs of items for which `keeps` returns false.
    pub fn retain(&self, keeps: impl Fn(&ItemKey) -> bool) {
        self.outputs.borrow_mut().retain(|key, _| keeps(key));
    }

    /// Drops all outputs.
    pub fn clear(&self) {
        self.outputs.borrow_mut().clear();
    }
}
