//! Carries out the orders of the shards that this daemon owns: the store's lease, the engines'
//! adapters.

use crate::coordination::orders::{
    EngineOrder, FencingToken, LEASE_TTL, OrderAction, OrderEvent, OrderOutcome, OrderReconciler,
};
use crate::coordination::shard::ShardRole;
use crate::coordination::store::lease_key;
use crate::prelude::*;
use crate::transport::node::{DaemonNode, lock};
use crate::transport::tables::ShardOrders;
use metrics::counter;
use std::sync::Arc;

/// How often the keepers' timer turns.
const TICK: Duration = Duration::from_millis(250);

/// Turns the keepers' timer until the task is dropped.
pub async fn tick_orders(node: Arc<DaemonNode>) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let services: Vec<_> = lock(&node.orders).keys().cloned().collect();
        for service in services {
            let owns = node.owns_shard(&service);
            node.handle_order_event(&service, OrderEvent::Owner(owns));
        }
    }
}

impl DaemonNode {
    /// Gives every keeper its template, and drops those without one.
    pub fn configure_orders(self: &Arc<Self>, config: &FleetConfig) {
        lock(&self.orders).retain(|service, _| config.templates.contains_key(service));
        let now = self.clock.now();
        for (service, template) in &config.templates {
            let domain = &self.settings.domain;
            let local = template.upstreams.iter().filter(|spec| spec.domain == *domain);
            let event = OrderEvent::Configure(template.adapters.clone(), local.cloned().collect());
            lock(&self.orders).entry(service.clone()).or_insert_with(|| ShardOrders {
                keeper: OrderReconciler::new(now),
                session: None,
            });
            self.handle_order_event(service, event);
        }
    }

    fn owns_shard(&self, service: &ServiceName) -> bool {
        let shards = lock(&self.shards);
        shards.get(service).is_some_and(|ledger| ledger.role() == ShardRole::Owner)
    }

    fn handle_order_event(self: &Arc<Self>, service: &ServiceName, event: OrderEvent) {
        let now = self.clock.now();
        let actions = match lock(&self.orders).get_mut(service) {
            Some(orders) => orders.keeper.handle(now, event),
            None => return,
        };
        for action in actions {
            let (node, service) = (self.clone(), service.clone());
            tokio::spawn(async move { node.carry_out_order(&service, action).await });
        }
    }

    async fn carry_out_order(self: Arc<Self>, service: &ServiceName, action: OrderAction) {
        match action {
            OrderAction::Observe(spec) => {
                if let Some(adapters) = self.upstreams.adapters(spec.address).await {
                    self.handle_order_event(service, OrderEvent::Observed(spec.name, adapters));
                }
            }
            OrderAction::Acquire => self.acquire_lease(service).await,
            OrderAction::Release(_) => self.give_lease_back(service).await,
            OrderAction::Send { fence, order, until, upstream } => {
                let outcome = self.send_order(fence, &order, until, &upstream).await;
                log::info!("shard: {service}: {} {order:?}: {outcome:?}", upstream.name);
                self.handle_order_event(service, OrderEvent::Ended(upstream.name, outcome));
            }
        }
    }

    async fn acquire_lease(self: &Arc<Self>, service: &ServiceName) {
        let requested_at = self.clock.now();
        let key = lease_key(service, &self.settings.domain);
        let granted = self.store.acquire(&key, &self.me.to_string(), LEASE_TTL).await;
        let event = match granted {
            Ok(Some(grant)) => {
                if let Some(orders) = lock(&self.orders).get_mut(service) {
                    orders.session = Some(grant.session);
                }
                OrderEvent::LeaseGranted { requested_at, clean: grant.clean, fence: grant.fence }
            }
            Ok(None) => OrderEvent::LeaseDenied,
            Err(error) => {
                log::warn!("store: {service}: no lease for orders: {error}");
                OrderEvent::LeaseDenied
            }
        };
        self.handle_order_event(service, event);
    }

    async fn give_lease_back(&self, service: &ServiceName) {
        let session = match lock(&self.orders).get_mut(service) {
            Some(orders) => orders.session.take(),
            None => None,
        };
        let key = lease_key(service, &self.settings.domain);
        if let Some(session) = session
            && let Err(error) = self.store.release(&key, &session).await
        {
            log::debug!("store: {service}: the lease lapses by itself: {error}");
        }
    }

    async fn send_order(
        &self,
        fence: FencingToken,
        order: &EngineOrder,
        until: Instant,
        upstream: &UpstreamSpec,
    ) -> OrderOutcome {
        // This daemon may have been paused since the decision.
        if self.clock.now() >= until {
            counter!("apricotrun_late_orders_total").increment(1);
            return OrderOutcome::Stale;
        }
        self.upstreams.order(upstream.address, order, fence).await
    }
}
