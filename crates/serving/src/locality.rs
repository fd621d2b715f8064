//! Whether requests stay in the local region.

use crate::water_filling::{water_level, LoadLevel};

/// The fraction of all requests that belongs to the back ends of the local region, if these can
/// take it; `None` if back ends of other regions are needed.
///
/// `expected` is the number of requests of all processes that are not reported yet. Only the local
/// fraction of it counts, because requests of other regions go to their own back ends: counting all
/// of them made a region look full at a fifth of its load, and 45 of 100 requests left it.
pub fn local_fraction(local: &[LoadLevel], remote: &[LoadLevel], expected: f64) -> Option<f64> {
    let slots = |levels: &[LoadLevel]| levels.iter().map(|level| level.slots).sum::<f64>();
    let all = slots(local) + slots(remote);
    let fraction = if all > 0.0 { slots(local) / all } else { 1.0 };
    let level = water_level(local, expected * fraction + 1.0)?;
    let needs_remote = remote.iter().any(|remote| remote.load < level);
    (!needs_remote).then_some(fraction)
}
