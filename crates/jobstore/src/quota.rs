//! Quota service of a job store: acts as a token issuer of tenants' limits and, on the leader,
//! assigns token issuers. The decisions are made by `yokefall_quota`.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;
use yokefall_clock::ElapsedClock;
use yokefall_consensus::Term;
use yokefall_core::Timestamp;
use yokefall_quota::token_issuer::RENEW_INTERVAL_MS;
use yokefall_quota::{
    Candidate, LeaseManager, QuotaBounds, SlotLease, TokenGrant, TokenIssuer, TokenRequest,
};
use yokefall_serving::{CatalogCell, FleetCell};
use yokefall_telemetry::{EventName, LogLine};

use crate::client::{CallOutcome, JobClient};
use crate::protocol::{Reply, Request};
use crate::state::{Command, SlotAssignment};
use crate::store::Store;

const RENEW_INTERVAL: Duration = Duration::from_millis(RENEW_INTERVAL_MS);
/// Interval at which the leader looks for slots without a token issuer. Such a slot costs a
/// sixteenth of the tenants a third of their limits.
const ASSIGN_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which a process checks whether the configuration limits any tenant.
const UNLIMITED_POLL_INTERVAL: Duration = Duration::from_millis(2_000);
/// Interval of this check while no configuration is known yet.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time limit for releasing leases; a stopping token issuer must not wait long.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(250);

/// Grants tokens, and on the leader renews the leases of token issuers.
#[derive(Debug)]
pub struct QuotaService {
    name: String,
    clock: ElapsedClock,
    token_issuer: RefCell<TokenIssuer>,
    /// Of a term in which this process leads. Invariant: it is discarded when the term changes,
    /// since another leader may have renewed leases in between.
    lease_manager: RefCell<Option<(Term, LeaseManager)>>,
}

impl QuotaService {
    /// Creates the service of the job store with this name.
    pub fn new(name: String, bounds: QuotaBounds, clock: ElapsedClock) -> Rc<Self> {
        Rc::new(Self {
            name,
            clock,
            token_issuer: RefCell::new(TokenIssuer::new(bounds)),
            lease_manager: RefCell::new(None),
        })
    }

    fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Grants tokens, one answer per request.
    pub fn take(&self, requests: &[TokenRequest]) -> Vec<TokenGrant> {
        let now = self.now();
        let mut token_issuer = self.token_issuer.borrow_mut();
        requests.iter().map(|request| token_issuer.take(now, request)).collect()
    }

    /// Renews a token issuer's leases, or takes back its slots. Only for a leader that may answer.
    pub fn renew(&self, store: &Store, name: &str, releases: bool) -> Vec<SlotLease> {
        let now = self.now();
        self.with_lease_manager(store, |lease_manager| {
            if releases {
                lease_manager.mark_released(name);
                return Vec::new();
            }
            lease_manager.renew(now, &store.token_issuers(), name)
        })
    }

    fn with_lease_manager<R>(&self, store: &Store, step: impl FnOnce(&mut LeaseManager) -> R) -> R {
        let term = store.term();
        let mut held = self.lease_manager.borrow_mut();
        if held.as_ref().is_none_or(|(held_term, _)| *held_term != term) {
            *held = Some((term, LeaseManager::new(self.now())));
        }
        let (_, lease_manager) = held.get_or_insert_with(|| (term, LeaseManager::new(self.now())));
        step(lease_manager)
    }
}

/// Time until the next check whether the configuration limits any tenant; `None` if it does.
fn idle_interval(catalog: &CatalogCell) -> Option<Duration> {
    match &catalog.load().configuration {
        None => Some(STARTUP_POLL_INTERVAL),
        Some(configuration) if configuration.has_limits() => None,
        Some(_) => Some(UNLIMITED_POLL_INTERVAL),
    }
}

/// Renews the leases of this process until they are released.
pub async fn renew_leases(quota: Rc<QuotaService>, catalog: CatalogCell, fleet: FleetCell) {
    let leader = JobClient::new(fleet);
    while !quota.token_issuer.borrow().is_released() {
        if let Some(idle_interval) = idle_interval(&catalog) {
            tokio::time::sleep(idle_interval).await;
            continue;
        }
        let requested_at = quota.now();
        let request = Request::RenewSlots { name: quota.name.clone(), releases: false };
        let outcome = leader.call(request, Instant::now() + RENEW_INTERVAL).await;
        if let CallOutcome::Answered(Reply::Slots(leases)) = outcome {
            let now = quota.now();
            let mut token_issuer = quota.token_issuer.borrow_mut();
            if token_issuer.apply_leases(now, requested_at, &leases) {
                let held = token_issuer.held_slots(now);
                metrics::gauge!("quota_slots").set(held as f64);
                LogLine::new(EventName::QuotaLeaseChanged).field("slots", held).write();
            }
        }
        let next = requested_at.plus_millis(RENEW_INTERVAL_MS);
        tokio::time::sleep(Duration::from_millis(next.millis_since(quota.now()))).await;
    }
}

/// Assigns slots while this process leads. Never returns.
pub async fn assign_slots(
    quota: Rc<QuotaService>,
    store: Rc<Store>,
    catalog: CatalogCell,
    fleet: FleetCell,
) {
    loop {
        if let Some(idle_interval) = idle_interval(&catalog) {
            tokio::time::sleep(idle_interval).await;
            continue;
        }
        if store.serves() {
            assign(&quota, &store, &fleet).await;
        }
        tokio::time::sleep(ASSIGN_INTERVAL).await;
    }
}

async fn assign(quota: &QuotaService, store: &Store, fleet: &FleetCell) {
    let now = quota.now();
    let candidates: Vec<Candidate> = fleet
        .load()
        .job_stores()
        .filter(|member| member.accepting)
        .map(|member| Candidate { name: member.name.clone(), zone: member.zone.clone() })
        .collect();
    let changes = quota.with_lease_manager(store, |lease_manager| {
        lease_manager.plan(now, &store.token_issuers(), &candidates, &quota.name)
    });
    if changes.is_empty() {
        return;
    }
    LogLine::new(EventName::QuotaAssigned)
        .field("slots", changes.len())
        .field("job_stores", candidates.len())
        .write();
    let slots =
        changes.into_iter().map(|(slot, token_issuer)| SlotAssignment { slot, token_issuer });
    // If leadership is lost, the next leader finds the unassigned slots as well.
    let _ = store.propose(&Command::AssignSlots(slots.collect())).await;
}

/// Releases this process's slots before a planned stop, so that nobody waits for their expiry.
pub async fn release(quota: &QuotaService, fleet: &FleetCell) {
    let held = quota.token_issuer.borrow().held_slots(quota.now());
    quota.token_issuer.borrow_mut().release();
    if held == 0 {
        return;
    }
    let leader = JobClient::new(fleet.clone());
    let request = Request::RenewSlots { name: quota.name.clone(), releases: true };
    // If no leader answers in time, the leases expire.
    let _ = leader.call(request, Instant::now() + RELEASE_TIMEOUT).await;
}
