//! Routes and origins of streams.

use yokefall_serving::{Route, RouteKind, SoftwareVersion, SplitPart};
use yokefall_streams::StreamOrigin;

/// The resumable route of a service.
pub fn route(service: &str) -> Route {
    Route {
        name: "s".into(),
        host: "maps.example".into(),
        path_prefix: "/s/".into(),
        kind: RouteKind::Stream,
        timeout_ms: 4_000,
        target_latency_ms: 300,
        priority: 0,
        max_attempts: 3,
        resumable: true,
        split: vec![SplitPart { service: service.into(), weight: 1 }],
        batch: None,
        auth_exempt: false,
        allowed_regions: Vec::new(),
    }
}

/// A service at a software version.
pub fn stream_origin(service: &str, version: &str) -> StreamOrigin {
    let version = SoftwareVersion::of_record(Some(version));
    StreamOrigin::new(service, &version).expect("a known version")
}
