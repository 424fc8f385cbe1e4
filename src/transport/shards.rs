//! Runs the shard ledgers of this daemon's failure domain and executes their actions.

use crate::coordination::messages::{PeerMessage, ShardMessage};
use crate::coordination::ownership::{rank_daemons, shard_key};
use crate::coordination::shard::{ShardAction, ShardEvent, ShardLedger, ShardRole, ShardStatus};
use crate::prelude::*;
use crate::state::fleet::AccountQuota;
use crate::transport::log_limiter::DecisionKind;
use crate::transport::node::{DaemonNode, SHARD_REPLICAS, lock};
use metrics::{counter, gauge};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The longest interval between two ticks of the shards.
const MAX_SLEEP: Duration = Duration::from_millis(100);
/// The shortest interval between two ticks of the shards.
const MIN_SLEEP: Duration = Duration::from_millis(1);

/// Ticks the shards when the first of their timers expires, until the task is dropped.
pub async fn tick_shards(node: Arc<DaemonNode>) {
    loop {
        let now = node.clock.now();
        let wake = {
            let shards = lock(&node.shards);
            shards.values().filter_map(ShardLedger::next_wake).min()
        };
        let sleep = wake.map_or(MAX_SLEEP, |wake| wake.saturating_duration_since(now));
        tokio::select! {
            () = tokio::time::sleep(sleep.clamp(MIN_SLEEP, MAX_SLEEP)) => {}
            () = node.shard_wake.notified() => continue,
        }
        node.tick_all_shards();
    }
}

impl DaemonNode {
    /// Passes a message from a daemon to a shard.
    pub fn handle_shard_message(
        self: &Arc<Self>,
        service: &ServiceName,
        from: DaemonId,
        message: ShardMessage,
    ) {
        let asks_for_slots = matches!(message, ShardMessage::RequestAdmission(_));
        self.handle_shard_event(service, ShardEvent::Message(from, message));
        if asks_for_slots {
            self.shard_wake.notify_one();
        }
    }

    /// Passes an event to a shard and executes the actions that it returns.
    pub fn handle_shard_event(self: &Arc<Self>, service: &ServiceName, event: ShardEvent) {
        let now = self.clock.now();
        let actions = match lock(&self.shards).get_mut(service) {
            Some(ledger) => ledger.handle(now, event),
            None => return,
        };
        for action in actions {
            self.execute_shard_action(service, action);
        }
    }

    fn tick_all_shards(self: &Arc<Self>) {
        let services: Vec<_> = lock(&self.shards).keys().cloned().collect();
        services.iter().for_each(|service| self.handle_shard_event(service, ShardEvent::Tick));
    }

    fn execute_shard_action(self: &Arc<Self>, service: &ServiceName, action: ShardAction) {
        match action {
            ShardAction::Send(to, message) => {
                self.log_advice(service, &message);
                let domain = self.settings.domain.clone();
                let service = service.clone();
                self.send_to_daemon(&to, PeerMessage::Shard { service, domain, message });
            }
            ShardAction::SendToOwner(domain, message) => {
                self.send_to_owner(service, &domain, message);
            }
            ShardAction::Cancel(spec, attempt) => {
                let node = self.clone();
                let service = service.clone();
                tokio::spawn(async move { node.cancel_orphan(&service, spec, attempt).await });
            }
        }
    }

    /// Logs and counts that a request is advised to leave the failure domain.
    fn log_advice(&self, service: &ServiceName, message: &ShardMessage) {
        let (attempt, domain, is_refused) = match message {
            ShardMessage::TryDomain(attempt, domain) => (attempt, domain, false),
            ShardMessage::RefuseHere(attempt, _, Some(domain)) => (attempt, domain, true),
            _ => return,
        };
        counter!("apricotrun_leaving_advice_total", "to" => domain.to_string()).increment(1);
        if self.log_limiter.permits(DecisionKind::Leaving) {
            log::info!(
                service:% = service, id:% = attempt, to:% = domain, refused = is_refused;
                "shard: another failure domain may have room"
            );
        }
    }

