//! Who sends a request, by its key.

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
fn a_key_names_its_tenant_in_any_spelling_of_the_scheme() {
    for scheme in ["Bearer", "bearer", "BEARER"] {
        assert_eq!(outcome(&[&format!("{scheme} {KEY}")]), Ok("huka270".into()));
    }
    assert_eq!(outcome(&[&format!("Bearer   {KEY} ")]), Ok("huka270".into()));
    assert_eq!(outcome(&["Bearer other"]), Ok("other".into()));
}

#[test]
fn what_is_no_key_of_a_tenant_has_its_own_cause() {
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
    assert_eq!(outcome(&[&upper]), Err(KeyError::Unknown), "keys have one spelling");
}

#[test]
fn an_exempt_route_takes_anybody_and_knows_who_has_a_key() {
    let known = headers(&[&format!("Bearer {KEY}")]);
    let caller = identify(Some(&index()), &known, true).expect("a caller");
    assert_eq!(caller.name(), "huka270");
    for values in [vec![], vec!["Bearer nobodys"], vec!["x"]] {
        assert_eq!(identify(Some(&index()), &headers(&values), true), Ok(Caller::Anonymous));
    }
}

#[test]
fn nobody_is_asked_where_the_configuration_holds_no_tenants() {
    assert_eq!(identify(None, &headers(&["x"]), false), Ok(Caller::Unchecked));
}

#[test]
fn a_back_end_is_told_the_tenant_and_never_the_key() {
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
    assert!(marked.is_empty(), "nobody's request names no tenant");

    let mut marked = sent();
    Caller::Unchecked.set_tenant_header(&TENANT_HEADER, &mut marked);
    assert_eq!(marked, sent(), "without tenants these are headers like others");
}

#[test]
fn a_tenants_rank_takes_the_place_of_the_routes() {
    assert_eq!(Caller::Tenant(tenant("a", &[])).rank(7), 1);
    assert_eq!(Caller::Anonymous.rank(7), 7);
    let unranked = Tenant { rank: None, ..Tenant::clone(&tenant("a", &[])) };
    assert_eq!(Caller::Tenant(Arc::new(unranked)).rank(7), 7);
}

#[test]
fn jobs_are_their_tenants() {
    let (mine, other) = (TenantName::new("mine"), TenantName::new("other"));
    let tenant = Requester::Tenant(mine.clone());
    assert!(tenant.may_access(Some(&mine)));
    assert!(!tenant.may_access(Some(&other)));
    assert!(tenant.may_access(None), "a job of nobody is open to all");
    assert!(!Requester::Anonymous.may_access(Some(&mine)));
    assert!(Requester::Unchecked.may_access(Some(&mine)));
    assert_eq!(tenant.owner(), Some(mine));
    assert_eq!(Requester::Anonymous.owner(), None);
}

#[test]
fn no_text_of_a_configuration_shows_a_key() {
    let text = format!("{:?} {:?}", tenant("huka270", &[KEY]), index());
    assert!(!text.contains(KEY));
    assert!(!text.contains(&KeyDigest::of(KEY).hex()));
}
