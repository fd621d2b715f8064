//! Selection of the job stores that aggregate load reports, and the exchange of their sums.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use yokefall_serving::{Distance, Fleet, FleetCell, FleetMember, ZoneMap};
use yokefall_types::rendezvous_score;

use crate::loads::report_interval;
use crate::protocol::{Frame, LoadSums};
use crate::store::Store;

/// Gateways per aggregator. With `g` gateways and `k` aggregators, one aggregator receives `g / k`
/// reports and `k - 1` sums per interval; both stay below 40 for up to 500 gateways.
const GATEWAYS_PER_AGGREGATOR: usize = 32;
/// Time for which a gateway reports elsewhere after a job store failed twice or knew no leader.
/// Longer than an election, so that a job store that still knows no leader afterwards is cut off.
const AVOIDANCE_PERIOD: Duration = Duration::from_millis(2_000);
/// Rendezvous-hash key with which every process selects the same aggregators.
const AGGREGATOR_KEY: &[u8] = b"load-aggregators";
/// Interval at which unchanged sums are sent again; a third of their lifetime.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Default)]
struct Region<'a> {
    gateways: usize,
    stores: Vec<&'a FleetMember>,
}

/// The job stores that aggregate load reports. Each region with gateways and job stores has its
/// own, so that only sums cross regions, not reports. If there is one region, or none is known, a
/// sole aggregator is the leader, which then knows the load without another hop.
pub fn aggregators<'a>(
    fleet: &'a Fleet,
    zones: &ZoneMap,
    leader: Option<&str>,
) -> Vec<&'a FleetMember> {
    let mut regions: BTreeMap<Option<&str>, Region<'a>> = BTreeMap::new();
    for gateway in fleet.gateways() {
        regions.entry(zones.region_of(&gateway.zone)).or_default().gateways += 1;
    }
    let accepting: Vec<&FleetMember> =
        fleet.job_stores().filter(|member| member.accepting).collect();
    for store in &accepting {
        regions.entry(zones.region_of(&store.zone)).or_default().stores.push(store);
    }
    regions.retain(|_, region| region.gateways > 0 && !region.stores.is_empty());
    if regions.len() < 2 {
        return select(accepting, fleet.gateways().count(), leader);
    }
    regions.into_values().flat_map(|region| select(region.stores, region.gateways, None)).collect()
}

/// The job stores with the highest rendezvous scores, as many as this number of gateways needs.
fn select<'a>(
    mut stores: Vec<&'a FleetMember>,
    gateways: usize,
    leader: Option<&str>,
) -> Vec<&'a FleetMember> {
    let wanted = gateways.div_ceil(GATEWAYS_PER_AGGREGATOR).max(1);
    let leads = |member: &FleetMember| wanted == 1 && leader == Some(member.name.as_str());
    let score = rendezvous_score(AGGREGATOR_KEY);
    stores.sort_by_cached_key(|member| Reverse((leads(member), score(&member.name))));
    stores.truncate(wanted);
    stores
}

/// By rendezvous score, so that losing a member moves only its own gateways.
fn highest_score<'a>(members: Vec<&'a FleetMember>, gateway: &str) -> Option<&'a FleetMember> {
    let score = rendezvous_score(gateway.as_bytes());
    members.into_iter().max_by_key(|member| score(&member.name))
}

/// Selects the job store to which a process reports.
#[derive(Debug)]
pub struct ReportTarget {
    gateway: String,
    zone: String,
    zones: Arc<ZoneMap>,
    /// The leader according to the last answer.
    leader: Option<String>,
    /// Job stores that receive no report until the given time.
    avoided: HashMap<String, Instant>,
    /// The job store that did not answer the last report.
    unanswered: Option<String>,
}

impl ReportTarget {
    /// Creates a target that knows no leader and no zone.
    pub fn new(gateway: String) -> Self {
        Self {
            gateway,
            zone: String::new(),
            zones: Arc::default(),
            leader: None,
            avoided: HashMap::new(),
            unanswered: None,
        }
    }

