//! The time in which a new owner learns from the entries what its upstreams already run.

use crate::prelude::*;
use std::collections::BTreeSet;

/// How long a new owner waits for entries that do not report.
pub const RECOVERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Which entries have still to report.
#[derive(Debug)]
pub struct OwnerRecovery {
    missing: BTreeSet<DaemonId>,
    deadline: Instant,
}

impl OwnerRecovery {
    /// Starts to wait for the live entries.
    pub fn start(now: Instant, live: &BTreeSet<DaemonId>) -> Self {
        Self { missing: live.clone(), deadline: now + RECOVERY_TIMEOUT }
    }

    /// Notes that an entry has reported or is gone.
    pub fn mark_reported(&mut self, entry: &DaemonId) {
        self.missing.remove(entry);
    }

    /// Returns whether the owner may grant.
    pub fn is_over(&self, now: Instant) -> bool {
        self.missing.is_empty() || now >= self.deadline
    }

    /// Returns when the wait ends at the latest.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }
}
