//! Tables that the components of a daemon share. They do not depend on the daemon itself.

use crate::coordination::claims::ClaimSet;
use crate::coordination::messages::ShardMessage;
use crate::coordination::orders::OrderReconciler;
use crate::coordination::shard::ShardLedger;
use crate::prelude::*;
use std::collections::BTreeMap;

/// The key of a service's shard in one failure domain.
type ShardKey = (ServiceName, DomainName);

/// The slot claims of this entry by shard.
#[derive(Debug, Default)]
pub struct ClaimTable {
    by_shard: BTreeMap<ShardKey, ClaimSet>,
}

impl ClaimTable {
    /// Returns the message that lists the claims in one shard.
    pub fn list(&self, service: &ServiceName, domain: &DomainName) -> ShardMessage {
        let claims = self.by_shard.get(&(service.clone(), domain.clone()));
        claims.map_or(ShardMessage::ClaimList(Vec::new()), ClaimSet::list)
    }

    /// Returns the claims in one shard, an empty set at first.
    pub fn shard_claims(&mut self, service: &ServiceName, domain: &DomainName) -> &mut ClaimSet {
        self.by_shard.entry((service.clone(), domain.clone())).or_default()
    }

    /// Returns the messages that summarize the claims of each shard, and removes shards without
    /// claims.
    pub fn summarize(&mut self) -> BTreeMap<ShardKey, ShardMessage> {
        let shards = self.by_shard.iter();
        let summaries = shards.map(|(shard, claims)| (shard.clone(), claims.summary())).collect();
        self.by_shard.retain(|_, claims| !claims.is_empty());
        summaries
    }
}

/// The order reconciler of one shard, with the session of its lease.
#[derive(Debug)]
pub struct ShardOrders {
    /// Decides which orders the engines get.
    pub reconciler: OrderReconciler,
    /// The session under which the store holds the lease; `None` while it is not held.
    pub session: Option<String>,
}

/// The order reconcilers by service.
pub type OrderTable = BTreeMap<ServiceName, ShardOrders>;

/// The shard ledgers of this daemon's failure domain by service.
pub type ShardTable = BTreeMap<ServiceName, ShardLedger>;
