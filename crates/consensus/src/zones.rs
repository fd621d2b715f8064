//! Distribution of members over zones, so that a majority of voters survives the loss of a zone.

use std::collections::HashMap;

use crate::message::{MemberId, Members};

/// Zones of machines by name, as far as they are known.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Zones {
    by_name: HashMap<String, String>,
}

impl Zones {
    /// Creates the map from machine names to zones.
    pub fn new(by_name: impl IntoIterator<Item = (String, String)>) -> Self {
        Self { by_name: by_name.into_iter().collect() }
    }

    fn zone_of(&self, member: &MemberId) -> Option<&str> {
        self.by_name.get(&member.name).map(String::as_str)
    }

    /// Number of `members` in the zone of a member; zero if its zone is unknown.
    fn count_in_zone_of<'a>(
        &self,
        member: &MemberId,
        members: impl IntoIterator<Item = &'a MemberId>,
    ) -> usize {
        let Some(zone) = self.zone_of(member) else { return 0 };
        members.into_iter().filter(|other| self.zone_of(other) == Some(zone)).count()
    }

    /// The candidate to admit: one from the zone with the fewest members. Learners count as well,
    /// or several candidates would be admitted for the same place.
    pub(crate) fn candidate_of_smallest_zone<'a>(
        &self,
        members: &Members,
        candidates: impl Iterator<Item = &'a MemberId>,
    ) -> Option<&'a MemberId> {
        candidates.min_by_key(|member| (self.count_in_zone_of(member, members.all()), &member.name))
    }

    /// A voter to replace from another zone with at least two voters fewer, so that the largest
    /// number falls; not the leader, and none while the zone of any voter is unknown.
    pub(crate) fn voter_to_replace<'a>(
        &self,
        voters: &'a [MemberId],
        by: &MemberId,
        leader: &MemberId,
    ) -> Option<&'a MemberId> {
        self.zone_of(by)?;
        if voters.iter().any(|voter| self.zone_of(voter).is_none()) {
            return None;
        }
        let count_in_new_zone =
            self.count_in_zone_of(by, voters.iter().filter(|voter| *voter != by));
        let is_in_larger_zone = |voter: &&MemberId| {
            *voter != leader
                && *voter != by
                && self.count_in_zone_of(voter, voters) >= count_in_new_zone + 2
        };
        let most = |voter: &&MemberId| (self.count_in_zone_of(voter, voters), voter.name.clone());
        voters.iter().filter(is_in_larger_zone).max_by_key(most)
    }
}
