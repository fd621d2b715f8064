//! Running batch items and their stop signals.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio_util::sync::CancellationToken;
use yokefall_core::admission::Ticket;

#[derive(Debug, Default)]
pub struct ItemTable {
    stops: Mutex<HashMap<Ticket, CancellationToken>>,
}

impl ItemTable {
    fn lock(&self) -> MutexGuard<'_, HashMap<Ticket, CancellationToken>> {
        self.stops.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn insert(&self, ticket: Ticket) -> CancellationToken {
        let stop = CancellationToken::new();
        self.lock().insert(ticket, stop.clone());
        stop
    }

    pub fn stop(&self, ticket: Ticket) {
        if let Some(stop) = self.lock().get(&ticket) {
            stop.cancel();
        }
    }

    pub fn remove(&self, ticket: Ticket) {
        self.lock().remove(&ticket);
    }
}
