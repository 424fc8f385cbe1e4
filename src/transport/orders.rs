//! Executes the orders of the shards that this daemon owns: holds their leases in the store, and
//! loads and unloads the adapters of engines.

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

/// The interval between two ticks of the order reconcilers.
const TICK: Duration = Duration::from_millis(250);

/// Ticks the order reconcilers until the task is dropped.
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
    /// Configures the order reconciler of every service from its template, and drops reconcilers
    /// without one.
    pub fn configure_orders(self: &Arc<Self>, config: &FleetConfig) {
        lock(&self.orders).retain(|service, _| config.templates.contains_key(service));
        let now = self.clock.now();
        for (service, template) in &config.templates {
            let domain = &self.settings.domain;
            let local = template.upstreams.iter().filter(|spec| spec.domain == *domain);
            let event = OrderEvent::Configure(template.adapters.clone(), local.cloned().collect());
            lock(&self.orders).entry(service.clone()).or_insert_with(|| ShardOrders {
                reconciler: OrderReconciler::new(now),
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
            Some(orders) => orders.reconciler.handle(now, event),
            None => return,
        };
        for action in actions {
            let (node, service) = (self.clone(), service.clone());
            tokio::spawn(async move { node.execute_order_action(&service, action).await });
        }
    }

    async fn execute_order_action(self: Arc<Self>, service: &ServiceName, action: OrderAction) {
        match action {
            OrderAction::Observe(spec) => {
                if let Some(adapters) = self.upstreams.adapters(spec.address).await {
                    self.handle_order_event(service, OrderEvent::Observed(spec.name, adapters));
                }
            }
            OrderAction::Acquire => self.acquire_lease(service).await,
            OrderAction::Release(_) => self.release_lease(service).await,
            OrderAction::Send { fence, order, deadline, upstream } => {
                let outcome = self.send_order(fence, &order, deadline, &upstream).await;
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
                OrderEvent::LeaseGranted {
                    requested_at,
                    released: grant.released,
                    fence: grant.fence,
                }
            }
            Ok(None) => OrderEvent::LeaseDenied,
            Err(error) => {
                log::warn!("store: {service}: cannot acquire the lease for orders: {error}");
                OrderEvent::LeaseDenied
            }
        };
        self.handle_order_event(service, event);
    }

    async fn release_lease(&self, service: &ServiceName) {
        let session = match lock(&self.orders).get_mut(service) {
            Some(orders) => orders.session.take(),
            None => None,
        };
        let key = lease_key(service, &self.settings.domain);
        if let Some(session) = session
            && let Err(error) = self.store.release(&key, &session).await
        {
            log::debug!("store: {service}: cannot release the lease, which will expire: {error}");
        }
    }

    async fn send_order(
        &self,
        fence: FencingToken,
        order: &EngineOrder,
        deadline: Instant,
        upstream: &UpstreamSpec,
    ) -> OrderOutcome {
        // The process may have been paused since the order was decided, and the lease may
        // have expired.
        if self.clock.now() >= deadline {
            counter!("apricotrun_late_orders_total").increment(1);
            return OrderOutcome::Stale;
        }
        self.upstreams.send_order(upstream.address, order, fence).await
    }
}
