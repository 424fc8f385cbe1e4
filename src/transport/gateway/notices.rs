//! Applies what upstreams say about themselves in their responses.

use crate::coordination::flow::UpstreamFailure;
use crate::coordination::messages::ShardMessage;
use crate::coordination::notices::UpstreamNotice;
use crate::coordination::registry::RegistryEvent;
use crate::coordination::shard::{LoadReport, ShardEvent};
use crate::prelude::*;
use crate::transport::gateway::dialect::{ResponseHead, ResponseKind};
use crate::transport::gateway::start::Gateway;
use crate::transport::node::lock;
use metrics::counter;
use std::sync::Arc;
use std::sync::atomic::Ordering;

impl Gateway {
    /// Checks that an upstream may be sent a request now, and returns its incarnation. The request
    /// counts towards the upstream's limit.
    ///
    /// # Errors
    ///
    /// Returns [`UpstreamFailure::Withheld`] if the upstream has said in a response that it takes
    /// none, or no more than it gets, and [`UpstreamFailure::NothingSent`] if its record forbids it.
    pub fn check_upstream(
        self: &Arc<Self>,
        now: Instant,
        name: &UpstreamName,
    ) -> Result<Incarnation, UpstreamFailure> {
        let (incarnation, accepts, leaving, forbidden) = {
            let registry = lock(&self.registry);
            let incarnation = registry.incarnation_of(name);
            let accepts = registry.accepts_requests(now, name);
            (incarnation, accepts, registry.is_leaving(name), registry.is_forbidden(now, name))
        };
        let Some(incarnation) = incarnation else { return Err(UpstreamFailure::NothingSent) };
        if leaving {
            // The owner that granted this upstream does not know yet.
            self.announce_leaving(name, incarnation);
        }
        match (accepts, forbidden) {
            (true, _) => match lock(&self.node.limits).take(now, name, incarnation) {
                true => Ok(incarnation),
                false => Err(UpstreamFailure::Withheld),
            },
            (false, true) => Err(UpstreamFailure::Withheld),
            (false, false) => Err(UpstreamFailure::NothingSent),
        }
    }

    /// Records what an upstream says about itself in the head of a response. `incarnation` is the
    /// one that the request was meant for, `sent` when it was sent.
    pub fn record_notices(
        self: &Arc<Self>,
        sent: Instant,
        name: &UpstreamName,
        incarnation: Incarnation,
        head: &ResponseHead,
    ) {
        // Another upstream may have the address by now, or the response may be an earlier one.
        if matches!(head.kind, ResponseKind::Foreign | ResponseKind::Declined) {
            return;
        }
        self.node.record_limit(sent, name, incarnation, head.limit);
        if let Some(report) = head.load {
            self.record_load(sent, name, incarnation, report, head.kind);
        }
        let noticed = |notice| RegistryEvent::Noticed(name.clone(), incarnation, notice);
        if let Some(time) = head.quiet {
            counter!("apricotrun_quiet_notices_total").increment(1);
            self.apply_registry_events([noticed(UpstreamNotice::Quiet(time))]);
        }
        if head.leaving && self.apply_registry_events([noticed(UpstreamNotice::Leaving)]) {
            counter!("apricotrun_leaving_notices_total").increment(1);
            self.announce_leaving(name, incarnation);
            self.configure();
        }
    }

    /// Records how loaded a plain upstream says it is. This daemon places calls to it by itself.
    fn record_load(
        self: &Arc<Self>,
        sent: Instant,
        name: &UpstreamName,
        incarnation: Incarnation,
        report: LoadReport,
        kind: ResponseKind,
    ) {
        if !self.speeds_reported.swap(true, Ordering::Relaxed) {
            self.configure();
        }
        let service = lock(&self.registry).service_of(name);
        let Some(service) = service else { return };
        if self.remote_cost.is_none() || self.node.placement_of(&service) != PlacementScope::Entry {
            return;
        }
        let took = self.node.clock.now().saturating_duration_since(sent);
        let took = (kind == ResponseKind::Matching).then_some(took);
        let event = ShardEvent::Reported(name.clone(), incarnation, report, took);
        self.node.handle_shard_event(&service, event);
    }

    /// Tells the owners that may grant an upstream, and their backups, that it is about to stop.
    /// Prefill workers are shared by all failure domains.
    fn announce_leaving(self: &Arc<Self>, name: &UpstreamName, incarnation: Incarnation) {
        let (service, location) = {
            let registry = lock(&self.registry);
            (registry.service_of(name), registry.location_of(name))
        };
        let Some((service, (domain, role))) = service.zip(location) else { return };
        let fleet = self.node.current_config();
        let domains = match (role, fleet.templates.get(&service)) {
            (UpstreamRole::Prefill, Some(template)) => self.candidate_domains(template),
            _ => vec![domain],
        };
        let message = ShardMessage::Leaving(name.clone(), incarnation);
        domains.iter().for_each(|domain| self.node.send_to_replicas(&service, domain, &message));
    }

    /// Returns the upstreams of a service that may not be sent requests now because of what they
    /// said in responses.
    pub fn upstreams_to_avoid(&self, now: Instant, service: &ServiceName) -> Vec<UpstreamName> {
        let limits = lock(&self.node.limits);
        let registry = lock(&self.registry);
        registry.forbidden_upstreams(now, service, |name, incarnation| {
            limits.blocked_until(now, name, incarnation)
        })
    }

    /// Returns a refusal with the time at which the first upstream of a service takes requests
    /// again, if all that could run them have asked this daemon to wait or have named a limit.
    pub fn refuse_while_quiet(&self, service: &ServiceName) -> Option<Refusal> {
        let now = self.node.clock.now();
        let until = {
            let limits = lock(&self.node.limits);
            let registry = lock(&self.registry);
            registry.quiet_until(now, service, |name, incarnation| {
                limits.blocked_until(now, name, incarnation)
            })?
        };
        let refusal = Refusal::not_run(RefusalReason::Overloaded);
        Some(refusal.with_retry_after(until - now))
    }
}
