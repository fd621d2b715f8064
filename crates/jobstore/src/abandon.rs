//! Abandoning items, and waiting until the output of an item is applied before its run is resumed.

use std::time::Duration;

use yokefall_serving::ItemState;

use crate::protocol::Frame;
use crate::state::{Command, Run};
use crate::store::{ProposeError, Store};

/// Number of notices sent to the next leader about an unprocessable item, and the interval between
/// them. Together they span more than an election.
const MAX_UNPROCESSABLE_NOTICES: u32 = 10;
const UNPROCESSABLE_NOTICE_INTERVAL: Duration = Duration::from_millis(200);

impl Store {
    /// Abandons an item. Returns once this is committed, or leadership is lost.
    pub async fn abandon(&self, job: &str, item: u32) -> Result<(), ProposeError> {
        self.propose(&abandonment(job, item)).await
    }

    /// Abandons an item without waiting, if this replica leads and the item has no result.
    pub fn abandon_detached(&self, job: &str, item: u32) {
        let is_open = self.with_job(job, |job| job.open.contains_key(&item));
        if is_open == Some(true) {
            self.propose_detached(&abandonment(job, item));
        }
    }

    /// Abandons an item that a back end reported as unprocessable. Invariant: the verdict outlives
    /// the leadership of its receiver; otherwise each later leader would run the item again. After
    /// losing leadership it notifies the next leader, repeatedly, since frames may be lost.
    pub async fn abandon_unprocessable(&self, job: &str, item: u32) {
        if self.abandon(job, item).await.is_ok() {
            return;
        }
        for _ in 0..MAX_UNPROCESSABLE_NOTICES {
            if self.is_leader() {
                self.abandon_detached(job, item);
            } else if let Some(leader) = self.leader() {
                self.send_frame(&leader, &Frame::Unprocessable { job: job.to_owned(), item });
            }
            tokio::time::sleep(UNPROCESSABLE_NOTICE_INTERVAL).await;
        }
    }
}

/// The command that abandons an item.
pub(crate) fn abandonment(job: &str, item: u32) -> Command {
    Command::Finish {
        job: job.to_owned(),
        item,
        state: ItemState::Abandoned,
        run: Run::default(),
        after_event: 0,
        text: None,
    }
}
