//! The configuration as the platform's store holds it now, for decisions that rest on what it does
//! not contain.
//!
//! The configuration that a process uses is no evidence for that: it may be behind, may have come
//! from a peer, and lacks the parts that could not be read.

use std::future::Future;

use crate::model::Configuration;
use crate::source::SourceError;
use crate::table::{without_port, RouteTable};

/// A route that could not be read, with what it tells of the requests that it is for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnreadableRoute {
    /// Its host; `None` if that could not be read either.
    pub host: Option<String>,
    /// Its path prefix; `None` if that could not be read either.
    pub path_prefix: Option<String>,
}

impl UnreadableRoute {
    fn may_match(&self, host: &str, path: &str) -> bool {
        let has_host =
            self.host.as_ref().is_none_or(|own| own.eq_ignore_ascii_case(without_port(host)));
        has_host && self.path_prefix.as_ref().is_none_or(|prefix| path.starts_with(prefix))
    }
}

/// A configuration read from the store, and the routes in it that could not be read.
#[derive(Debug)]
pub struct CurrentConfiguration {
    version: u64,
    routes: RouteTable,
    unreadable_routes: Vec<UnreadableRoute>,
}

impl CurrentConfiguration {
    /// Creates it from what was read.
    pub fn new(configuration: &Configuration, unreadable_routes: Vec<UnreadableRoute>) -> Self {
        let routes = RouteTable::new(configuration);
        Self { version: configuration.version, routes, unreadable_routes }
    }

    /// Version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Number of routes that could not be read.
    pub fn unreadable_routes(&self) -> usize {
        self.unreadable_routes.len()
    }

    /// Whether a host and path belong to a batch route, or may belong to one that could not be read.
    pub fn may_have_batch(&self, host: &str, path: &str) -> bool {
        self.routes.has_batch(host, path)
            || self.unreadable_routes.iter().any(|route| route.may_match(host, path))
    }
}

/// Reads the configuration from the store.
pub trait ConfigurationReader {
    /// Reads the configuration that is in force now, never an outdated one; `None` if there is none.
    fn read(&mut self) -> impl Future<Output = Result<Option<CurrentConfiguration>, SourceError>>;

    /// Drops the connection; the next call opens a new one.
    fn reset(&mut self);
}
