//! Output of a running item, which is held in memory until it is stored or sent to the leader.

use std::rc::Rc;

use yokefall_upstream::{MemoryBudget, Reservation};

/// Data of events, joined by line feeds, with the memory reserved for it.
#[derive(Debug)]
pub struct Output {
    text: Option<String>,
    memory: Reservation,
    exceeds_memory: bool,
}

impl Output {
    /// An output without events.
    pub fn new(budget: &Rc<MemoryBudget>) -> Self {
        Self { text: None, memory: budget.reserve(), exceeds_memory: false }
    }

    /// Adds the data of the next events.
    pub fn push(&mut self, data: &str) {
        let text = match &mut self.text {
            Some(text) => {
                text.push('\n');
                text.push_str(data);
                text
            }
            None => self.text.insert(data.to_owned()),
        };
        self.exceeds_memory |= !self.memory.hold(text.len());
    }

    /// Whether there was no memory left for a part of it, so that its run has to end.
    pub fn exceeds_memory(&self) -> bool {
        self.exceeds_memory
    }

    /// Whether it has no event.
    pub fn is_empty(&self) -> bool {
        self.text.is_none()
    }

    /// Takes the data; `None` if there is none.
    pub fn take(&mut self) -> Option<String> {
        // Never refused: it becomes smaller.
        let _ = self.memory.resize(0);
        self.text.take()
    }
}
