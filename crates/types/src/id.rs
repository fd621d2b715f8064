//! Names and compound identifiers.

use std::fmt;
use std::sync::Arc;

use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
            BorshSerialize, BorshDeserialize,
        )]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps a name.
            pub fn new(name: impl AsRef<str>) -> Self {
                Self(Arc::from(name.as_ref()))
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self::new(name)
            }
        }
    };
}

name_type!(
    /// A partner: the namespace that owns services, jobs and keys.
    PartnerName
);
name_type!(
    /// A tenant of one partner.
    TenantName
);
name_type!(
    /// A service declared by a partner.
    ServiceName
);
name_type!(
    /// Name of a yokefall process (daemon or agent).
    NodeName
);

/// A caller's request id, unique within a partner and tenant; the idempotency key of a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct RequestId {
    /// The partner whose key authenticated the request.
    pub partner: PartnerName,
    /// The tenant named by the caller.
    pub tenant: TenantName,
    /// The id chosen by the caller.
    pub id: Arc<str>,
}

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}/{}", self.partner, self.tenant, self.id)
    }
}

/// A job's identity: the key chosen by the caller within a partner and tenant.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct JobId {
    /// The partner that owns the job.
    pub partner: PartnerName,
    /// The tenant named by the caller.
    pub tenant: TenantName,
    /// The key chosen by the caller.
    pub key: Arc<str>,
}

impl fmt::Display for JobId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}/{}", self.partner, self.tenant, self.key)
    }
}

/// A back end, named within its partner.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct BackendId {
    /// The partner that declared the back end.
    pub partner: PartnerName,
    /// The back end's object name.
    pub name: Arc<str>,
}

impl fmt::Display for BackendId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.partner, self.name)
    }
}

/// A service, named within its partner.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct ServiceId {
    /// The partner that declared the service.
    pub partner: PartnerName,
    /// The service's object name.
    pub name: ServiceName,
}

impl fmt::Display for ServiceId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.partner, self.name)
    }
}
