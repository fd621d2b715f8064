//! Ids of clients in paths, with characters that have a meaning there.

use http::{Method, Uri};
use yokefall_serving::{Dialect, JobCall};
use yokefall_standalone::dialect::NativeDialect;

/// A job that was accepted must be found under its id.
#[test]
fn calls_about_jobs_name_the_encoded_ids() {
    let dialect = NativeDialect::default();
    let call = |method: &Method, path: &str| {
        dialect.job_call(method, &path.parse::<Uri>().expect("a valid URI"))
    };
    let job = || "a b/ü%".to_owned();
    assert_eq!(
        call(&Method::GET, "/yokefall/jobs/a%20b%2F%C3%BC%25/results?from=2"),
        Some(JobCall::Results { job: job(), from: 2 })
    );
    assert_eq!(
        call(&Method::GET, "/yokefall/jobs/a%20b%2F%C3%BC%25/items/%23"),
        Some(JobCall::Body { job: job(), item: "#".into() })
    );
    assert_eq!(
        call(&Method::DELETE, "/yokefall/jobs/a%20b%2F%C3%BC%25"),
        Some(JobCall::End { job: job() })
    );
}
