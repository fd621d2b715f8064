//! Load-related policies that operators can disable individually to measure their effect.

use serde::{Deserialize, Serialize};

/// The policies as configured in the settings; all are enabled by default.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Requests beyond the free slots of back ends are queued in the gateway and sent in order.
    pub hold_requests: bool,
    /// The requests in flight of all processes count, not only those of this one.
    pub peer_loads: bool,
    /// The random choice of a back end accounts for concurrent choices of other processes.
    pub poured_draw: bool,
    /// Back ends in the same zone are preferred.
    pub zone_cost: bool,
    /// Requests with the same long prefix are sent to the same few back ends.
    pub prefix_affinity: bool,
    /// Failing back ends are excluded for a while.
    pub ejection: bool,
    /// Back ends that send nothing are excluded for a while.
    pub silence: bool,
    /// Items are preempted by online requests.
    pub give_way: bool,
    /// Items that can meet their deadline take precedence over those that cannot.
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
