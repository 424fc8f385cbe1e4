//! Makes and executes role plans, which move workers between prefill and decode.

use crate::coordination::messages::ShardMessage;
use crate::coordination::orders::{FencingToken, OrderOutcome};
use crate::coordination::registry::{RegistryEvent, UpstreamRegistry};
use crate::coordination::roles::{
    ObservedPlan, PLAN_PREFIX, PlanDecision, PlanRecord, RequestShape, RolePlan, WorkerSnapshot,
};
use crate::coordination::shard::{RequestStats, ShardRole};
use crate::coordination::store::{StoreError, StoreVersion};
use crate::prelude::*;
use crate::transport::gateway::start::Gateway;
use crate::transport::node::lock;
use futures::future::BoxFuture;
use metrics::counter;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// The interval at which a daemon checks whether a plan is due.
const PLAN_CHECK_PERIOD: Duration = Duration::from_millis(500);
/// After how many checks the owners in other failure domains are sent request statistics: four
/// messages of 150 bytes each second are a tenth of the bandwidth for control messages.
const CHECKS_PER_STATS_MESSAGE: u32 = 2;
/// How long after the expected end of its role switch, counted from the store's update, a worker is
/// sent requests.
const ROLE_SWITCH_MARGIN: Duration = Duration::from_millis(500);
/// How long after a plan was begun its orders may be sent; the daemon may have been paused in
/// between.
const ORDER_WINDOW: Duration = Duration::from_secs(6);

/// Sends orders to workers.
pub trait RoleClient: Send + Sync {
    /// Orders a worker to change its role, on condition that it has accepted no order since it
    /// started.
    fn order<'a>(
        &'a self,
        worker: &'a UpstreamName,
        address: SocketAddr,
        role: UpstreamRole,
        holder: &'a HostName,
        fence: FencingToken,
    ) -> BoxFuture<'a, OrderOutcome>;
}

/// Makes and executes role plans for the shards that this daemon owns, until the task is dropped.
pub async fn plan_roles(gateway: Arc<Gateway>, client: Arc<dyn RoleClient>) {
    for check in (0..CHECKS_PER_STATS_MESSAGE).cycle() {
        tokio::time::sleep(PLAN_CHECK_PERIOD).await;
        if check == 0 {
            gateway.send_stats();
        }
        for service in gateway.owned_services() {
            // Carrying out a plan takes seconds, after which another one may not be due any more.
            let Some(due) = gateway.due_plan(&service) else { continue };
            if let Err(error) = gateway.execute_plan(client.as_ref(), due).await {
                log::warn!(service:% = service; "roles: executing the plan failed: {error}");
            }
        }
    }
}

/// A service whose role plan this daemon may make, replace or take over.
#[derive(Debug)]
struct PlanCandidate {
    /// The current plan at the time of the decision.
    previous: Option<PlanRecord>,
    service: ServiceName,
    decision: PlanDecision,
}

/// A plan that this daemon may execute now.
#[derive(Debug)]
struct DuePlan {
    /// The plan that it begins or replaces; absent for a service's first plan.
    previous: Option<PlanRecord>,
    plan: RolePlan,
    service: ServiceName,
    /// What the requests need; it may be unknown when another daemon's plan is taken over.
    shape: Option<RequestShape>,
    decision: PlanDecision,
}

impl Gateway {
    /// Sends request statistics to the owners in other failure domains, for services whose plan may
    /// be made or replaced.
    fn send_stats(&self) {
        for (service, stats) in self.stats_to_send() {
            let fleet = self.node.current_config();
            let Some(template) = fleet.templates.get(&service) else { continue };
            let own = &self.node.settings.domain;
            let message = ShardMessage::Stats(own.clone(), stats);
            for domain in self.candidate_domains(template).iter().filter(|domain| *domain != own) {
                self.node.send_to_owner(&service, domain, message.clone());
            }
        }
    }

