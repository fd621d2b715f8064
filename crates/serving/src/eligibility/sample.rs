//! Random samples of candidates for one request.
//!
//! Choosing a back end looks at each candidate. Among thousands, a small random sample does as
//! well: the best of 128 is among the least loaded 2.3 % of all in 95 of 100 samples. All processes
//! together use back ends alike because each is sampled with equal probability.

use std::sync::Arc;

use rand::Rng;

use crate::backend_table::BackendTable;
use crate::model::Backend;

/// Largest number not sampled: up to here, looking at all costs as much as sampling.
const MAX_UNSAMPLED: usize = 256;
/// Sample size. Sampling and choosing takes 35 us of a core with 1,000 as with 20,000 back ends,
/// compared with 1 ms for a choice among all of 10,000 without load data.
const SAMPLE_SIZE: usize = 128;
/// Back ends preferred by a prompt prefix: the second is used while the first has no capacity.
const PREFERRED_COUNT: usize = 2;

/// Back ends sampled for one request.
#[derive(Clone, Debug, PartialEq)]
pub struct CandidateSample {
    /// The sampled back ends, without duplicates.
    pub backends: Vec<Arc<Backend>>,
    /// Back ends that hold the request's prefix if any does, first choice first.
    pub preferred: Vec<Arc<Backend>>,
    /// Sampled back ends as a fraction of all.
    pub fraction: f64,
}

impl CandidateSample {
    /// Samples from disjoint tables; `None` if there are few enough back ends to look at all.
    pub fn of(
        tables: &[&BackendTable],
        affinity: Option<u64>,
        generator: &mut impl Rng,
    ) -> Option<Self> {
        let count: usize = tables.iter().map(|table| table.len()).sum();
        if count <= MAX_UNSAMPLED {
            return None;
        }
        let mut backends: Vec<Arc<Backend>> = Vec::with_capacity(SAMPLE_SIZE);
        for _ in 0..SAMPLE_SIZE {
            let position = generator.random_range(0..count);
            backends.extend(table_at(tables, position)?.sample(generator).cloned());
        }
        backends.sort_unstable_by_key(Arc::as_ptr);
        backends.dedup_by_key(|backend| Arc::as_ptr(backend));
        let largest = tables.iter().max_by_key(|table| table.len())?;
        let preferred =
            affinity.map(|key| largest.preferred(key, PREFERRED_COUNT)).unwrap_or_default();
        let fraction = backends.len() as f64 / count as f64;
        Some(Self { backends, preferred: preferred.into_iter().cloned().collect(), fraction })
    }

    /// Keeps the back ends that `permitted` returns; `None` from `permitted` keeps all.
    pub(super) fn filtered(
        mut self,
        permitted: impl Fn(&[Arc<Backend>]) -> Option<Vec<Arc<Backend>>>,
    ) -> Self {
        if let Some(remaining) = permitted(&self.backends) {
            self.backends = remaining;
        }
        if let Some(remaining) = permitted(&self.preferred) {
            self.preferred = remaining;
        }
        self
    }
}

/// The table at a position in the concatenation of all: large tables are sampled more often.
fn table_at<'a>(tables: &[&'a BackendTable], position: usize) -> Option<&'a BackendTable> {
    let mut remaining = position;
    tables.iter().copied().find(|table| {
        let is_here = remaining < table.len();
        remaining = remaining.saturating_sub(table.len());
        is_here
    })
}
