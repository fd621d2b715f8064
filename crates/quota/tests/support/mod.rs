//! A fleet in virtual time: gateways, job stores, the lead among them, and what goes wrong. The replicated
//! log is taken for granted: one assignment, at most one leader, and a gap between two leads.

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

/// Time for an accountant to answer, as in the gateway.
const ASK_TIMEOUT_MS: u64 = 120;
/// Interval between probes, as in the gateway.
const PROBE_INTERVAL_MS: u64 = 700;
/// Interval between two looks of the leader.
const OVERSEE_INTERVAL_MS: u64 = 500;
/// Time before the first request: the lead is settled and buckets are full.
pub const LEAD_IN_MS: u64 = 14_000;

/// A tenant and how much it sends.
#[derive(Clone, Debug)]
pub struct Sender {
    /// Name.
    pub name: TenantName,
    /// Limit in force at the start.
    pub limit: RateLimit,
    /// Requests a second.
    pub rate: f64,
    /// Times its rate from a moment on, for a while.
    pub surge: Option<Surge>,
}

/// A tenant sends more for a while.
#[derive(Clone, Copy, Debug)]
pub struct Surge {
    pub from_ms: u64,
    pub until_ms: u64,
    pub times: f64,
}

/// Something that goes wrong; times are from the first request on.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// A job store is killed and begins a new life later.
    KillStore { at_ms: u64, store: usize, for_ms: u64 },
    /// Job stores are cut off from the others and from gateways; what is on its way comes afterwards.
    CutStore { at_ms: u64, store: usize, for_ms: u64 },
    /// A job store stands still; its clock goes on.
    FreezeStore { at_ms: u64, store: usize, for_ms: u64 },
    /// The leader is lost; another job store leads after the gap.
    LoseLeader { at_ms: u64, gap_ms: u64 },
    /// A gateway reaches no job store.
    CutGateway { at_ms: u64, gateway: usize, for_ms: u64 },
    /// A gateway stands still, with tokens in hand.
    FreezeGateway { at_ms: u64, gateway: usize, for_ms: u64 },
    /// Back ends have no room; what has a token is held, and all of it is sent when they have.
    StallBackEnds { at_ms: u64, for_ms: u64 },
    /// All limits are this part of what they were; gateways learn of it within the time.
    SetLimits { at_ms: u64, percent: u64, within_ms: u64 },
}

/// What a run is made of.
pub struct Plan {
    pub seed: u64,
    pub gateways: usize,
    pub stores: usize,
    pub senders: Vec<Sender>,
    pub faults: Vec<Fault>,
    pub length_ms: u64,
    /// Gateways that clients use; all where none is given.
    pub used_gateways: Option<usize>,
}

/// What a run showed.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Moments of sends, by tenant.
    pub sends: BTreeMap<TenantName, Vec<u64>>,
    /// Requests that were within the limit by a bucket that sees them all, of tenants that send their
    /// usual.
    pub within_limit: u64,
    /// Of them, those that were refused.
    pub refused_within: u64,
    /// The same of tenants that send more than they may. Which of their requests are the ones within the
    /// limit is anybody's choice: what counts is how many are sent.
    pub within_limit_of_hot: u64,
    /// Asks that accountants answered.
    pub asks: u64,
    /// Most asks that one job store answered.
    pub most_asks: u64,
}

impl Outcome {
    /// Refused part of the requests that were within the limit.
    pub fn refused_share(&self) -> f64 {
        self.refused_within as f64 / self.within_limit.max(1) as f64
    }

