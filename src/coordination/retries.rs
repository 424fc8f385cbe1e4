//! Limits what a daemon sends to second upstreams, so that all daemons together stay within the
//! deployment's retry budget.

use crate::coordination::flow::RetryLimiter;
use crate::prelude::*;
use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

/// The part of the fleet's budget that the daemons share out; the rest is for hosts that this one
/// does not know of yet.
const SHARED_PART: f64 = 0.8;

/// The budget of the whole fleet for one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// How many retries are allowed in a window beside those that the requests earn.
    pub floor: f64,
    /// How many retries each request earns.
    pub ratio: f64,
    /// The length of the sliding window.
    pub window: Duration,
}

#[derive(Debug)]
struct RetryWindow {
    hosts: usize,
    limits: RetryLimits,
    requests: VecDeque<Instant>,
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

    fn allowed(&self) -> f64 {
        let own_floor = self.limits.floor * SHARED_PART / self.hosts.max(1) as f64;
        self.limits.ratio * SHARED_PART * self.requests.len() as f64 + own_floor
    }
}

/// This daemon's part of the budget of one service: what its own requests earn, and an even part of
/// the floor.
#[derive(Debug)]
pub struct RetryBudget {
    window: Mutex<RetryWindow>,
}

impl RetryBudget {
    /// Returns a budget shared with `hosts` daemons, this one among them.
    pub fn new(limits: RetryLimits, hosts: usize) -> Self {
        let (requests, retries) = (VecDeque::new(), VecDeque::new());
        Self { window: Mutex::new(RetryWindow { hosts, limits, requests, retries }) }
    }

    /// Notes a request of a caller.
    pub fn record_request(&self, now: Instant) {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        window.prune(now);
        window.requests.push_back(now);
    }

    /// Puts new limits in force; what was sent already counts against them.
    pub fn set_limits(&self, limits: RetryLimits) {
        self.window.lock().unwrap_or_else(PoisonError::into_inner).limits = limits;
    }

    /// Notes how many daemons share the budget.
    pub fn set_hosts(&self, hosts: usize) {
        self.window.lock().unwrap_or_else(PoisonError::into_inner).hosts = hosts;
    }
}

impl RetryLimiter for RetryBudget {
    fn try_acquire(&self, now: Instant) -> bool {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        window.prune(now);
        let fits = (window.retries.len() + 1) as f64 <= window.allowed();
        if fits {
            window.retries.push_back(now);
        }
        fits
    }
}
