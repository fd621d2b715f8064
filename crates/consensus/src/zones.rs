//! Spread of members over zones: the loss of one zone should leave a majority of the voters.

use std::collections::HashMap;

use crate::message::{MemberId, Members};

/// Zones of machines by their names, as far as they are known.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Zones {
    of: HashMap<String, String>,
}

impl Zones {
    /// Zones of machines.
    pub fn new(of: impl IntoIterator<Item = (String, String)>) -> Self {
        Self { of: of.into_iter().collect() }
    }

    fn of(&self, member: &MemberId) -> Option<&str> {
        self.of.get(&member.name).map(String::as_str)
    }

    /// How many of some members stand in the zone of a machine; none where that is not known.
    fn count_in_zone_of<'a>(
        &self,
        member: &MemberId,
        members: impl IntoIterator<Item = &'a MemberId>,
    ) -> usize {
        let Some(zone) = self.of(member) else { return 0 };
        members.into_iter().filter(|held| self.of(held) == Some(zone)).count()
    }

    /// The one to admit of some that ask: from the zone with the fewest members. Those that learn count as
    /// well, or several would be admitted for the same place.
    pub(crate) fn from_smallest_zone<'a>(
        &self,
        members: &Members,
        asking: impl Iterator<Item = &'a MemberId>,
    ) -> Option<&'a MemberId> {
        asking.min_by_key(|member| (self.count_in_zone_of(member, members.all()), &member.name))
    }

    /// A voter that a machine of another zone should take the place of: its zone has at least two more than
    /// the machine's, so that the exchange makes the largest number smaller. The leader stays. Nothing is
    /// moved while a voter's zone is not known.
    pub(crate) fn voter_to_replace<'a>(
        &self,
        voters: &'a [MemberId],
        by: &MemberId,
        leader: &MemberId,
    ) -> Option<&'a MemberId> {
        self.of(by)?;
        if voters.iter().any(|voter| self.of(voter).is_none()) {
            return None;
        }
        let beside_it = self.count_in_zone_of(by, voters.iter().filter(|voter| *voter != by));
        let crowded = |voter: &&MemberId| {
            *voter != leader
                && *voter != by
                && self.count_in_zone_of(voter, voters) >= beside_it + 2
        };
        let most = |voter: &&MemberId| (self.count_in_zone_of(voter, voters), voter.name.clone());
        voters.iter().filter(crowded).max_by_key(most)
    }
}
