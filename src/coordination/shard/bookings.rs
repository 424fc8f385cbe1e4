//! Gives refused requests times to come back, spread so that the shard can take them.

use crate::prelude::*;
use std::collections::BTreeMap;

/// The earliest time to come back.
const MIN_WAIT: Duration = Duration::from_millis(500);
/// The latest time to come back.
const MAX_WAIT: Duration = Duration::from_secs(300);
/// The part of the capacity that is promised to those who come back.
pub const BOOKED_PART: f64 = 0.9;

#[derive(Clone, Copy, Debug)]
struct AccountBooking {
    first: Instant,
    next: Instant,
}

/// The times given out, by account.
#[derive(Debug, Default)]
pub struct BookingSchedule {
    accounts: BTreeMap<AccountName, AccountBooking>,
}

impl BookingSchedule {
    /// Books a time for an account that can start `rate` requests a second, not before `least` has
    /// passed, and returns the wait.
    pub fn book(
        &mut self,
        now: Instant,
        account: &AccountName,
        rate: f64,
        least: Duration,
    ) -> Duration {
        let soonest = now + least.max(MIN_WAIT);
        let step = Duration::from_secs_f64(1.0 / (rate * BOOKED_PART).max(0.01));
        let booking = self
            .accounts
            .entry(account.clone())
            .or_insert(AccountBooking { first: soonest, next: soonest });
        if booking.next < soonest {
            *booking = AccountBooking { first: soonest, next: soonest };
        }
        let at = booking.next.min(now + MAX_WAIT);
        booking.next = at + step;
        at - now
    }

    /// Returns the part of an account's capacity that is free for requests without a booking.
    pub fn free_part(&self, now: Instant, account: &AccountName) -> f64 {
        match self.accounts.get(account) {
            Some(booking) if booking.first <= now && now < booking.next => 1.0 - BOOKED_PART,
            _ => 1.0,
        }
    }

    /// Returns the accounts that still have times to come.
    pub fn booked(&self, now: Instant) -> impl Iterator<Item = &AccountName> {
        let open = self.accounts.iter().filter(move |(_, booking)| booking.next > now);
        open.map(|(account, _)| account)
    }

    /// Forgets accounts whose times have all passed.
    pub fn prune(&mut self, now: Instant) {
        self.accounts.retain(|_, booking| booking.next + MIN_WAIT > now);
    }
}
