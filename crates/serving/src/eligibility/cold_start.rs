//! Applies quotas for cold back ends: updates `ColdStartState`, emits its metrics and log lines.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use yokefall_clock::ElapsedClock;
use yokefall_core::Timestamp;
use yokefall_telemetry::{EventName, LogLine};
use yokefall_types::PlacementBounds;

use super::cold_quota::SenderId;
use super::cold_state::{ColdStartState, WarmUpStatus};
use super::freshness::Freshness;
use super::warmth::ColdCause;
use super::Ineligible;
use crate::catalog::{Catalog, CatalogCell};
use crate::fleet::{Fleet, FleetCell};
use crate::model::Backend;

/// Interval at which a process without traffic takes over changes, and at which changes are logged.
/// An evacuation that begins and ends within it is not seen, and none is followed that fast.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// Settings and dependencies of the limiter.
pub struct ColdStartLimiterOptions {
    /// Identity of this process.
    pub sender: SenderId,
    /// Bounds that the deployment guarantees.
    pub bounds: PlacementBounds,
    /// Age of the platform state.
    pub freshness: Freshness,
    /// Clock for send times; it includes suspension.
    pub clock: ElapsedClock,
}

/// Limits what the sending thread of a process sends to back ends that are not known to be warm.
#[derive(Debug)]
pub struct ColdStartLimiter {
    catalog: CatalogCell,
    fleet: FleetCell,
    freshness: Freshness,
    clock: ElapsedClock,
    inner: RefCell<Inner>,
}

#[derive(Debug)]
struct Inner {
    state: ColdStartState,
    catalog: Option<Arc<Catalog>>,
    fleet: Option<Arc<Fleet>>,
    logged_cold: HashMap<String, Timestamp>,
    logged_stale: bool,
}

impl ColdStartLimiter {
    /// A limiter that knows no back ends yet.
    pub fn new(
        catalog: CatalogCell,
        fleet: FleetCell,
        options: ColdStartLimiterOptions,
    ) -> Rc<Self> {
        let ColdStartLimiterOptions { sender, bounds, freshness, clock } = options;
        let inner = Inner {
            state: ColdStartState::new(clock.now(), sender, bounds),
            catalog: None,
            fleet: None,
            logged_cold: HashMap::new(),
            logged_stale: false,
        };
        Rc::new(Self { catalog, fleet, freshness, clock, inner: RefCell::new(inner) })
    }

    /// Runs `operation` on the current state; `None` if no service has a warm-up.
    fn with<R>(
        &self,
        operation: impl FnOnce(&mut ColdStartState, Timestamp, Option<u64>) -> R,
    ) -> Option<R> {
        let inner = &mut *self.inner.borrow_mut();
        inner.sync(&self.clock, &self.catalog, &self.fleet);
        if inner.state.is_unused() {
            return None;
        }
        Some(operation(&mut inner.state, self.clock.now(), self.freshness.age_ms()))
    }

    /// The back ends to which this process may send now; `None` if it may send to all of them.
    pub fn permitted(&self, service: &str, backends: &[Arc<Backend>]) -> Option<Vec<Arc<Backend>>> {
        self.with(|state, now, age| {
            if !state.has_warm_up(service) || state.all_warm(now, age) {
                return None;
            }
            let permitted: Vec<Arc<Backend>> = match state.blocked(now, age, service) {
                Some(blocked) if blocked.is_empty() => return None,
                // Matches by pointer: a record that has changed since differs from the candidate,
                // which then gets no permit.
                Some(blocked) => {
                    let is_permitted = |backend: &&Arc<Backend>| {
                        blocked.binary_search(&Arc::as_ptr(backend)).is_err()
                    };
                    backends.iter().filter(is_permitted).cloned().collect()
                }
                None => {
                    let may_send = |backend: &&Arc<Backend>| {
                        state.warm_up_status(now, age, backend).may_send()
                    };
                    backends.iter().filter(may_send).cloned().collect()
                }
            };
            (permitted.len() < backends.len()).then_some(permitted)
        })?
    }

    /// Back ends of a service not known to be warm; `None` if the platform state is too old.
    pub fn cold_backends(&self, service: &str) -> Option<Vec<Arc<Backend>>> {
        self.with(|state, now, age| {
            if !state.has_warm_up(service) {
                return Some(Vec::new());
            }
            state.cold_backends(now, age, service)
        })
        .unwrap_or_else(|| Some(Vec::new()))
    }

    /// Milliseconds until this process may send to the first of these back ends; `None` if it may
    /// send now or if there are none.
    pub fn wait_ms(&self, backends: &[Arc<Backend>]) -> Option<u64> {
        self.with(|state, now, age| {
            let wait = |backend: &Arc<Backend>| match state.warm_up_status(now, age, backend) {
                WarmUpStatus::Warm => 0,
                WarmUpStatus::Cold { wait_ms, .. } => wait_ms,
            };
            backends.iter().map(wait).min().filter(|wait| *wait > 0)
        })?
    }

    /// Whether a request may be sent to a back end now.
    pub fn check(&self, backend: &Backend) -> Result<(), Ineligible> {
        let warm_up_status = self.with(|state, now, age| state.warm_up_status(now, age, backend));
        match warm_up_status {
            Some(WarmUpStatus::Cold { wait_ms: wait_ms @ 1.., .. }) => {
                Err(Ineligible::Cold { wait_ms })
            }
            _ => Ok(()),
        }
    }

