//! Identifies the sender of a request by its API key, looked up in the newest configuration known.
//!
//! Invariant: no other module sees a key. A request is passed on with a `Caller`, and what a back
//! end is told about the sender is derived from that alone.

use std::fmt;
use std::sync::Arc;

use borsh::{BorshDeserialize, BorshSerialize};
use http::{header, HeaderMap, HeaderName, HeaderValue};
use yokefall_types::{KeyIndex, Tenant, TenantName};

/// Authentication scheme of API keys (RFC 6750), case-insensitive.
const SCHEME: &str = "Bearer";
/// Challenge in responses to requests without a valid key (RFC 9110, 11.6.1).
pub const CHALLENGE: HeaderValue = HeaderValue::from_static(SCHEME);

/// The sender of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Caller {
    /// The configuration has no tenants, so no key is required.
    Unchecked,
    /// The route requires no key, and the request carries no known one.
    Anonymous,
    /// A tenant.
    Tenant(Arc<Tenant>),
}

/// Reason why a request could not be authenticated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyError {
    /// The request carries no key.
    Missing,
    /// The request carries more than one key.
    Repeated,
    /// The header is not `Bearer` followed by one word.
    Malformed,
    /// No tenant has this key.
    Unknown,
}

impl fmt::Display for KeyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            KeyError::Missing => "authorization: give a key",
            KeyError::Repeated => "authorization: give one key, not several",
            KeyError::Malformed => "authorization: give Bearer and a key",
            KeyError::Unknown => "authorization: no tenant has this key",
        })
    }
}

impl std::error::Error for KeyError {}

/// Identifies the caller of a request. `tenants` are those of the newest configuration known,
/// `None` if it has none. On an `exempt` route, a request without a valid key is anonymous.
pub fn identify(
    tenants: Option<&KeyIndex<Arc<Tenant>>>,
    headers: &HeaderMap,
    exempt: bool,
) -> Result<Caller, KeyError> {
    let Some(tenants) = tenants else { return Ok(Caller::Unchecked) };
    let found = key_of(headers).and_then(|key| tenants.owner(key).ok_or(KeyError::Unknown));
    match found {
        Ok(tenant) => Ok(Caller::Tenant(tenant.clone())),
        Err(_) if exempt => Ok(Caller::Anonymous),
        Err(error) => Err(error),
    }
}

fn key_of(headers: &HeaderMap) -> Result<&str, KeyError> {
    let mut values = headers.get_all(header::AUTHORIZATION).iter();
    let value = values.next().ok_or(KeyError::Missing)?;
    if values.next().is_some() {
        return Err(KeyError::Repeated);
    }
    let text = value.to_str().map_err(|_| KeyError::Malformed)?;
    let (scheme, key) = text.trim().split_once(' ').ok_or(KeyError::Malformed)?;
    let key = key.trim();
    let is_one_word = !key.is_empty() && !key.contains([' ', '\t', ',']);
    if !scheme.eq_ignore_ascii_case(SCHEME) || !is_one_word {
        return Err(KeyError::Malformed);
    }
    Ok(key)
}

impl Caller {
    /// The tenant, if any.
    pub fn tenant(&self) -> Option<&Arc<Tenant>> {
        match self {
            Caller::Tenant(tenant) => Some(tenant),
            Caller::Unchecked | Caller::Anonymous => None,
        }
    }

    /// Name of the tenant for log lines; empty if there is none.
    pub fn name(&self) -> &str {
        self.tenant().map_or("", |tenant| tenant.name.as_str())
    }

    /// Priority of the caller's requests on a route of priority `route`; 0 is the highest.
    pub fn rank(&self, route: u32) -> u32 {
        self.tenant().and_then(|tenant| tenant.rank).unwrap_or(route)
    }

    /// The requester for calls about batch jobs.
    pub fn requester(&self) -> Requester {
        match self {
            Caller::Unchecked => Requester::Unchecked,
            Caller::Anonymous => Requester::Anonymous,
            Caller::Tenant(tenant) => Requester::Tenant(tenant.name.clone()),
        }
    }

    /// Sets the headers that tell a back end the caller; `name` is the one that names the tenant.
    pub fn set_tenant_header(&self, name: &HeaderName, headers: &mut HeaderMap) {
        if *self == Caller::Unchecked {
            return;
        }
        set_tenant_header(self.tenant().map(|tenant| &tenant.name), name, headers);
    }
}

/// Removes the API key and any tenant name given by the sender from the headers of a request to a
/// back end, and sets the authenticated tenant name.
pub fn set_tenant_header(tenant: Option<&TenantName>, name: &HeaderName, headers: &mut HeaderMap) {
    headers.remove(header::AUTHORIZATION);
    headers.remove(name);
    if let Some(value) = tenant.and_then(|name| HeaderValue::try_from(name.as_str()).ok()) {
        headers.insert(name, value);
    }
}

/// The sender of a call about a batch job.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Requester {
    /// The configuration has no tenants.
    Unchecked,
    /// No known tenant.
    Anonymous,
    /// A tenant.
    Tenant(TenantName),
}

impl Requester {
    /// The tenant that will own a job submitted by this requester.
    pub fn owner(&self) -> Option<TenantName> {
        match self {
            Requester::Tenant(name) => Some(name.clone()),
            Requester::Unchecked | Requester::Anonymous => None,
        }
    }

    /// Whether this requester may read or end a job of this owner.
    pub fn may_access(&self, owner: Option<&TenantName>) -> bool {
        match (self, owner) {
            (Requester::Unchecked, _) | (_, None) => true,
            (Requester::Anonymous, Some(_)) => false,
            (Requester::Tenant(name), Some(owner)) => name == owner,
        }
    }
}
