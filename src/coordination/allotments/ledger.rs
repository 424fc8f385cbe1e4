//! The buckets of the accounts whose ledger this host keeps.

use super::bucket::TokenBucket;
use super::{AllotmentTolerance, COAST_TIME, LeaseGrant, LeaseRequest};
use crate::prelude::*;
use std::collections::BTreeMap;

/// The time without a request after which a host counts as silent. Hosts that use an account ask
/// several times in this time.
const SILENCE: Duration = Duration::from_millis(550);
/// The part of the tolerated excess that hosts may hold as reserves.
const RESERVE_FRACTION: f64 = 0.2;
/// The part of the tolerated overshoot that is granted: tokens that hosts hold without using them must
/// not make an account refuse what it may use.
const OVERSHOOT_FRACTION: f64 = 0.2;
/// The part of a full bucket up to which tokens are granted for waiting requests only, and cheap ones
/// need not wait until there is enough for a dear one.
const TIGHT_FRACTION: f64 = 0.25;
/// The part of a full bucket that suffices for a request of any cost: cheap requests that take all there
/// is would starve dear ones.
const SUFFICIENT_FRACTION: f64 = 0.05;
/// The part of the tolerated tokens with which the bucket of a new ledger starts.
const START_FRACTION: f64 = 0.05;
/// The shortest time in which a full bucket fills, whatever burst is configured.
const MIN_FILL_TIME: Duration = Duration::from_millis(50);
/// The longest time that a refusal names.
const MAX_WAIT: Duration = Duration::from_secs(4);

/// What a ledger must know besides the requests.
#[derive(Clone, Copy, Debug)]
pub struct LedgerView {
    /// The allotment in force.
    pub allotment: TokenAllotment,
    /// The hosts that this one sees, as a fraction of all that it has lately seen. Those that it no
    /// longer sees may have a ledger of their own.
    pub visible: f64,
    /// The excess that is tolerated.
    pub tolerance: AllotmentTolerance,
}

impl LedgerView {
    fn capacity(&self) -> f64 {
        let least = self.allotment.rate.0 * MIN_FILL_TIME.as_secs_f64();
        self.allotment.burst.max(least) * self.visible.clamp(0.0, 1.0)
    }

    fn start_level(&self) -> f64 {
        (self.tolerance.tokens * START_FRACTION).min(self.capacity())
    }
}

/// The figures of one account's ledger.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LedgerStatus {
    /// The number of hosts that use the account.
    pub holders: usize,
    /// The tokens in the bucket; negative while it is in debt.
    pub level: f64,
    /// The rate that is set aside for hosts that have fallen silent.
    pub set_aside: f64,
    /// The recent use at all hosts, in tokens per second.
    pub used: f64,
}

/// A host that uses an account.
#[derive(Clone, Copy, Debug)]
struct HolderRecord {
    asked_at: Instant,
    rate: f64,
}

#[derive(Debug)]
struct AccountLedger {
    bucket: TokenBucket,
    holders: BTreeMap<DaemonId, HolderRecord>,
    /// Until when the tokens to come are promised to refused requests.
    promised_until: Instant,
}

/// Leases the tokens of accounts to hosts.
#[derive(Debug, Default)]
pub struct AllotmentLedger {
    accounts: BTreeMap<AccountName, AccountLedger>,
}

