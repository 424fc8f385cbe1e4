//! Queue of waiting admission requests: fair between accounts, and ordered by deadline within one
//! account.

use crate::coordination::messages::AdmissionRequest;
use crate::prelude::*;
use crate::state::fleet::AccountQuota;
use std::collections::{BTreeMap, BTreeSet};

/// Converts the ratio of held slots to share into an integer that can be ordered.
const USAGE_SCALE: f64 = 1_000_000.0;
/// By how much a request goes later for each rank that it is less urgent.
const URGENCY_STEP: Duration = Duration::from_secs(1);
/// The share used for an account that has none; it runs only when no other account waits.
pub const MIN_SHARE: f64 = 0.000_001;

/// An admission request that waits for upstreams.
#[derive(Clone, Debug)]
pub struct WaitingRequest {
    /// The admission request.
    pub request: AdmissionRequest,
    /// The daemon that sent it and gets the reply.
    pub from: DaemonId,
    /// When the request expires: the latest start that still meets its first-token target or, if
    /// it has missed that, the end of its wait for spare capacity.
    pub latest_start: Instant,
    /// From when on leaving the failure domain pays; `None` if the request does not leave it.
    pub leaves_at: Option<Instant>,
}

/// Orders the requests of one account.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct QueueKey {
    late: bool,
    /// Whether the request does not resume an earlier attempt, and whether it is not a retry at a
    /// reserved time; `false` goes first.
    precedence: (bool, bool),
    /// The latest start, later by [`URGENCY_STEP`] for each rank of urgency.
    order: Instant,
    /// Breaks ties in the order of arrival.
    sequence: u64,
}

impl QueueKey {
    fn is_prioritized(&self) -> bool {
        self.precedence != (true, true)
    }
}

/// Returns the time by which requests of one account are ordered.
fn order_of(latest_start: Instant, urgency: UrgencyRank) -> Instant {
    latest_start + URGENCY_STEP * u32::from(urgency.0)
}

#[derive(Debug, Default)]
struct AccountQueue {
    /// The number of waiting requests that resume an earlier attempt or are retried at a reserved
    /// time.
    prioritized: usize,
    held: u32,
    /// The number of waiting requests that have missed their first-token target.
    late: usize,
    /// The number of waiting requests that are not of the most urgent rank.
    less_urgent: usize,
    share: f64,
    waiting: BTreeMap<QueueKey, WaitingRequest>,
}

impl AccountQueue {
    /// Returns the slots held relative to the share; the account with the lowest value is next.
    fn usage(&self) -> u64 {
        (f64::from(self.held) / self.share.max(MIN_SHARE) * USAGE_SCALE) as u64
    }
}

/// The waiting requests of one shard. Adding or removing a request takes time logarithmic in their
/// number.
#[derive(Debug, Default)]
pub struct FairQueue {
    accounts: BTreeMap<AccountName, AccountQueue>,
    expiry: BTreeSet<(Instant, AttemptId)>,
    index: BTreeMap<AttemptId, (AccountName, QueueKey)>,
    /// The accounts with waiting requests, ordered by [`AccountQueue::usage`].
    by_usage: BTreeSet<(u64, AccountName)>,
    sequence: u64,
}

impl FairQueue {
    /// Adds a request.
    pub fn push(&mut self, waiting: WaitingRequest, quota: &AccountQuota) {
        self.sequence += 1;
        let key = QueueKey {
            late: waiting.request.is_late(),
            precedence: (!waiting.request.resuming, !waiting.request.returning),
            order: order_of(waiting.latest_start, waiting.request.urgency),
            sequence: self.sequence,
        };
        let name = waiting.request.account.clone();
        let attempt = waiting.request.attempt.clone();
        self.expiry.insert((waiting.latest_start, attempt.clone()));
        self.index.insert(attempt, (name.clone(), key));
        self.update(&name, |queue| {
            queue.share = quota.share;
            queue.prioritized += usize::from(key.is_prioritized());
            queue.late += usize::from(key.late);
            queue.less_urgent += usize::from(waiting.request.urgency > UrgencyRank::default());
            queue.waiting.insert(key, waiting);
        });
    }

    /// Removes a request, if it waits here.
    pub fn remove(&mut self, attempt: &AttemptId) -> Option<WaitingRequest> {
        let (name, key) = self.index.remove(attempt)?;
        let mut removed = None;
        self.update(&name, |queue| {
            removed = queue.waiting.remove(&key);
            queue.prioritized -= usize::from(removed.is_some() && key.is_prioritized());
            queue.late -= usize::from(removed.is_some() && key.late);
            let urgency = removed.as_ref().map(|waiting| waiting.request.urgency);
            queue.less_urgent -= usize::from(urgency > Some(UrgencyRank::default()));
        });
        if let Some(waiting) = &removed {
            self.expiry.remove(&(waiting.latest_start, attempt.clone()));
        }
        removed
    }

