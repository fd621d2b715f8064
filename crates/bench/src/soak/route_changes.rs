//! Changes of the route of some batch jobs while their items wait and run.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

/// Prefix of the paths of jobs whose route changes, and of their items.
pub const CHANGING_PATH: &str = "/changing/";
pub const CHANGING_ITEM_PATH: &str = "/changing/run/";
/// Beginning of the ids of these jobs.
pub const CHANGING_JOB: &str = "changing-job-";
/// Time for which a route must be gone before items may be abandoned.
pub const REMOVAL_GRACE: Duration = Duration::from_secs(3);

/// What the configuration has for `CHANGING_PATH`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ChangingRoute {
    /// One batch route.
    #[default]
    Whole,
    /// Batch routes for submissions and for items.
    Divided,
    /// None; its paths belong to the route of calls.
    Removed,
    /// A route for calls.
    OtherKind,
}

impl ChangingRoute {
    /// The states to draw from; a removal weighs twice.
    const DRAWN: [Self; 5] =
        [Self::Whole, Self::Divided, Self::Removed, Self::Removed, Self::OtherKind];

    /// Another state, drawn at random.
    pub fn draw_other(self, random: &mut StdRng) -> Self {
        let others: Vec<Self> = Self::DRAWN.into_iter().filter(|other| *other != self).collect();
        others.choose(random).copied().unwrap_or_default()
    }

    /// Name, prefix and kind of each of its routes.
    pub fn routes(self) -> &'static [(&'static str, &'static str, &'static str)] {
        match self {
            Self::Whole => &[("changing", CHANGING_PATH, "batch")],
            Self::Divided => &[
                ("divided", CHANGING_PATH, "batch"),
                ("divided-items", CHANGING_ITEM_PATH, "batch"),
            ],
            Self::Removed => &[],
            Self::OtherKind => &[("changing", CHANGING_PATH, "repeatable")],
        }
    }

    /// Whether items have a batch route.
    pub fn has_batch(self) -> bool {
        matches!(self, Self::Whole | Self::Divided)
    }
}
