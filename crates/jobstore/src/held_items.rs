//! Items held back because back ends crashed while running them. They are not abandoned: an item
//! may wait for its route's queue time, and the crashes may turn out to have another cause.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;
use yokefall_suspects::{
    Grant, IsolatedRun, Registry, RequestDigest, RequestSource, Restriction, SuspectKeys,
    SuspectStatus,
};
use yokefall_telemetry::{EventName, LogLine};

use crate::running::ItemKey;

/// Backoff before a suspect is tried at another back end, if this one already runs a suspect.
const OTHER_BACKEND_BACKOFF: Duration = Duration::from_millis(100);

/// Minimum wait that is logged; shorter ones end before anyone would look.
const MIN_LOGGED_WAIT: Duration = Duration::from_millis(1_000);

/// How an item may start.
#[derive(Debug)]
pub enum Clearance {
    /// Like any other.
    Free,
    /// As the only run of its suspect until this is dropped.
    Isolated(IsolatedRun),
}

#[derive(Debug)]
struct Hold {
    until: Instant,
    /// What is suspected: the item or a part of its prompt.
    digest: RequestDigest,
}

/// The items that are held back.
#[derive(Debug, Default)]
pub struct HeldItems {
    holds: RefCell<HashMap<ItemKey, Hold>>,
}

impl HeldItems {
    /// Whether an item is still held back: its time is not over and nothing has cleared it.
    pub fn contains(&self, suspects: &Registry, key: &ItemKey) -> bool {
        let mut holds = self.holds.borrow_mut();
        let is_held = holds.get(key).is_some_and(|hold| {
            hold.until > Instant::now() && suspects.is_suspected(&hold.digest, RequestSource::Job)
        });
        if !is_held {
            holds.remove(key);
        }
        is_held
    }

    /// How an item may start at a back end; `None` if it is held back. Must be called by the leader.
    pub fn clear(
        &self,
        suspects: &Rc<Registry>,
        key: &ItemKey,
        backend: &str,
        keys: impl FnOnce() -> Option<SuspectKeys>,
        item_id: impl FnOnce() -> String,
    ) -> Option<Clearance> {
        if suspects.is_empty() {
            return Some(Clearance::Free);
        }
        let restriction = keys().and_then(|keys| suspects.restriction(&keys, RequestSource::Job));
        let Some(Restriction { digest, status }) = restriction else {
            return Some(Clearance::Free);
        };
        let grant = match status {
            SuspectStatus::HeldBack { wait_ms } => Grant::Wait { ms: wait_ms },
            SuspectStatus::Free | SuspectStatus::Isolated => {
                suspects.grant(&digest, backend, RequestSource::Job)
            }
        };
        let wait = match grant {
            Grant::Granted => return Some(Clearance::Isolated(suspects.run_isolated(digest))),
            Grant::BackendBusy => OTHER_BACKEND_BACKOFF,
            Grant::Wait { ms } => Duration::from_millis(ms),
        };
        if wait >= MIN_LOGGED_WAIT {
            LogLine::new(EventName::ItemHeldBack)
                .id(item_id())
                .text("digest", digest)
                .text("job", &key.0)
                .field("wait_ms", wait.as_millis() as u64)
                .write();
        }
        let hold = Hold { until: Instant::now() + wait, digest };
        self.holds.borrow_mut().insert(key.clone(), hold);
        None
    }

    /// Drops items that no longer wait.
    pub fn retain(&self, waits: impl Fn(&ItemKey) -> bool) {
        self.holds.borrow_mut().retain(|key, _| waits(key));
    }
}
