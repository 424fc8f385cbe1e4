//! Watches the platform's store for routes, upstreams, hosts and role plans.

use crate::coordination::membership::MemberEvent;
use crate::coordination::registry::{RegistryChange, RegistryEvent, UpstreamRecord};
use crate::coordination::roles::{ObservedPlan, PlanRecord};
use crate::coordination::store::{StoreEra, StoreError, StoreVersion};
use crate::prelude::*;
use crate::protocol::keyring::SharedKey;
use crate::state::routes::RouteTable;
use crate::transport::crash_record::StoredCrashes;
use crate::transport::gateway::start::Gateway;
use crate::transport::node::lock;
use futures::future::BoxFuture;
use metrics::{counter, gauge};
use rand::Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// How long one watch waits for changes. A connection that breaks without a reset delays changes by
/// no more than this and the timeout of the call.
const WATCH_WAIT: Duration = Duration::from_millis(1_000);
/// The time from the start of one watch to the next, as a fraction of the propagation limit.
/// Upstreams write several times a second, and the platform counts every call. What is left of the
/// limit allows for a slow response and a retry.
const WATCH_PERIOD_FRACTION: f64 = 0.45;
/// How long a request waits for the store to be read again. The caller of a stream waits for its next
/// event meanwhile.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The shortest time between two calls that requests ask for.
const READ_PERIOD: Duration = Duration::from_millis(100);
/// The backoff after the first failed call.
const INITIAL_BACKOFF: Duration = Duration::from_millis(150);
/// The longest backoff; routes must be in force within two seconds after the store has recovered.
const MAX_BACKOFF: Duration = Duration::from_millis(400);
/// The longest time from the start of one watch to the next while upstreams register again after
/// the store has returned from an older copy.
const RETURN_WATCH_PERIOD: Duration = Duration::from_millis(300);
/// How long after the store's return [`RETURN_WATCH_PERIOD`] applies.
const RETURN_WATCH_TIME: Duration = Duration::from_secs(3);

/// The complete content of the directory.
#[derive(Clone, Debug, Default)]
pub struct DirectorySnapshot {
    /// The record of crashes.
    pub crashes: StoredCrashes,
    /// The peer addresses of the registered hosts.
    pub hosts: BTreeMap<HostName, SocketAddr>,
    /// The key that all daemons share; absent before any host has registered.
    pub key: Option<SharedKey>,
    /// The role plans by service.
    pub plans: BTreeMap<ServiceName, PlanRecord>,
    /// The routes; absent before the operator has written any.
    pub routes: Option<RouteTable>,
    /// Whether there are routes that cannot be read.
    pub has_unreadable_routes: bool,
    /// The version from which a watch continues.
    pub seen: StoreVersion,
    /// The records of all upstreams.
    pub upstreams: BTreeMap<UpstreamName, UpstreamRecord>,
}

/// One change of the directory.
#[derive(Clone, Debug)]
pub enum DirectoryChange {
    /// The record of crashes was written.
    Crashes(StoredCrashes),
    /// A host registered with this peer address.
    Host(HostName, SocketAddr),
    /// The key that all daemons share was written.
    Key(SharedKey),
    /// The operator wrote routes that cannot be read.
    UnreadableRoutes,
    /// A role plan was made or begun.
    Planned(ServiceName, PlanRecord),
    /// The operator wrote new routes.
    Routes(RouteTable),
    /// An upstream wrote its record, or the record was removed or is unreadable.
    Upstream(UpstreamName, Option<UpstreamRecord>),
}

/// The result of a watch.
#[derive(Clone, Debug)]
pub enum DirectoryUpdate {
    /// These changes, and the version from which the next watch continues.
    Changes(Vec<DirectoryChange>, StoreVersion),
    /// The store has discarded the history since the last watch, or has returned from an older
    /// copy, so everything must be read again.
    HistoryLost,
    /// The changes since the last watch take more bytes than the complete directory, which is read
    /// instead: a host behind a slow link would fall back further while it reads them.
    HistoryTooLarge,
}

/// The result of registering a host.
#[derive(Clone, Debug)]
pub struct HostRegistration {
    /// A number higher than that of every earlier registration, also in an earlier era of the
    /// store. The wall clock is unsuitable: a host that restarts after its clock was set back would
    /// be taken for its earlier incarnation.
    pub incarnation: Incarnation,
    /// The key that all daemons of the deployment share.
    pub key: SharedKey,
}

