//! Balances prefill and decode workers by the requests that a service really gets.
//!
//! A fleet starts with a split that nobody measured. Once a shard has seen enough requests, a plan
//! names the prefill workers that are to decode from now on. A plan stands in the platform's store.
//! Whoever marks it as begun, by a write on condition, alone gives its orders, one to each worker:
//! no worker ever hears two holders, whatever is lost, late or paused. A plan that nobody has begun
//! is taken over, and an old one is replaced. See docs/DESIGN.md, "Roles".

use crate::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Under what plans stand in the store, by service.
pub const PLAN_PREFIX: &str = "apricotrun/roles/";

/// How long after a plan its workers are kept free for a role that they do not have yet; an order
/// may be carried out many seconds late.
const PLAN_TIME: Duration = Duration::from_secs(20);
/// How much longer than its planner needs a plan may stand before another daemon takes it over.
const BEGIN_SLACK: Duration = Duration::from_millis(1_500);
/// How long after a plan the next one may be made: workers are replaced and the load changes its
/// shape, but no order of the plan before can still be under way.
const REPLAN_AFTER: Duration = Duration::from_secs(120);

/// What the requests of a service need, in the mean.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestShape {
    /// How many requests one decode worker runs at the same time.
    pub parallel: f64,
    /// How long a prefill worker computes a prompt, in seconds.
    pub prefill: f64,
    /// How long a decode worker runs, in seconds.
    pub run: f64,
}

impl RequestShape {
    /// Returns how many of `workers` should compute prompts, so that both stages finish the same
    /// number of requests.
    pub fn prefill_workers(&self, workers: usize) -> usize {
        let decoded = self.parallel / self.run.max(0.001);
        let computed = 1.0 / self.prefill.max(0.001);
        let share = decoded / (decoded + computed);
        ((workers as f64 * share).round() as usize).max(1)
    }
}

/// A worker as the balance sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerSnapshot {
    /// Its failure domain.
    pub domain: DomainName,
    /// Its life; an order is for this one alone.
    pub incarnation: Incarnation,
    /// Its name.
    pub name: UpstreamName,
    /// What it does now.
    pub role: UpstreamRole,
}

/// Workers that change their role.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolePlan {
    /// The lives that change, and what they do then.
    pub workers: BTreeMap<UpstreamName, (Incarnation, UpstreamRole)>,
}

impl RolePlan {
    /// Plans which prefill workers are to decode, taking them from the failure domains with most of
    /// them. Only surplus prefill workers change: while they do, nobody misses them.
    pub fn balance(shape: &RequestShape, workers: &[WorkerSnapshot]) -> Self {
        let mut prefill: BTreeMap<&DomainName, Vec<&WorkerSnapshot>> = BTreeMap::new();
        for worker in workers.iter().filter(|worker| worker.role == UpstreamRole::Prefill) {
            prefill.entry(&worker.domain).or_default().push(worker);
        }
        let have: usize = prefill.values().map(Vec::len).sum();
        let surplus = have.saturating_sub(shape.prefill_workers(workers.len()));
        let mut plan = Self::default();
        for _ in 0..surplus {
            let largest = prefill.values_mut().max_by_key(|workers| workers.len());
            let Some(worker) = largest.and_then(Vec::pop) else { break };
            plan.workers.insert(worker.name.clone(), (worker.incarnation, UpstreamRole::Decode));
        }
        plan
    }
}

/// A plan as it stands in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlanRecord {
    /// Whether its holder gives the orders. Before, everybody only leaves its workers alone.
    pub begun: bool,
    /// The host whose daemon gives the orders.
    pub holder: HostName,
    /// What is planned.
    pub plan: RolePlan,
}

impl PlanRecord {
    /// Encodes the record for the store.
    ///
    /// # Errors
    ///
    /// Returns what the codec says.
    pub fn encode(&self) -> Result<Vec<u8>, String> {
        serde_json::to_vec(self).map_err(|error| error.to_string())
    }

    /// Decodes a record of the store.
    ///
    /// # Errors
    ///
    /// Returns why the bytes are no plan.
    pub fn decode(bytes: &[u8]) -> Result<Self, String> {
        serde_json::from_slice(bytes).map_err(|error| error.to_string())
    }
}

/// What a daemon with a duty for the service may do with the plan that stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlanDecision {
    /// Nothing: it is being carried out, or was so lately.
    Leave,
    /// Make a plan in its place.
    Replace,
    /// Begin it: its planner is gone.
    TakeOver,
}

/// A plan as one daemon follows it.
#[derive(Clone, Debug)]
pub struct ObservedPlan {
    /// From when a changed worker takes requests.
    back: Instant,
    heard: Instant,
    record: PlanRecord,
    until: Instant,
}

impl ObservedPlan {
    /// Follows a plan that was made or begun just now, whose workers are back at `back`.
    pub fn new(now: Instant, record: PlanRecord, back: Instant) -> Self {
        Self { back, heard: now, record, until: now + PLAN_TIME }
    }

    /// Follows a plan of unknown age.
    pub fn of_unknown_age(now: Instant, record: PlanRecord) -> Self {
        Self::new(now, record, now)
    }

    /// Returns the plan as it stands in the store.
    pub fn record(&self) -> &PlanRecord {
        &self.record
    }

    /// Returns what may be done with the plan. Its planner begins it `wait` after it was made.
    pub fn decide(&self, now: Instant, wait: Duration) -> PlanDecision {
        if now >= self.heard + REPLAN_AFTER {
            PlanDecision::Replace
        } else if !self.record.begun && now >= self.heard + wait + BEGIN_SLACK {
            PlanDecision::TakeOver
        } else {
            PlanDecision::Leave
        }
    }

    /// Returns whether a worker is to be left alone because it changes its role.
    pub fn is_changing(
        &self,
        now: Instant,
        name: &UpstreamName,
        incarnation: Incarnation,
        role: UpstreamRole,
    ) -> bool {
        match self.record.plan.workers.get(name) {
            Some((planned, target)) if *planned == incarnation => {
                let changed = role == *target;
                (changed && now < self.back) || (!changed && now < self.until)
            }
            _ => false,
        }
    }
}