    /// The largest number of sends of a tenant in a window that begins at `from_ms` or later.
    pub fn most_in_window(&self, tenant: &TenantName, window_ms: u64, from_ms: u64) -> usize {
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
    asked_at: u64,
    /// The ask that is open.
    open_ask: Option<u64>,
    is_within: bool,
    hold_ms: u64,
}

enum Event {
    Arrive { sender: usize },
    Step { request: u64 },
    AskArrives { store: usize, life: u64, request: u64, number: u64, ask: TokenRequest },
    Answer { request: u64, number: u64, token_issuer: usize, grant: TokenGrant },
    Timeout { request: u64, number: u64, token_issuer: usize },
    Send { request: u64, expires_at: u64 },
    Renew { store: usize, life: u64 },
    RenewArrives { store: usize, life: u64, asked_at: u64 },
    Renewed { store: usize, life: u64, asked_at: u64, leases: Vec<SlotLease> },
    Oversee,
    Commit { lead: u64, changes: Vec<(SlotId, String)> },
    Probe { gateway: usize },
    Learn { gateway: usize, assignment: Assignment },
    LearnLimits { gateway: usize, percent: u64 },
    Begin(Fault),
    StartStore { store: usize },
    Lead { store: usize, lead: u64 },
}

struct Store {
    token_issuer: TokenIssuer,
    life: u64,
    up: bool,
    cut_until: u64,
    frozen_until: u64,
    offset: u64,
    asks: u64,
}

struct Gateway {
    meter: IssuerSelector,
    cut_until: u64,
    frozen_until: u64,
    offset: u64,
    limit_percent: u64,
    version: u64,
}

/// The fleet.
pub struct Fleet {
    plan: Plan,
    random: StdRng,
    now: u64,
    sequence: u64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    held: HashMap<u64, Event>,
    stores: Vec<Store>,
    gateways: Vec<Gateway>,
    assignment: Assignment,
    /// The leader with the number of its lead.
    leader: Option<(usize, u64, LeaseManager)>,
    lead: u64,
    requests: HashMap<u64, Request>,
    next_request: u64,
    next_ask: u64,
    /// Buckets of whole limits, which see every request at once: units of a thousandth of a request.
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
    /// A fleet that has not begun.
    pub fn new(plan: Plan) -> Self {
        let mut random = StdRng::seed_from_u64(plan.seed);
        let bounds = QuotaBounds::default();
        let stores = (0..plan.stores).map(|_| Store {
            token_issuer: TokenIssuer::new(bounds),
            life: 0,
            up: true,
            cut_until: 0,
            frozen_until: 0,
            offset: random.random_range(0..1_000_000),
            asks: 0,
        });
        let stores = stores.collect();
        let gateways = (0..plan.gateways).map(|gateway| Gateway {
            meter: IssuerSelector::new(format!("edge-{gateway}")),
            cut_until: 0,
            frozen_until: 0,
            offset: random.random_range(0..1_000_000),
            limit_percent: 100,
            version: 1,
        });
        let gateways = gateways.collect();
        let reference =
            plan.senders.iter().map(|sender| (sender.limit.burst * 1_000, LEAD_IN_MS)).collect();
        Self {
            plan,
            random,
            now: 0,
            sequence: 0,
            events: BinaryHeap::new(),
            held: HashMap::new(),
            stores,
            gateways,
            assignment: Assignment::default(),
            leader: None,
            lead: 0,
            requests: HashMap::new(),
            next_request: 0,
            next_ask: 0,
            reference,
            limit_percent: 100,
            version: 1,
            stalled_until: 0,
            outcome: Outcome::default(),
            bounds,
        }
    }

    /// Plays it to the end.
    pub fn run(mut self) -> Outcome {
        for store in 0..self.plan.stores {
            let at = self.random.random_range(0..RENEW_INTERVAL_MS);
            self.at(at, Event::Renew { store, life: 0 });
        }
        self.at(300, Event::Lead { store: 0, lead: 1 });
        self.lead = 1;
        self.at(400, Event::Oversee);
        for gateway in 0..self.plan.gateways {
            let at = self.random.random_range(0..PROBE_INTERVAL_MS);
            self.at(at, Event::Probe { gateway });
        }
        for sender in 0..self.plan.senders.len() {
            self.at(LEAD_IN_MS, Event::Arrive { sender });
        }
        for fault in self.plan.faults.clone() {
            self.at(LEAD_IN_MS + begin_of(fault), Event::Begin(fault));
        }
        let end = LEAD_IN_MS + self.plan.length_ms;
        while let Some(Reverse((at, number))) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(event) = self.held.remove(&number) {
                self.handle(event);
            }
        }
        self.outcome.most_asks = self.stores.iter().map(|store| store.asks).max().unwrap_or(0);
        self.outcome.asks = self.stores.iter().map(|store| store.asks).sum();
        self.outcome
    }

