//! The state of one request at its home daemon, and copies held for other home daemons.

use yokefall_peer::RecordCopy;
use yokefall_types::{CallHeader, NodeName, Refusal, RefusalReason};

use crate::time::Timestamp;

#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Copies are being sent; the call is sent to `owner` next.
    Copying {
        owner: NodeName,
    },
    Executing {
        owner: NodeName,
    },
    /// Follows an execution that another home daemon started.
    Adopting,
    Backoff {
        until: Timestamp,
    },
    Ended,
}

/// One incarnation of a daemon that holds copies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Holder {
    pub(super) node: NodeName,
    pub(super) incarnation: u64,
}

/// A copy held for another home daemon, and the holders that have it or are being sent it.
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
    /// Daemons to which the copy of this attempt was sent.
    pub(super) copied_to: Vec<Holder>,
    pub(super) confirmed_holders: Vec<NodeName>,
    pub(super) failed_holders: Vec<NodeName>,
    /// Whether this attempt was sent, so that its owner may have sent the call to a back end.
    pub(super) sent: bool,
    /// Whether the owner of this attempt reported that a back end runs it.
    pub(super) started: bool,
    /// Whether any earlier attempt ran; `None` if unknown.
    pub(super) earlier_executed: Option<bool>,
}

impl Record {
    /// Whether the call ran in any attempt; `None` if unknown.
    fn executed(&self) -> Option<bool> {
        let this_attempt = match (self.started, self.sent) {
            (true, _) => Some(true),
            (false, true) => None,
            (false, false) => Some(false),
        };
        either_executed(self.earlier_executed, this_attempt)
    }

    /// Starts a new attempt, which has no copies yet.
    pub(super) fn begin_attempt(&mut self, owner: NodeName) {
        self.stage = Stage::Copying { owner };
        self.copied_to.clear();
        self.confirmed_holders.clear();
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
        copied_to: Vec::new(),
        confirmed_holders: Vec::new(),
        failed_holders: Vec::new(),
        sent: false,
        started: false,
        earlier_executed: Some(false),
    }
}

/// Whether either attempt ran: `false` only if both are known not to have run, `None` if unknown.
pub(super) fn either_executed(left: Option<bool>, right: Option<bool>) -> Option<bool> {
    match (left, right) {
        (Some(true), _) | (_, Some(true)) => Some(true),
        (Some(false), Some(false)) => Some(false),
        _ => None,
    }
}
