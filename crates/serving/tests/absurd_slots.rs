//! Back ends whose records tell an absurd number of slots.
//!
//! Guards against one wrong number in one record that takes a service out of use: a back end with
//! 4,294,967,295 slots got 200 of 200 requests, and the four sound ones of its service none.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use yokefall_core::Timestamp;
use yokefall_serving::platform_state::PlatformState;
use yokefall_serving::{
    empty_catalog, Backend, BackendLoad, BackendState, Balancer, Catalog, Change, Configuration,
    Outcome, Policy, Service,
};

const NOW: Timestamp = Timestamp(10_000);
const SLOTS: u32 = 8;
const MAX_CONNECTIONS: u32 = 64;
const REQUESTS: usize = 200;

fn backend(index: usize, slots: u32) -> Backend {
    Backend {
        id: format!("i-{index}"),
        started_ms: 1,
        service: "models".into(),
        address: format!("127.0.0.1:{}", 1_000 + index).parse().expect("an address"),
        zone: "hall-1".into(),
        slots,
        state: BackendState::Ready,
        cold_remaining_ms: 0,
        software_version: Default::default(),
    }
}

fn configuration(version: u64, max_connections: u32) -> Configuration {
    let service = Service {
        name: "models".into(),
        health_path: "/health".into(),
        max_connections,
        warm_up: None,
    };
    Configuration { version, services: vec![service], ..Configuration::default() }
}

/// Four sound back ends and one with absurd slots.
fn catalog() -> Catalog {
    let backends: Vec<Arc<Backend>> = (0..5)
        .map(|index| Arc::new(backend(index, if index == 0 { u32::MAX } else { SLOTS })))
        .collect();
    Catalog::new(Some(Arc::new(configuration(1, MAX_CONNECTIONS))), backends.iter())
}

/// Number of requests by back end, one request after the other.
fn requests_by_backend(reports_load: bool) -> HashMap<String, usize> {
    let catalog = catalog();
    let mut balancer = Balancer::new("hall-1".into(), 1, Policy::default());
    let mut requests: HashMap<String, usize> = HashMap::new();
    for _ in 0..REQUESTS {
        let chosen = balancer.choose(NOW, catalog.ready("models"), &[], None).expect("a back end");
        balancer.record_start(&chosen);
        if reports_load {
            let load = BackendLoad { running: 0, waiting: 0, slots: SLOTS };
            balancer.record_report(NOW, &chosen, load);
        }
        balancer.record_end(NOW, &chosen, Outcome::Answered);
        *requests.entry(chosen.id.clone()).or_default() += 1;
    }
    requests
}

/// The share of the slots that it may have by the connections that its service allows.
#[test]
fn a_back_end_has_at_most_as_many_slots_as_connections() {
    let slots: Vec<u32> = catalog().ready("models").iter().map(|backend| backend.slots).collect();
    assert_eq!(slots.iter().max(), Some(&MAX_CONNECTIONS));
    let requests = requests_by_backend(false);
    let sound = REQUESTS - requests["i-0"];
    let expected = REQUESTS * 4 * SLOTS as usize / (MAX_CONNECTIONS + 4 * SLOTS) as usize;
    assert!(sound >= expected / 2, "{sound} of the {expected} expected");
}

/// What a back end reports itself counts more than its record.
#[test]
fn a_back_end_that_reports_fewer_slots_gets_its_share_of_these() {
    let requests = requests_by_backend(true);
    assert!(requests["i-0"] <= 2 * REQUESTS / 5, "{requests:?}");
    assert_eq!(requests.len(), 5, "{requests:?}");
}

#[test]
fn the_bound_follows_the_configuration() {
    let cell = empty_catalog();
    let state = Rc::new(RefCell::new(PlatformState::new(cell.clone(), Arc::default())));
    let slots = || cell.load().ready("models")[0].slots;
    let name = "i-0".to_owned();
    let change = Change { name, revision: 5, value: Some(backend(0, u32::MAX)) };
    state.borrow_mut().apply_subset(vec![change]);
    for (version, most) in [(1, 64), (2, 300), (3, 10), (4, 0)] {
        state.borrow_mut().apply_configuration(configuration(version, most));
        assert_eq!(slots(), most.max(1));
    }
}
