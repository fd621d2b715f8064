//! Port through which an adapter supplies header names and formats of HTTP calls.

use std::borrow::Cow;

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method, Uri};
use percent_encoding::percent_decode_str;

use crate::job::{JobItem, ResultPage};

/// Names of the headers that are interpreted.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of one attempt by a client; echoed by back ends.
    pub request_id: HeaderName,
    /// How long the caller waits, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Parts of the prompt.
    pub prefix: HeaderName,
    /// Last event received; a resumed stream continues after it.
    pub resume_after: HeaderName,
    /// Id of the client's attempt that brought the first event of a stream which it continues.
    pub continued_attempt: HeaderName,
    /// Signature of a back end's response.
    pub signature: HeaderName,
    /// Identity that the back end must have to run the request.
    pub expected_backend: HeaderName,
    /// Load reported by a back end.
    pub load: HeaderName,
    /// Time for which a back end remains cold, in milliseconds.
    pub cold_ms: HeaderName,
    /// Set by a back end that did not run the request.
    pub not_run: HeaderName,
    /// Time after which a rejected caller may retry, in seconds.
    pub retry_after: HeaderName,
    /// Maximum time for which a read may be held open, in milliseconds.
    pub wait_ms: HeaderName,
    /// Name of the tenant, set on requests to back ends.
    pub tenant: HeaderName,
}

/// Load of a back end as reported by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Number of requests that can run concurrently.
    pub slots: u32,
}

/// One part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefixPart {
    /// Identifies the content of the part.
    pub id: String,
    /// Length in tokens.
    pub tokens: u64,
}

/// A call about a job that was submitted earlier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobCall {
    /// Reads results from a position on.
    Results {
        /// Id of the job.
        job: String,
        /// First position to return.
        from: u64,
    },
    /// Reads the body of an item that has no result yet.
    Body {
        /// Id of the job.
        job: String,
        /// Id of the item.
        item: String,
    },
    /// Ends a job.
    End {
        /// Id of the job.
        job: String,
    },
}

/// Parameters of a client's query for gateway addresses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AddressQuery {
    /// Host that the client wants to send to, in lower case.
    pub host: Option<String>,
    /// Zone of the client.
    pub zone: Option<String>,
    /// Region of the client.
    pub region: Option<String>,
}

/// Validation error of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BadSubmission {
    /// The invalid field, for example `items[3].body`.
    pub field: String,
    /// What was expected.
    pub wanted: String,
}

impl std::fmt::Display for BadSubmission {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}: {}", self.field, self.wanted)
    }
}

/// Names and formats of the HTTP calls of one platform. Implementations contain no decision logic.
pub trait Dialect: Send + Sync + 'static {
    /// Names of the headers.
    fn headers(&self) -> &HeaderNames;
    /// Whether back ends echo the request id in their responses and sign them.
    fn signs_responses(&self) -> bool {
        true
    }
    /// Whether a request is the platform's readiness check.
    fn is_readiness_check(&self, method: &Method, uri: &Uri) -> bool;
    /// Whether a request is a query for gateway addresses.
    fn is_address_query(&self, method: &Method, uri: &Uri) -> bool;
    /// Parses the parameters of an address query.
    fn address_query(&self, uri: &Uri) -> AddressQuery;
    /// Formats the response to an address query, which may be cached for `lifetime_s` seconds.
    fn format_addresses(&self, addresses: &[String], lifetime_s: f64) -> Bytes;
    /// Returns the job call that a request represents, if any.
    fn job_call(&self, method: &Method, uri: &Uri) -> Option<JobCall>;
    /// Parses the items of a submission.
    fn parse_submission(&self, body: &[u8]) -> Result<Vec<JobItem>, BadSubmission>;
    /// Formats the response to a read of results.
    fn format_results(&self, page: &ResultPage) -> Bytes;
    /// Parses a load header: running requests, queued requests and slots, separated by commas.
    fn parse_load(&self, value: &HeaderValue) -> Option<BackendLoad> {
        let mut numbers = value.to_str().ok()?.split(',').map(|text| text.trim().parse().ok());
        Some(BackendLoad {
            running: numbers.next()??,
            waiting: numbers.next()??,
            slots: numbers.next()??,
        })
    }
    /// Parses a header with the time for which a back end remains cold, in milliseconds.
    fn parse_cold(&self, value: &HeaderValue) -> Option<u64> {
        let milliseconds: f64 = value.to_str().ok()?.trim().parse().ok()?;
        milliseconds.is_finite().then_some(milliseconds.max(0.0).ceil() as u64)
    }
    /// Parses a header with the parts of a prompt: `ID:TOKENS`, separated by commas.
    fn parse_prefix(&self, value: &HeaderValue) -> Vec<PrefixPart> {
        let part = |text: &str| {
            let (id, tokens) = text.trim().split_once(':')?;
            Some(PrefixPart { id: id.to_owned(), tokens: tokens.parse().ok()? })
        };
        value.to_str().unwrap_or_default().split(',').filter_map(part).collect()
    }
    /// The parts of a prompt that other prompts may share: all but the last, which belongs to the
    /// request or its session.
    fn shared_parts(&self, value: &HeaderValue) -> Vec<PrefixPart> {
        let mut parts = self.parse_prefix(value);
        parts.pop();
        parts
    }
}

/// Returns the value of a query parameter, decoded; `None` also if it is not UTF-8.
pub fn query_value(uri: &Uri, name: &str) -> Option<String> {
    let mut pairs = uri.query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).and_then(|(_, value)| decode(value))
}

/// Decodes a segment of a path or a value of a query; `None` if it is not UTF-8. A plus sign stands
/// for itself: ids are not sent by HTML forms.
pub fn decode(text: &str) -> Option<String> {
    percent_decode_str(text).decode_utf8().ok().map(Cow::into_owned)
}
