//! Sends and receives the datagrams of the membership protocol, and runs its timer.

use crate::coordination::membership::{MemberAction, MemberEvent};
use crate::coordination::messages::{GossipMessage, MemberRecord, MemberState};
use crate::coordination::shard::{MAX_NEWS, ShardEvent, UpstreamNews};
use crate::prelude::*;
use crate::protocol::codec::{MAX_DATAGRAM_BYTES, decode_datagram, encode_datagram};
use crate::transport::log_limiter::DecisionKind;
use crate::transport::node::{DaemonNode, lock};
use metrics::counter;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// The interval between two ticks of the membership protocol.
const TICK: Duration = Duration::from_millis(20);

/// Receives datagrams until the task is dropped.
pub async fn serve_gossip(node: Arc<DaemonNode>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
    loop {
        let (length, from) = match node.gossip.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!("member: cannot receive a datagram: {error}");
                continue;
            }
        };
        if lock(&node.blocked_peers).contains(&from) {
            continue;
        }
        let keys = lock(&node.peer_keys).clone();
        match decode_datagram(keys.accepted(), &buffer[..length]) {
            Ok(message) => {
                counter!("apricotrun_gossip_bytes_received_total").increment(length as u64);
                if let GossipMessage::Ack { nonce, freshness, .. } = &message {
                    lock(&node.freshness).record_acknowledgement(*nonce, *freshness);
                }
                node.apply_news(&message);
                node.handle_member_event(MemberEvent::Received(from, message));
            }
            Err(error) => {
                counter!("apricotrun_peer_messages_dropped_total", "why" => "datagram")
                    .increment(1);
                log::debug!("member: dropped a datagram from {from}: {error}");
            }
        }
    }
}

/// Ticks the membership protocol until the task is dropped.
pub async fn tick_members(node: Arc<DaemonNode>) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        node.handle_member_event(MemberEvent::Tick);
        if node.members_changed.swap(false, Ordering::Relaxed) {
            node.apply_member_changes();
        }
    }
}

impl DaemonNode {
    /// Passes an event to the membership protocol and executes the actions that it returns.
    pub fn handle_member_event(self: &Arc<Self>, event: MemberEvent) {
        let now = self.clock.now();
        let actions = lock(&self.members).handle(now, event);
        for action in actions {
            match action {
                MemberAction::Send(to, message) => self.send_datagram(to, message),
                // A fleet that starts at once reports hundreds of members within a moment, so their
                // changes are applied together at the next tick.
                MemberAction::Changed => self.members_changed.store(true, Ordering::Relaxed),
                MemberAction::NewerEra(_) => self.newer_era.notify_one(),
                MemberAction::OtherCrashes(address) => self.send_crash_history(address),
                MemberAction::NewerRevision(address, revision) => {
                    self.report_peer_revision(address, revision)
                }
            }
        }
    }

    fn send_datagram(&self, to: SocketAddr, mut message: GossipMessage) {
        if lock(&self.blocked_peers).contains(&to) {
            return;
        }
        match &mut message {
            GossipMessage::Ack { freshness, news, .. } => {
                *freshness = lock(&self.freshness).record(self.clock.boot());
                *news = self.collect_news();
            }
            GossipMessage::Ping { nonce, news, .. } => {
                lock(&self.freshness).record_probe(self.clock.boot(), *nonce);
                *news = self.collect_news();
            }
            _ => {}
        }
        let keys = lock(&self.peer_keys).clone();
        match encode_datagram(keys.current(), &message) {
            Ok(bytes) => {
                counter!("apricotrun_gossip_bytes_sent_total").increment(bytes.len() as u64);
                // A datagram that cannot be sent counts as lost, which the probing tolerates.
                let _ = self.gossip.try_send_to(&bytes, to);
            }
            Err(error) => log::warn!("member: cannot encode a message: {error}"),
        }
    }

    /// Returns what this daemon tells others of the load of upstreams.
    fn collect_news(&self) -> Vec<UpstreamNews> {
        let now = self.clock.now();
        let shards = lock(&self.shards);
        let mut news: Vec<_> = shards.values().flat_map(|ledger| ledger.news(now)).collect();
        news.truncate(MAX_NEWS);
        news
    }

    fn apply_news(self: &Arc<Self>, message: &GossipMessage) {
        let (GossipMessage::Ping { news, .. } | GossipMessage::Ack { news, .. }) = message else {
            return;
        };
        if news.is_empty() {
            return;
        }
        let services: Vec<_> = lock(&self.shards).keys().cloned().collect();
        for service in services {
            self.handle_shard_event(&service, ShardEvent::News(news.clone()));
        }
    }

    fn apply_member_changes(self: &Arc<Self>) {
        if self.log_limiter.permits(DecisionKind::Members) {
            self.log_members();
        }
        self.allotments.forget_keepers();
        self.update_roles();
        self.divide_limits();
        self.spread_origins();
        self.announce_takeovers();
        self.send_summaries();
        self.notify_owner_change();
    }

    fn log_members(&self) {
        let domain = &self.settings.domain;
        let (states, eligible) = {
            let members = lock(&self.members);
            let states: Vec<_> = members.others().map(|record| record.state).collect();
            (states, members.eligible(domain).count())
        };
        let count = |state| states.iter().filter(|other| **other == state).count();
        log::info!(
            alive = count(MemberState::Alive), suspect = count(MemberState::Suspect),
            leaving = count(MemberState::Leaving), dead = count(MemberState::Dead),
            with_duties = eligible, domain:% = domain;
            "member: the membership has changed"
        );
    }

    fn report_peer_revision(self: &Arc<Self>, address: SocketAddr, revision: Revision) {
        if let Some(record) = self.find_peer(address) {
            self.handle_peer_revision(record.daemon, revision);
        }
    }

    /// Returns the record of the running member at this peer address.
    pub fn find_peer(&self, address: SocketAddr) -> Option<MemberRecord> {
        let members = lock(&self.members);
        members.running().find(|record| record.peer == address).cloned()
    }
}
