//! The state shared by the components of a daemon, and the routing of messages between daemons.
//!
//! Lock order: `config`, `members`, `shards`, `orders`, `claims`, `tickets`, `crashes`,
//! `untold_sound`, `crash_record`, `limits`, `flows`, `origins`, `versions`, `origin_lookups`, `allotments`, `freshness`, `blocked_peers`,
//! `peer_keys`.
//! A thread that holds a lock takes only locks that come later in this list, and no lock is held
//! across an await.

use crate::coordination::config::ConfigReplica;
use crate::coordination::crashes::CrashLedger;
use crate::coordination::flow::FlowEvent;
use crate::coordination::freshness::FreshnessMonitor;
use crate::coordination::membership::MemberTable;
use crate::coordination::messages::{
    MemberRecord, MemberState, PeerMessage, ReleaseOutcome, ShardMessage,
};
use crate::coordination::ownership::{rank_daemons, shard_key};
use crate::coordination::request_limits::LimitBoard;
use crate::coordination::response_times::ResponseTimes;
use crate::coordination::software_versions::VersionHistory;
use crate::coordination::stops::StopPlan;
use crate::coordination::store::{KeyStore, StoreVersion};
use crate::coordination::stream_origins::OriginBoard;
use crate::coordination::tickets::TicketTable;
use crate::prelude::*;
use crate::protocol::keyring::PeerKeyring;
use crate::transport::allotments::AllotmentDesk;
use crate::transport::engine::UpstreamClient;
use crate::transport::links::PeerLinks;
use crate::transport::log_limiter::LogLimiter;
use crate::transport::runs::AttemptCancel;
use crate::transport::settings::DaemonSettings;
use crate::transport::stream_origins::LookupTable;
use crate::transport::tables::{ClaimTable, OrderTable, ShardTable};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Notify, Semaphore, watch};

/// The number of daemons that know the claims of a shard: its owner and two backups.
pub const SHARD_REPLICAS: usize = 3;

/// Locks a mutex even if it is poisoned: a panic in one request must not stop the others.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A daemon: its settings, its state machines and its connections.
pub struct DaemonNode {
    /// The peer addresses whose traffic is dropped, for tests that cut the network.
    pub blocked_peers: Mutex<BTreeSet<SocketAddr>>,
    /// The tokens of client accounts that this daemon has leased or leases to others.
    pub allotments: AllotmentDesk,
    /// Whether the configuration is recent enough for callers' keys.
    pub freshness: Mutex<FreshnessMonitor>,
    /// The slot claims of this entry's attempts.
    pub claims: Mutex<ClaimTable>,
    /// The source of time for all timed components.
    pub clock: Arc<dyn Clock>,
    /// The configuration in force, and its replication between daemons.
    pub config: Mutex<ConfigReplica>,
    /// The requests, and parts of prompts, that crashed upstreams.
    pub crashes: Mutex<CrashLedger>,
    /// What this daemon has found sound and has not told the others yet.
    pub untold_sound: Mutex<BTreeSet<PromptPart>>,
    /// The version of the stored record of crashes, as far as it is known.
    pub crash_record: Mutex<StoreVersion>,
    /// Notified when the stored record of crashes may have to be written.
    pub crashes_changed: Notify,
    /// The requests that upstreams take from all daemons together.
    pub limits: Mutex<LimitBoard>,
    /// Limits the rate of log lines about requests and members.
    pub log_limiter: LogLimiter,
    /// The event queues of this entry's running requests, by sequence number.
    pub flows: Mutex<BTreeMap<u64, UnboundedSender<FlowEvent>>>,
    /// Limits the requests in flight.
    pub in_flight: Arc<Semaphore>,
    /// The outgoing connections to other daemons.
    pub links: PeerLinks,
    /// The id of this daemon.
    pub me: DaemonId,
    /// Whether the members have changed since the last tick of the membership protocol.
    pub members_changed: AtomicBool,
    /// The daemons of the deployment as this one knows them.
    pub members: Mutex<MemberTable>,
    /// The order reconcilers of this failure domain, by service.
    pub orders: Mutex<OrderTable>,
    /// The origins of streams that this daemon keeps.
    pub origins: Mutex<OriginBoard>,
    /// The questions about origins that other daemons have not answered yet.
    pub origin_lookups: Mutex<LookupTable>,
    /// The software versions that this daemon has seen.
    pub versions: Mutex<VersionHistory>,
    /// The UDP socket of the membership protocol.
    pub gossip: UdpSocket,
    /// The settings that the daemon was started with.
    pub settings: DaemonSettings,
    /// The keys for messages between daemons.
    pub peer_keys: Mutex<PeerKeyring>,
    /// The shards of this failure domain, of which this daemon may be owner or backup.
    pub shards: Mutex<ShardTable>,
    /// Wakes the shard timer, so that it computes its next tick again.
    pub shard_wake: Notify,
    /// Whether the daemon reports that it is not ready, but still accepts new requests.
    pub draining: AtomicBool,
    /// The plan by which the daemon stops, once it does and the platform limits the time for it.
    pub stop: watch::Sender<Option<StopPlan>>,
    /// How long the requests of each service have lately taken here.
    pub response_times: Arc<Mutex<ResponseTimes>>,
    /// Notified when an operator asks the daemon to stop.
    pub stop_requested: Notify,
    /// Whether the daemon refuses new requests while it finishes those in flight.
    pub stopping: AtomicBool,
    /// When the daemon started, on the monotonic clock.
    pub started: Instant,
    /// Notified when another daemon knows of a later era of the platform's store.
    pub newer_era: Notify,
    /// The key-value store of the platform.
    pub store: Arc<dyn KeyStore>,
    /// The tickets of requests that may run at most once.
    pub tickets: Mutex<TicketTable>,
    /// Notified when the successor has confirmed the handover of the tickets.
    pub handover_confirmed: Notify,
    /// Cancels attempts whose entry daemon is dead.
    pub cancels: Arc<dyn AttemptCancel>,
    /// The HTTP client for upstreams.
    pub upstreams: Arc<UpstreamClient>,
    /// The sequence number of the last request.
    pub sequence: AtomicU64,
}