/// Reads routes, upstreams, hosts and role plans, and registers this host.
pub trait DirectorySource: Send + Sync {
    /// Registers this host with its peer address, or renews its registration. A running host
    /// passes the key that it uses, which replaces a stored one of a later era.
    fn register<'a>(
        &'a self,
        host: &'a HostName,
        peer: SocketAddr,
        own_key: Option<&'a SharedKey>,
    ) -> BoxFuture<'a, Result<HostRegistration, StoreError>>;

    /// Waits for changes after the version `seen`, for at most `wait`.
    fn watch(
        &self,
        seen: StoreVersion,
        wait: Duration,
    ) -> BoxFuture<'_, Result<DirectoryUpdate, StoreError>>;

    /// Reads the complete directory.
    fn load(&self) -> BoxFuture<'_, Result<DirectorySnapshot, StoreError>>;
}

/// Exponential backoff between failed calls, with jitter so that hosts do not retry all at once.
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
    /// Waits after a failure, longer each time.
    pub async fn wait(&mut self) {
        let jitter = rand::rng().random_range(0.6..1.4);
        tokio::time::sleep(self.next.mul_f64(jitter)).await;
        self.next = (self.next * 2).min(MAX_BACKOFF);
    }

    /// Resets the backoff after a success.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}

/// Retries a call with backoff until it succeeds; `description` names it in the log.
pub async fn retry_until_ok<T, F>(description: &str, mut call: impl FnMut() -> F) -> T
where
    F: Future<Output = Result<T, StoreError>>,
{
    let mut backoff = CallBackoff::default();
    loop {
        match call().await {
            Ok(value) => return value,
            Err(error) => log::warn!("store: {description} failed: {error}"),
        }
        backoff.wait().await;
    }
}

/// Watches the store and applies its changes until the task is dropped.
pub async fn watch_directory(gateway: Arc<Gateway>, mut seen: StoreVersion) {
    let mut backoff = CallBackoff::default();
    let mut store_lost = false;
    let mut returned_at = None;
    let mut read_now = false;
    loop {
        let started = gateway.node.clock.now();
        let asked_at = gateway.node.clock.boot();
        // After a failure only the changes that are already there are read, which returns at once.
        let stale_after = lock(&gateway.node.freshness).limit();
        let longest = stale_after.map_or(WATCH_WAIT, |limit| (limit / 3).min(WATCH_WAIT));
        let wait = if store_lost || read_now { Duration::ZERO } else { longest };
        read_now = false;
        let update = tokio::select! {
            biased;
            update = gateway.source.watch(seen, wait) => update,
            () = gateway.read_due.notified(), if !wait.is_zero() => {
                read_now = true;
                continue;
            }
        };
        if update.is_ok() && store_lost {
            store_lost = false;
            log::info!("store: reachable again");
            // Sent before any change is applied, as missing records may have expired in the outage.
            gateway.apply_registry_events([RegistryEvent::StoreRestored]);
        }
        let outcome = match update {
            Ok(DirectoryUpdate::Changes(changes, next)) => {
                seen = next;
                Ok(changes)
            }
            Ok(update @ (DirectoryUpdate::HistoryLost | DirectoryUpdate::HistoryTooLarge)) => {
                let reason = match update {
                    DirectoryUpdate::HistoryLost => "gone",
                    _ => "too large",
                };
                log::info!(
                    "store: the history since the last watch is {reason}; reading the complete directory"
                );
                gateway.source.load().await.map(|snapshot| {
                    // Versions may have come and gone between the last watch and this read.
                    let now = gateway.node.clock.now();
                    lock(&gateway.node.versions).set_readable(now, false);
                    let has_returned = snapshot.seen.era != seen.era;
                    seen = snapshot.seen;
                    if has_returned {
                        returned_at = Some(gateway.node.clock.now());
                        gateway.apply_return(snapshot);
                    } else {
                        gateway.apply_snapshot(snapshot);
                    }
                    Vec::new()
                })
            }
            Err(error) => Err(error),
        };
        match outcome {
            Ok(changes) => {
                backoff.reset();
                gateway.apply_changes(changes);
                let now = gateway.node.clock.now();
                {
                    let mut versions = lock(&gateway.node.versions);
                    versions.set_readable(now, true);
                    versions.record_read(asked_at);
                }
                gateway.directory_read.notify_waiters();
                gateway.record_answer(asked_at, seen.era);
                let period = gateway.propagation_limit.mul_f64(WATCH_PERIOD_FRACTION);
                let period = stale_after.map_or(period, |limit| period.min(limit.mul_f64(0.4)));
                let period = match returned_at {
                    Some(at) if now < at + RETURN_WATCH_TIME => period.min(RETURN_WATCH_PERIOD),
                    _ => period,
                };
                let read_due = async {
                    tokio::time::sleep(READ_PERIOD.saturating_sub(now - started)).await;
                    gateway.read_due.notified().await;
                };
                tokio::select! {
                    () = tokio::time::sleep(period.saturating_sub(now - started)) => {}
                    () = read_due => read_now = true,
                    () = gateway.node.newer_era.notified() => gateway.hold_plans(),
                }
            }
            Err(error) => {
                counter!("apricotrun_store_failures_total").increment(1);
                if !store_lost {
                    store_lost = true;
                    log::warn!(
                        "store: unreachable; routes and upstreams stay as they are: {error}"
                    );
                }
                gateway.apply_registry_events([RegistryEvent::StoreLost]);
                lock(&gateway.node.versions).set_readable(gateway.node.clock.now(), false);
                gateway.directory_read.notify_waiters();
                tokio::select! {
                    () = backoff.wait() => {}
                    () = gateway.node.newer_era.notified() => gateway.hold_plans(),
                }
            }
        }
    }
}

