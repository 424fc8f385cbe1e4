//! Recovery period of a new owner, in which the entries report their claims.

use crate::prelude::*;
use std::collections::BTreeSet;

/// How long a new owner waits for entries that do not report.
pub const RECOVERY_TIMEOUT: Duration = Duration::from_secs(1);

/// The entries that have not reported yet.
#[derive(Debug)]
pub struct OwnerRecovery {
    missing: BTreeSet<DaemonId>,
    deadline: Instant,
}

impl OwnerRecovery {
    /// Starts the recovery period, which waits for the `live` entries.
    pub fn start(now: Instant, live: &BTreeSet<DaemonId>) -> Self {
        Self { missing: live.clone(), deadline: now + RECOVERY_TIMEOUT }
    }

    /// Records that an entry has reported or is gone.
    pub fn mark_reported(&mut self, entry: &DaemonId) {
        self.missing.remove(entry);
    }

    /// Returns whether the owner may grant requests: all entries have reported, or the time is up.
    pub fn is_over(&self, now: Instant) -> bool {
        self.missing.is_empty() || now >= self.deadline
    }

    /// Returns when the recovery period ends at the latest.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }
}
