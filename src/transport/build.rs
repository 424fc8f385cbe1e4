//! Builds the shared state of a daemon.

use crate::coordination::allotments::AllotmentTolerance;
use crate::coordination::config::ConfigReplica;
use crate::coordination::crashes::CrashLedger;
use crate::coordination::freshness::FreshnessMonitor;
use crate::coordination::membership::MemberTable;
use crate::coordination::messages::{MemberRecord, MemberState};
use crate::coordination::request_limits::LimitBoard;
use crate::coordination::software_versions::VersionHistory;
use crate::coordination::store::{KeyStore, StoreVersion};
use crate::coordination::stream_origins::OriginBoard;
use crate::coordination::tickets::TicketTable;
use crate::prelude::*;
use crate::protocol::keyring::PeerKeyring;
use crate::transport::allotments::AllotmentDesk;
use crate::transport::engine::UpstreamClient;
use crate::transport::error::CliResult;
use crate::transport::links::PeerLinks;
use crate::transport::log_limiter::LogLimiter;
use crate::transport::node::DaemonNode;
use crate::transport::runs::AttemptCancel;
use crate::transport::settings::DaemonSettings;
use crate::transport::stream_origins::LookupTable;
use crate::transport::tables::{ClaimTable, OrderTable, ShardTable};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, Mutex};
use tokio::net::UdpSocket;
use tokio::sync::{Notify, Semaphore, watch};

/// What a daemon is built from besides its settings.
pub struct NodeDependencies {
    /// Cancels attempts whose entry daemon is dead.
    pub cancels: Arc<dyn AttemptCancel>,
    /// The incarnation of the daemon, higher than any earlier one of its host; when absent, the
    /// time of day in milliseconds.
    pub incarnation: Option<Incarnation>,
    /// By how much client accounts may exceed their allotments.
    pub tolerance: AllotmentTolerance,
    /// The key-value store of the platform.
    pub store: Arc<dyn KeyStore>,
    /// The HTTP client for upstreams.
    pub upstreams: Arc<UpstreamClient>,
}

/// Builds a daemon; its servers and timers are not started yet.
///
/// # Errors
///
/// Returns an error when the peer address cannot be bound.
pub async fn build_node(
    settings: DaemonSettings,
    parts: NodeDependencies,
) -> CliResult<DaemonNode> {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let now = clock.now();
    let incarnation = parts.incarnation.unwrap_or_else(|| {
        let started = clock.wall().duration_since(std::time::SystemTime::UNIX_EPOCH);
        Incarnation(started.unwrap_or_default().as_millis() as u64)
    });
    let me = DaemonId { host: settings.host.clone(), incarnation };
    let record = MemberRecord {
        daemon: me.clone(),
        domain: settings.domain.clone(),
        http: settings.http,
        peer: settings.peer,
        state: MemberState::Alive,
        version: 0,
    };
    let members = MemberTable::new(now, record, settings.seeds.clone(), rand::random());
    Ok(DaemonNode {
        allotments: AllotmentDesk::new(parts.tolerance),
        freshness: Mutex::new(FreshnessMonitor::default()),
        blocked_peers: Mutex::new(BTreeSet::new()),
        cancels: parts.cancels,
        claims: Mutex::new(ClaimTable::default()),
        log_limiter: LogLimiter::new(clock.clone()),
        clock,
        config: Mutex::new(ConfigReplica::default()),
        crashes: Mutex::new(CrashLedger::default()),
        untold_sound: Mutex::default(),
        crash_record: Mutex::new(StoreVersion::ABSENT),
        crashes_changed: Notify::new(),
        flows: Mutex::new(BTreeMap::new()),
        gossip: UdpSocket::bind(settings.peer_listener()).await?,
        in_flight: Arc::new(Semaphore::new(settings.in_flight_limit)),
        draining: AtomicBool::new(false),
        limits: Mutex::new(LimitBoard::default()),
        links: PeerLinks::default(),
        members: Mutex::new(members),
        members_changed: AtomicBool::new(false),
        newer_era: Notify::new(),
        origins: Mutex::new(OriginBoard::default()),
        origin_lookups: Mutex::new(LookupTable::default()),
        response_times: Arc::default(),
        versions: Mutex::new(VersionHistory::default()),
        peer_keys: Mutex::new(PeerKeyring::new(settings.peer_key.clone())),
        sequence: AtomicU64::new(0),
        shard_wake: Notify::new(),
        shards: Mutex::new(ShardTable::new()),
        started: now,
        stop_requested: Notify::new(),
        stop: watch::Sender::new(None),
        stopping: AtomicBool::new(false),
        store: parts.store,
        tickets: Mutex::new(TicketTable::new(me.clone())),
        handover_confirmed: Notify::new(),
        upstreams: parts.upstreams,
        orders: Mutex::new(OrderTable::new()),
        me,
        settings,
    })
}
