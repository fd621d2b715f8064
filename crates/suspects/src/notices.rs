//! Notices: what a process learnt by itself of suspects, told to all others at once in datagrams. They may
//! be lost; a regular exchange with job stores brings what was missed.

use std::cmp::Reverse;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use yokefall_serving::FleetCell;

use crate::message::{SuspectNews, SuspectReport};
use crate::registry::Registry;

/// Requests in one notice, which is one datagram of about 1 KB.
const UPDATES_PER_NOTICE: usize = 8;
/// Time in which what belongs to one end is collected: several connections break off at once.
const BATCH_DELAY: Duration = Duration::from_millis(4);
/// Pause after a notice for each process that got it: 500 datagrams a second, some 3 ms of processor time.
/// After the loss of many back ends at once the requests with the fewest ends are told later.
const SEND_INTERVAL_PER_PROCESS: Duration = Duration::from_millis(2);

/// Tells other processes for ever what this one learns. `outgoing` carries encoded notices to them.
pub async fn tell(registry: Rc<Registry>, fleet: FleetCell, outgoing: UnboundedSender<Vec<u8>>) {
    loop {
        if registry.unpublished.borrow().is_empty() {
            registry.has_unpublished.notified().await;
        }
        tokio::time::sleep(BATCH_DELAY).await;
        let report = registry.report_of(next_updates(&registry));
        // Encoding into memory fails for no value of these types.
        let Ok(notice) = borsh::to_vec(&report) else { continue };
        if outgoing.send(notice).is_err() {
            // The control thread has ended, and the process ends with it.
            return;
        }
        let processes = fleet.load().members.len() as u32;
        tokio::time::sleep(SEND_INTERVAL_PER_PROCESS * processes).await;
    }
}

/// News of the requests with the most ends.
fn next_updates(registry: &Registry) -> Vec<SuspectNews> {
    let mut unpublished = registry.unpublished.borrow_mut();
    unpublished.sort_by_key(|digest| Reverse(registry.crash_count(digest)));
    let count = unpublished.len().min(UPDATES_PER_NOTICE);
    unpublished.drain(..count).filter_map(|digest| registry.news_of(&digest)).collect()
}

/// Takes the notices of other processes for ever.
pub async fn hear(registry: Rc<Registry>, mut incoming: UnboundedReceiver<Vec<u8>>) {
    while let Some(notice) = incoming.recv().await {
        match borsh::from_slice::<SuspectReport>(&notice) {
            Ok(report) => registry.take(report),
            // Not whole: what it said comes again with the next exchange.
            Err(_) => metrics::counter!("suspect_notices_spoilt_total").increment(1),
        }
    }
}
