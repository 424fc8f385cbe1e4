//! Recently refused requests, used to tell retries from new requests.
//!
//! A caller that was refused sends the same request again, under another request id and possibly
//! through another entry daemon. Its first-token deadline still counts from the first try, so a
//! retry must not be served before requests that can still meet theirs.

use crate::prelude::*;
use std::collections::BTreeMap;

/// The time for which a refused request is kept; by then its caller has given up.
const RETENTION: Duration = Duration::from_secs(30);
/// Above this number, requests refused more than a quarter of [`RETENTION`] ago are dropped early.
const MAX_REFUSALS: usize = 8192;

#[derive(Clone, Copy, Debug)]
struct RefusedRequest {
    /// When the first token was due.
    due: Instant,
    /// When the request was refused last.
    refused: Instant,
}

/// The first-token deadlines of recently refused requests.
#[derive(Debug, Default)]
pub struct RefusalHistory {
    requests: BTreeMap<Fingerprint, RefusedRequest>,
}

impl RefusalHistory {
    /// Records a request that was refused at `now` and whose first token was due at `due`. An
    /// earlier deadline of the same request is kept.
    pub fn record(&mut self, now: Instant, fingerprint: Fingerprint, due: Instant) {
        let known = self.requests.get(&fingerprint).map_or(due, |request| request.due.min(due));
        self.requests.insert(fingerprint, RefusedRequest { due: known, refused: now });
        if self.requests.len() > MAX_REFUSALS {
            self.drop_older(now, RETENTION / 4);
        }
    }

    /// Returns the first-token deadline of a request that was refused before.
    pub fn due(&self, fingerprint: &Fingerprint) -> Option<Instant> {
        self.requests.get(fingerprint).map(|request| request.due)
    }

    /// Drops the requests that were refused too long ago.
    pub fn prune(&mut self, now: Instant) {
        self.drop_older(now, RETENTION);
    }

    fn drop_older(&mut self, now: Instant, age: Duration) {
        self.requests.retain(|_, request| now < request.refused + age);
    }
}
