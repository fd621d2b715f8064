//! Back ends for tests of placement.

use yokefall_serving::{Backend, BackendState};

pub fn backend(number: usize, slots: u32) -> Backend {
    Backend {
        id: format!("i-{number}"),
        started_ms: 1,
        service: "models".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "hall-1".into(),
        slots,
        state: BackendState::Ready,
        cold_remaining_ms: 0,
        software_version: Default::default(),
    }
}
