//! Starts a gateway, configures its shards, and stops it without cutting off a request.

use crate::coordination::membership::MemberEvent;
use crate::coordination::registry::UpstreamRegistry;
use crate::coordination::retries::{RetryBudget, RetryLimits};
use crate::coordination::store::KeyStore;
use crate::prelude::*;
use crate::protocol::codec::PeerKey;
use crate::state::routes::{ActiveRoutes, CallerLimits};
use crate::transport::build::{NodeDependencies, build_node};
use crate::transport::claims::send_summaries;
use crate::transport::engine::UpstreamClient;
use crate::transport::error::CliResult;
use crate::transport::gateway::bodies::MemoryBudget;
use crate::transport::gateway::channels::ConnectionPool;
use crate::transport::gateway::dialect::GatewayDialect;
use crate::transport::gateway::directory::{DirectorySource, retry_until_ok, watch_directory};
use crate::transport::gateway::frontend::{InFlightGuard, serve_callers};
use crate::transport::gateway::probes::{install_recorder, serve_probes};
use crate::transport::gateway::roles::{RoleClient, plan_roles};
use crate::transport::gossip;
use crate::transport::links::serve_links;
use crate::transport::node::{DaemonNode, lock};
use crate::transport::runs::ConnectionCancel;
use crate::transport::settings::{DaemonSettings, LogFormat, LogLevel};
use crate::transport::shards::tick_shards;
use http::StatusCode;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// How long new connections are still taken after readiness has gone, since the balancer lags.
const BALANCER_LAG: Duration = Duration::from_millis(2_400);
/// How often a stop looks whether the last request has ended.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(20);
/// How long before the platform kills the process it ends by itself.
const KILL_MARGIN: Duration = Duration::from_millis(300);
/// How often the settings are read, for files that change without a signal.
const SETTINGS_POLL_PERIOD: Duration = Duration::from_secs(2);
/// How often this host registers again, a third of the time that its record lives.
const REGISTRATION_PERIOD: Duration = Duration::from_secs(200);
/// How often idle connections are looked over.
const PRUNE_PERIOD: Duration = Duration::from_secs(1);
/// The account for which all callers of a deployment without accounts are counted.
const DEFAULT_ACCOUNT: &str = "callers";

/// The settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// The failure domain that this host stands in.
    pub domain: DomainName,
    /// Where callers are served.
    pub frontend: SocketAddr,
    /// How long after a request to stop the platform kills the process.
    pub grace: Duration,
    /// This host's name.
    pub host: HostName,
    /// Where metrics are read.
    pub metrics: SocketAddr,
    /// How soon after its confirmation by the store news must be in force.
    pub propagation_limit: Duration,
    /// Where other daemons are heard, by UDP and TCP.
    pub peer: SocketAddr,
    /// Where the balancer asks whether to send callers here.
    pub readiness: SocketAddr,
    /// The fleet's retry budget for each service.
    pub retries: RetryLimits,
    /// The address of the platform's store.
    pub store: SocketAddr,
}

/// Reads and checks the settings anew.
pub type SettingsReader = Arc<dyn Fn() -> CliResult<GatewaySettings> + Send + Sync>;

/// A gateway's settings and its ways to the deployment around it.
pub struct GatewaySetup {
    /// Reads and writes headers.
    pub dialect: Arc<dyn GatewayDialect>,
    /// Reads the settings anew.
    pub reader: SettingsReader,
    /// Keeps plans of roles and gives orders.
    pub roles: Arc<dyn RoleClient>,
    /// The settings.
    pub settings: GatewaySettings,
    /// Tells of routes, upstreams and hosts.
    pub source: Arc<dyn DirectorySource>,
    /// The platform's store.
    pub store: Arc<dyn KeyStore>,
}

/// What all requests of a gateway share.
///
/// Lock order: `routes`, `registry`, `retry_limits`, `retries`; none is held while a lock of [`DaemonNode`] is
/// taken, or across an await.
pub struct Gateway {
    /// The account for which callers are counted.
    pub account: AccountName,
    /// The memory for answers.
    pub response_budget: MemoryBudget,
    /// Connections to upstreams.
    pub connections: ConnectionPool,
    /// Reads and writes headers.
    pub dialect: Arc<dyn GatewayDialect>,
    /// How soon news of the store must be in force.
    pub propagation_limit: Duration,
    /// The daemon's shared tables.
    pub node: Arc<DaemonNode>,
    /// The upstreams.
    pub registry: Mutex<UpstreamRegistry>,
    /// What is left of the retry budgets.
    pub retries: Mutex<BTreeMap<ServiceName, Arc<RetryBudget>>>,
    /// The memory for the bodies of requests.
    pub request_budget: MemoryBudget,
    /// The routes.
    pub routes: Mutex<ActiveRoutes>,
    /// Tells of routes, upstreams and hosts.
    pub source: Arc<dyn DirectorySource>,
    retry_limits: Mutex<RetryLimits>,
    /// Counts the configurations that shards were given.
    pub(super) config_counter: AtomicU64,
}

