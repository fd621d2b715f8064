//! How old this process's news of the platform are.
//!
//! A fact that was true when the platform's store told it (a back end is warm, a zone is not evacuated) may have
//! ended since. Whoever rests a decision on it asks for its age.

use std::sync::{Arc, Mutex, PoisonError};

use yokefall_clock::{ElapsedClock, SuspensionSource};
use yokefall_core::Timestamp;

/// The moment at which the platform's store is known to have told what this process knows; shared by the threads
/// of a process. It counts time in which the machine was suspended.
#[derive(Clone, Debug)]
pub struct Freshness {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug)]
struct Inner {
    clock: ElapsedClock,
    source: SuspensionSource,
    told_at: Option<Timestamp>,
}

impl Freshness {
    /// Nothing was told yet.
    pub fn new(source: SuspensionSource) -> Self {
        let clock = ElapsedClock::new(source.clone());
        let inner = Inner { clock, source, told_at: None };
        Self { inner: Arc::new(Mutex::new(inner)) }
    }

    /// A clock of the same kind.
    pub(crate) fn new_clock(&self) -> ElapsedClock {
        ElapsedClock::new(self.lock().source.clone())
    }

    /// The store answered this process, or a peer, so many milliseconds ago, and what it told is known here.
    pub fn note(&self, age_ms: u64) {
        let inner = &mut *self.lock();
        // Before this clock began nothing was known here.
        let told_at = Timestamp(inner.clock.now().0.saturating_sub(age_ms));
        inner.told_at = inner.told_at.max(Some(told_at));
    }

    /// Age of what is known, in milliseconds; `None` where nothing is.
    pub fn age_ms(&self) -> Option<u64> {
        let inner = &*self.lock();
        inner.told_at.map(|told_at| inner.clock.now().millis_since(told_at))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        // No code panics with the lock held; what it guards is whole at any time.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
