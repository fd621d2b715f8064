//! A job store as an accountant of tenants' limits, and as the one that assigns accountants where it
//! leads. The decisions are `yokefall_quota`'s.

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

/// Interval at which leases are renewed.
const RENEW_INTERVAL: Duration = Duration::from_millis(RENEW_INTERVAL_MS);
/// Interval at which the leader looks for slots that nobody holds. A slot without an accountant costs
/// a third of the limits of a sixteenth of the tenants.
const OVERSEE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which a process looks whether the configuration limits any tenant.
const IDLE_INTERVAL: Duration = Duration::from_millis(2_000);
/// The same while no configuration is known yet.
const START_INTERVAL: Duration = Duration::from_millis(50);
/// Time for the leader to answer; an accountant that stops must not wait long for it.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(250);

/// Grants tokens, and renews the leases of others where this process leads.
#[derive(Debug)]
pub struct QuotaService {
    name: String,
    clock: ElapsedClock,
    token_issuer: RefCell<TokenIssuer>,
    /// What this process knows of leases as the leader of a term. Invariant: what it knew in another
    /// term is dropped, since another leader may have renewed leases in between.
    lease_manager: RefCell<Option<(Term, LeaseManager)>>,
}

impl QuotaService {
    /// The service of the job store of this name.
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

    /// Grants tokens, one answer for each ask.
    pub fn take(&self, asks: &[TokenRequest]) -> Vec<TokenGrant> {
        let now = self.now();
        let mut token_issuer = self.token_issuer.borrow_mut();
        asks.iter().map(|ask| token_issuer.take(now, ask)).collect()
    }

    /// Renews the leases of an accountant, or takes its slots back. To be called where this process
    /// leads and may answer.
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

    /// The overseer of the present term.
    fn with_lease_manager<R>(&self, store: &Store, step: impl FnOnce(&mut LeaseManager) -> R) -> R {
        let term = store.term();
        let mut held = self.lease_manager.borrow_mut();
        if held.as_ref().is_none_or(|(held, _)| *held != term) {
            *held = Some((term, LeaseManager::new(self.now())));
        }
        let (_, lease_manager) = held.get_or_insert_with(|| (term, LeaseManager::new(self.now())));
        step(lease_manager)
    }
}

/// How long to wait before the next look whether the configuration limits any tenant; `None` where it
/// does.
fn pause(catalog: &CatalogCell) -> Option<Duration> {
    match &catalog.load().configuration {
        None => Some(START_INTERVAL),
        Some(configuration) if configuration.has_limits() => None,
        Some(_) => Some(IDLE_INTERVAL),
    }
}

/// Renews the leases of this process's slots until it gives them back.
pub async fn renew_leases(quota: Rc<QuotaService>, catalog: CatalogCell, fleet: FleetCell) {
    let leader = JobClient::new(fleet);
    while !quota.token_issuer.borrow().is_released() {
        if let Some(pause) = pause(&catalog) {
            tokio::time::sleep(pause).await;
            continue;
        }
        let asked_at = quota.now();
        let request = Request::RenewSlots { name: quota.name.clone(), releases: false };
        let outcome = leader.call(request, Instant::now() + RENEW_INTERVAL).await;
        if let CallOutcome::Answered(Reply::Slots(leases)) = outcome {
            let now = quota.now();
            let mut token_issuer = quota.token_issuer.borrow_mut();
            if token_issuer.apply_leases(now, asked_at, &leases) {
                let held = token_issuer.held_slots(now);
                metrics::gauge!("quota_slots").set(held as f64);
                LogLine::new(EventName::QuotaLeaseChanged).field("slots", held).write();
            }
        }
        let next = asked_at.plus_millis(RENEW_INTERVAL_MS);
        tokio::time::sleep(Duration::from_millis(next.millis_since(quota.now()))).await;
    }
}

/// Assigns slots while this process leads, for ever.
pub async fn oversee(
    quota: Rc<QuotaService>,
    store: Rc<Store>,
    catalog: CatalogCell,
    fleet: FleetCell,
) {
    loop {
        if let Some(pause) = pause(&catalog) {
            tokio::time::sleep(pause).await;
            continue;
        }
        if store.serves() {
            assign(&quota, &store, &fleet).await;
        }
        tokio::time::sleep(OVERSEE_INTERVAL).await;
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
    // Where the lead is lost, the next leader finds the slots without an accountant as well.
    let _ = store.propose(&Command::AssignSlots(slots.collect())).await;
}

/// Gives this process's slots back before a planned stop, so that nobody waits for leases to end.
pub async fn release(quota: &QuotaService, fleet: &FleetCell) {
    let held = quota.token_issuer.borrow().held_slots(quota.now());
    quota.token_issuer.borrow_mut().release();
    if held == 0 {
        return;
    }
    let leader = JobClient::new(fleet.clone());
    let request = Request::RenewSlots { name: quota.name.clone(), releases: true };
    // Where no leader answers in time, the leases end by themselves.
    let _ = leader.call(request, Instant::now() + RELEASE_TIMEOUT).await;
}
