//! What the parts of one daemon share, and the way of messages between daemons.
//!
//! Lock order: `config`, `members`, `shards`, `orders`, `claims`, `tickets`, `crashes`, `flows`, `blocked_peers`.
//! A thread that holds a later lock never takes an earlier one, and none is held across an await.

use crate::coordination::config::ConfigReplica;
use crate::coordination::crashes::CrashLedger;
use crate::coordination::flow::FlowEvent;
use crate::coordination::membership::MemberTable;
use crate::coordination::messages::{
    MemberRecord, MemberState, PeerMessage, ReleaseOutcome, ShardMessage,
};
use crate::coordination::ownership::{rank_daemons, shard_key};
use crate::coordination::store::KeyStore;
use crate::coordination::tickets::TicketTable;
use crate::prelude::*;
use crate::transport::engine::UpstreamClient;
use crate::transport::links::PeerLinks;
use crate::transport::log_limiter::LogLimiter;
use crate::transport::runs::AttemptCancel;
use crate::transport::settings::DaemonSettings;
use crate::transport::tables::{ClaimTable, OrderTable, ShardTable};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Notify, Semaphore};

/// How many daemons of a shard know claims: its owner and two backups.
pub const SHARD_HOLDERS: usize = 3;

/// Takes a lock; a panic elsewhere must not stop the daemon's other requests.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// One daemon.
pub struct DaemonNode {
    /// Peer addresses whose traffic a test drops.
    pub blocked_peers: Mutex<BTreeSet<SocketAddr>>,
    /// What this entry's attempts hold.
    pub claims: Mutex<ClaimTable>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The configuration in force.
    pub config: Mutex<ConfigReplica>,
    /// Bodies that ended upstreams.
    pub crashes: Mutex<CrashLedger>,
    /// Bounds the log lines about requests.
    pub log_limiter: LogLimiter,
    /// The requests of this entry, by number.
    pub flows: Mutex<BTreeMap<u64, UnboundedSender<FlowEvent>>>,
    /// Bounds the requests in flight.
    pub in_flight: Arc<Semaphore>,
    /// Connections to other daemons.
    pub links: PeerLinks,
    /// This daemon.
    pub me: DaemonId,
    /// The members.
    pub members: Mutex<MemberTable>,
    /// The orders to the engines of owned shards.
    pub orders: Mutex<OrderTable>,
    /// Sends the membership's datagrams.
    pub gossip: UdpSocket,
    /// The settings.
    pub settings: DaemonSettings,
    /// The shards for which this daemon may have a duty.
    pub shards: Mutex<ShardTable>,
    /// Wakes the shards' timer.
    pub shard_wake: Notify,
    /// Whether the daemon is no longer ready but still takes what the balancer sends.
    pub draining: AtomicBool,
    /// Wakes the stop when an operator asks for it.
    pub stop_requested: Notify,
    /// Whether the daemon finishes its requests and takes no new ones.
    pub stopping: AtomicBool,
    /// When the daemon started.
    pub started: Instant,
    /// The platform's store.
    pub store: Arc<dyn KeyStore>,
    /// Tickets of requests that may not be repeated.
    pub tickets: Mutex<TicketTable>,
    /// Wakes the stop when the heir has confirmed.
    pub tickets_taken: Notify,
    /// Cancels attempts whose entry is gone.
    pub cancels: Arc<dyn AttemptCancel>,
    /// Calls upstreams.
    pub upstreams: Arc<UpstreamClient>,
    /// The number of the last request.
    pub sequence: AtomicU64,
}

impl DaemonNode {
    /// Returns the number of the next request.
    pub fn next_request_id(&self) -> RequestId {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        RequestId { entry: self.me.clone(), sequence }
    }

    /// Returns whether the daemon is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns whether the balancer should send new requests elsewhere.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Returns the configuration in force.
    pub fn current_config(&self) -> Arc<FleetConfig> {
        lock(&self.config).current().clone()
    }