    fn at(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence)));
        self.held.insert(self.sequence, event);
    }

    fn after(&mut self, ms: u64, event: Event) {
        self.at(self.now + ms, event);
    }

    /// Time on the way, longer now and then.
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
            Event::AskArrives { store, life, request, number, ask } => {
                self.ask_arrives(store, life, request, number, ask);
            }
            Event::Answer { request, number, token_issuer, grant } => {
                self.answer(request, number, token_issuer, grant);
            }
            Event::Timeout { request, number, token_issuer } => {
                self.timeout(request, number, token_issuer);
            }
            Event::Send { request, expires_at } => self.send(request, expires_at),
            Event::Renew { store, life } => self.renew(store, life),
            Event::RenewArrives { store, life, asked_at } => {
                self.renew_arrives(store, life, asked_at);
            }
            Event::Renewed { store, life, asked_at, leases } => {
                self.apply_leases(store, life, asked_at, leases);
            }
            Event::Oversee => self.oversee(),
            Event::Commit { lead, changes } => {
                if self.leader.as_ref().is_some_and(|(_, held, _)| *held == lead) {
                    self.assignment.assign(changes);
                }
            }
            Event::Probe { gateway } => self.probe(gateway),
            Event::Learn { gateway, assignment } => {
                self.gateways[gateway].meter.set_assignment(assignment);
            }
            Event::LearnLimits { gateway, percent } => {
                self.gateways[gateway].limit_percent = percent;
                self.gateways[gateway].version = self.version;
            }
            Event::Begin(fault) => self.begin(fault),
            Event::StartStore { store } => {
                let life = self.stores[store].life;
                self.stores[store].up = true;
                self.after(1, Event::Renew { store, life });
            }
            Event::Lead { store, lead } => {
                let now = self.store_time(store);
                self.leader = Some((store, lead, LeaseManager::new(now)));
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
        let since = self.now - LEAD_IN_MS;
        if let Some(surge) = self.plan.senders[sender].surge {
            if (surge.from_ms..surge.until_ms).contains(&since) {
                rate *= surge.times;
            }
        }
        let gap = -(self.random.random_range(f64::EPSILON..1.0f64)).ln() / rate * 1_000.0;
        self.after((gap as u64).max(1), Event::Arrive { sender });
        let is_within = self.is_within(sender);
        let is_hot = self.plan.senders[sender].surge.is_some();
        match (is_within, is_hot) {
            (true, false) => self.outcome.within_limit += 1,
            (true, true) => self.outcome.within_limit_of_hot += 1,
            (false, _) => {}
        }
        let used = self.plan.used_gateways.unwrap_or(self.plan.gateways);
        let gateway = self.random.random_range(0..used);
        // A few are held for want of free slots.
        let is_held = self.random.random_range(0..20) == 0;
        let hold_ms = if is_held { self.random.random_range(0..1_000) } else { 0 };
        let request = self.next_request;
        self.next_request += 1;
        let held = Request {
            gateway,
            sender,
            refused: Vec::new(),
            asked_at: self.now,
            open_ask: None,
            is_within,
            hold_ms,
        };
        self.requests.insert(request, held);
        self.step(request);
    }

    /// Whether a bucket that sees all requests of the tenant has a token.
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
        let step = self.gateways[gateway].meter.next_step(now, &tenant, &refused);
        let (part, token_issuer) = match step {
            NextStep::Ask { part, token_issuer } => (part, token_issuer),
            NextStep::OverLimit { .. } | NextStep::Unknown => {
                self.refuse(request);
                return;
            }
        };
        let store = (0..self.plan.stores).find(|store| store_name(*store) == token_issuer);
        let store = store.expect("a job store of the fleet");
        let percent = self.gateways[gateway].limit_percent;
        let limit = self.limit_of(sender, percent);
        let version = self.gateways[gateway].version;
        let ask = TokenRequest { tenant, part, limit, version, tokens: 1 };
        let number = self.next_ask;
        self.next_ask += 1;
        if let Some(held) = self.requests.get_mut(&request) {
            held.open_ask = Some(number);
            held.asked_at = self.now;
        }
        let life = self.stores[store].life;
        let mut delay = self.delay();
        let cut = self.gateways[gateway].cut_until.max(self.stores[store].cut_until);
        if cut > self.now {
            // What is on its way through a cut comes when it heals.
            delay += cut - self.now;
        }
        self.after(delay, Event::AskArrives { store, life, request, number, ask });
        self.after(ASK_TIMEOUT_MS, Event::Timeout { request, number, token_issuer: store });
    }

    fn ask_arrives(
        &mut self,
        store: usize,
        life: u64,
        request: u64,
        number: u64,
        ask: TokenRequest,
    ) {
        let held = &self.stores[store];
        if !held.up || held.life != life {
            return;
        }
        if held.frozen_until > self.now {
            let wake = held.frozen_until;
            self.at(wake, Event::AskArrives { store, life, request, number, ask });
            return;
        }
        let now = self.store_time(store);
        self.stores[store].asks += 1;
        let grant = self.stores[store].token_issuer.take(now, &ask);
        let mut delay = self.delay();
        if self.stores[store].cut_until > self.now {
            delay += self.stores[store].cut_until - self.now;
        }
        self.after(delay, Event::Answer { request, number, token_issuer: store, grant });
    }

    fn answer(&mut self, request: u64, number: u64, token_issuer: usize, grant: TokenGrant) {
        let Some(held) = self.requests.get(&request) else { return };
        if held.open_ask != Some(number) {
            return;
        }
        let (gateway, sender, asked_at) = (held.gateway, held.sender, held.asked_at);
        if self.gateways[gateway].frozen_until > self.now {
            let wake = self.gateways[gateway].frozen_until;
            self.at(wake, Event::Answer { request, number, token_issuer, grant });
            return;
        }
        self.gateways[gateway].meter.mark_reachable(&store_name(token_issuer));
        let tenant = self.plan.senders[sender].name.clone();
        let part = part_of(&self.assignment, &tenant, token_issuer);
        match grant {
            TokenGrant::Granted { tokens, .. } if tokens > 0 => {
                let expires_at = asked_at + self.bounds.token_lifetime().as_millis() as u64;
                let hold_ms = held.hold_ms;
                if let Some(held) = self.requests.get_mut(&request) {
                    held.open_ask = None;
                    held.hold_ms = 0;
                }
                self.after(hold_ms, Event::Send { request, expires_at });
            }
            TokenGrant::Granted { wait_ms, .. } => {
                let now = self.gateway_time(gateway);
                if let Some(part) = part {
                    self.gateways[gateway].meter.mark_exhausted(now, &tenant, part, wait_ms);
                }
                self.refused(request, part, Some(wait_ms));
            }
            TokenGrant::NotHeld => {
                self.learn(gateway);
                self.refused(request, part, None);
            }
        }
    }

    fn timeout(&mut self, request: u64, number: u64, token_issuer: usize) {
        let Some(held) = self.requests.get(&request) else { return };
        if held.open_ask != Some(number) {
            return;
        }
        let (gateway, sender) = (held.gateway, held.sender);
        self.gateways[gateway].meter.mark_unreachable(&store_name(token_issuer));
        self.learn(gateway);
        let tenant = self.plan.senders[sender].name.clone();
        let part = part_of(&self.assignment, &tenant, token_issuer);
        self.refused(request, part, None);
    }

    fn refused(&mut self, request: u64, part: Option<Part>, wait_ms: Option<u64>) {
        let Some(held) = self.requests.get_mut(&request) else { return };
        held.open_ask = None;
        let Some(part) = part else {
            self.refuse(request);
            return;
        };
        held.refused.push(PartRefusal { part, wait_ms });
        self.step(request);
    }

    fn refuse(&mut self, request: u64) {
        let Some(held) = self.requests.remove(&request) else { return };
        if held.is_within && self.plan.senders[held.sender].surge.is_none() {
            self.outcome.refused_within += 1;
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

    fn learn(&mut self, gateway: usize) {
        let is_cut = self.gateways[gateway].cut_until > self.now;
        if self.leader.is_none() || is_cut {
            return;
        }
        let assignment = self.assignment.clone();
        let delay = self.delay() + self.delay();
        self.after(delay, Event::Learn { gateway, assignment });
    }

    fn probe(&mut self, gateway: usize) {
        self.after(PROBE_INTERVAL_MS, Event::Probe { gateway });
        if self.gateways[gateway].meter.assignment().version == 0 {
            self.learn(gateway);
        }
        if self.gateways[gateway].cut_until > self.now {
            return;
        }
        for name in self.gateways[gateway].meter.unreachable() {
            let is_up = |store: &Store| {
                store.up && store.cut_until <= self.now && store.frozen_until <= self.now
            };
            let mut named = (0..self.plan.stores).filter(|store| store_name(*store) == name);
            if named.any(|store| is_up(&self.stores[store])) {
                self.gateways[gateway].meter.mark_reachable(&name);
            }
        }
    }

    fn renew(&mut self, store: usize, life: u64) {
        if self.stores[store].life != life || !self.stores[store].up {
            return;
        }
        if self.stores[store].frozen_until > self.now {
            let wake = self.stores[store].frozen_until;
            self.at(wake, Event::Renew { store, life });
            return;
        }
        self.after(RENEW_INTERVAL_MS, Event::Renew { store, life });
        let mut delay = self.delay();
        if self.stores[store].cut_until > self.now {
            delay += self.stores[store].cut_until - self.now;
        }
        let asked_at = self.now;
        self.after(delay, Event::RenewArrives { store, life, asked_at });
    }

    fn renew_arrives(&mut self, store: usize, life: u64, asked_at: u64) {
        let Some((leader, _, _)) = &self.leader else { return };
        let leader = *leader;
        let now = self.store_time(leader);
        let Some((_, _, lease_manager)) = &mut self.leader else { return };
        let leases = lease_manager.renew(now, &self.assignment, &store_name(store));
        let mut delay = self.delay();
        if self.stores[store].cut_until > self.now {
            delay += self.stores[store].cut_until - self.now;
        }
        self.after(delay, Event::Renewed { store, life, asked_at, leases });
    }

    fn apply_leases(&mut self, store: usize, life: u64, asked_at: u64, leases: Vec<SlotLease>) {
        if self.stores[store].life != life {
            return;
        }
        if self.stores[store].frozen_until > self.now {
            let wake = self.stores[store].frozen_until;
            self.at(wake, Event::Renewed { store, life, asked_at, leases });
            return;
        }
        let now = self.store_time(store);
        let asked_at = Timestamp(asked_at + self.stores[store].offset);
        self.stores[store].token_issuer.apply_leases(now, asked_at, &leases);
    }

    fn oversee(&mut self) {
        self.after(OVERSEE_INTERVAL_MS, Event::Oversee);
        let Some((leader, lead, _)) = &self.leader else { return };
        let (leader, lead) = (*leader, *lead);
        let is_up = |store: &usize| {
            let held = &self.stores[*store];
            held.up && held.cut_until <= self.now && held.frozen_until <= self.now
        };
        let candidates: Vec<Candidate> = (0..self.plan.stores)
            .filter(is_up)
            .map(|store| Candidate { name: store_name(store), zone: format!("hall-{}", store % 3) })
            .collect();
        let now = self.store_time(leader);
        let Some((_, _, lease_manager)) = &mut self.leader else { return };
        let changes = lease_manager.plan(now, &self.assignment, &candidates, &store_name(leader));
        if !changes.is_empty() {
            self.after(5, Event::Commit { lead, changes });
        }
    }

    fn begin(&mut self, fault: Fault) {
        match fault {
            Fault::KillStore { store, for_ms, .. } => {
                let held = &mut self.stores[store];
                held.up = false;
                held.life += 1;
                held.token_issuer = TokenIssuer::new(self.bounds);
                self.after(for_ms, Event::StartStore { store });
                if self.leader.as_ref().is_some_and(|(leader, _, _)| *leader == store) {
                    self.lose_leader(2_000);
                }
            }
            Fault::CutStore { store, for_ms, .. } => {
                self.stores[store].cut_until = self.now + for_ms;
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
            Fault::CutGateway { gateway, for_ms, .. } => {
                self.gateways[gateway].cut_until = self.now + for_ms;
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
                    self.after(delay, Event::LearnLimits { gateway, percent });
                }
            }
        }
    }

    fn lose_leader(&mut self, gap_ms: u64) {
        let Some((old, _, _)) = self.leader.take() else { return };
        self.lead += 1;
        let fit: HashSet<usize> = (0..self.plan.stores)
            .filter(|store| *store != old && self.stores[*store].up)
            .filter(|store| self.stores[*store].cut_until <= self.now)
            .filter(|store| self.stores[*store].frozen_until <= self.now)
            .collect();
        let next = (old + 1..old + self.plan.stores).map(|store| store % self.plan.stores);
        let next = next.into_iter().find(|store| fit.contains(store)).unwrap_or(old);
        self.after(gap_ms, Event::Lead { store: next, lead: self.lead });
    }
}

/// The part of a tenant's limit that a job store holds now, as the log has it.
fn part_of(assignment: &Assignment, tenant: &TenantName, store: usize) -> Option<Part> {
    let name = store_name(store);
    let mut parts = (0..yokefall_quota::PARTS).map(Part);
    parts.find(|part| assignment.is_holder(SlotId::of(tenant, *part), &name))
}

fn begin_of(fault: Fault) -> u64 {
    match fault {
        Fault::KillStore { at_ms, .. }
        | Fault::CutStore { at_ms, .. }
        | Fault::FreezeStore { at_ms, .. }
        | Fault::LoseLeader { at_ms, .. }
        | Fault::CutGateway { at_ms, .. }
        | Fault::FreezeGateway { at_ms, .. }
        | Fault::StallBackEnds { at_ms, .. }
        | Fault::SetLimits { at_ms, .. } => at_ms,
    }
}
