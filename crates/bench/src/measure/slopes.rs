//! What state, messages and decisions cost as sizes grow: the core alone, under virtual time.

use std::collections::HashMap;
use std::time::Instant;

use super::journal;
use super::process::resident_bytes;
use serde::Serialize;
use yokefall_core::admission::Admission;
use yokefall_core::configuration::ConfigurationStore;
use yokefall_core::coordinator::Coordinator;
use yokefall_core::jobs::JobStore;
use yokefall_core::membership::{MemberRecord, MemberState, Membership, Outgoing};
use yokefall_core::{FleetView, Timestamp};
use yokefall_peer::{HomeId, JobHeader, MemberInfo, VersionedObject};
use yokefall_types::{
    BackendSpec, CallHeader, Declaration, JobId, Kind, NodeName, ObjectKey, Outcome, PartnerName,
    Priority, RepeatPolicy, RequestId, ServiceId, ServiceKind, ServiceName, ServiceSpec,
    TenantName,
};

/// Daemons at which membership is measured.
const FLEET_SIZES: [usize; 4] = [10, 50, 150, 550];
/// Back ends for one daemon, as at the full size (3,100 before 550).
const BACKENDS_PER_DAEMON: f64 = 3_100.0 / 550.0;
/// Zones and regions of the full size.
const ZONES: usize = 12;
const REGIONS: usize = 5;
/// Virtual time for which membership is measured, in milliseconds.
const MEMBERSHIP_MS: u64 = 20_000;
/// Virtual time that the fleet has to come together, in milliseconds.
const WARM_UP_MS: u64 = 10_000;
/// Step of virtual time, in milliseconds.
const STEP_MS: u64 = 20;
/// One-way delay of a datagram, in milliseconds.
const DELAY_MS: u64 = 1;
/// Bytes of the headers under a datagram (IPv4 and UDP).
const DATAGRAM_HEADER_BYTES: usize = 28;
/// Calls over which a decision is timed.
const DECISIONS: u64 = 20_000;
/// Items of the measured jobs.
const JOB_SIZES: [u32; 3] = [1_000, 10_000, 54_000];
/// Jobs over which the memory of an item is measured.
const RESIDENT_JOBS: u32 = 40;
/// Records over which the memory of one is measured.
const RESIDENT_RECORDS: u64 = 100_000;
const PARTNER: &str = "board";
const SERVICE: &str = "pathmind";

/// One measured figure.
#[derive(Clone, Debug, Serialize)]
pub struct SlopeRow {
    /// What was measured.
    pub name: &'static str,
    /// Its size: daemons, or items.
    pub size: u64,
    /// The figure.
    pub value: f64,
    /// Unit.
    pub unit: &'static str,
}

pub(super) fn row(name: &'static str, size: u64, value: f64, unit: &'static str) -> SlopeRow {
    SlopeRow { name, size, value, unit }
}

/// Measures everything.
pub fn run() -> Result<Vec<SlopeRow>, String> {
    // Memory first: later measurements leave memory that would be used again unseen.
    let mut rows = item_memory();
    rows.extend(record_memory());
    for size in FLEET_SIZES {
        rows.extend(membership(size));
        rows.extend(view(size));
        rows.extend(decisions(size));
    }
    for size in JOB_SIZES {
        rows.extend(jobs(size));
    }
    rows.extend(journal::run()?);
    Ok(rows)
}

fn node(number: usize) -> NodeName {
    NodeName::new(format!("daemon-{number:04}"))
}

fn zone(number: usize) -> String {
    format!("zone-{:02}", number % ZONES)
}

fn member_record(number: usize) -> MemberRecord {
    MemberRecord {
        node: node(number),
        incarnation: 1,
        address: format!("10.0.{}.{}:7100", number / 250, number % 250),
        zone: zone(number),
        region: format!("region-{}", number % REGIONS),
        data: false,
        state: MemberState::Alive,
    }
}

