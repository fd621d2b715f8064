//! Membership changes from outside the log: bootstrap, joining, and retirement by an operator.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;
use yokefall_consensus::policy::{
    leaves_pair, needs_claim, next_step, tolerated_losses, DesiredMembership, Step,
};
use yokefall_consensus::{MemberId, Role, Zones};
use yokefall_serving::source::Revision;
use yokefall_serving::watch::{run_watch, Sink, WatchOptions, WatchWaits};
use yokefall_serving::watch_role::WatchRole;
use yokefall_serving::{
    Catalog, CatalogCell, Change, Claim, FleetCell, Listing, Platform, Registry, Retirement,
    SourceError,
};
use yokefall_telemetry::{EventName, LogLine};

use crate::pair::claim_pair;
use crate::protocol::Frame;
use crate::residency::KnownZones;
use crate::store::Store;

/// Initial interval of join requests: a lost disk should be replaced within seconds.
const JOIN_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of join requests after `FAST_JOIN_ATTEMPTS`, for a member on standby.
const STANDBY_INTERVAL: Duration = Duration::from_millis(1_000);
/// Number of join requests at the initial interval.
const FAST_JOIN_ATTEMPTS: u32 = 20;
/// Time for which a join request is valid.
pub(crate) const JOIN_LIFETIME: Duration = Duration::from_millis(2_300);
/// Interval at which the leader evaluates the membership policy while a change is pending.
const POLICY_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which it does so otherwise: nothing tells when a member stops to respond.
const IDLE_POLICY_INTERVAL: Duration = Duration::from_millis(1_000);
const RETRY_BACKOFF: Duration = Duration::from_millis(300);
/// Key of the claim that elects the founder of the group.
const FOUNDER_KEY: &str = "jobs";
/// Time limit for a call about a claim.
pub(crate) const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Machines being retired according to the platform's store, and whether that is completed.
#[derive(Clone, Default)]
pub struct RetiringMachines {
    names: Rc<RefCell<HashMap<String, bool>>>,
}

impl RetiringMachines {
    /// Machines whose retirement has not been reported as completed.
    fn open(&self) -> Vec<String> {
        let names = self.names.borrow();
        names.iter().filter(|(_, completed)| !**completed).map(|(name, _)| name.clone()).collect()
    }

    fn all(&self) -> Vec<String> {
        self.names.borrow().keys().cloned().collect()
    }

    fn mark_completed(&self, name: &str) {
        self.names.borrow_mut().insert(name.to_owned(), true);
    }
}

struct RetirementSink {
    retiring: RetiringMachines,
    store: Rc<Store>,
}

impl Sink<Retirement> for RetirementSink {
    fn replace(&self, listing: Listing<Retirement>) {
        self.retiring.names.borrow_mut().clear();
        self.apply(listing.items, listing.revision);
    }

    fn apply(&self, changes: Vec<Change<Retirement>>, _revision: Revision) {
        for Change { name, value, .. } in changes {
            let mut names = self.retiring.names.borrow_mut();
            match value {
                Some(retirement) => names.insert(name, retirement.completed),
                None => names.remove(&name),
            };
        }
        self.store.group_changed.notify_one();
    }

    fn ended(&self, _error: Option<&SourceError>) {}
}

pub(crate) fn log_decision(decision: &'static str, subject: impl std::fmt::Display) {
    LogLine::new(EventName::GroupDecision).id(subject).field("decision", decision).write();
}

/// Bootstraps the group if this is the first start of the whole system and no other member was
/// first. A claim in the platform's store, which can be made only once, decides.
pub async fn bootstrap<P: Platform>(platform: P, store: Rc<Store>, me: MemberId) {
    let mut registry = platform.registry();
    let offer = me.to_string();
    loop {
        match tokio::time::timeout(CLAIM_TIMEOUT, registry.claim(FOUNDER_KEY, &offer)).await {
            Ok(Ok(Claim::Mine)) => {
                log_decision("bootstrap the group", &me);
                store.with_core(|core, now| core.bootstrap(now));
                store.deadline_changed.notify_one();
                return;
            }
            Ok(Ok(Claim::Another)) => return,
            Ok(Err(_)) | Err(_) => registry.reset(),
        }
        tokio::time::sleep(RETRY_BACKOFF).await;
    }
}

