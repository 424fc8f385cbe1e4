//! The tokens that this host has leased for its callers.

use super::bucket::TokenBucket;
use super::{AllotmentTolerance, COAST_TIME, LeaseGrant, LeaseRequest};
use crate::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// How long a request waits for the ledger's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(120);
/// For how long a reserve lasts at the recent rate.
const RESERVE_TIME: Duration = Duration::from_millis(400);
/// How much recent use a host may repeat at once when it goes on without the ledger.
const COAST_CREDIT_TIME: Duration = Duration::from_millis(200);
/// The part of the tolerated tokens that all hosts together may use before a ledger has answered them.
const CREDIT_FRACTION: f64 = 0.05;
/// The time constant of the moving average of the use.
const RATE_TIME: Duration = Duration::from_secs(1);
/// After how long without a request the lease is given back.
const IDLE_TIME: Duration = Duration::from_millis(1_500);
/// The interval at which a host that uses an account asks at least, so that it does not count as
/// silent.
const REPORT_PERIOD: Duration = Duration::from_millis(300);
/// The shortest time for which a refusal of the ledger holds at this host.
const MIN_DENIAL: Duration = Duration::from_millis(10);
/// The longest time for which a refusal of the ledger holds at this host: other hosts may have given
/// tokens back meanwhile.
const MAX_DENIAL: Duration = Duration::from_millis(100);
/// The number of given up questions whose answers are awaited.
const MAX_GIVEN_UP: usize = 64;
/// The longest time that a refusal names.
const MAX_WAIT: Duration = Duration::from_secs(4);

/// What became of a request that takes tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LeaseOutcome {
    /// It may start; its cost is taken.
    Taken,
    /// The ledger has been asked; try again when it has answered, and no later than this.
    Wait(Instant),
    /// The account has used its allotment; the ledger may be asked again at this time.
    Denied(Instant),
}

/// A message to the ledger of an account.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseAction {
    /// Ask for tokens.
    Ask(AccountName, LeaseRequest),
    /// Give tokens back; `true` if no callers are left.
    Return(AccountName, f64, bool),
}

/// A question to which the ledger has not replied.
#[derive(Clone, Copy, Debug)]
struct OpenRequest {
    asked_at: Instant,
    least: f64,
    need: f64,
    /// The overdraft that it reports.
    overdraft: f64,
    sequence: u64,
    /// The use that it reports.
    used: f64,
}

#[derive(Debug)]
struct AccountLease {
    allotment: TokenAllotment,
    answered_at: Option<Instant>,
    asked_at: Option<Instant>,
    /// The rate that the ledger allows while it is silent.
    coast_limit: f64,
    /// The rate at which the host goes on since the ledger fell silent.
    coast_rate: Option<f64>,
    /// Until when the ledger is not asked for this many tokens or more.
    denied: Option<(Instant, f64)>,
    /// When the ledger expects to have tokens again.
    expected_at: Instant,
    holders: u32,
    level: f64,
    /// The time that the next refused request is told.
    next_return: Instant,
    open: Option<OpenRequest>,
    rate: f64,
    rate_at: Instant,
    used_at: Instant,
    /// Tokens that were used without a grant, which the ledger does not know of.
    unreported: f64,
    /// What the cheapest waiting request needs.
    least: f64,
    /// Whether a request must not start before its cost is granted.
    tight: bool,
    /// What all waiting requests need.
    waiting: f64,
}

/// The leases of all accounts with callers at this host.
#[derive(Debug)]
pub struct LeaseBook {
    /// What may be used of each account without the ledger. It outlives the lease, so that a lease
    /// that is given back and begun again has no further credit.
    coasts: BTreeMap<AccountName, TokenBucket>,
    /// The number of hosts of the deployment.
    hosts: usize,
    /// The questions that were given up and may still be answered.
    given_up: BTreeSet<u64>,
    leases: BTreeMap<AccountName, AccountLease>,
    sequence: u64,
    tolerance: AllotmentTolerance,
}

impl LeaseBook {
    /// Returns a book without leases.
    pub fn new(tolerance: AllotmentTolerance) -> Self {
        Self {
            coasts: BTreeMap::new(),
            given_up: BTreeSet::new(),
            hosts: 1,
            leases: BTreeMap::new(),
            sequence: 0,
            tolerance,
        }
    }

