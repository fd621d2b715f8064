//! Items that are given up, and output that must be in the log before a run goes on from it.

use std::time::Duration;

use yokefall_serving::ItemState;

use crate::protocol::Frame;
use crate::state::{Command, Run};
use crate::store::{ProposeError, Store};

/// Frames to the next leader about an item that can never be done, and the pause between two: together
/// longer than an election takes.
const MAX_UNPROCESSABLE_NOTICES: u32 = 10;
const UNPROCESSABLE_NOTICE_INTERVAL: Duration = Duration::from_millis(200);

/// Looks for output that was proposed, and the pause between two.
const MAX_APPLY_POLLS: u32 = 50;
const APPLY_POLL_INTERVAL: Duration = Duration::from_millis(20);

impl Store {
    /// Waits until the output of an item up to an event is applied here, or will not be.
    pub async fn wait_until_applied(&self, job: &str, item: u32, event: u64) {
        for _ in 0..MAX_APPLY_POLLS {
            let applied = self.with_job(job, |job| {
                job.open.get(&item).is_none_or(|open| open.partial.last_event >= event)
            });
            if applied != Some(false) || !self.is_leader() {
                return;
            }
            tokio::time::sleep(APPLY_POLL_INTERVAL).await;
        }
    }

    /// Gives an item up; returns when that is in the log, or the lead is lost.
    pub async fn abandon(&self, job: &str, item: u32) -> Result<(), ProposeError> {
        self.propose(&abandonment(job, item)).await
    }

    /// Gives an item up where this replica leads and the item has no result.
    pub fn abandon_detached(&self, job: &str, item: u32) {
        let is_open = self.with_job(job, |job| job.open.contains_key(&item));
        if is_open == Some(true) {
            self.propose_detached(&abandonment(job, item));
        }
    }

    /// Gives an item up that can never be done. Invariant: what a back end told of it outlives the
    /// lead of the replica that was told; each further leader would else run the item again. A replica
    /// that has lost the lead tells the next leader, several times, since a frame may be lost.
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

fn abandonment(job: &str, item: u32) -> Command {
    Command::Finish {
        job: job.to_owned(),
        item,
        state: ItemState::Abandoned,
        run: Run::default(),
        after_event: 0,
        text: None,
    }
}
