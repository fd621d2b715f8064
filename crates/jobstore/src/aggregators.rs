//! Which job stores add up load reports, and the exchange of their sums.

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

/// Gateways for each aggregator, from the arithmetic of work: with `g` gateways an aggregator takes
/// `g / k` reports in an interval and `k - 1` sums, and both stay below 40 up to 500 gateways.
const GATEWAYS_PER_AGGREGATOR: usize = 32;
/// Time for which a gateway reports to another job store after one failed twice or knew no leader: longer than an
/// election, so that a job store which is still without a leader then is cut off.
const AVOIDANCE_TIME: Duration = Duration::from_millis(2_000);
/// Key by which every process finds the same aggregators.
const AGGREGATOR_KEY: &[u8] = b"load-aggregators";
/// Interval at which sums that have not changed are repeated; a third of the time for which they
/// count.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Gateways of a region, and the job stores there that take reports.
#[derive(Default)]
struct Region<'a> {
    gateways: usize,
    stores: Vec<&'a FleetMember>,
}

/// The job stores that add up load reports: some in each region that has any, so that only sums and no reports
/// cross regions. Where all stand in one region, or nothing is known of regions, and one is enough, the leader does
/// it, so that the runner of items knows loads without another hop.
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
        return first(accepting, fleet.gateways().count(), leader);
    }
    regions.into_values().flat_map(|region| first(region.stores, region.gateways, None)).collect()
}

/// As many job stores as so many gateways need, the first by rendezvous score.
fn first<'a>(
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

/// The member with the highest hash of both names, so that the loss of one moves only its own gateways.
fn nearest<'a>(members: Vec<&'a FleetMember>, gateway: &str) -> Option<&'a FleetMember> {
    let score = rendezvous_score(gateway.as_bytes());
    members.into_iter().max_by_key(|member| score(&member.name))
}

/// The job store to which one gateway reports.
#[derive(Debug)]
pub struct ReportTarget {
    gateway: String,
    /// Zone in which it stands.
    zone: String,
    /// Regions of zones.
    zones: Arc<ZoneMap>,
    /// Who leads, by the last answer.
    leader: Option<String>,
    /// Job stores that get no report until then.
    avoided: HashMap<String, Instant>,
    /// The job store that gave no answer to the last report.
    unanswered: Option<String>,
}

impl ReportTarget {
    /// Nothing is known of who leads yet.
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

    /// The same for a gateway whose zone is known: it reports in its own region while it can.
    pub fn in_zone(self, zone: String, zones: Arc<ZoneMap>) -> Self {
        Self { zone, zones, ..self }
    }

    /// Name of the gateway.
    pub fn gateway(&self) -> &str {
        &self.gateway
    }

    /// Who leads, by the last answer.
    pub fn leader(&self) -> Option<&str> {
        self.leader.as_deref()
    }

    /// The job store that gets the next report: an aggregator, of the own region where there is one, or any job
    /// store where all aggregators are avoided.
    pub fn choose<'a>(&self, fleet: &'a Fleet) -> Option<&'a FleetMember> {
        let now = Instant::now();
        let may_report = |member: &&FleetMember| {
            self.avoided.get(&member.name).is_none_or(|until| *until <= now)
        };
        let nearest = |members: Vec<&'a FleetMember>| nearest(members, &self.gateway);
        let is_own = |member: &&FleetMember| {
            self.zones.distance(&member.zone, &self.zone) != Distance::OtherRegion
        };
        let aggregators = aggregators(fleet, &self.zones, self.leader());
        let accepting = fleet.job_stores().filter(|member| member.accepting);
        nearest(aggregators.iter().copied().filter(is_own).filter(may_report).collect())
            .or_else(|| nearest(aggregators.iter().copied().filter(may_report).collect()))
            .or_else(|| nearest(accepting.filter(may_report).collect()))
            .or_else(|| nearest(aggregators))
    }

    /// A job store took a report, and told who leads as far as it knows. What it adds up reaches the
    /// leader only where it knows one: one that is cut off takes reports to no use.
    pub fn answered(&mut self, name: &str, leader: Option<String>) {
        if leader.is_none() {
            self.avoid(name);
        }
        self.unanswered = None;
        self.leader = leader;
    }

    /// A job store gave no answer. It is left after the second time in a row: one late answer of a busy
    /// process is no reason to begin anew elsewhere, where all totals have to be learnt again.
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
        self.avoided.insert(name.to_owned(), now + AVOIDANCE_TIME);
    }
}

/// Sends this process's sums to the other aggregators and to the leader, for ever: when they change,
/// once an interval at most.
pub async fn exchange(store: Rc<Store>, fleet: FleetCell, zones: Arc<ZoneMap>, me: String) {
    let mut sent: Option<LoadSums> = None;
    let mut sent_at = Instant::now();
    loop {
        let changed = store.loads_changed.notified();
        if sent.is_some() {
            let _ = tokio::time::timeout_at(sent_at + REPEAT_INTERVAL, changed).await;
        } else {
            changed.await;
        }
        let fleet = fleet.load_full();
        tokio::time::sleep(report_interval(fleet.gateways().count())).await;
        let sums = store.loads.own_sums(&me);
        if sums == sent && sent_at.elapsed() < REPEAT_INTERVAL {
            continue;
        }
        // Where nothing is left, that is told once.
        let none = LoadSums {
            from: me.clone(),
            counts: vec![],
            arrivals: vec![],
            outcomes: vec![],
            gateways: 0,
        };
        let frame = Frame::Sums(sums.clone().unwrap_or(none));
        for name in listeners(&fleet, &zones, store.leader(), &me) {
            store.send_frame(&name, &frame);
        }
        sent = sums;
        sent_at = Instant::now();
    }
}

/// Names of the job stores that need this one's sums.
fn listeners(fleet: &Fleet, zones: &ZoneMap, leader: Option<String>, me: &str) -> Vec<String> {
    let aggregators = aggregators(fleet, zones, leader.as_deref());
    let mut names: Vec<String> =
        aggregators.into_iter().map(|member| member.name.clone()).collect();
    names.extend(leader);
    names.sort_unstable();
    names.dedup();
    names.retain(|name| name != me);
    names
}
