//! Makes and carries out the plans of roles.

use crate::coordination::messages::ShardMessage;
use crate::coordination::orders::{FencingToken, OrderOutcome};
use crate::coordination::registry::{RegistryEvent, UpstreamRegistry};
use crate::coordination::roles::{
    ObservedPlan, PLAN_PREFIX, PlanDecision, PlanRecord, RequestShape, RolePlan, WorkerSnapshot,
};
use crate::coordination::shard::{RequestSample, ShardRole};
use crate::coordination::store::{StoreError, StoreVersion};
use crate::prelude::*;
use crate::transport::gateway::start::Gateway;
use crate::transport::node::lock;
use futures::future::BoxFuture;
use metrics::counter;
use std::net::SocketAddr;
use std::sync::Arc;

/// How often a daemon looks whether a plan is due.
const PLAN_CHECK_PERIOD: Duration = Duration::from_millis(500);
/// After how many looks the owners of other failure domains hear what requests look like here: four of
/// them at 150 bytes each second are a tenth of what control may send.
const CHECKS_PER_SAMPLE: u32 = 2;
/// How much later than the store's news a changed worker is used.
const ROLE_SWITCH_MARGIN: Duration = Duration::from_millis(500);
/// How long after a plan was begun its orders may still be sent; a daemon may have been paused.
const ORDER_WINDOW: Duration = Duration::from_secs(6);

/// Gives orders to workers.
pub trait RoleClient: Send + Sync {
    /// Orders a worker to change its role, if it has had no order since it started.
    fn order<'a>(
        &'a self,
        worker: &'a UpstreamName,
        address: SocketAddr,
        role: UpstreamRole,
        holder: &'a HostName,
        fence: FencingToken,
    ) -> BoxFuture<'a, OrderOutcome>;
}

/// Makes plans for the shards that this daemon owns, until the task is dropped.
pub async fn plan_roles(gateway: Arc<Gateway>, port: Arc<dyn RoleClient>) {
    for turn in (0..CHECKS_PER_SAMPLE).cycle() {
        tokio::time::sleep(PLAN_CHECK_PERIOD).await;
        if turn == 0 {
            gateway.send_samples();
        }
        for due in gateway.due_plans() {
            let service = due.service.clone();
            if let Err(error) = gateway.execute_plan(port.as_ref(), due).await {
                log::warn!(service:% = service; "roles: the plan was not carried out: {error}");
            }
        }
    }
}

/// A service whose plan may be made, replaced or taken over.
#[derive(Debug)]
struct PlanCandidate {
    /// The plan that stands, as it was when the turn was decided.
    before: Option<PlanRecord>,
    service: ServiceName,
    turn: PlanDecision,
}

/// A plan that this daemon may carry out now.
#[derive(Debug)]
struct DuePlan {
    /// The plan that it begins or replaces; nothing for a service's first.
    before: Option<PlanRecord>,
    plan: RolePlan,
    service: ServiceName,
    /// What the requests need; nothing known when the plan is taken over.
    shape: Option<RequestShape>,
    turn: PlanDecision,
}

impl Gateway {
    /// Tells the owners of other failure domains what requests look like here, while a plan may be made.
    fn send_samples(&self) {
        for (service, sample) in self.samples_to_share() {
            let fleet = self.node.current_config();
            let Some(template) = fleet.templates.get(&service) else { continue };
            let own = &self.node.settings.domain;
            let message = ShardMessage::Sample(own.clone(), sample);
            for domain in self.candidate_domains(template).iter().filter(|domain| *domain != own) {
                self.node.send_to_owner(&service, domain, message.clone());
            }
        }
    }

    fn samples_to_share(&self) -> Vec<(ServiceName, RequestSample)> {
        let open =
            self.plan_candidates().into_iter().filter(|open| open.turn == PlanDecision::Replace);
        let now = self.node.clock.now();
        let shards = lock(&self.node.shards);
        let samples = open.filter_map(|open| {
            let sample = shards.get(&open.service)?.sample(now);
            Some((open.service, sample))
        });
        samples.filter(|(_, sample)| sample.requests > 0).collect()
    }

    /// Returns the services of which this daemon owns a shard and whose plan it need not leave alone.
    fn plan_candidates(&self) -> Vec<PlanCandidate> {
        let owned: Vec<_> = {
            let shards = lock(&self.node.shards);
            let owned = shards.iter().filter(|(_, ledger)| ledger.role() == ShardRole::Owner);
            owned.map(|(name, _)| name.clone()).collect()
        };
        let now = self.node.clock.now();
        let registry = lock(&self.registry);
        let open = owned.into_iter().filter_map(|service| {
            let followed = registry.plan_of(&service);
            let turn = followed
                .map_or(PlanDecision::Replace, |plan| plan.decide(now, self.propagation_limit));
            let before = || followed.map(|plan| plan.record().clone());
            (turn != PlanDecision::Leave).then(|| PlanCandidate { before: before(), service, turn })
        });
        open.collect()
    }

    /// Returns the plans that this daemon could make or take over now.
    fn due_plans(&self) -> Vec<DuePlan> {
        self.plan_candidates().into_iter().filter_map(|open| self.due_plan(open)).collect()
    }

