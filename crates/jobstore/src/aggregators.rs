//! Which job stores add up load reports, and the exchange of their sums.

use std::cmp::Reverse;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;
use yokefall_serving::{Fleet, FleetCell, FleetMember};
use yokefall_types::rendezvous_score;

use crate::loads::report_interval;
use crate::protocol::{Frame, LoadSums};
use crate::store::Store;

/// Gateways for each aggregator, from the arithmetic of work: with `g` gateways an aggregator takes
/// `g / k` reports in an interval and `k - 1` sums, and both stay below 40 up to 500 gateways.
const GATEWAYS_PER_AGGREGATOR: usize = 32;
/// Key by which every process finds the same aggregators.
const AGGREGATOR_KEY: &[u8] = b"load-aggregators";
/// Interval at which sums that have not changed are repeated; a third of the time for which they
/// count.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);

/// The job stores that add up load reports, the first by rendezvous score. Where one
/// is enough, the leader does it, so that the runner of items knows loads without another hop.
pub fn aggregators<'a>(fleet: &'a Fleet, leader: Option<&str>) -> Vec<&'a FleetMember> {
    let wanted = fleet.gateways().count().div_ceil(GATEWAYS_PER_AGGREGATOR).max(1);
    let mut stores: Vec<&FleetMember> =
        fleet.job_stores().filter(|member| member.accepting).collect();
    let leads = |member: &FleetMember| wanted == 1 && leader == Some(member.name.as_str());
    let score = rendezvous_score(AGGREGATOR_KEY);
    stores.sort_by_cached_key(|member| Reverse((leads(member), score(&member.name))));
    stores.truncate(wanted);
    stores
}

/// The aggregator of a gateway: the one with the highest hash of both names, so that the loss of one
/// moves only its own gateways.
pub fn aggregator_of<'a>(
    fleet: &'a Fleet,
    leader: Option<&str>,
    gateway: &str,
) -> Option<&'a FleetMember> {
    let score = rendezvous_score(gateway.as_bytes());
    aggregators(fleet, leader).into_iter().max_by_key(|member| score(&member.name))
}

/// The job store to which one gateway reports.
#[derive(Debug)]
pub struct ReportTarget {
    gateway: String,
    /// Who leads, by the last answer.
    leader: Option<String>,
}

impl ReportTarget {
    /// Nothing is known of who leads yet.
    pub fn new(gateway: String) -> Self {
        Self { gateway, leader: None }
    }

    /// Name of the gateway.
    pub fn gateway(&self) -> &str {
        &self.gateway
    }

    /// Who leads, by the last answer.
    pub fn leader(&self) -> Option<&str> {
        self.leader.as_deref()
    }

    /// The job store that gets the next report.
    pub fn choose<'a>(&self, fleet: &'a Fleet) -> Option<&'a FleetMember> {
        aggregator_of(fleet, self.leader.as_deref(), &self.gateway)
    }

    /// A job store took a report, and told who leads as far as it knows.
    pub fn answered(&mut self, _name: &str, leader: Option<String>) {
        self.leader = leader;
    }

    /// A job store gave no answer.
    pub fn failed(&mut self, _name: &str) {
        self.leader = None;
    }
}

/// Sends this process's sums to the other aggregators and to the leader, for ever: when they change,
/// once an interval at most.
pub async fn exchange(store: Rc<Store>, fleet: FleetCell, me: String) {
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
        for name in listeners(&fleet, store.leader(), &me) {
            store.send_frame(&name, &frame);
        }
        sent = sums;
        sent_at = Instant::now();
    }
}

/// Names of the job stores that need this one's sums.
fn listeners(fleet: &Fleet, leader: Option<String>, me: &str) -> Vec<String> {
    let aggregators = aggregators(fleet, leader.as_deref());
    let mut names: Vec<String> =
        aggregators.into_iter().map(|member| member.name.clone()).collect();
    names.extend(leader);
    names.sort_unstable();
    names.dedup();
    names.retain(|name| name != me);
    names
}