impl Gateway {
    /// Waits until the records of upstreams are known as they were at `time` or later; returns false if
    /// the store does not answer in time.
    pub async fn read_directory_since(&self, time: BootTime) -> bool {
        let read = async {
            loop {
                let mut done = std::pin::pin!(self.directory_read.notified());
                done.as_mut().enable();
                let (is_read, is_readable) = {
                    let versions = lock(&self.node.versions);
                    (versions.is_read_since(time), versions.is_readable())
                };
                if is_read || !is_readable {
                    return is_read;
                }
                self.read_due.notify_one();
                done.await;
            }
        };
        tokio::time::timeout(READ_TIMEOUT, read).await.unwrap_or(false)
    }

    /// Applies the complete content of the directory.
    pub fn apply_snapshot(self: &Arc<Self>, snapshot: DirectorySnapshot) {
        self.node.observe_crash_record(&snapshot.crashes);
        self.record_era(snapshot.seen.era);
        self.check_registration(&snapshot);
        for (host, peer) in snapshot.hosts {
            self.node.handle_member_event(MemberEvent::Registered(host, peer));
        }
        self.note_readable(!snapshot.has_unreadable_routes);
        if let Some(routes) = snapshot.routes {
            self.apply_routes(routes);
        }
        self.apply_plans(snapshot.plans);
        self.apply_registry_events([RegistryEvent::Listed(snapshot.upstreams)]);
        self.configure();
    }

    /// Applies the content of a store that has returned from an older copy. What this daemon knows
    /// is newer than the copy, so routes and upstreams do not go back to it. See docs/DESIGN.md,
    /// "Store eras".
    fn apply_return(self: &Arc<Self>, snapshot: DirectorySnapshot) {
        let era = snapshot.seen.era;
        counter!("apricotrun_store_returns_total").increment(1);
        self.record_era(era);
        log::warn!(
            era = era.0, revision = snapshot.seen.revision,
            config = snapshot.routes.as_ref().map_or(0, |routes| routes.revision.0),
            upstreams = snapshot.upstreams.len(), hosts = snapshot.hosts.len();
            "store: has returned from an older copy"
        );
        self.node.observe_crash_record(&snapshot.crashes);
        self.check_registration(&snapshot);
        self.note_readable(!snapshot.has_unreadable_routes);
        if let Some(routes) = snapshot.routes {
            self.apply_routes(routes);
        }
        let stored_plans = snapshot.plans.keys().cloned().collect();
        let upstreams = snapshot.upstreams;
        self.apply_registry_events([RegistryEvent::Returned { stored_plans, upstreams }]);
        self.apply_plans(snapshot.plans);
        self.configure();
    }

    fn record_era(self: &Arc<Self>, era: StoreEra) {
        gauge!("apricotrun_store_era").set(era.0 as f64);
        self.node.handle_member_event(MemberEvent::Era(era));
    }

    /// Holds role plans back, as another daemon has seen the store return.
    fn hold_plans(&self) {
        self.apply_registry_events([RegistryEvent::HoldPlans]);
    }