    fn stats_to_send(&self) -> Vec<(ServiceName, RequestStats)> {
        let services = self.owned_services();
        let candidates = services
            .iter()
            .filter_map(|service| self.plan_candidate(service))
            .filter(|candidate| candidate.decision == PlanDecision::Replace);
        let now = self.node.clock.now();
        let shards = lock(&self.node.shards);
        let stats = candidates.filter_map(|candidate| {
            let stats = shards.get(&candidate.service)?.request_stats(now);
            Some((candidate.service, stats))
        });
        stats.filter(|(_, stats)| stats.requests > 0).collect()
    }

    /// Returns the services of which this daemon owns a shard.
    fn owned_services(&self) -> Vec<ServiceName> {
        let shards = lock(&self.node.shards);
        let owned_services = shards.iter().filter(|(_, ledger)| ledger.role() == ShardRole::Owner);
        owned_services.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the service as a candidate if its plan may be changed.
    fn plan_candidate(&self, service: &ServiceName) -> Option<PlanCandidate> {
        let now = self.node.clock.now();
        let registry = lock(&self.registry);
        let (decision, previous) = registry.decide_plan(now, service, self.propagation_limit);
        let service = service.clone();
        (decision != PlanDecision::Leave).then_some(PlanCandidate { previous, service, decision })
    }

    /// Returns the plan of a service if this daemon may execute it now.
    fn due_plan(&self, service: &ServiceName) -> Option<DuePlan> {
        let PlanCandidate { previous, service, decision } = self.plan_candidate(service)?;
        let now = self.node.clock.now();
        let (shape, slowness) = {
            let shards = lock(&self.node.shards);
            let ledger = shards.get(&service)?;
            (ledger.shape(now), ledger.prefill_slowness())
        };
        let plan = match (decision, &previous) {
            (PlanDecision::TakeOver, Some(previous)) => previous.plan.clone(),
            _ => {
                let registry = lock(&self.registry);
                RolePlan::balance(&shape?, &worker_snapshots(now, &registry, &service, &slowness))
            }
        };
        (!plan.workers.is_empty()).then_some(DuePlan { previous, plan, service, shape, decision })
    }

    async fn execute_plan(&self, client: &dyn RoleClient, due: DuePlan) -> Result<(), StoreError> {
        let holder = self.node.settings.host.clone();
        let planned = PlanRecord { begun: false, holder, plan: due.plan };
        let previous = due.previous.as_ref();
        let current = self.current_version(&due.service, previous).await?;
        let current = match (due.decision, previous) {
            (PlanDecision::TakeOver, _) => current,
            (_, Some(_)) => self.publish_plan(&due.service, &planned, current).await?,
            (_, None) => {
                self.publish_plan(&due.service, &planned, Some(StoreVersion::ABSENT)).await?
            }
        };
        let Some(version) = current else { return Ok(()) };
        if self.holds_plans(&due.service) {
            return Ok(());
        }
        let begun = PlanRecord { begun: true, ..planned };
        let Some(fence) = self.write_plan(&due.service, &begun, version).await? else {
            log::info!(service:% = due.service; "roles: another daemon executes the plan");
            return Ok(());
        };
        log::info!(
            service:% = due.service, workers = begun.plan.workers.len(),
            fence = fence.sequence(),
            shape:? = due.shape, turn:? = due.decision;
            "roles: plan begun"
        );
        self.send_orders(client, &due.service, &begun, FencingToken(fence.sequence())).await;
        Ok(())
    }

    /// Writes a new plan if the stored version is still `expected`, and waits until every daemon
    /// has stopped sending requests to the plan's workers. Returns the plan's version, or `None` if
    /// another plan was written first.
    async fn publish_plan(
        &self,
        service: &ServiceName,
        planned: &PlanRecord,
        expected: Option<StoreVersion>,
    ) -> Result<Option<StoreVersion>, StoreError> {
        let Some(expected) = expected else { return Ok(None) };
        let version = self.write_plan(service, planned, expected).await?;
        if version.is_some() {
            log::info!(
                service:% = service, workers = planned.plan.workers.len(); "roles: plan published"
            );
            tokio::time::sleep(self.propagation_limit).await;
        }
        Ok(version)
    }

    /// Returns the version of the plan in the store if that plan is still `previous`.
    async fn current_version(
        &self,
        service: &ServiceName,
        previous: Option<&PlanRecord>,
    ) -> Result<Option<StoreVersion>, StoreError> {
        let Some(previous) = previous else { return Ok(None) };
        let previous = previous.encode().map_err(StoreError::Invalid)?;
        let current = self.node.store.get(&plan_key(service)).await?;
        Ok(current.filter(|value| value.bytes == previous).map(|value| value.version))
    }

    /// Writes a plan if the stored version is still `expected`. Returns the plan's version, or
    /// `None` if it was not written. If the outcome of the write is unknown, the plan is read back.
    async fn write_plan(
        &self,
        service: &ServiceName,
        record: &PlanRecord,
        expected: StoreVersion,
    ) -> Result<Option<StoreVersion>, StoreError> {
        let bytes = record.encode().map_err(StoreError::Invalid)?;
        let written = self.node.store.put(&plan_key(service), bytes, expected).await;
        match written {
            Ok(true) | Err(StoreError::Unknown(_)) => {
                self.current_version(service, Some(record)).await
            }
            Ok(false) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Returns whether no plan may be carried out now, as the store has returned from an older copy: another
    /// host may have sent orders by a plan that the store has lost.
    fn holds_plans(&self, service: &ServiceName) -> bool {
        let is_held = lock(&self.registry).holds_plans(self.node.clock.now());
        if is_held {
            counter!("apricotrun_held_plans_total").increment(1);
            log::info!(service:% = service; "roles: the plan is given up, as the store has returned");
        }
        is_held
    }

    async fn send_orders(
        &self,
        client: &dyn RoleClient,
        service: &ServiceName,
        begun: &PlanRecord,
        fence: FencingToken,
    ) {
        let since = self.node.clock.now();
        for (name, (_, role)) in &begun.plan.workers {
            if self.node.clock.now() >= since + ORDER_WINDOW {
                counter!("apricotrun_late_orders_total").increment(1);
                return log::warn!(
                    service:% = service;
                    "roles: the time for the plan's orders has passed"
                );
            }
            if self.holds_plans(service) {
                return;
            }
            let now = self.node.clock.now();
            let address = {
                let registry = lock(&self.registry);
                registry.address_of(name).filter(|_| !registry.is_forbidden(now, name))
            };
            let Some(address) = address else { continue };
            let outcome = client.order(name, address, *role, &begun.holder, fence).await;
            log::info!(
                upstream:% = name, role:? = role, fence = fence.0, outcome:? = outcome;
                "roles: order sent"
            );
        }
    }

    /// Returns the registry event of a plan that was written just now. Its workers receive no
    /// requests until their role switch is over.
    pub fn observe_plan(&self, service: ServiceName, record: PlanRecord) -> RegistryEvent {
        let now = self.node.clock.now();
        let routes = lock(&self.routes).current().cloned();
        let engine = routes.and_then(|routes| routes.services.get(&service)?.engine);
        let switch_time = engine.map_or(Duration::ZERO, |engine| engine.role_switch_time);
        log::info!(
            service:% = service, workers = record.plan.workers.len(), begun = record.begun,
            holder:% = record.holder;
            "roles: plan observed"
        );
        let wait = if record.begun { Duration::ZERO } else { self.propagation_limit };
        let available_at = now + wait + switch_time + ROLE_SWITCH_MARGIN;
        RegistryEvent::Planned(service, ObservedPlan::new(now, record, available_at))
    }
}

fn worker_snapshots(
    now: Instant,
    registry: &UpstreamRegistry,
    service: &ServiceName,
    slowness: &BTreeMap<UpstreamName, SlownessPercent>,
) -> Vec<WorkerSnapshot> {
    let workers = registry
        .of_service(service)
        .filter(|(name, record)| !record.draining && !registry.is_forbidden(now, name));
    let workers = workers.map(|(name, record)| WorkerSnapshot {
        domain: record.domain.clone(),
        incarnation: record.incarnation,
        name: name.clone(),
        role: record.role,
        slowness: slowness.get(name).copied().unwrap_or_default(),
    });
    workers.collect()
}

fn plan_key(service: &ServiceName) -> String {
    format!("{PLAN_PREFIX}{service}")
}
