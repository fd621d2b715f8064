//! A gateway's choice of whom to ask for a token, and what it concludes from the answers.

use std::collections::{BTreeSet, HashMap};

use yokefall_core::Timestamp;
use yokefall_types::TenantName;

use crate::assignment::Assignment;
use crate::slot::{order_of, Part, SlotId};

/// What a gateway does next for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Asks an accountant.
    Ask {
        /// The part of the limit.
        part: Part,
        /// Name of its accountant.
        token_issuer: String,
    },
    /// Every part is spent: the tenant is at its limit.
    OverLimit {
        /// Milliseconds until one of them has a token.
        wait_ms: u64,
    },
    /// Some accountants are not known or do not answer, and the others have no token.
    Unknown,
}

/// A part that was asked for a token in vain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartRefusal {
    /// The part.
    pub part: Part,
    /// Milliseconds until it has a token; `None` where its accountant gave no answer.
    pub wait_ms: Option<u64>,
}

/// What a gateway knows of accountants and of limits that are spent.
#[derive(Debug)]
pub struct IssuerSelector {
    gateway: String,
    assignment: Assignment,
    spent_until: HashMap<(TenantName, Part), Timestamp>,
    /// Accountants that gave no answer; requests are not held up by asking them again.
    failing: BTreeSet<String>,
}

impl IssuerSelector {
    /// The meter of a gateway of this name.
    pub fn new(gateway: String) -> Self {
        Self {
            gateway,
            assignment: Assignment::default(),
            spent_until: HashMap::new(),
            failing: BTreeSet::new(),
        }
    }

    /// The assignment that is known here; of version 0 where none is.
    pub fn assignment(&self) -> &Assignment {
        &self.assignment
    }

    /// Takes a newer assignment.
    pub fn set_assignment(&mut self, assignment: Assignment) {
        if assignment.version > self.assignment.version {
            self.assignment = assignment;
            self.spent_until.clear();
        }
    }

    /// The parts of a tenant's limit in the order in which this gateway asks for them.
    pub fn order(&self, tenant: &TenantName) -> impl Iterator<Item = Part> {
        order_of(&self.gateway, tenant)
    }

    /// What to do for a request of a tenant to which some parts gave no token.
    pub fn next_step(
        &self,
        now: Timestamp,
        tenant: &TenantName,
        refused: &[PartRefusal],
    ) -> NextStep {
        let mut earliest: Option<u64> = None;
        let mut is_unknown = false;
        for part in self.order(tenant) {
            let asked = refused.iter().find(|refused| refused.part == part);
            let spent = self.spent_until.get(&(tenant.clone(), part));
            let spent = spent.filter(|until| **until > now).map(|until| until.millis_since(now));
            if let Some(wait) = spent.or(asked.and_then(|refused| refused.wait_ms)) {
                earliest = Some(earliest.map_or(wait, |held| held.min(wait)));
                continue;
            }
            if asked.is_some() {
                is_unknown = true;
                continue;
            }
            let holder = self.assignment.holder(SlotId::of(tenant, part));
            match holder.filter(|holder| !self.failing.contains(&holder.name)) {
                Some(holder) => return NextStep::Ask { part, token_issuer: holder.name.clone() },
                None => is_unknown = true,
            }
        }
        match earliest {
            Some(wait_ms) if !is_unknown => NextStep::OverLimit { wait_ms },
            _ => NextStep::Unknown,
        }
    }

    /// The accountant of a part of a tenant's limit; `None` where none is known that answers.
    pub fn token_issuer(&self, tenant: &TenantName, part: Part) -> Option<String> {
        let holder = self.assignment.holder(SlotId::of(tenant, part))?;
        (!self.failing.contains(&holder.name)).then(|| holder.name.clone())
    }

    /// What is known of each part of a tenant's limit, for a line.
    pub fn describe(&self, now: Timestamp, tenant: &TenantName) -> String {
        let part = |part: Part| {
            let Some(holder) = self.assignment.holder(SlotId::of(tenant, part)) else {
                return format!("part {}: nobody", part.0);
            };
            let is_spent =
                self.spent_until.get(&(tenant.clone(), part)).is_some_and(|at| *at > now);
            let state = match (self.failing.contains(&holder.name), is_spent) {
                (true, _) => "gave no answer",
                (false, true) => "has no token",
                (false, false) => "answers",
            };
            format!("part {}: {} {state}", part.0, holder.name)
        };
        self.order(tenant).map(part).collect::<Vec<String>>().join(", ")
    }

    /// A part has no token for a while.
    pub fn mark_exhausted(
        &mut self,
        now: Timestamp,
        tenant: &TenantName,
        part: Part,
        wait_ms: u64,
    ) {
        self.spent_until.insert((tenant.clone(), part), now.plus_millis(wait_ms.max(1)));
    }

    /// An accountant gave no answer.
    pub fn mark_unreachable(&mut self, token_issuer: &str) {
        self.failing.insert(token_issuer.to_owned());
    }

    /// An accountant answers.
    pub fn mark_reachable(&mut self, token_issuer: &str) {
        self.failing.remove(token_issuer);
    }

    /// Accountants that gave no answer and are to be tried again aside from requests.
    pub fn unreachable(&self) -> Vec<String> {
        let is_accountant =
            |name: &&String| SlotId::all().any(|slot| self.assignment.is_holder(slot, name));
        self.failing.iter().filter(is_accountant).cloned().collect()
    }

    /// Drops what no longer holds.
    pub fn expire(&mut self, now: Timestamp) {
        self.spent_until.retain(|_, until| *until > now);
    }
}
