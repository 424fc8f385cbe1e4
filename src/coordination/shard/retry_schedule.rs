//! Gives refused requests times to come back, spread so that the shard can take them.

use crate::prelude::*;
use std::collections::BTreeMap;

/// The earliest time to come back.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(500);
/// The latest time to come back.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(300);
/// The part of the capacity that is promised to those who come back.
pub const RESERVED_FRACTION: f64 = 0.9;

#[derive(Clone, Copy, Debug)]
struct AccountReservations {
    first: Instant,
    next: Instant,
}

/// The times given out, by account.
#[derive(Debug, Default)]
pub struct RetrySchedule {
    accounts: BTreeMap<AccountName, AccountReservations>,
}

impl RetrySchedule {
    /// Books a time for an account that can start `rate` requests a second, not before `least` has
    /// passed, and returns the wait.
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

    /// Returns the part of an account's capacity that is free for requests without a booking.
    pub fn unreserved_fraction(&self, now: Instant, account: &AccountName) -> f64 {
        match self.accounts.get(account) {
            Some(reservations) if reservations.first <= now && now < reservations.next => {
                1.0 - RESERVED_FRACTION
            }
            _ => 1.0,
        }
    }

    /// Returns the accounts that still have times to come.
    pub fn accounts_with_reservations(&self, now: Instant) -> impl Iterator<Item = &AccountName> {
        let open = self.accounts.iter().filter(move |(_, reservations)| reservations.next > now);
        open.map(|(account, _)| account)
    }

    /// Forgets accounts whose times have all passed.
    pub fn prune(&mut self, now: Instant) {
        self.accounts.retain(|_, reservations| reservations.next + MIN_RETRY_DELAY > now);
    }
}