    /// Returns the daemons of a shard in the order of duty.
    pub fn shard_order(&self, service: &ServiceName, domain: &DomainName) -> Vec<MemberRecord> {
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

    /// Returns who places the requests of a service.
    pub fn placement_of(&self, service: &ServiceName) -> PlacementScope {
        let config = lock(&self.config);
        let template = config.current().templates.get(service);
        template.map_or(PlacementScope::Domain, |template| template.placement)
    }

    /// Says something to a shard's owner.
    pub fn send_to_owner(
        self: &Arc<Self>,
        service: &ServiceName,
        domain: &DomainName,
        message: ShardMessage,
    ) {
        let order = self.shard_order(service, domain);
        self.tell_holders(service, domain, &message, order.into_iter().take(1));
    }

    /// Tells owner and backups what this entry holds. Two others than this daemon hear it, so
    /// that the loss of this one and another leaves one that knows.
    pub fn tell_claim_holders(
        self: &Arc<Self>,
        service: &ServiceName,
        domain: &DomainName,
        message: &ShardMessage,
    ) {
        let order = self.shard_order(service, domain);
        let mut others = 0;
        let holders = order.into_iter().take(SHARD_HOLDERS).filter(|record| {
            let other = record.daemon != self.me;
            others += usize::from(other);
            !other || others < SHARD_HOLDERS
        });
        let holders: Vec<_> = holders.collect();
        self.tell_holders(service, domain, message, holders.into_iter());
    }

    fn tell_holders(
        self: &Arc<Self>,
        service: &ServiceName,
        domain: &DomainName,
        message: &ShardMessage,
        holders: impl Iterator<Item = MemberRecord>,
    ) {
        for record in holders {
            let message = PeerMessage::Shard {
                domain: domain.clone(),
                message: message.clone(),
                service: service.clone(),
            };
            self.tell(&record, message);
        }
    }

    /// Sends a message to a daemon, which may be this one.
    pub fn tell(self: &Arc<Self>, record: &MemberRecord, message: PeerMessage) {
        if record.daemon == self.me {
            return self.hear(self.me.clone(), message);
        }
        self.links.send(self, record.peer, &record.daemon, message);
    }

    /// Sends a message to a daemon if it still runs.
    pub fn tell_daemon(self: &Arc<Self>, daemon: &DaemonId, message: PeerMessage) {
        let record = lock(&self.members).find(daemon).cloned();
        if let Some(record) = record {
            self.tell(&record, message);
        }
    }

    /// Sends a message to every other running daemon, or to those of one failure domain.
    pub fn tell_all(self: &Arc<Self>, domain: Option<&DomainName>, message: &PeerMessage) {
        let records: Vec<_> = lock(&self.members).running().cloned().collect();
        let others = records.iter().filter(|record| record.daemon != self.me);
        let chosen = others.filter(|record| domain.is_none_or(|domain| record.domain == *domain));
        chosen.for_each(|record| self.tell(record, message.clone()));
    }

    /// Takes a message from a daemon.
    pub fn hear(self: &Arc<Self>, from: DaemonId, message: PeerMessage) {
        match message {
            PeerMessage::Shard { service, domain, message } => {
                self.hear_shard(from, service, domain, message);
            }
            PeerMessage::Config(message) => self.hear_config(from, message),
            PeerMessage::Crash(report) => {
                let now = self.clock.now();
                lock(&self.crashes).record(now, report);
            }
            PeerMessage::Tickets(handover) => self.inherit_tickets(from, handover),
            PeerMessage::TicketsAccepted(_) => self.tickets_taken.notify_one(),
            PeerMessage::TicketSuccessor { from, successor: heir } => {
                lock(&self.tickets).set_successor(from, heir);
            }
        }
    }

    fn hear_shard(
        self: &Arc<Self>,
        from: DaemonId,
        service: ServiceName,
        domain: DomainName,
        message: ShardMessage,
    ) {
        match message {
            ShardMessage::Grant(ref grant) => {
                let attempt = grant.claim.attempt.clone();
                if !self.send_flow(&attempt, FlowEvent::OwnerMessage(domain.clone(), message)) {
                    // Nobody waits for it any more.
                    let release = ShardMessage::Release(attempt, ReleaseOutcome::Cancelled);
                    let message = PeerMessage::Shard { service, domain, message: release };
                    self.tell_daemon(&from, message);
                }
            }
            ShardMessage::FirstTokenDue(ref attempt, _)
            | ShardMessage::Queued(ref attempt)
            | ShardMessage::Refuse(ref attempt, _) => {
                let attempt = attempt.clone();
                self.send_flow(&attempt, FlowEvent::OwnerMessage(domain, message));
            }
            ShardMessage::Pull => {
                let list = lock(&self.claims).list(&service, &domain);
                let message = PeerMessage::Shard { service, domain, message: list };
                self.tell_daemon(&from, message);
            }
            for_owner => {
                if domain == self.settings.domain {
                    self.feed_shard(&service, from, for_owner);
                }
            }
        }
    }

    /// Passes an event to a request; returns whether the request is still there.
    pub fn send_flow(&self, attempt: &AttemptId, event: FlowEvent) -> bool {
        if attempt.request.entry != self.me {
            return false;
        }
        match lock(&self.flows).get(&attempt.request.sequence) {
            Some(sender) => sender.send(event).is_ok(),
            None => false,
        }
    }

    /// Returns the record of a daemon that may be asked on behalf of a caller.
    pub fn find_live(&self, daemon: &DaemonId) -> Option<MemberRecord> {
        let members = lock(&self.members);
        members.find(daemon).filter(|record| record.state != MemberState::Dead).cloned()
    }
}
