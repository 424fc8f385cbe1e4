//! Divides the tokens that a client account may use among the hosts that its callers reach.
//!
//! Answers this load: one account sends several times its limit, from callers at one host or at all,
//! while hosts are killed, restarted or cut off from each other. One host keeps the account's bucket
//! ([`AllotmentLedger`]) and leases tokens to the others ([`LeaseBook`]), so that ordinary requests
//! wait for no other host. See docs/design/client-accounts.md, "Allotments".

mod bucket;
mod lease;
mod ledger;

pub use lease::{LeaseAction, LeaseBook, LeaseOutcome};
pub use ledger::{AllotmentLedger, LedgerStatus, LedgerView};

use crate::prelude::*;
use serde::{Deserialize, Serialize};

/// For how long a host goes on at its recent rate without an answer of the ledger. The ledger sets
/// as much aside for a host that has fallen silent.
const COAST_TIME: Duration = Duration::from_secs(3);

/// By how much the use of an account may exceed its allotment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllotmentTolerance {
    /// The excess as a fraction of what the allotment gives in one window.
    pub overshoot: f64,
    /// The excess in tokens that is tolerated besides.
    pub tokens: f64,
    /// The window over which the use is counted.
    pub window: Duration,
}

impl Default for AllotmentTolerance {
    /// Returns a tolerance of a tenth over ten seconds.
    fn default() -> Self {
        Self { overshoot: 0.1, tokens: 0.0, window: Duration::from_secs(10) }
    }
}

impl AllotmentTolerance {
    /// Returns how many tokens more than allotted an account may use in one window.
    pub fn excess(&self, allotment: &TokenAllotment) -> f64 {
        let allotted = allotment.rate.0 * self.window.as_secs_f64() + allotment.burst;
        allotted * self.overshoot + self.tokens
    }
}

/// Messages about one account between a host that leases tokens and the account's ledger.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum AllotmentMessage {
    /// Host to ledger: asks for tokens.
    Ask(LeaseRequest),
    /// Ledger to host: answers a request.
    Grant(LeaseGrant),
    /// Host to ledger: gives back tokens that it does not need.
    Return {
        /// The number of tokens.
        tokens: f64,
        /// Whether the host has no more callers of the account, and will not go on by itself.
        ends: bool,
    },
}

/// Asks the ledger of an account for tokens.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct LeaseRequest {
    /// The tokens that the cheapest waiting request needs.
    pub least: f64,
    /// The tokens that all waiting requests need.
    pub need: f64,
    /// By how much the host has used more than it was allowed while no ledger answered. It is part of
    /// `used`.
    pub overdraft: f64,
    /// The recent use at this host, in tokens per second.
    pub rate: f64,
    /// Tokens for requests to come, which are granted only if there are enough.
    pub reserve: f64,
    /// A number that the [`LeaseGrant`] repeats.
    pub sequence: u64,
    /// Tokens that were used without a grant since the last request.
    pub used: f64,
}

/// Answers a [`LeaseRequest`].
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct LeaseGrant {
    /// At which rate the host may go on if the ledger falls silent, in tokens per second. For all
    /// hosts together it is no more than the limit.
    pub coast_limit: f64,
    /// The number of hosts that use the account.
    pub holders: u32,
    /// The number of the request.
    pub sequence: u64,
    /// Whether few tokens are left, so that no request may start before its cost is granted.
    pub tight: bool,
    /// The tokens that the host may use.
    pub tokens: f64,
    /// The time until there are tokens again, if not all that requests wait for was granted.
    pub wait: Option<Duration>,
}
