//! How owners and backups hear of what this entry's attempts hold.

use crate::coordination::claims::ClaimSet;
use crate::coordination::flow::FlowEvent;
use crate::coordination::messages::{ReleaseOutcome, ShardMessage};
use crate::prelude::*;
use crate::transport::node::{DaemonNode, lock};
use std::sync::Arc;

/// How often an entry tells owners and backups what it holds, when no member changes.
const SUMMARY_PERIOD: Duration = Duration::from_secs(5);
/// After how many of these periods it repeats whose tickets it answers for.
const INHERITANCE_TURNS: u32 = 6;

/// Forgets an attempt's claim, and tells owner and backups how it ended.
pub fn release(
    node: &Arc<DaemonNode>,
    service: &ServiceName,
    domain: &DomainName,
    attempt: AttemptId,
    outcome: ReleaseOutcome,
) {
    lock(&node.claims).book(service, domain).remove(&attempt);
    node.send_to_replicas(service, domain, &ShardMessage::Release(attempt, outcome));
}

/// Tells owners and backups now and then what this entry holds.
pub async fn send_summaries(node: Arc<DaemonNode>) {
    let mut interval = tokio::time::interval(SUMMARY_PERIOD);
    let mut turn = 0;
    loop {
        interval.tick().await;
        turn += 1;
        if turn % INHERITANCE_TURNS == 0 {
            node.announce_takeovers();
        }
        node.send_summaries();
        let wall = node.clock.wall();
        lock(&node.tickets).prune(wall);
        node.publish_shard_metrics();
    }
}

impl DaemonNode {
    /// Tells owners and backups what this entry holds. Own shards hear it even when it is
    /// nothing, since a new owner waits for it.
    pub fn send_summaries(self: &Arc<Self>) {
        let domain = self.settings.domain.clone();
        let services: Vec<_> = lock(&self.shards).keys().cloned().collect();
        let mut summaries = lock(&self.claims).sum_up();
        for service in services {
            let empty = || ClaimSet::default().summary();
            summaries.entry((service, domain.clone())).or_insert_with(empty);
        }
        for ((service, domain), summary) in summaries {
            self.send_to_replicas(&service, &domain, &summary);
        }
    }

    /// Lets every waiting request ask the perhaps new owner.
    pub fn owners_changed(&self) {
        for sender in lock(&self.flows).values() {
            let _ = sender.send(FlowEvent::OwnerChanged);
        }
    }
}
