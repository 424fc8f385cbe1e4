//! Balances prefill and decode workers by the requests that a service actually gets.
//!
//! A fleet starts with a split that is not based on measurements. Once a shard has seen enough
//! requests, a plan names the prefill workers that switch to decoding. The plan is written to the
//! platform's store. The daemon that marks it as begun, by a conditional write, is the only one to
//! send its orders, one to each worker. So no worker gets orders from two holders, even if messages
//! are lost or late or a daemon is paused. A plan that nobody has begun is taken over, and an old
//! one is replaced. See docs/DESIGN.md, "Roles".

use crate::prelude::*;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// The prefix of the store keys of plans; the service's name follows it.
pub const PLAN_PREFIX: &str = "apricotrun/roles/";

/// The time after a plan in which a worker that has not changed its role yet gets no requests. A
/// worker may execute its order many seconds late.
const ROLE_CHANGE_TIMEOUT: Duration = Duration::from_secs(20);
/// The time that another daemon waits, after a planner should have begun its plan, before it takes
/// the plan over.
const TAKEOVER_GRACE: Duration = Duration::from_millis(1_500);
/// The time after which a plan may be replaced. Replacement is needed because workers come and go
/// and the load changes; by then no order of the old plan can still be in flight.
const REPLAN_INTERVAL: Duration = Duration::from_secs(120);

/// What the requests of a service need on average.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestShape {
    /// The number of requests that one decode worker runs concurrently.
    pub parallel: f64,
    /// The time that a prefill worker takes to compute a prompt, in seconds.
    pub prefill: f64,
    /// The time that a decode worker takes to run a request, in seconds.
    pub run: f64,
}

impl RequestShape {
    /// Returns how many of `workers` should do prefill, at least one, so that both stages have the
    /// same throughput in requests.
    pub fn prefill_workers(&self, workers: usize) -> usize {
        let decode_rate = self.parallel / self.run.max(0.001);
        let prefill_rate = 1.0 / self.prefill.max(0.001);
        let prefill_share = decode_rate / (decode_rate + prefill_rate);
        ((workers as f64 * prefill_share).round() as usize).max(1)
    }
}

/// The attributes of a worker that [`RolePlan::balance`] considers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerSnapshot {
    /// The worker's failure domain.
    pub domain: DomainName,
    /// The worker's incarnation; an order does not apply to a later one.
    pub incarnation: Incarnation,
    /// The worker's name, under which the plan lists it.
    pub name: UpstreamName,
    /// The worker's current role.
    pub role: UpstreamRole,
    /// How long it takes for prompts relative to the expected time; 100 where that is not known.
    pub slowness: SlownessPercent,
}

/// The role changes that a plan asks for.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolePlan {
    /// The workers that change, each with the incarnation that the change applies to and its new
    /// role.
    pub workers: BTreeMap<UpstreamName, (Incarnation, UpstreamRole)>,
}

impl RolePlan {
    /// Plans which prefill workers switch to decoding, taking each from the failure domain that
    /// then has most prefill workers, the fastest first: a slow decode worker holds each run, and so its
    /// memory, for longer. Decode workers never change, since only surplus prefill workers can be spared
    /// while they change.
    pub fn balance(shape: &RequestShape, workers: &[WorkerSnapshot]) -> Self {
        let mut prefill: BTreeMap<&DomainName, Vec<&WorkerSnapshot>> = BTreeMap::new();
        for worker in workers.iter().filter(|worker| worker.role == UpstreamRole::Prefill) {
            prefill.entry(&worker.domain).or_default().push(worker);
        }
        // The last of each domain switches first.
        prefill.values_mut().for_each(|workers| workers.sort_by_key(|w| Reverse(w.slowness)));
        let current: usize = prefill.values().map(Vec::len).sum();
        let surplus = current.saturating_sub(shape.prefill_workers(workers.len()));
        let mut plan = Self::default();
        for _ in 0..surplus {
            let largest = prefill.values_mut().max_by_key(|workers| workers.len());
            let Some(worker) = largest.and_then(Vec::pop) else { break };
            plan.workers.insert(worker.name.clone(), (worker.incarnation, UpstreamRole::Decode));
        }
        plan
    }
}

/// A plan as it is written to the store, in JSON.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlanRecord {
    /// Whether the holder has begun to send orders. Until then, daemons only stop sending requests
    /// to the plan's workers.
    pub begun: bool,
    /// The host whose daemon sends the orders.
    pub holder: HostName,
    /// The planned role changes.
    pub plan: RolePlan,
}

impl PlanRecord {
    /// Encodes the record for the store.
    ///
    /// # Errors
    ///
    /// Returns the serializer's message.
    pub fn encode(&self) -> Result<Vec<u8>, String> {
        serde_json::to_vec(self).map_err(|error| error.to_string())
    }

    /// Decodes a record of the store.
    ///
    /// # Errors
    ///
    /// Returns the parser's message if the bytes are not a plan.
    pub fn decode(bytes: &[u8]) -> Result<Self, String> {
        serde_json::from_slice(bytes).map_err(|error| error.to_string())
    }
}

/// What a daemon that is responsible for the service may do about its current plan.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlanDecision {
    /// Leave the plan: it is about to begin, in progress, or recent.
    Leave,
    /// Replace the plan with a new one.
    Replace,
    /// Begin the plan in place of its planner, which has not done so in time.
    TakeOver,
}

/// A plan with the times at which this daemon observed it and its workers change.
#[derive(Clone, Debug)]
pub struct ObservedPlan {
    /// When a worker that has changed its role gets requests again.
    available_from: Instant,
    /// Whether the store no longer holds the plan, since it has returned from an older copy.
    lost: bool,
    observed_at: Instant,
    record: PlanRecord,
    /// When a worker that has not changed its role gets requests again.
    change_deadline: Instant,
}

impl ObservedPlan {
    /// Observes a plan that was made or begun just now. A worker that has changed its role gets
    /// requests again at `available_from`.
    pub fn new(now: Instant, record: PlanRecord, available_from: Instant) -> Self {
        Self {
            available_from,
            lost: false,
            observed_at: now,
            record,
            change_deadline: now + ROLE_CHANGE_TIMEOUT,
        }
    }

    /// Observes a plan of unknown age. It counts as new, except that workers that have already
    /// changed get requests at once.
    pub fn of_unknown_age(now: Instant, record: PlanRecord) -> Self {
        Self::new(now, record, now)
    }

    /// Returns the plan as it is written to the store.
    pub fn record(&self) -> &PlanRecord {
        &self.record
    }

    /// Records that the store no longer holds the plan. Its workers still change their roles if the
    /// plan was begun.
    pub fn mark_lost(&mut self) {
        self.lost = true;
    }

    /// Returns whether the store no longer holds the plan.
    pub fn is_lost(&self) -> bool {
        self.lost
    }

    /// Returns what may be done about the plan. Its planner begins it `wait` after making it.
    pub fn decide(&self, now: Instant, wait: Duration) -> PlanDecision {
        if now >= self.observed_at + REPLAN_INTERVAL {
            PlanDecision::Replace
        } else if !self.record.begun && now >= self.observed_at + wait + TAKEOVER_GRACE {
            PlanDecision::TakeOver
        } else {
            PlanDecision::Leave
        }
    }

    /// Returns whether a worker gets no requests because it is changing its role. `incarnation` and
    /// `role` are those of the worker's current record.
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
                (changed && now < self.available_from) || (!changed && now < self.change_deadline)
            }
            _ => false,
        }
    }
}