/// A fleet of member lists, with a queue of datagrams in place of a network.
struct HollowMembership {
    nodes: Vec<Membership>,
    by_address: HashMap<String, usize>,
    queue: std::collections::VecDeque<(u64, String, Outgoing)>,
    bytes: u64,
    datagrams: u64,
}

impl HollowMembership {
    fn new(size: usize) -> Self {
        let seed_address = member_record(0).address;
        let records: Vec<MemberRecord> = (0..size).map(member_record).collect();
        let by_address = records.iter().enumerate().map(|(n, r)| (r.address.clone(), n)).collect();
        let nodes = records
            .into_iter()
            .enumerate()
            .map(|(n, record)| Membership::new(record, vec![seed_address.clone()], n as u64))
            .collect();
        let queue = std::collections::VecDeque::new();
        Self { nodes, by_address, queue, bytes: 0, datagrams: 0 }
    }

    fn send(&mut self, now: u64, from: usize, outgoing: Vec<Outgoing>) {
        let source = member_record(from).address;
        for datagram in outgoing {
            let length = borsh::object_length(&datagram.datagram).unwrap_or(0);
            self.bytes += (length + DATAGRAM_HEADER_BYTES) as u64;
            self.datagrams += 1;
            self.queue.push_back((now + DELAY_MS, source.clone(), datagram));
        }
    }

    fn deliver(&mut self, now: u64) {
        while self.queue.front().is_some_and(|(at, _, _)| *at <= now) {
            let Some((at, source, outgoing)) = self.queue.pop_front() else { return };
            let Some(target) = self.by_address.get(&outgoing.to).copied() else { continue };
            let replies = self.nodes[target].receive(Timestamp(at), outgoing.datagram, &source);
            self.send(at, target, replies);
        }
    }

    fn run(&mut self, from: u64, until: u64) {
        for now in (from..until).step_by(STEP_MS as usize) {
            for number in 0..self.nodes.len() {
                let outgoing = self.nodes[number].tick(Timestamp(now));
                self.send(now, number, outgoing);
            }
            // Replies are delivered within the same step until none is left.
            self.deliver(now + STEP_MS - 1);
        }
    }
}

/// Bytes, datagrams and processor time of membership, a daemon and second.
fn membership(size: usize) -> Vec<SlopeRow> {
    let mut fleet = HollowMembership::new(size);
    // Half of the warm-up for every member to have joined, half for the news of it to die out.
    fleet.run(1, WARM_UP_MS * 2);
    let known = fleet.nodes.iter().map(|node| node.members().len()).min().unwrap_or(0);
    (fleet.bytes, fleet.datagrams) = (0, 0);
    let begun = Instant::now();
    fleet.run(WARM_UP_MS * 2, WARM_UP_MS * 2 + MEMBERSHIP_MS);
    let processor = begun.elapsed().as_secs_f64();
    let daemon_seconds = size as f64 * MEMBERSHIP_MS as f64 / 1_000.0;
    let size = size as u64;
    vec![
        row("members known to every daemon", size, known as f64, "daemons"),
        row("membership sent", size, fleet.bytes as f64 / daemon_seconds, "bytes/s/daemon"),
        row("membership sent", size, fleet.datagrams as f64 / daemon_seconds, "datagrams/s/daemon"),
        row("membership processor", size, processor / daemon_seconds * 100.0, "% of a core/daemon"),
    ]
}

fn member_infos(size: usize) -> Vec<MemberInfo> {
    (0..size)
        .map(|number| {
            let record = member_record(number);
            MemberInfo {
                node: record.node,
                incarnation: record.incarnation,
                address: record.address,
                zone: record.zone,
                region: record.region,
                data: false,
                accepting: true,
            }
        })
        .collect()
}

