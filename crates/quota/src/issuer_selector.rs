//! A gateway's selection of the token issuer to ask, and the state it derives from responses.

use std::collections::{BTreeSet, HashMap};

use yokefall_core::Timestamp;
use yokefall_types::TenantName;

use crate::assignment::Assignment;
use crate::slot::{part_order, Part, SlotId};

/// Next step of a gateway for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Ask a token issuer.
    Ask {
        /// The part of the limit.
        part: Part,
        /// Name of its issuer.
        token_issuer: String,
    },
    /// Every part is exhausted: the tenant is at its limit.
    OverLimit {
        /// Time until one of them has a token, in milliseconds.
        wait_ms: u64,
    },
    /// Some issuers are unknown or unreachable, and the others have no token.
    Unknown,
}

/// A part that gave no token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartRefusal {
    /// The part.
    pub part: Part,
    /// Time until it has a token, in milliseconds; `None` if its issuer did not respond.
    pub wait_ms: Option<u64>,
}

/// A gateway's knowledge of issuers and of exhausted parts.
#[derive(Debug)]
pub struct IssuerSelector {
    gateway: String,
    assignment: Assignment,
    exhausted_until: HashMap<(TenantName, Part), Timestamp>,
    /// Issuers that did not respond, probed separately so that requests do not wait for them.
    unreachable: BTreeSet<String>,
}

impl IssuerSelector {
    /// Creates the selector of the gateway with this name.
    pub fn new(gateway: String) -> Self {
        Self {
            gateway,
            assignment: Assignment::default(),
            exhausted_until: HashMap::new(),
            unreachable: BTreeSet::new(),
        }
    }

    /// The current assignment; version 0 if none is known.
    pub fn assignment(&self) -> &Assignment {
        &self.assignment
    }

    /// Replaces the assignment if the given one is newer.
    pub fn set_assignment(&mut self, assignment: Assignment) {
        if assignment.version > self.assignment.version {
            self.assignment = assignment;
            self.exhausted_until.clear();
        }
    }

    /// The order in which this gateway tries the parts of a tenant's limit.
    pub fn order(&self, tenant: &TenantName) -> impl Iterator<Item = Part> {
        part_order(&self.gateway, tenant)
    }

    /// The next step for a request, given the parts that gave no token so far.
    pub fn next_step(
        &self,
        now: Timestamp,
        tenant: &TenantName,
        refused: &[PartRefusal],
    ) -> NextStep {
        let mut earliest: Option<u64> = None;
        let mut is_unknown = false;
        for part in self.order(tenant) {
            let refusal = refused.iter().find(|refused| refused.part == part);
            let exhausted = self.exhausted_until.get(&(tenant.clone(), part));
            let exhausted =
                exhausted.filter(|until| **until > now).map(|until| until.millis_since(now));
            if let Some(wait) = exhausted.or(refusal.and_then(|refused| refused.wait_ms)) {
                earliest = Some(earliest.map_or(wait, |held| held.min(wait)));
                continue;
            }
            if refusal.is_some() {
                is_unknown = true;
                continue;
            }
            let holder = self.assignment.holder(SlotId::of(tenant, part));
            match holder.filter(|holder| !self.unreachable.contains(&holder.name)) {
                Some(holder) => return NextStep::Ask { part, token_issuer: holder.name.clone() },
                None => is_unknown = true,
            }
        }
        match earliest {
            Some(wait_ms) if !is_unknown => NextStep::OverLimit { wait_ms },
            _ => NextStep::Unknown,
        }
    }

    /// The issuer of a part of a tenant's limit; `None` if it is unknown or unreachable.
    pub fn token_issuer(&self, tenant: &TenantName, part: Part) -> Option<String> {
        let holder = self.assignment.holder(SlotId::of(tenant, part))?;
        (!self.unreachable.contains(&holder.name)).then(|| holder.name.clone())
    }

    /// Describes the state of each part of a tenant's limit for a log line.
    pub fn describe(&self, now: Timestamp, tenant: &TenantName) -> String {
        let part = |part: Part| {
            let Some(holder) = self.assignment.holder(SlotId::of(tenant, part)) else {
                return format!("part {}: nobody", part.0);
            };
            let is_exhausted =
                self.exhausted_until.get(&(tenant.clone(), part)).is_some_and(|at| *at > now);
            let state = match (self.unreachable.contains(&holder.name), is_exhausted) {
                (true, _) => "gave no answer",
                (false, true) => "has no token",
                (false, false) => "answers",
            };
            format!("part {}: {} {state}", part.0, holder.name)
        };
        self.order(tenant).map(part).collect::<Vec<String>>().join(", ")
    }

    /// Records that a part has no token for `wait_ms`.
    pub fn mark_exhausted(
        &mut self,
        now: Timestamp,
        tenant: &TenantName,
        part: Part,
        wait_ms: u64,
    ) {
        self.exhausted_until.insert((tenant.clone(), part), now.plus_millis(wait_ms.max(1)));
    }

    /// Records that an issuer did not respond.
    pub fn mark_unreachable(&mut self, token_issuer: &str) {
        self.unreachable.insert(token_issuer.to_owned());
    }

    /// Records that an issuer responds.
    pub fn mark_reachable(&mut self, token_issuer: &str) {
        self.unreachable.remove(token_issuer);
    }

    /// Issuers that did not respond and should be probed.
    pub fn unreachable(&self) -> Vec<String> {
        let is_issuer =
            |name: &&String| SlotId::all().any(|slot| self.assignment.is_holder(slot, name));
        self.unreachable.iter().filter(is_issuer).cloned().collect()
    }

    /// Drops exhausted parts whose wait has passed.
    pub fn expire(&mut self, now: Timestamp) {
        self.exhausted_until.retain(|_, until| *until > now);
    }
}
