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

/// Time after which a suspect is tried again if each back end already runs others.
const OTHER_BACKEND_BACKOFF: Duration = Duration::from_millis(100);

/// Minimum wait that is logged; shorter ones end before anyone would look.
const MIN_LOGGED_WAIT: Duration = Duration::from_millis(1_000);

/// Whether an item may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Like any other.
    Free,
    /// At a back end where it is granted an isolated run, because of this suspect.
    Suspect(RequestDigest),
    /// Not now.
    HeldBack,
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
    fn contains(&self, suspects: &Registry, key: &ItemKey) -> bool {
        let mut holds = self.holds.borrow_mut();
        let is_held = holds.get(key).is_some_and(|hold| {
            hold.until > Instant::now() && suspects.is_suspected(&hold.digest, RequestSource::Job)
        });
        if !is_held {
            holds.remove(key);
        }
        is_held
    }

    /// Whether an item may start. Must be called by the leader.
    pub fn admit(
        &self,
        suspects: &Registry,
        key: &ItemKey,
        keys: impl FnOnce() -> Option<SuspectKeys>,
        item_id: impl FnOnce() -> String,
    ) -> Admission {
        if self.contains(suspects, key) {
            return Admission::HeldBack;
        }
        if suspects.is_empty() {
            return Admission::Free;
        }
        let restriction = keys().and_then(|keys| suspects.restriction(&keys, RequestSource::Job));
        match restriction {
            None => Admission::Free,
            Some(Restriction { digest, status: SuspectStatus::HeldBack { wait_ms } }) => {
                self.hold(key, digest, Duration::from_millis(wait_ms), item_id);
                Admission::HeldBack
            }
            Some(Restriction { digest, .. }) => Admission::Suspect(digest),
        }
    }

    /// Requests an isolated run of an item at a back end; `None` if it is held back instead. Must be
    /// called by the leader.
    pub fn isolate(
        &self,
        suspects: &Rc<Registry>,
        key: &ItemKey,
        digest: RequestDigest,
        backend: &str,
        item_id: impl FnOnce() -> String,
    ) -> Option<IsolatedRun> {
        let wait = match suspects.grant(&digest, backend, RequestSource::Job) {
            Grant::Granted => return Some(suspects.run_isolated(digest)),
            Grant::BackendBusy => OTHER_BACKEND_BACKOFF,
            Grant::Wait { ms } => Duration::from_millis(ms),
        };
        self.hold(key, digest, wait, item_id);
        None
    }

    /// Holds an item back until a back end may take one more suspect.
    pub fn wait_for_backend(&self, key: &ItemKey, digest: RequestDigest) {
        self.hold(key, digest, OTHER_BACKEND_BACKOFF, String::new);
    }

    fn hold(
        &self,
        key: &ItemKey,
        digest: RequestDigest,
        wait: Duration,
        item_id: impl FnOnce() -> String,
    ) {
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
    }

    /// Drops items that no longer wait.
    pub fn retain(&self, waits: impl Fn(&ItemKey) -> bool) {
        self.holds.borrow_mut().retain(|key, _| waits(key));
    }
}
