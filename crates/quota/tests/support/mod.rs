//! A fleet in virtual time: gateways, job stores with their leader, and faults. The replicated log
//! is not simulated: there is one assignment, at most one leader, and a gap between two leaders.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use yokefall_core::Timestamp;
use yokefall_quota::token_issuer::RENEW_INTERVAL_MS;
use yokefall_quota::{
    Assignment, Candidate, IssuerSelector, LeaseManager, NextStep, Part, PartRefusal, QuotaBounds,
    SlotId, SlotLease, TokenGrant, TokenIssuer, TokenRequest,
};
use yokefall_types::{RateLimit, TenantName};

/// Timeout of a token request, as in the gateway.
const TOKEN_REQUEST_TIMEOUT_MS: u64 = 120;
/// Interval between probes, as in the gateway.
const PROBE_INTERVAL_MS: u64 = 700;
const ASSIGN_INTERVAL_MS: u64 = 500;
/// Time before the first request: the leader is established and the buckets are full.
pub const WARM_UP_MS: u64 = 14_000;

/// A tenant and the load that it sends.
#[derive(Clone, Debug)]
pub struct Sender {
    pub name: TenantName,
    pub limit: RateLimit,
    /// Requests per second.
    pub rate: f64,
    pub surge: Option<Surge>,
}

/// A period in which a tenant sends `factor` times its rate.
#[derive(Clone, Copy, Debug)]
pub struct Surge {
    pub from_ms: u64,
    pub until_ms: u64,
    pub factor: f64,
}

/// A fault; times are relative to the first request.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// A job store is killed and restarts later.
    KillStore { at_ms: u64, store: usize, for_ms: u64 },
    /// A job store is partitioned from all others; messages in transit arrive afterwards.
    PartitionStore { at_ms: u64, store: usize, for_ms: u64 },
    /// A job store is frozen; its clock continues.
    FreezeStore { at_ms: u64, store: usize, for_ms: u64 },
    /// The leader is lost; another job store takes over after the gap.
    LoseLeader { at_ms: u64, gap_ms: u64 },
    /// A gateway reaches no job store.
    PartitionGateway { at_ms: u64, gateway: usize, for_ms: u64 },
    /// A gateway is frozen while it holds tokens.
    FreezeGateway { at_ms: u64, gateway: usize, for_ms: u64 },
    /// Back ends have no free slots; requests with tokens wait, and are all sent when there are.
    StallBackEnds { at_ms: u64, for_ms: u64 },
    /// All limits change to this percentage; gateways learn of it within the given time.
    SetLimits { at_ms: u64, percent: u64, within_ms: u64 },
}

pub struct Plan {
    pub seed: u64,
    pub gateways: usize,
    pub stores: usize,
    pub senders: Vec<Sender>,
    pub faults: Vec<Fault>,
    pub length_ms: u64,
    /// Number of gateways that clients use; all if `None`.
    pub client_gateways: Option<usize>,
}

#[derive(Debug, Default)]
pub struct Outcome {
    pub sends: BTreeMap<TenantName, Vec<u64>>,
    /// Requests within the limit, by a reference bucket, of tenants that send their usual rate.
    pub within_limit: u64,
    pub rejected_within_limit: u64,
    /// The same for tenants that exceed their limit. Which of their requests are within the limit
    /// is arbitrary, so only the number of sends counts.
    pub within_limit_of_surging: u64,
    /// Token requests that issuers answered.
    pub token_requests: u64,
    pub max_token_requests: u64,
}

impl Outcome {
    pub fn rejected_fraction(&self) -> f64 {
        self.rejected_within_limit as f64 / self.within_limit.max(1) as f64
    }

