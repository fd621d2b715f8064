//! Where the streams of each route may have begun lately: services and software versions.
//!
//! A stream whose client does not name the attempt that began it continues only if all streams of
//! its route began at one service and version. The list of back ends does not tell: back ends leave
//! it, and a process that has just started has seen no others. Invariant: a history is complete only
//! if somebody observed the whole window; the absence of an observation proves nothing.

use std::collections::BTreeMap;

use borsh::{BorshDeserialize, BorshSerialize};
use xxhash_rust::xxh3::xxh3_64;
use yokefall_core::Timestamp;
use yokefall_serving::{Catalog, Route, RouteKind, SoftwareVersion};

use crate::origin::StreamOrigin;
use crate::table::RECORD_LIFETIME_MS;

/// How far back the origins of a stream matter, in milliseconds: as long as records are kept.
pub const WINDOW_MS: u64 = RECORD_LIFETIME_MS;
/// Longest interval between observations without a gap, in milliseconds. A process that was
/// suspended for longer has missed what happened meanwhile.
const MAX_OBSERVATION_GAP_MS: u64 = 3_000;
/// Maximum number of origins in one report, 12 KB: a datagram. With more, nothing is reported.
const MAX_REPORTED: usize = 512;

/// An origin that streams of a route may have had. Hashes keep messages short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, BorshSerialize, BorshDeserialize)]
pub struct RouteOrigin {
    /// Hash of the route's host and path prefix.
    route: u64,
    /// Hash of the service and the software version.
    origin: u64,
}

impl RouteOrigin {
    /// An origin of a route.
    pub fn new(route: &Route, origin: &StreamOrigin) -> Self {
        let route = xxh3_64(format!("{}\n{}", route.host, route.path_prefix).as_bytes());
        // Encoding to memory does not fail.
        let origin = borsh::to_vec(origin).unwrap_or_default();
        Self { route, origin: xxh3_64(&origin) }
    }

    /// All origins that streams of the routes may have by a catalog. Back ends whose version is not
    /// known yet are left out: their record is completed soon, and no stream is recorded before.
    pub fn all_of(catalog: &Catalog) -> Vec<Self> {
        let mut versions: BTreeMap<&str, Vec<&SoftwareVersion>> = BTreeMap::new();
        for backend in catalog.known.values() {
            let of_service = versions.entry(&backend.service).or_default();
            if !of_service.contains(&&backend.software_version) {
                of_service.push(&backend.software_version);
            }
        }
        let routes = catalog.configuration.iter().flat_map(|configuration| &configuration.routes);
        let continuable = routes.filter(|route| route.kind == RouteKind::Stream && route.resumable);
        let origins_of = |service| {
            let of_service = versions.get(service).into_iter().flatten();
            of_service.filter_map(move |version| StreamOrigin::new(service, version))
        };
        let of_all_routes = continuable.flat_map(|route| {
            let origins = route.services().flat_map(origins_of);
            origins.map(|origin| Self::new(route, &origin)).collect::<Vec<Self>>()
        });
        of_all_routes.collect()
    }
}

/// What a process has observed, as sent to others. Ages are those at the moment of sending.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct HistoryReport {
    /// How far back the history is complete, in milliseconds.
    pub complete_ms: u64,
    /// Origins and the time since each was last possible, in milliseconds.
    pub origins: Vec<(RouteOrigin, u64)>,
}

/// A message about histories. Each may be lost, be late or arrive twice.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum HistoryMessage {
    /// Asks for a report.
    Query,
    /// Answers a `Query`.
    Report(HistoryReport),
    /// Asks for a report, with the number of the round of queries. Older builds drop it.
    RoundQuery(u64),
    /// Answers a `RoundQuery` of that number.
    RoundReport(u64, HistoryReport),
}

/// The origins of the last `WINDOW_MS`, by one process.
#[derive(Debug)]
pub struct OriginHistory {
    /// When each origin was last possible.
    possible_at: BTreeMap<RouteOrigin, Timestamp>,
    /// No stream within the window began before this at an origin that is not recorded.
    complete_since: Timestamp,
    observed_at: Timestamp,
}

impl OriginHistory {
    /// The history of a process that starts now. On the first start of the system there are no
    /// earlier streams. `now` must exceed the window, so that earlier times can be told apart.
    pub fn new(now: Timestamp, is_first_start: bool) -> Self {
        let complete_since = if is_first_start { Timestamp(0) } else { now };
        Self { possible_at: BTreeMap::new(), complete_since, observed_at: now }
    }

    /// Records the origins that are possible now.
    pub fn observe(&mut self, now: Timestamp, origins: impl IntoIterator<Item = RouteOrigin>) {
        if now.millis_since(self.observed_at) > MAX_OBSERVATION_GAP_MS {
            self.complete_since = now;
        }
        self.observed_at = now;
        self.possible_at.extend(origins.into_iter().map(|origin| (origin, now)));
        self.possible_at.retain(|_, at| now.millis_since(*at) < WINDOW_MS);
    }

    /// Records that a stream began.
    pub fn record(&mut self, now: Timestamp, origin: RouteOrigin) {
        self.possible_at.insert(origin, now);
    }

    /// Adds what another process, or this one before its start, has observed.
    pub fn merge(&mut self, now: Timestamp, report: HistoryReport) {
        let at = |age_ms: u64| Timestamp(now.0.saturating_sub(age_ms));
        for (origin, age_ms) in report.origins {
            let possible_at = self.possible_at.entry(origin).or_default();
            *possible_at = at(age_ms).max(*possible_at);
        }
        self.complete_since = self.complete_since.min(at(report.complete_ms));
    }

    /// Whether every stream that may be continued began at a recorded origin. A process that was
    /// suspended does not know that before it has observed again.
    pub fn is_complete(&self, now: Timestamp) -> bool {
        now.millis_since(self.complete_since) >= WINDOW_MS
            && now.millis_since(self.observed_at) <= MAX_OBSERVATION_GAP_MS
    }

    /// Whether a stream of the route may have begun elsewhere.
    pub fn has_other(&self, now: Timestamp, expected: RouteOrigin) -> bool {
        self.possible_at.iter().any(|(found, at)| {
            found.route == expected.route
                && found.origin != expected.origin
                && now.millis_since(*at) < WINDOW_MS
        })
    }

    /// The report to others; one that tells nothing if it would be too large.
    pub fn report(&self, now: Timestamp) -> HistoryReport {
        if self.possible_at.len() > MAX_REPORTED {
            return HistoryReport::default();
        }
        let age = |(origin, at): (&RouteOrigin, &Timestamp)| (*origin, now.millis_since(*at));
        HistoryReport {
            complete_ms: now.millis_since(self.complete_since),
            origins: self.possible_at.iter().map(age).collect(),
        }
    }
}