    /// Sets how many hosts the deployment has, including those that were lately lost.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.hosts = hosts.max(1);
    }

    /// Takes the cost of a request from the lease.
    pub fn take(
        &mut self,
        now: Instant,
        account: &AccountName,
        allotment: TokenAllotment,
        cost: f64,
        actions: &mut Vec<LeaseAction>,
    ) -> LeaseOutcome {
        let lease =
            self.leases.entry(account.clone()).or_insert_with(|| AccountLease::new(now, allotment));
        lease.allotment = allotment;
        lease.used_at = now;
        let suffices = if lease.tight { lease.level >= cost } else { lease.level > 0.0 };
        if suffices {
            lease.level -= cost;
            lease.count(now, cost);
            self.renew(now, account, actions);
            return LeaseOutcome::Taken;
        }
        if let Some((until, least)) = lease.denied
            && now < until
            && cost >= least
        {
            return LeaseOutcome::Denied(until);
        }
        let open = lease.open.map(|open| open.asked_at);
        // Once the ledger has left a question open, no request waits for it until it answers again.
        let is_silent = lease.coast_rate.is_some();
        if open.is_some_and(|at| is_silent || now >= at + ANSWER_TIMEOUT) {
            return self.coast(now, account, cost, actions);
        }
        lease.waiting += cost;
        lease.least = lease.least.min(cost);
        if let Some(at) = open {
            return LeaseOutcome::Wait(at + ANSWER_TIMEOUT);
        }
        self.ask(now, account, actions);
        LeaseOutcome::Wait(now + ANSWER_TIMEOUT)
    }

    /// Returns the time after which a refused request finds tokens: those refused before it at this
    /// host, and as many at each other one, are served first.
    pub fn reserve_return(&mut self, now: Instant, account: &AccountName, cost: f64) -> Duration {
        let lease = self.leases.get_mut(account);
        lease.map_or(MIN_DENIAL, |lease| lease.reserve_return(now, cost))
    }

    /// Gives back the cost of a request that has not run.
    pub fn refund(&mut self, account: &AccountName, cost: f64) {
        if let Some(lease) = self.leases.get_mut(account) {
            lease.level += cost;
        }
    }

    /// Applies the ledger's answer.
    pub fn receive(
        &mut self,
        now: Instant,
        account: &AccountName,
        grant: &LeaseGrant,
        actions: &mut Vec<LeaseAction>,
    ) {
        let lease = self.leases.get_mut(account);
        let answered = lease.and_then(|lease| {
            let open = lease.open.filter(|open| open.sequence == grant.sequence)?;
            Some((lease, open))
        });
        let Some((lease, open)) = answered else {
            if self.given_up.remove(&grant.sequence) {
                actions.push(LeaseAction::Return(account.clone(), grant.tokens, false));
            }
            return;
        };
        lease.open = None;
        if let Some(coast) = self.coasts.get_mut(account) {
            coast.add(open.overdraft);
        }
        (lease.least, lease.waiting) = (f64::INFINITY, 0.0);
        lease.tight = grant.tight;
        lease.answered_at = Some(now);
        lease.coast_rate = None;
        lease.coast_limit = grant.coast_limit;
        lease.holders = grant.holders.max(1);
        lease.level += grant.tokens;
        let denied = if grant.tokens > 0.0 { open.need - grant.tokens } else { open.least };
        lease.denied =
            grant.wait.map(|wait| (now + wait.clamp(MIN_DENIAL, MAX_DENIAL), denied.max(1.0)));
        lease.expected_at = now + grant.wait.unwrap_or_default().min(MAX_WAIT);
    }

    /// Reports use to the ledgers, gives up open questions and gives back the leases of accounts
    /// without callers.
    pub fn tick(&mut self, now: Instant, actions: &mut Vec<LeaseAction>) {
        let mut idle = Vec::new();
        let mut due = Vec::new();
        for (account, lease) in &mut self.leases {
            if lease.open.is_some_and(|open| now >= open.asked_at + ANSWER_TIMEOUT * 2) {
                self.given_up.extend(lease.give_up_question());
            }
            if now >= lease.used_at + IDLE_TIME && lease.unreported <= 0.0 {
                idle.push(account.clone());
            } else if lease.asked_at.is_none_or(|at| now >= at + REPORT_PERIOD) {
                due.push(account.clone());
            }
        }
        while self.given_up.len() > MAX_GIVEN_UP {
            self.given_up.pop_first();
        }
        for account in idle {
            if let Some(lease) = self.leases.remove(&account) {
                actions.push(LeaseAction::Return(account, lease.level.max(0.0), true));
            }
        }
        due.iter().for_each(|account| self.ask(now, account, actions));
    }

    /// Asks for a reserve when half of it is used.
    fn renew(&mut self, now: Instant, account: &AccountName, actions: &mut Vec<LeaseAction>) {
        let Some(lease) = self.leases.get(account) else { return };
        let low = lease.level < lease.rate(now) * RESERVE_TIME.as_secs_f64() / 2.0;
        if lease.open.is_none() && (lease.level < 0.0 || (low && !lease.tight)) {
            self.ask(now, account, actions);
        }
    }

    fn ask(&mut self, now: Instant, account: &AccountName, actions: &mut Vec<LeaseAction>) {
        let Some(lease) = self.leases.get_mut(account) else { return };
        if lease.open.is_some() {
            return;
        }
        self.sequence += 1;
        let rate = lease.rate(now);
        let reserve = (rate * RESERVE_TIME.as_secs_f64() - lease.level.max(0.0)).max(1.0);
        let debt = (-lease.level).max(0.0);
        let overdraft = self.coasts.get(account).map_or(0.0, TokenBucket::debt);
        let need = std::mem::take(&mut lease.waiting);
        let request = LeaseRequest {
            least: std::mem::replace(&mut lease.least, f64::INFINITY).min(need),
            need,
            overdraft,
            rate,
            reserve,
            sequence: self.sequence,
            used: std::mem::take(&mut lease.unreported) + debt,
        };
        lease.level = lease.level.max(0.0);
        let (sequence, used) = (self.sequence, request.used);
        let least = request.least;
        lease.open = Some(OpenRequest { asked_at: now, least, need, overdraft, sequence, used });
        lease.asked_at = Some(now);
        actions.push(LeaseAction::Ask(account.clone(), request));
    }

    /// Decides without the ledger: at the recent rate for a while, then at an equal part of the limit.
    fn coast(
        &mut self,
        now: Instant,
        account: &AccountName,
        cost: f64,
        actions: &mut Vec<LeaseAction>,
    ) -> LeaseOutcome {
        let equal_part = 1.0 / self.hosts as f64;
        let Some(lease) = self.leases.get_mut(account) else {
            return LeaseOutcome::Denied(now + MIN_DENIAL);
        };
        let recent = lease.rate(now).min(lease.coast_limit);
        let begins = lease.coast_rate.is_none();
        let coast_rate = *lease.coast_rate.get_or_insert(recent);
        let is_recent = lease.answered_at.is_some_and(|at| now < at + COAST_TIME);
        let equal_rate = lease.allotment.rate.0 * equal_part;
        // While tokens are few, the recent rates of all hosts add up to the limit already.
        let rate = match (is_recent, lease.tight) {
            (true, true) => coast_rate,
            (true, false) => coast_rate.max(equal_rate),
            (false, _) => equal_rate,
        };
        let credit = self.tolerance.tokens * CREDIT_FRACTION * equal_part;
        let coast = self.coasts.entry(account.clone());
        let coast = coast.or_insert_with(|| TokenBucket::new(now, credit));
        let capacity = (rate * COAST_CREDIT_TIME.as_secs_f64()).max(credit);
        coast.refill(now, rate, capacity);
        if begins {
            coast.add((coast_rate * COAST_CREDIT_TIME.as_secs_f64()).min(capacity - coast.level()));
        }
        if lease.open.is_some_and(|open| now >= open.asked_at + ANSWER_TIMEOUT) {
            self.given_up.extend(lease.give_up_question());
        }
        let outcome = if coast.level() > 0.0 {
            coast.add(-cost);
            lease.unreported += cost;
            lease.count(now, cost);
            LeaseOutcome::Taken
        } else {
            let wait = Duration::from_secs_f64(-coast.level() / rate.max(1.0));
            let until = now + wait.clamp(MIN_DENIAL, MAX_DENIAL);
            lease.denied = Some((until, cost));
            lease.expected_at = now + wait.min(MAX_WAIT);
            LeaseOutcome::Denied(until)
        };
        self.ask(now, account, actions);
        outcome
    }
}