    /// Observes the plans of a complete read that differ from those known.
    fn apply_plans(&self, plans: BTreeMap<ServiceName, PlanRecord>) {
        let now = self.node.clock.now();
        let is_known = |service: &ServiceName, plan: &PlanRecord| {
            let registry = lock(&self.registry);
            registry.plan_of(service).is_some_and(|observed| observed.record() == plan)
        };
        let plans = plans.into_iter().filter(|(service, plan)| !is_known(service, plan));
        let plans: Vec<_> = plans.collect();
        self.apply_registry_events(plans.into_iter().map(|(service, plan)| {
            RegistryEvent::Planned(service, ObservedPlan::of_unknown_age(now, plan))
        }));
    }

    fn apply_changes(self: &Arc<Self>, changes: Vec<DirectoryChange>) {
        let mut reconfigure = false;
        let mut events = vec![RegistryEvent::Tick];
        for change in changes {
            match change {
                DirectoryChange::Crashes(crashes) => self.node.observe_crash_record(&crashes),
                // The membership protocol discovers hosts with its own probes, but a daemon that
                // knows no other needs an address to begin with, and hosts that it cannot reach count.
                DirectoryChange::Host(host, address) => {
                    self.node.handle_member_event(MemberEvent::Registered(host, address));
                }
                DirectoryChange::Key(key) => self.check_key(&key),
                DirectoryChange::Planned(service, plan) => {
                    reconfigure = true;
                    events.push(self.observe_plan(service, plan));
                }
                DirectoryChange::Routes(routes) => {
                    self.note_readable(true);
                    reconfigure |= self.apply_routes(routes);
                }
                DirectoryChange::UnreadableRoutes => self.note_readable(false),
                DirectoryChange::Upstream(name, Some(record)) => {
                    events.push(RegistryEvent::Written(name, record));
                }
                DirectoryChange::Upstream(name, None) => events.push(RegistryEvent::Removed(name)),
            }
        }
        if self.apply_registry_events(events) || reconfigure {
            self.configure();
        }
    }

    fn apply_routes(&self, routes: RouteTable) -> bool {
        let (revision, count) = (routes.revision, routes.len());
        let updated = lock(&self.routes).update(routes);
        if updated {
            lock(&self.node.freshness).set_in_force(revision);
            gauge!("apricotrun_config_revision").set(revision.0 as f64);
            log::info!(revision = revision.0, routes = count; "config: in force");
        }
        updated
    }

    /// Records whether the routes in the store can be read. While they cannot, the store's answers do
    /// not show that the configuration in force is the latest one.
    fn note_readable(&self, readable: bool) {
        self.has_readable_routes.store(readable, Ordering::Relaxed);
    }

    /// Records that what the store answered to a call sent at `sent` is in force.
    pub(super) fn record_answer(&self, sent: BootTime, era: StoreEra) {
        if self.has_readable_routes.load(Ordering::Relaxed) {
            lock(&self.node.freshness).record_answer(sent, era);
        }
    }

    /// Passes events to the upstream registry and returns whether anything changed for requests.
    pub(super) fn apply_registry_events(
        &self,
        events: impl IntoIterator<Item = RegistryEvent>,
    ) -> bool {
        let now = self.node.clock.now();
        let mut registry = lock(&self.registry);
        let changes = events.into_iter().flat_map(|event| registry.handle(now, event));
        let changes: Vec<_> = changes.collect();
        gauge!("apricotrun_upstreams_known").set(registry.len() as f64);
        drop(registry);
        for change in &changes {
            log_change(change);
            match change {
                RegistryChange::Ready(name) | RegistryChange::Draining(name) => {
                    self.correct_origins(name);
                }
                RegistryChange::Gone(name) | RegistryChange::Restarted(name) => {
                    lock(&self.node.response_times).forget(name);
                }
                _ => {}
            }
        }
        !changes.is_empty()
    }
}

fn log_change(change: &RegistryChange) {
    let (upstream, description) = match change {
        RegistryChange::Ready(name) => (name, "accepts requests"),
        RegistryChange::Draining(name) => (name, "is draining"),
        RegistryChange::Expired(name) => {
            (name, "has a record that expired while the store was unreachable")
        }
        RegistryChange::Gone(name) => (name, "is gone"),
        RegistryChange::Leaving(name) => (name, "says that it is about to stop"),
        RegistryChange::Restarted(name) => (name, "has started again"),
        RegistryChange::Quiet(name, time) => {
            let quiet_ms = time.as_millis() as u64;
            return log::info!(
                upstream:% = name, quiet_ms; "upstream: takes no requests for a while"
            );
        }
    };
    log::info!(upstream:% = upstream; "upstream: {description}");
}