/// The place of a gateway that may not have started yet, with what outlives no connection.
pub struct GatewayState {
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The open connections of callers.
    pub connections: AtomicUsize,
    /// The requests whose answers are not complete.
    pub in_flight: AtomicUsize,
    /// Becomes true when the daemon stops.
    pub stopping: watch::Sender<bool>,
    gateway: OnceLock<Arc<Gateway>>,
    ready: AtomicBool,
}

impl GatewayState {
    fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            connections: AtomicUsize::new(0),
            gateway: OnceLock::new(),
            in_flight: AtomicUsize::new(0),
            ready: AtomicBool::new(false),
            stopping: watch::Sender::new(false),
        }
    }

    /// Returns the gateway once it has started.
    pub fn gateway(&self) -> Option<Arc<Gateway>> {
        self.gateway.get().cloned()
    }

    /// Counts a request in.
    pub fn track_request(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(self.clone())
    }

    /// Returns what callers may send now.
    pub fn limits(&self) -> CallerLimits {
        let gateway = self.gateway.get();
        let routes = gateway.and_then(|gateway| lock(&gateway.routes).current().cloned());
        routes.map(|routes| routes.limits).unwrap_or_default()
    }

    fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed) && !*self.stopping.borrow()
    }
}

/// Runs a gateway until it is told to stop.
///
/// # Errors
///
/// Returns an error when an address cannot be bound.
pub async fn run_gateway(setup: GatewaySetup) -> CliResult<()> {
    let mut settings = setup.settings.clone();
    let reader = setup.reader.clone();
    let state = Arc::new(GatewayState::new(Arc::new(SystemClock)));
    let callers = TcpListener::bind(settings.frontend).await?;
    let readiness = TcpListener::bind(settings.readiness).await?;
    let peers = TcpListener::bind(settings.peer).await?;
    let metrics = TcpListener::bind(settings.metrics).await?;
    let handle = install_recorder()?;
    log::info!(
        host:% = settings.host, domain:% = settings.domain, frontend:% = settings.frontend,
        version = env!("CARGO_PKG_VERSION");
        "daemon: started"
    );
    let serving = tokio::spawn(serve_callers(state.clone(), callers));
    let probe = state.clone();
    tokio::spawn(serve_probes(readiness, move || match probe.is_ready() {
        true => (StatusCode::OK, String::new()),
        false => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
    }));
    tokio::spawn(serve_probes(metrics, move || (StatusCode::OK, handle.render())));
    let starting = tokio::spawn(start(setup, state.clone(), peers));
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let mut changes = tokio::time::interval(SETTINGS_POLL_PERIOD);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => log::info!("daemon: reads its settings"),
            _ = changes.tick() => {}
        }
        reload(&state, &reader, &mut settings);
    }
    starting.abort();
    drain(&state, &settings).await;
    serving.abort();
    finish(&state, &settings).await;
    log::info!(left = state.in_flight.load(Ordering::Relaxed); "daemon: stopped");
    Ok(())
}

/// Takes over settings that have changed; those that cannot be used are left out with a line.
fn reload(state: &GatewayState, reader: &SettingsReader, settings: &mut GatewaySettings) {
    let new = match reader() {
        Ok(new) if new == *settings => return,
        Ok(new) => new,
        Err(error) => {
            return log::error!("daemon: the settings stay as they are: {error}");
        }
    };
    let kept = GatewaySettings { grace: new.grace, retries: new.retries, ..settings.clone() };
    if kept != new {
        log::warn!("daemon: addresses, names and the news limit change with the next start");
    }
    log::info!(grace:? = new.grace, retries:? = new.retries; "daemon: settings taken over");
    *settings = new;
    if let Some(gateway) = state.gateway() {
        gateway.set_retry_limits(settings.retries);
    }
}

/// Keeps this host's registration alive, by which new hosts find it.
async fn renew_registration(gateway: Arc<Gateway>) {
    loop {
        tokio::time::sleep(REGISTRATION_PERIOD).await;
        let settings = &gateway.node.settings;
        retry_until_ok("registering this host again", || {
            gateway.source.register(&settings.host, settings.peer)
        })
        .await;
    }
}

/// Gives up readiness and duties, and takes what the balancer still sends.
async fn drain(state: &Arc<GatewayState>, settings: &GatewaySettings) {
    log::info!(host:% = settings.host; "daemon: stops after its requests in flight");
    state.stopping.send_replace(true);
    if let Some(gateway) = state.gateway() {
        let node = &gateway.node;
        node.draining.store(true, Ordering::Relaxed);
        node.handle_member_event(MemberEvent::Leave);
        node.update_roles();
    }
    tokio::time::sleep(BALANCER_LAG).await;
}

/// Waits for the last answer, as long as the platform allows.
async fn finish(state: &Arc<GatewayState>, settings: &GatewaySettings) {
    let left = settings.grace.saturating_sub(BALANCER_LAG + KILL_MARGIN);
    let waited = tokio::time::timeout(left, async {
        let busy = || {
            state.in_flight.load(Ordering::Relaxed) > 0
                || state.connections.load(Ordering::Relaxed) > 0
        };
        while busy() {
            tokio::time::sleep(DRAIN_POLL_PERIOD).await;
        }
    });
    if waited.await.is_err() {
        log::warn!("daemon: the time to stop has passed with requests in flight");
    }
}