    async fn cancel_orphan(
        self: &Arc<Self>,
        service: &ServiceName,
        spec: UpstreamSpec,
        attempt: AttemptId,
    ) {
        if self.cancels.cancel(spec.address, &attempt).await {
            counter!("apricotrun_orphans_cancelled_total").increment(1);
            log::info!("shard: {service}: {} confirmed that {attempt} is cancelled", spec.name);
            self.handle_shard_event(service, ShardEvent::CancelConfirmed(attempt, spec.name));
        }
    }

    /// Configures the shard of every service from its template, and drops shards without one.
    pub fn configure_shards(self: &Arc<Self>, config: &FleetConfig) {
        lock(&self.shards).retain(|service, _| config.templates.contains_key(service));
        for (service, template) in &config.templates {
            let versions = template.upstreams.iter().map(|upstream| &upstream.software);
            lock(&self.versions).observe(self.clock.now(), service, versions);
            let domain = self.settings.domain.clone();
            lock(&self.shards).entry(service.clone()).or_insert_with(|| ShardLedger::new(domain));
            let event = ShardEvent::Configure(template.clone(), quotas_for(config, service));
            self.handle_shard_event(service, event);
        }
        self.update_roles();
    }

    /// Recomputes this daemon's role in every shard of its failure domain.
    pub fn update_roles(self: &Arc<Self>) {
        let domain = self.settings.domain.clone();
        let (live, local, eligible) = {
            let members = lock(&self.members);
            let ids = |records: Vec<DaemonId>| records.into_iter().collect::<BTreeSet<_>>();
            let live = ids(members.running().map(|record| record.daemon.clone()).collect());
            let local = members.running().filter(|record| record.domain == domain);
            let local = ids(local.map(|record| record.daemon.clone()).collect());
            (live, local, ids(members.eligible(&domain).map(|r| r.daemon.clone()).collect()))
        };
        let services: Vec<_> = lock(&self.shards).keys().cloned().collect();
        for service in services {
            let ranked = rank_daemons(&shard_key(&service, &domain), eligible.iter());
            let scope = self.placement_of(&service);
            let role = match ranked.iter().position(|daemon| **daemon == self.me) {
                _ if scope == PlacementScope::Entry => ShardRole::Owner,
                Some(0) => ShardRole::Owner,
                Some(position) if position < SHARD_REPLICAS => ShardRole::Backup,
                _ => ShardRole::Bystander,
            };
            self.record_role_change(&service, role);
            let (live, local) = (live.clone(), local.clone());
            self.handle_shard_event(&service, ShardEvent::Members { live, local, role });
        }
    }

    fn record_role_change(&self, service: &ServiceName, role: ShardRole) {
        let before = lock(&self.shards).get(service).map(ShardLedger::role);
        if before != Some(role) {
            counter!("apricotrun_owner_changes_total").increment(1);
            log::info!("shard: {service}: this daemon is now {role:?}");
        }
    }

    /// Returns the status of the shards that this daemon owns or backs up, for operators.
    pub fn shard_status(&self) -> BTreeMap<ServiceName, ShardStatus> {
        let now = self.clock.now();
        let shards = lock(&self.shards);
        let replicated = shards.iter().filter(|(_, ledger)| ledger.role() != ShardRole::Bystander);
        replicated.map(|(service, ledger)| (service.clone(), ledger.status(now))).collect()
    }

    /// Updates the gauges of the shards that this daemon owns.
    pub fn publish_shard_metrics(&self) {
        for (service, status) in self.shard_status() {
            if status.role != ShardRole::Owner {
                continue;
            }
            let service = service.to_string();
            let slots: u32 = status.upstreams.iter().map(|upstream| upstream.slots).sum();
            gauge!("apricotrun_slots_held", "service" => service.clone()).set(f64::from(slots));
            gauge!("apricotrun_waiting", "service" => service.clone()).set(status.waiting as f64);
            if let Some(margin) = status.start_margin {
                gauge!("apricotrun_start_margin_seconds", "service" => service)
                    .set(margin.as_secs_f64());
            }
        }
    }
}

fn quotas_for(config: &FleetConfig, service: &ServiceName) -> BTreeMap<AccountName, AccountQuota> {
    let accounts = config.accounts.values();
    let quotas = accounts.filter_map(|account| {
        let quota = account.services.get(service)?;
        Some((account.account.clone(), *quota))
    });
    quotas.collect()
}
