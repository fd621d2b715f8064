//! Datagrams that broadcast what a process learned; exchanges with job stores deliver lost ones.

use std::cmp::Reverse;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use yokefall_serving::FleetCell;

use crate::message::{SuspectReport, SuspectUpdate};
use crate::registry::Registry;

/// Maximum number of requests in one notice, a datagram of about 1 KB.
const UPDATES_PER_NOTICE: usize = 8;
/// Delay before a notice: one crash breaks several connections at once, reported together.
const BATCH_DELAY: Duration = Duration::from_millis(4);
/// Interval after a notice per receiver: 500 datagrams per second, about 3 ms of processor time.
/// After large losses, the requests with the fewest crashes come later.
const SEND_INTERVAL_PER_PROCESS: Duration = Duration::from_millis(2);

/// Broadcasts what this process learns until the process exits. `outgoing` carries encoded notices.
pub async fn publish(registry: Rc<Registry>, fleet: FleetCell, outgoing: UnboundedSender<Vec<u8>>) {
    loop {
        if registry.unpublished.borrow().is_empty() {
            registry.has_unpublished.notified().await;
        }
        tokio::time::sleep(BATCH_DELAY).await;
        let report = registry.report_of(next_updates(&registry));
        // Encoding into memory cannot fail for these types.
        let Ok(notice) = borsh::to_vec(&report) else { continue };
        if outgoing.send(notice).is_err() {
            // The control thread has stopped, and the process is about to.
            return;
        }
        let processes = fleet.load().members.len() as u32;
        tokio::time::sleep(SEND_INTERVAL_PER_PROCESS * processes).await;
    }
}

/// Updates for the requests with the most crashes.
fn next_updates(registry: &Registry) -> Vec<SuspectUpdate> {
    let mut unpublished = registry.unpublished.borrow_mut();
    unpublished.sort_by_key(|digest| Reverse(registry.crash_count(digest)));
    let count = unpublished.len().min(UPDATES_PER_NOTICE);
    unpublished.drain(..count).filter_map(|digest| registry.update_for(&digest)).collect()
}

/// Applies the notices of other processes until this process exits.
pub async fn receive(registry: Rc<Registry>, mut incoming: UnboundedReceiver<Vec<u8>>) {
    while let Some(notice) = incoming.recv().await {
        match borsh::from_slice::<SuspectReport>(&notice) {
            Ok(report) => registry.take(report),
            // Malformed: the next exchange delivers its content again.
            Err(_) => metrics::counter!("suspect_notices_spoilt_total").increment(1),
        }
    }
}
