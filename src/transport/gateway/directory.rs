//! Follows the platform's store: which routes, upstreams and hosts there are.

use crate::coordination::registry::{RegistryChange, RegistryEvent, UpstreamRecord};
use crate::coordination::roles::{ObservedPlan, PlanRecord};
use crate::coordination::store::{StoreError, StoreVersion};
use crate::prelude::*;
use crate::protocol::codec::PeerKey;
use crate::state::routes::RouteTable;
use crate::transport::gateway::start::Gateway;
use crate::transport::node::lock;
use futures::future::BoxFuture;
use metrics::{counter, gauge};
use rand::Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// How long one watch waits for news. A connection that went silent without a reset delays
/// news by no more than this and the call's own limit.
const WATCH_WAIT: Duration = Duration::from_millis(1_000);
/// The part of the time in which news must be in force that passes between two watches. Upstreams
/// write several times a second, and every answer is a call that the platform counts; the rest is
/// for a slow answer and a second try.
const WATCH_PERIOD_FRACTION: f64 = 0.45;
/// The first pause after a failed call.
const INITIAL_BACKOFF: Duration = Duration::from_millis(150);
/// The longest pause after failed calls; routes must be in force within two seconds of a return.
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// Everything that the store says.
#[derive(Clone, Debug, Default)]
pub struct DirectorySnapshot {
    /// Other hosts, and where their daemons hear each other.
    pub hosts: BTreeMap<HostName, SocketAddr>,
    /// The plans of roles by service.
    pub plans: BTreeMap<ServiceName, PlanRecord>,
    /// The routes; nothing before the operator has written any.
    pub routes: Option<RouteTable>,
    /// Where a watch goes on.
    pub seen: StoreVersion,
    /// The upstreams.
    pub upstreams: BTreeMap<UpstreamName, UpstreamRecord>,
}

/// One change in the store.
#[derive(Clone, Debug)]
pub enum DirectoryChange {
    /// A host came.
    Host(HostName, SocketAddr),
    /// A plan of roles was made or begun.
    Planned(ServiceName, PlanRecord),
    /// The routes changed.
    Routes(RouteTable),
    /// An upstream wrote its record, or the record is gone.
    Upstream(UpstreamName, Option<UpstreamRecord>),
}

/// What a watch brought.
#[derive(Clone, Debug)]
pub enum DirectoryUpdate {
    /// These changes, and where the next watch goes on.
    Changes(Vec<DirectoryChange>, StoreVersion),
    /// The store no longer knows what came after the last watch.
    HistoryLost,
}

/// What a host gets when it registers.
#[derive(Clone, Debug)]
pub struct HostRegistration {
    /// The key that all daemons of the deployment share.
    pub key: PeerKey,
    /// A number that is higher than that of every earlier registration. Time of day would not do: a host
    /// that starts again after its clock was set back would be taken for its own past.
    pub life: Incarnation,
}

/// Where routes, upstreams and hosts are kept.
pub trait DirectorySource: Send + Sync {
    /// Registers this host.
    fn register<'a>(
        &'a self,
        host: &'a HostName,
        peer: SocketAddr,
    ) -> BoxFuture<'a, Result<HostRegistration, StoreError>>;

    /// Waits for what came after `seen`, at most for `wait`.
    fn watch(
        &self,
        seen: StoreVersion,
        wait: Duration,
    ) -> BoxFuture<'_, Result<DirectoryUpdate, StoreError>>;

    /// Reads everything.
    fn load(&self) -> BoxFuture<'_, Result<DirectorySnapshot, StoreError>>;
}

/// The pauses between failed calls, spread so that hosts do not return all at once.
#[derive(Debug)]
pub struct CallBackoff {
    next: Duration,
}

impl Default for CallBackoff {
    fn default() -> Self {
        Self { next: INITIAL_BACKOFF }
    }
}

