//! The port through which an adapter gives names and formats of HTTP calls.

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method, Uri};

use crate::job::{JobItem, ResultPage};

/// Names of the headers that have a meaning here.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of one attempt of a client; a back end echoes it.
    pub request_id: HeaderName,
    /// Milliseconds that the caller waits.
    pub deadline_ms: HeaderName,
    /// Parts of the prompt.
    pub prefix: HeaderName,
    /// Event after which a stream continues.
    pub resume_after: HeaderName,
    /// Signature of a back end's answer.
    pub signature: HeaderName,
    /// Identity that the back end must have to run the request.
    pub expected_backend: HeaderName,
    /// Load that a back end tells.
    pub load: HeaderName,
    /// Time for which a back end is still cold, in milliseconds.
    pub cold_ms: HeaderName,
    /// States that a back end did not run the request.
    pub not_run: HeaderName,
    /// Time after which a refused caller may come back, in seconds.
    pub retry_after: HeaderName,
    /// Longest time for which a read may be held, in milliseconds.
    pub wait_ms: HeaderName,
    /// Name of the tenant, set for back ends.
    pub tenant: HeaderName,
}

/// Load of a back end, as it told it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// One part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefixPart {
    /// Identity of the part's content.
    pub id: String,
    /// Its length in tokens.
    pub tokens: u64,
}

/// A call about a job that was submitted before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobCall {
    /// Results from a position on.
    Results {
        /// Id of the job.
        job: String,
        /// First position wanted.
        from: u64,
    },
    /// The body of an item that has no result yet.
    Body {
        /// Id of the job.
        job: String,
        /// Id of the item.
        item: String,
    },
    /// The end of a job.
    End {
        /// Id of the job.
        job: String,
    },
}

/// What a client tells that asks for addresses of gateways.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AddressQuery {
    /// Host that it wants to send to, in lower case.
    pub host: Option<String>,
    /// Zone in which it stands.
    pub zone: Option<String>,
    /// Region in which it stands.
    pub region: Option<String>,
}

/// What is wrong with a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BadSubmission {
    /// The field, such as `items[3].body`.
    pub field: String,
    /// What was expected.
    pub wanted: String,
}

impl std::fmt::Display for BadSubmission {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}: {}", self.field, self.wanted)
    }
}

/// Names and formats of the HTTP calls of one platform. An implementation decides nothing.
pub trait Dialect: Send + Sync + 'static {
    /// Names of headers.
    fn headers(&self) -> &HeaderNames;
    /// Whether back ends name the request in their answers and sign what they did.
    fn signs_responses(&self) -> bool {
        true
    }
    /// Whether this is the platform's check of readiness.
    fn is_readiness_check(&self, method: &Method, uri: &Uri) -> bool;
    /// Whether this asks for addresses of gateways.
    fn is_address_query(&self, method: &Method, uri: &Uri) -> bool;
    /// What a query for addresses tells.
    fn address_query(&self, uri: &Uri) -> AddressQuery;
    /// The answer to a query for addresses; `lifetime_s` is how long it may be kept.
    fn format_addresses(&self, addresses: &[String], lifetime_s: f64) -> Bytes;
    /// The call about a job that this request is, if it is one.
    fn job_call(&self, method: &Method, uri: &Uri) -> Option<JobCall>;
    /// The items of a submission.
    fn parse_submission(&self, body: &[u8]) -> Result<Vec<JobItem>, BadSubmission>;
    /// The answer to a read of results.
    fn format_results(&self, page: &ResultPage) -> Bytes;
    /// The load in a header's value: requests that run, that wait, and slots, after commas.
    fn parse_load(&self, value: &HeaderValue) -> Option<BackendLoad> {
        let mut numbers = value.to_str().ok()?.split(',').map(|text| text.trim().parse().ok());
        Some(BackendLoad {
            running: numbers.next()??,
            waiting: numbers.next()??,
            slots: numbers.next()??,
        })
    }
    /// The time for which a back end is still cold in a header's value, in milliseconds.
    fn parse_cold(&self, value: &HeaderValue) -> Option<u64> {
        let milliseconds: f64 = value.to_str().ok()?.trim().parse().ok()?;
        milliseconds.is_finite().then_some(milliseconds.max(0.0).ceil() as u64)
    }
    /// The parts of a prompt in a header's value: `ID:TOKENS`, after commas.
    fn parse_prefix(&self, value: &HeaderValue) -> Vec<PrefixPart> {
        let part = |text: &str| {
            let (id, tokens) = text.trim().split_once(':')?;
            Some(PrefixPart { id: id.to_owned(), tokens: tokens.parse().ok()? })
        };
        value.to_str().unwrap_or_default().split(',').filter_map(part).collect()
    }
}

/// The value of a name in a query.
pub fn query_value<'a>(uri: &'a Uri, name: &str) -> Option<&'a str> {
    let mut pairs = uri.query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}
