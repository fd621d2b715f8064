//! Decides what a process sends about origins of streams, and when again.

use std::collections::HashMap;
use std::net::SocketAddr;

use yokefall_core::Timestamp;

use crate::message::OriginMessage;
use crate::origin::{StreamKey, StreamOrigin};
use crate::table::OriginTable;

/// Times after which an unacknowledged record is sent again, in milliseconds: several times what a
/// datagram takes between regions. Some members run older builds and never answer.
const RECORD_RESENDS_MS: [u64; 3] = [60, 180, 540];
/// Times after which a query is sent again to those that did not answer, in milliseconds.
const QUERY_RESENDS_MS: [u64; 2] = [45, 90];
/// Time after which a query ends, in milliseconds. The client waits meanwhile.
const QUERY_TIMEOUT_MS: u64 = 180;
/// Maximum number of unacknowledged records that are sent again.
const MAX_PENDING_RECORDS: usize = 4_096;

/// A message to another process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiver.
    pub to: SocketAddr,
    /// The message.
    pub message: OriginMessage,
}

/// Outcome of a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueryOutcome {
    /// The stream began there.
    Found(StreamOrigin),
    /// None of the processes that may hold a record has one.
    NotRecorded,
    /// No record was found, and some processes did not answer or none could be asked.
    Unanswered,
}

impl QueryOutcome {
    /// Name of the outcome in log lines and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            QueryOutcome::Found(_) => "found",
            QueryOutcome::NotRecorded => "not-recorded",
            QueryOutcome::Unanswered => "unanswered",
        }
    }
}

/// Processes that have not answered, and the resends to them.
#[derive(Debug)]
struct Pending {
    unanswered: Vec<SocketAddr>,
    began_at: Timestamp,
    resends: usize,
}

impl Pending {
    fn new(now: Timestamp, unanswered: Vec<SocketAddr>) -> Self {
        Self { unanswered, began_at: now, resends: 0 }
    }

    /// When to send again; `None` after the last resend.
    fn next_resend(&self, resends_ms: &[u64]) -> Option<Timestamp> {
        resends_ms.get(self.resends).map(|after_ms| self.began_at.plus_millis(*after_ms))
    }

    /// The processes to send to again, if it is time.
    fn take_resends(&mut self, now: Timestamp, resends_ms: &[u64]) -> &[SocketAddr] {
        if self.next_resend(resends_ms).is_none_or(|at| at > now) {
            return &[];
        }
        self.resends += 1;
        &self.unanswered
    }

    fn record_answer(&mut self, from: SocketAddr) {
        self.unanswered.retain(|address| *address != from);
    }
}

/// The records of one process and its messages about them.
#[derive(Debug, Default)]
pub struct OriginExchange {
    table: OriginTable,
    records: HashMap<StreamKey, Pending>,
    queries: HashMap<StreamKey, Pending>,
    ended_queries: Vec<(StreamKey, QueryOutcome)>,
}

impl OriginExchange {
    /// Records where a stream began, here and at `holders`.
    pub fn record(
        &mut self,
        now: Timestamp,
        key: StreamKey,
        origin: StreamOrigin,
        holders: Vec<SocketAddr>,
    ) -> Vec<Outgoing> {
        self.table.insert(now, key, origin.clone());
        let message = OriginMessage::Record { key, origin };
        let outgoing = addressed(&holders, &message);
        if !holders.is_empty() && self.records.len() < MAX_PENDING_RECORDS {
            self.records.insert(key, Pending::new(now, holders));
        }
        outgoing
    }

    /// Begins to ask `holders` for a record, unless it is held here or they are being asked. The
    /// outcome is one of `take_outcomes`.
    pub fn query(
        &mut self,
        now: Timestamp,
        key: StreamKey,
        holders: Vec<SocketAddr>,
    ) -> Vec<Outgoing> {
        if let Some(origin) = self.table.get(now, &key) {
            self.ended_queries.push((key, QueryOutcome::Found(origin.clone())));
            return Vec::new();
        }
        if self.queries.contains_key(&key) {
            return Vec::new();
        }
        if holders.is_empty() {
            self.ended_queries.push((key, QueryOutcome::Unanswered));
            return Vec::new();
        }
        let outgoing = addressed(&holders, &OriginMessage::Query { key });
        self.queries.insert(key, Pending::new(now, holders));
        outgoing
    }

