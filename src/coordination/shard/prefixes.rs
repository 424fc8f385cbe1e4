//! Remembers which prefill worker lately computed which prompt prefix.
//!
//! A wrong guess costs time only, so the memory is bounded and the oldest entry goes first.

use crate::prelude::*;
use std::collections::BTreeMap;

/// How many prefixes are remembered a shard.
const MAX_PREFIXES: usize = 16_384;

/// Where prefixes were computed last.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    ages: BTreeMap<u64, u64>,
    locations: BTreeMap<u64, (u64, UpstreamName)>,
    sequence: u64,
}

impl PrefixIndex {
    /// Notes that a worker computes these prefixes now.
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

    /// Returns how many leading pieces of a prompt a worker likely holds.
    pub fn hits(&self, prefix: &[u64], worker: &UpstreamName) -> usize {
        let held = |digest: &&u64| self.locations.get(digest).is_some_and(|(_, at)| at == worker);
        prefix.iter().take_while(held).count()
    }

    /// Forgets everything about a worker, because it restarted or lost events.
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
