//! Who sends a request: the key that it carries, looked up in the newest configuration known.
//!
//! Invariant: nothing behind this module sees a key. A request goes on with a `Caller`, and what a
//! back end is told of its sender is set from that alone.

use std::fmt;
use std::sync::Arc;

use borsh::{BorshDeserialize, BorshSerialize};
use http::{header, HeaderMap, HeaderName, HeaderValue};
use yokefall_types::{KeyIndex, Tenant, TenantName};

/// Scheme of the keys that callers present (RFC 6750), in any letter case.
const SCHEME: &str = "Bearer";
/// Challenge in answers to requests without a valid key (RFC 9110, 11.6.1).
pub const CHALLENGE: HeaderValue = HeaderValue::from_static(SCHEME);

/// Who sends a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Caller {
    /// The configuration holds no tenants: nobody is asked for a key.
    Unchecked,
    /// The route needs no key, and the request carries none that is known.
    Anonymous,
    /// A tenant.
    Tenant(Arc<Tenant>),
}

/// Why a request has no caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyError {
    /// It carries no key.
    Missing,
    /// It carries more than one.
    Repeated,
    /// It is not `Bearer` and one word.
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

/// Finds the caller of a request. `tenants` are those of the newest configuration known, `None` where
/// it holds none. Where the route is `exempt`, a request without a valid key is nobody's.
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
    /// The tenant, where there is one.
    pub fn tenant(&self) -> Option<&Arc<Tenant>> {
        match self {
            Caller::Tenant(tenant) => Some(tenant),
            Caller::Unchecked | Caller::Anonymous => None,
        }
    }

    /// Name of the tenant, for lines; empty where there is none.
    pub fn name(&self) -> &str {
        self.tenant().map_or("", |tenant| tenant.name.as_str())
    }

    /// Rank of its requests on a route of rank `route`; 0 is the highest.
    pub fn rank(&self, route: u32) -> u32 {
        self.tenant().and_then(|tenant| tenant.rank).unwrap_or(route)
    }

    /// Who asks about batch jobs.
    pub fn requester(&self) -> Requester {
        match self {
            Caller::Unchecked => Requester::Unchecked,
            Caller::Anonymous => Requester::Anonymous,
            Caller::Tenant(tenant) => Requester::Tenant(tenant.name.clone()),
        }
    }

    /// Sets what a back end is told of the caller, in the headers of a request to it. `name` is the
    /// header that names the tenant.
    pub fn set_tenant_header(&self, name: &HeaderName, headers: &mut HeaderMap) {
        if *self == Caller::Unchecked {
            return;
        }
        set_tenant_header(self.tenant().map(|tenant| &tenant.name), name, headers);
    }
}

/// Takes a key and a tenant's name that the sender gave out of the headers of a request to a back end,
/// and names the tenant there.
pub fn set_tenant_header(tenant: Option<&TenantName>, name: &HeaderName, headers: &mut HeaderMap) {
    headers.remove(header::AUTHORIZATION);
    headers.remove(name);
    if let Some(value) = tenant.and_then(|name| HeaderValue::try_from(name.as_str()).ok()) {
        headers.insert(name, value);
    }
}

/// Who asks about a batch job.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Requester {
    /// The configuration holds no tenants.
    Unchecked,
    /// Nobody that is known.
    Anonymous,
    /// A tenant.
    Tenant(TenantName),
}

impl Requester {
    /// The tenant to which a job that this requester submits belongs.
    pub fn owner(&self) -> Option<TenantName> {
        match self {
            Requester::Tenant(name) => Some(name.clone()),
            Requester::Unchecked | Requester::Anonymous => None,
        }
    }

    /// Whether it may read or end a job of this owner.
    pub fn may_access(&self, owner: Option<&TenantName>) -> bool {
        match (self, owner) {
            (Requester::Unchecked, _) | (_, None) => true,
            (Requester::Anonymous, Some(_)) => false,
            (Requester::Tenant(name), Some(owner)) => name == owner,
        }
    }
}
