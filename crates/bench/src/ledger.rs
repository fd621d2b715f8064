//! Record of a stand-in's executions, kept by the stand-in and so independent of the product.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};

use crate::text::base_id;

/// How an execution ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionEnd {
    /// Still running.
    Running,
    /// The complete answer was produced.
    Finished,
    /// Cancelled, or its connection was closed.
    Cancelled,
    /// Ended by an injected fault.
    Failed,
}

/// One execution.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Request id as received from the product.
    pub engine_id: String,
    /// How it ended.
    pub end: ExecutionEnd,
    /// Tokens produced.
    pub tokens: u32,
}

/// Executions of one or more stand-ins, in order of their start.
#[derive(Debug, Default)]
pub struct Ledger {
    executions: Mutex<Vec<Execution>>,
}

/// Number of an execution within a ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExecutionNumber(usize);

/// Executions of one request or item, over all attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExecutionCounts {
    /// Executions started.
    pub begun: u32,
    /// Executions that produced the complete answer.
    pub finished: u32,
}

impl Ledger {
    fn lock(&self) -> MutexGuard<'_, Vec<Execution>> {
        self.executions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the start of an execution.
    pub fn begin(&self, engine_id: &str) -> ExecutionNumber {
        let mut executions = self.lock();
        executions.push(Execution {
            engine_id: engine_id.to_owned(),
            end: ExecutionEnd::Running,
            tokens: 0,
        });
        ExecutionNumber(executions.len() - 1)
    }

    /// Records how an execution ended. Only the first end counts.
    pub fn end(&self, number: ExecutionNumber, end: ExecutionEnd, tokens: u32) {
        if let Some(execution) = self.lock().get_mut(number.0) {
            if execution.end == ExecutionEnd::Running {
                execution.end = end;
                execution.tokens = tokens;
            }
        }
    }

    /// A copy of every entry.
    pub fn entries(&self) -> Vec<Execution> {
        self.lock().clone()
    }

    /// Executions by request or item id, without the attempt number.
    pub fn counts(&self) -> HashMap<String, ExecutionCounts> {
        let mut counts: HashMap<String, ExecutionCounts> = HashMap::new();
        for execution in self.lock().iter() {
            let entry = counts.entry(base_id(&execution.engine_id).to_owned()).or_default();
            entry.begun += 1;
            entry.finished += u32::from(execution.end == ExecutionEnd::Finished);
        }
        counts
    }
}