impl AllotmentLedger {
    /// Answers a host's request for tokens. Of what a host that is new here has used without a grant,
    /// only its overdraft counts: meanwhile its recent rate was set aside, or no ledger has granted
    /// anything. The bucket of an account that is new here starts with a part of what is tolerated only,
    /// as another ledger may just have granted all there was.
    pub fn grant(
        &mut self,
        now: Instant,
        account: &AccountName,
        host: &DaemonId,
        request: &LeaseRequest,
        view: &LedgerView,
    ) -> LeaseGrant {
        let ledger = self.accounts.entry(account.clone()).or_insert_with(|| AccountLedger {
            bucket: TokenBucket::new(now, view.start_level()),
            holders: BTreeMap::new(),
            promised_until: now,
        });
        let rate = ledger.refill(now, view);
        ledger.holders.retain(|other, _| other.host != host.host || other == host);
        let holder = HolderRecord { asked_at: now, rate: request.rate };
        let is_known = ledger.holders.insert(host.clone(), holder).is_some();
        ledger.bucket.add(-if is_known { request.used } else { request.overdraft });
        let level = ledger.bucket.level();
        let sufficient = view.capacity() * SUFFICIENT_FRACTION;
        let is_granted = |tokens: f64| level >= tokens.min(sufficient);
        let mut tokens = match (is_granted(request.need), is_granted(request.least)) {
            (true, _) => request.need,
            (false, true) => request.least,
            (false, false) => 0.0,
        };
        ledger.bucket.add(-tokens);
        let missing = request.need - tokens;
        let wait = (missing > 0.0).then(|| ledger.promise(now, missing, rate));
        let spare = ledger.bucket.level() - view.capacity() * TIGHT_FRACTION;
        let holders = ledger.holders.len().max(1) as f64;
        let largest = view.tolerance.excess(&view.allotment) * RESERVE_FRACTION / holders;
        let reserve = request.reserve.min(largest).min(spare).max(0.0);
        ledger.bucket.add(-reserve);
        tokens += reserve;
        LeaseGrant {
            coast_limit: ledger.coast_limit(request.rate, view),
            holders: holders as u32,
            sequence: request.sequence,
            tight: spare <= 0.0,
            tokens,
            wait,
        }
    }

    /// Takes back tokens that a host does not need.
    pub fn take_back(
        &mut self,
        now: Instant,
        account: &AccountName,
        host: &DaemonId,
        tokens: f64,
        ends: bool,
        view: &LedgerView,
    ) {
        let Some(ledger) = self.accounts.get_mut(account) else { return };
        ledger.refill(now, view);
        ledger.bucket.add(tokens.clamp(0.0, view.allotment.burst));
        if ends {
            ledger.holders.remove(host);
        }
    }

    /// Returns the figures of an account's ledger, for the log.
    pub fn status(&self, now: Instant, account: &AccountName) -> Option<LedgerStatus> {
        let ledger = self.accounts.get(account)?;
        Some(LedgerStatus {
            holders: ledger.holders.len(),
            level: ledger.bucket.level(),
            set_aside: ledger.set_aside(now),
            used: ledger.holders.values().map(|holder| holder.rate).sum(),
        })
    }

    /// Drops the accounts of which this host no longer keeps the ledger.
    pub fn retain(&mut self, keeps: impl Fn(&AccountName) -> bool) {
        self.accounts.retain(|account, _| keeps(account));
    }
}

impl AccountLedger {
    /// Fills the bucket and returns the rate at which it fills.
    fn refill(&mut self, now: Instant, view: &LedgerView) -> f64 {
        self.holders.retain(|_, holder| now < holder.asked_at + SILENCE + COAST_TIME);
        let overshoot = 1.0 + view.tolerance.overshoot * OVERSHOOT_FRACTION;
        let limit = view.allotment.rate.0 * overshoot * view.visible.clamp(0.0, 1.0);
        let rate = (limit - self.set_aside(now)).max(0.0);
        self.bucket.refill(now, rate, view.capacity());
        rate
    }

    /// Returns the time until there are tokens for a request that is refused now, after those that were
    /// refused before it.
    fn promise(&mut self, now: Instant, tokens: f64, rate: f64) -> Duration {
        let missing =
            Duration::from_secs_f64((tokens - self.bucket.level()).max(0.0) / rate.max(1.0));
        let ready = self.promised_until.max(now) + Duration::from_secs_f64(tokens / rate.max(1.0));
        let ready = ready.max(now + missing).min(now + MAX_WAIT);
        self.promised_until = ready;
        ready - now
    }

    /// Returns the part of the limit at which a host with this recent rate may go on by itself.
    /// Recent rates may add up to more than the limit, as after a burst.
    fn coast_limit(&self, rate: f64, view: &LedgerView) -> f64 {
        let used: f64 = self.holders.values().map(|holder| holder.rate).sum();
        rate * view.allotment.rate.0 * view.visible.clamp(0.0, 1.0) / used.max(1.0)
    }

    /// Returns the rate at which hosts that have fallen silent may go on by themselves.
    fn set_aside(&self, now: Instant) -> f64 {
        let silent = self.holders.values().filter(|holder| now >= holder.asked_at + SILENCE);
        silent.map(|holder| holder.rate).sum()
    }
}
