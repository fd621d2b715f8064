//! How many items a service has room for, with slots kept free for online requests.

use std::time::Duration;

/// Time in which a burst of online requests is taken to fill all slots of a service. As many slots
/// stay free as it fills before items have given way, one at least.
const FILL_TIME: Duration = Duration::from_millis(1_200);
/// Time from when a gateway tells its requests until items have given way to them.
const GIVE_WAY_TIME: Duration = Duration::from_millis(70);
/// Part of that reserve below which items give way. It is well below the whole, so that an item does
/// not give way for the next one to start.
const LEAST_RESERVE_SHARE: f64 = 0.5;

/// Slots of a service's back ends.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    /// All slots.
    slots: u32,
    /// Slots that nothing has.
    pub free: u32,
    /// Part of the slots that stays free when an item starts.
    reserved_share: f64,
}

impl Room {
    /// No back ends yet, where gateways tell their requests at an interval.
    pub fn new(telling_interval: Duration) -> Self {
        let reaction = telling_interval + GIVE_WAY_TIME;
        Self { slots: 0, free: 0, reserved_share: reaction.div_duration_f64(FILL_TIME) }
    }

    /// Adds a back end with requests and items in some of its slots.
    pub fn add(&mut self, slots: u32, taken: u32) {
        self.slots += slots;
        self.free += slots.saturating_sub(taken);
    }

    /// Slots that stay free when an item starts.
    fn reserve(&self) -> u32 {
        (f64::from(self.slots) * self.reserved_share).ceil() as u32
    }

    /// Items that may start.
    pub fn items(&self) -> u32 {
        self.free.saturating_sub(self.reserve())
    }

    /// Slots that items should give back.
    pub fn lacking(&self) -> u32 {
        let least = (f64::from(self.reserve()) * LEAST_RESERVE_SHARE).floor() as u32;
        least.saturating_sub(self.free)
    }
}
