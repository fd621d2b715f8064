//! What a home daemon knows of one request, and what a holder keeps for another home.

use yokefall_peer::RecordCopy;
use yokefall_types::{CallHeader, NodeName, Refusal, RefusalReason};

use crate::time::Timestamp;

#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    Copying { owner: NodeName },
    Executing { owner: NodeName },
    Adopting,
    Backoff { until: Timestamp },
    Ended,
}

/// One life of a daemon that holds copies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Holder {
    pub(super) node: NodeName,
    pub(super) incarnation: u64,
}

/// A copy held for another home daemon, and the holders that it is known or meant to have.
#[derive(Clone, Debug)]
pub(super) struct HeldCopy {
    pub(super) copy: RecordCopy,
    pub(super) holders: Vec<Holder>,
}

#[derive(Clone, Debug)]
pub(super) struct Record {
    pub(super) header: CallHeader,
    pub(super) digest: u64,
    pub(super) deadline: Timestamp,
    pub(super) stage: Stage,
    pub(super) attempt: u32,
    pub(super) tried: Vec<NodeName>,
    /// Daemons that were sent the copy of this attempt.
    pub(super) asked: Vec<Holder>,
    /// Daemons that hold it.
    pub(super) held_by: Vec<NodeName>,
    pub(super) failed_holders: Vec<NodeName>,
    /// Whether the owner of this attempt may have sent the call to a back end.
    pub(super) sent: bool,
    /// Whether the owner of this attempt reported that a back end runs it.
    pub(super) started: bool,
    /// What is known of the attempts before this one: whether any ran.
    pub(super) earlier_ran: Option<bool>,
}

impl Record {
    /// Whether the call ran, over all attempts.
    fn executed(&self) -> Option<bool> {
        let this_attempt = match (self.started, self.sent) {
            (true, _) => Some(true),
            (false, true) => None,
            (false, false) => Some(false),
        };
        either_ran(self.earlier_ran, this_attempt)
    }

    /// Another attempt, of which no daemon has a copy yet.
    pub(super) fn begin_attempt(&mut self, owner: NodeName) {
        self.stage = Stage::Copying { owner };
        self.asked.clear();
        self.held_by.clear();
        self.failed_holders.clear();
    }

    pub(super) fn refusal(&self, reason: RefusalReason, detail: &str) -> Refusal {
        Refusal {
            reason,
            executed: self.executed(),
            retry_after_ms: None,
            detail: detail.to_owned(),
        }
    }
}

pub(super) fn new_record(now: Timestamp, header: CallHeader, digest: u64, stage: Stage) -> Record {
    let deadline = now.plus_millis(header.deadline_ms);
    Record {
        header,
        digest,
        deadline,
        stage,
        attempt: 0,
        tried: Vec::new(),
        asked: Vec::new(),
        held_by: Vec::new(),
        failed_holders: Vec::new(),
        sent: false,
        started: false,
        earlier_ran: Some(false),
    }
}

/// Whether either of two attempts ran: known only when one is known to have, or both not to have.
pub(super) fn either_ran(left: Option<bool>, right: Option<bool>) -> Option<bool> {
    match (left, right) {
        (Some(true), _) | (_, Some(true)) => Some(true),
        (Some(false), Some(false)) => Some(false),
        _ => None,
    }
}
