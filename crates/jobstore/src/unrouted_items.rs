//! Items that have no batch route in the configuration that this leader uses, and since when.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;
use yokefall_serving::table::RouteTable;

use crate::running::ItemKey;

/// Time for which an item must have had no route before it is abandoned, so that an operator can
/// restore a route that was removed by mistake.
pub const REMOVAL_GRACE: Duration = Duration::from_millis(3_000);
/// Minimum interval between two checks: running items are examined again when they have ended.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Open items without a batch route, running ones included.
#[derive(Debug, Default)]
pub struct UnroutedItems {
    since: RefCell<HashMap<ItemKey, Instant>>,
    /// Routes by which they were determined.
    routes: RefCell<Option<Arc<RouteTable>>>,
    /// When it is to be checked which of them are to be abandoned; `None` during a check and while
    /// there are no items.
    check_at: Cell<Option<Instant>>,
    check_requested: Notify,
}

impl UnroutedItems {
    /// Keeps the items for these routes if they were determined by routes that give the same ones.
    /// Returns whether they are kept.
    pub fn keep_for(&self, routes: &Arc<RouteTable>) -> bool {
        let mut held = self.routes.borrow_mut();
        let Some(held) = held.as_mut() else { return false };
        let is_same = Arc::ptr_eq(held, routes) || held.has_same_batch_paths(routes);
        if is_same {
            // Later calls need not compare the paths again.
            *held = routes.clone();
        }
        is_same
    }

    /// Replaces the items by those without a route in another configuration.
    pub fn replace(&self, routes: Arc<RouteTable>, items: Vec<ItemKey>) {
        *self.routes.borrow_mut() = Some(routes);
        let items: HashSet<ItemKey> = items.into_iter().collect();
        self.since.borrow_mut().retain(|key, _| items.contains(key));
        self.extend(items);
    }

    /// Adds items without a route in the same configuration.
    pub fn extend(&self, items: impl IntoIterator<Item = ItemKey>) {
        let now = Instant::now();
        let mut since = self.since.borrow_mut();
        let known = since.len();
        for key in items {
            since.entry(key).or_insert(now);
        }
        if since.len() > known {
            let due_at = now + REMOVAL_GRACE;
            // Items of a malformed route may have postponed the next check for longer.
            self.check_at.set(Some(self.check_at.get().map_or(due_at, |at| at.min(due_at))));
        }
    }

    /// Whether an item has had no route for `REMOVAL_GRACE`.
    pub fn is_due(&self, key: &ItemKey) -> bool {
        self.since.borrow().get(key).is_some_and(|since| since.elapsed() >= REMOVAL_GRACE)
    }

    /// Items that have had no route for `REMOVAL_GRACE`.
    pub fn due(&self) -> Vec<ItemKey> {
        let since = self.since.borrow();
        let due = since.iter().filter(|(_, since)| since.elapsed() >= REMOVAL_GRACE);
        due.map(|(key, _)| key.clone()).collect()
    }

    /// Requests a check if one is due.
    pub fn request_due_check(&self) {
        if self.check_at.get().is_some_and(|at| at <= Instant::now()) {
            self.check_at.set(None);
            self.check_requested.notify_one();
        }
    }

    /// Waits until a check is requested.
    pub async fn check_requested(&self) {
        self.check_requested.notified().await;
    }

    /// Schedules the next check, after `delay` at the earliest, if there are items.
    pub fn schedule_check(&self, delay: Duration) {
        let next = Instant::now() + delay.max(CHECK_INTERVAL);
        self.check_at.set((!self.since.borrow().is_empty()).then_some(next));
    }

    /// Keeps the items that are open.
    pub fn retain(&self, is_open: impl Fn(&ItemKey) -> bool) {
        self.since.borrow_mut().retain(|key, _| is_open(key));
    }

    /// Forgets all items, as another replica leads from now on.
    pub fn clear(&self) {
        self.since.borrow_mut().clear();
        *self.routes.borrow_mut() = None;
        self.check_at.set(None);
    }
}
