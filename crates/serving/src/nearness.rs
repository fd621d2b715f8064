//! Whether requests stay in the local region.

use crate::spread::{surface, Level};

/// The fraction of all requests that belongs to the back ends of the local region, if these can
/// take it; `None` if back ends of other regions are needed.
///
/// `expected` is the number of requests of all processes that are not reported yet. Only the local
/// fraction of it counts, because requests of other regions go to their own back ends: counting all
/// of them made a region look full at a fifth of its load, and 45 of 100 requests left it.
pub fn own_part(near: &[Level], far: &[Level], expected: f64) -> Option<f64> {
    let slots = |levels: &[Level]| levels.iter().map(|level| level.slots).sum::<f64>();
    let all = slots(near) + slots(far);
    let part = if all > 0.0 { slots(near) / all } else { 1.0 };
    let level = surface(near, expected * part + 1.0)?;
    let is_needed = far.iter().any(|far| far.load < level);
    (!is_needed).then_some(part)
}
