//! Spread of members over zones.

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

    /// How many members stand in the zone of a machine; none where that is not known.
    pub(crate) fn beside<'a>(
        &self,
        member: &MemberId,
        members: impl Iterator<Item = &'a MemberId>,
    ) -> usize {
        let Some(zone) = self.of(member) else { return 0 };
        members.filter(|held| self.of(held) == Some(zone)).count()
    }
}

/// The one to admit of some that ask.
pub(crate) fn least_crowded<'a>(
    zones: &Zones,
    members: &Members,
    asking: impl Iterator<Item = &'a MemberId>,
) -> Option<&'a MemberId> {
    asking.min_by_key(|member| (zones.beside(member, members.voters.iter()), member.name.clone()))
}
