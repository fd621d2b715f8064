//! Batch jobs as they pass between the ingress and the job store.

use borsh::{BorshDeserialize, BorshSerialize};

/// One item of a submission.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct JobItem {
    /// Id, also the id of the request that runs it.
    pub id: String,
    /// Path of the request.
    pub path: String,
    /// Headers of the request.
    pub headers: Vec<ItemHeader>,
    /// Body of the request.
    pub body: Vec<u8>,
    /// Prompt and most output together, in tokens.
    pub tokens: u64,
}

/// Bytes of an item's record beside its body and headers.
const RECORD_BYTES: usize = 200;

impl JobItem {
    /// About the bytes that it takes.
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

/// How an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum ItemState {
    /// Its whole output is there.
    Completed,
    /// It was given up.
    Abandoned,
}

/// A result at its position.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct PositionedResult {
    /// Id of the item.
    pub id: String,
    /// How it ended.
    pub state: ItemState,
    /// Data of all events in order, separated by line feeds.
    pub text: String,
}

/// Results of a job from one position on.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ResultPage {
    /// Items of the job.
    pub total: u64,
    /// Results in order of position.
    pub results: Vec<PositionedResult>,
    /// Position after the last of them.
    pub next: u64,
}
