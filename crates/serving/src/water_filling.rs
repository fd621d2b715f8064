//! Draws a back end so that many processes that know the same loads, all of them a little old, do
//! not choose the same one: the requests that are expected meanwhile are poured over the back ends
//! like water, the emptiest first, and each back end is drawn with the part that it would get.

use rand::rngs::SmallRng;
use rand::Rng;

/// A back end as the draw sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Level {
    /// Load in parts of its slots.
    pub load: f64,
    /// Its slots.
    pub slots: f64,
}

/// Position of the drawn back end, where `expected` requests are to be placed; `None` where there
/// are no back ends.
pub fn draw(generator: &mut SmallRng, levels: &[Level], expected: f64) -> Option<usize> {
    let surface = surface(levels, expected)?;
    let part = |level: &Level| (surface - level.load).max(0.0) * level.slots;
    let whole: f64 = levels.iter().map(part).sum();
    let mut left = generator.random_range(0.0..1.0) * whole;
    let mut drawn = None;
    for (position, level) in levels.iter().enumerate() {
        let part = part(level);
        if part <= 0.0 {
            continue;
        }
        drawn = Some(position);
        if left < part {
            break;
        }
        left -= part;
    }
    drawn
}

/// The load that all back ends below it reach when `expected` requests, one at least, are poured.
pub fn surface(levels: &[Level], expected: f64) -> Option<f64> {
    let mut order: Vec<Level> = levels.to_vec();
    order.sort_unstable_by(|left, right| left.load.total_cmp(&right.load));
    let mut slots = 0.0;
    let mut poured = 0.0;
    let mut surface = order.first()?.load;
    let expected = expected.max(1.0);
    for level in order {
        let rise = (level.load - surface) * slots;
        if poured + rise >= expected {
            break;
        }
        poured += rise;
        surface = level.load;
        slots += level.slots.max(1.0);
    }
    Some(surface + (expected - poured) / slots)
}
