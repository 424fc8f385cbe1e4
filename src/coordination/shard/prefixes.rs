//! Index of the prompt prefixes that prefill workers computed recently.
//!
//! A wrong hit only costs time, so the index is bounded and drops its oldest entries first.

use crate::prelude::*;
use std::collections::BTreeMap;

/// The maximum number of prefixes that are kept per shard.
const MAX_PREFIXES: usize = 16_384;

/// Maps digests of prompt prefixes to the worker that computed each last.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    /// Prefix digests by the sequence number of their last use.
    ages: BTreeMap<u64, u64>,
    /// Sequence number and worker by prefix digest.
    locations: BTreeMap<u64, (u64, UpstreamName)>,
    sequence: u64,
}

impl PrefixIndex {
    /// Records that a worker is about to compute these prefixes.
    pub fn record(&mut self, prefix: &[u64], worker: &UpstreamName) {
        for digest in prefix {
            self.sequence += 1;
            let entry = (self.sequence, worker.clone());
            if let Some((old, _)) = self.locations.insert(*digest, entry) {
                self.ages.remove(&old);
            }
            self.ages.insert(self.sequence, *digest);
        }
        while self.locations.len() > MAX_PREFIXES {
            if let Some((_, digest)) = self.ages.pop_first() {
                self.locations.remove(&digest);
            }
        }
    }

    /// Returns how many leading prefixes of a prompt the worker probably has in its cache.
    pub fn hits(&self, prefix: &[u64], worker: &UpstreamName) -> usize {
        let held = |digest: &&u64| self.locations.get(digest).is_some_and(|(_, at)| at == worker);
        prefix.iter().take_while(held).count()
    }

    /// Drops all prefixes of a worker that failed, since it may have restarted with an empty cache.
    pub fn drop_worker(&mut self, worker: &UpstreamName) {
        let ages = &mut self.ages;
        self.locations.retain(|_, (age, at)| {
            if at == worker {
                ages.remove(age);
            }
            at != worker
        });
    }
}