    /// Handles a message from another process.
    pub fn receive(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        message: OriginMessage,
    ) -> Vec<Outgoing> {
        match message {
            OriginMessage::Record { key, origin } => {
                self.table.insert(now, key, origin);
                vec![Outgoing { to: from, message: OriginMessage::Recorded { key } }]
            }
            OriginMessage::Recorded { key } => {
                let Some(pending) = self.records.get_mut(&key) else { return Vec::new() };
                pending.record_answer(from);
                if pending.unanswered.is_empty() {
                    self.records.remove(&key);
                }
                Vec::new()
            }
            OriginMessage::Query { key } => {
                let origin = self.table.get(now, &key).cloned();
                vec![Outgoing { to: from, message: OriginMessage::Reply { key, origin } }]
            }
            OriginMessage::Reply { key, origin } => {
                self.receive_reply(from, key, origin);
                Vec::new()
            }
        }
    }

    fn receive_reply(&mut self, from: SocketAddr, key: StreamKey, origin: Option<StreamOrigin>) {
        let Some(pending) = self.queries.get_mut(&key) else { return };
        pending.record_answer(from);
        let outcome = match origin {
            Some(origin) => QueryOutcome::Found(origin),
            None if pending.unanswered.is_empty() => QueryOutcome::NotRecorded,
            None => return,
        };
        self.queries.remove(&key);
        self.ended_queries.push((key, outcome));
    }

    /// Sends again what was not answered, and ends queries that took too long.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        let table = &self.table;
        self.records.retain(|key, pending| {
            let Some(origin) = table.get(now, key) else { return false };
            let message = OriginMessage::Record { key: *key, origin: origin.clone() };
            outgoing.extend(addressed(pending.take_resends(now, &RECORD_RESENDS_MS), &message));
            pending.next_resend(&RECORD_RESENDS_MS).is_some()
        });
        let ended = &mut self.ended_queries;
        self.queries.retain(|key, pending| {
            if now >= pending.began_at.plus_millis(QUERY_TIMEOUT_MS) {
                ended.push((*key, QueryOutcome::Unanswered));
                return false;
            }
            let message = OriginMessage::Query { key: *key };
            outgoing.extend(addressed(pending.take_resends(now, &QUERY_RESENDS_MS), &message));
            true
        });
        outgoing
    }

    /// When `tick` must be called next; `None` if nothing is pending.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let records = self.records.values();
        let resends = records.filter_map(|pending| pending.next_resend(&RECORD_RESENDS_MS));
        let queries = self.queries.values().map(|pending| {
            let timeout = pending.began_at.plus_millis(QUERY_TIMEOUT_MS);
            pending.next_resend(&QUERY_RESENDS_MS).map_or(timeout, |resend| resend.min(timeout))
        });
        resends.chain(queries).min()
    }

    /// The queries that ended since the last call.
    pub fn take_outcomes(&mut self) -> Vec<(StreamKey, QueryOutcome)> {
        std::mem::take(&mut self.ended_queries)
    }

    /// Whether a stream of the last minute, as far as it is recorded here, began at another software
    /// version of the same service.
    pub fn has_other_version(&mut self, now: Timestamp, origin: &StreamOrigin) -> bool {
        self.table.has_other_version(now, origin)
    }

    /// Number of records kept here.
    pub fn held_records(&self) -> usize {
        self.table.len()
    }
}

fn addressed(receivers: &[SocketAddr], message: &OriginMessage) -> Vec<Outgoing> {
    receivers.iter().map(|to| Outgoing { to: *to, message: message.clone() }).collect()
}
