//! State of a request that is being forwarded, including its attempts.

use std::cell::{Cell, OnceCell};
use std::sync::Arc;

use http::request::Parts;
use tokio::time::Instant;
use yokefall_serving::{
    Caller, Catalog, PrefixPart, Requirements, Residency, Route, RouteKind, SoftwareVersion,
};
use yokefall_suspects::{IsolatedRun, RequestIdentity, SuspectKeys};
use yokefall_telemetry::{EventName, LogLine};

use crate::body::BufferedBody;
use crate::quota::Token;
use crate::stop::Stage;
use crate::stream::StreamState;

/// A request that is being forwarded.
pub struct RequestContext {
    /// Its route.
    pub route: Arc<Route>,
    /// The caller.
    pub caller: Caller,
    /// Its rank; 0 is the highest.
    pub rank: u32,
    /// Permission to send it, where its tenant has a rate limit.
    pub token: Option<Token>,
    /// Service that receives it.
    pub service: String,
    /// Regions in which it may be served.
    pub residency: Residency,
    /// Method, path and headers as sent by the client.
    pub parts: Parts,
    /// The body.
    pub body: BufferedBody,
    /// Parts of the prompt that other requests may share: all but the last.
    pub shared_parts: Vec<PrefixPart>,
    /// Version of the configuration that contained the route.
    pub version: u64,
    /// When it arrived.
    pub arrived: Instant,
    /// Deadline of the client or of the route, whichever is earlier.
    pub deadline: Instant,
    /// Ids of the back ends that were tried.
    pub tried: Vec<String>,
    /// Number of attempts that a back end may have executed.
    pub may_have_run: u32,
    /// Id of the request.
    pub id: String,
    /// Whether the end of the request has been logged.
    pub end_logged: Cell<bool>,
    /// What the request may be suspected by, computed on first use: most requests never need it.
    pub suspect_keys: OnceCell<SuspectKeys>,
    /// Held while the request runs exclusively, as granted by the leader of the job stores.
    pub isolated_run: Option<IsolatedRun>,
    /// The stream that it begins or continues; `None` if its answer cannot be continued.
    pub stream: Option<StreamState>,
    /// How far it has come.
    pub stage: Stage,
}

impl RequestContext {
    /// What the request requires of a back end.
    pub fn requirements(&self) -> Requirements<'_> {
        let software_version = self.continued_version();
        Requirements { service: &self.service, residency: &self.residency, software_version }
    }

    /// Software version that began the stream; `None` as long as the client has no event of it.
    pub fn continued_version(&self) -> Option<&SoftwareVersion> {
        self.stream.as_ref()?.software_version.as_ref()
    }

    /// Applies the newest configuration to the regions in which the request may be served: what was
    /// allowed on arrival may be forbidden by now. Keeps the regions if the route no longer exists.
    pub fn update_regions(&mut self, catalog: &Catalog) {
        if let Some(residency) = self.residency_in(catalog) {
            self.residency = residency;
        }
    }

    /// Regions in which `catalog` allows the request to be served; `None` if no route matches.
    pub fn residency_in(&self, catalog: &Catalog) -> Option<Residency> {
        let tenant = self.caller.tenant().map(|tenant| &tenant.name);
        catalog.residency_at(&self.route.host, self.parts.uri.path(), tenant)
    }

    /// What the request may be suspected by, the same for all of its attempts.
    pub fn suspect_keys(&self) -> &SuspectKeys {
        let path = self.parts.uri.path_and_query().map_or("", |path| path.as_str());
        let identity = RequestIdentity {
            method: self.parts.method.as_str(),
            host: &self.route.host,
            path,
            tenant: self.caller.name(),
            body: &self.body.bytes,
        };
        let parts = self.shared_parts.iter().map(|part| part.id.as_str());
        self.suspect_keys.get_or_init(|| SuspectKeys::of(&identity, &self.service, parts))
    }

    /// A log line with the fields common to all events of this request.
    pub fn log_line(&self, event: EventName) -> LogLine {
        let log_line = match self.continued_version() {
            None => LogLine::new(event),
            Some(version) => LogLine::new(event).text("software_version", version),
        };
        log_line
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

    /// Ids of the shared parts of the prompt, for log lines.
    pub fn shared_part_ids(&self) -> Vec<String> {
        self.shared_parts.iter().map(|part| part.id.clone()).collect()
    }

    /// Records a possible execution by a back end. The token is consumed: each execution counts.
    pub(crate) fn record_possible_run(&mut self) {
        self.may_have_run += 1;
        self.token = None;
        self.stage.set_may_have_run(true);
    }

    /// Records that the request is being sent. Until it is known what became of it, it may have run.
    pub(crate) fn record_sending(&self) {
        self.stage.set_may_have_run(true);
    }

    /// Records that the last send had no effect.
    pub(crate) fn record_not_run(&self) {
        self.stage.set_may_have_run(self.may_have_run > 0);
    }

    /// The log line of the end of this request.
    pub fn final_log_line(&self, event: EventName) -> LogLine {
        self.end_logged.set(true);
        let seconds = self.arrived.elapsed().as_secs_f64();
        metrics::histogram!("gateway_request_seconds", "route" => self.route.name.clone())
            .record(seconds);
        self.log_line(event)
    }
}

impl Drop for RequestContext {
    /// A context that is dropped before its end was logged is a request whose client disconnected,
    /// or that the stop of this process has ended.
    fn drop(&mut self) {
        if self.end_logged.get() {
            return;
        }
        match self.stage.is_ended_by_stop() {
            false => self.log_line(EventName::ClientLeft).write(),
            true => {
                self.log_line(EventName::RequestFailed).field("cause", "this gateway stops").write()
            }
        }
    }
}

/// Whether the request may be sent again after a back end may have executed it.
pub fn may_retry(context: &RequestContext) -> bool {
    let may_run_again = match context.route.kind {
        RouteKind::Repeatable => true,
        RouteKind::Stream => context.route.resumable,
        RouteKind::AtMostOnce | RouteKind::Batch => false,
    };
    may_run_again
        && context.may_have_run < context.route.max_attempts
        && Instant::now() < context.deadline
}
