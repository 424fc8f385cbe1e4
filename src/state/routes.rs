//! Routes by host and path prefix, as the deployment's operator configures them. See
//! docs/PLATFORM.md, "Routes".

use crate::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

/// What a route's requests allow when an upstream fails them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// They may run any number of times.
    Idempotent,
    /// They run at most once.
    NonIdempotent,
    /// They are answered with a stream of events and run at most once, unless `resumable`.
    Stream {
        /// Whether another upstream may go on after the last event that the caller has.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request may run on a second upstream after the first may have run it.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Returns whether answers are streams of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// One service's part of a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,
    /// Its part of the route's requests, in proportion to the other targets' weights.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteRule {
    /// The longest pause between two events of a stream that is still on time.
    pub gap_target: Option<Duration>,
    /// What its requests allow.
    pub kind: RouteKind,
    /// The target for the first event of a stream, or for the whole of another answer.
    pub latency_target: Duration,
    /// Its name, for logs.
    pub name: String,
    /// The urgency of its requests; 0 is the highest.
    pub priority: u32,
    /// On how many upstreams one request may run.
    pub run_limit: u32,
    /// The services that answer it.
    pub targets: Vec<RouteTarget>,
    /// The longest time that a request may take.
    pub timeout: Duration,
}

impl RouteRule {
    /// Returns the service for a request, given an evenly distributed number from 0 up to 1.
    pub fn select_service(&self, draw: f64) -> Option<&ServiceName> {
        let total: u32 = self.targets.iter().map(|target| target.weight).sum();
        let mut left = draw * f64::from(total);
        for target in &self.targets {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.iter().rev().find(|target| target.weight > 0).map(|target| &target.service)
    }
}

/// The model engines of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpec {
    /// How long a prefill worker keeps a result that nobody fetched.
    pub eviction: Duration,
    /// The speed of the link into one worker.
    pub link_rate: TokenRate,
    /// The engine memory of one worker.
    pub kv_capacity: Tokens,
    /// How long a worker is away that changes its role.
    pub role_switch_time: Duration,
    /// How many tokens one event of a stream carries.
    pub tokens_per_event: u32,
}

/// One service that routes lead to.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutedService {
    /// How many connections one upstream takes from all callers together.
    pub connection_limit: u32,
    /// Its engines; nothing for a plain service.
    pub engine: Option<EngineSpec>,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// The largest body, in bytes.
    pub max_body_bytes: usize,
    /// The headers of one request together, in bytes.
    pub max_header_bytes: usize,
    /// How long the head of a request may take from its first byte on.
    pub header_timeout: Duration,
    /// How long a connection may be idle between requests.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Returns what holds until a configuration is known.
    fn default() -> Self {
        Self {
            max_body_bytes: 4 * 1024 * 1024,
            max_header_bytes: 64 * 1024,
            header_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// All routes and services of one revision; it never changes once built.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// What callers may send.
    pub limits: CallerLimits,
    /// Its number.
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
        Self { limits, revision, routes: BTreeMap::new(), services }
    }

    /// Adds a route for a host and a prefix that begins and ends with a slash.
    pub fn insert(&mut self, host: &str, prefix: &str, rule: RouteRule) {
        let prefixes = self.routes.entry(host.to_ascii_lowercase()).or_default();
        prefixes.insert(prefix.to_owned(), Arc::new(rule));
    }

    /// Returns the route of a host with the longest prefix that begins the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = self.routes.get(&name.to_ascii_lowercase())?;
        let ends = path.char_indices().rev().filter(|(_, c)| *c == '/');
        ends.map(|(at, _)| &path[..=at]).find_map(|prefix| prefixes.get(prefix))
    }

    /// Returns how many routes there are.
    pub fn len(&self) -> usize {
        self.routes.values().map(BTreeMap::len).sum()
    }

    /// Returns whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}

/// Holds the newest route table that was offered; an older one never comes back.
#[derive(Debug, Default)]
pub struct ActiveRoutes {
    current: Option<Arc<RouteTable>>,
}

impl ActiveRoutes {
    /// Takes a table in unless it is not newer; returns whether it is in force now.
    pub fn update(&mut self, table: RouteTable) -> bool {
        let known = self.current.as_ref().map(|current| current.revision);
        if known >= Some(table.revision) {
            return false;
        }
        self.current = Some(Arc::new(table));
        true
    }

    /// Returns the table in force; nothing before the first one.
    pub fn current(&self) -> Option<&Arc<RouteTable>> {
        self.current.as_ref()
    }
}
