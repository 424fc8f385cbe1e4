//! What this entry's attempts hold, and how owners and backups hear of it.

use crate::coordination::claims::ClaimBook;
use crate::coordination::flow::FlowEvent;
use crate::coordination::messages::{ReleaseOutcome, ShardMessage};
use crate::prelude::*;
use crate::transport::node::{DaemonNode, lock};
use std::collections::BTreeMap;
use std::sync::Arc;

/// How often an entry tells owners and backups what it holds, when no member changes.
const SUMMARY_PERIOD: Duration = Duration::from_secs(5);
/// After how many of these periods it repeats whose tickets it answers for.
const INHERITANCE_TURNS: u32 = 6;

/// The claims of this entry by shard.
#[derive(Debug, Default)]
pub struct ClaimTable {
    books: BTreeMap<(ServiceName, DomainName), ClaimBook>,
}

impl ClaimTable {
    /// Returns the message that lists the claims in one shard.
    pub fn list(&self, service: &ServiceName, domain: &DomainName) -> ShardMessage {
        let book = self.books.get(&(service.clone(), domain.clone()));
        book.map_or(ShardMessage::ClaimList(Vec::new()), ClaimBook::list)
    }

    /// Returns the claims in one shard.
    pub fn book(&mut self, service: &ServiceName, domain: &DomainName) -> &mut ClaimBook {
        self.books.entry((service.clone(), domain.clone())).or_default()
    }
}

/// Forgets an attempt's claim, and tells owner and backups how it ended.
pub fn release(
    node: &Arc<DaemonNode>,
    service: &ServiceName,
    domain: &DomainName,
    attempt: AttemptId,
    outcome: ReleaseOutcome,
) {
    lock(&node.claims).book(service, domain).remove(&attempt);
    node.tell_claim_holders(service, domain, &ShardMessage::Release(attempt, outcome));
}

/// Tells owners and backups now and then what this entry holds.
pub async fn send_summaries(node: Arc<DaemonNode>) {
    let mut interval = tokio::time::interval(SUMMARY_PERIOD);
    let mut turn = 0;
    loop {
        interval.tick().await;
        turn += 1;
        if turn % INHERITANCE_TURNS == 0 {
            node.announce_inheritance();
        }
        node.send_summaries();
        let wall = node.clock.wall();
        lock(&node.tickets).prune(wall);
        node.gauge_shards();
    }
}

impl DaemonNode {
    /// Tells owners and backups what this entry holds. Own shards hear it even when it is
    /// nothing, since a new owner waits for it.
    pub fn send_summaries(self: &Arc<Self>) {
        let domain = self.settings.domain.clone();
        let services: Vec<_> = lock(&self.shards).keys().cloned().collect();
        let mut summaries: BTreeMap<_, _> = {
            let mut claims = lock(&self.claims);
            let books = claims.books.iter();
            let summaries = books.map(|(shard, book)| (shard.clone(), book.summary())).collect();
            claims.books.retain(|_, book| !book.is_empty());
            summaries
        };
        for service in services {
            let empty = || ClaimBook::default().summary();
            summaries.entry((service, domain.clone())).or_insert_with(empty);
        }
        for ((service, domain), summary) in summaries {
            self.tell_claim_holders(&service, &domain, &summary);
        }
    }

    /// Lets every waiting request ask the perhaps new owner.
    pub fn owners_changed(&self) {
        for sender in lock(&self.flows).values() {
            let _ = sender.send(FlowEvent::OwnerChanged);
        }
    }
}
