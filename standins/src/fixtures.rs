//! Default service templates and upstreams that tests and measurements adapt.

use apricotrun::prelude::*;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Returns an upstream that accepts requests. Its address is a placeholder, to be replaced where
/// upstreams are told apart by address.
pub fn upstream(name: &str, domain: &DomainName, role: UpstreamRole, slots: u32) -> UpstreamSpec {
    UpstreamSpec {
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        checks_fencing: false,
        domain: domain.clone(),
        draining: false,
        incarnation: Incarnation::default(),
        name: name.parse().expect("a valid name"),
        kv_blocks: None,
        role,
        slots: Slots(slots),
        software: SoftwareVersion::default(),
    }
}

/// Returns the template of a model service with these upstreams, and with the latency targets and
/// rates of a mid-range engine.
pub fn template(service: &str, upstreams: Vec<UpstreamSpec>) -> ServiceTemplate {
    ServiceTemplate {
        adapters: None,
        inter_token_target: Duration::from_millis(30),
        deadline: Duration::from_secs(60),
        local_prefill: false,
        prefill_retention: Duration::from_millis(800),
        first_token_target: Duration::from_secs(2),
        leaving_cost: None,
        link_tokens_per_second: TokenRate(100_000.0),
        models: BTreeSet::new(),
        non_idempotent: Vec::new(),
        block_tokens: Tokens(2_000),
        placement: PlacementScope::default(),
        prefill_tokens_per_second: TokenRate(10_000.0),
        remote_cost: None,
        retry_window: Duration::from_secs(600),
        service: service.parse().expect("a valid name"),
        shared_prefill: false,
        token_time: None,
        upstreams,
    }
}
