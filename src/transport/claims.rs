//! Reports this entry's slot claims to the owners and backups of shards.

use crate::coordination::claims::ClaimSet;
use crate::coordination::flow::FlowEvent;
use crate::coordination::messages::{ReleaseOutcome, ShardMessage};
use crate::prelude::*;
use crate::transport::node::{DaemonNode, lock};
use std::sync::Arc;

/// The interval between two summaries of an entry's claims while the membership does not change.
const SUMMARY_PERIOD: Duration = Duration::from_secs(5);
/// How many summary periods pass between two announcements of the daemons whose tickets this one
/// has taken over.
const TAKEOVER_PERIODS: u32 = 6;

/// Removes an attempt's claim, and reports its outcome to the shard's owner and backups.
pub fn release_claim(
    node: &Arc<DaemonNode>,
    service: &ServiceName,
    domain: &DomainName,
    attempt: AttemptId,
    outcome: ReleaseOutcome,
) {
    lock(&node.claims).shard_claims(service, domain).remove(&attempt);
    node.send_to_replicas(service, domain, &ShardMessage::Release(attempt, outcome));
}

/// Sends summaries of the claims periodically until the task is dropped; also prunes the tickets
/// and updates the gauges of shards.
pub async fn send_summaries(node: Arc<DaemonNode>) {
    let mut interval = tokio::time::interval(SUMMARY_PERIOD);
    let mut period = 0;
    loop {
        interval.tick().await;
        period += 1;
        if period % TAKEOVER_PERIODS == 0 {
            node.announce_takeovers();
        }
        node.send_summaries();
        let wall = node.clock.wall();
        lock(&node.tickets).prune(wall);
        node.publish_shard_metrics();
    }
}

impl DaemonNode {
    /// Sends summaries of this entry's claims to the owners and backups of shards. The shards of
    /// this failure domain get one even without claims, since a new owner waits for it.
    pub fn send_summaries(self: &Arc<Self>) {
        let domain = self.settings.domain.clone();
        let services: Vec<_> = lock(&self.shards).keys().cloned().collect();
        let mut summaries = lock(&self.claims).summarize();
        for service in services {
            let empty = || ClaimSet::default().summary();
            summaries.entry((service, domain.clone())).or_insert_with(empty);
        }
        for ((service, domain), summary) in summaries {
            self.send_to_replicas(&service, &domain, &summary);
        }
    }

    /// Tells every request that the owner of its shard may have changed.
    pub fn notify_owner_change(&self) {
        for sender in lock(&self.flows).values() {
            let _ = sender.send(FlowEvent::OwnerChanged);
        }
    }
}