    fn due_plan(&self, open: PlanCandidate) -> Option<DuePlan> {
        let PlanCandidate { before, service, turn } = open;
        let shape = lock(&self.node.shards).get(&service)?.shape(self.node.clock.now());
        let plan = match (turn, &before) {
            (PlanDecision::TakeOver, Some(before)) => before.plan.clone(),
            _ => RolePlan::balance(&shape?, &worker_snapshots(&lock(&self.registry), &service)),
        };
        (!plan.workers.is_empty()).then_some(DuePlan { before, plan, service, shape, turn })
    }

    async fn execute_plan(&self, port: &dyn RoleClient, due: DuePlan) -> Result<(), StoreError> {
        let holder = self.node.settings.host.clone();
        let made = PlanRecord { begun: false, holder, plan: due.plan };
        let before = due.before.as_ref();
        let stands = self.current_version(&due.service, before).await?;
        let stands = match (due.turn, before) {
            (PlanDecision::TakeOver, _) => stands,
            (_, Some(_)) => self.publish_plan(&due.service, &made, stands).await?,
            (_, None) => self.publish_plan(&due.service, &made, Some(StoreVersion(0))).await?,
        };
        let Some(version) = stands else { return Ok(()) };
        let begun = PlanRecord { begun: true, ..made };
        let Some(fence) = self.write_plan(&due.service, &begun, version).await? else {
            log::info!(service:% = due.service; "roles: another daemon carries the plan out");
            return Ok(());
        };
        log::info!(
            service:% = due.service, workers = begun.plan.workers.len(), fence = fence.0,
            shape:? = due.shape, turn:? = due.turn;
            "roles: begun"
        );
        self.send_orders(port, &due.service, &begun, FencingToken(fence.0)).await;
        Ok(())
    }

    /// Writes a new plan over version `expected`, and waits until every daemon leaves its workers alone.
    /// Returns its version, or nothing if another plan stands there.
    async fn publish_plan(
        &self,
        service: &ServiceName,
        made: &PlanRecord,
        expected: Option<StoreVersion>,
    ) -> Result<Option<StoreVersion>, StoreError> {
        let Some(expected) = expected else { return Ok(None) };
        let version = self.write_plan(service, made, expected).await?;
        if version.is_some() {
            log::info!(
                service:% = service, workers = made.plan.workers.len(); "roles: planned"
            );
            tokio::time::sleep(self.propagation_limit).await;
        }
        Ok(version)
    }

    /// Returns the version of the plan that stands in the store if it is still `before`.
    async fn current_version(
        &self,
        service: &ServiceName,
        before: Option<&PlanRecord>,
    ) -> Result<Option<StoreVersion>, StoreError> {
        let Some(before) = before else { return Ok(None) };
        let before = before.encode().map_err(StoreError::Invalid)?;
        let stands = self.node.store.get(&plan_key(service)).await?;
        Ok(stands.filter(|value| value.bytes == before).map(|value| value.version))
    }

    /// Writes a plan over version `expected`, and returns its version if it stands there now. A lost
    /// answer is settled by reading back.
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

    async fn send_orders(
        &self,
        port: &dyn RoleClient,
        service: &ServiceName,
        begun: &PlanRecord,
        fence: FencingToken,
    ) {
        let since = self.node.clock.now();
        for (name, (_, role)) in &begun.plan.workers {
            if self.node.clock.now() >= since + ORDER_WINDOW {
                counter!("apricotrun_late_orders_total").increment(1);
                return log::warn!(service:% = service; "roles: too late for the rest of the plan");
            }
            let Some(address) = lock(&self.registry).address_of(name) else { continue };
            let outcome = port.order(name, address, *role, &begun.holder, fence).await;
            log::info!(
                upstream:% = name, role:? = role, fence = fence.0, outcome:? = outcome;
                "roles: ordered"
            );
        }
    }

    /// Follows a plan that was written just now.
    pub fn observe_plan(&self, service: ServiceName, record: PlanRecord) -> RegistryEvent {
        let now = self.node.clock.now();
        let routes = lock(&self.routes).current().cloned();
        let engine = routes.and_then(|routes| routes.services.get(&service)?.engine);
        let away = engine.map_or(Duration::ZERO, |engine| engine.role_switch_time);
        log::info!(
            service:% = service, workers = record.plan.workers.len(), begun = record.begun,
            holder:% = record.holder;
            "roles: following a plan"
        );
        let wait = if record.begun { Duration::ZERO } else { self.propagation_limit };
        let back = now + wait + away + ROLE_SWITCH_MARGIN;
        RegistryEvent::Planned(service, ObservedPlan::new(now, record, back))
    }
}

fn worker_snapshots(registry: &UpstreamRegistry, service: &ServiceName) -> Vec<WorkerSnapshot> {
    let workers = registry.of_service(service).filter(|(_, record)| !record.draining);
    let workers = workers.map(|(name, record)| WorkerSnapshot {
        domain: record.domain.clone(),
        incarnation: record.incarnation,
        name: name.clone(),
        role: record.role,
    });
    workers.collect()
}

fn plan_key(service: &ServiceName) -> String {
    format!("{PLAN_PREFIX}{service}")
}
