//! Reserves retry times for refused requests, spaced so that the shard can serve all of them.

use crate::prelude::*;
use std::collections::BTreeMap;

/// The minimum time until a retry.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(500);
/// The maximum time until a retry.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(300);
/// The fraction of an account's capacity that is reserved for retries.
pub const RESERVED_FRACTION: f64 = 0.9;

#[derive(Clone, Copy, Debug)]
struct AccountReservations {
    /// The first time of the current series of reservations.
    first: Instant,
    /// The next time that can be reserved.
    next: Instant,
}

/// The reserved retry times of each account.
#[derive(Debug, Default)]
pub struct RetrySchedule {
    accounts: BTreeMap<AccountName, AccountReservations>,
}

impl RetrySchedule {
    /// Reserves the next retry time of an account that can start `rate` requests per second, but
    /// not before `min_delay` has passed. Returns the time until then.
    pub fn reserve(
        &mut self,
        now: Instant,
        account: &AccountName,
        rate: f64,
        min_delay: Duration,
    ) -> Duration {
        let soonest = now + min_delay.max(MIN_RETRY_DELAY);
        let step = Duration::from_secs_f64(1.0 / (rate * RESERVED_FRACTION).max(0.01));
        let reservations = self
            .accounts
            .entry(account.clone())
            .or_insert(AccountReservations { first: soonest, next: soonest });
        if reservations.next < soonest {
            *reservations = AccountReservations { first: soonest, next: soonest };
        }
        let at = reservations.next.min(now + MAX_RETRY_DELAY);
        reservations.next = at + step;
        at - now
    }

    /// Returns the fraction of an account's capacity that is left for requests without a
    /// reservation.
    pub fn unreserved_fraction(&self, now: Instant, account: &AccountName) -> f64 {
        match self.accounts.get(account) {
            Some(reservations) if reservations.first <= now && now < reservations.next => {
                1.0 - RESERVED_FRACTION
            }
            _ => 1.0,
        }
    }

    /// Returns the accounts with reserved times in the future.
    pub fn accounts_with_reservations(&self, now: Instant) -> impl Iterator<Item = &AccountName> {
        let open = self.accounts.iter().filter(move |(_, reservations)| reservations.next > now);
        open.map(|(account, _)| account)
    }

    /// Drops the accounts whose reserved times have all passed.
    pub fn prune(&mut self, now: Instant) {
        self.accounts.retain(|_, reservations| reservations.next + MIN_RETRY_DELAY > now);
    }
}
