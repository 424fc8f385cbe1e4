//! Computes who owns what, so that no duty is ever configured or elected.

use crate::prelude::*;

/// Ranks the daemons for a duty by rendezvous hashing: the first owns it, the second backs it up.
///
/// All daemons with the same view compute the same order, and a daemon that comes or goes moves
/// only the duties that it gains or loses.
pub fn rank_daemons<'a>(
    duty: &str,
    daemons: impl Iterator<Item = &'a DaemonId>,
) -> Vec<&'a DaemonId> {
    let mut ranked: Vec<_> = daemons.map(|daemon| (score(duty, daemon), daemon)).collect();
    ranked.sort_unstable_by(|left, right| right.cmp(left));
    ranked.into_iter().map(|(_, daemon)| daemon).collect()
}

/// Returns the name under which a shard's duty is ranked.
pub fn shard_key(service: &ServiceName, domain: &DomainName) -> String {
    format!("shard/{service}/{domain}")
}

/// Returns the name under which the duty of watching the store is ranked.
pub fn watch_key(domain: &DomainName) -> String {
    format!("watch/{domain}")
}

fn score(duty: &str, daemon: &DaemonId) -> u64 {
    Fingerprint::of(&[duty.as_bytes(), daemon.host.as_str().as_bytes()]).low_bits()
}
