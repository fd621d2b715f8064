//! Randomized choice by water-filling, so that many processes that know the same, slightly old
//! loads choose differently: the expected requests are distributed over the back ends, least loaded
//! first, and each is chosen with a probability proportional to its share.

use rand::rngs::SmallRng;
use rand::Rng;

/// Load and capacity of a back end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadLevel {
    /// Load as a fraction of its slots.
    pub load: f64,
    /// Number of slots.
    pub slots: f64,
}

/// Position of the back end chosen when `expected` requests are to be placed; `None` without any.
pub fn choose_weighted(
    generator: &mut SmallRng,
    levels: &[LoadLevel],
    expected: f64,
) -> Option<usize> {
    let water_level = water_level(levels, expected)?;
    let weight = |level: &LoadLevel| (water_level - level.load).max(0.0) * level.slots;
    let total: f64 = levels.iter().map(weight).sum();
    let mut remaining = generator.random_range(0.0..1.0) * total;
    let mut chosen = None;
    for (position, level) in levels.iter().enumerate() {
        let weight = weight(level);
        if weight <= 0.0 {
            continue;
        }
        chosen = Some(position);
        if remaining < weight {
            break;
        }
        remaining -= weight;
    }
    chosen
}

/// The load up to which less loaded back ends are filled by `expected` requests, at least one.
pub fn water_level(levels: &[LoadLevel], expected: f64) -> Option<f64> {
    let mut sorted: Vec<LoadLevel> = levels.to_vec();
    sorted.sort_unstable_by(|left, right| left.load.total_cmp(&right.load));
    let mut slots = 0.0;
    let mut placed = 0.0;
    let mut water_level = sorted.first()?.load;
    let expected = expected.max(1.0);
    for level in sorted {
        let step = (level.load - water_level) * slots;
        if placed + step >= expected {
            break;
        }
        placed += step;
        water_level = level.load;
        slots += level.slots.max(1.0);
    }
    Some(water_level + (expected - placed) / slots)
}