async fn start(setup: GatewaySetup, state: Arc<GatewayState>, peers: TcpListener) -> CliResult<()> {
    let GatewaySetup { dialect, roles, settings, source, store, .. } = setup;
    let register = || source.register(&settings.host, settings.peer);
    let registration = retry_until_ok("registering this host", register).await;
    log::info!(host:% = settings.host, life:% = registration.incarnation; "daemon: registered");
    let snapshot = retry_until_ok("reading the configuration", || source.load()).await;
    let seeds = snapshot.hosts.values().copied().collect();
    let parts = NodeDependencies {
        cancels: Arc::new(ConnectionCancel),
        incarnation: Some(registration.incarnation),
        store,
        upstreams: Arc::new(UpstreamClient::new()?),
    };
    let node =
        Arc::new(build_node(node_settings(&settings, registration.peer_key, seeds), parts).await?);
    tokio::spawn(serve_links(node.clone(), peers));
    tokio::spawn(gossip::serve_gossip(node.clone()));
    tokio::spawn(gossip::tick_members(node.clone()));
    tokio::spawn(tick_shards(node.clone()));
    tokio::spawn(send_summaries(node.clone()));
    let gateway = Arc::new(Gateway {
        account: DEFAULT_ACCOUNT.parse()?,
        response_budget: MemoryBudget::for_responses(),
        connections: ConnectionPool::new(node.clock.clone()),
        dialect,
        propagation_limit: settings.propagation_limit,
        node,
        registry: Mutex::new(UpstreamRegistry::default()),
        request_budget: MemoryBudget::for_requests(),
        retries: Mutex::new(BTreeMap::new()),
        retry_limits: Mutex::new(settings.retries),
        routes: Mutex::new(ActiveRoutes::default()),
        source,
        config_counter: AtomicU64::new(0),
    });
    let seen = snapshot.seen;
    gateway.apply_snapshot(snapshot);
    if state.gateway.set(gateway.clone()).is_err() {
        log::error!("daemon: the gateway was started twice");
    }
    tokio::spawn(watch_directory(gateway.clone(), seen));
    tokio::spawn(plan_roles(gateway.clone(), roles));
    tokio::spawn(renew_registration(gateway.clone()));
    run_maintenance(gateway, state).await;
    Ok(())
}

/// Keeps readiness up to date and connections in order, until the task is dropped.
async fn run_maintenance(gateway: Arc<Gateway>, state: Arc<GatewayState>) {
    loop {
        let now = gateway.node.clock.now();
        let joined = lock(&gateway.node.members).is_joined(now);
        let routed = lock(&gateway.routes).current().is_some();
        let ready = joined && routed && !lock(&gateway.registry).is_empty();
        if state.ready.swap(ready, Ordering::Relaxed) != ready {
            log::info!(ready; "daemon: readiness");
        }
        gateway.connections.prune(|name| lock(&gateway.registry).takes_work(now, name));
        let hosts = gateway.host_count();
        lock(&gateway.retries).values().for_each(|budget| budget.set_hosts(hosts));
        let pause = if ready { PRUNE_PERIOD } else { PRUNE_PERIOD / 10 };
        tokio::time::sleep(pause).await;
    }
}

impl Gateway {
    /// Returns how many daemons run, as far as this one knows.
    pub fn host_count(&self) -> usize {
        lock(&self.node.members).running().count()
    }

    /// Puts new limits of retries in force.
    fn set_retry_limits(&self, limits: RetryLimits) {
        *lock(&self.retry_limits) = limits;
        lock(&self.retries).values().for_each(|budget| budget.set_limits(limits));
    }

    /// Returns this daemon's part of a service's retry budget.
    pub fn retry_budget(&self, service: &ServiceName) -> Arc<RetryBudget> {
        let hosts = self.host_count();
        let limits = *lock(&self.retry_limits);
        let mut retries = lock(&self.retries);
        let budget = retries
            .entry(service.clone())
            .or_insert_with(|| Arc::new(RetryBudget::new(limits, hosts)));
        budget.clone()
    }
}

/// Returns the settings of the parts that the gateway shares with the product's own interface.
fn node_settings(
    settings: &GatewaySettings,
    peer_key: PeerKey,
    seeds: Vec<SocketAddr>,
) -> DaemonSettings {
    DaemonSettings {
        body_limit_bytes: CallerLimits::default().max_body_bytes,
        domain: settings.domain.clone(),
        drain_limit: settings.grace,
        fault_switches: false,
        host: settings.host.clone(),
        http: settings.frontend,
        in_flight_limit: 4096,
        log_format: LogFormat::Json,
        log_level: LogLevel::Info,
        log_spans: false,
        operator_key: String::new(),
        peer: settings.peer,
        peer_key,
        seeds,
        store: settings.store,
    }
}
