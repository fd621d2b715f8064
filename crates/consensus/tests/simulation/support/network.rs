//! The network: messages are lost, late or doubled, requests to take over leadership above all.

use std::cmp::Reverse;

use rand::Rng;
use yokefall_consensus::{Body, Message, Millis};

use super::{Delivery, Simulation};

/// What becomes of requests to take over leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferDelivery {
    /// They arrive like any other message.
    Prompt,
    /// They are lost.
    Lost,
    /// They arrive after this time, in milliseconds.
    Late(Millis),
    /// Any of these, drawn for each.
    Random,
}

/// Maximum delay of a request to take over that is late, in milliseconds: longer than any election.
const MAX_TRANSFER_DELAY_MS: Millis = 3_000;

impl Simulation {
    pub(super) fn post(&mut self, from: usize, message: Message) {
        let Some(to) = self.position_of(&message.to) else { return };
        let is_transfer = matches!(message.body, Body::TransferLeadership);
        if is_transfer {
            self.transfer_target = Some(to);
        }
        if self.partitions.contains(&(from, to)) || self.random.random_bool(self.loss) {
            return;
        }
        let copies = if self.random.random_bool(0.01) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = if is_transfer { self.transfer_delay() } else { Some(self.delay()) };
            let Some(delay) = delay else { continue };
            self.next_number += 1;
            self.in_flight.insert(self.next_number, message.clone());
            let delivery = Delivery { at: self.now + delay, number: self.next_number };
            self.queue.push(Reverse(delivery));
        }
    }

    fn delay(&mut self) -> Millis {
        let slow = self.random.random_bool(0.01);
        let limit = if slow { 400 } else { 4 };
        self.random.random_range(1..limit)
    }

    /// Delay of a request to take over; `None` if it is lost.
    fn transfer_delay(&mut self) -> Option<Millis> {
        let delivery = match self.transfer_delivery {
            TransferDelivery::Random => match self.random.random_range(0..8) {
                0 => TransferDelivery::Lost,
                1 => TransferDelivery::Late(self.random.random_range(1..MAX_TRANSFER_DELAY_MS)),
                _ => TransferDelivery::Prompt,
            },
            delivery => delivery,
        };
        match delivery {
            TransferDelivery::Lost => None,
            TransferDelivery::Late(delay) => Some(delay),
            TransferDelivery::Prompt | TransferDelivery::Random => Some(self.delay()),
        }
    }
}
