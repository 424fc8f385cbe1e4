//! Remembers refused requests, to tell those that come back from new ones.
//!
//! A caller that was refused sends the same request again, under another id and perhaps by another
//! entry. Its first token counts from the first time, so it must not go before requests that can
//! still be in time.

use crate::prelude::*;
use std::collections::BTreeMap;

/// How long a refused request is remembered; callers have given up by then.
const RETENTION: Duration = Duration::from_secs(30);
/// How many requests are remembered; the oldest go first.
const MAX_REFUSALS: usize = 8192;

#[derive(Clone, Copy, Debug)]
struct RefusedRequest {
    due: Instant,
    refused: Instant,
}

/// The requests that were refused lately.
#[derive(Debug, Default)]
pub struct RefusalHistory {
    requests: BTreeMap<Fingerprint, RefusedRequest>,
}

impl RefusalHistory {
    /// Remembers a request that was refused now and whose first token was due at `due`.
    pub fn record(&mut self, now: Instant, fingerprint: Fingerprint, due: Instant) {
        let known = self.requests.get(&fingerprint).map_or(due, |request| request.due.min(due));
        self.requests.insert(fingerprint, RefusedRequest { due: known, refused: now });
        if self.requests.len() > MAX_REFUSALS {
            self.drop_older(now, RETENTION / 4);
        }
    }

    /// Returns when the first token of a request was due that came before.
    pub fn due(&self, fingerprint: &Fingerprint) -> Option<Instant> {
        self.requests.get(fingerprint).map(|request| request.due)
    }

    /// Forgets what is too old.
    pub fn prune(&mut self, now: Instant) {
        self.drop_older(now, RETENTION);
    }

    fn drop_older(&mut self, now: Instant, age: Duration) {
        self.requests.retain(|_, request| now < request.refused + age);
    }
}
