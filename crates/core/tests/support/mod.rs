//! Fleet views and identifiers for tests.

#![allow(dead_code)]

use yokefall_core::configuration::ConfigurationStore;
use yokefall_core::FleetView;
use yokefall_peer::{MemberInfo, VersionedObject};
use yokefall_types::{
    BackendSpec, CallHeader, Declaration, Kind, NodeName, ObjectKey, PartnerName, Priority,
    RepeatPolicy, RequestId, ServiceId, ServiceKind, ServiceName, ServiceSpec, TenantName,
};

pub const PARTNER: &str = "board";
pub const SERVICE: &str = "pathmind";

pub fn service() -> ServiceId {
    ServiceId { partner: PartnerName::new(PARTNER), name: ServiceName::new(SERVICE) }
}

pub fn node(number: usize) -> NodeName {
    NodeName::new(format!("daemon-{number}"))
}

pub fn member(number: usize) -> MemberInfo {
    MemberInfo {
        node: node(number),
        incarnation: 1,
        address: format!("10.0.0.{number}:7100"),
        zone: format!("zone-{number}"),
        region: "region".to_owned(),
        data: false,
        accepting: true,
    }
}

/// The view of daemon 0 among `members` daemons, each in its own zone with `backends` back ends.
pub fn view(members: usize, backends: usize, slots: u32, reserved_slots: u32) -> FleetView {
    let mut store = ConfigurationStore::default();
    let key = |kind, name: String| ObjectKey { partner: PartnerName::new(PARTNER), kind, name };
    let spec = ServiceSpec {
        kind: ServiceKind::Model,
        model: SERVICE.to_owned(),
        reserved_slots,
        queue_limit: 16,
        max_prompt_bytes: 1_000,
        max_tokens: 100,
    };
    store.apply(VersionedObject {
        key: key(Kind::Service, SERVICE.to_owned()),
        version: 1,
        value: Some(Declaration::Service(spec)),
    });
    for number in 0..members * backends {
        let spec = BackendSpec {
            service: ServiceName::new(SERVICE),
            address: format!("10.1.0.{number}:8000"),
            zone: format!("zone-{}", number % members),
            machine: format!("machine-{number}"),
            slots,
        };
        store.apply(VersionedObject {
            key: key(Kind::Backend, format!("{SERVICE}-{number}")),
            version: 2,
            value: Some(Declaration::Backend(spec)),
        });
    }
    let infos = (0..members).map(member).collect();
    FleetView::build(&node(0), "zone-0", infos, &store)
}

pub fn header(id: &str, repeat: RepeatPolicy) -> CallHeader {
    CallHeader {
        request: RequestId {
            partner: PartnerName::new(PARTNER),
            tenant: TenantName::new("tenant"),
            id: id.into(),
        },
        service: ServiceName::new(SERVICE),
        priority: Priority::High,
        repeat,
        resend: false,
        deadline_ms: 10_000,
        max_tokens: 10,
    }
}
