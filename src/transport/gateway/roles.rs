//! Makes and carries out the plan of roles, at most once for each service.

use crate::coordination::orders::{FencingNumber, OrderOutcome};
use crate::coordination::registry::RegistryEvent;
use crate::coordination::roles::{FollowedPlan, RequestShape, RolePlan, StagedWorker};
use crate::coordination::store::StoreError;
use crate::prelude::*;
use crate::transport::gateway::start::Gateway;
use crate::transport::node::lock;
use futures::future::BoxFuture;
use metrics::counter;
use std::net::SocketAddr;
use std::sync::Arc;

/// How often a daemon looks whether a plan is due.
const LOOK_PERIOD: Duration = Duration::from_millis(500);
/// How much later than the store's news a changed worker is used.
const BACK_MARGIN: Duration = Duration::from_millis(500);
/// How long after its plan an order may still be sent; a daemon may have been paused.
const SEND_LIMIT: Duration = Duration::from_secs(6);

/// Keeps plans in the platform's store, and gives orders.
pub trait RolePort: Send + Sync {
    /// Writes a service's plan unless one is there. Returns the number of the write if it was.
    fn claim<'a>(
        &'a self,
        service: &'a ServiceName,
        plan: &'a RolePlan,
    ) -> BoxFuture<'a, Result<Option<FencingNumber>, StoreError>>;

    /// Orders a worker to change its role, if it has had no order since it started.
    fn order<'a>(
        &'a self,
        worker: &'a UpstreamName,
        address: SocketAddr,
        role: UpstreamRole,
        holder: &'a HostName,
        fence: FencingNumber,
    ) -> BoxFuture<'a, OrderOutcome>;
}

/// Makes plans for the shards that this daemon owns, until the task is dropped.
pub async fn plan_roles(gateway: Arc<Gateway>, port: Arc<dyn RolePort>) {
    loop {
        tokio::time::sleep(LOOK_PERIOD).await;
        for (service, plan, shape) in gateway.due_plans() {
            gateway.make_plan(port.as_ref(), &service, &plan, &shape).await;
        }
    }
}

impl Gateway {
    /// Returns the plans that this daemon could make now.
    fn due_plans(&self) -> Vec<(ServiceName, RolePlan, RequestShape)> {
        let now = self.node.clock.now();
        let shapes: Vec<_> = {
            let shards = lock(&self.node.shards);
            let shapes =
                shards.iter().filter_map(|(name, ledger)| Some((name.clone(), ledger.shape(now)?)));
            shapes.collect()
        };
        let registry = lock(&self.registry);
        let due = shapes.into_iter().filter(|(service, _)| !registry.is_planned(service));
        let plans = due.map(|(service, shape)| {
            let workers = registry.of_service(&service).filter(|(_, record)| !record.leaving);
            let workers = workers.map(|(name, record)| StagedWorker {
                domain: record.domain.clone(),
                life: record.life,
                name: name.clone(),
                role: record.role,
            });
            let plan = RolePlan::balance(&shape, &workers.collect::<Vec<_>>());
            (service, plan, shape)
        });
        plans.filter(|(_, plan, _)| !plan.workers.is_empty()).collect()
    }

    async fn make_plan(
        &self,
        port: &dyn RolePort,
        service: &ServiceName,
        plan: &RolePlan,
        shape: &RequestShape,
    ) {
        let made = self.node.clock.now();
        let fence = match port.claim(service, plan).await {
            Ok(Some(fence)) => fence,
            // Another daemon has made one; the store will tell.
            Ok(None) => return,
            Err(error) => {
                return log::warn!(service:% = service; "roles: no plan: {error}");
            }
        };
        log::info!(
            service:% = service, workers = plan.workers.len(), fence = fence.0,
            prefill_s = shape.prefill, run_s = shape.run, parallel = shape.parallel;
            "roles: planned"
        );
        // By then every daemon leaves these workers alone.
        tokio::time::sleep(self.news_limit).await;
        for (name, (_, role)) in &plan.workers {
            if self.node.clock.now() >= made + self.news_limit + SEND_LIMIT {
                counter!("apricotrun_late_orders_total").increment(1);
                return log::warn!(service:% = service; "roles: too late for the rest of the plan");
            }
            let Some(address) = lock(&self.registry).address_of(name) else { continue };
            let holder = &self.node.settings.host;
            let outcome = port.order(name, address, *role, holder, fence).await;
            log::info!(
                upstream:% = name, role:? = role, fence = fence.0, outcome:? = outcome;
                "roles: ordered"
            );
        }
    }

    /// Follows a plan that was written just now.
    pub fn follow_plan(&self, service: ServiceName, plan: RolePlan) -> RegistryEvent {
        let now = self.node.clock.now();
        let routes = lock(&self.routes).current().cloned();
        let engine = routes.and_then(|routes| routes.services.get(&service)?.engine);
        let away = engine.map_or(Duration::ZERO, |engine| engine.role_change);
        log::info!(service:% = service, workers = plan.workers.len(); "roles: following a plan");
        let back = now + self.news_limit + away + BACK_MARGIN;
        RegistryEvent::Planned(service, FollowedPlan::fresh(now, plan, back))
    }
}