/// Sends join requests while this member is not in the group. Never returns.
pub async fn join(store: Rc<Store>, fleet: FleetCell, me: MemberId) {
    let mut attempts = 0;
    loop {
        let outside = store.with_core(|core, _| !core.members().contains(&me));
        if outside {
            for member in fleet.load().job_stores().filter(|member| member.name != me.name) {
                store.send_frame(&member.name, &Frame::Join(me.clone()));
            }
            attempts += 1;
            let interval =
                if attempts < FAST_JOIN_ATTEMPTS { JOIN_INTERVAL } else { STANDBY_INTERVAL };
            tokio::time::sleep(interval).await;
            continue;
        }
        attempts = 0;
        // A member that was removed while it was down is not notified, so it checks for a leader.
        tokio::time::sleep(JOIN_INTERVAL * 4).await;
        let leaderless = store.with_core(|core, _| core.leader().is_none());
        if leaderless {
            for member in fleet.load().job_stores().filter(|member| member.name != me.name) {
                store.send_frame(&member.name, &Frame::Join(me.clone()));
            }
        }
    }
}

/// Manages the members of the group while this member leads.
pub async fn lead<P: Platform>(
    platform: P,
    store: Rc<Store>,
    locations: (FleetCell, CatalogCell, Rc<KnownZones>),
    voters: usize,
) {
    let retiring = RetiringMachines::default();
    let mut watch: Option<tokio::task::JoinHandle<()>> = None;
    let mut tolerance = None;
    loop {
        if !store.leads() {
            tolerance = None;
            if let Some(watch) = watch.take() {
                watch.abort();
            }
            store.group_changed.notified().await;
            // A leader without a valid lease, or that still applies entries of earlier terms,
            // checks again after `POLICY_INTERVAL`.
            let is_leader = store.with_core(|core, _| core.role() == Role::Leader);
            if is_leader {
                tokio::time::sleep(POLICY_INTERVAL).await;
                store.group_changed.notify_one();
            }
            continue;
        }
        if watch.is_none() {
            let sink = RetirementSink { retiring: retiring.clone(), store: store.clone() };
            let following = WatchOptions {
                refresh: Rc::default(),
                others: Vec::new(),
                watch_role: WatchRole::always(),
                waits: WatchWaits::Long,
            };
            let watching = run_watch(platform.retirements(), sink, following);
            watch = Some(tokio::task::spawn_local(watching));
        }
        report_tolerance(&store, &mut tolerance);
        let busy = change_members(&platform, &store, &locations, &retiring, voters).await;
        report_retired(&platform, &store, &retiring).await;
        if busy {
            tokio::time::sleep(POLICY_INTERVAL).await;
        } else {
            let changed = store.group_changed.notified();
            // The policy is evaluated in either case.
            let _ = tokio::time::timeout(IDLE_POLICY_INTERVAL, changed).await;
        }
    }
}

/// Reports how many further losses the group tolerates, if that has changed.
fn report_tolerance(store: &Store, reported: &mut Option<usize>) {
    let (tolerated, voters) =
        store.with_core(|core, now| (tolerated_losses(core, now), core.members().voters.len()));
    metrics::gauge!("job_store_tolerated_losses").set(tolerated as f64);
    if reported.replace(tolerated) != Some(tolerated) {
        let line = LogLine::new(EventName::GroupTolerance);
        line.field("tolerated_losses", tolerated).field("voters", voters).write();
    }
}

