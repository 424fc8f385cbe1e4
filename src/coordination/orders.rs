//! Reconciles the adapters that engines have loaded with those that the template asks for.
//!
//! Only a shard's owner sends orders to its engines, and only while it holds the shard's lease,
//! since a shard can have two owners for a moment. Orders carry the lease's fencing token. Because
//! some engines do not check it, the holder also checks its lease right before it sends an order,
//! and the successor of a holder that did not release its lease waits until every order of that
//! holder has ended. An order sets a state, so it can be repeated: the state is read back and
//! repaired. See docs/DESIGN.md, "Orders to engines".

use crate::prelude::*;
use crate::state::fleet::AdapterSpec;
use std::collections::{BTreeMap, BTreeSet};

/// The lifetime of a lease, counted from the request for it.
pub const LEASE_TTL: Duration = Duration::from_secs(10);
/// The time before the end of its lease at which a holder stops sending orders.
const LEASE_MARGIN: Duration = Duration::from_secs(2);
/// The time limit of one order.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(10);
/// The interval at which each engine's loaded adapters are read.
const OBSERVE_PERIOD: Duration = Duration::from_secs(10);
/// The delay before a lease is requested again, or an engine is read again after a failed order.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// A number that identifies a lease. Each later lease of the same key has a higher one.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct FencingToken(pub u64);

/// A change that an engine is ordered to make.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EngineOrder {
    /// Load this adapter.
    Load(AdapterSpec),
    /// Unload the adapter of this name.
    Unload(String),
}

/// The result of one order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The engine executed the order.
    Done,
    /// The engine did not execute the order and will not do so later.
    Refused,
    /// The order was not executed because its lease is out of date: the engine has seen a higher
    /// fencing token, or the deadline for sending had passed.
    Stale,
    /// The engine did not respond, so it may still execute the order.
    Unknown,
}

/// An input of [`OrderReconciler::handle`].
#[derive(Clone, Debug)]
pub enum OrderEvent {
    /// The wanted adapters, and the shard's upstreams. Without a list of adapters, engines are left
    /// as they are; an empty list unloads everything. Upstreams with the role `Plain` are ignored.
    Configure(Option<Vec<AdapterSpec>>, Vec<UpstreamSpec>),
    /// Whether this daemon owns the shard now.
    Owner(bool),
    /// The adapters that an engine has loaded, by name.
    Observed(UpstreamName, BTreeSet<String>),
    /// The lease was granted.
    LeaseGranted {
        /// When the lease was requested; [`LEASE_TTL`] counts from then.
        requested_at: Instant,
        /// Whether the previous holder released the lease.
        released: bool,
        /// The lease's fencing token.
        fence: FencingToken,
    },
    /// The lease was not granted, or the store could not be reached.
    LeaseDenied,
    /// The order to this engine ended with this outcome.
    Ended(UpstreamName, OrderOutcome),
    /// A timer fired; whatever is due is handled.
    Tick,
}

/// An effect that [`OrderReconciler::handle`] asks its caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum OrderAction {
    /// Read the adapters that an engine has loaded.
    Observe(UpstreamSpec),
    /// Request the shard's lease from the store.
    Acquire,
    /// Release the lease with this fencing token.
    Release(FencingToken),
    /// Send an order, but not at or after `deadline`.
    Send {
        /// The fencing token of the lease under which the order is sent.
        fence: FencingToken,
        /// The change to order.
        order: EngineOrder,
        /// The deadline for sending, since the process may be paused before it sends.
        deadline: Instant,
        /// The engine that gets the order.
        upstream: UpstreamSpec,
    },
}

#[derive(Debug)]
enum LeaseState {
    /// This daemon does not hold the lease and may request it from `next_try` on.
    Free { next_try: Instant },
    /// The store has not answered the request for the lease yet.
    Requested,
    /// This daemon holds the lease. Engines that do not check fencing tokens get no orders before
    /// `unfenced_orders_from`.
    Held { fence: FencingToken, ends: Instant, unfenced_orders_from: Instant },
}

