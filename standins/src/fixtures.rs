//! Descriptions of services and workers that tests and measurements start from.

use apricotrun::prelude::*;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Returns a worker that takes work; the address serves only to tell it from others.
pub fn upstream(name: &str, domain: &DomainName, role: UpstreamRole, slots: u32) -> UpstreamSpec {
    UpstreamSpec {
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        checks_fencing: false,
        domain: domain.clone(),
        draining: false,
        incarnation: Incarnation::default(),
        name: name.parse().expect("a name"),
        kv_blocks: None,
        role,
        slots: Slots(slots),
    }
}

/// Returns a model service of these workers, with targets and rates of a middling engine.
pub fn template(service: &str, upstreams: Vec<UpstreamSpec>) -> ServiceTemplate {
    ServiceTemplate {
        adapters: None,
        inter_token_target: Duration::from_millis(30),
        deadline: Duration::from_secs(60),
        local_prefill: false,
        prefill_retention: Duration::from_millis(800),
        first_token_target: Duration::from_secs(2),
        link_tokens_per_second: TokenRate(100_000.0),
        models: BTreeSet::new(),
        non_idempotent: Vec::new(),
        block_tokens: Tokens(2_000),
        placement: PlacementScope::default(),
        prefill_tokens_per_second: TokenRate(10_000.0),
        retry_window: Duration::from_secs(600),
        service: service.parse().expect("a name"),
        shared_prefill: false,
        token_time: None,
        upstreams,
    }
}
