//! Items that wait because back ends ended under them. They are not given up for it: an item has until its
//! route's time is over, and what held it back may turn out to have another cause.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;
use yokefall_suspects::{Grant, Registry, RequestDigest, RequestSource};
use yokefall_telemetry::{EventName, LogLine};

use crate::running::ItemKey;

/// Pause before another back end is tried for a suspect where its own runs one already.
const OTHER_BACKEND_PAUSE: Duration = Duration::from_millis(100);

/// Least wait that is told: a shorter one passes before anybody looks.
const TOLD_WAIT: Duration = Duration::from_millis(1_000);

/// When each held item may be looked at again.
#[derive(Debug, Default)]
pub struct HeldItems {
    until: RefCell<HashMap<ItemKey, Instant>>,
}

impl HeldItems {
    /// Whether an item is not to be looked at yet.
    pub fn contains(&self, key: &ItemKey) -> bool {
        let mut held = self.until.borrow_mut();
        let is_held = held.get(key).is_some_and(|until| *until > Instant::now());
        if !is_held {
            held.remove(key);
        }
        is_held
    }

    /// Whether an item may start at a back end; to be asked by the leader. One that may not is held.
    pub fn may_start(
        &self,
        suspects: &Registry,
        key: &ItemKey,
        backend: &str,
        digest: impl FnOnce() -> Option<RequestDigest>,
    ) -> bool {
        if suspects.is_empty() {
            return true;
        }
        let Some(digest) = digest() else { return true };
        let wait = match suspects.grant(&digest, backend, RequestSource::Job) {
            Grant::Granted => return true,
            Grant::BackendBusy => OTHER_BACKEND_PAUSE,
            Grant::Wait { ms } => Duration::from_millis(ms),
        };
        if wait >= TOLD_WAIT {
            LogLine::new(EventName::ItemHeldBack)
                .id(format_args!("{} item {}", key.0, key.1))
                .text("digest", digest)
                .text("job", &key.0)
                .field("wait_ms", wait.as_millis() as u64)
                .write();
        }
        self.until.borrow_mut().insert(key.clone(), Instant::now() + wait);
        false
    }

    /// Drops items that wait no longer.
    pub fn retain(&self, waits: impl Fn(&ItemKey) -> bool) {
        self.until.borrow_mut().retain(|key, _| waits(key));
    }
}
