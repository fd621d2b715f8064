//! Yokefall's native header names, paths and body formats for HTTP calls.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use bytes::Bytes;
use http::{header, HeaderName, Method, Uri};
use serde::{Deserialize, Serialize};
use yokefall_serving::dialect::{decode, query_value};
use yokefall_serving::{
    AddressQuery, BadSubmission, Dialect, HeaderNames, ItemHeader, ItemState, JobCall, JobItem,
    ResultPage,
};

/// Native header names, paths and body formats.
#[derive(Debug)]
pub struct NativeDialect {
    names: HeaderNames,
}

impl Default for NativeDialect {
    fn default() -> Self {
        let names = HeaderNames {
            request_id: HeaderName::from_static("yokefall-request"),
            deadline_ms: HeaderName::from_static("yokefall-deadline-ms"),
            prefix: HeaderName::from_static("yokefall-prefix"),
            resume_after: HeaderName::from_static("last-event-id"),
            continued_attempt: HeaderName::from_static("yokefall-continued-request"),
            signature: HeaderName::from_static("yokefall-request"),
            expected_backend: HeaderName::from_static("yokefall-backend"),
            load: HeaderName::from_static("yokefall-load"),
            cold_ms: HeaderName::from_static("yokefall-cold-ms"),
            not_run: HeaderName::from_static("yokefall-not-run"),
            retry_after: header::RETRY_AFTER,
            wait_ms: HeaderName::from_static("yokefall-wait-ms"),
            tenant: HeaderName::from_static("yokefall-tenant"),
        };
        Self { names }
    }
}

#[derive(Serialize)]
struct Gateways<'a> {
    gateways: &'a [String],
    lifetime_seconds: f64,
}

#[derive(Deserialize)]
struct Job {
    items: Vec<Item>,
}

#[derive(Deserialize)]
struct Item {
    id: String,
    path: String,
    #[serde(default)]
    headers: std::collections::BTreeMap<String, String>,
    /// Encoded as base64.
    #[serde(default)]
    body: String,
    #[serde(default)]
    tokens: u64,
}

#[derive(Serialize)]
struct Results<'a> {
    total: u64,
    next: u64,
    results: Vec<ItemOutcome<'a>>,
}

#[derive(Serialize)]
struct ItemOutcome<'a> {
    item: &'a str,
    outcome: &'static str,
    text: &'a str,
}

impl Dialect for NativeDialect {
    fn headers(&self) -> &HeaderNames {
        &self.names
    }

    fn signs_responses(&self) -> bool {
        false
    }

    fn is_readiness_check(&self, method: &Method, uri: &Uri) -> bool {
        method == Method::GET && uri.path() == "/readyz"
    }

    fn is_address_query(&self, method: &Method, uri: &Uri) -> bool {
        method == Method::GET && uri.path() == "/gateways"
    }

    fn address_query(&self, uri: &Uri) -> AddressQuery {
        let value = |name| query_value(uri, name);
        AddressQuery {
            host: value("host").map(|host| host.to_ascii_lowercase()),
            zone: value("zone"),
            region: value("region"),
        }
    }

    fn format_addresses(&self, addresses: &[String], lifetime_s: f64) -> Bytes {
        let response = Gateways { gateways: addresses, lifetime_seconds: lifetime_s };
        serde_json::to_vec(&response).unwrap_or_default().into()
    }

    fn job_call(&self, method: &Method, uri: &Uri) -> Option<JobCall> {
        let rest = uri.path().strip_prefix("/yokefall/jobs/")?;
        let parts: Vec<&str> = rest.split('/').collect();
        match (method, parts.as_slice()) {
            (&Method::GET, [job, "results"]) => {
                let from = query_value(uri, "from").and_then(|text| text.parse().ok()).unwrap_or(0);
                Some(JobCall::Results { job: decode(job)?, from })
            }
            (&Method::GET, [job, "items", item]) => {
                Some(JobCall::Body { job: decode(job)?, item: decode(item)? })
            }
            (&Method::DELETE, [job]) => Some(JobCall::End { job: decode(job)? }),
            _ => None,
        }
    }

    fn parse_submission(&self, body: &[u8]) -> Result<Vec<JobItem>, BadSubmission> {
        let job: Job = serde_json::from_slice(body).map_err(|cause| BadSubmission {
            field: "body".into(),
            wanted: format!("must be a JSON object with items: {cause}"),
        })?;
        let mut items = Vec::with_capacity(job.items.len());
        for (index, item) in job.items.into_iter().enumerate() {
            let body = STANDARD.decode(&item.body).map_err(|cause| BadSubmission {
                field: format!("items[{index}].body"),
                wanted: format!("must be base64: {cause}"),
            })?;
            let headers = item.headers.into_iter();
            items.push(JobItem {
                id: item.id,
                path: item.path,
                headers: headers.map(|(name, value)| ItemHeader { name, value }).collect(),
                body,
                tokens: item.tokens,
            });
        }
        Ok(items)
    }

    fn format_results(&self, page: &ResultPage) -> Bytes {
        let outcome = |state| match state {
            ItemState::Completed => "completed",
            ItemState::Abandoned => "abandoned",
        };
        let results = page.results.iter().map(|result| ItemOutcome {
            item: &result.id,
            outcome: outcome(result.state),
            text: &result.text,
        });
        let response = Results { total: page.total, next: page.next, results: results.collect() };
        serde_json::to_vec(&response).unwrap_or_default().into()
    }
}
