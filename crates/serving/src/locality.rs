//! Whether back ends of other regions are needed.

use crate::water_filling::{surface, Level};

/// The part of requests that is meant for the back ends of the own region, where these can take it; `None` where
/// back ends of other regions are needed.
///
/// `expected` are the requests of all processes that this one does not know yet. Those of other regions go to
/// back ends of their own: taking all of them to come here made a region look full at a fifth of its load, and
/// 45 of 100 requests left it.
pub fn own_part(near: &[Level], far: &[Level], expected: f64) -> Option<f64> {
    let slots = |levels: &[Level]| levels.iter().map(|level| level.slots).sum::<f64>();
    let all = slots(near) + slots(far);
    let part = if all > 0.0 { slots(near) / all } else { 1.0 };
    let level = surface(near, expected * part + 1.0)?;
    let is_needed = far.iter().any(|far| far.load < level);
    (!is_needed).then_some(part)
}
