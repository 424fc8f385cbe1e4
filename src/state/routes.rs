//! Routes by host and path prefix, as the operator of the deployment configures them. See
//! docs/PLATFORM.md, "Routes".

use crate::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Whether requests of a route may be retried after an upstream has failed them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// Requests may run any number of times.
    Idempotent,
    /// Requests run at most once.
    NonIdempotent,
    /// Responses are streams of events; requests run at most once, unless `resumable`.
    Stream {
        /// Whether another upstream may resume after the last event that the caller received.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request may run on a second upstream after the first may have run it.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Returns whether responses are streams of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }

    /// Returns whether callers may take up interrupted responses.
    pub fn is_resumable(self) -> bool {
        matches!(self, Self::Stream { resumable: true })
    }
}

/// A service to which a route sends a part of its requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteTarget {
    /// The service that serves the requests.
    pub service: ServiceName,
    /// The share of the route's requests, relative to the weights of the other targets.
    pub weight: u32,
}

/// The rules for the requests of one route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteRule {
    /// The target for the time between two events of a stream.
    pub inter_event_target: Option<Duration>,
    /// Whether responses are streams, and whether requests may be retried.
    pub kind: RouteKind,
    /// The target for the time to the first event of a stream, or to the end of another response.
    pub latency_target: Duration,
    /// The name of the route for logs.
    pub name: String,
    /// The priority of the requests; 0 is the highest.
    pub priority: u32,
    /// The number of upstreams on which one request may run.
    pub max_runs: u32,
    /// Whether requests need no key, though the configuration has client accounts.
    pub open_to_all: bool,
    /// The services among which the requests are split.
    pub targets: Vec<RouteTarget>,
    /// The longest duration of a request.
    pub timeout: Duration,
}

impl RouteRule {
    /// Returns whether the route sends requests to a service.
    pub fn has_target(&self, service: &ServiceName) -> bool {
        self.targets.iter().any(|target| target.weight > 0 && target.service == *service)
    }

    /// Selects the service for a request by weight, given a uniformly distributed number from 0 up
    /// to 1.
    pub fn select_service(&self, sample: f64) -> Option<&ServiceName> {
        let total: u32 = self.targets.iter().map(|target| target.weight).sum();
        let mut remaining = sample * f64::from(total);
        for target in &self.targets {
            remaining -= f64::from(target.weight);
            if remaining < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.iter().rev().find(|target| target.weight > 0).map(|target| &target.service)
    }
}

/// The properties of a service's model engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpec {
    /// How long a prefill worker keeps a result that is not fetched.
    pub prefill_retention: Duration,
    /// The transfer rate of the link into one worker.
    pub link_rate: TokenRate,
    /// The size of one worker's KV cache, in tokens.
    pub cache_capacity: Tokens,
    /// How long a worker that changes its role takes no requests.
    pub role_switch_time: Duration,
    /// The number of tokens that one event of a stream carries.
    pub tokens_per_event: u32,
}

/// A service to which routes lead.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutedService {
    /// The largest number of connections that one upstream accepts in total.
    pub connection_limit: u32,
    /// The properties of its model engines; `None` for a plain service.
    pub engine: Option<EngineSpec>,
}

/// The limits for what callers send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// The largest body, in bytes.
    pub max_body_bytes: usize,
    /// The largest total size of a request's headers, in bytes.
    pub max_header_bytes: usize,
    /// Timeout for receiving the head of a request, counted from its first byte.
    pub header_timeout: Duration,
    /// The longest time that a connection may be idle between requests.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits that hold until a configuration is known.
    fn default() -> Self {
        Self {
            max_body_bytes: 4 * 1024 * 1024,
            max_header_bytes: 64 * 1024,
            header_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// All routes and services of one revision; immutable once built.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// The client accounts; `None` if requests need no key.
    pub accounts: Option<AccountDirectory>,
    /// The limits for what callers send.
    pub limits: CallerLimits,
    /// The revision of the table.
    pub revision: Revision,
    /// The services by name.
    pub services: BTreeMap<ServiceName, RoutedService>,
    routes: BTreeMap<String, BTreeMap<String, Arc<RouteRule>>>,
}

impl RouteTable {
    /// Returns a table without routes.
    pub fn new(
        revision: Revision,
        services: BTreeMap<ServiceName, RoutedService>,
        limits: CallerLimits,
    ) -> Self {
        Self { accounts: None, limits, revision, routes: BTreeMap::new(), services }
    }

    /// Adds a route for a host and a prefix that begins and ends with a slash.
    pub fn insert(&mut self, host: &str, prefix: &str, rule: RouteRule) {
        let prefixes = self.routes.entry(host.to_ascii_lowercase()).or_default();
        prefixes.insert(prefix.to_owned(), Arc::new(rule));
    }

    /// Returns the route of a host with the longest matching prefix of the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = self.routes.get(&name.to_ascii_lowercase())?;
        let ends = path.char_indices().rev().filter(|(_, c)| *c == '/');
        ends.map(|(at, _)| &path[..=at]).find_map(|prefix| prefixes.get(prefix))
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.routes.values().map(BTreeMap::len).sum()
    }

    /// Returns whether the table has no routes.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}

/// Holds the newest route table; an older one never replaces it.
#[derive(Debug, Default)]
pub struct ActiveRoutes {
    current: Option<Arc<RouteTable>>,
}

impl ActiveRoutes {
    /// Puts a table in force if it is newer than the current one; returns whether it was.
    pub fn update(&mut self, table: RouteTable) -> bool {
        let known = self.current.as_ref().map(|current| current.revision);
        if known >= Some(table.revision) {
            return false;
        }
        self.current = Some(Arc::new(table));
        true
    }

    /// Returns the table in force; `None` before the first update.
    pub fn current(&self) -> Option<&Arc<RouteTable>> {
        self.current.as_ref()
    }
}
