//! Memory that requests share. A request reserves what it holds, and does without where the others
//! have reserved all of it.

use std::cell::Cell;
use std::rc::Rc;

/// Part of what a request holds that needs no reservation, in bytes: most responses and events are
/// shorter, and must not depend on the memory that others hold.
const UNRESERVED_BYTES: usize = 16 * 1024;

/// An amount of memory, in bytes, that reservations share.
#[derive(Debug)]
pub struct MemoryBudget {
    reserved: Cell<usize>,
    limit: usize,
}

impl MemoryBudget {
    /// A budget of `limit` bytes without reservations.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(Self { reserved: Cell::new(0), limit })
    }

    /// Starts a reservation of nothing.
    pub fn reserve(self: &Rc<Self>) -> Reservation {
        Reservation { budget: self.clone(), bytes: 0 }
    }
}

/// A part of a budget, released on drop.
#[derive(Debug)]
pub struct Reservation {
    budget: Rc<MemoryBudget>,
    bytes: usize,
}

impl Reservation {
    /// Changes the reservation to `bytes`. Returns false, and changes nothing, if the others leave
    /// less than that; it can always become smaller.
    #[must_use]
    pub fn resize(&mut self, bytes: usize) -> bool {
        let others = self.budget.reserved.get() - self.bytes;
        if bytes > self.bytes && others + bytes > self.budget.limit {
            return false;
        }
        self.budget.reserved.set(others + bytes);
        self.bytes = bytes;
        true
    }

    /// Reserves what is held beyond the part that needs no reservation; false if there is too little
    /// left for it.
    #[must_use]
    pub fn hold(&mut self, bytes: usize) -> bool {
        self.resize(bytes.saturating_sub(UNRESERVED_BYTES))
    }

    /// Adds to the reservation, or returns false.
    #[must_use]
    pub fn grow(&mut self, bytes: usize) -> bool {
        self.resize(self.bytes + bytes)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.reserved.set(self.budget.reserved.get() - self.bytes);
    }
}