/// Waits until there is a plan by which the daemon stops.
pub async fn wait_for_plan(stop: &mut watch::Receiver<Option<StopPlan>>) -> StopPlan {
    loop {
        if let Some(plan) = *stop.borrow_and_update() {
            return plan;
        }
        if stop.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}

impl DaemonNode {
    /// Waits until a time of the plan by which the daemon stops.
    pub async fn wait_for_stop_time(&self, time: fn(&StopPlan) -> Instant) {
        let plan = wait_for_plan(&mut self.stop.subscribe()).await;
        tokio::time::sleep(time(&plan).saturating_duration_since(self.clock.now())).await;
    }

    /// Returns whether the daemon stops before work that is expected to take this long could end.
    pub fn is_too_late_for(&self, work: Duration) -> bool {
        self.stop.borrow().is_some_and(|plan| !plan.admits(self.clock.now(), work))
    }

    /// Allocates the id of a new request.
    pub fn next_request_id(&self) -> RequestId {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        RequestId { entry: self.me.clone(), sequence }
    }

    /// Returns whether the daemon refuses new requests because it is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns whether the load balancer should send new requests elsewhere.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Returns the configuration in force.
    pub fn current_config(&self) -> Arc<FleetConfig> {
        lock(&self.config).current().clone()
    }

    /// Returns the daemons that may hold a shard by rank: the owner, its backups, then the others.
    pub fn rank_shard_daemons(
        &self,
        service: &ServiceName,
        domain: &DomainName,
    ) -> Vec<MemberRecord> {
        let scope = self.placement_of(service);
        let members = lock(&self.members);
        if scope == PlacementScope::Entry {
            return vec![members.me().clone()];
        }
        let eligible: BTreeMap<_, _> =
            members.eligible(domain).map(|record| (record.daemon.clone(), record)).collect();
        let ranked = rank_daemons(&shard_key(service, domain), eligible.keys());
        ranked.into_iter().map(|daemon| eligible[daemon].clone()).collect()
    }

    /// Returns who places the requests of a service; without a template, the shard owners.
    pub fn placement_of(&self, service: &ServiceName) -> PlacementScope {
        let config = lock(&self.config);
        let template = config.current().templates.get(service);
        template.map_or(PlacementScope::Domain, |template| template.placement)
    }

    /// Sends a message to a shard's owner.
    pub fn send_to_owner(
        self: &Arc<Self>,
        service: &ServiceName,
        domain: &DomainName,
        message: ShardMessage,
    ) {
        let ranked = self.rank_shard_daemons(service, domain);
        self.send_shard_message(service, domain, &message, ranked.into_iter().take(1));
    }

    /// Sends a message about this entry's claims to a shard's owner and backups. Two daemons
    /// besides this one receive it, so that one copy survives the loss of this daemon and another.
    pub fn send_to_replicas(
        self: &Arc<Self>,
        service: &ServiceName,
        domain: &DomainName,
        message: &ShardMessage,
    ) {
        let ranked = self.rank_shard_daemons(service, domain);
        let mut others = 0;
        let replicas = ranked.into_iter().take(SHARD_REPLICAS).filter(|record| {
            let other = record.daemon != self.me;
            others += usize::from(other);
            !other || others < SHARD_REPLICAS
        });
        let replicas: Vec<_> = replicas.collect();
        self.send_shard_message(service, domain, message, replicas.into_iter());
    }

    fn send_shard_message(
        self: &Arc<Self>,
        service: &ServiceName,
        domain: &DomainName,
        message: &ShardMessage,
        replicas: impl Iterator<Item = MemberRecord>,
    ) {
        for record in replicas {
            let message = PeerMessage::Shard {
                domain: domain.clone(),
                message: message.clone(),
                service: service.clone(),
            };
            self.send_to(&record, message);
        }
    }

    /// Sends a message to a daemon; a message to this daemon is handled at once.
    pub fn send_to(self: &Arc<Self>, record: &MemberRecord, message: PeerMessage) {
        if record.daemon == self.me {
            return self.handle_message(self.me.clone(), message);
        }
        self.links.send(self, record.peer, &record.daemon, message);
    }

    /// Sends a message to a daemon if it is a running member.
    pub fn send_to_daemon(self: &Arc<Self>, daemon: &DaemonId, message: PeerMessage) {
        let record = lock(&self.members).find(daemon).cloned();
        if let Some(record) = record {
            self.send_to(&record, message);
        }
    }

    /// Sends a message to every other running daemon, or only to those of one failure domain.
    pub fn broadcast(self: &Arc<Self>, domain: Option<&DomainName>, message: &PeerMessage) {
        let records: Vec<_> = lock(&self.members).running().cloned().collect();
        let others = records.iter().filter(|record| record.daemon != self.me);
        let chosen = others.filter(|record| domain.is_none_or(|domain| record.domain == *domain));
        chosen.for_each(|record| self.send_to(record, message.clone()));
    }

    /// Handles a message from a daemon.
    pub fn handle_message(self: &Arc<Self>, from: DaemonId, message: PeerMessage) {
        match message {
            PeerMessage::Allotment { account, message } => {
                self.handle_allotment(&from, account, message);
            }
            PeerMessage::Shard { service, domain, message } => {
                self.route_shard_message(from, service, domain, message);
            }
            PeerMessage::Config(message) => self.handle_config_message(from, message),
            PeerMessage::Crash(report) => self.record_crash(&report),
            PeerMessage::UpstreamLimit { incarnation, rate, upstream } => {
                self.learn_limit(&upstream, incarnation, rate);
            }
            PeerMessage::SoundParts(parts) => self.mark_sound(&parts),
            PeerMessage::CrashHistory { parts, requests } => {
                self.merge_crash_history(&parts, &requests);
            }
            PeerMessage::StreamOrigin { lifetime, origin, request } => {
                self.keep_origin(&request, origin, lifetime);
            }
            PeerMessage::FindOrigin { lookup, request, service, window } => {
                let reply = self.known_origin(Some(&request), &service, window);
                self.send_to_daemon(&from, PeerMessage::FoundOrigin { lookup, reply });
            }
            PeerMessage::FoundOrigin { lookup, reply } => {
                lock(&self.origin_lookups).deliver(lookup, reply);
            }
            PeerMessage::Tickets(handover) => self.take_over_tickets(from, handover),
            PeerMessage::TicketsAccepted(_) => self.handover_confirmed.notify_one(),
            PeerMessage::TicketSuccessor { from, successor } => {
                lock(&self.tickets).set_successor(from, successor);
            }
        }
    }

    fn route_shard_message(
        self: &Arc<Self>,
        from: DaemonId,
        service: ServiceName,
        domain: DomainName,
        message: ShardMessage,
    ) {
        match message {
            ShardMessage::Grant(ref grant) => {
                let attempt = grant.claim.attempt.clone();
                if !self.send_flow_event(&attempt, FlowEvent::OwnerMessage(domain.clone(), message))
                {
                    // The request has ended, so the granted slots are released again.
                    let release = ShardMessage::Release(attempt, ReleaseOutcome::Cancelled);
                    let message = PeerMessage::Shard { service, domain, message: release };
                    self.send_to_daemon(&from, message);
                }
            }
            ShardMessage::FirstTokenDue(ref attempt, _)
            | ShardMessage::Queued(ref attempt)
            | ShardMessage::RefuseHere(ref attempt, ..)
            | ShardMessage::TryDomain(ref attempt, _)
            | ShardMessage::Waiting(ref attempt)
            | ShardMessage::Refuse(ref attempt, _) => {
                let attempt = attempt.clone();
                self.send_flow_event(&attempt, FlowEvent::OwnerMessage(domain, message));
            }
            ShardMessage::Pull => {
                let list = lock(&self.claims).list(&service, &domain);
                let message = PeerMessage::Shard { service, domain, message: list };
                self.send_to_daemon(&from, message);
            }
            owner_message => {
                if domain == self.settings.domain {
                    self.handle_shard_message(&service, from, owner_message);
                }
            }
        }
    }

    /// Passes an event to a request of this entry; returns false when it is not running here.
    pub fn send_flow_event(&self, attempt: &AttemptId, event: FlowEvent) -> bool {
        if attempt.request.entry != self.me {
            return false;
        }
        match lock(&self.flows).get(&attempt.request.sequence) {
            Some(sender) => sender.send(event).is_ok(),
            None => false,
        }
    }

    /// Returns the record of a member that is not dead, to forward a caller's request to it.
    pub fn find_live(&self, daemon: &DaemonId) -> Option<MemberRecord> {
        let members = lock(&self.members);
        members.find(daemon).filter(|record| record.state != MemberState::Dead).cloned()
    }
}
