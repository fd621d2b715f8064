//! Keeps the state of cold back ends current and tells of it: the clock, the cells and the lines round `ColdState`.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use yokefall_clock::ElapsedClock;
use yokefall_core::Timestamp;
use yokefall_telemetry::{EventName, LogLine};
use yokefall_types::PlacementBounds;

use super::cold_share::SenderId;
use super::cold_state::{ColdState, Standing};
use super::freshness::Freshness;
use super::warmth::ColdCause;
use super::Ineligible;
use crate::catalog::{Catalog, CatalogCell};
use crate::fleet::{Fleet, FleetCell};
use crate::model::Backend;

/// Interval at which a process without traffic takes over what changed, and at which changes are told. An evacuation
/// that begins and ends within it is not seen, and none is obeyed as fast.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);

/// What a process needs beside what it knows.
pub struct ColdStartLimiterOptions {
    /// Who sends.
    pub sender: SenderId,
    /// What is promised.
    pub bounds: PlacementBounds,
    /// Age of news of the platform.
    pub freshness: Freshness,
    /// Time of sends; it counts suspension.
    pub clock: ElapsedClock,
}

/// What the sending thread of a process may send to back ends that are not known to be warm.
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
    state: ColdState,
    /// What the state has taken over.
    catalog: Option<Arc<Catalog>>,
    fleet: Option<Arc<Fleet>>,
    /// Back ends that were told of as cold, and since when.
    told: HashMap<String, Timestamp>,
    told_old_news: bool,
}

impl ColdStartLimiter {
    /// Nothing known yet.
    pub fn new(
        catalog: CatalogCell,
        fleet: FleetCell,
        options: ColdStartLimiterOptions,
    ) -> Rc<Self> {
        let ColdStartLimiterOptions { sender, bounds, freshness, clock } = options;
        let inner = Inner {
            state: ColdState::new(clock.now(), sender, bounds),
            catalog: None,
            fleet: None,
            told: HashMap::new(),
            told_old_news: false,
        };
        Rc::new(Self { catalog, fleet, freshness, clock, inner: RefCell::new(inner) })
    }

    /// Asks the present state; `None` where no service has a warm-up.
    fn with<R>(&self, ask: impl FnOnce(&mut ColdState, Timestamp, Option<u64>) -> R) -> Option<R> {
        let inner = &mut *self.inner.borrow_mut();
        inner.take_over(&self.clock, &self.catalog, &self.fleet);
        if inner.state.is_unused() {
            return None;
        }
        Some(ask(&mut inner.state, self.clock.now(), self.freshness.age_ms()))
    }

    /// Those of a service's back ends that this process may send to now; `None` for all of them.
    pub fn open(&self, service: &str, backends: &[Arc<Backend>]) -> Option<Vec<Arc<Backend>>> {
        self.with(|state, now, age| {
            if !state.concerns(service) || state.is_free_of_doubt(now, age) {
                return None;
            }
            let open: Vec<Arc<Backend>> = match state.closed(now, age, service) {
                Some(closed) if closed.is_empty() => return None,
                // A record that has just changed is another one than the candidate: its permit is not given then.
                Some(closed) => {
                    let is_open = |backend: &&Arc<Backend>| {
                        closed.binary_search(&Arc::as_ptr(backend)).is_err()
                    };
                    backends.iter().filter(is_open).cloned().collect()
                }
                None => {
                    let may_send =
                        |backend: &&Arc<Backend>| state.standing(now, age, backend).may_send();
                    backends.iter().filter(may_send).cloned().collect()
                }
            };
            (open.len() < backends.len()).then_some(open)
        })?
    }

    /// Back ends of a service that are not known to be warm; `None` where what is known is too old to tell.
    pub fn doubted(&self, service: &str) -> Option<Vec<Arc<Backend>>> {
        self.with(|state, now, age| {
            if !state.concerns(service) {
                return Some(Vec::new());
            }
            state.doubted(now, age, service)
        })
        .unwrap_or_else(|| Some(Vec::new()))
    }

    /// Milliseconds until this process may send to the first of these back ends; `None` where it may now, or where
    /// there are none.
    pub fn wait_ms(&self, backends: &[Arc<Backend>]) -> Option<u64> {
        self.with(|state, now, age| {
            let wait = |backend: &Arc<Backend>| match state.standing(now, age, backend) {
                Standing::Warm => 0,
                Standing::Cold { wait_ms, .. } => wait_ms,
            };
            backends.iter().map(wait).min().filter(|wait| *wait > 0)
        })?
    }

    /// Whether a request may be sent to a back end now.
    pub fn check(&self, backend: &Backend) -> Result<(), Ineligible> {
        let standing = self.with(|state, now, age| state.standing(now, age, backend));
        match standing {
            Some(Standing::Cold { wait_ms: wait_ms @ 1.., .. }) => {
                Err(Ineligible::Cold { wait_ms })
            }
            _ => Ok(()),
        }
    }

