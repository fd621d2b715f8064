//! A request that is to be forwarded, with what is known of its attempts.

use std::cell::{Cell, OnceCell};
use std::sync::Arc;

use http::request::Parts;
use tokio::time::Instant;
use yokefall_serving::{Caller, Catalog, Requirements, Residency, Route, RouteKind};
use yokefall_suspects::{IsolatedRun, RequestDigest, RequestIdentity};
use yokefall_telemetry::{EventName, LogLine};

use crate::body::HeldBody;
use crate::quota::Token;

/// A request that is to be forwarded.
pub struct Order {
    /// Its route.
    pub route: Arc<Route>,
    /// Who sent it.
    pub caller: Caller,
    /// Its rank, 0 the highest.
    pub rank: u32,
    /// The right to send it, where its tenant has a limit.
    pub token: Option<Token>,
    /// Service that gets it.
    pub service: String,
    /// Where it may be served.
    pub residency: Residency,
    /// Method, path and headers as the client sent them.
    pub parts: Parts,
    /// Its body.
    pub body: HeldBody,
    /// Version of the configuration that gave its route.
    pub version: u64,
    /// When it arrived.
    pub arrived: Instant,
    /// When the client's time, or the route's, ends.
    pub deadline: Instant,
    /// Back ends that were tried.
    pub tried: Vec<String>,
    /// Back ends that may have run it.
    pub may_have_run: u32,
    /// Id of the request.
    pub id: String,
    /// Whether a line has told its end.
    pub told: Cell<bool>,
    /// Its digest, worked out where something asks for it: on most requests nothing does.
    pub digest: OnceCell<RequestDigest>,
    /// Held while it runs alone, as the leader of the job stores granted.
    pub alone: Option<IsolatedRun>,
}

impl Order {
    /// What it asks of a back end.
    pub fn requirements(&self) -> Requirements<'_> {
        Requirements { service: &self.service, residency: &self.residency }
    }

    /// Takes over where the newest configuration lets it be served: what was allowed when it came may be
    /// forbidden by now. A route that is gone leaves it as it was.
    pub fn follow_regions(&mut self, catalog: &Catalog) {
        if let Some(residency) = self.residency_in(catalog) {
            self.residency = residency;
        }
    }

    /// Where a configuration lets it be served; `None` where no route has its host and path.
    pub fn residency_in(&self, catalog: &Catalog) -> Option<Residency> {
        let tenant = self.caller.tenant().map(|tenant| &tenant.name);
        catalog.residency_at(&self.route.host, self.parts.uri.path(), tenant)
    }

    /// The digest that it has in common with other attempts of the same request.
    pub fn digest(&self) -> RequestDigest {
        let path = self.parts.uri.path_and_query().map_or("", |path| path.as_str());
        let identity = RequestIdentity {
            method: self.parts.method.as_str(),
            host: &self.route.host,
            path,
            tenant: self.caller.name(),
            body: &self.body.bytes,
        };
        *self.digest.get_or_init(|| RequestDigest::of(&identity))
    }

    /// A line about this request, with what decided about it.
    pub fn line(&self, event: EventName) -> LogLine {
        LogLine::new(event)
            .id(&self.id)
            .field("route", self.route.name.as_str())
            .field("service", self.service.as_str())
            .field("tenant", self.caller.name())
            .field("version", self.version)
            .field("tried", self.tried.clone())
            .field("may_have_run", self.may_have_run)
            .field("age_ms", self.arrived.elapsed().as_millis() as u64)
            .field("left_ms", self.deadline.duration_since(Instant::now()).as_millis() as u64)
    }

    /// A back end may have run it. The token is spent: each run counts.
    pub(crate) fn note_may_have_run(&mut self) {
        self.may_have_run += 1;
        self.token = None;
    }

    /// The line about the end of this request.
    pub fn end_line(&self, event: EventName) -> LogLine {
        self.told.set(true);
        let seconds = self.arrived.elapsed().as_secs_f64();
        metrics::histogram!("gateway_request_seconds", "route" => self.route.name.clone())
            .record(seconds);
        self.line(event)
    }
}

impl Drop for Order {
    /// An order that is dropped without an end is one whose client left.
    fn drop(&mut self) {
        if !self.told.get() {
            self.line(EventName::ClientLeft).write();
        }
    }
}

/// Whether the request may be sent once more after a back end may have run it.
pub fn may_repeat(order: &Order) -> bool {
    let repeatable = match order.route.kind {
        RouteKind::Repeatable => true,
        RouteKind::Stream => order.route.resumable,
        RouteKind::AtMostOnce | RouteKind::Batch => false,
    };
    repeatable && order.may_have_run < order.route.max_attempts && Instant::now() < order.deadline
}