fn configuration(backends: usize) -> ConfigurationStore {
    let mut store = ConfigurationStore::default();
    let key = |kind, name: String| ObjectKey { partner: PartnerName::new(PARTNER), kind, name };
    let service = Declaration::Service(ServiceSpec {
        kind: ServiceKind::Model,
        model: SERVICE.to_owned(),
        reserved_slots: 1,
        queue_limit: 64,
        max_prompt_bytes: 32_768,
        max_tokens: 2_048,
    });
    let version = 1;
    let service_key = key(Kind::Service, SERVICE.to_owned());
    store.apply(VersionedObject { key: service_key, version, value: Some(service) });
    for (version, number) in (2..).zip(0..backends) {
        let spec = BackendSpec {
            service: ServiceName::new(SERVICE),
            address: format!("10.1.{}.{}:8000", number / 250, number % 250),
            zone: zone(number),
            machine: format!("machine-{number}"),
            slots: 8,
        };
        let name = format!("{SERVICE}-{number}");
        let value = Some(Declaration::Backend(spec));
        store.apply(VersionedObject { key: key(Kind::Backend, name), version, value });
    }
    store
}

fn build_view(size: usize) -> FleetView {
    let backends = (size as f64 * BACKENDS_PER_DAEMON) as usize;
    FleetView::build(&node(0), &zone(0), member_infos(size), &configuration(backends))
}

/// Time to rebuild the view after a change, and size of the configuration.
fn view(size: usize) -> Vec<SlopeRow> {
    let backends = (size as f64 * BACKENDS_PER_DAEMON) as usize;
    let store = configuration(backends);
    let members = member_infos(size);
    let begun = Instant::now();
    let view = FleetView::build(&node(0), &zone(0), members, &store);
    let build = begun.elapsed().as_secs_f64() * 1_000.0;
    let begun = Instant::now();
    let digest = store.digest();
    let digest_time = begun.elapsed().as_secs_f64() * 1_000.0;
    let objects: Vec<VersionedObject> = store.objects().collect();
    let bytes = borsh::object_length(&objects).unwrap_or(0) + (digest & 1) as usize;
    let size = size as u64;
    vec![
        row("view rebuilt", size, build, "ms/change"),
        row("configuration digest", size, digest_time, "ms"),
        row("configuration held", size, bytes as f64, "bytes encoded"),
        row("back ends owned", size, view.owned.len() as f64, "back ends/daemon"),
    ]
}

fn call_header(number: u64) -> CallHeader {
    CallHeader {
        request: RequestId {
            partner: PartnerName::new(PARTNER),
            tenant: TenantName::new("tenant"),
            id: format!("request-{number}").as_str().into(),
        },
        service: ServiceName::new(SERVICE),
        priority: Priority::High,
        repeat: RepeatPolicy::Allowed,
        resend: false,
        deadline_ms: 30_000,
        max_tokens: 64,
    }
}

/// Time of the decisions about one call: at its home daemon, and at its owner.
fn decisions(size: usize) -> Vec<SlopeRow> {
    let view = build_view(size);
    let mut coordinator = Coordinator::new(HomeId { node: node(0), incarnation: 1 }, 1, 600_000);
    let begun = Instant::now();
    for number in 0..DECISIONS {
        let now = Timestamp(number / 40);
        let header = call_header(number);
        let request = header.request.clone();
        coordinator.submit(now, &view, header, number, 100);
        coordinator.execution_ended(now, &view, &request, 1, Outcome::Completed, None);
    }
    let home = begun.elapsed().as_secs_f64() * 1e6 / DECISIONS as f64;
    let mut admission = Admission::default();
    admission.configure(Timestamp(1), &view);
    let service = ServiceId { partner: PartnerName::new(PARTNER), name: SERVICE.into() };
    let begun = Instant::now();
    for number in 0..DECISIONS {
        let now = Timestamp(1 + number / 40);
        let ticket = admission.next_ticket();
        let deadline = now.plus_millis(30_000);
        admission.arrive(now, ticket, &service, Priority::High, deadline);
        admission.finish(now, ticket, false);
    }
    let owner = begun.elapsed().as_secs_f64() * 1e6 / DECISIONS as f64;
    vec![
        row("decisions at the home daemon", size as u64, home, "us/call"),
        row("decisions at the owner", size as u64, owner, "us/call"),
    ]
}

