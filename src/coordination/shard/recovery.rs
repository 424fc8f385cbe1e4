//! Recovery period of a new owner, in which the entry daemons report their claims.

use crate::prelude::*;
use std::collections::BTreeSet;

/// The maximum time that a new owner waits for the reports of entry daemons.
pub const RECOVERY_TIMEOUT: Duration = Duration::from_secs(1);

/// The entry daemons that have not reported yet.
#[derive(Debug)]
pub struct OwnerRecovery {
    missing: BTreeSet<DaemonId>,
    deadline: Instant,
}

impl OwnerRecovery {
    /// Starts the recovery period, which waits for the `live` entry daemons.
    pub fn start(now: Instant, live: &BTreeSet<DaemonId>) -> Self {
        Self { missing: live.clone(), deadline: now + RECOVERY_TIMEOUT }
    }

    /// Records that an entry daemon has reported or is gone.
    pub fn mark_reported(&mut self, entry: &DaemonId) {
        self.missing.remove(entry);
    }

    /// Returns whether the owner may grant requests: all entry daemons have reported, or the time
    /// is up.
    pub fn is_over(&self, now: Instant) -> bool {
        self.missing.is_empty() || now >= self.deadline
    }

    /// Returns when the recovery period ends at the latest.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }
}
