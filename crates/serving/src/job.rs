//! Batch jobs as exchanged between the ingress and the job store.

use borsh::{BorshDeserialize, BorshSerialize};

/// One item of a submission.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct JobItem {
    /// Id of the item, also used as the id of the request that runs it.
    pub id: String,
    /// Path of the request.
    pub path: String,
    /// Headers of the request.
    pub headers: Vec<ItemHeader>,
    /// Body of the request.
    pub body: Vec<u8>,
    /// Prompt tokens plus maximum output tokens.
    pub tokens: u64,
}

/// Size of an item's record without its body and headers, in bytes.
const RECORD_BYTES: usize = 200;

impl JobItem {
    /// Approximate memory used by the item, in bytes.
    pub fn held_bytes(&self) -> usize {
        let headers = self.headers.iter().map(|header| header.name.len() + header.value.len());
        RECORD_BYTES + self.body.len() + headers.sum::<usize>()
    }
}

/// A header of an item's request.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ItemHeader {
    /// Name.
    pub name: String,
    /// Value.
    pub value: String,
}

/// Final state of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum ItemState {
    /// The output is complete.
    Completed,
    /// The item was abandoned.
    Abandoned,
}

/// The result of one item.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct PositionedResult {
    /// Id of the item.
    pub id: String,
    /// Final state of the item.
    pub state: ItemState,
    /// Data of all events in order, separated by line feeds.
    pub text: String,
}

/// Results of a job from a given position on.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ResultPage {
    /// Number of items of the job.
    pub total: u64,
    /// Results ordered by position.
    pub results: Vec<PositionedResult>,
    /// Position after the last result.
    pub next: u64,
}
