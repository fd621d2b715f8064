//! Ids of clients in paths, and names of machines in file names, with characters that have a meaning
//! there.

use http::{Method, Uri};
use yokefall_serving::{Claim, Dialect, JobCall, Platform, Registry};
use yokefall_standalone::dialect::NativeDialect;
use yokefall_standalone::Standalone;

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

/// A name must lead to no other folder.
#[tokio::test]
async fn claims_and_reports_stay_in_their_folder() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut registry = Standalone::new(folder.path().join("catalog.toml")).registry();
    for name in ["a/b", "../a", "/a", "a b"] {
        assert_eq!(registry.claim(name, "m/1").await, Ok(Claim::Mine), "{name:?}");
        assert_eq!(registry.claim(name, "m/2").await, Ok(Claim::Another), "{name:?}");
        assert_eq!(registry.report_retirement(name, true).await, Ok(()), "{name:?}");
    }
    let files = |path| std::fs::read_dir(path).expect("a folder").count();
    assert_eq!(files(folder.path()), 1, "nothing lies beside the claims");
    assert_eq!(files(&folder.path().join("catalog.claims")), 8);
}