impl AccountLease {
    fn new(now: Instant, allotment: TokenAllotment) -> Self {
        Self {
            allotment,
            answered_at: None,
            asked_at: None,
            coast_limit: 0.0,
            coast_rate: None,
            denied: None,
            expected_at: now,
            holders: 1,
            level: 0.0,
            next_return: now,
            open: None,
            rate: 0.0,
            rate_at: now,
            used_at: now,
            unreported: 0.0,
            least: f64::INFINITY,
            tight: true,
            waiting: 0.0,
        }
    }

    /// Stops waiting for the ledger's answer. What the question reported is reported again, since it
    /// may have been lost. Returns the number of the question.
    fn give_up_question(&mut self) -> Option<u64> {
        let open = self.open.take()?;
        self.unreported += open.used;
        Some(open.sequence)
    }

    fn rate(&self, now: Instant) -> f64 {
        let time = now.saturating_duration_since(self.rate_at).as_secs_f64();
        self.rate * (-time / RATE_TIME.as_secs_f64()).exp()
    }

    fn count(&mut self, now: Instant, cost: f64) {
        self.rate = self.rate(now) + cost / RATE_TIME.as_secs_f64();
        self.rate_at = now;
    }

    fn reserve_return(&mut self, now: Instant, cost: f64) -> Duration {
        let step = cost * f64::from(self.holders) / self.allotment.rate.0.max(1.0);
        let at = self.next_return.max(self.expected_at).max(now + MIN_DENIAL);
        let at = at.min(now + MAX_WAIT);
        self.next_return = at + Duration::from_secs_f64(step.min(MAX_WAIT.as_secs_f64()));
        at - now
    }
}
