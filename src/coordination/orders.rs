//! Orders to engines: which adapters they must have loaded, and who may tell them.
//!
//! Only a shard's owner gives orders, and only while it holds the shard's lease, since two owners
//! can stand for a moment. Orders carry the lease's fencing number. For engines that do not check
//! it, the holder looks at its lease right before sending, and a successor of a holder that did
//! not give the lease back waits until everything that holder sent has ended. Orders set a state,
//! which is read again and repaired. See docs/DESIGN.md, "Orders to engines".

use crate::prelude::*;
use crate::state::fleet::AdapterSpec;
use std::collections::{BTreeMap, BTreeSet};

/// How long a lease lasts after it was asked for.
pub const LEASE_TTL: Duration = Duration::from_secs(10);
/// How long before the lease's end its holder stops sending.
const LEASE_MARGIN: Duration = Duration::from_secs(2);
/// How long one order may take.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(10);
/// How often the state of each engine is read.
const OBSERVE_PERIOD: Duration = Duration::from_secs(10);
/// How long after a denied lease it is asked for again.
const LEASE_RETRY: Duration = Duration::from_secs(2);

/// The number of a lease; a later holder's is higher.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct FencingToken(pub u64);

/// What an engine is told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EngineOrder {
    /// Load an adapter.
    Load(AdapterSpec),
    /// Unload the adapter of this name.
    Unload(String),
}

/// How an order ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The engine carried it out.
    Done,
    /// The engine did not, and nothing is on its way.
    Refused,
    /// The engine has seen a higher fencing number.
    Stale,
    /// No answer came, so it may still be carried out.
    Unknown,
}

/// What happens to the orders of one shard.
#[derive(Clone, Debug)]
pub enum OrderEvent {
    /// The template's adapters, if it says any, and engines.
    Configure(Option<Vec<AdapterSpec>>, Vec<UpstreamSpec>),
    /// Whether this daemon owns the shard.
    Owner(bool),
    /// An engine has these adapters.
    Observed(UpstreamName, BTreeSet<String>),
    /// The lease was granted.
    LeaseGranted {
        /// When it was asked for; it counts from then.
        requested_at: Instant,
        /// Whether the holder before gave it back.
        clean: bool,
        /// Its number.
        fence: FencingToken,
    },
    /// The lease was not granted.
    LeaseDenied,
    /// An order ended.
    Ended(UpstreamName, OrderOutcome),
    /// Time has passed.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum OrderAction {
    /// Read an engine's adapters.
    Observe(UpstreamSpec),
    /// Ask the store for the shard's lease.
    Acquire,
    /// Give the lease back.
    Release(FencingToken),
    /// Send an order, but not after `until`.
    Send {
        /// The lease's number.
        fence: FencingToken,
        /// What to tell.
        order: EngineOrder,
        /// The last moment to send it.
        until: Instant,
        /// Whom.
        upstream: UpstreamSpec,
    },
}

#[derive(Debug)]
enum LeaseState {
    Free { next_try: Instant },
    Asked,
    Held { fence: FencingToken, ends: Instant, unfenced_from: Instant },
}

/// The last lease that this daemon held.
#[derive(Clone, Copy, Debug)]
struct LastLease {
    fence: FencingToken,
    unfenced_from: Instant,
}

#[derive(Debug)]
struct OrderTarget {
    adapters: Option<BTreeSet<String>>,
    next_observe: Instant,
    pending: bool,
    spec: UpstreamSpec,
}

/// Keeps the engines of one shard in the wanted state.
#[derive(Debug)]
pub struct OrderReconciler {
    adapters: Option<Vec<AdapterSpec>>,
    last: Option<LastLease>,
    lease: LeaseState,
    owner: bool,
    targets: BTreeMap<UpstreamName, OrderTarget>,
}

impl OrderReconciler {
    /// Returns a keeper that orders nothing yet.
    pub fn new(now: Instant) -> Self {
        Self {
            adapters: None,
            last: None,
            lease: LeaseState::Free { next_try: now },
            owner: false,
            targets: BTreeMap::new(),
        }
    }

    /// Takes one event and returns what is to be done.
    pub fn handle(&mut self, now: Instant, event: OrderEvent) -> Vec<OrderAction> {
        let mut out = Vec::new();
        match event {
            OrderEvent::Configure(adapters, specs) => self.configure(now, adapters, specs),
            OrderEvent::Owner(owner) => self.owner = owner,
            OrderEvent::Observed(name, adapters) => {
                if let Some(target) = self.targets.get_mut(&name) {
                    target.adapters = Some(adapters);
                }
            }
            OrderEvent::LeaseGranted { requested_at, clean, fence } => {
                self.take_lease(now, requested_at, clean, fence);
            }
            OrderEvent::LeaseDenied => self.lose_lease(now),
            OrderEvent::Ended(name, outcome) => self.ended(now, &name, outcome),
            OrderEvent::Tick => {}
        }
        if self.owner {
            self.observe(now, &mut out);
            self.give_orders(now, &mut out);
        } else {
            self.release(now, &mut out);
        }
        out
    }

