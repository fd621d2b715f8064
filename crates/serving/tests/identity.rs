//! Authentication of callers by API key.

use std::sync::Arc;

use http::{header, HeaderMap, HeaderName, HeaderValue};
use yokefall_serving::identity::{identify, Caller, KeyError, Requester};
use yokefall_serving::{KeyDigest, Tenant, TenantName};
use yokefall_types::KeyIndex;

const KEY: &str = "7yx5x42q492cqf75rjvz";
const TENANT_HEADER: HeaderName = HeaderName::from_static("tenant");

fn tenant(name: &str, keys: &[&str]) -> Arc<Tenant> {
    let keys = keys.iter().map(|key| KeyDigest::of(key)).collect();
    Arc::new(Tenant {
        name: TenantName::new(name),
        keys,
        rank: Some(1),
        limit: None,
        allowed_regions: Vec::new(),
    })
}

fn index() -> KeyIndex<Arc<Tenant>> {
    let mut index = KeyIndex::default();
    index.add(KeyDigest::of(KEY), tenant("huka270", &[KEY]));
    index.add(KeyDigest::of("other"), tenant("other", &["other"]));
    index
}

fn headers(values: &[&str]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for value in values {
        let value = HeaderValue::from_bytes(value.as_bytes()).expect("a value");
        headers.append(header::AUTHORIZATION, value);
    }
    headers
}

fn outcome(values: &[&str]) -> Result<String, KeyError> {
    let caller = identify(Some(&index()), &headers(values), false)?;
    Ok(caller.name().to_owned())
}

#[test]
fn a_key_identifies_its_tenant_with_any_case_of_the_scheme() {
    for scheme in ["Bearer", "bearer", "BEARER"] {
        assert_eq!(outcome(&[&format!("{scheme} {KEY}")]), Ok("huka270".into()));
    }
    assert_eq!(outcome(&[&format!("Bearer   {KEY} ")]), Ok("huka270".into()));
    assert_eq!(outcome(&["Bearer other"]), Ok("other".into()));
}

#[test]
fn each_kind_of_invalid_key_has_its_own_error() {
    let both = [format!("Bearer {KEY}"), "Bearer other".to_owned()];
    assert_eq!(outcome(&[]), Err(KeyError::Missing));
    assert_eq!(outcome(&[&both[0], &both[1]]), Err(KeyError::Repeated));
    assert_eq!(outcome(&[&both[0], &both[0]]), Err(KeyError::Repeated));
    for malformed in
        ["", "Bearer", "Bearer ", KEY, &format!("Basic {KEY}"), &format!("Bearer {KEY} x"), "é é"]
    {
        assert_eq!(outcome(&[malformed]), Err(KeyError::Malformed), "{malformed:?}");
    }
    let list = format!("Bearer {KEY},other");
    assert_eq!(outcome(&[&list]), Err(KeyError::Malformed));
    assert_eq!(outcome(&["Bearer nobodys"]), Err(KeyError::Unknown));
    let upper = format!("Bearer {}", KEY.to_uppercase());
    assert_eq!(outcome(&[&upper]), Err(KeyError::Unknown), "keys are case-sensitive");
}

#[test]
fn an_exempt_route_accepts_any_caller_and_still_identifies_tenants() {
    let known = headers(&[&format!("Bearer {KEY}")]);
    let caller = identify(Some(&index()), &known, true).expect("a caller");
    assert_eq!(caller.name(), "huka270");
    for values in [vec![], vec!["Bearer nobodys"], vec!["x"]] {
        assert_eq!(identify(Some(&index()), &headers(&values), true), Ok(Caller::Anonymous));
    }
}

#[test]
fn no_key_is_required_without_tenants() {
    assert_eq!(identify(None, &headers(&["x"]), false), Ok(Caller::Unchecked));
}

#[test]
fn a_back_end_receives_the_tenant_name_and_never_the_key() {
    let sent = || {
        let mut headers = headers(&[&format!("Bearer {KEY}"), "Bearer other"]);
        for name in ["Tenant", "tenant", "TENANT"] {
            let name = HeaderName::try_from(name).expect("a name");
            headers.append(name, HeaderValue::from_static("forged"));
        }
        headers
    };
    let mut marked = sent();
    Caller::Tenant(tenant("huka270", &[KEY])).set_tenant_header(&TENANT_HEADER, &mut marked);
    let names: Vec<&HeaderValue> = marked.get_all(&TENANT_HEADER).iter().collect();
    assert_eq!(names, ["huka270"]);
    assert!(!marked.contains_key(header::AUTHORIZATION));

    let mut marked = sent();
    Caller::Anonymous.set_tenant_header(&TENANT_HEADER, &mut marked);
    assert!(marked.is_empty(), "an anonymous request names no tenant");

    let mut marked = sent();
    Caller::Unchecked.set_tenant_header(&TENANT_HEADER, &mut marked);
    assert_eq!(marked, sent(), "without tenants these headers are passed through");
}

#[test]
fn a_tenants_rank_overrides_that_of_the_route() {
    assert_eq!(Caller::Tenant(tenant("a", &[])).rank(7), 1);
    assert_eq!(Caller::Anonymous.rank(7), 7);
    let unranked = Tenant { rank: None, ..Tenant::clone(&tenant("a", &[])) };
    assert_eq!(Caller::Tenant(Arc::new(unranked)).rank(7), 7);
}

#[test]
fn jobs_are_accessible_only_to_their_tenant() {
    let (mine, other) = (TenantName::new("mine"), TenantName::new("other"));
    let tenant = Requester::Tenant(mine.clone());
    assert!(tenant.may_access(Some(&mine)));
    assert!(!tenant.may_access(Some(&other)));
    assert!(tenant.may_access(None), "a job without an owner is open to all");
    assert!(!Requester::Anonymous.may_access(Some(&mine)));
    assert!(Requester::Unchecked.may_access(Some(&mine)));
    assert_eq!(tenant.owner(), Some(mine));
    assert_eq!(Requester::Anonymous.owner(), None);
}

#[test]
fn debug_output_contains_no_key() {
    let text = format!("{:?} {:?}", tenant("huka270", &[KEY]), index());
    assert!(!text.contains(KEY));
    assert!(!text.contains(&KeyDigest::of(KEY).hex()));
}
