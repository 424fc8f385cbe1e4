//! Assigns shards, and the watching of the store, to daemons by rendezvous hashing, without
//! configuration or election.

use crate::prelude::*;

/// Ranks the daemons for a key by rendezvous hashing: the first owns it, the next ones are backups.
///
/// All daemons with the same membership view compute the same order. When a daemon joins or leaves,
/// only the keys that it gains or loses move.
pub fn rank_daemons<'a>(
    key: &str,
    daemons: impl Iterator<Item = &'a DaemonId>,
) -> Vec<&'a DaemonId> {
    let mut ranked: Vec<_> = daemons.map(|daemon| (score(key, daemon), daemon)).collect();
    ranked.sort_unstable_by(|left, right| right.cmp(left));
    ranked.into_iter().map(|(_, daemon)| daemon).collect()
}

/// Returns the key by which the owner and backups of a shard are ranked.
pub fn shard_key(service: &ServiceName, domain: &DomainName) -> String {
    format!("shard/{service}/{domain}")
}

/// Returns the key by which the daemons that watch the store for a failure domain are ranked.
pub fn watch_key(domain: &DomainName) -> String {
    format!("watch/{domain}")
}

/// Returns the key by which the daemons that share the limit of an upstream are ranked.
pub fn limit_key(upstream: &UpstreamName) -> String {
    format!("limit/{upstream}")
}

/// Returns the key by which the daemons that may keep the ledger of an account are ranked.
pub fn allotment_key(account: &AccountName) -> String {
    format!("allotment/{account}")
}

/// Returns the key by which the daemons that keep the origin of a stream are ranked. `request` is
/// the caller's id of the request that began it.
pub fn origin_key(request: &str) -> String {
    format!("origin/{request}")
}

/// Returns the key by which the daemons that may try a refused part of prompts are ranked.
pub fn part_key(part: &PromptPart) -> String {
    format!("part/{part}")
}

/// Returns the key by which the daemons are ranked that write the record of crashes.
pub fn crash_key() -> String {
    "crashes".to_owned()
}

fn score(key: &str, daemon: &DaemonId) -> u64 {
    Fingerprint::of(&[key.as_bytes(), daemon.host.as_str().as_bytes()]).low_bits()
}