    fn configure(
        &mut self,
        now: Instant,
        adapters: Option<Vec<AdapterSpec>>,
        specs: Vec<UpstreamSpec>,
    ) {
        self.adapters = adapters;
        let mut old = std::mem::take(&mut self.targets);
        for spec in specs.into_iter().filter(|spec| spec.role != UpstreamRole::Plain) {
            let fresh = OrderTarget {
                adapters: None,
                next_observe: now,
                pending: false,
                spec: spec.clone(),
            };
            let target = match old.remove(&spec.name) {
                Some(target) if target.spec.address == spec.address => {
                    OrderTarget { next_observe: now, spec: spec.clone(), ..target }
                }
                _ => fresh,
            };
            self.targets.insert(spec.name, target);
        }
    }

    fn take_lease(
        &mut self,
        now: Instant,
        requested_at: Instant,
        clean: bool,
        fence: FencingToken,
    ) {
        // What the holder before may still have on its way ends within its lease and one order.
        // Leases of this daemon that follow each other have no holder in between, so the wait that
        // the first one began goes on.
        let follows = self.last.filter(|last| last.fence.0 + 1 == fence.0);
        let unfenced_from = match (clean, follows) {
            (true, _) => now,
            (false, Some(last)) => last.unfenced_from,
            (false, None) => now + LEASE_TTL + ORDER_TIMEOUT,
        };
        self.last = Some(LastLease { fence, unfenced_from });
        self.lease = LeaseState::Held { ends: requested_at + LEASE_TTL, fence, unfenced_from };
    }

    fn lose_lease(&mut self, now: Instant) {
        self.lease = LeaseState::Free { next_try: now + LEASE_RETRY };
    }

    fn ended(&mut self, now: Instant, name: &UpstreamName, outcome: OrderOutcome) {
        if let Some(target) = self.targets.get_mut(name) {
            target.pending = false;
            target.adapters = None;
            target.next_observe = match outcome {
                OrderOutcome::Done => now,
                _ => now + LEASE_RETRY,
            };
        }
        // A lease under which something may still run lapses; it must not pass on as clean.
        if matches!(outcome, OrderOutcome::Stale | OrderOutcome::Unknown) {
            self.lose_lease(now);
            self.last = None;
        }
    }

    fn observe(&mut self, now: Instant, out: &mut Vec<OrderAction>) {
        if self.adapters.is_none() {
            return;
        }
        let due = self.targets.values_mut().filter(|t| !t.pending && t.next_observe <= now);
        for target in due {
            target.next_observe = now + OBSERVE_PERIOD;
            out.push(OrderAction::Observe(target.spec.clone()));
        }
    }

    fn give_orders(&mut self, now: Instant, out: &mut Vec<OrderAction>) {
        let drifting = self.targets.values().any(|target| self.next_order(target).is_some());
        let pending = self.targets.values().any(|target| target.pending);
        if !drifting && !pending {
            return self.release(now, out);
        }
        match self.lease {
            LeaseState::Free { next_try } if drifting && next_try <= now => {
                self.lease = LeaseState::Asked;
                out.push(OrderAction::Acquire);
            }
            LeaseState::Held { ends, .. } if now + LEASE_MARGIN >= ends => self.lose_lease(now),
            LeaseState::Held { ends, fence, unfenced_from } => {
                self.send_orders(now, ends - LEASE_MARGIN, fence, unfenced_from, out);
            }
            LeaseState::Free { .. } | LeaseState::Asked => {}
        }
    }

    fn send_orders(
        &mut self,
        now: Instant,
        until: Instant,
        fence: FencingToken,
        unfenced_from: Instant,
        out: &mut Vec<OrderAction>,
    ) {
        let ready = |target: &&OrderTarget| {
            !target.pending && (target.spec.checks_fencing || unfenced_from <= now)
        };
        let orders: Vec<_> = self
            .targets
            .values()
            .filter(ready)
            .filter_map(|target| Some((target.spec.clone(), self.next_order(target)?)))
            .collect();
        for (upstream, order) in orders {
            if let Some(target) = self.targets.get_mut(&upstream.name) {
                target.pending = true;
            }
            out.push(OrderAction::Send { fence, order, until, upstream });
        }
    }

    /// Returns the next order that brings an engine nearer to the wanted state.
    fn next_order(&self, target: &OrderTarget) -> Option<EngineOrder> {
        let wanted = self.adapters.as_ref()?;
        let loaded = target.adapters.as_ref()?;
        let missing = wanted.iter().find(|adapter| !loaded.contains(&adapter.name));
        if let Some(adapter) = missing {
            return Some(EngineOrder::Load(adapter.clone()));
        }
        let is_wanted = |name: &&String| wanted.iter().any(|adapter| adapter.name == **name);
        loaded.iter().find(|name| !is_wanted(name)).cloned().map(EngineOrder::Unload)
    }

    fn release(&mut self, now: Instant, out: &mut Vec<OrderAction>) {
        // While an order of this or an earlier holder may be on its way, the lease must lapse rather
        // than pass on as clean.
        let pending = self.targets.values().any(|target| target.pending);
        if let LeaseState::Held { fence, unfenced_from, .. } = self.lease
            && !pending
            && unfenced_from <= now
        {
            self.lease = LeaseState::Free { next_try: now };
            out.push(OrderAction::Release(fence));
        }
    }
}