/// Time and memory of a job's items in the store's state, without the disk.
fn jobs(items: u32) -> Vec<SlopeRow> {
    let mut store = JobStore::new(1);
    let service = ServiceId { partner: PartnerName::new(PARTNER), name: SERVICE.into() };
    store.accept(Timestamp(1), 1, job_header("job"), 1, items, 1);
    let begun = Instant::now();
    let mut done = 0;
    while done < items {
        let grants = store.lease(Timestamp(2), &service, 64);
        done += grants.len() as u32;
        let completed = grants.into_iter().map(|grant| yokefall_peer::CompletedItem {
            result: yokefall_types::ItemResult {
                index: grant.item.index,
                outcome: yokefall_types::ItemOutcome::Completed,
                attempt: 1,
                body: Vec::new(),
            },
            item: grant.item,
        });
        store.complete(completed.collect());
    }
    let each = begun.elapsed().as_secs_f64() * 1e6 / f64::from(items);
    vec![row("item leased and completed, state only", u64::from(items), each, "us/item")]
}

/// Memory of items that wait, and of items that are leased.
fn item_memory() -> Vec<SlopeRow> {
    let items = JOB_SIZES[JOB_SIZES.len() - 1];
    let service = ServiceId { partner: PartnerName::new(PARTNER), name: SERVICE.into() };
    let before = resident_bytes(std::process::id());
    let mut store = JobStore::new(1);
    for number in 0..RESIDENT_JOBS {
        let header = job_header(&format!("job-{number}"));
        store.accept(Timestamp(1), 1, header, 1, items, 1);
    }
    let waiting = resident_bytes(std::process::id()).saturating_sub(before);
    let total = RESIDENT_JOBS * items;
    drop(store.lease(Timestamp(2), &service, total));
    let leased = resident_bytes(std::process::id()).saturating_sub(before);
    let each = |bytes: u64| bytes as f64 / f64::from(total);
    vec![
        row("item waiting, resident memory", u64::from(total), each(waiting), "bytes/item"),
        row("item leased, resident memory", u64::from(total), each(leased), "bytes/item"),
    ]
}

/// Memory of a request's record at its home daemon, without its body and answer.
fn record_memory() -> Vec<SlopeRow> {
    let view = build_view(FLEET_SIZES[0]);
    let home = HomeId { node: node(0), incarnation: 1 };
    let mut coordinator = Coordinator::new(home, 1, 600_000);
    let before = resident_bytes(std::process::id());
    for number in 0..RESIDENT_RECORDS {
        let now = Timestamp(1);
        let header = call_header(number);
        let request = header.request.clone();
        coordinator.submit(now, &view, header, number, 100);
        coordinator.execution_ended(now, &view, &request, 1, Outcome::Completed, None);
    }
    let held = resident_bytes(std::process::id()).saturating_sub(before);
    let each = held as f64 / RESIDENT_RECORDS as f64;
    vec![row("request record, resident memory", RESIDENT_RECORDS, each, "bytes/record")]
}

fn job_header(key: &str) -> JobHeader {
    JobHeader {
        job: JobId {
            partner: PartnerName::new(PARTNER),
            tenant: TenantName::new("tenant"),
            key: key.into(),
        },
        service: ServiceName::new(SERVICE),
        priority: 0,
        repeat: RepeatPolicy::Allowed,
        deadline_ms: 3_600_000,
        max_tokens: 64,
    }
}

/// The rows as a table.
pub fn table(rows: &[SlopeRow]) -> String {
    let mut table = String::from("| measured | size | value | unit |\n|---|---|---|---|\n");
    for row in rows {
        table.push_str(&format!(
            "| {} | {} | {:.4} | {} |\n",
            row.name, row.size, row.value, row.unit
        ));
    }
    table
}