    /// The maximum number of sends of a tenant in a window that starts at `from_ms` or later.
    pub fn max_sends_in_window(&self, tenant: &TenantName, window_ms: u64, from_ms: u64) -> usize {
        let Some(sends) = self.sends.get(tenant) else { return 0 };
        let mut sends: Vec<u64> = sends.iter().copied().filter(|at| *at >= from_ms).collect();
        sends.sort_unstable();
        let mut first = 0;
        let mut most = 0;
        for (last, at) in sends.iter().enumerate() {
            while sends[first] + window_ms < *at {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        most
    }
}

struct Request {
    gateway: usize,
    sender: usize,
    refused: Vec<PartRefusal>,
    requested_at: u64,
    open_token_request: Option<u64>,
    is_within: bool,
    hold_ms: u64,
}

enum Event {
    Arrive {
        sender: usize,
    },
    Step {
        request: u64,
    },
    TokenRequestArrives {
        store: usize,
        incarnation: u64,
        request: u64,
        number: u64,
        token_request: TokenRequest,
    },
    Answer {
        request: u64,
        number: u64,
        token_issuer: usize,
        grant: TokenGrant,
    },
    Timeout {
        request: u64,
        number: u64,
        token_issuer: usize,
    },
    Send {
        request: u64,
        expires_at: u64,
    },
    Renew {
        store: usize,
        incarnation: u64,
    },
    RenewArrives {
        store: usize,
        incarnation: u64,
        requested_at: u64,
    },
    Renewed {
        store: usize,
        incarnation: u64,
        requested_at: u64,
        leases: Vec<SlotLease>,
    },
    AssignSlots,
    Commit {
        term: u64,
        changes: Vec<(SlotId, String)>,
    },
    Probe {
        gateway: usize,
    },
    AssignmentArrives {
        gateway: usize,
        assignment: Assignment,
    },
    LimitsArrive {
        gateway: usize,
        percent: u64,
    },
    InjectFault(Fault),
    StartStore {
        store: usize,
    },
    BecomeLeader {
        store: usize,
        term: u64,
    },
}

struct Store {
    token_issuer: TokenIssuer,
    incarnation: u64,
    up: bool,
    partitioned_until: u64,
    frozen_until: u64,
    offset: u64,
    token_requests: u64,
}

struct Gateway {
    selector: IssuerSelector,
    partitioned_until: u64,
    frozen_until: u64,
    offset: u64,
    limit_percent: u64,
    version: u64,
}

pub struct Fleet {
    plan: Plan,
    random: StdRng,
    now: u64,
    sequence: u64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    pending_events: HashMap<u64, Event>,
    stores: Vec<Store>,
    gateways: Vec<Gateway>,
    assignment: Assignment,
    leader: Option<(usize, u64, LeaseManager)>,
    term: u64,
    requests: HashMap<u64, Request>,
    next_request: u64,
    next_token_request: u64,
    /// Reference buckets of whole limits, in thousandths of a request, which see every request.
    reference: Vec<(u64, u64)>,
    limit_percent: u64,
    version: u64,
    stalled_until: u64,
    outcome: Outcome,
    bounds: QuotaBounds,
}

fn store_name(store: usize) -> String {
    format!("storage-{store}")
}

impl Fleet {
    pub fn new(plan: Plan) -> Self {
        let mut random = StdRng::seed_from_u64(plan.seed);
        let bounds = QuotaBounds::default();
        let stores = (0..plan.stores).map(|_| Store {
            token_issuer: TokenIssuer::new(bounds),
            incarnation: 0,
            up: true,
            partitioned_until: 0,
            frozen_until: 0,
            offset: random.random_range(0..1_000_000),
            token_requests: 0,
        });
        let stores = stores.collect();
        let gateways = (0..plan.gateways).map(|gateway| Gateway {
            selector: IssuerSelector::new(format!("edge-{gateway}")),
            partitioned_until: 0,
            frozen_until: 0,
            offset: random.random_range(0..1_000_000),
            limit_percent: 100,
            version: 1,
        });
        let gateways = gateways.collect();
        let reference =
            plan.senders.iter().map(|sender| (sender.limit.burst * 1_000, WARM_UP_MS)).collect();
        Self {
            plan,
            random,
            now: 0,
            sequence: 0,
            events: BinaryHeap::new(),
            pending_events: HashMap::new(),
            stores,
            gateways,
            assignment: Assignment::default(),
            leader: None,
            term: 0,
            requests: HashMap::new(),
            next_request: 0,
            next_token_request: 0,
            reference,
            limit_percent: 100,
            version: 1,
            stalled_until: 0,
            outcome: Outcome::default(),
            bounds,
        }
    }

    pub fn run(mut self) -> Outcome {
        for store in 0..self.plan.stores {
            let at = self.random.random_range(0..RENEW_INTERVAL_MS);
            self.at(at, Event::Renew { store, incarnation: 0 });
        }
        self.at(300, Event::BecomeLeader { store: 0, term: 1 });
        self.term = 1;
        self.at(400, Event::AssignSlots);
        for gateway in 0..self.plan.gateways {
            let at = self.random.random_range(0..PROBE_INTERVAL_MS);
            self.at(at, Event::Probe { gateway });
        }
        for sender in 0..self.plan.senders.len() {
            self.at(WARM_UP_MS, Event::Arrive { sender });
        }
        for fault in self.plan.faults.clone() {
            self.at(WARM_UP_MS + start_of(fault), Event::InjectFault(fault));
        }
        let end = WARM_UP_MS + self.plan.length_ms;
        while let Some(Reverse((at, number))) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(event) = self.pending_events.remove(&number) {
                self.handle(event);
            }
        }
        self.outcome.max_token_requests =
            self.stores.iter().map(|store| store.token_requests).max().unwrap_or(0);
        self.outcome.token_requests = self.stores.iter().map(|store| store.token_requests).sum();
        self.outcome
    }

    fn at(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence)));
        self.pending_events.insert(self.sequence, event);
    }

    fn after(&mut self, ms: u64, event: Event) {
        self.at(self.now + ms, event);
    }

    /// Network delay, occasionally long.
    fn delay(&mut self) -> u64 {
        match self.random.random_range(0..100) {
            0 => self.random.random_range(5..60),
            _ => self.random.random_range(1..4),
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { sender } => self.arrive(sender),
            Event::Step { request } => self.step(request),
            Event::TokenRequestArrives { store, incarnation, request, number, token_request } => {
                self.token_request_arrives(store, incarnation, request, number, token_request);
            }
            Event::Answer { request, number, token_issuer, grant } => {
                self.answer(request, number, token_issuer, grant);
            }
            Event::Timeout { request, number, token_issuer } => {
                self.timeout(request, number, token_issuer);
            }
            Event::Send { request, expires_at } => self.send(request, expires_at),
            Event::Renew { store, incarnation } => self.renew(store, incarnation),
            Event::RenewArrives { store, incarnation, requested_at } => {
                self.renew_arrives(store, incarnation, requested_at);
            }
            Event::Renewed { store, incarnation, requested_at, leases } => {
                self.apply_leases(store, incarnation, requested_at, leases);
            }
            Event::AssignSlots => self.assign_slots(),
            Event::Commit { term, changes } => {
                if self.leader.as_ref().is_some_and(|(_, current, _)| *current == term) {
                    self.assignment.assign(changes);
                }
            }
            Event::Probe { gateway } => self.probe(gateway),
            Event::AssignmentArrives { gateway, assignment } => {
                self.gateways[gateway].selector.set_assignment(assignment);
            }
            Event::LimitsArrive { gateway, percent } => {
                self.gateways[gateway].limit_percent = percent;
                self.gateways[gateway].version = self.version;
            }
            Event::InjectFault(fault) => self.inject(fault),
            Event::StartStore { store } => {
                let incarnation = self.stores[store].incarnation;
                self.stores[store].up = true;
                self.after(1, Event::Renew { store, incarnation });
            }
            Event::BecomeLeader { store, term } => {
                let now = self.store_time(store);
                self.leader = Some((store, term, LeaseManager::new(now)));
            }
        }
    }

    fn store_time(&self, store: usize) -> Timestamp {
        Timestamp(self.now + self.stores[store].offset)
    }

    fn gateway_time(&self, gateway: usize) -> Timestamp {
        Timestamp(self.now + self.gateways[gateway].offset)
    }

    fn limit_of(&self, sender: usize, percent: u64) -> RateLimit {
        let limit = self.plan.senders[sender].limit;
        RateLimit {
            per_1000_seconds: limit.per_1000_seconds * percent / 100,
            burst: limit.burst * percent / 100,
        }
    }

    fn arrive(&mut self, sender: usize) {
        let mut rate = self.plan.senders[sender].rate;
        let since = self.now - WARM_UP_MS;
        if let Some(surge) = self.plan.senders[sender].surge {
            if (surge.from_ms..surge.until_ms).contains(&since) {
                rate *= surge.factor;
            }
        }
        let gap = -(self.random.random_range(f64::EPSILON..1.0f64)).ln() / rate * 1_000.0;
        self.after((gap as u64).max(1), Event::Arrive { sender });
        let is_within = self.is_within(sender);
        let is_surging = self.plan.senders[sender].surge.is_some();
        match (is_within, is_surging) {
            (true, false) => self.outcome.within_limit += 1,
            (true, true) => self.outcome.within_limit_of_surging += 1,
            (false, _) => {}
        }
        let used = self.plan.client_gateways.unwrap_or(self.plan.gateways);
        let gateway = self.random.random_range(0..used);
        // A few requests wait for free slots.
        let is_held = self.random.random_range(0..20) == 0;
        let hold_ms = if is_held { self.random.random_range(0..1_000) } else { 0 };
        let request = self.next_request;
        self.next_request += 1;
        let held = Request {
            gateway,
            sender,
            refused: Vec::new(),
            requested_at: self.now,
            open_token_request: None,
            is_within,
            hold_ms,
        };
        self.requests.insert(request, held);
        self.step(request);
    }

    /// Whether the reference bucket of the tenant has a token.
    fn is_within(&mut self, sender: usize) -> bool {
        let limit = self.limit_of(sender, self.limit_percent);
        let (units, at) = self.reference[sender];
        let gained = limit.per_1000_seconds * (self.now - at) / 1_000;
        let units = (units + gained).min(limit.burst * 1_000);
        let fits = units >= 1_000;
        self.reference[sender] = (if fits { units - 1_000 } else { units }, self.now);
        fits
    }

    fn step(&mut self, request: u64) {
        let Some(held) = self.requests.get(&request) else { return };
        let (gateway, sender) = (held.gateway, held.sender);
        if self.gateways[gateway].frozen_until > self.now {
            let wake = self.gateways[gateway].frozen_until;
            self.at(wake, Event::Step { request });
            return;
        }
        let now = self.gateway_time(gateway);
        let tenant = self.plan.senders[sender].name.clone();
        let refused = self.requests[&request].refused.clone();
        let step = self.gateways[gateway].selector.next_step(now, &tenant, &refused);
        let (part, token_issuer) = match step {
            NextStep::Ask { part, token_issuer } => (part, token_issuer),
            NextStep::OverLimit { .. } | NextStep::Unknown => {
                self.reject(request);
                return;
            }
        };
        let store = (0..self.plan.stores).find(|store| store_name(*store) == token_issuer);
        let store = store.expect("a job store of the fleet");
        let percent = self.gateways[gateway].limit_percent;
        let limit = self.limit_of(sender, percent);
        let version = self.gateways[gateway].version;
        let token_request = TokenRequest { tenant, part, limit, version, tokens: 1 };
        let number = self.next_token_request;
        self.next_token_request += 1;
        if let Some(held) = self.requests.get_mut(&request) {
            held.open_token_request = Some(number);
            held.requested_at = self.now;
        }
        let incarnation = self.stores[store].incarnation;
        let mut delay = self.delay();
        let partitioned_until =
            self.gateways[gateway].partitioned_until.max(self.stores[store].partitioned_until);
        if partitioned_until > self.now {
            // Messages in transit through a partition arrive when it heals.
            delay += partitioned_until - self.now;
        }
        self.after(
            delay,
            Event::TokenRequestArrives { store, incarnation, request, number, token_request },
        );
        self.after(
            TOKEN_REQUEST_TIMEOUT_MS,
            Event::Timeout { request, number, token_issuer: store },
        );
    }

    fn token_request_arrives(
        &mut self,
        store: usize,
        incarnation: u64,
        request: u64,
        number: u64,
        token_request: TokenRequest,
    ) {
        let held = &self.stores[store];
        if !held.up || held.incarnation != incarnation {
            return;
        }
        if held.frozen_until > self.now {
            let wake = held.frozen_until;
            self.at(
                wake,
                Event::TokenRequestArrives { store, incarnation, request, number, token_request },
            );
            return;
        }
        let now = self.store_time(store);
        self.stores[store].token_requests += 1;
        let grant = self.stores[store].token_issuer.take(now, &token_request);
        let mut delay = self.delay();
        if self.stores[store].partitioned_until > self.now {
            delay += self.stores[store].partitioned_until - self.now;
        }
        self.after(delay, Event::Answer { request, number, token_issuer: store, grant });
    }

    fn answer(&mut self, request: u64, number: u64, token_issuer: usize, grant: TokenGrant) {
        let Some(held) = self.requests.get(&request) else { return };
        if held.open_token_request != Some(number) {
            return;
        }
        let (gateway, sender, requested_at) = (held.gateway, held.sender, held.requested_at);
        if self.gateways[gateway].frozen_until > self.now {
            let wake = self.gateways[gateway].frozen_until;
            self.at(wake, Event::Answer { request, number, token_issuer, grant });
            return;
        }
        self.gateways[gateway].selector.mark_reachable(&store_name(token_issuer));
        let tenant = self.plan.senders[sender].name.clone();
        let part = part_of(&self.assignment, &tenant, token_issuer);
        match grant {
            TokenGrant::Granted { tokens, .. } if tokens > 0 => {
                let expires_at = requested_at + self.bounds.token_lifetime().as_millis() as u64;
                let hold_ms = held.hold_ms;
                if let Some(held) = self.requests.get_mut(&request) {
                    held.open_token_request = None;
                    held.hold_ms = 0;
                }
                self.after(hold_ms, Event::Send { request, expires_at });
            }
            TokenGrant::Granted { wait_ms, .. } => {
                let now = self.gateway_time(gateway);
                if let Some(part) = part {
                    self.gateways[gateway].selector.mark_exhausted(now, &tenant, part, wait_ms);
                }
                self.token_refused(request, part, Some(wait_ms));
            }
            TokenGrant::NotHeld => {
                self.fetch_assignment(gateway);
                self.token_refused(request, part, None);
            }
        }
    }

    fn timeout(&mut self, request: u64, number: u64, token_issuer: usize) {
        let Some(held) = self.requests.get(&request) else { return };
        if held.open_token_request != Some(number) {
            return;
        }
        let (gateway, sender) = (held.gateway, held.sender);
        self.gateways[gateway].selector.mark_unreachable(&store_name(token_issuer));
        self.fetch_assignment(gateway);
        let tenant = self.plan.senders[sender].name.clone();
        let part = part_of(&self.assignment, &tenant, token_issuer);
        self.token_refused(request, part, None);
    }

    fn token_refused(&mut self, request: u64, part: Option<Part>, wait_ms: Option<u64>) {
        let Some(held) = self.requests.get_mut(&request) else { return };
        held.open_token_request = None;
        let Some(part) = part else {
            self.reject(request);
            return;
        };
        held.refused.push(PartRefusal { part, wait_ms });
        self.step(request);
    }

    fn reject(&mut self, request: u64) {
        let Some(held) = self.requests.remove(&request) else { return };
        if held.is_within && self.plan.senders[held.sender].surge.is_none() {
            self.outcome.rejected_within_limit += 1;
        }
    }

    fn send(&mut self, request: u64, expires_at: u64) {
        let Some(held) = self.requests.get_mut(&request) else { return };
        let (gateway, sender) = (held.gateway, held.sender);
        let wake = self.gateways[gateway].frozen_until;
        if wake > self.now {
            self.at(wake, Event::Send { request, expires_at });
            return;
        }
        if self.stalled_until > self.now {
            let free = self.stalled_until + self.random.random_range(0..50);
            self.at(free, Event::Send { request, expires_at });
            return;
        }
        if self.now >= expires_at {
            held.refused.clear();
            self.step(request);
            return;
        }
        self.requests.remove(&request);
        let tenant = self.plan.senders[sender].name.clone();
        self.outcome.sends.entry(tenant).or_default().push(self.now);
    }

    fn fetch_assignment(&mut self, gateway: usize) {
        let is_partitioned = self.gateways[gateway].partitioned_until > self.now;
        if self.leader.is_none() || is_partitioned {
            return;
        }
        let assignment = self.assignment.clone();
        let delay = self.delay() + self.delay();
        self.after(delay, Event::AssignmentArrives { gateway, assignment });
    }

    fn probe(&mut self, gateway: usize) {
        self.after(PROBE_INTERVAL_MS, Event::Probe { gateway });
        if self.gateways[gateway].selector.assignment().version == 0 {
            self.fetch_assignment(gateway);
        }
        if self.gateways[gateway].partitioned_until > self.now {
            return;
        }
        for name in self.gateways[gateway].selector.unreachable() {
            let is_up = |store: &Store| {
                store.up && store.partitioned_until <= self.now && store.frozen_until <= self.now
            };
            let mut named = (0..self.plan.stores).filter(|store| store_name(*store) == name);
            if named.any(|store| is_up(&self.stores[store])) {
                self.gateways[gateway].selector.mark_reachable(&name);
            }
        }
    }

    fn renew(&mut self, store: usize, incarnation: u64) {
        if self.stores[store].incarnation != incarnation || !self.stores[store].up {
            return;
        }
        if self.stores[store].frozen_until > self.now {
            let wake = self.stores[store].frozen_until;
            self.at(wake, Event::Renew { store, incarnation });
            return;
        }
        self.after(RENEW_INTERVAL_MS, Event::Renew { store, incarnation });
        let mut delay = self.delay();
        if self.stores[store].partitioned_until > self.now {
            delay += self.stores[store].partitioned_until - self.now;
        }
        let requested_at = self.now;
        self.after(delay, Event::RenewArrives { store, incarnation, requested_at });
    }

    fn renew_arrives(&mut self, store: usize, incarnation: u64, requested_at: u64) {
        let Some((leader, _, _)) = &self.leader else { return };
        let leader = *leader;
        let now = self.store_time(leader);
        let Some((_, _, lease_manager)) = &mut self.leader else { return };
        let leases = lease_manager.renew(now, &self.assignment, &store_name(store));
        let mut delay = self.delay();
        if self.stores[store].partitioned_until > self.now {
            delay += self.stores[store].partitioned_until - self.now;
        }
        self.after(delay, Event::Renewed { store, incarnation, requested_at, leases });
    }

    fn apply_leases(
        &mut self,
        store: usize,
        incarnation: u64,
        requested_at: u64,
        leases: Vec<SlotLease>,
    ) {
        if self.stores[store].incarnation != incarnation {
            return;
        }
        if self.stores[store].frozen_until > self.now {
            let wake = self.stores[store].frozen_until;
            self.at(wake, Event::Renewed { store, incarnation, requested_at, leases });
            return;
        }
        let now = self.store_time(store);
        let requested_at = Timestamp(requested_at + self.stores[store].offset);
        self.stores[store].token_issuer.apply_leases(now, requested_at, &leases);
    }

    fn assign_slots(&mut self) {
        self.after(ASSIGN_INTERVAL_MS, Event::AssignSlots);
        let Some((leader, term, _)) = &self.leader else { return };
        let (leader, term) = (*leader, *term);
        let is_up = |store: &usize| {
            let held = &self.stores[*store];
            held.up && held.partitioned_until <= self.now && held.frozen_until <= self.now
        };
        let candidates: Vec<Candidate> = (0..self.plan.stores)
            .filter(is_up)
            .map(|store| Candidate { name: store_name(store), zone: format!("hall-{}", store % 3) })
            .collect();
        let now = self.store_time(leader);
        let Some((_, _, lease_manager)) = &mut self.leader else { return };
        let changes = lease_manager.plan(now, &self.assignment, &candidates, &store_name(leader));
        if !changes.is_empty() {
            self.after(5, Event::Commit { term, changes });
        }
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::KillStore { store, for_ms, .. } => {
                let held = &mut self.stores[store];
                held.up = false;
                held.incarnation += 1;
                held.token_issuer = TokenIssuer::new(self.bounds);
                self.after(for_ms, Event::StartStore { store });
                if self.leader.as_ref().is_some_and(|(leader, _, _)| *leader == store) {
                    self.lose_leader(2_000);
                }
            }
            Fault::PartitionStore { store, for_ms, .. } => {
                self.stores[store].partitioned_until = self.now + for_ms;
                if self.leader.as_ref().is_some_and(|(leader, _, _)| *leader == store) {
                    self.lose_leader(2_000);
                }
            }
            Fault::FreezeStore { store, for_ms, .. } => {
                self.stores[store].frozen_until = self.now + for_ms;
                if self.leader.as_ref().is_some_and(|(leader, _, _)| *leader == store) {
                    self.lose_leader(2_000);
                }
            }
            Fault::LoseLeader { gap_ms, .. } => self.lose_leader(gap_ms),
            Fault::PartitionGateway { gateway, for_ms, .. } => {
                self.gateways[gateway].partitioned_until = self.now + for_ms;
            }
            Fault::FreezeGateway { gateway, for_ms, .. } => {
                self.gateways[gateway].frozen_until = self.now + for_ms;
            }
            Fault::StallBackEnds { for_ms, .. } => self.stalled_until = self.now + for_ms,
            Fault::SetLimits { percent, within_ms, .. } => {
                self.version += 1;
                self.limit_percent = percent;
                for gateway in 0..self.plan.gateways {
                    let delay = self.random.random_range(1..within_ms);
                    self.after(delay, Event::LimitsArrive { gateway, percent });
                }
            }
        }
    }

    fn lose_leader(&mut self, gap_ms: u64) {
        let Some((old, _, _)) = self.leader.take() else { return };
        self.term += 1;
        let eligible: HashSet<usize> = (0..self.plan.stores)
            .filter(|store| *store != old && self.stores[*store].up)
            .filter(|store| self.stores[*store].partitioned_until <= self.now)
            .filter(|store| self.stores[*store].frozen_until <= self.now)
            .collect();
        let next = (old + 1..old + self.plan.stores).map(|store| store % self.plan.stores);
        let next = next.into_iter().find(|store| eligible.contains(store)).unwrap_or(old);
        self.after(gap_ms, Event::BecomeLeader { store: next, term: self.term });
    }
}

/// The part of a tenant's limit that a job store currently holds according to the log.
fn part_of(assignment: &Assignment, tenant: &TenantName, store: usize) -> Option<Part> {
    let name = store_name(store);
    let mut parts = (0..yokefall_quota::PARTS_PER_LIMIT).map(Part);
    parts.find(|part| assignment.is_holder(SlotId::of(tenant, *part), &name))
}

fn start_of(fault: Fault) -> u64 {
    match fault {
        Fault::KillStore { at_ms, .. }
        | Fault::PartitionStore { at_ms, .. }
        | Fault::FreezeStore { at_ms, .. }
        | Fault::LoseLeader { at_ms, .. }
        | Fault::PartitionGateway { at_ms, .. }
        | Fault::FreezeGateway { at_ms, .. }
        | Fault::StallBackEnds { at_ms, .. }
        | Fault::SetLimits { at_ms, .. } => at_ms,
    }
}
