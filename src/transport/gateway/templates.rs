//! Builds the service templates that configure shards from the routes and the upstream registry.

use crate::coordination::registry::UpstreamRegistry;
use crate::prelude::*;
use crate::state::fleet::{AccountParameters, AccountQuota};
use crate::state::routes::{EngineSpec, RoutedService};
use crate::transport::gateway::start::Gateway;
use crate::transport::node::lock;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// The prefill rate of a worker, from the engines' data sheets.
const PREFILL_RATE: TokenRate = TokenRate(50_000.0);
/// The decode time of one output token, from the engines' data sheets.
const TOKEN_TIME: Duration = Duration::from_micros(700);
/// The number of tokens in one KV-cache block.
const BLOCK_TOKENS: Tokens = Tokens(16);
/// The largest number of requests that wait in one shard.
const MAX_WAITING: u32 = 1000;

/// How much longer a request may wait for engines before it leaves the failure domain, where the settings
/// do not say. A tenth of the usual first-token target: a wait this long makes no request late.
pub const DEFAULT_LEAVING_COST: Duration = Duration::from_millis(100);

impl Gateway {
    /// Returns the cost of leaving the failure domain for model work; `None` where requests are placed
    /// without it.
    fn leaving_cost(&self) -> Option<Duration> {
        let reports_speeds = self.speeds_reported.load(Ordering::Relaxed);
        let by_default = self.remote_cost.filter(|_| reports_speeds);
        self.leaving_cost.or_else(|| by_default.map(|_| DEFAULT_LEAVING_COST))
    }

    /// Returns the failure domains whose owners are asked for upstreams of a service, starting with
    /// this daemon's own.
    pub fn candidate_domains(&self, template: &ServiceTemplate) -> Vec<DomainName> {
        match template.placement {
            PlacementScope::Entry => vec![self.node.settings.domain.clone()],
            PlacementScope::Domain => {
                let served: BTreeSet<_> =
                    template.upstreams.iter().map(|upstream| &upstream.domain).collect();
                let domains = lock(&self.node.members).domains();
                domains.into_iter().filter(|domain| served.contains(domain)).collect()
            }
        }
    }

    /// Reconfigures the shards from the current routes and upstream registry.
    pub fn configure(self: &Arc<Self>) {
        let Some(routes) = lock(&self.routes).current().cloned() else { return };
        let templates: Vec<_> = {
            let registry = lock(&self.registry);
            let services = routes.services.iter();
            let now = self.node.clock.now();
            let build = |(name, service)| {
                let template = build_template(now, name, service, &registry);
                let leaving_cost = self.leaving_cost().filter(|_| service.engine.is_some());
                ServiceTemplate { leaving_cost, remote_cost: self.remote_cost, ..template }
            };
            services.map(build).collect()
        };
        let parameters = |account: &AccountName, share: f64| {
            let quota = AccountQuota { ceiling: 1.0, max_waiting: MAX_WAITING, share };
            AccountParameters {
                account: account.clone(),
                key_digest: String::new(),
                services: routes.services.keys().map(|name| (name.clone(), quota)).collect(),
            }
        };
        let mut accounts = vec![parameters(&self.account, 1.0)];
        let mut limits = BTreeMap::new();
        if let Some(directory) = &routes.accounts {
            for account in directory.iter() {
                accounts.push(parameters(&account.name, directory.share_of(account)));
                limits.extend(account.allotment.map(|limit| (account.name.clone(), limit)));
            }
        }
        self.node.set_allotments(limits);
        let revision = Revision(self.config_counter.fetch_add(1, Ordering::Relaxed) + 1);
        let config = Arc::new(FleetConfig::from_parts(revision, accounts, templates));
        lock(&self.node.config).adopt(self.node.clock.now(), config.clone());
        self.node.configure_shards(&config);
    }
}

fn build_template(
    now: Instant,
    name: &ServiceName,
    service: &RoutedService,
    registry: &UpstreamRegistry,
) -> ServiceTemplate {
    let engine = service.engine.as_ref();
    let upstreams = registry.of_service(name).map(|(id, record)| UpstreamSpec {
        address: record.address,
        checks_fencing: false,
        domain: record.domain.clone(),
        draining: record.draining
            || registry.is_leaving(id)
            || registry.is_changing(now, id, record),
        incarnation: record.incarnation,
        name: id.clone(),
        kv_blocks: engine.map(|engine| KvBlocks(engine.cache_capacity.0 / BLOCK_TOKENS.0)),
        role: record.role,
        slots: record.slots,
        software: record.software.clone(),
    });
    let rate = |pick: fn(&EngineSpec) -> TokenRate| engine.map(pick).unwrap_or_default();
    ServiceTemplate {
        adapters: None,
        inter_token_target: if engine.is_some() { TOKEN_TIME } else { Duration::ZERO },
        deadline: Duration::MAX,
        local_prefill: engine.is_some(),
        prefill_retention: engine.map_or(Duration::ZERO, |engine| engine.prefill_retention),
        first_token_target: Duration::MAX,
        leaving_cost: None,
        link_tokens_per_second: rate(|engine| engine.link_rate),
        models: BTreeSet::new(),
        non_idempotent: Vec::new(),
        block_tokens: BLOCK_TOKENS,
        placement: if engine.is_some() { PlacementScope::Domain } else { PlacementScope::Entry },
        prefill_tokens_per_second: rate(|_| PREFILL_RATE),
        remote_cost: None,
        retry_window: Duration::ZERO,
        service: name.clone(),
        shared_prefill: true,
        token_time: engine.map(|_| TOKEN_TIME),
        upstreams: upstreams.collect(),
    }
}
