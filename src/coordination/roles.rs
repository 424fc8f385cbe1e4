//! Balances prefill and decode workers by the requests that a service really gets.
//!
//! A fleet starts with a split that nobody measured. Once a shard has seen enough requests, a plan
//! names the prefill workers that are to decode from now on. A plan is made once and written to the
//! platform's store by create-if-absent, and only its writer gives its orders, one to each worker:
//! no worker ever hears two holders, whatever is lost, late or paused. See docs/DESIGN.md, "Roles".

use crate::prelude::*;
use std::collections::BTreeMap;

/// How many more prefill workers are kept than the mean load asks for: prompts wait for each other
/// when their lengths vary.
const PREFILL_RESERVE: f64 = 1.15;
/// How long after a plan its workers are kept free for a role that they do not have yet; an order
/// may be carried out many seconds late.
const PLAN_TIME: Duration = Duration::from_secs(20);

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
        let share = decoded / (decoded + computed) * PREFILL_RESERVE;
        ((workers as f64 * share).round() as usize).max(1)
    }
}

/// A worker as the balance sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StagedWorker {
    /// Its failure domain.
    pub domain: DomainName,
    /// Its life; an order is for this one alone.
    pub life: Incarnation,
    /// Its name.
    pub name: UpstreamName,
    /// What it does now.
    pub role: UpstreamRole,
}

/// Workers that change their role.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RolePlan {
    /// The lives that change, and what they do then.
    pub workers: BTreeMap<UpstreamName, (Incarnation, UpstreamRole)>,
}

impl RolePlan {
    /// Plans which prefill workers are to decode, taking them from the failure domains with most of
    /// them. Only surplus prefill workers change: while they do, nobody misses them.
    pub fn balance(shape: &RequestShape, workers: &[StagedWorker]) -> Self {
        let mut prefill: BTreeMap<&DomainName, Vec<&StagedWorker>> = BTreeMap::new();
        for worker in workers.iter().filter(|worker| worker.role == UpstreamRole::Prefill) {
            prefill.entry(&worker.domain).or_default().push(worker);
        }
        let have: usize = prefill.values().map(Vec::len).sum();
        let surplus = have.saturating_sub(shape.prefill_workers(workers.len()));
        let mut plan = Self::default();
        for _ in 0..surplus {
            let largest = prefill.values_mut().max_by_key(|workers| workers.len());
            let Some(worker) = largest.and_then(Vec::pop) else { break };
            plan.workers.insert(worker.name.clone(), (worker.life, UpstreamRole::Decode));
        }
        plan
    }
}

/// A plan as one daemon follows it.
#[derive(Clone, Debug)]
pub struct FollowedPlan {
    /// From when a changed worker takes requests.
    back: Instant,
    plan: RolePlan,
    until: Instant,
}

impl FollowedPlan {
    /// Follows a plan that was made just now, whose workers are back at `back`.
    pub fn fresh(now: Instant, plan: RolePlan, back: Instant) -> Self {
        Self { back, plan, until: now + PLAN_TIME }
    }

    /// Follows a plan of unknown age.
    pub fn old(now: Instant, plan: RolePlan) -> Self {
        Self { back: now, plan, until: now + PLAN_TIME }
    }

    /// Returns whether a worker is to be left alone because it changes its role.
    pub fn is_changing(
        &self,
        now: Instant,
        name: &UpstreamName,
        life: Incarnation,
        role: UpstreamRole,
    ) -> bool {
        match self.plan.workers.get(name) {
            Some((planned, target)) if *planned == life => {
                let changed = role == *target;
                (changed && now < self.back) || (!changed && now < self.until)
            }
            _ => false,
        }
    }
}
