//! Some back ends out of many, drawn by chance for one request.
//!
//! The choice of a back end looks at each candidate. Where a service has thousands, a few drawn by chance do as well:
//! of 128, one is among the emptiest 2.3 % of all in 95 of 100 draws, and all processes together still use every back
//! end alike, since each draw is as likely to name one as any other.

use std::sync::Arc;

use rand::Rng;

use crate::backend_table::BackendTable;
use crate::model::Backend;

/// Most back ends that are all looked at: for so many that costs what drawing does.
const MOST_LOOKED_AT: usize = 256;
/// Back ends that are drawn out of more than that. Drawing and choosing takes 35 us of a core before 1,000 and 20,000 back
/// ends alike; a choice among all of 10,000 takes 1 ms, with nothing known of any.
const DRAWN: usize = 128;
/// Back ends that requests with the same prefix prefer: the second takes them while the first has no room.
const PREFERRED: usize = 2;

/// Back ends that were drawn for one request.
#[derive(Clone, Debug, PartialEq)]
pub struct CandidateSample {
    /// The back ends, each once.
    pub backends: Vec<Arc<Backend>>,
    /// Those that hold the request's prefix if any does, the first choice first.
    pub preferred: Vec<Arc<Backend>>,
    /// Part that the drawn ones are of all.
    pub fraction: f64,
}

impl CandidateSample {
    /// Draws from tables that have no back end in common; `None` where there are so few that all can be looked at.
    pub fn of(
        tables: &[&BackendTable],
        affinity: Option<u64>,
        generator: &mut impl Rng,
    ) -> Option<Self> {
        let count: usize = tables.iter().map(|table| table.len()).sum();
        if count <= MOST_LOOKED_AT {
            return None;
        }
        let mut backends: Vec<Arc<Backend>> = Vec::with_capacity(DRAWN);
        for _ in 0..DRAWN {
            let place = generator.random_range(0..count);
            backends.extend(table_at(tables, place)?.sample(generator).cloned());
        }
        backends.sort_unstable_by_key(Arc::as_ptr);
        backends.dedup_by_key(|backend| Arc::as_ptr(backend));
        let largest = tables.iter().max_by_key(|table| table.len())?;
        let preferred = affinity.map(|key| largest.preferred(key, PREFERRED)).unwrap_or_default();
        let fraction = backends.len() as f64 / count as f64;
        Some(Self { backends, preferred: preferred.into_iter().cloned().collect(), fraction })
    }

    /// The same without those that `open` leaves out; it gives `None` where it leaves out none.
    pub(super) fn filtered(
        mut self,
        open: impl Fn(&[Arc<Backend>]) -> Option<Vec<Arc<Backend>>>,
    ) -> Self {
        if let Some(left) = open(&self.backends) {
            self.backends = left;
        }
        if let Some(left) = open(&self.preferred) {
            self.preferred = left;
        }
        self
    }
}

/// The table to which a place in all of them together belongs: large ones are drawn from more often.
fn table_at<'a>(tables: &[&'a BackendTable], place: usize) -> Option<&'a BackendTable> {
    let mut left = place;
    tables.iter().copied().find(|table| {
        let is_here = left < table.len();
        left = left.saturating_sub(table.len());
        is_here
    })
}
