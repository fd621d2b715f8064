//! The group's members from outside the log: founding, joining, and the machines that an operator
//! wants to empty.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use yokefall_consensus::policy::{
    needs_claim, next_step, should_become_sole_voter, DesiredMembership, Step,
};
use yokefall_consensus::{MemberId, Pair, Role, Zones};
use yokefall_serving::source::Revision;
use yokefall_serving::watch::{follow, Follow, Sink, Waits};
use yokefall_serving::watch_role::WatchRole;
use yokefall_serving::{
    Catalog, CatalogCell, Change, Claim, FleetCell, Listing, Platform, Registry, Retirement,
    SourceError,
};
use yokefall_telemetry::{EventName, LogLine};

use crate::protocol::Frame;
use crate::residency::KnownZones;
use crate::store::Store;

/// Interval at which a member that is outside asks to join, at first: a lost disk is to be replaced
/// within seconds.
const JOIN_INTERVAL: Duration = Duration::from_millis(250);
/// The same once it has asked for a while: it stands by.
const STANDBY_INTERVAL: Duration = Duration::from_millis(1_000);
/// Askings at the first interval.
const EAGER_JOINS: u32 = 20;
/// Time for which an asking counts.
const JOIN_LIFETIME: Duration = Duration::from_millis(2_300);
/// Interval at which the leader looks at members while a change is wanted.
const POLICY_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after a call to the platform's store that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Key of the claim to found the group.
const FOUNDER_KEY: &str = "jobs";
/// Interval at which a member of a pair looks whether the other one is gone.
const OUTLIVE_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for the store's answer about the founder.
const FOUND_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Machines that are to be emptied, as far as the platform's store told.
#[derive(Clone, Default)]
pub struct Leaving {
    names: Rc<RefCell<HashMap<String, bool>>>,
}

impl Leaving {
    /// Names of machines whose emptying is not reported as done.
    fn open(&self) -> Vec<String> {
        let names = self.names.borrow();
        names.iter().filter(|(_, completed)| !**completed).map(|(name, _)| name.clone()).collect()
    }

    /// Names of all machines that must take nothing.
    fn all(&self) -> Vec<String> {
        self.names.borrow().keys().cloned().collect()
    }

    fn note_completed(&self, name: &str) {
        self.names.borrow_mut().insert(name.to_owned(), true);
    }
}

struct LeavingSink {
    leaving: Leaving,
    store: Rc<Store>,
}

impl Sink<Retirement> for LeavingSink {
    fn replace(&self, listing: Listing<Retirement>) {
        self.leaving.names.borrow_mut().clear();
        self.apply(listing.items, listing.revision);
    }

    fn apply(&self, changes: Vec<Change<Retirement>>, _revision: Revision) {
        for Change { name, value, .. } in changes {
            let mut names = self.leaving.names.borrow_mut();
            match value {
                Some(retirement) => names.insert(name, retirement.completed),
                None => names.remove(&name),
            };
        }
        self.store.group_changed.notify_one();
    }

    fn ended(&self, _error: Option<&SourceError>) {}
}

fn decided(decision: &'static str, about: impl std::fmt::Display) {
    LogLine::new(EventName::GroupDecision).id(about).field("decision", decision).write();
}

