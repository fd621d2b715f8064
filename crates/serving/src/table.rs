//! The route table (host and longest path prefix) and traffic splitting.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use crate::eligibility::Residency;
use crate::model::{Configuration, Route, RouteKind, SplitPart};

/// Routes of one configuration, indexed for lookups.
#[derive(Debug, Default)]
pub struct RouteTable {
    /// Routes by host, longest prefix first.
    hosts: HashMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Builds the table of a configuration.
    pub fn new(configuration: &Configuration) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in &configuration.routes {
            hosts.entry(route.host.clone()).or_default().push(Arc::new(route.clone()));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self { hosts }
    }

    /// Whether a host has a batch route that needs no API key.
    pub fn has_exempt_batch(&self, host: &str) -> bool {
        let routes = self.hosts.get(host).into_iter().flatten();
        let mut batch = routes.filter(|route| route.kind == RouteKind::Batch);
        batch.any(|route| route.auth_exempt)
    }

    /// Returns the regions common to a host's restricted routes, or else those of any of them.
    pub fn residency_of_host(&self, host: &str) -> Residency {
        let routes = self.hosts.get(host).into_iter().flatten();
        let restricted: Vec<&[String]> = routes
            .map(|route| route.allowed_regions.as_slice())
            .filter(|regions| !regions.is_empty())
            .collect();
        let Some((first, others)) = restricted.split_first() else { return Residency::Anywhere };
        let is_common = |region: &&String| others.iter().all(|regions| regions.contains(region));
        let common: BTreeSet<String> = first.iter().filter(is_common).cloned().collect();
        match common.is_empty() {
            false => Residency::Within(common),
            true => Residency::Within(restricted.into_iter().flatten().cloned().collect()),
        }
    }

    /// Finds the route for a host and path. A port after the host is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = without_port(host);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// Whether the same hosts and paths belong to batch routes as in another table. May be false for
    /// tables that differ in the order of their routes alone.
    pub fn has_same_batch_paths(&self, other: &RouteTable) -> bool {
        let paths = |routes: &[Arc<Route>]| -> Vec<(String, bool)> {
            let path =
                |route: &Arc<Route>| (route.path_prefix.clone(), route.kind == RouteKind::Batch);
            routes.iter().map(path).collect()
        };
        let is_same = |(host, routes): (&String, &Vec<Arc<Route>>)| {
            other.hosts.get(host).is_some_and(|others| paths(routes) == paths(others))
        };
        self.hosts.len() == other.hosts.len() && self.hosts.iter().all(is_same)
    }

    /// Whether a host and path belong to a batch route.
    pub fn has_batch(&self, host: &str, path: &str) -> bool {
        self.find(host, path).is_some_and(|route| route.kind == RouteKind::Batch)
    }
}

/// The name in a host, without the port.
pub(crate) fn without_port(host: &str) -> &str {
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}

/// Smooth weighted round robin over each route's split; shares are exact over a full cycle.
#[derive(Debug, Default)]
pub struct Splitter {
    /// Credit of each service, by route name.
    credits: HashMap<String, HashMap<String, i64>>,
}

impl Splitter {
    /// Returns the service for the next request of a route; `None` if no part has a weight.
    pub fn next<'a>(&mut self, route: &'a Route) -> Option<&'a str> {
        match route.split.as_slice() {
            [single] => (single.weight > 0).then_some(&single.service),
            _ => self.next_of_many(route),
        }
    }

    fn next_of_many<'a>(&mut self, route: &'a Route) -> Option<&'a str> {
        let total: i64 = route.split.iter().map(|part| i64::from(part.weight)).sum();
        if !self.credits.contains_key(&route.name) {
            self.credits.insert(route.name.clone(), HashMap::new());
        }
        let credits = self.credits.get_mut(&route.name)?;
        credits.retain(|service, _| route.split.iter().any(|part| part.service == *service));
        for part in &route.split {
            *credits.entry(part.service.clone()).or_default() += i64::from(part.weight);
        }
        let credit_of = |part: &&SplitPart| credits.get(&part.service).copied().unwrap_or(0);
        let chosen = route.split.iter().filter(|part| part.weight > 0).max_by_key(credit_of)?;
        if let Some(credit) = credits.get_mut(&chosen.service) {
            *credit -= total;
        }
        Some(&chosen.service)
    }
}
