//! Limits the retries of each daemon, so that all daemons together stay within the retry budget of
//! the deployment.

use crate::coordination::flow::RetryLimiter;
use crate::prelude::*;
use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

/// The fraction of the fleet's budget that the known daemons divide; the rest is a margin for
/// daemons that this one does not know yet.
const SHARED_FRACTION: f64 = 0.8;
/// The fraction of the floor that daemons divide as they start. The daemons before them may have used the
/// rest within the window.
const FIRST_FRACTION: f64 = 1.0 - SHARED_FRACTION;

/// The retry budget of the whole fleet for one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// The number of retries per window that are allowed regardless of the number of requests.
    pub floor: f64,
    /// The number of further retries that each request in the window allows.
    pub ratio: f64,
    /// The length of the sliding window.
    pub window: Duration,
}

/// This daemon's requests and retries in the sliding window.
#[derive(Debug)]
struct RetryWindow {
    /// The number of daemons that share the budget, this one included.
    hosts: usize,
    limits: RetryLimits,
    requests: VecDeque<Instant>,
    /// When this daemon started.
    started: Instant,
    /// The retries that have been allowed and not been sent.
    reserved: usize,
    /// When retries were sent.
    retries: VecDeque<Instant>,
}

impl RetryWindow {
    fn prune(&mut self, now: Instant) {
        let window = self.limits.window;
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| now.saturating_duration_since(*at) > window) {
                times.pop_front();
            }
        }
    }

    /// Returns how many retries this daemon may make in the window that ends now.
    fn allowed(&self, now: Instant) -> f64 {
        let own_floor = self.limits.floor * self.divided_fraction(now) / self.hosts.max(1) as f64;
        self.limits.ratio * SHARED_FRACTION * self.requests.len() as f64 + own_floor
    }

    /// Returns the fraction of the floor that is divided among the daemons. A daemon that is alone has the
    /// whole share from the start, as no other one makes its retries.
    fn divided_fraction(&self, now: Instant) -> f64 {
        if self.hosts <= 1 {
            return SHARED_FRACTION;
        }
        let age = now.saturating_duration_since(self.started).min(self.limits.window);
        let growth = (SHARED_FRACTION - FIRST_FRACTION) * age.div_duration_f64(self.limits.window);
        FIRST_FRACTION + growth
    }
}

/// This daemon's share of the retry budget of one service: the retries that its own requests allow,
/// and an even share of the floor.
#[derive(Debug)]
pub struct RetryBudget {
    window: Mutex<RetryWindow>,
}

impl RetryBudget {
    /// Creates the share of one of `hosts` daemons. During the first window from `started`, when this daemon
    /// began, its part of the floor grows evenly: the process before it may have used its share, and this one
    /// may not have heard yet of all that started with it. See docs/design/shared-limits.md.
    pub fn new(limits: RetryLimits, hosts: usize, started: Instant) -> Self {
        let (requests, retries) = (VecDeque::new(), VecDeque::new());
        let window = RetryWindow { hosts, limits, requests, started, reserved: 0, retries };
        Self { window: Mutex::new(window) }
    }

    /// Counts a request of a caller, which raises the number of allowed retries.
    pub fn record_request(&self, now: Instant) {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        window.prune(now);
        window.requests.push_back(now);
    }

    /// Replaces the limits. Earlier retries in the window count against the new ones.
    pub fn set_limits(&self, limits: RetryLimits) {
        self.window.lock().unwrap_or_else(PoisonError::into_inner).limits = limits;
    }

    /// Sets the number of daemons that share the budget, this one included.
    pub fn set_hosts(&self, hosts: usize) {
        self.window.lock().unwrap_or_else(PoisonError::into_inner).hosts = hosts;
    }
}

impl RetryLimiter for RetryBudget {
    fn try_acquire(&self, now: Instant) -> bool {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        window.prune(now);
        let taken = window.retries.len() + window.reserved;
        let within_budget = (taken + 1) as f64 <= window.allowed(now);
        window.reserved += usize::from(within_budget);
        within_budget
    }

    fn record_sent(&self, now: Instant) {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        window.reserved = window.reserved.saturating_sub(1);
        window.retries.push_back(now);
    }

    fn release(&self) {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        window.reserved = window.reserved.saturating_sub(1);
    }
}