    /// Drops the requests of entry daemons that are not in `live`.
    pub fn retain_entries(&mut self, live: &BTreeSet<DaemonId>) {
        let dead = self.index.keys().filter(|attempt| !live.contains(&attempt.request.entry));
        let dead: Vec<_> = dead.cloned().collect();
        dead.iter().for_each(|attempt| {
            self.remove(attempt);
        });
    }

    /// Returns whether a request waits here.
    pub fn contains(&self, attempt: &AttemptId) -> bool {
        self.index.contains_key(attempt)
    }

    /// Returns one request for each of the `max_accounts` accounts that are furthest below their
    /// shares: the first that is not blocked among the account's first `max_scanned`.
    pub fn heads(
        &self,
        max_accounts: usize,
        max_scanned: usize,
        is_blocked: impl Fn(&AdmissionRequest) -> bool,
    ) -> Vec<WaitingRequest> {
        let names = self.by_usage.iter().take(max_accounts).map(|(_, name)| name);
        let first = |name| {
            let mut waiting = self.accounts[name].waiting.values().take(max_scanned);
            waiting.find(|waiting| !is_blocked(&waiting.request)).cloned()
        };
        names.filter_map(first).collect()
    }

    /// Removes and returns the requests that match a predicate.
    pub fn extract(
        &mut self,
        predicate: impl Fn(&AdmissionRequest) -> bool,
    ) -> Vec<WaitingRequest> {
        let waiting = self.accounts.values().flat_map(|account| account.waiting.values());
        let matching = waiting.filter(|waiting| predicate(&waiting.request));
        let matching: Vec<_> = matching.map(|waiting| waiting.request.attempt.clone()).collect();
        matching.iter().filter_map(|attempt| self.remove(attempt)).collect()
    }

    /// Removes and returns one request whose latest start has passed.
    pub fn pop_expired(&mut self, now: Instant) -> Option<WaitingRequest> {
        let (latest, attempt) = self.expiry.first()?;
        if *latest > now {
            return None;
        }
        let attempt = attempt.clone();
        self.remove(&attempt)
    }

    /// Returns when the next request expires.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.expiry.first().map(|(latest, _)| *latest)
    }

    /// Sets how many slots an account holds.
    pub fn set_held(&mut self, name: &AccountName, held: u32) {
        self.update(name, |queue| queue.held = held);
    }

    /// Returns how many requests of an account wait.
    pub fn waiting_count(&self, name: &AccountName) -> usize {
        self.accounts.get(name).map_or(0, |queue| queue.waiting.len())
    }

    /// Returns how many slots an account holds.
    pub fn slots_held_by(&self, name: &AccountName) -> u32 {
        self.accounts.get(name).map_or(0, |queue| queue.held)
    }

    /// Returns how many waiting requests of an account would be served before a new one.
    pub fn requests_ahead(&self, new: &WaitingRequest) -> usize {
        let Some(queue) = self.accounts.get(&new.request.account) else { return 0 };
        let ahead = match (new.request.returning, new.request.is_late()) {
            (true, _) => queue.prioritized,
            (false, true) => queue.waiting.len(),
            (false, false) => queue.waiting.len() - queue.late,
        };
        if new.request.urgency == UrgencyRank::LEAST || queue.less_urgent == 0 {
            return ahead;
        }
        let order = order_of(new.latest_start, new.request.urgency);
        let behind = queue.waiting.iter().filter(|(key, waiting)| {
            waiting.request.urgency > new.request.urgency && !key.late && key.order > order
        });
        ahead.saturating_sub(behind.count())
    }

    /// Returns the accounts with waiting requests, furthest below its share first.
    pub fn waiting_accounts(&self) -> impl Iterator<Item = &AccountName> {
        self.by_usage.iter().map(|(_, name)| name)
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Returns how many waiting requests can still meet their first-token targets.
    pub fn on_time_len(&self) -> usize {
        self.accounts.values().map(|account| account.waiting.len() - account.late).sum()
    }

    /// Returns the waiting requests, the one that expires first ahead.
    pub fn by_expiry(&self) -> impl Iterator<Item = &WaitingRequest> {
        let place = |(_, attempt): &(Instant, AttemptId)| self.index.get(attempt);
        let places = self.expiry.iter().filter_map(place);
        places.filter_map(|(account, key)| self.accounts.get(account)?.waiting.get(key))
    }

    /// Drops all requests; the entry daemons send them again to the next owner.
    pub fn clear(&mut self) {
        *self = Self { sequence: self.sequence, ..Self::default() };
    }

    fn update(&mut self, name: &AccountName, change: impl FnOnce(&mut AccountQueue)) {
        let queue = self.accounts.entry(name.clone()).or_default();
        self.by_usage.remove(&(queue.usage(), name.clone()));
        change(queue);
        if !queue.waiting.is_empty() {
            self.by_usage.insert((queue.usage(), name.clone()));
        } else if queue.held == 0 {
            self.accounts.remove(name);
        }
    }
}