    /// The same at the last moment before it is sent, which takes it from this process's share.
    pub fn spend(&self, backend: &Backend) -> Result<(), Ineligible> {
        let standing = self.with(|state, now, age| {
            let standing = state.standing(now, age, backend);
            if standing.may_send() {
                state.sent(now, &backend.id);
            }
            standing
        });
        match standing {
            None | Some(Standing::Warm) => Ok(()),
            Some(Standing::Cold { cause, wait_ms: 0 }) => {
                metrics::counter!("cold_sends_total", "cause" => cause.name()).increment(1);
                LogLine::new(EventName::ColdShareSpent)
                    .id(&backend.id)
                    .field("cause", cause.name())
                    .write();
                Ok(())
            }
            Some(Standing::Cold { cause, wait_ms }) => {
                metrics::counter!("cold_refusals_total", "cause" => cause.name()).increment(1);
                Err(Ineligible::Cold { wait_ms })
            }
        }
    }

    /// Whether a back end is known to be warm.
    pub fn is_warm(&self, backend: &Backend) -> bool {
        let standing = self.with(|state, now, age| state.standing(now, age, backend));
        standing.is_none_or(|standing| standing == Standing::Warm)
    }

    /// The job store that the leader may give an item for a back end that is not known to be warm.
    pub fn item_sender(&self, backend: &Backend, usable: impl Fn(&str) -> bool) -> Option<String> {
        self.with(|state, now, _| state.item_sender(now, backend, usable))?
    }

    /// The leader gave a job store an item for a back end that is not known to be warm.
    pub fn record_item_assignment(&self, backend: &Backend, to: &str) {
        self.with(|state, now, _| state.record_item_assignment(now, &backend.id, to.to_owned()));
    }

    /// A back end could not be reached, broke off or fell silent here.
    pub fn record_failure(&self, id: &str) {
        self.with(|state, now, _| state.record_failure(now, id));
    }

    /// Something came from a back end.
    pub fn record_activity(&self, id: &str) {
        self.with(|state, now, _| state.record_activity(now, id));
    }

    /// Back ends fail for most, as their reports say.
    pub fn record_reported_failure<'a>(&self, ids: impl Iterator<Item = &'a str>) {
        self.with(|state, now, _| ids.for_each(|id| state.record_reported_failure(now, id)));
    }

    /// A back end told in an answer for how much longer it is cold.
    pub fn record_report(&self, backend: &Backend, remaining_ms: u64) {
        self.with(|state, now, _| {
            state.record_report(now, &backend.id, backend.started_ms, remaining_ms)
        });
    }

    /// Takes over what changed, and tells what came of it.
    pub fn look(&self) {
        let doubts = self.with(|state, now, age| {
            let ids = state.ids();
            let doubt = |id: &str| {
                let (cause, until) = state.doubt(now, None, id)?;
                let left = until.map_or(0, |until| until.millis_since(now));
                Some((id.to_owned(), cause, left))
            };
            (now, age, state.has_old_news(age), ids.filter_map(doubt).collect::<Vec<_>>())
        });
        let Some((now, age, old_news, doubts)) = doubts else { return };
        metrics::gauge!("cold_back_ends").set(doubts.len() as f64);
        let inner = &mut *self.inner.borrow_mut();
        inner.tell_old_news(old_news, age);
        inner.tell(now, &doubts);
    }
}

/// Looks for ever. To be run on the thread that sends.
pub async fn watch(cold: Rc<ColdStartLimiter>) {
    loop {
        cold.look();
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}

impl Inner {
    fn take_over(&mut self, clock: &ElapsedClock, catalog: &CatalogCell, fleet: &FleetCell) {
        let present = catalog.load();
        if !self.catalog.as_ref().is_some_and(|held| Arc::ptr_eq(held, &present)) {
            self.state.observe(clock.now(), &present);
            self.catalog = Some(Arc::clone(&present));
        }
        let present = fleet.load();
        if !self.fleet.as_ref().is_some_and(|held| Arc::ptr_eq(held, &present)) {
            self.state.set_names(present.names.clone());
            self.fleet = Some(Arc::clone(&present));
        }
    }

    fn tell_old_news(&mut self, old_news: bool, age_ms: Option<u64>) {
        if std::mem::replace(&mut self.told_old_news, old_news) != old_news {
            LogLine::new(EventName::PlatformNewsAge)
                .field("too_old", old_news)
                .field("age_ms", age_ms)
                .write();
        }
    }

    fn tell(&mut self, now: Timestamp, doubts: &[(String, ColdCause, u64)]) {
        for (id, cause, left_ms) in doubts {
            if !self.told.contains_key(id) {
                self.told.insert(id.clone(), now);
                LogLine::new(EventName::BackendCold)
                    .id(id)
                    .field("cause", cause.name())
                    .field("left_ms", *left_ms)
                    .write();
            }
        }
        self.told.retain(|id, since| {
            let is_cold = doubts.iter().any(|(cold, _, _)| cold == id);
            if !is_cold {
                let cold_ms = now.millis_since(*since);
                LogLine::new(EventName::BackendWarm).id(id).field("cold_ms", cold_ms).write();
            }
            is_cold
        });
    }
}
