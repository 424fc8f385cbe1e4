//! The tables that the parts of a daemon share. They know nothing of the daemon around them.

use crate::coordination::claims::ClaimSet;
use crate::coordination::messages::ShardMessage;
use crate::coordination::orders::OrderReconciler;
use crate::coordination::shard::ShardLedger;
use crate::prelude::*;
use std::collections::BTreeMap;

/// A service's shard in one failure domain.
type ShardName = (ServiceName, DomainName);

/// The claims of this entry by shard.
#[derive(Debug, Default)]
pub struct ClaimTable {
    books: BTreeMap<ShardName, ClaimSet>,
}

impl ClaimTable {
    /// Returns the message that lists the claims in one shard.
    pub fn list(&self, service: &ServiceName, domain: &DomainName) -> ShardMessage {
        let book = self.books.get(&(service.clone(), domain.clone()));
        book.map_or(ShardMessage::ClaimList(Vec::new()), ClaimSet::list)
    }

    /// Returns the claims in one shard.
    pub fn book(&mut self, service: &ServiceName, domain: &DomainName) -> &mut ClaimSet {
        self.books.entry((service.clone(), domain.clone())).or_default()
    }

    /// Returns the messages that sum up the claims of each shard, and forgets the shards without
    /// any.
    pub fn sum_up(&mut self) -> BTreeMap<ShardName, ShardMessage> {
        let books = self.books.iter();
        let summaries = books.map(|(shard, book)| (shard.clone(), book.summary())).collect();
        self.books.retain(|_, book| !book.is_empty());
        summaries
    }
}

/// One shard's keeper of orders with the store's name for its lease.
#[derive(Debug)]
pub struct ShardOrders {
    /// Decides on orders.
    pub keeper: OrderReconciler,
    /// The store's name for the lease, while it is held.
    pub session: Option<String>,
}

/// The keepers of orders by service.
pub type OrderTable = BTreeMap<ServiceName, ShardOrders>;

/// The ledgers of this daemon's failure domain by service.
pub type ShardTable = BTreeMap<ServiceName, ShardLedger>;