/// The last lease that this daemon was granted.
#[derive(Clone, Copy, Debug)]
struct PreviousLease {
    fence: FencingToken,
    unfenced_orders_from: Instant,
}

#[derive(Debug)]
struct EngineState {
    /// The loaded adapters; unknown before the first read and after every order.
    adapters: Option<BTreeSet<String>>,
    next_observe: Instant,
    /// Whether an order to the engine has not ended yet.
    in_flight: bool,
    spec: UpstreamSpec,
}

/// Brings the engines of one shard into the wanted state and keeps them there.
#[derive(Debug)]
pub struct OrderReconciler {
    adapters: Option<Vec<AdapterSpec>>,
    previous: Option<PreviousLease>,
    lease: LeaseState,
    owner: bool,
    engines: BTreeMap<UpstreamName, EngineState>,
}

impl OrderReconciler {
    /// Creates a reconciler that knows no engines and owns no shard yet.
    pub fn new(now: Instant) -> Self {
        Self {
            adapters: None,
            previous: None,
            lease: LeaseState::Free { next_try: now },
            owner: false,
            engines: BTreeMap::new(),
        }
    }

    /// Processes one event and returns the resulting actions.
    pub fn handle(&mut self, now: Instant, event: OrderEvent) -> Vec<OrderAction> {
        let mut out = Vec::new();
        match event {
            OrderEvent::Configure(adapters, specs) => self.configure(now, adapters, specs),
            OrderEvent::Owner(owner) => self.owner = owner,
            OrderEvent::Observed(name, adapters) => {
                if let Some(engine) = self.engines.get_mut(&name) {
                    engine.adapters = Some(adapters);
                }
            }
            OrderEvent::LeaseGranted { requested_at, released, fence } => {
                self.start_lease(now, requested_at, released, fence);
            }
            OrderEvent::LeaseDenied => self.drop_lease(now),
            OrderEvent::Ended(name, outcome) => self.finish_order(now, &name, outcome),
            OrderEvent::Tick => {}
        }
        if self.owner {
            self.observe(now, &mut out);
            self.reconcile(now, &mut out);
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
        let mut old = std::mem::take(&mut self.engines);
        for spec in specs.into_iter().filter(|spec| spec.role != UpstreamRole::Plain) {
            let fresh = EngineState {
                adapters: None,
                next_observe: now,
                in_flight: false,
                spec: spec.clone(),
            };
            let engine = match old.remove(&spec.name) {
                Some(engine) if engine.spec.address == spec.address => {
                    EngineState { next_observe: now, spec: spec.clone(), ..engine }
                }
                _ => fresh,
            };
            self.engines.insert(spec.name, engine);
        }
    }

    fn start_lease(
        &mut self,
        now: Instant,
        requested_at: Instant,
        released: bool,
        fence: FencingToken,
    ) {
        // Orders of a previous holder that did not release its lease may be in flight until that
        // lease and one order's time limit have passed. Consecutive leases of this daemon have no
        // other holder in between, so the wait that began with the first of them continues.
        let consecutive = self.previous.filter(|previous| previous.fence.0 + 1 == fence.0);
        let unfenced_orders_from = match (released, consecutive) {
            (true, _) => now,
            (false, Some(previous)) => previous.unfenced_orders_from,
            (false, None) => now + LEASE_TTL + ORDER_TIMEOUT,
        };
        self.previous = Some(PreviousLease { fence, unfenced_orders_from });
        self.lease =
            LeaseState::Held { ends: requested_at + LEASE_TTL, fence, unfenced_orders_from };
    }

    fn drop_lease(&mut self, now: Instant) {
        self.lease = LeaseState::Free { next_try: now + RETRY_DELAY };
    }

    fn finish_order(&mut self, now: Instant, name: &UpstreamName, outcome: OrderOutcome) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.in_flight = false;
            engine.adapters = None;
            engine.next_observe = match outcome {
                OrderOutcome::Done => now,
                _ => now + RETRY_DELAY,
            };
        }
        // An order under this lease may still be executed, or another daemon holds a newer lease.
        // The lease is left to expire, since a release would tell the next holder not to wait.
        if matches!(outcome, OrderOutcome::Stale | OrderOutcome::Unknown) {
            self.drop_lease(now);
            self.previous = None;
        }
    }

    fn observe(&mut self, now: Instant, out: &mut Vec<OrderAction>) {
        if self.adapters.is_none() {
            return;
        }
        let due = self.engines.values_mut().filter(|t| !t.in_flight && t.next_observe <= now);
        for engine in due {
            engine.next_observe = now + OBSERVE_PERIOD;
            out.push(OrderAction::Observe(engine.spec.clone()));
        }
    }

    /// Sends the orders that are due. Requests the lease if orders are missing, and releases it
    /// once nothing is left to do.
    fn reconcile(&mut self, now: Instant, out: &mut Vec<OrderAction>) {
        let drifting = self.engines.values().any(|engine| self.next_order(engine).is_some());
        let in_flight = self.engines.values().any(|engine| engine.in_flight);
        if !drifting && !in_flight {
            return self.release(now, out);
        }
        match self.lease {
            LeaseState::Free { next_try } if drifting && next_try <= now => {
                self.lease = LeaseState::Requested;
                out.push(OrderAction::Acquire);
            }
            LeaseState::Held { ends, .. } if now + LEASE_MARGIN >= ends => self.drop_lease(now),
            LeaseState::Held { ends, fence, unfenced_orders_from } => {
                self.send_orders(now, ends - LEASE_MARGIN, fence, unfenced_orders_from, out);
            }
            LeaseState::Free { .. } | LeaseState::Requested => {}
        }
    }

    fn send_orders(
        &mut self,
        now: Instant,
        deadline: Instant,
        fence: FencingToken,
        unfenced_orders_from: Instant,
        out: &mut Vec<OrderAction>,
    ) {
        let ready = |engine: &&EngineState| {
            !engine.in_flight && (engine.spec.checks_fencing || unfenced_orders_from <= now)
        };
        let orders: Vec<_> = self
            .engines
            .values()
            .filter(ready)
            .filter_map(|engine| Some((engine.spec.clone(), self.next_order(engine)?)))
            .collect();
        for (upstream, order) in orders {
            if let Some(engine) = self.engines.get_mut(&upstream.name) {
                engine.in_flight = true;
            }
            out.push(OrderAction::Send { fence, order, deadline, upstream });
        }
    }

    /// Returns the next order that brings an engine closer to the wanted state, if it is known and
    /// differs. Missing adapters are loaded before others are unloaded.
    fn next_order(&self, engine: &EngineState) -> Option<EngineOrder> {
        let wanted = self.adapters.as_ref()?;
        let loaded = engine.adapters.as_ref()?;
        let missing = wanted.iter().find(|adapter| !loaded.contains(&adapter.name));
        if let Some(adapter) = missing {
            return Some(EngineOrder::Load(adapter.clone()));
        }
        let is_wanted = |name: &&String| wanted.iter().any(|adapter| adapter.name == **name);
        loaded.iter().find(|name| !is_wanted(name)).cloned().map(EngineOrder::Unload)
    }

    fn release(&mut self, now: Instant, out: &mut Vec<OrderAction>) {
        // While an order of this or an earlier holder may be in flight, the lease is left to
        // expire, since a release would tell the next holder not to wait.
        let in_flight = self.engines.values().any(|engine| engine.in_flight);
        if let LeaseState::Held { fence, unfenced_orders_from, .. } = self.lease
            && !in_flight
            && unfenced_orders_from <= now
        {
            self.lease = LeaseState::Free { next_try: now };
            out.push(OrderAction::Release(fence));
        }
    }
}
