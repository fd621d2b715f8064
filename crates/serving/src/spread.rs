//! Randomized choice by water-filling, so that many processes that know the same, slightly old
//! loads do not all choose the same back end: the requests expected meanwhile are distributed over
//! the back ends, least loaded first, and each back end is chosen with a probability proportional
//! to its share.

use rand::rngs::SmallRng;
use rand::Rng;

/// Load and capacity of a back end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Level {
    /// Load as a fraction of its slots.
    pub load: f64,
    /// Number of slots.
    pub slots: f64,
}

/// Position of the chosen back end if `expected` requests are to be placed; `None` if there are no
/// back ends.
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

/// The load up to which all less loaded back ends are filled when `expected` requests, at least
/// one, are placed.
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
