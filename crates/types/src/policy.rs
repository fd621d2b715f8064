//! Decisions under load that an operator may switch off, one by one, to see what each is worth.

use serde::{Deserialize, Serialize};

/// What is switched on, as it stands in settings; everything is where nothing is said.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Requests beyond the room of back ends are held in a gateway and sent in order.
    pub hold_requests: bool,
    /// What all processes have in flight counts, not only what this one has.
    pub peer_loads: bool,
    /// The draw among back ends reckons with what others place meanwhile.
    pub poured_draw: bool,
    /// Back ends in the same zone are preferred.
    pub zone_cost: bool,
    /// Requests with the same long prefix go to the same few back ends.
    pub prefix_affinity: bool,
    /// Failing back ends are left out for a while.
    pub ejection: bool,
    /// Back ends that say nothing are left out for a while.
    pub silence: bool,
    /// Items are preempted by online requests.
    pub give_way: bool,
    /// Items that can be in time go before those that cannot.
    pub due_order: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            hold_requests: true,
            peer_loads: true,
            poured_draw: true,
            zone_cost: true,
            prefix_affinity: true,
            ejection: true,
            silence: true,
            give_way: true,
            due_order: true,
        }
    }
}