    /// Checks right before a request is sent, and counts it against this process's quota.
    pub fn consume(&self, backend: &Backend) -> Result<(), Ineligible> {
        let warm_up_status = self.with(|state, now, age| {
            let warm_up_status = state.warm_up_status(now, age, backend);
            if warm_up_status.may_send() {
                state.sent(now, &backend.id);
            }
            warm_up_status
        });
        match warm_up_status {
            None | Some(WarmUpStatus::Warm) => Ok(()),
            Some(WarmUpStatus::Cold { cause, wait_ms: 0 }) => {
                metrics::counter!("cold_sends_total", "cause" => cause.name()).increment(1);
                LogLine::new(EventName::ColdShareSpent)
                    .id(&backend.id)
                    .field("cause", cause.name())
                    .write();
                Ok(())
            }
            Some(WarmUpStatus::Cold { cause, wait_ms }) => {
                metrics::counter!("cold_refusals_total", "cause" => cause.name()).increment(1);
                Err(Ineligible::Cold { wait_ms })
            }
        }
    }

    /// Whether a back end is known to be warm.
    pub fn is_warm(&self, backend: &Backend) -> bool {
        let warm_up_status = self.with(|state, now, age| state.warm_up_status(now, age, backend));
        warm_up_status.is_none_or(|warm_up_status| warm_up_status == WarmUpStatus::Warm)
    }

    /// The job store that the leader may assign an item for a back end not known to be warm.
    pub fn item_sender(&self, backend: &Backend, usable: impl Fn(&str) -> bool) -> Option<String> {
        self.with(|state, now, _| state.item_sender(now, backend, usable))?
    }

    /// Records that the leader assigned an item for a back end not known to be warm.
    pub fn record_item_assignment(&self, backend: &Backend, to: &str) {
        self.with(|state, now, _| state.record_item_assignment(now, &backend.id, to.to_owned()));
    }

    /// Records that a back end was unreachable, broke a connection or fell silent here.
    pub fn record_failure(&self, id: &str) {
        self.with(|state, now, _| state.record_failure(now, id));
    }

    /// Records that something was received from a back end.
    pub fn record_activity(&self, id: &str) {
        self.with(|state, now, _| state.record_activity(now, id));
    }

    /// Records that back ends fail for most processes according to load reports.
    pub fn record_reported_failure<'a>(&self, ids: impl Iterator<Item = &'a str>) {
        self.with(|state, now, _| ids.for_each(|id| state.record_reported_failure(now, id)));
    }

    /// Records for how much longer a back end is cold, as it reported in an answer.
    pub fn record_report(&self, backend: &Backend, remaining_ms: u64) {
        self.with(|state, now, _| {
            state.record_report(now, &backend.id, backend.started_ms, remaining_ms)
        });
    }

    /// Takes over changes, and logs the back ends that became cold or warm.
    pub fn refresh(&self) {
        let cold_periods = self.with(|state, now, age| {
            let ids = state.ids();
            let cold_period = |id: &str| {
                let (cause, until) = state.cold_period(now, None, id)?;
                let left = until.map_or(0, |until| until.millis_since(now));
                Some((id.to_owned(), cause, left))
            };
            (now, age, state.is_stale(age), ids.filter_map(cold_period).collect::<Vec<_>>())
        });
        let Some((now, age, is_stale, cold_periods)) = cold_periods else { return };
        metrics::gauge!("cold_back_ends").set(cold_periods.len() as f64);
        let inner = &mut *self.inner.borrow_mut();
        inner.log_staleness(is_stale, age);
        inner.log_changes(now, &cold_periods);
    }
}

/// Refreshes the state for ever. Must run on the sending thread.
pub async fn watch(cold: Rc<ColdStartLimiter>) {
    loop {
        cold.refresh();
        tokio::time::sleep(REFRESH_INTERVAL).await;
    }
}

impl Inner {
    fn sync(&mut self, clock: &ElapsedClock, catalog: &CatalogCell, fleet: &FleetCell) {
        let present = catalog.load();
        if !self.catalog.as_ref().is_some_and(|synced| Arc::ptr_eq(synced, &present)) {
            self.state.observe(clock.now(), &present);
            self.catalog = Some(Arc::clone(&present));
        }
        let present = fleet.load();
        if !self.fleet.as_ref().is_some_and(|synced| Arc::ptr_eq(synced, &present)) {
            self.state.set_names(present.names.clone());
            self.fleet = Some(Arc::clone(&present));
        }
    }

    fn log_staleness(&mut self, is_stale: bool, age_ms: Option<u64>) {
        if std::mem::replace(&mut self.logged_stale, is_stale) != is_stale {
            LogLine::new(EventName::PlatformNewsAge)
                .field("too_old", is_stale)
                .field("age_ms", age_ms)
                .write();
        }
    }

    fn log_changes(&mut self, now: Timestamp, cold_periods: &[(String, ColdCause, u64)]) {
        for (id, cause, left_ms) in cold_periods {
            if !self.logged_cold.contains_key(id) {
                self.logged_cold.insert(id.clone(), now);
                LogLine::new(EventName::BackendCold)
                    .id(id)
                    .field("cause", cause.name())
                    .field("left_ms", *left_ms)
                    .write();
            }
        }
        self.logged_cold.retain(|id, since| {
            let is_cold = cold_periods.iter().any(|(cold, _, _)| cold == id);
            if !is_cold {
                let cold_ms = now.millis_since(*since);
                LogLine::new(EventName::BackendWarm).id(id).field("cold_ms", cold_ms).write();
            }
            is_cold
        });
    }
}