    /// Sets the zone of the process, which then prefers job stores in its own region.
    pub fn in_zone(self, zone: String, zones: Arc<ZoneMap>) -> Self {
        Self { zone, zones, ..self }
    }

    /// Name of the reporting process.
    pub fn gateway(&self) -> &str {
        &self.gateway
    }

    /// The leader according to the last answer.
    pub fn leader(&self) -> Option<&str> {
        self.leader.as_deref()
    }

    /// The job store for the next report: an aggregator, preferably in the region of the process,
    /// or any job store if all aggregators are avoided.
    pub fn choose<'a>(&self, fleet: &'a Fleet) -> Option<&'a FleetMember> {
        let now = Instant::now();
        let may_report = |member: &&FleetMember| {
            self.avoided.get(&member.name).is_none_or(|until| *until <= now)
        };
        let highest_score = |members: Vec<&'a FleetMember>| highest_score(members, &self.gateway);
        let is_in_region = |member: &&FleetMember| {
            self.zones.distance(&member.zone, &self.zone) != Distance::OtherRegion
        };
        let aggregators = aggregators(fleet, &self.zones, self.leader());
        let accepting = fleet.job_stores().filter(|member| member.accepting);
        highest_score(aggregators.iter().copied().filter(is_in_region).filter(may_report).collect())
            .or_else(|| highest_score(aggregators.iter().copied().filter(may_report).collect()))
            .or_else(|| highest_score(accepting.filter(may_report).collect()))
            .or_else(|| highest_score(aggregators))
    }

    /// Records that a job store answered, and which leader it named. A job store that knows no
    /// leader is avoided: it may be cut off, and its sums do not reach the leader.
    pub fn answered(&mut self, name: &str, leader: Option<String>) {
        if leader.is_none() {
            self.avoid(name);
        }
        self.unanswered = None;
        self.leader = leader;
    }

    /// Records that a job store did not answer. It is avoided after the second failure in a row;
    /// after a single late answer a switch would cost more, since all totals must be fetched again.
    pub fn failed(&mut self, name: &str) {
        if self.unanswered.as_deref() == Some(name) {
            self.avoid(name);
        }
        self.unanswered = Some(name.to_owned());
        self.leader = None;
    }

    fn avoid(&mut self, name: &str) {
        let now = Instant::now();
        self.avoided.retain(|_, until| *until > now);
        self.avoided.insert(name.to_owned(), now + AVOIDANCE_PERIOD);
    }
}

/// Sends changed sums to the other aggregators and the leader, once per interval. Never returns.
pub async fn exchange(store: Rc<Store>, fleet: FleetCell, zones: Arc<ZoneMap>, me: String) {
    let mut sent: Option<LoadSums> = None;
    let mut sent_at = Instant::now();
    loop {
        let changed = store.loads_changed.notified();
        if sent.is_some() {
            let _ = tokio::time::timeout_at(sent_at + RESEND_INTERVAL, changed).await;
        } else {
            changed.await;
        }
        let fleet = fleet.load_full();
        tokio::time::sleep(report_interval(fleet.gateways().count())).await;
        let sums = store.loads.local_sums(&me);
        if sums == sent && sent_at.elapsed() < RESEND_INTERVAL {
            continue;
        }
        // When nothing is left, empty sums are sent once.
        let none = LoadSums {
            from: me.clone(),
            counts: vec![],
            arrivals: vec![],
            outcomes: vec![],
            gateways: 0,
        };
        let frame = Frame::Sums(sums.clone().unwrap_or(none));
        for name in sum_receivers(&fleet, &zones, store.leader(), &me) {
            store.send_frame(&name, &frame);
        }
        sent = sums;
        sent_at = Instant::now();
    }
}

fn sum_receivers(fleet: &Fleet, zones: &ZoneMap, leader: Option<String>, me: &str) -> Vec<String> {
    let aggregators = aggregators(fleet, zones, leader.as_deref());
    let mut names: Vec<String> =
        aggregators.into_iter().map(|member| member.name.clone()).collect();
    names.extend(leader);
    names.sort_unstable();
    names.dedup();
    names.retain(|name| name != me);
    names
}