impl CallBackoff {
    /// Waits, longer after each failure.
    pub async fn wait(&mut self) {
        let spread = rand::rng().random_range(0.6..1.4);
        tokio::time::sleep(self.next.mul_f64(spread)).await;
        self.next = (self.next * 2).min(MAX_BACKOFF);
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}

/// Repeats a call until it succeeds.
pub async fn retry_until_ok<T, F>(what: &str, mut call: impl FnMut() -> F) -> T
where
    F: Future<Output = Result<T, StoreError>>,
{
    let mut pause = CallBackoff::default();
    loop {
        match call().await {
            Ok(value) => return value,
            Err(error) => log::warn!("store: {what} failed: {error}"),
        }
        pause.wait().await;
    }
}

/// Follows the store until the task is dropped.
pub async fn watch_directory(gateway: Arc<Gateway>, mut seen: StoreVersion) {
    let mut pause = CallBackoff::default();
    let mut away = false;
    loop {
        let began = gateway.node.clock.now();
        // A store that did not answer is asked for what is there already, which takes it no time.
        let wait = if away { Duration::ZERO } else { WATCH_WAIT };
        let news = gateway.source.watch(seen, wait).await;
        if news.is_ok() && away {
            away = false;
            log::info!("store: it answers again");
            // Before anything is taken: what is missing may have lapsed during the outage.
            gateway.apply_registry_events([RegistryEvent::StoreRestored]);
        }
        let outcome = match news {
            Ok(DirectoryUpdate::Changes(changes, next)) => {
                seen = seen.max(next);
                Ok(changes)
            }
            Ok(DirectoryUpdate::HistoryLost) => {
                log::info!("store: its history is gone, reading everything anew");
                gateway.source.load().await.map(|snapshot| {
                    seen = snapshot.seen;
                    gateway.apply_snapshot(snapshot);
                    Vec::new()
                })
            }
            Err(error) => Err(error),
        };
        match outcome {
            Ok(changes) => {
                pause.reset();
                gateway.apply_changes(changes);
                let passed = gateway.node.clock.now() - began;
                let pace = gateway.propagation_limit.mul_f64(WATCH_PERIOD_FRACTION);
                tokio::time::sleep(pace.saturating_sub(passed)).await;
            }
            Err(error) => {
                counter!("apricotrun_store_failures_total").increment(1);
                if !away {
                    away = true;
                    log::warn!("store: lost; routes and upstreams stay as they are: {error}");
                }
                gateway.apply_registry_events([RegistryEvent::StoreLost]);
                pause.wait().await;
            }
        }
    }
}

impl Gateway {
    /// Takes over everything that the store says.
    pub fn apply_snapshot(self: &Arc<Self>, snapshot: DirectorySnapshot) {
        if let Some(routes) = snapshot.routes {
            self.apply_routes(routes);
        }
        let now = self.node.clock.now();
        let is_known = |service: &ServiceName, plan: &PlanRecord| {
            let registry = lock(&self.registry);
            registry.plan_of(service).is_some_and(|followed| followed.record() == plan)
        };
        let plans = snapshot.plans.into_iter().filter(|(service, plan)| !is_known(service, plan));
        let plans: Vec<_> = plans.collect();
        self.apply_registry_events(plans.into_iter().map(|(service, plan)| {
            RegistryEvent::Planned(service, ObservedPlan::of_unknown_age(now, plan))
        }));
        self.apply_registry_events([RegistryEvent::Listed(snapshot.upstreams)]);
        self.configure();
    }

    fn apply_changes(self: &Arc<Self>, changes: Vec<DirectoryChange>) {
        let mut changed = false;
        let mut events = vec![RegistryEvent::Tick];
        for change in changes {
            match change {
                // Membership learns of hosts by its own probes.
                DirectoryChange::Host(..) => {}
                DirectoryChange::Planned(service, plan) => {
                    changed = true;
                    events.push(self.observe_plan(service, plan));
                }
                DirectoryChange::Routes(routes) => changed |= self.apply_routes(routes),
                DirectoryChange::Upstream(name, Some(record)) => {
                    events.push(RegistryEvent::Written(name, record));
                }
                DirectoryChange::Upstream(name, None) => events.push(RegistryEvent::Removed(name)),
            }
        }
        if self.apply_registry_events(events) || changed {
            self.configure();
        }
    }

    fn apply_routes(&self, routes: RouteTable) -> bool {
        let (revision, count) = (routes.revision, routes.len());
        let taken = lock(&self.routes).update(routes);
        if taken {
            gauge!("apricotrun_config_revision").set(revision.0 as f64);
            log::info!(revision = revision.0, routes = count; "config: in force");
        }
        taken
    }

    /// Passes events to the registry; returns whether requests are concerned.
    fn apply_registry_events(&self, events: impl IntoIterator<Item = RegistryEvent>) -> bool {
        let now = self.node.clock.now();
        let mut registry = lock(&self.registry);
        let changes = events.into_iter().flat_map(|event| registry.handle(now, event));
        let changes: Vec<_> = changes.collect();
        gauge!("apricotrun_upstreams_known").set(registry.len() as f64);
        for change in &changes {
            log_change(change);
        }
        !changes.is_empty()
    }
}

fn log_change(change: &RegistryChange) {
    let (upstream, what) = match change {
        RegistryChange::Ready(name) => (name, "takes work"),
        RegistryChange::Draining(name) => (name, "is leaving"),
        RegistryChange::Expired(name) => (name, "lapsed while the store was away"),
        RegistryChange::Gone(name) => (name, "is gone"),
    };
    log::info!(upstream:% = upstream; "upstream: {what}");
}
