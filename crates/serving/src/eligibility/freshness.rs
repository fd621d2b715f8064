//! Age of this process's view of the platform state.
//!
//! A fact that was true when the platform's store reported it (a back end is warm, a zone is not
//! evacuated) may no longer hold. Decisions that rest on such a fact check its age.

use std::sync::{Arc, Mutex, PoisonError};

use yokefall_clock::{ElapsedClock, SuspensionSource};
use yokefall_core::Timestamp;

/// The time at which the platform's store is known to have confirmed this process's view; shared by
/// the threads of a process. It includes time in which the machine was suspended.
#[derive(Clone, Debug)]
pub struct Freshness {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug)]
struct Inner {
    clock: ElapsedClock,
    source: SuspensionSource,
    confirmed_at: Option<Timestamp>,
}

impl Freshness {
    /// A view that was never confirmed.
    pub fn new(source: SuspensionSource) -> Self {
        let clock = ElapsedClock::new(source.clone());
        let inner = Inner { clock, source, confirmed_at: None };
        Self { inner: Arc::new(Mutex::new(inner)) }
    }

    pub(crate) fn new_clock(&self) -> ElapsedClock {
        ElapsedClock::new(self.lock().source.clone())
    }

    /// Records that the store confirmed this process's view `age_ms` ago, to it or a peer.
    pub fn note(&self, age_ms: u64) {
        let inner = &mut *self.lock();
        // Nothing was known here before this clock started.
        let confirmed_at = Timestamp(inner.clock.now().0.saturating_sub(age_ms));
        inner.confirmed_at = inner.confirmed_at.max(Some(confirmed_at));
    }

    /// Age of the view, in milliseconds; `None` if it was never confirmed.
    pub fn age_ms(&self) -> Option<u64> {
        let inner = &*self.lock();
        inner.confirmed_at.map(|confirmed_at| inner.clock.now().millis_since(confirmed_at))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        // No code panics while holding the lock, and the guarded value is always consistent.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