/// Founds the group, where this is the first start of the whole system and no other member was
/// faster. The platform's store decides which one: its record is made once.
pub async fn bootstrap<P: Platform>(platform: P, store: Rc<Store>, me: MemberId) {
    let mut registry = platform.registry();
    let offer = me.to_string();
    loop {
        match tokio::time::timeout(FOUND_TIMEOUT, registry.claim(FOUNDER_KEY, &offer)).await {
            Ok(Ok(Claim::Mine)) => {
                decided("found the group", &me);
                store.with_core(|core, now| core.bootstrap(now));
                store.deadline_changed.notify_one();
                return;
            }
            Ok(Ok(Claim::Another)) => return,
            Ok(Err(_)) | Err(_) => registry.reset(),
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Asks to join for as long as this member is outside of the group.
pub async fn join(store: Rc<Store>, fleet: FleetCell, me: MemberId) {
    let mut asked = 0;
    loop {
        let outside = store.with_core(|core, _| !core.members().contains(&me));
        if outside {
            for member in fleet.load().job_stores().filter(|member| member.name != me.name) {
                store.send_frame(&member.name, &Frame::Join(me.clone()));
            }
            asked += 1;
            let interval = if asked < EAGER_JOINS { JOIN_INTERVAL } else { STANDBY_INTERVAL };
            tokio::time::sleep(interval).await;
            continue;
        }
        asked = 0;
        // A member that was removed while it was away learns it from nobody: look now and then.
        tokio::time::sleep(JOIN_INTERVAL * 4).await;
        let leaderless = store.with_core(|core, _| core.leader().is_none());
        if leaderless {
            for member in fleet.load().job_stores().filter(|member| member.name != me.name) {
                store.send_frame(&member.name, &Frame::Join(me.clone()));
            }
        }
    }
}

/// Changes members while this member leads.
pub async fn lead<P: Platform>(
    platform: P,
    store: Rc<Store>,
    places: (FleetCell, CatalogCell, Rc<KnownZones>),
    voters: usize,
) {
    let leaving = Leaving::default();
    let mut watch: Option<tokio::task::JoinHandle<()>> = None;
    loop {
        if !store.leads() {
            if let Some(watch) = watch.take() {
                watch.abort();
            }
            store.group_changed.notified().await;
            let settling = store.with_core(|core, _| core.role() == Role::Leader);
            if settling {
                tokio::time::sleep(POLICY_INTERVAL).await;
                store.group_changed.notify_one();
            }
            continue;
        }
        if watch.is_none() {
            let sink = LeavingSink { leaving: leaving.clone(), store: store.clone() };
            let following = Follow {
                refresh: Rc::default(),
                others: Vec::new(),
                watch_role: WatchRole::always(),
                waits: Waits::Long,
            };
            let watching = follow(platform.retirements(), sink, following);
            watch = Some(tokio::task::spawn_local(watching));
        }
        let busy = change_members(&platform, &store, &places, &leaving, voters).await;
        report_emptied(&platform, &store, &leaving).await;
        if busy {
            tokio::time::sleep(POLICY_INTERVAL).await;
        } else {
            store.group_changed.notified().await;
        }
    }
}

/// One step. Returns whether another look is wanted soon.
async fn change_members<P: Platform>(
    platform: &P,
    store: &Store,
    (fleet, catalog, known_zones): &(FleetCell, CatalogCell, Rc<KnownZones>),
    leaving: &Leaving,
    voters: usize,
) -> bool {
    known_zones.note(&fleet.load());
    let joining = store.joining(JOIN_LIFETIME);
    let joining = from_inside(store, &catalog.load(), known_zones, joining);
    let wishes =
        DesiredMembership { joining, leaving: leaving.all(), voters, zones: zones_of(fleet) };
    let (step, pair) = store.with_core(|core, now| {
        let step = next_step(core, now, &wishes);
        let pair = core.pair().filter(|_| match &step {
            Step::Change(members) => needs_claim(core, members),
            Step::Idle | Step::TransferLeadership(_) => false,
        });
        (step, pair)
    });
    match step {
        Step::Idle => {}
        Step::Change(members) => {
            if claim_pair(platform, store, pair).await {
                let told = format!("{members:?}");
                if store.with_core(|core, now| core.change_members(now, members)) {
                    decided("change members", told);
                }
            } else {
                decided("wait for the claim on a pair", format!("{pair:?}"));
            }
        }
        Step::TransferLeadership(to) => {
            decided("hand the lead over", &to);
            store.with_core(|core, now| core.transfer_leadership(now, &to));
        }
    }
    let learners = store.with_core(|core, _| !core.members().learners.is_empty());
    !wishes.joining.is_empty() || !leaving.open().is_empty() || learners
}

/// Zones of the job stores that are known.
fn zones_of(fleet: &FleetCell) -> Zones {
    let fleet = fleet.load();
    Zones::new(fleet.job_stores().map(|member| (member.name.clone(), member.zone.clone())))
}

/// Those who ask from where all jobs may be kept that are held now, where there are any.
fn from_inside(
    store: &Store,
    catalog: &Catalog,
    known_zones: &KnownZones,
    mut joining: Vec<MemberId>,
) -> Vec<MemberId> {
    if joining.is_empty() || !catalog.has_regions() {
        return joining;
    }
    let residency = store.residency(catalog);
    known_zones.prefer_inside(&mut joining, &residency, &catalog.zones);
    joining
}

/// Claims a pair for this member; where there is none, nothing needs a claim.
async fn claim_pair<P: Platform>(platform: &P, store: &Store, pair: Option<Pair>) -> bool {
    let Some(Pair { epoch }) = pair else { return true };
    let me = store.with_core(|core, _| core.id().to_string());
    let key = format!("pair-{epoch}");
    let mut registry = platform.registry();
    let claimed = tokio::time::timeout(FOUND_TIMEOUT, registry.claim(&key, &me)).await;
    matches!(claimed, Ok(Ok(Claim::Mine)))
}

/// Where the group is a pair and the other one is silent: goes on alone, if this one's claim is the
/// first.
pub async fn become_sole_voter<P: Platform>(platform: P, store: Rc<Store>) {
    loop {
        tokio::time::sleep(OUTLIVE_INTERVAL).await;
        let joining = store.joining(JOIN_LIFETIME);
        let pair = store.with_core(|core, now| {
            core.pair().filter(|_| should_become_sole_voter(core, now, &joining))
        });
        if pair.is_none() || !claim_pair(&platform, &store, pair).await {
            continue;
        }
        let alone = store.with_core(|core, now| {
            let silent = should_become_sole_voter(core, now, &joining);
            silent && pair.is_some_and(|pair| core.become_sole_voter(now, pair))
        });
        if alone {
            decided(
                "go on alone after the other of a pair",
                store.with_core(|c, _| c.id().clone()),
            );
            store.deadline_changed.notify_one();
        }
    }
}

/// Reports machines that hold nothing of the group any more.
async fn report_emptied<P: Platform>(platform: &P, store: &Store, leaving: &Leaving) {
    for name in leaving.open() {
        let out = store.with_core(|core, _| {
            let member = core.members().all().any(|member| member.name == name);
            !member && core.can_change_members() && core.members_durably_committed()
        });
        if !out {
            continue;
        }
        let mut registry = platform.registry();
        let report = registry.report_retirement(&name, true);
        if let Ok(Ok(())) = tokio::time::timeout(FOUND_TIMEOUT, report).await {
            decided("report a machine as emptied", &name);
            leaving.note_completed(&name);
        }
    }
}