/// Executes one step of the membership policy. Returns whether it should be evaluated again soon.
async fn change_members<P: Platform>(
    platform: &P,
    store: &Store,
    (fleet, catalog, known_zones): &(FleetCell, CatalogCell, Rc<KnownZones>),
    retiring: &RetiringMachines,
    voters: usize,
) -> bool {
    known_zones.record(&fleet.load());
    let joining = store.joining(JOIN_LIFETIME);
    let joining = prefer_allowed_regions(store, &catalog.load(), known_zones, joining);
    let desired =
        DesiredMembership { joining, leaving: retiring.all(), voters, zones: zones_of(fleet) };
    let (step, pair) = store.with_core(|core, now| {
        let step = next_step(core, now, &desired);
        let pair = core.pair().filter(|_| match &step {
            Step::Change(members) => needs_claim(core, members),
            Step::Idle | Step::RenewPair | Step::TransferLeadership(_) => false,
        });
        (step, pair)
    });
    match step {
        Step::Idle => {}
        Step::RenewPair => {
            store.with_core(|core, now| core.renew_pair(now));
        }
        Step::Change(members) if store.with_core(|core, _| leaves_pair(core, &members)) => {
            if store_answers(platform, store).await {
                store.with_core(|core, now| core.change_members(now, members));
            } else {
                log_decision("wait for the platform's store to leave two voters", "");
            }
        }
        Step::Change(members) => {
            if pair.is_some() {
                store.with_core(|core, _| core.record_claim_attempt());
            }
            if claim_pair(platform, store, pair).await {
                store.with_core(|core, now| core.change_members(now, members));
            } else {
                log_decision("wait for the claim of a two-member group", format!("{pair:?}"));
            }
        }
        Step::TransferLeadership(candidates) => {
            store.with_core(|core, now| core.transfer_leadership(now, &candidates));
        }
    }
    let is_incomplete = store.with_core(|core, now| {
        let members = core.members();
        let mut voters = members.voters.iter();
        !members.learners.is_empty() || voters.any(|voter| !core.is_responsive(now, voter))
    });
    !desired.joining.is_empty() || !retiring.open().is_empty() || is_incomplete
}

/// Whether the platform's store answers now. Asks for a claim that was made when the group began.
async fn store_answers<P: Platform>(platform: &P, store: &Store) -> bool {
    let me = store.with_core(|core, _| core.id().to_string());
    let mut registry = platform.registry();
    let answer = tokio::time::timeout(CLAIM_TIMEOUT, registry.claim(FOUNDER_KEY, &me)).await;
    matches!(answer, Ok(Ok(_)))
}

fn zones_of(fleet: &FleetCell) -> Zones {
    let fleet = fleet.load();
    Zones::new(fleet.job_stores().map(|member| (member.name.clone(), member.zone.clone())))
}

/// Prefers joining members located where all current jobs may be stored, if there are any.
fn prefer_allowed_regions(
    store: &Store,
    catalog: &Catalog,
    known_zones: &KnownZones,
    mut joining: Vec<MemberId>,
) -> Vec<MemberId> {
    if joining.is_empty() || !catalog.has_regions() {
        return joining;
    }
    let residency = store.residency(catalog);
    known_zones.prefer_allowed(&mut joining, &residency, &catalog.zones);
    joining
}

/// Reports retired machines that no longer hold any data of the group.
async fn report_retired<P: Platform>(platform: &P, store: &Store, retiring: &RetiringMachines) {
    for name in retiring.open() {
        let has_left = store.with_core(|core, _| {
            let is_member = core.members().all().any(|member| member.name == name);
            !is_member && core.can_change_members() && core.members_durably_committed()
        });
        if !has_left {
            continue;
        }
        let mut registry = platform.registry();
        let report = registry.report_retirement(&name, true);
        if let Ok(Ok(())) = tokio::time::timeout(CLAIM_TIMEOUT, report).await {
            log_decision("report a machine as retired", &name);
            retiring.mark_completed(&name);
        }
    }
}

impl Store {
    /// Records a join request of a member.
    pub fn record_join_request(&self, member: MemberId) {
        let entry = (member.clone(), Instant::now());
        self.inner.borrow_mut().joining.insert(member.name, entry);
        self.group_changed.notify_one();
    }

    /// Members that asked to join within a time.
    pub fn joining(&self, within: Duration) -> Vec<MemberId> {
        let mut inner = self.inner.borrow_mut();
        inner.joining.retain(|_, (_, asked_at)| asked_at.elapsed() < within);
        inner.joining.values().map(|(member, _)| member.clone()).collect()
    }
}
