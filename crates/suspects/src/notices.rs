//! Notices: what a process learnt by itself of suspects, told to all others at once in datagrams. They may
//! be lost; a regular exchange with job stores brings what was missed.

use std::cmp::Reverse;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use yokefall_serving::FleetCell;

use crate::message::{SuspectReport, SuspectUpdate};
use crate::registry::Registry;

/// Requests in one notice, which is one datagram of about 1 KB.
const NEWS_IN_NOTICE: usize = 8;
/// Time in which what belongs to one end is collected: several connections break off at once.
const COLLECTING_TIME: Duration = Duration::from_millis(4);
/// Pause after a notice for each process that got it: 500 datagrams a second, some 3 ms of processor time.
/// After the loss of many back ends at once the requests with the fewest ends are told later.
const PAUSE_PER_PROCESS: Duration = Duration::from_millis(2);

/// Tells other processes for ever what this one learns. `outgoing` carries encoded notices to them.
pub async fn publish(registry: Rc<Registry>, fleet: FleetCell, outgoing: UnboundedSender<Vec<u8>>) {
    loop {
        if registry.untold.borrow().is_empty() {
            registry.has_untold.notified().await;
        }
        tokio::time::sleep(COLLECTING_TIME).await;
        let report = registry.report_of(next_news(&registry));
        // Encoding into memory fails for no value of these types.
        let Ok(notice) = borsh::to_vec(&report) else { continue };
        if outgoing.send(notice).is_err() {
            // The control thread has ended, and the process ends with it.
            return;
        }
        let processes = fleet.load().members.len() as u32;
        tokio::time::sleep(PAUSE_PER_PROCESS * processes).await;
    }
}

/// News of the requests with the most ends.
fn next_news(registry: &Registry) -> Vec<SuspectUpdate> {
    let mut untold = registry.untold.borrow_mut();
    untold.sort_by_key(|digest| Reverse(registry.repeats(digest)));
    let count = untold.len().min(NEWS_IN_NOTICE);
    untold.drain(..count).filter_map(|digest| registry.update_for(&digest)).collect()
}

/// Takes the notices of other processes for ever.
pub async fn receive(registry: Rc<Registry>, mut incoming: UnboundedReceiver<Vec<u8>>) {
    while let Some(notice) = incoming.recv().await {
        match borsh::from_slice::<SuspectReport>(&notice) {
            Ok(report) => registry.take(report),
            // Not whole: what it said comes again with the next exchange.
            Err(_) => metrics::counter!("suspect_notices_spoilt_total").increment(1),
        }
    }
}
